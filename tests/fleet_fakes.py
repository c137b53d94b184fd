"""Fakes of the platform services, and a fleet of routers in one event loop."""

from __future__ import annotations

import asyncio
import random
from typing import TYPE_CHECKING

import attrs

from bronzesail.configuration import ConfigurationService, ConfigurationSettings
from bronzesail.explain import DecisionLog
from bronzesail.fleet import FleetService, FleetSettings
from bronzesail.schema import HostEntry, HostList, Row, TransactRequest
from bronzesail.standin import TableStandin
from bronzesail.storage import OutcomeUnknownError, UnreachableError
from bronzesail.util.clock import SystemClock

if TYPE_CHECKING:
    from bronzesail.schema import RowCheck, RowWrite, TransactReply

DELAYED_WRITE_S = 1.0  # Delay of a write whose outcome the caller does not learn.
SECRET = b"secret of the test fleet"
# Short intervals, so that tests detect failures quickly.
FAST_SETTINGS = {
    "list_poll_interval_ms": 50,
    "list_idle_poll_interval_ms": 100,
    "probe_interval_ms": 50,
    "probe_timeout_ms": 150,
    "connect_timeout_ms": 300,
    "tick_interval_ms": 10,
    "suspicion_ms": 150,
    "region_cut_ms": 400,
    "heartbeat_interval_ms": 100,
    "silence_limit_ms": 400,
}
FAST_CONFIGURATION = ConfigurationSettings(
    poll_interval_ms=50,
    idle_poll_interval_ms=1000,
    pull_timeout_ms=500,
    apply_timeout_ms=1500,
)


class FakeDirectory:
    """In-memory host list that can be made unreachable."""

    def __init__(self) -> None:
        self.is_down = False
        self.n_fetches = 0
        self.revision = 0
        self.entries: dict[str, HostEntry] = {}

    def set_host(self, entry: HostEntry) -> None:
        self.entries[entry.host] = entry
        self.revision += 1

    def remove_host(self, host: str) -> None:
        self.entries.pop(host, None)
        self.revision += 1

    async def fetch(self, known_revision: int = 0) -> HostList:
        self.n_fetches += 1
        if self.is_down:
            raise UnreachableError("down")
        if known_revision == self.revision:
            return HostList((), self.revision)
        return HostList(tuple(self.entries.values()), self.revision)


class FakeTable:
    """Table service of the stand-in called without HTTP, with injected faults.

    `is_down` fails every call. The next `loses_next_answers` transactions take effect
    but raise `OutcomeUnknownError`; the next `delays_next_writes` also raise it and
    take effect `DELAYED_WRITE_S` later.
    """

    def __init__(self) -> None:
        self.is_down = False
        self.loses_next_answers = 0
        self.delays_next_writes = 0
        self.n_reads = 0
        self.standin = TableStandin()

    def _check(self) -> None:
        if self.is_down:
            raise UnreachableError("down")

    async def read(self, keys: tuple[str, ...]) -> tuple[Row, ...]:
        self._check()
        self.n_reads += 1
        rows = self.standin.dump()
        return tuple(rows.get(key) or Row(key, 0, b"") for key in keys)

    async def scan(
        self, prefix: str, after: str = "", limit: int = 1000
    ) -> tuple[Row, ...]:
        self._check()
        self.n_reads += 1
        rows = self.standin.dump()
        keys = sorted(key for key in rows if key.startswith(prefix) and key > after)
        return tuple(rows[key] for key in keys[:limit])

    async def transact(
        self, writes: tuple[RowWrite, ...], checks: tuple[RowCheck, ...] = ()
    ) -> TransactReply:
        self._check()
        await asyncio.sleep(0)
        request = TransactRequest("test", 1, writes, checks)
        if self.delays_next_writes:
            self.delays_next_writes -= 1
            loop = asyncio.get_running_loop()
            loop.call_later(DELAYED_WRITE_S, self.standin.transact, request)
            raise OutcomeUnknownError("answer lost, the write is still in progress")
        reply = self.standin.transact(request)
        if self.loses_next_answers:
            self.loses_next_answers -= 1
            raise OutcomeUnknownError("answer lost")
        return reply


class FakeRouter:
    """Fleet and configuration services of one router."""

    def __init__(
        self,
        settings: FleetSettings,
        directory: FakeDirectory,
        table: FakeTable,
        seed: int,
    ) -> None:
        clock = SystemClock()
        source = random.Random(seed)
        self.decisions = DecisionLog()
        self.fleet = FleetService(settings, directory, clock, source, self.decisions)
        self.configuration = ConfigurationService(
            table,
            self.fleet,
            self.fleet,
            clock,
            source,
            self.decisions,
            FAST_CONFIGURATION,
        )

    async def start(self) -> None:
        await self.fleet.start()
        await self.configuration.start()

    async def stop(self) -> None:
        await self.configuration.stop()
        await self.fleet.stop()

    async def abort(self) -> None:
        await self.configuration.stop()
        await self.fleet.abort()

    def list_hosts(self) -> list[str]:
        return sorted(r.router_id.host for r in self.fleet.list_routers())


class FakeFleet:
    """Routers that share one host list and one table."""

    def __init__(self) -> None:
        self.directory = FakeDirectory()
        self.table = FakeTable()
        self.routers: dict[str, FakeRouter] = {}
        self._seed = 0

    async def add(
        self, host: str, data_centre: str = "a", region: str = "r", **options: object
    ) -> FakeRouter:
        settings = FleetSettings(host, data_centre, region, SECRET, **FAST_SETTINGS)
        settings = attrs.evolve(settings, **options)
        self._seed += 1
        router = FakeRouter(settings, self.directory, self.table, self._seed)
        await router.fleet.start()
        self.list_router(router, host, data_centre, region)
        await router.configuration.start()
        self.routers[host] = router
        return router

    def list_router(
        self,
        router: FakeRouter,
        host: str,
        data_centre: str,
        region: str,
        address: str = "",
    ) -> None:
        entry = HostEntry(host, "router", "", data_centre, region)
        address = address or router.fleet.peer_address
        self.directory.set_host(attrs.evolve(entry, peer_address=address))

    async def stop(self) -> None:
        for router in self.routers.values():
            await router.stop()
