"""Estimates when queued requests start, and remembers the ones that were refused."""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Hashable
from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

__all__ = ["Claim", "StartTimes"]

# Places obtained within this time give the rate at which a queue moves. A router of a
# large fleet gets a few places per second.
RATE_WINDOW_S = 2.0
MIN_PLACES = 3  # Fewer give no rate, and no request is refused for it.
# Callers honour a Retry-After up to a third of their remaining time.
MAX_RETRY_S = 5.0
MIN_RETRY_S = 0.05
REFUSED_TTL_S = 15.0  # Of the longest deadline; by then the caller has given up.
MAX_REFUSED = 4096  # Remembered requests; the earliest are dropped first.
# One place of this many goes to the request that waits for longest. It keeps later
# priorities, accounts and deadlines from starving.
PLACES_PER_LONGEST_WAIT = 8
# Puts the orders of returned requests before those of all others.
RETURNED_ORDER = 1e9


@attrs.define(kw_only=True)
class Claim:
    """What the order of the queue depends on, besides the priority.

    Attributes
    ----------
    deadline_at : float
        The request's deadline.
    arrived_at : float
        When the request arrived.
    key : hashable
        Identifies the request when its caller sends it again.
    latest_start : float
        When it has to start to respond in time.
    capacity_at : float or None
        Set to the time at which capacity is expected, if the request is refused.
    """

    deadline_at: float
    arrived_at: float
    key: Hashable
    latest_start: float = math.inf
    capacity_at: float | None = None


class StartTimes:
    """Estimated starts of the queued requests of one router.

    Parameters
    ----------
    now : callable
        Returns the seconds of the clock of the claims.
    """

    def __init__(self, now: Callable[[], float]) -> None:
        self._now = now
        self._placed_at: dict[str, deque[float]] = {}
        self._n_placed: dict[str, int] = {}
        self._refused: dict[Hashable, tuple[float, float]] = {}
        self.n_refused = 0  # Requests refused because they would start too late.
        self.n_returned = 0  # Refused requests that came back.

    def note_placed(self, service: str) -> None:
        """Record that a queued request of a service has obtained a place."""
        placed_at = self._placed_at.setdefault(service, deque())
        placed_at.append(self._now())
        self._n_placed[service] = self._n_placed.get(service, 0) + 1

    def is_longest_wait_next(self, service: str) -> bool:
        """Whether the next place is for the request that waits for longest."""
        n_placed = self._n_placed.get(service, 0)
        return n_placed % PLACES_PER_LONGEST_WAIT == PLACES_PER_LONGEST_WAIT - 1

    def estimate_wait_s(self, service: str, n_ahead: int) -> float:
        """Return the expected wait in the queue, 0 if its rate is not known.

        Only places of queued requests count: without a queue the rate of places is that
        of the arrivals.
        """
        placed_at = self._placed_at.get(service, deque())
        since = self._now() - RATE_WINDOW_S
        while placed_at and placed_at[0] < since:
            placed_at.popleft()
        if len(placed_at) < MIN_PLACES:
            return 0.0
        return (n_ahead + 1) * RATE_WINDOW_S / len(placed_at)

    def note_waiting(self, claim: Claim, run_s: float, waits_until: float) -> float:
        """Record how long a request may wait; return its order in its priority.

        A request that came back after a refusal goes before all that did not, by its
        first arrival. Among the others, the one whose time runs out first goes first.

        Parameters
        ----------
        claim : Claim
            The request.
        run_s : float
            Expected time from the send to the first event, infinite if not known.
        waits_until : float
            When the request is refused in any case if it has no place.
        """
        claim.latest_start = waits_until
        if not math.isinf(run_s):
            claim.latest_start = min(waits_until, claim.deadline_at - run_s)
        first_arrived_at = self.find_first_arrival(claim)
        if first_arrived_at is None:
            return claim.latest_start
        self.n_returned += 1
        return first_arrived_at - RETURNED_ORDER

    def is_late(self, claim: Claim, service: str, n_ahead: int) -> bool:
        """Whether a request behind `n_ahead` others is expected to start too late."""
        wait_s = self.estimate_wait_s(service, n_ahead)
        return self._now() + wait_s > claim.latest_start

    def displaces(self, service: str, n_ahead: int, later: Iterable[Claim]) -> bool:
        """Whether a new request makes one of those behind it, in their order, late.

        Without this check, each queued request is admitted in time and then overtaken
        by later ones with less time, until none of them starts in time.
        """
        return any(
            self.is_late(claim, service, n_ahead + 1 + index)
            and not self.is_late(claim, service, n_ahead + index)
            for index, claim in enumerate(later)
        )

    def refuse(self, claim: Claim, service: str, n_ahead: int, run_s: float) -> None:
        """Record a refusal, and when capacity is expected for the request."""
        # Half of the time at the server has to pass before it is a better choice.
        wait_s = self.estimate_wait_s(service, n_ahead)
        wait_s += 0.0 if math.isinf(run_s) else run_s / 2
        claim.capacity_at = self._now() + min(MAX_RETRY_S, max(MIN_RETRY_S, wait_s))
        self.n_refused += 1

    def find_first_arrival(self, claim: Claim) -> float | None:
        """Return when a refused request arrived first, None if it was not refused."""
        refused = self._refused.get(claim.key)
        if refused is None or self._now() - refused[1] > REFUSED_TTL_S:
            return None
        return refused[0]

    def note_refused(self, claim: Claim) -> None:
        """Remember a request that was refused without a place."""
        first_arrived_at = self.find_first_arrival(claim)
        self._refused.pop(claim.key, None)
        self._refused[claim.key] = (
            claim.arrived_at if first_arrived_at is None else first_arrived_at,
            self._now(),
        )
        while len(self._refused) > MAX_REFUSED:
            del self._refused[next(iter(self._refused))]

    def note_served(self, claim: Claim) -> None:
        """Forget the refusals of a request that has obtained a place."""
        self._refused.pop(claim.key, None)
