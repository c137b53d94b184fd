"""Measures how much of its host's link a router uses, without performing I/O."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ._response_times import ResponseTimes

if TYPE_CHECKING:
    from collections.abc import Callable

__all__ = ["BYTES_PER_S_PER_MBPS", "LONG_WINDOW_S", "SHORT_WINDOW_S", "LinkUsage"]

SHORT_WINDOW_S = 0.25
LONG_WINDOW_S = 1.0
BUCKET_S = 0.05
N_BUCKETS = round(LONG_WINDOW_S / BUCKET_S)
BYTES_PER_S_PER_MBPS = 125_000


class LinkUsage:
    """Counts the bytes that cross a link in each direction, over sliding windows.

    Parameters
    ----------
    link_mbps : float
        Capacity of the link in each direction, in Mbit/s; 0 if it is not known.
    now : callable
        Returns the seconds of a monotonic clock.

    Attributes
    ----------
    bytes_per_s : float
        Capacity of the link in each direction.
    unsent_bytes : int
        Bytes in write buffers, as of the last sample.
    oldest_unsent_s : float
        For how long the write buffer that has waited longest was not empty.
    now : callable
        Returns the seconds of a monotonic clock.
    response_times : ResponseTimes
        Times of the responses of servers, routers and the store.
    loop_lag_s : float
        By how much the event loop was late, as of the last sample.
    """

    def __init__(self, link_mbps: float, now: Callable[[], float]) -> None:
        self.bytes_per_s = max(0.0, link_mbps) * BYTES_PER_S_PER_MBPS
        self.unsent_bytes = 0
        self.oldest_unsent_s = 0.0
        self.loop_lag_s = 0.0
        self.now = now
        self.response_times = ResponseTimes(now)
        self._bucket = 0  # Number of the newest bucket since the clock's zero.
        self._received = [0] * N_BUCKETS
        self._sent = [0] * N_BUCKETS
        self._from_callers = [0] * N_BUCKETS  # Both directions together.
        self._unsent_since: dict[int, float] = {}
        self._queued_bytes = 0.0
        self._queued_at = now()

    def note_received(self, count: int, *, is_caller: bool = False) -> None:
        """Record bytes that have arrived."""
        index = self._advance()
        self._received[index] += count
        if is_caller:
            self._from_callers[index] += count

    def note_sent(self, count: int, *, is_caller: bool = False) -> None:
        """Record bytes that were written."""
        self._queued_bytes = self.count_queued() + count
        self._queued_at = self.now()
        index = self._advance()
        self._sent[index] += count
        if is_caller:
            self._from_callers[index] += count

    def count_queued(self) -> float:
        """Return the written bytes that the link cannot have carried yet.

        Most of them wait in buffers of the kernel and of the network.
        """
        carried = (self.now() - self._queued_at) * self.bytes_per_s
        return max(0.0, self._queued_bytes - carried)

    def compute_use(self, window_s: float) -> float:
        """Return the used share of the link in its busier direction.

        It exceeds 1 while more is written than the link carries, and is 0 if the
        capacity is not known.
        """
        if not self.bytes_per_s:
            return 0.0
        most = max(self._sum(self._received, window_s), self._sum(self._sent, window_s))
        return most / window_s / self.bytes_per_s

    def compute_caller_share(self) -> float:
        """Return the share of callers' connections in the bytes of the long window."""
        total = self._sum(self._received, LONG_WINDOW_S)
        total += self._sum(self._sent, LONG_WINDOW_S)
        return self._sum(self._from_callers, LONG_WINDOW_S) / total if total else 0.0

    def note_unsent(self, unsent_by_connection: dict[int, int]) -> None:
        """Record the sizes of the write buffers that are not empty.

        Parameters
        ----------
        unsent_by_connection : dict
            Bytes by a number that identifies the connection.
        """
        now = self.now()
        self._unsent_since = {
            key: self._unsent_since.get(key, now) for key in unsent_by_connection
        }
        self.unsent_bytes = sum(unsent_by_connection.values())
        self.oldest_unsent_s = now - min(self._unsent_since.values(), default=now)

    def _advance(self) -> int:
        """Empty the buckets that have expired; return the index of the current one."""
        bucket = int(self.now() / BUCKET_S)
        for expired in range(max(self._bucket + 1, bucket - N_BUCKETS + 1), bucket + 1):
            index = expired % N_BUCKETS
            self._received[index] = self._sent[index] = self._from_callers[index] = 0
        self._bucket = max(self._bucket, bucket)
        return self._bucket % N_BUCKETS

    def _sum(self, counts: list[int], window_s: float) -> int:
        """Return the sum of the newest buckets of a window."""
        newest = self._advance()
        n_buckets = round(window_s / BUCKET_S)
        return sum(counts[(newest - i) % N_BUCKETS] for i in range(n_buckets))
