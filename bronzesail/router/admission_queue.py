"""Queues requests by priority until a backend server has capacity."""

from __future__ import annotations

import asyncio
import bisect
import heapq
import itertools
import math
from collections.abc import Callable, Sequence
from typing import TYPE_CHECKING

import attrs

from ..model import BackendServer, Engine
from .eligibility import combine_regions
from .estimates import Claim
from .placement import Work
from .withdrawals import RAMP_S

if TYPE_CHECKING:
    from collections.abc import Iterable

    from .brittle_servers import BrittleServers
    from .directory import Directory
    from .estimates import StartTimes
    from .pacing import RateLimit, ServerPace
    from .placement import Placement
    from .server_lives import ServerLives

__all__ = ["AdmissionQueue", "Verdict"]

# Requests that an engine may have, as a multiple of its slots; further ones are queued.
ENGINE_REQUESTS_PER_SLOT = 1.1
# The same for a plain service. A plain request runs for a tenth of its latency
# objective, so that four per slot, one after the other, fit into it.
PLAIN_REQUESTS_PER_SLOT = 4.0
# Share of the time that a request may wait. A server that responds within it is soon
# enough, so that the times at the others need not be estimated.
ENOUGH_SHARE = 0.2
# Interval at which the estimated starts of all queued requests are checked again.
REVIEW_S = 0.25
RECHECK_S = 0.05  # The end of other routers' requests triggers no event here.


@attrs.frozen
class Verdict:
    """What the queue and the placement make of one server for one request.

    Attributes
    ----------
    server : BackendServer
        The server.
    cost_s : float
        Estimated cost of sending the request there, without affinity for its prompt
        unless the server is considered.
    reason : str or None
        Why the server is not considered, None if it is.
    is_chosen : bool
        Whether the request would be sent to it.
    """

    server: BackendServer
    cost_s: float
    reason: str | None
    is_chosen: bool


@attrs.define(order=False)
class _QueuedRequest:
    """A queued request, and the future that receives its server."""

    work: Work
    engine: Engine | None
    version: str | None
    excluded: Sequence[str]
    future: asyncio.Future[BackendServer | None]
    deadline: float
    find_regions: Callable[[], frozenset[str] | None]
    claim: Claim | None = None  # None if the service has no start estimates.


