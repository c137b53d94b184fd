"""Tests of the budget service on virtual time, over a fake table and network."""

from __future__ import annotations

import asyncio

from benchmarks.budget_fleet import Fleet
from benchmarks.virtual_time import run_virtual
from bronzesail.budget import (
    ReserveOrder,
    create_budget,
    read_budget,
    release_hold,
    top_up,
)
from bronzesail.errors import ResultCode


def make_order(key: str, tokens: int, deadline: float = 60.0) -> ReserveOrder:
    """Return a reservation order on the one budget of these tests."""
    return ReserveOrder("acme", "main", key, "desk", tokens, deadline)


async def run_request(
    fleet: Fleet, index: int, key: str, tokens: int, used: int
) -> None:
    """Reserve, dispatch and close one request at one router."""
    service = fleet.routers[index].service
    reservation = (await service.reserve(make_order(key, tokens))).unwrap()
    (await service.open(reservation, "b1")).unwrap()
    await fleet.backends.run("acme", key, used, 0.1)
    service.close(reservation, used)


def test_request_is_charged_once_and_grants_go_back() -> None:
    async def run() -> None:
        fleet = Fleet(seed=1)
        await create_budget(fleet.table, "acme", "main", 1000)
        await fleet.start(3)
        await run_request(fleet, 0, "k1", 50, 20)
        await run_request(fleet, 1, "k1", 50, 30)
        await run_request(fleet, 2, "k2", 50, 5)
        for router in fleet.routers:
            await router.service.drain()
        row = await read_budget(fleet.table, "acme", "main")
        assert row is not None
        assert row.settled_tokens == 25
        assert row.grants == ()
        await fleet.stop()

    run_virtual(run())


def test_too_large_request_is_refused_at_once_and_served_after_top_up() -> None:
    async def run() -> None:
        fleet = Fleet(seed=1)
        await create_budget(fleet.table, "acme", "main", 100)
        await fleet.start(2)
        service = fleet.routers[0].service
        refusal = (await service.reserve(make_order("k1", 101))).failure()
        assert refusal.code is ResultCode.BUDGET_EXHAUSTED
        assert refusal.is_not_run
        for _ in range(2):
            (await top_up(fleet.table, "acme", "main", "t1", 10)).unwrap()
        assert (await service.reserve(make_order("k1", 111))).failure()
        (await service.reserve(make_order("k1", 110))).unwrap()
        await fleet.stop()

    run_virtual(run())


def test_router_without_journal_peers_refuses_to_dispatch() -> None:
    async def run() -> None:
        fleet = Fleet(seed=1)
        await create_budget(fleet.table, "acme", "main", 100)
        await fleet.start(1)
        service = fleet.routers[0].service
        reservation = (await service.reserve(make_order("k1", 10))).unwrap()
        refusal = (await service.open(reservation, "b1")).failure()
        assert refusal.code is ResultCode.JOURNAL_UNREACHABLE
        await fleet.stop()

    run_virtual(run())


def test_loss_of_holder_and_journal_peer_holds_tokens_until_released() -> None:
    async def run() -> None:
        fleet = Fleet(seed=1)
        await create_budget(fleet.table, "acme", "main", 1000)
        await fleet.start(3)
        await run_request(fleet, 0, "k1", 50, 20)
        holder, peer = fleet.routers[0], fleet.routers[1]
        for router in (holder, peer):
            await fleet.kill(router)
            fleet.delist(router)
        await asyncio.sleep(30.0)
        row = await read_budget(fleet.table, "acme", "main")
        assert row is not None
        remainders = [hold for hold in row.holds if hold.sequence == 0]
        assert remainders
        for hold in remainders:
            (await release_hold(fleet.table, "acme", "main", hold.grant_id, 0)).unwrap()
        row = await read_budget(fleet.table, "acme", "main")
        assert row is not None
        assert row.held_tokens == 0
        await fleet.stop()

    run_virtual(run())


def test_paused_holder_that_resumes_after_its_reclaim_dispatches_nothing() -> None:
    async def run() -> None:
        fleet = Fleet(seed=1)
        await create_budget(fleet.table, "acme", "main", 1000)
        await fleet.start(3)
        paused = fleet.routers[0]
        reservation = (await paused.service.reserve(make_order("k1", 50))).unwrap()
        paused.running.clear()
        fleet.delist(paused)
        await asyncio.sleep(30.0)
        paused.running.set()
        refusal = (await paused.service.open(reservation, "b1")).failure()
        assert refusal.is_not_run
        paused.service.close(reservation, 0)
        await asyncio.sleep(30.0)
        row = await read_budget(fleet.table, "acme", "main")
        assert row is not None
        assert row.held_tokens == row.settled_tokens == 0
        await fleet.stop()

    run_virtual(run())


def test_granted_tokens_are_spent_while_the_table_is_down() -> None:
    async def run() -> None:
        fleet = Fleet(seed=1)
        await create_budget(fleet.table, "acme", "main", 100_000)
        await fleet.start(3)
        await run_request(fleet, 0, "k1", 50, 20)
        await asyncio.sleep(10.0)
        fleet.table.is_down = True
        n_reads = fleet.table.n_reads
        for number in range(20):
            await run_request(fleet, number % 3, f"w{number}", 50, 20)
        assert fleet.table.n_reads == n_reads
        await fleet.stop()

    run_virtual(run())
