"""Keeps the beginnings of streams in the store while several versions serve.

The rows outlast the end of all routers at once. Each stream has a row of its own, under
its id, so that a router reads only what it is asked for. A router removes its rows once
the streams cannot be taken up any more; those of ended routers are removed when their
service has had one version only for long enough.
"""

from __future__ import annotations

import asyncio
import zlib
from collections import deque
from typing import TYPE_CHECKING

import attrs
import msgspec

from ..model import RowKey, RowWrite
from .decoding import decode_json
from .store import StoreError
from .stream_versions import MAX_STREAM_AGE_S, StreamBeginning

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from .log import Log
    from .store import StoreClient

__all__ = ["STREAM_TABLE", "StreamRows"]

STREAM_TABLE = "streams"
N_PARTS = 4  # A partition takes 200 transactions a second.
MAX_BATCH = 100  # Entries of one transaction.
MAX_PENDING = 1000  # While the store is away; above it the oldest are dropped.
REMOVAL_INTERVAL_S = 5.0
RETRY_S = 0.5
READ_TIMEOUT_S = 0.5  # A round trip takes 65 ms; the caller waits.


@attrs.frozen
class _WrittenRow:
    """A row of this router, and when it was written."""

    key: RowKey
    written_at: float


class StreamRows:
    """Writes, reads and removes the rows of streams.

    Parameters
    ----------
    store : StoreClient
        The store.
    log : Log
        Log for failed calls.
    now : callable
        Returns the seconds of a monotonic clock that includes suspended time.
    """

    def __init__(self, store: StoreClient, log: Log, now: Callable[[], float]) -> None:
        self._store = store
        self._log = log
        self._now = now
        self._pending: dict[str, deque[StreamBeginning]] = {
            str(number): deque(maxlen=MAX_PENDING) for number in range(N_PARTS)
        }
        self._written: deque[_WrittenRow] = deque()
        self._has_pending = asyncio.Event()

    def write(self, beginnings: Iterable[StreamBeginning]) -> None:
        """Write the rows of streams as soon as possible."""
        for beginning in beginnings:
            self._pending[_find_part(beginning.request_id)].append(beginning)
            self._has_pending.set()

    async def run(self) -> None:
        """Write and remove rows until cancelled."""
        while True:
            try:
                async with asyncio.timeout(REMOVAL_INTERVAL_S):
                    await self._has_pending.wait()
            except TimeoutError:
                pass
            self._has_pending.clear()
            try:
                for pending in self._pending.values():
                    while pending:
                        await self._write_batch(pending)
                await self._remove_old()
            except StoreError as error:
                self._log.write("stream: store does not answer", error=str(error))
                self._has_pending.set()
                await asyncio.sleep(RETRY_S)

    async def _write_batch(self, pending: deque[StreamBeginning]) -> None:
        """Write the first pending rows of a partition; they stay if that fails."""
        batch = [pending[i] for i in range(min(len(pending), MAX_BATCH))]
        # Of several beginnings of a stream the last one counts.
        latest = {beginning.request_id: beginning for beginning in batch}
        writes = [
            RowWrite(_make_key(b.request_id), msgspec.json.encode(b))
            for b in latest.values()
        ]
        await self._store.transact([], writes)
        for beginning in batch:
            if pending and pending[0] is beginning:
                pending.popleft()
        now = self._now()
        self._written.extend(_WrittenRow(write.key, now) for write in writes)

    async def _remove_old(self) -> None:
        """Remove the rows of streams that cannot be taken up any more."""
        since = self._now() - MAX_STREAM_AGE_S
        by_part: dict[str, list[RowKey]] = {}
        n_old = 0
        for row in self._written:
            if row.written_at > since:
                break
            by_part.setdefault(row.key.part, []).append(row.key)
            n_old += 1
        if not n_old:
            return
        for keys in by_part.values():
            await self._remove(keys)
        for _ in range(n_old):
            self._written.popleft()

    async def _remove(self, keys: list[RowKey]) -> None:
        """Remove rows of one partition."""
        for start in range(0, len(keys), MAX_BATCH):
            await self._store.transact([], [], keys[start : start + MAX_BATCH])

    async def find(self, request_id: str) -> StreamBeginning | None:
        """Return who began a stream; None without a row.

        Raises
        ------
        StoreError
            If the store did not answer in time, or the row is malformed.
        """
        if not request_id:
            return None
        key = _make_key(request_id)
        try:
            async with asyncio.timeout(READ_TIMEOUT_S):
                row = await self._store.read_row(key.table, key.part, key.key)
        except TimeoutError as error:
            raise StoreError("no answer in time") from error
        if row is None:
            return None
        try:
            return decode_json(row.value, StreamBeginning)
        except ValueError as error:
            raise StoreError(f"malformed row: {error}") from error

    async def remove_all(self, service: str) -> None:
        """Remove the rows of a service, whichever router has written them.

        Raises
        ------
        StoreError
            If a call failed.
        """
        for number in range(N_PARTS):
            answer = await self._store.read_table(STREAM_TABLE, str(number))
            keys = [
                RowKey(row.table, row.part, row.key)
                for row in answer.rows
                if _read_service(row.value) in (service, None)
            ]
            await self._remove(keys)


def _find_part(request_id: str) -> str:
    """Return the partition of a stream's row."""
    return str(zlib.crc32(request_id.encode()) % N_PARTS)


def _make_key(request_id: str) -> RowKey:
    return RowKey(STREAM_TABLE, _find_part(request_id), request_id)


def _read_service(value: bytes) -> str | None:
    """Return the service of a row, None if the row cannot be read."""
    try:
        return decode_json(value, StreamBeginning).service
    except ValueError:
        return None
