"""Directory, placement, retry budget, poison list and the log."""

from __future__ import annotations

import json
import os

import pytest

from bronzesail.model import BackendServer, Engine
from bronzesail.router.directory import RETURN_S, Directory
from bronzesail.router.log import MAX_PENDING_BYTES, Log
from bronzesail.router.placement import EJECT_AFTER, MUTE_S, Placement, Work
from bronzesail.router.poison import PoisonList, make_fingerprint
from bronzesail.router.retry_budget import RetryBudget

REGIONS = {"z1": "r1", "z2": "r1", "z3": "r2"}
ENGINE = Engine(slots=8, cache_tokens=100_000, tokens_per_event=5)


class Time:
    def __init__(self):
        self.now = 100.0

    def __call__(self):
        return self.now


def make_server(server_id, zone="z1", **changes):
    fields = {
        "id": server_id,
        "service": "s",
        "ip": "10.0.0.1",
        "port": 80,
        "zone": zone,
        "slots": 8,
        "is_draining": False,
        "cold_left_s": 0.0,
        "born_ms": 0,
    }
    return BackendServer(**{**fields, **changes})


@pytest.fixture
def time():
    return Time()


@pytest.fixture
def placement(time):
    return Placement(time, "z1", REGIONS)


def list_ids(directory):
    return sorted(server.id for server in directory.list_usable("s"))


def test_draining_and_removed_servers_get_nothing(time):
    directory = Directory(time)
    for name in ("a", "b", "c"):
        directory.put(make_server(name))
    directory.put(make_server("a", is_draining=True))
    assert directory.remove("b")
    assert list_ids(directory) == ["c"]


def test_entries_that_lapsed_with_the_store_have_time_to_return(time):
    directory = Directory(time)
    directory.put(make_server("a"))
    directory.put(make_server("b"))
    directory.note_store_back()
    assert directory.replace([]) == []
    directory.put(make_server("a"))
    assert list_ids(directory) == ["a", "b"]
    time.now += RETURN_S + 0.1
    assert directory.expire() == ["b"]
    assert list_ids(directory) == ["a"]


def test_an_entry_from_before_a_start_is_not_taken(time):
    directory = Directory(time)
    directory.put(make_server("a", born_ms=200, port=2))
    assert not directory.put(make_server("a", born_ms=100, port=1))
    assert directory.get("a").port == 2


def test_a_list_older_than_what_is_known_is_not_taken(time):
    first, second = Directory(time), Directory(time)
    for directory in (first, second):
        directory.put(make_server("a"))
        directory.put(make_server("b"))
        directory.note_version(10)
    second.remove("b")
    second.note_version(11)
    assert second.adopt(first.make_listing()) is None
    assert list_ids(second) == ["a"]
    first.note_version(12)
    assert second.adopt(first.make_listing()) == []
    assert list_ids(second) == ["a", "b"]


# A router that kept lapsed servers for a while made others take them back.
def test_a_lapsed_server_is_kept_where_it_is_known_and_taken_up_nowhere(time):
    teller, keeping, without = Directory(time), Directory(time), Directory(time)
    for directory in (teller, keeping):
        directory.put(make_server("a"))
        directory.put(make_server("b"))
    without.put(make_server("a"))
    teller.note_store_back()
    teller.remove("b")
    listing = teller.make_listing()
    assert keeping.adopt(listing) == []
    assert without.adopt(listing) == []
    assert list_ids(keeping) == ["a", "b"]
    assert list_ids(without) == ["a"]
    time.now += RETURN_S + 0.1
    assert keeping.expire() == ["b"]


# A probe that only connects declared the address reachable, and 421s went on.
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


def test_an_answer_of_an_old_address_says_nothing_of_the_new_one(time):
    directory = Directory(time)
    directory.put(make_server("a", port=81))
    assert not directory.note_replaced(make_server("a", port=80))
    assert list_ids(directory) == ["a"]


def test_the_local_server_goes_first_until_it_is_loaded(placement):
    servers = [make_server("near"), make_server("far", "z3")]
    assert placement.choose(servers, Work(), ENGINE).id == "near"
    for ticket in range(40):
        placement.note_sent("near", Work(tokens=500), ticket)
    assert placement.choose(servers, Work(), ENGINE).id == "far"


