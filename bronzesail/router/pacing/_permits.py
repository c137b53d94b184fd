"""Counts the requests that a router may send to a server by its share of a rate."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from collections.abc import Callable

__all__ = ["PermitBucket"]

SHARE_CACHE_S = 0.25  # How long a computed share is used.


@attrs.define(kw_only=True)
class PermitBucket:
    """One router's permits to send requests to one server.

    Attributes
    ----------
    share_per_s : float
        Requests a second that this router may send.
    computed_at : float
        When the share was computed.
    permits : float
        Requests that this router may send now.
    updated_at : float
        When the permits were counted.
    """

    share_per_s: float = 0.0
    computed_at: float = -math.inf
    permits: float = 0.0
    updated_at: float = 0.0

    def update(
        self, now: float, compute_share: Callable[[], float], burst_s: float
    ) -> None:
        """Add the permits of the time since the last update.

        Parameters
        ----------
        now : float
            The current time.
        compute_share : callable
            Returns the requests a second that this router may send.
        burst_s : float
            Time at the share's rate whose permits may be saved up; one permit always
            may be.
        """
        if now - self.computed_at >= SHARE_CACHE_S:
            share_per_s = compute_share()
            if not self.share_per_s:
                # A new sharer has saved up nothing.
                self.permits, self.updated_at = min(0.0, self.permits), now
            self.share_per_s, self.computed_at = share_per_s, now
        added = (now - self.updated_at) * self.share_per_s
        most = max(1.0, self.share_per_s * burst_s)
        self.permits = min(most, self.permits + added)
        self.updated_at = now

    def find_wait_s(self) -> float:
        """Return the time until the next permit, infinite without a share."""
        if not self.share_per_s:
            return math.inf
        return max(0.0, 1 - self.permits) / self.share_per_s

    def take(self) -> None:
        """Use up one permit."""
        self.permits -= 1
