"""HTTP/1.1 connections to backend servers, the store and other routers."""

from __future__ import annotations

import asyncio
import socket
from collections import deque
from typing import TYPE_CHECKING, Protocol, cast

import httptools

from ..platform import AnswerHeadReader

if TYPE_CHECKING:
    from ..model import AnswerHead

__all__ = [
    "MAX_CALL_BYTES",
    "AnswerSink",
    "Call",
    "ClientPool",
    "ConnectError",
    "Connection",
]

CONNECT_TIMEOUT_S = 0.8  # A second is what callers allow for a connection.
IDLE_MARGIN_S = 0.8  # An idle connection is given up before its server closes it.
DEFAULT_IDLE_S = 4.0  # Where a server tells no timeout.
TRANSFER_SILENCE_S = 1.0  # Between pieces of an answer, on links that others fill.
MAX_TRANSFER_S = 20.0  # 1.4 MB, the store's largest page, at 0.6 Mbit/s.
MAX_CALL_BYTES = 8_388_608  # Six of the store's largest pages; a feed has no pages.
MAX_FRAMING_BYTES = 65_536  # Eight times what servers usually allow for a head.
SILENCE_MS = 3000  # Unacknowledged data for this long ends a connection.


class ConnectError(OSError):
    """Raised when no connection came about; nothing was sent."""


class AnswerSink(Protocol):
    """Takes one answer as it arrives."""

    def take_head(self, head: AnswerHead) -> None:
        """Take the head."""

    def take_body(self, data: bytes) -> None:
        """Take a piece of the body."""

    def take_end(self) -> None:
        """Take it that the answer is complete."""

    def take_break(self, reason: str) -> None:
        """Take it that the connection ended or broke the protocol too early."""


class Connection(asyncio.Protocol):
    """One connection, one exchange at a time."""

    def __init__(self, address: tuple[str, int]) -> None:
        self.address = address
        self.transport: asyncio.Transport | None = None
        self.is_usable = True
        self.idle_since = 0.0
        self.idle_timeout_s = DEFAULT_IDLE_S
        self._sink: AnswerSink | None = None
        self._parser: httptools.HttpResponseParser | None = None
        self._reader = AnswerHeadReader()
        self._has_head = False
        self._is_until_close = False
        self._is_broken = False
        self._framing_bytes = 0  # Since the last piece of a body.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Set the connection's time limits."""
        self.transport = cast("asyncio.Transport", transport)
        sock = transport.get_extra_info("socket")
        if sock is not None:
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, SILENCE_MS)

    def start(self, request: bytes, sink: AnswerSink) -> None:
        """Send one request whose answer goes to `sink`."""
        assert self.transport is not None and self._sink is None
        self._sink = sink
        self._parser = httptools.HttpResponseParser(self)
        self._reader = AnswerHeadReader()
        self._has_head = False
        self._is_until_close = False
        self._framing_bytes = 0
        self.transport.write(request)

    def close(self) -> None:
        """End the connection at once; its server stops what it does for it."""
        self.is_usable = False
        self._sink = None
        if self.transport is not None:
            self.transport.abort()

    def pause(self) -> None:
        """Stop reading."""
        if self.transport is not None and not self.transport.is_closing():
            self.transport.pause_reading()

    def resume(self) -> None:
        """Read on."""
        if self.transport is not None and not self.transport.is_closing():
            self.transport.resume_reading()

    def data_received(self, data: bytes) -> None:
        """Parse what arrived."""
        if self._sink is None or self._parser is None:
            # Bytes beyond an answer belong to no request.
            self.close()
            return
        self._framing_bytes += len(data)
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError as error:
            self._break(f"not an answer: {error}")
        if self._sink is not None and self._framing_bytes > MAX_FRAMING_BYTES:
            self._break("not an answer: head, chunk sizes or trailers without end")

    def eof_received(self) -> bool:
        """End an answer that is delimited by the end of its connection."""
        if self._sink is not None and self._has_head and self._is_until_close:
            sink, self._sink = self._sink, None
            self.is_usable = False
            sink.take_end()
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Tell the sink that no more comes."""
        self.is_usable = False
        self._break("connection reset" if exc else "connection closed")

    def _break(self, reason: str) -> None:
        self.is_usable = False
        sink, self._sink = self._sink, None
        if self.transport is not None:
            self.transport.abort()
        if sink is not None:
            sink.take_break(reason)

    # Callbacks of the parser.

    def on_message_begin(self) -> None:
        """Note a second answer where one was due."""
        if self._has_head:
            self._is_broken = True
            self.is_usable = False

    def on_header(self, name: bytes, value: bytes) -> None:
        """Take one header line."""
        if not self._is_broken:
            self._reader.add(name, value)

    def on_headers_complete(self) -> None:
        """Hand the head on."""
        if self._is_broken or self._sink is None or self._parser is None:
            return
        status = self._parser.get_status_code()
        if status < 200:
            self._reader = AnswerHeadReader()
            return
        self._has_head = True
        self._is_until_close = not self._reader.has_length and status not in (204, 304)
        if not self._parser.should_keep_alive():
            self.is_usable = False
        timeout_s = self._reader.idle_timeout_s
        if timeout_s is not None:
            self.idle_timeout_s = timeout_s
        self._sink.take_head(self._reader.finish(status))

    def on_body(self, data: bytes) -> None:
        """Hand a piece of the body on."""
        self._framing_bytes = 0
        if not self._is_broken and self._sink is not None:
            self._sink.take_body(data)

    def on_message_complete(self) -> None:
        """End the exchange."""
        if not self._has_head or self._is_broken:
            return
        sink, self._sink = self._sink, None
        assert self.transport is not None
        if self.transport.get_write_buffer_size() > 0:
            # The rest of the body would be taken for the next request.
            self.is_usable = False
        if sink is not None:
            sink.take_end()


class ClientPool:
    """Kept connections to any number of addresses."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self._loop = loop
        self._idle: dict[tuple[str, int], deque[Connection]] = {}
        self.opened = 0

    def take(self, address: tuple[str, int]) -> Connection | None:
        """Return an idle connection, the one used last first."""
        idle = self._idle.get(address)
        now = self._loop.time()
        while idle:
            connection = idle.pop()
            age_s = now - connection.idle_since
            if connection.is_usable and age_s < self._limit_idle(connection):
                return connection
            connection.close()
        return None

    async def open(self, address: tuple[str, int]) -> Connection:
        """Return a new connection.

        Raises
        ------
        ConnectError
            If none came about in time.
        """
        self.opened += 1
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                _, protocol = await self._loop.create_connection(
                    lambda: Connection(address), address[0], address[1]
                )
        except (OSError, TimeoutError) as error:
            refused = isinstance(error, ConnectionRefusedError)
            raise ConnectError("refused" if refused else "no connection") from error
        return protocol

    def give_back(self, connection: Connection) -> None:
        """Keep a connection for the next request, if it can be used again."""
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
        """Close idle connections that are too old to use."""
        now = self._loop.time()
        for address, idle in list(self._idle.items()):
            while idle and (
                not idle[0].is_usable
                or now - idle[0].idle_since >= self._limit_idle(idle[0])
            ):
                idle.popleft().close()
            if not idle:
                del self._idle[address]

    def close(self) -> None:
        """Close every idle connection."""
        for address in list(self._idle):
            self.drop(address)

    @staticmethod
    def _limit_idle(connection: Connection) -> float:
        return max(0.2, connection.idle_timeout_s - IDLE_MARGIN_S)


