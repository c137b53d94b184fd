"""Reserves tokens for requests, and queues requests until tokens arrive.

In a small fleet a router that is short of tokens asks the peers that hold most. In a
large fleet it asks its region's allocator of the account, and an allocator asks those
of the other regions.
"""

from __future__ import annotations

import asyncio
from collections import deque
from typing import TYPE_CHECKING

import attrs

from ..errors import Refusal, ResultCode

if TYPE_CHECKING:
    import random

    from .budget import BudgetBook
    from .budget_keeper import BudgetKeeper
    from .log import Log
    from .messages import TokenRequest
    from .neighbourhood import Allocator, Neighbourhood
    from .peers import Peers

__all__ = ["ReservationQueue"]

# Pause after an attempt that yielded no tokens; peers publish their free tokens every
# 0.4 s.
ASK_RETRY_S = 0.15
ASK_INTERVAL_S = 0.02  # Pause between two attempts to obtain tokens.
# Demand, beyond the shortage, for which the allocator of another region is asked.
OTHER_REGION_AHEAD_S = 2.0
RETURN_INTERVAL_S = 0.3  # Interval between returns of unused tokens in a large fleet.
# How long another router's request for tokens waits here. An allocator refills within
# 0.1 s, and the other router waits 0.4 s for an answer.
ASK_WAIT_S = 0.3
SHORTAGE_LIFETIME_S = 0.5  # Lifetime of a shortage that other routers reported.
# Range of the random delay before callers retry; outages of the store last seconds.
RETRY_AFTER_S = (1.0, 4.0)
MAX_WAIT_S = 2.5  # After this time no more tokens are expected to arrive.


@attrs.define
class _Waiter:
    """A request that waits for tokens, or a router that has asked this one for some."""

    tokens: int  # Fewest tokens that are of use.
    future: asyncio.Future[int]  # Tokens reserved or allocated; 0 for a refusal.
    want: int = 0  # Most tokens that a router asks for; 0 for a request.
    is_continuation: bool = False  # Of a request that takes up a stream.


@attrs.frozen
class _ReportedShortage:
    """Other routers' report that an account is short of tokens."""

    tokens: int  # Fewest tokens that could not be obtained.
    code: ResultCode  # Reason why not.
    expires_at: float


