"""Stand-in of the platform's transactional table service and object store."""

from __future__ import annotations

import asyncio
import bisect
import random
from typing import TYPE_CHECKING, Any
from urllib.parse import unquote

import attrs

from ..http import HttpServer, ServerLimits
from ..schema import (
    ReadRequest,
    Row,
    RowsReply,
    ScanRequest,
    TransactReply,
    TransactRequest,
)
from ..schema.codec import CodecError, decode_as, encode
from ._bucket import TokenBucket

if TYPE_CHECKING:
    from ..http import HttpRequest, Responder
    from ..schema import RowCheck, RowWrite

__all__ = ["TableFaults", "TableStandin"]

BODY_BYTES = 64 * 1024 * 1024
OBJECT_PATH = "/objects/"


@attrs.define
class TableFaults:
    """Switches of the table stand-in.

    Attributes
    ----------
    is_down : bool
        Whether connections are closed without an answer or an effect.
    delay_s : float
        Time before a request takes effect, in seconds.
    loses_next_answers : int
        Number of next transactions whose answer is lost after they took effect.
    answer_loss : float
        Probability that an answer is lost after the request took effect.
    reads_per_s : float
        Rate limit of rows read, in rows a second; 0 for none.
    writes_per_s : float
        Rate limit of rows written, in rows a second; 0 for none.
    """

    is_down: bool = False
    delay_s: float = 0.0
    loses_next_answers: int = 0
    answer_loss: float = 0.0
    reads_per_s: float = 0.0
    writes_per_s: float = 0.0


@attrs.define
class TableCounters:
    """What the table stand-in served.

    Attributes
    ----------
    transactions : int
        Transactions that were committed.
    conflicts : int
        Transactions whose condition failed.
    row_writes : int
        Rows written or deleted.
    reads : int
        Rows read.
    throttled : int
        Requests refused for the rate limit.
    lost_answers : int
        Answers lost after the request took effect.
    """

    transactions: int = 0
    conflicts: int = 0
    row_writes: int = 0
    reads: int = 0
    throttled: int = 0
    lost_answers: int = 0


