"""Tells a congested link from slow servers by the times of all responses.

A slow server changes its own response times only; a congested link changes those of
all servers, other routers and the store at the same time.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from collections.abc import Callable

__all__ = ["ResponseTimes"]

RECENT_WEIGHT = 0.3  # Of one response in the recent average.
USUAL_WEIGHT = 0.02  # Of one response in the usual average.
MIN_RESPONSES = 10  # Of an address, before its usual average is relied on.
RECENT_S = 1.0
GROWTH_FACTOR = 2.5
MIN_GROWTH_S = 0.05  # Below this, the growth may be noise of the event loop.
MIN_ADDRESSES = 3
MIN_GROWN_SHARE = 0.8


@attrs.define
class _Times:
    """Moving averages of the response times of one address."""

    usual_s: float
    recent_s: float
    noted_at: float
    n_responses: int = 1

    @property
    def has_grown(self) -> bool:
        """Whether recent responses took much longer than usual ones."""
        return self.recent_s > GROWTH_FACTOR * self.usual_s + MIN_GROWTH_S


class ResponseTimes:
    """Compares recent with usual response times, by address.

    Parameters
    ----------
    now : callable
        Returns the seconds of a monotonic clock.
    """

    def __init__(self, now: Callable[[], float]) -> None:
        self._now = now
        self._times: dict[tuple[str, int], _Times] = {}

    def note(self, address: tuple[str, int], took_s: float) -> None:
        """Record the time from a send to the first byte of the response."""
        times = self._times.get(address)
        if times is None:
            self._times[address] = _Times(took_s, took_s, self._now())
            return
        times.recent_s += (took_s - times.recent_s) * RECENT_WEIGHT
        if not times.has_grown:  # Congestion must not become the usual state.
            times.usual_s += (took_s - times.usual_s) * USUAL_WEIGHT
        times.noted_at = self._now()
        times.n_responses += 1

    def are_growing(self) -> bool:
        """Whether the times of nearly all addresses have grown together."""
        since = self._now() - RECENT_S
        recent = [
            times
            for times in self._times.values()
            if times.noted_at >= since and times.n_responses >= MIN_RESPONSES
        ]
        if len(recent) < MIN_ADDRESSES:
            return False
        return sum(t.has_grown for t in recent) >= MIN_GROWN_SHARE * len(recent)

    def forget_before(self, time: float) -> None:
        """Forget the addresses without a response since a time."""
        for address, times in list(self._times.items()):
            if times.noted_at < time:
                del self._times[address]
