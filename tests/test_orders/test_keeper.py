"""Tests of `OrderKeeper` against stand-ins of the table service and an engine."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import pytest
from returns.result import Failure, Success

from bronzesail.errors import ResultCode
from bronzesail.explain import DecisionLog
from bronzesail.http import HttpClient
from bronzesail.orders import (
    HttpEnginePort,
    OrderKeeper,
    OrderLog,
    OrderTarget,
    OrderTiming,
    WeightStoreLimit,
    decode_order_row,
    make_order_key,
    place_in_table,
)
from bronzesail.schema import EngineSetup
from bronzesail.standin import EngineStandin, TableStandin
from bronzesail.storage import HttpTable
from bronzesail.util.clock import SystemClock

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

TIMING = OrderTiming(
    lease_s=0.4, longest_order_s=0.4, check_interval_s=0.05, send_margin_s=0.05
)


async def wait_until(condition: Callable[[], bool]) -> None:
    while True:
        if condition():
            return
        await asyncio.sleep(0.005)


class Harness:
    """Stand-ins of the table service and one engine, with routers that manage it."""

    def __init__(self, checks_fencing: bool) -> None:
        self.store = TableStandin()
        self.engine = EngineStandin("e1", checks_fencing=checks_fencing)
        self.client = HttpClient()
        self.decisions = DecisionLog()
        self.tasks: list[asyncio.Task[None]] = []

    async def start(self) -> None:
        await self.store.start()
        await self.engine.start()
        self.table = HttpTable(self.store.address, self.client, "test")

    def add_router(self, name: str) -> asyncio.Task[None]:
        target = OrderTarget(
            "e1", self.engine.address, self.engine.orders.checks_fencing
        )
        clock = SystemClock()
        keeper = OrderKeeper(
            self.table,
            HttpEnginePort(self.client),
            WeightStoreLimit(self.table, clock, interval_s=0.01),
            clock,
            lambda: (target,),
            name,
            OrderLog(self.decisions, clock),
            TIMING,
        )
        self.tasks.append(asyncio.create_task(keeper.run()))
        return self.tasks[-1]

    async def place_setup(self, **fields: str) -> int:
        result = await place_in_table(self.table, "e1", EngineSetup(**fields), "op")
        return result.unwrap().number

    async def wait_confirmed(self, number: int) -> None:
        await wait_until(lambda: self.is_confirmed(number))

    def is_confirmed(self, number: int) -> bool:
        row = self.store.dump().get(make_order_key("e1"))
        if row is None:
            return False
        content = decode_order_row("e1", row)
        return content.confirmed_number >= number and not content.holder

    async def stop(self) -> None:
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        self.client.close()
        await self.engine.stop()
        await self.store.stop()


def run_scenario(
    scenario: Callable[[Harness], Awaitable[None]], checks_fencing: bool = False
) -> None:
    async def run() -> None:
        harness = Harness(checks_fencing)
        await harness.start()
        try:
            await scenario(harness)
        finally:
            await harness.stop()

    asyncio.run(run())


@pytest.mark.parametrize("checks_fencing", [True, False])
def test_two_routers_bring_an_engine_to_the_setup_asked_for(
    checks_fencing: bool,
) -> None:
    async def scenario(harness: Harness) -> None:
        harness.engine.faults.order_s = 0.05
        harness.engine.faults.loses_next_orders = 1
        harness.store.faults.loses_next_answers = 2
        number = await harness.place_setup(model="desk-2", role="decode")
        harness.add_router("r1")
        harness.add_router("r2")
        await harness.wait_confirmed(number)
        assert harness.engine.orders.setup == EngineSetup("desk-2", role="decode")
        records = harness.decisions.find(make_order_key("e1"))
        messages = {record.text.split(":")[0] for record in records}
        assert {"lease written", "order unknown", "order done"} <= messages

    run_scenario(scenario, checks_fencing)


def test_order_is_taken_over_from_a_router_that_stopped_in_the_middle() -> None:
    async def scenario(harness: Harness) -> None:
        harness.engine.faults.order_s = 0.2
        number = await harness.place_setup(model="desk-2", adapter="tags")
        first = harness.add_router("r1")
        await wait_until(lambda: harness.engine.orders.n_in_flight > 0)
        first.cancel()
        harness.add_router("r2")
        await harness.wait_confirmed(number)
        fences = [order.fence for order in harness.engine.orders.applied]
        assert fences == sorted(fences)
        assert fences[-1] > fences[0]
        assert harness.engine.orders.setup == EngineSetup("desk-2", "tags")

    run_scenario(scenario)


def test_setup_lost_by_a_restart_is_ordered_again() -> None:
    async def scenario(harness: Harness) -> None:
        number = await harness.place_setup(role="prefill")
        harness.add_router("r1")
        await harness.wait_confirmed(number)
        harness.engine.orders.setup = EngineSetup()
        await wait_until(lambda: harness.engine.orders.setup.role == "prefill")

    run_scenario(scenario)


def test_operators_race_has_one_winner() -> None:
    async def scenario(harness: Harness) -> None:
        harness.store.faults.loses_next_answers = 1
        setups = (EngineSetup("a"), EngineSetup("b"))
        results = await asyncio.gather(
            *(
                place_in_table(harness.table, "e1", setup, f"op-{setup.model}", 0)
                for setup in setups
            )
        )
        placed = [result for result in results if isinstance(result, Success)]
        refusals = [result for result in results if isinstance(result, Failure)]
        assert len(placed) == len(refusals) == 1
        assert refusals[0].failure().code is ResultCode.CONFIGURATION_CONFLICT
        row = harness.store.dump()[make_order_key("e1")]
        assert decode_order_row("e1", row) == placed[0].unwrap()

    run_scenario(scenario)


def test_loads_of_all_routers_keep_the_weight_stores_interval() -> None:
    async def scenario(harness: Harness) -> None:
        limits = [
            WeightStoreLimit(harness.table, SystemClock(), interval_s=10.0)
            for _ in range(4)
        ]
        harness.store.faults.loses_next_answers = 1
        starts = sorted(await asyncio.gather(*(limit.reserve() for limit in limits)))
        gaps = [
            after - before for before, after in zip(starts, starts[1:], strict=False)
        ]
        assert all(gap > 9.0 for gap in gaps)

    run_scenario(scenario)
