"""Placement and waits at servers that report how slow they are."""

from __future__ import annotations

import asyncio
import random

import attrs
import pytest

from benchmarks.uneven_servers import replay
from bronzesail.model import Engine
from bronzesail.router.estimates import HeadWait, ServerSpeed
from bronzesail.router.placement import Placement, Work
from tests.platform_standin import (
    Deployment,
    echo_body,
    make_configuration,
    wait_until,
)
from tests.router_fakes import ManualClock, make_server

ENGINE = Engine(slots=8, cache_tokens=100_000, tokens_per_event=5)
SERVERS = [make_server(name) for name in ("a", "b", "c", "d")]
WORK = Work(tokens=2000, objective_s=1.0)


@pytest.fixture
def clock():
    return ManualClock()


def make_placement(clock, seed=1, **options):
    speed = ServerSpeed(clock, **options)
    return Placement(clock, "z1", {"z1": "r1"}, speed, random.Random(seed))


def test_without_speed_reports_decisions_are_those_of_the_constants(clock):
    # Guards against a change for services whose servers report no speed.
    draws = random.Random(7)
    placement = make_placement(clock)
    for number in range(300):
        clock.now += draws.random() / 10
        server = draws.choice(SERVERS)
        placement.note_load_report(server.id, draws.randrange(9), draws.randrange(3))
        parts = (("p", 900), (f"q{number}", 100)) if draws.random() < 0.5 else ()
        work = Work(parts=parts, tokens=1000, objective_s=0.01)
        affinity_id = placement._find_affinity_id(SERVERS, work)
        costs = [
            placement.estimate_cost(s, work, ENGINE, affinity_id, clock.now)
            for s in SERVERS
        ]
        chosen = placement.choose(SERVERS, work, ENGINE)
        assert chosen is SERVERS[costs.index(min(costs))]
        unread = placement.note_sent(chosen.id, work, number)
        placement.note_response_started(chosen.id, unread, number)
        if number % 3:
            placement.note_request_ended(chosen.id, number)


def test_a_disabled_feature_ignores_the_reported_slowness(clock):
    placement = make_placement(clock, is_enabled=False)
    placement.note_load_report("a", 0, 0, 3.0)
    assert not placement.speed.is_reported(SERVERS)


def test_the_slowness_is_a_moving_average_that_loses_weight(clock):
    speed = ServerSpeed(clock)
    speed.note_report("a", 1.0)
    clock.now += 0.1
    speed.note_report("a", 1e6)  # Guards against one absurd report that decides.
    assert 1.0 < speed.find_slowness("a") < 3.0
    for _ in range(30):
        clock.now += 0.1
        speed.note_report("a", 2.0)
    assert speed.find_slowness("a") == pytest.approx(2.0, abs=0.2)
    clock.now += 40.0  # Guards against a server that is avoided forever.
    assert speed.find_slowness("a") == pytest.approx(1.0, abs=0.05)


def test_a_slow_server_gets_fewer_requests_than_its_equals(clock):
    placement = make_placement(clock)
    for server in SERVERS:
        placement.note_load_report(server.id, 2, 0, 3.0 if server.id == "a" else 1.0)
    chosen = {placement.choose(SERVERS, WORK, ENGINE).id for _ in range(50)}
    assert chosen == {"b", "c", "d"}


def test_responses_that_take_longer_than_expected_correct_the_estimate(clock):
    placement = make_placement(clock)
    placement.note_load_report("a", 0, 0, 1.0)
    before = placement.estimate_time_s(SERVERS[0], WORK, ENGINE, clock.now)
    for number in range(10):
        placement.speed.note_sent(SERVERS[0], number, before)
        clock.now += 0.4
        placement.speed.note_begun("a", number)
    after = placement.estimate_time_s(SERVERS[0], WORK, ENGINE, clock.now)
    assert after > 4 * before
    # Another server of the service is corrected too, by less.
    other = placement.estimate_time_s(SERVERS[1], WORK, ENGINE, clock.now)
    assert before < other < after


def test_a_request_that_is_overdue_counts_against_its_server(clock):
    # Guards against a server that stopped: no response brings a new report.
    placement = make_placement(clock)
    placement.note_load_report("a", 0, 0, 1.0)
    placement.speed.note_sent(SERVERS[0], 1, 0.1)
    clock.now += 0.6
    assert placement.estimate_time_s(SERVERS[0], WORK, ENGINE, clock.now) > 0.5
    placement.note_request_ended("a", 1)
    assert placement.estimate_time_s(SERVERS[0], WORK, ENGINE, clock.now) < 0.1


