"""A few routers' budget services in one process, over small fakes with faults."""

from __future__ import annotations

import asyncio
import random
from typing import TYPE_CHECKING, Any

import attrs

from benchmarks.virtual_time import VirtualClock
from bronzesail.budget import BudgetService, BudgetSettings, DispatchRecord
from bronzesail.configuration import Configuration
from bronzesail.explain import DecisionLog
from bronzesail.fleet import PeerUnreachableError, RouterInfo
from bronzesail.schema import (
    Deployment,
    HostEntry,
    RouterId,
    Row,
    RowCheck,
    RowWrite,
    TransactReply,
)
from bronzesail.schema.codec import decode, encode
from bronzesail.storage import OutcomeUnknownError, UnreachableError

if TYPE_CHECKING:
    from collections.abc import Callable

__all__ = ["FakeBackends", "FakeTable", "Fleet", "FleetRouter", "Place"]

SAME_CENTRE_S = 0.0002
NEAR_S = 0.0005
FAR_S = 0.03


@attrs.frozen
class Place:
    """Data centre and region of a router."""

    data_centre: str
    region: str


PLACES = (
    Place("amman-a", "amman"),
    Place("amman-b", "amman"),
    Place("aqaba-a", "aqaba"),
    Place("amman-a", "amman"),
    Place("amman-b", "amman"),
    Place("aqaba-a", "aqaba"),
)


class FakeTable:
    """Transactional table in memory, with outages and lost answers.

    Parameters
    ----------
    rng : random.Random
        Source of the faults.
    """

    def __init__(self, rng: random.Random) -> None:
        self.rows: dict[str, Row] = {}
        self.is_down = False
        self.delay_s = 0.002
        self.lost_answer_share = 0.0
        self.late_write_share = 0.0
        self.n_transactions = 0
        self.n_row_writes = 0
        self.n_reads = 0
        self._rng = rng

    async def read(self, keys: tuple[str, ...]) -> tuple[Row, ...]:
        """Return rows by key."""
        await self._delay()
        self.n_reads += 1
        return tuple(self.rows.get(key, Row(key, 0, b"")) for key in keys)

    async def scan(
        self, prefix: str, after: str = "", limit: int = 1000
    ) -> tuple[Row, ...]:
        """Return rows under a prefix."""
        await self._delay()
        self.n_reads += 1
        keys = sorted(k for k in self.rows if k.startswith(prefix) and k > after)
        return tuple(self.rows[key] for key in keys[:limit])

    async def transact(
        self, writes: tuple[RowWrite, ...], checks: tuple[RowCheck, ...] = ()
    ) -> TransactReply:
        """Write rows if every condition holds."""
        await self._delay()
        if self._rng.random() < self.late_write_share:
            loop = asyncio.get_running_loop()
            loop.call_later(self._rng.random() * 5.0, self._apply, writes, checks)
            raise OutcomeUnknownError("answer lost, write delayed")
        reply = self._apply(writes, checks)
        if self._rng.random() < self.lost_answer_share:
            raise OutcomeUnknownError("answer lost")
        await asyncio.sleep(self.delay_s)
        return reply

    async def _delay(self) -> None:
        await asyncio.sleep(self.delay_s)
        if self.is_down:
            raise UnreachableError("down")

    def _apply(
        self, writes: tuple[RowWrite, ...], checks: tuple[RowCheck, ...]
    ) -> TransactReply:
        self.n_transactions += 1
        conflicts = []
        for condition in (*writes, *checks):
            row = self.rows.get(condition.key, Row(condition.key, 0, b""))
            if row.version != condition.expected_version:
                conflicts.append(row)
        if conflicts:
            return TransactReply(False, tuple(conflicts))
        for write in writes:
            self.n_row_writes += 1
            version = write.expected_version + 1
            self.rows[write.key] = Row(write.key, version, write.value)
        return TransactReply(True)


class FakeBackends:
    """Backend servers: how many tokens each request key used.

    Attributes
    ----------
    used : dict of (str, str) to list of int
        Tokens of each run, by client account and request key.
    running : set of (str, str)
        Requests that run now.
    """

    def __init__(self) -> None:
        self.used: dict[tuple[str, str], list[int]] = {}
        self.running: set[tuple[str, str]] = set()
        self.is_answering = True

    async def run(self, account: str, key: str, tokens: int, duration_s: float) -> None:
        """Run a request; it ends whether or not its router lives."""
        self.running.add((account, key))
        loop = asyncio.get_running_loop()
        loop.call_later(duration_s, self._end, account, key, tokens)
        await asyncio.sleep(duration_s)

    def _end(self, account: str, key: str, tokens: int) -> None:
        self.running.discard((account, key))
        self.used.setdefault((account, key), []).append(tokens)

    async def find_usage(self, record: DispatchRecord) -> int | None:
        """Return the tokens used once the request has ended."""
        name = (record.account, record.request_key)
        if not self.is_answering or name in self.running:
            return None
        return max(self.used.get(name, [0]))


