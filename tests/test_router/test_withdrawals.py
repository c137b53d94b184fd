"""Backend servers that leave, or ask for a pause, by their own word."""

from __future__ import annotations

import asyncio
import datetime
import email.utils
import math

import pytest

from bronzesail.platform import AnswerHeadReader
from bronzesail.router.admission_queue import AdmissionQueue
from bronzesail.router.directory import Directory
from bronzesail.router.placement import Placement, Work
from bronzesail.router.server_limits import ServerLimits
from bronzesail.router.withdrawals import (
    MAX_PAUSE_S,
    MIN_RAMP_SHARE,
    NOTICE_S,
    RAMP_S,
    Withdrawals,
)
from tests.platform_standin import (
    WAIT_TIMEOUT_S,
    Deployment,
    echo_body,
    make_configuration,
    stream_events,
    wait_until,
)
from tests.router_fakes import (
    ManualClock,
    make_brittle_servers,
    make_server,
    make_server_lives,
)

BORN_MS = 1_700_000_000_000


def read_head(status, *lines):
    reader = AnswerHeadReader()
    for name, value in lines:
        reader.add(name, value)
    return reader.finish(status)


@pytest.mark.parametrize(
    ("values", "is_leaving", "is_malformed"),
    [
        ([], False, False),
        ([b"1"], True, False),
        ([b" 1 "], True, False),
        ([b"0"], False, False),
        ([b"1", b"1"], True, False),
        ([b"0", b"1"], True, False),
        ([b""], False, True),
        ([b"yes"], False, True),
        ([b"-1"], False, True),
        ([b"9" * 5000], False, True),
        ([b"\xff"], False, True),
    ],
)
@pytest.mark.parametrize("status", [200, 404, 503])
def test_the_leaving_header_is_read_in_each_form(
    status, values, is_leaving, is_malformed
):
    head = read_head(status, *((b"Server-Leaving", value) for value in values))
    assert head.is_leaving is is_leaving
    assert head.malformed == (("Server-Leaving",) if is_malformed else ())


@pytest.mark.parametrize(
    ("values", "pause_s", "is_malformed"),
    [
        ([], None, False),
        ([b"2"], 2.0, False),
        ([b"0.25"], 0.25, False),
        ([b"0"], 0.0, False),
        ([b"1", b"3"], 3.0, False),
        ([b"1", b"soon"], 1.0, True),
        ([b""], None, True),
        ([b"-1"], None, True),
        ([b"nan"], None, True),
        ([b"soon"], None, True),
        ([b"\xff"], None, True),
        ([b"1e999"], math.inf, False),
        ([b"Thu, 01 Jan 1970 00:00:00 GMT"], 0.0, False),
        ([b"Thu, 99 Jan 1970 00:00:00 GMT"], None, True),
    ],
)
def test_the_pause_that_a_server_asks_for_is_read_in_each_form(
    values, pause_s, is_malformed
):
    head = read_head(503, *((b"Retry-After", value) for value in values))
    assert head.pause_s == pause_s
    assert head.malformed == (("Retry-After",) if is_malformed else ())


def test_a_pause_may_be_given_as_a_date():
    at = datetime.datetime.now(datetime.UTC) + datetime.timedelta(seconds=30)
    value = email.utils.format_datetime(at, usegmt=True).encode()
    assert 20 < read_head(503, (b"Retry-After", value)).pause_s <= 30


def test_only_a_status_of_503_asks_for_a_pause():
    assert read_head(200, (b"Retry-After", b"2")).pause_s is None
    assert read_head(429, (b"Retry-After", b"2")).pause_s is None


@pytest.fixture
def clock():
    return ManualClock()


def test_a_server_leaves_until_its_next_life(clock):
    withdrawals = Withdrawals(clock)
    server = make_server("a", born_ms=BORN_MS)
    assert withdrawals.note_leaving("a", BORN_MS)
    assert not withdrawals.note_leaving("a", BORN_MS)
    assert not withdrawals.note_leaving("a", BORN_MS - 1)
    clock.now += 1000.0
    assert withdrawals.is_leaving(server)
    assert withdrawals.is_leaving(make_server("a", born_ms=BORN_MS - 1))
    assert not withdrawals.is_leaving(make_server("a", born_ms=BORN_MS + 1))
    assert not withdrawals.is_leaving(make_server("b", born_ms=BORN_MS))


