"""Streams while servers of several software versions serve."""

from __future__ import annotations

import asyncio
import contextlib

import pytest

from bronzesail.router.stream_rows import STREAM_TABLE
from tests.platform_standin import Deployment, make_configuration, wait_until

N_ROUTERS = 3
MAX_TRIES = 20
BOUNDS = "retryBudgetRatio = 9.0"  # The retry budget ends no stream here.


def stream_and_break(events, begun_ids):
    """Return a `behave` coroutine that sends some events and ends the connection."""

    async def behave(request, responder, headers):
        begun_ids.append(request.find_header("x-attempt-id"))
        length = ("Content-Length", "1000")
        await responder.start(
            200, (*headers, length, ("Content-Type", "text/event-stream"))
        )
        for number in range(1, events + 1):
            await responder.write(b"id: %d\ndata: x\n\n" % number)
        await asyncio.sleep(0.05)
        raise ConnectionResetError("the server breaks off")

    return behave


async def finish_stream(request, responder, headers):
    """Send one more event, after the one that the request names."""
    await responder.start(200, (*headers, ("Content-Type", "text/event-stream")))
    first = int(request.find_header("last-event-id", "0")) + 1
    await responder.write(b"id: %d\ndata: x\n\n" % first)
    await responder.finish()


async def start_server(deployment, server_id, version, behave):
    """Start a backend server of a software version."""
    return await deployment.start_backend(server_id, "llm", behave, version)


@contextlib.asynccontextmanager
async def open_deployment(tmp_path):
    """Start a store and a server of v1 that breaks off each stream.

    Yields the deployment, the server, and the ids of the requests that it has begun.
    """
    async with Deployment(tmp_path) as deployment:
        deployment.store.put("op", "config", make_configuration())
        begun = []
        old = await start_server(deployment, "a-old", "v1", stream_and_break(3, begun))
        yield deployment, old, begun


async def start_routers(deployment, count=N_ROUTERS):
    for number in range(count):
        await deployment.start_router(f"h{number}", bounds=BOUNDS)
    await wait_until_they_know_each_other(deployment)


async def wait_until_they_know_each_other(deployment):
    routers = [r for r in deployment.routers if not r.task.done()]
    await wait_until(
        lambda: all(
            r.app.is_ready() and len(r.app.peers.list_live()) >= len(routers) - 1
            for r in routers
        )
    )


def end_all_routers(deployment):
    """End all routers as a crash would."""
    for router in deployment.routers:
        router.app.abort()
        router.task.cancel()
    deployment.routers.clear()


def remove_server(deployment, backend):
    deployment.store.remove("servers", backend.id)


async def wait_for_servers(deployment, count):
    routers = [r for r in deployment.routers if not r.task.done()]
    await wait_until(lambda: all(len(r.app.directory) == count for r in routers))


async def begin_stream(deployment, router, begun):
    """Send requests until a stream has begun, and then broken off."""
    for _ in range(MAX_TRIES):
        if begun:
            return
        await deployment.send(router, "/talk/1")
    raise AssertionError("no stream was sent to the server that breaks off")


async def take_up(deployment, router, resumes):
    """Take up a stream after its third event; return the status."""
    status, _, _ = await deployment.send(
        router, "/talk/1", Last_Event_Id="3", Resumes=resumes
    )
    return status


# A router continued a stream at the next server, whatever its version.
def test_a_stream_is_not_continued_at_another_version_in_one_answer(tmp_path):
    async def run():
        async with open_deployment(tmp_path) as (deployment, _, begun):
            await start_routers(deployment, 1)
            new = await start_server(deployment, "b-new", "v2", finish_stream)
            await wait_for_servers(deployment, 2)
            router = deployment.routers[0]
            await begin_stream(deployment, router, begun)
            assert [r for r in new.requests if r.find_header("last-event-id")] == []

    asyncio.run(run())


def test_a_stream_is_continued_at_another_server_of_its_version(tmp_path):
    async def run():
        async with open_deployment(tmp_path) as (deployment, _, begun):
            await start_server(deployment, "b-new", "v2", finish_stream)
            await start_routers(deployment, 1)
            twin = await start_server(deployment, "c-twin", "v1", finish_stream)
            await wait_for_servers(deployment, 3)
            router = deployment.routers[0]
            await begin_stream(deployment, router, begun)
            resumed = [r for r in twin.requests if r.find_header("last-event-id")]
            assert [r.find_header("x-attempt-id") for r in resumed] == begun

    asyncio.run(run())


