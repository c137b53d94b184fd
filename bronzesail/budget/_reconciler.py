"""Reconciles a router's grants with the budget rows in the table service."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from ..storage import PlatformError
from ..util.invariants import InvariantError
from ._grant import RecordState
from ._ledger import make_digest
from ._plans import PlanContext
from ._rebalance import accept_journaled
from ._topology import choose_journal_peers, list_live_ids

if TYPE_CHECKING:
    import random

    from ..fleet import Membership
    from ..schema import RouterId
    from ..util.clock import Clock
    from ._history import BudgetHistory
    from ._holder import Holder
    from ._journal import JournalSender
    from ._plans import HolderPlan
    from ._rebalance import Rebalancer
    from ._recovery import Recovery
    from ._settings import BudgetSettings
    from ._state import BudgetState
    from ._store import BudgetStore

__all__ = ["GrantReconciler"]

# Transactions tried in one reconciliation pass before the account's lock is released.
MAX_TRANSACTIONS_PER_PASS = 8
# Passes, `store_retry_s` apart, after which a drain stops trying to return the grant.
MAX_DRAIN_ROUNDS = 20
# Lower bound, in seconds, of the wait for a waiter whose time to give up has passed.
MIN_WAIT_S = 0.001


class GrantReconciler:
    """Commits the transactions that holders plan and serves waiting requests.

    Parameters
    ----------
    store : BudgetStore
        Rows of budgets and ledgers.
    journal : JournalSender
        Sends records to journal peers.
    rebalancer : Rebalancer
        Requests tokens from the holders of other grants.
    recovery : Recovery
        Settles grants that other routers reclaimed, and holds.
    membership : Membership
        Live routers.
    clock : Clock
        Source of the time.
    random : random.Random
        Source of jitter.
    settings : BudgetSettings
        Settings of every budget.
    history : BudgetHistory
        Records events for the log and for `explain`.
    """

    def __init__(
        self,
        store: BudgetStore,
        journal: JournalSender,
        rebalancer: Rebalancer,
        recovery: Recovery,
        membership: Membership,
        clock: Clock,
        random: random.Random,
        settings: BudgetSettings,
        history: BudgetHistory,
    ) -> None:
        self._history = history
        self.is_draining = False
        self._store = store
        self._journal = journal
        self._rebalancer = rebalancer
        self._recovery = recovery
        self._membership = membership
        self._clock = clock
        self._random = random
        self._settings = settings
        self._locks: dict[str, asyncio.Lock] = {}

    async def run(self, state: BudgetState) -> None:
        """Reconcile one budget until cancelled.

        A pass starts when `state.wake` is set or after an interval. An unexpected
        exception stops the budget at this router.
        """
        while True:
            try:
                async with asyncio.timeout(self._choose_wait_s(state)):
                    await state.wake.wait()
            except TimeoutError:
                pass
            state.wake.clear()
            try:
                await self._run_once(state)
            except Exception as error:
                self._stop_budget(state, error)
                return

    async def synchronise(self, state: BudgetState) -> None:
        """Commit the holder's plans until it has none left.

        The passes of one client account are serialised, because its budgets share a
        ledger. A failed call of the table service ends the pass.
        """
        holder = state.holder
        try:
            async with self._locks.setdefault(holder.account, asyncio.Lock()):
                if self._needs_read(state):
                    state.is_missing = not await self._store.refresh(holder)
                for _ in range(MAX_TRANSACTIONS_PER_PASS):
                    plan = await self._make_plan(state)
                    if plan is None:
                        break
                    if self._is_row_outdated(holder):
                        await self._store.refresh(holder)
                        continue
                    await self._commit(state, plan)
                    state.serve(self._clock.monotonic())
                await self._settle_lost(holder)
        except PlatformError as error:
            self._store.note_failure()
            state.store_failed_at = self._clock.monotonic()
            self._history.note(
                holder.account,
                holder.budget,
                "the table service did not answer",
                error=str(error),
            )
            return
        self._store.note_success()
        state.store_failed_at = -1.0

    async def drain(self, state: BudgetState) -> None:
        """Settle the records of one budget and return its grant.

        Gives up after `MAX_DRAIN_ROUNDS` passes.
        """
        self.is_draining = True
        holder = state.holder
        for _ in range(MAX_DRAIN_ROUNDS):
            if (
                holder.grant is None
                and not holder.is_in_doubt
                and not holder.fenced_grants
            ):
                return
            holder.is_stale = True
            await self.synchronise(state)
            if holder.grant is not None:
                await asyncio.sleep(self._settings.store_retry_s)

    def choose_peers(self, holder: Holder) -> tuple[RouterId, ...]:
        """Return the routers that should hold the journal of a holder's grant."""
        own = self._membership.own.router_id
        placement_key = f"journal/{own.host}/{holder.account}/{holder.budget}"
        n_peers = self._settings.n_journal_peers
        return choose_journal_peers(self._membership, placement_key, n_peers)

    def _stop_budget(self, state: BudgetState, error: Exception) -> None:
        """Stop serving a budget at this router after an internal error."""
        holder = state.holder
        self._history.note(
            holder.account,
            holder.budget,
            "budget stopped after an internal fault",
            error=repr(error),
        )
        state.fail(error)

    def _choose_wait_s(self, state: BudgetState) -> float:
        """Return the time until the next pass, in seconds.

        With waiting requests it ends no later than the first of them expires. Without
        them it is `store_retry_s` after a failed call or an unknown outcome, else
        `poll_interval_s`, shortened at random by up to 20 %, so that routers do not
        poll in step.
        """
        if not state.waiters:
            is_urgent = state.holder.is_in_doubt or state.store_failed_at >= 0
            if is_urgent:
                return self._settings.store_retry_s
            jitter = 1.0 - 0.2 * self._random.random()
            return self._settings.poll_interval_s * jitter
        now = self._clock.monotonic()
        next_expiry = min(waiter.expires_at for waiter in state.waiters)
        wait_s = min(self._settings.ask_interval_s, next_expiry - now)
        return max(MIN_WAIT_S, wait_s)

    async def _run_once(self, state: BudgetState) -> None:
        """Make one pass: table, waiting requests, transfers and journal."""
        now = self._clock.monotonic()
        if self._store.can_call():
            await self.synchronise(state)
        state.serve(self._clock.monotonic())
        self._start_gathering(state)
        grant = state.holder.grant
        if grant is not None:
            accept_journaled(state)
            self._journal.resend_unacknowledged(state.holder, grant, now)
        state.note_change()

    def _start_gathering(self, state: BudgetState) -> None:
        """Request tokens from other holders if requests still wait.

        At most one round runs at a time, and rounds start at least `ask_interval_s`
        apart.
        """
        now = self._clock.monotonic()
        is_busy = state.gather_task is not None and not state.gather_task.done()
        if not state.waiters or is_busy or now < state.next_ask_at:
            return
        state.next_ask_at = now + self._settings.ask_interval_s
        loop = asyncio.get_running_loop()
        state.gather_task = loop.create_task(self._run_gathering(state))

    async def _run_gathering(self, state: BudgetState) -> None:
        """Run one round of token requests; a broken invariant stops the budget."""
        try:
            await self._rebalancer.gather(state)
        except InvariantError as error:
            self._stop_budget(state, error)

    def _needs_read(self, state: BudgetState) -> bool:
        """Tell whether the row must be read before the holder plans.

        This is so if the outcome of a transaction is unknown, if the row was marked
        stale, or if a request arrived after the last read.
        """
        holder = state.holder
        if holder.is_in_doubt or holder.is_stale:
            return True
        if holder.row is None:
            return bool(state.waiters) or state.is_registered
        return any(waiter.since > holder.row_read_at for waiter in state.waiters)

    def _is_row_outdated(self, holder: Holder) -> bool:
        """Tell whether the row was read too long ago to write without a conflict."""
        age_s = self._clock.monotonic() - holder.row_read_at
        return age_s > self._settings.row_fresh_s

    async def _make_plan(self, state: BudgetState) -> HolderPlan | None:
        """Return the holder's next transaction, or None if nothing is to be written."""
        holder = state.holder
        ledger = await self._store.load_ledger(holder.account)
        await self._store.look_up_digests(ledger, _list_closed_digests(holder))
        return holder.plan(
            PlanContext(
                now=self._clock.monotonic(),
                is_charged=lambda digest: self._store.is_charged(ledger, digest),
                free_page_lines=ledger.count_free_lines(),
                peers=self.choose_peers(holder),
                live_ids=list_live_ids(self._membership),
                waiting_tokens=state.waiting_tokens,
                is_standby=state.is_standby,
                is_registered=state.is_registered,
                jitter=self._random.random(),
                is_draining=self.is_draining,
            )
        )

    async def _commit(self, state: BudgetState, plan: HolderPlan) -> None:
        """Commit a plan and record what became of the grant.

        A holder that has no grant afterwards has returned it, or another router has
        reclaimed it.
        """
        holder = state.holder
        previous_grant = holder.grant
        is_committed = await self._store.commit(holder, plan)
        if previous_grant is not None and holder.grant is None:
            event = "grant lost"
            if plan.entry is None:
                self._journal.send_finished(previous_grant)
                event = "grant returned"
            self._history.note(
                holder.account,
                holder.budget,
                event,
                grant_id=previous_grant.entry.grant_id,
                n_charges=len(plan.charges),
            )
            return
        if is_committed and plan.entry is not None:
            self._history.note(
                holder.account,
                holder.budget,
                "grant written",
                grant_id=plan.entry.grant_id,
                amount_tokens=plan.entry.amount_tokens,
                n_charges=len(plan.charges),
            )

    async def _settle_lost(self, holder: Holder) -> None:
        """Settle grants reclaimed by other routers, and results that came after that.

        A result whose record is still in a grant is left to that grant's settlement.
        """
        for grant_id, grant in list(holder.fenced_grants.items()):
            if await self._recovery.settle_lost_grant(grant):
                del holder.fenced_grants[grant_id]
        for result in list(holder.late_results):
            if holder.has_record(result.grant_id, result.sequence):
                continue
            is_settled = await self._recovery.resolve_record(
                holder.account,
                holder.budget,
                result.grant_id,
                result.sequence,
                result.request_key,
                result.used_tokens,
            )
            is_current = holder.is_current(result.grant_id)
            if is_settled or is_current:
                holder.late_results.remove(result)


def _list_closed_digests(holder: Holder) -> list[bytes]:
    """Return the digests of the requests whose use is ready to be charged."""
    if holder.grant is None:
        return []
    return [
        make_digest(holder.account, record.order.request_key)
        for record in holder.grant.records.values()
        if record.state is RecordState.CLOSED and record.order is not None
    ]
