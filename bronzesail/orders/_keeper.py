"""Shell that runs the order cores of the backend servers this router looks after."""

from __future__ import annotations

import asyncio
import itertools
from typing import TYPE_CHECKING

from ..schema import RowWrite
from ..schema.codec import CodecError, encode
from ..storage import OutcomeUnknownError, PlatformError
from ._actions import (
    GiveOrder,
    OrderOutcome,
    OrderTiming,
    ReadRow,
    ReadSetup,
    ReserveLoad,
    Wait,
    WriteRow,
)
from ._core import OrderCore
from ._placing import decode_order_row, make_order_key
from ._ports import OrderReport, SetupUnknownError

if TYPE_CHECKING:
    from collections.abc import Callable

    from ..schema import Row
    from ..storage import Table
    from ..util.clock import Clock
    from ._actions import Action
    from ._log import OrderLog
    from ._ports import EnginePort, OrderTarget
    from ._weights import WeightStoreLimit

__all__ = ["OrderKeeper"]

FIRST_PAUSE_S = 1.0
TARGETS_INTERVAL_S = 2.0


class OrderKeeper:
    """Follows the orders of the backend servers that this router owns by hint.

    Parameters
    ----------
    table : Table
        Table service.
    engines : EnginePort
        Calls to engines.
    weights : WeightStoreLimit
        Rate limit of the weight store.
    clock : Clock
        Clock of this host.
    list_targets : callable
        Returns the backend servers that this router looks after now.
    holder : str
        Host and incarnation of this router.
    log : OrderLog
        Takes what happens.
    timing : OrderTiming or None
        Times that bound a holder.
    """

    def __init__(
        self,
        table: Table,
        engines: EnginePort,
        weights: WeightStoreLimit,
        clock: Clock,
        list_targets: Callable[[], tuple[OrderTarget, ...]],
        holder: str,
        log: OrderLog,
        timing: OrderTiming | None = None,
    ) -> None:
        self._table = table
        self._engines = engines
        self._weights = weights
        self._clock = clock
        self._list_targets = list_targets
        self._holder = holder
        self._timing = timing or OrderTiming()
        self._numbers = itertools.count(1)
        self._log = log
        self._loops: dict[str, asyncio.Task[None]] = {}

    async def run(self) -> None:
        """Look after the backend servers until cancelled."""
        try:
            while True:
                for target in self._list_targets():
                    if target.backend not in self._loops:
                        self._start(target)
                await asyncio.sleep(TARGETS_INTERVAL_S)
        finally:
            for task in self._loops.values():
                task.cancel()

    def _start(self, target: OrderTarget) -> None:
        task = asyncio.create_task(self._follow(target))
        self._loops[target.backend] = task
        task.add_done_callback(lambda _: self._end(target.backend, task))

    def _end(self, backend: str, task: asyncio.Task[None]) -> None:
        self._loops.pop(backend, None)
        if not task.cancelled() and task.exception() is not None:
            self._log.write(backend, "core failed", reason=repr(task.exception()))

    def _find_target(self, backend: str) -> OrderTarget | None:
        for target in self._list_targets():
            if target.backend == backend:
                return target
        return None

    async def _follow(self, target: OrderTarget) -> None:
        holder = f"{self._holder}:{next(self._numbers)}"
        core = OrderCore(target.backend, holder, target.checks_fencing, self._timing)
        worker = _OrderWorker(
            core, self._table, self._engines, self._weights, self._clock, self._log
        )
        try:
            while True:
                current = self._find_target(target.backend)
                if current is not None and current.is_like(target):
                    target = current
                elif not core.is_engaged:
                    return
                await worker.advance(target.address)
        finally:
            worker.stop()


class _OrderWorker:
    """Carries out the actions of one core."""

    def __init__(
        self,
        core: OrderCore,
        table: Table,
        engines: EnginePort,
        weights: WeightStoreLimit,
        clock: Clock,
        log: OrderLog,
    ) -> None:
        self._core = core
        self._table = table
        self._engines = engines
        self._weights = weights
        self._clock = clock
        self._log = log
        self._key = make_order_key(core.backend)
        self._pause_s = FIRST_PAUSE_S
        self._order_task: asyncio.Task[None] | None = None
        self._order_ended = asyncio.Event()

    def stop(self) -> None:
        """End the order call, if any; its outcome stays unknown."""
        if self._order_task is not None:
            self._order_task.cancel()

    async def advance(self, address: str) -> None:
        """Carry out the core's next action.

        Parameters
        ----------
        address : str
            IP address and port of the backend server.
        """
        action = self._core.decide(self._clock.monotonic())
        try:
            await self._carry_out(action, address)
            self._pause_s = FIRST_PAUSE_S
        except (PlatformError, SetupUnknownError, CodecError) as error:
            self._log.write(self._core.backend, "step failed", reason=str(error))
            await asyncio.sleep(self._pause_s)
            longest_s = self._core.timing.check_interval_s
            self._pause_s = min(self._pause_s * 2, longest_s)

    async def _carry_out(self, action: Action, address: str) -> None:
        match action:
            case Wait(until=until):
                await self._wait(until)
            case ReadRow():
                (row,) = await self._table.read((self._key,))
                self._note_row(row)
            case ReadSetup():
                asked_at = self._clock.monotonic()
                setup = await self._engines.read_setup(address)
                self._core.note_setup(setup, asked_at)
            case ReserveLoad():
                self._core.note_load_reserved(await self._weights.reserve())
            case WriteRow():
                await self._write(action)
            case GiveOrder():
                self._order_ended.clear()
                self._order_task = asyncio.create_task(self._give(action, address))

    async def _wait(self, until: float) -> None:
        wait_s = max(0.0, until - self._clock.monotonic())
        try:
            async with asyncio.timeout(wait_s):
                await self._order_ended.wait()
        except TimeoutError:
            return
        self._order_ended.clear()

    def _note_row(self, row: Row) -> None:
        content = decode_order_row(self._core.backend, row)
        self._core.note_row(content, row.version, self._clock.monotonic())

    async def _write(self, action: WriteRow) -> None:
        write = RowWrite(self._key, action.expected_version, encode(action.row))
        try:
            reply = await self._table.transact((write,))
        except OutcomeUnknownError:
            self._core.note_write_unknown()
            return
        except PlatformError:
            self._core.note_write_failed(self._clock.monotonic())
            return
        if not reply.is_committed:
            self._note_row(reply.conflicts[0])
            return
        self._core.note_committed(self._clock.monotonic())
        self._log_row(action)

    def _log_row(self, action: WriteRow) -> None:
        row = action.row
        sentence = "lease written" if row.holder else "order confirmed"
        self._log.write(
            row.backend,
            sentence,
            fence=row.fence,
            number=row.number,
            holder=row.holder,
        )

    async def _give(self, action: GiveOrder, address: str) -> None:
        report = await self._send(action, address)
        self._core.note_order(report.outcome, self._clock.monotonic(), report.fence)
        self._order_ended.set()
        self._log.write(
            self._core.backend,
            f"order {report.outcome.value}",
            action=action.order.action,
            argument=action.order.argument,
            fence=action.order.fence,
        )

    async def _send(self, action: GiveOrder, address: str) -> OrderReport:
        if self._clock.monotonic() >= action.valid_until:
            return OrderReport(OrderOutcome.NOT_SENT)
        timeout_s = self._core.timing.longest_order_s
        return await self._engines.give_order(address, action.order, timeout_s)
