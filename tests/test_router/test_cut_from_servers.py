"""Routers that reach no backend server, while callers, store and routers reach them."""

from __future__ import annotations

import asyncio

import pytest

from bronzesail.router.client import CONNECT_TIMEOUT_S, ConnectError
from bronzesail.router.directory import Directory
from bronzesail.router.placement import Placement
from bronzesail.router.server_links import ServerLinks
from tests.platform_standin import (
    WAIT_TIMEOUT_S,
    Deployment,
    echo_body,
    make_configuration,
    stream_events,
    wait_until,
)
from tests.router_fakes import ManualClock, RecordingLog, make_server

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


async def wait_until_ready(deployment):
    """Wait until all routers are ready and know each other."""
    routers = deployment.routers
    await wait_until(
        lambda: all(
            r.app.is_ready() and len(r.app.peers.list_live()) == len(routers) - 1
            for r in routers
        )
    )


async def start_fleet(deployment, behave_stream=None, prepaid=100_000):
    """Start routers and servers of both services; return the servers."""
    deployment.store.put("op", "config", make_configuration(prepaid=prepaid))
    backends = [
        await deployment.start_backend(f"p{n}", "app", echo_body)
        for n in range(N_SERVERS)
    ]
    for n in range(N_SERVERS):
        behave = behave_stream or stream_events(3)
        backends.append(await deployment.start_backend(f"m{n}", "llm", behave))
    for number in range(N_ROUTERS):
        await deployment.start_router(f"h{number}", bounds=BOUNDS)
    await wait_until_ready(deployment)
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


class FakePool:
    """Connections to servers that refuse new ones; those that live on bring data."""

    def __init__(self, clock):
        self._clock = clock
        self.is_idle = False

    def get_heard_at(self, address):
        return self._clock.now

    def has_idle(self, address):
        return self.is_idle

    def drop(self, address):
        self.is_idle = False


# Guards against a router that refuses what others would serve (RECOVER): while events
# of open streams arrived from a server, it counted as reached, although it refused each
# new connection.
def test_data_on_open_connections_does_not_show_that_new_ones_are_accepted():
    clock = ManualClock()
    directory, pool = Directory(clock), FakePool(clock)
    server = make_server("a")
    directory.put(server)
    placement = Placement(clock, "z1", {"z1": "r1"})
    links = ServerLinks(
        None, RecordingLog(), pool, directory, placement, print, lambda: None
    )
    assert not links.is_cut_off("s")
    placement.note_failure("a", is_unreachable=True)
    clock.now += 1.0
    placement.note_success("a")  # A stream has ended on its open connection.
    assert links.is_cut_off("s")
    pool.is_idle = True
    assert not links.is_cut_off("s")  # A request can be sent on that one.
    pool.is_idle = False
    links.note_reachable(server)
    assert not links.is_cut_off("s")


# Guards against a slow return to all servers after this host had lost its links.
def test_servers_recover_only_from_their_own_failures():
    clock = ManualClock()
    directory, recovered = Directory(clock), []
    servers = [make_server(server_id) for server_id in "ab"]
    placement = Placement(clock, "z1", {"z1": "r1"})
    links = ServerLinks(
        None, RecordingLog(), FakePool(clock), directory, placement, print,
        lambda: None, lambda server: recovered.append(server.id),
    )  # fmt: skip
    for server in servers:
        directory.put(server)
        placement.note_failure(server.id, is_unreachable=True)
    for server in servers:
        links.note_reachable(server)
    assert recovered == []
    placement.note_failure("a", is_unreachable=True)
    links.note_reachable(servers[0])
    assert recovered == ["a"]


def test_streams_that_live_on_do_not_hide_that_no_connection_is_accepted(tmp_path):
    async def run():
        async with Deployment(tmp_path) as deployment:
            backends = await start_fleet(deployment, stream_events(40, 0.1))
            router = deployment.routers[0]
            streams = [
                asyncio.create_task(deployment.send(router, f"/talk/a{n}"))
                for n in range(9)
            ]
            engines = [b for b in backends if b.service == "llm"]
            await wait_until(lambda: sum(len(b.requests) for b in engines) == 9)
            cut_off(deployment, backends, "refused", [0])
            await deployment.send(router, "/talk/b")  # Finds out.
            late = [await deployment.send(router, f"/chat/c{n}") for n in range(2)]
            assert [status for status, _, _ in late] == [200, 200]
            answers = await asyncio.gather(*streams)
            assert [body.count(b"id: ") for _, _, body in answers] == [40] * 9

    asyncio.run(run())


