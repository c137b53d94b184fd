"""Clocks that the asyncio shells read; decision cores get the time as an argument."""

from __future__ import annotations

import time
from typing import Protocol

__all__ = ["Clock", "SystemClock"]


class Clock(Protocol):
    """Source of the time."""

    def monotonic(self) -> float:
        """Return seconds since an arbitrary moment; never falls."""

    def wall(self) -> float:
        """Return seconds since the epoch; may jump."""


class SystemClock:
    """Clock of the operating system."""

    def monotonic(self) -> float:
        """Return seconds since an arbitrary moment; never falls."""
        return time.monotonic()

    def wall(self) -> float:
        """Return seconds since the epoch; may jump."""
        return time.time()
