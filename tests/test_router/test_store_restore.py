"""The store comes back from an older copy, and gives out versions again."""

from __future__ import annotations

import asyncio

import pytest

from bronzesail.model import StoreVersion
from bronzesail.platform import AnswerHeadReader
from bronzesail.router.budget_rows import make_part, parse_part
from bronzesail.router.carryover import EraCopy, compute_carryover, list_unreported
from bronzesail.router.directory import LAPSE_GRACE_S, Directory
from bronzesail.router.store import EraChangedError
from bronzesail.router.store_era import StoreEra
from tests.platform_standin import (
    Deployment,
    echo_body,
    make_configuration,
    stream_events,
    wait_until,
)
from tests.router_fakes import ManualClock, RecordingLog, make_server

PREPAID = 1_000
BORN_MS = 1_700_000_000_000


@pytest.mark.parametrize(
    ("values", "era", "is_malformed"),
    [
        ([], None, False),
        ([b"0"], 0, False),
        ([b" 7 "], 7, False),
        ([b"7", b"7"], 7, False),
        ([b"7", b"8"], None, True),
        ([b""], None, True),
        ([b"-1"], None, True),
        ([b"1.5"], None, True),
        ([b"many"], None, True),
        ([b"9" * 5000], None, True),
        (["²".encode("latin-1")], None, True),
    ],
)
@pytest.mark.parametrize("status", [200, 410, 503])
def test_the_era_is_read_from_every_answer(status, values, era, is_malformed):
    reader = AnswerHeadReader()
    for value in values:
        reader.add(b"Store-Era", value)
    head = reader.finish(status)
    assert head.store_era == era
    assert head.malformed == (("Store-Era",) if is_malformed else ())


def test_an_era_never_goes_back():
    log = RecordingLog()
    era, seen = StoreEra(log), []
    era.subscribe(seen.append)
    assert era.observe(3, "store")
    assert era.observe(3, "store")
    assert era.observe(5, "h2")
    assert not era.observe(4, "store")
    assert era.current == 5
    assert seen == [3, 5]
    assert era.n_restores == 1
    assert [message for message, _ in log.lines] == [
        "store: restored from an older copy",
        "store: report of an earlier era ignored",
    ]


def test_a_later_era_is_newer_whatever_its_number():
    assert StoreVersion(2, 1) > StoreVersion(1, 1000)
    assert StoreVersion(2, 1) < StoreVersion(2, 2)


def test_each_era_has_a_partition_of_its_own():
    parts = [make_part(era) for era in range(12)]
    assert len(set(parts)) == 12
    assert [parse_part(part) for part in parts] == list(range(12))
    assert parse_part("others.1") is None
    assert parse_part("budget.x") is None


# What earlier eras leave spent; account "a", and 100 tokens that a process may take
# while a copy is behind.


def compute(copies, reports):
    return compute_carryover(copies, reports, {"a": 100}).most.get("a", 0)


def test_a_report_replaces_what_the_copy_has_of_a_process():
    copy = EraCopy(
        granted={"a": 50}, by_process={"p": {"a": 30}, "q": {"a": 20}}, reports={}
    )
    assert compute([copy], {}) == 250
    assert list_unreported([copy], {}) == {"p", "q"}
    assert compute([copy], {"p": {"a": 45}}) == 165
    assert compute([copy], {"p": {"a": 45}, "q": {"a": 5}}) == 50
    assert list_unreported([copy], {"p": {"a": 45}, "q": {"a": 5}}) == set()


def test_grants_of_processes_that_have_ended_stay_spent():
    copy = EraCopy(granted={"a": 50}, by_process={"p": {"a": 20}}, reports={})
    assert compute([copy], {"p": {"a": 20}}) == 50


def test_a_process_that_no_copy_shows_counts_by_its_report():
    copy = EraCopy(granted={}, by_process={}, reports={})
    assert compute([copy], {"p": {"a": 40}}) == 40


def test_reports_of_earlier_eras_replace_the_copies_before_them():
    copies = [
        EraCopy(granted={"a": 50}, by_process={"p": {"a": 30}}, reports={}),
        EraCopy(
            granted={"a": 10},
            by_process={"p": {"a": 10}},
            reports={"p": {"a": 45}},
        ),
    ]
    # 20 of others, 45 reported, 10 since, and what the last copy may lack.
    assert compute(copies, {}) == 20 + 45 + 10 + 100
    assert compute(copies, {"p": {"a": 60}}) == 20 + 60


