"""Requests, replies and one-way messages between routers over websockets."""

from __future__ import annotations

import asyncio
import itertools
from typing import TYPE_CHECKING, Any, Protocol

import websockets.asyncio.client
import websockets.asyncio.server
from websockets.exceptions import WebSocketException

from ..errors import ResultCode
from ..explain import PartLogger
from ..schema import ErrorReply, Frame, RouterId
from ..schema.codec import CodecError, decode, encode
from ._connection import PeerConnection, TrafficCounters
from ._handshake import Handshake
from ._interfaces import PeerRefusedError, PeerUnreachableError
from ._links import ONE_WAY, REPLY, REQUEST, PeerLink
from ._members import identify
from ._replies import ReplyCache

if TYPE_CHECKING:
    import random
    from collections.abc import Callable, Coroutine

    from websockets.asyncio.client import ClientConnection
    from websockets.asyncio.server import ServerConnection

    from ..schema import FleetSettings, MemberEntry
    from ..util.clock import Clock
    from ._interfaces import PeerHandler

__all__ = ["DialError", "WebsocketNetwork"]

MAX_MESSAGE_BYTES = 4 * 1024 * 1024  # Limit on one received websocket message.
MAINTENANCE_INTERVAL_S = 0.5  # Period of heartbeat, idle and silence checks.
ANY_INCARNATION = 0  # Target of a handshake that any process on the host may answer.


class DialError(PeerUnreachableError):
    """Raised when a connection could not be opened.

    Parameters
    ----------
    text : str
        One sentence that describes the failure.
    was_refused : bool
        Whether the machine refused the TCP connection because nothing listens there.
    """

    def __init__(self, text: str, was_refused: bool) -> None:
        super().__init__(text)
        self.was_refused = was_refused


class HandshakeListener(Protocol):
    """Part of membership that the network uses during handshakes."""

    @property
    def own_entry(self) -> MemberEntry:
        """Member entry that the router sends in the handshake."""

    def take_hello(self, entry: MemberEntry) -> None:
        """Merge the member entry of a router that opened a connection to this one."""

    def take_welcome(self, host: str, entry: MemberEntry) -> None:
        """Merge the member entry of the router that answered at a host's address."""


