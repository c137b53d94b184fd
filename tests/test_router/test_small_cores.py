"""Tests of the directory, placement, retry budget, poison list and log."""

from __future__ import annotations

import json
import os

import pytest

from bronzesail.model import Engine, StoreVersion
from bronzesail.router.directory import LAPSE_GRACE_S, Directory
from bronzesail.router.log import MAX_PENDING_BYTES, Log
from bronzesail.router.placement import (
    EJECTION_FAILURES,
    UNRESPONSIVE_S,
    Placement,
    Work,
)
from bronzesail.router.poison import (
    ENTRY_TTL_S,
    MAX_ENTRIES,
    CrashCount,
    PoisonList,
    make_fingerprint,
)
from bronzesail.router.retry_budget import RetryBudget
from tests.router_fakes import ManualClock, make_server

REGIONS = {"z1": "r1", "z2": "r1", "z3": "r2"}
ENGINE = Engine(slots=8, cache_tokens=100_000, tokens_per_event=5)


@pytest.fixture
def time():
    return ManualClock()


@pytest.fixture
def placement(time):
    return Placement(time, "z1", REGIONS)


def list_ids(directory):
    return sorted(server.id for server in directory.list_usable("s"))


def test_draining_and_removed_servers_are_not_usable(time):
    directory = Directory(time)
    for name in ("a", "b", "c"):
        directory.put(make_server(name))
    directory.put(make_server("a", is_draining=True))
    assert directory.remove("b")
    assert list_ids(directory) == ["c"]


def test_entries_expired_in_a_store_outage_have_a_grace_period(time):
    directory = Directory(time)
    directory.put(make_server("a"))
    directory.put(make_server("b"))
    directory.note_store_recovered()
    assert directory.replace([]) == []
    directory.put(make_server("a"))
    assert list_ids(directory) == ["a", "b"]
    time.now += LAPSE_GRACE_S + 0.1
    assert directory.expire() == ["b"]
    assert list_ids(directory) == ["a"]


def test_an_entry_from_before_a_restart_is_ignored_after_a_restore(time):
    directory = Directory(time)
    directory.put(make_server("a", born_ms=200, port=2))
    directory.note_store_restored()
    assert not directory.put(make_server("a", born_ms=100, port=1))
    assert directory.get("a").port == 2


# Guards against a server that started again on a host whose clock is behind: the entry
# of its new life was ignored, its leaving (DRAIN) and its version (ORDER) as well.
def test_an_entry_with_an_earlier_start_is_believed_in_the_order_of_the_store(time):
    directory = Directory(time)
    first = make_server("a", born_ms=200)
    directory.put(first)
    directory.note_leaving(first)
    second = make_server("a", born_ms=100, version="v2")
    assert directory.put(second)
    assert directory.list_usable("s") == [second]
    assert not directory.merge_leaving({"a": 200})  # Of the first life, from a peer.
    assert directory.list_usable("s") == [second]
    assert directory.put(make_server("a", born_ms=100, version="v2", is_draining=True))
    assert directory.list_usable("s") == []


def test_a_listing_older_than_the_directory_is_ignored(time):
    first, second = Directory(time), Directory(time)
    for directory in (first, second):
        directory.put(make_server("a"))
        directory.put(make_server("b"))
        directory.note_version(StoreVersion(0, 10))
    second.remove("b")
    second.note_version(StoreVersion(0, 11))
    assert second.adopt(first.make_listing()) is None
    assert list_ids(second) == ["a"]
    first.note_version(StoreVersion(0, 12))
    assert second.adopt(first.make_listing()) == []
    assert list_ids(second) == ["a", "b"]


# A listing that contained servers within their grace period made other routers add
# servers that they had removed already.
def test_a_server_in_its_grace_period_is_kept_but_not_added(time):
    sender, with_server, without_server = (
        Directory(time),
        Directory(time),
        Directory(time),
    )
    for directory in (sender, with_server):
        directory.put(make_server("a"))
        directory.put(make_server("b"))
    without_server.put(make_server("a"))
    sender.note_store_recovered()
    sender.remove("b")
    listing = sender.make_listing()
    assert with_server.adopt(listing) == []
    assert without_server.adopt(listing) == []
    assert list_ids(with_server) == ["a", "b"]
    assert list_ids(without_server) == ["a"]
    time.now += LAPSE_GRACE_S + 0.1
    assert with_server.expire() == ["b"]