def cut_off(deployment, backends, manner, indexes):
    """Cut routers off from all servers; return the cuts."""
    cuts = [Cut(deployment.routers[i], backends, manner) for i in indexes]
    for cut in cuts:
        cut.begin()
    return cuts


async def wait_until_cut_off(deployment, indexes, path="/look/1"):
    """Send requests to routers until they know that they reach no server."""
    routers = [deployment.routers[index] for index in indexes]
    while not all(len(r.app.links.list_cut_off()) == 2 for r in routers):
        await asyncio.gather(*(deployment.send(r, path) for r in routers))
        await asyncio.sleep(0.1)


def count_arrivals(backends):
    return sum(len(backend.arrivals) for backend in backends)


def test_requests_are_refused_where_no_router_reaches_a_server(tmp_path):
    async def run():
        async with Deployment(tmp_path) as deployment:
            backends = await start_fleet(deployment)
            indexes = range(N_ROUTERS)
            cut_off(deployment, backends, "reset", indexes)
            for path in ("/look/1", "/talk/1"):
                await asyncio.gather(
                    *(deployment.send(r, path) for r in deployment.routers)
                )
            n_before = count_arrivals(backends)
            results = await send_for(deployment, 1.0, "/book/1")
            assert {status for _, _, status in results} <= {429, 503}
            assert count_arrivals(backends) == n_before

    asyncio.run(run())


def test_routers_serve_directly_once_the_cut_has_ended(tmp_path):
    async def run():
        async with Deployment(tmp_path) as deployment:
            backends = await start_fleet(deployment)
            [cut] = cut_off(deployment, backends, "hang", [0])
            async with asyncio.timeout(WAIT_TIMEOUT_S):
                await wait_until_cut_off(deployment, [0])
            cut.end()
            router = deployment.routers[0]
            await wait_until(lambda: not router.app.links.list_cut_off())
            n_before = sum(r.app.pool.n_opened for r in deployment.routers[1:])
            for _ in range(3):
                assert (await deployment.send(router, "/look/1"))[0] == 200
            n_after = sum(r.app.pool.n_opened for r in deployment.routers[1:])
            assert n_after == n_before

    asyncio.run(run())


def test_the_tokens_of_a_forwarded_request_are_charged_once(tmp_path):
    async def run():
        async with Deployment(tmp_path) as deployment:
            backends = await start_fleet(deployment)
            cut_off(deployment, backends, "reset", [0])
            router = deployment.routers[0]
            count = 4
            for _ in range(count):
                status, _, body = await deployment.send(
                    router, "/talk/1", X_Token_Counts="100,50"
                )
                assert status == 200 and body.count(b"id:") == 3
            # Three events of five tokens each; see `make_configuration`.
            books = [r.app.book for r in deployment.routers]
            holdings = [b.holdings["acme"] for b in books if "acme" in b.holdings]
            assert sum(h.settled for h in holdings) == count * (100 + 3 * 5)
            assert all(h.reserved == 0 for h in holdings)

    asyncio.run(run())


# Events of a stream were not charged after other routers had refused the request.
def test_a_request_that_other_routers_refuse_is_charged_here(tmp_path):
    async def run():
        async with Deployment(tmp_path) as deployment:
            await start_fleet(deployment)
            router = deployment.routers[0]
            for other in deployment.routers[1:]:
                other.app.is_refusing_requests = True
            answers = [True, True]
            router.app.links.is_cut_off = lambda *_: answers.pop() if answers else False
            status, _, body = await deployment.send(
                router, "/talk/1", X_Token_Counts="100,50"
            )
            assert not answers
            assert status == 200 and body.count(b"id:") == 3
            assert router.app.book.holdings["acme"].settled == 100 + 3 * 5

    asyncio.run(run())


def test_a_stream_that_hangs_goes_on_through_another_router(tmp_path):
    async def run():
        async with Deployment(tmp_path) as deployment:
            backends = await start_fleet(deployment, stream_events(8, gap_s=0.2))
            router = deployment.routers[0]
            sending = asyncio.create_task(deployment.send(router, "/talk/1"))
            await asyncio.sleep(0.7)
            cut_off(deployment, backends, "hang", [0])
            status, _, body = await sending
            assert status == 200
            expected = b"".join(b"id: %d\ndata: x\n\n" % n for n in range(1, 9))
            assert body == expected

    asyncio.run(run())


