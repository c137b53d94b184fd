"""HTTP/1.1 connections to backend servers, the store and other routers."""

from __future__ import annotations

import asyncio
import math
import socket
from collections import deque
from typing import TYPE_CHECKING, Protocol, cast

import httptools

from ..platform import AnswerHeadReader
from .caller_memory import Usage
from .connection_spans import ConnectionSpans
from .tcp_state import count_unacknowledged, is_reset

if TYPE_CHECKING:
    from collections.abc import Callable

    from ..model import AnswerHead
    from .admission import LinkUsage
    from .caller_memory import CallerMemory
    from .connection_spans import Span

__all__ = [
    "MAX_CALL_BYTES",
    "REFUSED",
    "AnswerSink",
    "Call",
    "ClientPool",
    "ConnectError",
    "Connection",
    "UNACKNOWLEDGED",
]

CONNECT_TIMEOUT_S = 0.8  # Below the second that callers allow for connecting.
# An idle connection is closed this long before the server's keep-alive timeout, so
# that a request is not sent on a connection that the server is just closing.
IDLE_MARGIN_S = 0.8
DEFAULT_IDLE_TIMEOUT_S = 4.0  # For servers that announce no keep-alive timeout.
MAX_READ_GAP_S = 1.0  # Between pieces of a response on a congested link.
MAX_TRANSFER_S = 20.0  # Enough for the store's largest page, 1.4 MB, at 0.6 Mbit/s.
MAX_CALL_BYTES = 8_388_608  # Six of the store's largest pages; its feed is not paged.
MAX_FRAMING_BYTES = 65_536  # Eight times the usual limit of servers for a head.
FORGET_AFTER_S = 60.0  # After which the last contact with an address is forgotten.
MIN_STATUS, MAX_STATUS = 100, 599  # The range that RFC 9110 allows.
# Interval at which a request is checked that is still being sent after its response.
SENT_CHECK_S = 0.02
# TCP_USER_TIMEOUT: a connection ends if sent data is not acknowledged for this long.
UNACKNOWLEDGED_TIMEOUT_MS = 3000
REFUSED = "refused"  # Text of the error of a refused connection.
# Reason of a connection that the kernel has ended, because sent data was not
# acknowledged.
UNACKNOWLEDGED = "connection timed out"


class ConnectError(OSError):
    """Raised when no connection could be established; nothing was sent."""


class AnswerSink(Protocol):
    """Receives the parts of one response as they arrive."""

    def head_received(self, head: AnswerHead) -> None:
        """Process the status line and headers."""

    def body_received(self, data: bytes) -> None:
        """Process a piece of the body."""

    def response_completed(self) -> None:
        """Process the end of a complete response."""

    def response_failed(self, reason: str) -> None:
        """Process a connection or protocol error before the end of the response."""


