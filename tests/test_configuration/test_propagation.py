"""Stateful test of configuration propagation under faults.

Random sequences of racing applies, network partitions, router restarts, table outages
and lost or delayed writes run in virtual time.
"""

from __future__ import annotations

import asyncio
import random
from typing import TYPE_CHECKING, Any

from hypothesis import settings, strategies
from hypothesis.stateful import RuleBasedStateMachine, precondition, rule
from returns.pipeline import is_successful

from benchmarks.virtual_time import VirtualClock, VirtualLoop
from bronzesail.configuration import (
    ConfigurationService,
    ConfigurationSettings,
    make_set_change,
)
from bronzesail.configuration._store import read_log
from bronzesail.explain import DecisionLog
from bronzesail.fleet import PeerUnreachableError, RouterInfo
from bronzesail.schema import PriorityClass, RouterId
from tests.fleet_fakes import FakeTable

if TYPE_CHECKING:
    from collections.abc import Callable

# Time after the last fault, in seconds, within which every router must reach the head.
CONVERGENCE_LIMIT_S = 9.0
SETTINGS = ConfigurationSettings(idle_poll_interval_ms=5000)


class SimulatedFleet:
    """Shared table and in-memory routers, which can be split into two partitions."""

    def __init__(self, loop: VirtualLoop) -> None:
        self.loop = loop
        self.clock = VirtualClock(loop)
        self.table = FakeTable()
        self.routers: list[MemoryRouter] = []
        self.is_cut = False

    def reaches(self, sender: MemoryRouter, receiver: MemoryRouter) -> bool:
        """Whether a message from the sender arrives at the receiver."""
        if not receiver.is_running:
            return False
        return not self.is_cut or sender.group == receiver.group


class MemoryRouter:
    """Configuration service with in-memory membership and peer network."""

    def __init__(self, fleet: SimulatedFleet, index: int, incarnation: int) -> None:
        self.fleet = fleet
        self.group = index % 2
        self.is_running = True
        self.handlers: dict[type[Any], Any] = {}
        self.gossip: list[Callable[[], Any]] = []
        router_id = RouterId(f"router-{index}", incarnation)
        self.own = RouterInfo(router_id, "", "a", "r")
        self.versions = [0]
        self.service = ConfigurationService(
            fleet.table,
            self,
            self,
            fleet.clock,
            random.Random(incarnation),
            DecisionLog(),
            SETTINGS,
        )
        self.service.subscribe(lambda state: self.versions.append(state.version))

    async def start(self) -> None:
        await self.service.start()
        self.gossiping = asyncio.create_task(self._send_gossip())

    async def kill(self) -> None:
        self.is_running = False
        self.gossiping.cancel()
        await self.service.stop()

    async def _send_gossip(self) -> None:
        while True:
            await asyncio.sleep(1.0)
            for peer in self.list_neighbours():
                for source in self.gossip:
                    self.send(peer, source())

    def list_routers(self) -> tuple[RouterInfo, ...]:
        routers = self.fleet.routers
        return tuple(r.own for r in routers if r is not self and r.is_running)

    def list_unreachable(self) -> tuple[RouterInfo, ...]:
        return ()

    def list_neighbours(self) -> tuple[RouterId, ...]:
        return tuple(info.router_id for info in self.list_routers())[:2]

    def register(self, message_type: type[Any], handler: Any) -> None:
        self.handlers[message_type] = handler

    def add_gossip(self, source: Callable[[], Any]) -> None:
        self.gossip.append(source)

    async def request(self, peer: RouterId, message: Any, timeout_s: float) -> Any:
        for router in self.fleet.routers:
            if router.own.router_id == peer and self.fleet.reaches(self, router):
                await asyncio.sleep(0.03)
                handler = router.handlers[type(message)]
                handled = handler(self.own.router_id, message)
                return await asyncio.wait_for(handled, timeout_s)
        await asyncio.sleep(timeout_s)
        raise PeerUnreachableError(peer.host)

    def send(self, peer: RouterId, message: Any) -> None:
        self.sending = asyncio.ensure_future(self._send(peer, message))

    async def _send(self, peer: RouterId, message: Any) -> None:
        try:
            await self.request(peer, message, 1.0)
        except (PeerUnreachableError, TimeoutError):
            return


