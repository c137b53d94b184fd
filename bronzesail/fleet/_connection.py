"""Batched frames over one authenticated websocket between two routers."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from websockets.exceptions import WebSocketException

from ..schema import FrameBatch
from ..schema.codec import CodecError, decode_as, encode

if TYPE_CHECKING:
    from collections.abc import Callable

    from websockets.asyncio.connection import Connection

    from ..schema import Frame, RouterId
    from ..util.clock import Clock

__all__ = ["PeerConnection", "TrafficCounters"]

# Estimated overhead per message for the traffic counters: a masked websocket header,
# and IP and TCP headers.
WEBSOCKET_HEADER_BYTES = 6
TCP_HEADER_BYTES = 52


class TrafficCounters:
    """Traffic counters of a router, summed over all its peer connections.

    Attributes
    ----------
    sent_messages, received_messages : int
        Number of websocket messages.
    sent_bytes, received_bytes : int
        Payload bytes plus estimated websocket, TCP and IP headers.
    n_opened : int
        Number of connections opened or accepted.
    """

    def __init__(self) -> None:
        self.sent_messages = 0
        self.received_messages = 0
        self.sent_bytes = 0
        self.received_bytes = 0
        self.n_opened = 0

    def record_sent(self, n_bytes: int) -> None:
        """Count one sent message with a payload of `n_bytes`."""
        self.sent_messages += 1
        self.sent_bytes += n_bytes + WEBSOCKET_HEADER_BYTES + TCP_HEADER_BYTES

    def record_received(self, n_bytes: int) -> None:
        """Count one received message with a payload of `n_bytes`."""
        self.received_messages += 1
        self.received_bytes += n_bytes + WEBSOCKET_HEADER_BYTES + TCP_HEADER_BYTES


class PeerConnection:
    """Sends frames in batches and passes received frames to a callback.

    Frames queued within one iteration of the event loop, or while an earlier batch is
    being written, are sent in one websocket message.

    Parameters
    ----------
    websocket : Connection
        Websocket on which the handshake has completed.
    peer : RouterId
        Router at the other end.
    clock : Clock
        Monotonic clock.
    counters : TrafficCounters
        Traffic counters to update.
    receive : callable
        Called with the connection and each received frame.

    Attributes
    ----------
    is_closed : bool
        Whether the connection was aborted or has ended.
    last_received, last_sent : float
        Monotonic time of the last websocket message in each direction, in seconds.
    last_frame : float
        Monotonic time of the last frame queued or received, in seconds; heartbeats
        carry no frames and do not count.
    """

    def __init__(
        self,
        websocket: Connection,
        peer: RouterId,
        clock: Clock,
        counters: TrafficCounters,
        receive: Callable[[PeerConnection, Frame], None],
    ) -> None:
        self.peer = peer
        self._websocket = websocket
        self._clock = clock
        self._counters = counters
        self._receive = receive
        self._outbox: list[Frame] = []
        self._is_heartbeat_due = False
        self._wake = asyncio.Event()
        self.is_closed = False
        now = clock.monotonic()
        self.last_received = now
        self.last_sent = now
        self.last_frame = now

    def queue(self, frame: Frame) -> None:
        """Queue a frame for the next batch.

        Parameters
        ----------
        frame : Frame
            Frame to send.
        """
        self._outbox.append(frame)
        self.last_frame = self._clock.monotonic()
        self._wake.set()

    def send_heartbeat(self) -> None:
        """Send a batch even if no frame is queued, so that the peer sees activity."""
        self._is_heartbeat_due = True
        self._wake.set()

    async def answers_ping(self, timeout_s: float) -> bool:
        """Return whether the peer answers a websocket ping on this connection.

        Parameters
        ----------
        timeout_s : float
            Time limit for the pong, in seconds.

        Returns
        -------
        bool
            False if no pong arrived in time or the connection is closed.
        """
        try:
            async with asyncio.timeout(timeout_s):
                await (await self._websocket.ping())
        except (TimeoutError, OSError, WebSocketException):
            return False
        self.last_received = self._clock.monotonic()
        return True

    async def run(self) -> None:
        """Send and receive frames until the connection ends."""
        writer = asyncio.create_task(self._write())
        try:
            await self._read()
        finally:
            writer.cancel()
            self.abort()

    def abort(self) -> None:
        """Close the transport without a websocket closing handshake."""
        if self.is_closed:
            return
        self.is_closed = True
        self._websocket.transport.abort()

    async def _read(self) -> None:
        try:
            while True:
                data = await self._websocket.recv(decode=False)
                self.last_received = self._clock.monotonic()
                self._counters.record_received(len(data))
                batch = decode_as(bytes(data), FrameBatch)
                for frame in batch.frames:
                    self.last_frame = self.last_received
                    self._receive(self, frame)
        except (WebSocketException, OSError, CodecError):
            return

    async def _write(self) -> None:
        try:
            while True:
                await self._wake.wait()
                self._wake.clear()
                await self._write_batch()
        except (WebSocketException, OSError):
            self.abort()

    async def _write_batch(self) -> None:
        frames, self._outbox = self._outbox, []
        if not frames and not self._is_heartbeat_due:
            return
        self._is_heartbeat_due = False
        data = encode(FrameBatch(tuple(frames)))
        self.last_sent = self._clock.monotonic()
        self._counters.record_sent(len(data))
        await self._websocket.send(data)
