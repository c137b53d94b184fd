"""UDP messages between routers: hellos and transfers of budget tokens.

Datagrams need no connections, which could hang without an error. Each request for
tokens carries an id, and a repeated request gets the same reply. A lost reply can lose
tokens but never duplicates them.

In a large fleet one router of each region holds an account's tokens for the others and
refills them from the store; this router is called the account's banker.
"""

from __future__ import annotations

import asyncio
import itertools
from typing import TYPE_CHECKING, Any

import attrs
import msgspec

from .decoding import decode_datagram
from .messages import (
    EvacuationReports,
    Hello,
    LimitReports,
    ServerFull,
    StreamBeginnings,
    StreamMessage,
    StreamQuery,
    StreamReply,
    TokenRequest,
    TokenTransfer,
    TransferConfirmation,
    compute_hosts_digest,
    select_limits,
)
from .neighbourhood import Allocator, Neighbour

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from ..errors import ResultCode
    from .admission import LinkUsage
    from .budget import BudgetBook
    from .eligibility import Evacuations
    from .log import Log
    from .neighbourhood import Neighbourhood
    from .server_limits import LimitReport, ServerLimits

__all__ = ["LIVE_TIMEOUT_S", "Peer", "Peers"]

HELLO_INTERVAL_S = 0.4  # Spreads changes within half a second; a hello has 300 bytes.
LIVE_TIMEOUT_S = 1.5  # A peer without a hello for this long is not asked for tokens.
# A peer without a hello for this long is forgotten, as are replies to its requests.
# The ids of received transfers are kept twice as long, to detect duplicates.
EXPIRY_S = 30.0
# A round trip across regions takes 60 ms; the rest allows for a slowed host.
TOKEN_REPLY_TIMEOUT_S = 0.2
MAX_ASKED_PEERS = 5  # Peers that are asked for tokens to cover one shortage.
DEMAND_AHEAD_S = 2.0  # Seconds of demand that are requested beyond the shortage.
MAX_DATAGRAM_BYTES = 60_000  # Below the 64 KiB of UDP; larger messages are dropped.

# All messages that routers send to each other.
Message = (
    Hello
    | EvacuationReports
    | LimitReports
    | ServerFull
    | StreamBeginnings
    | StreamQuery
    | StreamReply
    | TokenRequest
    | TokenTransfer
    | TransferConfirmation
)


@attrs.define(kw_only=True)
class Peer:
    """Another router with its last hello."""

    hello: Hello
    address: tuple[str, int]
    last_hello_at: float


