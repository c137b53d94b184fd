"""Orders that change what an engine has loaded, or its role.

An operator writes the wanted setup of a backend server into a row of the table
service. The router that holds the row's lease sends the engine the orders that lead
to this setup; each order carries the lease's fencing number.
"""

from __future__ import annotations

from ._actions import (
    Action,
    EngineOrder,
    OrderOutcome,
    OrderTiming,
    ReadRow,
    ReadSetup,
    ReserveLoad,
    SendOrder,
    Wait,
    WriteRow,
)
from ._core import OrderCore
from ._engine import HttpEnginePort
from ._keeper import OrderKeeper
from ._log import OrderLog
from ._placing import decode_order_row, make_order_key, place_in_table, read_order
from ._ports import EnginePort, OrderReport, OrderTarget, SetupUnknownError
from ._rows import place_order
from ._service import OrderService
from ._weights import WEIGHT_STORE_KEY, WeightStoreLimit

__all__ = [
    "Action",
    "EngineOrder",
    "EnginePort",
    "SendOrder",
    "HttpEnginePort",
    "OrderCore",
    "OrderKeeper",
    "OrderLog",
    "OrderOutcome",
    "OrderReport",
    "OrderService",
    "OrderTarget",
    "OrderTiming",
    "ReadRow",
    "ReadSetup",
    "ReserveLoad",
    "SetupUnknownError",
    "WEIGHT_STORE_KEY",
    "Wait",
    "WeightStoreLimit",
    "WriteRow",
    "decode_order_row",
    "make_order_key",
    "place_in_table",
    "place_order",
    "read_order",
]
