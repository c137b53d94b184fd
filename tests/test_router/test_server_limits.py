"""The requests that a backend server accepts a second, from all routers together."""

from __future__ import annotations

import asyncio
import math
import random

import msgspec
import pytest

from bronzesail.platform import AnswerHeadReader
from bronzesail.router import server_limits
from bronzesail.router.admission_queue import AdmissionQueue
from bronzesail.router.directory import Directory
from bronzesail.router.messages import PACKET_BYTES, LimitReports, select_limits
from bronzesail.router.neighbourhood import LIVENESS_TIMEOUT_S, Neighbour, Neighbourhood
from bronzesail.router.placement import Placement, Work
from bronzesail.router.server_limits import UNCONFIRMED_S, LimitReport, ServerLimits
from tests.platform_standin import (
    WAIT_TIMEOUT_S,
    Deployment,
    echo_body,
    make_configuration,
    wait_until,
)
from tests.router_fakes import (
    ManualClock,
    make_brittle_servers,
    make_server,
    make_server_lives,
)

N_ROUTERS = 6
REQUESTS_PER_S = 15
CONTACT_S = 4.0  # From the first answer with a limit until the limit is binding.
WINDOW_S = 4.0
RUN_S = CONTACT_S + WINDOW_S + 1.0


def find_most_in_window(times, since):
    """Return the most arrivals in a window, counted from `since` on."""
    times = [at for at in times if at >= since]
    return max(
        (sum(at <= other < at + WINDOW_S for other in times) for at in times),
        default=0,
    )


def find_allowed(requests_per_s):
    """Return the most requests that may reach a server in a window."""
    return 1.5 * requests_per_s * WINDOW_S + 5


async def send_requests(deployment, for_s):
    """Send requests to the routers in turn; return the statuses of the responses."""
    loop = asyncio.get_running_loop()
    started_at = loop.time()
    tasks = []
    while loop.time() < started_at + for_s:
        router = deployment.routers[len(tasks) % len(deployment.routers)]
        tasks.append(loop.create_task(deployment.send(router, "/look/1", method="GET")))
        await asyncio.sleep(1 / REQUESTS_PER_S)
    return [status for status, _, _ in await asyncio.gather(*tasks)]


# The limit was not known, and each router sent what it liked, though another server of
# the service was free.
def test_all_routers_together_keep_to_the_limit_of_a_server(tmp_path):
    async def run():
        async with Deployment(tmp_path) as deployment:
            deployment.store.put("op", "config", make_configuration())
            limited = await deployment.start_backend("p1", "app", echo_body)
            limited.more_headers = (("Server-Limit", "1.2"),)
            await deployment.start_backend("p2", "app", echo_body)
            for number in range(N_ROUTERS):
                await deployment.start_router(f"h{number}")
            await wait_until(lambda: all(r.app.is_ready() for r in deployment.routers))
            statuses = await send_requests(deployment, RUN_S)
            times = [at for at, _ in limited.arrived_at]
            since = times[0] + CONTACT_S
            assert find_most_in_window(times, since) <= find_allowed(1.2)
            assert set(statuses) == {200}

    asyncio.run(run())


def test_what_a_limit_leaves_no_room_for_is_refused_at_once(tmp_path):
    async def run():
        async with Deployment(tmp_path) as deployment:
            deployment.store.put("op", "config", make_configuration())
            limited = await deployment.start_backend("p1", "app", echo_body)
            limited.more_headers = (("Server-Limit", "3"),)
            for number in range(N_ROUTERS):
                await deployment.start_router(f"h{number}")
            await wait_until(lambda: all(r.app.is_ready() for r in deployment.routers))
            statuses = await send_requests(deployment, RUN_S)
            times = [at for at, _ in limited.arrived_at]
            since = times[0] + CONTACT_S
            assert find_most_in_window(times, since) <= find_allowed(3)
            assert set(statuses) == {200, 429}

    asyncio.run(run())


# A fleet whose routers share one limit, without sockets.

STEP_S = 0.02
RESPONSE_STEPS = 5
HELLO_STEPS = 20
SERVER = make_server("a", born_ms=1)


