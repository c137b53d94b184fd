"""A clock that includes suspended time, and bounds of the store's clock."""

from __future__ import annotations

import time

__all__ = ["StoreClock", "read_clock"]


def read_clock() -> float:
    """Return the seconds of a monotonic clock that includes suspended time."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class StoreClock:
    """Bounds the store's monotonic clock by the timestamps in its answers.

    The store read a timestamp at some time between the sending of the request and the
    arrival of the answer. Local times are those of `read_clock`.
    """

    def __init__(self) -> None:
        self._sent_at = 0.0
        self._received_at = 0.0
        self._clock_s: float | None = None

    def observe(self, clock_s: float, sent_at: float, received_at: float) -> None:
        """Record a timestamp from an answer unless it is older than the last one."""
        if self._clock_s is not None and clock_s < self._clock_s:
            return
        self._clock_s = clock_s
        self._sent_at = sent_at
        self._received_at = received_at

    def reset(self) -> None:
        """Forget all timestamps, because the store may have another clock now."""
        self._clock_s = None

    def read_earliest(self, at: float) -> float:
        """Return a lower bound of the store's clock at the local time `at`."""
        return (self._clock_s or 0.0) + at - self._received_at

    def read_latest(self, at: float) -> float:
        """Return an upper bound of the store's clock at the local time `at`."""
        return (self._clock_s or 0.0) + at - self._sent_at
