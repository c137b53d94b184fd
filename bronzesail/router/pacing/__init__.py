"""Limits the requests to backend servers that have just started or recovered."""

from __future__ import annotations

from ._cold_servers import ColdServers
from ._permits import PermitBucket
from ._rate_limits import RateLimit, RateLimits

__all__ = ["ColdServers", "PermitBucket", "RateLimit", "RateLimits"]
