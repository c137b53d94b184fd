"""Server side of callers' HTTP/1.1 connections.

Malformed requests are refused rather than guessed at. Pipelined requests are read ahead
and answered one at a time, in their order.
"""

from __future__ import annotations

import asyncio
import socket
from collections import deque
from http import HTTPStatus
from typing import TYPE_CHECKING, Protocol, cast

import attrs
import httptools

from ..errors import Refusal, ResultCode
from .caller_memory import Usage
from .tcp_state import count_unacknowledged

if TYPE_CHECKING:
    from collections.abc import Callable

    from ..model import Limits
    from .admission import LinkUsage
    from .caller_memory import CallerMemory

__all__ = ["CallerConnection", "CallerHandler", "CallerRequest"]

# The kernel closes a connection whose sent data is not acknowledged for this long.
UNACKNOWLEDGED_TIMEOUT_MS = 8000
MAX_PIPELINED_REQUESTS = 16  # Requests that wait on one connection.
# With more unsent data than this, reading from the backend server is paused, so that a
# slow caller does not fill the router's memory.
WRITE_HIGH_WATER_BYTES = 262_144
# Retry-After of a request whose body finds no memory; slow connections are aborted and
# good ones take what they are given within a few times this.
NO_MEMORY_RETRY_AFTER_S = 1.0


@attrs.frozen(kw_only=True)
class CallerRequest:
    """One request, read to its end.

    Attributes
    ----------
    method, target : bytes
        Request method and target of the request line.
    headers : list of (bytes, bytes)
        Names and values, in the order and spelling in which they were sent.
    body : bytes
        The body, empty if there is none.
    has_body : bool
        Whether the headers announce a body, which may be empty.
    arrived_at : float
        When the head was complete, in seconds on the loop's clock.
    keeps_alive : bool
        Whether the connection stays open after the response.
    """

    method: bytes
    target: bytes
    headers: list[tuple[bytes, bytes]]
    body: bytes
    has_body: bool
    arrived_at: float
    keeps_alive: bool


class ActiveRequest(Protocol):
    """A request in progress, as its connection controls it."""

    def cancel(self) -> None:
        """Abort the request, because its caller closed the connection."""

    def pause(self) -> None:
        """Stop reading from the server, because the caller reads slowly."""

    def resume(self) -> None:
        """Continue to read from the server."""


class CallerHandler(Protocol):
    """Serves the requests of all connections.

    While `is_draining` is true, connections are closed after their last response.
    """

    is_draining: bool

    def get_limits(self) -> Limits:
        """Return the size and time limits of requests."""

    def handle(
        self, connection: CallerConnection, request: CallerRequest
    ) -> ActiveRequest:
        """Start to serve a request that was read from `connection`."""

    def note_opened(self, connection: CallerConnection) -> None:
        """Register an open connection."""

    def note_closed(self, connection: CallerConnection) -> None:
        """Unregister a connection that was closed."""

    def note_refused(self, request_id: str | None, refusal: Refusal) -> None:
        """Record a request that was refused while it was being read."""


