"""Servers of evacuated data centres get no requests, whoever knows of it first."""

from __future__ import annotations

import asyncio
import math

import hypothesis.strategies as st
import msgspec
from hypothesis import given

from bronzesail.model import Row, RowsAnswer, StoreVersion
from bronzesail.router.directory import Directory
from bronzesail.router.eligibility import EvacuationReport, Evacuations
from bronzesail.router.messages import EvacuationReports
from tests.platform_standin import (
    Deployment,
    echo_body,
    make_configuration,
    stream_events,
    wait_until,
)
from tests.router_fakes import ManualClock, RecordingLog, make_server

ZONES = ("z1", "z2")
EVACUATE_S = 5.0  # Default of `evacuateMs`.


def make_evacuations(clock=None):
    return Evacuations(clock or ManualClock(), ZONES, RecordingLog())


def make_row(key, version, *, is_removed=False, value=b"{}"):
    return Row(
        table="op",
        part="",
        key=key,
        value=value,
        version=version,
        is_removed=is_removed,
    )


def make_answer(number, *rows, era=0):
    version = StoreVersion(era, number)
    return RowsAnswer(rows=list(rows), has_more=False, version=version, clock_s=0.0)


def report(zone, is_evacuated, number, era=0, age_s=None):
    return EvacuationReport(zone, is_evacuated, StoreVersion(era, number), age_s)


# Guards against a late report of an earlier state that undoes a later one.
def test_the_newest_version_holds_in_any_order():
    evacuations = make_evacuations()
    evacuations.merge([report("z1", True, 5)], "a")
    evacuations.merge([report("z1", False, 9)], "b")
    evacuations.merge([report("z1", True, 5)], "c")
    assert evacuations.list_evacuated() == []
    evacuations.merge([report("z1", True, 2, era=1)], "d")
    evacuations.merge([report("z1", False, 99)], "e")
    assert evacuations.list_evacuated() == ["z1"]
    assert evacuations.list_newer([report("z1", False, 99)]) == [
        report("z1", True, 2, era=1, age_s=0.0)
    ]


# Guards against a removal that the feed reports without its version.
def test_a_removal_without_a_version_has_its_place_in_the_feed():
    evacuations = make_evacuations()
    removal = make_row("evacuate/z1", 0, is_removed=True)
    rows = [make_row("evacuate/z1", 3), removal, make_row("evacuate/z1", 6)]
    evacuations.note_answer(make_answer(8, *rows), is_whole=False)
    assert evacuations.is_evacuated("z1")
    evacuations.note_answer(make_answer(9, removal), is_whole=False)
    assert not evacuations.is_evacuated("z1")


# Guards against an evacuation that stays in effect, or ends too early, after a restore.
def test_a_whole_read_of_the_new_era_ends_what_the_copy_does_not_hold():
    evacuations = make_evacuations()
    rows = [make_row("evacuate/z1", 5), make_row("evacuate/z2", 6)]
    evacuations.note_answer(make_answer(9, *rows), is_whole=True)
    evacuations.note_answer(make_answer(4), is_whole=True)  # An earlier state.
    evacuations.note_answer(make_answer(12), is_whole=False)
    assert evacuations.list_evacuated() == ["z1", "z2"]
    evacuations.note_answer(
        make_answer(2, make_row("evacuate/z2", 1), era=1), is_whole=True
    )
    assert evacuations.list_evacuated() == ["z2"]


# Guards against an unknown name that is logged with each repetition, or kept.
def test_an_unknown_data_centre_is_logged_once_and_ignored():
    log = RecordingLog()
    evacuations = Evacuations(ManualClock(), ZONES, log)
    for name in ("nowhere", "", "z1/x", "nowhere"):
        answer = make_answer(5, make_row(f"evacuate/{name}", 5))
        evacuations.note_answer(answer, is_whole=True)
    evacuations.merge([report("nowhere", True, 9)], "a")
    evacuations.merge([report(f"n{i}", True, 9) for i in range(10_000)], "a")
    assert len(log.lines) == 100
    assert evacuations.list_reports() == []
    assert {r.zone for r in evacuations.list_reports(include_all=True)} == set(ZONES)
    evacuations.note_answer(
        make_answer(6, make_row("evacuate/z1", 6, value=b"\xff")), is_whole=True
    )
    assert evacuations.is_evacuated("z1")  # Any value evacuates.


