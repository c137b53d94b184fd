"""Order and refusals of queued requests by their estimated starts."""

from __future__ import annotations

import asyncio
import random

import pytest

from bronzesail.model import Engine
from bronzesail.router.admission_queue import AdmissionQueue
from bronzesail.router.directory import Directory
from bronzesail.router.estimates import Claim, StartTimes
from bronzesail.router.placement import REPORT_FRESH_S, Placement, Work
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

ENGINE = Engine(slots=1, cache_tokens=100_000, tokens_per_event=5)
SERVICE = "s"


class World:
    """A queue at one server with one slot, which is taken."""

    def __init__(self, slowness=1.0, start_times=True):
        loop = asyncio.get_running_loop()
        self.loop = loop
        self.directory = Directory(loop.time)
        self.server = make_server("a", slots=1)
        self.directory.put(self.server)
        self.placement = Placement(loop.time, "z1", {"z1": "r1"})
        self.start_times = StartTimes(loop.time) if start_times else None
        self.queue = AdmissionQueue(
            self.directory,
            self.placement,
            ServerLimits(loop.time, "h1", lambda *_: ["h1"]),
            make_brittle_servers(loop.time),
            make_server_lives(loop.time, self.directory),
            start_times=self.start_times,
        )
        for number in (1, 2):
            self.placement.note_sent("a", Work(), number)
            self.placement.note_response_started("a", 0, number)
        self.placement.note_load_report("a", 1, 0, slowness)
        self.served = []

    async def ask(self, name, rank=1, deadline_s=9.0):
        now = self.loop.time()
        claim = Claim(deadline_at=now + deadline_s, arrived_at=now, key=name)
        server = await self.queue.find_server(
            SERVICE, Work(tokens=100), ENGINE, [], rank, now + 5, claim=claim
        )
        if server is not None:
            self.served.append(name)
        return claim

    async def enqueue(self, *args, **options):
        task = asyncio.create_task(self.ask(*args, **options))
        await asyncio.sleep(0)
        return task

    async def free_places(self, count):
        for number in range(count):
            self.placement.note_request_ended("a", number)
            self.queue.dispatch(SERVICE)
            await asyncio.sleep(0.01)
            self.placement.note_assignment_ended("a")
            self.placement.note_sent("a", Work(), 1000 + number)


def test_among_equals_the_request_whose_time_runs_out_first_goes_first():
    async def run():
        world = World()
        tasks = [
            await world.enqueue("late", deadline_s=9.0),
            await world.enqueue("soon", deadline_s=3.0),
            await world.enqueue("urgent", rank=0, deadline_s=20.0),
        ]
        # Both places are taken, and the server has room for one request.
        world.placement.note_request_ended("a", 2)
        await world.free_places(3)
        await asyncio.gather(*tasks)
        assert world.served == ["urgent", "soon", "late"]

    asyncio.run(run())


@pytest.mark.parametrize("start_times", [True, False])
def test_without_speed_reports_the_order_is_that_of_arrival(start_times):
    # Guards against another order for services whose servers report no speed.
    async def run():
        world = World(slowness=None, start_times=start_times)
        names = [("late", 9.0), ("soon", 3.0), ("hopeless", 0.001)]
        tasks = [await world.enqueue(n, deadline_s=s) for n, s in names]
        world.placement.note_request_ended("a", 2)
        await world.free_places(3)
        await asyncio.gather(*tasks)
        assert world.served == ["late", "soon", "hopeless"]

    asyncio.run(run())


def test_a_request_that_would_start_too_late_is_refused_at_once():
    # Guards against a tag that waits at a slow server until its deadline.
    async def run():
        world = World()
        world.placement.note_load_report("a", 1, 30, 3.0)
        async with asyncio.timeout(0.1):
            claim = await world.ask("tag", deadline_s=1.0)
        assert world.served == []
        assert 0.05 <= claim.capacity_at - world.loop.time() <= 5.0

    asyncio.run(run())


def test_a_request_that_came_back_goes_before_later_ones():
    async def run():
        world = World()
        world.placement.note_load_report("a", 1, 30, 3.0)
        await world.ask("returned", deadline_s=1.0)
        world.placement.note_load_report("a", 1, 0, 1.0)
        tasks = [
            await world.enqueue("later", deadline_s=5.0),
            await world.enqueue("returned", deadline_s=8.0),
        ]
        world.placement.note_request_ended("a", 2)
        await world.free_places(2)
        await asyncio.gather(*tasks)
        assert world.served == ["returned", "later"]
        assert world.start_times.n_returned == 1

    asyncio.run(run())


