"""One accepted connection: reads whole requests within limits and refuses others."""

from __future__ import annotations

import asyncio
import socket
import struct
from collections.abc import Awaitable, Callable
from urllib.parse import urlsplit

import attrs
import h11

from ..errors import Refusal, ResultCode
from ..explain import PartLogger
from ._messages import HttpRequest, ServerLimits
from ._responder import Responder, send_refusal

__all__ = ["Handler", "ServerConnection"]

READ_SIZE_BYTES = 64 * 1024
LINGER_S = 1.0
CLOSE_HEADERS = (("connection", "close"),)
RESET_ON_CLOSE = struct.pack("ii", 1, 0)
LOG = PartLogger("http")

Handler = Callable[[HttpRequest, Responder], Awaitable[None]]


@attrs.frozen
class _RequestRefusedError(Exception):
    """Raised for a request that breaks a limit or the protocol.

    Attributes
    ----------
    refusal : Refusal
        Answer to the sender.
    """

    refusal: Refusal


class ServerConnection:
    """One accepted connection and its exchanges, one after another.

    Parameters
    ----------
    reader : asyncio.StreamReader
        Socket's reader.
    writer : asyncio.StreamWriter
        Socket's writer.
    limits : ServerLimits
        Limits on what the sender may ask.
    handler : callable
        Coroutine function that takes an `HttpRequest` and a `Responder`.
    number : int
        Number of the connection in the order in which the server accepted them.
    """

    def __init__(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        limits: ServerLimits,
        handler: Handler,
        number: int,
    ) -> None:
        task = asyncio.current_task()
        assert task is not None
        self.task = task
        self._reader = reader
        self._writer = writer
        self._limits = limits
        self._handler = handler
        self._number = number
        self._protocol = h11.Connection(
            h11.SERVER, max_incomplete_event_size=limits.header_bytes
        )
        self._is_idle = True
        self._is_at_eof = False
        self._is_draining = False
        self._responder = self._make_responder()

    def close(self) -> None:
        """Close the connection; a cut response is reset, so that it looks cut.

        A response without a length ends with the connection, and a clean close
        would present its part as the whole.
        """
        if self._writer.transport.is_closing():
            return
        if self._responder.is_started and not self._responder.is_finished:
            connection = self._writer.get_extra_info("socket")
            if connection is not None:
                connection.setsockopt(
                    socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE
                )
            self._writer.transport.abort()
            return
        self._writer.close()

    def start_draining(self) -> None:
        """Close the connection now if it is idle, else after its exchange."""
        self._is_draining = True
        if self._is_idle:
            self.task.cancel()

    async def run(self) -> None:
        """Serve exchanges until either side closes."""
        while not self._is_draining:
            self._responder = self._make_responder()
            try:
                request = await self._read_request()
            except _RequestRefusedError as error:
                await self._refuse(error.refusal)
                return
            if request is None:
                return
            self._responder.is_head = request.method == "HEAD"
            await self._handle(request)
            if not self._responder.is_finished or not self._is_reusable():
                return
            self._protocol.start_next_cycle()
            self._is_idle = True

    def _make_responder(self) -> Responder:
        return Responder(
            self._protocol,
            self._writer,
            self._limits.write_timeout_s,
            self._number,
            self._reader,
        )

    def _is_reusable(self) -> bool:
        states = (self._protocol.our_state, self._protocol.their_state)
        return states == (h11.DONE, h11.DONE)

    async def _handle(self, request: HttpRequest) -> None:
        try:
            await self._handler(request, self._responder)
        except ConnectionError:
            raise
        except Exception as error:
            LOG.write("handler failed", path=request.path, reason=repr(error))
            if not self._responder.is_started:
                refusal = Refusal(ResultCode.INTERNAL, is_not_run=False)
                await send_refusal(self._responder, refusal)

    async def _refuse(self, refusal: Refusal) -> None:
        if self._protocol.our_state not in (h11.IDLE, h11.SEND_RESPONSE):
            return
        await send_refusal(self._responder, refusal, CLOSE_HEADERS)
        await self._linger()

    async def _linger(self) -> None:
        # Closing with unread bytes would reset the connection, and the sender would
        # lose the refusal.
        if self._writer.can_write_eof():
            self._writer.write_eof()
        try:
            async with asyncio.timeout(LINGER_S):
                while await self._reader.read(READ_SIZE_BYTES):
                    continue
        except TimeoutError:
            return

    async def _read_request(self) -> HttpRequest | None:
        if self._protocol.trailing_data[0] == b"":
            if not await self._receive(self._limits.idle_timeout_s):
                return None
        self._is_idle = False
        head = await self._read_head()
        if head is None:
            return None
        self._check_head(head)
        body = await self._read_body()
        headers = tuple(
            (name.decode("latin-1"), value.decode("latin-1"))
            for name, value in head.headers
        )
        method = head.method.decode("latin-1")
        target = head.target.decode("latin-1")
        return HttpRequest(method, target, headers, body)

    def _check_head(self, head: h11.Request) -> None:
        # h11 bounds only a head that comes in several pieces.
        size = len(head.method) + len(head.target)
        size += sum(len(name) + len(value) for name, value in head.headers)
        if size > self._limits.header_bytes:
            raise _refuse_input(ResultCode.HEADERS_TOO_LARGE)
        try:
            urlsplit(head.target.decode("latin-1"))
            lengths = [
                int(value) for name, value in head.headers if name == b"content-length"
            ]
        except ValueError as error:
            raise _refuse_input(ResultCode.MALFORMED_REQUEST) from error
        if any(length > self._limits.body_bytes for length in lengths):
            raise _refuse_input(ResultCode.BODY_TOO_LARGE)

    async def _receive(self, timeout_s: float) -> bool:
        try:
            async with asyncio.timeout(timeout_s):
                data = await self._reader.read(READ_SIZE_BYTES)
        except TimeoutError:
            return False
        return self._take(data)

    async def _read_head(self) -> h11.Request | None:
        deadline = asyncio.get_running_loop().time() + self._limits.header_timeout_s
        while True:
            event = self._next_event()
            if isinstance(event, h11.Request):
                return event
            if event is not h11.NEED_DATA:
                return None
            await self._receive_before(deadline)

    async def _read_body(self) -> bytes:
        deadline = asyncio.get_running_loop().time() + self._limits.body_timeout_s
        body = bytearray()
        if self._protocol.they_are_waiting_for_100_continue:
            status = h11.InformationalResponse(status_code=100, headers=[])
            self._writer.write(self._protocol.send(status))
        while True:
            event = self._next_event()
            if isinstance(event, h11.EndOfMessage):
                return bytes(body)
            if isinstance(event, h11.Data):
                body += event.data
                if len(body) > self._limits.body_bytes:
                    raise _refuse_input(ResultCode.BODY_TOO_LARGE)
                continue
            await self._receive_before(deadline)

    async def _receive_before(self, deadline: float) -> None:
        remaining_s = deadline - asyncio.get_running_loop().time()
        if remaining_s <= 0:
            raise _refuse_input(ResultCode.SENDER_TOO_SLOW)
        try:
            async with asyncio.timeout(remaining_s):
                data = await self._reader.read(READ_SIZE_BYTES)
        except TimeoutError:
            raise _refuse_input(ResultCode.SENDER_TOO_SLOW) from None
        self._take(data)

    def _take(self, data: bytes) -> bool:
        self._is_at_eof = data == b""
        self._protocol.receive_data(data)
        return not self._is_at_eof

    def _next_event(self) -> object:
        try:
            return self._protocol.next_event()
        except h11.RemoteProtocolError as error:
            if error.error_status_hint == 431:
                raise _refuse_input(ResultCode.HEADERS_TOO_LARGE) from error
            if self._is_at_eof and self._protocol.our_state is h11.SEND_RESPONSE:
                raise _refuse_input(ResultCode.BODY_TRUNCATED) from error
            raise _refuse_input(ResultCode.MALFORMED_REQUEST) from error


def _refuse_input(code: ResultCode) -> _RequestRefusedError:
    return _RequestRefusedError(Refusal(code, is_not_run=True))