class TableStandin:
    """Rows with versions, conditional transactions, and objects.

    A deleted row that is written again starts at version 1, as in a plain table.

    Parameters
    ----------
    seed : int
        Seed of the random losses.
    """

    def __init__(self, seed: int = 1) -> None:
        self.faults = TableFaults()
        self.counters = TableCounters()
        self._rows: dict[str, Row] = {}
        self._keys: list[str] = []
        self._objects: dict[str, bytes] = {}
        self._random = random.Random(seed)
        self._read_bucket = TokenBucket()
        self._write_bucket = TokenBucket()
        self._server = HttpServer(self._handle, ServerLimits(body_bytes=BODY_BYTES))

    @property
    def address(self) -> str:
        """IP address and port."""
        return self._server.address

    async def start(self, host: str = "127.0.0.1", port: int = 0) -> None:
        """Listen on an address.

        Parameters
        ----------
        host : str
            IP address.
        port : int
            Port; 0 for a free one.
        """
        await self._server.start(host, port)

    async def stop(self) -> None:
        """Close every connection."""
        await self._server.close()

    def dump(self) -> dict[str, Row]:
        """Return the committed rows by key."""
        return dict(self._rows)

    def transact(self, request: TransactRequest) -> TransactReply:
        """Apply a transaction at once, all or nothing.

        Parameters
        ----------
        request : TransactRequest
            The transaction.

        Returns
        -------
        TransactReply
            The outcome.
        """
        conditions: list[RowWrite | RowCheck] = [*request.writes, *request.checks]
        conflicts = []
        for condition in conditions:
            row = self._find(condition.key)
            if row.version != condition.expected_version:
                conflicts.append(row)
        if conflicts:
            self.counters.conflicts += 1
            return TransactReply(False, tuple(conflicts))
        for write in request.writes:
            self._apply(write)
        self.counters.transactions += 1
        self.counters.row_writes += len(request.writes)
        return TransactReply(True)

    def _apply(self, write: RowWrite) -> None:
        is_present = write.key in self._rows
        if write.is_deletion:
            if is_present:
                del self._rows[write.key]
                del self._keys[bisect.bisect_left(self._keys, write.key)]
            return
        if not is_present:
            bisect.insort(self._keys, write.key)
        version = write.expected_version + 1
        self._rows[write.key] = Row(write.key, version, write.value)

    def _find(self, key: str) -> Row:
        return self._rows.get(key) or Row(key, 0, b"")

    async def _handle(self, request: HttpRequest, responder: Responder) -> None:
        if self.faults.is_down:
            return
        if self.faults.delay_s:
            await asyncio.sleep(self.faults.delay_s)
        if request.path.startswith(OBJECT_PATH):
            status, body = self._serve_object(request)
        else:
            status, body = self._serve_table(request)
        if self._loses_answer(request, status):
            self.counters.lost_answers += 1
            return
        await _send(responder, status, body)

    def _loses_answer(self, request: HttpRequest, status: int) -> bool:
        if self.faults.is_down:
            return True
        is_write = request.method == "PUT" or request.path == "/table/transact"
        if is_write and status == 200 and self.faults.loses_next_answers > 0:
            self.faults.loses_next_answers -= 1
            return True
        return self._random.random() < self.faults.answer_loss

    def _serve_object(self, request: HttpRequest) -> tuple[int, bytes]:
        name = unquote(request.path.removeprefix(OBJECT_PATH))
        if request.method == "PUT":
            if not self._take_writes(1):
                return 429, b""
            self._objects[name] = request.body
            return 200, b""
        if not self._take_reads(1):
            return 429, b""
        if name not in self._objects:
            return 404, b""
        return 200, self._objects[name]

    def _serve_table(self, request: HttpRequest) -> tuple[int, bytes]:
        try:
            reply = self._answer_table(request)
        except CodecError as error:
            return 400, str(error).encode()
        if reply is None:
            return 429, b""
        return 200, encode(reply)

    def _answer_table(self, request: HttpRequest) -> Any:
        if request.path == "/table/transact":
            transaction = decode_as(request.body, TransactRequest)
            if len({write.key for write in transaction.writes}) < len(
                transaction.writes
            ):
                raise CodecError("a transaction writes a row twice")
            if not self._take_writes(max(1, len(transaction.writes))):
                return None
            return self.transact(transaction)
        if request.path == "/table/read":
            read = decode_as(request.body, ReadRequest)
            if not self._take_reads(max(1, len(read.keys))):
                return None
            return RowsReply(tuple(self._find(key) for key in read.keys))
        if request.path == "/table/scan":
            rows = self.scan(decode_as(request.body, ScanRequest))
            if not self._take_reads(max(1, len(rows))):
                return None
            return RowsReply(rows)
        raise CodecError(f"unknown path {request.path}")

    def scan(self, request: ScanRequest) -> tuple[Row, ...]:
        """Return rows under a prefix in key order.

        Parameters
        ----------
        request : ScanRequest
            The scan.

        Returns
        -------
        tuple of Row
            The rows.
        """
        start = bisect.bisect_left(self._keys, request.prefix)
        start = max(start, bisect.bisect_right(self._keys, request.after))
        rows = []
        for key in self._keys[start : start + max(0, request.limit)]:
            if not key.startswith(request.prefix):
                break
            rows.append(self._rows[key])
        return tuple(rows)

    def _take_reads(self, n_rows: int) -> bool:
        now = asyncio.get_running_loop().time()
        if not self._read_bucket.take(n_rows, self.faults.reads_per_s, now):
            self.counters.throttled += 1
            return False
        self.counters.reads += n_rows
        return True

    def _take_writes(self, n_rows: int) -> bool:
        now = asyncio.get_running_loop().time()
        if not self._write_bucket.take(n_rows, self.faults.writes_per_s, now):
            self.counters.throttled += 1
            return False
        return True


async def _send(responder: Responder, status: int, body: bytes) -> None:
    await responder.start(status, (("content-length", str(len(body))),))
    if body:
        await responder.write(body)
    await responder.finish()
