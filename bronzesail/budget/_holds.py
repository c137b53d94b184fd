"""Pure functions that change a row's holds: tokens whose use is not known yet.

The holds of one grant share its tokens. The journal of a reclaimed grant may show a
record as open although the holder had closed it and reserved its tokens again. The
sum of the reserved tokens can therefore exceed the grant, while the sum of the tokens
used cannot: a hold covers as much of its record as the grant has left.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from ._escrow import add_hold, charge, find_hold, put_holds

if TYPE_CHECKING:
    from ..schema import BudgetRow, HoldEntry

__all__ = [
    "add_capped_hold",
    "distribute_tokens",
    "list_grant_holds",
    "resolve_hold",
]


def list_grant_holds(row: BudgetRow, grant_id: str) -> tuple[HoldEntry, ...]:
    """Return the holds of one grant."""
    return tuple(hold for hold in row.holds if hold.grant_id == grant_id)


def add_capped_hold(row: BudgetRow, hold: HoldEntry, available: int) -> BudgetRow:
    """Return the row with a hold added, cut to the tokens that its grant has left."""
    covered_tokens = min(hold.reserved_tokens, available)
    return add_hold(row, attrs.evolve(hold, amount_tokens=covered_tokens))


def resolve_hold(
    row: BudgetRow, grant_id: str, sequence: int, used_tokens: int
) -> tuple[BudgetRow, int]:
    """Replace a hold by a charge of the tokens used.

    Parameters
    ----------
    row : BudgetRow
        Row that has the hold; a row without it is returned unchanged.
    grant_id : str
        Grant of the hold.
    sequence : int
        Number of the record.
    used_tokens : int
        Tokens to charge.

    Returns
    -------
    row : BudgetRow
        The new row. The tokens that were not charged cover the grant's other holds.
    charged : int
        Tokens charged; limited to the tokens reserved and to those of all the
        grant's holds.
    """
    hold = find_hold(row, grant_id, sequence)
    if hold is None:
        return row, 0
    holds = list_grant_holds(row, grant_id)
    total = sum(other.amount_tokens for other in holds)
    charged = min(used_tokens, hold.reserved_tokens, total)
    others = tuple(other for other in holds if other.sequence != sequence)
    distributed = distribute_tokens(others, total - charged)
    row = put_holds(row, grant_id, distributed)
    return charge(row, charged), charged


def distribute_tokens(
    holds: tuple[HoldEntry, ...], total: int
) -> tuple[HoldEntry, ...]:
    """Distribute tokens over the holds of one grant.

    Parameters
    ----------
    holds : tuple of HoldEntry
        Holds of one grant.
    total : int
        Tokens to distribute.

    Returns
    -------
    tuple of HoldEntry
        The holds; in their order each covers its reserved tokens as far as the total
        allows. The hold of the grant's unaccounted tokens (sequence 0), if there is
        one, comes last and gets what is left.
    """
    distributed: list[HoldEntry] = []
    left_tokens = total
    for hold in holds:
        if hold.sequence == 0:
            continue
        covered_tokens = min(hold.reserved_tokens, left_tokens)
        left_tokens -= covered_tokens
        distributed.append(attrs.evolve(hold, amount_tokens=covered_tokens))
    for hold in holds:
        if hold.sequence != 0:
            continue
        distributed.append(
            attrs.evolve(hold, amount_tokens=left_tokens, reserved_tokens=left_tokens)
        )
    return tuple(distributed)