# A probe that only connects marked the address as reachable again, so that further
# requests were sent there and answered with 421.
def test_a_replaced_server_is_not_used_until_its_entry_changes(time):
    directory = Directory(time)
    for name in ("a", "b"):
        directory.put(make_server(name))
    assert directory.note_replaced(make_server("a"))
    assert not directory.note_replaced(make_server("a"))
    directory.put(make_server("a"))
    assert list_ids(directory) == ["b"]
    directory.put(make_server("a", port=81))
    assert list_ids(directory) == ["a", "b"]


def test_an_answer_from_an_old_address_does_not_affect_the_new_one(time):
    directory = Directory(time)
    directory.put(make_server("a", port=81))
    assert not directory.note_replaced(make_server("a", port=80))
    assert list_ids(directory) == ["a"]


def test_the_local_server_goes_first_until_it_is_loaded(placement):
    servers = [make_server("near"), make_server("far", "z3")]
    assert placement.choose(servers, Work(), ENGINE).id == "near"
    for send_id in range(40):
        placement.note_sent("near", Work(tokens=500), send_id)
    assert placement.choose(servers, Work(), ENGINE).id == "far"


def test_a_prompt_goes_where_its_parts_are_cached(placement):
    servers = [make_server(name) for name in ("a", "b", "c", "d")]
    work = Work(parts=(("x", 500), ("thing", 5_000), ("own", 100)), tokens=5_600)
    first = placement.choose(servers, work, ENGINE).id
    placement.note_sent(first, work, 1)
    placement.note_request_ended(first, 1)
    other = Work(parts=(("x", 500), ("thing", 5_000), ("else", 90)), tokens=5_590)
    assert placement.choose(servers, other, ENGINE).id == first


def test_all_routers_send_equal_parts_to_one_server(time):
    servers = [make_server(name) for name in ("a", "b", "c", "d")]
    work = Work(parts=(("x", 500), ("thing", 5_000), ("own", 100)), tokens=5_600)
    chosen = {
        Placement(time, "z1", REGIONS).choose(servers, work, ENGINE).id
        for _ in range(5)
    }
    assert len(chosen) == 1


def test_a_hot_prompt_spreads_once_its_server_is_full(placement):
    servers = [make_server(name) for name in ("a", "b", "c", "d")]
    work = Work(parts=(("x", 500), ("thing", 5_000), ("own", 100)), tokens=5_600)
    chosen = set()
    for send_id in range(30):
        server = placement.choose(servers, work, ENGINE)
        placement.note_sent(server.id, work, send_id)
        chosen.add(server.id)
    assert len(chosen) > 1


def test_a_failing_server_is_ejected_and_tried_again(placement, time):
    servers = [make_server("a"), make_server("b", "z3")]
    for _ in range(EJECTION_FAILURES):
        placement.note_failure("a")
    assert placement.choose(servers, Work(), None).id == "b"
    time.now += 10.0
    assert placement.choose(servers, Work(), None).id == "a"


def test_an_unresponsive_server_is_avoided(placement, time):
    servers = [make_server("a"), make_server("b", "z3")]
    placement.note_sent("a", Work(), 1)
    time.now += UNRESPONSIVE_S + 0.1
    assert placement.choose(servers, Work(), None).id == "b"
    placement.note_response_started("a", 0.0, 1)
    assert placement.choose(servers, Work(), None).id == "a"


def test_all_servers_failing_are_still_used(placement):
    servers = [make_server("a"), make_server("b")]
    for name in ("a", "b"):
        placement.note_failure(name, is_unreachable=True)
    assert placement.choose(servers, Work(), None) is not None


def test_reported_loads_do_not_count_own_requests_twice(placement, time):
    for send_id in range(3):
        placement.note_sent("a", Work(), send_id)
    placement.note_load_report("a", 5, 0)
    assert placement.estimate_requests("a", time.now) == 5
    placement.note_sent("a", Work(), 4)
    assert placement.estimate_requests("a", time.now) == 6


@pytest.mark.parametrize("hosts", [1, 6, 60])
def test_retries_of_all_hosts_stay_below_the_fleets_limit(time, hosts):
    ratio, slack, requests = 0.2, 52.0, 100
    retries = 0
    for _ in range(hosts):
        budget = RetryBudget(time, 10.0)
        for _ in range(requests):
            budget.note_request()
        retries += sum(budget.try_acquire(ratio, slack, hosts) for _ in range(200))
    assert retries <= ratio * requests * hosts + slack


def test_retries_are_allowed_again_in_the_next_window(time):
    budget = RetryBudget(time, 10.0)
    while budget.try_acquire(0.2, 52.0, 6):
        pass
    time.now += 10.1
    assert budget.try_acquire(0.2, 52.0, 6)


