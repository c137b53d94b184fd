"""Servers that start again under their ids before their entries say so."""

from __future__ import annotations

import asyncio
from types import SimpleNamespace

import attrs
import pytest

from bronzesail.model import StoreVersion
from bronzesail.router.client import ClientPool
from bronzesail.router.directory import Directory
from bronzesail.router.server_lives import (
    ENTRY_DELAY_S,
    RENEWAL_DELAY_S,
    ServerLives,
)
from bronzesail.router.stream_versions import MAX_STREAM_AGE_S
from tests.platform_standin import (
    Deployment,
    make_born_ms,
    make_configuration,
    wait_until,
)
from tests.router_fakes import ManualClock, RecordingLog, make_server

BOUNDS = "retryBudgetRatio = 9.0"  # The retry budget ends no stream here.


START, AGAIN = 1, 2  # Of the lives of server "a", in Unix milliseconds.


@attrs.define(eq=False)
class FakeConnection:
    """A connection to server "a"."""

    opened_at: float
    address: tuple
    span: object = None
    was_paused: bool = False
    is_closing: bool = False


class Lives:
    """The lives of one server, whose entry has been in the directory for a while."""

    def __init__(self):
        self.clock = ManualClock()
        self.directory = Directory(self.clock)
        self.put_entry(START, "v1")
        loop = SimpleNamespace(time=self.clock)
        self.pool = ClientPool(loop)
        self.lives = ServerLives(loop, RecordingLog(), self.pool, self.directory)
        self.follow_store(60.0)

    @property
    def entry(self):
        return self.directory.get("a")

    def put_entry(self, born_ms, version):
        self.directory.put(make_server("a", born_ms=born_ms, version=version))

    def follow_store(self, for_s):
        """Let time pass in which the store answers."""
        until = self.clock.now + for_s
        while self.clock.now < until:
            self.directory.note_version(StoreVersion())
            self.clock.now = min(until, self.clock.now + 0.5)
        self.directory.note_version(StoreVersion())

    def open_connection(self, born_ms=None):
        """Open a connection to a life, which tells its start if that is given."""
        connection = FakeConnection(self.clock.now, self.entry.address)
        self.pool.spans.note_opened(connection)
        connection.span.born_ms = born_ms
        if born_ms is None:
            self.lives.note_silent(connection)
        return connection

    def find_version(self, connection):
        is_idle = not connection.is_closing
        return self.lives.find_version(self.entry, connection, is_idle=is_idle)

    def is_doubted(self):
        return self.lives.is_doubted(self.entry)


@pytest.fixture
def lives():
    return Lives()


def test_the_entry_of_the_life_that_was_reached_is_believed(lives):
    connection = lives.open_connection(START)
    assert lives.find_version(connection) == "v1"
    assert not lives.is_doubted()


# Guards against a router that believes the entry of the life before (ORDER).
def test_a_life_has_no_version_until_its_entry_arrives(lives):
    connection = lives.open_connection(AGAIN)
    lives.follow_store(60.0)
    assert lives.find_version(connection) is None
    assert lives.is_doubted()
    lives.put_entry(AGAIN, "v2")
    assert lives.find_version(connection) == "v2"
    assert not lives.is_doubted()


def test_a_connection_to_an_earlier_life_keeps_its_version(lives):
    connection = lives.open_connection(START)
    lives.follow_store(1.0)
    lives.put_entry(AGAIN, "v2")
    assert lives.find_version(connection) == "v1"
    assert not lives.is_doubted()  # The next connection shows which life it is.


def test_an_entry_of_a_silent_server_is_believed_once_its_next_one_had_to_arrive(lives):
    connection = lives.open_connection()
    assert lives.find_version(connection) is None
    assert lives.is_doubted()
    lives.follow_store(ENTRY_DELAY_S)
    assert lives.find_version(connection) == "v1"
    assert not lives.is_doubted()


def test_an_entry_of_a_silent_server_is_not_believed_while_none_can_arrive(lives):
    connection = lives.open_connection()
    lives.clock.now += 10 * ENTRY_DELAY_S
    lives.directory.note_version(StoreVersion())
    assert lives.find_version(connection) is None
    lives.follow_store(ENTRY_DELAY_S)
    assert lives.find_version(connection) == "v1"