def list_holdings(deployment):
    books = [router.app.book for router in deployment.routers]
    return [book.holdings["acme"] for book in books if "acme" in book.holdings]


async def send_into_a_cut(deployment, backends, counts):
    """Cut a router off while it relays a stream; return the response of the stream."""
    sending = asyncio.create_task(
        deployment.send(deployment.routers[0], "/talk/1", X_Token_Counts=counts)
    )
    await wait_until(lambda: count_arrivals(backends) == 1)
    await asyncio.sleep(0.7)
    cut_off(deployment, backends, "hang", [0])
    return await sending


# The forwarding router kept its reservation, and the next one reserved the whole prompt
# again: refused with 402 when the account had no tokens left (LOST).
def test_a_stream_goes_on_at_another_router_if_its_account_is_granted_out(tmp_path):
    async def run():
        async with Deployment(tmp_path) as deployment:
            prompt, output, n_events = 400, 300, 8
            backends = await start_fleet(
                deployment,
                stream_events(n_events, gap_s=0.2),
                prepaid=prompt + output + 350,
            )
            status, _, body = await send_into_a_cut(
                deployment, backends, f"{prompt},{output}"
            )
            assert status == 200
            assert body is not None and body.count(b"id: ") == n_events
            assert count_arrivals(backends) == 2
            # Five tokens an event; see `make_configuration`.
            holdings = list_holdings(deployment)
            assert sum(h.settled for h in holdings) == prompt + 5 * n_events
            assert all(h.reserved == 0 for h in holdings)

    asyncio.run(run())


# Tokens reserved at the other router meanwhile stayed reserved for good when the others
# arrived late.
@pytest.mark.parametrize("delay_s", [None, 0.8])
def test_a_stream_goes_on_if_the_transfer_of_its_reservation_is_lost_or_late(
    tmp_path, delay_s
):
    async def run():
        async with Deployment(tmp_path) as deployment:
            prompt, n_events = 400, 10
            backends = await start_fleet(deployment, stream_events(n_events, gap_s=0.2))
            peers = deployment.routers[0].app.peers
            send = peers._send

            def send_transfers_late(data, address):
                if b"gift" not in data:
                    send(data, address)
                elif delay_s is not None:
                    asyncio.get_running_loop().call_later(delay_s, send, data, address)

            peers._send = send_transfers_late
            status, _, body = await send_into_a_cut(
                deployment, backends, f"{prompt},300"
            )
            assert status == 200
            assert body is not None and body.count(b"id: ") == n_events
            await asyncio.sleep(delay_s or 0.0)
            holdings = list_holdings(deployment)
            n_prompts = 2 if delay_s is None else 1
            charged = n_prompts * prompt + 5 * n_events
            assert sum(h.settled for h in holdings) == charged
            assert all(h.reserved == 0 for h in holdings)
            transferred = sum(h.transferred for h in holdings)
            received = sum(h.received for h in holdings)
            if delay_s is None:
                assert received < transferred
            else:
                assert received == transferred

    asyncio.run(run())


# The request was sent to a server without a reservation, and its tokens were free.
def test_a_request_is_charged_here_after_its_reservation_was_transferred(tmp_path):
    async def run():
        async with Deployment(tmp_path) as deployment:
            await start_fleet(deployment)
            router = deployment.routers[0]
            for other in deployment.routers[1:]:
                other.app.is_refusing_requests = True
            answers = [False, True, False]
            router.app.links.is_cut_off = lambda *_: answers.pop(0) if answers else 0
            status, _, body = await deployment.send(
                router, "/talk/1", X_Token_Counts="100,50"
            )
            assert not answers
            assert status == 200 and body.count(b"id:") == 3
            assert router.app.book.holdings["acme"].settled == 100 + 3 * 5
            assert router.app.book.holdings["acme"].transferred == 150
            await wait_until(
                lambda: not any(h.reserved for h in list_holdings(deployment))
            )

    asyncio.run(run())


