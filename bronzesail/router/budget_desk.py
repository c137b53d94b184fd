"""Reserves tokens for requests, and lets them wait for tokens on their way."""

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
    from .neighbourhood import Neighbourhood
    from .peers import Peers

__all__ = ["BudgetDesk"]

ASK_AGAIN_S = 0.15  # Peers tell what they hold every 0.4 s.
ASK_GAP_S = 0.02  # Between rounds that brought tokens in.
REFILL_S = 0.3  # Between looks at what is held ahead of demand in a large fleet.
REFILL_BELOW_S = 2.0  # Demand held ahead; a banker answers within milliseconds.
ASK_AFTER_S = 1.0  # After a banker gave nothing, before it is asked ahead again.
WANTED_S = 1.0  # For so long a banker tries to refill for another router.
EXHAUSTED_S = 0.5  # For so long a banker's word holds that nobody has tokens.
RETRY_AFTER_S = (1.0, 4.0)  # Drawn between; the store's absences last seconds.
MAX_WAIT_S = 2.5  # Tokens that have not come by then are not on their way.


@attrs.define
class _Waiter:
    tokens: int
    future: asyncio.Future[bool]


class BudgetDesk:
    """Hands out reservations.

    Parameters
    ----------
    book, keeper, peers, neighbourhood, log, generator
        The budgets, their keeper, the other routers and their roles, the log, random
        numbers.
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
        self._exhausted_until: dict[str, float] = {}
        self._wanted_until: dict[str, float] = {}
        self._asked_in_vain_at: dict[str, float] = {}

    async def reserve(
        self, account: str, tokens: int, max_wait_s: float, request_id: str
    ) -> Refusal | None:
        """Reserve tokens; return a refusal where they cannot be had in time."""
        is_first = not self._waiters.get(account)
        if is_first and self._book.try_reserve(account, tokens):
            self._renew_early(account)
            return None
        refusal = self._judge(account, tokens, request_id)
        if refusal is not None:
            return refusal
        future: asyncio.Future[bool] = asyncio.get_running_loop().create_future()
        waiter = _Waiter(tokens, future)
        self._waiters.setdefault(account, deque()).append(waiter)
        self._start_obtaining(account)
        try:
            async with asyncio.timeout(min(max_wait_s, MAX_WAIT_S)):
                await future
            return None
        except TimeoutError:
            if future.done() and not future.cancelled():
                return None  # The tokens came together with the time limit.
        finally:
            self._leave(account, waiter)
        refusal = self._judge(account, tokens, request_id)
        return refusal or self._refuse_unreachable(account, tokens, request_id)

    def serve_waiters(self) -> None:
        """Reserve for the requests that wait, in their order, where they fit."""
        for account, waiters in list(self._waiters.items()):
            for waiter in list(waiters):
                if waiter.future.done():
                    continue
                if self._book.try_reserve(account, waiter.tokens):
                    waiter.future.set_result(True)

    def _leave(self, account: str, waiter: _Waiter) -> None:
        waiters = self._waiters[account]
        if waiter in waiters:
            waiters.remove(waiter)
        if not waiters:
            del self._waiters[account]
            self._book.get_holding(account).wanted = 0
        is_granted = waiter.future.done() and not waiter.future.cancelled()
        if is_granted and asyncio.current_task() is not None:
            task = asyncio.current_task()
            assert task is not None
            if task.cancelling():
                # The caller left while its tokens arrived.
                self._book.settle(account, waiter.tokens, 0)

    def _judge(self, account: str, tokens: int, request_id: str) -> Refusal | None:
        """Return the refusal of a request that nobody has the tokens for."""
        holding = self._book.get_holding(account)
        reachable = holding.expected + self._peers.count_free(account)
        if self._neighbourhood.rank_bankers(account):
            if self._exhausted_until.get(account, 0.0) < self._book.now():
                return None
        elif not self._is_known():
            if reachable >= tokens or not self._book.is_past_lease():
                return None
            return self._refuse_unreachable(account, tokens, request_id)
        elif reachable + max(0, self._book.left_in_store(account)) >= tokens:
            return None
        self._log.write(
            "budget: exhausted",
            request=request_id,
            account=account,
            tokens=tokens,
            reachable=reachable,
            left_in_store=self._book.left_in_store(account),
            free=holding.free,
            row_version=holding.version,
        )
        return Refusal(ResultCode.BUDGET_EXHAUSTED, is_not_run=True)

    def _is_known(self) -> bool:
        """Whether the store's rows of accounts were seen a moment ago."""
        return self._keeper.has_loaded and self._keeper.is_in_step

    def _refuse_unreachable(
        self, account: str, tokens: int, request_id: str
    ) -> Refusal:
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
        )
        return Refusal(
            ResultCode.BUDGET_UNREACHABLE,
            is_not_run=True,
            retry_after_s=self._random.uniform(*RETRY_AFTER_S),
        )

    def _renew_early(self, account: str) -> None:
        holding = self._book.get_holding(account)
        if self._book.count_spendable(account) < holding.largest:
            self._keeper.request_renewal()

    def _start_obtaining(self, account: str) -> None:
        if account in self._obtaining:
            return
        task = asyncio.create_task(self._obtain(account))
        self._obtaining[account] = task
        task.add_done_callback(lambda _: self._obtaining.pop(account, None))

    def _is_worth_renewing(self, account: str, need: int) -> bool:
        """Whether the store can give tokens, or a higher limit."""
        if not self._keeper.is_in_step:
            return False
        if self._book.get_holding(account).free >= need:
            return True
        if self._neighbourhood.rank_bankers(account):
            return False
        return self._book.left_in_store(account) > 0

    async def _ask_peers(self, account: str, shortage: int) -> int:
        demand_per_s = self._book.get_holding(account).demand_per_s
        got, is_exhausted = await self._peers.obtain(account, shortage, demand_per_s)
        if is_exhausted:
            self._exhausted_until[account] = self._book.now() + EXHAUSTED_S
        return got

    def is_exhausted(self, account: str) -> bool:
        """Whether nobody has tokens of an account, as far as this router knows."""
        if not self._is_known() or self._neighbourhood.rank_bankers(account):
            return False
        holding = self._book.get_holding(account)
        reachable = max(0, holding.free) + self._peers.count_free(account)
        return reachable + max(0, self._book.left_in_store(account)) < holding.typical

    def note_shortage(self, account: str, tokens: int) -> None:
        """Refill for another router, whose banker this one is."""
        holding = self._book.get_holding(account)
        holding.wanted = max(holding.wanted, tokens)
        self._wanted_until[account] = self._book.now() + WANTED_S
        self._keeper.request_renewal()

    async def refill(self) -> None:
        """Ask bankers ahead of demand, until cancelled."""
        while True:
            await asyncio.sleep(REFILL_S)
            now = self._book.now()
            for account, holding in list(self._book.holdings.items()):
                if not self._neighbourhood.rank_bankers(account):
                    self._forget_shortage(account, now)
                elif self._needs_refill(account, now):
                    low = max(holding.demand_per_s * REFILL_BELOW_S, holding.typical)
                    if not await self._ask_peers(account, int(low)):
                        self._asked_in_vain_at[account] = now

    def _needs_refill(self, account: str, now: float) -> bool:
        holding = self._book.get_holding(account)
        if holding.demand_per_s < 1.0 or account in self._obtaining:
            return False
        if now - self._asked_in_vain_at.get(account, -ASK_AFTER_S) < ASK_AFTER_S:
            return False
        return holding.free < max(
            holding.demand_per_s * REFILL_BELOW_S, holding.typical
        )

    def _forget_shortage(self, account: str, now: float) -> None:
        """Want no more what another router asked for a while ago."""
        until = self._wanted_until.get(account)
        if until is None or now < until or account in self._waiters:
            return
        del self._wanted_until[account]
        self._book.get_holding(account).wanted = 0

    def _can_help(self, account: str, waiters: list[_Waiter], spendable: int) -> bool:
        """Whether what the peers hold is enough for the smallest request."""
        if self._neighbourhood.rank_bankers(account):
            return True  # The banker refills for what it cannot give.
        smallest = min(waiter.tokens for waiter in waiters)
        return spendable + self._peers.count_free(account) >= smallest

    async def _obtain(self, account: str) -> None:
        """Bring tokens in while requests wait for them."""
        while True:
            waiters = [w for w in self._waiters.get(account, ()) if not w.future.done()]
            if not waiters:
                return
            need = sum(waiter.tokens for waiter in waiters)
            holding = self._book.get_holding(account)
            spendable = max(0, self._book.count_spendable(account))
            shortage = need - spendable
            holding.wanted = need
            if self._is_worth_renewing(account, need):
                self._keeper.request_renewal()
                await asyncio.sleep(ASK_AGAIN_S)
            elif shortage > 0 and self._can_help(account, waiters, spendable):
                got = await self._ask_peers(account, shortage)
                if not got:
                    await asyncio.sleep(ASK_AGAIN_S)
            else:
                self._keeper.request_renewal()
                await asyncio.sleep(ASK_AGAIN_S)
            self.serve_waiters()
            await asyncio.sleep(ASK_GAP_S)
