"""The router's one client of the platform's store."""

from __future__ import annotations

import asyncio
import math
from typing import TYPE_CHECKING

import attrs

from ..platform import StoreWire
from .client import Call, ClientPool, ConnectError
from .clocks import StoreClock, read_clock

if TYPE_CHECKING:
    from collections.abc import Sequence

    from ..model import HostSettings, Row, RowCheck, RowKey, RowsAnswer, RowWrite

__all__ = ["ConflictError", "HistoryLostError", "StoreClient", "StoreError"]

CALL_TIMEOUT_S = 1.0  # 60 ms across regions; answers slowed 60 times take 0.4 s.
WATCH_MARGIN_S = 0.8  # After the wait itself; answers slowed 90 times take 0.45 s.
LATENCY_WEIGHT = 0.1  # Of one write; ten writes take 2 to 20 s.
PAGE_ROWS = 500  # The most that the store returns at once.


class StoreError(Exception):
    """Raised when a call failed; `is_unknown` where it may have taken effect."""

    def __init__(self, reason: str, *, is_unknown: bool = False) -> None:
        super().__init__(reason)
        self.is_unknown = is_unknown


class ConflictError(StoreError):
    """Raised when a row had another version than expected."""

    def __init__(self, rows: list[Row]) -> None:
        super().__init__("a row has another version")
        self.rows = rows


class HistoryLostError(StoreError):
    """Raised when changes were missed and all rows must be read again."""


@attrs.frozen
class _Reply:
    status: int
    body: bytes
    sent_at: float
    received_at: float


class StoreClient:
    """Calls to the store over kept connections, each with a time limit.

    Parameters
    ----------
    loop : asyncio.AbstractEventLoop
        The loop to run on.
    settings : HostSettings
        Names the store.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop, settings: HostSettings) -> None:
        self._loop = loop
        self._pool = ClientPool(loop)
        self._wire = StoreWire()
        self.settings = settings
        self.clock = StoreClock()
        self.calls = 0
        self.failures_in_a_row = 0
        self.latency_s = math.inf  # Of writes, smoothed; grows slowly, falls at once.

    async def transact(
        self,
        checks: Sequence[RowCheck],
        writes: Sequence[RowWrite],
        removals: Sequence[RowKey] = (),
    ) -> int:
        """Carry out one transaction and return the version it got.

        Raises
        ------
        ConflictError
            If a row had another version; nothing was done.
        StoreError
            If the call failed.
        """
        encoded = self._wire.encode_transaction(checks, writes, removals)
        reply = await self._call(encoded, CALL_TIMEOUT_S)
        self._note_latency(reply.received_at - reply.sent_at)
        if reply.status == 412:
            raise ConflictError(self._decode(reply).rows)
        if reply.status != 200:
            is_unknown = reply.status not in (429, 503)
            raise StoreError(f"status {reply.status}", is_unknown=is_unknown)
        return self._decode(reply).version

    async def read_table(
        self, table: str, part: str = "", patience: int = 1
    ) -> RowsAnswer:
        """Return all rows of a part, as of its first page's version.

        `patience` is how many times longer than usual to wait for the answer.
        """
        first: RowsAnswer | None = None
        start = ""
        rows: list[Row] = []
        while True:
            encoded = self._wire.encode_read(table, part, start, PAGE_ROWS)
            reply = await self._call(encoded, CALL_TIMEOUT_S * patience)
            if reply.status != 200:
                raise StoreError(f"status {reply.status}")
            answer = self._decode(reply)
            first = first or answer
            rows.extend(answer.rows)
            if not answer.has_more or not answer.rows:
                break
            start = answer.rows[-1].key + "\0"
        first.rows[:] = rows
        return first

    async def read_row(self, table: str, part: str, key: str) -> Row | None:
        """Return one row, None if there is none."""
        encoded = self._wire.encode_read(table, part, key, 1)
        reply = await self._call(encoded, CALL_TIMEOUT_S)
        if reply.status != 200:
            raise StoreError(f"status {reply.status}")
        rows = self._decode(reply).rows
        return rows[0] if rows and rows[0].key == key else None

    async def watch(
        self, table: str, version: int, wait_s: float, patience: int = 1
    ) -> RowsAnswer:
        """Return the changes of a table after `version`, waiting for the first.

        `patience` is how many times longer than usual to wait for the answer.

        Raises
        ------
        HistoryLostError
            If the store no longer has them.
        StoreError
            If the call failed.
        """
        encoded = self._wire.encode_watch(table, version, wait_s)
        reply = await self._call(encoded, wait_s + WATCH_MARGIN_S * patience)
        if reply.status == 410:
            raise HistoryLostError("the history is gone")
        if reply.status != 200:
            raise StoreError(f"status {reply.status}")
        return self._decode(reply)

    def close(self) -> None:
        """Close the kept connections."""
        self._pool.close()

    def _note_latency(self, latency_s: float) -> None:
        smoothed_s = self.latency_s + LATENCY_WEIGHT * (latency_s - self.latency_s)
        is_first = math.isinf(self.latency_s)
        self.latency_s = latency_s if is_first else min(latency_s, smoothed_s)

    def _decode(self, reply: _Reply) -> RowsAnswer:
        try:
            answer = self._wire.decode_rows(reply.body)
        except ValueError as error:
            raise StoreError(f"malformed answer: {error}", is_unknown=True) from error
        if answer.clock_s:
            self.clock.observe(answer.clock_s, reply.sent_at, reply.received_at)
        return answer

    async def _call(
        self, encoded: tuple[bytes, bytes, bytes, bytes], timeout_s: float
    ) -> _Reply:
        method, target, lines, body = encoded
        store = self.settings.store
        address = (store.ip, store.port)
        host = f"{store.ip}:{store.port}".encode("ascii")
        length = b"Content-Length: %d\r\n" % len(body) if body else b""
        request = b"%b %b HTTP/1.1\r\nHost: %b\r\n%b%b\r\n%b" % (
            method, target, host, lines, length, body,
        )  # fmt: skip
        self.calls += 1
        sent_at = read_clock()
        connection = self._pool.take(address)
        try:
            if connection is None:
                connection = await self._pool.open(address)
        except ConnectError as error:
            self.failures_in_a_row += 1
            raise StoreError(str(error)) from error
        call = Call(self._loop)
        try:
            connection.start(request, call)
            head, answer = await call.wait(timeout_s)
        except OSError as error:  # TimeoutError is one.
            connection.close()
            self.failures_in_a_row += 1
            raise StoreError(f"no answer: {error!r}", is_unknown=True) from error
        except asyncio.CancelledError:
            connection.close()
            raise
        self._pool.give_back(connection)
        received_at = read_clock()
        if head.status >= 500 or head.status == 429:
            self.failures_in_a_row += 1
        else:
            self.failures_in_a_row = 0
        return _Reply(head.status, answer, sent_at, received_at)