def test_a_leaving_server_is_announced_for_a_while_the_latest_first(clock):
    withdrawals = Withdrawals(clock)
    withdrawals.note_leaving("a", 1)
    clock.now += NOTICE_S / 2
    withdrawals.note_leaving("b", 2)
    assert list(withdrawals.list_new_leaving().items()) == [("b", 2), ("a", 1)]
    clock.now += NOTICE_S * 0.75
    assert withdrawals.list_new_leaving() == {"b": 2}
    assert withdrawals.list_leaving() == {"a": 1, "b": 2}


def test_the_share_of_a_server_grows_after_its_pause(clock):
    withdrawals = Withdrawals(clock)
    server = make_server("a", born_ms=BORN_MS)
    ends_at = withdrawals.note_pause(server, 2.0)
    assert ends_at == clock.now + 2.0
    assert withdrawals.compute_share(server) == 0.0
    assert withdrawals.find_pause_end(server) == ends_at
    shares = []
    clock.now = ends_at
    while clock.now < ends_at + RAMP_S + 0.2:
        shares.append(withdrawals.compute_share(server))
        clock.now += 0.1
    assert withdrawals.find_pause_end(server) is None
    assert shares[0] == MIN_RAMP_SHARE
    assert shares == sorted(shares)
    assert shares[-1] == 1.0


def test_a_pause_ends_with_the_life_of_its_server_and_is_bounded(clock):
    withdrawals = Withdrawals(clock)
    server = make_server("a", born_ms=BORN_MS)
    assert withdrawals.note_pause(server, math.inf) == clock.now + MAX_PAUSE_S
    restarted = make_server("a", born_ms=BORN_MS + 1)
    assert withdrawals.compute_share(restarted) == 1.0
    assert withdrawals.find_pause_end(restarted) is None


def with_headers(behave, *more):
    """Return `behave` with more headers in its responses."""

    async def respond(request, responder, headers):
        await behave(request, responder, [*headers, *more])

    return respond


def reject_for(pause, is_first_only=False):
    """Return a `behave` that rejects requests with 503 and Retry-After."""
    rejected = []

    async def respond(request, responder, headers):
        if is_first_only and rejected:
            await echo_body(request, responder, headers)
            return
        rejected.append(request)
        more = (("Retry-After", pause), ("X-Not-Executed", "1"))
        await responder.start(503, (*headers, *more, ("Content-Length", "0")))
        await responder.finish()

    return respond


def run_deployment(tmp_path, scenario):
    async def run():
        async with Deployment(tmp_path) as deployment:
            deployment.store.put("op", "config", make_configuration())
            await scenario(deployment)

    asyncio.run(run())


async def start_ready(deployment, name="h1"):
    router = await deployment.start_router(name)
    await wait_until(router.app.is_ready)
    return router


async def fail_with_404(request, responder, headers):
    await responder.start(404, (*headers, ("Content-Length", "0")))
    await responder.finish()


# Only the store's entry took a server out of choice, so that requests went on reaching
# it for as long as the entry was late.
@pytest.mark.parametrize("behave", [echo_body, fail_with_404])
def test_a_server_that_says_it_leaves_gets_no_more_requests(tmp_path, behave):
    async def scenario(deployment):
        leaving = with_headers(behave, ("Server-Leaving", "1"))
        first = await deployment.start_backend("p1", "app", leaving)
        router = await start_ready(deployment)
        await deployment.send(router, "/look/1", method="GET")
        assert len(first.requests) == 1
        second = await deployment.start_backend("p2", "app", echo_body)
        await wait_until(lambda: len(router.app.directory) == 2)
        for _ in range(20):
            status, _, _ = await deployment.send(router, "/look/1", method="GET")
            assert status == 200
        assert len(first.requests) == 1
        assert len(second.requests) == 20

    run_deployment(tmp_path, scenario)


