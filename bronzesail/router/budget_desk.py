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
    from .neighbourhood import Banker, Neighbourhood
    from .peers import Peers, TokenRequest

__all__ = ["BudgetDesk"]

ASK_AGAIN_S = 0.15  # Peers tell what they hold every 0.4 s.
ASK_GAP_S = 0.02  # Between rounds that brought tokens in.
FROM_REGION_S = 2.0  # Demand that is asked for ahead of another region's banker.
LEFTOVER_S = 0.3  # Between returns of what requests did not use, in a large fleet.
ASK_HOLD_S = 0.3  # A banker refills within 0.1 s; the asker waits 0.4 s for an answer.
EXHAUSTED_S = 0.5  # For so long another router's word holds that it has no tokens.
RETRY_AFTER_S = (1.0, 4.0)  # Drawn between; the store's absences last seconds.
MAX_WAIT_S = 2.5  # Tokens that have not come by then are not on their way.


@attrs.define
class _Waiter:
    """A request that waits for tokens, or a router whose banker this one is."""

    tokens: int  # The least that helps.
    future: asyncio.Future[int]
    want: int = 0  # The most that a router asks for; 0 for a request.


@attrs.frozen
class _Told:
    """What others said of an account: why as many tokens cannot be had now."""

    tokens: int
    code: ResultCode
    until: float


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
        self._tasks: set[asyncio.Task[None]] = set()
        self._told: dict[str, _Told] = {}

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
        if await self._wait(account, tokens, min(max_wait_s, MAX_WAIT_S)):
            return None
        refusal = self._judge(account, tokens, request_id)
        return refusal or self._refuse_unreachable(account, tokens, request_id)

    async def serve_ask(self, ask: TokenRequest) -> tuple[int, ResultCode | None]:
        """Pass tokens on as a banker, or say why as many cannot be had.

        Routers that ask and requests of this host wait in the same line.
        """
        account, least = ask.account, ask.least
        if not self._waiters.get(account):
            given = self._book.serve(account, ask.want, least)
            if given:
                self._renew_early(account)
                return given, None
        lack = self._find_lack(account, least)
        if lack is not None:
            return 0, lack
        given = await self._wait(account, least, ASK_HOLD_S, ask.want)
        return given, None if given else self._find_lack(account, least)

    async def _wait(
        self, account: str, tokens: int, wait_s: float, want: int = 0
    ) -> int:
        """Wait for tokens on their way; return how many were had."""
        future: asyncio.Future[int] = asyncio.get_running_loop().create_future()
        waiter = _Waiter(tokens, future, want)
        self._waiters.setdefault(account, deque()).append(waiter)
        self._start_obtaining(account)
        try:
            async with asyncio.timeout(wait_s):
                return await future
        except TimeoutError:
            # The tokens may have come together with the time limit.
            return 0 if future.cancelled() or not future.done() else future.result()
        finally:
            self._leave(account, waiter)

    def serve_waiters(self) -> None:
        """Reserve for the requests that wait, in their order, where they fit."""
        for account, waiters in list(self._waiters.items()):
            for waiter in list(waiters):
                if waiter.future.done():
                    continue
                if waiter.want:
                    taken = self._book.serve(account, waiter.want, waiter.tokens)
                else:
                    is_reserved = self._book.try_reserve(account, waiter.tokens)
                    taken = waiter.tokens if is_reserved else 0
                if taken:
                    waiter.future.set_result(taken)

    def _leave(self, account: str, waiter: _Waiter) -> None:
        waiters = self._waiters[account]
        if waiter in waiters:
            waiters.remove(waiter)
        future = waiter.future
        is_granted = future.done() and not future.cancelled() and future.result() > 0
        if not waiters:
            del self._waiters[account]
            if is_granted:
                self._book.want(account, 0)
        task = asyncio.current_task()
        if is_granted and not waiter.want and task is not None and task.cancelling():
            # The caller left while its tokens arrived.
            self._book.settle(account, waiter.tokens, 0)

    def _judge(self, account: str, tokens: int, request_id: str) -> Refusal | None:
        """Return the refusal of a request that nobody has the tokens for."""
        code = self._find_lack(account, tokens)
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
            left_in_store=self._book.left_in_store(account),
            free=holding.free,
            row_version=holding.version,
        )
        return Refusal(ResultCode.BUDGET_EXHAUSTED, is_not_run=True)

    def _count_reachable(self, account: str) -> int:
        expected = self._book.get_holding(account).expected
        return expected + self._peers.count_free(account)

    def _find_lack(self, account: str, tokens: int) -> ResultCode | None:
        """Say why as many tokens cannot be had now, None if they may be."""
        told = self._find_told(account, tokens)
        if self._neighbourhood.rank_bankers(account):
            return told
        reachable = self._count_reachable(account)
        if self._neighbourhood.is_large and told is None:
            return None  # Bankers of other regions are asked first.
        if not self._is_known():
            if reachable >= tokens or not self._book.is_past_lease():
                return None
            return ResultCode.BUDGET_UNREACHABLE
        if reachable + max(0, self._book.left_in_store(account)) >= tokens:
            return None
        return told or ResultCode.BUDGET_EXHAUSTED

    def _find_told(self, account: str, tokens: int) -> ResultCode | None:
        """Return what others said a moment ago of as many tokens."""
        told = self._told.get(account)
        if told is None or told.until < self._book.now() or told.tokens > tokens:
            return None
        return told.code

    def _note_told(self, account: str, tokens: int, code: ResultCode) -> None:
        now = self._book.now()
        known = self._told.get(account)
        if known is not None and known.until > now and known.code is code:
            tokens = min(tokens, known.tokens)
        self._told[account] = _Told(tokens, code, now + EXHAUSTED_S)

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
        if self._neighbourhood.rank_bankers(account):
            return  # Tokens that come from the banker are not under a limit.
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

    async def _ask_peers(self, account: str, shortage: int, least: int) -> int:
        """Ask for tokens; return how many came.

        In a large fleet a router asks the account's banker for what its requests need,
        and bankers ask those of other regions.
        """
        demand_per_s = self._book.get_holding(account).demand_per_s
        if not self._neighbourhood.is_large:
            return await self._peers.request_tokens(account, shortage, demand_per_s)
        bankers = self._neighbourhood.rank_bankers(account)
        if bankers:
            return await self._ask_banker(bankers[0], account, shortage, least)
        want = shortage + int(demand_per_s * FROM_REGION_S)
        got = 0
        code = ResultCode.BUDGET_EXHAUSTED
        for other in self._neighbourhood.find_other_bankers(account):
            gift = await self._peers.request_from_banker(
                other, account, want - got, least, is_banked=False
            )
            got += gift.tokens if gift is not None else 0
            if got >= shortage:
                break
            if gift is None or gift.kept >= least:
                code = ResultCode.BUDGET_UNREACHABLE
        if not got:
            self._note_told(account, least, code)
        return got

    async def _ask_banker(
        self, banker: Banker, account: str, shortage: int, least: int
    ) -> int:
        gift = await self._peers.request_from_banker(
            banker, account, shortage, least, is_banked=True
        )
        if gift is None:
            self._neighbourhood.suspect(banker.host)
            return 0
        if gift.lack:
            self._note_told(account, least, ResultCode(gift.lack))
        return gift.tokens

    async def return_leftovers(self) -> None:
        """Return what requests did not use to the bankers, until cancelled."""
        while True:
            await asyncio.sleep(LEFTOVER_S)
            for account in list(self._book.holdings):
                bankers = self._neighbourhood.rank_bankers(account)
                if not bankers or account in self._waiters:
                    continue
                tokens = self._book.take_all(account)
                if not tokens:
                    continue
                self._tasks.add(
                    task := asyncio.create_task(
                        self._return_tokens(bankers[0], account, tokens)
                    )
                )
                task.add_done_callback(self._tasks.discard)

    async def _return_tokens(self, banker: Banker, account: str, tokens: int) -> None:
        if await self._peers.transfer_tokens(
            banker.address, account, tokens, is_leftover=True
        ):
            return
        self._neighbourhood.suspect(banker.host)
        self._log.write(
            "budget: return unconfirmed",
            account=account,
            peer=banker.host,
            tokens=tokens,
        )

    def _can_help(self, account: str, waiters: list[_Waiter], spendable: int) -> bool:
        """Whether what the peers hold is enough for the smallest request."""
        if self._neighbourhood.is_large:
            return True  # A banker refills for what it cannot give.
        smallest = min(waiter.tokens for waiter in waiters)
        return spendable + self._peers.count_free(account) >= smallest

    def _end_hopeless(self, account: str) -> None:
        """End the wait of those that need more than anybody has.

        In a small fleet what peers hold is known from their news only, and what was
        just asked for is missing there.
        """
        if not self._neighbourhood.is_large:
            return
        for waiter in self._waiters.get(account, ()):
            if waiter.future.done():
                continue
            if self._find_lack(account, waiter.tokens) is not None:
                waiter.future.set_result(0)

    async def _obtain(self, account: str) -> None:
        """Bring tokens in while requests wait for them."""
        while True:
            waiters = [w for w in self._waiters.get(account, ()) if not w.future.done()]
            if not waiters:
                return
            need = sum(waiter.tokens for waiter in waiters)
            spendable = max(0, self._book.count_spendable(account))
            shortage = need - spendable
            self._book.want(account, need)
            if self._is_worth_renewing(account, need):
                self._keeper.request_renewal()
                await asyncio.sleep(ASK_AGAIN_S)
            elif shortage > 0 and self._can_help(account, waiters, spendable):
                smallest = min(waiter.tokens for waiter in waiters)
                least = max(1, smallest - spendable)
                got = await self._ask_peers(account, shortage, least)
                self._end_hopeless(account)
                if not got:
                    await asyncio.sleep(ASK_AGAIN_S)
            else:
                self._keeper.request_renewal()
                await asyncio.sleep(ASK_AGAIN_S)
            self.serve_waiters()
            await asyncio.sleep(ASK_GAP_S)