class SimulatedFleet:
    """Routers that all have more requests for one server than it accepts."""

    def __init__(self, n_routers, rate_per_s):
        self.clock = ManualClock()
        self.rate_per_s = rate_per_s  # What the server announces.
        self.live = [f"h{number}" for number in range(n_routers)]
        self.limits = {host: self.make_limits(host) for host in self.live}
        self.arrivals = []
        self._responses = []
        self._step = 0
        self._random = random.Random(n_routers)

    def make_limits(self, host):
        return ServerLimits(self.clock, host, self._list_sharers)

    def _list_sharers(self, subject, zone, n_most):
        return sorted(self.live)[: int(min(n_most, len(self.live)))]

    def restart(self, host):
        """Start a router again, which knows no limits."""
        self.limits[host] = self.make_limits(host)

    def run(self, for_s, senders=None):
        """Let time pass, during which each sender sends all that it may."""
        end_at = self.clock.now + for_s
        while self.clock.now < end_at:
            self.clock.now += STEP_S
            self._step += 1
            hosts = list(senders or self.live)
            self._random.shuffle(hosts)
            for host in hosts:
                if self.limits[host].find_wait_s(SERVER) == 0:
                    self.limits[host].take_permit(SERVER)
                    self._send(host)
            self._deliver()

    def _send(self, host):
        self.arrivals.append(self.clock.now)
        self._responses.append((self._step + RESPONSE_STEPS, host, self.rate_per_s))

    def _deliver(self):
        due = [entry for entry in self._responses if entry[0] <= self._step]
        self._responses = [entry for entry in self._responses if entry[0] > self._step]
        for _, host, rate_per_s in due:
            self.limits[host].note_answer(SERVER, rate_per_s)
        if self._step % HELLO_STEPS:
            return
        for sender in self.live:
            reports = self.limits[sender].list_reports()
            for receiver in self.live:
                self.limits[receiver].merge(reports)


@pytest.mark.parametrize("rate_per_s", [0.0, 0.2, 1.0, 1.2, 3.0, 30.0])
@pytest.mark.parametrize("n_routers", [1, 2, 8, 79, 195])
def test_a_limit_holds_in_each_window_and_is_used(n_routers, rate_per_s):
    fleet = SimulatedFleet(n_routers, rate_per_s)
    fleet.run(1.0)
    named_at = fleet.clock.now
    fleet.run(30.0)
    since = named_at + CONTACT_S
    assert find_most_in_window(fleet.arrivals, since) <= find_allowed(rate_per_s)
    n_sent = sum(at >= since for at in fleet.arrivals)
    assert n_sent >= 0.75 * rate_per_s * (fleet.clock.now - since)


@pytest.mark.parametrize("rates", [(1.2, 0.4, 3.0), (10.0, 1.0, 1.1), (1.0, 1.2, 0.2)])
def test_a_limit_holds_while_it_changes(rates):
    fleet = SimulatedFleet(8, rates[0])
    fleet.run(CONTACT_S)
    since = fleet.clock.now
    for rate_per_s in rates:
        fleet.rate_per_s = rate_per_s
        fleet.run(8.0)
    assert find_most_in_window(fleet.arrivals, since) <= find_allowed(max(rates))


def test_routers_that_start_and_end_keep_to_the_limit():
    fleet = SimulatedFleet(8, 1.2)
    fleet.run(CONTACT_S)
    since = fleet.clock.now
    for host in ("h0", "h1", "h2", "h3"):
        fleet.live.remove(host)
        fleet.run(3.0)
        fleet.live.append(host)
        fleet.run(3.0)
    assert find_most_in_window(fleet.arrivals, since) <= find_allowed(1.2)


def test_all_routers_learn_that_a_limit_has_ended():
    fleet = SimulatedFleet(8, 1.2)
    fleet.run(10.0)
    assert any(
        math.isinf(limits.find_wait_s(SERVER)) for limits in fleet.limits.values()
    )
    fleet.rate_per_s = None
    fleet.run(3.0)
    assert all(limits.find_wait_s(SERVER) == 0 for limits in fleet.limits.values())


# Only routers without a share have requests: none of those that have one would ever
# learn that the limit has ended.
def test_routers_without_a_share_find_out_that_a_limit_has_ended():
    fleet = SimulatedFleet(8, 1.2)
    fleet.run(10.0)
    others = [
        host
        for host, limits in fleet.limits.items()
        if math.isinf(limits.find_wait_s(SERVER))
    ]
    fleet.rate_per_s = None
    fleet.run(UNCONFIRMED_S + 8 / 1.2 + 1.0, senders=others)
    assert all(limits.find_wait_s(SERVER) == 0 for limits in fleet.limits.values())


