"""Types that the router and the platform's adapter share."""

from __future__ import annotations

from ._rows import Row, RowCheck, RowKey, RowsAnswer, RowWrite, StoreVersion
from ._types import (
    AnswerHead,
    BackendServer,
    Bounds,
    ClientAccount,
    Configuration,
    Engine,
    Feature,
    HostSettings,
    Limits,
    RequestHead,
    RequestKind,
    Route,
    Service,
    StoreSettings,
)

__all__ = [
    "AnswerHead",
    "BackendServer",
    "Bounds",
    "ClientAccount",
    "Configuration",
    "Engine",
    "Feature",
    "HostSettings",
    "Limits",
    "RequestHead",
    "RequestKind",
    "Route",
    "Row",
    "RowCheck",
    "RowKey",
    "RowWrite",
    "RowsAnswer",
    "Service",
    "StoreSettings",
    "StoreVersion",
]