class Peers(asyncio.DatagramProtocol):
    """Sends and receives the messages of one router.

    Parameters
    ----------
    loop : asyncio.AbstractEventLoop
        The loop to run on.
    book : BudgetBook
        Budgets that transfers are taken from and added to.
    log : Log
        Log for transfers and peers.
    neighbourhood : Neighbourhood
        Selects the receivers of hellos.
    make_hello : callable
        Returns this router's hello.
    on_hello : callable
        Called for each hello that is received.
    on_token_request : callable
        Handles a request for tokens where this router is the account's banker.
        Returns the tokens to transfer and, if known, why more cannot be had.
    on_tokens : callable
        Called after tokens were received.
    incarnation : str
        Id of this process; prefix of the ids of its requests and transfers.
    limits : ServerLimits
        The limits of servers, which are passed on.
    on_limits : callable
        Called with the limits that another router's reports have changed.
    on_stream_message : callable
        Called with each message about streams and the address of its sender.
    on_server_full : callable
        Called with each report of a server that has rejected a request.
    evacuations : Evacuations
        The evacuated data centres, which are passed on.
    usage : LinkUsage, optional
        Counts the bytes that are received and sent.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        book: BudgetBook,
        log: Log,
        neighbourhood: Neighbourhood,
        make_hello: Callable[[], Hello],
        on_hello: Callable[[Peer], None],
        on_token_request: Callable[
            [TokenRequest], Awaitable[tuple[int, ResultCode | None]]
        ],
        on_tokens: Callable[[], None],
        incarnation: str,
        limits: ServerLimits,
        on_limits: Callable[[list[LimitReport]], None],
        on_stream_message: Callable[[StreamMessage, tuple[str, int]], None],
        on_server_full: Callable[[ServerFull], None],
        evacuations: Evacuations,
        usage: LinkUsage | None = None,
    ) -> None:
        self._usage = usage
        self._loop = loop
        self._book = book
        self._log = log
        self._neighbourhood = neighbourhood
        self._make_hello = make_hello
        self._on_hello = on_hello
        self._on_token_request = on_token_request
        self._on_tokens = on_tokens
        self._incarnation = incarnation
        self._limits = limits
        self._on_limits = on_limits
        self._on_stream_message = on_stream_message
        self._on_server_full = on_server_full
        self._evacuations = evacuations
        self._reply_tasks: dict[str, asyncio.Task[None]] = {}
        self._transport: asyncio.DatagramTransport | None = None
        self._sequence = itertools.count(1)
        self._pending_requests: dict[str, asyncio.Future[TokenTransfer]] = {}
        self._sent_transfers: dict[str, tuple[float, TokenTransfer]] = {}
        self._received_transfers: dict[str, float] = {}
        self._confirmations: dict[str, asyncio.Future[None]] = {}
        self._message_decoder = msgspec.msgpack.Decoder(Message)
        self.by_host: dict[str, Peer] = {}

    async def start(self, ip: str, port: int) -> None:
        """Bind the socket and start to receive datagrams."""
        transport, _ = await self._loop.create_datagram_endpoint(
            lambda: self, local_addr=(ip, port)
        )
        self._transport = transport

    def close(self) -> None:
        """Close the socket."""
        if self._transport is not None:
            self._transport.close()

    async def run(self) -> None:
        """Send hellos and expire old state until cancelled."""
        while True:
            self.send_hello()
            self._expire_old()
            await asyncio.sleep(HELLO_INTERVAL_S)

    def send_hello(self) -> None:
        """Send a hello now; an error is logged, as the caller's own work goes on."""
        try:
            self._send_hello()
        except Exception as error:
            self._log.write("peers: hello not sent", error=repr(error))

    def _send_hello(self) -> None:
        """Send a hello.

        The leader of a data centre adds digests of the live routers of the others, and
        sends the leaders of those a hello with the digest of its own.
        """
        hello = self._make_hello()
        neighbourhood = self._neighbourhood
        is_leader = neighbourhood.is_large and neighbourhood.find_leader() is None
        if is_leader:
            zones = neighbourhood.list_other_zones()
            hello.host_lists = {zone: self._digest_hosts(zone) for zone in zones}
        # First, as a hello leads to reads of newer configurations and directories.
        self._send_evacuations(self._list_receivers(is_leader=is_leader))
        encoded = msgspec.msgpack.encode(hello)
        for address in neighbourhood.list_hello_addresses():
            self._send(encoded, address)
        self._send_limits(is_leader=is_leader)
        if not is_leader:
            return
        hello.host_lists = {hello.zone: self._digest_hosts(hello.zone)}
        encoded = msgspec.msgpack.encode(hello)
        for address in neighbourhood.list_other_leaders():
            self._send(encoded, address)

    def _send_limits(self, *, is_leader: bool) -> None:
        """Pass on what servers have announced, to the receivers of the hellos."""
        addresses = self._list_receivers(is_leader=is_leader)
        self._send_reports(self._limits.list_reports(include_all=is_leader), addresses)

    def _list_receivers(self, *, is_leader: bool) -> list[tuple[str, int]]:
        """Return the addresses that this router's hellos are sent to."""
        addresses = self._neighbourhood.list_hello_addresses()
        if is_leader:
            addresses += self._neighbourhood.list_other_leaders()
        return addresses

    def send_evacuations(self) -> None:
        """Pass on the evacuations now; an error is logged."""
        neighbourhood = self._neighbourhood
        is_leader = neighbourhood.is_large and neighbourhood.find_leader() is None
        try:
            self._send_evacuations(self._list_receivers(is_leader=is_leader))
        except Exception as error:
            self._log.write("peers: evacuations not sent", error=repr(error))

    def _send_evacuations(self, addresses: list[tuple[str, int]]) -> None:
        """Pass on the evacuations that are in effect or were reverted lately."""
        reports = self._evacuations.list_reports()
        if not reports:
            return
        encoded = msgspec.msgpack.encode(EvacuationReports(reports))
        for address in addresses:
            self._send(encoded, address)

    def _handle_evacuations(
        self, message: EvacuationReports, address: tuple[str, int]
    ) -> None:
        """Record evacuations; tell a sender who has missed a later change of them."""
        self._evacuations.merge(message.reports, f"{address[0]}:{address[1]}")
        newer = self._evacuations.list_newer(message.reports)
        if newer:
            self._send(msgspec.msgpack.encode(EvacuationReports(newer)), address)

    def send_server_full(self, message: ServerFull) -> None:
        """Tell the receivers of the hellos that a server has rejected a request."""
        encoded = msgspec.msgpack.encode(message)
        for address in self._neighbourhood.list_hello_addresses():
            self._send(encoded, address)

    def _send_reports(
        self, reports: list[LimitReport], addresses: list[tuple[str, int]]
    ) -> None:
        """Send reports of limits, in as many packets as they need."""
        while reports:
            selected = select_limits(reports) or reports[:1]
            reports = reports[len(selected) :]
            encoded = msgspec.msgpack.encode(LimitReports(selected))
            for address in addresses:
                self._send(encoded, address)

    def _digest_hosts(self, zone: str) -> int:
        return compute_hosts_digest(self._neighbourhood.list_hosts(zone))

    def list_heard(self, max_silence_s: float = LIVE_TIMEOUT_S) -> list[Peer]:
        """Return the peers with a recent hello."""
        now = self._loop.time()
        return [
            peer
            for peer in self.by_host.values()
            if now - peer.last_hello_at < max_silence_s
        ]

    def list_live(self) -> list[Peer]:
        """Return the peers with a recent hello that are not shutting down."""
        return [peer for peer in self.list_heard() if not peer.hello.is_leaving]

    def count_free(self, account: str) -> int:
        """Return the free tokens of live peers, as of their last hellos."""
        return sum(peer.hello.free.get(account, 0) for peer in self.list_live())

    async def request_tokens(
        self, account: str, shortage: int, demand_per_s: float
    ) -> int:
        """Request tokens from one peer after another until the shortage is covered.

        The peers with the most free tokens are asked first.

        Returns
        -------
        int
            The tokens received.
        """
        want = shortage + int(demand_per_s * DEMAND_AHEAD_S)
        received_tokens = 0
        for peer in self._list_peers_with_tokens(account):
            request = TokenRequest(self._make_id(), account, want - received_tokens)
            transfer = await self._send_request(request, peer.hello.host, peer.address)
            received_tokens += transfer.tokens if transfer is not None else 0
            if received_tokens >= shortage:
                break
        return received_tokens

    async def request_from_banker(
        self, banker: Allocator, account: str, want: int, least: int, *, is_banked: bool
    ) -> TokenTransfer | None:
        """Request tokens from an account's banker; return None if it does not reply.

        `is_banked` is set for the banker of this region, which may refill from the
        store to serve the request.
        """
        request = TokenRequest(self._make_id(), account, want, least, is_banked)
        return await self._send_request(request, banker.host, banker.address)

    def _list_peers_with_tokens(self, account: str) -> list[Peer]:
        """Return the peers to ask, those with the most free tokens first.

        Their tokens no longer count as free until their next hello.
        """
        peers = [p for p in self.list_live() if p.hello.free.get(account, 0) > 0]
        peers.sort(key=lambda peer: -peer.hello.free[account])
        for peer in peers[:MAX_ASKED_PEERS]:
            peer.hello.free.pop(account, None)
        return peers[:MAX_ASKED_PEERS]

    async def transfer_to_any_peer(self, account: str, tokens: int) -> bool:
        """Transfer tokens to any live peer before this process ends."""
        for peer in self.list_live():
            return await self.transfer_tokens(peer.address, account, tokens)
        return False

    async def transfer_tokens(
        self,
        address: tuple[str, int],
        account: str,
        tokens: int,
        *,
        is_leftover: bool = False,
        request_id: str = "",
    ) -> bool:
        """Transfer tokens that were not requested; return whether it was confirmed.

        An unconfirmed transfer may have been received, so its tokens must not be
        transferred to another router or spent here. With `request_id` they are
        reserved for a request that is forwarded next.
        """
        transfer = TokenTransfer(
            self._make_id(), "", account, tokens, is_leftover, request=request_id
        )
        confirmation = self._loop.create_future()
        self._confirmations[transfer.id] = confirmation
        encoded = msgspec.msgpack.encode(transfer)
        for _ in range(3):
            self._send(encoded, address)
            try:
                async with asyncio.timeout(TOKEN_REPLY_TIMEOUT_S):
                    await asyncio.shield(confirmation)
                return True
            except TimeoutError:
                continue
        return False

    async def _send_request(
        self, request: TokenRequest, host: str, address: tuple[str, int]
    ) -> TokenTransfer | None:
        """Send a request, once more if there is no reply; return the reply or None."""
        future: asyncio.Future[TokenTransfer] = self._loop.create_future()
        self._pending_requests[request.id] = future
        encoded = msgspec.msgpack.encode(request)
        transfer: TokenTransfer | None = None
        for _ in range(2):
            self._send(encoded, address)
            try:
                async with asyncio.timeout(TOKEN_REPLY_TIMEOUT_S):
                    transfer = await asyncio.shield(future)
                break
            except TimeoutError:
                continue
        # A late reply is still accepted for `LIVE_TIMEOUT_S`, since the sender has
        # deducted its tokens.
        self._loop.call_later(
            LIVE_TIMEOUT_S, self._pending_requests.pop, request.id, None
        )
        self._log.write(
            "budget: tokens requested from peer",
            account=request.account,
            peer=host,
            want=request.want,
            got=None if transfer is None else transfer.tokens,
        )
        return transfer

    def _make_id(self) -> str:
        return f"{self._incarnation}:{next(self._sequence)}"

    def send_stream_message(
        self, message: StreamMessage, address: tuple[str, int]
    ) -> None:
        """Send a message about streams to another router."""
        self._send(msgspec.msgpack.encode(message), address)

    def _send(self, data: bytes, address: tuple[str, int]) -> None:
        """Send one datagram, unless the socket is closed or the datagram too large."""
        if self._transport is None or self._transport.is_closing():
            return
        if len(data) > MAX_DATAGRAM_BYTES:
            return
        if self._usage is not None:
            self._usage.note_sent(len(data))
        self._transport.sendto(data, address)

    def datagram_received(self, data: bytes, addr: tuple[Any, ...]) -> None:
        """Count and decode one datagram."""
        if self._usage is not None:
            self._usage.note_received(len(data))
        try:
            message = decode_datagram(data, self._message_decoder)
        except ValueError as error:
            self._log.write("peers: malformed datagram", error=str(error))
            return
        self._handle_message(message, (str(addr[0]), int(addr[1])))

    def _handle_message(self, message: Message, address: tuple[str, int]) -> None:
        """Handle a message by its type."""
        if isinstance(message, Hello):
            self._handle_hello(message, address)
        elif isinstance(message, EvacuationReports):
            self._handle_evacuations(message, address)
        elif isinstance(message, LimitReports):
            self._on_limits(self._limits.merge(message.reports))
        elif isinstance(message, ServerFull):
            self._on_server_full(message)
        elif isinstance(message, StreamMessage):
            self._on_stream_message(message, address)
        elif isinstance(message, TokenRequest):
            self._handle_request(message, address)
        elif isinstance(message, TokenTransfer):
            self._handle_transfer(message, address)
        else:
            confirmation = self._confirmations.pop(message.id, None)
            if confirmation is not None and not confirmation.done():
                confirmation.set_result(None)

    def error_received(self, exc: Exception) -> None:
        """Log an error of the socket; a lost peer is detected by its missing hellos."""
        self._log.write("peers: datagram not delivered", error=repr(exc))

    def _handle_hello(self, hello: Hello, address: tuple[str, int]) -> None:
        """Record a peer's hello and pass it to the neighbourhood and `on_hello`."""
        self._neighbourhood.note_hello(
            Neighbour(
                host=hello.host,
                zone=hello.zone,
                address=address,
                link_mbps=hello.link_mbps,
                heard_at=self._loop.time(),
                is_leaving=hello.is_leaving,
                is_in_step=hello.is_in_step,
                has_lost_store=hello.has_lost_store,
                store_latency_s=hello.store_latency_s,
            )
        )
        peer = Peer(hello=hello, address=address, last_hello_at=self._loop.time())
        before = self.by_host.get(hello.host)
        if before is None or before.hello.incarnation != hello.incarnation:
            self._log.write(
                "peers: new peer process",
                peer=hello.host,
                incarnation=hello.incarnation,
            )
            self._send_evacuations([address])
            self._send_reports(self._limits.list_reports(include_all=True), [address])
        self.by_host[hello.host] = peer
        self._on_hello(peer)

    def _handle_request(self, request: TokenRequest, address: tuple[str, int]) -> None:
        """Reply to a request for tokens, to a repeated one with the same transfer."""
        previous = self._sent_transfers.get(request.id)
        if previous is not None:
            self._send(msgspec.msgpack.encode(previous[1]), address)
            return
        if request.id in self._reply_tasks:
            return
        if not request.is_banked:
            tokens = self._book.transfer(request.account, request.want, request.least)
            self._reply(request, address, tokens)
            return
        task = self._loop.create_task(self._reply_as_banker(request, address))
        self._reply_tasks[request.id] = task
        task.add_done_callback(lambda _: self._reply_tasks.pop(request.id, None))

    async def _reply_as_banker(
        self, request: TokenRequest, address: tuple[str, int]
    ) -> None:
        tokens, lack = await self._on_token_request(request)
        self._reply(request, address, tokens, lack)

    def _reply(
        self,
        request: TokenRequest,
        address: tuple[str, int],
        tokens: int,
        lack: ResultCode | None = None,
    ) -> None:
        """Reply with a transfer and keep it as the reply to repeated requests."""
        transfer = TokenTransfer(
            self._make_id(),
            request.id,
            request.account,
            tokens,
            lack=lack or 0,
            kept=self._book.get_holding(request.account).expected_free,
        )
        self._sent_transfers[request.id] = (self._loop.time(), transfer)
        if tokens:
            self._log.write(
                "budget: tokens transferred to peer",
                account=request.account,
                tokens=tokens,
            )
        self._send(msgspec.msgpack.encode(transfer), address)

    def _handle_transfer(
        self, transfer: TokenTransfer, address: tuple[str, int]
    ) -> None:
        """Add received tokens to the budgets once, and confirm if not requested."""
        if not transfer.ask:
            self._send(
                msgspec.msgpack.encode(TransferConfirmation(transfer.id)), address
            )
        elif transfer.ask not in self._pending_requests:
            return  # Not requested by this process, or expired.
        if transfer.id in self._received_transfers:
            return
        self._received_transfers[transfer.id] = self._loop.time()
        if transfer.request:
            self._book.receive_reservation(
                transfer.account, transfer.tokens, transfer.request
            )
            self._log.write(
                "budget: reservation received",
                request=transfer.request,
                account=transfer.account,
                tokens=transfer.tokens,
            )
            return
        if transfer.is_leftover:
            self._book.receive_unused(transfer.account, transfer.tokens)
        else:
            self._book.receive(transfer.account, transfer.tokens)
        future = self._pending_requests.get(transfer.ask)
        if future is not None and not future.done():
            future.set_result(transfer)
        if transfer.tokens:
            self._on_tokens()

    def _release_unclaimed(self) -> None:
        """Release tokens of requests that no router has forwarded here after all."""
        released = self._book.release_unclaimed()
        for (account, request_id), tokens in released.items():
            self._log.write(
                "budget: reservation not claimed",
                request=request_id,
                account=account,
                tokens=tokens,
            )
        if released:
            self._on_tokens()

    def _expire_old(self) -> None:
        self._release_unclaimed()
        now = self._loop.time()
        self._neighbourhood.forget_old()
        for host, peer in list(self.by_host.items()):
            if now - peer.last_hello_at > EXPIRY_S:
                del self.by_host[host]
        for key, (at, _) in list(self._sent_transfers.items()):
            if now - at > EXPIRY_S:
                del self._sent_transfers[key]
        for key, at in list(self._received_transfers.items()):
            if now - at > 2 * EXPIRY_S:
                del self._received_transfers[key]
