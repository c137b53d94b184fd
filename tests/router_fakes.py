"""In-memory fakes of store, clock and log, for tests without sockets."""

from __future__ import annotations

import enum
import json
import random
from types import SimpleNamespace

import attrs
import msgspec

from bronzesail.model import BackendServer, Row, RowKey, RowsAnswer, StoreVersion
from bronzesail.router.brittle_servers import BrittleServers
from bronzesail.router.budget_rows import HOLDER_TABLE, HolderRow
from bronzesail.router.client import ClientPool
from bronzesail.router.server_lives import ServerLives
from bronzesail.router.store import ConflictError, EraChangedError, StoreError


class CallOutcome(enum.Enum):
    """Simulated outcome of a call to the store."""

    OK = "ok"
    REFUSED = "refused"  # Not executed, and the caller learns that.
    LOST_BEFORE = "lost before"  # The request is lost: not executed, outcome unknown.
    LOST_AFTER = "lost after"  # The response is lost: executed, outcome unknown.
    # Executed later if its checks still hold then; the outcome is unknown.
    LATE = "late"


class FakeClock:
    """A process's estimate of the store's clock, with an error of up to `error_s`."""

    def __init__(self, store, error_s):
        self._store = store
        self._error_s = error_s

    def read_earliest(self, at):
        """Return the earliest time of the store's clock at the local time `at`."""
        return at - self._error_s

    def read_latest(self, at):
        """Return the latest time of the store's clock at the local time `at`."""
        return at + self._error_s


class RecordingLog:
    """A log that keeps its lines in memory."""

    def __init__(self):
        self.lines = []

    def write(self, message, **fields):
        """Append a line."""
        self.lines.append((message, fields))


class FakeRows:
    """Versioned rows of the store, changed by transactions.

    `late` holds the delayed transactions.
    """

    def __init__(self):
        self.rows = {}
        self.version = 0
        self.era = 0
        self.late = []

    def copy(self):
        """Return a copy that `restore` takes."""
        return dict(self.rows), self.version

    def restore(self, copy):
        """Come back from a copy; versions are given out again."""
        rows, self.version = copy
        self.rows = dict(rows)
        self.era += 1

    def conflicts(self, checks):
        """Return the checks whose row has another version."""
        return [
            check
            for check in checks
            if self.rows.get(check.key, (None, 0))[1] != check.version
        ]

    def apply(self, checks, writes, removals):
        """Execute a transaction; return False if one of its checks fails."""
        if self.conflicts(checks):
            return False
        self.version += 1
        for write in writes:
            self.rows[write.key] = (write.value, self.version)
        for key in removals:
            self.rows.pop(key, None)
        return True

    def land_late(self):
        """Execute the delayed transactions whose checks still hold."""
        late, self.late = self.late, []
        for call in late:
            self.apply(*call)

    def find(self, table):
        """Return the decoded values of a table, by key."""
        return {
            k.key: json.loads(v) for k, (v, _) in self.rows.items() if k.table == table
        }


@attrs.define
class FakeStoreClient:
    """Store client of one process, on top of `FakeRows`.

    `modes` holds the outcomes of the next calls; later ones succeed.
    """

    rows: FakeRows
    clock: FakeClock
    modes: list = attrs.field(factory=list)
    on_era: object = None  # Called with a new era.
    era: int = 0  # Of the last answer.

    def _note_era(self):
        if self.rows.era == self.era:
            return
        self.era = self.rows.era
        self.on_era(self.era)
        raise EraChangedError

    async def transact(self, checks, writes, removals=()):
        """Execute a transaction with the next outcome; return the store's version."""
        mode = self.modes.pop(0) if self.modes else CallOutcome.OK
        call = (list(checks), list(writes), list(removals))
        if mode is CallOutcome.REFUSED:
            raise StoreError("refused")
        if mode is CallOutcome.LOST_BEFORE:
            raise StoreError("lost", is_unknown=True)
        if mode is CallOutcome.LATE:
            self.rows.late.append(call)
            raise StoreError("late", is_unknown=True)
        conflicts = self.rows.conflicts(checks)
        done = not conflicts and self.rows.apply(*call)
        if mode is CallOutcome.LOST_AFTER:
            raise StoreError("lost", is_unknown=True)
        self._note_era()
        if not done:
            found = [self._row(check.key) for check in checks]
            raise ConflictError([row for row in found if row is not None])
        return self.rows.version

    async def read_table(self, table, part=""):
        """Return all rows of a table, or fail as the next outcome says."""
        mode = self.modes.pop(0) if self.modes else CallOutcome.OK
        if mode is not CallOutcome.OK:
            raise StoreError("lost", is_unknown=True)
        self._note_era()
        keys = [k for k in self.rows.rows if (k.table, k.part) == (table, part)]
        return RowsAnswer(
            rows=[self._row(key) for key in keys],
            has_more=False,
            version=StoreVersion(self.rows.era, self.rows.version),
            clock_s=0.0,
        )

    async def read_row(self, table, part, key):
        """Return one row, None if it does not exist."""
        self._note_era()
        return self._row(RowKey(table, part, key))

    async def list_parts(self, table):
        """Return the parts of a table."""
        self._note_era()
        return sorted({key.part for key in self.rows.rows if key.table == table})

    def _row(self, key):
        found = self.rows.rows.get(key)
        if found is None:
            return None
        return Row(
            table=key.table,
            part=key.part,
            key=key.key,
            value=found[0],
            version=found[1],
        )


class ManualClock:
    """A clock that a test sets."""

    def __init__(self):
        self.now = 100.0

    def __call__(self):
        return self.now


def make_brittle_servers(clock):
    """Return the brittle servers of a fleet with one router, none at first."""
    return BrittleServers(clock, "h1", lambda *_: ["h1"], random.Random(1))


def make_server(server_id, zone="z1", **changes):
    """Return a backend server of service "s"."""
    fields = {
        "id": server_id,
        "service": "s",
        "version": "v1",
        "ip": "10.0.0.1",
        "port": 80,
        "zone": zone,
        "slots": 8,
        "is_draining": False,
        "cold_left_s": 0.0,
        "born_ms": 0,
    }
    return BackendServer(**{**fields, **changes})


async def read_holder(client, part, key):
    """Return a process's row with its version, None if there is none."""
    row = await client.read_row(HOLDER_TABLE, part, key)
    if row is None:
        return None
    return msgspec.json.decode(row.value, type=HolderRow), row.version


def make_server_lives(now, directory):
    """Return the lives of servers that were not reached yet."""
    loop = SimpleNamespace(time=now)
    return ServerLives(loop, RecordingLog(), ClientPool(loop), directory)
