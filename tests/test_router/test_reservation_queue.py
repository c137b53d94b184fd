"""Requests that wait for tokens, in small and large fleets."""

from __future__ import annotations

import asyncio
import random
import time
from types import SimpleNamespace

import pytest

from bronzesail.errors import ResultCode
from bronzesail.router.budget import BudgetBook
from bronzesail.router.budget_rows import LEASE_S
from bronzesail.router.messages import TokenRequest, TokenTransfer
from bronzesail.router.neighbourhood import SMALL_FLEET, Neighbourhood
from bronzesail.router.reservation_queue import ReservationQueue
from tests.platform_standin import wait_until
from tests.router_fakes import RecordingLog


class QueueFixture:
    """A `ReservationQueue` with a fake keeper and fake peers."""

    def __init__(self, peers_free=0, is_in_step=True):
        self.time = 100.0
        self.book = BudgetBook("h1", "10.0.0.1:1", lambda: self.time)
        self.book.set_prepaid({"a": 1_000})
        self.asked = 0
        self.log = RecordingLog()
        keeper = SimpleNamespace(
            has_loaded=True, is_in_step=is_in_step, request_renewal=lambda: None
        )
        peers = SimpleNamespace(
            count_free=lambda _: peers_free, request_tokens=self.request_tokens
        )
        self.queue = ReservationQueue(
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
        self.queue.serve_waiters()

    async def reserve(self, tokens, max_wait_s=5.0, **options):
        return await self.queue.reserve("a", tokens, max_wait_s, "r1", **options)


def test_tokens_that_arrive_while_a_request_waits_are_reserved():
    async def run():
        fixture = QueueFixture()
        waiting = asyncio.create_task(fixture.reserve(100))
        await asyncio.sleep(0)
        fixture.give(150)
        assert await waiting is None
        assert fixture.book.get_holding("a").reserved == 100

    asyncio.run(run())


# After all routers were killed, streams that were taken up found no tokens, since new
# requests of their account had come first.
def test_streams_that_are_taken_up_wait_before_new_requests():
    async def run():
        fixture = QueueFixture()
        new = [asyncio.create_task(fixture.reserve(100)) for _ in range(2)]
        await asyncio.sleep(0)
        continued = [
            asyncio.create_task(fixture.reserve(tokens, is_continuation=True))
            for tokens in (101, 102)
        ]
        await asyncio.sleep(0)
        fixture.give(101)
        assert await continued[0] is None
        fixture.give(102)
        assert await continued[1] is None
        assert not any(task.done() for task in new)
        fixture.give(200)
        assert await asyncio.gather(*new) == [None, None]

    asyncio.run(run())


def test_tokens_that_arrive_together_with_the_timeout_are_reserved():
    async def run():
        fixture = QueueFixture()
        loop = asyncio.get_running_loop()
        waiting = asyncio.create_task(fixture.reserve(100, max_wait_s=0.02))
        await asyncio.sleep(0)
        # The tokens and the timeout are due in the same iteration of the loop.
        loop.call_later(0.01, fixture.give, 100)
        loop.call_soon(time.sleep, 0.05)
        refusal = await waiting
        reserved = fixture.book.get_holding("a").reserved
        assert (refusal is None) == (reserved == 100)

    asyncio.run(run())


def test_tokens_of_a_cancelled_request_are_released():
    async def run():
        fixture = QueueFixture()
        waiting = asyncio.create_task(fixture.reserve(100))
        await asyncio.sleep(0)
        fixture.give(100)
        waiting.cancel()
        with pytest.raises(asyncio.CancelledError):
            await waiting
        assert fixture.book.get_holding("a").reserved == 0

    asyncio.run(run())


def test_exhausted_budget_is_refused_at_once_while_the_store_answers():
    async def run():
        fixture = QueueFixture(peers_free=100)
        fixture.book.update_account("a", 950, 1)
        refusal = await fixture.reserve(200)
        assert refusal.code is ResultCode.BUDGET_EXHAUSTED

    asyncio.run(run())


def test_unavailable_tokens_are_refused_with_a_delay_during_a_store_outage():
    async def run():
        fixture = QueueFixture(peers_free=100, is_in_step=False)
        fixture.time += LEASE_S + 0.1
        refusal = await fixture.reserve(200)
        assert refusal.code is ResultCode.BUDGET_UNREACHABLE
        assert refusal.is_not_run and refusal.retry_after_s > 0
        assert fixture.asked == 0

    asyncio.run(run())


def test_peers_are_asked_during_a_store_outage():
    async def run():
        fixture = QueueFixture(peers_free=500, is_in_step=False)
        fixture.time += LEASE_S + 0.1
        assert await fixture.reserve(200) is None
        assert fixture.asked == 1

    asyncio.run(run())


def test_request_waits_for_tokens_that_others_are_expected_to_release():
    async def run():
        fixture = QueueFixture(is_in_step=False)
        fixture.book.receive("a", 500)
        for _ in range(20):  # Requests use half of what they reserve.
            assert fixture.book.try_reserve("a", 10)
            fixture.book.settle("a", 10, 5)
        assert fixture.book.try_reserve("a", 400)
        fixture.time += LEASE_S + 0.1
        waiting = asyncio.create_task(fixture.reserve(100))
        await asyncio.sleep(0)
        assert not waiting.done()
        fixture.book.settle("a", 400, 200)
        fixture.queue.serve_waiters()
        assert await waiting is None

    asyncio.run(run())


class LargeFleet(QueueFixture):
    """A large fleet, in which other routers answer with `gifts` in order."""

    def __init__(self, gifts=(), *, is_allocator=False):
        super().__init__()
        neighbourhood = self.queue._neighbourhood
        for number in range(SMALL_FLEET + 1):
            neighbourhood.note_row(f"n{number}", "z1", (f"10.0.0.{number}", 1), 100.0)
        if is_allocator:
            neighbourhood.rank_allocators = lambda account: []
        self.gifts = list(gifts)
        self.asks = []
        self.returned = []
        self.queue._peers.request_from_banker = self.request_from_banker
        self.queue._peers.transfer_tokens = self.give_to

    async def request_from_banker(self, allocator, account, want, least, *, is_banked):
        self.asks.append((allocator, want, least, is_banked))
        gift = self.gifts.pop(0)
        if gift is not None:
            self.book.receive(account, gift.tokens)
        return gift

    async def give_to(self, address, account, tokens, *, is_leftover):
        self.returned.append((address, account, tokens))
        return True


def make_gift(tokens, lack=0, kept=0):
    return TokenTransfer("g", "q", "a", tokens, lack=lack, kept=kept)


def test_allocator_is_asked_for_the_shortage():
    async def run():
        fleet = LargeFleet([make_gift(200)])
        fleet.book.receive("a", 50)
        assert await fleet.reserve(250) is None
        ((allocator, want, least, is_banked),) = fleet.asks
        assert allocator.host == fleet.queue._neighbourhood.rank_allocators("a")[0].host
        assert (want, least, is_banked) == (200, 200, True)

    asyncio.run(run())


def test_next_allocator_is_asked_if_the_first_does_not_answer():
    async def run():
        fleet = LargeFleet([None, make_gift(250)])
        assert await fleet.reserve(250) is None
        assert fleet.asks[0][0] != fleet.asks[1][0]

    asyncio.run(run())


def test_shortage_of_an_allocator_fails_large_requests_only():
    async def run():
        exhausted = make_gift(0, ResultCode.BUDGET_EXHAUSTED)
        fleet = LargeFleet([exhausted, make_gift(10)])
        refusal = await fleet.reserve(900, max_wait_s=0.1)
        assert refusal.code is ResultCode.BUDGET_EXHAUSTED
        assert await fleet.reserve(10) is None

    asyncio.run(run())


def test_asking_router_waits_in_the_queue_of_the_allocator():
    async def run():
        fleet = LargeFleet(is_allocator=True)
        fleet.book.update_account("a", 0, 1)
        ask = TokenRequest("q", "a", 300, 200, is_banked=True)
        waiting = asyncio.create_task(fleet.queue.serve_ask(ask))
        await asyncio.sleep(0)
        assert not waiting.done()
        fleet.give(250)
        assert await waiting == (250, None)
        holding = fleet.book.get_holding("a")
        assert (holding.transferred, holding.free) == (250, 0)
        assert holding.demand_per_s > 0

    asyncio.run(run())


def test_allocator_asks_other_regions_before_it_reports_exhaustion():
    async def run():
        fleet = LargeFleet([make_gift(0), make_gift(500)], is_allocator=True)
        fleet.book.update_account("a", 1_000, 1)
        fleet.queue._neighbourhood.find_other_allocators = lambda account: ["far"]
        ask = TokenRequest("q", "a", 300, 200, is_banked=True)
        code = ResultCode.BUDGET_EXHAUSTED
        assert await fleet.queue.serve_ask(ask) == (0, code)
        fleet.time += 1.0  # The report of the other region has expired.
        assert await fleet.queue.serve_ask(ask) == (300, None)
        assert [is_banked for _, _, _, is_banked in fleet.asks] == [False, False]

    asyncio.run(run())


def test_unused_tokens_are_returned_to_the_allocator():
    async def run():
        fleet = LargeFleet([make_gift(200)])
        assert await fleet.reserve(200) is None
        fleet.book.settle("a", 200, 150)
        returning = asyncio.create_task(fleet.queue.return_leftovers())
        await wait_until(lambda: fleet.returned)
        returning.cancel()
        ((_, account, tokens),) = fleet.returned
        assert (account, tokens) == ("a", 50)
        assert fleet.book.get_holding("a").free == 0

    asyncio.run(run())


def test_allocator_without_the_store_does_not_report_exhaustion():
    async def run():
        unreachable = make_gift(0, ResultCode.BUDGET_UNREACHABLE)
        fleet = LargeFleet([unreachable])
        refusal = await fleet.reserve(900, max_wait_s=0.1)
        assert refusal.code is ResultCode.BUDGET_UNREACHABLE
        assert refusal.retry_after_s > 0

    asyncio.run(run())


def test_tokens_held_in_another_region_are_not_reported_as_exhausted():
    async def run():
        fleet = LargeFleet([make_gift(0, kept=5_000)], is_allocator=True)
        fleet.book.update_account("a", 1_000, 1)
        fleet.queue._neighbourhood.find_other_allocators = lambda account: ["far"]
        ask = TokenRequest("q", "a", 300, 200, is_banked=True)
        code = ResultCode.BUDGET_UNREACHABLE
        assert await fleet.queue.serve_ask(ask) == (0, code)

    asyncio.run(run())


def test_request_cancelled_as_it_is_refused_releases_no_tokens():
    async def run():
        fleet = LargeFleet()
        waiting = asyncio.create_task(fleet.reserve(100))
        await asyncio.sleep(0)
        (waiter,) = fleet.queue._waiters["a"]
        waiter.future.set_result(0)
        waiting.cancel()
        with pytest.raises(asyncio.CancelledError):
            await waiting
        assert fleet.book.get_holding("a").reserved == 0

    asyncio.run(run())
