"""Internal HTTP server: readiness, metrics, and state for other routers."""

from __future__ import annotations

import asyncio
from http import HTTPStatus
from typing import TYPE_CHECKING, cast

import httptools

if TYPE_CHECKING:
    from collections.abc import Callable

__all__ = [
    "CONFIGURATION_PATH",
    "CRASHES_PATH",
    "DIRECTORY_PATH",
    "DRY_RUN_PATH",
    "HOSTS_PATH",
    "MAX_REQUEST_BYTES",
    "METRICS_PATH",
    "PACKED_CONFIGURATION_PATH",
    "InternalConnection",
    "start_internal_server",
]

CONFIGURATION_PATH = "/configuration"
PACKED_CONFIGURATION_PATH = "/configuration.zlib"
DIRECTORY_PATH = "/directory"
CRASHES_PATH = "/crashes"
HOSTS_PATH = "/hosts/"  # Followed by the name of a data centre.
METRICS_PATH = "/metrics"
DRY_RUN_PATH = "/dry-run"  # Followed by a query, the only one that is not ignored.
MAX_REQUEST_BYTES = 8192  # Routers and the platform send a few hundred bytes.
# Clients that keep a connection send a request every second.
IDLE_TIMEOUT_S = 30.0

Answer = tuple[int, bytes]


class InternalConnection(asyncio.Protocol):
    """One server connection; responds to requests with the result of `answer`.

    The method and the body are ignored.

    Parameters
    ----------
    answer : callable
        Returns status and body for a request target.
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
        self._request_bytes = 0
        self._idle_timer: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport and start the idle timeout."""
        self._transport = cast("asyncio.Transport", transport)
        self._idle_timer = self._loop.call_later(IDLE_TIMEOUT_S, self._transport.abort)

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancel the idle timeout."""
        if self._idle_timer is not None:
            self._idle_timer.cancel()

    def data_received(self, data: bytes) -> None:
        """Parse received bytes; abort on malformed or too large requests."""
        assert self._transport is not None
        self._request_bytes += len(data)
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self._transport.abort()
        if self._request_bytes > MAX_REQUEST_BYTES:
            self._transport.abort()

    def on_message_begin(self) -> None:
        """Reset the path for the next request."""
        self._path = b""

    def on_url(self, data: bytes) -> None:
        """Append a piece of the request target."""
        self._path += data

    def on_message_complete(self) -> None:
        """Send the response and restart the idle timeout."""
        assert self._transport is not None
        self._request_bytes = 0
        status, body = self._answer(self._path.decode("latin-1"))
        is_keep_alive = self._parser.should_keep_alive()
        close_header = b"" if is_keep_alive else b"Connection: close\r\n"
        self._transport.write(
            b"HTTP/1.1 %d %b\r\nContent-Length: %d\r\n%b\r\n%b"
            % (
                status,
                HTTPStatus(status).phrase.encode(),
                len(body),
                close_header,
                body,
            )
        )
        if not is_keep_alive:
            self._transport.close()
        if self._idle_timer is not None:
            self._idle_timer.cancel()
        self._idle_timer = self._loop.call_later(IDLE_TIMEOUT_S, self._transport.abort)


async def start_internal_server(
    loop: asyncio.AbstractEventLoop,
    address: tuple[str, int],
    answer: Callable[[str], Answer],
) -> asyncio.Server:
    """Start a server that responds with the status and body that `answer` returns.

    `answer` is called with the target of each request: its path and query.
    """
    return await loop.create_server(
        lambda: InternalConnection(answer, loop),
        address[0],
        address[1],
        reuse_address=True,
    )
