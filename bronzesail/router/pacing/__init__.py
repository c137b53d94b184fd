"""Limits the requests to backend servers that have just started or recovered."""

from __future__ import annotations

from ._cold_servers import ColdServers
from ._permits import PermitBucket
from ._rate_limits import RateLimit, RateLimits
from ._server_pace import PaceEnd, ServerPace

__all__ = [
    "ColdServers",
    "PaceEnd",
    "PermitBucket",
    "RateLimit",
    "RateLimits",
    "ServerPace",
]
