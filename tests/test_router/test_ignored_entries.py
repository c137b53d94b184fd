"""Entries of server lives that began with a clock that had been set back."""

from __future__ import annotations

import asyncio

from tests.platform_standin import Deployment, echo_body, make_configuration, wait_until

CLOCK_STEP_MS = 5000


# A router that had just started took the store's era for a restore, and such entries
# for ones that were back from a copy.
def test_a_router_that_has_just_started_believes_the_entry_of_a_new_life(tmp_path):
    async def run():
        async with Deployment(tmp_path) as deployment:
            store = deployment.store
            store.era = 1
            store.put("op", "config", make_configuration())
            backend = await deployment.start_backend("a", "app", echo_body)
            router = await deployment.start_router("h1")
            await wait_until(router.app.is_ready)
            backend.born_ms -= CLOCK_STEP_MS
            backend.version = "v2"
            store.put("servers", "a", backend.make_entry())
            directory = router.app.directory
            written_at = store.version
            await wait_until(lambda: directory.store_version.number >= written_at)
            assert directory.get("a").version == "v2"

    asyncio.run(run())