class AdmissionQueue:
    """One priority queue of requests for each service.

    Parameters
    ----------
    directory : Directory
        The usable servers.
    placement : Placement
        Tracks the servers' loads and chooses among them.
    limits : RateLimit
        The request rates of servers that have announced one or are cold.
    brittle : BrittleServers
        The room at servers that must not reject many requests.
    lives : ServerLives
        The servers whose version is in doubt, which no stream may go on at.
    pace : ServerPace, optional
        The room at servers that have started or recovered.
    start_times : StartTimes, optional
        Estimates when queued requests start; by default there are no estimates.
    """

    def __init__(
        self,
        directory: Directory,
        placement: Placement,
        limits: RateLimit,
        brittle: BrittleServers,
        lives: ServerLives,
        pace: ServerPace | None = None,
        start_times: StartTimes | None = None,
    ) -> None:
        self._directory = directory
        self._placement = placement
        self._limits = limits
        self._brittle = brittle
        self._lives = lives
        self._pace = pace
        self._start_times = start_times
        self._reviews: set[str] = set()  # Services with a review under way.
        self._permit_timers: dict[str, asyncio.TimerHandle] = {}
        # By priority, order among equals and arrival.
        self._queues: dict[str, list[tuple[int, float, int, _QueuedRequest]]] = {}
        self._sequence = itertools.count()

    async def find_server(
        self,
        service: str,
        work: Work,
        engine: Engine | None,
        excluded: Sequence[str],
        rank: int,
        deadline: float,
        version: str | None = None,
        find_regions: Callable[[], frozenset[str] | None] = lambda: None,
        claim: Claim | None = None,
    ) -> BackendServer | None:
        """Return a server with capacity, waiting for one if necessary.

        The request counts as assigned to the server until the caller ends that by
        `Placement.note_assignment_ended`.

        Parameters
        ----------
        service : str
            Name of the service.
        work : Work
            The request's prompt.
        engine : Engine or None
            The service's model engine; None for a plain service.
        excluded : sequence of str
            Ids of servers that must not be chosen.
        rank : int
            Priority of the request; the lowest rank is served first.
        deadline : float
            Time on the event loop's clock after which None is returned.
        version : str, optional
            Software version of the servers to choose from; all by default.
        find_regions : callable, optional
            Returns the regions of the servers to choose from, None for all. They may
            change while the request waits.
        claim : Claim, optional
            The order of the request, and whether it would start too late; used where
            servers report their speed.
        """
        queued_claim = claim if self._has_estimates(service) else None
        server = await self._find_server(
            service,
            work,
            engine,
            excluded,
            rank,
            deadline,
            version,
            find_regions,
            queued_claim,
        )
        if self._start_times is not None and queued_claim is not None:
            if server is None:
                self._start_times.note_refused(queued_claim)
            else:
                self._start_times.note_served(queued_claim)
        return server

    async def _find_server(
        self,
        service: str,
        work: Work,
        engine: Engine | None,
        excluded: Sequence[str],
        rank: int,
        deadline: float,
        version: str | None,
        find_regions: Callable[[], frozenset[str] | None],
        claim: Claim | None,
    ) -> BackendServer | None:
        """Return a server with capacity, None if there is none in time."""
        loop = asyncio.get_running_loop()
        queued = _QueuedRequest(
            work,
            engine,
            version,
            excluded,
            loop.create_future(),
            deadline,
            find_regions,
            claim,
        )
        order = self._find_order(service, queued, rank)
        if order is None:
            return None
        has_restricted = self._has_restricted_waiting(service)
        if not has_restricted and not self.has_waiting(service, version):
            server = self._choose_server(service, queued)
            if server is not None:
                return server
        queue = self._queues.setdefault(service, [])
        heapq.heappush(queue, (rank, order, next(self._sequence), queued))
        if has_restricted:
            self.dispatch(service)
        timer = loop.call_later(RECHECK_S, self._recheck, service)
        try:
            async with asyncio.timeout_at(deadline):
                return await asyncio.shield(queued.future)
        except TimeoutError:
            # A server may have been assigned in the same loop iteration.
            return queued.future.result() if queued.future.done() else None
        except asyncio.CancelledError:
            server = queued.future.result() if queued.future.done() else None
            if server is not None:
                self.end_assignment(server)
            raise
        finally:
            timer.cancel()
            queued.future.cancel()

    def end_assignment(self, server: BackendServer) -> None:
        """Record that the assignment of a request to a server has ended.

        If the request is not sent, its place is free for the next one at once.
        """
        self._placement.note_assignment_ended(server.id)
        if self._has_estimates(server.service):
            loop = asyncio.get_running_loop()
            loop.call_soon(self.dispatch, server.service)

    def _has_estimates(self, service: str) -> bool:
        """Whether the start of a service's requests is estimated."""
        speed = self._placement.speed
        if self._start_times is None or not speed.has_reports:
            return False
        return speed.is_reported(self._directory.list_usable(service))

    def _find_order(
        self, service: str, queued: _QueuedRequest, rank: int
    ) -> float | None:
        """Return the order of a request among equals, None if it would be too late."""
        if self._start_times is None or queued.claim is None:
            return 0.0
        run_s = self._estimate_run_s(service, queued)
        times, claim = self._start_times, queued.claim
        order = times.note_waiting(claim, run_s, queued.deadline)
        waiting = sorted(
            entry
            for entry in self._queues.get(service, ())
            if not entry[-1].future.done()
        )
        n_ahead = bisect.bisect(waiting, (rank, order), key=lambda entry: entry[:2])
        later = [
            entry[-1].claim
            for entry in waiting[n_ahead:]
            if entry[0] == rank and entry[-1].claim is not None
        ]
        is_late = times.is_late(claim, service, n_ahead if waiting else -1)
        if is_late or (
            times.find_first_arrival(claim) is None
            and times.displaces(service, n_ahead, later)
        ):
            times.refuse(claim, service, len(waiting), run_s)
            return None
        return order

    def _estimate_run_s(self, service: str, queued: _QueuedRequest) -> float:
        """Return the least time to the first event at any server, full ones too.

        It is optimistic: a server that all avoid for an old report brings no newer one,
        so that no request may be refused for it.
        """
        loop = asyncio.get_running_loop()
        servers = self._directory.list_usable(
            service, queued.version, queued.find_regions()
        )
        return self._placement.estimate_least_time_s(
            [server for server in servers if server.id not in queued.excluded],
            queued.work,
            queued.engine,
            is_optimistic=True,
            enough_s=(queued.deadline - loop.time()) * ENOUGH_SHARE,
        )

    def _refuse_late(self, service: str) -> None:
        """End the wait of queued requests that would start too late by now."""
        queue = [e for e in self._queues.get(service, ()) if not e[-1].future.done()]
        if self._start_times is None or not queue:
            return
        # Without a prompt, so that no request is refused for the prompt of another.
        run_s = self._estimate_run_s(
            service, attrs.evolve(queue[0][-1], work=Work(), excluded=())
        )
        n_ahead = 0
        for *_, queued in sorted(queue):
            claim = queued.claim
            if claim is not None and self._start_times.is_late(claim, service, n_ahead):
                self._start_times.refuse(claim, service, len(queue), run_s)
                queued.future.set_result(None)
                continue
            n_ahead += 1

    def has_waiting(self, service: str, version: str | None) -> bool:
        """Whether queued requests go before a new one, which may name a version."""
        return any(
            not queued.future.done() and queued.version in (None, version)
            for *_, queued in self._queues.get(service, ())
        )

    def _has_restricted_waiting(self, service: str) -> bool:
        """Whether queued requests have home regions.

        A new request is then queued as well, so that it takes no place that one of
        them may have.
        """
        return any(
            not queued.future.done() and queued.find_regions() is not None
            for *_, queued in self._queues.get(service, ())
        )

    def note_eligibility_changed(self) -> None:
        """Assign servers after home regions have changed, or data centres evacuated.

        The wait of requests ends that have no usable server for one of these reasons.
        """
        for service in self.list_waiting():
            for *_, queued in self._queues[service]:
                regions = queued.find_regions()
                if queued.future.done() or self._directory.list_usable(
                    service, queued.version, regions
                ):
                    continue
                if self._directory.explain_ineligible(service, regions):
                    queued.future.set_result(None)
            self.dispatch(service)

    def count_waiting(self, service: str) -> int:
        """Return the number of queued requests of a service."""
        return sum(not w.future.done() for *_, w in self._queues.get(service, ()))

    def list_waiting(self) -> list[str]:
        """Return the services with queued requests."""
        return [service for service in self._queues if self.count_waiting(service)]

    def find_resume_time(
        self,
        service: str,
        excluded: Sequence[str] = (),
        rank: int | None = None,
        version: str | None = None,
        regions: frozenset[str] | None = None,
    ) -> float | None:
        """Return when the first server accepts a request of this router again.

        This is None unless all pause or limit their rate now, and infinite if this
        router has no share of any limit.

        Parameters
        ----------
        service : str
            Name of the service.
        excluded : sequence of str, optional
            Ids of servers that do not count.
        rank : int, optional
            Priority of a new request. If all servers limit their rate, the queued
            requests that go first use up what is accepted before.
        version : str, optional
            Software version of the servers that count; all by default.
        regions : frozenset of str, optional
            Regions of the servers that count; all by default.
        """
        now = asyncio.get_running_loop().time()
        earliest = math.inf
        shares: list[float | None] = []
        for server in self._directory.list_usable(service, version, regions):
            if server.id in excluded:
                continue
            resume_at = now + self._limits.find_wait_s(server)
            pause_end = self._directory.withdrawals.find_pause_end(server)
            if pause_end is not None:
                resume_at = max(resume_at, pause_end)
            shares.append(self._limits.find_share(server))
            if resume_at <= now:
                return None
            earliest = min(earliest, resume_at)
        if not shares:
            return None
        limited = [share for share in shares if share is not None]
        if rank is not None and len(limited) == len(shares) and sum(limited) > 0:
            earliest += self._count_ahead(service, rank, regions) / sum(limited)
        return earliest

    def _count_ahead(
        self, service: str, rank: int, regions: frozenset[str] | None
    ) -> int:
        """Return how many queued requests go before a new one of a priority.

        Those that have no home region in common with it do not count.
        """
        return sum(
            other <= rank
            and not queued.future.done()
            and combine_regions(regions, queued.find_regions()) != frozenset()
            for other, *_, queued in self._queues.get(service, ())
        )

    def note_pause(self, service: str, ends_at: float) -> None:
        """End the wait of requests that no server will accept in time.

        Parameters
        ----------
        service : str
            Service of the server that pauses.
        ends_at : float
            When its pause ends and queued requests are sent to it again.
        """
        for *_, queued in self._queues.get(service, ()):
            resume_at = self.find_resume_time(
                service,
                queued.excluded,
                version=queued.version,
                regions=queued.find_regions(),
            )
            if queued.future.done() or resume_at is None:
                continue
            if resume_at > queued.deadline:
                queued.future.set_result(None)
        loop = asyncio.get_running_loop()
        loop.call_at(ends_at, self._dispatch_during_ramp, service, ends_at + RAMP_S)

    def _dispatch_during_ramp(self, service: str, until: float) -> None:
        """Dispatch now, and again while a server's share grows after its pause."""
        self.dispatch(service)
        loop = asyncio.get_running_loop()
        if self.count_waiting(service) and loop.time() < until:
            loop.call_later(RECHECK_S, self._dispatch_during_ramp, service, until)

    def dispatch(self, service: str) -> None:
        """Assign a server to the first queued request that one has capacity for.

        Only requests for one software version, or for some regions, let later ones go
        before them; of those for the same regions none goes before the first. Further
        requests are served by later iterations of the event loop.
        """
        queue = self._queues.get(service)
        if not queue:
            return
        passed_over: list[tuple[int, float, int, _QueuedRequest]] = []
        longest = self._pop_longest_waiting(service, queue)
        is_assigned = self._assign_first(service, queue, passed_over, longest)
        for entry in passed_over:
            heapq.heappush(queue, entry)
        if is_assigned:
            asyncio.get_running_loop().call_soon(self.dispatch, service)
        elif passed_over:
            self._dispatch_at_next_permit(service)

    def _assign_first(
        self,
        service: str,
        queue: list[tuple[int, float, int, _QueuedRequest]],
        passed_over: list[tuple[int, float, int, _QueuedRequest]],
        longest: tuple[int, float, int, _QueuedRequest] | None,
    ) -> bool:
        """Assign a server to the first request that one has capacity for, if any.

        `longest`, the longest waiting request, goes before the others if it is given.
        Requests that go before the chosen one are moved to `passed_over`. Returns
        whether a server was assigned.
        """
        full: set[tuple[str | None, frozenset[str] | None]] = set()
        while longest or queue:
            is_longest = longest is not None
            entry = longest or heapq.heappop(queue)
            longest = None
            queued = entry[-1]
            if queued.future.done():
                continue
            regions = queued.find_regions()
            selection = (queued.version, regions)
            if regions is not None and selection in full:
                passed_over.append(entry)
                continue
            server = self._choose_server(service, queued)
            if server is not None:
                queued.future.set_result(server)
                if self._start_times is not None:
                    self._start_times.note_placed(service)
                return True
            passed_over.append(entry)
            if is_longest:
                continue
            if selection == (None, None):
                break
            full.add(selection)
        return False

    def _pop_longest_waiting(
        self, service: str, queue: list[tuple[int, float, int, _QueuedRequest]]
    ) -> tuple[int, float, int, _QueuedRequest] | None:
        """Remove and return the longest waiting request if the next place is its.

        If it cannot be placed, the place is for the first request of the queue.
        """
        if self._start_times is None or not self._has_estimates(service):
            return None
        if not self._start_times.is_longest_wait_next(service):
            return None
        waiting = [entry for entry in queue if not entry[-1].future.done()]
        if not waiting:
            return None
        entry = min(waiting, key=lambda entry: entry[2])
        queue.remove(entry)
        heapq.heapify(queue)
        return entry

    def _dispatch_at_next_permit(self, service: str) -> None:
        """Dispatch again when a server with a limit accepts the next request.

        The room at a server that recovers grows with time.
        """
        waits_s = [
            self._limits.find_wait_s(server)
            for server in self._directory.list_usable(service)
        ]
        if any(map(self._is_recovering, self._directory.list_usable(service))):
            waits_s.append(RECHECK_S)
        wait_s = min((w for w in waits_s if 0 < w < math.inf), default=None)
        if wait_s is None:
            return
        timer = self._permit_timers.pop(service, None)
        if timer is not None:
            timer.cancel()
        loop = asyncio.get_running_loop()
        self._permit_timers[service] = loop.call_later(wait_s, self.dispatch, service)

    def _is_recovering(self, server: BackendServer) -> bool:
        """Whether a server has started or recovered and is paced."""
        return self._pace is not None and self._pace.is_recovering(server)

    def _has_paced_room(self, server: BackendServer) -> bool:
        """Whether a server of a paced service has room for one more request."""
        room = None if self._pace is None else self._pace.find_room(server)
        return room is None or self._placement.count_own(server.id) < room

    def _has_room(self, server: BackendServer, *, is_dry_run: bool) -> bool:
        """Whether a server that may be brittle has room for one more request."""
        if not self._brittle.is_brittle(server.service):
            return True
        servers = self._directory.list_usable(server.service)
        count_own = self._placement.count_own
        if is_dry_run:
            room = self._brittle.peek_room(server, count_own)
        else:
            room = self._brittle.find_room(server, servers, count_own)
        if room is None:
            return True
        return count_own(server.id) < room and not self._placement.is_queueing(
            server.id
        )

    def _recheck(self, service: str) -> None:
        """Retry now, and once more later if requests are still queued."""
        self.dispatch(service)
        if not self.count_waiting(service):
            return
        loop = asyncio.get_running_loop()
        if service not in self._reviews and self._has_estimates(service):
            self._reviews.add(service)
            loop.call_later(REVIEW_S, self._review, service)
        loop.call_later(RECHECK_S, self.dispatch, service)

    def _review(self, service: str) -> None:
        """Dispatch and refuse late requests, until none waits."""
        self._reviews.discard(service)
        self._refuse_late(service)
        self._recheck(service)

    def _choose_server(
        self, service: str, queued: _QueuedRequest
    ) -> BackendServer | None:
        """Return the best server with capacity, or None if all are full.

        If the server has a limit, the request uses up a permit.
        """
        now = asyncio.get_running_loop().time()
        servers = self._directory.list_usable(
            service, queued.version, queued.find_regions()
        )
        available = [
            server
            for server in servers
            if self._find_reason(server, queued, now) is None
        ]
        chosen = self._placement.choose(
            available, queued.work, queued.engine, queued.excluded
        )
        if chosen is not None:
            self._limits.take_permit(chosen)
            self._placement.note_assigned(chosen.id)
        return chosen

    def _find_reason(
        self,
        server: BackendServer,
        queued: _QueuedRequest,
        now: float,
        *,
        is_dry_run: bool = False,
    ) -> str | None:
        """Return why a usable server does not get a request now, None if it may.

        With `is_dry_run`, nothing that later requests depend on may change.
        """
        if self._limits.find_wait_s(server) > 0:
            return "its limit leaves no permit to this router now"
        if queued.version is not None and self._lives.is_doubted(server):
            return "the version that it runs is in doubt"
        if not self._has_room(server, is_dry_run=is_dry_run):
            return "it is brittle and has no room for this router"
        is_paced = self._pace is not None and self._pace.is_active(server.service)
        if is_paced and not self._has_paced_room(server):
            return "it has started or recovered, and has no room for this router"
        share = self._directory.withdrawals.compute_share(server)
        if not share:
            return "it has asked for a pause"
        requests_per_slot = (
            PLAIN_REQUESTS_PER_SLOT
            if queued.engine is None
            else ENGINE_REQUESTS_PER_SLOT
        )
        if is_paced:
            share = 1.0  # The pace replaces the fixed ramp.
        capacity = server.slots * requests_per_slot * share
        estimated = self._placement.estimate_requests(server.id, now)
        if share < 1 or (is_paced and self._is_recovering(server)):
            # Reports from before the pause say nothing of the load after it.
            estimated = self._placement.count_own(server.id)
            capacity = max(1.0, capacity)
        return None if estimated < capacity else "it is full"

    def list_verdicts(
        self,
        service: str,
        work: Work,
        engine: Engine | None,
        excluded: Sequence[str] = (),
        version: str | None = None,
        regions: frozenset[str] | None = None,
    ) -> list[Verdict]:
        """Return what would be made of each server of a service for a request now.

        No permit is taken and no server is assigned. The parameters are those of
        `find_server`.
        """
        loop = asyncio.get_running_loop()
        now = loop.time()
        queued = _QueuedRequest(
            work,
            engine,
            version,
            excluded,
            loop.create_future(),
            now,
            lambda: regions,
        )
        servers = [s for s in self._directory.list_all() if s.service == service]
        reasons = {
            server.id: self._directory.find_unusable_reason(server, version, regions)
            or self._find_reason(server, queued, now, is_dry_run=True)
            for server in servers
        }
        available = [server for server in servers if reasons[server.id] is None]
        ranked, chosen = self._placement.rank(available, work, engine, excluded)
        self._add_placement_reasons(reasons, ranked, excluded)
        costs = {server.id: cost for cost, server in ranked}
        for server in servers:
            if server.id not in costs:
                costs[server.id] = self._placement.estimate_cost(
                    server, work, engine, None, now
                )
        return [
            Verdict(server, costs[server.id], reasons[server.id], server is chosen)
            for server in servers
        ]

    @staticmethod
    def _add_placement_reasons(
        reasons: dict[str, str | None],
        ranked: Iterable[tuple[float, BackendServer]],
        excluded: Sequence[str],
    ) -> None:
        """Add why the placement does not choose from servers that have room."""
        ranked_ids = {server.id for _, server in ranked}
        for server_id, reason in reasons.items():
            if reason is not None or server_id in ranked_ids:
                continue
            reasons[server_id] = (
                "the request was sent there before"
                if server_id in excluded
                else "it is ejected, unreachable or does not respond"
            )
