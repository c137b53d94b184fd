"""Combines the limits on the rate of requests that this router sends to a server."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from ...model import BackendServer

__all__ = ["RateLimit", "RateLimits"]


class RateLimit(Protocol):
    """A limit that the routers of a fleet share."""

    def find_wait_s(self, server: BackendServer) -> float:
        """Return the time until this router may send the next request to a server."""

    def find_share(self, server: BackendServer) -> float | None:
        """Return the requests a second that this router may send, None if unlimited."""

    def take_permit(self, server: BackendServer) -> None:
        """Record that a request is about to be sent to a server."""


class RateLimits:
    """Several limits, all of which hold at the same time.

    Parameters
    ----------
    *limits : RateLimit
        The limits.
    """

    def __init__(self, *limits: RateLimit) -> None:
        self._limits = limits

    def find_wait_s(self, server: BackendServer) -> float:
        """Return the time until all limits allow the next request to a server."""
        wait_s = 0.0
        for limit in self._limits:  # Called for each server and request.
            wait_s = max(wait_s, limit.find_wait_s(server))
        return wait_s

    def find_share(self, server: BackendServer) -> float | None:
        """Return the lowest share of the limits, None if there is no limit."""
        shares = [limit.find_share(server) for limit in self._limits]
        return min((share for share in shares if share is not None), default=None)

    def take_permit(self, server: BackendServer) -> None:
        """Record with all limits that a request is about to be sent to a server."""
        for limit in self._limits:
            limit.take_permit(server)