def test_an_entry_of_a_silent_server_is_believed_once_it_is_renewed(lives):
    connection = lives.open_connection()
    lives.directory.note_renewed(lives.entry)
    assert lives.find_version(connection) is None  # It may have been written before.
    lives.clock.now += RENEWAL_DELAY_S
    lives.directory.note_renewed(lives.entry)
    assert lives.find_version(connection) == "v1"


def test_an_ignored_entry_of_another_life_renews_none(lives):
    connection = lives.open_connection()
    lives.clock.now += RENEWAL_DELAY_S
    lives.directory.note_renewed(make_server("a", born_ms=AGAIN))
    assert lives.find_version(connection) is None


def test_an_entry_is_not_believed_for_a_connection_that_ended_before_it(lives):
    connection = lives.open_connection()
    lives.follow_store(0.5)
    connection.is_closing = True
    lives.put_entry(AGAIN, "v2")  # It may be that of the next life.
    lives.follow_store(ENTRY_DELAY_S)
    assert lives.find_version(connection) is None


# Streams whose callers had left were refused for good where servers are silent (LOST).
def test_an_entry_that_is_renewed_after_the_connection_ended_is_of_its_life(lives):
    connection = lives.open_connection()
    connection.is_closing = True
    assert lives.find_version(connection) is None
    lives.follow_store(RENEWAL_DELAY_S)
    lives.directory.note_renewed(lives.entry)
    assert lives.find_version(connection) == "v1"


def test_an_entry_that_is_never_renewed_is_of_the_life_that_no_other_replaced(lives):
    connection = lives.open_connection()
    connection.is_closing = True
    lives.follow_store(ENTRY_DELAY_S)
    assert lives.find_version(connection) == "v1"


# The first answer of the store after an outage may hold what was written before.
def test_an_entry_that_arrives_late_is_not_taken_for_a_renewal(lives):
    connection = lives.open_connection()
    lives.clock.now += 10 * RENEWAL_DELAY_S
    lives.directory.note_version(StoreVersion())
    lives.directory.note_renewed(lives.entry)
    assert lives.find_version(connection) is None


# A connection that is cut gives no sign of its end.
def test_a_stream_on_a_connection_that_hangs_is_not_of_the_next_life(lives):
    versions = []
    connection = lives.open_connection()
    lives.lives.add_watcher(lives.entry, connection, versions.append)
    lives.follow_store(1.5)
    lives.put_entry(AGAIN, "v2")
    lives.directory.note_renewed(lives.entry)
    lives.follow_store(ENTRY_DELAY_S)
    lives.lives.check()
    assert versions == []


def test_a_server_that_was_not_reached_is_not_doubted(lives):
    assert not lives.is_doubted()


def test_watchers_are_told_the_version_of_the_new_life_once(lives):
    versions = []
    connection = lives.open_connection(AGAIN)
    lives.lives.add_watcher(lives.entry, connection, versions.append)
    connection.is_closing = True
    lives.lives.check()
    assert versions == []
    lives.put_entry(AGAIN, "v2")
    lives.lives.check()
    lives.lives.check()
    assert versions == ["v2"]


def test_watchers_do_not_wait_for_ever(lives):
    versions = []
    connection = lives.open_connection(AGAIN)
    lives.lives.add_watcher(lives.entry, connection, versions.append)
    lives.clock.now += MAX_STREAM_AGE_S
    lives.lives.check()
    lives.put_entry(AGAIN, "v2")
    lives.lives.check()
    assert versions == []


def stream_until_broken(events, is_broken):
    """Return a `behave` coroutine whose streams are broken off after some events."""

    async def behave(request, responder, headers):
        length = ("Content-Length", "1000")
        await responder.start(
            200, (*headers, length, ("Content-Type", "text/event-stream"))
        )
        first = int(request.find_header("last-event-id", "0")) + 1
        for number in range(first, first + events):
            await responder.write(b"id: %d\ndata: x\n\n" % number)
        await is_broken.wait()
        raise ConnectionResetError("the server breaks off")

    return behave


async def start_again(backend, version):
    """Begin a new life of another version, whose entry is not written yet."""
    backend.version = version
    backend.requests.clear()
    await backend.crash()


