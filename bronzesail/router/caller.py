"""Callers' connections: requests are read strictly, one is answered at a time."""

from __future__ import annotations

import asyncio
import socket
from collections import deque
from http import HTTPStatus
from typing import TYPE_CHECKING, Protocol, cast

import attrs
import httptools

from ..errors import Refusal, ResultCode

if TYPE_CHECKING:
    from collections.abc import Callable

    from ..model import Limits

__all__ = ["CallerConnection", "CallerHandler", "CallerRequest"]

SILENCE_MS = 8000  # Unacknowledged data for this long ends a connection.
MAX_PIPELINED = 16  # Requests read ahead on one connection.
WRITE_HIGH_BYTES = 262_144  # A caller that reads slowly holds back its server.


@attrs.frozen(kw_only=True)
class CallerRequest:
    """One whole request.

    Attributes
    ----------
    arrived_at : float
        When its head was read, in seconds on the loop's clock.
    """

    method: bytes
    target: bytes
    headers: list[tuple[bytes, bytes]]
    body: bytes
    has_body: bool
    arrived_at: float
    keeps_alive: bool


class Cancellable(Protocol):
    """A request in progress."""

    def cancel(self) -> None:
        """End the request: its caller has gone."""

    def pause(self) -> None:
        """Hold back the server: the caller reads slowly."""

    def resume(self) -> None:
        """Go on after `pause`."""


class CallerHandler(Protocol):
    """Takes callers' requests."""

    is_draining: bool

    def get_limits(self) -> Limits:
        """Return what a caller may send."""

    def handle(
        self, connection: CallerConnection, request: CallerRequest
    ) -> Cancellable:
        """Start to answer a request."""

    def note_opened(self, connection: CallerConnection) -> None:
        """Take a new connection."""

    def note_closed(self, connection: CallerConnection) -> None:
        """Take it that a connection has ended."""

    def note_refused(self, request_id: str | None, refusal: Refusal) -> None:
        """Take it that a request was refused before it was handled."""