def test_routers_with_the_same_report_do_not_herd(clock):
    # Guards against many routers that all choose the server that looks best.
    counts = dict.fromkeys("abcd", 0)
    for seed in range(100):
        placement = make_placement(clock, seed)
        for index, server in enumerate(SERVERS):
            placement.note_load_report(server.id, 0, 0, 1.0 + index / 100)
        counts[placement.choose(SERVERS, WORK, ENGINE).id] += 1
    assert max(counts.values()) < 70 and min(counts.values()) < max(counts.values())


def test_affinity_is_kept_until_its_server_is_expected_to_be_late(clock):
    placement = make_placement(clock)
    work = Work(parts=(("p", 3000), ("q", 100)), tokens=3100, objective_s=0.5)
    affine = placement._find_affinity_id(SERVERS, work)
    for server in SERVERS:
        placement.note_load_report(server.id, 0, 0, 1.0)
    clock.now += 5.0
    placement.note_load_report(affine, 0, 0, 3.0)
    assert placement.choose(SERVERS, work, ENGINE).id == affine
    placement.note_load_report(affine, 8, 5, 3.0)
    assert placement.choose(SERVERS, work, ENGINE).id != affine


@pytest.mark.parametrize(("n_routers", "load"), [(33, 1.0), (71, 1.5)])
def test_engines_that_slow_down_by_turns_meet_more_objectives(n_routers, load):
    # Guards against placement that treats all engines as equal, with stale reports.
    options = {"n_routers": n_routers, "load": load, "duration_s": 15.0}
    usual = replay(reports_speed=False, **options)
    speed = replay(reports_speed=True, **options)
    assert 1 - speed.in_time < 0.7 * (1 - usual.in_time)
    assert speed.p99_s < usual.p99_s
    assert speed.max_to_mean < usual.max_to_mean


def make_wait(here_s, elsewhere_s, **changes):
    wait = HeadWait(
        sent_at=100.0,
        usual_s=2.0,
        expected_s=0.4,
        deadline_at=103.0,
        estimate_here_s=lambda: here_s,
        estimate_elsewhere_s=lambda: elsewhere_s,
    )
    return attrs.evolve(wait, **changes)


def test_a_wait_is_checked_at_the_expected_time_or_while_time_is_left_elsewhere():
    assert make_wait(1.0, 0.1).find_first_check() == pytest.approx(100.8)
    late = make_wait(1.0, 1.0, expected_s=2.0)
    assert late.find_first_check() == pytest.approx(101.5)
    assert make_wait(1.0, 0.1, expected_s=0.01).find_first_check() >= 100.2


def test_a_request_is_withdrawn_only_for_a_clear_gain_in_time():
    assert make_wait(1.0, 0.2).is_worth_withdrawing(101.0)
    assert not make_wait(1.0, 0.9).is_worth_withdrawing(101.0)
    assert not make_wait(9.0, 0.5).is_worth_withdrawing(102.6)
    assert not make_wait(1.0, float("inf")).is_worth_withdrawing(101.0)


# Guards against a tag that waits at a slow server until its deadline, and against one
# that is withdrawn though the retry budget then refuses it. It is a share of all
# requests.
@pytest.mark.parametrize(("n_requests", "n_withdrawn"), [(60, 1), (5, 0)])
def test_a_request_is_withdrawn_from_a_slow_server_within_the_retry_budget(
    tmp_path, n_requests, n_withdrawn
):
    async def run():
        async with Deployment(tmp_path) as deployment:
            deployment.store.put("op", "config", make_configuration())
            late = []

            async def respond(request, responder, headers):
                if late:
                    late.clear()
                    await asyncio.sleep(1.5)
                await echo_body(request, responder, headers)

            for name in ("p1", "p2"):
                backend = await deployment.start_backend(name, "app", respond)
                backend.more_headers = (("X-Server-Load", "0,0,8,100"),)
            router = await deployment.start_router("h1")
            await wait_until(router.app.is_ready)
            for _ in range(n_requests):
                assert (await deployment.send(router, "/look/1", b"x"))[0] == 200
            late.append(True)
            loop = asyncio.get_running_loop()
            began_at = loop.time()
            assert (await deployment.send(router, "/look/2", b"x"))[0] == 200
            assert (0.2 < loop.time() - began_at < 1.0) == bool(n_withdrawn)
            placement = router.app.placement
            assert placement.speed.n_withdrawn == n_withdrawn
            for name in ("p1", "p2"):
                assert placement.get_load(name).consecutive_failures == 0

    asyncio.run(run())
