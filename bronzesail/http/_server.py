"""HTTP/1.1 server: accepts connections and drains them on shutdown."""

from __future__ import annotations

import asyncio
import functools

from ._connection import Handler, ServerConnection
from ._messages import ServerLimits

__all__ = ["Handler", "HttpServer"]


class HttpServer:
    """Server that hands whole requests to one handler.

    Parameters
    ----------
    handler : callable
        Coroutine function that takes an `HttpRequest` and a `Responder`.
    limits : ServerLimits
        Limits on what a sender may ask.
    """

    def __init__(self, handler: Handler, limits: ServerLimits | None = None) -> None:
        self._handler = handler
        self._limits = limits or ServerLimits()
        self._server: asyncio.Server | None = None
        self._connections: set[ServerConnection] = set()
        self._generation = 0
        self.n_accepted = 0
        self.address = ""

    @property
    def n_open(self) -> int:
        """Number of open connections."""
        return len(self._connections)

    async def start(self, host: str, port: int) -> None:
        """Listen on an address.

        Parameters
        ----------
        host : str
            IP address.
        port : int
            Port; 0 for a free one.

        Raises
        ------
        OSError
            If the address is in use.
        """
        serve = functools.partial(self._serve, self._generation)
        self._server = await asyncio.start_server(serve, host, port)
        name = self._server.sockets[0].getsockname()
        self.address = f"{name[0]}:{name[1]}"

    async def drain(self, timeout_s: float | None = None) -> None:
        """Stop accepting, let requests in progress end, then close.

        Parameters
        ----------
        timeout_s : float or None
            Time the requests in progress may take, in seconds; None for no limit.
        """
        if self._server is not None:
            self._server.close()
        for connection in list(self._connections):
            connection.start_draining()
        tasks = [connection.task for connection in self._connections]
        if tasks:
            await asyncio.wait(tasks, timeout=timeout_s)
        await self.close()

    async def close(self) -> None:
        """Close every connection at once."""
        if self._server is not None:
            self._server.close()
        self._generation += 1
        tasks = [connection.task for connection in self._connections]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def _serve(
        self,
        generation: int,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        if generation != self._generation:
            # It was accepted just before `close`, which has not seen it.
            writer.transport.abort()
            return
        self.n_accepted += 1
        connection = ServerConnection(
            reader, writer, self._limits, self._handler, self.n_accepted
        )
        self._connections.add(connection)
        try:
            await connection.run()
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self._connections.discard(connection)
            connection.close()