def test_a_process_that_ended_after_its_report_took_nothing_more():
    copies = [
        EraCopy(granted={"a": 50}, by_process={"p": {"a": 30}}, reports={}),
        EraCopy(granted={"a": -5}, by_process={}, reports={"p": {"a": 45}}),
    ]
    assert compute(copies, {}) == 20 + 45 - 5
    assert list_unreported(copies, {}) == set()


# The directory after a restore.


@pytest.fixture
def clock():
    return ManualClock()


def test_a_removed_server_does_not_come_back_with_the_copy(clock):
    directory = Directory(clock)
    server = make_server("a", born_ms=BORN_MS)
    directory.put(server)
    directory.put(make_server("b"))
    assert directory.remove("a")
    directory.note_store_restored()
    directory.replace([server, make_server("b")])
    assert directory.list_ids() == ["b"]
    # Its own write in the new era, or a later life, is believed.
    assert directory.put(server)
    assert directory.list_ids() == ["b", "a"]


def test_a_server_that_is_missing_in_the_copy_has_time_to_write_again(clock):
    directory = Directory(clock)
    directory.put(make_server("a"))
    directory.put(make_server("b"))
    directory.note_store_restored()
    assert directory.replace([make_server("a")]) == []
    assert directory.list_ids() == ["a", "b"]
    clock.now += LAPSE_GRACE_S + 0.1
    assert directory.expire() == ["b"]


def test_a_draining_server_is_not_ready_again_by_an_older_entry(clock):
    directory = Directory(clock)
    directory.put(make_server("a", born_ms=BORN_MS))
    directory.put(make_server("a", born_ms=BORN_MS, is_draining=True))
    directory.note_store_restored()
    directory.replace([make_server("a", born_ms=BORN_MS)])
    assert directory.list_usable("s") == []
    directory.put(make_server("a", born_ms=BORN_MS + 1))
    assert len(directory.list_usable("s")) == 1


# Whole routers.


def run_deployment(tmp_path, scenario, era=1):
    async def run():
        async with Deployment(tmp_path) as deployment:
            deployment.store.era = era
            deployment.store.put("op", "config", make_configuration(prepaid=PREPAID))
            await deployment.start_backend("p1", "app", echo_body)
            await deployment.start_backend("e1", "llm", stream_events(2))
            await scenario(deployment)

    asyncio.run(run())


async def start_ready(deployment, *names, **options):
    routers = [await deployment.start_router(name, **options) for name in names]
    await wait_until(lambda: all(router.app.is_ready() for router in routers))
    return routers


# Changes were skipped until the store's counter had passed its value before the
# restore.
def test_changes_are_seen_although_versions_are_given_out_again(tmp_path):
    async def scenario(deployment):
        store = deployment.store
        (router,) = await start_ready(deployment, "h1")
        copy = store.copy()
        for number in range(500):
            store.put("servers", "other", {"sequence": number})
        await wait_until(lambda: router.app.directory.store_version.number > 400)
        store.restore(copy)
        await wait_until(lambda: router.app.era.current == 2)
        store.remove("servers", "p1")
        store.put("op", "config", make_configuration(version=2))
        await wait_until(lambda: router.app.directory.list_ids() == ["e1"])
        await wait_until(lambda: router.app.configuration.version == 2)
        assert store.version < 400
        assert router.app.era.n_restores == 1

    run_deployment(tmp_path, scenario)


def test_a_configuration_in_force_stays_although_the_copy_has_an_older_one(tmp_path):
    async def scenario(deployment):
        store = deployment.store
        (router,) = await start_ready(deployment, "h1")
        copy = store.copy()
        store.put("op", "config", make_configuration(version=2))
        await wait_until(lambda: router.app.configuration.version == 2)
        store.restore(copy)
        await wait_until(lambda: router.app.directory.store_version.era == 2)
        await wait_until(lambda: router.app.configuration.store_version.era == 2)
        assert router.app.configuration.version == 2

    run_deployment(tmp_path, scenario)


def test_a_router_that_is_cut_off_learns_of_the_restore_from_another(tmp_path):
    async def scenario(deployment):
        link = await deployment.open_store_link()
        (cut,) = await start_ready(deployment, "h1", store=link.address)
        (other,) = await start_ready(deployment, "h2")
        await wait_until(lambda: "h1" in other.app.peers.by_host)
        link.is_cut = True
        deployment.store.restore(deployment.store.copy())
        await wait_until(lambda: cut.app.era.current == 2)
        assert cut.app.book.era == 2

    run_deployment(tmp_path, scenario)


