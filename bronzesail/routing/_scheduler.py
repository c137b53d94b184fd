"""Picks the queued request to dispatch next."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from ..schema import RoutingSettings
from ._candidates import Choice, ServerChooser
from ._queue import QueuedRequest, WaitingQueue

if TYPE_CHECKING:
    import random

    from ._pool import Pool

__all__ = ["Assignment", "Scheduler"]


@attrs.frozen
class Assignment:
    """A queued request and the backend server that can accept it.

    Attributes
    ----------
    queued : QueuedRequest
        The request.
    choice : Choice
        Its backend server, and the candidates that were scored.
    rank : float
        Rank of the request, including the bonus for its cached prefix; the smallest is
        dispatched first.
    """

    queued: QueuedRequest
    choice: Choice
    rank: float


@attrs.frozen
class Scheduler:
    """Determines the order in which queued requests are dispatched.

    Requests rank by priority, raised by the time in the queue. A request whose prompt
    is cached on the chosen server counts as if it had waited up to `affinity_wait_ms`
    longer. Only the first `queue_window` requests of each queue are compared.

    Attributes
    ----------
    settings : RoutingSettings
        Settings, such as the queue window.
    queue : WaitingQueue
        Queued requests.
    chooser : Chooser
        Chooses the backend server of a request.
    """

    settings: RoutingSettings
    queue: WaitingQueue
    chooser: ServerChooser

    def pick(
        self, pools: dict[str, Pool], now: float, rng: random.Random
    ) -> Assignment | None:
        """Return the next request to dispatch.

        A suspect for which no backend server is idle gets one reserved, so that it is
        not starved by other requests.

        Parameters
        ----------
        pools : dict of str to Pool
            Backend servers by service.
        now : float
            Monotonic time, in seconds.
        rng : random.Random
            Random generator for the candidate samples.

        Returns
        -------
        Offer or None
            The request and its backend server; None if none can be dispatched now.
        """
        best: Assignment | None = None
        for queued in self.queue.list_first(self.settings.queue_window):
            pool = pools[queued.request.service]
            choice = self.chooser.choose(pool, queued, now, rng)
            if choice is None:
                if queued.request.is_suspect:
                    pool.reserve_for_suspect(queued.request, now)
                continue
            rank = queued.compute_rank(
                now, self._compute_affinity_bonus(queued, choice)
            )
            if best is None or rank < best.rank:
                best = Assignment(queued, choice, rank)
        return best

    def _compute_affinity_bonus(self, queued: QueuedRequest, choice: Choice) -> float:
        """Return the bonus for the cached share of the prompt, in milliseconds."""
        n_cached = self.chooser.scorer.count_cached_tokens(choice.server, queued)
        share = n_cached / max(1, queued.request.prompt_tokens)
        return share * self.settings.affinity_wait_ms
