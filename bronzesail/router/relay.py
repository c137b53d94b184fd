"""Takes one answer of a backend server and hands it on to the caller."""

from __future__ import annotations

import enum
from typing import TYPE_CHECKING

import attrs

from ..model import AnswerHead

if TYPE_CHECKING:
    import asyncio
    from collections.abc import Callable

    from .answer_memory import AnswerMemory
    from .caller import CallerConnection

__all__ = [
    "MAX_COLLECTED_BYTES",
    "MAX_EVENT_BYTES",
    "Ending",
    "Outcome",
    "Relay",
    "StreamState",
]

EVENT_END = b"\n\n"
MAX_EVENT_BYTES = 65_536  # An event holds a few tokens.
MAX_COLLECTED_BYTES = 16_777_216  # Four times the largest body of a request.


class Ending(enum.Enum):
    """How an answer ended."""

    COMPLETE = "complete"  # A whole answer was collected.
    STREAMED = "streamed"  # A whole stream was handed on.
    NOT_RUN = "not run"  # The server says that it did not run the request.
    BROKEN = "broken"  # The server may have run it.


@attrs.frozen(kw_only=True)
class Outcome:
    """The end of one send."""

    ending: Ending
    head: AnswerHead | None = None
    body: bytes = b""
    reason: str = ""


@attrs.define
class StreamState:
    """What the caller has got of a stream, over all servers that took part."""

    is_started: bool = False
    events: int = 0
    last_event_id: str | None = None
    last_event_at: float = 0.0


class Relay:
    """One answer, as it arrives.

    Parameters
    ----------
    loop : asyncio.AbstractEventLoop
        The loop to run on.
    caller : CallerConnection
        Where a stream goes.
    request_id : str
        The id that the answer must carry.
    stream : StreamState or None
        Where the route streams.
    on_head : callable
        Called with a head that belongs to the request.
    memory : AnswerMemory
        Bounds what all answers of the process hold.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        caller: CallerConnection,
        request_id: str,
        stream: StreamState | None,
        on_head: Callable[[AnswerHead], None],
        memory: AnswerMemory,
    ) -> None:
        self._loop = loop
        self._caller = caller
        self._request_id = request_id
        self._stream = stream
        self._on_head = on_head
        self._memory = memory
        self._head: AnswerHead | None = None
        self._is_streaming = False
        self._collected: list[bytes] = []
        self._collected_bytes = 0
        self._pending = bytearray()
        self.first: asyncio.Future[None] = loop.create_future()
        self.done: asyncio.Future[Outcome] = loop.create_future()

    def head_received(self, head: AnswerHead) -> None:
        """Check that the answer belongs to the request, and begin to hand it on."""
        is_success = 200 <= head.status < 300
        if head.request_id not in (None, self._request_id):
            self._resolve(Ending.BROKEN, "answer to another request")
            return
        if is_success and (not head.is_sealed or head.request_id is None):
            self._resolve(Ending.BROKEN, "success without the server's seal")
            return
        if head.is_encoded:
            self._resolve(Ending.BROKEN, "encoded body")
            return
        self._head = head
        self._on_head(head)
        if self._stream is not None and is_success:
            self._is_streaming = True
        if not self.first.done():
            self.first.set_result(None)

    def body_received(self, data: bytes) -> None:
        """Hand on whole events, or collect."""
        if self.done.done():
            return
        if not self._is_streaming:
            self._collected_bytes += len(data)
            if self._collected_bytes > MAX_COLLECTED_BYTES:
                self._resolve(Ending.BROKEN, "answer too large")
                return
            self._collected.append(data)
            self._memory.hold(self._drop, len(data))
            return
        # The end of an event may be split between two pieces.
        searched = max(0, len(self._pending) - len(EVENT_END) + 1)
        self._pending += data
        end = self._pending.rfind(EVENT_END, searched)
        if end >= 0:
            whole = bytes(self._pending[: end + len(EVENT_END)])
            del self._pending[: end + len(EVENT_END)]
            self._hand_on(whole)
        if len(self._pending) > MAX_EVENT_BYTES:
            self._resolve(Ending.BROKEN, "event too large")

    def response_completed(self) -> None:
        """Finish the answer."""
        if self.done.done():
            return
        assert self._head is not None
        if self._is_streaming:
            if self._pending:
                self._resolve(Ending.BROKEN, "stream ended within an event")
                return
            self._start_stream()
            self._resolve(Ending.STREAMED)
        elif self._head.is_not_run:
            self._resolve(Ending.NOT_RUN)
        else:
            self._resolve(Ending.COMPLETE)

    def response_failed(self, reason: str) -> None:
        """Finish an answer that ended early."""
        self._resolve(Ending.BROKEN, reason)

    def release(self) -> None:
        """Take it that the answer was handed on or given up."""
        self._memory.release(self._drop)

    def _drop(self) -> None:
        self._resolve(Ending.BROKEN, "answers in progress take too much memory")

    def _start_stream(self) -> None:
        assert self._stream is not None and self._head is not None
        if self._stream.is_started:
            return
        self._stream.is_started = True
        self._caller.start_stream(self._head.status, self._head.passed_on)

    def _hand_on(self, events: bytes) -> None:
        assert self._stream is not None
        self._start_stream()
        self._stream.events += events.count(EVENT_END)
        self._stream.last_event_at = self._loop.time()
        event_id = find_last_event_id(events)
        if event_id is not None:
            self._stream.last_event_id = event_id
        self._caller.send_piece(events)

    def _resolve(self, ending: Ending, reason: str = "") -> None:
        if not self.first.done():
            self.first.set_result(None)
        if self.done.done():
            return
        body = b"".join(self._collected) if ending is Ending.COMPLETE else b""
        self._collected.clear()
        self.done.set_result(
            Outcome(ending=ending, head=self._head, body=body, reason=reason)
        )


def find_last_event_id(events: bytes) -> str | None:
    r"""Return the id of the last event that has one.

    >>> find_last_event_id(b"id: 1\ndata: a\n\nid: 2\ndata: b\n\n")
    '2'
    """
    at = events.rfind(b"id:")
    while at > 0 and events[at - 1 : at] != b"\n":
        at = events.rfind(b"id:", 0, at)
    if at < 0:
        return None
    return events[at + 3 : events.index(b"\n", at)].strip().decode("latin-1")
