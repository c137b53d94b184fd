"""Finds out which services this router reaches no server of.

A host may lose its links to all backend servers while callers, the store and other
hosts still reach it. Connections are then refused, which shows at once, or they hang:
silence of all servers while requests wait leads to probes. What a router that is cut
off sees of servers is not held against them.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from .client import REFUSED, ConnectError

if TYPE_CHECKING:
    from collections.abc import Callable, Coroutine, Iterable

    from ..model import BackendServer
    from .client import ClientPool
    from .directory import Directory
    from .log import Log
    from .placement import Placement

__all__ = ["ServerLinks"]

PROBE_INTERVAL_S = 0.7  # Between attempts to connect to an unreachable server.
# Silence of all servers that leads to a probe. The first event of a stream may take
# longer, but other requests are usually answered meanwhile.
SILENCE_S = 0.5
# A connection is established within 65 ms across regions.
PROBE_TIMEOUT_S = 0.5
# By then the hellos of other routers tell whether they reach the service.
NOTICE_DELAY_S = 0.3
MAX_COMPARED = 3  # Other servers that tell a crash of one from lost links.
MAX_PROBED = 8  # Servers that stand for all, if none of them can be reached.


class ServerLinks:
    """Probes servers and knows which services are out of reach.

    Parameters
    ----------
    loop : asyncio.AbstractEventLoop
        The loop to run on.
    log : Log
        Log for changes.
    pool : ClientPool
        Connections to the servers.
    directory : Directory
        The servers.
    placement : Placement
        Records which servers are unreachable.
    on_reachable : callable
        Called with the name of a service once one of its servers is reachable again.
    on_change : callable
        Called when the services that are out of reach have changed.
    on_recovered : callable, optional
        Called with a server that is reachable again, unless its whole service was out
        of reach: then the links were the cause and not the server.
    is_congested : callable, optional
        Returns whether this host's link is congested. Timeouts then say nothing about
        servers, and probes would only add load.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        log: Log,
        pool: ClientPool,
        directory: Directory,
        placement: Placement,
        on_reachable: Callable[[str], None],
        on_change: Callable[[], None],
        on_recovered: Callable[[BackendServer], None] = lambda _: None,
        is_congested: Callable[[], bool] = lambda: False,
    ) -> None:
        self._loop = loop
        self._log = log
        self._pool = pool
        self._directory = directory
        self._placement = placement
        self._on_reachable = on_reachable
        self._on_change = on_change
        self._on_recovered = on_recovered
        # Servers whose whole service was out of reach when one of them was back.
        self._lost_with_service: set[str] = set()
        self._is_congested = is_congested
        self._probed_at: dict[str, float] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        self._check: asyncio.Task[None] | None = None
        self._unchecked: set[str] = set()
        self._cut_off: list[str] = []
        self._watchers: dict[str, set[Callable[[], None]]] = {}

    def add_watcher(self, service: str, watcher: Callable[[], None]) -> None:
        """Call `watcher` when no server of a service is reached any more."""
        self._watchers.setdefault(service, set()).add(watcher)

    def remove_watcher(self, service: str, watcher: Callable[[], None]) -> None:
        """Stop calling a watcher."""
        self._watchers.get(service, set()).discard(watcher)

    def list_cut_off(self) -> list[str]:
        """Return the services out of reach, as of the last check."""
        return self._cut_off

    def is_cut_off(
        self,
        service: str,
        version: str | None = None,
        regions: frozenset[str] | None = None,
    ) -> bool:
        """Whether no request can be sent to any usable server of a service from here.

        Answers on connections that live on show nothing of new ones. `version` and
        `regions` select the servers that count; all by default.
        """
        if self._is_congested():
            return False
        servers = self._directory.list_usable(service, version, regions)
        return bool(servers) and all(self._is_unreachable(s) for s in servers)

    def has_lost_others(self, server: BackendServer, since: float) -> bool:
        """Whether the connections to all other servers of a service were lost, too.

        Then the links are the cause and not the server.
        """
        others = [s for s in self._list_servers(server.service) if s.id != server.id]
        n_lost = sum(self._pool.get_lost_at(s.address) >= since for s in others)
        return n_lost > 0 and not any(
            self._pool.has_connection(s.address, opened_before=since) for s in others
        )

    async def reaches_others(self, server: BackendServer, since: float) -> bool:
        """Whether another server of a service was heard, or can be connected to.

        This is so as well if the service has no other server.
        """
        others = [s for s in self._list_servers(server.service) if s.id != server.id]
        if not others or any(self._is_heard(other, since) for other in others):
            return True
        probed = _select(others, MAX_COMPARED)
        await asyncio.gather(*(self._probe(other) for other in probed))
        return any(self._is_heard(other, since) for other in others)

    def check(self) -> None:
        """Start the probes that are due, and record what is out of reach."""
        if self._is_congested():
            self._update()
            return
        now = self._loop.time()
        for server in self._directory.list_all():
            load = self._placement.loads.get(server.id)
            if load is None or not load.is_unreachable:
                continue
            if now - self._probed_at.get(server.id, -1e9) >= PROBE_INTERVAL_S:
                self._start(self._probe(server))
        silent = self._find_silent_server(now)
        if silent is not None and self._is_check_done():
            self._check = self._start(self._check_silence(silent))
        self._update()

    def _is_check_done(self) -> bool:
        """Whether no check of whole services is running."""
        return self._check is None or self._check.done()

    def _request_check(self, services: Iterable[str]) -> None:
        """Check whether servers of services are reached, after a running check."""
        self._unchecked.update(services)
        if self._unchecked and self._is_check_done():
            self._check = self._start(self._check_services())

    def _update(self) -> None:
        """Record which services are out of reach."""
        services = sorted(self._directory.list_services())
        cut_off = [service for service in services if self.is_cut_off(service)]
        if cut_off == self._cut_off:
            return
        self._log.write("server: services out of reach", services=cut_off)
        lost = [service for service in cut_off if service not in self._cut_off]
        self._cut_off = cut_off
        self._on_change()
        for service in lost:
            self._loop.call_later(NOTICE_DELAY_S, self._notify_watchers, service)
        if lost:
            self._request_check([s for s in services if s not in cut_off])

    def _notify_watchers(self, service: str) -> None:
        """Call the watchers of a service, if nothing arrives from it any more."""
        if not self.is_cut_off(service) or not self._is_silent(service):
            return
        for watcher in list(self._watchers.get(service, ())):
            watcher()

    def _is_unreachable(self, server: BackendServer) -> bool:
        """Whether the last attempt to connect has failed and no connection is idle."""
        load = self._placement.loads.get(server.id)
        if load is None or not load.is_unreachable:
            return False
        return not self._pool.has_idle(server.address)

    def _is_silent(self, service: str) -> bool:
        """Whether nothing has arrived from any server of a service since it failed."""
        return all(
            self._pool.get_heard_at(server.address)
            <= self._placement.get_load(server.id).failed_at
            for server in self._directory.list_usable(service)
        )

    def _find_silent_server(self, now: float) -> BackendServer | None:
        """Return a server that owes data while all servers of its service are silent.

        It is the one that is silent for longest.
        """
        longest: BackendServer | None = None
        longest_silence_s = SILENCE_S
        for service in self._directory.list_services():
            servers = self._list_servers(service)
            if any(self._is_heard(server, now - SILENCE_S) for server in servers):
                continue
            for server in servers:
                silence_s = self._find_silence_s(server, now)
                if silence_s > longest_silence_s:
                    longest, longest_silence_s = server, silence_s
        return longest

    def _find_silence_s(self, server: BackendServer, now: float) -> float:
        """Return for how long a server has owed data to a request, 0 if it does not."""
        load = self._placement.loads.get(server.id)
        if load is None or not load.in_flight or load.is_unreachable:
            return 0.0
        waiting_since = next(iter(load.unanswered_since.values()), 0.0)
        return now - max(waiting_since, self._pool.get_heard_at(server.address))

    def _list_servers(self, service: str) -> list[BackendServer]:
        return [s for s in self._directory.list_all() if s.service == service]

    def _is_heard(self, server: BackendServer, since: float) -> bool:
        """Whether a server has sent data, or accepted a connection, since a time."""
        return self._pool.get_heard_at(server.address) > since

    async def _check_silence(self, silent: BackendServer) -> None:
        """Probe a silent server, and if it is out of reach, others of all services."""
        await self._probe(silent)
        if self._is_unreachable(silent):
            self._unchecked.update(self._directory.list_services())
            await self._check_services()

    async def _check_services(self) -> None:
        """Probe servers of services to find out which services are out of reach."""
        while self._unchecked:
            services = sorted(self._unchecked)
            self._unchecked.clear()
            since = self._loop.time()
            await asyncio.gather(*(self._check_service(s, since) for s in services))
            self._update()

    async def _check_service(self, service: str, since: float) -> None:
        """Probe servers of a service; avoid all of it if none can be reached."""
        servers = self._list_servers(service)
        unknown = [s for s in servers if not self._is_unreachable(s)]
        probed = _select(unknown, MAX_PROBED)
        await asyncio.gather(*(self._probe(server) for server in probed))
        if any(self._pool.get_accepted_at(s.address) > since for s in servers):
            return
        if all(self._is_unreachable(server) for server in probed):
            for server in servers:
                self._mark_unreachable(server, "no probed server can be reached")

    def _mark_unreachable(self, server: BackendServer, reason: str) -> None:
        """Avoid a server until a connection to it succeeds."""
        if self._is_unreachable(server):
            return
        self._placement.note_failure(server.id, is_unreachable=True)
        self._pool.drop(server.address)
        self._log.write("server: unreachable", server=server.id, reason=reason)

    def note_unreachable(self, server: BackendServer, reason: str) -> None:
        """Record that no connection to a server could be opened for a request.

        If no other server of its service was heard lately, or another one cannot be
        reached either, they are probed. While the link is congested, only a refused
        connection counts.
        """
        if self._is_congested():
            if reason == REFUSED:
                self._mark_unreachable(server, reason)
            return
        self._mark_unreachable(server, reason)
        since = self._loop.time() - SILENCE_S
        servers = self._list_servers(server.service)
        n_unreachable = sum(self._is_unreachable(other) for other in servers)
        if n_unreachable > 1 or not any(self._is_heard(s, since) for s in servers):
            self._request_check([server.service])
        self._update()

    def note_reachable(self, server: BackendServer) -> None:
        """Record that a connection to a server could be opened."""
        load = self._placement.get_load(server.id)
        if not load.is_unreachable:
            return
        if self.is_cut_off(server.service):
            servers = self._list_servers(server.service)
            self._lost_with_service.update(s.id for s in servers)
        load.is_unreachable = False
        self._log.write("server: reachable again", server=server.id)
        self._update()
        if server.id not in self._lost_with_service:
            self._on_recovered(server)
        self._lost_with_service.discard(server.id)
        self._on_reachable(server.service)

    async def _probe(self, server: BackendServer) -> None:
        """Connect to a server, and record whether that succeeds."""
        self._probed_at[server.id] = self._loop.time()
        try:
            async with asyncio.timeout(PROBE_TIMEOUT_S):
                connection = await self._pool.open(server.address)
        except (ConnectError, TimeoutError) as error:
            if self._is_congested() and str(error) != REFUSED:
                return
            self._mark_unreachable(server, f"probe: {error or 'timed out'}")
            return
        self._pool.release(connection)
        self.note_reachable(server)

    def _start(self, coroutine: Coroutine[None, None, None]) -> asyncio.Task[None]:
        """Run a coroutine in a task."""
        task = self._loop.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task


def _select(servers: list[BackendServer], count: int) -> list[BackendServer]:
    """Return servers spread evenly over a list."""
    step = max(1, -(-len(servers) // count))
    return servers[::step]