def test_a_restarted_router_keeps_to_a_limit_that_its_peers_know():
    fleet = SimulatedFleet(8, 1.2)
    fleet.run(10.0)
    fleet.restart("h7")
    fleet.limits["h7"].merge(fleet.limits["h0"].list_reports(include_all=True))
    assert math.isinf(fleet.limits["h7"].find_wait_s(SERVER))


def test_an_older_announcement_does_not_replace_a_newer_one():
    clock = ManualClock()
    limits = ServerLimits(clock, "h1", lambda *_: ["h1"])
    assert limits.note_answer(SERVER, 2.0)
    clock.now += 1.0
    assert not limits.merge([LimitReport("a", 1, 5.0, 1.5)])
    assert limits.find_rate(SERVER) == 2.0
    assert limits.merge([LimitReport("a", 1, None, 0.5)])
    assert limits.find_rate(SERVER) is None


def test_a_limit_ends_with_the_life_of_its_server():
    limits = ServerLimits(ManualClock(), "h1", lambda *_: ["h2"])
    limits.note_answer(SERVER, 1.0)
    assert math.isinf(limits.find_wait_s(SERVER))
    assert limits.find_wait_s(make_server("a", born_ms=2)) == 0
    limits.retain_only(["b"])
    assert limits.count_limited() == 0


# A later life may have an earlier start, if its server's clock was set back.
def test_the_limit_of_a_life_with_an_earlier_start_is_kept():
    clock = ManualClock()
    limits = ServerLimits(clock, "h1", lambda *_: ["h1"])
    limits.note_answer(SERVER, 5.0)
    clock.now += 1.0
    restarted = make_server("a", born_ms=0)
    assert limits.note_answer(restarted, 3.0)
    assert limits.find_rate(restarted) == 3.0
    earlier = LimitReport("a", SERVER.born_ms, 5.0, age_s=1.0)  # Passed on by a peer.
    assert limits.merge([earlier]) == []
    assert limits.find_rate(restarted) == 3.0


def test_a_message_of_reports_fits_into_one_packet():
    reports = [LimitReport(f"i-{n:010x}", n + 2**42, n / 3, n / 7) for n in range(100)]
    selected = select_limits(reports)
    assert selected == reports[: len(selected)]
    encoded = msgspec.msgpack.encode(LimitReports(selected))
    assert PACKET_BYTES / 2 <= len(encoded) <= PACKET_BYTES


def test_a_limit_that_has_ended_is_passed_on_for_a_while_only():
    clock = ManualClock()
    limits = ServerLimits(clock, "h1", lambda *_: ["h1"])
    for rate_per_s in (2.0, None):
        clock.now += 1.0
        limits.note_answer(SERVER, rate_per_s)
        assert limits.list_reports() == [LimitReport("a", 1, rate_per_s, 0.0)]
    clock.now += 2 * server_limits.NOTICE_S
    assert limits.list_reports(include_all=True) == []


@pytest.mark.parametrize("large", [False, True])
def test_all_routers_agree_on_who_shares_a_limit(large):
    now_s = 10.0
    hosts = {f"h{n}": f"z{n % 3}" for n in range(30 if large else 8)}
    regions = {"z0": "r1", "z1": "r1", "z2": "r2"}
    listed = set()
    for own, zone in hosts.items():
        known = Neighbourhood(own, zone, 1000, lambda: now_s, regions, ("10.0.0.1", 1))
        by_zone = {}
        for host, host_zone in hosts.items():
            address = ("10.0.0.1", int(host[1:]))
            by_zone.setdefault(host_zone, {})[host] = address
            if host == own or (large and host_zone != zone):
                continue
            known.note_hello(
                Neighbour(
                    host=host,
                    zone=host_zone,
                    address=address,
                    link_mbps=1000,
                    heard_at=now_s - LIVENESS_TIMEOUT_S / 2,
                )
            )
        for host_zone, addresses in by_zone.items():
            if large:
                known.note_zone_hosts(host_zone, addresses)
        listed.add(tuple(known.list_nearest("a", "z0", 4.9)))
    (sharers,) = listed
    assert len(sharers) == 4
    assert all(regions[hosts[host]] == "r1" for host in sharers)


@pytest.mark.parametrize(
    ("values", "rate_per_s", "is_malformed"),
    [
        ([], None, False),
        ([b"1.2"], 1.2, False),
        ([b" 3 "], 3.0, False),
        ([b"0"], 0.0, False),
        ([b"2", b"1"], 1.0, False),
        ([b"2", b"few"], 2.0, True),
        ([b""], None, True),
        ([b"-1"], None, True),
        ([b"nan"], None, True),
        ([b"inf"], None, True),
        ([b"1e3"], None, True),
        ([b"9" * 5000], None, True),
    ],
)
def test_the_limit_header_is_read_in_each_form(values, rate_per_s, is_malformed):
    reader = AnswerHeadReader()
    for value in values:
        reader.add(b"Server-Limit", value)
    head = reader.finish(200)
    assert head.max_rate_per_s == rate_per_s
    assert head.malformed == (("Server-Limit",) if is_malformed else ())


