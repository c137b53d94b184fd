"""Stand-in of the slow and narrow link between two regions."""

from __future__ import annotations

import asyncio

import attrs

__all__ = ["LinkPath", "LinkStandin", "RegionLink"]

READ_SIZE_BYTES = 16 * 1024
BACKLOG_S = 0.25


@attrs.define
class LinkPath:
    """One direction of a link, shared by every connection over it.

    Attributes
    ----------
    delay_s : float
        One-way delay, in seconds.
    bytes_per_s : float
        Byte rate; 0 for no limit.
    is_cut : bool
        Whether bytes are dropped without closing a connection.
    carried_bytes : int
        Bytes delivered.
    dropped_bytes : int
        Bytes dropped by a cut.
    free_at : float
        Monotonic time at which the next byte can be sent, in seconds.
    """

    delay_s: float = 0.03
    bytes_per_s: float = 1_875_000.0
    is_cut: bool = False
    carried_bytes: int = 0
    dropped_bytes: int = 0
    free_at: float = 0.0

    def schedule(self, n_bytes: int, now: float) -> float:
        """Return when bytes handed over now arrive.

        Parameters
        ----------
        n_bytes : int
            Number of bytes.
        now : float
            Monotonic time, in seconds.

        Returns
        -------
        float
            Monotonic time of their arrival, in seconds.
        """
        if self.bytes_per_s > 0:
            self.free_at = max(now, self.free_at) + n_bytes / self.bytes_per_s
        else:
            self.free_at = now
        return self.free_at + self.delay_s


@attrs.define(eq=False)
class _Pipe:
    """One direction of one relayed connection."""

    path: LinkPath
    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter
    is_silent: bool = False
    queue: asyncio.Queue[tuple[float, bytes]] = attrs.field(factory=asyncio.Queue)

    async def run(self) -> None:
        """Relay bytes until the sender closes."""
        sending = asyncio.create_task(self._deliver())
        try:
            await self._receive()
            await sending
        except OSError:
            pass
        finally:
            sending.cancel()

    async def _receive(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            data = await self.reader.read(READ_SIZE_BYTES)
            at = self.path.schedule(len(data), loop.time())
            self.queue.put_nowait((at, data))
            if not data:
                return
            excess_s = self.path.free_at - loop.time() - BACKLOG_S
            if excess_s > 0:
                await asyncio.sleep(excess_s)

    async def _deliver(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            at, data = await self.queue.get()
            await asyncio.sleep(max(0.0, at - loop.time()))
            if self.path.is_cut:
                self.is_silent = True
            if self.is_silent:
                self.path.dropped_bytes += len(data)
                if not data:
                    return
                continue
            if not data:
                self.writer.close()
                return
            self.path.carried_bytes += len(data)
            self.writer.write(data)
            await self.writer.drain()


class LinkStandin:
    """TCP relay to one target over a link's two paths.

    A connection that lost bytes in a cut, or was opened during it, stays silent for
    good; connections opened later work.

    Parameters
    ----------
    target : str
        IP address and port that it relays to.
    forward : LinkPath or None
        Path towards the target; None for one of its own.
    backward : LinkPath or None
        Path back from the target; None for one of its own.
    """

    def __init__(
        self,
        target: str,
        forward: LinkPath | None = None,
        backward: LinkPath | None = None,
    ) -> None:
        self.target = target
        self.forward = forward or LinkPath()
        self.backward = backward or LinkPath()
        self.address = ""
        self._server: asyncio.Server | None = None
        self._pipes: set[_Pipe] = set()
        self._tasks: set[asyncio.Task[None]] = set()

    @property
    def is_cut(self) -> bool:
        """Whether both paths drop bytes."""
        return self.forward.is_cut and self.backward.is_cut

    @is_cut.setter
    def is_cut(self, value: bool) -> None:
        self.forward.is_cut = value
        self.backward.is_cut = value

    async def start(self, host: str = "127.0.0.1", port: int = 0) -> None:
        """Listen on an address.

        Parameters
        ----------
        host : str
            IP address.
        port : int
            Port; 0 for a free one.
        """
        self._server = await asyncio.start_server(self._serve, host, port)
        name = self._server.sockets[0].getsockname()
        self.address = f"{name[0]}:{name[1]}"

    async def stop(self) -> None:
        """Close every connection."""
        if self._server is not None:
            self._server.close()
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def silence_connections(self) -> None:
        """Drop whatever open connections still carry, for good."""
        for pipe in self._pipes:
            pipe.is_silent = True

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        try:
            await self._relay(reader, writer)
        except (OSError, asyncio.CancelledError):
            pass
        finally:
            self._tasks.discard(task)
            writer.close()

    async def _relay(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        host, _, port = self.target.rpartition(":")
        far_reader, far_writer = await asyncio.open_connection(host, int(port))
        is_silent = self.forward.is_cut or self.backward.is_cut
        there = _Pipe(self.forward, reader, far_writer, is_silent)
        back = _Pipe(self.backward, far_reader, writer, is_silent)
        self._pipes |= {there, back}
        try:
            await asyncio.gather(there.run(), back.run())
        finally:
            self._pipes -= {there, back}
            far_writer.close()


class RegionLink:
    """The link between two regions, with a relay for each host seen across it.

    Parameters
    ----------
    regions : tuple of (str, str)
        Names of the two regions.
    delay_s : float
        One-way delay, in seconds.
    bytes_per_s : float
        Byte rate each way, shared by all relays; 0 for no limit.
    """

    def __init__(
        self,
        regions: tuple[str, str],
        delay_s: float = 0.03,
        bytes_per_s: float = 1_875_000.0,
    ) -> None:
        self.paths = {region: LinkPath(delay_s, bytes_per_s) for region in regions}
        self._regions = regions
        self._relays: list[LinkStandin] = []

    @property
    def is_cut(self) -> bool:
        """Whether both directions drop bytes."""
        return all(path.is_cut for path in self.paths.values())

    @is_cut.setter
    def is_cut(self, value: bool) -> None:
        for path in self.paths.values():
            path.is_cut = value

    async def open_relay(self, from_region: str, target: str) -> LinkStandin:
        """Start a relay for the hosts of one region to a target in the other.

        Parameters
        ----------
        from_region : str
            Region of the hosts that connect to the relay.
        target : str
            IP address and port in the other region.

        Returns
        -------
        LinkStandin
            The relay, listening.
        """
        first, second = self._regions
        to_region = second if from_region == first else first
        relay = LinkStandin(target, self.paths[from_region], self.paths[to_region])
        await relay.start()
        self._relays.append(relay)
        return relay

    async def stop(self) -> None:
        """Close every relay."""
        for relay in self._relays:
            await relay.stop()
