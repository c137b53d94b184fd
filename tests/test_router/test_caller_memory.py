"""What is held for slow callers and servers must not exhaust the router's memory.

A process above its memory limit is killed, which ends the requests of all callers.
"""

from __future__ import annotations

import asyncio
import socket
from types import SimpleNamespace

import attrs
import pytest
import uvloop

from bronzesail.router import caller_memory
from bronzesail.router.caller_memory import CallerMemory, Usage
from bronzesail.router.client import ClientPool
from bronzesail.router.tcp_state import count_unacknowledged
from tests.endless_server import EndlessServer
from tests.platform_standin import (
    HOST_NAME,
    KEY,
    Deployment,
    make_configuration,
    stream_events,
    wait_until,
)
from tests.router_fakes import ManualClock, RecordingLog

LIMIT_BYTES = 1_000_000
STREAM_HEAD = (
    b"HTTP/1.1 200 OK\r\nX-Server-Seal: s\r\nX-Attempt-Id: %b\r\n"
    b"Content-Type: text/event-stream\r\n\r\n"
)


@attrs.define(eq=False)
class FakeHolder:
    """A connection whose other end takes `rate` bytes per second, while it has any."""

    name: str
    rate: float
    held: int = 0
    moved: int = 0
    is_aborted: bool = False

    def measure_usage(self):
        return Usage(self.held, self.moved)

    def abort_slow(self):
        self.is_aborted, self.held = True, 0

    def describe(self):
        return self.name


class Trial:
    """A bound of 1 MB and connections that grow and drain as time passes."""

    def __init__(self, **options):
        self.clock, self.log = ManualClock(), RecordingLog()
        memory_bytes = int(LIMIT_BYTES / caller_memory.MEMORY_SHARE)
        self.memory = CallerMemory(memory_bytes, self.clock, self.log, **options)
        self.holders = []

    def add(self, name, rate, held=0):
        holder = FakeHolder(name, rate)
        self.holders.append(holder)
        self.grow(holder, held)
        return holder

    def grow(self, holder, count):
        if count and not holder.is_aborted:
            holder.held += count
            self.memory.note_growth(holder, count)

    def run(self, duration_s, grow=lambda: None):
        for _ in range(round(duration_s / 0.25)):
            self.clock.now += 0.25
            for holder in self.holders:
                moved = min(holder.held, int(holder.rate * 0.25))
                holder.held -= moved
                holder.moved += moved
            grow()
            self.memory.check()

    def list_aborted(self):
        return [fields["peer"] for _, fields in self.log.lines]


def test_the_slowest_readers_are_aborted_first():
    trial = Trial()
    good = trial.add("good", 100_000, 260_000)
    trial.add("one byte per second", 1, 200_000)
    trial.add("slow", 2_000, 200_000)
    trial.run(2)
    assert not trial.list_aborted()
    trial.add("silent", 0, 230_000)
    trial.grow(good, 200_000)
    trial.run(2, lambda: trial.grow(good, 25_000))
    assert trial.list_aborted()[0] == "one byte per second"
    assert not good.is_aborted
    assert trial.memory.held_bytes <= LIMIT_BYTES * caller_memory.HIGH_SHARE


def test_a_reader_that_reads_well_is_never_aborted():
    trial = Trial()
    holders = [trial.add(f"good {n}", 60_000, 30_000) for n in range(20)]
    trial.run(2, lambda: [trial.grow(h, 15_000) for h in holders])
    for holder in holders:
        trial.grow(holder, 20_000)
    trial.run(5, lambda: [trial.grow(h, 15_000) for h in holders])
    assert trial.memory.peak_bytes > LIMIT_BYTES * caller_memory.HIGH_SHARE
    assert not trial.list_aborted()


# All at once, none of the new connections has shown yet how well it reads.
def test_the_bound_holds_for_a_burst_of_silent_readers():
    trial = Trial()
    for number in range(100):
        trial.add(f"silent {number}", 0, 50_000)
        assert trial.memory.held_bytes <= LIMIT_BYTES
    assert sum(h.held for h in trial.holders) <= LIMIT_BYTES


def test_a_body_is_refused_when_only_good_connections_hold_memory():
    trial = Trial()
    good = [trial.add(f"good {n}", 100_000, 200_000) for n in range(4)]
    trial.run(1.5, lambda: [trial.grow(h, 25_000) for h in good])
    for holder in good:
        trial.grow(holder, 60_000)
    sender = trial.add("sender", 0)
    assert not trial.memory.accepts_body(sender, 50_000)
    assert trial.memory.n_refused == 1
    assert not trial.list_aborted()


