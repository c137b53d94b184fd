"""Prefix cache of the model engine stand-in, with late and lost events."""

from __future__ import annotations

import random
from collections import OrderedDict, deque

import attrs

__all__ = ["CacheEvent", "PrefixCache"]

KEPT_EVENTS = 20_000


@attrs.frozen
class CacheEvent:
    """One change of the cache.

    Attributes
    ----------
    seq : int
        Number of the event since the engine started, from 1.
    kind : str
        Either stored or evicted.
    block : bytes
        Chained hash of the block.
    visible_at : float
        Monotonic time from which it is reported, in seconds.
    """

    seq: int
    kind: str
    block: bytes
    visible_at: float


class PrefixCache:
    """Least-recently-used cache of prompt blocks.

    Parameters
    ----------
    capacity : int
        Greatest number of blocks.
    seed : int
        Seed of the random losses.
    """

    def __init__(self, capacity: int, seed: int) -> None:
        self._capacity = capacity
        self._random = random.Random(seed)
        self._blocks: OrderedDict[bytes, None] = OrderedDict()
        self._events: deque[CacheEvent] = deque(maxlen=KEPT_EVENTS)
        self._last_seq = 0

    def match(self, blocks: tuple[bytes, ...]) -> int:
        """Return how many leading blocks are cached, and mark them as used.

        Parameters
        ----------
        blocks : tuple of bytes
            Chained hashes of a prompt.

        Returns
        -------
        int
            Number of leading blocks.
        """
        n_cached = 0
        for block in blocks:
            if block not in self._blocks:
                break
            n_cached += 1
        # The root is refreshed last, so that a chain is evicted from its end.
        for block in reversed(blocks[:n_cached]):
            self._blocks.move_to_end(block)
        return n_cached

    def store(self, blocks: tuple[bytes, ...], visible_at: float, loss: float) -> None:
        """Add a prompt's blocks and evict the least recently used ones.

        Parameters
        ----------
        blocks : tuple of bytes
            Chained hashes of a prompt.
        visible_at : float
            Monotonic time from which the events are reported, in seconds.
        loss : float
            Probability that an event is left out.
        """
        kept = blocks[: self._capacity]
        for block in reversed(kept):
            is_new = block not in self._blocks
            self._blocks[block] = None
            self._blocks.move_to_end(block)
            if is_new:
                self._report("stored", block, visible_at, loss)
        while len(self._blocks) > self._capacity:
            block, _ = self._blocks.popitem(last=False)
            self._report("evicted", block, visible_at, loss)

    def list_events(self, after: int, now: float) -> list[CacheEvent]:
        """Return the events that are visible now.

        Parameters
        ----------
        after : int
            Number of the last event that the caller has.
        now : float
            Monotonic time, in seconds.

        Returns
        -------
        list of CacheEvent
            The events, in order, with gaps where some were lost.
        """
        return [
            event
            for event in self._events
            if event.seq > after and event.visible_at <= now
        ]

    def find_last_seq(self, now: float) -> int:
        """Return the number of the last event that is visible now, or 0."""
        for event in reversed(self._events):
            if event.visible_at <= now:
                return event.seq
        return 0

    def _report(self, kind: str, block: bytes, visible_at: float, loss: float) -> None:
        self._last_seq += 1
        if self._random.random() < loss:
            return
        self._events.append(CacheEvent(self._last_seq, kind, block, visible_at))
