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
from tests.platform_standin import make_configuration, play, stream_events, wait_until
from tests.router_fakes import ManualClock, RecordingLog, make_server

ZONES = {"z1": "r1", "z2": "r1"}
EVACUATE_S = 5.0  # Default of `evacuateMs`.


def make_evacuations(clock=None, log=None):
    return Evacuations(clock or ManualClock(), ZONES, log or RecordingLog())


def row(zone, number, *, is_removed=False):
    key = f"evacuate/{zone}"
    fields = {"table": "op", "part": "", "key": key, "value": b"\xff"}
    return Row(**fields, version=number, is_removed=is_removed)


def answer(number, *rows, era=0):
    version = StoreVersion(era, number)
    return RowsAnswer(rows=list(rows), has_more=False, version=version, clock_s=0.0)


def report(zone, is_evacuated, number, era=0, age_s=None):
    return EvacuationReport(zone, is_evacuated, StoreVersion(era, number), age_s)


# Guards against a late report of an earlier state that undoes a later one. A process
# that had read the store after an evacuation was reverted took the data centre for
# evacuated on the word of a router that was cut off from the store.
def test_the_newest_version_holds_in_any_order():
    evacuations = make_evacuations()
    evacuations.note_answer(answer(4), is_whole=True)
    outdated = [report("z1", True, 3, age_s=60.0)]
    evacuations.merge(outdated, "a")
    assert evacuations.list_evacuated() == evacuations.list_reports() == []
    assert evacuations.get_taken_back_at("z1") == -math.inf
    assert evacuations.list_newer(outdated) == [report("z1", False, 4)]
    evacuations.merge([report("z1", True, 5)], "a")
    evacuations.merge([report("z1", False, 9)], "b")
    evacuations.merge([report("z1", True, 5)], "c")
    assert evacuations.list_evacuated() == []
    evacuations.merge([report("z1", True, 2, era=1)], "d")
    evacuations.merge([report("z1", False, 99)], "e")
    assert evacuations.list_evacuated() == ["z1"]


# Guards against a removal that the feed reports without its version, and against an
# evacuation that stays in effect, or ends too early, after a restore of the store.
def test_rows_of_the_feed_and_of_a_whole_read():
    evacuations = make_evacuations()
    removal = row("z1", 0, is_removed=True)
    changes = answer(8, row("z1", 3), removal, row("z1", 6))
    evacuations.note_answer(changes, is_whole=False)
    assert evacuations.is_evacuated("z1")
    evacuations.note_answer(answer(9, row("z1", 7), removal), is_whole=False)
    assert not evacuations.is_evacuated("z1")
    rows = answer(19, row("z1", 15), row("z2", 16))
    evacuations.note_answer(rows, is_whole=True)
    evacuations.note_answer(answer(14), is_whole=True)  # An earlier state.
    evacuations.note_answer(answer(22), is_whole=False)
    assert evacuations.list_evacuated() == ["z1", "z2"]
    evacuations.note_answer(answer(2, row("z2", 1), era=1), is_whole=True)
    assert evacuations.list_evacuated() == ["z2"]


# Guards against unknown names that are logged with each repetition, or kept.
def test_an_unknown_data_centre_is_logged_once_and_ignored():
    log = RecordingLog()
    evacuations = make_evacuations(log=log)
    for name in ("nowhere", "", "z1/x", "nowhere"):
        evacuations.note_answer(answer(5, row(name, 5)), is_whole=True)
    assert len(log.lines) == 3
    evacuations.merge([report(f"n{i}", True, 9) for i in range(10_000)], "a")
    assert len(log.lines) == 100 and evacuations.list_reports() == []


# Guards against servers that count as cold again with each report of the same state,
# or never at a router that starts later, and against a router that copies its servers
# from another one and never hears that an evacuation has ended.
def test_servers_know_when_their_data_centre_was_taken_back():
    clock = ManualClock()
    evacuations, late = make_evacuations(clock), make_evacuations(clock)
    directory, copy = Directory(clock, {}, evacuations), Directory(clock, {}, late)
    for zone in ZONES:
        directory.put(make_server(zone, zone=zone))
    evacuations.merge([report("z1", True, 5)], "a")
    copy.adopt(directory.make_listing())
    assert [s.id for s in copy.list_usable("s")] == ["z2"]
    assert directory.get_taken_back_at("z1") == -math.inf
    evacuations.merge([report("z1", False, 6)], "a")
    clock.now += 31
    evacuations.merge([report("z1", False, 7)], "a")  # The same state, read again.
    assert evacuations.list_reports() == []
    encoded = msgspec.json.encode(directory.make_listing())
    copy.adopt(msgspec.json.decode(encoded, type=type(directory.make_listing())))
    for known in (directory, copy):
        assert known.get_taken_back_at("z1") == clock.now - 31
        assert known.get_taken_back_at("z2") == -math.inf
        assert len(known.list_usable("s")) == 2


