"""Following a table of the store beside what other routers tell."""

from __future__ import annotations

import asyncio
import json

from bronzesail.model import Row, RowsAnswer
from bronzesail.platform import decode_server
from bronzesail.router.directory import Directory
from bronzesail.router.watches import ServerWatch
from tests.platform_standin import wait_until
from tests.router_fakes import SilentLog


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

    async def read_table(self, table, part=""):
        return await self.answers.get()

    async def watch(self, table, version, wait_s):
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
            SilentLog(),
            lambda: True,
            lambda: None,
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