class PropagationMachine(RuleBasedStateMachine):
    """Checks invariant I7 under faults, and convergence after them.

    I7: each version has one entry and the version of a router never decreases. Once
    the faults end, every running router has the head within `CONVERGENCE_LIMIT_S`.
    Changes reported as applied are in the log, those refused as not run are not, and
    routers listed as acknowledged have the version.
    """

    def __init__(self) -> None:
        super().__init__()
        self.loop = VirtualLoop()
        self.fleet = SimulatedFleet(self.loop)
        self.n_started = 0
        self.n_names = 0
        self.applied: dict[str, Any] = {}
        self.acknowledged: list[tuple[MemoryRouter, int]] = []
        for index in range(4):
            self._start(index)

    def _run(self, work: Any) -> Any:
        return self.loop.run_until_complete(work)

    def _start(self, index: int) -> None:
        self.n_started += 1

        async def start() -> None:
            router = MemoryRouter(self.fleet, index, self.n_started)
            self.fleet.routers.append(router)
            await router.start()

        self._run(start())

    def _list_running(self) -> list[MemoryRouter]:
        return [router for router in self.fleet.routers if router.is_running]

    async def _apply(self, router: MemoryRouter) -> None:
        self.n_names += 1
        name = f"class-{self.n_names}"
        changes = (make_set_change("class", PriorityClass(name, 1)),)
        base = router.service.current.version
        result = await router.service.apply("operator", base, changes)
        self.applied[name] = result
        if not is_successful(result):
            return
        report = result.unwrap()
        for peer in self._list_running():
            if peer.own.router_id in report.acknowledged:
                self.acknowledged.append((peer, report.version))

    @rule(indices=strategies.lists(strategies.integers(0, 9), min_size=1, max_size=3))
    def apply(self, indices: list[int]) -> None:
        running = self._list_running()
        appliers = [running[index % len(running)] for index in indices]

        async def apply_at_once() -> None:
            await asyncio.gather(*(self._apply(router) for router in appliers))

        self._run(apply_at_once())

    @rule(n_answers=strategies.integers(1, 3))
    def lose_answers(self, n_answers: int) -> None:
        self.fleet.table.loses_next_answers = n_answers

    @rule(n_writes=strategies.integers(1, 3))
    def delay_writes(self, n_writes: int) -> None:
        self.fleet.table.delays_next_writes = n_writes

    @rule(is_down=strategies.booleans())
    def take_table_down(self, is_down: bool) -> None:
        self.fleet.table.is_down = is_down

    @rule(is_cut=strategies.booleans())
    def cut(self, is_cut: bool) -> None:
        self.fleet.is_cut = is_cut

    @rule(index=strategies.integers(0, 9))
    def restart(self, index: int) -> None:
        running = self._list_running()
        stopped = running[index % len(running)]
        self._run(stopped.kill())
        self._start(int(stopped.own.router_id.host.removeprefix("router-")))

    @rule(duration_s=strategies.floats(0.01, 15.0))
    def wait(self, duration_s: float) -> None:
        self._run(asyncio.sleep(duration_s))

    @precondition(lambda self: self.fleet.table.is_down)
    @rule()
    def start_without_the_table(self) -> None:
        """A router started during a table outage must get the log from peers."""
        self.fleet.is_cut = False
        highest = max(r.service.current.version for r in self._list_running())
        self._start(0)
        self._run(asyncio.sleep(CONVERGENCE_LIMIT_S))
        assert self._list_running()[-1].service.current.version >= highest

    def teardown(self) -> None:
        """End all faults and check the final state."""
        self.fleet.table.is_down = False
        self.fleet.table.loses_next_answers = 0
        self.fleet.table.delays_next_writes = 0
        self.fleet.is_cut = False
        self._run(asyncio.sleep(CONVERGENCE_LIMIT_S))
        log = self._run(read_log(self.fleet.table))
        assert [entry.version for entry in log] == list(range(1, len(log) + 1))
        self._check_outcomes({change.name for e in log for change in e.changes})
        self._check_routers(len(log))
        for router in self._list_running():
            self._run(router.kill())
        pending = asyncio.all_tasks(self.loop)
        for task in pending:
            task.cancel()
        self._run(asyncio.wait(pending) if pending else asyncio.sleep(0))
        self.loop.close()

    def _check_outcomes(self, logged: set[str]) -> None:
        for name, result in self.applied.items():
            if is_successful(result):
                assert name in logged
            elif result.failure().is_not_run:
                assert name not in logged

    def _check_routers(self, head: int) -> None:
        for router in self.fleet.routers:
            assert router.versions == sorted(set(router.versions))
        for router in self._list_running():
            assert router.service.current.version == head
        for router, version in self.acknowledged:
            assert router.versions[-1] >= version


TestPropagationMachine = PropagationMachine.TestCase
TestPropagationMachine.settings = settings(max_examples=40, stateful_step_count=12)
