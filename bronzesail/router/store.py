"""Client of the platform's store: transactions, reads and change feeds."""

from __future__ import annotations

import asyncio
import math
from typing import TYPE_CHECKING

import attrs

from ..platform import SERVER_TABLE, StoreWire
from .client import Call, ClientPool, ConnectError
from .clocks import StoreClock, read_clock

if TYPE_CHECKING:
    from collections.abc import Sequence

    from ..model import (
        AnswerHead,
        HostSettings,
        Row,
        RowCheck,
        RowKey,
        RowsAnswer,
        RowWrite,
        StoreVersion,
    )
    from .admission import LinkUsage
    from .log import Log
    from .store_era import StoreEra

__all__ = [
    "CallLostError",
    "ConflictError",
    "EraChangedError",
    "HistoryLostError",
    "StoreClient",
    "StoreError",
]

# A round trip across regions takes 60 ms; responses slowed 60 times take 0.4 s.
CALL_TIMEOUT_S = 1.0
# Added to the wait time of a watch; responses slowed 90 times take 0.45 s.
WATCH_MARGIN_S = 0.8
# While a call is overdue, short reads show whether the store answers others. On a
# congested link they time out too, so that a late call does not count as lost.
PROBE_TIMEOUT_S = 0.8
PROBE_INTERVAL_S = 0.25
# Weight of one write in the moving average; a router makes ten writes in 2 to 20 s.
LATENCY_WEIGHT = 0.1
PAGE_ROWS = 500  # The most rows that the store returns in one response.


class StoreError(Exception):
    """Raised when a call fails; `is_unknown` is set if it may have taken effect."""

    def __init__(self, reason: str, *, is_unknown: bool = False) -> None:
        super().__init__(reason)
        self.is_unknown = is_unknown


class CallLostError(StoreError):
    """Raised when the store answers later calls, but not this one.

    It was sent while the store was silent, or its connection has gone silent.
    """

    def __init__(self) -> None:
        super().__init__("later calls were answered", is_unknown=True)


class ConflictError(StoreError):
    """Raised when a row does not have the expected version.

    `rows` holds the current rows.
    """

    def __init__(self, rows: list[Row]) -> None:
        super().__init__("row version conflict")
        self.rows = rows


class HistoryLostError(StoreError):
    """Raised when the store no longer has the changes that a watch asks for.

    The table must be read in full again.
    """


class EraChangedError(StoreError):
    """Raised when an answer is of another era than its call.

    A transaction of an earlier era has no effect on the rows of the current one.
    """

    def __init__(self) -> None:
        super().__init__("the store was restored from an older copy", is_unknown=True)


@attrs.frozen
class _Reply:
    status: int
    body: bytes
    era: int
    sent_at: float
    received_at: float


