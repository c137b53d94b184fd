"""Clocks: one that counts suspended time too, and the store's as seen from here."""

from __future__ import annotations

import time

__all__ = ["StoreClock", "read_clock"]


def read_clock() -> float:
    """Return seconds on a clock that also counts while the machine is suspended."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class StoreClock:
    """Bounds of the store's steady clock, from the answers that carry it."""

    def __init__(self) -> None:
        self._sent_at = 0.0
        self._received_at = 0.0
        self._clock_s: float | None = None

    def see(self, clock_s: float, sent_at: float, received_at: float) -> None:
        """Take the clock that an answer carries."""
        if self._clock_s is not None and clock_s < self._clock_s:
            return
        self._clock_s = clock_s
        self._sent_at = sent_at
        self._received_at = received_at

    def read_earliest(self, at: float) -> float:
        """Return a value that the store's clock has certainly reached at `at`."""
        return (self._clock_s or 0.0) + at - self._received_at

    def read_latest(self, at: float) -> float:
        """Return a value that the store's clock has certainly not passed at `at`."""
        return (self._clock_s or 0.0) + at - self._sent_at
