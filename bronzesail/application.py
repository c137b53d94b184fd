"""Composition root: the only module that wires the components of a router."""

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
    """A router with all its components.

    Parameters
    ----------
    settings : Settings
        Validated settings.
    clock : Clock
        Clock of every component; the system clock by default.
    generator : random.Random
        Random number generator; the system's generator by default.
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
        self._wire_services()
        self._wire_listeners()

    @property
    def caller_address(self) -> str:
        """IP address and port of the listener for callers; valid after `start`."""
        return self._caller_server.address

    @property
    def operator_address(self) -> str:
        """IP address and port of the operator listener; valid after `start`."""
        return self._operator_server.address

    def is_ready(self) -> bool:
        """Return whether the router has a configuration and is not draining."""
        return not self._is_draining and self.configuration.current.version > 0

    def request_drain(self) -> None:
        """Request a graceful shutdown, which `run` performs."""
        self._drain_requested.set()

    async def start(self) -> None:
        """Start every component, the HTTP listeners last.

        Raises
        ------
        OSError
            If an address is in use.
        """
        self.fleet.subscribe(self._drain_if_superseded)
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
        """Wait for a drain request, then drain and stop."""
        await self._drain_requested.wait()
        await self.drain()
        await self.stop()

    async def drain(self) -> None:
        """Wait for requests in progress, then return every grant to its budget."""
        self._is_draining = True
        self.fleet.mark_leaving()
        self._log.write("draining")
        # The load balancer needs this long to detect that the router is not ready.
        await asyncio.sleep(self.settings.router.drain_notice_s)
        timeout_s = self.settings.router.drain_timeout_s or None
        await self._caller_server.drain(timeout_s)
        await self.requests.drain()
        await self.budgets.drain()
        self._log.write("drained")

    async def stop(self) -> None:
        """Stop every component of a drained router."""
        await self._stop_parts()
        await self.fleet.stop()
        self._client.close()
        self._log.write("stopped")

    async def abort(self) -> None:
        """Stop every component at once, without notifying peers, as in a crash."""
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

    def _drain_if_superseded(self) -> None:
        if not self.fleet.is_superseded or self._drain_requested.is_set():
            return
        self._log.write("another process has registered under this host name; draining")
        self._drain_requested.set()

    def derive_secret(self, purpose: str) -> bytes:
        """Derive a secret for one purpose from the peer secret that all routers share.

        Parameters
        ----------
        purpose : str
            Name of the purpose: ``peers`` or ``keys``.

        Returns
        -------
        bytes
            Secret of 32 bytes.
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

    def _wire_services(self) -> None:
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
