"""Requests that wait for tokens."""

from __future__ import annotations

import asyncio
import random
import time
from types import SimpleNamespace

import pytest

from bronzesail.errors import ResultCode
from bronzesail.router.budget import LEASE_S, BudgetBook
from bronzesail.router.budget_desk import BudgetDesk
from bronzesail.router.neighbourhood import Neighbourhood
from tests.router_fakes import SilentLog


class Desk:
    """A desk whose keeper and peers the test plays."""

    def __init__(self, peers_free=0, is_in_step=True):
        self.time = 100.0
        self.book = BudgetBook("h1", "10.0.0.1:1", lambda: self.time)
        self.book.set_prepaid({"a": 1_000})
        self.asked = 0
        self.log = SilentLog()
        keeper = SimpleNamespace(
            has_loaded=True, is_in_step=is_in_step, request_renewal=lambda: None
        )
        peers = SimpleNamespace(count_free=lambda _: peers_free, obtain=self.obtain)
        self.desk = BudgetDesk(
            self.book,
            keeper,
            peers,
            Neighbourhood("h1", "z1", 1000.0, lambda: self.time),
            self.log,
            random.Random(1),
        )

    async def obtain(self, account, shortage, demand_per_s):
        self.asked += 1
        self.book.receive(account, shortage)
        return shortage, False

    def give(self, tokens):
        self.book.receive("a", tokens)
        self.desk.serve_waiters()

    async def reserve(self, tokens, max_wait_s=5.0):
        return await self.desk.reserve("a", tokens, max_wait_s, "r1")


def test_tokens_that_come_while_a_request_waits_are_reserved():
    async def run():
        desk = Desk()
        waiting = asyncio.create_task(desk.reserve(100))
        await asyncio.sleep(0)
        desk.give(150)
        assert await waiting is None
        assert desk.book.get_holding("a").reserved == 100

    asyncio.run(run())


def test_tokens_that_come_together_with_the_time_limit_are_used():
    async def run():
        desk = Desk()
        loop = asyncio.get_running_loop()
        waiting = asyncio.create_task(desk.reserve(100, max_wait_s=0.02))
        await asyncio.sleep(0)
        # Both the tokens and the time limit are due when the loop goes on.
        loop.call_later(0.01, desk.give, 100)
        loop.call_soon(time.sleep, 0.05)
        refusal = await waiting
        reserved = desk.book.get_holding("a").reserved
        assert (refusal is None) == (reserved == 100)

    asyncio.run(run())


def test_tokens_of_a_caller_that_left_are_released():
    async def run():
        desk = Desk()
        waiting = asyncio.create_task(desk.reserve(100))
        await asyncio.sleep(0)
        desk.give(100)
        waiting.cancel()
        with pytest.raises(asyncio.CancelledError):
            await waiting
        assert desk.book.get_holding("a").reserved == 0

    asyncio.run(run())


def test_what_nobody_has_is_refused_at_once_while_the_store_answers():
    async def run():
        desk = Desk(peers_free=100)
        desk.book.see_account("a", 950, 1)
        refusal = await desk.reserve(200)
        assert refusal.code is ResultCode.BUDGET_EXHAUSTED

    asyncio.run(run())


def test_what_nobody_has_is_refused_at_once_with_a_time_while_the_store_is_away():
    async def run():
        desk = Desk(peers_free=100, is_in_step=False)
        desk.time += LEASE_S + 0.1
        refusal = await desk.reserve(200)
        assert refusal.code is ResultCode.BUDGET_UNREACHABLE
        assert refusal.is_not_run and refusal.retry_after_s > 0
        assert desk.asked == 0

    asyncio.run(run())


def test_peers_are_asked_while_the_store_is_away():
    async def run():
        desk = Desk(peers_free=500, is_in_step=False)
        desk.time += LEASE_S + 0.1
        assert await desk.reserve(200) is None
        assert desk.asked == 1

    asyncio.run(run())


def test_a_request_waits_for_what_requests_in_progress_will_not_use():
    async def run():
        desk = Desk(is_in_step=False)
        desk.book.receive("a", 500)
        for _ in range(20):  # Requests use half of what they reserve.
            assert desk.book.try_reserve("a", 10)
            desk.book.settle("a", 10, 5)
        assert desk.book.try_reserve("a", 400)
        desk.time += LEASE_S + 0.1
        waiting = asyncio.create_task(desk.reserve(100))
        await asyncio.sleep(0)
        assert not waiting.done()
        desk.book.settle("a", 400, 200)
        desk.desk.serve_waiters()
        assert await waiting is None

    asyncio.run(run())