@attrs.define(eq=False)
class Link:
    """Faults of the messages between routers."""

    loss_share: float = 0.0
    double_share: float = 0.0
    jitter_s: float = 0.0
    cut_regions: set[frozenset[str]] = attrs.field(factory=set)
    n_bytes_far: int = 0
    n_messages: int = 0


class _Network:
    """Peer messages of one router."""

    def __init__(self, fleet: Fleet, router: FleetRouter) -> None:
        self._fleet = fleet
        self._router = router
        self.handlers: dict[type[Any], Callable[..., Any]] = {}

    def register(self, message_type: type[Any], handler: Any) -> None:
        self.handlers[message_type] = handler

    async def request(self, peer: RouterId, message: Any, timeout_s: float) -> Any:
        try:
            async with asyncio.timeout(timeout_s):
                return await self._fleet.carry(self._router, peer, message)
        except TimeoutError:
            raise PeerUnreachableError("no answer") from None

    def send(self, peer: RouterId, message: Any) -> None:
        async def carry() -> None:
            try:
                async with asyncio.timeout(10.0):
                    await self._fleet.carry(self._router, peer, message)
            except TimeoutError:
                return

        self._fleet.spawn(carry())


class _Membership:
    def __init__(self, fleet: Fleet, router: FleetRouter) -> None:
        self._fleet = fleet
        self._router = router
        self.listeners: list[Callable[[], None]] = []

    @property
    def own(self) -> RouterInfo:
        return self._router.info

    def list_routers(self) -> tuple[RouterInfo, ...]:
        own = self._router.info
        return tuple(info for info in self._fleet.listed if info != own)

    def list_backends(self, service: str) -> tuple[HostEntry, ...]:
        return ()

    def is_listed(self, router_id: RouterId) -> bool:
        return any(info.router_id == router_id for info in self._fleet.listed)

    def subscribe(self, listener: Callable[[], None]) -> None:
        self.listeners.append(listener)


@attrs.define
class _ConfigurationView:
    current: Configuration

    def subscribe(self, listener: Any) -> None:
        return


class _RouterTable:
    """The table as one router reaches it."""

    def __init__(self, fleet: Fleet, router: FleetRouter) -> None:
        self._fleet = fleet
        self._router = router

    async def _reach(self) -> None:
        await self._router.running.wait()
        region = self._router.info.region
        if self._fleet.is_cut(region, self._fleet.store_region):
            await asyncio.sleep(1.0)
            raise UnreachableError("cut")
        if region != self._fleet.store_region:
            await asyncio.sleep(2 * FAR_S)

    async def read(self, keys: tuple[str, ...]) -> tuple[Row, ...]:
        await self._reach()
        rows = await self._fleet.table.read(keys)
        await self._router.running.wait()
        return rows

    async def scan(
        self, prefix: str, after: str = "", limit: int = 1000
    ) -> tuple[Row, ...]:
        await self._reach()
        rows = await self._fleet.table.scan(prefix, after, limit)
        await self._router.running.wait()
        return rows

    async def transact(
        self, writes: tuple[RowWrite, ...], checks: tuple[RowCheck, ...] = ()
    ) -> TransactReply:
        await self._reach()
        reply = await self._fleet.table.transact(writes, checks)
        await self._router.running.wait()
        return reply


class FleetRouter:
    """One router of the fleet; a paused one neither sends nor receives."""

    def __init__(self, fleet: Fleet, info: RouterInfo, clock_speed: float) -> None:
        self.info = info
        self.running = asyncio.Event()
        self.running.set()
        self.is_dead = False
        self.network = _Network(fleet, self)
        self.membership = _Membership(fleet, self)
        self.clock = VirtualClock(asyncio.get_running_loop(), clock_speed)
        self.service = BudgetService(
            _RouterTable(fleet, self),
            self.network,
            self.membership,
            _ConfigurationView(
                Configuration(deployment=Deployment("test", fleet.preference))
            ),
            fleet.backends,
            self.clock,
            random.Random(fleet.rng.random()),
            DecisionLog(),
            fleet.settings,
        )


