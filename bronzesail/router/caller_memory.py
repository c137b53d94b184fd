"""Bounds the bytes that the router holds for callers and servers that read slowly.

The connections that take what they are given at the slowest rate are aborted first. A
connection that reads well is never aborted; new request bodies are refused instead.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, Protocol

import attrs

if TYPE_CHECKING:
    from collections.abc import Callable

    from .log import Log

__all__ = [
    "SMALL_MEMORY_BYTES",
    "CallerMemory",
    "Holder",
    "Usage",
]

# Hosts below this limit always need the bound; their sockets alone could exhaust it.
SMALL_MEMORY_BYTES = 600_000_000
# Share of the process's memory for unsent bytes and request bodies. Collected answers
# take up to three times an eighth besides.
MEMORY_SHARE = 0.2
# Slow connections are aborted from this share of the bound on, down to the next one.
HIGH_SHARE = 0.75
LOW_SHARE = 0.65
# The sum is only an upper estimate between two counts. It may grow by this share of the
# bound before the connections are counted again.
RECOUNT_SHARE = 0.02
RATE_WINDOW_S = 1.0  # Time constant of the moving average of a connection's rate.
MIN_RATE_INTERVAL_S = 0.1  # A rate over a shorter time says little.
# A connection is judged after this time; until then only when the bound is reached.
JUDGED_AFTER_S = 1.0
# A connection reads well if it takes what is held for it within this time, or at this
# rate: a small share of a link of 5 Mbit/s.
GOOD_DRAIN_S = 4.0
GOOD_RATE_BYTES_PER_S = 32_768.0


class Holder(Protocol):
    """A connection for whose other end bytes are held."""

    def measure_usage(self) -> Usage:
        """Return the bytes that are held now and those that were moved so far."""

    def abort_slow(self) -> None:
        """Abort the connection, so that its response cannot appear complete."""

    def describe(self) -> str:
        """Return the kind of the other end, for the log."""


@attrs.frozen
class Usage:
    """What is held for a connection.

    Attributes
    ----------
    held_bytes : int
        Unsent bytes, and those of request bodies that are not served yet.
    moved_bytes : int
        Bytes that the other end has taken or sent since the connection was opened.
    """

    held_bytes: int
    moved_bytes: int


@attrs.define
class _Reader:
    """Progress of a connection since bytes are held for it."""

    since: float
    held_bytes: int
    moved_bytes: int
    seen_at: float
    moved_at: float
    rate: float = 0.0

    def observe(self, usage: Usage, now: float) -> None:
        """Update the rate by what was moved since the last observation."""
        self.held_bytes = usage.held_bytes
        elapsed_s = now - self.seen_at
        if elapsed_s < MIN_RATE_INTERVAL_S:
            return
        moved = max(0, usage.moved_bytes - self.moved_bytes)
        weight = 1 - math.exp(-elapsed_s / RATE_WINDOW_S)
        self.rate += weight * (moved / elapsed_s - self.rate)
        if moved:
            self.moved_at = now
        self.moved_bytes = usage.moved_bytes
        self.seen_at = now

    @property
    def drain_s(self) -> float:
        """Time that the other end needs to take what is held, at its rate."""
        return self.held_bytes / max(self.rate, 1.0)

    @property
    def is_good(self) -> bool:
        """Whether the other end reads, or sends, well."""
        return self.drain_s <= GOOD_DRAIN_S or self.rate >= GOOD_RATE_BYTES_PER_S


class CallerMemory:
    """Tracks the bytes held for all connections and aborts the slowest ones.

    Parameters
    ----------
    memory_bytes : int
        Memory limit of the process.
    now : callable
        Returns the seconds of a monotonic clock.
    log : Log
        Log for aborted connections.
    is_enabled : bool, optional
        Whether connections are aborted; bytes are counted in any case.

    Attributes
    ----------
    limit_bytes : int
        The bound.
    held_bytes : int
        Bytes held now; between two counts this is an upper estimate.
    peak_bytes : int
        Highest value of `held_bytes` after a count.
    n_aborted, n_refused : int
        Connections aborted, and request bodies refused, so far.
    """

    def __init__(
        self,
        memory_bytes: int,
        now: Callable[[], float],
        log: Log,
        *,
        is_enabled: bool = True,
    ) -> None:
        self._now = now
        self._log = log
        self._is_enabled = is_enabled
        self.limit_bytes = int(memory_bytes * MEMORY_SHARE)
        self.held_bytes = 0
        self.peak_bytes = 0
        self.n_aborted = 0
        self.n_refused = 0
        self._recount_at = int(self.limit_bytes * HIGH_SHARE)
        self._readers: dict[Holder, _Reader] = {}

    def note_growth(self, holder: Holder, count: int) -> None:
        """Record that up to `count` more bytes are held for a connection.

        This may abort connections, and also this one.
        """
        if holder not in self._readers:
            now = self._now()
            moved = holder.measure_usage().moved_bytes
            self._readers[holder] = _Reader(now, 0, moved, now, now)
        self._readers[holder].held_bytes += count
        self.held_bytes += count
        if self.held_bytes > self._recount_at:
            self.check()

    def accepts_body(self, holder: Holder, count: int) -> bool:
        """Record `count` bytes of a request body, or return False if there is no room.

        The bytes must not be part of the connection's usage yet: at the bound, it would
        be aborted as one that was not judged, and its caller not told when to retry.
        """
        if self._is_enabled and self.held_bytes + count > self.limit_bytes:
            self.check()
            if self.held_bytes + count > self.limit_bytes:
                self.n_refused += 1
                return False
        self.note_growth(holder, count)
        return True

    def forget(self, holder: Holder) -> None:
        """Stop tracking a connection that has ended."""
        reader = self._readers.pop(holder, None)
        if reader is not None:
            self.held_bytes -= reader.held_bytes

    def check(self) -> None:
        """Count what is held, and abort slow connections if it is too much."""
        self._count()
        if self.held_bytes > self.limit_bytes * HIGH_SHARE and self._is_enabled:
            self._abort_slowest()
        self.peak_bytes = max(self.peak_bytes, self.held_bytes)
        self._recount_at = max(
            int(self.limit_bytes * HIGH_SHARE),
            self.held_bytes + int(self.limit_bytes * RECOUNT_SHARE),
        )

    def _count(self) -> None:
        """Update all connections, and drop those for which nothing is held."""
        now = self._now()
        for holder, reader in list(self._readers.items()):
            usage = holder.measure_usage()
            if not usage.held_bytes:
                del self._readers[holder]
                continue
            reader.observe(usage, now)
        self.held_bytes = sum(r.held_bytes for r in self._readers.values())

    def _abort_slowest(self) -> None:
        """Abort the slowest connections until enough memory is free.

        Those that were not judged yet are spared unless the bound is reached.
        """
        now = self._now()
        slowest_first = sorted(
            self._readers.items(), key=lambda item: item[1].drain_s, reverse=True
        )
        for is_at_bound in (False, True):
            for holder, reader in slowest_first:
                is_judged = now - reader.since >= JUDGED_AFTER_S
                if is_judged is is_at_bound or reader.is_good:
                    continue
                target = self.limit_bytes * (1 if is_at_bound else LOW_SHARE)
                if self.held_bytes <= target:
                    break
                self._abort(holder, reader)

    def _abort(self, holder: Holder, reader: _Reader) -> None:
        """Abort one connection."""
        self.forget(holder)
        self.n_aborted += 1
        now = self._now()
        self._log.write(
            "memory: slow connection aborted",
            peer=holder.describe(),
            unsent_bytes=reader.held_bytes,
            rate_bytes_per_s=round(reader.rate),
            since_s=round(now - reader.since, 2),
            without_progress_s=round(now - reader.moved_at, 2),
            held_bytes=self.held_bytes,
            limit_bytes=self.limit_bytes,
        )
        holder.abort_slow()