class CallerConnection(asyncio.Protocol):
    """One caller's connection: parses requests and writes responses.

    Parameters
    ----------
    handler : CallerHandler
        Serves the requests.
    loop : asyncio.AbstractEventLoop
        The event loop to run on.
    memory : CallerMemory
        Bounds the bytes that are held for all connections.
    usage : LinkUsage, optional
        Counts the bytes that are received and written.

    Attributes
    ----------
    n_bytes, n_sent : int
        Bytes received and written so far, and those written.
    opened_at : float
        When the connection was accepted, in seconds on the loop's clock.
    is_close_due : bool
        Whether the connection is to be closed after the next response.
    """

    def __init__(
        self,
        handler: CallerHandler,
        loop: asyncio.AbstractEventLoop,
        memory: CallerMemory,
        usage: LinkUsage | None = None,
    ) -> None:
        self.n_bytes = 0
        self.n_sent = 0
        self.opened_at = 0.0
        self.is_close_due = False
        self._usage = usage
        self._handler = handler
        self._loop = loop
        self._memory = memory
        self._written_bytes = 0
        self._received_bytes = 0
        self._transport: asyncio.Transport | None = None
        self._parser = httptools.HttpRequestParser(self)
        self._timer: asyncio.TimerHandle | None = None
        self._requests: deque[CallerRequest] = deque()
        self._active: ActiveRequest | None = None
        self._is_reading = False
        self._is_lost = False
        self._target = b""
        self._headers: list[tuple[bytes, bytes]] = []
        self._header_bytes = 0
        self._unparsed_bytes = 0  # Received since the last callback of the parser.
        self._body: list[bytes] = []
        self._body_bytes = 0
        self._has_body = False
        self._arrived_at = 0.0
        self._has_refused = False
        self._closes_after_response = False

    @property
    def is_idle(self) -> bool:
        """Whether no request is being read, waiting or being served."""
        return self._active is None and not self._requests and not self._is_reading

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Set the limits of a new connection and wait for its first request."""
        self.opened_at = self._loop.time()
        self._transport = cast("asyncio.Transport", transport)
        self._transport.set_write_buffer_limits(high=WRITE_HIGH_WATER_BYTES)
        sock = transport.get_extra_info("socket")
        if sock is not None:
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            sock.setsockopt(
                socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_TIMEOUT_MS
            )
        self._handler.note_opened(self)
        self._start_timer(self._handler.get_limits().idle_timeout_s, self.close)

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancel the request in progress and drop those that wait."""
        self._is_lost = True
        self._stop_timer()
        self._memory.forget(self)
        self._requests.clear()
        active, self._active = self._active, None
        if active is not None:
            active.cancel()
        self._handler.note_closed(self)

    def eof_received(self) -> bool:
        """Close the connection once the caller has closed its side.

        A caller that closes its side no longer waits for a response.
        """
        return False

    def pause_writing(self) -> None:
        """Stop reading from the server, because the write buffer is full."""
        if self._active is not None:
            self._active.pause()

    def resume_writing(self) -> None:
        """Continue to read from the server."""
        if self._active is not None:
            self._active.resume()

    def data_received(self, data: bytes) -> None:
        """Parse received data and refuse what is malformed."""
        if self._is_lost or self._has_refused:
            return
        self._unparsed_bytes += len(data)
        self.n_bytes += len(data)
        if self._usage is not None:
            self._usage.note_received(len(data), is_caller=True)
        if self._transport is not None and not self._transport.get_write_buffer_size():
            # Otherwise a caller that does not read could seem to make progress.
            self._received_bytes += len(data)
        try:
            self._parser.feed_data(data)
            self._check_unparsed()
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            if not self._is_lost and not self._has_refused:
                self._refuse(ResultCode.MALFORMED_REQUEST, str(error))

    def count_unsent(self) -> int:
        """Return the bytes in the write buffer."""
        if self._transport is None or self._is_lost:
            return 0
        return self._transport.get_write_buffer_size()

    def request_close(self) -> None:
        """Close the connection after the next response, which announces that."""
        self.is_close_due = True

    def close(self) -> None:
        """Close the connection after all written data was sent."""
        self._stop_timer()
        if self._transport is not None and not self._is_lost:
            self._transport.close()

    def abort(self) -> None:
        """Close the connection without sending the rest of the written data.

        The caller cannot mistake a response that was aborted for a complete one.
        """
        self._stop_timer()
        if self._transport is not None and not self._is_lost:
            self._transport.abort()

    # The methods of `Holder`.

    def measure_usage(self) -> Usage:
        """Return the unsent bytes, with those of bodies read, and the bytes moved."""
        if self._transport is None or self._is_lost:
            return Usage(0, self._written_bytes + self._received_bytes)
        unsent = self._transport.get_write_buffer_size()
        bodies = self._body_bytes if self._is_reading else 0
        bodies += sum(len(request.body) for request in self._requests)
        taken = self._written_bytes - unsent - count_unacknowledged(self._transport)
        return Usage(unsent + bodies, taken + self._received_bytes)

    def abort_slow(self) -> None:
        """Abort the connection of a caller that reads or sends slowly."""
        self.abort()

    def describe(self) -> str:
        """Return the kind of the other end."""
        return "caller"

    # Callbacks of the parser.

    def on_message_begin(self) -> None:
        """Reset the state for a new request and start the timer for its head."""
        self._is_reading = True
        self._unparsed_bytes = 0
        self._target = b""
        self._headers = []
        self._header_bytes = 0
        self._body = []
        self._body_bytes = 0
        self._has_body = False
        limits = self._handler.get_limits()
        self._start_timer(limits.header_timeout_s, self._refuse_slow_sender)

    def on_url(self, data: bytes) -> None:
        """Append a part of the request target."""
        self._target += data
        self._count_header_bytes(len(data))

    def on_header(self, name: bytes, value: bytes) -> None:
        """Append one header line."""
        self._unparsed_bytes = 0
        self._headers.append((name, value))
        self._count_header_bytes(len(name) + len(value) + 4)
        lower = name.lower()
        if lower in (b"content-length", b"transfer-encoding"):
            self._has_body = True

    def on_headers_complete(self) -> None:
        """Process the headers that are needed before the body.

        Notes the time of arrival, confirms ``Expect: 100-continue`` and refuses a body
        that is announced as too large.
        """
        if self._has_refused:
            return
        self._arrived_at = self._loop.time()
        limits = self._handler.get_limits()
        self._start_timer(limits.idle_timeout_s, self._refuse_slow_sender)
        for name, value in self._headers:
            lower = name.lower()
            if lower == b"expect" and value.lower() == b"100-continue":
                self._write(b"HTTP/1.1 100 Continue\r\n\r\n")
            if lower == b"content-length" and value.isdigit():
                if int(value) > limits.body_bytes:
                    self._refuse(ResultCode.BODY_TOO_LARGE, "")
                    return

    def on_body(self, data: bytes) -> None:
        """Append a part of the body, up to the limit."""
        self._unparsed_bytes = 0
        if self._has_refused:
            return
        body_bytes = self._body_bytes + len(data)
        if body_bytes > self._handler.get_limits().body_bytes:
            self._refuse(ResultCode.BODY_TOO_LARGE, "")
            return
        if not self._memory.accepts_body(self, len(data)):
            self._refuse(
                ResultCode.OVERLOADED,
                "no memory for request bodies",
                NO_MEMORY_RETRY_AFTER_S,
            )
            return
        self._body_bytes = body_bytes
        self._body.append(data)

    def on_message_complete(self) -> None:
        """Queue the request, and serve it if no other one is in progress."""
        if self._has_refused:
            return
        self._is_reading = False
        self._stop_timer()
        method = self._parser.get_method()
        self._requests.append(
            CallerRequest(
                method=method,
                target=self._target,
                headers=self._headers,
                body=b"".join(self._body),
                has_body=self._has_body,
                arrived_at=self._arrived_at,
                keeps_alive=self._parser.should_keep_alive(),
            )
        )
        self._body = []
        if len(self._requests) > MAX_PIPELINED_REQUESTS:
            self._refuse(ResultCode.MALFORMED_REQUEST, "too many pipelined requests")
            return
        self._start_next_request()

    def _check_unparsed(self) -> None:
        """Refuse a line that does not end.

        The parser calls back for complete lines only, so the other size checks would
        never see it.
        """
        if not self._is_reading or self._has_refused:
            return
        if self._unparsed_bytes > self._handler.get_limits().header_bytes:
            self._refuse(ResultCode.HEADERS_TOO_LARGE, "")

    def _count_header_bytes(self, count: int) -> None:
        """Refuse a head that exceeds the limit."""
        self._header_bytes += count
        if self._has_refused:
            return
        if self._header_bytes > self._handler.get_limits().header_bytes:
            self._refuse(ResultCode.HEADERS_TOO_LARGE, "")

    def _start_next_request(self) -> None:
        """Serve the next request that waits, unless one is in progress."""
        if self._active is not None or not self._requests or self._is_lost:
            return
        request = self._requests.popleft()
        self._closes_after_response = not request.keeps_alive
        self._active = self._handler.handle(self, request)

    # Responses.

    def send_response(self, status: int, lines: bytes, body: bytes) -> None:
        """Write a complete response and serve the next request."""
        head = self._make_head(status, lines)
        self._write(b"%bContent-Length: %d\r\n\r\n%b" % (head, len(body), body))
        self.finish_response()

    def start_stream(self, status: int, lines: bytes) -> None:
        """Write the head of a response with a chunked body."""
        head = self._make_head(status, lines)
        self._write(head + b"Transfer-Encoding: chunked\r\n\r\n")

    def send_chunk(self, data: bytes) -> None:
        """Write one chunk of a body."""
        self._write(b"%x\r\n%b\r\n" % (len(data), data))

    def end_stream(self) -> None:
        """Write the end of a chunked body and serve the next request."""
        self._write(b"0\r\n\r\n")
        self.finish_response()

    def abort_response(self) -> None:
        """Abort the response and the connection, so that it does not look complete."""
        self._active = None
        self.abort()

    def finish_response(self) -> None:
        """After a response, serve the next request, close the connection or wait."""
        self._active = None
        if self._is_lost:
            return
        if self._closes_after_response or (
            self._handler.is_draining and not self._requests
        ):
            self.close()
            return
        if self._requests:
            self._loop.call_soon(self._start_next_request)
        elif not self._is_reading:
            self._start_timer(self._handler.get_limits().idle_timeout_s, self.close)

    def _make_head(self, status: int, lines: bytes) -> bytes:
        """Return status line and headers, without those that delimit the body."""
        if self._handler.is_draining or (self.is_close_due and not self._requests):
            self._closes_after_response = True
        reason = HTTPStatus(status).phrase if status in _KNOWN_STATUSES else ""
        close_line = b"Connection: close\r\n" if self._closes_after_response else b""
        return b"HTTP/1.1 %d %b\r\n%b%b" % (status, reason.encode(), lines, close_line)

    def _write(self, data: bytes) -> None:
        """Write to the connection, unless it was lost."""
        if self._transport is not None and not self._is_lost:
            self.n_bytes += len(data)
            self.n_sent += len(data)
            if self._usage is not None:
                self._usage.note_sent(len(data), is_caller=True)
            self._transport.write(data)
            self._written_bytes += len(data)
            if self._transport.get_write_buffer_size():
                self._memory.note_growth(self, len(data))

    def _refuse_slow_sender(self) -> None:
        """Refuse a request that did not arrive in time."""
        self._refuse(ResultCode.SENDER_TOO_SLOW, "")

    def _refuse(
        self, code: ResultCode, detail: str, retry_after_s: float = 0.0
    ) -> None:
        """Refuse the request being read and close the connection."""
        refusal = Refusal(
            code, is_not_run=True, detail=detail, retry_after_s=retry_after_s
        )
        self._has_refused = True
        self._body = []
        self._body_bytes = 0
        self._closes_after_response = True
        self._stop_timer()
        self._handler.note_refused(None, refusal)
        if self._active is not None or self._requests:
            # The response in progress is sent first and ends the connection; there is
            # no response to the refused request.
            return
        body = refusal.label.encode("ascii")
        lines = b"Retry-After: %.3f\r\n" % retry_after_s if retry_after_s else b""
        head = self._make_head(refusal.http_status, lines)
        self._write(b"%bContent-Length: %d\r\n\r\n%b" % (head, len(body), body))
        self.close()

    def _start_timer(self, delay_s: float, action: Callable[[], None]) -> None:
        """Call `action` after a delay, instead of the action that was due."""
        self._stop_timer()
        self._timer = self._loop.call_later(delay_s, action)

    def _stop_timer(self) -> None:
        """Cancel the action that is due."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None


_KNOWN_STATUSES = {int(status) for status in HTTPStatus}
