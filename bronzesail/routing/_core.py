"""Sans-I/O core of routing: queues, server states and decisions.

The core never reads a clock and performs no I/O. Each method receives the present time
and returns effects, which `RoutingService` applies.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..util.prefix import hash_blocks
from ._admission import Admission
from ._candidates import ServerChooser, count_link_bytes
from ._dispatches import Dispatch, DispatchTracker
from ._effects import Chosen, LogMessage, Refused
from ._interfaces import Route
from ._link import LinkUse
from ._pool import Pool
from ._prefixes import PrefixIndex
from ._queue import QueuedRequest, WaitingQueue
from ._scheduler import Scheduler
from ._scores import Scorer

if TYPE_CHECKING:
    import random
    from collections.abc import Iterable

    from ..schema import CacheEventsReply, HostEntry, LoadReport, RoutingSettings
    from ._candidates import Choice
    from ._effects import Effect
    from ._interfaces import RouteRequest
    from ._link import LinkRateLimiter
    from ._servers import ServerState

__all__ = ["RoutingCore"]


class RoutingCore:
    """Queues requests and chooses a backend server for each.

    The caller passes in the time and the random generator, so that runs are
    reproducible.

    Parameters
    ----------
    settings : RoutingSettings
        Settings of routing.
    region : str
        Region of this router.
    link : LinkRateLimiter
        Rate limiter of the inter-region link.
    """

    def __init__(
        self, settings: RoutingSettings, region: str, link: LinkRateLimiter
    ) -> None:
        self._settings = settings
        self._link = link
        self._prefixes = PrefixIndex(
            settings.prefix_blocks, settings.prefix_blocks_total
        )
        self._scorer = Scorer(settings, region, self._prefixes)
        self._chooser = ServerChooser(settings, region, self._scorer, link)
        self._pools: dict[str, Pool] = {}
        self._queue = WaitingQueue()
        self._admission = Admission(settings, self._queue)
        self._scheduler = Scheduler(settings, self._queue, self._chooser)
        self._dispatches = DispatchTracker()
        self._next_number = 1

    @property
    def n_waiting(self) -> int:
        """Number of queued requests."""
        return len(self._queue)

    @property
    def n_in_flight(self) -> int:
        """Number of dispatched requests whose route has not been released."""
        return len(self._dispatches)

    @property
    def prefixes(self) -> PrefixIndex:
        """Index of the prompt prefixes that backend servers have cached."""
        return self._prefixes

    def update_servers(
        self,
        service: str,
        entries: Iterable[HostEntry],
        now: float,
        n_routers: int = 1,
    ) -> None:
        """Replace the list of a service's backend servers.

        Parameters
        ----------
        service : str
            Name of the service.
        entries : iterable of HostEntry
            Its backend servers; draining ones have `is_leaving` set.
        now : float
            Monotonic time, in seconds.
        n_routers : int
            Routers of the region that share them, including this one.
        """
        pool = self._pools.setdefault(service, Pool(self._settings))
        pool.n_routers = max(1, n_routers)
        for host in pool.update(entries, now):
            self._prefixes.drop(host)

    def submit(
        self, request: RouteRequest, now: float, rng: random.Random
    ) -> tuple[int, list[Effect]]:
        """Queue a request, and dispatch it at once if a backend server can accept it.

        Parameters
        ----------
        request : RouteRequest
            The request.
        now : float
            Monotonic time, in seconds.
        rng : random.Random
            Random generator for the candidate samples.

        Returns
        -------
        number : int
            Number by which effects and `cancel` refer to the request.
        effects : list of Effect
            The choice or refusal of this request, and of others that were queued;
            none for this request while it stays queued.
        """
        queued = QueuedRequest(
            self._next_number, request, hash_blocks(request.prompt), now
        )
        self._next_number += 1
        pool = self._pools.get(request.service)
        refusal = self._admission.find_refusal(pool, request, now)
        if refusal is not None:
            return queued.number, [Refused(queued.number, refusal)]
        self._queue.add(queued)
        return queued.number, self.advance(now, rng)

    def cancel(self, number: int) -> bool:
        """Remove a request from its queue.

        Parameters
        ----------
        number : int
            Number that `submit` returned.

        Returns
        -------
        bool
            Whether the request was queued.
        """
        return self._queue.remove(number)

    def advance(self, now: float, rng: random.Random) -> list[Effect]:
        """Refuse queued requests past their deadline and dispatch all that can be.

        Parameters
        ----------
        now : float
            Monotonic time, in seconds.
        rng : random.Random
            Random generator for the candidate samples.

        Returns
        -------
        list of Effect
            The choices and refusals.
        """
        effects: list[Effect] = list(self._admission.expire(self._pools, now))
        self._end_reservations()
        chosen = self._dispatch_next(now, rng)
        while chosen is not None:
            effects.append(chosen)
            chosen = self._dispatch_next(now, rng)
        return effects

    def note_first_token(self, route: Route) -> None:
        """Record that the first part of an answer arrived.

        Parameters
        ----------
        route : Route
            Route of the request.
        """
        dispatch = self._dispatches.note_first_token(route)
        if dispatch is not None:
            dispatch.server.health.note_success()

    def release(
        self,
        route: Route,
        output_tokens: int,
        is_failed: bool,
        now: float,
        rng: random.Random,
    ) -> list[Effect]:
        """Record the end of a dispatch and reuse the freed capacity.

        Parameters
        ----------
        route : Route
            Route of the request; it must be released exactly once.
        output_tokens : int
            Tokens that the backend server generated.
        is_failed : bool
            Whether the backend server failed.
        now : float
            Monotonic time, in seconds.
        rng : random.Random
            Random generator for the candidate samples.

        Returns
        -------
        list of Effect
            Choices and refusals of queued requests, and log messages.

        Raises
        ------
        InvariantError
            If the route was released before.
        """
        dispatch = self._dispatches.close(route, now)
        effects: list[Effect] = []
        if self._chooser.is_remote(dispatch.server):
            n_bytes = output_tokens * self._settings.answer_bytes_per_token
            self._link.record(LinkUse.DATA, n_bytes, now)
        if is_failed:
            self._prefixes.drop(dispatch.server.entry.host)
            effects += self._count_failure(dispatch.pool, dispatch.server, now)
        else:
            dispatch.server.health.note_success()
            dispatch.pool.service_time.add(now - dispatch.dispatched_at)
        return effects + self.advance(now, rng)

    def note_report(
        self, service: str, host: str, report: LoadReport, now: float
    ) -> None:
        """Update the state of a backend server from its load report.

        Parameters
        ----------
        service, host : str
            Names of the service and the backend server.
        report : LoadReport
            The report.
        now : float
            Monotonic time, in seconds.
        """
        pool = self._pools.get(service)
        server = pool.find(host) if pool is not None else None
        if pool is None or server is None:
            return
        server.note_report(report, now)
        pool.refresh_mean_other_requests(now)

    def note_report_failed(self, service: str, host: str, now: float) -> list[Effect]:
        """Count a failed load report poll as a failure of the backend server.

        Parameters
        ----------
        service, host : str
            Names of the service and the backend server.
        now : float
            Monotonic time, in seconds.

        Returns
        -------
        list of Effect
            A log message if the server was ejected; otherwise empty.
        """
        pool = self._pools.get(service)
        server = pool.find(host) if pool is not None else None
        if pool is None or server is None:
            return []
        return self._count_failure(pool, server, now)

    def note_events(self, host: str, reply: CacheEventsReply) -> list[Effect]:
        """Update the prefix index from a backend server's cache events.

        Parameters
        ----------
        host : str
            Name of the backend server.
        reply : CacheEventsReply
            Reply to the poll.

        Returns
        -------
        list of Effect
            A log message if the server's entries were dropped; otherwise empty.
        """
        if self._prefixes.note_incarnation(host, reply.incarnation):
            return [
                LogMessage(f"{host} restarted; its prefix index entries were dropped")
            ]
        if self._prefixes.apply(host, reply.events):
            return []
        return [
            LogMessage(
                f"cache events of {host} were lost; its prefix index entries dropped"
            )
        ]

    def _dispatch_next(self, now: float, rng: random.Random) -> Chosen | None:
        """Dispatch the next queued request; return None if none can be."""
        assignment = self._scheduler.pick(self._pools, now, rng)
        if assignment is None:
            return None
        queued = assignment.queued
        self._queue.remove(queued.number)
        pool = self._pools[queued.request.service]
        return Chosen(
            queued.number, self._dispatch(pool, queued, assignment.choice, now)
        )

    def _end_reservations(self) -> None:
        """Cancel reservations of services without a queued suspect."""
        for service, pool in self._pools.items():
            if pool.reserved_host and not self._queue.has_suspect(service):
                pool.reserved_host = ""

    def _dispatch(
        self, pool: Pool, queued: QueuedRequest, choice: Choice, now: float
    ) -> Route:
        """Open a dispatch, and record its link bytes and its prefix."""
        server = choice.server
        route = Route(queued.request, server.entry, choice.candidates)
        n_cached = self._scorer.count_cached_tokens(server, queued)
        n_uncached = queued.request.prompt_tokens - n_cached
        self._dispatches.open(Dispatch(route, pool, server, n_uncached, now))
        if queued.request.is_suspect:
            pool.reserved_host = ""
        if self._chooser.is_remote(server):
            n_bytes = count_link_bytes(queued, 0, self._settings)
            self._link.record(LinkUse.DATA, n_bytes, now)
        self._prefixes.add_prompt(server.entry.host, queued.block_hashes)
        return route

    def _count_failure(
        self, pool: Pool, server: ServerState, now: float
    ) -> list[Effect]:
        """Count a failure, and eject the server if the threshold is reached."""
        if not server.health.note_failure():
            return []
        duration_s = pool.eject(server, now)
        if duration_s == 0.0:
            return []
        host = server.entry.host
        return [LogMessage(f"backend server {host} ejected for {duration_s:g} s")]
