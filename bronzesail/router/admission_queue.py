"""Queues requests by priority until a backend server has capacity."""

from __future__ import annotations

import asyncio
import heapq
import itertools
import math
from collections.abc import Callable, Sequence
from typing import TYPE_CHECKING

import attrs

from ..model import BackendServer, Engine
from .eligibility import combine_regions
from .placement import Work
from .withdrawals import RAMP_S

if TYPE_CHECKING:
    from .brittle_servers import BrittleServers
    from .directory import Directory
    from .placement import Placement
    from .server_limits import ServerLimits
    from .server_lives import ServerLives

__all__ = ["AdmissionQueue"]

# Requests that an engine may have, as a multiple of its slots; further ones are queued.
ENGINE_REQUESTS_PER_SLOT = 1.1
# The same for a plain service. A plain request runs for a tenth of its latency
# objective, so that four per slot, one after the other, fit into it.
PLAIN_REQUESTS_PER_SLOT = 4.0
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
    find_regions: Callable[[], frozenset[str] | None]


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
    """

    def __init__(
        self,
        directory: Directory,
        placement: Placement,
        limits: ServerLimits,
        brittle: BrittleServers,
        lives: ServerLives,
    ) -> None:
        self._directory = directory
        self._placement = placement
        self._limits = limits
        self._brittle = brittle
        self._lives = lives
        self._permit_timers: dict[str, asyncio.TimerHandle] = {}
        self._queues: dict[str, list[tuple[int, int, _QueuedRequest]]] = {}
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
        """
        loop = asyncio.get_running_loop()
        queued = _QueuedRequest(
            work,
            engine,
            version,
            excluded,
            loop.create_future(),
            deadline,
            find_regions,
        )
        has_restricted = self._has_restricted_waiting(service)
        if not has_restricted and not self._has_waiting(service, version):
            server = self._choose_server(service, queued)
            if server is not None:
                return server
        queue = self._queues.setdefault(service, [])
        heapq.heappush(queue, (rank, next(self._sequence), queued))
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
                self._placement.note_assignment_ended(server.id)
            raise
        finally:
            timer.cancel()
            queued.future.cancel()

    def _has_waiting(self, service: str, version: str | None) -> bool:
        """Whether queued requests go before a new one, which may name a version."""
        return any(
            not queued.future.done() and queued.version in (None, version)
            for _, _, queued in self._queues.get(service, ())
        )

    def _has_restricted_waiting(self, service: str) -> bool:
        """Whether queued requests have home regions.

        A new request is then queued as well, so that it takes no place that one of
        them may have.
        """
        return any(
            not queued.future.done() and queued.find_regions() is not None
            for _, _, queued in self._queues.get(service, ())
        )

    def note_eligibility_changed(self) -> None:
        """Assign servers after home regions have changed, or data centres evacuated.

        The wait of requests ends that have no usable server for one of these reasons.
        """
        for service in self.list_waiting():
            for _, _, queued in self._queues[service]:
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
        return sum(not w.future.done() for _, _, w in self._queues.get(service, ()))

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
            for other, _, queued in self._queues.get(service, ())
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
        for _, _, queued in self._queues.get(service, ()):
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
        passed_over: list[tuple[int, int, _QueuedRequest]] = []
        is_assigned = self._assign_first(service, queue, passed_over)
        for entry in passed_over:
            heapq.heappush(queue, entry)
        if is_assigned:
            asyncio.get_running_loop().call_soon(self.dispatch, service)
        elif passed_over:
            self._dispatch_at_next_permit(service)

    def _assign_first(
        self,
        service: str,
        queue: list[tuple[int, int, _QueuedRequest]],
        passed_over: list[tuple[int, int, _QueuedRequest]],
    ) -> bool:
        """Assign a server to the first request that one has capacity for, if any.

        Requests that go before it are moved to `passed_over`. Returns whether a
        server was assigned.
        """
        full: set[tuple[str | None, frozenset[str] | None]] = set()
        while queue:
            entry = heapq.heappop(queue)
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
                return True
            passed_over.append(entry)
            if selection == (None, None):
                break
            full.add(selection)
        return False

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
        if self.count_waiting(service):
            loop = asyncio.get_running_loop()
            loop.call_later(RECHECK_S, self.dispatch, service)

    def _choose_server(
        self, service: str, queued: _QueuedRequest
    ) -> BackendServer | None:
        """Return the best server with capacity, or None if all are full.

        If the server has a limit, the request uses up a permit.
        """
        servers = self._directory.list_usable(
            service, queued.version, queued.find_regions()
        )
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
