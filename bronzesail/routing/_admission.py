"""Admission control: refuses requests before any byte is sent to a backend server."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from ..errors import Refusal, ResultCode
from ..schema import RoutingSettings
from ._effects import Refused
from ._queue import WaitingQueue

if TYPE_CHECKING:
    from ._interfaces import RouteRequest
    from ._pool import Pool
    from ._queue import QueuedRequest

__all__ = ["Admission"]

# Bounds of the retry-after time, in seconds, that is derived from the estimated wait.
MIN_RETRY_AFTER_S = 0.5
MAX_RETRY_AFTER_S = 30.0

# Retry-after time, in seconds, when no backend server is available, because no wait
# can be estimated then.
NO_BACKEND_RETRY_AFTER_S = 2.0


@attrs.frozen
class Admission:
    """Decides on arrival whether a request may be queued, and expires queued ones.

    Attributes
    ----------
    settings : RoutingSettings
        Settings, of which the queue limit is used.
    queue : WaitingQueue
        Queued requests.
    """

    settings: RoutingSettings
    queue: WaitingQueue

    def estimate_wait(self, pool: Pool, request: RouteRequest) -> float:
        """Return the estimated time that a new request would wait in the queue.

        By Little's law, requests complete at a rate equal to the number in flight
        divided by the mean service time.

        Parameters
        ----------
        pool : Pool
            The service's backend servers.
        request : RouteRequest
            The new request.

        Returns
        -------
        float
            Estimated wait, in seconds.
        """
        n_ahead = self.queue.count_ahead(request.service, request.priority)
        n_own_in_flight = max(1, pool.count_own_in_flight())
        return n_ahead * pool.service_time.mean_s / n_own_in_flight

    def find_refusal(
        self, pool: Pool | None, request: RouteRequest, now: float
    ) -> Refusal | None:
        """Return the refusal of a new request, if it must not be queued.

        Parameters
        ----------
        pool : Pool or None
            The service's backend servers; None if the service is not known.
        request : RouteRequest
            The request.
        now : float
            Monotonic time, in seconds.

        Returns
        -------
        Refusal or None
            The refusal; None if the request may be queued. A request is refused if
            no backend server is available, if its class's queue is full, or if the
            estimated wait exceeds its deadline while others of its class wait.
        """
        if pool is None or not pool.list_allowed(request, now):
            return Refusal(
                ResultCode.NO_BACKEND,
                is_not_run=True,
                detail="No backend server offers the service now.",
                retry_after_s=NO_BACKEND_RETRY_AFTER_S,
            )
        n_in_class = self.queue.count_class(request.service, request.class_name)
        wait_s = self.estimate_wait(pool, request)
        misses_deadline = n_in_class > 0 and wait_s > request.deadline - now
        if n_in_class < self.settings.queue_limit and not misses_deadline:
            return None
        return Refusal(
            ResultCode.OVERLOADED,
            is_not_run=True,
            detail=(
                f"The queue of class {request.class_name} is full,"
                " or its wait exceeds the deadline."
            ),
            retry_after_s=_clamp_retry_after(wait_s),
        )

    def expire(self, pools: dict[str, Pool], now: float) -> list[Refused]:
        """Remove the queued requests whose deadline has passed.

        Parameters
        ----------
        pools : dict of str to Pool
            Backend servers by service.
        now : float
            Monotonic time, in seconds.

        Returns
        -------
        list of Refused
            One refusal for each removed request.
        """
        effects = []
        for queued in self.queue.iterate():
            if queued.request.deadline > now:
                continue
            self.queue.remove(queued.number)
            effects.append(self._refuse_expired(pools[queued.request.service], queued))
        return effects

    def _refuse_expired(self, pool: Pool, queued: QueuedRequest) -> Refused:
        """Return the refusal of a request whose deadline has passed."""
        refusal = Refusal(
            ResultCode.DEADLINE_PASSED,
            is_not_run=True,
            detail="The deadline passed while the request was queued.",
            retry_after_s=_clamp_retry_after(self.estimate_wait(pool, queued.request)),
        )
        return Refused(queued.number, refusal)


def _clamp_retry_after(wait_s: float) -> float:
    """Return a retry-after time, in seconds, within its bounds."""
    return min(MAX_RETRY_AFTER_S, max(MIN_RETRY_AFTER_S, wait_s))
