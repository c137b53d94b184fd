"""Reads and places the operators' orders in the table service."""

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
        Key of the row.

    Examples
    --------
    >>> make_order_key("desk-1")
    'orders/desk-1'
    """
    return f"orders/{backend}"


def decode_order_row(backend: str, row: Row) -> OrderRow:
    """Return the content of an order row, with an empty setup if it does not exist.

    Parameters
    ----------
    backend : str
        Name of the backend server.
    row : Row
        Row as read from the table service.

    Returns
    -------
    OrderRow
        Content of the row.

    Raises
    ------
    CodecError
        If the value is not a valid order row.
    """
    if row.version == 0:
        return OrderRow(backend, EngineSetup())
    return decode_as(row.value, OrderRow)


async def read_order(table: Table, backend: str) -> OrderRow:
    """Return the order row of a backend server: its wanted setup and its lease.

    Parameters
    ----------
    table : Table
        Table service.
    backend : str
        Name of the backend server.

    Returns
    -------
    OrderRow
        Content of the row; has an empty setup if the row does not exist.

    Raises
    ------
    PlatformError
        If the table service did not answer.
    CodecError
        If the value is not a valid order row.
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
    """Place an order, unless another order was placed in the meantime.

    If the answer to a write is lost, the row is read again to find out whether the
    order was placed.

    Parameters
    ----------
    table : Table
        Table service.
    backend : str
        Name of the backend server.
    wanted : EngineSetup
        Wanted setup; an empty field keeps its previous value.
    operator : str
        Name of the operator.
    seen_number : int or None
        Number of the last order that the operator has seen; None for the number that
        is found in the row when this call starts.

    Returns
    -------
    Result of OrderRow or Refusal
        New content of the row, or the reason why the order was not placed.
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
            return _resolve_conflict(found, wanted, operator, seen_number)
        placed = place_order(found, wanted, operator)
        try:
            reply = await table.transact((RowWrite(key, row.version, encode(placed)),))
        except OutcomeUnknownError:
            continue
        except PlatformError as error:
            return _refuse(ResultCode.PLATFORM_UNREACHABLE, str(error))
        if reply.is_committed:
            return Success(placed)


def _resolve_conflict(
    found: OrderRow, wanted: EngineSetup, operator: str, seen_number: int
) -> Result[OrderRow, Refusal]:
    # The write succeeded but its answer was lost, so that this call finds its own
    # order in the row.
    is_own = found.operator == operator and found.number == seen_number + 1
    if is_own and place_order(found, wanted, operator).wanted == found.wanted:
        return Success(found)
    detail = f"{found.operator} placed order {found.number} on {found.backend} first"
    return _refuse(ResultCode.CONFIGURATION_CONFLICT, detail)


def _refuse(code: ResultCode, detail: str) -> Result[OrderRow, Refusal]:
    return Failure(Refusal(code, is_not_run=True, detail=detail))