class WebsocketNetwork:
    """Websocket implementation of `PeerNetwork` for one router.

    Parameters
    ----------
    own : RouterId
        Identity of this router.
    settings : FleetSettings
        Addresses, shared secret and time limits.
    clock : Clock
        Monotonic clock.
    random : random.Random
        Random number generator for the nonces.
    find_address : callable
        Returns the peer address of a host, or None.
    handshake_listener : HandshakeListener
        Provides the own member entry and receives those of peers.

    Attributes
    ----------
    traffic : TrafficCounters
        Traffic counters over all peer connections.
    peer_address : str
        Advertised IP address and port; empty before `start`.
    """

    def __init__(
        self,
        own: RouterId,
        settings: FleetSettings,
        clock: Clock,
        random: random.Random,
        find_address: Callable[[str], str | None],
        handshake_listener: HandshakeListener,
    ) -> None:
        self._own = own
        self._settings = settings
        self._clock = clock
        self._handshake = Handshake(settings.shared_secret, random, handshake_listener)
        self._find_address = find_address
        self._handshake_listener = handshake_listener
        self._handlers: dict[type[Any], PeerHandler] = {}
        self._links: dict[RouterId, PeerLink] = {}
        self._accepted_connections: set[PeerConnection] = set()
        self._replies = ReplyCache()
        self._request_numbers = itertools.count(1)
        self._tasks: set[asyncio.Task[None]] = set()
        self._server: websockets.asyncio.server.Server | None = None
        self._log = PartLogger("fleet")
        self.traffic = TrafficCounters()
        self.peer_address = ""

    async def start(self) -> None:
        """Open the listening socket and start the periodic maintenance of connections.

        Raises
        ------
        OSError
            If the listening socket cannot be bound.
        """
        self._server = await websockets.asyncio.server.serve(
            self._accept,
            self._settings.bind_address,
            self._settings.bind_port,
            compression=None,
            ping_interval=None,
            server_header=None,
            close_timeout=self._connect_timeout_s,
            open_timeout=self._connect_timeout_s,
            max_size=MAX_MESSAGE_BYTES,
        )
        host, port = next(iter(self._server.sockets)).getsockname()[:2]
        bound = f"{host}:{port}"
        self.peer_address = self._settings.advertised_address or bound
        self._spawn(self._maintain())

    async def stop(self) -> None:
        """Close all connections and the listening socket, and cancel running tasks."""
        for link in self._links.values():
            link.close()
        for connection in self._accepted_connections:
            connection.abort()
        for task in list(self._tasks):
            task.cancel()
        if self._server is not None:
            self._server.close()
            await self._server.wait_closed()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def register(self, message_type: type[Any], handler: PeerHandler) -> None:
        """Set the handler of a message class; see `PeerNetwork.register`."""
        self._handlers[message_type] = handler

    async def request(self, peer: RouterId, message: Any, timeout_s: float) -> Any:
        """Send a message and return the reply; see `PeerNetwork.request`."""
        if peer == self._own:
            reply: Any = await self._dispatch(peer, message)
        else:
            link = self._find_link(peer)
            number = next(self._request_numbers)
            reply = decode(await link.request(number, encode(message), timeout_s))
        if isinstance(reply, ErrorReply):
            raise PeerRefusedError(reply.code, reply.detail)
        return reply

    def send(self, peer: RouterId, message: Any) -> None:
        """Send a one-way message; see `PeerNetwork.send`."""
        self._find_link(peer).send(Frame(ONE_WAY, 0, encode(message)))

    async def dial(self, host: str, address: str) -> RouterId:
        """Open a connection to the router at an address, whichever incarnation it is.

        Parameters
        ----------
        host : str
            Name of the host that is expected at the address.
        address : str
            IP address and port.

        Returns
        -------
        RouterId
            The router that answered.

        Raises
        ------
        PeerUnreachableError
            If no router answered in time or it failed authentication.
        """
        connection = await self._open(RouterId(host, ANY_INCARNATION), address)
        self._find_link(connection.peer).adopt(connection)
        return connection.peer

    def list_linked(self) -> tuple[RouterId, ...]:
        """Return the routers for which a link exists, connected or not."""
        return tuple(self._links)

    def find_connection(self, peer: RouterId) -> PeerConnection | None:
        """Return the connection that carries messages to a router, or None."""
        link = self._links.get(peer)
        return link.connection if link is not None else None

    def forget(self, peer: RouterId) -> None:
        """Close and remove the link to a router.

        Parameters
        ----------
        peer : RouterId
            Router whose pending requests fail.
        """
        link = self._links.pop(peer, None)
        if link is not None:
            link.close()

    @property
    def _connect_timeout_s(self) -> float:
        return self._settings.connect_timeout_ms / 1000

    def _find_link(self, peer: RouterId) -> PeerLink:
        link = self._links.get(peer)
        if link is None:
            ping_timeout_s = self._settings.probe_timeout_ms / 1000
            link = PeerLink(peer, self._connect, ping_timeout_s)
            self._links[peer] = link
        return link

    async def _connect(self, peer: RouterId) -> PeerConnection:
        address = self._find_address(peer.host)
        if address is None:
            raise PeerUnreachableError(f"the peer address of {peer.host} is unknown")
        return await self._open(peer, address)

    async def _open(self, target: RouterId, address: str) -> PeerConnection:
        websocket: ClientConnection | None = None
        try:
            async with asyncio.timeout(self._connect_timeout_s):
                websocket = await websockets.asyncio.client.connect(
                    f"ws://{address}",
                    compression=None,
                    ping_interval=None,
                    user_agent_header=None,
                    proxy=None,
                    open_timeout=None,
                    close_timeout=self._connect_timeout_s,
                    max_size=MAX_MESSAGE_BYTES,
                )
                welcome = await self._handshake.authenticate_as_opener(
                    websocket, target
                )
        except (OSError, TimeoutError, WebSocketException, CodecError) as error:
            if websocket is not None:
                websocket.transport.abort()
            reason = f"{target.host} at {address}: {type(error).__name__}"
            was_refused = isinstance(error, ConnectionRefusedError)
            if isinstance(error, CodecError):
                host = target.host
                self._log.write(
                    "outgoing handshake failed", host=host, reason=str(error)
                )
            raise DialError(reason, was_refused) from error
        self._handshake_listener.take_welcome(target.host, welcome.member)
        peer = identify(welcome.member)
        if target.incarnation not in (ANY_INCARNATION, peer.incarnation):
            websocket.transport.abort()
            raise PeerUnreachableError(f"{target.host} runs another incarnation")
        return self._add_opened_connection(websocket, peer)

    async def _accept(self, websocket: ServerConnection) -> None:
        try:
            async with asyncio.timeout(self._connect_timeout_s):
                hello = await self._handshake.authenticate_as_acceptor(websocket)
        except (OSError, TimeoutError, WebSocketException, CodecError) as error:
            self._log.write("incoming handshake failed", reason=str(error))
            websocket.transport.abort()
            return
        self._handshake_listener.take_hello(hello.member)
        if hello.target_incarnation not in (ANY_INCARNATION, self._own.incarnation):
            websocket.transport.abort()
            return
        self.traffic.n_opened += 1
        peer = identify(hello.member)
        connection = self._make_connection(websocket, peer)
        self._accepted_connections.add(connection)
        link = self._find_link(peer)
        if link.connection is None or link.connection.is_closed:
            link.adopt(connection)
        try:
            await self._run(connection)
        finally:
            self._accepted_connections.discard(connection)

    def _add_opened_connection(
        self, websocket: ClientConnection, peer: RouterId
    ) -> PeerConnection:
        self.traffic.n_opened += 1
        connection = self._make_connection(websocket, peer)
        self._spawn(self._run(connection))
        return connection

    def _make_connection(
        self, websocket: ClientConnection | ServerConnection, peer: RouterId
    ) -> PeerConnection:
        return PeerConnection(websocket, peer, self._clock, self.traffic, self._receive)

    async def _run(self, connection: PeerConnection) -> None:
        await connection.run()
        link = self._links.get(connection.peer)
        if link is not None and link.connection is connection:
            link.replace_connection()

    def _receive(self, connection: PeerConnection, frame: Frame) -> None:
        if frame.kind == REPLY:
            link = self._links.get(connection.peer)
            if link is not None:
                link.receive_reply(frame)
            return
        self._spawn(self._serve_frame(connection, frame))

    async def _serve_frame(self, connection: PeerConnection, frame: Frame) -> None:
        peer = connection.peer
        if frame.kind != REQUEST:
            await self._answer_message(peer, frame.body)
            return
        reply = self._replies.find(peer, frame.number)
        if reply is None:
            task = asyncio.ensure_future(self._answer_message(peer, frame.body))
            self._replies.add(peer, frame.number, task, self._clock.monotonic())
            reply = task
        body = await asyncio.shield(reply)
        if connection.is_closed:
            return
        connection.queue(Frame(REPLY, frame.number, body))

    async def _answer_message(self, peer: RouterId, body: bytes) -> bytes:
        try:
            reply = await self._dispatch(peer, decode(body))
        except CodecError as error:
            reply = ErrorReply(int(ResultCode.PEER_REFUSED), str(error))
        return encode(reply) if reply is not None else b""

    async def _dispatch(self, peer: RouterId, message: Any) -> Any:
        handler = self._handlers.get(type(message))
        if handler is None:
            detail = f"no handler for {type(message).__name__}"
            return ErrorReply(int(ResultCode.PEER_REFUSED), detail)
        try:
            return await handler(peer, message)
        except PeerRefusedError as error:
            return ErrorReply(error.code, error.detail)
        except Exception as error:
            reason = f"{type(error).__name__}: {error}"
            self._log.write("handler of a peer message failed", reason=reason)
            return ErrorReply(int(ResultCode.INTERNAL), type(error).__name__)

    async def _maintain(self) -> None:
        while True:
            await asyncio.sleep(MAINTENANCE_INTERVAL_S)
            now = self._clock.monotonic()
            self._replies.expire(now)
            for link in list(self._links.values()):
                self._maintain_link(link, now)
            for connection in list(self._accepted_connections):
                self._maintain_connection(connection, now)

    def _maintain_link(self, link: PeerLink, now: float) -> None:
        connection = link.connection
        if connection is None or connection.is_closed:
            return
        idle_s = now - connection.last_frame
        if idle_s * 1000 > self._settings.idle_limit_ms and not link.is_busy:
            link.replace_connection()
            return
        self._maintain_connection(connection, now)

    def _maintain_connection(self, connection: PeerConnection, now: float) -> None:
        if (now - connection.last_received) * 1000 > self._settings.silence_limit_ms:
            self._log.write("silent peer connection aborted", host=connection.peer.host)
            connection.abort()
            return
        if (now - connection.last_sent) * 1000 > self._settings.heartbeat_interval_ms:
            connection.send_heartbeat()

    def _spawn(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
