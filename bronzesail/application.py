"""Composition root: the only place that wires the parts of a router."""

from __future__ import annotations

import asyncio
import hashlib
import random
from typing import TYPE_CHECKING

from .budget import BudgetService, BudgetSettings
from .configuration import ConfigurationService
from .explain import DecisionLog, Metrics, PartLogger, RequestMetrics
from .fleet import FleetService
from .http import HttpClient, HttpServer
from .operator import ExplainService, OperatorApi, OperatorParts
from .orders import OrderService
from .request import RequestService, RequestSettings, UsageClient
from .routing import RoutingService
from .schema import (
    ConfigurationSettings,
    FleetSettings,
    OrderSettings,
    RoutingSettings,
)
from .storage import HttpHostDirectory, HttpTable
from .util.clock import SystemClock

if TYPE_CHECKING:
    from .settings import Settings
    from .util.clock import Clock

__all__ = ["Application"]

SECRET_BYTES = 32


class Application:
    """One router with all its parts.

    Parameters
    ----------
    settings : Settings
        Validated settings.
    clock : Clock
        Source of the time.
    generator : random.Random
        Source of random numbers.
    """

    def __init__(
        self,
        settings: Settings,
        clock: Clock | None = None,
        generator: random.Random | None = None,
    ) -> None:
        self.settings = settings
        self._clock = clock or SystemClock()
        self._random = generator or random.SystemRandom()
        self._log = PartLogger("router")
        self._client = HttpClient()
        self._drain_requested = asyncio.Event()
        self._is_draining = False
        self.decisions = DecisionLog()
        self.metrics = Metrics()
        self._wire_fleet()
        self._wire_parts()
        self._wire_listeners()

    @property
    def caller_address(self) -> str:
        """IP address and port of the callers' listener, once started."""
        return self._caller_server.address

    @property
    def operator_address(self) -> str:
        """IP address and port of the operators' listener, once started."""
        return self._operator_server.address

    def is_ready(self) -> bool:
        """Tell whether callers may be sent here."""
        return not self._is_draining and self.configuration.current.version > 0

    def request_drain(self) -> None:
        """Ask for a planned stop; `run` carries it out."""
        self._drain_requested.set()

    async def start(self) -> None:
        """Start every part, the listeners last.

        Raises
        ------
        OSError
            If an address is in use.
        """
        self.fleet.subscribe(self._check_superseded)
        await self.fleet.start()
        await self.configuration.start()
        await self.budgets.start()
        await self.routing.start()
        await self.requests.start()
        await self.orders.start()
        router = self.settings.router
        await self._operator_server.start(router.bind_address, router.operator_port)
        await self._caller_server.start(router.bind_address, router.caller_port)
        self._log.write("started", host=router.host, callers=self.caller_address)

    async def run(self) -> None:
        """Run until a planned stop is asked for, then drain and stop."""
        await self._drain_requested.wait()
        await self.drain()
        await self.stop()

    async def drain(self) -> None:
        """Let requests in progress end, then hand back every grant."""
        self._is_draining = True
        self.fleet.mark_leaving()
        self._log.write("draining")
        # The balancer needs this long to see that the router is not ready.
        await asyncio.sleep(self.settings.router.drain_notice_s)
        timeout_s = self.settings.router.drain_timeout_s or None
        await self._caller_server.drain(timeout_s)
        await self.requests.drain()
        await self.budgets.drain()
        self._log.write("drained")

    async def stop(self) -> None:
        """Stop every part of a drained router."""
        await self._stop_parts()
        await self.fleet.stop()
        self._client.close()
        self._log.write("stopped")

    async def abort(self) -> None:
        """Stop every part at once and without a word, as a crash would."""
        await self._stop_parts()
        await self.fleet.abort()
        self._client.close()

    async def _stop_parts(self) -> None:
        await self._caller_server.close()
        await self._operator_server.close()
        await self.orders.stop()
        await self.routing.stop()
        await self.budgets.stop()
        await self.configuration.stop()

    def _check_superseded(self) -> None:
        if not self.fleet.is_superseded or self._drain_requested.is_set():
            return
        self._log.write("another process has taken over the host name")
        self._drain_requested.set()

    def derive_secret(self, purpose: str) -> bytes:
        """Return a secret that all routers share for one purpose.

        Parameters
        ----------
        purpose : str
            Either ``peers`` or ``keys``.

        Returns
        -------
        bytes
            32 bytes.
        """
        secret = self.settings.security.peer_secret.encode()
        return hashlib.blake2b(
            purpose.encode(), key=secret[:64], digest_size=SECRET_BYTES
        ).digest()

    def _wire_fleet(self) -> None:
        router = self.settings.router
        platform = self.settings.platform
        directory = HttpHostDirectory(
            platform.hosts_address, self._client, router.region
        )
        fleet_settings = FleetSettings(
            host=router.host,
            data_centre=router.data_centre,
            region=router.region,
            shared_secret=self.derive_secret("peers"),
            bind_address=router.bind_address,
            bind_port=router.peer_port,
        )
        self.fleet = FleetService(
            fleet_settings, directory, self._clock, self._random, self.decisions
        )
        writer = f"{router.host}/{self.fleet.own.router_id.incarnation}"
        self._table = HttpTable(platform.table_address, self._client, writer)
        self.configuration = ConfigurationService(
            self._table,
            self.fleet,
            self.fleet,
            self._clock,
            self._random,
            self.decisions,
            ConfigurationSettings(),
        )

    def _wire_parts(self) -> None:
        request_settings = RequestSettings(fleet_secret=self.derive_secret("keys"))
        usage = UsageClient(
            self._client, self.fleet, self.configuration, request_settings
        )
        self.budgets = BudgetService(
            self._table,
            self.fleet,
            self.fleet,
            self.configuration,
            usage,
            self._clock,
            self._random,
            self.decisions,
            BudgetSettings(),
        )
        self.routing = RoutingService(
            self.fleet,
            self.configuration,
            self._client,
            self._clock,
            self._random,
            self.decisions,
            RoutingSettings(),
        )
        self.requests = RequestService(
            self.budgets,
            self.routing,
            self.fleet,
            self.fleet,
            self.configuration,
            self._table,
            self._client,
            self._clock,
            self._random,
            self.decisions,
            RequestMetrics(self.metrics),
            request_settings,
        )

        self.orders = OrderService(
            self._table,
            self.fleet,
            self.configuration,
            self._client,
            self._clock,
            self.decisions,
            OrderSettings(),
        )

    def _wire_listeners(self) -> None:
        parts = OperatorParts(
            table=self._table,
            budgets=self.budgets,
            configuration=self.configuration,
            membership=self.fleet,
            explanations=ExplainService(self.decisions, self.fleet, self.fleet),
            metrics=self.metrics,
            is_ready=self.is_ready,
            request_drain=self.request_drain,
            count_running=self.requests.count_running,
        )
        api = OperatorApi(parts, self.settings.security.operator_key)
        self._operator_server = HttpServer(api.handle)
        self._caller_server = HttpServer(self.requests.handle)
