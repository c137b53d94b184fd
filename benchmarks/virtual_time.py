"""An asyncio loop whose clock jumps to the next timer, so that waits cost nothing."""

from __future__ import annotations

import asyncio
import selectors
from typing import TYPE_CHECKING, Any, TypeVar

if TYPE_CHECKING:
    from collections.abc import Coroutine

__all__ = ["VirtualClock", "VirtualLoop", "run_virtual"]

T = TypeVar("T")

WALL_START_S = 1_700_000_000.0


class _JumpingSelector(selectors.SelectSelector):
    """Selector that advances the loop's clock instead of waiting."""

    def __init__(self) -> None:
        super().__init__()
        self.now_s = 0.0

    def select(self, timeout: float | None = None) -> list[Any]:
        if timeout is None:
            raise RuntimeError("every task waits for something that never comes")
        self.now_s += max(0.0, timeout)
        return []


class VirtualLoop(asyncio.SelectorEventLoop):
    """Event loop on virtual time."""

    def __init__(self) -> None:
        self._jumping = _JumpingSelector()
        super().__init__(self._jumping)
        self._clock_resolution = 1e-9

    def time(self) -> float:
        """Return the virtual time, in seconds."""
        return self._jumping.now_s


class VirtualClock:
    """Clock of one host on a virtual loop.

    Parameters
    ----------
    loop : asyncio.AbstractEventLoop
        The loop.
    speed : float
        Seconds that the clock counts for each second of the loop.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop, speed: float = 1.0) -> None:
        self._loop = loop
        self._speed = speed

    def monotonic(self) -> float:
        """Return seconds since the start."""
        return self._loop.time() * self._speed

    def wall(self) -> float:
        """Return seconds since the epoch."""
        return WALL_START_S + self._loop.time() * self._speed


def run_virtual(main: Coroutine[Any, Any, T]) -> T:
    """Run a coroutine on a virtual loop and return its result.

    Parameters
    ----------
    main : coroutine
        The program.

    Returns
    -------
    object
        Its result.

    Examples
    --------
    >>> run_virtual(asyncio.sleep(3600, "done"))
    'done'
    """
    with asyncio.Runner(loop_factory=VirtualLoop) as runner:
        return runner.run(main)
