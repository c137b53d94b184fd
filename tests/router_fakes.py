"""A store that fails on demand, for tests of the router's parts without sockets."""

from __future__ import annotations

import enum
import json

import attrs

from bronzesail.model import Row, RowsAnswer
from bronzesail.router.store import ConflictError, StoreError


class Mode(enum.Enum):
    """What happens to a call."""

    OK = "ok"
    REFUSED = "refused"  # Nothing is done, and the caller knows.
    LOST_BEFORE = "lost before"  # Nothing is done; the caller does not know.
    LOST_AFTER = "lost after"  # It is done; the caller does not know.
    LATE = "late"  # It is done later, if its condition still holds then.


class FakeClock:
    """The store's clock as one process sees it, early or late by up to `error_s`."""

    def __init__(self, store, error_s):
        self._store = store
        self._error_s = error_s

    def read_earliest(self, at):
        return at - self._error_s

    def read_latest(self, at):
        return at + self._error_s


class SilentLog:
    def __init__(self):
        self.lines = []

    def write(self, message, **fields):
        self.lines.append((message, fields))


class FakeRows:
    """Rows with versions, changed by transactions."""

    def __init__(self):
        self.rows = {}
        self.version = 0
        self.late = []

    def conflicts(self, checks):
        return [
            check
            for check in checks
            if self.rows.get(check.key, (None, 0))[1] != check.version
        ]

    def apply(self, checks, writes, removals):
        if self.conflicts(checks):
            return False
        self.version += 1
        for write in writes:
            self.rows[write.key] = (write.value, self.version)
        for key in removals:
            self.rows.pop(key, None)
        return True

    def land_late(self):
        """Carry out what was delayed, as far as its conditions hold."""
        late, self.late = self.late, []
        for call in late:
            self.apply(*call)

    def find(self, table):
        return {
            k.key: json.loads(v) for k, (v, _) in self.rows.items() if k.table == table
        }


@attrs.define
class FakeStoreClient:
    """One process's client of `FakeRows`; `modes` says how the next calls end."""

    rows: FakeRows
    clock: FakeClock
    modes: list = attrs.field(factory=list)

    async def transact(self, checks, writes, removals=()):
        mode = self.modes.pop(0) if self.modes else Mode.OK
        call = (list(checks), list(writes), list(removals))
        if mode is Mode.REFUSED:
            raise StoreError("refused")
        if mode is Mode.LOST_BEFORE:
            raise StoreError("lost", is_unknown=True)
        if mode is Mode.LATE:
            self.rows.late.append(call)
            raise StoreError("late", is_unknown=True)
        conflicts = self.rows.conflicts(checks)
        done = not conflicts and self.rows.apply(*call)
        if mode is Mode.LOST_AFTER:
            raise StoreError("lost", is_unknown=True)
        if not done:
            found = [self._row(check.key) for check in checks]
            raise ConflictError([row for row in found if row is not None])
        return self.rows.version

    async def read_table(self, table, part=""):
        mode = self.modes.pop(0) if self.modes else Mode.OK
        if mode is not Mode.OK:
            raise StoreError("lost", is_unknown=True)
        rows = [self._row(key) for key in self.rows.rows if key.table == table]
        return RowsAnswer(
            rows=rows, has_more=False, version=self.rows.version, clock_s=0.0
        )

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