class Connection(asyncio.Protocol):
    """An HTTP/1.1 client connection that carries one exchange at a time."""

    def __init__(
        self,
        address: tuple[str, int],
        on_lost: Callable[[Connection], None] = lambda _: None,
        on_data: Callable[[Connection], None] = lambda _: None,
        memory: CallerMemory | None = None,
        usage: LinkUsage | None = None,
    ) -> None:
        self.address = address
        self._usage = usage
        self._sent_at: float | None = None  # Until the first byte of the response.
        self._on_lost = on_lost
        self._on_data = on_data
        self._memory = memory
        self._written_bytes = 0
        self.opened_at = 0.0
        self.span: Span | None = None  # Of the process that it leads to.
        self.was_paused = False
        self.transport: asyncio.Transport | None = None
        self.is_usable = True
        self.idle_since = 0.0
        self.idle_timeout_s = DEFAULT_IDLE_TIMEOUT_S
        self._sink: AnswerSink | None = None
        self._parser: httptools.HttpResponseParser | None = None
        self._reader = AnswerHeadReader()
        self._has_head = False
        self._is_close_delimited = False
        self._is_broken = False
        self._framing_bytes = 0  # Bytes read since the last piece of a body.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Disable Nagle's algorithm and limit the time without acknowledgements."""
        self.transport = cast("asyncio.Transport", transport)
        sock = transport.get_extra_info("socket")
        if sock is not None:
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            sock.setsockopt(
                socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_TIMEOUT_MS
            )

    def start(self, request: bytes, sink: AnswerSink) -> None:
        """Send one request and pass its response to `sink`."""
        assert self.transport is not None and self._sink is None
        self._sink = sink
        self._parser = httptools.HttpResponseParser(self)
        self._reader = AnswerHeadReader()
        self._has_head = False
        self._is_close_delimited = False
        self._framing_bytes = 0
        if self._usage is not None:
            self._usage.note_sent(len(request))
            self._sent_at = self._usage.now()
        self.transport.write(request)
        self._written_bytes += len(request)
        if self._memory is not None and self.transport.get_write_buffer_size():
            self._memory.note_growth(self, len(request))

    # The methods of `Holder`.

    def measure_usage(self) -> Usage:
        """Return the unsent bytes of requests, and those that the server has taken."""
        if self.transport is None:
            return Usage(0, self._written_bytes)
        unsent = self.transport.get_write_buffer_size()
        taken = self._written_bytes - unsent - count_unacknowledged(self.transport)
        return Usage(unsent, taken)

    def abort_slow(self) -> None:
        """End the exchange with a server that reads its request slowly."""
        self._break("request read too slowly")

    def describe(self) -> str:
        """Return the kind of the other end, and its address."""
        return f"server {self.address[0]}:{self.address[1]}"

    def close(self) -> None:
        """Abort the connection, which also cancels the request at the server."""
        self.is_usable = False
        self._sink = None
        if self.transport is not None:
            self.transport.abort()

    @property
    def is_closing(self) -> bool:
        """Whether the connection has ended or is being closed."""
        return self.transport is None or self.transport.is_closing()

    def count_unsent(self) -> int:
        """Return the bytes in the write buffer."""
        if self.transport is None or self.is_closing:
            return 0
        return self.transport.get_write_buffer_size()

    def pause(self) -> None:
        """Stop reading, so that TCP flow control slows the server down."""
        if self.transport is not None and not self.transport.is_closing():
            self.was_paused = True
            self.transport.pause_reading()

    def resume(self) -> None:
        """Resume reading."""
        if self.transport is not None and not self.transport.is_closing():
            self.transport.resume_reading()

    def data_received(self, data: bytes) -> None:
        """Parse received bytes and enforce the limit on framing."""
        self._on_data(self)
        self._count_received(len(data))
        if self._sink is None or self._parser is None:
            # No request is in progress, so these bytes violate the protocol.
            self.close()
            return
        self._framing_bytes += len(data)
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError as error:
            self._break(f"malformed response: {error}")
        if self._sink is not None and self._framing_bytes > MAX_FRAMING_BYTES:
            self._break("malformed response: head, chunk sizes or trailers too large")

    def _count_received(self, count: int) -> None:
        """Count received bytes and note when the response begins."""
        if self._usage is None:
            return
        self._usage.note_received(count)
        if self._sent_at is not None:
            took_s = self._usage.now() - self._sent_at
            self._sent_at = None
            self._usage.response_times.note(self.address, took_s)

    def eof_received(self) -> bool:
        """Complete a response whose body is delimited by the connection's end.

        While the request is still being sent, the end may precede a reset. The
        connection is then kept for sending, and returns True.
        """
        if self._sink is None or not self._has_head or not self._is_close_delimited:
            return False
        self.is_usable = False
        if self._is_request_sent():
            self._complete()
            return False
        asyncio.get_running_loop().call_later(SENT_CHECK_S, self._check_request_sent)
        return True

    def _is_request_sent(self) -> bool:
        """Whether the server's kernel has received the whole request.

        A reset drops what was not received, so it is looked for after the count.
        """
        assert self.transport is not None
        unsent = self.transport.get_write_buffer_size()
        unsent += count_unacknowledged(self.transport)
        return not unsent and not is_reset(self.transport)

    def _check_request_sent(self) -> None:
        """Complete a response that has ended once its request was sent to its end."""
        if self._sink is None or self.transport is None:
            return
        if self._is_request_sent():
            self._complete()
            self.transport.abort()
        elif is_reset(self.transport):
            self._break("connection reset")
        else:
            loop = asyncio.get_running_loop()
            loop.call_later(SENT_CHECK_S, self._check_request_sent)

    def _complete(self) -> None:
        """Report the response to its sink as complete."""
        sink, self._sink = self._sink, None
        if sink is not None:
            sink.response_completed()

    def connection_lost(self, exc: Exception | None) -> None:
        """Report an unfinished response to its sink as broken."""
        self.is_usable = False
        if self._memory is not None:
            self._memory.forget(self)
        self._on_lost(self)
        if isinstance(exc, TimeoutError):
            self._break(UNACKNOWLEDGED)
        else:
            self._break("connection reset" if exc else "connection closed")

    def _break(self, reason: str) -> None:
        self.is_usable = False
        sink, self._sink = self._sink, None
        if self.transport is not None:
            self.transport.abort()
        if sink is not None:
            sink.response_failed(reason)

    # Callbacks of httptools.HttpResponseParser.

    def on_message_begin(self) -> None:
        """Reject a second response to the same request."""
        if self._has_head:
            self._is_broken = True
            self.is_usable = False

    def on_header(self, name: bytes, value: bytes) -> None:
        """Collect one header line."""
        if not self._is_broken:
            self._reader.add(name, value)

    def on_headers_complete(self) -> None:
        """Pass the response's head to the sink; skip interim (1xx) responses."""
        if self._is_broken or self._sink is None or self._parser is None:
            return
        status = self._parser.get_status_code()
        if not MIN_STATUS <= status <= MAX_STATUS:
            self._break(f"malformed response: status {status}")
            return
        if status < 200:
            self._reader = AnswerHeadReader()
            return
        self._has_head = True
        self._is_close_delimited = not self._reader.has_length and status not in (
            204,
            304,
        )
        if not self._parser.should_keep_alive():
            self.is_usable = False
        timeout_s = self._reader.idle_timeout_s
        if timeout_s is not None:
            self.idle_timeout_s = timeout_s
        self._sink.head_received(self._reader.finish(status))

    def on_body(self, data: bytes) -> None:
        """Pass a piece of the body to the sink."""
        self._framing_bytes = 0
        if not self._is_broken and self._sink is not None:
            self._sink.body_received(data)

    def on_message_complete(self) -> None:
        """End the exchange, unless it was an interim (1xx) response."""
        if not self._has_head or self._is_broken:
            return
        sink, self._sink = self._sink, None
        assert self.transport is not None
        if self.transport.get_write_buffer_size() > 0:
            # The server answered before the whole request was sent. What remains in
            # the write buffer would be read as the next request.
            self.is_usable = False
        if sink is not None:
            sink.response_completed()


