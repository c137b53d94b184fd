"""Routers that reach no backend server, while callers, store and routers reach them."""

from __future__ import annotations

import asyncio

import pytest

from bronzesail.router.client import CONNECT_TIMEOUT_S, ConnectError
from tests.platform_standin import (
    Deployment,
    echo_body,
    make_configuration,
    stream_events,
    wait_until,
)

N_ROUTERS = 6
N_SERVERS = 3
REQUESTS_PER_S = 20
CONTACT_S = 4.0  # From the beginning of a cut until its callers count.
MIN_SHARE = 2 / 3  # Of first attempts served there, against those elsewhere.
BOUNDS = "retryBudgetRatio = 9.0"


class Cut:
    """A cut between one router and all backend servers.

    Parameters
    ----------
    router : RunningRouter
        The router.
    backends : list of BackendStandin
        The servers.
    manner : str
        What happens to connections: "reset", "hang" (open and new ones), or "refused"
        (new ones only; open ones live on).
    """

    def __init__(self, router, backends, manner):
        self._pool = router.app.pool
        self._open = self._pool.open
        self._addresses = {backend.address for backend in backends}
        self._manner = manner

    def begin(self):
        self._pool.open = self._open_unless_cut
        connections = [
            connection
            for address, connections in self._pool._open.items()
            if address in self._addresses
            for connection in connections
        ]
        for connection in connections:
            if self._manner == "reset":
                connection.transport.abort()
            elif self._manner == "hang":
                connection.transport.pause_reading()

    def end(self):
        self._pool.open = self._open

    async def _open_unless_cut(self, address):
        if address not in self._addresses:
            return await self._open(address)
        if self._manner == "hang":
            await asyncio.sleep(CONNECT_TIMEOUT_S)
            raise ConnectError("failed or timed out")
        raise ConnectError("refused")


async def start_fleet(deployment, behave_stream=None):
    """Start routers and servers of both services; return the servers."""
    deployment.store.put("op", "config", make_configuration())
    backends = [
        await deployment.start_backend(f"p{n}", "app", echo_body)
        for n in range(N_SERVERS)
    ]
    for n in range(N_SERVERS):
        behave = behave_stream or stream_events(3)
        backends.append(await deployment.start_backend(f"m{n}", "llm", behave))
    for number in range(N_ROUTERS):
        await deployment.start_router(f"h{number}", bounds=BOUNDS)
    routers = deployment.routers
    await wait_until(
        lambda: all(
            r.app.is_ready() and len(r.app.peers.list_live()) == N_ROUTERS - 1
            for r in routers
        )
    )
    return backends


async def send_for(deployment, seconds, path="/look/1"):
    """Send requests to all routers in turn; return time, router and status of each."""
    loop = asyncio.get_running_loop()
    started_at = loop.time()
    tasks = []

    async def send(index):
        sent_at = loop.time() - started_at
        status, _, body = await deployment.send(deployment.routers[index], path)
        return sent_at, index, status if body is not None else 0

    while loop.time() < started_at + seconds:
        tasks.append(loop.create_task(send(len(tasks) % N_ROUTERS)))
        await asyncio.sleep(1 / REQUESTS_PER_S)
    return await asyncio.gather(*tasks)


def find_share(results, indexes):
    """Return the share served of what was sent to some routers after contact time."""
    statuses = [s for at, index, s in results if index in indexes and at > CONTACT_S]
    return statuses.count(200) / len(statuses)


# Each request tried one unreachable server after another, and none was served.
@pytest.mark.parametrize("manner", ["reset", "hang", "refused"])
@pytest.mark.parametrize("path", ["/look/1", "/book/1", "/talk/1"])
def test_callers_of_cut_off_routers_are_served_like_others(tmp_path, manner, path):
    async def run():
        async with Deployment(tmp_path) as deployment:
            backends = await start_fleet(deployment)
            await send_for(deployment, 1.0, path)
            cut_indexes = {0, 1}
            for index in cut_indexes:
                Cut(deployment.routers[index], backends, manner).begin()
            results = await send_for(deployment, CONTACT_S + 3.0, path)
            others = find_share(results, set(range(N_ROUTERS)) - cut_indexes)
            assert others == 1.0
            assert find_share(results, cut_indexes) >= MIN_SHARE * others

    asyncio.run(run())
