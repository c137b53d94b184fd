"""Write one response on a server connection."""

from __future__ import annotations

import asyncio
import json
from typing import TYPE_CHECKING, Any

import h11

from ..errors import Refusal, describe_code

if TYPE_CHECKING:
    from ._messages import Headers

__all__ = ["Responder", "send_json", "send_refusal"]


class Responder:
    """Response side of one exchange.

    Parameters
    ----------
    connection : h11.Connection
        Protocol state of the connection.
    writer : asyncio.StreamWriter
        Socket's writer.
    write_timeout_s : float
        Time a reader may leave its receive buffer full, in seconds.
    connection_number : int
        Number of the connection in the order in which the server accepted them.
    reader : asyncio.StreamReader or None
        Socket's reader, whose end tells that the caller is gone.
    """

    def __init__(
        self,
        connection: h11.Connection,
        writer: asyncio.StreamWriter,
        write_timeout_s: float,
        connection_number: int = 0,
        reader: asyncio.StreamReader | None = None,
    ) -> None:
        self._reader = reader
        self._connection = connection
        self._writer = writer
        self._write_timeout_s = write_timeout_s
        self.connection_number = connection_number
        self.is_head = False
        self.is_started = False
        self.is_finished = False

    @property
    def is_disconnected(self) -> bool:
        """Whether the caller has closed its side."""
        if self._reader is not None and self._reader.at_eof():
            return True
        return self._writer.is_closing() or self._writer.transport.is_closing()

    async def start(self, status: int, headers: Headers = ()) -> None:
        """Send the status and headers.

        Parameters
        ----------
        status : int
            HTTP status.
        headers : tuple of (str, str)
            Response headers.

        Raises
        ------
        ConnectionError
            If the caller is gone.
        """
        pairs = [(name.encode(), value.encode("latin-1")) for name, value in headers]
        self.is_started = True
        await self._send(h11.Response(status_code=status, headers=pairs))

    async def write(self, data: bytes) -> None:
        """Send a part of the body.

        Parameters
        ----------
        data : bytes
            The part.

        Raises
        ------
        ConnectionError
            If the caller is gone or does not read.
        """
        if self.is_head:
            return
        await self._send(h11.Data(data=data))

    async def finish(self) -> None:
        """Send the end of the body.

        Raises
        ------
        ConnectionError
            If the caller is gone.
        """
        await self._send(h11.EndOfMessage())
        self.is_finished = True

    async def _send(self, event: h11.Event) -> None:
        data = self._connection.send(event)
        # A caller that only ended its side, as after a truncated body, still reads.
        if self._writer.transport.is_closing():
            raise ConnectionResetError("caller is gone")
        if data:
            self._writer.write(data)
        if self._writer.transport.get_write_buffer_size() == 0:
            return
        try:
            async with asyncio.timeout(self._write_timeout_s):
                await self._writer.drain()
        except TimeoutError as error:
            self._writer.transport.abort()
            raise ConnectionResetError("caller does not read") from error


async def send_json(
    responder: Responder, status: int, content: Any, headers: Headers = ()
) -> None:
    """Send a whole JSON response.

    Parameters
    ----------
    responder : Responder
        Response side of the exchange.
    status : int
        HTTP status.
    content : object
        Anything `json` can encode.
    headers : tuple of (str, str)
        Further headers.
    """
    body = json.dumps(content).encode()
    fixed = (
        ("content-type", "application/json"),
        ("content-length", str(len(body))),
    )
    await responder.start(status, fixed + headers)
    await responder.write(body)
    await responder.finish()


async def send_refusal(
    responder: Responder, refusal: Refusal, headers: Headers = ()
) -> None:
    """Send a refusal as JSON with its code, truth of "not run" and retry advice.

    Parameters
    ----------
    responder : Responder
        Response side of the exchange.
    refusal : Refusal
        The refusal.
    headers : tuple of (str, str)
        Further headers.
    """
    text = describe_code(refusal.code)
    content = {
        "code": refusal.label,
        "meaning": text.meaning,
        "detail": refusal.detail,
        "not_run": refusal.is_not_run,
        "retry_after_s": refusal.retry_after_s,
        "advice": text.advice,
    }
    if refusal.retry_after_s > 0:
        headers += (("retry-after", str(max(1, round(refusal.retry_after_s)))),)
    await send_json(responder, refusal.http_status, content, headers)
