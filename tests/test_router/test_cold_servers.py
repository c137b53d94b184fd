"""The requests that a cold server gets, from all routers together."""

from __future__ import annotations

import asyncio
import hashlib
import itertools
import math
import random

import attrs
import pytest

from bronzesail.model import Bounds, Service
from bronzesail.router.directory import Directory
from bronzesail.router.pacing import ColdServers
from tests.platform_standin import Deployment, make_configuration, wait_until
from tests.router_fakes import ManualClock, make_server

START_S = 3.0
SERVICE = Service(
    name="s", health_path="/", max_connections=9, cold_start_s=START_S,
    cold_rate_per_s=10.0,
)  # fmt: skip
LIMIT = 20  # 10 per second, times 1.5, plus 5.
SERVER = make_server("a", born_ms=1, cold_left_s=60.0)
STEP_S = 0.02
MAX_DELAY_S = 0.2  # From the choice of a server until the request arrives there.
SETTLED_S = 2.0


BOUNDS = Bounds(
    drain_s=3, grace_s=8, retry_ratio=0.2, retry_slack=50, retry_window_s=10,
    cold_overshoot=1.5, cold_tolerance=5.0,
)  # fmt: skip


def make_cold_servers(
    clock, directory, list_sharers=lambda *_: ["h1"], host="h1", service=SERVICE,
    bounds=BOUNDS, **changes,
):  # fmt: skip
    return ColdServers(
        clock, lambda: 1_000_000_000.0 + clock() * 1000, host, list_sharers,
        lambda _: service, directory, lambda: bounds, **changes,
    )  # fmt: skip


class Fleet:
    """Routers that each send a cold server all that they may."""

    def __init__(self, n_routers, seed=1):
        self.clock = ManualClock()
        self.random = random.Random(seed)
        self.directory = Directory(self.clock)
        self.directory.put(SERVER)
        self.hosts = [f"h{number}" for number in range(n_routers)]
        self.seen = {host: set(self.hosts) for host in self.hosts}
        self.routers = {}
        for host in self.hosts:
            self.start(host)
        self.arrivals = []

    def start(self, host):
        """Start a router, or restart it without its state."""
        cold = make_cold_servers(
            self.clock, self.directory, lambda *args: self.rank(host, *args), host=host
        )
        self.routers[host] = cold

    def rank(self, own, subject, _zone, n_most, _silence_s):
        def hash_host(host):
            return hashlib.blake2b(f"{subject}{host}".encode()).digest()

        return sorted(self.seen[own], key=hash_host)[:n_most]

    def run(self, for_s, each_step=lambda: None):
        end_at = self.clock.now + for_s
        while self.clock.now < end_at:
            self.clock.now += STEP_S
            each_step()
            for cold in self.random.sample(
                list(self.routers.values()), len(self.routers)
            ):
                while cold.find_wait_s(SERVER) == 0:
                    cold.take_permit(SERVER)
                    delay_s = self.random.uniform(0, MAX_DELAY_S)
                    self.arrivals.append(self.clock.now + delay_s)

    def split(self):
        """Let routers of two halves forget each other, one router after the other."""
        middle = len(self.hosts) // 2
        halves = [self.hosts[:middle], self.hosts[middle:]]
        for half in halves:
            for host in half:
                self.seen[host] = set(half)
                self.run(STEP_S)

    def find_most_in_a_second(self):
        times = sorted(self.arrivals)
        return max(sum(at <= other < at + 1.0 for other in times) for at in times)


@pytest.mark.parametrize("n_routers", [1, 2, 7, 68])
def test_a_cold_server_gets_no_more_than_its_limit_and_a_good_part_of_it(n_routers):
    fleet = Fleet(n_routers)
    fleet.run(20.0)
    assert fleet.find_most_in_a_second() <= LIMIT
    # A fleet that is not split leaves half of the limit, and the margin, unused.
    assert len(fleet.arrivals) >= 0.5 * SERVICE.cold_rate_per_s * (20.0 - SETTLED_S)


# Two halves that do not see each other would each use the whole limit.
@pytest.mark.parametrize("seed", range(4))
@pytest.mark.parametrize("n_routers", [2, 7, 24])
def test_two_halves_of_a_fleet_keep_to_the_limit_together(n_routers, seed):
    fleet = Fleet(n_routers, seed)
    fleet.run(5.0)
    fleet.split()
    fleet.run(10.0)
    assert fleet.find_most_in_a_second() <= LIMIT


# A router that has just started knows no other, and would take the whole limit.
@pytest.mark.parametrize("is_split", [False, True])
def test_routers_that_restart_keep_to_the_limit(is_split):
    fleet = Fleet(12)
    fleet.run(3.0)
    if is_split:
        fleet.split()
    views = {host: set(seen) for host, seen in fleet.seen.items()}

    def restart_some():
        for host, seen in views.items():
            if fleet.random.random() < 0.02:
                fleet.start(host)
                fleet.seen[host] = {host}
            elif fleet.random.random() < 0.05:
                fleet.seen[host] = seen

    fleet.run(15.0, restart_some)
    assert fleet.find_most_in_a_second() <= LIMIT


