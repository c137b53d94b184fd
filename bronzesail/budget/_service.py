"""Budget service of one router: the asyncio layer around the holders' logic.

A holder is a router that has a grant of a budget; class `Holder` keeps the grant's
state and plans its transactions, without input or output.
"""

from __future__ import annotations

import asyncio
import itertools
from typing import TYPE_CHECKING, Any

from returns.result import Failure, Result, Success

from ..errors import Refusal, ResultCode
from ..explain import Decision
from ..schema import (
    FenceRequest,
    JournalAppend,
    JournalRecord,
    RouterId,
    TransferAsk,
    TransferOffer,
)
from ._grant import RecordState
from ._history import BudgetHistory
from ._holder import Holder
from ._interfaces import (
    BudgetStatus,
    DispatchRecord,
    Reservation,
    ReserveOrder,
    UsageSource,
)
from ._journal import JournalSender
from ._peer import JournalPeer
from ._rebalance import Rebalancer
from ._reconciler import GrantReconciler
from ._recovery import Recovery
from ._scanner import Scanner
from ._settings import BudgetSettings, choose_preference
from ._state import FAULT_TEXT, BudgetState, Waiter, refuse
from ._store import BudgetStore, StoreStatistics
from ._topology import find_rank

if TYPE_CHECKING:
    import random

    from ..configuration import Configuration, ConfigurationView
    from ..explain import DecisionLog
    from ..fleet import Membership, PeerNetwork
    from ..schema import BudgetRow
    from ..storage import Table
    from ..util.clock import Clock

__all__ = ["BudgetService"]

# Longest wait, in seconds, of a dispatch until its grant's row names journal peers. If
# it names none by then, the dispatch is refused, as it cannot be acknowledged.
MAX_JOURNAL_PEER_WAIT_S = 2.0
# Interval, in seconds, at which a drain checks for copies of other routers' records.
DRAIN_POLL_INTERVAL_S = 0.1