def run_with_queue(sharers, scenario):
    """Run a scenario with a queue of router h1 for one server with a limit of 5."""

    async def run():
        loop = asyncio.get_running_loop()
        directory = Directory(loop.time)
        directory.put(SERVER)
        limits = ServerLimits(loop.time, "h1", lambda *_: sharers)
        limits.note_answer(SERVER, 5.0)
        placement = Placement(loop.time, "z1", {"z1": "r1"})
        queue = AdmissionQueue(
            directory,
            placement,
            limits,
            make_brittle_servers(loop.time),
            make_server_lives(loop.time, directory),
        )
        async with asyncio.timeout(WAIT_TIMEOUT_S):
            await scenario(queue, loop)

    asyncio.run(run())


def test_queued_requests_are_sent_as_the_limit_allows():
    async def scenario(queue, loop):
        started_at = loop.time()
        deadline = started_at + 10 * WAIT_TIMEOUT_S
        found = await asyncio.gather(
            *(queue.find_server("s", Work(), None, [], 1, deadline) for _ in range(4))
        )
        assert found == [SERVER] * 4
        assert loop.time() - started_at >= 4 / 5.0 - STEP_S

    run_with_queue(["h1"], scenario)


# Requests behind more than the limit leaves time for waited in vain.
def test_queued_requests_count_in_the_time_that_a_new_one_would_wait():
    async def scenario(queue, loop):
        deadline = loop.time() + 10 * WAIT_TIMEOUT_S
        tasks = [
            loop.create_task(queue.find_server("s", Work(), None, [], 1, deadline))
            for _ in range(50)
        ]
        await wait_until(lambda: queue.count_waiting("s") == 50)
        # A router that shares a limit of 5 with nobody needs 10 s for 50 requests.
        assert queue.find_resume_time("s", rank=1) > loop.time() + 8.0
        assert queue.find_resume_time("s", rank=0) < loop.time() + 2.0
        for task in tasks:
            task.cancel()

    run_with_queue(["h1"], scenario)


def test_a_router_without_a_share_expects_no_server():
    async def scenario(queue, loop):
        assert math.isinf(queue.find_resume_time("s"))

    run_with_queue(["h2"], scenario)


# A rejection that does not repeat the limit does not end it.
@pytest.mark.parametrize(
    ("status", "headers", "is_limited"),
    [
        (200, [(b"X-Server-Seal", b"seal")], False),
        (500, [(b"X-Server-Seal", b"seal")], False),
        (200, [], True),
        (503, [(b"X-Server-Seal", b"seal"), (b"X-Not-Executed", b"1")], True),
        (421, [(b"X-Server-Seal", b"seal")], True),
    ],
)
def test_a_limit_ends_with_an_answer_to_an_executed_request(
    tmp_path, status, headers, is_limited
):
    async def run():
        async with Deployment(tmp_path) as deployment:
            router = await deployment.start_router("h1")
            services = router.app.services
            services.limits.note_answer(SERVER, 1.0)
            reader = AnswerHeadReader()
            for name, value in headers:
                reader.add(name, value)
            services.note_answer_head(SERVER, reader.finish(status))
            assert (services.limits.find_rate(SERVER) is not None) is is_limited

    asyncio.run(run())


# A router that starts knew of no limit until the server's first answer to it, or the
# next refresh.
def test_a_router_that_starts_is_told_the_limits_at_once(tmp_path, monkeypatch):
    monkeypatch.setattr(server_limits, "NOTICE_S", 0.0)

    async def run():
        async with Deployment(tmp_path) as deployment:
            deployment.store.put("op", "config", make_configuration())
            limited = await deployment.start_backend("p1", "app", echo_body)
            limited.more_headers = (("Server-Limit", "1.2"),)
            first = await deployment.start_router("h1")
            await wait_until(first.app.is_ready)
            await deployment.send(first, "/look/1", method="GET")
            second = await deployment.start_router("h2")
            await wait_until(lambda: second.app.limits.count_limited() == 1)
            assert len(limited.requests) == 1

    asyncio.run(run())
