"""A watch of the store's servers beside state received from other routers."""

from __future__ import annotations

import asyncio
import json
import math

from bronzesail.model import Row, RowsAnswer, StoreVersion
from bronzesail.platform import decode_server
from bronzesail.router.directory import LAPSE_GRACE_S, Directory
from bronzesail.router.store import CallLostError, StoreError
from bronzesail.router.watches import MAX_BACKOFF, ServerWatch
from tests.platform_standin import wait_until
from tests.router_fakes import RecordingLog, make_server


def make_row(server_id, state, version, born_ms=0):
    entry = {
        "service": "s",
        "address": "10.0.0.1:80",
        "zone": "z1",
        "version": "v1",
        "slots": 8,
        "state": state,
        "born": born_ms,
    }
    return Row(
        table="servers",
        part="",
        key=server_id,
        value=json.dumps(entry).encode(),
        version=version,
    )


class ScriptedStore:
    """Store client whose reads and watches return the answers that a test queues."""

    def __init__(self):
        self.answers = asyncio.Queue()
        self.watched_versions = []

    async def read_table(self, table, part="", timeout_factor=1):
        return await self._take_answer()

    async def _take_answer(self):
        queued = await self.answers.get()
        if isinstance(queued, StoreError):
            raise queued
        return queued

    async def watch(self, table, since, wait_s, timeout_factor=1):
        self.watched_versions.append(since.number)
        return await self._take_answer()


def make_watch(
    store, directory, find_retry_s=lambda failures: 0.0, heartbeat_s=1.2, log=None
):
    return ServerWatch(
        store,
        log or RecordingLog(),
        lambda: True,
        lambda: None,
        find_retry_s,
        directory,
        lambda: None,
        heartbeat_s,
    )


def answer(number, *rows, era=0):
    version = StoreVersion(era, number)
    return RowsAnswer(rows=list(rows), has_more=False, version=version, clock_s=0.0)


# Guards against a watch call that started before a newer listing of another router was
# adopted: its response, which is older, would undo the listing's changes.
def test_a_watch_response_older_than_an_adopted_listing_is_ignored():
    async def run():
        loop = asyncio.get_running_loop()
        store, directory = ScriptedStore(), Directory(loop.time)
        watch = make_watch(store, directory)
        task = loop.create_task(watch.run())
        store.answers.put_nowait(answer(5, make_row("a", "ready", 5)))
        await wait_until(lambda: store.watched_versions)
        other_directory = Directory(loop.time)
        other_directory.put(decode_server("a", make_row("a", "draining", 9).value))
        other_directory.note_version(StoreVersion(0, 9))
        assert directory.adopt(other_directory.make_listing()) == []
        store.answers.put_nowait(answer(7, make_row("a", "ready", 7)))
        await wait_until(lambda: len(store.watched_versions) == 2)
        assert directory.list_usable("s") == []
        assert store.watched_versions == [5, 9]
        store.answers.put_nowait(answer(10, make_row("a", "ready", 10)))
        await wait_until(lambda: directory.list_usable("s"))
        task.cancel()

    asyncio.run(run())


class SlowStore:
    """Store client whose first calls fail, as if they had timed out."""

    def __init__(self, failures):
        self.failures = failures
        self.timeout_factors = []

    async def read_table(self, table, part="", timeout_factor=1):
        self.timeout_factors.append(timeout_factor)
        if len(self.timeout_factors) <= self.failures:
            raise StoreError("no answer")
        return answer(5)

    async def watch(self, table, version, wait_s, timeout_factor=1):
        self.timeout_factors.append(timeout_factor)
        await asyncio.Event().wait()


# Guards against retries with a fixed timeout on a congested link: each call was
# abandoned after the same second, and its retry added to the load.
def test_timeouts_and_retry_intervals_grow_while_the_store_responds_late():
    async def run():
        store, failure_counts = SlowStore(5), []

        def find_retry_s(failures):
            failure_counts.append(failures)
            return 0.0

        directory = Directory(asyncio.get_running_loop().time)
        watch = make_watch(store, directory, find_retry_s)
        task = asyncio.create_task(watch.run())
        await wait_until(lambda: len(store.timeout_factors) == 7)
        task.cancel()
        assert store.timeout_factors == [
            1,
            2,
            4,
            MAX_BACKOFF,
            MAX_BACKOFF,
            MAX_BACKOFF,
            1,
        ]
        assert failure_counts == [1, 2, 3, 4, 5]

    asyncio.run(run())


def remove_row(server_id, version):
    return Row(
        table="servers",
        part="",
        key=server_id,
        value=b"",
        version=version,
        is_removed=True,
    )