class Call:
    """One whole exchange whose answer is collected in memory."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self._loop = loop
        self._done: asyncio.Future[tuple[AnswerHead, bytes]] = loop.create_future()
        self._head: AnswerHead | None = None
        self._body: list[bytes] = []
        self._body_bytes = 0
        self._heard_at = 0.0

    def take_head(self, head: AnswerHead) -> None:
        """Keep the head."""
        self._head = head
        self._heard_at = self._loop.time()

    def take_body(self, data: bytes) -> None:
        """Keep a piece of the body."""
        if self._done.done():
            return
        self._body_bytes += len(data)
        if self._body_bytes > MAX_CALL_BYTES:
            self._body.clear()
            self.take_break("answer too large")
            return
        self._body.append(data)
        self._heard_at = self._loop.time()

    def take_end(self) -> None:
        """Resolve the call."""
        assert self._head is not None
        if not self._done.done():
            self._done.set_result((self._head, b"".join(self._body)))

    def take_break(self, reason: str) -> None:
        """Fail the call."""
        if not self._done.done():
            self._done.set_exception(ConnectionResetError(reason))

    async def wait(self, timeout_s: float) -> tuple[AnswerHead, bytes]:
        """Return the answer's head and body.

        The answer must begin within `timeout_s` and then go on: one that fills a
        narrow link is not begun anew, which would fill the link for good. It must
        end within `MAX_TRANSFER_S` more, and within `MAX_CALL_BYTES`.

        Raises
        ------
        OSError
            If the connection broke or the answer stopped (TimeoutError).
        """
        until = self._loop.time() + timeout_s
        last = until + MAX_TRANSFER_S
        while True:
            try:
                async with asyncio.timeout_at(until):
                    return await asyncio.shield(self._done)
            except TimeoutError:
                until = min(self._heard_at + TRANSFER_SILENCE_S, last)
                if self._loop.time() >= until:
                    raise
