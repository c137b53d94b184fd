"""Runs an `OrderCore` for each backend server that this router manages."""

from __future__ import annotations

import asyncio
import itertools
from typing import TYPE_CHECKING

from ..schema import RowWrite
from ..schema.codec import CodecError, encode
from ..storage import OutcomeUnknownError, PlatformError
from ._actions import (
    OrderOutcome,
    OrderTiming,
    ReadRow,
    ReadSetup,
    ReserveLoad,
    SendOrder,
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

# First delay after a failed action; doubled after each further failure.
INITIAL_RETRY_DELAY_S = 1.0
# Interval at which control loops are started for new targets.
TARGETS_INTERVAL_S = 2.0


class OrderKeeper:
    """Runs one control loop for each backend server that this router owns.

    Ownership follows from the router's view of the fleet and is only a hint: two
    routers may own a backend server for a while. The lease in the order row makes sure
    that only one of them sends orders.

    Parameters
    ----------
    table : Table
        Table service.
    engines : EnginePort
        Client of the engines.
    weights : WeightStoreLimit
        Rate limit of the weight store.
    clock : Clock
        Clock of this host.
    list_targets : callable
        Returns the backend servers that this router owns at the moment.
    holder : str
        Host and incarnation of this router; the prefix of the identities under which
        its cores hold leases.
    log : OrderLog
        Log of events.
    timing : OrderTiming or None
        Durations of leases and orders; None for the defaults.
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
        self._core_numbers = itertools.count(1)
        self._log = log
        self._loops: dict[str, asyncio.Task[None]] = {}

    async def run(self) -> None:
        """Start a control loop for each new target, until cancelled."""
        try:
            while True:
                for target in self._list_targets():
                    if target.backend not in self._loops:
                        self._start_loop(target)
                await asyncio.sleep(TARGETS_INTERVAL_S)
        finally:
            for task in self._loops.values():
                task.cancel()

    def _start_loop(self, target: OrderTarget) -> None:
        task = asyncio.create_task(self._run_loop(target))
        self._loops[target.backend] = task
        task.add_done_callback(lambda _: self._remove_loop(target.backend, task))

    def _remove_loop(self, backend: str, task: asyncio.Task[None]) -> None:
        self._loops.pop(backend, None)
        if not task.cancelled() and task.exception() is not None:
            self._log.write(
                backend, "control loop failed", reason=repr(task.exception())
            )

    def _find_target(self, backend: str) -> OrderTarget | None:
        for target in self._list_targets():
            if target.backend == backend:
                return target
        return None

    async def _run_loop(self, target: OrderTarget) -> None:
        """Run a core until the target is owned no longer and no work is unfinished.

        Each loop has a holder identity of its own, so that it never takes a lease of
        an earlier loop for its own.
        """
        holder = f"{self._holder}:{next(self._core_numbers)}"
        core = OrderCore(target.backend, holder, target.checks_fencing, self._timing)
        worker = _OrderWorker(
            core, self._table, self._engines, self._weights, self._clock, self._log
        )
        try:
            while True:
                current = self._find_target(target.backend)
                if current is not None and current.is_compatible_with(target):
                    target = current
                elif not core.has_unfinished_work:
                    return
                await worker.advance(target.address)
        finally:
            worker.stop()


class _OrderWorker:
    """Executes the actions of one core.

    An order is sent in a task of its own, so that the lease can be renewed meanwhile.
    """

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
        self._retry_delay_s = INITIAL_RETRY_DELAY_S
        self._order_task: asyncio.Task[None] | None = None
        self._order_done = asyncio.Event()

    def stop(self) -> None:
        """Cancel the order call in progress, if any; its outcome stays unknown."""
        if self._order_task is not None:
            self._order_task.cancel()

    async def advance(self, address: str) -> None:
        """Execute the core's next action; after a failure, log it and wait.

        Parameters
        ----------
        address : str
            IP address and port of the backend server.
        """
        action = self._core.decide(self._clock.monotonic())
        try:
            await self._execute(action, address)
            self._retry_delay_s = INITIAL_RETRY_DELAY_S
        except (PlatformError, SetupUnknownError, CodecError) as error:
            self._log.write(self._core.backend, "step failed", reason=str(error))
            await asyncio.sleep(self._retry_delay_s)
            max_delay_s = self._core.timing.check_interval_s
            self._retry_delay_s = min(self._retry_delay_s * 2, max_delay_s)

    async def _execute(self, action: Action, address: str) -> None:
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
            case SendOrder():
                self._order_done.clear()
                self._order_task = asyncio.create_task(self._run_order(action, address))

    async def _wait(self, until: float) -> None:
        """Wait until a monotonic time or until the pending order's outcome is known."""
        wait_s = max(0.0, until - self._clock.monotonic())
        try:
            async with asyncio.timeout(wait_s):
                await self._order_done.wait()
        except TimeoutError:
            return
        self._order_done.clear()

    def _note_row(self, row: Row) -> None:
        content = decode_order_row(self._core.backend, row)
        self._core.note_row(content, row.version, self._clock.monotonic())

    async def _write(self, action: WriteRow) -> None:
        """Write the order row and report the result to the core."""
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
        message = "lease written" if row.holder else "order confirmed"
        self._log.write(
            row.backend,
            message,
            fence=row.fence,
            number=row.number,
            holder=row.holder,
        )

    async def _run_order(self, action: SendOrder, address: str) -> None:
        """Send an order, report its outcome to the core and log it."""
        report = await self._send(action, address)
        self._core.note_order(report.outcome, self._clock.monotonic(), report.fence)
        self._order_done.set()
        self._log.write(
            self._core.backend,
            f"order {report.outcome.value}",
            action=action.order.action,
            argument=action.order.argument,
            fence=action.order.fence,
        )

    async def _send(self, action: SendOrder, address: str) -> OrderReport:
        # The process may have been paused since the core decided to send the order.
        if self._clock.monotonic() >= action.valid_until:
            return OrderReport(OrderOutcome.NOT_SENT)
        timeout_s = self._core.timing.longest_order_s
        return await self._engines.send_order(address, action.order, timeout_s)