def test_servers_know_when_their_data_centre_was_taken_back():
    clock = ManualClock()
    evacuations = make_evacuations(clock)
    directory = Directory(clock, {}, evacuations)
    directory.put(make_server("a", zone="z1"))
    directory.put(make_server("b", zone="z2"))
    evacuations.merge([report("z1", True, 5)], "a")
    assert [s.id for s in directory.list_usable("s")] == ["b"]
    assert directory.get_taken_back_at("a") == -math.inf
    clock.now += 10
    evacuations.merge([report("z1", False, 6)], "a")
    clock.now += 1
    evacuations.merge([report("z1", False, 7)], "a")  # The same state, read again.
    assert directory.get_taken_back_at("a") == clock.now - 1
    assert directory.get_taken_back_at("b") == -math.inf
    assert len(directory.list_usable("s")) == 2
    assert evacuations.list_reports() == [report("z1", False, 7, age_s=1.0)]
    late = make_evacuations(clock)
    late.merge(evacuations.list_reports(), "a")
    assert late.get_taken_back_at("z1") == clock.now - 1
    clock.now += 31
    assert evacuations.list_reports() == []


# Guards against a router that copies its servers from another one and, after a cut of
# more than 30 s, never hears that an evacuation has ended.
def test_a_listing_holds_reverted_evacuations():
    source, copy = make_evacuations(ManualClock()), make_evacuations()
    clock = ManualClock()
    source.merge([report("z1", True, 5)], "a")
    listings = [Directory(clock, {}, source).make_listing()]
    source.merge([report("z1", False, 9)], "a")
    listings.append(Directory(clock, {}, source).make_listing())
    directory = Directory(clock, {}, copy)
    for listing, expected in zip(listings, (["z1"], []), strict=True):
        encoded = msgspec.json.encode(listing)
        directory.adopt(msgspec.json.decode(encoded, type=type(listing)))
        assert copy.list_evacuated() == expected


# A process that started after an evacuation was reverted, and has read the store, took
# the data centre for evacuated on the word of a router that was cut off from the store.
def test_an_outdated_report_has_no_effect_after_a_read():
    evacuations = make_evacuations()
    evacuations.note_answer(make_answer(9), is_whole=True)
    outdated = [report("z1", True, 5, age_s=60.0)]
    evacuations.merge(outdated, "a")
    assert evacuations.list_evacuated() == evacuations.list_reports() == []
    assert evacuations.get_taken_back_at("z1") == -math.inf
    assert evacuations.list_newer(outdated) == [report("z1", False, 9)]


