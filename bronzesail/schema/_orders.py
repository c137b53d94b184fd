"""Rows of orders to engines. Generated from orders.json; do not edit."""

from __future__ import annotations

from typing import ClassVar

import attrs

__all__ = ["EngineSetup", "OrderRow", "OrderSettings", "WeightStoreRow"]


@attrs.frozen
class EngineSetup:
    """What an engine has loaded, or should have; an empty field is not asked for.

    Attributes
    ----------
    model : str
        Name of the model.
    adapter : str
        Name of the adapter.
    version : str
        Version of the model.
    role : str
        Role of the engine, such as prefill or decode.
    """

    model: str = ""
    adapter: str = ""
    version: str = ""
    role: str = ""


@attrs.frozen
class OrderRow:
    """Setup asked of one backend server, and the lease of the router that orders it.

    Attributes
    ----------
    backend : str
        Name of the backend server.
    wanted : EngineSetup
        Setup asked for.
    number : int
        Number of the operator's order, from 1.
    operator : str
        Name of the operator who placed it.
    confirmed_number : int
        Number of the last order that the engine was seen to follow.
    fence : int
        Fencing number; raised whenever the holder changes, never lowered.
    holder : str
        Identity of the holder; empty for none.
    attempt : int
        Number of the holder's lease, raised by each renewal.
    """

    CODE: ClassVar[int] = 220

    backend: str
    wanted: EngineSetup
    number: int = 0
    operator: str = ""
    confirmed_number: int = 0
    fence: int = 0
    holder: str = ""
    attempt: int = 0


@attrs.frozen
class WeightStoreRow:
    """Rate limit of the weight store, shared by the fleet.

    Attributes
    ----------
    next_ms : int
        Wall time from which the next load may start, in milliseconds since the epoch.
    """

    CODE: ClassVar[int] = 221

    next_ms: int


@attrs.frozen
class OrderSettings:
    """Settings of orders to engines.

    Attributes
    ----------
    lease_s : float
        Time for which a holder may give orders, in seconds.
    longest_order_s : float
        Greatest time from giving an order until it took effect or never will, in
        seconds.
    check_interval_s : float
        Time between two looks at a row and at an engine, in seconds.
    load_interval_s : float
        Time between two loads from the weight store in the whole fleet, in seconds.
    """

    lease_s: float = 15.0
    longest_order_s: float = 120.0
    check_interval_s: float = 10.0
    load_interval_s: float = 5.0
