"""What routers tell each other, in datagrams: who is there, and tokens passed on.

A datagram needs no connection that could go silent. A transfer carries an id: the
giver answers a repeated question with the same gift, and a lost answer loses the
tokens, never doubles them.
"""

from __future__ import annotations

import asyncio
import itertools
from typing import TYPE_CHECKING, Any

import attrs
import msgspec

from .neighbourhood import Allocator, Neighbour

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from ..errors import ResultCode
    from .budget import BudgetBook
    from .log import Log
    from .neighbourhood import Neighbourhood

__all__ = ["Ask", "Gift", "GiftTaken", "Hello", "Peer", "Peers", "split_address"]

HELLO_S = 0.4  # News within half a second; 300 bytes each.
FORGET_S = 1.5  # A peer unheard for this long is not asked for tokens.
DROP_S = 30.0  # A peer unheard for this long gets no more news.
ASK_TIMEOUT_S = 0.2  # 60 ms across regions, and a share of a slowed host.
MAX_ASKS = 5  # Peers asked for one shortage.
WANT_AHEAD_S = 2.0  # Demand that a transfer covers beyond the shortage.
TELL_HOSTS_EVERY = 3  # Hellos of a leader; a list of hosts is as long as ten hellos.
MAX_DATAGRAM = 60_000


def split_address(text: str) -> tuple[str, int]:
    """Return IP address and port.

    >>> split_address("10.0.0.1:80")
    ('10.0.0.1', 80)
    """
    ip, _, port = text.rpartition(":")
    return ip, int(port)


def _join_addresses(hosts: dict[str, tuple[str, int]]) -> dict[str, str]:
    return {host: f"{ip}:{port}" for host, (ip, port) in hosts.items()}


class Hello(msgspec.Struct, tag="hello"):
    """A router tells that it is there."""

    host: str
    incarnation: str
    address: str
    config_version: int
    holder_key: str
    free: dict[str, int]
    suspects: dict[str, dict[str, int]]  # By the host that counted them.
    zone: str = ""
    link_mbps: float = 0.0
    is_leaving: bool = False
    is_in_step: bool = False
    has_lost_store: bool = False
    store_latency_s: float | None = None  # None where it is not known.
    # The store's versions that configuration and directory are complete up to.
    config_store_version: int = 0
    directory_store_version: int = 0
    directory: str = ""  # Names the state of the directory, to see when it changes.
    # What a leader tells of live routers: data centre to hosts with addresses.
    hosts_by_zone: dict[str, dict[str, str]] = {}


class Ask(msgspec.Struct, tag="ask"):
    """A router asks for tokens: at least `least`, at most `want`."""

    id: str
    account: str
    want: int
    least: int = 1
    # Asked of the account's banker, which may refill before it answers.
    is_banked: bool = False


class Gift(msgspec.Struct, tag="gift"):
    """Tokens passed on; with `ask` empty, unasked for, and to be confirmed."""

    id: str
    ask: str
    account: str
    tokens: int
    is_leftover: bool = False  # Had been asked for, and was not needed.
    lack: int = 0  # Result code that says why as many cannot be had, 0 if they may be.
    kept: int = 0  # Tokens that the giver still holds unspent.


class GiftTaken(msgspec.Struct, tag="taken"):
    """A gift that was not asked for has arrived."""

    id: str


@attrs.define(kw_only=True)
class Peer:
    """Another router, as last heard."""

    hello: Hello
    address: tuple[str, int]
    heard_at: float


