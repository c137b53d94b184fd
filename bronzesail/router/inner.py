"""Answers small questions from the platform and from other routers."""

from __future__ import annotations

import asyncio
from http import HTTPStatus
from typing import TYPE_CHECKING, cast

import httptools

if TYPE_CHECKING:
    from collections.abc import Callable

__all__ = [
    "CONFIGURATION_PATH",
    "DIRECTORY_PATH",
    "MAX_REQUEST_BYTES",
    "METRICS_PATH",
    "PACKED_CONFIGURATION_PATH",
    "InnerServer",
    "start_inner_server",
]

CONFIGURATION_PATH = "/configuration"
PACKED_CONFIGURATION_PATH = "/configuration.zlib"
DIRECTORY_PATH = "/directory"
METRICS_PATH = "/metrics"
MAX_REQUEST_BYTES = 8192  # Routers and the platform ask in a few hundred.
IDLE_S = 30.0  # Askers come every second, or never again.

Answer = tuple[int, bytes]


class InnerServer(asyncio.Protocol):
    """One connection; answers GET requests from `answer`.

    Parameters
    ----------
    answer : callable
        Returns status and body for a path.
    loop : asyncio.AbstractEventLoop
        The loop to run on.
    """

    def __init__(
        self, answer: Callable[[str], Answer], loop: asyncio.AbstractEventLoop
    ) -> None:
        self._answer = answer
        self._loop = loop
        self._transport: asyncio.Transport | None = None
        self._parser = httptools.HttpRequestParser(self)
        self._path = b""
        self._unanswered_bytes = 0
        self._timer: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Take the connection."""
        self._transport = cast("asyncio.Transport", transport)
        self._timer = self._loop.call_later(IDLE_S, self._transport.abort)

    def connection_lost(self, exc: Exception | None) -> None:
        """Drop the connection."""
        if self._timer is not None:
            self._timer.cancel()

    def data_received(self, data: bytes) -> None:
        """Parse what arrived."""
        assert self._transport is not None
        self._unanswered_bytes += len(data)
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self._transport.abort()
        if self._unanswered_bytes > MAX_REQUEST_BYTES:
            self._transport.abort()

    def on_message_begin(self) -> None:
        """Start a request."""
        self._path = b""

    def on_url(self, data: bytes) -> None:
        """Take a piece of the path."""
        self._path += data

    def on_message_complete(self) -> None:
        """Answer."""
        assert self._transport is not None
        self._unanswered_bytes = 0
        status, body = self._answer(self._path.decode("latin-1").partition("?")[0])
        keeps_alive = self._parser.should_keep_alive()
        close = b"" if keeps_alive else b"Connection: close\r\n"
        self._transport.write(
            b"HTTP/1.1 %d %b\r\nContent-Length: %d\r\n%b\r\n%b"
            % (status, HTTPStatus(status).phrase.encode(), len(body), close, body)
        )
        if not keeps_alive:
            self._transport.close()
        if self._timer is not None:
            self._timer.cancel()
        self._timer = self._loop.call_later(IDLE_S, self._transport.abort)


async def start_inner_server(
    loop: asyncio.AbstractEventLoop,
    address: tuple[str, int],
    answer: Callable[[str], Answer],
) -> asyncio.Server:
    """Listen on an address and answer from `answer`."""
    return await loop.create_server(
        lambda: InnerServer(answer, loop), address[0], address[1], reuse_address=True
    )