# The worst load of the decision: data centres go to and fro while the routers see the
# store's feed with gaps, reread it at other times, and exchange reports in any order.
@given(
    st.lists(st.tuples(st.sampled_from(sorted(ZONES)), st.booleans()), max_size=40),
    st.randoms(use_true_random=False),
)
def test_routers_agree_once_one_of_them_has_read_the_store(operations, random):
    routers = [make_evacuations() for _ in range(4)]
    rows, changes, stale = {}, [], []
    for number, (zone, is_evacuated) in enumerate(operations, 1):
        rows.pop(zone, None)
        if is_evacuated:
            rows[zone] = row(zone, number)
        changes.append(row(zone, number, is_removed=not is_evacuated))
        is_whole = random.random() < 0.5
        since = random.randrange(len(changes))
        seen = rows.values() if is_whole else changes[since:]
        random.choice(routers).note_answer(answer(number, *seen), is_whole=is_whole)
        stale += random.choice(routers).list_reports()
        random.choice(routers).merge(random.sample(stale, len(stale) // 2), "peer")
    last = answer(len(operations) + 1, *rows.values())
    routers[0].note_answer(last, is_whole=True)
    for router in routers:
        router.merge(routers[0].list_reports(include_all=True), "peer")
        router.merge(stale, "peer")
        assert set(router.list_evacuated()) == set(rows)


async def send_all(deployment, n=3):
    """Send requests through all routers at once; return their statuses."""
    sends = [deployment.send(r, "/talk/1") for r in deployment.routers * n]
    return {status for status, _, _ in await asyncio.gather(*sends)}


async def evacuate(deployment, zone, routers):
    """Evacuate a data centre and wait until the routers know."""
    async with asyncio.timeout(EVACUATE_S):
        deployment.store.put("op", f"evacuate/{zone}", b"\xff")
        for router in routers:
            known = router.app.evacuations
            await wait_until(lambda known=known: known.is_evacuated(zone))


# A router without a link to the store sent requests to evacuated servers until the
# link was back. Guards against malformed rows and messages that end its tasks, too.
def test_a_router_cut_off_from_the_store_learns_of_evacuations_from_others(tmp_path):
    async def scenario(deployment):
        await deployment.start_zones(make_configuration(), stream_events(3), ZONES)
        link = await deployment.open_store_link()
        cut_off = await deployment.start_ready_router("h1", store=link.address)
        other = await deployment.start_ready_router("h2")
        await wait_until(lambda: cut_off.app.peers.by_host and other.app.peers.by_host)
        for key in ("evacuate/", "evacuate/nowhere", "evacuate/z1/z2", "evacuate"):
            deployment.store.put("op", key, b"\xff\x00")
        link.is_cut = True
        await wait_until(lambda: cut_off.app.has_lost_store)
        for message in (
            {"type": "evacuations"},
            {"type": "evacuations", "reports": "z2"},
            {"type": "evacuations", "reports": [["z2"]]},
            EvacuationReports([report("nowhere", True, 2**60)]),
        ):
            encoded = msgspec.msgpack.encode(message)
            cut_off.app.peers.datagram_received(encoded, ("127.0.0.1", 9))
        await evacuate(deployment, "z2", [cut_off])
        before = deployment.count_arrivals("z2")
        assert await send_all(deployment) == {200}
        # It keeps what it knows when the router that told it has gone.
        other.app.abort()
        deployment.routers.remove(other)
        await asyncio.sleep(1.0)
        assert await send_all(deployment) == {200}
        assert deployment.count_arrivals("z2") == before
        deployment.store.remove("op", "evacuate/z2")
        link.is_cut = False
        await wait_until(lambda: not cut_off.app.evacuations.list_evacuated())
        assert cut_off.app.directory.get_taken_back_at("app-z2") > 0
        assert cut_off.app.supervisor.n_failures == 0

    play(tmp_path, scenario)


# Guards against routers of a large fleet that do not follow the store themselves, an
# evacuation that interrupts streams, and requests that are held or go on there.
def test_an_evacuation_of_a_large_fleet(tmp_path):
    async def scenario(deployment):
        behave = stream_events(20, 0.05)
        await deployment.start_zones(make_configuration(), behave, ZONES)
        deployment.add_rows_of_other_hosts(12)
        routers = [await deployment.start_ready_router(f"h{n}") for n in range(4)]
        await wait_until(lambda: sum(r.app.is_following_store for r in routers) == 2)
        running = asyncio.create_task(send_all(deployment))
        await wait_until(lambda: deployment.count_arrivals("z2") >= 1)
        await evacuate(deployment, "z2", routers)
        before = deployment.count_arrivals("z2")
        assert await running == {200}
        routers.append(await deployment.start_ready_router("late"))
        assert await send_all(deployment) == {200}
        assert deployment.count_arrivals("z2") == before
        await evacuate(deployment, "z1", routers)
        async with asyncio.timeout(0.5):
            status, headers, _ = await deployment.send(routers[-1], "/talk/1")
        assert status == 503 and float(headers["retry-after"]) > 0

    play(tmp_path, scenario)
