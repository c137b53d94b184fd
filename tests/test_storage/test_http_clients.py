"""Tests of the platform clients against the stand-ins, faults included."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

import hypothesis.strategies as st
import pytest
from hypothesis import given

from bronzesail.http import HttpClient
from bronzesail.schema import (
    HostEntry,
    RowCheck,
    RowWrite,
    ScanRequest,
    TransactRequest,
)
from bronzesail.standin import HostListStandin, LinkPath, LinkStandin, TableStandin
from bronzesail.storage import (
    HttpHostDirectory,
    HttpObjectStore,
    HttpTable,
    OutcomeUnknownError,
    ThrottledError,
    UnreachableError,
)

Scenario = Callable[[TableStandin, HttpTable], Awaitable[None]]


def run_with_table(scenario: Scenario) -> None:
    async def run() -> None:
        standin = TableStandin()
        await standin.start()
        client = HttpClient()
        try:
            await scenario(standin, HttpTable(standin.address, client, "test"))
        finally:
            client.close()
            await standin.stop()

    asyncio.run(run())


def test_transaction_is_all_or_nothing() -> None:
    async def scenario(standin: TableStandin, table: HttpTable) -> None:
        assert (await table.transact((RowWrite("a", 0, b"1"),))).is_committed
        writes = (RowWrite("b", 0, b"2"), RowWrite("a", 0, b"3"))
        reply = await table.transact(writes, (RowCheck("c", 4),))
        assert not reply.is_committed
        assert [(row.key, row.version) for row in reply.conflicts] == [
            ("a", 1),
            ("c", 0),
        ]
        assert list(standin.dump()) == ["a"]
        assert [row.version for row in await table.read(("b", "a"))] == [0, 1]

    run_with_table(scenario)


def test_lost_answer_is_unknown_and_took_effect() -> None:
    async def scenario(standin: TableStandin, table: HttpTable) -> None:
        standin.faults.loses_next_answers = 1
        with pytest.raises(OutcomeUnknownError):
            await table.transact((RowWrite("a", 0, b"1"),))
        (row,) = await table.read(("a",))
        assert (row.version, row.value) == (1, b"1")

    run_with_table(scenario)


def test_throttled_write_took_no_effect() -> None:
    async def scenario(standin: TableStandin, table: HttpTable) -> None:
        standin.faults.writes_per_s = 1.0
        await table.transact((RowWrite("a", 0, b"1"),))
        with pytest.raises(ThrottledError):
            await table.transact((RowWrite("b", 0, b"1"),))
        assert list(standin.dump()) == ["a"]

    run_with_table(scenario)


def test_outage_is_unknown_and_a_closed_port_is_unreachable() -> None:
    async def scenario(standin: TableStandin, table: HttpTable) -> None:
        standin.faults.is_down = True
        with pytest.raises(OutcomeUnknownError):
            await table.read(("a",))
        await standin.stop()
        with pytest.raises(UnreachableError):
            await table.read(("a",))

    run_with_table(scenario)


def test_scan_pages_in_key_order() -> None:
    async def scenario(standin: TableStandin, table: HttpTable) -> None:
        for key in ("p/2", "q/1", "p/1", "p/3"):
            await table.transact((RowWrite(key, 0, b""),))
        first = await table.scan("p/", limit=2)
        rest = await table.scan("p/", after=first[-1].key)
        assert [row.key for row in first + rest] == ["p/1", "p/2", "p/3"]

    run_with_table(scenario)


def test_objects_are_kept_whole() -> None:
    async def scenario(standin: TableStandin, table: HttpTable) -> None:
        objects = HttpObjectStore(standin.address, HttpClient())
        assert await objects.get("a/b c") is None
        await objects.put("a/b c", b"\x00" * 100_000)
        assert await objects.get("a/b c") == b"\x00" * 100_000

    run_with_table(scenario)


def test_host_list_lags_and_shows_relays_to_the_other_region() -> None:
    async def scenario() -> None:
        standin = HostListStandin()
        await standin.start()
        client = HttpClient()
        near = HttpHostDirectory(standin.address, client, "amman")
        far = HttpHostDirectory(standin.address, client, "aqaba")
        entry = HostEntry("r1", "router", "127.0.0.1:1", "amman-a", "amman")
        standin.set_host(entry)
        standin.set_relay("aqaba", "r1", "127.0.0.1:9", "127.0.0.1:8")
        assert (await near.fetch()).entries == (entry,)
        (seen,) = (await far.fetch()).entries
        assert (seen.address, seen.peer_address) == ("127.0.0.1:9", "127.0.0.1:8")
        standin.faults.lag_s = 60.0
        assert (await near.fetch()).entries == ()
        client.close()
        await standin.stop()

    asyncio.run(scenario())


def test_delayed_transaction_takes_effect_after_a_read_that_showed_none() -> None:
    async def scenario(standin: TableStandin, table: HttpTable) -> None:
        standin.faults.delay_s = 0.3
        hasty = HttpTable(standin.address, HttpClient(), "hasty", 0.05)
        with pytest.raises(OutcomeUnknownError):
            await hasty.transact((RowWrite("a", 0, b"late"),))
        standin.faults.delay_s = 0.0
        assert (await table.read(("a",)))[0].version == 0
        # Writing the row closes the question: the delayed write then conflicts.
        assert (await table.transact((RowWrite("a", 0, b"own"),))).is_committed
        await asyncio.sleep(0.35)
        assert standin.dump()["a"].value == b"own"
        assert standin.counters.conflicts == 1

    run_with_table(scenario)


def test_read_goes_on_over_a_new_connection_when_the_pooled_one_breaks() -> None:
    async def scenario(standin: TableStandin, table: HttpTable) -> None:
        await table.transact((RowWrite("a", 0, b"1"),))
        relay = LinkStandin(standin.address, LinkPath(0.0), LinkPath(0.0))
        await relay.start()
        client = HttpClient()
        over = HttpTable(relay.address, client, "test")
        await over.read(("a",))
        relay.silence_connections()
        assert (await over.read(("a",)))[0].value == b"1"
        client.close()
        await relay.stop()

    run_with_table(scenario)


@given(
    st.lists(
        st.tuples(st.sampled_from(["a", "a/1", "a/2", "b/1", "b"]), st.booleans()),
        max_size=20,
    ),
    st.sampled_from(["", "a", "a/", "b/", "c"]),
    st.sampled_from(["", "a/1", "b", "z"]),
    st.integers(0, 4),
)
def test_scan_is_the_sorted_rows_under_a_prefix(
    steps: list[tuple[str, bool]], prefix: str, after: str, limit: int
) -> None:
    standin = TableStandin()
    model: dict[str, int] = {}
    for key, is_deletion in steps:
        write = RowWrite(key, model.get(key, 0), b"", is_deletion)
        assert standin.transact(TransactRequest("w", 1, (write,))).is_committed
        if is_deletion:
            model.pop(key, None)
        else:
            model[key] = model.get(key, 0) + 1
    expected = [key for key in sorted(model) if key.startswith(prefix) and key > after]
    rows = standin.scan(ScanRequest(prefix, after, limit))
    assert [row.key for row in rows] == expected[:limit]
    assert [row.version for row in rows] == [model[row.key] for row in rows]
