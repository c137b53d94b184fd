"""Records of requests in progress and of retained answers."""

from __future__ import annotations

import asyncio
from collections import OrderedDict
from collections.abc import Callable
from typing import TYPE_CHECKING

import attrs

from ..errors import ResultCode
from ..util.invariants import check_invariant
from ._life import RequestLife, WholeAnswer

if TYPE_CHECKING:
    from ._life import Chunk, Ending

__all__ = ["RecordTable", "RequestRecord"]

# Estimated memory of a record without its answer.
RECORD_OVERHEAD_BYTES = 512


@attrs.define(eq=False)
class RequestRecord:
    """One request in progress, or its retained answer.

    Attributes
    ----------
    account : str
        Client account.
    key : str
        Request key.
    digest : bytes
        Hash of the request; empty if this router knows only the request key.
    service : str
        Name of the service.
    life : RequestLife
        State machine of the request.
    is_mirror : bool
        Whether the request runs, or ran, on another router and is copied from there.
    backend_server : str
        Name of the backend server of the last dispatch.
    task : asyncio.Task or None
        Task that runs or follows the request.
    n_attached : int
        Number of callers and peers that currently wait for the answer.
    detached_at : float
        Monotonic time when the last caller or peer stopped waiting, in seconds.
    ended_at : float
        Monotonic time when the request ended, in seconds.
    stop_code : ResultCode
        Result code for the case that the task is cancelled.
    """

    account: str
    key: str
    digest: bytes
    service: str
    life: RequestLife
    is_mirror: bool = False
    backend_server: str = ""
    task: asyncio.Task[None] | None = None
    n_attached: int = 0
    detached_at: float = 0.0
    ended_at: float = 0.0
    stop_code: ResultCode = ResultCode.CANCELLED
    _listeners: set[Callable[[], None]] = attrs.field(factory=set)

    def stop(self, code: ResultCode) -> None:
        """Cancel the task that runs the request.

        Parameters
        ----------
        code : ResultCode
            Result code with which the request ends.
        """
        if self.task is None:
            return
        self.stop_code = code
        self.task.cancel()

    @property
    def ending(self) -> Ending | None:
        """Result of the request; None while it is in progress."""
        return self.life.ending

    @property
    def size_bytes(self) -> int:
        """Estimated memory of the record, in bytes (64 for each part plus its text)."""
        size = RECORD_OVERHEAD_BYTES
        for chunk in self.life.chunks:
            size += len(chunk.text) + 64
        if isinstance(self.ending, WholeAnswer):
            size += len(self.ending.body)
        return size

    def list_chunks(self, after: int) -> list[Chunk]:
        """Return the parts after a number, in order.

        Parameters
        ----------
        after : int
            Number of the last part that the reader already has.

        Returns
        -------
        list of Chunk
            Parts with greater numbers.
        """
        parts = self.life.chunks[after:]
        for expected, part in enumerate(parts, start=after + 1):
            check_invariant(
                part.number == expected, "I6: parts are numbered consecutively"
            )
        return parts

    def listen(self, listener: Callable[[], None]) -> Callable[[], None]:
        """Call a listener after each change; return a function that removes it."""
        self._listeners.add(listener)
        return lambda: self._listeners.discard(listener)

    def announce(self) -> None:
        """Call the listeners after parts or the result were added."""
        for listener in tuple(self._listeners):
            listener()


class RecordTable:
    """Records by client account and request key.

    Records in progress are kept; ended ones are bounded in age and total size.

    Parameters
    ----------
    keep_s : float
        Retention time of an ended record, in seconds.
    keep_bytes : int
        Greatest total size of the ended records, in bytes.
    """

    def __init__(self, keep_s: float, keep_bytes: int) -> None:
        self._keep_s = keep_s
        self._keep_bytes = keep_bytes
        self._records: dict[tuple[str, str], RequestRecord] = {}
        self._ended: OrderedDict[tuple[str, str], int] = OrderedDict()
        self._ended_bytes = 0

    def __len__(self) -> int:
        return len(self._records)

    def list_running(self) -> list[RequestRecord]:
        """Return the records of requests in progress."""
        return [record for record in self._records.values() if record.ending is None]

    def find(self, account: str, key: str) -> RequestRecord | None:
        """Return the record under a client account's request key.

        Parameters
        ----------
        account : str
            Client account.
        key : str
            Request key.

        Returns
        -------
        RequestRecord or None
            The record; None if there is none.
        """
        record = self._records.get((account, key))
        if record is not None:
            check_invariant(record.account == account, "I6: record of another account")
        return record

    def add(self, record: RequestRecord) -> None:
        """Add a record; it replaces an ended one under the same request key.

        Parameters
        ----------
        record : RequestRecord
            The record.
        """
        name = (record.account, record.key)
        known = self._records.get(name)
        is_free = known is None or known.ending is not None
        check_invariant(is_free, "a key has one request in progress")
        self._subtract_size(name)
        self._records[name] = record

    def note_ended(self, record: RequestRecord, now: float) -> None:
        """Start the retention time of a record that has ended.

        Parameters
        ----------
        record : RequestRecord
            Record with a result.
        now : float
            Monotonic time, in seconds.
        """
        check_invariant(record.ending is not None, "record ended without a result")
        name = (record.account, record.key)
        if self._records.get(name) is not record:
            return
        record.ended_at = now
        self._ended[name] = record.size_bytes
        self._ended_bytes += record.size_bytes
        self.expire(now)

    def expire(self, now: float) -> None:
        """Remove ended records that are too old, or the oldest if they are too large.

        Parameters
        ----------
        now : float
            Monotonic time, in seconds.
        """
        while self._ended:
            name = next(iter(self._ended))
            is_old = now - self._records[name].ended_at >= self._keep_s
            if not is_old and self._ended_bytes <= self._keep_bytes:
                return
            self._subtract_size(name)
            del self._records[name]

    def _subtract_size(self, name: tuple[str, str]) -> None:
        self._ended_bytes -= self._ended.pop(name, 0)
