"""Bookings during a store outage, under claim rows and under issued keys."""

from __future__ import annotations

import asyncio
import json
import random
from typing import Any

import attrs

from bronzesail.http import HttpRequest
from tests.request_fakes import FakeFleet, FakeNode

from .virtual_time import VirtualClock, run_virtual

__all__ = ["OutageResult", "measure_outage"]

N_ROUTERS = 6
BOOKINGS_PER_S = 2.0
OUTAGE_START_S = 120.0
OUTAGE_S = 600.0
RUN_S = 900.0
SEED = 11


@attrs.define
class OutageResult:
    """What became of the bookings under one kind of key."""

    n_bookings: int = 0
    n_refused: int = 0
    n_doubled: int = 0
    table_writes: int = 0
    peer_messages: int = 0
    waits_s: list[float] = attrs.field(factory=list)


class InstantExchange:
    """Whole answer of a service that answers at once."""

    status = 200
    headers = (("content-type", "application/json"),)

    async def read_body(self, timeout_s: float | None = None) -> bytes:
        """Return the body."""
        return b"{}"


class InstantClient:
    """Client of a plain service that counts the runs of each key."""

    def __init__(self, runs: dict[str, int]) -> None:
        self._runs = runs

    async def send(self, call: Any) -> InstantExchange:
        """Run a call at once."""
        key = dict(call.headers)["idempotency-key"]
        self._runs[key] = self._runs.get(key, 0) + 1
        return InstantExchange()


class Collector:
    """Response side of a caller's exchange, in memory."""

    is_disconnected = False

    def __init__(self) -> None:
        self.status = 0
        self.body = b""
        self.is_started = False

    async def start(self, status: int, headers: Any = ()) -> None:
        """Take the status."""
        self.status = status
        self.is_started = True

    async def write(self, data: bytes) -> None:
        """Take a part of the body."""
        self.body += data

    async def finish(self) -> None:
        """Take the end of the body."""


async def call(node: FakeNode, target: str, key: str = "") -> Collector:
    """Send one POST to a router and return its answer."""
    headers = [("authorization", "Bearer ski.s3cret")]
    if key:
        headers.append(("idempotency-key", key))
    headers.append(("bronzesail-deadline-ms", "30000"))
    collector: Any = Collector()
    request = HttpRequest("POST", target, tuple(headers), b"pass")
    await node.service.handle(request, collector)
    return collector


def measure_outage(is_issued: bool) -> OutageResult:
    """Return what became of the bookings of a quarter of an hour."""
    return run_virtual(_run(is_issued))


async def _run(is_issued: bool) -> OutageResult:
    loop = asyncio.get_running_loop()
    source = random.Random(SEED)
    runs: dict[str, int] = {}
    fleet = FakeFleet(
        clock=VirtualClock(loop),
        make_client=lambda: InstantClient(runs),  # type: ignore[arg-type,return-value]
        has_sockets=False,
    )
    fleet.list_backend("a", "pass", "10.0.0.1:80")
    nodes = [await fleet.add_node(f"r{n}") for n in range(N_ROUTERS)]
    result = OutageResult()
    tasks = []
    while loop.time() < RUN_S:
        end_s = OUTAGE_START_S + OUTAGE_S
        fleet.table.is_out = OUTAGE_START_S <= loop.time() < end_s
        booking = _book(source, nodes, result, is_issued)
        tasks.append(asyncio.create_task(booking))
        await asyncio.sleep(1 / BOOKINGS_PER_S)
    await asyncio.gather(*tasks)
    result.n_doubled = sum(count - 1 for count in runs.values())
    result.table_writes = fleet.table.n_writes
    result.peer_messages = sum(node.network.n_requests for node in nodes)
    return result


async def _book(
    source: random.Random,
    nodes: list[FakeNode],
    result: OutageResult,
    is_issued: bool,
) -> None:
    loop = asyncio.get_running_loop()
    started_at = loop.time()
    result.n_bookings += 1
    key = f"booking-{result.n_bookings}"
    if is_issued:
        answer = await call(source.choice(nodes), "/v1/pass/keys")
        key = json.loads(answer.body)["key"]
    answer = await call(source.choice(nodes), "/v1/pass/call/book", key)
    if answer.status != 200:
        result.n_refused += 1
    result.waits_s.append(loop.time() - started_at)
