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
from bronzesail.router.neighbourhood import SMALL_FLEET, Neighbourhood
from bronzesail.router.peers import TokenRequest, TokenTransfer
from tests.platform_standin import wait_until
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
        peers = SimpleNamespace(
            count_free=lambda _: peers_free, request_tokens=self.request_tokens
        )
        self.desk = BudgetDesk(
            self.book,
            keeper,
            peers,
            Neighbourhood("h1", "z1", 1000.0, lambda: self.time),
            self.log,
            random.Random(1),
        )

    async def request_tokens(self, account, shortage, demand_per_s):
        self.asked += 1
        self.book.receive(account, shortage)
        return shortage

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


class LargeFleet(Desk):
    """A desk in a large fleet; other routers answer with what `gifts` holds."""

    def __init__(self, gifts=(), *, is_banker=False):
        super().__init__()
        neighbourhood = self.desk._neighbourhood
        for number in range(SMALL_FLEET + 1):
            neighbourhood.note_row(f"n{number}", "z1", (f"10.0.0.{number}", 1), 100.0)
        if is_banker:
            neighbourhood.rank_bankers = lambda account: []
        self.gifts = list(gifts)
        self.asks = []
        self.returned = []
        self.desk._peers.request_from_banker = self.request_from_banker
        self.desk._peers.transfer_tokens = self.give_to

    async def request_from_banker(self, banker, account, want, least, *, is_banked):
        self.asks.append((banker, want, least, is_banked))
        gift = self.gifts.pop(0)
        if gift is not None:
            self.book.receive(account, gift.tokens)
        return gift

    async def give_to(self, address, account, tokens, *, is_leftover):
        self.returned.append((address, account, tokens))
        return True


def make_gift(tokens, lack=0, kept=0):
    return TokenTransfer("g", "q", "a", tokens, lack=lack, kept=kept)


def test_a_banker_is_asked_for_what_the_request_needs():
    async def run():
        fleet = LargeFleet([make_gift(200)])
        fleet.book.receive("a", 50)
        assert await fleet.reserve(250) is None
        ((banker, want, least, is_banked),) = fleet.asks
        assert banker.host == fleet.desk._neighbourhood.rank_bankers("a")[0].host
        assert (want, least, is_banked) == (200, 200, True)

    asyncio.run(run())


def test_the_next_banker_is_asked_where_the_first_is_silent():
    async def run():
        fleet = LargeFleet([None, make_gift(250)])
        assert await fleet.reserve(250) is None
        assert fleet.asks[0][0] != fleet.asks[1][0]

    asyncio.run(run())


def test_a_banker_that_has_too_little_for_a_large_request_ends_only_such_requests():
    async def run():
        exhausted = make_gift(0, ResultCode.BUDGET_EXHAUSTED)
        fleet = LargeFleet([exhausted, make_gift(10)])
        refusal = await fleet.reserve(900, max_wait_s=0.1)
        assert refusal.code is ResultCode.BUDGET_EXHAUSTED
        assert await fleet.reserve(10) is None

    asyncio.run(run())


def test_routers_that_ask_wait_in_the_line_of_the_banker():
    async def run():
        fleet = LargeFleet(is_banker=True)
        fleet.book.see_account("a", 0, 1)
        ask = TokenRequest("q", "a", 300, 200, is_banked=True)
        waiting = asyncio.create_task(fleet.desk.serve_ask(ask))
        await asyncio.sleep(0)
        assert not waiting.done()
        fleet.give(250)
        assert await waiting == (250, None)
        holding = fleet.book.get_holding("a")
        assert (holding.passed, holding.free) == (250, 0)
        assert holding.demand_per_s > 0

    asyncio.run(run())


def test_a_banker_asks_other_regions_before_it_says_that_nobody_has_tokens():
    async def run():
        fleet = LargeFleet([make_gift(0), make_gift(500)], is_banker=True)
        fleet.book.see_account("a", 1_000, 1)
        fleet.desk._neighbourhood.find_other_bankers = lambda account: ["far"]
        ask = TokenRequest("q", "a", 300, 200, is_banked=True)
        lack = ResultCode.BUDGET_EXHAUSTED
        assert await fleet.desk.serve_ask(ask) == (0, lack)
        fleet.time += 1.0  # What the other region said is old by then.
        assert await fleet.desk.serve_ask(ask) == (300, None)
        assert [is_banked for _, _, _, is_banked in fleet.asks] == [False, False]

    asyncio.run(run())


def test_what_a_request_did_not_use_goes_back_to_the_banker():
    async def run():
        fleet = LargeFleet([make_gift(200)])
        assert await fleet.reserve(200) is None
        fleet.book.settle("a", 200, 150)
        returning = asyncio.create_task(fleet.desk.return_leftovers())
        await wait_until(lambda: fleet.returned)
        returning.cancel()
        ((_, account, tokens),) = fleet.returned
        assert (account, tokens) == ("a", 50)
        assert fleet.book.get_holding("a").free == 0

    asyncio.run(run())


def test_a_banker_that_lacks_the_store_does_not_say_that_nobody_has_tokens():
    async def run():
        unreachable = make_gift(0, ResultCode.BUDGET_UNREACHABLE)
        fleet = LargeFleet([unreachable])
        refusal = await fleet.reserve(900, max_wait_s=0.1)
        assert refusal.code is ResultCode.BUDGET_UNREACHABLE
        assert refusal.retry_after_s > 0

    asyncio.run(run())


def test_tokens_that_another_region_keeps_are_not_said_to_be_used_up():
    async def run():
        fleet = LargeFleet([make_gift(0, kept=5_000)], is_banker=True)
        fleet.book.see_account("a", 1_000, 1)
        fleet.desk._neighbourhood.find_other_bankers = lambda account: ["far"]
        ask = TokenRequest("q", "a", 300, 200, is_banked=True)
        lack = ResultCode.BUDGET_UNREACHABLE
        assert await fleet.desk.serve_ask(ask) == (0, lack)

    asyncio.run(run())


def test_a_caller_that_leaves_as_its_wait_ends_in_vain_releases_nothing():
    async def run():
        fleet = LargeFleet()
        waiting = asyncio.create_task(fleet.reserve(100))
        await asyncio.sleep(0)
        (waiter,) = fleet.desk._waiters["a"]
        waiter.future.set_result(0)
        waiting.cancel()
        with pytest.raises(asyncio.CancelledError):
            await waiting
        assert fleet.book.get_holding("a").reserved == 0

    asyncio.run(run())