async def spend_all(deployment, routers, tokens):
    """Send requests of 100 tokens to all routers in turn; return how many succeeded."""
    n_served = 0
    for number in range(tokens):
        router = routers[number % len(routers)]
        status, _, _ = await deployment.send(
            router, f"/chat/{number}", b"x", X_Token_Counts="90,10"
        )
        n_served += status == 200
    return n_served


# The accounts' rows fell back behind the tokens that routers held.
@pytest.mark.parametrize("n_routers", [1, 3])
def test_an_account_is_not_overspent_after_a_restore(tmp_path, n_routers):
    async def scenario(deployment):
        store = deployment.store
        names = [f"h{number}" for number in range(n_routers)]
        routers = await start_ready(deployment, *names, restore_depth_s=0.2)
        await wait_until(lambda: len(store.find("holders", make_part(1))) == n_routers)
        copy = store.copy()
        await wait_until(lambda: all(r.app.book.count_free() > 0 for r in routers))
        n_served = await spend_all(deployment, routers, 6)
        assert n_served
        store.restore(copy)
        await wait_until(lambda: all(r.app.book.era == 2 for r in routers))
        await wait_until(
            lambda: len(store.find("reports", make_part(2))) == len(routers)
        )
        n_served += await spend_all(deployment, routers, 12)
        assert n_served * 100 <= PREPAID
        assert n_served > 6  # They serve out of what they hold.

    run_deployment(tmp_path, scenario)


def test_a_router_starts_in_a_later_era_with_what_earlier_ones_have_granted(tmp_path):
    async def scenario(deployment):
        store = deployment.store
        routers = await start_ready(deployment, "h1")
        await wait_until(lambda: store.find("accounts", make_part(1)))
        await spend_all(deployment, routers, 4)
        store.restore(store.copy())
        await wait_until(lambda: store.find("reports", make_part(2)))
        (second,) = await start_ready(deployment, "h2")
        await wait_until(lambda: second.app.book.carryover is not None)
        reported = store.find("reports", make_part(2))
        granted = sum(row["granted"]["acme"] for row in reported.values())
        assert second.app.book.carryover.most == {"acme": granted}

    run_deployment(tmp_path, scenario)


def test_a_store_without_eras_is_served_as_before(tmp_path):
    async def scenario(deployment):
        routers = await start_ready(deployment, "h1")
        await wait_until(lambda: deployment.store.find("accounts", "budget"))
        assert await spend_all(deployment, routers, 3) == 3

    run_deployment(tmp_path, scenario, era=0)


# A router that learns of the restore from another one has versions of the earlier era
# when it reaches the store again.
def test_a_watch_does_not_go_on_from_a_version_of_an_earlier_era(tmp_path):
    async def scenario(deployment):
        (router,) = await start_ready(deployment, "h1")
        store = router.app.store
        since = StoreVersion(1, deployment.store.version)
        assert (await store.watch("servers", since, 0.0)).rows == []
        router.app.era._listeners.clear()
        router.app.era.observe(2, "h2")
        deployment.store.era = 2
        with pytest.raises(EraChangedError):
            await store.watch("servers", since, 0.0)

    run_deployment(tmp_path, scenario)


def test_the_rows_of_a_stopped_process_are_replaced_by_its_successor(tmp_path):
    async def scenario(deployment):
        (first,) = await start_ready(deployment, "h1", restore_depth_s=0.2)
        await wait_until(lambda: first.app.book.count_acquirable("acme") > 0)
        await first.stop()
        (left,) = deployment.store.find("holders", make_part(1))
        (second,) = await start_ready(deployment, "h1", restore_depth_s=1000.0)
        await wait_until(lambda: second.app.book._ended)
        assert left not in deployment.store.find("holders", make_part(1))
        await wait_until(lambda: second.app.book.carryover is not None)
        assert second.app.book.count_available("acme") > 0
        # It does not inherit more than the time for which the row has stood.
        assert second.app.book.count_acquirable("acme") == 0
        assert second.app.book._first_row_at < second.app._started_at
        deployment.store.restore(deployment.store.copy())
        await wait_until(lambda: deployment.store.find("reports", make_part(2)))
        (report,) = deployment.store.find("reports", make_part(2)).values()
        assert list(report["ended"]) == [left]

    run_deployment(tmp_path, scenario)