class Peers(asyncio.DatagramProtocol):
    """Link of one router to the others.

    Parameters
    ----------
    loop : asyncio.AbstractEventLoop
        The loop to run on.
    book : BudgetBook
        The budgets.
    log : Log
        Where decisions are written.
    neighbourhood : Neighbourhood
        Says who is told news and who is asked for tokens.
    make_hello : callable
        Returns the news to send.
    on_hello : callable
        Called with each peer's news.
    on_ask : callable
        Answers another router's question where this one is a banker: returns the
        tokens passed on, and why not more can be had where that is known.
    on_tokens : callable
        Called after tokens have arrived.
    incarnation : str
        Names this process in the ids of what it asks and gives.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        book: BudgetBook,
        log: Log,
        neighbourhood: Neighbourhood,
        make_hello: Callable[[], Hello],
        on_hello: Callable[[Peer], None],
        on_ask: Callable[[Ask], Awaitable[tuple[int, ResultCode | None]]],
        on_tokens: Callable[[], None],
        incarnation: str,
    ) -> None:
        self._loop = loop
        self._book = book
        self._log = log
        self._neighbourhood = neighbourhood
        self._make_hello = make_hello
        self._on_hello = on_hello
        self._on_ask = on_ask
        self._on_tokens = on_tokens
        self._incarnation = incarnation
        self._answering: dict[str, asyncio.Task[None]] = {}
        self._hellos = 0
        self._transport: asyncio.DatagramTransport | None = None
        self._sequence = itertools.count(1)
        self._asks: dict[str, asyncio.Future[Gift]] = {}
        self._given: dict[str, tuple[float, Gift]] = {}
        self._taken: dict[str, float] = {}
        self._confirmations: dict[str, asyncio.Future[None]] = {}
        self._decoder = msgspec.msgpack.Decoder(Hello | Ask | Gift | GiftTaken)
        self._own_address = ("", 0)
        self.by_host: dict[str, Peer] = {}

    async def start(self, ip: str, port: int) -> None:
        """Listen for the other routers' datagrams."""
        self._own_address = (ip, port)
        transport, _ = await self._loop.create_datagram_endpoint(
            lambda: self, local_addr=(ip, port)
        )
        self._transport = transport

    def close(self) -> None:
        """Stop listening."""
        if self._transport is not None:
            self._transport.close()

    async def run(self) -> None:
        """Tell news until cancelled."""
        while True:
            self.tell()
            self._forget_old()
            await asyncio.sleep(HELLO_S)

    def tell(self) -> None:
        """Tell news now."""
        hello = self._make_hello()
        neighbourhood = self._neighbourhood
        is_leader = neighbourhood.is_large and neighbourhood.find_leader() is None
        self._hellos += 1
        if is_leader and self._hellos % TELL_HOSTS_EVERY == 0:
            hello.hosts_by_zone = {
                zone: _join_addresses(hosts)
                for zone, hosts in neighbourhood.list_other_zones().items()
            }
        encoded = msgspec.msgpack.encode(hello)
        for address in neighbourhood.list_hello_addresses():
            self._send(encoded, address)
        if not is_leader:
            return
        hosts = neighbourhood.list_zone_hosts()
        hosts[hello.host] = self._own_address
        hello.hosts_by_zone = {hello.zone: _join_addresses(hosts)}
        encoded = msgspec.msgpack.encode(hello)
        for address in neighbourhood.list_other_leaders():
            self._send(encoded, address)

    def list_live(self) -> list[Peer]:
        """Return the peers that were heard a short time ago."""
        now = self._loop.time()
        return [
            peer
            for peer in self.by_host.values()
            if now - peer.heard_at < FORGET_S and not peer.hello.is_leaving
        ]

    def count_free(self, account: str) -> int:
        """Return the tokens that live peers hold, as last told."""
        return sum(peer.hello.free.get(account, 0) for peer in self.list_live())

    async def obtain(self, account: str, shortage: int, demand_per_s: float) -> int:
        """Ask those that hold most for tokens until the shortage is covered.

        Returns
        -------
        int
            The tokens that came.
        """
        want = shortage + int(demand_per_s * WANT_AHEAD_S)
        got = 0
        for peer in self._list_givers(account):
            ask = Ask(self._make_id(), account, want - got)
            gift = await self._ask(ask, peer.hello.host, peer.address)
            got += gift.tokens if gift is not None else 0
            if got >= shortage:
                break
        return got

    async def ask_banker(
        self, banker: Allocator, account: str, want: int, least: int, *, is_banked: bool
    ) -> Gift | None:
        """Ask a banker for tokens; return None if it does not answer.

        `is_banked` says that it is this region's banker, which refills for the asker.
        """
        ask = Ask(self._make_id(), account, want, least, is_banked)
        return await self._ask(ask, banker.host, banker.address)

    def _list_givers(self, account: str) -> list[Peer]:
        """Return the peers to ask, those that hold most first."""
        peers = [p for p in self.list_live() if p.hello.free.get(account, 0) > 0]
        peers.sort(key=lambda peer: -peer.hello.free[account])
        for peer in peers[:MAX_ASKS]:
            peer.hello.free.pop(account, None)
        return peers[:MAX_ASKS]

    async def give_away(self, account: str, tokens: int) -> bool:
        """Pass tokens on to some peer before this process ends."""
        for peer in self.list_live():
            return await self.give(peer.address, account, tokens)
        return False

    async def give(
        self,
        address: tuple[str, int],
        account: str,
        tokens: int,
        *,
        is_leftover: bool = False,
    ) -> bool:
        """Pass tokens on that were not asked for; tell whether they have arrived.

        Without a confirmation they may have arrived: nobody else can be given them.
        """
        gift = Gift(self._make_id(), "", account, tokens, is_leftover)
        confirmation = self._loop.create_future()
        self._confirmations[gift.id] = confirmation
        encoded = msgspec.msgpack.encode(gift)
        for _ in range(3):
            self._send(encoded, address)
            try:
                async with asyncio.timeout(ASK_TIMEOUT_S):
                    await asyncio.shield(confirmation)
                return True
            except TimeoutError:
                continue
        return False

    async def _ask(self, ask: Ask, host: str, address: tuple[str, int]) -> Gift | None:
        future: asyncio.Future[Gift] = self._loop.create_future()
        self._asks[ask.id] = future
        encoded = msgspec.msgpack.encode(ask)
        gift: Gift | None = None
        for _ in range(2):
            self._send(encoded, address)
            try:
                async with asyncio.timeout(ASK_TIMEOUT_S):
                    gift = await asyncio.shield(future)
                break
            except TimeoutError:
                continue
        # An answer that comes later is taken in all the same.
        self._loop.call_later(FORGET_S, self._asks.pop, ask.id, None)
        self._log.write(
            "budget: tokens asked of a peer",
            account=ask.account,
            peer=host,
            want=ask.want,
            got=None if gift is None else gift.tokens,
        )
        return gift

    def _make_id(self) -> str:
        return f"{self._incarnation}:{next(self._sequence)}"

    def _send(self, data: bytes, address: tuple[str, int]) -> None:
        if self._transport is None or self._transport.is_closing():
            return
        if len(data) <= MAX_DATAGRAM:
            self._transport.sendto(data, address)

    def datagram_received(self, data: bytes, addr: tuple[Any, ...]) -> None:
        """Take one datagram."""
        try:
            message = self._decoder.decode(data)
        except msgspec.DecodeError as error:
            self._log.write("peers: datagram unreadable", error=str(error))
            return
        address = (str(addr[0]), int(addr[1]))
        if isinstance(message, Hello):
            self._take_hello(message, address)
        elif isinstance(message, Ask):
            self._answer(message, address)
        elif isinstance(message, Gift):
            self._take_gift(message, address)
        else:
            confirmation = self._confirmations.pop(message.id, None)
            if confirmation is not None and not confirmation.done():
                confirmation.set_result(None)

    def error_received(self, exc: Exception) -> None:
        """Log it; the peer is found silent."""
        self._log.write("peers: datagram refused", error=repr(exc))

    def _take_hello(self, hello: Hello, address: tuple[str, int]) -> None:
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
            ),
            {
                zone: {host: split_address(text) for host, text in hosts.items()}
                for zone, hosts in hello.hosts_by_zone.items()
            },
        )
        peer = Peer(hello=hello, address=address, heard_at=self._loop.time())
        before = self.by_host.get(hello.host)
        if before is None or before.hello.incarnation != hello.incarnation:
            self._log.write(
                "peers: heard", peer=hello.host, incarnation=hello.incarnation
            )
        self.by_host[hello.host] = peer
        self._on_hello(peer)

    def _answer(self, ask: Ask, address: tuple[str, int]) -> None:
        known = self._given.get(ask.id)
        if known is not None:
            self._send(msgspec.msgpack.encode(known[1]), address)
            return
        if ask.id in self._answering:
            return
        if not ask.is_banked:
            tokens = self._book.transfer(ask.account, ask.want, ask.least)
            self._give_asked(ask, address, tokens)
            return
        task = self._loop.create_task(self._answer_as_banker(ask, address))
        self._answering[ask.id] = task
        task.add_done_callback(lambda _: self._answering.pop(ask.id, None))

    async def _answer_as_banker(self, ask: Ask, address: tuple[str, int]) -> None:
        tokens, lack = await self._on_ask(ask)
        self._give_asked(ask, address, tokens, lack)

    def _give_asked(
        self,
        ask: Ask,
        address: tuple[str, int],
        tokens: int,
        lack: ResultCode | None = None,
    ) -> None:
        gift = Gift(
            self._make_id(),
            ask.id,
            ask.account,
            tokens,
            lack=lack or 0,
            kept=self._book.get_holding(ask.account).expected_free,
        )
        self._given[ask.id] = (self._loop.time(), gift)
        if tokens:
            self._log.write(
                "budget: tokens passed on", account=ask.account, tokens=tokens
            )
        self._send(msgspec.msgpack.encode(gift), address)

    def _take_gift(self, gift: Gift, address: tuple[str, int]) -> None:
        if not gift.ask:
            self._send(msgspec.msgpack.encode(GiftTaken(gift.id)), address)
        elif gift.ask not in self._asks:
            return  # Not this process's question.
        if gift.id in self._taken:
            return
        self._taken[gift.id] = self._loop.time()
        if gift.is_leftover:
            self._book.receive_unused(gift.account, gift.tokens)
        else:
            self._book.receive(gift.account, gift.tokens)
        future = self._asks.get(gift.ask)
        if future is not None and not future.done():
            future.set_result(gift)
        if gift.tokens:
            self._on_tokens()

    def _forget_old(self) -> None:
        now = self._loop.time()
        self._neighbourhood.forget_old()
        for host, peer in list(self.by_host.items()):
            if now - peer.heard_at > DROP_S:
                del self.by_host[host]
        for key, (at, _) in list(self._given.items()):
            if now - at > DROP_S:
                del self._given[key]
        for key, at in list(self._taken.items()):
            if now - at > 2 * DROP_S:
                del self._taken[key]