def apply_changes(directory, changes):
    """Pass one response of the store's feed to a watch that has read the table.

    Returns the lines of its log.
    """
    log = RecordingLog()

    async def run():
        store = ScriptedStore()
        watch = make_watch(store, directory, log=log)
        task = asyncio.create_task(watch.run())
        store.answers.put_nowait(answer(5, make_row("a", "ready", 5)))
        store.answers.put_nowait(answer(9, *changes))
        await wait_until(lambda: len(store.watched_versions) == 2)
        task.cancel()

    asyncio.run(run())
    return log.lines


# Guards against a server that leaves and stays in use: the removals of a response were
# applied before its entries, so that an earlier entry undid a later removal.
def test_a_removal_is_not_undone_by_an_earlier_change():
    directory = Directory(lambda: 0.0)
    apply_changes(directory, [make_row("a", "ready", 6), remove_row("a", 7)])
    assert directory.list_ids() == []


def test_a_server_that_leaves_after_its_entry_expired_is_removed():
    now_s = 0.0
    directory = Directory(lambda: now_s)
    directory.note_store_recovered()
    changes = [remove_row("a", 6), make_row("a", "ready", 7), remove_row("a", 8)]
    apply_changes(directory, changes)
    now_s = LAPSE_GRACE_S
    directory.expire()
    assert directory.list_ids() == []


# Guards against an entry that is dropped without a trace: nothing told why a server
# that left stayed in use.
def test_an_entry_that_is_ignored_is_logged():
    directory = Directory(lambda: 0.0)
    directory.put(make_server("b", born_ms=5))
    directory.note_store_restored()
    lines = apply_changes(directory, [make_row("b", "ready", 6, born_ms=3)])
    ignored = [f for message, f in lines if message.endswith("earlier life ignored")]
    assert ignored == [{"server": "b", "born_ms": 3, "known_born_ms": 5}]


# Guards against an entry that is believed again: an ignored one of another life counted
# as its renewal.
def test_an_entry_that_is_ignored_does_not_renew_the_known_one():
    directory = Directory(lambda: 0.0)
    directory.put(make_server("b", born_ms=5))
    directory.note_store_restored()
    apply_changes(directory, [make_row("b", "ready", 6, born_ms=3)])
    assert directory.get_renewed_at("b") == -math.inf
    apply_changes(directory, [make_row("b", "ready", 7, born_ms=5)])
    assert directory.get_renewed_at("b") == 0.0


def test_an_entry_that_is_written_after_its_removal_is_usable():
    directory = Directory(lambda: 0.0)
    apply_changes(directory, [remove_row("a", 6), make_row("a", "ready", 7)])
    assert [server.id for server in directory.list_usable("s")] == ["a"]


def remove_after_a_failed_call(heartbeat_s):
    """Return the servers left after a call that fails and a removal that follows."""

    async def run():
        store, directory = ScriptedStore(), Directory(asyncio.get_running_loop().time)
        watch = make_watch(store, directory, heartbeat_s=heartbeat_s)
        task = asyncio.create_task(watch.run())
        store.answers.put_nowait(answer(5, make_row("a", "ready", 5)))
        store.answers.put_nowait(StoreError("no answer"))
        store.answers.put_nowait(answer(6, remove_row("a", 6)))
        await wait_until(lambda: directory.store_version.number == 6)
        task.cancel()
        return directory.list_ids()

    return asyncio.run(run())


# Guards against a server that leaves and stays in use for 2 s more (DRAIN): after one
# failed call its removal was taken for an expiry in an outage of the store.
def test_a_removal_after_a_single_failed_call_is_not_deferred():
    assert remove_after_a_failed_call(heartbeat_s=60.0) == []


def test_a_removal_after_an_outage_in_which_entries_expire_is_deferred():
    assert remove_after_a_failed_call(heartbeat_s=0.0) == ["a"]


class LostCallStore(SlowStore):
    """Store client whose third call is lost, after two that failed."""

    async def read_table(self, table, part="", timeout_factor=1):
        if len(self.timeout_factors) == 2:
            self.timeout_factors.append(timeout_factor)
            raise CallLostError
        return await super().read_table(table, part, timeout_factor)


def test_the_usual_timeouts_hold_again_after_a_lost_call():
    async def run():
        store = LostCallStore(4)
        directory = Directory(asyncio.get_running_loop().time)
        task = asyncio.create_task(make_watch(store, directory).run())
        await wait_until(lambda: len(store.timeout_factors) == 6)
        task.cancel()
        assert store.timeout_factors == [1, 2, 4, 1, 2, 1]

    asyncio.run(run())