def test_no_slack_is_spent_while_the_number_of_routers_is_unknown(time):
    budget = RetryBudget(time, 10.0)
    assert not budget.try_acquire(0.2, 52.0, None)
    assert budget.try_acquire(0.2, 52.0, 6)


def test_crashes_count_at_all_routers(time):
    first, second = PoisonList(time, "p1"), PoisonList(time, "p2")
    key = make_fingerprint(b"/a", "acme", b"body")
    first.note_crash(key)
    second.merge(first.export())
    assert not second.is_poison(key)
    second.note_crash(key)
    assert second.is_poison(key)
    first.merge(second.export())
    assert first.is_poison(key)


def test_crashes_reported_twice_count_once(time):
    first, second = PoisonList(time, "p1"), PoisonList(time, "p2")
    key = make_fingerprint(b"/a", "acme", b"body")
    first.note_crash(key)
    for _ in range(5):
        second.merge(first.export())
    assert second.count(key) == 1


# A restarted process began to count at 0 under the name of its host, and the other
# routers ignored its counts up to those of the process before.
def test_crashes_add_up_over_the_processes_of_a_host(time):
    before, after, other = (PoisonList(time, name) for name in ("p1", "p2", "p3"))
    key = make_fingerprint(b"/a", "acme", b"body")
    before.note_crash(key)
    other.merge(before.export())
    after.note_crash(key)
    other.merge(after.export())
    assert other.count(key) == 2


def test_a_request_that_succeeded_is_no_poison_despite_other_counts(time):
    poison = PoisonList(time, "p0")
    key = make_fingerprint(b"/a", "acme", b"")
    poison.merge([CrashCount("p1", key, 2, 0.0)])
    assert poison.is_poison(key)
    poison.clear(key)
    poison.merge([CrashCount("p2", key, 3, 0.0)])
    assert not poison.is_poison(key)


# A router that heard of a count late kept it longer, and the others took it for new.
def test_a_count_that_arrived_late_expires_with_those_of_the_others(time):
    first, late, third = (PoisonList(time, f"p{number}") for number in range(3))
    key = make_fingerprint(b"/a", "acme", b"")
    first.note_crash(key)
    first.note_crash(key)
    third.merge(first.export())
    time.now += ENTRY_TTL_S / 2
    late.merge(first.export())
    assert late.is_poison(key)
    time.now += ENTRY_TTL_S / 2 + 1
    third.merge(late.export())
    assert not third.is_poison(key)
    assert not late.is_poison(key)


def test_equal_counts_have_equal_digests_in_any_order(time):
    first, second = PoisonList(time, "p1"), PoisonList(time, "p2")
    keys = [make_fingerprint(b"/a", "acme", b"%d" % number) for number in range(5)]
    for key in keys:
        first.note_crash(key)
        time.now += 0.1
    second.merge(reversed(first.export()))
    assert second.digest == first.digest != 0
    second.note_crash(keys[0])
    assert second.digest != first.digest
    time.now += 2 * ENTRY_TTL_S
    first.export()
    assert first.digest == 0


def test_the_number_of_counts_is_bounded(time):
    poison = PoisonList(time, "p1")
    for number in range(MAX_ENTRIES + 10):
        poison.note_crash(f"{number}")
    assert len(poison.export()) == MAX_ENTRIES
    assert poison.count("0") == 0
    assert poison.count(f"{MAX_ENTRIES + 9}") == 1


def test_other_requests_have_other_fingerprints():
    keys = {
        make_fingerprint(target, account, body)
        for target in (b"/a", b"/ab")
        for account in ("a", "b", "")
        for body in (b"", b"a", b"b")
    }
    assert len(keys) == 18


def test_a_log_whose_reader_has_stopped_neither_blocks_nor_grows():
    reading, writing = os.pipe()
    os.set_blocking(writing, False)
    log = Log("h1", writing)
    for number in range(30_000):
        log.write("test: line", number=number, text="x" * 50)
    assert log.dropped > 0
    assert log._pending_bytes < 2 * MAX_PENDING_BYTES
    os.set_blocking(reading, False)
    while True:
        try:
            os.read(reading, 1 << 20)
        except BlockingIOError:
            break
        log.flush()
    log.write("test: last")
    log.flush()
    text = os.read(reading, 1 << 20).decode()
    assert json.loads(text.splitlines()[-1])["message"] == "test: last"
    os.close(reading)
    os.close(writing)
