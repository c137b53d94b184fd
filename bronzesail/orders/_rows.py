"""Pure functions that compute changes of an order row and the next order."""

from __future__ import annotations

import attrs

from ..schema import EngineSetup, OrderRow
from ._actions import EngineOrder

__all__ = [
    "confirm_order",
    "find_difference",
    "is_load",
    "place_order",
    "release_lease",
    "take_lease",
]

# Order in which the fields of a setup are brought to their wanted values.
FIELDS_IN_ORDER = ("model", "version", "adapter", "role")
ACTION_BY_FIELD = {
    "model": "load-model",
    "version": "load-version",
    "adapter": "load-adapter",
    "role": "change-role",
}


def place_order(row: OrderRow, wanted: EngineSetup, operator: str) -> OrderRow:
    """Return the row with an operator's order added; the lease is unchanged.

    Parameters
    ----------
    row : OrderRow
        Current row.
    wanted : EngineSetup
        Wanted setup; an empty field keeps its previous value.
    operator : str
        Name of the operator.

    Returns
    -------
    OrderRow
        New row.
    """
    merged = {
        field: getattr(wanted, field) or getattr(row.wanted, field)
        for field in FIELDS_IN_ORDER
    }
    return attrs.evolve(
        row, wanted=EngineSetup(**merged), operator=operator, number=row.number + 1
    )


def take_lease(row: OrderRow, holder: str, attempt: int, min_fence: int) -> OrderRow:
    """Return the row with a new or renewed lease.

    The fencing number is raised if the holder changes, or if it is lower than the
    smallest one that the engine accepts.

    Parameters
    ----------
    row : OrderRow
        Current row.
    holder : str
        Identity of the new holder.
    attempt : int
        Number of the lease among those that the holder has written.
    min_fence : int
        Smallest fencing number that the engine accepts.

    Returns
    -------
    OrderRow
        New row.
    """
    fence = row.fence if row.holder == holder else row.fence + 1
    return attrs.evolve(
        row, holder=holder, attempt=attempt, fence=max(fence, min_fence)
    )


def confirm_order(row: OrderRow) -> OrderRow:
    """Return the row with its current order marked as carried out."""
    return attrs.evolve(row, confirmed_number=row.number)


def release_lease(row: OrderRow) -> OrderRow:
    """Return the row without a holder and with its order marked as carried out."""
    return attrs.evolve(confirm_order(row), holder="", attempt=0)


def find_difference(
    wanted: EngineSetup, actual: EngineSetup, fence: int
) -> EngineOrder | None:
    """Return the order for the first field that differs from the wanted setup.

    Parameters
    ----------
    wanted : EngineSetup
        Wanted setup; empty fields are ignored.
    actual : EngineSetup
        Setup that the engine reported.
    fence : int
        Fencing number of the order.

    Returns
    -------
    EngineOrder or None
        Next order, or None if the engine has the wanted setup.

    Examples
    --------
    >>> find_difference(EngineSetup(role="decode"), EngineSetup(model="m"), 3)
    EngineOrder(fence=3, action='change-role', argument='decode')
    """
    for field in FIELDS_IN_ORDER:
        argument = getattr(wanted, field)
        if argument in ("", getattr(actual, field)):
            continue
        return EngineOrder(fence, ACTION_BY_FIELD[field], argument)
    return None


def is_load(order: EngineOrder) -> bool:
    """Return whether the engine reads from the weight store to execute the order."""
    return order.action != ACTION_BY_FIELD["role"]