class CallerConnection(asyncio.Protocol):
    """One caller's connection.

    Parameters
    ----------
    handler : CallerHandler
        Takes the requests.
    loop : asyncio.AbstractEventLoop
        The loop to run on.
    """

    def __init__(self, handler: CallerHandler, loop: asyncio.AbstractEventLoop) -> None:
        self._handler = handler
        self._loop = loop
        self._transport: asyncio.Transport | None = None
        self._parser = httptools.HttpRequestParser(self)
        self._timer: asyncio.TimerHandle | None = None
        self._requests: deque[CallerRequest] = deque()
        self._current: Cancellable | None = None
        self._is_reading = False
        self._is_dead = False
        self._target = b""
        self._headers: list[tuple[bytes, bytes]] = []
        self._header_bytes = 0
        self._unparsed_bytes = 0  # Since the parser told of a part of a request.
        self._body: list[bytes] = []
        self._body_bytes = 0
        self._has_body = False
        self._arrived_at = 0.0
        self._must_close = False
        self._is_closing = False

    @property
    def is_idle(self) -> bool:
        """Whether no request is read, waits or is answered."""
        return self._current is None and not self._requests and not self._is_reading

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Take the connection."""
        self._transport = cast("asyncio.Transport", transport)
        self._transport.set_write_buffer_limits(high=WRITE_HIGH_BYTES)
        sock = transport.get_extra_info("socket")
        if sock is not None:
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, SILENCE_MS)
        self._handler.note_opened(self)
        self._start_timer(self._handler.get_limits().idle_timeout_s, self.close)

    def connection_lost(self, exc: Exception | None) -> None:
        """End what is in progress for the caller."""
        self._is_dead = True
        self._stop_timer()
        self._requests.clear()
        current, self._current = self._current, None
        if current is not None:
            current.cancel()
        self._handler.note_closed(self)

    def eof_received(self) -> bool:
        """Treat a half-closed connection as closed, as callers mean it."""
        return False

    def pause_writing(self) -> None:
        """Hold back the server."""
        if self._current is not None:
            self._current.pause()

    def resume_writing(self) -> None:
        """Let the server go on."""
        if self._current is not None:
            self._current.resume()

    def data_received(self, data: bytes) -> None:
        """Parse what arrived."""
        if self._is_dead or self._must_close:
            return
        self._unparsed_bytes += len(data)
        try:
            self._parser.feed_data(data)
            self._check_unparsed()
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            if not self._is_dead and not self._must_close:
                self._refuse(ResultCode.MALFORMED_REQUEST, str(error))

    def close(self) -> None:
        """Close the connection once what was written has left."""
        self._stop_timer()
        if self._transport is not None and not self._is_dead:
            self._transport.close()

    def abort(self) -> None:
        """Cut the connection, so that no answer on it looks complete."""
        self._stop_timer()
        if self._transport is not None and not self._is_dead:
            self._transport.abort()

    # Callbacks of the parser.

    def on_message_begin(self) -> None:
        """Start a request."""
        self._is_reading = True
        self._unparsed_bytes = 0
        self._target = b""
        self._headers = []
        self._header_bytes = 0
        self._body = []
        self._body_bytes = 0
        self._has_body = False
        limits = self._handler.get_limits()
        self._start_timer(limits.header_timeout_s, self._time_out)

    def on_url(self, data: bytes) -> None:
        """Take a piece of the target."""
        self._target += data
        self._count_header(len(data))

    def on_header(self, name: bytes, value: bytes) -> None:
        """Take one header line."""
        self._unparsed_bytes = 0
        self._headers.append((name, value))
        self._count_header(len(name) + len(value) + 4)
        lower = name.lower()
        if lower in (b"content-length", b"transfer-encoding"):
            self._has_body = True

    def on_headers_complete(self) -> None:
        """Note when the head was complete."""
        if self._must_close:
            return
        self._arrived_at = self._loop.time()
        limits = self._handler.get_limits()
        self._start_timer(limits.idle_timeout_s, self._time_out)
        for name, value in self._headers:
            lower = name.lower()
            if lower == b"expect" and value.lower() == b"100-continue":
                self._write(b"HTTP/1.1 100 Continue\r\n\r\n")
            if lower == b"content-length" and value.isdigit():
                if int(value) > limits.body_bytes:
                    self._refuse(ResultCode.BODY_TOO_LARGE, "")
                    return

    def on_body(self, data: bytes) -> None:
        """Take a piece of the body."""
        self._unparsed_bytes = 0
        if self._must_close:
            return
        self._body_bytes += len(data)
        if self._body_bytes > self._handler.get_limits().body_bytes:
            self._refuse(ResultCode.BODY_TOO_LARGE, "")
            return
        self._body.append(data)

    def on_message_complete(self) -> None:
        """Queue the request."""
        if self._must_close:
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
        if len(self._requests) > MAX_PIPELINED:
            self._refuse(ResultCode.MALFORMED_REQUEST, "too many requests read ahead")
            return
        self._start_next()

    def _check_unparsed(self) -> None:
        """Refuse a line that does not end; the parser tells of whole ones only."""
        if not self._is_reading or self._must_close:
            return
        if self._unparsed_bytes > self._handler.get_limits().header_bytes:
            self._refuse(ResultCode.HEADERS_TOO_LARGE, "")

    def _count_header(self, count: int) -> None:
        self._header_bytes += count
        if self._must_close:
            return
        if self._header_bytes > self._handler.get_limits().header_bytes:
            self._refuse(ResultCode.HEADERS_TOO_LARGE, "")

    def _start_next(self) -> None:
        if self._current is not None or not self._requests or self._is_dead:
            return
        request = self._requests.popleft()
        self._is_closing = not request.keeps_alive
        self._current = self._handler.handle(self, request)

    # Answers.

    def send_answer(self, status: int, lines: bytes, body: bytes) -> None:
        """Write a whole answer and go on with the next request."""
        head = self._make_head(status, lines)
        self._write(b"%bContent-Length: %d\r\n\r\n%b" % (head, len(body), body))
        self.finish()

    def start_stream(self, status: int, lines: bytes) -> None:
        """Write the head of an answer whose body comes in pieces."""
        head = self._make_head(status, lines)
        self._write(head + b"Transfer-Encoding: chunked\r\n\r\n")

    def send_piece(self, data: bytes) -> None:
        """Write a piece of a body."""
        self._write(b"%x\r\n%b\r\n" % (len(data), data))

    def end_stream(self) -> None:
        """Write the end of a body that came in pieces."""
        self._write(b"0\r\n\r\n")
        self.finish()

    def break_off(self) -> None:
        """Cut an answer short, so that it does not look complete."""
        self._current = None
        self.abort()

    def finish(self) -> None:
        """Go on after an answer."""
        self._current = None
        if self._is_dead:
            return
        if self._is_closing or (self._handler.is_draining and not self._requests):
            self.close()
            return
        if self._requests:
            self._loop.call_soon(self._start_next)
        elif not self._is_reading:
            self._start_timer(self._handler.get_limits().idle_timeout_s, self.close)

    def _make_head(self, status: int, lines: bytes) -> bytes:
        if self._handler.is_draining:
            self._is_closing = True
        reason = HTTPStatus(status).phrase if status in _KNOWN_STATUSES else ""
        close = b"Connection: close\r\n" if self._is_closing else b""
        return b"HTTP/1.1 %d %b\r\n%b%b" % (status, reason.encode(), lines, close)

    def _write(self, data: bytes) -> None:
        if self._transport is not None and not self._is_dead:
            self._transport.write(data)

    def _time_out(self) -> None:
        self._refuse(ResultCode.SENDER_TOO_SLOW, "")

    def _refuse(self, code: ResultCode, detail: str) -> None:
        """Refuse what is being read and end the connection."""
        refusal = Refusal(code, is_not_run=True, detail=detail)
        self._must_close = True
        self._is_closing = True
        self._stop_timer()
        self._handler.note_refused(None, refusal)
        if self._current is not None or self._requests:
            # An answer is due first; the rest of the connection is not read.
            return
        body = refusal.label.encode("ascii")
        head = self._make_head(refusal.http_status, b"")
        self._write(b"%bContent-Length: %d\r\n\r\n%b" % (head, len(body), body))
        self.close()

    def _start_timer(self, delay_s: float, action: Callable[[], None]) -> None:
        self._stop_timer()
        self._timer = self._loop.call_later(delay_s, action)

    def _stop_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None


_KNOWN_STATUSES = {int(status) for status in HTTPStatus}
