"""Routing: admission, queueing and selection of a backend server for each request."""

from __future__ import annotations

from ._core import RoutingCore
from ._effects import Chosen, LogMessage, Refused
from ._interfaces import Candidate, Route, RouteRequest, Selector
from ._link import LinkRateLimiter, LinkUse
from ._prefixes import PrefixIndex
from ._service import RoutingService

__all__ = [
    "Candidate",
    "Chosen",
    "LinkRateLimiter",
    "LinkUse",
    "LogMessage",
    "PrefixIndex",
    "Refused",
    "Route",
    "RouteRequest",
    "RoutingCore",
    "RoutingService",
    "Selector",
]
