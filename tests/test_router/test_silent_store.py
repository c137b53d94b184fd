"""Calls to a store that is silent for a while, slow, or behind a congested link."""

from __future__ import annotations

import asyncio

import pytest

from bronzesail.model import StoreVersion
from bronzesail.platform import decode_settings
from bronzesail.router.store import StoreClient, StoreError
from bronzesail.router.store_era import StoreEra
from tests.platform_standin import (
    WAIT_TIMEOUT_S,
    Deployment,
    RouterAddresses,
    wait_until,
)
from tests.router_fakes import RecordingLog

# Such a timeout, in multiples of the usual one, outlasts the test.
ENDLESS_FACTOR = 1000
START = StoreVersion()


def run_with_client(scenario):
    """Return a test that runs a scenario with a store and a client of it."""

    def test(tmp_path):
        async def run():
            async with Deployment(tmp_path) as deployment:
                host = RouterAddresses.choose()
                path = deployment.write_settings("h1", host)
                log = RecordingLog()
                client = StoreClient(
                    asyncio.get_running_loop(),
                    decode_settings(path.read_text()),
                    StoreEra(log),
                    log,
                )
                async with asyncio.timeout(WAIT_TIMEOUT_S):
                    await scenario(deployment.store, client)
                client.close()

        asyncio.run(run())

    test.__name__ = scenario.__name__
    return test


# Guards against calls that outlast an outage: the timeout had grown with each failure,
# and a router noticed the return of the store up to 7 s late.
@run_with_client
async def test_a_watch_that_a_silent_store_lost_ends_once_it_answers(store, client):
    store.failure = "silent"
    watch = asyncio.create_task(client.watch("op", START, 0.0, ENDLESS_FACTOR))
    await wait_until(lambda: store.calls == 1)
    store.failure = None
    with pytest.raises(StoreError):
        await watch


@run_with_client
async def test_a_read_that_a_silent_store_lost_ends_once_it_answers(store, client):
    store.failure = "silent"
    read = asyncio.create_task(client.read_table("op", "", ENDLESS_FACTOR))
    await wait_until(lambda: store.calls == 1)
    store.failure = None
    with pytest.raises(StoreError):
        await read


@run_with_client
async def test_a_watch_waits_for_a_store_whose_answers_are_all_late(store, client):
    store.put("op", "config", {"version": 1})
    store.delay_s = 2.5
    answer = await client.watch("op", START, 0.0, ENDLESS_FACTOR)
    assert [row.key for row in answer.rows] == ["config"]


# A congested link delivers a long response slowly while short ones pass.
@run_with_client
async def test_a_watch_whose_response_has_begun_is_read_to_its_end(store, client):
    store.put("op", "config", {"version": 1})
    store.trickle_s = 4.0
    watch = asyncio.create_task(client.watch("op", START, 0.0, ENDLESS_FACTOR))
    await wait_until(lambda: store.calls == 1)
    store.trickle_s = 0.0
    answer = await watch
    assert [row.key for row in answer.rows] == ["config"]
