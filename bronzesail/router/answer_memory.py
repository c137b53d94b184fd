"""Bounds the answers that are collected, over all requests of the process."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

__all__ = ["AnswerMemory"]

MEMORY_SHARE = 0.125  # Of the process's; an answer is held thrice when it is sent.


class AnswerMemory:
    """What each collected answer holds; the largest goes when there is no room.

    Parameters
    ----------
    memory_bytes : int
        What the process may use.
    """

    def __init__(self, memory_bytes: int) -> None:
        self.limit_bytes = int(memory_bytes * MEMORY_SHARE)
        self.held_bytes = 0
        self.most_bytes = 0  # Held at once since the start.
        self._held: dict[Callable[[], None], int] = {}

    def hold(self, drop: Callable[[], None], count: int) -> None:
        """Take it that an answer holds `count` more bytes; `drop` ends that answer.

        While all answers hold more than the limit, the largest of them is dropped,
        which may be this one.
        """
        self._held[drop] = self._held.get(drop, 0) + count
        self.held_bytes += count
        while self.held_bytes > self.limit_bytes:
            largest = max(self._held, key=self._held.__getitem__)
            self.release(largest)
            largest()
        self.most_bytes = max(self.most_bytes, self.held_bytes)

    def release(self, drop: Callable[[], None]) -> None:
        """Take it that an answer holds nothing any more."""
        self.held_bytes -= self._held.pop(drop, 0)
