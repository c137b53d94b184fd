"""Slopes of one router's cost, measured on one machine over small fakes."""

from __future__ import annotations

import asyncio
import functools
import gc
import random
import resource
import time
import tracemalloc
from typing import TYPE_CHECKING, Any

import attrs
import cbor2

from benchmarks._workload import make_items
from benchmarks.budget_fleet import Fleet, FleetRouter
from benchmarks.virtual_time import run_virtual
from bronzesail.budget import BudgetSettings, ReserveOrder, create_budget
from bronzesail.http import (
    HttpCall,
    HttpClient,
    HttpRequest,
    HttpServer,
    Responder,
    send_json,
)
from bronzesail.routing import (
    Chosen,
    LinkRateLimiter,
    PrefixIndex,
    RouteRequest,
    RoutingCore,
)
from bronzesail.schema import (
    BudgetRow,
    ClientAccount,
    ConfigurationChange,
    ConfigurationVersion,
    Frame,
    FrameBatch,
    GrantEntry,
    HostEntry,
    JournalAppend,
    JournalReply,
    MemberEntry,
    Probe,
    ProbeReply,
    RegionAge,
    RouterId,
    RoutingSettings,
)
from bronzesail.schema.codec import decode, encode

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

__all__ = ["measure_slopes"]

US_PER_S = 1e6
KIB = 1024
SEED = 7
WEBSOCKET_HEADER_BYTES = 6
TCP_HEADER_BYTES = 52
TRIES = 3

Slopes = dict[str, float]


def measure_slopes() -> Slopes:
    """Return every slope, with its unit in the key."""
    slopes: Slopes = {"rss_imported_mib": _read_rss_mib()}
    slopes |= asyncio.run(_measure_http())
    slopes |= _measure_codec()
    slopes |= _measure_routing()
    slopes |= run_virtual(_measure_requests())
    slopes |= run_virtual(_measure_idle_budgets())
    return {name: round(value, 3) for name, value in slopes.items()}


def _read_rss_mib() -> float:
    import bronzesail.application  # noqa: F401

    return resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / KIB


def _time_us(call: Callable[[], Any], n_calls: int) -> float:
    """Return the least processor time of a call over some tries."""
    best = float("inf")
    for _ in range(TRIES):
        start = time.process_time()
        for _ in range(n_calls):
            call()
        best = min(best, time.process_time() - start)
    return best / n_calls * US_PER_S


async def _time_async_us(call: Callable[[], Awaitable[Any]], n_calls: int) -> float:
    best = float("inf")
    for _ in range(TRIES):
        start = time.process_time()
        for _ in range(n_calls):
            await call()
        best = min(best, time.process_time() - start)
    return best / n_calls * US_PER_S


LOAD_REPORT = {
    "running": 3,
    "queued": 0,
    "slots": 16,
    "tokens_per_s": 800.0,
    "age_ms": 400,
}
N_CHUNKS = 2000


async def _measure_http() -> Slopes:
    async def answer(request: HttpRequest, responder: Responder) -> None:
        if request.path == "/load":
            await send_json(responder, 200, LOAD_REPORT)
            return
        await responder.start(200, (("content-type", "text/event-stream"),))
        for number in range(N_CHUNKS):
            event = f'id: {number}\ndata: {{"text": "token ", "tokens": 1}}\n\n'
            await responder.write(event.encode())
            if number % 10 == 0:
                await asyncio.sleep(0)
        await responder.finish()

    server = HttpServer(answer)
    await server.start("127.0.0.1", 0)
    client = HttpClient()
    load = HttpCall(server.address, "GET", "/load")
    stream = HttpCall(server.address, "GET", "/stream")
    cycle_us = await _time_async_us(lambda: client.fetch(load), 500)
    stream_us = await _time_async_us(lambda: client.fetch(stream), 1)
    poll_bytes = await _measure_exchange(server.address, "/load")
    client.close()
    await server.close()
    return {
        "poll_wire_bytes": poll_bytes,
        "http_cycle_both_ends_us": cycle_us,
        "http_stream_chunk_both_ends_us": stream_us / N_CHUNKS,
    }


async def _measure_exchange(address: str, target: str) -> int:
    """Return the bytes of one exchange on an open connection, headers included."""
    host, _, port = address.rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    head = f"GET {target} HTTP/1.1\r\nhost: {address}\r\ncontent-length: 0\r\n\r\n"
    writer.write(head.encode())
    answer = await reader.readuntil(b"\r\n\r\n")
    answer += await reader.readuntil(b"}")
    writer.close()
    return len(head) + len(answer) + 2 * TCP_HEADER_BYTES


