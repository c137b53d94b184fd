"""Service of the router that manages the orders of the engines it owns."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from ..fleet import choose_owners
from ._actions import OrderTiming
from ._engine import HttpEnginePort
from ._keeper import OrderKeeper
from ._log import OrderLog
from ._placing import make_order_key
from ._ports import OrderTarget
from ._weights import WeightStoreLimit

if TYPE_CHECKING:
    from collections.abc import Iterator

    from ..configuration import Configuration, ConfigurationView
    from ..explain import DecisionLog
    from ..fleet import Membership, RouterInfo
    from ..http import HttpClient
    from ..schema import HostEntry, OrderSettings
    from ..storage import Table
    from ..util.clock import Clock

__all__ = ["OrderService"]

MODEL_KIND = "model"


class OrderService:
    """Chooses the engines that this router owns and runs their orders.

    Owners are chosen by rendezvous hashing over this router's view of the fleet. Views
    may differ for a while, so ownership is a hint; leases exclude a second sender.

    Parameters
    ----------
    table : Table
        Table service.
    membership : Membership
        Source of the routers and the backend servers.
    configuration : ConfigurationView
        Source of the services, and of whether their engines check fencing numbers.
    client : HttpClient
        HTTP client for the calls to engines.
    clock : Clock
        Clock of this host.
    decisions : DecisionLog
        Log of decisions read by `bronzesail explain`.
    settings : OrderSettings
        Settings of orders to engines.
    """

    def __init__(
        self,
        table: Table,
        membership: Membership,
        configuration: ConfigurationView,
        client: HttpClient,
        clock: Clock,
        decisions: DecisionLog,
        settings: OrderSettings,
    ) -> None:
        self._membership = membership
        self._configuration = configuration
        own = membership.own.router_id
        self._keeper = OrderKeeper(
            table,
            HttpEnginePort(client),
            WeightStoreLimit(table, clock, settings.load_interval_s),
            clock,
            self.list_targets,
            f"{own.host}:{own.incarnation}",
            OrderLog(decisions, clock),
            OrderTiming(
                lease_s=settings.lease_s,
                longest_order_s=settings.longest_order_s,
                check_interval_s=settings.check_interval_s,
            ),
        )
        self._targets: tuple[OrderTarget, ...] | None = None
        membership.subscribe(self._invalidate_targets)
        configuration.subscribe(self._invalidate_targets)
        self._task: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Start managing the engines in a background task."""
        self._task = asyncio.create_task(self._keeper.run())

    async def stop(self) -> None:
        """Stop without releasing leases.

        Another router takes over once they have expired.
        """
        if self._task is None:
            return
        self._task.cancel()
        await asyncio.gather(self._task, return_exceptions=True)

    def list_targets(self) -> tuple[OrderTarget, ...]:
        """Return the engines that this router owns at the moment.

        Returns
        -------
        tuple of OrderTarget
            Engines of model services that are not leaving and whose owner is this
            router.
        """
        if self._targets is None:
            self._targets = tuple(self._find_targets())
        return self._targets

    def _invalidate_targets(self, _configuration: Configuration | None = None) -> None:
        self._targets = None

    def _find_targets(self) -> Iterator[OrderTarget]:
        routers = _RouterGroups(self._membership)
        own = self._membership.own
        for service in self._configuration.current.services.values():
            if service.kind != MODEL_KIND:
                continue
            for entry in self._membership.list_backends(service.name):
                candidates = routers.find_nearest(entry)
                if entry.is_leaving or own not in candidates:
                    continue
                key = make_order_key(entry.host)
                if choose_owners(key, candidates, 1) != (own,):
                    continue
                yield OrderTarget(entry.host, entry.address, service.checks_fencing)


class _RouterGroups:
    """Routers that are not leaving, by data centre and by region.

    The owner of an engine is a router of the same data centre if there is one, so that
    hash weights need to be computed only for engines and routers of one data centre.
    """

    def __init__(self, membership: Membership) -> None:
        self._all: list[RouterInfo] = []
        self._by_data_centre: dict[str, list[RouterInfo]] = {}
        self._by_region: dict[str, list[RouterInfo]] = {}
        for router in (membership.own, *membership.list_routers()):
            if router.is_leaving:
                continue
            self._all.append(router)
            self._by_data_centre.setdefault(router.data_centre, []).append(router)
            self._by_region.setdefault(router.region, []).append(router)

    def find_nearest(self, entry: HostEntry) -> list[RouterInfo]:
        """Return the routers of the engine's data centre, else region, else all."""
        nearest = self._by_data_centre.get(entry.data_centre)
        return nearest or self._by_region.get(entry.region) or self._all
