"""Routers, backend server stand-ins and platform stand-ins on loopback."""

from __future__ import annotations

import random
from collections import Counter

import attrs

from ..application import Application
from ..schema import (
    BudgetRow,
    HostEntry,
    LogSection,
    PlatformSection,
    RouterSection,
    SecuritySection,
)
from ..schema.codec import decode_as
from ..settings import Settings
from ..standin import (
    EngineSpeed,
    EngineStandin,
    HostListStandin,
    PlainServiceStandin,
    RegionLink,
    TableStandin,
)

__all__ = ["Deployment", "DeploymentPlan", "DeploymentSite"]

BUDGET_PREFIX = "budget/"
LOOPBACK = "127.0.0.1"
PEER_SECRET = "demo peer secret, not for production"
OPERATOR_KEY = "demo operator key, not for production"


@attrs.frozen
class DeploymentSite:
    """One data centre.

    Attributes
    ----------
    data_centre : str
        Name of the data centre.
    region : str
        Name of the region.
    n_routers, n_engines, n_plain : int
        Entry hosts, model engines and plain service hosts in it.
    """

    data_centre: str
    region: str
    n_routers: int
    n_engines: int
    n_plain: int


@attrs.frozen
class DeploymentPlan:
    """Shape of a deployment with up to two regions; the first holds the platform.

    Attributes
    ----------
    sites : tuple of DeploymentSite
        Its data centres.
    model_service, plain_service : str
        Names of the services.
    speed : EngineSpeed
        Capacity of a model engine.
    seed : int
        Seed of the routers' random numbers.
    """

    sites: tuple[DeploymentSite, ...]
    model_service: str
    plain_service: str
    speed: EngineSpeed = attrs.field(factory=EngineSpeed)
    seed: int = 1


class Deployment:
    """A running deployment.

    Parameters
    ----------
    plan : DeploymentPlan
        Its shape.
    """

    def __init__(self, plan: DeploymentPlan) -> None:
        self.plan = plan
        self.table = TableStandin()
        self.hosts = HostListStandin()
        self.routers: list[Application] = []
        self.engines: list[EngineStandin] = []
        self.services: list[PlainServiceStandin] = []
        regions = tuple(dict.fromkeys(site.region for site in plan.sites))
        self.home_region = regions[0]
        self._far_region = regions[-1]
        self.link = RegionLink((self.home_region, self._far_region))
        self._numbers: Counter[str] = Counter()

    async def start(self) -> None:
        """Start the platform, then the backend servers, then the routers."""
        await self.table.start()
        await self.hosts.start()
        for site in self.plan.sites:
            await self._start_backends(site)
        for site in self.plan.sites:
            for _ in range(site.n_routers):
                await self.start_router(site)

    async def stop(self) -> None:
        """Stop everything at once."""
        for router in self.routers:
            await router.stop()
        for engine in self.engines:
            await engine.stop()
        for service in self.services:
            await service.stop()
        await self.link.stop()
        await self.hosts.stop()
        await self.table.stop()

    async def start_router(self, site: DeploymentSite) -> Application:
        """Start one more router and put it on the host list.

        Parameters
        ----------
        site : DeploymentSite
            Its data centre.

        Returns
        -------
        Application
            The router.
        """
        host = self._name_host("entry", site)
        settings = Settings(
            router=RouterSection(
                host, site.data_centre, site.region, LOOPBACK, 0, 0, 0
            ),
            platform=await self._find_platform(site.region),
            security=SecuritySection(PEER_SECRET, OPERATOR_KEY),
            log=LogSection(),
        )
        generator = random.Random(f"{self.plan.seed}/{host}")
        router = Application(settings, generator=generator)
        await router.start()
        self.routers.append(router)
        await self._list_host(
            HostEntry(
                host=host,
                role="router",
                address=router.caller_address,
                data_centre=site.data_centre,
                region=site.region,
                peer_address=router.fleet.peer_address,
            )
        )
        return router

    async def kill_router(self, router: Application) -> None:
        """Stop a router at once, as a crash would, and take it off the list.

        Parameters
        ----------
        router : Application
            The router.
        """
        self.routers.remove(router)
        await router.abort()
        self.hosts.remove_host(router.settings.router.host)

    async def drain_router(self, router: Application) -> None:
        """Stop a router as planned, then take it off the list.

        Parameters
        ----------
        router : Application
            The router.
        """
        await router.drain()
        self.routers.remove(router)
        await router.stop()
        self.hosts.remove_host(router.settings.router.host)

    def list_caller_addresses(self) -> list[str]:
        """Return the callers' listeners, as the platform's balancer would."""
        return [router.caller_address for router in self.routers]

    def count_orphan_grants(self) -> int:
        """Return the number of grants whose holder is not running."""
        running = {router.fleet.own.router_id for router in self.routers}
        rows = [
            decode_as(row.value, BudgetRow)
            for key, row in self.table.dump().items()
            if key.startswith(BUDGET_PREFIX)
        ]
        return sum(grant.holder not in running for row in rows for grant in row.grants)

    async def _start_backends(self, site: DeploymentSite) -> None:
        for _ in range(site.n_engines):
            engine = EngineStandin(self._name_host("desk", site), self.plan.speed)
            await engine.start()
            self.engines.append(engine)
            await self._list_backend(
                site, engine.name, self.plan.model_service, engine.address
            )
        for _ in range(site.n_plain):
            service = PlainServiceStandin(self._name_host("pass", site))
            await service.start()
            self.services.append(service)
            await self._list_backend(
                site, service.name, self.plan.plain_service, service.address
            )

    async def _list_backend(
        self, site: DeploymentSite, host: str, role: str, address: str
    ) -> None:
        entry = HostEntry(host, role, address, site.data_centre, site.region)
        await self._list_host(entry)

    async def _list_host(self, entry: HostEntry) -> None:
        if self._far_region != self.home_region:
            await self._set_relays(entry)
        self.hosts.set_host(entry)

    async def _set_relays(self, entry: HostEntry) -> None:
        asker = (
            self._far_region if entry.region == self.home_region else self.home_region
        )
        address = await self._open_relay(asker, entry.address)
        peer_address = ""
        if entry.peer_address:
            peer_address = await self._open_relay(asker, entry.peer_address)
        self.hosts.set_relay(asker, entry.host, address, peer_address)

    async def _open_relay(self, asker: str, target: str) -> str:
        relay = await self.link.open_relay(asker, target)
        return relay.address

    async def _find_platform(self, region: str) -> PlatformSection:
        table, hosts = self.table.address, self.hosts.address
        if region != self.home_region:
            table = await self._open_relay(region, table)
            hosts = await self._open_relay(region, hosts)
        return PlatformSection(table, table, hosts)

    def _name_host(self, kind: str, site: DeploymentSite) -> str:
        prefix = f"{kind}-{site.data_centre}"
        self._numbers[prefix] += 1
        return f"{prefix}-{self._numbers[prefix]}"