def _frame(message: Any) -> int:
    batch = FrameBatch((Frame(1, 1000, encode(message)),))
    return len(encode(batch)) + WEBSOCKET_HEADER_BYTES + TCP_HEADER_BYTES


def _measure_codec() -> Slopes:
    router = RouterId("entry-amman-a-017", 1 << 40)
    grant = GrantEntry(
        grant_id="entry-amman-a-017.1099511627776.42",
        holder=router,
        epoch=3,
        amount_tokens=1_000_000,
        settled_sequence=120,
        journal_peers=(router, router),
        write_number=77,
    )
    row = BudgetRow("account-0042", "main", 10**9, 10**8, 0, (grant,) * 4)
    ages = tuple(RegionAge(f"region-{n}", 120) for n in range(3))
    probe, reply = Probe(1 << 40, ages), ProbeReply(1 << 40, ages)
    account = ClientAccount("account-0042", b"s" * 16, b"h" * 32, ("desk", "pass"))
    change = ConfigurationChange("account", "account-0042", encode(account))
    version = ConfigurationVersion(4200, "operator-1", 1, (change,), "a" * 16)
    member = MemberEntry(
        router.host, 1 << 40, 5, 0, False, "10.20.30.40:8082", "amman-a", "amman"
    )
    host = HostEntry(
        "runner-0042", "desk", "10.20.30.40:8000", "amman-a", "amman", False
    )
    data = encode(row)
    return {
        "codec_encode_row_us": _time_us(lambda: encode(row), 500),
        "codec_decode_row_us": _time_us(lambda: decode(data), 500),
        "budget_row_4_grants_bytes": len(data),
        "grant_entry_bytes": (
            len(data)
            - len(encode(BudgetRow("account-0042", "main", 10**9, 10**8, 0, ())))
        )
        / 4,
        "probe_and_reply_wire_bytes": _frame(probe) + _frame(reply),
        "journal_reply_wire_bytes": _frame(JournalReply()),
        "configuration_version_bytes": len(encode(version)),
        "member_entry_bytes": len(_encode_part(member)),
        "host_entry_bytes": len(_encode_part(host)),
    }


def _encode_part(part: Any) -> bytes:
    return cbor2.dumps(list(attrs.astuple(part)))


def _measure_routing() -> Slopes:
    slopes: Slopes = {}
    for n_servers in (24, 1600):
        core, order = _make_core(n_servers)
        route = functools.partial(_route, core, order, random.Random(SEED))
        slopes[f"routing_choice_{n_servers}_servers_us"] = _time_us(route, 20)
    slopes["prefix_index_block_bytes"] = _measure_prefix_memory()
    return slopes


def _route(core: RoutingCore, order: RouteRequest, rng: random.Random) -> None:
    _, effects = core.submit(order, 1.0, rng)
    for effect in effects:
        if isinstance(effect, Chosen):
            core.release(effect.route, 10, False, 1.0, rng)


def _make_core(n_servers: int) -> tuple[RoutingCore, RouteRequest]:
    core = RoutingCore(RoutingSettings(), "east", LinkRateLimiter(1e6, 0.0))
    entries = [
        HostEntry(f"b{n}", "desk", f"10.0.0.1:{n}", "dc", "east")
        for n in range(n_servers)
    ]
    core.update_servers("desk", entries, 0.0, 5)
    item = make_items(1.0, 30.0, SEED)[0]
    order = RouteRequest(
        "desk", "k", item.prompt, item.prompt_tokens, 100, "answer", 0, 5000, 1e9
    )
    return core, order


def _measure_prefix_memory() -> float:
    n_blocks = 20_000
    rng = random.Random(SEED)
    gc.collect()
    tracemalloc.start()
    index = PrefixIndex(n_blocks)
    for _ in range(n_blocks):
        index.add_prompt("b1", (rng.randbytes(8),))
    gc.collect()
    used, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return used / index.count_blocks("b1")