def test_a_limit_that_cannot_be_divided_allows_nothing():
    clock = ManualClock()
    bounds = attrs.evolve(BOUNDS, cold_overshoot=0.1, cold_tolerance=0.5)
    cold = make_cold_servers(clock, Directory(clock), bounds=bounds)
    clock.now += SETTLED_S
    assert cold.find_wait_s(make_server("a")) == START_S


def note(cold, directory, server):
    directory.put(server)
    return [found.id for found in cold.note_servers(directory.list_all())]


def test_a_new_life_and_an_entry_that_returns_count_as_cold():
    clock = ManualClock()
    directory = Directory(clock)
    cold = make_cold_servers(clock, directory)
    old = make_server("a", born_ms=1)
    assert note(cold, directory, old) == []  # Found at the router's start.
    clock.now += 1
    life = make_server("a", born_ms=2)
    assert note(cold, directory, life) == ["a"]
    clock.now += START_S
    assert cold.find_cold_left_s(life) == 0
    directory.remove("a")
    assert note(cold, directory, life) == ["a"]


def test_a_router_that_starts_treats_young_servers_as_cold():
    clock = ManualClock()
    directory = Directory(clock)
    now_ms = int(1_000_000_000 + clock() * 1000)
    young = make_server("young", born_ms=now_ms - 1000)
    ahead = make_server("ahead", born_ms=now_ms + 60_000)  # Its clock is set ahead.
    directory.put(make_server("old", born_ms=now_ms - 60_000))
    directory.put(young)
    cold = make_cold_servers(clock, directory)
    assert note(cold, directory, ahead) == ["young", "ahead"]
    assert 0 < cold.find_cold_left_s(young) <= START_S


# An entry that is written again unchanged says that the server is still cold.
def test_an_entry_that_is_renewed_extends_the_cold_time():
    clock = ManualClock()
    directory = Directory(clock)
    cold = make_cold_servers(clock, directory)
    server = make_server("a", born_ms=1, cold_left_s=5.0)
    note(cold, directory, server)
    clock.now += 4
    directory.note_renewed(server)
    assert cold.find_cold_left_s(server) == 5.0


def test_an_answer_and_an_evacuation_that_ends_make_a_server_cold():
    clock = ManualClock()
    directory = Directory(clock)
    taken_back_at = {}
    cold = make_cold_servers(
        clock,
        directory,
        get_taken_back_at=lambda key: taken_back_at.get(key, -math.inf),
    )
    server = make_server("a", born_ms=1)
    note(cold, directory, server)
    assert not cold.note_answer(make_server("a", born_ms=0), 2.0)  # Of an earlier life.
    assert cold.note_answer(server, 2.0)
    assert not cold.note_answer(server, 0.5)
    assert cold.find_cold_left_s(server) == 2.0
    clock.now += 2
    assert cold.find_cold_left_s(server) == 0
    taken_back_at["a"] = clock.now
    assert cold.find_cold_left_s(server) == START_S


def test_without_a_cold_rate_there_is_no_limit():
    clock = ManualClock()
    service = attrs.evolve(SERVICE, cold_rate_per_s=0.0)
    cold = make_cold_servers(clock, Directory(clock), service=service)
    assert (cold.find_wait_s(SERVER), cold.find_share(SERVER)) == (0.0, None)


async def fail(request, responder, headers):
    await responder.start(500, (*headers, ("Content-Length", "0")))


async def flood(deployment, for_s):
    """Send requests to the routers in turn, of which each may be sent twice."""
    loop = asyncio.get_running_loop()
    tasks = []
    until = loop.time() + for_s
    for router in itertools.cycle(deployment.routers):
        tasks.append(loop.create_task(deployment.send(router, "/look/1", method="GET")))
        await asyncio.sleep(0.02)
        if loop.time() > until:
            break
    await asyncio.gather(*tasks)


# Each router, and each repeated send, counts for the limit at the server; one of the
# routers is replaced by a new process in the meantime.
def test_cold_servers_that_fail_requests_get_no_more_than_their_limit(tmp_path):
    async def run():
        async with Deployment(tmp_path) as deployment:
            services = make_configuration()["services"]
            services[1] |= {"coldPerS": 4, "coldStartS": 0}
            configuration = make_configuration(services=services)
            deployment.store.put("op", "config", configuration)
            cold = [
                await deployment.start_backend(name, "app", fail) for name in ("a", "b")
            ]
            for backend in cold:
                entry = backend.make_entry() | {"coldLeftMs": 60_000}
                deployment.store.put("servers", backend.id, entry)
            bounds = "coldOvershoot = 1.5\ncoldTolerance = 6"
            for number in range(3):
                await deployment.start_router(f"h{number}", bounds=bounds)
            await wait_until(lambda: all(r.app.is_ready() for r in deployment.routers))
            await flood(deployment, SETTLED_S + 1.5)
            ended = deployment.routers.pop(0)
            ended.app.abort()
            ended.task.cancel()
            await deployment.start_router("h0", bounds=bounds)
            await flood(deployment, 2.0)
            for backend in cold:
                times = [at for at, _ in backend.arrived_at]
                most = max(sum(at <= t < at + 1 for t in times) for at in times)
                assert 1 <= most <= 4 * 1.5 + 6

    asyncio.run(run())
