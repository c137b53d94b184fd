"""Chooses the requests that a saturated link still carries, without performing I/O.

Each request body and each answer crosses the link of its host once in each direction.
The data of the admitted requests that have not ended therefore tells how long the link
needs for them. A request is admitted if that time fits into its own.
"""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from collections.abc import Callable, Hashable

__all__ = ["LinkAdmission", "LinkRequest"]

USABLE_SHARE = 0.85  # Of the link; headers of packets and acknowledgements need some.
# Share of a request's remaining time that the transfers before it may take.
WAIT_SHARE = 0.5
MIN_HORIZON_S = 0.3  # Objectives are for an idle link, and some are near a round trip.
RANK_FACTOR = 0.75  # For each rank that is more urgent than that of the request.
MIN_RANK_FACTOR = 0.3
MIN_SIZE_FACTOR = 0.6  # Of requests that are much larger than the average.
RANK_MEMORY_S = 5.0  # A rank without a request for this long does not count.
SIZE_WEIGHT = 0.1  # Of one answer in the moving averages of its route.
PRESENT_S = 1.0  # What is sent later than this does not make others wait now.
DEFAULT_ANSWER_BYTES = 2000  # Of a route without an answer yet.
# A rank, account or size without an admitted request for this long gets the next one.
MAX_STARVED_S = 1.0
REFUSED_WINDOW_S = 1.0
MAX_KEYS = 2000  # Ranks, accounts and sizes that are tracked.


@attrs.frozen(kw_only=True)
class LinkRequest:
    """What the admission to the link depends on.

    Attributes
    ----------
    route, account : str
        Names of the route and of the client account.
    rank : int
        Priority; lower numbers are more urgent.
    request_bytes : int
        Size of head and body.
    remaining_s : float
        Time until the deadline.
    objective_s : float
        Latency objective of the route.
    """

    route: str
    account: str
    rank: int
    request_bytes: int
    remaining_s: float
    objective_s: float


@attrs.frozen
class _Pending:
    """An admitted request that has not ended."""

    route: str
    present_bytes: int
    admitted_at: float
    is_usual: bool  # Whether it was admitted without shedding.


class LinkAdmission:
    """Tracks the data of the admitted requests and decides on new ones.

    Parameters
    ----------
    bytes_per_s : float
        Capacity of the link in each direction.
    now : callable
        Returns the seconds of a monotonic clock.
    count_queued : callable, optional
        Returns the written bytes that the link has not carried yet.
    """

    def __init__(
        self,
        bytes_per_s: float,
        now: Callable[[], float],
        count_queued: Callable[[], float] = lambda: 0.0,
    ) -> None:
        self._bytes_per_s = max(1.0, bytes_per_s * USABLE_SHARE)
        self._now = now
        self._count_queued = count_queued
        self._pending: dict[Hashable, _Pending] = {}
        self._durations: dict[str, float] = {}  # By route, without shedding.
        self._pending_bytes = 0
        self._answer_bytes: dict[str, float] = {}
        self._mean_bytes = float(DEFAULT_ANSWER_BYTES)
        self._ranks: dict[int, float] = {}  # When a request of a rank came last.
        self._admitted_at: dict[tuple[int, str, int], float] = {}
        self._refused: deque[tuple[float, int]] = deque()

    def estimate_bytes(self, request: LinkRequest) -> int:
        """Return the bytes that a request and its answer send in one direction."""
        answer = self._answer_bytes.get(request.route, DEFAULT_ANSWER_BYTES)
        return request.request_bytes + int(answer)

    def admit(
        self,
        key: Hashable,
        request: LinkRequest,
        *,
        is_shedding: bool,
        is_aside: bool = False,
    ) -> bool:
        """Admit a request, or not if the link does not carry it in time.

        Without shedding every request is admitted.

        Parameters
        ----------
        key : hashable
            Identifies the request for `note_ended`.
        request : LinkRequest
            The request.
        is_shedding : bool
            Whether the link is saturated.
        is_aside : bool, optional
            Whether the host reports not ready. Only what is queued now counts then, as
            the surge leaves within seconds and refused callers come back here before.
        """
        now = self._now()
        size = self.estimate_bytes(request)
        group = (request.rank, request.account, size.bit_length() // 2)
        self._ranks[request.rank] = now
        if is_shedding and not self._fits(request, size, group, is_aside=is_aside):
            self._refused.append((now, size))
            self._admitted_at.setdefault(group, now)
            return False
        if len(self._admitted_at) > MAX_KEYS:
            self._admitted_at.clear()
        self._admitted_at[group] = now
        self._mean_bytes += (size - self._mean_bytes) * SIZE_WEIGHT
        present = self._estimate_present_bytes(request, size)
        self._pending[key] = _Pending(request.route, present, now, not is_shedding)
        self._pending_bytes += present
        return True

    def note_ended(self, key: Hashable, answer_bytes: int) -> None:
        """Record the end of an admitted request, and the size of its answer."""
        pending = self._pending.pop(key, None)
        if pending is None:
            return
        route = pending.route
        self._pending_bytes -= pending.present_bytes
        mean = self._answer_bytes.get(route, float(answer_bytes))
        self._answer_bytes[route] = mean + (answer_bytes - mean) * SIZE_WEIGHT
        if pending.is_usual:
            took_s = self._now() - pending.admitted_at
            usual_s = self._durations.get(route, took_s)
            self._durations[route] = usual_s + (took_s - usual_s) * SIZE_WEIGHT

    def compute_refused_bytes_per_s(self) -> float:
        """Return the bytes a second of the requests refused in the last second."""
        since = self._now() - REFUSED_WINDOW_S
        while self._refused and self._refused[0][0] < since:
            self._refused.popleft()
        return sum(size for _, size in self._refused) / REFUSED_WINDOW_S

    def _estimate_present_bytes(self, request: LinkRequest, size: int) -> int:
        """Return the bytes that a request is expected to send within `PRESENT_S`.

        A long stream spreads its answer over its duration, and does not make others
        wait for all of it.
        """
        duration_s = self._durations.get(request.route, 0.0)
        share = min(1.0, PRESENT_S / duration_s) if duration_s else 1.0
        return request.request_bytes + int((size - request.request_bytes) * share)

    def _fits(
        self,
        request: LinkRequest,
        size: int,
        group: tuple[int, str, int],
        *,
        is_aside: bool,
    ) -> bool:
        """Whether the link carries a request in time, beside those admitted."""
        queued_bytes = self._count_queued()
        if not is_aside:
            queued_bytes += self._pending_bytes
        if not queued_bytes:
            return True
        present = self._estimate_present_bytes(request, size)
        wait_s = (queued_bytes + present) / self._bytes_per_s
        most_s = request.remaining_s * WAIT_SHARE
        now = self._now()
        if now - self._admitted_at.get(group, now) >= MAX_STARVED_S:
            return wait_s <= most_s
        horizon_s = min(most_s, max(MIN_HORIZON_S, request.objective_s))
        rank_factor = self._find_rank_factor(request.rank)
        size_factor = max(MIN_SIZE_FACTOR, min(1.0, self._mean_bytes / size))
        return wait_s <= horizon_s * rank_factor * size_factor

    def _find_rank_factor(self, rank: int) -> float:
        """Return the share of its horizon that a rank may use."""
        since = self._now() - RANK_MEMORY_S
        n_more_urgent = sum(
            other < rank and at >= since for other, at in self._ranks.items()
        )
        return max(MIN_RANK_FACTOR, RANK_FACTOR**n_more_urgent)
