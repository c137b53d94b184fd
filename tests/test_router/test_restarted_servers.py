"""Servers that started again as another version, unseen by some routers."""

from __future__ import annotations

import asyncio

from tests.platform_standin import (
    HOST_NAME,
    KEY,
    WAIT_TIMEOUT_S,
    Deployment,
    make_configuration,
    wait_until,
)

BOUNDS = "retryBudgetRatio = 9.0"  # The retry budget ends no stream here.
N_EVENTS = 3
BREAKS_AT_ONCE = "breaks"  # Id of a request whose stream the server breaks off.
CLOCK_STEP_MS = 60_000
NOTICE_S = 0.1  # Until what a router tells has reached the others.


class Scenario:
    """The servers a and b, whose streams stop after some events until they are broken.

    Only a has an entry at first.
    """

    def __init__(self, deployment):
        self.deployment = deployment
        self.store = deployment.store
        self.store.put("op", "config", make_configuration())
        self.is_broken = asyncio.Event()

    async def start_servers(self, *, tells_start=True, version_of_b="v1"):
        start = self.deployment.start_backend
        self.a = await start("a", "llm", self._behave)
        self.b = await start("b", "llm", self._behave, version=version_of_b)
        self.a.tells_start = self.b.tells_start = tells_start
        self.store.remove("servers", "b")

    async def start_routers(self, *names):
        """Start routers, and wait until all of them are in touch."""
        for name in names:
            await self.deployment.start_router(name, bounds=BOUNDS)
        routers = self.deployment.routers
        await wait_until(
            lambda: all(
                r.app.is_ready()
                and len(r.app.peers.list_live()) == len(routers) - 1
                and len(r.app.directory) == 1
                for r in routers
            )
        )
        return routers[-len(names) :]

    async def restart_a(self):
        """Let a begin a life of version v2, whose entry is late."""
        self.a.version = "v2"
        await self.a.crash()

    async def add(self, server, *routers):
        """Write the entry of a server, and wait until the routers have it."""
        self.store.put("servers", server.id, server.make_entry())
        await wait_until(
            lambda: all(
                (known := r.app.directory.get(server.id)) is not None
                and known.version == server.version
                for r in routers
            )
        )

    async def begin(self, router, name):
        """Take the events of a stream that come at once; return the connection."""
        reader, writer = await asyncio.open_connection(router.ip, router.port)
        writer.write(
            f"POST /talk/{name} HTTP/1.1\r\nHost: {HOST_NAME}\r\n"
            f"X-Attempt-Id: {name}\r\nX-Deadline-Ms: 20000\r\n"
            f"Authorization: Bearer {KEY}\r\nContent-Length: 0\r\n\r\n".encode()
        )
        async with asyncio.timeout(WAIT_TIMEOUT_S):
            await reader.readuntil(b"id: %d\n" % N_EVENTS)
        return writer

    async def take_up(self, router, name):
        """Request the rest of a stream; return the result code, empty if it goes on."""
        await asyncio.sleep(NOTICE_S)
        self.is_broken.set()
        _, headers, _ = await self.deployment.send(
            router, f"/talk/{name}", Last_Event_Id=str(N_EVENTS), Resumes=name
        )
        return headers.get("x-result-code", "")

    async def _behave(self, request, responder, headers):
        stream = ("Content-Type", "text/event-stream")
        await responder.start(200, (*headers, stream, ("Content-Length", "1000")))
        first = int(request.find_header("last-event-id", "0")) + 1
        for number in range(first, first + N_EVENTS):
            await responder.write(b"id: %d\ndata: x\n\n" % number)
        if request.find_header("x-attempt-id") != BREAKS_AT_ONCE:
            await self.is_broken.wait()
        raise ConnectionResetError("the server breaks off")


def run_scenario(folder, scenario):
    async def run():
        async with Deployment(folder) as deployment:
            await scenario(Scenario(deployment))

    asyncio.run(run())


def list_continued(server):
    """Return the requests for the rest of a stream that reached a server."""
    return [r for r in server.requests if r.find_header("last-event-id")]


async def begin_at_unnoticed_restart(scenario, *, tells_start=True):
    """Let a stream begin at a server whose restart its router did not see.

    Returns the other router.
    """
    await scenario.start_servers(tells_start=tells_start)
    unaware, aware = await scenario.start_routers("h1", "h2")
    earlier = await scenario.begin(aware, "earlier")
    await scenario.restart_a()
    earlier.close()
    stream = await scenario.begin(unaware, "s1")
    await scenario.add(scenario.b, aware)
    stream.close()
    return aware


# A router without a connection to a server that went down counted its next life as the
# version before.
def test_a_stream_of_a_life_that_its_router_does_not_know_is_not_joined(tmp_path):
    async def run(scenario):
        aware = await begin_at_unnoticed_restart(scenario)
        code = await scenario.take_up(aware, "s1")
        assert list_continued(scenario.b) == []
        assert code in ("BZ1411", "BZ1501")

    run_scenario(tmp_path, run)


# The same where the servers' reports do not tell their start.
def test_a_stream_of_an_unknown_life_of_a_silent_server_is_not_joined(tmp_path):
    async def run(scenario):
        aware = await begin_at_unnoticed_restart(scenario, tells_start=False)
        code = await scenario.take_up(aware, "s1")
        assert list_continued(scenario.b) == []
        assert code in ("BZ1411", "BZ1501")

    run_scenario(tmp_path, run)


