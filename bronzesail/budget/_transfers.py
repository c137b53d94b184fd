"""Pure row changes that settle transfers between grants, once a transfer."""

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
    """Tell whether a transfer out of a grant is settled in its entry."""
    is_below = sequence <= entry.settled_sequence
    return is_below or sequence in entry.given_transfers


def settle_given(
    row: BudgetRow, transfer: TransferId, taker_id: str, amount_tokens: int
) -> tuple[BudgetRow, bool]:
    """Return the row with a transfer moved, or given back if nobody can take it.

    Parameters
    ----------
    row : BudgetRow
        The row; it has an entry of the giving grant.
    transfer : TransferId
        Identity of the transfer.
    taker_id : str
        Grant that takes it.
    amount_tokens : int
        Its tokens.

    Returns
    -------
    row : BudgetRow
        The new row.
    is_settled : bool
        False if the taker was reclaimed without all of its journal, when nobody can
        tell.
    """
    giver = require_grant(row, transfer.grant_id)
    if is_given_settled(giver, transfer.sequence):
        return row, True
    if find_grant(row, taker_id) is not None:
        return _move(row, giver, transfer, taker_id, amount_tokens), True
    if find_hold(row, taker_id, 0) is not None:
        return row, False
    given = (*giver.given_transfers, transfer.sequence)
    return put_grant(row, attrs.evolve(giver, given_transfers=given)), True


def settle_received(
    row: BudgetRow, transfer: TransferId, taker_id: str, amount_tokens: int
) -> BudgetRow:
    """Return the row with a received transfer moved to its taker.

    Parameters
    ----------
    row : BudgetRow
        The row; it has an entry of the taking grant, or a hold of its rest.
    transfer : TransferId
        Identity of the transfer.
    taker_id : str
        Grant that took it.
    amount_tokens : int
        Its tokens.

    Returns
    -------
    BudgetRow
        The new row. The giver is in the row, or held, or its reclaim moved the
        tokens before.
    """
    taker = find_grant(row, taker_id)
    if taker is not None and transfer in taker.received_transfers:
        return row
    giver = find_grant(row, transfer.grant_id)
    if giver is not None:
        if is_given_settled(giver, transfer.sequence):
            return row
        return _move(row, giver, transfer, taker_id, amount_tokens)
    return _take_from_holds(row, transfer, taker_id, amount_tokens)


def _take_from_holds(
    row: BudgetRow, transfer: TransferId, taker_id: str, amount_tokens: int
) -> BudgetRow:
    """Take a transfer's tokens from what is held of its giver."""
    pool = list_grant_holds(row, transfer.grant_id)
    kept: list[HoldEntry] = []
    is_found = False
    for hold in pool:
        if hold.sequence == transfer.sequence:
            is_found = True
            continue
        if hold.sequence != 0:
            kept.append(hold)
            continue
        if not is_given_settled(hold, transfer.sequence):
            is_found = True
        given = (*hold.given_transfers, transfer.sequence)
        kept.append(attrs.evolve(hold, given_transfers=given))
    if not is_found:
        return row
    total = sum(hold.amount_tokens for hold in pool) - amount_tokens
    check_invariant(total >= 0, "the holds of a grant cover what it gave")
    row = put_holds(row, transfer.grant_id, distribute_tokens(tuple(kept), total))
    return _add_received(row, taker_id, transfer, amount_tokens)


def _move(
    row: BudgetRow,
    giver: GrantEntry,
    transfer: TransferId,
    taker_id: str,
    amount_tokens: int,
) -> BudgetRow:
    check_invariant(giver.amount_tokens >= amount_tokens, "a grant covers what it gave")
    changed = attrs.evolve(
        giver,
        amount_tokens=giver.amount_tokens - amount_tokens,
        given_transfers=(*giver.given_transfers, transfer.sequence),
    )
    row = put_grant(row, changed)
    return _add_received(row, taker_id, transfer, amount_tokens)


def _add_received(
    row: BudgetRow, taker_id: str, transfer: TransferId, amount_tokens: int
) -> BudgetRow:
    taker = find_grant(row, taker_id)
    if taker is not None:
        changed = attrs.evolve(
            taker,
            amount_tokens=taker.amount_tokens + amount_tokens,
            received_transfers=(*taker.received_transfers, transfer),
        )
        return put_grant(row, changed)
    hold = find_hold(row, taker_id, 0)
    if hold is None:
        raise InvariantError("a transfer is settled while its taker is in the row")
    amount = hold.amount_tokens + amount_tokens
    raised = attrs.evolve(hold, amount_tokens=amount, reserved_tokens=amount)
    return replace_hold(row, hold, raised)
