"""Pure functions that read and change a budget's row.

The escrow invariant (I1) bounds every row: settled, held and granted tokens together
never exceed the prepaid tokens. `check_row` checks it before a row is written.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from ..util.invariants import InvariantError, check_invariant

if TYPE_CHECKING:
    from ..schema import BudgetRow, GrantEntry, HoldEntry

__all__ = [
    "add_hold",
    "charge",
    "check_row",
    "count_free_tokens",
    "count_granted_tokens",
    "find_grant",
    "find_hold",
    "make_budget_key",
    "make_top_up_key",
    "put_grant",
    "put_holds",
    "remove_grant",
    "remove_hold",
    "replace_hold",
    "require_grant",
]


def make_budget_key(account: str, budget: str) -> str:
    """Return the table key of a budget's row."""
    return f"budget/{account}/{budget}"


def make_top_up_key(account: str, budget: str, top_up_id: str) -> str:
    """Return the table key of a top-up's row."""
    return f"topup/{account}/{budget}/{top_up_id}"


def count_granted_tokens(row: BudgetRow) -> int:
    """Return the sum of all grants in the row, in tokens."""
    return sum(grant.amount_tokens for grant in row.grants)


def count_free_tokens(row: BudgetRow) -> int:
    """Return the tokens that are neither settled, held nor granted."""
    used = row.settled_tokens + row.held_tokens
    return row.prepaid_tokens - used - count_granted_tokens(row)


def check_row(row: BudgetRow) -> BudgetRow:
    """Check the totals of a row and return it unchanged.

    Parameters
    ----------
    row : BudgetRow
        Row to check.

    Returns
    -------
    BudgetRow
        The same row.

    Raises
    ------
    InvariantError
        If the row violates the escrow invariant (I1), has a negative amount, or its
        holds do not sum up to its held tokens.
    """
    held = sum(hold.amount_tokens for hold in row.holds)
    check_invariant(held == row.held_tokens, "holds must sum up to held_tokens")
    check_invariant(
        count_free_tokens(row) >= 0, "I1: settled + granted + held <= prepaid"
    )
    check_invariant(row.settled_tokens >= 0, "settled tokens must not be negative")
    for grant in row.grants:
        check_invariant(grant.amount_tokens >= 0, "a grant must not be negative")
    for hold in row.holds:
        check_invariant(hold.amount_tokens >= 0, "a hold must not be negative")
    return row


def find_grant(row: BudgetRow, grant_id: str) -> GrantEntry | None:
    """Return the row's entry of a grant, or None if it has none."""
    for grant in row.grants:
        if grant.grant_id == grant_id:
            return grant
    return None


def require_grant(row: BudgetRow, grant_id: str) -> GrantEntry:
    """Return the row's entry of a grant.

    Raises
    ------
    InvariantError
        If the row has no entry of the grant.
    """
    entry = find_grant(row, grant_id)
    if entry is None:
        raise InvariantError(f"the budget's row has no entry of grant {grant_id}")
    return entry


def put_grant(row: BudgetRow, entry: GrantEntry) -> BudgetRow:
    """Return the row with an entry added, or replaced if the grant has one."""
    grants = list(row.grants)
    for index, grant in enumerate(grants):
        if grant.grant_id != entry.grant_id:
            continue
        grants[index] = entry
        return attrs.evolve(row, grants=tuple(grants))
    return attrs.evolve(row, grants=(*grants, entry))


def remove_grant(row: BudgetRow, grant_id: str) -> BudgetRow:
    """Return the row without a grant, whose tokens become free."""
    rest = tuple(grant for grant in row.grants if grant.grant_id != grant_id)
    return attrs.evolve(row, grants=rest)


def charge(row: BudgetRow, tokens: int) -> BudgetRow:
    """Return the row with its settled tokens raised by a charge."""
    check_invariant(tokens >= 0, "a charge must not be negative")
    return attrs.evolve(row, settled_tokens=row.settled_tokens + tokens)


def find_hold(row: BudgetRow, grant_id: str, sequence: int) -> HoldEntry | None:
    """Return the hold of a grant's record, or None if the row has none."""
    for hold in row.holds:
        if hold.grant_id == grant_id and hold.sequence == sequence:
            return hold
    return None


def add_hold(row: BudgetRow, hold: HoldEntry) -> BudgetRow:
    """Return the row with a hold added."""
    check_invariant(
        find_hold(row, hold.grant_id, hold.sequence) is None,
        "a record must not have two holds",
    )
    held = row.held_tokens + hold.amount_tokens
    return attrs.evolve(row, held_tokens=held, holds=(*row.holds, hold))


def remove_hold(row: BudgetRow, hold: HoldEntry) -> BudgetRow:
    """Return the row without a hold, whose tokens become free."""
    rest = tuple(other for other in row.holds if other != hold)
    check_invariant(
        len(rest) == len(row.holds) - 1, "a removed hold must be in the row once"
    )
    held = row.held_tokens - hold.amount_tokens
    return attrs.evolve(row, held_tokens=held, holds=rest)


def put_holds(row: BudgetRow, grant_id: str, holds: tuple[HoldEntry, ...]) -> BudgetRow:
    """Return the row with all holds of one grant replaced."""
    others = tuple(hold for hold in row.holds if hold.grant_id != grant_id)
    all_holds = (*others, *holds)
    held = sum(hold.amount_tokens for hold in all_holds)
    return attrs.evolve(row, held_tokens=held, holds=all_holds)


def replace_hold(row: BudgetRow, old: HoldEntry, new: HoldEntry) -> BudgetRow:
    """Return the row with one hold replaced by another."""
    return add_hold(remove_hold(row, old), new)
