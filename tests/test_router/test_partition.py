"""Routers that are cut off from the store and from each other."""

from __future__ import annotations

import asyncio

from bronzesail.router.budget import FULL_OVERRUN_S
from bronzesail.router.budget_rows import LEASE_S
from tests.platform_standin import (
    Deployment,
    make_configuration,
    stream_events,
    wait_until,
)

PREPAID = 100_000
TOKENS = 5_000  # Of one request.


async def isolate(router, store_link):
    """Cut a router off from the store and from the others.

    It keeps its callers, and its address refuses the connections of other routers.
    """
    store_link.is_cut = True
    internal_port = router.app.settings.internal_ports[0]
    for server in router.app._servers:
        if server.sockets[0].getsockname()[1] == internal_port:
            server.close()
    router.app.peers.close()


async def spend_all(deployment, router):
    """Send requests until one is refused; return the tokens that were consumed."""
    consumed_tokens = 0
    while True:
        status, _, _ = await deployment.send(
            router, "/chat/1", b"x", X_Token_Counts=f"{TOKENS - 50},50"
        )
        if status != 200:
            return consumed_tokens
        consumed_tokens += TOKENS


# Tokens of a live router were reclaimed, because a cut made its address refuse peers.
def test_an_account_is_not_overspent_across_a_cut_that_refuses_connections(tmp_path):
    async def scenario(deployment):
        link = await deployment.open_store_link()
        isolated = await deployment.start_router("h1", store=link.address)
        other = await deployment.start_router("h2")
        for router in (isolated, other):
            app = router.app
            await wait_until(lambda app=app: app.is_ready() and app.keeper.is_in_step)
            await wait_until(lambda app=app: app.peers.by_host)
            await wait_until(lambda app=app: app.book.count_free() > TOKENS)
        await isolate(isolated, link)
        # By then the isolated router may spend everything that it holds.
        cut_at = isolated.app.book.now()
        spendable_at = cut_at + LEASE_S + FULL_OVERRUN_S + 1.0
        await wait_until(lambda: isolated.app.book.now() > spendable_at)
        consumed_tokens = await spend_all(deployment, isolated)
        assert consumed_tokens > 0
        consumed_tokens += await spend_all(deployment, other)
        assert consumed_tokens <= PREPAID

    async def run():
        async with Deployment(tmp_path) as deployment:
            deployment.store.put("op", "config", make_configuration(prepaid=PREPAID))
            await deployment.start_backend("e1", "llm", stream_events(10))
            await scenario(deployment)

    asyncio.run(run())
