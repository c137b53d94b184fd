"""Operator actions on budgets: create, top up, read, release a hold."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs
from returns.result import Failure, Result, Success

from ..errors import Refusal, ResultCode
from ..schema import BudgetRow, Row, RowWrite, TopUpRow
from ..schema.codec import decode_as, encode
from ..storage import OutcomeUnknownError
from ._escrow import check_row, find_hold, make_budget_key, make_top_up_key
from ._holds import resolve_hold

if TYPE_CHECKING:
    from ..storage import Table

__all__ = ["create_budget", "read_budget", "release_hold", "top_up"]

# Attempts of a conditional write before a budget action is refused.
MAX_CONFLICTS = 50


async def create_budget(
    table: Table, account: str, budget: str, prepaid_tokens: int
) -> Result[BudgetRow, Refusal]:
    """Create a budget; an existing one is not changed.

    If the outcome of the write is unknown, the row is read to find out; a row with the
    same content counts as success.

    Parameters
    ----------
    table : Table
        The table service.
    account : str
        Client account.
    budget : str
        Name of the budget.
    prepaid_tokens : int
        Tokens that the client account has paid for.

    Returns
    -------
    Result of BudgetRow or Refusal
        The row; ``PLATFORM_CONFLICT`` if the budget exists already.

    Raises
    ------
    PlatformError
        If the table service did not answer.
    """
    if prepaid_tokens < 0:
        return Failure(
            _refuse(
                ResultCode.BAD_TOKEN_LIMIT, "the prepaid tokens must not be negative"
            )
        )
    row = BudgetRow(account, budget, prepaid_tokens, settled_tokens=0)
    key = make_budget_key(account, budget)
    try:
        reply = await table.transact((RowWrite(key, 0, encode(row)),))
        if reply.is_committed:
            return Success(row)
    except OutcomeUnknownError:
        existing = await read_budget(table, account, budget)
        if existing == row:
            return Success(row)
        if existing is None:
            raise
    return Failure(_refuse(ResultCode.PLATFORM_CONFLICT, "the budget exists already"))


async def top_up(
    table: Table, account: str, budget: str, top_up_id: str, amount_tokens: int
) -> Result[BudgetRow, Refusal]:
    """Add tokens to a budget; idempotent for each top-up id.

    Parameters
    ----------
    table : Table
        The table service.
    account : str
        Client account.
    budget : str
        Name of the budget.
    top_up_id : str
        Id chosen by the operator. Repeated calls with the same id add the tokens once.
    amount_tokens : int
        Tokens that the client account has paid for.

    Returns
    -------
    Result of BudgetRow or Refusal
        The row with the tokens added; ``PLATFORM_CONFLICT`` if the id was used for
        another amount, or after too many conflicts.

    Raises
    ------
    PlatformError
        If the table service did not answer; the same call may be made again.
    """
    if amount_tokens <= 0 or not top_up_id or "/" in top_up_id:
        return Failure(
            _refuse(
                ResultCode.BAD_TOKEN_LIMIT,
                "the amount must be positive and the id not empty and without a slash",
            )
        )
    keys = (
        make_budget_key(account, budget),
        make_top_up_key(account, budget, top_up_id),
    )
    requested_top_up = TopUpRow(top_up_id, amount_tokens)
    for _ in range(MAX_CONFLICTS):
        budget_row, top_up_row = await table.read(keys)
        if budget_row.version == 0:
            return Failure(_refuse(ResultCode.UNKNOWN_BUDGET, "no such budget"))
        row = decode_as(budget_row.value, BudgetRow)
        if top_up_row.version:
            return _check_repeated_top_up(top_up_row, requested_top_up, row)
        updated = check_row(
            attrs.evolve(row, prepaid_tokens=row.prepaid_tokens + amount_tokens)
        )
        writes = (
            RowWrite(keys[0], budget_row.version, encode(updated)),
            RowWrite(keys[1], 0, encode(requested_top_up)),
        )
        try:
            reply = await table.transact(writes)
        except OutcomeUnknownError:
            continue
        if reply.is_committed:
            return Success(updated)
    return Failure(_refuse(ResultCode.PLATFORM_CONFLICT, "too many conflicts"))


async def read_budget(table: Table, account: str, budget: str) -> BudgetRow | None:
    """Return a budget's row, or None if there is none.

    Parameters
    ----------
    table : Table
        The table service.
    account : str
        Client account.
    budget : str
        Name of the budget.

    Returns
    -------
    BudgetRow or None
        The row.

    Raises
    ------
    PlatformError
        If the table service did not answer.
    """
    (row,) = await table.read((make_budget_key(account, budget),))
    return decode_as(row.value, BudgetRow) if row.version else None


def _check_repeated_top_up(
    recorded: Row, requested: TopUpRow, row: BudgetRow
) -> Result[BudgetRow, Refusal]:
    """Accept a repeated top-up of the same amount, refuse one of another amount."""
    if decode_as(recorded.value, TopUpRow) == requested:
        return Success(row)
    text = "the top-up id was used for another amount"
    return Failure(_refuse(ResultCode.PLATFORM_CONFLICT, text))


def _refuse(code: ResultCode, detail: str) -> Refusal:
    """Return a refusal of an action that has changed nothing."""
    return Refusal(code, is_not_run=True, detail=detail)


async def release_hold(
    table: Table, account: str, budget: str, grant_id: str, sequence: int
) -> Result[BudgetRow, Refusal]:
    """Release held tokens that, as the operator asserts, were not used.

    Parameters
    ----------
    table : Table
        The table service.
    account : str
        Client account.
    budget : str
        Name of the budget.
    grant_id : str
        Grant of the hold.
    sequence : int
        Number of the held record; 0 for the unaccounted remainder of a grant.

    Returns
    -------
    Result of BudgetRow or Refusal
        The row without the hold; ``UNKNOWN_BUDGET`` if the budget does not exist, or
        ``PLATFORM_CONFLICT`` after too many conflicts.

    Raises
    ------
    PlatformError
        If the table service did not answer; the same call may be made again.
    """
    key = make_budget_key(account, budget)
    for _ in range(MAX_CONFLICTS):
        (stored,) = await table.read((key,))
        if stored.version == 0:
            return Failure(_refuse(ResultCode.UNKNOWN_BUDGET, "no such budget"))
        row = decode_as(stored.value, BudgetRow)
        if find_hold(row, grant_id, sequence) is None:
            return Success(row)
        updated, _ = resolve_hold(row, grant_id, sequence, used_tokens=0)
        write = RowWrite(key, stored.version, encode(check_row(updated)))
        try:
            reply = await table.transact((write,))
        except OutcomeUnknownError:
            continue
        if reply.is_committed:
            return Success(updated)
    return Failure(_refuse(ResultCode.PLATFORM_CONFLICT, "too many conflicts"))
