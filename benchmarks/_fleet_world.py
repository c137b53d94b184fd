"""Routers' fleet and configuration parts over loopback, in two regions."""

from __future__ import annotations

import asyncio
import random
import time
from typing import TYPE_CHECKING

import attrs

from bronzesail.configuration import (
    ConfigurationService,
    ConfigurationSettings,
    make_set_change,
)
from bronzesail.explain import DecisionLog
from bronzesail.fleet import FleetService, FleetSettings, RouterInfo
from bronzesail.http import HttpClient
from bronzesail.schema import HostEntry, PriorityClass
from bronzesail.standin import HostListStandin, LinkStandin, RegionLink, TableStandin
from bronzesail.storage import HttpHostDirectory, HttpTable
from bronzesail.util.clock import SystemClock

if TYPE_CHECKING:
    from bronzesail.schema import ConfigurationChange

__all__ = ["REGIONS", "BenchRouter", "FleetWorld", "make_change"]

REGIONS = ("amman", "aqaba")
SECRET = b"secret of the benchmark fleet"
LINK_DELAY_S = 0.03


def make_change(number: int) -> tuple[ConfigurationChange, ...]:
    """Return a change that differs from the one before."""
    return (make_set_change("class", PriorityClass("answer", number)),)


class BenchRouter:
    """Fleet and configuration parts of one router.

    Parameters
    ----------
    settings : FleetSettings
        Settings of the fleet part.
    world : FleetWorld
        The platform.
    is_alone : bool
        Whether it polls the store and tells nobody, as the baseline does.
    seed : int
        Seed of its random numbers.
    """

    def __init__(
        self, settings: FleetSettings, world: FleetWorld, is_alone: bool, seed: int
    ) -> None:
        source = random.Random(seed)
        clock = SystemClock()
        self.decisions = DecisionLog()
        self.versions: dict[int, float] = {}
        self.client = HttpClient()
        region = settings.region
        directory = HttpHostDirectory(world.list_address, self.client, region)
        address = world.find_table_address(region)
        self.table = HttpTable(address, self.client, settings.host)
        self.fleet = FleetService(settings, directory, clock, source, self.decisions)
        rules = ConfigurationSettings()
        if is_alone:
            rules = attrs.evolve(rules, n_pollers=1_000_000)
        self.configuration = ConfigurationService(
            self.table,
            self.fleet,
            LonelyMembership(self.fleet) if is_alone else self.fleet,
            clock,
            source,
            self.decisions,
            rules,
        )
        self.configuration.subscribe(self._note_version)

    @property
    def host(self) -> str:
        """Name of its host."""
        return self.fleet.own.router_id.host

    @property
    def region(self) -> str:
        """Name of its region."""
        return self.fleet.own.region

    def _note_version(self, configuration: object) -> None:
        version = self.configuration.current.version
        self.versions[version] = time.monotonic()

    async def start(self) -> None:
        """Start both parts."""
        await self.fleet.start()
        await self.configuration.start()

    async def abort(self) -> None:
        """Stop without a word, as a crash would."""
        await self.configuration.stop()
        await self.fleet.abort()

    def count_decisions(self, words: str) -> int:
        """Return how many decisions of the fleet contain some words."""
        return sum(words in item.text for item in self.decisions.find("fleet"))


class LonelyMembership:
    """Membership of a router that polls the store alone.

    Parameters
    ----------
    fleet : FleetService
        The real one.
    """

    def __init__(self, fleet: FleetService) -> None:
        self._fleet = fleet

    @property
    def own(self) -> RouterInfo:
        """Entry of the router itself."""
        return self._fleet.own

    def __getattr__(self, name: str) -> object:
        return getattr(self._fleet, name)

    def list_routers(self) -> tuple[RouterInfo, ...]:
        """Return nobody."""
        return ()

    list_unreachable = list_routers
    list_neighbours = list_routers


class FleetWorld:
    """Stand-ins of the platform, the link and the routers."""

    def __init__(self, is_alone: bool = False) -> None:
        self.table = TableStandin()
        self.hosts = HostListStandin()
        self.link = RegionLink(REGIONS, LINK_DELAY_S)
        self.relays: list[LinkStandin] = []
        self.routers: dict[str, BenchRouter] = {}
        self._is_alone = is_alone
        self._seed = 0
        self._table_relay = ""
        self._list_relay = ""

    @property
    def list_address(self) -> str:
        """Address of the host list."""
        return self.hosts.address

    def find_table_address(self, region: str) -> str:
        """Return the address of the table as a region sees it."""
        return self.table.address if region == REGIONS[0] else self._table_relay

    @property
    def running(self) -> list[BenchRouter]:
        """Routers that run."""
        return list(self.routers.values())

    async def start(self, n_routers: int) -> None:
        """Start the platform and some routers, and wait until all know all."""
        await self.table.start()
        await self.hosts.start()
        relay = await self.link.open_relay(REGIONS[1], self.table.address)
        self._table_relay = relay.address
        for index in range(n_routers):
            await self.add(f"router-{index}", REGIONS[index % 2])
        await self.wait_until_complete()

    async def add(self, host: str, region: str) -> BenchRouter:
        """Start a router and list it."""
        data_centre = f"{region}-{'ab'[len(self.routers) // 2 % 2]}"
        settings = FleetSettings(host, data_centre, region, SECRET)
        self._seed += 1
        router = BenchRouter(settings, self, self._is_alone, self._seed)
        await router.start()
        address = router.fleet.peer_address
        other = REGIONS[1] if region == REGIONS[0] else REGIONS[0]
        relay = await self.link.open_relay(other, address)
        self.relays.append(relay)
        self.hosts.set_relay(other, host, "", relay.address)
        entry = HostEntry(host, "router", "", data_centre, region)
        self.hosts.set_host(attrs.evolve(entry, peer_address=address))
        self.routers[host] = router
        return router

    async def kill(self, host: str) -> BenchRouter:
        """End a router without a word."""
        router = self.routers.pop(host)
        await router.abort()
        return router

    def is_complete(self) -> bool:
        """Tell whether every router lists exactly the others."""
        ids = {router.fleet.own.router_id for router in self.running}
        for router in self.running:
            live = {info.router_id for info in router.fleet.list_routers()}
            if live != ids - {router.fleet.own.router_id}:
                return False
        return True

    async def wait_until_complete(self, timeout_s: float = 60.0) -> float:
        """Wait until every router lists exactly the others; return the time."""
        begun = time.monotonic()
        while not self.is_complete():
            if time.monotonic() - begun > timeout_s:
                raise TimeoutError("the routers do not agree on who runs")
            await asyncio.sleep(0.01)
        return time.monotonic() - begun

    async def stop(self) -> None:
        """Stop everything."""
        for router in self.running:
            await router.abort()
        await self.link.stop()
        await self.hosts.stop()
        await self.table.stop()