class CountingFleet(Fleet):
    """Fleet that counts the bytes of each class of messages."""

    def __init__(self, seed: int) -> None:
        super().__init__(seed)
        self.n_journal_appends = 0
        self.n_journal_bytes = 0
        self.n_other_messages = 0
        self.n_other_bytes = 0

    async def carry(self, sender: FleetRouter, peer: RouterId, message: Any) -> Any:
        """Carry a message and count its bytes and those of its reply."""
        reply = await super().carry(sender, peer, message)
        n_bytes = _frame(message) + (_frame(reply) if reply is not None else 0)
        if isinstance(message, JournalAppend):
            self.n_journal_appends += 1
            self.n_journal_bytes += n_bytes
        else:
            self.n_other_messages += 1
            self.n_other_bytes += n_bytes
        return reply


SETTLED_S = 1.5 * BudgetSettings().settle_interval_s + 30.0
N_REQUESTS = 1200
RATE_PER_ROUTER = 6.5


async def _measure_requests() -> Slopes:
    fleet = CountingFleet(SEED)
    await fleet.start(6)
    await create_budget(fleet.table, "acme", "main", 10**9)
    rng = random.Random(SEED)
    cpu_start = time.process_time()
    writes_start = fleet.table.n_row_writes
    transactions_start = fleet.table.n_transactions
    tasks = []
    for number in range(N_REQUESTS):
        router = fleet.routers[number % len(fleet.routers)]
        tasks.append(fleet.spawn(_serve(fleet, router, f"k{number}")))
        await asyncio.sleep(rng.expovariate(RATE_PER_ROUTER * len(fleet.routers)))
    await asyncio.gather(*tasks)
    await asyncio.sleep(SETTLED_S)
    cpu_s = time.process_time() - cpu_start
    table = fleet.table
    slopes = {
        "budget_request_fleet_us": cpu_s / N_REQUESTS * US_PER_S,
        "journal_messages_per_request": fleet.n_journal_appends / N_REQUESTS,
        "journal_wire_bytes_per_request": fleet.n_journal_bytes / N_REQUESTS,
        "other_wire_bytes_per_request": fleet.n_other_bytes / N_REQUESTS,
        "busy_transactions_per_request": (table.n_transactions - transactions_start)
        / N_REQUESTS,
        "busy_row_writes_per_request": (table.n_row_writes - writes_start) / N_REQUESTS,
    }
    await fleet.stop()
    return slopes


async def _serve(fleet: Fleet, router: FleetRouter, key: str) -> None:
    now = router.clock.monotonic()
    order = ReserveOrder("acme", "main", key, "desk", 600, now + 30.0)
    reservation = (await router.service.reserve(order)).unwrap()
    opened = await router.service.open(reservation, "b1")
    opened.unwrap()
    await fleet.backends.run("acme", key, 300, 1.5)
    router.service.close(reservation, 300)


N_IDLE_BUDGETS = 400
N_IDLE_ROUTERS = 3
IDLE_S = 60.0
REGISTRATION_S = 180.0


async def _measure_idle_budgets() -> Slopes:
    fleet = CountingFleet(SEED)
    await fleet.start(N_IDLE_ROUTERS)
    gc.collect()
    tracemalloc.start()
    for number in range(N_IDLE_BUDGETS):
        await create_budget(fleet.table, f"a{number}", "main", 10**6)
    await asyncio.sleep(REGISTRATION_S)
    writes_start = fleet.table.n_row_writes
    transactions_start = fleet.table.n_transactions
    for number in range(N_IDLE_BUDGETS):
        order = ReserveOrder(f"a{number}", "main", f"k{number}", "desk", 600, 1e9)
        router = fleet.routers[0]
        reservation = (await router.service.reserve(order)).unwrap()
        (await router.service.open(reservation, "b1")).unwrap()
        await fleet.backends.run(f"a{number}", f"k{number}", 300, 0.01)
        router.service.close(reservation, 300)
    await asyncio.sleep(SETTLED_S)
    gc.collect()
    used, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    writes = fleet.table.n_row_writes - writes_start
    transactions = fleet.table.n_transactions - transactions_start
    cpu_start = time.process_time()
    await asyncio.sleep(IDLE_S)
    cpu_s = time.process_time() - cpu_start
    n_entries = N_IDLE_BUDGETS * N_IDLE_ROUTERS
    slopes = {
        "budget_entry_bytes": used / n_entries,
        "cold_row_writes_per_request": writes / N_IDLE_BUDGETS,
        "cold_transactions_per_request": transactions / N_IDLE_BUDGETS,
        "budget_entry_idle_us_per_s": cpu_s / IDLE_S / n_entries * US_PER_S,
    }
    await fleet.stop()
    return slopes