def test_a_stream_that_has_begun_takes_its_server_out_of_choice(tmp_path):
    async def scenario(deployment):
        leaving = with_headers(stream_events(5, 0.2), ("Server-Leaving", "1"))
        first = await deployment.start_backend("e1", "llm", leaving)
        router = await start_ready(deployment)
        stream = asyncio.create_task(deployment.send(router, "/chat/1", b"x"))
        await wait_until(lambda: first.requests)
        await wait_until(lambda: not router.app.directory.list_usable("llm"))
        status, _, _ = await deployment.send(router, "/chat/2", b"x")
        assert status == 503
        status, _, body = await stream
        assert (status, body.count(b"data:")) == (200, 5)
        assert len(first.requests) == 1

    run_deployment(tmp_path, scenario)


def test_the_other_routers_learn_that_a_server_leaves(tmp_path):
    async def scenario(deployment):
        leaving = with_headers(echo_body, ("Server-Leaving", "1"))
        await deployment.start_backend("p1", "app", leaving)
        routers = [await start_ready(deployment, name) for name in ("h1", "h2", "h3")]
        await wait_until(lambda: all(len(r.app.peers.by_host) == 2 for r in routers))
        await deployment.send(routers[0], "/look/1", method="GET")
        await wait_until(
            lambda: not any(r.app.directory.list_usable("app") for r in routers)
        )

    run_deployment(tmp_path, scenario)


def test_a_server_is_used_again_after_its_restart(tmp_path):
    async def scenario(deployment):
        leaving = with_headers(echo_body, ("Server-Leaving", "1"))
        backend = await deployment.start_backend("p1", "app", leaving)
        entry = backend.make_entry() | {"born": BORN_MS}
        deployment.store.put("servers", "p1", entry)
        router = await start_ready(deployment)
        await wait_until(lambda: router.app.directory.get("p1").born_ms == BORN_MS)
        await deployment.send(router, "/look/1", method="GET")
        assert not router.app.directory.list_usable("app")
        deployment.store.put("servers", "p1", entry | {"sequence": 2})
        deployment.store.put("servers", "p1", entry | {"born": BORN_MS + 1})
        await wait_until(lambda: router.app.directory.list_usable("app"))

    run_deployment(tmp_path, scenario)


def test_a_server_at_the_address_of_another_does_not_speak_for_it(tmp_path):
    async def scenario(deployment):
        backend = await deployment.start_backend("p1", "app", echo_body)
        router = await start_ready(deployment)
        backend.id = "p2"
        backend.more_headers = (("Server-Leaving", "1"),)
        await deployment.send(router, "/look/1", method="GET")
        assert backend.misdirected
        assert not router.app.directory.withdrawals.list_leaving()

    run_deployment(tmp_path, scenario)


def test_malformed_words_of_a_server_are_logged_and_ignored(tmp_path):
    async def scenario(deployment):
        odd = with_headers(echo_body, ("Server-Leaving", "perhaps"))
        await deployment.start_backend("p1", "app", odd)
        router = await start_ready(deployment)
        status, _, _ = await deployment.send(router, "/look/1", method="GET")
        assert status == 200
        assert router.app.directory.list_usable("app")
        await router.stop()
        assert "malformed header ignored" in (tmp_path / "h1.log").read_text()

    run_deployment(tmp_path, scenario)


def test_a_server_gets_nothing_during_the_pause_that_it_asked_for(tmp_path):
    async def scenario(deployment):
        paused = await deployment.start_backend("p1", "app", reject_for("30"))
        router = await start_ready(deployment)
        await deployment.send(router, "/look/1", method="GET")
        other = await deployment.start_backend("p2", "app", echo_body)
        await wait_until(lambda: len(router.app.directory) == 2)
        for _ in range(20):
            status, _, _ = await deployment.send(router, "/look/1", method="GET")
            assert status == 200
        assert len(paused.requests) == 1
        assert len(other.requests) == 20
        load = router.app.placement.get_load("p1")
        assert load.consecutive_failures == 0

    run_deployment(tmp_path, scenario)