def test_a_low_priority_is_not_starved_by_a_constant_stream_of_urgent_requests():
    async def run():
        world = World()
        tasks = [await world.enqueue("low", rank=9, deadline_s=30.0)]
        for number in range(20):
            tasks.append(await world.enqueue(number, rank=0))
        world.placement.note_request_ended("a", 2)
        await world.free_places(10)
        assert "low" in world.served
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    asyncio.run(run())


def test_a_place_that_a_caller_leaves_is_free_at_once():
    async def run():
        world = World()
        first = await world.enqueue("first")
        second = await world.enqueue("second")
        world.placement.note_request_ended("a", 1)
        world.queue.dispatch(SERVICE)
        first.cancel()  # In the iteration in which it obtains its place.
        for _ in range(5):
            await asyncio.sleep(0)
        assert world.served == ["second"]
        await asyncio.gather(first, second, return_exceptions=True)

    asyncio.run(run())


def test_the_rate_of_places_gives_the_wait_of_a_queue():
    clock = ManualClock()
    times = StartTimes(clock)
    assert times.estimate_wait_s(SERVICE, 10) == 0.0  # Nothing is known yet.
    for _ in range(20):
        clock.now += 0.1
        times.note_placed(SERVICE)
    assert times.estimate_wait_s(SERVICE, 9) == pytest.approx(1.0, rel=0.2)


def replay_surge(*, has_estimates):
    """Replay 200 requests a second at 100 places a second.

    Returns the shares of the requests that were served, and that waited in vain.
    """
    clock = ManualClock()
    times = StartTimes(clock)
    draws = random.Random(1)
    queue, n_requests, n_served, n_in_vain = [], 0, 0, 0
    for _ in range(2000):
        clock.now += 0.01
        for _ in range(draws.choice((1, 2, 3))):
            n_requests += 1
            timeout_s = draws.uniform(1.0, 12.0)
            claim = Claim(
                deadline_at=clock.now + timeout_s, arrived_at=clock.now, key=n_requests
            )
            waits_until = clock.now + timeout_s / 4
            order = times.note_waiting(claim, 0.1, waits_until)
            if not has_estimates:
                queue.append((n_requests, n_requests, claim))
                continue
            n_ahead = sum(entry[0] <= order for entry in queue)
            later = [entry[2] for entry in queue[n_ahead:]]
            if times.is_late(claim, SERVICE, n_ahead):
                continue
            if not times.displaces(SERVICE, n_ahead, later):
                queue.append((order, n_requests, claim))
                queue.sort()
        n_in_vain += sum(entry[2].latest_start < clock.now for entry in queue)
        queue = [entry for entry in queue if entry[2].latest_start >= clock.now]
        if queue:
            queue.pop(0)
            times.note_placed(SERVICE)
            n_served += 1
    return n_served / n_requests, n_in_vain / n_requests


def test_in_a_surge_few_requests_wait_in_vain():
    # Guards against requests that are held although others use up all places.
    served, in_vain = replay_surge(has_estimates=True)
    usual_served, usual_in_vain = replay_surge(has_estimates=False)
    assert usual_in_vain > 0.3
    assert in_vain < 0.1 * usual_in_vain
    assert served > 0.95 * usual_served


def test_a_router_refuses_at_once_and_names_the_time_of_capacity(tmp_path):
    async def run():
        async with Deployment(tmp_path) as deployment:
            deployment.store.put("op", "config", make_configuration())
            backend = await deployment.start_backend("p1", "app", echo_body)
            router = await deployment.start_router("h1")
            await wait_until(router.app.is_ready)
            backend.more_headers = (("X-Server-Load", "8,200,8,500"),)
            assert (await deployment.send(router, "/look/1", b"x"))[0] == 200
            began_at = asyncio.get_running_loop().time()
            status, headers, _ = await deployment.send(router, "/look/2", b"x")
            assert asyncio.get_running_loop().time() - began_at < 0.5
            assert (status, len(backend.requests)) == (429, 1)
            names = {name.lower(): value for name, value in headers.items()}
            assert 0 < float(names["retry-after"]) < 10

    asyncio.run(run())


def test_no_request_is_refused_for_a_report_that_is_no_longer_fresh():
    # Guards against servers that all avoid for their last report, which stays the last.
    clock = ManualClock()
    placement = Placement(clock, "z1", {"z1": "r1"})
    servers = [make_server("a")]
    placement.note_load_report("a", 8, 200, 3.0)

    def estimate():
        work = Work(tokens=100)
        return placement.estimate_least_time_s(
            servers, work, ENGINE, is_optimistic=True
        )

    assert estimate() > 10.0
    clock.now += REPORT_FRESH_S + 0.1
    assert estimate() < 0.1
    # Nor for responses that a slow link of this host delays at all servers.
    placement.speed.note_sent(servers[0], 1, 0.1)
    clock.now += 20.0
    assert estimate() < 0.1