# A caller whose connection is reset is not told that its request has not run.
def test_a_caller_is_told_that_its_body_finds_no_memory(tmp_path, monkeypatch):
    monkeypatch.setattr(caller_memory, "MEMORY_SHARE", 100 / 300_000_000)

    async def run():
        async with Deployment(tmp_path) as deployment:
            deployment.store.put("op", "config", make_configuration())
            router = await deployment.start_router("h1")
            await wait_until(lambda: router.app.configuration.current is not None)
            response = await deployment.send(router, "/book/1", b"x" * 200)
            status, headers, body = response
            assert (status, headers["retry-after"], body) == (429, "1.000", b"BZ1502")
            assert router.app.caller_memory.n_aborted == 0

    asyncio.run(run())


def test_a_disabled_bound_counts_and_aborts_nothing():
    trial = Trial(is_enabled=False)
    trial.add("silent", 0, 3 * LIMIT_BYTES)
    trial.run(5)
    assert trial.memory.peak_bytes == 3 * LIMIT_BYTES
    assert not trial.list_aborted()


# Each caller's own high-water mark is no bound for hundreds of them.
def test_silent_callers_are_cut_off_and_a_reading_one_is_served(tmp_path, monkeypatch):
    monkeypatch.setattr(caller_memory, "MEMORY_SHARE", 0.01)  # Of 300 MB.
    request = (
        f"POST /chat/1 HTTP/1.1\r\nHost: {HOST_NAME}\r\nX-Attempt-Id: s%d\r\n"
        f"X-Deadline-Ms: 20000\r\nAuthorization: Bearer {KEY}\r\n\r\n"
    ).encode()

    async def run():
        async with Deployment(tmp_path) as deployment:
            deployment.store.put("op", "config", make_configuration())
            router = await deployment.start_router("h1")
            memory = router.app.caller_memory
            endless = EndlessServer(STREAM_HEAD, b"data: %b\n\n" % (b"x" * 30_000))
            host, port = await endless.start()
            backend = await deployment.start_backend("p1", "app", stream_events(9))
            entry = backend.make_entry() | {"address": f"{host}:{port}", "slots": 64}
            deployment.store.put("servers", "e1", entry | {"service": "llm"})
            await wait_until(lambda: len(router.app.directory) == 2)
            await wait_until(router.app.is_ready)
            callers = [socket.socket() for _ in range(14)]
            for number, caller in enumerate(callers):
                caller.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
                caller.connect((router.ip, router.port))
                caller.send(request % number)
            await wait_until(lambda: memory.n_aborted > 0)
            status, _, body = await deployment.send(router, "/book/1")
            assert (status, body.count(b"data")) == (200, 9)
            assert 0 < memory.peak_bytes <= memory.limit_bytes
            for caller in callers:
                caller.close()
            await wait_until(lambda: memory.held_bytes == 0)
            endless.close()

    asyncio.run(run())


# The kernel takes some megabytes at once, so only what it reports as unacknowledged
# shows how well a server reads.
@pytest.mark.parametrize("reads", [False, True], ids=["silent", "slow"])
@pytest.mark.parametrize("run_loop", [asyncio.run, uvloop.run])
def test_an_upload_that_a_server_reads_slowly_is_ended(monkeypatch, reads, run_loop):
    monkeypatch.setattr(caller_memory, "HIGH_SHARE", 0.3)
    monkeypatch.setattr(caller_memory, "LOW_SHARE", 0.2)
    ended = []
    is_served = asyncio.Event()

    async def serve(reader, writer):
        while not ended:
            if reads:
                await reader.read(1)
            await asyncio.sleep(0.1)
        writer.close()
        is_served.set()

    async def run():
        loop = asyncio.get_running_loop()
        memory = CallerMemory(90_000_000, loop.time, RecordingLog())
        pool = ClientPool(loop, memory)
        listener = socket.create_server(("127.0.0.1", 0))
        server = await asyncio.start_server(serve, sock=listener, limit=1)
        connection = await pool.open(listener.getsockname())
        sink = SimpleNamespace(response_failed=ended.append)
        connection.start(b"x" * 16_000_000, sink)
        assert not ended
        await asyncio.sleep(0.1)
        assert count_unacknowledged(connection.transport) > 0
        while not ended:
            memory.check()
            await asyncio.sleep(0.05)
        assert memory.n_aborted == 1
        await wait_until(lambda: memory.held_bytes == 0)
        server.close()
        await is_served.wait()

    run_loop(run())
    assert ended == ["request read too slowly"]
