"""Receives one response of a backend server and relays it to the caller.

Responses of streaming routes are relayed event by event. All others are collected, so
that the request can be sent to another server if the response is not complete.
"""

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

EVENT_END = b"\n\n"  # Server-sent events are separated by an empty line.
MAX_EVENT_BYTES = 65_536  # Ample for an event, which holds a few tokens.
# Limit of a collected response: four times the default limit of a request's body.
MAX_COLLECTED_BYTES = 16_777_216


class Ending(enum.Enum):
    """How a response ended."""

    COMPLETE = "complete"  # The response was collected to its end.
    STREAMED = "streamed"  # The stream was relayed to its end.
    NOT_RUN = "not run"  # The server states that it did not run the request.
    BROKEN = "broken"  # No valid, complete response; the server may have run it.


@attrs.frozen(kw_only=True)
class Outcome:
    """Result of sending a request to one server.

    Attributes
    ----------
    ending : Ending
        How the response ended.
    head : AnswerHead or None
        The head of the response, None if none was accepted.
    body : bytes
        The body of a complete response, otherwise empty.
    reason : str
        Why the response is broken, otherwise empty.
    has_begun : bool
        Whether the first event of a stream has arrived, or another success.
    """

    ending: Ending
    head: AnswerHead | None = None
    body: bytes = b""
    reason: str = ""
    has_begun: bool = False


@attrs.define
class StreamState:
    """Progress of a stream to its caller, across all servers that sent a part.

    Attributes
    ----------
    is_started : bool
        Whether the head of the response was sent to the caller.
    events : int
        Number of events sent to the caller.
    last_event_id : str or None
        Id of the last event that had one, or the one that the caller's request names.
        Another server resumes the stream after it.
    last_event_at : float
        When the last event was sent, in seconds on the loop's clock.
    """

    is_started: bool = False
    events: int = 0
    last_event_id: str | None = None
    last_event_at: float = 0.0