class Fleet:
    """Routers, a table, backend servers and the links between them.

    Parameters
    ----------
    seed : int
        Seed of every random choice.
    settings : BudgetSettings
        Settings of the routers.
    preference : str
        The deployment's preference.
    """

    def __init__(
        self,
        seed: int,
        settings: BudgetSettings | None = None,
        preference: str = "fewer-refusals",
    ) -> None:
        self.rng = random.Random(seed)
        self.settings = settings or BudgetSettings()
        self.preference = preference
        self.table = FakeTable(random.Random(self.rng.random()))
        self.backends = FakeBackends()
        self.link = Link()
        self.store_region = PLACES[0].region
        self.routers: list[FleetRouter] = []
        self.listed: list[RouterInfo] = []
        self._tasks: set[asyncio.Task[Any]] = set()
        self._n_started = 0

    async def start(self, n_routers: int) -> None:
        """Start routers in the places in turn."""
        for _ in range(n_routers):
            await self.add_router(PLACES[self._n_started % len(PLACES)])

    async def add_router(
        self, place: Place, host: str = "", clock_speed: float = 1.0
    ) -> FleetRouter:
        """Start one router and list it."""
        self._n_started += 1
        router_id = RouterId(host or f"r{self._n_started}", self._n_started)
        info = RouterInfo(router_id, "", place.data_centre, place.region)
        router = FleetRouter(self, info, clock_speed)
        self.routers.append(router)
        self.listed.append(info)
        await router.service.start()
        self.notify()
        return router

    async def kill(self, router: FleetRouter) -> None:
        """End a router without notice; it stays listed."""
        router.is_dead = True
        await router.service.stop()
        self.routers.remove(router)

    def delist(self, router: FleetRouter) -> None:
        """Take a router off the host list."""
        if router.info in self.listed:
            self.listed.remove(router.info)
            self.notify()

    def notify(self) -> None:
        """Tell the routers that the host list changed."""
        for router in self.routers:
            for listener in router.membership.listeners:
                listener()

    async def stop(self) -> None:
        """End every router."""
        for router in list(self.routers):
            router.running.set()
            await router.service.stop()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def spawn(self, work: Any) -> asyncio.Task[Any]:
        """Run a coroutine until the fleet stops."""
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    def is_cut(self, region: str, other: str) -> bool:
        """Tell whether two regions cannot reach each other."""
        return frozenset((region, other)) in self.link.cut_regions

    async def carry(self, sender: FleetRouter, peer: RouterId, message: Any) -> Any:
        """Carry a message and its reply; a lost one never returns."""
        data = encode(message)
        receiver = await self._pass(sender, peer, len(data))
        if self.rng.random() < self.link.double_share:
            self.spawn(self._handle(receiver, sender, data))
        reply = await self._handle(receiver, sender, data)
        answer = encode(reply) if reply is not None else b""
        await self._pass(receiver, sender.info.router_id, len(answer))
        return decode(answer) if answer else None

    async def _handle(
        self, receiver: FleetRouter, sender: FleetRouter, data: bytes
    ) -> Any:
        message = decode(data)
        handler = receiver.network.handlers[type(message)]
        return await handler(sender.info.router_id, message)

    async def _pass(
        self, sender: FleetRouter, peer: RouterId, size: int
    ) -> FleetRouter:
        await sender.running.wait()
        self.link.n_messages += 1
        receiver = self._find(peer)
        if receiver is None or self.rng.random() < self.link.loss_share:
            await asyncio.sleep(3600.0)
            raise PeerUnreachableError("lost")
        if self.is_cut(sender.info.region, receiver.info.region):
            await asyncio.sleep(3600.0)
            raise PeerUnreachableError("cut")
        is_far = sender.info.region != receiver.info.region
        if is_far:
            self.link.n_bytes_far += size
        delay_s = FAR_S if is_far else NEAR_S
        await asyncio.sleep(delay_s + self.rng.random() * self.link.jitter_s)
        await receiver.running.wait()
        if receiver.is_dead or sender.is_dead:
            await asyncio.sleep(3600.0)
            raise PeerUnreachableError("dead")
        return receiver

    def _find(self, peer: RouterId) -> FleetRouter | None:
        for router in self.routers:
            if router.info.router_id == peer:
                return router
        return None
