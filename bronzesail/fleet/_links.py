"""Requests to one peer that survive the replacement of its connection."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from ..schema import Frame
from ._interfaces import PeerUnreachableError

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from ..schema import RouterId
    from ._connection import PeerConnection

__all__ = ["ONE_WAY", "REPLY", "REQUEST", "PeerLink"]

# Values of `Frame.kind`.
ONE_WAY = 0
REQUEST = 1
REPLY = 2

# One-way frames kept while there is no connection; the oldest are dropped.
MAX_QUEUED_FRAMES = 1000


class PeerLink:
    """Sends frames to one peer and resends unanswered requests on a new connection.

    The receiver handles each request number once and answers a duplicate from its
    reply cache, so that resending is safe.

    Parameters
    ----------
    peer : RouterId
        Router at the other end.
    connect : callable
        Opens a connection to the peer.
    ping_timeout_s : float
        Time limit for a pong while a reply is pending, in seconds; a connection that
        exceeds it is replaced.
    """

    def __init__(
        self,
        peer: RouterId,
        connect: Callable[[RouterId], Awaitable[PeerConnection]],
        ping_timeout_s: float,
    ) -> None:
        self.peer = peer
        self._connect = connect
        self._ping_timeout_s = ping_timeout_s
        self._liveness_task: asyncio.Task[None] | None = None
        self.connection: PeerConnection | None = None
        self._connect_task: asyncio.Task[None] | None = None
        self._queued_frames: list[Frame] = []
        self._unanswered_requests: dict[int, Frame] = {}
        self._reply_futures: dict[int, asyncio.Future[bytes]] = {}

    @property
    def is_busy(self) -> bool:
        """Whether any request is waiting for its reply."""
        return bool(self._reply_futures)

    def send(self, frame: Frame) -> None:
        """Send a frame; open a connection if there is none.

        Parameters
        ----------
        frame : Frame
            Frame to send; a request must already be registered as unanswered.
        """
        if self.connection is not None and not self.connection.is_closed:
            self.connection.queue(frame)
            return
        if frame.kind != REQUEST:
            self._queued_frames.append(frame)
            del self._queued_frames[:-MAX_QUEUED_FRAMES]
        self._start_connecting()

    async def request(self, number: int, body: bytes, timeout_s: float) -> bytes:
        """Send a request and return the encoded reply.

        Parameters
        ----------
        number : int
            Number of the request, unique within this process.
        body : bytes
            Encoded message.
        timeout_s : float
            Time limit for the reply, in seconds.

        Returns
        -------
        bytes
            The encoded reply.

        Raises
        ------
        PeerUnreachableError
            If no reply arrived in time, the peer could not be connected to, or the
            link was closed.
        """
        reply: asyncio.Future[bytes] = asyncio.get_running_loop().create_future()
        frame = Frame(REQUEST, number, body)
        self._reply_futures[number] = reply
        self._unanswered_requests[number] = frame
        self.send(frame)
        self._start_liveness_checks()
        try:
            return await asyncio.wait_for(reply, timeout_s)
        except TimeoutError as error:
            raise PeerUnreachableError(
                f"{self.peer.host} did not answer in time"
            ) from error
        finally:
            del self._reply_futures[number]
            del self._unanswered_requests[number]

    def receive_reply(self, frame: Frame) -> None:
        """Complete the request that a reply belongs to; drop a reply to no request."""
        reply = self._reply_futures.get(frame.number)
        if reply is None or reply.done():
            return
        reply.set_result(frame.body)

    def replace_connection(self) -> None:
        """Abort the connection; open a new one if frames or replies are pending."""
        if self.connection is not None:
            self.connection.abort()
        self.connection = None
        if self.is_busy or self._queued_frames:
            self._start_connecting()

    def close(self) -> None:
        """Abort the connection and fail all pending requests."""
        if self.connection is not None:
            self.connection.abort()
        for task in (self._connect_task, self._liveness_task):
            if task is not None:
                task.cancel()
        self._fail_requests("the link to the peer was closed")

    def _start_connecting(self) -> None:
        if self._connect_task is not None and not self._connect_task.done():
            return
        self._connect_task = asyncio.create_task(self._open())

    def _start_liveness_checks(self) -> None:
        if self._liveness_task is not None and not self._liveness_task.done():
            return
        self._liveness_task = asyncio.create_task(self._check_liveness())

    async def _check_liveness(self) -> None:
        while True:
            await asyncio.sleep(self._ping_timeout_s / 2)
            if not self.is_busy:
                return
            connection = self.connection
            if connection is None or connection.is_closed:
                continue
            if await connection.answers_ping(self._ping_timeout_s):
                continue
            if connection is self.connection:
                self.replace_connection()

    async def _open(self) -> None:
        try:
            connection = await self._connect(self.peer)
        except PeerUnreachableError as error:
            self._queued_frames.clear()
            self._fail_requests(str(error))
            return
        self.adopt(connection)

    def adopt(self, connection: PeerConnection) -> None:
        """Replace the connection and resend queued frames and unanswered requests.

        Parameters
        ----------
        connection : PeerConnection
            New connection to the peer.
        """
        if self.connection is not None:
            self.connection.abort()
        self.connection = connection
        frames = [*self._queued_frames, *self._unanswered_requests.values()]
        self._queued_frames.clear()
        for frame in frames:
            connection.queue(frame)

    def _fail_requests(self, reason: str) -> None:
        for reply in self._reply_futures.values():
            if not reply.done():
                reply.set_exception(PeerUnreachableError(reason))