# A stream that its caller took up went on at whichever server the queue chose.
@pytest.mark.parametrize("taken_up_at", [0, 1, 2])
def test_a_stream_is_taken_up_at_the_version_that_began_it(tmp_path, taken_up_at):
    async def run():
        async with open_deployment(tmp_path) as (deployment, broken, begun):
            await start_routers(deployment)
            await begin_stream(deployment, deployment.routers[0], begun)
            news = [
                await start_server(deployment, f"b-new-{n}", "v2", finish_stream)
                for n in range(3)
            ]
            twin = await start_server(deployment, "c-twin", "v1", finish_stream)
            remove_server(deployment, broken)
            await wait_for_servers(deployment, 4)
            router = deployment.routers[taken_up_at]
            for _ in range(4):
                assert await take_up(deployment, router, begun[0]) == 200
            assert len(twin.requests) == 4
            assert [new.requests for new in news] == [[], [], []]

    asyncio.run(run())


def test_a_stream_whose_version_has_left_is_refused_at_once(tmp_path):
    async def run():
        async with open_deployment(tmp_path) as (deployment, old, begun):
            await start_routers(deployment)
            await begin_stream(deployment, deployment.routers[0], begun)
            new = await start_server(deployment, "b-new", "v2", finish_stream)
            remove_server(deployment, old)
            await wait_until(
                lambda: all(
                    r.app.directory.list_ids() == ["b-new"] for r in deployment.routers
                )
            )
            for router in deployment.routers:
                assert await take_up(deployment, router, begun[0]) == 503
            assert new.requests == []

    asyncio.run(run())


def test_the_version_of_a_stream_survives_the_router_that_began_it(tmp_path):
    async def run():
        async with open_deployment(tmp_path) as (deployment, broken, begun):
            await start_routers(deployment)
            new = await start_server(deployment, "b-new", "v2", finish_stream)
            await wait_for_servers(deployment, 2)
            router = deployment.routers[0]
            await begin_stream(deployment, router, begun)
            router.app.abort()
            router.task.cancel()
            twin = await start_server(deployment, "c-twin", "v1", finish_stream)
            remove_server(deployment, broken)
            await wait_until(
                lambda: all(
                    sorted(r.app.directory.list_ids()) == ["b-new", "c-twin"]
                    for r in deployment.routers[1:]
                )
            )
            n_before = len(new.requests)
            for other in deployment.routers[1:]:
                assert await take_up(deployment, other, begun[0]) == 200
            assert len(twin.requests) == 2
            assert len(new.requests) == n_before

    asyncio.run(run())


# All routers were killed, and the old version left; nobody knew who began a stream.
def test_a_stream_from_before_the_end_of_all_routers_is_not_joined(tmp_path):
    async def run():
        async with open_deployment(tmp_path) as (deployment, old, begun):
            await start_routers(deployment)
            await begin_stream(deployment, deployment.routers[0], begun)
            new = await start_server(deployment, "b-new", "v2", finish_stream)
            remove_server(deployment, old)
            end_all_routers(deployment)
            await start_routers(deployment)
            for router in deployment.routers:
                assert await take_up(deployment, router, begun[0]) == 503
            assert new.requests == []

    asyncio.run(run())


def test_a_stream_goes_on_after_the_end_of_all_routers_of_a_single_version(tmp_path):
    async def run():
        async with open_deployment(tmp_path) as (deployment, old, begun):
            await start_routers(deployment)
            await begin_stream(deployment, deployment.routers[0], begun)
            twin = await start_server(deployment, "c-twin", "v1", finish_stream)
            end_all_routers(deployment)
            remove_server(deployment, old)
            await start_routers(deployment)
            for router in deployment.routers:
                assert await take_up(deployment, router, begun[0]) == 200
            assert len(twin.requests) == N_ROUTERS

    asyncio.run(run())


def test_the_version_of_a_stream_survives_all_routers(tmp_path):
    async def run():
        async with open_deployment(tmp_path) as (deployment, old, begun):
            new = await start_server(deployment, "b-new", "v2", finish_stream)
            await start_routers(deployment)
            await begin_stream(deployment, deployment.routers[0], begun)
            await wait_until(
                lambda: any(row[0] == STREAM_TABLE for row in deployment.store.rows)
            )
            n_before = len(new.requests)
            twin = await start_server(deployment, "c-twin", "v1", finish_stream)
            end_all_routers(deployment)
            remove_server(deployment, old)
            await start_routers(deployment)
            for router in deployment.routers:
                assert await take_up(deployment, router, begun[0]) == 200
            assert len(twin.requests) == N_ROUTERS
            assert len(new.requests) == n_before

    asyncio.run(run())