# Events that another router had relayed and charged were charged here as well.
def test_events_of_a_router_that_died_are_not_charged_where_the_stream_goes_on(
    tmp_path,
):
    async def run():
        async with Deployment(tmp_path) as deployment:
            prompt, n_events = 100, 40
            backends = await start_fleet(deployment, stream_events(n_events, gap_s=0.1))
            configuration = make_configuration(version=2)
            for route in configuration["routes"]:
                route |= {"maxAttempts": 3, "timeoutMs": 15_000}
            deployment.store.put("op", "config", configuration)
            await wait_until(
                lambda: all(
                    r.app.configuration.version == 2 for r in deployment.routers
                )
            )
            router = deployment.routers[0]
            sending = asyncio.create_task(
                deployment.send(router, "/talk/1", X_Token_Counts=f"{prompt},300")
            )
            await wait_until(lambda: count_arrivals(backends) == 1)
            await asyncio.sleep(0.7)
            [cut] = cut_off(deployment, backends, "hang", [0])
            await wait_until(lambda: count_arrivals(backends) == 2)
            await asyncio.sleep(0.5)
            cut.end()
            await wait_until(lambda: not router.app.links.list_cut_off())
            [other] = [
                r
                for r in deployment.routers[1:]
                if r.app.book.get_holding("acme").reserved
            ]
            other.app.abort()
            status, _, body = await sending
            assert status == 200
            assert body is not None and body.count(b"id: ") == n_events
            requests = sorted(
                int(request.find_header("last-event-id", "0"))
                for backend in backends
                for request in backend.requests
            )
            _, first_there, first_here = requests
            assert first_here > first_there
            n_here = n_events - (first_here - first_there)
            settled = router.app.book.get_holding("acme").settled
            assert settled == prompt + 5 * n_here

    asyncio.run(run())


def test_a_request_that_may_not_be_repeated_is_forwarded_once(tmp_path):
    async def run():
        async with Deployment(tmp_path) as deployment:
            deployment.store.put("op", "config", make_configuration())
            arrived = []

            async def lose_all_routers(request, responder, headers):
                arrived.append(request)
                for other in deployment.routers[1:]:
                    other.app.abort()
                await asyncio.sleep(1.0)

            backend = await deployment.start_backend("p", "app", lose_all_routers)
            for number in range(N_ROUTERS):
                await deployment.start_router(f"h{number}", bounds=BOUNDS)
            await wait_until_ready(deployment)
            cut_off(deployment, [backend], "reset", [0])
            status, _, _ = await deployment.send(deployment.routers[0], "/book/1")
            assert status == 502
            assert len(arrived) == 1

    asyncio.run(run())


# Connections to all servers were reset at once, and each counted as a crash.
def test_a_cut_is_not_taken_for_crashes_of_servers(tmp_path):
    async def run():
        async with Deployment(tmp_path) as deployment:
            backends = await start_fleet(deployment, stream_events(2, gap_s=30))
            router = deployment.routers[0]
            parts = "aa:10,bb:10"
            tasks = [
                asyncio.create_task(
                    deployment.send(
                        router,
                        "/chat/1",
                        X_Prefix_Hash=parts,
                        X_Token_Counts=f"20,{n}",
                    )
                )
                for n in range(6)
            ]
            await wait_until(lambda: count_arrivals(backends) >= 6)
            cut_off(deployment, backends, "reset", [0])
            await asyncio.gather(*tasks)
            await asyncio.sleep(0.3)
            assert router.app.crashing_parts.count("aa") == 0
            assert router.app.poison.export() == []

    asyncio.run(run())


# A repeatable request was taken back from servers that no router reached, and refused.
def test_a_request_waits_for_a_server_that_is_silent_for_all_routers(tmp_path):
    async def run():
        async with Deployment(tmp_path) as deployment:
            deployment.store.put("op", "config", make_configuration())

            async def behave(request, responder, headers):
                await asyncio.sleep(2.0)
                await echo_body(request, responder, headers)

            backend = await deployment.start_backend("p", "app", behave)
            for number in range(2):
                await deployment.start_router(f"h{number}", bounds=BOUNDS)
            routers = deployment.routers
            await wait_until_ready(deployment)
            configuration = make_configuration(version=2)
            for route in configuration["routes"]:
                route["goalMs"] = 4000
            deployment.store.put("op", "config", configuration)
            await wait_until(
                lambda: all(r.app.configuration.version == 2 for r in routers)
            )
            sending = [
                asyncio.create_task(deployment.send(r, "/look/1")) for r in routers
            ]
            await wait_until(lambda: len(backend.arrivals) == 2)
            for router in routers:
                cut = Cut(router, [backend], "refused")
                cut.begin()
            await wait_until(
                lambda: all(r.app.links.list_cut_off() == ["app"] for r in routers)
            )
            assert [status for status, _, _ in await asyncio.gather(*sending)] == [
                200,
                200,
            ]

    asyncio.run(run())
