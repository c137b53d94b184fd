"""A planned stop while the directory and the configuration change."""

from __future__ import annotations

import asyncio

from tests.platform_standin import Deployment, make_configuration, wait_until

BOUNDS = "retryBudgetRatio = 9.0"  # The retry budget ends no stream here.


def stream_until_broken(is_broken):
    """Return a `behave` coroutine that streams until `is_broken` is set."""

    async def behave(request, responder, headers):
        length = ("Content-Length", "1000")
        await responder.start(
            200, (*headers, length, ("Content-Type", "text/event-stream"))
        )
        number = 0
        while not is_broken.is_set():
            number += 1
            await responder.write(b"id: %d\ndata: x\n\n" % number)
            await asyncio.sleep(0.1)
        raise ConnectionResetError("the server breaks off")

    return behave


async def finish_stream(request, responder, headers):
    await responder.start(200, (*headers, ("Content-Type", "text/event-stream")))
    await responder.finish()


# Guards against requests that a router which stops sends to a server that leaves
# meanwhile (DRAIN): its watches ended 3 s after the signal, and requests in progress up
# to 4 s later still chose servers by what it knew then.
def test_a_router_that_stops_learns_of_servers_that_leave(tmp_path):
    async def run():
        async with Deployment(tmp_path) as deployment:
            deployment.store.put("op", "config", make_configuration())
            is_broken = asyncio.Event()
            first = await deployment.start_backend(
                "a", "llm", stream_until_broken(is_broken)
            )
            router = await deployment.start_router("h1", bounds=BOUNDS)
            await wait_until(router.app.is_ready)
            stream = asyncio.create_task(deployment.send(router, "/talk/1"))
            await wait_until(lambda: first.requests)
            others = [
                await deployment.start_backend(name, "llm", finish_stream)
                for name in ("b", "c")
            ]
            await wait_until(lambda: len(router.app.directory) == 3)
            stop = asyncio.create_task(router.stop())
            await wait_until(lambda: router.app.is_refusing_requests)
            for backend in others:
                deployment.store.put(
                    "servers", backend.id, backend.make_entry("draining")
                )
            await asyncio.sleep(1.0)
            is_broken.set()
            await stream
            await stop
            assert [len(backend.requests) for backend in others] == [0, 0]

    asyncio.run(run())
