"""Tests of the prefix index: lost events, eviction and restarts."""

from __future__ import annotations

from bronzesail.routing import PrefixIndex
from bronzesail.schema import CacheEvent
from bronzesail.util.prefix import hash_blocks


def make_events(first, last, kind="stored"):
    return tuple(
        CacheEvent(seq=seq, kind=kind, block=f"{seq:016x}")
        for seq in range(first, last + 1)
    )


def test_small_gap_keeps_the_blocks_and_a_large_one_drops_them():
    index = PrefixIndex(max_blocks=1000)
    assert index.apply("b1", make_events(1, 100))
    assert index.apply("b1", make_events(102, 110))
    assert index.count_blocks("b1") == 109
    assert not index.apply("b1", make_events(150, 150))
    assert index.count_blocks("b1") == 1


def test_uncertainty_of_small_gaps_accumulates():
    index = PrefixIndex(max_blocks=1000)
    index.apply("b1", make_events(1, 100))
    is_retained = [index.apply("b1", make_events(n, n)) for n in range(105, 150, 5)]
    assert is_retained.index(False) == 2


def test_index_is_bounded_and_evicts_the_least_recently_used_blocks():
    index = PrefixIndex(max_blocks=50)
    index.apply("b1", make_events(1, 500))
    assert index.count_blocks("b1") == 50
    prompt = hash_blocks(b"a" * 640)
    index.add_prompt("b1", prompt)
    assert index.count_cached("b1", prompt) == 10
    assert index.count_blocks("b1") == 50


def test_cached_prefix_ends_at_the_first_evicted_block():
    index = PrefixIndex(max_blocks=50)
    prompt = hash_blocks(b"a" * 640)
    index.add_prompt("b1", prompt)
    event = CacheEvent(seq=1, kind="evicted", block=prompt[4].hex())
    index.apply("b1", (event,))
    assert index.count_cached("b1", prompt) == 4
    assert index.count_cached("b2", prompt) == 0
    index.drop("b1")
    assert index.count_cached("b1", prompt) == 0


def test_restarted_server_has_no_blocks_and_is_read_from_the_first_event():
    index = PrefixIndex(max_blocks=50)
    assert not index.note_incarnation("b1", 7)
    index.apply("b1", make_events(1, 30))
    assert not index.note_incarnation("b1", 7)
    assert index.note_incarnation("b1", 8)
    assert index.count_blocks("b1") == 0
    assert index.find_sequence("b1") == 0
    assert index.apply("b1", make_events(1, 3))


def test_total_limit_is_divided_equally_among_servers():
    index = PrefixIndex(max_blocks=50, max_total=60)
    for host in ("b1", "b2", "b3"):
        index.apply(host, make_events(1, 100))
    index.apply("b1", make_events(101, 101))
    index.apply("b2", make_events(101, 101))
    assert [index.count_blocks(host) for host in ("b1", "b2", "b3")] == [20, 20, 20]