class BudgetService:
    """Prepaid budgets as a router's request path uses them.

    Parameters
    ----------
    table : Table
        The platform's table service.
    network : PeerNetwork
        Messages between routers.
    membership : Membership
        Live routers.
    configuration : ConfigurationView
        Configuration in force.
    usage : UsageSource
        Queries backend servers for the tokens a request used.
    clock : Clock
        Source of the time.
    random : random.Random
        Source of jitter.
    decisions : DecisionLog
        Records decisions for `explain`.
    settings : BudgetSettings
        Settings of every budget.
    """

    def __init__(
        self,
        table: Table,
        network: PeerNetwork,
        membership: Membership,
        configuration: ConfigurationView,
        usage: UsageSource,
        clock: Clock,
        random: random.Random,
        decisions: DecisionLog,
        settings: BudgetSettings,
    ) -> None:
        own = membership.own.router_id
        self.store = BudgetStore(table, clock, settings)
        self.peer = JournalPeer()
        self._journal = JournalSender(network, settings)
        history = BudgetHistory(decisions, clock)
        self._rebalancer = Rebalancer(
            network, membership, self._journal, clock, settings, history
        )
        recovery = Recovery(
            self.store, network, self.peer, own, usage, settings, history
        )
        self._reconciler = GrantReconciler(
            self.store,
            self._journal,
            self._rebalancer,
            recovery,
            membership,
            clock,
            random,
            settings,
            history,
        )
        self._scanner = Scanner(
            self.store, recovery, membership, self, clock, random, settings
        )
        self._membership = membership
        self._configuration = configuration
        self._clock = clock
        self._decisions = decisions
        self._settings = settings
        self._states: dict[tuple[str, str], BudgetState] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        self._grant_numbers = itertools.count(1)
        self._is_draining = False
        network.register(JournalAppend, self._handle_append)
        network.register(FenceRequest, self._handle_fence)
        network.register(TransferAsk, self._handle_transfer_ask)
        membership.subscribe(self._scanner.wake)
        configuration.subscribe(self._apply_preference)

    @property
    def errors(self) -> tuple[Exception, ...]:
        """Internal errors that stopped a budget at this router or occurred in scans."""
        states = self._states.values()
        budget_errors = [state.error for state in states if state.error is not None]
        return (*budget_errors, *self._scanner.errors)

    @property
    def statistics(self) -> StoreStatistics:
        """Counts of the calls to the table service."""
        return self.store.statistics

    # The request path.

    async def reserve(self, order: ReserveOrder) -> Result[Reservation, Refusal]:
        """Reserve tokens for a request, waiting for a refill if necessary.

        The wait ends at the deadline or after the `max_wait_s` of the deployment's
        preference, which trades fewer refusals against fewer tokens bound in grants.
        Requests that wait already are served first.

        Parameters
        ----------
        order : ReserveOrder
            Request and number of tokens.

        Returns
        -------
        Result of Reservation or Refusal
            The reservation, or a refusal that certifies that the request did not run.
        """
        if self._is_draining:
            return Failure(refuse(ResultCode.DRAINING, "the router is shutting down"))
        if order.amount_tokens < 0:
            return Failure(
                refuse(
                    ResultCode.BAD_TOKEN_LIMIT,
                    "the tokens of a reservation must not be negative",
                )
            )
        state = self._get_or_create_state(order.account, order.budget)
        if state.error is not None:
            return Failure(refuse(ResultCode.INTERNAL, FAULT_TEXT))
        now = self._clock.monotonic()
        state.holder.demand.note(order.amount_tokens, now)
        if not state.waiters:
            reservation = state.holder.reserve(order)
            if reservation is not None:
                if state.is_low():
                    state.wake.set()
                self._explain(reservation, "reserved without waiting")
                return Success(reservation)
        result = await self._wait_for_tokens(state, order, now)
        if isinstance(result, Success):
            self._explain(result.unwrap(), "reserved after waiting for tokens")
        return result

    async def open(
        self, reservation: Reservation, backend_server: str
    ) -> Result[None, Refusal]:
        """Record a dispatch at a journal peer before any byte is sent to the server.

        Parameters
        ----------
        reservation : Reservation
            The reservation.
        backend_server : str
            Name of the backend server that will run the request.

        Returns
        -------
        Result of None or Refusal
            Success once a journal peer named in the grant's row has acknowledged, or
            without an acknowledgement if the settings require none.
        """
        state = self._get_or_create_state(
            reservation.order.account, reservation.order.budget
        )
        await self._wait_for_peers(state, reservation)
        grant = state.holder.grant
        record = state.holder.find_record(reservation)
        if grant is None or record is None:
            return Failure(refuse(ResultCode.GRANT_FENCED, "the grant was reclaimed"))
        grant.open(reservation.sequence, backend_server)
        is_acked = await self._journal.write(state.holder, grant, record)
        if not is_acked and self._settings.requires_journal:
            text = "no journal peer acknowledged the dispatch"
            return Failure(refuse(ResultCode.JOURNAL_UNREACHABLE, text, 1.0))
        if state.holder.find_record(reservation) is None:
            return Failure(refuse(ResultCode.GRANT_FENCED, "the grant was reclaimed"))
        self._explain(reservation, f"dispatch to {backend_server} allowed")
        return Success(None)

    def close(self, reservation: Reservation, used_tokens: int) -> None:
        """Charge the tokens used and return the unused ones; idempotent.

        Parameters
        ----------
        reservation : Reservation
            The reservation.
        used_tokens : int
            Tokens used; 0 if nothing ran.
        """
        state = self._get_or_create_state(
            reservation.order.account, reservation.order.budget
        )
        now = self._clock.monotonic()
        record = state.holder.close(reservation, used_tokens, now)
        grant = state.holder.grant
        if record is not None and grant is not None:
            self._journal.write_later(state.holder, grant, record)
        self._explain(reservation, f"closed with {used_tokens} tokens used")
        if state.waiters:
            state.serve(now)
            state.wake.set()

    def keep_open(self, reservation: Reservation, reason: str) -> None:
        """Keep a reservation's tokens until the outcome of its dispatch is known.

        They are neither charged nor free for other requests; when the grant's record is
        settled before that, they become a hold in the budget's row.

        Parameters
        ----------
        reservation : Reservation
            The reservation.
        reason : str
            Reason, shown to operators.
        """
        state = self._get_or_create_state(
            reservation.order.account, reservation.order.budget
        )
        now = self._clock.monotonic()
        grant = state.holder.grant
        if grant is None or state.holder.find_record(reservation) is None:
            return
        grant.keep_open(reservation.sequence, reason, now)
        self._explain(reservation, f"outcome unknown, tokens held: {reason}")

    def find_dispatch(self, account: str, request_key: str) -> DispatchRecord | None:
        """Return the record of a request from this router's grants and journal copies.

        Parameters
        ----------
        account : str
            Client account.
        request_key : str
            Key of the request.

        Returns
        -------
        DispatchRecord or None
            The record, if this router has one.
        """
        own = self._find_own_record(account, request_key)
        if own is not None:
            return own
        copy = self.peer.find(account, request_key)
        return _make_dispatch_record(account, copy) if copy is not None else None

    def list_status(self) -> tuple[BudgetStatus, ...]:
        """Return the state of each budget of which this router holds a grant."""
        now = self._clock.monotonic()
        return tuple(
            state.read_status(now)
            for state in self._states.values()
            if state.holder.grant is not None
        )

    # Start, drain and stop.

    async def start(self) -> None:
        """Apply the deployment's preference and start the scan of the budgets' rows."""
        self._apply_preference(self._configuration.current)
        self._spawn(self._scanner.run())

    async def drain(self) -> None:
        """Settle every record and return every grant.

        A reservation that was not dispatched is dropped. The tokens of a dispatched
        request that has not ended are held until its outcome is known.
        """
        self._is_draining = True
        now = self._clock.monotonic()
        for state in self._states.values():
            state.serve(now)
            grant = state.holder.grant
            if grant is None:
                continue
            for record in list(grant.records.values()):
                if record.state is RecordState.OPEN:
                    grant.keep_open(record.sequence, "router drained", now)
                if record.state is RecordState.RESERVED:
                    grant.drop(record.sequence)
        for state in list(self._states.values()):
            await self._reconciler.drain(state)
        await self._wait_until_copies_dropped()

    async def _wait_until_copies_dropped(self) -> None:
        """Wait until other routers no longer need the journal copies kept here.

        They replace this journal peer or settle the records; waits `drain_journal_s` at
        most.
        """
        for _ in range(round(self._settings.drain_journal_s / DRAIN_POLL_INTERVAL_S)):
            if not self.peer.list_grants():
                return
            await asyncio.sleep(DRAIN_POLL_INTERVAL_S)

    async def stop(self) -> None:
        """Cancel every task of the budgets, without settling records."""
        gather_tasks = [state.gather_task for state in self._states.values()]
        tasks = [*self._tasks, *(task for task in gather_tasks if task is not None)]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        await self._journal.stop()

    # State of one budget and waiting requests.

    def _get_or_create_state(self, account: str, budget: str) -> BudgetState:
        """Return the state of a budget.

        If there is none yet, it is created, and a task is started that reconciles its
        grant with the budget's row.
        """
        state = self._states.get((account, budget))
        if state is not None:
            return state
        holder = Holder(
            account,
            budget,
            self._membership.own.router_id,
            self._settings,
            choose_preference(self._configuration.current.deployment.preference),
            self._grant_numbers,
        )
        state = BudgetState(holder)
        self._states[(account, budget)] = state
        self._spawn(self._reconciler.run(state))
        return state

    async def _wait_for_tokens(
        self, state: BudgetState, order: ReserveOrder, now: float
    ) -> Result[Reservation, Refusal]:
        """Queue a request until it gets tokens or is refused."""
        future = asyncio.get_running_loop().create_future()
        wait_limit = now + state.holder.preference.max_wait_s
        waiter = Waiter(order, future, now, min(order.deadline, wait_limit))
        state.waiters.append(waiter)
        state.wake.set()
        try:
            return await waiter.future
        except asyncio.CancelledError:
            self._cancel_wait(state, waiter)
            raise

    def _cancel_wait(self, state: BudgetState, waiter: Waiter) -> None:
        """Remove a cancelled waiter and return tokens already reserved for it."""
        if waiter in state.waiters:
            state.waiters.remove(waiter)
        future = waiter.future
        if not future.done() or future.cancelled():
            return
        result = future.result()
        if isinstance(result, Success):
            self.close(result.unwrap(), 0)

    async def _wait_for_peers(
        self, state: BudgetState, reservation: Reservation
    ) -> None:
        """Wait until the row names journal peers, before the first dispatch.

        Ends at the request's deadline, after `MAX_JOURNAL_PEER_WAIT_S`, or if no live
        router can be a journal peer.
        """
        if not self._settings.requires_journal:
            return
        wait_until = min(
            reservation.order.deadline,
            self._clock.monotonic() + MAX_JOURNAL_PEER_WAIT_S,
        )
        while True:
            grant = state.holder.grant
            if grant is None or grant.entry.journal_peers:
                return
            left_s = wait_until - self._clock.monotonic()
            if left_s <= 0 or not self._reconciler.choose_peers(state.holder):
                return
            state.wake.set()
            try:
                async with asyncio.timeout(left_s):
                    await state.changed.wait()
            except TimeoutError:
                return

    # Callback of the scanner.

    def observe_budget(self, row: BudgetRow) -> None:
        """Decide from a budget's row whether this router keeps an entry in it.

        By rendezvous hashing, the first `registered_routers` routers of a region are
        registered: they keep an entry in the row without demand, so that tokens can be
        transferred while the table service is unavailable. The first of them also keeps
        standby tokens, which are granted without demand. A router that is not
        registered processes the row only if it has an entry.

        Parameters
        ----------
        row : BudgetRow
            Content of the row.
        """
        if self._is_draining:
            return
        name = f"budget/{row.account}/{row.budget}"
        rank = find_rank(self._membership, name, is_regional=True)
        is_registered = rank < self._settings.registered_routers
        own = self._membership.own.router_id
        has_entry = any(entry.holder == own for entry in row.grants)
        if not is_registered and not has_entry:
            return
        state = self._get_or_create_state(row.account, row.budget)
        state.is_registered = is_registered
        state.is_standby = rank == 0
        if state.holder.grant is None:
            state.wake.set()

    # Messages from other routers.

    async def _handle_append(self, sender: RouterId, message: Any) -> Any:
        """Store journal records of another router."""
        return self.peer.append(sender, message)

    async def _handle_transfer_ask(self, sender: RouterId, message: Any) -> Any:
        """Answer a request for tokens; an offer without a grant id offers none."""
        state = self._states.get((message.account, message.budget))
        if state is None or self._is_draining:
            return TransferOffer("")
        return await self._rebalancer.answer(state, sender, message)

    async def _handle_fence(self, sender: RouterId, message: Any) -> Any:
        """Fence a grant for a router that reclaims it."""
        return self.peer.fence(message)

    # Records, preferences and tasks.

    def _find_own_record(self, account: str, request_key: str) -> DispatchRecord | None:
        """Return the dispatch of a request from this router's own grants.

        Its `used_tokens` is -1 while the use is unknown.
        """
        for (owner, _), state in self._states.items():
            grant = state.holder.grant
            if owner != account or grant is None:
                continue
            for record in grant.records.values():
                order = record.order
                if order is None or order.request_key != request_key:
                    continue
                if record.attempt == 0:
                    # The request was not dispatched yet.
                    continue
                is_closed = record.state is RecordState.CLOSED
                return DispatchRecord(
                    account=account,
                    request_key=request_key,
                    service=order.service,
                    backend_server=record.backend_server,
                    amount_tokens=record.amount_tokens,
                    used_tokens=record.used_tokens if is_closed else -1,
                )
        return None

    def _apply_preference(self, configuration: Configuration) -> None:
        """Pass the deployment's preference to every holder."""
        preference = choose_preference(configuration.deployment.preference)
        for state in self._states.values():
            state.holder.preference = preference

    def _explain(self, reservation: Reservation, text: str) -> None:
        """Record a decision about a request for `explain`."""
        order = reservation.order
        subject = f"request/{order.account}/{order.request_key}"
        detail = f"{text} (grant {reservation.grant_id}, record {reservation.sequence})"
        self._decisions.add(subject, Decision(self._clock.wall(), "budget", detail))

    def _spawn(self, work: Any) -> None:
        """Start a task and keep a reference to it until it ends."""
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)


def _make_dispatch_record(account: str, record: JournalRecord) -> DispatchRecord:
    """Return the dispatch that a journal record describes."""
    return DispatchRecord(
        account=account,
        request_key=record.request_key,
        service=record.service,
        backend_server=record.backend_server,
        amount_tokens=record.amount_tokens,
        used_tokens=record.used_tokens,
    )