class ReservationQueue:
    """Queue of the requests and routers that need tokens of this process.

    Parameters
    ----------
    book : BudgetBook
        The token holdings of this process.
    keeper : BudgetKeeper
        Renews the holdings from the store.
    peers : Peers
        Exchanges tokens with the other routers.
    neighbourhood : Neighbourhood
        Determines the allocator of each account.
    log : Log
        The router's log.
    generator : random.Random
        Source of random numbers.
    """

    def __init__(
        self,
        book: BudgetBook,
        keeper: BudgetKeeper,
        peers: Peers,
        neighbourhood: Neighbourhood,
        log: Log,
        generator: random.Random,
    ) -> None:
        self._book = book
        self._keeper = keeper
        self._peers = peers
        self._neighbourhood = neighbourhood
        self._log = log
        self._random = generator
        self._waiters: dict[str, deque[_Waiter]] = {}
        self._obtaining: dict[str, asyncio.Task[None]] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        self._shortages: dict[str, _ReportedShortage] = {}

    async def reserve(
        self,
        account: str,
        tokens: int,
        max_wait_s: float,
        request_id: str,
        *,
        is_continuation: bool = False,
    ) -> Refusal | None:
        """Reserve tokens for a request; return a refusal if that fails in time.

        A request with `is_continuation` takes up a stream and waits before new ones:
        its account has paid for the beginning, which is lost otherwise.
        """
        waiters = self._waiters.get(account, ())
        is_first = not any(w.is_continuation or not is_continuation for w in waiters)
        if is_first and self._book.try_reserve(account, tokens):
            self._renew_early(account)
            return None
        refusal = self._check_shortage(account, tokens, request_id)
        if refusal is not None:
            return refusal
        if await self._wait(
            account,
            tokens,
            min(max_wait_s, MAX_WAIT_S),
            is_continuation=is_continuation,
        ):
            return None
        refusal = self._check_shortage(account, tokens, request_id)
        return refusal or self._refuse_unreachable(account, tokens, request_id)

    async def serve_ask(self, ask: TokenRequest) -> tuple[int, ResultCode | None]:
        """Allocate tokens to another router, or return why there are too few.

        Other routers and the requests of this host wait in the same queue.
        """
        account, least = ask.account, ask.least
        if not self._waiters.get(account):
            given = self._book.allocate(account, ask.want, least)
            if given:
                self._renew_early(account)
                return given, None
        code = self._find_refusal_code(account, least)
        if code is not None:
            return 0, code
        given = await self._wait(account, least, ASK_WAIT_S, ask.want)
        return given, None if given else self._find_refusal_code(account, least)

    async def _wait(
        self,
        account: str,
        tokens: int,
        wait_s: float,
        want: int = 0,
        *,
        is_continuation: bool = False,
    ) -> int:
        """Wait for tokens to arrive; return how many were reserved or allocated."""
        future: asyncio.Future[int] = asyncio.get_running_loop().create_future()
        waiter = _Waiter(tokens, future, want, is_continuation)
        waiters = self._waiters.setdefault(account, deque())
        n_ahead = sum(other.is_continuation for other in waiters)
        waiters.insert(n_ahead if is_continuation else len(waiters), waiter)
        self._start_obtaining(account)
        try:
            async with asyncio.timeout(wait_s):
                return await future
        except TimeoutError:
            # The tokens may have arrived in the same loop iteration as the timeout.
            return 0 if future.cancelled() or not future.done() else future.result()
        finally:
            self._remove_waiter(account, waiter)

    def serve_waiters(self) -> None:
        """Serve the waiters in their order, each if there are enough tokens for it."""
        for account, waiters in list(self._waiters.items()):
            for waiter in list(waiters):
                if waiter.future.done():
                    continue
                if waiter.want:
                    taken = self._book.allocate(account, waiter.want, waiter.tokens)
                else:
                    is_reserved = self._book.try_reserve(account, waiter.tokens)
                    taken = waiter.tokens if is_reserved else 0
                if taken:
                    waiter.future.set_result(taken)

    def _remove_waiter(self, account: str, waiter: _Waiter) -> None:
        """Remove a waiter; release its tokens if its request was cancelled."""
        waiters = self._waiters[account]
        if waiter in waiters:
            waiters.remove(waiter)
        future = waiter.future
        is_granted = future.done() and not future.cancelled() and future.result() > 0
        if not waiters:
            del self._waiters[account]
            if is_granted:
                self._book.set_pending_demand(account, 0)
        task = asyncio.current_task()
        if is_granted and not waiter.want and task is not None and task.cancelling():
            # The request was cancelled while its tokens arrived.
            self._book.settle(account, waiter.tokens, 0)

    def _check_shortage(
        self, account: str, tokens: int, request_id: str
    ) -> Refusal | None:
        """Return the refusal of a request whose tokens cannot be obtained, if known."""
        code = self._find_refusal_code(account, tokens)
        if code is None:
            return None
        if code is ResultCode.BUDGET_UNREACHABLE:
            return self._refuse_unreachable(account, tokens, request_id)
        holding = self._book.get_holding(account)
        self._log.write(
            "budget: exhausted",
            request=request_id,
            account=account,
            tokens=tokens,
            reachable=self._count_reachable(account),
            left_in_store=self._book.count_available(account),
            free=holding.free,
            row_version=holding.version,
        )
        return Refusal(ResultCode.BUDGET_EXHAUSTED, is_not_run=True)

    def _count_reachable(self, account: str) -> int:
        """Return the tokens that this router and its peers have or will release."""
        expected = self._book.get_holding(account).expected_free
        return expected + self._peers.count_free(account)

    def _find_refusal_code(self, account: str, tokens: int) -> ResultCode | None:
        """Return why so many tokens cannot be obtained now, None if they may be."""
        reported = self._find_reported_code(account, tokens)
        if self._neighbourhood.rank_allocators(account):
            return reported
        reachable = self._count_reachable(account)
        if self._neighbourhood.is_large and reported is None:
            return None  # The allocators of other regions are asked first.
        if not self._is_store_current():
            if reachable >= tokens or not self._book.is_past_lease():
                return None
            return ResultCode.BUDGET_UNREACHABLE
        if reachable + max(0, self._book.count_available(account)) >= tokens:
            return None
        possible = self._book.count_possibly_available(account)
        if reachable + max(0, possible) >= tokens:
            # After a restore of the store it is not known yet what was granted.
            return ResultCode.BUDGET_UNREACHABLE
        return reported or ResultCode.BUDGET_EXHAUSTED

    def _find_reported_code(self, account: str, tokens: int) -> ResultCode | None:
        """Return the code of a current report that so many tokens are unavailable."""
        shortage = self._shortages.get(account)
        if (
            shortage is None
            or shortage.expires_at < self._book.now()
            or shortage.tokens > tokens
        ):
            return None
        return shortage.code

    def _record_shortage(self, account: str, tokens: int, code: ResultCode) -> None:
        """Remember for a while that so many tokens could not be obtained."""
        now = self._book.now()
        known = self._shortages.get(account)
        if known is not None and known.expires_at > now and known.code is code:
            tokens = min(tokens, known.tokens)
        self._shortages[account] = _ReportedShortage(
            tokens, code, now + SHORTAGE_LIFETIME_S
        )

    def _is_store_current(self) -> bool:
        """Whether the accounts' rows are known and the last transaction succeeded."""
        return self._keeper.has_loaded and self._keeper.is_in_step

    def _refuse_unreachable(
        self, account: str, tokens: int, request_id: str
    ) -> Refusal:
        """Return a refusal with a random retry delay, and log the reason."""
        holding = self._book.get_holding(account)
        self._log.write(
            "budget: unreachable",
            request=request_id,
            account=account,
            tokens=tokens,
            free=holding.free,
            spendable=self._book.count_spendable(account),
            peers_free=self._peers.count_free(account),
            past_lease=self._book.is_past_lease(),
            store_in_step=self._keeper.is_in_step,
            era=self._book.era,
            left_in_store=self._book.count_available(account),
            possibly_left=self._book.count_possibly_available(account),
        )
        return Refusal(
            ResultCode.BUDGET_UNREACHABLE,
            is_not_run=True,
            retry_after_s=self._random.uniform(*RETRY_AFTER_S),
        )

    def _renew_early(self, account: str) -> None:
        """Request a renewal if the largest recent request would not fit any more."""
        if self._neighbourhood.rank_allocators(account):
            return  # Tokens received from the allocator are not subject to the limit.
        holding = self._book.get_holding(account)
        if self._book.count_spendable(account) < holding.largest_request:
            self._keeper.request_renewal()

    def _start_obtaining(self, account: str) -> None:
        """Start the task that obtains tokens of an account, unless it is running."""
        if account in self._obtaining:
            return
        task = asyncio.create_task(self._obtain(account))
        self._obtaining[account] = task
        task.add_done_callback(lambda _: self._obtaining.pop(account, None))

    def _is_renewal_useful(self, account: str, need: int) -> bool:
        """Whether a renewal can yield tokens or a higher limit."""
        if not self._keeper.is_in_step:
            return False
        if self._book.get_holding(account).free >= need:
            return True
        if self._neighbourhood.rank_allocators(account):
            return False
        return self._book.count_acquirable(account) > 0

    async def _ask_peers(self, account: str, shortage: int, least: int) -> int:
        """Ask other routers for tokens; return how many arrived.

        In a large fleet a router asks the account's allocator for the shortage only.
        An allocator asks those of other regions for its own demand ahead, too.
        """
        demand_per_s = self._book.get_holding(account).demand_per_s
        if not self._neighbourhood.is_large:
            return await self._peers.request_tokens(account, shortage, demand_per_s)
        allocators = self._neighbourhood.rank_allocators(account)
        if allocators:
            return await self._ask_allocator(allocators[0], account, shortage, least)
        want = shortage + int(demand_per_s * OTHER_REGION_AHEAD_S)
        got = 0
        code = ResultCode.BUDGET_EXHAUSTED
        for other in self._neighbourhood.find_other_allocators(account):
            gift = await self._peers.request_from_banker(
                other, account, want - got, least, is_banked=False
            )
            got += gift.tokens if gift is not None else 0
            if got >= shortage:
                break
            if gift is None or gift.kept >= least:
                # The other region may have tokens that cannot be obtained now.
                code = ResultCode.BUDGET_UNREACHABLE
        if not got:
            self._record_shortage(account, least, code)
        return got

    async def _ask_allocator(
        self, allocator: Allocator, account: str, shortage: int, least: int
    ) -> int:
        """Ask the allocator of this region; mark it as suspect if it is silent."""
        gift = await self._peers.request_from_banker(
            allocator, account, shortage, least, is_banked=True
        )
        if gift is None:
            self._neighbourhood.suspect(allocator.host)
            return 0
        if gift.lack:
            self._record_shortage(account, least, ResultCode(gift.lack))
        return gift.tokens

    async def return_leftovers(self) -> None:
        """Return unused tokens to the allocators, until cancelled."""
        while True:
            await asyncio.sleep(RETURN_INTERVAL_S)
            for account in list(self._book.holdings):
                allocators = self._neighbourhood.rank_allocators(account)
                if not allocators or account in self._waiters:
                    continue
                tokens = self._book.transfer_all(account)
                if not tokens:
                    continue
                self._tasks.add(
                    task := asyncio.create_task(
                        self._return_tokens(allocators[0], account, tokens)
                    )
                )
                task.add_done_callback(self._tasks.discard)

    async def _return_tokens(
        self, allocator: Allocator, account: str, tokens: int
    ) -> None:
        """Transfer unused tokens to an allocator; unconfirmed ones may be lost."""
        if await self._peers.transfer_tokens(
            allocator.address, account, tokens, is_leftover=True
        ):
            return
        self._neighbourhood.suspect(allocator.host)
        self._log.write(
            "budget: return unconfirmed",
            account=account,
            peer=allocator.host,
            tokens=tokens,
        )

    def _can_others_supply(
        self, account: str, waiters: list[_Waiter], spendable: int
    ) -> bool:
        """Whether other routers may have enough tokens for the smallest request."""
        if self._neighbourhood.is_large:
            return True  # An allocator that has too few tokens refills.
        smallest = min(waiter.tokens for waiter in waiters)
        return spendable + self._peers.count_free(account) >= smallest

    def _fail_unsatisfiable(self, account: str) -> None:
        """Fail the waiters that need more tokens than can be obtained.

        In a small fleet the peers' free tokens are known from periodic messages only,
        and a peer that was just asked counts as empty, so waiters are left to time out.
        """
        if not self._neighbourhood.is_large:
            return
        for waiter in self._waiters.get(account, ()):
            if waiter.future.done():
                continue
            if self._find_refusal_code(account, waiter.tokens) is not None:
                waiter.future.set_result(0)

    async def _obtain(self, account: str) -> None:
        """Obtain tokens from the store or other routers while there are waiters."""
        while True:
            waiters = [w for w in self._waiters.get(account, ()) if not w.future.done()]
            if not waiters:
                return
            need = sum(waiter.tokens for waiter in waiters)
            spendable = max(0, self._book.count_spendable(account))
            shortage = need - spendable
            self._book.set_pending_demand(account, need)
            if self._is_renewal_useful(account, need):
                self._keeper.request_renewal()
                await asyncio.sleep(ASK_RETRY_S)
            elif shortage > 0 and self._can_others_supply(account, waiters, spendable):
                smallest = min(waiter.tokens for waiter in waiters)
                least = max(1, smallest - spendable)
                got = await self._ask_peers(account, shortage, least)
                self._fail_unsatisfiable(account)
                if not got:
                    await asyncio.sleep(ASK_RETRY_S)
            else:
                self._keeper.request_renewal()
                await asyncio.sleep(ASK_RETRY_S)
            self.serve_waiters()
            await asyncio.sleep(ASK_INTERVAL_S)
