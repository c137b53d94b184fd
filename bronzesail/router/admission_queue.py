"""Queues requests by priority until a backend server has capacity."""

from __future__ import annotations

import asyncio
import bisect
import heapq
import itertools
import math
from collections.abc import Sequence
from typing import TYPE_CHECKING

import attrs

from ..model import BackendServer, Engine
from .estimates import Claim
from .placement import Work
from .withdrawals import RAMP_S

if TYPE_CHECKING:
    from .brittle_servers import BrittleServers
    from .directory import Directory
    from .estimates import StartTimes
    from .placement import Placement
    from .server_limits import ServerLimits
    from .server_lives import ServerLives

__all__ = ["AdmissionQueue"]

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


@attrs.define(order=False)
class _QueuedRequest:
    """A queued request, and the future that receives its server."""

    work: Work
    engine: Engine | None
    version: str | None
    excluded: Sequence[str]
    future: asyncio.Future[BackendServer | None]
    deadline: float
    claim: Claim | None = None  # None if the service has no start estimates.


class AdmissionQueue:
    """One priority queue of requests for each service.

    Parameters
    ----------
    directory : Directory
        The usable servers.
    placement : Placement
        Tracks the servers' loads and chooses among them.
    limits : ServerLimits
        The request rates that servers have announced.
    brittle : BrittleServers
        The room at servers that must not reject many requests.
    lives : ServerLives
        The servers whose version is in doubt, which no stream may go on at.
    start_times : StartTimes, optional
        Estimates when queued requests start; by default there are no estimates.
    """

    def __init__(
        self,
        directory: Directory,
        placement: Placement,
        limits: ServerLimits,
        brittle: BrittleServers,
        lives: ServerLives,
        start_times: StartTimes | None = None,
    ) -> None:
        self._directory = directory
        self._placement = placement
        self._limits = limits
        self._brittle = brittle
        self._lives = lives
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
        claim : Claim, optional
            The order of the request, and whether it would start too late; used where
            servers report their speed.
        """
        queued_claim = claim if self._has_estimates(service) else None
        server = await self._find_server(
            service, work, engine, excluded, rank, deadline, version, queued_claim
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
        claim: Claim | None,
    ) -> BackendServer | None:
        """Return a server with capacity, None if there is none in time."""
        loop = asyncio.get_running_loop()
        queued = _QueuedRequest(
            work, engine, version, excluded, loop.create_future(), deadline, claim
        )
        order = self._find_order(service, queued, rank)
        if order is None:
            return None
        if not self._has_waiting(service, version):
            server = self._choose_server(service, queued)
            if server is not None:
                return server
        queue = self._queues.setdefault(service, [])
        heapq.heappush(queue, (rank, order, next(self._sequence), queued))
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
        return self._start_times is not None and self._placement.speed.is_reported(
            self._directory.list_usable(service)
        )

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
        servers = self._directory.list_usable(service, queued.version)
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

    def _has_waiting(self, service: str, version: str | None) -> bool:
        """Whether queued requests go before a new one, which may name a version."""
        return any(
            not queued.future.done() and queued.version in (None, version)
            for *_, queued in self._queues.get(service, ())
        )

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
        """
        now = asyncio.get_running_loop().time()
        earliest = math.inf
        shares: list[float | None] = []
        for server in self._directory.list_usable(service, version):
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
            earliest += self._count_ahead(service, rank) / sum(limited)
        return earliest

    def _count_ahead(self, service: str, rank: int) -> int:
        """Return how many queued requests go before a new one of a priority."""
        queue = self._queues.get(service, ())
        return sum(other <= rank and not w.future.done() for other, *_, w in queue)

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
                service, queued.excluded, version=queued.version
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

        Only requests for one software version let later ones go before them. Further
        requests are served by later iterations of the event loop.
        """
        queue = self._queues.get(service)
        if not queue:
            return
        passed_over: list[tuple[int, float, int, _QueuedRequest]] = []
        longest = self._pop_longest_waiting(service, queue)
        is_assigned = False
        while (longest or queue) and not is_assigned:
            is_longest = longest is not None
            entry = longest or heapq.heappop(queue)
            longest = None
            queued = entry[-1]
            if queued.future.done():
                continue
            server = self._choose_server(service, queued)
            if server is not None:
                queued.future.set_result(server)
                is_assigned = True
                if self._start_times is not None:
                    self._start_times.note_placed(service)
                continue
            passed_over.append(entry)
            if queued.version is None and not is_longest:
                break
        for entry in passed_over:
            heapq.heappush(queue, entry)
        if is_assigned:
            asyncio.get_running_loop().call_soon(self.dispatch, service)
        elif passed_over:
            self._dispatch_at_next_permit(service)

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
        """Dispatch again when a server with a limit accepts the next request."""
        waits_s = [
            self._limits.find_wait_s(server)
            for server in self._directory.list_usable(service)
        ]
        wait_s = min((w for w in waits_s if 0 < w < math.inf), default=None)
        if wait_s is None:
            return
        timer = self._permit_timers.pop(service, None)
        if timer is not None:
            timer.cancel()
        loop = asyncio.get_running_loop()
        self._permit_timers[service] = loop.call_later(wait_s, self.dispatch, service)

    def _has_room(self, server: BackendServer) -> bool:
        """Whether a server that may be brittle has room for one more request."""
        if not self._brittle.is_brittle(server.service):
            return True
        servers = self._directory.list_usable(server.service)
        count_own = self._placement.count_own
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
        servers = self._directory.list_usable(service, queued.version)
        now = asyncio.get_running_loop().time()
        requests_per_slot = (
            PLAIN_REQUESTS_PER_SLOT
            if queued.engine is None
            else ENGINE_REQUESTS_PER_SLOT
        )
        available = []
        for server in servers:
            if self._limits.find_wait_s(server) > 0:
                continue
            if queued.version is not None and self._lives.is_doubted(server):
                continue
            if not self._has_room(server):
                continue
            share = self._directory.withdrawals.compute_share(server)
            capacity = server.slots * requests_per_slot * share
            estimated = self._placement.estimate_requests(server.id, now)
            if 0 < share < 1:
                # Reports from before the pause say nothing of the load after it.
                load = self._placement.get_load(server.id)
                estimated = load.in_flight + load.assigned
                capacity = max(1.0, capacity)
            if estimated < capacity:
                available.append(server)
        chosen = self._placement.choose(
            available, queued.work, queued.engine, queued.excluded
        )
        if chosen is not None:
            self._limits.take_permit(chosen)
            self._placement.note_assigned(chosen.id)
        return chosen
