"""Limits the memory for buffered answers, over all requests of the process."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

__all__ = ["AnswerMemory"]

# Share of the process's memory for buffered answers, each counted once. Three copies of
# an answer exist while it is sent, so that answers can occupy three times this share.
MEMORY_SHARE = 0.125


class AnswerMemory:
    """Tracks the size of each buffered answer and drops the largest above the limit.

    An answer is identified by its callback, which must be hashable and which ends the
    response as broken. An answer is dropped by subtracting its bytes from the total and
    calling the callback.

    Parameters
    ----------
    memory_bytes : int
        Memory limit of the process.
    """

    def __init__(self, memory_bytes: int) -> None:
        self.limit_bytes = int(memory_bytes * MEMORY_SHARE)
        self.held_bytes = 0
        # Highest value of `held_bytes` since the start, taken after answers were
        # dropped and thus never above the limit.
        self.peak_bytes = 0
        self._bytes_by_drop: dict[Callable[[], None], int] = {}

    def hold(self, drop: Callable[[], None], count: int) -> None:
        """Add `count` bytes to the answer that the callback `drop` ends.

        While the total exceeds the limit, the largest answer is dropped, which may be
        this one.
        """
        self._bytes_by_drop[drop] = self._bytes_by_drop.get(drop, 0) + count
        self.held_bytes += count
        while self.held_bytes > self.limit_bytes:
            largest = max(self._bytes_by_drop, key=self._bytes_by_drop.__getitem__)
            self.release(largest)
            largest()
        self.peak_bytes = max(self.peak_bytes, self.held_bytes)

    def release(self, drop: Callable[[], None]) -> None:
        """Subtract an answer's bytes from the total; its callback is not called."""
        self.held_bytes -= self._bytes_by_drop.pop(drop, 0)