def test_a_prompt_goes_where_its_parts_have_been_read(placement):
    servers = [make_server(name) for name in ("a", "b", "c", "d")]
    work = Work(parts=(("x", 500), ("thing", 5_000), ("own", 100)), tokens=5_600)
    first = placement.choose(servers, work, ENGINE).id
    placement.note_sent(first, work, 1)
    placement.note_end(first, 1)
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
    for ticket in range(30):
        server = placement.choose(servers, work, ENGINE)
        placement.note_sent(server.id, work, ticket)
        chosen.add(server.id)
    assert len(chosen) > 1


def test_a_failing_server_is_left_alone_and_comes_back(placement, time):
    servers = [make_server("a"), make_server("b", "z3")]
    for _ in range(EJECT_AFTER):
        placement.note_failure("a")
    assert placement.choose(servers, Work(), None).id == "b"
    time.now += 10.0
    assert placement.choose(servers, Work(), None).id == "a"


def test_a_mute_server_is_left_alone(placement, time):
    servers = [make_server("a"), make_server("b", "z3")]
    placement.note_sent("a", Work(), 1)
    time.now += MUTE_S + 0.1
    assert placement.choose(servers, Work(), None).id == "b"
    placement.note_first("a", 0.0, 1)
    assert placement.choose(servers, Work(), None).id == "a"


def test_all_servers_failing_are_still_used(placement):
    servers = [make_server("a"), make_server("b")]
    for name in ("a", "b"):
        placement.note_failure(name, is_unreachable=True)
    assert placement.choose(servers, Work(), None) is not None


def test_told_loads_do_not_count_own_requests_twice(placement, time):
    for ticket in range(3):
        placement.note_sent("a", Work(), ticket)
    placement.note_told("a", 5, 0)
    assert placement.estimate_present("a", time.now) == 5
    placement.note_sent("a", Work(), 4)
    assert placement.estimate_present("a", time.now) == 6


@pytest.mark.parametrize("hosts", [1, 6, 60])
def test_repeats_of_all_hosts_stay_below_the_fleets_limit(time, hosts):
    ratio, slack, requests = 0.2, 52.0, 100
    repeats = 0
    for _ in range(hosts):
        budget = RetryBudget(time, 10.0)
        for _ in range(requests):
            budget.note_request()
        repeats += sum(budget.take(ratio, slack, hosts) for _ in range(200))
    assert repeats <= ratio * requests * hosts + slack


def test_repeats_are_allowed_again_in_the_next_window(time):
    budget = RetryBudget(time, 10.0)
    while budget.take(0.2, 52.0, 6):
        pass
    time.now += 10.1
    assert budget.take(0.2, 52.0, 6)


def test_no_slack_is_spent_while_the_number_of_routers_is_unknown(time):
    budget = RetryBudget(time, 10.0)
    assert not budget.take(0.2, 52.0, None)
    assert budget.take(0.2, 52.0, 6)


def test_crashes_count_at_all_routers(time):
    first, second = PoisonList(time), PoisonList(time)
    key = make_fingerprint(b"/a", "acme", b"body")
    first.note_crash(key)
    for host, counts in first.export("h1").items():
        second.take_others(host, counts)
    assert not second.is_poison(key)
    second.note_crash(key)
    assert second.is_poison(key)
    for host, counts in second.export("h2").items():
        if host != "h1":
            first.take_others(host, counts)
    assert first.is_poison(key)


def test_crashes_told_twice_count_once(time):
    first, second = PoisonList(time), PoisonList(time)
    key = make_fingerprint(b"/a", "acme", b"body")
    first.note_crash(key)
    for _ in range(5):
        second.take_others("h1", first.export("h1")["h1"])
    assert second.count(key) == 1


def test_a_request_that_a_server_ran_is_no_poison_whatever_others_tell(time):
    poison = PoisonList(time)
    key = make_fingerprint(b"/a", "acme", b"")
    poison.take_others("h1", {key: 2})
    assert poison.is_poison(key)
    poison.clear(key)
    poison.take_others("h2", {key: 3})
    assert not poison.is_poison(key)


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