# The worst load of the decision: data centres go to and fro while the routers see the
# store's feed with gaps, reread it at other times, and exchange reports in any order.
@given(
    st.lists(st.tuples(st.sampled_from(ZONES), st.booleans()), max_size=40),
    st.randoms(use_true_random=False),
)
def test_routers_agree_once_one_of_them_has_read_the_store(operations, random):
    routers = [make_evacuations() for _ in range(4)]
    rows, changes, stale = {}, [], []
    for number, (zone, is_evacuated) in enumerate(operations, 1):
        key = f"evacuate/{zone}"
        if is_evacuated:
            rows[key] = make_row(key, number)
        else:
            rows.pop(key, None)
        changes.append(make_row(key, number, is_removed=not is_evacuated))
        router = random.choice(routers)
        if random.random() < 0.5:
            router.note_answer(make_answer(number, *rows.values()), is_whole=True)
        else:
            since = random.randrange(len(changes))
            router.note_answer(make_answer(number, *changes[since:]), is_whole=False)
        stale += random.choice(routers).list_reports()
        random.choice(routers).merge(random.sample(stale, len(stale) // 2), "peer")
    answer = make_answer(len(operations) + 1, *rows.values())
    routers[0].note_answer(answer, is_whole=True)
    for router in routers[1:]:
        router.merge(routers[0].list_reports(include_all=True), "peer")
        router.merge(stale, "peer")
    evacuated = {key.removeprefix("evacuate/") for key in rows}
    for router in routers:
        assert set(router.list_evacuated()) == evacuated


async def start_servers(deployment, behave=echo_body):
    """Start servers of each service in two data centres; return those in z2."""
    deployment.region_by_zone = {"z1": "r1", "z2": "r1"}
    deployment.store.put("op", "config", make_configuration())
    for zone in ZONES:
        for service in ("app", "llm"):
            await deployment.start_backend(
                f"{service}-{zone}", service, behave, zone=zone
            )
    return [b for b in deployment.backends if b.zone == "z2"]


def count(backends):
    return sum(len(backend.arrivals) for backend in backends)


async def send_all(deployment, path="/look/1", n=20):
    """Send requests through all routers at once; return their statuses."""
    results = await asyncio.gather(
        *(
            deployment.send(router, path)
            for router in deployment.routers
            for _ in range(n)
        )
    )
    return {status for status, _, _ in results}


# A router without a link to the store sent requests to evacuated servers until the
# link was back.
def test_a_router_cut_off_from_the_store_learns_of_evacuations_from_others(tmp_path):
    async def run():
        async with Deployment(tmp_path) as deployment:
            evacuated = await start_servers(deployment)
            link = await deployment.open_store_link()
            cut_off = await deployment.start_router("h1", store=link.address)
            other = await deployment.start_router("h2")
            for app in (cut_off.app, other.app):
                await wait_until(lambda app=app: app.is_ready() and app.peers.by_host)
                await wait_until(lambda app=app: len(app.directory) == 4)
            link.is_cut = True
            await wait_until(lambda: cut_off.app.has_lost_store)
            async with asyncio.timeout(EVACUATE_S):
                deployment.store.put("op", "evacuate/z2", {})
                evacuations = cut_off.app.evacuations
                await wait_until(lambda: evacuations.is_evacuated("z2"))
            before = count(evacuated)
            assert await send_all(deployment) == {200}
            assert count(evacuated) == before
            # It keeps what it knows when the last router that told it has gone.
            other.app.abort()
            deployment.routers.remove(other)
            await asyncio.sleep(1.0)
            assert await send_all(deployment) == {200}
            assert count(evacuated) == before
            deployment.store.remove("op", "evacuate/z2")
            link.is_cut = False
            await wait_until(lambda: not evacuations.list_evacuated())
            assert cut_off.app.directory.get_taken_back_at("app-z2") > 0

    asyncio.run(run())


# Guards against routers that copy their servers from another one and do not follow the
# store themselves, in a fleet of which one data centre has no other routers running.
def test_evacuations_reach_all_routers_of_a_large_fleet(tmp_path):
    async def run():
        async with Deployment(tmp_path) as deployment:
            evacuated = await start_servers(deployment)
            deployment.add_rows_of_other_hosts(12)
            for number in range(4):
                await deployment.start_router(f"h{number}")
            apps = [router.app for router in deployment.routers]
            for app in apps:
                await wait_until(lambda app=app: app.is_ready())
                await wait_until(lambda app=app: len(app.directory) == 4)
            await wait_until(lambda: sum(a.is_following_store for a in apps) == 2)
            async with asyncio.timeout(EVACUATE_S):
                deployment.store.put("op", "evacuate/z2", {})
                await wait_until(
                    lambda: all(a.evacuations.is_evacuated("z2") for a in apps)
                )
            before = count(evacuated)
            await deployment.start_router("late")
            late = deployment.routers[-1].app
            await wait_until(late.is_ready)
            assert await send_all(deployment) == {200}
            assert count(evacuated) == before
            deployment.store.remove("op", "evacuate/z2")
            await wait_until(
                lambda: not any(a.evacuations.list_evacuated() for a in [*apps, late])
            )

    asyncio.run(run())


# Guards against an evacuation that interrupts streams, and against requests that go on
# or wait in the evacuated data centre.
def test_running_requests_end_there_and_new_ones_go_elsewhere(tmp_path):
    async def run():
        async with Deployment(tmp_path) as deployment:
            evacuated = await start_servers(deployment, stream_events(20, 0.05))
            router = await deployment.start_router("h1")
            await wait_until(lambda: len(router.app.directory) == 4)
            await wait_until(router.app.is_ready)
            running = asyncio.create_task(send_all(deployment, "/talk/1", 6))
            await wait_until(lambda: count(evacuated) >= 1)
            deployment.store.put("op", "evacuate/z2", {})
            await wait_until(lambda: router.app.evacuations.is_evacuated("z2"))
            before = count(evacuated)
            assert await running == {200}
            assert await send_all(deployment, "/talk/1", 3) == {200}
            assert count(evacuated) == before
            deployment.store.put("op", "evacuate/z1", {})
            await wait_until(lambda: router.app.evacuations.is_evacuated("z1"))
            sent_at = asyncio.get_running_loop().time()
            status, headers, _ = await deployment.send(router, "/talk/1")
            assert asyncio.get_running_loop().time() - sent_at < 0.5
            assert status == 503 and float(headers["retry-after"]) > 0

    asyncio.run(run())


# Guards against messages and rows that end the router's background tasks.
def test_malformed_rows_and_messages_change_nothing_else(tmp_path):
    async def run():
        async with Deployment(tmp_path) as deployment:
            await start_servers(deployment)
            router = await deployment.start_router("h1")
            await wait_until(lambda: len(router.app.directory) == 4)
            await wait_until(router.app.is_ready)
            for key in ("evacuate/", "evacuate/nowhere", "evacuate/z1/z2", "evacuate"):
                deployment.store.put("op", key, b"\xff\x00")
            peers = router.app.peers
            for data in (
                b"\x81\xa4type\xabevacuations",
                msgspec.msgpack.encode({"type": "evacuations", "reports": "z2"}),
                msgspec.msgpack.encode({"type": "evacuations", "reports": [["z2"]]}),
                msgspec.msgpack.encode(
                    EvacuationReports([report("nowhere", True, 2**60)])
                ),
            ):
                peers.datagram_received(data, ("127.0.0.1", 9))
            deployment.store.put("op", "evacuate/z2", b"\xff")
            await wait_until(lambda: router.app.evacuations.is_evacuated("z2"))
            assert router.app.evacuations.list_evacuated() == ["z2"]
            assert router.app.supervisor.n_failures == 0
            assert await send_all(deployment) == {200}

    asyncio.run(run())