# The pause counted as an overload of unknown length: a request waited a quarter of its
# time for a place although the server had said that there would be none.
def test_a_request_is_refused_at_once_while_all_servers_pause(tmp_path):
    async def scenario(deployment):
        for name in ("p1", "p2"):
            await deployment.start_backend(name, "app", reject_for("30"))
        router = await start_ready(deployment)
        for _ in range(2):  # The second one is not sent to the server that pauses.
            await deployment.send(router, "/look/1", method="GET")
        assert all(backend.requests for backend in deployment.backends)
        placing = router.app.line
        waits = []
        find_server = placing.find_server
        placing.find_server = lambda *args: waits.append(args) or find_server(*args)
        status, headers, _ = await deployment.send(router, "/look/1", method="GET")
        assert status == 429
        assert not waits
        retry_after_s = float(headers["retry-after"])
        assert 25 < retry_after_s <= 30 * 1.25
        assert sum(len(b.requests) for b in deployment.backends) == 2

    run_deployment(tmp_path, scenario)


def test_queued_requests_are_refused_when_the_last_server_asks_for_a_pause(tmp_path):
    release = asyncio.Event()

    async def hold(request, responder, headers):
        await release.wait()
        await reject_for("30")(request, responder, headers)

    async def scenario(deployment):
        backend = await deployment.start_backend("p1", "app", hold)
        entry = backend.make_entry() | {"slots": 1}
        deployment.store.put("servers", "p1", entry)
        router = await start_ready(deployment)
        await wait_until(lambda: router.app.directory.get("p1").slots == 1)
        sends = []
        for number in range(1, 13):
            send = deployment.send(router, "/look/1", method="GET")
            sends.append(asyncio.create_task(send))
            if number <= 4:
                await wait_until(lambda: len(backend.requests) == len(sends))
        await wait_until(lambda: router.app.line.count_waiting("app") == 8)
        release.set()
        answers = await asyncio.gather(*sends)
        assert {status for status, _, _ in answers} == {429}
        assert len(backend.requests) == 4
        assert all(float(headers["retry-after"]) > 25 for _, headers, _ in answers[4:])

    run_deployment(tmp_path, scenario)


def test_a_queued_request_does_not_wait_for_the_end_of_a_longer_pause():
    async def run():
        loop = asyncio.get_running_loop()
        directory = Directory(loop.time)
        server = make_server("a", slots=1)
        directory.put(server)
        placement = Placement(loop.time, "z1", {"z1": "r1"})
        for number in range(4):
            placement.note_sent("a", Work(), number)
        limits = ServerLimits(loop.time, "h1", lambda *_: ["h1"])
        queue = AdmissionQueue(
            directory,
            placement,
            limits,
            make_brittle_servers(loop.time),
            make_server_lives(loop.time, directory),
        )
        deadline = loop.time() + 10 * WAIT_TIMEOUT_S
        search = asyncio.create_task(
            queue.find_server("s", Work(), None, [], 1, deadline)
        )
        await wait_until(lambda: queue.count_waiting("s"))
        ends_at = directory.withdrawals.note_pause(server, 20 * WAIT_TIMEOUT_S)
        queue.note_pause("s", ends_at)
        async with asyncio.timeout(WAIT_TIMEOUT_S):
            assert await search is None

    asyncio.run(run())


