"""The pace of requests to servers that have started or recovered."""

from __future__ import annotations

import asyncio
import itertools
import math

import attrs
import pytest

from bronzesail.model import Engine, Service
from bronzesail.platform import AnswerHeadReader
from bronzesail.router.admission_queue import AdmissionQueue
from bronzesail.router.directory import Directory
from bronzesail.router.pacing import ServerPace
from bronzesail.router.placement import (
    COLD_START_COST_S,
    EJECTION_FAILURES,
    Placement,
    Work,
)
from bronzesail.router.server_limits import ServerLimits
from tests.platform_standin import (
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

ENGINE = Engine(slots=64, cache_tokens=1, tokens_per_event=1)
SERVICE = Service(
    name="s", health_path="/", max_connections=9, engine=ENGINE, cold_start_s=3.0
)
SERVER = make_server("a", slots=64, born_ms=2)
PEER = make_server("b", slots=64, born_ms=1)
LATENCY_S = 0.03
STEP_S = 0.005


class Router:
    """The pace of one router, with its load."""

    def __init__(self, clock=None, hosts=("h1",), host="h1", **changes):
        self.clock = clock or ManualClock()
        self.hosts = list(hosts)
        self.directory = Directory(self.clock)
        self.placement = Placement(self.clock, "z1", {"z1": "r1"})
        self.cold_left_s = 0.0
        fields = {
            "now": self.clock, "host": host, "list_ranked": lambda *_: self.hosts,
            "find_service": lambda _: SERVICE, "directory": self.directory,
            "placement": self.placement, "find_cold_left_s": lambda _: self.cold_left_s,
        }  # fmt: skip
        self.pace = ServerPace(**fields | changes)
        self.directory.put(PEER)
        self.note_servers()

    def note_servers(self):
        self.pace.note_servers(self.directory.list_all())

    def start_server(self):
        self.directory.put(SERVER)
        self.note_servers()

    def answer(self, server=SERVER, latency_s=LATENCY_S, count=1):
        for _ in range(count):
            self.pace.note_answer(server, latency_s)

    def room(self):
        return self.pace.find_room(SERVER)


class Fleet:
    """Routers with more requests than a recovering server of some capacity takes."""

    def __init__(self, n_routers, capacity):
        self.clock = ManualClock()
        hosts = [f"h{number}" for number in range(n_routers)]
        self.routers = [Router(self.clock, hosts, host) for host in hosts]
        self.capacity = capacity  # Requests above which the latency grows.
        self.present = []  # End, start, router and send id of each request.
        self.most_present = 0
        self.recovered_at = math.inf
        self._ids = itertools.count()
        for router in self.routers:
            router.start_server()

    def run(self, for_s):
        end_at = self.clock.now + for_s
        while self.clock.now < end_at:
            self.clock.now += STEP_S
            self._end_requests()
            rooms = [router.room() for router in self.routers]
            if all(room is None for room in rooms):
                self.recovered_at = min(self.recovered_at, self.clock.now)
            for router, room in zip(self.routers, rooms, strict=True):
                router.answer(PEER)
                most = 64 / len(self.routers) if room is None else room
                while router.placement.count_own("a") < most:
                    self._send(router)
            self.most_present = max(self.most_present, len(self.present))

    def _send(self, router):
        send_id = next(self._ids)
        router.placement.note_sent("a", Work(), send_id)
        slowdown = max(1.0, (len(self.present) + 1) / self.capacity)
        end_at = self.clock.now + LATENCY_S * slowdown
        self.present.append((end_at, self.clock.now, router, send_id))

    def _end_requests(self):
        now = self.clock.now
        for _, sent_at, router, send_id in [r for r in self.present if r[0] <= now]:
            router.placement.note_response_started("a", 0, send_id)
            router.placement.note_request_ended("a", send_id)
            router.answer(latency_s=now - sent_at)
        self.present = [r for r in self.present if r[0] > now]
        n_present = len(self.present)
        for router in self.routers:
            if router.placement.count_own("a"):
                router.placement.note_load_report("a", n_present, 0)


# A fixed ramp of 1 s leaves a server idle that keeps up at once.
@pytest.mark.parametrize(("n_routers", "most_s"), [(1, 1.0), (8, 1.0), (80, 2.5)])
def test_a_server_that_keeps_up_is_soon_used_in_full(n_routers, most_s):
    fleet = Fleet(n_routers, capacity=100)
    fleet.run(3.0)
    assert fleet.recovered_at - 100.0 <= most_s


# Windows of one request for each of 80 routers would exceed what the server holds.
@pytest.mark.parametrize("n_routers", [1, 8, 80])
def test_a_server_that_does_not_keep_up_is_not_overrun(n_routers):
    fleet = Fleet(n_routers, capacity=10)
    fleet.run(1.0)
    fleet.most_present = 0
    fleet.run(8.0)
    assert fleet.most_present <= 4 * fleet.capacity
    assert math.isinf(fleet.recovered_at)


def test_the_shares_of_all_routers_add_up_to_the_window():
    hosts = [f"h{number}" for number in range(20)]
    routers = [Router(hosts=hosts, host=host) for host in hosts]
    for router in routers:
        router.start_server()
    assert sum(router.room() for router in routers) == 64 / 8


def test_the_window_of_routers_that_end_goes_to_the_others():
    router = Router(hosts=["h0", "h2", "h1"])
    router.start_server()
    before = router.room()
    router.hosts[:] = ["h1"]
    router.clock.now += 0.3
    assert router.room() >= before * 3


def test_rejections_make_the_window_smaller_and_hold_it_for_longer_each_time():
    router = Router()
    router.start_server()
    rooms = []
    for _ in range(3):
        router.clock.now += 0.2
        router.pace.note_failure(SERVER, is_rejection=True)
        rooms.append(router.room())
    assert rooms == sorted(rooms, reverse=True)
    assert rooms[-1] == 1
    # Held for 0.5, 1 and 2 s, each from its failure on.
    router.clock.now += 1.9
    assert router.room() == 1
    router.clock.now += 4.2
    assert router.room() > 1
    assert router.pace.n_decreases == 3


# Plain services fail up to 14 of 100 requests, which would keep the window at one.
def test_only_more_failures_than_peers_have_make_the_window_smaller():
    router = Router()
    for number in range(100):
        router.answer(PEER)
        if number % 7 == 0:
            router.pace.note_failure(PEER)
    router.start_server()
    router.pace.note_failure(SERVER)
    assert router.pace.n_decreases == 0
    for _ in range(6):
        router.pace.note_failure(SERVER)
    assert router.pace.n_decreases == 1


def test_an_answer_to_a_request_before_a_decrease_does_not_count_again():
    router = Router()
    router.answer(PEER, count=10)
    router.start_server()
    router.clock.now += 0.4
    router.answer(latency_s=0.39)
    router.answer(latency_s=0.39)
    assert router.pace.n_decreases == 1


# A machine that is slow with few requests already would be left with a window of one.
def test_a_server_that_is_slow_by_itself_gets_its_full_window():
    router = Router()
    router.start_server()
    for _ in range(30):
        router.clock.now += 0.1
        router.answer(PEER, count=5)
        router.answer(latency_s=2.5 * LATENCY_S, count=8)
    assert router.room() is None
    assert router.pace.n_decreases == 0


def test_requests_of_other_routers_leave_less_room():
    router = Router()
    router.start_server()
    router.clock.now += 0.01
    router.placement.note_load_report("a", 7, 0)
    assert router.room() == pytest.approx(1, abs=0.2)
    router.placement.note_load_report("a", 20, 0)
    assert router.room() == 0


def test_a_long_prompt_is_no_sign_of_overload():
    router = Router()
    router.answer(PEER, count=10)
    router.start_server()
    router.clock.now += 2
    router.pace.note_answer(SERVER, LATENCY_S + 0.5, prompt_tokens=25_000)
    assert router.pace.n_decreases == 0


def test_answers_and_rejections_before_the_end_of_a_pause_do_not_count():
    router = Router()
    router.directory.put(SERVER)
    router.pace.note_recovered(SERVER, "pause", 2.0)
    router.pace.note_failure(SERVER)
    router.answer(latency_s=9.0)
    router.clock.now += 2.0
    assert router.room() == 8


@pytest.mark.parametrize("reason", ["cold", "warm again", "evacuation reverted"])
def test_changes_that_make_a_server_recover(reason):
    taken_back_at = {}
    router = Router(get_taken_back_at=lambda key: taken_back_at.get(key, -math.inf))
    router.directory.put(SERVER)
    router.pace.note_servers([PEER])
    assert router.pace.find_room(PEER) is None  # Found at the router's start.
    if reason == "evacuation reverted":
        taken_back_at["b"] = router.clock.now
    else:
        router.cold_left_s = 1.0
    assert router.pace.find_room(PEER) == 8
    if reason == "warm again":
        router.clock.now += 10
        assert router.pace.find_room(PEER) is None
        router.cold_left_s = 0.0
        assert router.pace.find_room(PEER) == 8
    router.clock.now += 10
    assert router.pace.find_room(PEER) is None
    assert router.pace.take_ended()[-1].reason == reason


def test_the_added_latency_replaces_the_fixed_cost_of_a_cold_server():
    router = Router()
    router.answer(PEER, count=10)
    router.start_server()
    router.cold_left_s = 1.0
    assert router.pace.find_cost_s(SERVER) == COLD_START_COST_S
    router.clock.now += 1
    router.answer(latency_s=LATENCY_S)
    assert router.pace.find_cost_s(SERVER) == 0.0


# Elsewhere, and switched off, requests are served as before.
@pytest.mark.parametrize(
    "changes",
    [
        {"is_enabled": False},
        {"find_service": lambda _: attrs.evolve(SERVICE, cold_start_s=0.0)},
        {"find_service": lambda _: None},
    ],
)
def test_a_service_that_is_not_configured_is_not_paced(changes):
    router = Router(**changes)
    router.start_server()
    router.answer()
    assert (router.room(), router.pace.count_recovering()) == (None, 0)
    cold = make_server("c", cold_left_s=1.0)
    assert router.pace.find_cost_s(cold) == COLD_START_COST_S


def test_queued_requests_are_sent_as_the_window_grows():
    async def run():
        loop = asyncio.get_running_loop()
        router = Router(clock=loop.time)
        directory = router.directory
        directory.remove("b")
        router.start_server()
        queue = AdmissionQueue(
            directory,
            router.placement,
            ServerLimits(loop.time, "h1", lambda *_: ["h1"]),
            make_brittle_servers(loop.time),
            make_server_lives(loop.time, directory),
            router.pace,
        )
        deadline = loop.time() + 10
        searches = [
            asyncio.create_task(queue.find_server("s", Work(), ENGINE, [], 1, deadline))
            for _ in range(20)
        ]
        await asyncio.sleep(0.02)
        assert sum(search.done() for search in searches) == 8
        await asyncio.gather(*searches)
        assert 0.4 < loop.time() - (deadline - 10) < 1.5

    asyncio.run(run())


def test_a_pause_and_an_ejection_start_the_pace(tmp_path):
    async def run():
        async with Deployment(tmp_path) as deployment:
            services = make_configuration()["services"]
            services[1] |= {"coldStartS": 0.1}
            configuration = make_configuration(services=services)
            deployment.store.put("op", "config", configuration)
            for name in "ab":
                await deployment.start_backend(name, "app", echo_body)
            app = (await deployment.start_router("h1")).app
            await wait_until(app.is_ready)
            first, second = app.directory.list_all()
            app.pace._windows.clear()
            for _ in range(EJECTION_FAILURES):
                app.services.note_failure(first, "test")
            reader = AnswerHeadReader()
            reader.add(b"Retry-After", b"1")
            app.services.note_answer_head(second, reader.finish(503))
            assert app.pace.count_recovering() == 2
            for server in (first, second):
                assert app.pace._windows[server.id].begins_at > app.services.loop.time()

    asyncio.run(run())
