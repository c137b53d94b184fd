"""Following a table of the store beside what other routers tell."""

from __future__ import annotations

import asyncio
import json

from bronzesail.model import Row, RowsAnswer
from bronzesail.platform import decode_server
from bronzesail.router.directory import Directory
from bronzesail.router.store import StoreError
from bronzesail.router.watches import MAX_BACKOFF, ServerWatch
from tests.platform_standin import wait_until
from tests.router_fakes import RecordingLog


def make_row(server_id, state, version):
    entry = {
        "service": "s",
        "address": "10.0.0.1:80",
        "zone": "z1",
        "slots": 8,
        "state": state,
    }
    return Row(
        table="servers",
        part="",
        key=server_id,
        value=json.dumps(entry).encode(),
        version=version,
    )


class ScriptedStore:
    """Answers reads and feeds with what a test hands it."""

    def __init__(self):
        self.answers = asyncio.Queue()
        self.asked_since = []

    async def read_table(self, table, part="", patience=1):
        return await self.answers.get()

    async def watch(self, table, version, wait_s, patience=1):
        self.asked_since.append(version)
        return await self.answers.get()


def answer(version, *rows):
    return RowsAnswer(rows=list(rows), has_more=False, version=version, clock_s=0.0)


# A feed that was asked before a newer list was taken undid what the list told.
def test_an_answer_older_than_a_list_taken_meanwhile_is_not_taken():
    async def run():
        loop = asyncio.get_running_loop()
        store, directory = ScriptedStore(), Directory(loop.time)
        watch = ServerWatch(
            store,
            RecordingLog(),
            lambda: True,
            lambda: None,
            lambda failures: 0.0,
            directory,
            lambda: None,
        )
        task = loop.create_task(watch.run())
        store.answers.put_nowait(answer(5, make_row("a", "ready", 5)))
        await wait_until(lambda: store.asked_since)
        teller = Directory(loop.time)
        teller.put(decode_server("a", make_row("a", "draining", 9).value))
        teller.note_version(9)
        assert directory.adopt(teller.make_listing()) == []
        store.answers.put_nowait(answer(7, make_row("a", "ready", 7)))
        await wait_until(lambda: len(store.asked_since) == 2)
        assert directory.list_usable("s") == []
        assert store.asked_since == [5, 9]
        store.answers.put_nowait(answer(10, make_row("a", "ready", 10)))
        await wait_until(lambda: directory.list_usable("s"))
        task.cancel()

    asyncio.run(run())


class LateStore:
    """Fails a number of calls, as one whose answers come too late."""

    def __init__(self, failures):
        self.failures = failures
        self.patience = []

    async def read_table(self, table, part="", patience=1):
        self.patience.append(patience)
        if len(self.patience) <= self.failures:
            raise StoreError("no answer")
        return answer(5)

    async def watch(self, table, version, wait_s, patience=1):
        self.patience.append(patience)
        await asyncio.Event().wait()


# On a full link each call was given up after the same second and added to the load.
def test_a_store_that_answers_late_is_called_less_often_and_given_more_time():
    async def run():
        store, gaps = LateStore(5), []

        def find_retry_s(failures):
            gaps.append(failures)
            return 0.0

        watch = ServerWatch(
            store,
            RecordingLog(),
            lambda: True,
            lambda: None,
            find_retry_s,
            Directory(asyncio.get_running_loop().time),
            lambda: None,
        )
        task = asyncio.create_task(watch.run())
        await wait_until(lambda: len(store.patience) == 7)
        task.cancel()
        assert store.patience == [1, 2, 4, MAX_BACKOFF, MAX_BACKOFF, MAX_BACKOFF, 1]
        assert gaps == [1, 2, 3, 4, 5]

    asyncio.run(run())
