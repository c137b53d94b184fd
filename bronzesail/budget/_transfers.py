"""Pure row changes that settle transfers of tokens between grants.

A transfer moves tokens from a source grant (the giver) to a destination grant. Both
settle it, in either order; the sequence numbers listed in their entries make sure that
the tokens are moved once.

Once a reclaimed grant is settled, the row has no entry of it; its holds, if it has any,
then stand for it. The hold with sequence number 0 is the held remainder: tokens that no
known record of the grant accounts for. The row has it while records may be missing.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from ..util.invariants import InvariantError, check_invariant
from ._escrow import (
    find_grant,
    find_hold,
    put_grant,
    put_holds,
    replace_hold,
    require_grant,
)
from ._holds import distribute_tokens, list_grant_holds

if TYPE_CHECKING:
    from ..schema import BudgetRow, GrantEntry, HoldEntry, TransferId

__all__ = [
    "is_given_settled",
    "settle_given",
    "settle_received",
]


def is_given_settled(entry: GrantEntry | HoldEntry, sequence: int) -> bool:
    """Tell whether an entry or held remainder shows an outgoing transfer as settled.

    All records up to `settled_sequence` are settled; `given_transfers` lists the
    settled transfers above it.
    """
    is_covered = sequence <= entry.settled_sequence
    return is_covered or sequence in entry.given_transfers


def settle_given(
    row: BudgetRow, transfer: TransferId, destination_id: str, amount_tokens: int
) -> tuple[BudgetRow, bool]:
    """Return the row with an outgoing transfer settled.

    Its tokens move to the destination grant. If the row has neither that grant nor a
    held remainder of it, the destination was settled without the transfer, and the
    tokens stay in the source grant.

    Parameters
    ----------
    row : BudgetRow
        The row; it has an entry of the source grant.
    transfer : TransferId
        Identity of the transfer.
    destination_id : str
        Id of the destination grant.
    amount_tokens : int
        Tokens of the transfer.

    Returns
    -------
    row : BudgetRow
        The new row.
    is_settled : bool
        False if the destination was reclaimed from an incomplete journal, so that it is
        unknown whether it received the transfer.
    """
    source_grant = require_grant(row, transfer.grant_id)
    if is_given_settled(source_grant, transfer.sequence):
        return row, True
    if find_grant(row, destination_id) is not None:
        return _move(row, source_grant, transfer, destination_id, amount_tokens), True
    if find_hold(row, destination_id, 0) is not None:
        return row, False
    settled_transfers = (*source_grant.given_transfers, transfer.sequence)
    return put_grant(
        row, attrs.evolve(source_grant, given_transfers=settled_transfers)
    ), True


def settle_received(
    row: BudgetRow, transfer: TransferId, destination_id: str, amount_tokens: int
) -> BudgetRow:
    """Return the row with a received transfer moved to its destination.

    The tokens come from the source grant's entry or, if the row has none, from its
    holds. The row stays as it is if it shows that the tokens were moved before.

    Parameters
    ----------
    row : BudgetRow
        The row; it has an entry of the destination grant or a held remainder of it.
    transfer : TransferId
        Identity of the transfer.
    destination_id : str
        Id of the destination grant.
    amount_tokens : int
        Tokens of the transfer.

    Returns
    -------
    BudgetRow
        The new row.
    """
    destination_grant = find_grant(row, destination_id)
    if (
        destination_grant is not None
        and transfer in destination_grant.received_transfers
    ):
        return row
    source_grant = find_grant(row, transfer.grant_id)
    if source_grant is not None:
        if is_given_settled(source_grant, transfer.sequence):
            return row
        return _move(row, source_grant, transfer, destination_id, amount_tokens)
    return _move_from_holds(row, transfer, destination_id, amount_tokens)


def _move_from_holds(
    row: BudgetRow, transfer: TransferId, destination_id: str, amount_tokens: int
) -> BudgetRow:
    """Move a transfer's tokens from the holds of its source grant.

    A hold of the transfer itself is removed, the held remainder lists the transfer as
    settled, and the other holds stay. The tokens that are left are distributed anew.
    The row stays as it is if it has no hold of the transfer and no held remainder in
    which the transfer is unsettled.
    """
    pool = list_grant_holds(row, transfer.grant_id)
    remaining_holds: list[HoldEntry] = []
    is_unsettled = False
    for hold in pool:
        if hold.sequence == transfer.sequence:
            is_unsettled = True
            continue
        if hold.sequence != 0:
            remaining_holds.append(hold)
            continue
        if not is_given_settled(hold, transfer.sequence):
            is_unsettled = True
        settled_transfers = (*hold.given_transfers, transfer.sequence)
        remaining_holds.append(attrs.evolve(hold, given_transfers=settled_transfers))
    if not is_unsettled:
        return row
    total_tokens = sum(hold.amount_tokens for hold in pool) - amount_tokens
    check_invariant(
        total_tokens >= 0, "the holds of a grant must cover its outgoing transfers"
    )
    row = put_holds(
        row, transfer.grant_id, distribute_tokens(tuple(remaining_holds), total_tokens)
    )
    return _add_to_destination(row, destination_id, transfer, amount_tokens)


def _move(
    row: BudgetRow,
    source_grant: GrantEntry,
    transfer: TransferId,
    destination_id: str,
    amount_tokens: int,
) -> BudgetRow:
    """Move a transfer's tokens from the source's entry to the destination."""
    check_invariant(
        source_grant.amount_tokens >= amount_tokens,
        "a grant must cover its outgoing transfers",
    )
    changed = attrs.evolve(
        source_grant,
        amount_tokens=source_grant.amount_tokens - amount_tokens,
        given_transfers=(*source_grant.given_transfers, transfer.sequence),
    )
    row = put_grant(row, changed)
    return _add_to_destination(row, destination_id, transfer, amount_tokens)


def _add_to_destination(
    row: BudgetRow, destination_id: str, transfer: TransferId, amount_tokens: int
) -> BudgetRow:
    """Add a transfer's tokens to the destination's entry or held remainder.

    A held remainder covers all of its tokens, so that `reserved_tokens` (the most that
    may have been used) and `amount_tokens` (those covered) stay equal.
    """
    destination_grant = find_grant(row, destination_id)
    if destination_grant is not None:
        changed = attrs.evolve(
            destination_grant,
            amount_tokens=destination_grant.amount_tokens + amount_tokens,
            received_transfers=(*destination_grant.received_transfers, transfer),
        )
        return put_grant(row, changed)
    hold = find_hold(row, destination_id, 0)
    if hold is None:
        raise InvariantError("the destination of a settled transfer must be in the row")
    new_amount_tokens = hold.amount_tokens + amount_tokens
    raised = attrs.evolve(
        hold, amount_tokens=new_amount_tokens, reserved_tokens=new_amount_tokens
    )
    return replace_hold(row, hold, raised)