class StoreClient:
    """Calls the store over pooled connections, each call with a timeout.

    Parameters
    ----------
    loop : asyncio.AbstractEventLoop
        The loop to run on.
    settings : HostSettings
        Holds the store's address; replaced when the settings file changes.
    era : StoreEra
        Is told the era of each answer.
    log : Log
        Log for malformed headers.
    usage : LinkUsage, optional
        Counts the bytes that are received and written.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        settings: HostSettings,
        era: StoreEra,
        log: Log,
        usage: LinkUsage | None = None,
    ) -> None:
        self._loop = loop
        self._log = log
        self.era = era
        era.subscribe(lambda _: self.clock.reset())
        self._pool = ClientPool(loop, usage=usage)
        self._wire = StoreWire()
        self.settings = settings
        self.clock = StoreClock()
        self.calls = 0
        self.has_answered = False
        self.failures_in_a_row = 0
        # Moving average of writes, which drops to a lower value at once.
        self.latency_s = math.inf
        # When the call was sent that was sent last among those that were answered.
        self._last_answered_sent_at = -math.inf
        self._probe_lock = asyncio.Lock()

    async def transact(
        self,
        checks: Sequence[RowCheck],
        writes: Sequence[RowWrite],
        removals: Sequence[RowKey] = (),
    ) -> int:
        """Commit one transaction and return the version that the store gave it.

        Raises
        ------
        ConflictError
            If a row does not have the expected version; nothing was written.
        StoreError
            If the call failed; with `is_unknown`, it may have been committed.
        """
        encoded = self._wire.encode_transaction(checks, writes, removals)
        reply = await self._call(encoded, CALL_TIMEOUT_S)
        self._note_latency(reply.received_at - reply.sent_at)
        if reply.status == 412:
            raise ConflictError(self._decode(reply).rows)
        if reply.status != 200:
            is_unknown = reply.status not in (429, 503)
            raise StoreError(f"status {reply.status}", is_unknown=is_unknown)
        return self._decode(reply).version.number

    async def read_table(
        self, table: str, part: str = "", timeout_factor: int = 1
    ) -> RowsAnswer:
        """Return all rows of a part of a table, with the version of the first page.

        Rows of later pages may be newer than that version; a watch from it reports
        them again. The timeout of each page is multiplied by `timeout_factor`, as
        long as the store answers no later call.

        Raises
        ------
        CallLostError
            If the store has answered a later call instead.
        StoreError
            If the call failed.
        """
        first: RowsAnswer | None = None
        start = ""
        rows: list[Row] = []
        while True:
            encoded = self._wire.encode_read(table, part, start, PAGE_ROWS)
            reply = await self._call(
                encoded, CALL_TIMEOUT_S, CALL_TIMEOUT_S * timeout_factor
            )
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
        """Return one row, None if it does not exist."""
        encoded = self._wire.encode_read(table, part, key, 1)
        reply = await self._call(encoded, CALL_TIMEOUT_S)
        if reply.status != 200:
            raise StoreError(f"status {reply.status}")
        rows = self._decode(reply).rows
        return rows[0] if rows and rows[0].key == key else None

    async def list_parts(self, table: str) -> list[str]:
        """Return the names of the parts of a table that have rows."""
        parts: list[str] = []
        while True:
            encoded = self._wire.encode_list_parts(table, parts[-1] if parts else "")
            reply = await self._call(encoded, CALL_TIMEOUT_S)
            if reply.status != 200:
                raise StoreError(f"status {reply.status}")
            try:
                page, has_more = self._wire.decode_parts(reply.body)
            except ValueError as error:
                raise StoreError(f"malformed response: {error}") from error
            parts.extend(page)
            if not has_more or not page:
                return parts

    async def watch(
        self,
        table: str,
        since: StoreVersion,
        wait_s: float,
        timeout_factor: int = 1,
    ) -> RowsAnswer:
        """Return the changes of a table after `since`, or none after `wait_s`.

        The timeout that is added to `wait_s` is multiplied by `timeout_factor`, as long
        as the store answers no later call.

        Raises
        ------
        CallLostError
            If the store has answered a later call instead.
        HistoryLostError
            If the store no longer has these changes.
        EraChangedError
            If the store was restored from an older copy since.
        StoreError
            If the call failed.
        """
        if since.era != self.era.current:
            raise EraChangedError
        encoded = self._wire.encode_watch(table, since.number, wait_s)
        reply = await self._call(
            encoded,
            wait_s + WATCH_MARGIN_S,
            wait_s + WATCH_MARGIN_S * timeout_factor,
        )
        if reply.status == 410:
            raise HistoryLostError("change history is no longer available")
        if reply.status != 200:
            raise StoreError(f"status {reply.status}")
        return self._decode(reply)

    def close(self) -> None:
        """Close the idle connections."""
        self._pool.close()

    def _note_latency(self, latency_s: float) -> None:
        smoothed_s = self.latency_s + LATENCY_WEIGHT * (latency_s - self.latency_s)
        is_first = math.isinf(self.latency_s)
        self.latency_s = latency_s if is_first else min(latency_s, smoothed_s)

    def _decode(self, reply: _Reply) -> RowsAnswer:
        try:
            answer = self._wire.decode_rows(reply.body, reply.era)
        except ValueError as error:
            raise StoreError(f"malformed response: {error}", is_unknown=True) from error
        if answer.clock_s:
            self.clock.observe(answer.clock_s, reply.sent_at, reply.received_at)
        return answer

    async def _await_response(
        self, call: Call, timeout_s: float, max_timeout_s: float
    ) -> tuple[AnswerHead, bytes]:
        """Return the response to a call, which is overdue after `timeout_s`.

        An overdue call is either delayed by a congested link, which its retry would
        only congest further, or lost. It is lost if later calls are answered.
        """
        watchdog: asyncio.Task[None] | None = None
        if max_timeout_s > timeout_s:
            watchdog = self._loop.create_task(self._fail_if_lost(call, timeout_s))
        try:
            return await call.wait(max_timeout_s)
        except OSError as error:  # Includes TimeoutError.
            self.failures_in_a_row += 1
            raise StoreError(f"no response: {error!r}", is_unknown=True) from error
        finally:
            if watchdog is not None:
                watchdog.cancel()

    async def _fail_if_lost(self, call: Call, timeout_s: float) -> None:
        """Fail a call once it is overdue and a later one is answered."""
        await asyncio.sleep(timeout_s)
        overdue_at = read_clock()
        while self._last_answered_sent_at < overdue_at:
            async with self._probe_lock:
                if self._last_answered_sent_at < overdue_at:
                    await self._probe()
        if not call.has_begun:
            call.fail(CallLostError())

    async def _probe(self) -> None:
        """Make a short read, which shows whether the store answers."""
        encoded = self._wire.encode_read(SERVER_TABLE, "", "", 1)
        try:
            await self._call(encoded, PROBE_TIMEOUT_S)
        except StoreError as error:
            self._log.write("store: probe failed", reason=str(error))
            await asyncio.sleep(PROBE_INTERVAL_S)

    async def _call(
        self,
        encoded: tuple[bytes, bytes, bytes, bytes],
        timeout_s: float,
        max_timeout_s: float = 0.0,
    ) -> _Reply:
        method, target, header_lines, body = encoded
        store = self.settings.store
        address = (store.ip, store.port)
        host = f"{store.ip}:{store.port}".encode("ascii")
        length = b"Content-Length: %d\r\n" % len(body) if body else b""
        request = b"%b %b HTTP/1.1\r\nHost: %b\r\n%b%b\r\n%b" % (
            method, target, host, header_lines, length, body,
        )  # fmt: skip
        self.calls += 1
        era = self.era.current
        is_first = not self.has_answered
        sent_at = read_clock()
        connection = self._pool.acquire_idle(address)
        try:
            if connection is None:
                connection = await self._pool.open(address)
        except ConnectError as error:
            self.failures_in_a_row += 1
            raise StoreError(str(error)) from error
        call = Call(self._loop)
        try:
            connection.start(request, call)
            head, answer = await self._await_response(
                call, timeout_s, max(timeout_s, max_timeout_s)
            )
        except (StoreError, asyncio.CancelledError):
            connection.close()
            raise
        self._pool.release(connection)
        received_at = read_clock()
        self._last_answered_sent_at = max(self._last_answered_sent_at, sent_at)
        if head.malformed:
            self._log.write("store: malformed header ignored", headers=head.malformed)
        # An answer without an era is taken to be of the era that is known.
        self.has_answered = True
        if head.store_era is not None:
            self.era.observe(head.store_era, "store")
            if head.store_era != self.era.current:
                raise EraChangedError
        if self.era.current != era and not is_first:
            raise EraChangedError
        if head.status >= 500 or head.status == 429:
            self.failures_in_a_row += 1
        else:
            self.failures_in_a_row = 0
        return _Reply(head.status, answer, self.era.current, sent_at, received_at)