class Relay:
    """Checks, collects or relays one response while it arrives.

    Implements `AnswerSink`.

    Parameters
    ----------
    loop : asyncio.AbstractEventLoop
        The event loop to run on.
    caller : CallerConnection
        Connection that a stream is relayed to.
    request_id : str
        The request id that the response must repeat.
    stream : StreamState or None
        Progress of the stream; None if the route does not stream.
    on_head : callable
        Called with a valid head.
    on_begun : callable
        Called at the first event of a stream, or the end of another success.
    memory : AnswerMemory
        Limits the memory of all collected responses of the process.

    Attributes
    ----------
    head_done : asyncio.Future
        Resolved once the head was accepted or the response has ended.
    done : asyncio.Future
        Resolved with the outcome.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        caller: CallerConnection,
        request_id: str,
        stream: StreamState | None,
        on_head: Callable[[AnswerHead], None],
        on_begun: Callable[[], None],
        memory: AnswerMemory,
    ) -> None:
        self._loop = loop
        self._caller = caller
        self._request_id = request_id
        self._stream = stream
        self._on_head = on_head
        self._on_begun = on_begun
        self._memory = memory
        self._head: AnswerHead | None = None
        self._is_streaming = False
        self._has_begun = False
        self._collected: list[bytes] = []
        self._collected_bytes = 0
        self._pending = bytearray()
        self.head_done: asyncio.Future[None] = loop.create_future()
        self.done: asyncio.Future[Outcome] = loop.create_future()

    def head_received(self, head: AnswerHead) -> None:
        """Accept the head, or end the response if it is not valid.

        A success is valid only with the server's seal and the id of this request, so
        that a response to another request does not reach the caller.
        """
        is_success = 200 <= head.status < 300
        if head.request_id not in (None, self._request_id):
            self._resolve(Ending.BROKEN, "response to another request")
            return
        if is_success and (not head.is_sealed or head.request_id is None):
            self._resolve(Ending.BROKEN, "success without the server's seal")
            return
        if head.is_encoded:
            self._resolve(Ending.BROKEN, "response body has a content encoding")
            return
        self._head = head
        self._on_head(head)
        if self._stream is not None and is_success:
            self._is_streaming = True
        if not self.head_done.done():
            self.head_done.set_result(None)

    def body_received(self, data: bytes) -> None:
        """Relay the complete events of a stream, or collect the body."""
        if self.done.done():
            return
        if not self._is_streaming:
            self._collected_bytes += len(data)
            if self._collected_bytes > MAX_COLLECTED_BYTES:
                self._resolve(Ending.BROKEN, "response too large")
                return
            self._collected.append(data)
            self._memory.hold(self._end_for_memory, len(data))
            return
        # The separator of two events may be split between two calls.
        search_from = max(0, len(self._pending) - len(EVENT_END) + 1)
        self._pending += data
        end = self._pending.rfind(EVENT_END, search_from)
        if end >= 0:
            events = bytes(self._pending[: end + len(EVENT_END)])
            del self._pending[: end + len(EVENT_END)]
            self._relay_events(events)
        if len(self._pending) > MAX_EVENT_BYTES:
            self._resolve(Ending.BROKEN, "event too large")

    def response_completed(self) -> None:
        """Resolve the outcome of a response that was received to its end."""
        if self.done.done():
            return
        assert self._head is not None
        if self._is_streaming:
            if self._pending:
                self._resolve(Ending.BROKEN, "stream ended inside an event")
                return
            if not self._head.has_length and not self._has_begun:
                # A server that crashes after the head ends the connection, too.
                self._resolve(Ending.BROKEN, "connection closed before an event")
                return
            self._start_stream()
            self._resolve(Ending.STREAMED)
        elif self._head.is_not_run:
            self._resolve(Ending.NOT_RUN)
        else:
            if 200 <= self._head.status < 300:
                self._note_begun()
            self._resolve(Ending.COMPLETE)

    def response_failed(self, reason: str) -> None:
        """Resolve the outcome of a response that ended early."""
        self._resolve(Ending.BROKEN, reason)

    def release(self) -> None:
        """Release the memory of a response that is no longer needed."""
        self._memory.release(self._end_for_memory)

    def _end_for_memory(self) -> None:
        """End the response because collected responses exceed the memory limit."""
        self._resolve(Ending.BROKEN, "collected responses exceed the memory limit")

    def _start_stream(self) -> None:
        """Send the head to the caller, unless an earlier server's was sent."""
        assert self._stream is not None and self._head is not None
        if self._stream.is_started:
            return
        self._stream.is_started = True
        self._caller.start_stream(self._head.status, self._head.passed_on)

    def _relay_events(self, events: bytes) -> None:
        """Send complete events to the caller and record them as sent."""
        assert self._stream is not None
        self._start_stream()
        self._note_begun()
        self._stream.events += events.count(EVENT_END)
        self._stream.last_event_at = self._loop.time()
        event_id = find_last_event_id(events)
        if event_id is not None:
            self._stream.last_event_id = event_id
        self._caller.send_chunk(events)

    def _note_begun(self) -> None:
        """Record that the server has begun to write its answer."""
        if not self._has_begun:
            self._has_begun = True
            self._on_begun()

    def _resolve(self, ending: Ending, reason: str = "") -> None:
        """Resolve both futures; the first outcome is final."""
        if not self.head_done.done():
            self.head_done.set_result(None)
        if self.done.done():
            return
        body = b"".join(self._collected) if ending is Ending.COMPLETE else b""
        self._collected.clear()
        self.done.set_result(
            Outcome(
                ending=ending,
                head=self._head,
                body=body,
                reason=reason,
                has_begun=self._has_begun,
            )
        )


def find_last_event_id(events: bytes) -> str | None:
    r"""Return the id of the last event that has one, or None.

    >>> find_last_event_id(b"id: 1\ndata: a\n\nid: 2\ndata: b\n\n")
    '2'
    """
    start = events.rfind(b"id:")
    while start > 0 and events[start - 1 : start] != b"\n":
        start = events.rfind(b"id:", 0, start)
    if start < 0:
        return None
    return events[start + 3 : events.index(b"\n", start)].strip().decode("latin-1")
