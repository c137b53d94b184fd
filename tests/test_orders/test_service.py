"""Tests of orders from the operators' API to the engine, with two routers."""

from __future__ import annotations

import asyncio
import json
from typing import Any, cast

import attrs

from bronzesail.configuration import Configuration
from bronzesail.explain import DecisionLog
from bronzesail.fleet import RouterInfo
from bronzesail.http import HttpCall, HttpClient, HttpServer
from bronzesail.operator import OperatorApi, OperatorParts
from bronzesail.orders import OrderService
from bronzesail.schema import (
    EngineSetup,
    HostEntry,
    OrderSettings,
    RouterId,
    ServiceEntry,
)
from bronzesail.standin import EngineStandin, TableStandin
from bronzesail.storage import HttpTable
from bronzesail.util.clock import SystemClock

ROUTERS = [
    RouterInfo(RouterId(f"r{n}", n), f"a:{n}", "amman-a", "amman") for n in (1, 2)
]
SETTINGS = OrderSettings(4.0, 1.0, 0.05, 0.01)
KEY = (("authorization", "Bearer key"),)


@attrs.define
class FakeMembership:
    """Membership with a fixed list of routers and backend servers."""

    own: RouterInfo
    entries: tuple[HostEntry, ...]

    def list_routers(self) -> tuple[RouterInfo, ...]:
        return tuple(router for router in ROUTERS if router != self.own)

    def list_backends(self, service: str) -> tuple[HostEntry, ...]:
        return self.entries

    def subscribe(self, listener: object) -> None:
        pass


@attrs.define
class FakeConfigurationView:
    """View of a configuration that does not change."""

    current: Configuration

    def subscribe(self, listener: object) -> None:
        pass


async def call(server: HttpServer, method: str, target: str, content: Any) -> Any:
    client = HttpClient()
    body = json.dumps(content).encode()
    status, answer = await client.fetch(
        HttpCall(server.address, method, target, KEY, body)
    )
    client.close()
    return status, json.loads(answer)


def test_operators_order_reaches_the_engine_through_its_owner_alone() -> None:
    async def run() -> None:
        store, engine = TableStandin(), EngineStandin()
        await store.start()
        await engine.start()
        client = HttpClient()
        table = HttpTable(store.address, client, "test")
        entry = HostEntry("e1", "desk", engine.address, "amman-a", "amman")
        leaving = HostEntry("e2", "desk", "127.0.0.1:1", "a", "amman", True)
        memberships = [FakeMembership(own, (entry, leaving)) for own in ROUTERS]
        view = FakeConfigurationView(
            Configuration(1, services={"desk": ServiceEntry("desk", "model", True)})
        )
        services = [
            OrderService(
                table,
                cast("Any", membership),
                cast("Any", view),
                client,
                SystemClock(),
                DecisionLog(),
                SETTINGS,
            )
            for membership in memberships
        ]
        targets = [target for service in services for target in service.list_targets()]
        assert [target.backend for target in targets] == ["e1"]
        part_values: list[Any] = [table, None, view, memberships[0], *[None] * 5]
        parts = OperatorParts(*part_values)
        server = HttpServer(OperatorApi(parts, "key").handle)
        await server.start("127.0.0.1", 0)
        for service in services:
            await service.start()

        order = {"role": "decode", "operator": "rana"}
        assert (await call(server, "POST", "/orders/e1", order))[0] == 202
        while True:
            _, row = await call(server, "GET", "/orders/e1", None)
            if row["is_confirmed"] and not row["holder"]:
                break
            await asyncio.sleep(0.01)
        assert engine.orders.setup == EngineSetup(role="decode")
        assert len(engine.orders.applied) == 1
        repeated = {**order, "seen_number": 0}
        status, row = await call(server, "POST", "/orders/e1", repeated)
        assert (status, row["number"]) == (202, 1)
        conflicting = {"role": "prefill", "operator": "sami", "seen_number": 0}
        assert (await call(server, "POST", "/orders/e1", conflicting))[0] == 409
        assert (await call(server, "POST", "/orders/e9", order))[0] == 404
        assert (await call(server, "POST", "/orders/e1", {"role": 5}))[0] == 400

        for service in services:
            await service.stop()
        await server.close()
        client.close()
        await engine.stop()
        await store.stop()

    asyncio.run(run())