# Guards against streams that go on at a server which runs another version by now
# (ORDER): its entry was believed until it was renewed.
def test_a_stream_does_not_go_on_at_a_server_that_has_just_started_again(tmp_path):
    async def run():
        async with Deployment(tmp_path) as deployment:
            deployment.store.put("op", "config", make_configuration())
            is_broken = asyncio.Event()
            behave = stream_until_broken(3, is_broken)
            first = await deployment.start_backend("a", "llm", behave)
            second = await deployment.start_backend("b", "llm", behave)
            router = await deployment.start_router("h1", bounds=BOUNDS)
            await wait_until(
                lambda: router.app.is_ready() and len(router.app.directory) == 2
            )
            streams = [
                asyncio.create_task(deployment.send(router, f"/talk/{n}"))
                for n in range(6)
            ]
            await wait_until(lambda: len(first.requests + second.requests) == 6)
            assert first.requests and second.requests
            await asyncio.sleep(0.2)
            await start_again(second, "v2")
            await asyncio.sleep(0.2)
            first_again = asyncio.create_task(start_again(first, "v1"))
            await first_again
            await asyncio.sleep(0.3)
            continued = [r for r in second.requests if r.find_header("last-event-id")]
            assert continued == []
            deployment.store.remove("servers", "a")
            deployment.store.put("servers", "b", second.make_entry())
            is_broken.set()
            await asyncio.gather(*streams)
            continued = [r for r in second.requests if r.find_header("last-event-id")]
            assert continued == []

    asyncio.run(run())


# Guards against a stream that is taken up although nobody knows which version began it.
def test_a_stream_is_taken_up_only_once_its_version_is_known(tmp_path):
    async def run():
        async with Deployment(tmp_path) as deployment:
            deployment.store.put("op", "config", make_configuration())
            is_broken = asyncio.Event()
            is_broken.set()
            backend = await deployment.start_backend(
                "a", "llm", stream_until_broken(3, is_broken)
            )
            for name in ("h1", "h2"):
                await deployment.start_router(name, bounds=BOUNDS)
            first, second = deployment.routers
            await wait_until(
                lambda: all(
                    r.app.is_ready() and len(r.app.peers.list_live()) == 1
                    for r in deployment.routers
                )
            )
            await deployment.send(first, "/talk/0")
            [certain] = [r.find_header("x-attempt-id") for r in backend.requests]
            _, headers, _ = await deployment.send(
                second, "/talk/0", Last_Event_Id="3", Resumes=certain
            )
            assert "x-result-code" not in headers
            await start_again(backend, "v2")
            await deployment.send(first, "/talk/1")
            [uncertain] = [r.find_header("x-attempt-id") for r in backend.requests]
            take_up = {"Last_Event_Id": "3", "Resumes": uncertain}
            for router in (first, second):
                _, headers, _ = await deployment.send(router, "/talk/1", **take_up)
                assert headers["x-result-code"] == "BZ1411"
                assert "retry-after" in headers
            assert len(backend.requests) == 1
            deployment.store.put("servers", "a", backend.make_entry())
            await wait_until(
                lambda: all(
                    r.app.streams.find(uncertain).version == "v2"
                    for r in deployment.routers
                )
            )
            _, headers, _ = await deployment.send(second, "/talk/1", **take_up)
            assert "x-result-code" not in headers
            assert len(backend.requests) == 2

    asyncio.run(run())


# Guards against a stream that goes on at a server whose entry changes its version while
# the connection to it is opened.
def test_the_version_is_checked_once_the_connection_is_open(tmp_path):
    async def run():
        async with Deployment(tmp_path) as deployment:
            deployment.store.put("op", "config", make_configuration())
            is_broken = asyncio.Event()
            behave = stream_until_broken(3, is_broken)
            first = await deployment.start_backend("a", "llm", behave)
            router = await deployment.start_router("h1", bounds=BOUNDS)
            app = router.app
            await wait_until(app.is_ready)
            stream = asyncio.create_task(deployment.send(router, "/talk/1"))
            await wait_until(lambda: first.requests)
            second = await deployment.start_backend("b", "llm", behave)
            await wait_until(lambda: len(app.directory) == 2)
            open_connection = app.pool.open

            async def open_after_an_upgrade(address):
                second.version, second.born_ms = "v2", make_born_ms()
                entry = second.make_entry()
                deployment.store.put("servers", "b", entry)
                await wait_until(lambda: app.directory.get("b").version == "v2")
                return await open_connection(address)

            app.pool.open = open_after_an_upgrade
            is_broken.set()
            await stream
            assert second.requests == []

    asyncio.run(run())
