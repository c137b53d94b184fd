"""Entries of other writers among those of the backend servers."""

from __future__ import annotations

import asyncio

from tests.platform_standin import (
    Deployment,
    echo_body,
    make_configuration,
    wait_until,
)

NESTED_TOO_DEEPLY = b"[" * 4_000


# Guards against an entry that ends the watch of the servers: a running router no longer
# learned of servers, and one that started never became ready.
def test_entry_that_is_nested_too_deeply_does_not_stop_the_watch(tmp_path):
    async def run():
        async with Deployment(tmp_path) as deployment:
            deployment.store.put("op", "config", make_configuration())
            router = await deployment.start_router("h1")
            await wait_until(lambda: router.app.keeper.is_in_step)
            deployment.store.put("servers", "other-writer", NESTED_TOO_DEEPLY)
            await deployment.start_backend("p1", "app", echo_body)
            await wait_until(lambda: router.app.directory.get("p1") is not None)
            started_later = await deployment.start_router("h2")
            await wait_until(started_later.app.is_ready)
            for serving in (router, started_later):
                status, _, body = await deployment.send(serving, "/look/1", b"x")
                assert (status, body) == (200, b"x")

    asyncio.run(run())


# Guards against a number of an entry that no hello can hold: sending one failed, which
# ended the watch of the configuration, so that a removed key stayed in force.
def test_entry_with_a_number_out_of_range_does_not_stop_changes(tmp_path):
    async def run():
        async with Deployment(tmp_path) as deployment:
            deployment.store.put("op", "config", make_configuration())
            backend = await deployment.start_backend("p1", "app", echo_body)
            router = await deployment.start_router("h1")
            await wait_until(router.app.is_ready)
            other = backend.make_entry("draining") | {"service": "x", "born": 2**127}
            deployment.store.put("servers", "other-writer", other)
            # Changes come in one order: the entry has been read when this server is.
            await deployment.start_backend("p2", "app", echo_body)
            await wait_until(lambda: router.app.directory.get("p2") is not None)
            # A watch that ends by the failure has applied the first of two versions.
            deployment.store.put("op", "config", make_configuration(version=2))
            await wait_until(lambda: router.app.configuration.version == 2)
            configuration = make_configuration(version=3)
            configuration["tenants"][0]["apiKeys"] = ["new-key"]
            deployment.store.put("op", "config", configuration)
            await wait_until(lambda: router.app.configuration.version == 3)
            status, _, _ = await deployment.send(router, "/look/1")
            assert status == 401
            await router.stop()

    asyncio.run(run())
