"""Routing: admission, queueing and selection of a backend server for each request."""

from __future__ import annotations

from ._core import RoutingCore
from ._effects import Chosen, LogMessage, Refused
from ._interfaces import Candidate, Route, RouteOrder, Selector
from ._link import LinkAccount, LinkUse
from ._prefixes import PrefixIndex
from ._service import RoutingService

__all__ = [
    "Candidate",
    "Chosen",
    "LinkAccount",
    "LinkUse",
    "LogMessage",
    "PrefixIndex",
    "Refused",
    "Route",
    "RouteOrder",
    "RoutingCore",
    "RoutingService",
    "Selector",
]
