"""What is known of the versions of services, and the rows of streams in the store."""

from __future__ import annotations

import asyncio

import pytest

from bronzesail.model import Row
from bronzesail.router.store import StoreError
from bronzesail.router.stream_rows import N_PARTS, StreamRows
from bronzesail.router.stream_versions import (
    MAX_STREAM_AGE_S,
    StreamBeginning,
    StreamVersions,
    VersionView,
    combine_views,
)
from tests.platform_standin import wait_until
from tests.router_fakes import ManualClock, RecordingLog

LATER_S = MAX_STREAM_AGE_S + 1


@pytest.fixture
def clock():
    return ManualClock()


@pytest.fixture
def streams(clock):
    return StreamVersions(clock)


def test_a_version_is_the_only_one_after_the_longest_life_of_a_stream(clock, streams):
    streams.note_servers({"s": ["v1"]})
    assert streams.find_only_version("s") is None
    clock.now += LATER_S
    assert streams.find_only_version("s") == "v1"


def test_a_version_that_has_left_counts_while_its_streams_may_be_taken_up(
    clock, streams
):
    streams.note_servers({"s": ["v1"]})
    clock.now += LATER_S
    assert streams.note_servers({"s": ["v1", "v2"]})
    assert streams.find_only_version("s") is None
    assert streams.note_servers({"s": ["v2"]})
    clock.now += MAX_STREAM_AGE_S - 1
    assert streams.find_only_version("s") is None
    clock.now += 2
    assert streams.find_only_version("s") == "v2"


def test_a_service_without_servers_has_no_version(clock, streams):
    streams.note_servers({"s": ["v1"]})
    streams.note_servers({})
    clock.now += LATER_S
    assert streams.find_only_version("s") is None


def test_the_earlier_version_counts_until_the_service_was_observed_long_enough(
    clock, streams
):
    streams.note_earlier_version("s", "v1")
    streams.note_servers({"s": ["v1"]})
    assert streams.find_only_version("s") == "v1"
    streams.note_servers({"s": ["v2"]})
    assert streams.find_only_version("s") is None
    clock.now += LATER_S
    assert streams.find_only_version("s") == "v2"


@pytest.mark.parametrize(
    ("views", "expected"),
    [
        ([VersionView(["v1"], True), VersionView([], False)], "v1"),
        ([VersionView(["v1"], True), VersionView(["v2"], False)], None),
        ([VersionView(["v1"], False), VersionView(["v1"], False)], None),
        ([VersionView([], True)], None),
    ],
)
def test_views_of_several_routers(views, expected):
    assert combine_views(views) == expected


def test_streams_are_forgotten_after_their_longest_life(clock, streams):
    streams.note_begun("r1", "s", "v1")
    streams.merge([StreamBeginning("r2", "s", "v2", age_s=MAX_STREAM_AGE_S - 1)])
    clock.now += 2
    streams.note_begun("r3", "s", "v1")
    assert [b.request_id for b in streams.list_own("s")] == ["r1", "r3"]
    clock.now += LATER_S
    streams.note_begun("r4", "s", "v1")
    assert streams.count() == 1


class FakeStore:
    """Rows in memory; `error` makes all calls fail."""

    def __init__(self):
        self.rows = {}
        self.error = None
        self.during_call = lambda: None

    async def transact(self, checks, writes, removals=()):
        await asyncio.sleep(0)
        self.during_call()
        if self.error is not None:
            raise self.error
        assert len({k.part for k in [w.key for w in writes] + list(removals)}) == 1
        assert len({write.key for write in writes}) == len(writes)
        for write in writes:
            self.rows[write.key] = write.value
        for key in removals:
            self.rows.pop(key, None)

    async def read_row(self, table, part, key):
        for known, value in self.rows.items():
            if (known.table, known.part, known.key) == (table, part, key):
                return Row(table=table, part=part, key=key, value=value, version=1)
        return None


def make_beginnings(count, first=0):
    return [StreamBeginning(f"r{n}", "s", "v1") for n in range(first, first + count)]


async def run_for_a_while(rows, condition):
    task = asyncio.create_task(rows.run())
    await wait_until(condition)
    assert not task.done()
    task.cancel()


# A new partition ended the task that writes, and no further row was written.
def test_streams_that_begin_during_a_write_are_written_too(clock):
    async def run():
        store = FakeStore()
        rows = StreamRows(store, RecordingLog(), clock)
        rows.write(make_beginnings(1))
        more = iter(make_beginnings(10 * N_PARTS, first=1))
        store.during_call = lambda: rows.write(
            [b for b in [next(more, None)] if b is not None]
        )
        await run_for_a_while(rows, lambda: len(store.rows) == 10 * N_PARTS + 1)

    asyncio.run(run())


def test_rows_are_written_once_the_store_is_back(clock):
    async def run():
        store = FakeStore()
        log = RecordingLog()
        rows = StreamRows(store, log, clock)
        store.error = StoreError("busy")
        rows.write(make_beginnings(3))
        await run_for_a_while(rows, lambda: log.lines)
        store.error = None
        await run_for_a_while(rows, lambda: len(store.rows) == 3)
        assert await rows.find("r2") == StreamBeginning("r2", "s", "v1")
        assert await rows.find("r3") is None

    asyncio.run(run())


def test_rows_are_removed_after_the_longest_life_of_a_stream(clock):
    async def run():
        store = FakeStore()
        rows = StreamRows(store, RecordingLog(), clock)
        rows.write(make_beginnings(150))
        await run_for_a_while(rows, lambda: len(store.rows) == 150)
        clock.now += LATER_S
        rows.write(make_beginnings(1, first=150))
        await run_for_a_while(rows, lambda: len(store.rows) == 1)

    asyncio.run(run())


def test_of_several_beginnings_of_a_stream_the_last_one_is_written(clock):
    async def run():
        store = FakeStore()
        rows = StreamRows(store, RecordingLog(), clock)
        rows.write([StreamBeginning("r", "s", ""), StreamBeginning("r", "s", "v2")])
        task = asyncio.create_task(rows.run())
        await wait_until(lambda: store.rows)
        task.cancel()
        assert (await rows.find("r")).version == "v2"

    asyncio.run(run())
