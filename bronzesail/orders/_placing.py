"""Place an operator's order in the table."""

from __future__ import annotations

from typing import TYPE_CHECKING

from returns.result import Failure, Result, Success

from ..errors import Refusal, ResultCode
from ..schema import EngineSetup, OrderRow, RowWrite
from ..schema.codec import decode_as, encode
from ..storage import OutcomeUnknownError, PlatformError
from ._rows import place_order

if TYPE_CHECKING:
    from ..schema import Row
    from ..storage import Table

__all__ = ["decode_order_row", "make_order_key", "place_in_table", "read_order"]


def make_order_key(backend: str) -> str:
    """Return the key of a backend server's order row.

    Parameters
    ----------
    backend : str
        Name of the backend server.

    Returns
    -------
    str
        The key.

    Examples
    --------
    >>> make_order_key("desk-1")
    'orders/desk-1'
    """
    return f"orders/{backend}"


def decode_order_row(backend: str, row: Row) -> OrderRow:
    """Return the content of an order row; an absent one asks for nothing.

    Parameters
    ----------
    backend : str
        Name of the backend server.
    row : Row
        Row of the table.

    Returns
    -------
    OrderRow
        The content.

    Raises
    ------
    CodecError
        If the row is not an order row.
    """
    if row.version == 0:
        return OrderRow(backend, EngineSetup())
    return decode_as(row.value, OrderRow)


async def read_order(table: Table, backend: str) -> OrderRow:
    """Return what is asked of a backend server, and who orders it.

    Parameters
    ----------
    table : Table
        Table service.
    backend : str
        Name of the backend server.

    Returns
    -------
    OrderRow
        The row; one that asks for nothing if there is none.

    Raises
    ------
    PlatformError
        If the table service did not answer.
    CodecError
        If the row is not an order row.
    """
    (row,) = await table.read((make_order_key(backend),))
    return decode_order_row(backend, row)


async def place_in_table(
    table: Table,
    backend: str,
    wanted: EngineSetup,
    operator: str,
    seen_number: int | None = None,
) -> Result[OrderRow, Refusal]:
    """Place an order, unless another operator placed one first.

    Parameters
    ----------
    table : Table
        Table service.
    backend : str
        Name of the backend server.
    wanted : EngineSetup
        Setup asked for; an empty field keeps what was asked before.
    operator : str
        Name of the operator.
    seen_number : int or None
        Number of the order that the operator saw in force; None for the one in
        force when this call begins.

    Returns
    -------
    Result of OrderRow or Refusal
        The row with the order, or the reason why it was not placed.
    """
    key = make_order_key(backend)
    while True:
        try:
            (row,) = await table.read((key,))
        except PlatformError as error:
            return _refuse(ResultCode.PLATFORM_UNREACHABLE, str(error))
        found = decode_order_row(backend, row)
        if seen_number is None:
            seen_number = found.number
        if found.number != seen_number:
            return _judge_conflict(found, wanted, operator, seen_number)
        placed = place_order(found, wanted, operator)
        try:
            reply = await table.transact((RowWrite(key, row.version, encode(placed)),))
        except OutcomeUnknownError:
            continue
        except PlatformError as error:
            return _refuse(ResultCode.PLATFORM_UNREACHABLE, str(error))
        if reply.is_committed:
            return Success(placed)


def _judge_conflict(
    found: OrderRow, wanted: EngineSetup, operator: str, seen_number: int
) -> Result[OrderRow, Refusal]:
    # After a lost answer, this call's own order is found in the row.
    is_own = found.operator == operator and found.number == seen_number + 1
    if is_own and place_order(found, wanted, operator).wanted == found.wanted:
        return Success(found)
    detail = f"{found.operator} placed order {found.number} on {found.backend} first"
    return _refuse(ResultCode.CONFIGURATION_CONFLICT, detail)


def _refuse(code: ResultCode, detail: str) -> Result[OrderRow, Refusal]:
    return Failure(Refusal(code, is_not_run=True, detail=detail))