async def begin_at_new_router(scenario):
    """Let a stream begin at a router that started after the restart of the server.

    Returns the router, its connection and another router.
    """
    await scenario.start_servers()
    (other,) = await scenario.start_routers("h2")
    await scenario.restart_a()
    (new,) = await scenario.start_routers("h1")
    stream = await scenario.begin(new, "s1")
    return new, stream, other


# A router that had just started believed the entry of the life before.
def test_a_stream_that_begins_at_a_new_router_after_a_restart_is_not_joined(tmp_path):
    async def run(scenario):
        _, stream, other = await begin_at_new_router(scenario)
        await scenario.add(scenario.b, other)
        stream.close()
        code = await scenario.take_up(other, "s1")
        assert list_continued(scenario.b) == []
        assert code in ("BZ1411", "BZ1501")

    run_scenario(tmp_path, run)


# What a router doubted was forgotten with it.
def test_a_stream_of_an_unknown_life_is_not_joined_after_its_router_crashed(tmp_path):
    async def run(scenario):
        new, stream, other = await begin_at_new_router(scenario)
        new.app.abort()
        new.task.cancel()
        await asyncio.gather(new.task, return_exceptions=True)
        stream.close()
        await scenario.add(scenario.b, other)
        code = await scenario.take_up(other, "s1")
        assert list_continued(scenario.b) == []
        assert code in ("BZ1411", "BZ1501")

    run_scenario(tmp_path, run)


# A stream went on, within one answer, at a server of another version.
def test_a_stream_does_not_go_on_at_a_server_whose_restart_was_not_seen(tmp_path):
    async def run(scenario):
        await scenario.start_servers()
        scenario.store.remove("servers", "a")
        scenario.store.put("servers", "b", scenario.b.make_entry())
        (router,) = await scenario.start_routers("h1")
        stream = await scenario.begin(router, "s1")
        await scenario.add(scenario.a, router)
        await scenario.restart_a()
        scenario.is_broken.set()
        await wait_until(lambda: (tmp_path / "h1.log").read_text().count('"s1"') >= 2)
        await asyncio.sleep(NOTICE_S)
        stream.close()
        assert list_continued(scenario.a) == []

    run_scenario(tmp_path, run)


# A router that had just started took the store's era for news of a restore, and ignored
# the entry of a life whose clock had been set back.
def test_the_entry_of_a_life_with_an_earlier_clock_is_not_ignored(tmp_path):
    async def run(scenario):
        scenario.store.era = 1
        await scenario.start_servers()
        first, other = await scenario.start_routers("h1", "h2")
        await scenario.restart_a()
        scenario.a.born_ms -= CLOCK_STEP_MS
        scenario.store.put("servers", "a", scenario.a.make_entry())
        await scenario.add(scenario.b, other)
        scenario.store.remove("servers", "b")
        await wait_until(lambda: other.app.directory.get("b") is None)
        stream = await scenario.begin(first, "s1")
        await scenario.add(scenario.b, other)
        stream.close()
        await scenario.take_up(other, "s1")  # It may go on at a, which is of v2.
        assert list_continued(scenario.b) == []

    run_scenario(tmp_path, run)


# The loss of a connection to the new life ended the doubt, as another one stayed open.
def test_a_doubt_outlasts_a_lost_connection_of_the_new_life(tmp_path):
    async def run(scenario):
        await scenario.start_servers()
        first, other = await scenario.start_routers("h1", "h2")
        earlier = await scenario.begin(first, "earlier")
        await scenario.restart_a()
        streams = [earlier]
        for name in ("stays", BREAKS_AT_ONCE, "s1"):
            streams.append(await scenario.begin(first, name))
            await asyncio.sleep(NOTICE_S)
        await scenario.add(scenario.b, other)
        for stream in streams:
            stream.close()
        code = await scenario.take_up(other, "s1")
        assert list_continued(scenario.b) == []
        assert code in ("BZ1411", "BZ1501")

    run_scenario(tmp_path, run)


def test_a_stream_that_broke_off_soon_on_a_new_connection_goes_on(tmp_path):
    async def run(scenario):
        await scenario.start_servers(version_of_b="v2")
        first, second = await scenario.start_routers("h1", "h2")
        stream = await scenario.begin(first, "s1")
        stream.close()
        await scenario.add(scenario.b, first, second)
        assert await scenario.take_up(second, "s1") == ""
        assert len(list_continued(scenario.a)) == 1
        assert list_continued(scenario.b) == []

    run_scenario(tmp_path, run)


def test_a_stream_of_a_new_life_goes_on_once_its_entry_is_there(tmp_path):
    async def run(scenario):
        await scenario.start_servers(version_of_b="v2")
        (other,) = await scenario.start_routers("h2")
        await scenario.restart_a()
        (new,) = await scenario.start_routers("h1")
        stream = await scenario.begin(new, "s1")
        await scenario.add(scenario.a, new, other)
        await asyncio.sleep(NOTICE_S)
        stream.close()
        scenario.store.remove("servers", "a")
        await wait_until(lambda: other.app.directory.get("a") is None)
        await scenario.add(scenario.b, other)
        assert await scenario.take_up(other, "s1") == ""
        assert len(list_continued(scenario.b)) == 1

    run_scenario(tmp_path, run)
