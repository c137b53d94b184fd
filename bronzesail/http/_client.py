"""HTTP/1.1 client that tells unsent requests from broken exchanges."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import h11

from ._messages import ClientLimits, ExchangeBrokenError, HttpCall, NotSentError
from ._pool import ConnectionPool

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from ._messages import Headers
    from ._pool import ClientConnection

__all__ = ["HttpClient", "HttpExchange"]


class HttpExchange:
    """Response side of one request.

    Parameters
    ----------
    pool : ConnectionPool
        Pool that gets the connection back.
    connection : ClientConnection
        The connection.
    response : h11.Response
        Status and headers.
    body_bytes : int
        Greatest size of a body that is read whole, in bytes.
    """

    def __init__(
        self,
        pool: ConnectionPool,
        connection: ClientConnection,
        response: h11.Response,
        body_bytes: int,
    ) -> None:
        self._pool = pool
        self._body_bytes = body_bytes
        self._connection = connection
        self._response = response
        self._is_whole = False
        self._is_closed = False

    @property
    def status(self) -> int:
        """HTTP status."""
        return self._response.status_code

    @property
    def headers(self) -> Headers:
        """Names in lower case, and values."""
        return tuple(
            (name.decode("latin-1"), value.decode("latin-1"))
            for name, value in self._response.headers
        )

    async def iterate_body(
        self, silence_s: float | None = None
    ) -> AsyncIterator[bytes]:
        """Yield the parts of the body as they come.

        Parameters
        ----------
        silence_s : float or None
            Greatest time between two reads, in seconds; None for no limit.

        Yields
        ------
        bytes
            A part of the body.

        Raises
        ------
        ExchangeBrokenError
            If the connection breaks before the body's end.
        TimeoutError
            If no byte comes within `silence_s`.
        """
        while True:
            event = await self._connection.read_event(silence_s)
            if isinstance(event, h11.Data):
                yield bytes(event.data)
                continue
            if isinstance(event, h11.EndOfMessage):
                self._is_whole = True
                return
            raise ExchangeBrokenError("response ended before its body's end")

    async def read_body(self, timeout_s: float | None = None) -> bytes:
        """Return the whole body.

        Parameters
        ----------
        timeout_s : float or None
            Time for the whole body, in seconds; None for no limit.

        Returns
        -------
        bytes
            The body.

        Raises
        ------
        ExchangeBrokenError
            If the connection breaks or the time is over before the body's end, or
            the body is too large.
        """
        body = bytearray()
        try:
            async with asyncio.timeout(timeout_s):
                async for part in self.iterate_body():
                    body += part
                    if len(body) > self._body_bytes:
                        raise ExchangeBrokenError("response body is too large")
        except TimeoutError as error:
            self._pool.drop_address(self._connection.address)
            raise ExchangeBrokenError("response body took too long") from error
        finally:
            self.close()
        return bytes(body)

    def close(self) -> None:
        """Give the connection back if the body was read whole, else close it."""
        if self._is_closed:
            return
        self._is_closed = True
        if self._is_whole:
            self._pool.keep(self._connection)
        else:
            self._connection.abort()


class HttpClient:
    """Client with a pool of idle connections for each address.

    Parameters
    ----------
    limits : ClientLimits
        Limits on the connections.
    """

    def __init__(self, limits: ClientLimits | None = None) -> None:
        self._limits = limits or ClientLimits()
        self._pool = ConnectionPool(self._limits)

    async def send(self, call: HttpCall) -> HttpExchange:
        """Send a request and wait for the response's headers.

        An exchange without an answer in time may mean that something between the
        two ends has lost track of their connections, so the idle ones to the same
        address are closed as well.

        Parameters
        ----------
        call : HttpCall
            The request.

        Returns
        -------
        HttpExchange
            The response; the caller reads its body or closes it.

        Raises
        ------
        NotSentError
            If no byte of the request left this process.
        ExchangeBrokenError
            If the exchange failed after a byte may have been sent.
        """
        connection = await self._take_connection(call)
        timeout_s = call.timeout_s or self._limits.response_timeout_s
        try:
            async with asyncio.timeout(timeout_s):
                response = await self._exchange(connection, call)
        except TimeoutError as error:
            connection.abort()
            self._pool.drop_address(call.address)
            raise ExchangeBrokenError("no response in time") from error
        except OSError as error:
            connection.abort()
            raise ExchangeBrokenError(f"connection failed: {error}") from error
        except BaseException:
            connection.abort()
            raise
        return HttpExchange(self._pool, connection, response, self._limits.body_bytes)

    async def fetch(self, call: HttpCall) -> tuple[int, bytes]:
        """Send a request and return the status and whole body.

        Parameters
        ----------
        call : HttpCall
            The request.

        Returns
        -------
        status : int
            HTTP status.
        body : bytes
            Whole body.

        Raises
        ------
        NotSentError
            If no byte of the request left this process.
        ExchangeBrokenError
            If the exchange failed after a byte may have been sent.
        """
        exchange = await self.send(call)
        timeout_s = call.timeout_s or self._limits.response_timeout_s
        return exchange.status, await exchange.read_body(timeout_s)

    async def probe(self, address: str) -> None:
        """Open a new connection, send nothing and close it.

        Parameters
        ----------
        address : str
            IP address and port, joined by a colon.

        Raises
        ------
        NotSentError
            If no connection was made; its cause is `ConnectionRefusedError` if the
            host answered that nothing listens there.
        """
        connection = await self._pool.open(address)
        connection.abort()

    def close(self) -> None:
        """Close every idle connection."""
        self._pool.close()

    async def _take_connection(self, call: HttpCall) -> ClientConnection:
        if not call.is_fresh:
            connection = self._pool.take(call.address)
            if connection is not None:
                return connection
        return await self._pool.open(call.address)

    async def _exchange(
        self, connection: ClientConnection, call: HttpCall
    ) -> h11.Response:
        fixed = (("host", call.address), ("content-length", str(len(call.body))))
        try:
            headers = [
                (name.encode("ascii"), value.encode("latin-1"))
                for name, value in fixed + call.headers
            ]
            head = h11.Request(method=call.method, target=call.target, headers=headers)
            data = connection.protocol.send(head) or b""
        except (h11.LocalProtocolError, UnicodeEncodeError) as error:
            raise NotSentError(f"not a valid request: {error}") from error
        if call.body:
            data += connection.protocol.send(h11.Data(data=call.body)) or b""
        data += connection.protocol.send(h11.EndOfMessage()) or b""
        connection.writer.write(data)
        # Without a wait here an answer that comes before the body is sent is read.
        while True:
            event = await connection.read_event(None)
            if isinstance(event, h11.InformationalResponse):
                continue
            if isinstance(event, h11.Response):
                return event
            raise ExchangeBrokenError("no response")
