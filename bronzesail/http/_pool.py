"""Client connections, and the idle ones kept for each address."""

from __future__ import annotations

import asyncio

import attrs
import h11

from ._messages import ClientLimits, ExchangeBrokenError, NotSentError

__all__ = ["ClientConnection", "ConnectionPool"]

READ_SIZE_BYTES = 64 * 1024


@attrs.define(eq=False)
class ClientConnection:
    """Open connection and its protocol state.

    Attributes
    ----------
    address : str
        IP address and port.
    reader : asyncio.StreamReader
        Socket's reader.
    writer : asyncio.StreamWriter
        Socket's writer.
    protocol : h11.Connection
        Protocol state.
    watch : asyncio.Task or None
        Read that was started while the connection was idle.
    expiry : asyncio.TimerHandle or None
        Timer that ends the idle time.
    """

    address: str
    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter
    protocol: h11.Connection
    watch: asyncio.Task[bytes] | None = None
    expiry: asyncio.TimerHandle | None = None

    def abort(self) -> None:
        """Close the connection at once."""
        self.writer.transport.abort()
        if self.watch is not None:
            self.watch.cancel()
        if self.expiry is not None:
            self.expiry.cancel()

    async def read_event(
        self, silence_s: float | None
    ) -> h11.Event | type[h11.NEED_DATA] | type[h11.PAUSED]:
        """Return the next protocol event.

        Parameters
        ----------
        silence_s : float or None
            Greatest time for one read, in seconds; None for no limit.

        Returns
        -------
        h11.Event
            The event.

        Raises
        ------
        ExchangeBrokenError
            If the connection breaks or the peer breaks the protocol.
        TimeoutError
            If no byte comes within `silence_s`.
        """
        while True:
            try:
                event = self.protocol.next_event()
            except h11.RemoteProtocolError as error:
                raise ExchangeBrokenError(f"malformed response: {error}") from error
            if event is not h11.NEED_DATA:
                return event
            async with asyncio.timeout(silence_s):
                data = await self._read()
            self.protocol.receive_data(data)

    async def _read(self) -> bytes:
        watch = self.watch
        self.watch = None
        try:
            if watch is not None:
                return await watch
            return await self.reader.read(READ_SIZE_BYTES)
        except OSError as error:
            raise ExchangeBrokenError(f"connection failed: {error}") from error


class ConnectionPool:
    """Idle connections by address.

    A connection that closes or sends a byte while it is idle is dropped: the byte
    would be taken for the next answer.

    Parameters
    ----------
    limits : ClientLimits
        Limits on the connections.
    """

    def __init__(self, limits: ClientLimits) -> None:
        self._limits = limits
        self._idle: dict[str, list[ClientConnection]] = {}

    def count_idle(self, address: str) -> int:
        """Return the number of idle connections to an address."""
        return len(self._idle.get(address, ()))

    def take(self, address: str) -> ClientConnection | None:
        """Return the connection that became idle last, or None.

        Parameters
        ----------
        address : str
            IP address and port.

        Returns
        -------
        ClientConnection or None
            The connection, no longer in the pool.
        """
        while idle := self._idle.get(address):
            connection = idle[-1]
            self._remove(connection)
            if connection.watch is not None and connection.watch.done():
                connection.abort()
                continue
            if connection.writer.transport.is_closing():
                connection.abort()
                continue
            return connection
        return None

    def keep(self, connection: ClientConnection) -> None:
        """Put a connection whose exchange is whole into the pool.

        Parameters
        ----------
        connection : ClientConnection
            The connection.
        """
        states = (connection.protocol.our_state, connection.protocol.their_state)
        has_surplus = connection.protocol.trailing_data[0] != b""
        is_full = self.count_idle(connection.address) >= self._limits.idle_per_address
        if states != (h11.DONE, h11.DONE) or has_surplus or is_full:
            connection.abort()
            return
        connection.protocol.start_next_cycle()
        loop = asyncio.get_running_loop()
        connection.expiry = loop.call_later(
            self._limits.idle_age_s, self._drop, connection
        )
        connection.watch = loop.create_task(connection.reader.read(READ_SIZE_BYTES))
        connection.watch.add_done_callback(
            lambda watch: self._end_watch(connection, watch)
        )
        self._idle.setdefault(connection.address, []).append(connection)

    def drop_address(self, address: str) -> None:
        """Close the idle connections to an address.

        Parameters
        ----------
        address : str
            IP address and port.
        """
        for connection in list(self._idle.get(address, ())):
            self._drop(connection)

    def close(self) -> None:
        """Close every idle connection."""
        for address in list(self._idle):
            self.drop_address(address)

    async def open(self, address: str) -> ClientConnection:
        """Open a connection.

        Parameters
        ----------
        address : str
            IP address and port.

        Returns
        -------
        ClientConnection
            The connection.

        Raises
        ------
        NotSentError
            If it cannot be opened.
        """
        host, _, port = address.rpartition(":")
        try:
            async with asyncio.timeout(self._limits.connect_timeout_s):
                reader, writer = await asyncio.open_connection(host, int(port))
        except (OSError, ValueError, OverflowError) as error:
            raise NotSentError(f"cannot connect to {address}: {error}") from error
        return ClientConnection(address, reader, writer, h11.Connection(h11.CLIENT))

    def _end_watch(
        self, connection: ClientConnection, watch: asyncio.Task[bytes]
    ) -> None:
        if not watch.cancelled():
            watch.exception()
        if connection in self._idle.get(connection.address, ()):
            self._drop(connection)

    def _drop(self, connection: ClientConnection) -> None:
        self._remove(connection)
        connection.abort()

    def _remove(self, connection: ClientConnection) -> None:
        if connection.expiry is not None:
            connection.expiry.cancel()
            connection.expiry = None
        idle = self._idle[connection.address]
        idle.remove(connection)
        if not idle:
            del self._idle[connection.address]