class ClientPool:
    """Pool of idle keep-alive connections, by address.

    Parameters
    ----------
    loop : asyncio.AbstractEventLoop
        The event loop to run on.
    memory : CallerMemory, optional
        Bounds the bytes that are held for slow servers.
    usage : LinkUsage, optional
        Counts the bytes that are received and written.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        memory: CallerMemory | None = None,
        usage: LinkUsage | None = None,
    ) -> None:
        self._loop = loop
        self._memory = memory
        self._usage = usage
        self._idle: dict[tuple[str, int], deque[Connection]] = {}
        self._open: dict[tuple[str, int], set[Connection]] = {}
        self._heard_at: dict[tuple[str, int], float] = {}
        self._accepted_at: dict[tuple[str, int], float] = {}
        self._lost_at: dict[tuple[str, int], float] = {}
        self.spans = ConnectionSpans()
        self.n_opened = 0

    def acquire_idle(self, address: tuple[str, int]) -> Connection | None:
        """Return the most recently used idle connection, None if there is none."""
        idle = self._idle.get(address)
        now = self._loop.time()
        while idle:
            connection = idle.pop()
            age_s = now - connection.idle_since
            if connection.is_usable and age_s < self._find_idle_limit_s(connection):
                return connection
            connection.close()
        return None

    async def open(self, address: tuple[str, int]) -> Connection:
        """Open a new connection.

        Raises
        ------
        ConnectError
            If it was refused, failed or timed out; the text is "refused" for a
            refused connection.
        """
        self.n_opened += 1
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                _, protocol = await self._loop.create_connection(
                    lambda: Connection(
                        address,
                        self._forget,
                        self._note_data,
                        self._memory,
                        self._usage,
                    ),
                    address[0],
                    address[1],
                )
        except (OSError, TimeoutError) as error:
            refused = isinstance(error, ConnectionRefusedError)
            raise ConnectError(REFUSED if refused else "failed or timed out") from error
        protocol.opened_at = self._loop.time()
        self._heard_at[address] = protocol.opened_at
        self._accepted_at[address] = protocol.opened_at
        self.spans.note_opened(protocol)
        if not protocol.is_closing:
            self._open.setdefault(address, set()).add(protocol)
        return protocol

    def list_open(self) -> list[Connection]:
        """Return the open connections, idle or in use."""
        return [c for connections in self._open.values() for c in connections]

    def has_connection(self, address: tuple[str, int], opened_before: float) -> bool:
        """Whether a connection to an address is still open, idle or in use.

        Connections that were opened after a time, in seconds on the loop's clock, do
        not count.
        """
        return any(
            connection.opened_at <= opened_before and not connection.is_closing
            for connection in self._open.get(address, ())
        )

    def get_heard_at(self, address: tuple[str, int]) -> float:
        """Return when an address last sent data or accepted a connection."""
        return self._heard_at.get(address, -math.inf)

    def get_accepted_at(self, address: tuple[str, int]) -> float:
        """Return when an address last accepted a connection."""
        return self._accepted_at.get(address, -math.inf)

    def has_idle(self, address: tuple[str, int]) -> bool:
        """Whether an idle connection to an address can carry a request."""
        now = self._loop.time()
        return any(
            connection.is_usable
            and now - connection.idle_since < self._find_idle_limit_s(connection)
            for connection in self._idle.get(address, ())
        )

    def get_lost_at(self, address: tuple[str, int]) -> float:
        """Return when a connection to an address last ended, whoever ended it."""
        return self._lost_at.get(address, -math.inf)

    def _note_data(self, connection: Connection) -> None:
        """Record that data has arrived."""
        now = self._loop.time()
        self._heard_at[connection.address] = now
        self.spans.note_data(connection, now)

    def _forget(self, connection: Connection) -> None:
        """Stop tracking a connection that has ended."""
        self._lost_at[connection.address] = self._loop.time()
        tracked = self._open.get(connection.address)
        if tracked is None:
            return
        tracked.discard(connection)
        if not tracked:
            del self._open[connection.address]

    def release(self, connection: Connection) -> None:
        """Return a connection to the pool, or close it if it cannot be reused."""
        if not connection.is_usable:
            connection.close()
            return
        connection.idle_since = self._loop.time()
        self._idle.setdefault(connection.address, deque()).append(connection)

    def drop(self, address: tuple[str, int]) -> None:
        """Close the idle connections to an address."""
        for connection in self._idle.pop(address, ()):
            connection.close()

    def sweep(self) -> None:
        """Close idle connections that have reached their idle timeout."""
        now = self._loop.time()
        for address, idle in list(self._idle.items()):
            while idle and (
                not idle[0].is_usable
                or now - idle[0].idle_since >= self._find_idle_limit_s(idle[0])
            ):
                idle.popleft().close()
            if not idle:
                del self._idle[address]
        for times in (
            self._heard_at,
            self._accepted_at,
            self._lost_at,
        ):
            for address in [a for a, at in times.items() if now - at > FORGET_AFTER_S]:
                del times[address]
        self.spans.forget_before(now - FORGET_AFTER_S)

    def close(self) -> None:
        """Close every idle connection."""
        for address in list(self._idle):
            self.drop(address)

    @staticmethod
    def _find_idle_limit_s(connection: Connection) -> float:
        return max(0.2, connection.idle_timeout_s - IDLE_MARGIN_S)


class Call:
    """An exchange whose whole response is buffered in memory."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self._loop = loop
        self._done: asyncio.Future[tuple[AnswerHead, bytes]] = loop.create_future()
        self._head: AnswerHead | None = None
        self._body: list[bytes] = []
        self._body_bytes = 0
        self._last_received_at = 0.0

    def head_received(self, head: AnswerHead) -> None:
        """Store the head."""
        self._head = head
        self._last_received_at = self._loop.time()

    def body_received(self, data: bytes) -> None:
        """Append a piece of the body; fail if it exceeds `MAX_CALL_BYTES`."""
        if self._done.done():
            return
        self._body_bytes += len(data)
        if self._body_bytes > MAX_CALL_BYTES:
            self._body.clear()
            self.response_failed("answer too large")
            return
        self._body.append(data)
        self._last_received_at = self._loop.time()

    def response_completed(self) -> None:
        """Complete the call with the buffered response."""
        assert self._head is not None
        if not self._done.done():
            self._done.set_result((self._head, b"".join(self._body)))

    def response_failed(self, reason: str) -> None:
        """Fail the call with a ConnectionResetError."""
        self.fail(ConnectionResetError(reason))

    def fail(self, error: Exception) -> None:
        """End the call with an error, unless it has ended already."""
        if not self._done.done():
            self._done.set_exception(error)

    @property
    def has_begun(self) -> bool:
        """Whether the head of the response was received."""
        return self._head is not None

    async def wait(self, timeout_s: float) -> tuple[AnswerHead, bytes]:
        """Return the response's head and body.

        The response must begin within `timeout_s` and then continue without a gap of
        `MAX_READ_GAP_S`. A slow transfer that makes progress is not aborted: retrying
        it from the start would keep a narrow link saturated. The response must end
        within another `MAX_TRANSFER_S` and within `MAX_CALL_BYTES`.

        Raises
        ------
        OSError
            If the connection failed, or the response timed out (TimeoutError).
        """
        deadline = self._loop.time() + timeout_s
        last_deadline = deadline + MAX_TRANSFER_S
        while True:
            try:
                async with asyncio.timeout_at(deadline):
                    return await asyncio.shield(self._done)
            except TimeoutError:
                deadline = min(self._last_received_at + MAX_READ_GAP_S, last_deadline)
                if self._loop.time() >= deadline:
                    raise
