"""Servers that start again under their ids before their entries say so."""

from __future__ import annotations

import asyncio

import attrs
import pytest

from bronzesail.router.directory import Directory
from bronzesail.router.server_lives import (
    DOUBT_S,
    MAX_DOWN_S,
    RENEWAL_DELAY_S,
    ServerLives,
)
from tests.platform_standin import (
    Deployment,
    make_born_ms,
    make_configuration,
    wait_until,
)
from tests.router_fakes import ManualClock, make_server

BOUNDS = "retryBudgetRatio = 9.0"  # The retry budget ends no stream here.


@attrs.define
class FakePool:
    """The connections to one server."""

    broken_at: float = -1e9
    reopened_at: float = -1e9
    has_old_connection: bool = False

    def get_broken_at(self, address):
        return self.broken_at

    def get_reopened_at(self, address):
        return self.reopened_at

    def has_connection(self, address, opened_before):
        return self.has_old_connection


@pytest.fixture
def lives():
    clock = ManualClock()
    directory, pool = Directory(clock), FakePool()
    directory.put(make_server("a", born_ms=1))
    clock.now += 10.0
    server_lives = ServerLives(clock, pool, directory)
    server_lives.pool, server_lives.directory = pool, directory
    server_lives.clock = clock
    return server_lives


def is_doubted(lives):
    return lives.is_doubted(lives.directory.get("a"))


def lose_connections(lives):
    lives.pool.broken_at = lives.clock.now
    lives.clock.now += 0.1


def test_an_entry_is_doubted_for_a_while_after_all_connections_were_lost(lives):
    assert not is_doubted(lives)
    lose_connections(lives)
    lives.clock.now += DOUBT_S
    assert is_doubted(lives)  # It may be down for longer than its entry takes.
    lives.pool.reopened_at = lives.clock.now
    lives.clock.now += DOUBT_S
    assert is_doubted(lives)
    lives.clock.now += 0.1
    assert not is_doubted(lives)


def test_an_entry_is_not_doubted_for_ever(lives):
    lose_connections(lives)
    lives.clock.now += MAX_DOWN_S
    assert not is_doubted(lives)


def test_an_entry_is_not_doubted_while_an_old_connection_is_open(lives):
    lives.pool.has_old_connection = True
    lose_connections(lives)
    assert not is_doubted(lives)


def test_an_entry_of_a_new_life_is_not_doubted(lives):
    lose_connections(lives)
    lives.directory.put(make_server("a", born_ms=2))
    assert not is_doubted(lives)


def test_an_entry_that_was_written_after_the_loss_is_not_doubted(lives):
    lose_connections(lives)
    lives.directory.note_renewed(lives.directory.get("a"))
    assert is_doubted(lives)  # It may have been written before.
    lives.clock.now += RENEWAL_DELAY_S
    lives.directory.note_renewed(lives.directory.get("a"))
    assert not is_doubted(lives)


def test_watchers_are_told_the_version_of_the_new_life(lives):
    versions = []
    lose_connections(lives)
    server = lives.directory.get("a")
    lives.add_watcher(server, versions.append)
    lives.check()
    assert versions == []
    lives.directory.put(make_server("a", born_ms=2, version="v2"))
    lives.check()
    lives.check()
    assert versions == ["v2"]


def test_a_removed_watcher_is_not_told(lives):
    versions = []
    lose_connections(lives)
    lives.add_watcher(lives.directory.get("a"), versions.append)
    lives.remove_watcher(versions.append)
    lives.clock.now += MAX_DOWN_S
    lives.check()
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
def test_a_stream_that_broke_off_at_a_doubted_server_is_not_taken_up(tmp_path):
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
            for number in range(2):  # The first one's end raises the doubt.
                await deployment.send(first, f"/talk/{number}")
            certain, doubted = [r.find_header("x-attempt-id") for r in backend.requests]
            _, headers, _ = await deployment.send(
                second, "/talk/0", Last_Event_Id="3", Resumes=certain
            )
            assert "x-result-code" not in headers
            assert len(backend.requests) == 3
            _, headers, _ = await deployment.send(
                second, "/talk/1", Last_Event_Id="3", Resumes=doubted
            )
            assert headers["x-result-code"] == "BZ1411"
            assert len(backend.requests) == 3

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


def test_watchers_are_told_the_version_of_the_newest_entry(lives):
    versions = []
    earlier = lives.directory.get("a")
    lives.directory.put(make_server("a", born_ms=2, version="v2"))
    lives.add_watcher(earlier, versions.append)
    assert versions == ["v2"]