# All requests that waited were sent at the moment at which the pause ended.
def test_waiting_requests_are_sent_gradually_after_a_pause(tmp_path):
    n_requests = 24

    async def scenario(deployment):
        behave = reject_for("2", is_first_only=True)
        configuration = make_configuration(version=2)
        for route in configuration["routes"]:
            route["timeoutMs"] = 20_000
        deployment.store.put("op", "config", configuration)
        backend = await deployment.start_backend("p1", "app", behave)
        router = await start_ready(deployment)
        await wait_until(lambda: router.app.configuration.version == 2)
        await deployment.send(router, "/look/1", method="GET")
        server = router.app.directory.get("p1")
        ends_at = router.app.directory.withdrawals.find_pause_end(server)
        slow = asyncio.Event()

        async def hold(request, responder, headers):
            await slow.wait()
            await echo_body(request, responder, headers)

        backend._behave = hold
        sends = [
            asyncio.create_task(deployment.send(router, "/look/1", method="GET"))
            for _ in range(n_requests)
        ]
        await wait_until(lambda: len(backend.requests) == n_requests + 1)
        for number, (arrived_at, _) in enumerate(backend.arrived_at[1:], start=1):
            # The share at the time of sending was smaller than that at the arrival.
            assert arrived_at >= ends_at
            share = max(MIN_RAMP_SHARE, (arrived_at - ends_at) / RAMP_S)
            assert number <= backend.make_entry()["slots"] * 4 * share + 1
        slow.set()
        answers = await asyncio.gather(*sends)
        assert {status for status, _, _ in answers} == {200}

    run_deployment(tmp_path, scenario)


# A request was assigned while another one, assigned just before, did not count yet.
def test_an_assigned_request_counts_before_it_is_sent():
    async def run():
        loop = asyncio.get_running_loop()
        directory = Directory(loop.time)
        directory.put(make_server("a", slots=1))
        placement = Placement(loop.time, "z1", {"z1": "r1"})
        limits = ServerLimits(loop.time, "h1", lambda *_: ["h1"])
        queue = AdmissionQueue(
            directory,
            placement,
            limits,
            make_brittle_servers(loop.time),
            make_server_lives(loop.time, directory),
        )
        for number in range(4):
            placement.note_sent("a", Work(), number)
        searches = [
            asyncio.create_task(
                queue.find_server("s", Work(), None, [], 1, loop.time() + 0.2)
            )
            for _ in range(3)
        ]
        await wait_until(lambda: queue.count_waiting("s") == 3)
        placement.note_request_ended("a", 0)
        for _ in range(3):
            queue.dispatch("s")
        found = [server for server in await asyncio.gather(*searches) if server]
        assert len(found) == 1
        assert placement.get_load("a").assigned == 1
        placement.note_assignment_ended("a")
        searches = [
            asyncio.create_task(
                queue.find_server("s", Work(), None, [], 1, loop.time() + 10)
            )
            for _ in range(2)
        ]
        await asyncio.sleep(0)
        searches[0].cancel()
        await asyncio.gather(*searches, return_exceptions=True)
        assert placement.get_load("a").assigned == 1

    asyncio.run(run())


# A stream that waited for a full server of its version held up all other requests.
def test_a_request_for_one_version_does_not_hold_up_others():
    async def run():
        loop = asyncio.get_running_loop()
        directory = Directory(loop.time)
        directory.put(make_server("a", slots=1, version="v1"))
        directory.put(make_server("b", slots=1, version="v2"))
        placement = Placement(loop.time, "z1", {"z1": "r1"})
        limits = ServerLimits(loop.time, "h1", lambda *_: ["h1"])
        queue = AdmissionQueue(
            directory,
            placement,
            limits,
            make_brittle_servers(loop.time),
            make_server_lives(loop.time, directory),
        )
        for server_id in "ab":
            for number in range(4):
                placement.note_sent(server_id, Work(), number)

        def search(version):
            deadline = loop.time() + WAIT_TIMEOUT_S
            return asyncio.create_task(
                queue.find_server("s", Work(), None, [], 1, deadline, version)
            )

        for_version = search("v1")
        for_any = search(None)
        await wait_until(lambda: queue.count_waiting("s") == 2)
        placement.note_request_ended("b", 0)
        assert (await for_any).id == "b"
        placement.note_request_ended("b", 1)
        assert (await search(None)).id == "b"
        assert not for_version.done()
        later = search(None)
        await wait_until(lambda: queue.count_waiting("s") == 2)
        placement.note_request_ended("a", 0)
        assert (await for_version).id == "a"
        assert not later.done()
        later.cancel()

    asyncio.run(run())
