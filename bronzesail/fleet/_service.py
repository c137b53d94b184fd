"""Runs the membership core on asyncio with the host list and the peer network.

`MembershipCore` does no I/O: it returns effects, which `FleetService` performs, and
is given the results.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any

from ..explain import Decision, PartLogger
from ..schema import (
    Acknowledgement,
    CheckReply,
    CheckRequest,
    MemberEntry,
    MembersPull,
    MembersReply,
    Probe,
    ProbeReply,
    RouterId,
    Rumours,
)
from ..storage import PlatformError
from ._effects import (
    Dial,
    Effect,
    NotifyChange,
    PullMembers,
    RecordDecision,
    SendCheckRequest,
    SendProbe,
    SendRumours,
)
from ._interfaces import PeerRefusedError, PeerUnreachableError, RouterInfo
from ._members import MemberState, identify
from ._membership import MembershipCore
from ._network import DialError, WebsocketNetwork
from ._ownership import choose_owners

if TYPE_CHECKING:
    import random
    from collections.abc import Callable, Coroutine

    from ..explain import DecisionLog
    from ..schema import FleetSettings, HostEntry, HostList
    from ..storage import HostDirectory
    from ..util.clock import Clock
    from ._interfaces import PeerHandler

__all__ = ["INCARNATION_BITS", "FleetService"]

INCARNATION_BITS = 48
FIRST_COUNTER = 1  # Initial version counter of the own member entry.
LEAVE_FLUSH_S = 0.05  # Time for writing the leave message before connections close.
HOST_LIST_TIMEOUT_S = 2.0  # Limit on one fetch of the host list.


class FleetService:
    """Membership and peer network of one router.

    Parameters
    ----------
    settings : FleetSettings
        Identity, addresses, intervals and time limits.
    directory : HostDirectory
        Client of the platform's host list.
    clock : Clock
        Monotonic and wall clock.
    random : random.Random
        Random number generator for the incarnation and the nonces.
    decisions : DecisionLog or None
        Records each membership change with its cause, under the subject ``fleet``.

    Attributes
    ----------
    n_list_reads : int
        Number of fetches of the host list, failed ones included.
    network : WebsocketNetwork
        Peer network of the router.
    """

    def __init__(
        self,
        settings: FleetSettings,
        directory: HostDirectory,
        clock: Clock,
        random: random.Random,
        decisions: DecisionLog | None = None,
    ) -> None:
        self._settings = settings
        self._directory = directory
        self._clock = clock
        self._decisions = decisions
        self._log = PartLogger("fleet")
        incarnation = 1 + random.getrandbits(INCARNATION_BITS)
        self._own_id = RouterId(settings.host, incarnation)
        self._core = self._make_core("")
        self._listeners: list[Callable[[], None]] = []
        self._gossip_sources: list[Callable[[], Any]] = []
        self._tasks: set[asyncio.Task[None]] = set()
        self.n_list_reads = 0
        self.network = WebsocketNetwork(
            self._own_id, settings, clock, random, self._find_address, self
        )

    @property
    def peer_address(self) -> str:
        """IP address and port of the peer listener; empty before `start`."""
        return self.network.peer_address

    @property
    def own(self) -> RouterInfo:
        """The router itself as a member of the fleet."""
        entry = self._core.own_entry
        return RouterInfo(
            self._own_id,
            self.peer_address,
            entry.data_centre,
            entry.region,
            entry.is_leaving,
        )

    @property
    def own_entry(self) -> MemberEntry:
        """Member entry that the router sends in gossip and in handshakes."""
        return self._core.own_entry

    @property
    def is_superseded(self) -> bool:
        """Whether another process now runs under the host name of this router."""
        return self._core.is_superseded

    @property
    def cut_regions(self) -> tuple[str, ...]:
        """Regions that no router of the own region has reached for `region_cut_ms`."""
        return self._core.cut_regions

    async def start(self) -> None:
        """Start the peer listener, the membership timer and polling of the host list.

        Raises
        ------
        OSError
            If the listening socket cannot be bound.
        """
        self._register_handlers()
        await self.network.start()
        self._core = self._make_core(self.network.peer_address)
        await self._fetch_host_list()
        self._spawn(self._run_timer())
        self._spawn(self._poll_host_list())

    async def stop(self) -> None:
        """Announce to the neighbours that this router leaves; close all connections."""
        self._core.leave(self._clock.monotonic())
        self._run_effects()
        await asyncio.sleep(LEAVE_FLUSH_S)
        await self.abort()

    async def abort(self) -> None:
        """Close all connections without announcing it, as a crash would."""
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        await self.network.stop()

    def mark_leaving(self) -> None:
        """Announce to the fleet that this router is draining."""
        self._core.mark_leaving(self._clock.monotonic())
        self._run_effects()

    def list_routers(self) -> tuple[RouterInfo, ...]:
        """Return the live routers; see `Membership.list_routers`."""
        return self._core.live

    def list_unreachable(self) -> tuple[RouterInfo, ...]:
        """Return unreachable routers that are not known to have died or left."""
        return self._core.unreachable

    def list_neighbours(self) -> tuple[RouterId, ...]:
        """Return the routers with which this router exchanges gossip."""
        return self._core.list_neighbours()

    def list_backends(self, service: str) -> tuple[HostEntry, ...]:
        """Return the backend servers of a service; see `Membership`."""
        return self._core.hosts.list_backends(service)

    def is_listed(self, router_id: RouterId) -> bool:
        """Return whether a router has, as far as is known, neither died nor left.

        See `Membership.is_listed`.
        """
        if router_id == self._own_id:
            return True
        return self._core.is_listed(router_id)

    def subscribe(self, listener: Callable[[], None]) -> None:
        """Add a listener to membership changes; see `Membership.subscribe`."""
        self._listeners.append(listener)

    def register(self, message_type: type[Any], handler: PeerHandler) -> None:
        """Set the handler of a message class; see `PeerNetwork.register`."""
        self.network.register(message_type, handler)

    async def request(self, peer: RouterId, message: Any, timeout_s: float) -> Any:
        """Send a message and return the reply; see `PeerNetwork.request`."""
        return await self.network.request(peer, message, timeout_s)

    def send(self, peer: RouterId, message: Any) -> None:
        """Send a one-way message; see `PeerNetwork.send`."""
        self.network.send(peer, message)

    def add_gossip(self, source: Callable[[], Any]) -> None:
        """Piggyback a message on every probe, in the same batch.

        Parameters
        ----------
        source : callable
            Returns the message to send; called for each probe.
        """
        self._gossip_sources.append(source)

    def take_hello(self, entry: MemberEntry) -> None:
        """Merge the member entry of a router that opened a connection to this one."""
        self._core.take_hello(entry, self._clock.monotonic())
        self._run_effects()

    def take_welcome(self, host: str, entry: MemberEntry) -> None:
        """Merge the member entry of the router that answered at a host's address."""
        self._core.take_welcome(host, entry, self._clock.monotonic())
        self._run_effects()

    def _make_core(self, peer_address: str) -> MembershipCore:
        settings = self._settings
        entry = MemberEntry(
            host=settings.host,
            incarnation=self._own_id.incarnation,
            counter=FIRST_COUNTER,
            state=int(MemberState.ALIVE),
            is_leaving=False,
            peer_address=peer_address,
            data_centre=settings.data_centre,
            region=settings.region,
        )
        return MembershipCore(entry, settings, self._clock.monotonic())

    def _find_address(self, host: str) -> str | None:
        return self._core.find_address(host)

    def _register_handlers(self) -> None:
        self.register(Probe, self._handle_probe)
        self.register(Rumours, self._handle_rumours)
        self.register(MembersPull, self._handle_members_pull)
        self.register(CheckRequest, self._handle_check_request)

    async def _handle_probe(self, peer: RouterId, message: Probe) -> ProbeReply:
        reply = self._core.answer_probe(peer, message, self._clock.monotonic())
        self._run_effects()
        return reply

    async def _handle_rumours(self, peer: RouterId, message: Rumours) -> Any:
        self._core.take_rumours(peer, message, self._clock.monotonic())
        self._run_effects()
        return Acknowledgement()

    async def _handle_members_pull(
        self, peer: RouterId, message: MembersPull
    ) -> MembersReply:
        return MembersReply(self._core.entries)

    async def _handle_check_request(
        self, peer: RouterId, message: CheckRequest
    ) -> CheckReply:
        address = self._core.find_address(message.host) or message.peer_address
        try:
            found = await self.network.dial(message.host, address)
        except PeerUnreachableError:
            return CheckReply(0)
        return CheckReply(found.incarnation)

    async def _run_timer(self) -> None:
        while True:
            await asyncio.sleep(self._settings.tick_interval_ms / 1000)
            self._core.tick(self._clock.monotonic())
            self._run_effects()

    async def _poll_host_list(self) -> None:
        while True:
            await asyncio.sleep(self._choose_poll_interval_s())
            await self._fetch_host_list()

    async def _fetch_host_list(self) -> None:
        self.n_list_reads += 1
        try:
            async with asyncio.timeout(HOST_LIST_TIMEOUT_S):
                known_revision = self._core.hosts.revision
                hosts: HostList = await self._directory.fetch(known_revision)
        except (PlatformError, TimeoutError) as error:
            reason = f"{type(error).__name__}: {error}"
            self._log.write("host list fetch failed", reason=reason)
            return
        self._core.take_list(hosts, self._clock.monotonic())
        self._run_effects()

    def _choose_poll_interval_s(self) -> float:
        own = self.own
        routers = [own]
        for router in self.list_routers():
            if router.data_centre == own.data_centre and not router.is_leaving:
                routers.append(router)
        name = f"hosts/{own.data_centre}"
        pollers = choose_owners(name, routers, self._settings.n_list_pollers)
        if own in pollers:
            return self._settings.list_poll_interval_ms / 1000
        return self._settings.list_idle_poll_interval_ms / 1000

    def _run_effects(self) -> None:
        for effect in self._core.take_effects():
            self._run_effect(effect)

    def _run_effect(self, effect: Effect) -> None:
        match effect:
            case SendProbe():
                self._spawn(self._probe(effect))
            case Dial():
                self._spawn(self._dial(effect))
            case SendCheckRequest():
                self._spawn(self._request_check(effect))
            case SendRumours():
                self.network.send(effect.peer, effect.rumours)
            case PullMembers():
                self._spawn(self._pull_members(effect.peer))
            case RecordDecision():
                self._record_decision(effect.text)
            case NotifyChange():
                self._notify()

    async def _probe(self, effect: SendProbe) -> None:
        peer = effect.peer
        for source in self._gossip_sources:
            self.network.send(peer, source())
        timeout_s = self._settings.probe_timeout_ms / 1000
        try:
            reply = await self.network.request(peer, effect.probe, timeout_s)
        except (PeerUnreachableError, PeerRefusedError):
            self._core.take_probe_failure(peer, self._clock.monotonic())
        else:
            self._core.take_reply(peer, reply, self._clock.monotonic())
        self._run_effects()

    async def _dial(self, effect: Dial) -> None:
        try:
            await self.network.dial(effect.host, effect.peer_address)
        except PeerUnreachableError as error:
            was_refused = isinstance(error, DialError) and error.was_refused
            now = self._clock.monotonic()
            self._core.take_dial_failure(effect.host, was_refused, now)
            self._run_effects()

    async def _request_check(self, effect: SendCheckRequest) -> None:
        check_request = CheckRequest(effect.host, effect.peer_address)
        settings = self._settings
        timeout_ms = settings.connect_timeout_ms + settings.probe_timeout_ms
        incarnation: int | None = None
        try:
            reply = await self.network.request(
                effect.intermediary, check_request, timeout_ms / 1000
            )
            incarnation = reply.incarnation
        except (PeerUnreachableError, PeerRefusedError):
            pass
        self._core.take_check(effect.host, incarnation, self._clock.monotonic())
        self._run_effects()

    async def _pull_members(self, peer: RouterId) -> None:
        timeout_s = 2 * self._settings.probe_timeout_ms / 1000
        try:
            reply = await self.network.request(peer, MembersPull(), timeout_s)
        except (PeerUnreachableError, PeerRefusedError):
            self._core.take_pull_failure()
            return
        self._core.take_members(peer, reply.members, self._clock.monotonic())
        self._run_effects()

    def _record_decision(self, text: str) -> None:
        self._log.write(text)
        if self._decisions is not None:
            self._decisions.add("fleet", Decision(self._clock.wall(), "fleet", text))

    def _notify(self) -> None:
        self._close_stale_links()
        for listener in self._listeners:
            listener()

    def _close_stale_links(self) -> None:
        current_routers = {identify(entry) for entry in self._core.entries}
        for peer in self.network.list_linked():
            entry = self._core.find_entry(peer.host)
            if peer in current_routers or entry is None:
                continue
            self.network.forget(peer)

    def _spawn(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
