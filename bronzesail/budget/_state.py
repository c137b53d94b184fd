"""State of one budget in a running router: its holder and the waiting requests."""

from __future__ import annotations

import asyncio

import attrs
from returns.result import Failure, Result, Success

from ..errors import Refusal, ResultCode
from ._grant import RecordState
from ._holder import Holder
from ._interfaces import BudgetStatus, Reservation, ReserveOrder

__all__ = ["FAULT_TEXT", "BudgetState", "Waiter", "refuse"]

# A grant is checked for a settlement at each multiple of this number of records; a
# grant with enough tokens would otherwise be checked by the periodic poll only.
SETTLE_CHECK_RECORDS = 64

# Retry-after time of a request that is refused because the budget is exhausted.
EXHAUSTED_RETRY_S = 30.0

# Retry-after time of a request that is refused because the row can't be read.
UNREACHABLE_RETRY_S = 5.0

FAULT_TEXT = (
    "the budget is disabled at this router after an internal error; "
    "see the router's log"
)


def refuse(code: ResultCode, detail: str, retry_after_s: float = 0.0) -> Refusal:
    """Return a refusal of a request that certainly did not run."""
    return Refusal(code, is_not_run=True, detail=detail, retry_after_s=retry_after_s)


@attrs.define(eq=False)
class Waiter:
    """Request that waits for tokens.

    Attributes
    ----------
    order : ReserveOrder
        Request and number of tokens.
    future : asyncio.Future
        Completed with the reservation or the refusal.
    since : float
        Monotonic time at which the wait began, in seconds.
    expires_at : float
        Monotonic time at which the request is refused at the latest, in seconds.
    """

    order: ReserveOrder
    future: asyncio.Future[Result[Reservation, Refusal]]
    since: float
    expires_at: float


@attrs.define(eq=False)
class BudgetState:
    """State of one budget at this router.

    Attributes
    ----------
    holder : Holder
        Grant and planned transactions.
    waiters : list of Waiter
        Waiting requests in the order of arrival.
    wake : asyncio.Event
        Set to run the budget's periodic work at once.
    changed : asyncio.Event
        Set, and replaced by a new event, after the grant may have changed.
    is_missing : bool
        Whether the last read found no row of the budget.
    is_standby : bool
        Whether tokens are kept granted without demand.
    is_registered : bool
        Whether an entry is kept in the row without demand, so that other holders can
        transfer tokens while the table service is unavailable.
    next_ask_at : float
        Monotonic time of the earliest next request to other holders, in seconds.
    gather_task : asyncio.Task or None
        Task that requests tokens from other holders.
    error : Exception or None
        Internal error that disabled the budget at this router.
    peers_exhausted_at : float
        Monotonic time at which the last round began in which every other holder
        answered that it has no tokens and expects none, in seconds; -1 before.
    store_failed_at : float
        Monotonic time of the last call of the table service if it failed, in seconds;
        -1 otherwise.
    """

    holder: Holder
    waiters: list[Waiter] = attrs.field(factory=list)
    wake: asyncio.Event = attrs.field(factory=asyncio.Event)
    changed: asyncio.Event = attrs.field(factory=asyncio.Event)
    is_missing: bool = False
    is_standby: bool = False
    is_registered: bool = False
    next_ask_at: float = 0.0
    gather_task: asyncio.Task[None] | None = None
    error: Exception | None = None
    peers_exhausted_at: float = -1.0
    store_failed_at: float = -1.0

    @property
    def waiting_tokens(self) -> int:
        """Tokens that the waiting requests ask for together."""
        return sum(waiter.order.amount_tokens for waiter in self.waiters)

    def is_low(self) -> bool:
        """Return whether the grant should be checked for a refill or a settlement."""
        grant = self.holder.grant
        if grant is None:
            return True
        if len(grant.records) % SETTLE_CHECK_RECORDS == 0:
            return True
        return grant.available_tokens < self.holder.low_water_tokens

    def count_missing_tokens(self) -> int:
        """Return the tokens that waiting requests need beyond those available."""
        grant = self.holder.grant
        available = grant.available_tokens if grant else 0
        return self.waiting_tokens - max(0, available)

    def fail(self, error: Exception) -> None:
        """Disable the budget and refuse the waiting requests."""
        self.error = error
        for waiter in list(self.waiters):
            if not waiter.future.done():
                self._finish(waiter, Failure(refuse(ResultCode.INTERNAL, FAULT_TEXT)))

    def note_change(self) -> None:
        """Wake the tasks that wait for a change of the grant."""
        self.changed.set()
        self.changed = asyncio.Event()

    def serve(self, now: float) -> None:
        """Reserve tokens for the waiting requests in order, or refuse them.

        A request that has to wait further blocks those behind it, so that small
        requests can't starve a large one.

        Parameters
        ----------
        now : float
            Monotonic time, in seconds.
        """
        is_blocked = False
        for waiter in list(self.waiters):
            if waiter.future.done():
                self.waiters.remove(waiter)
                continue
            reservation = None
            if not is_blocked:
                reservation = self.holder.reserve(waiter.order)
            if reservation is not None:
                self._finish(waiter, Success(reservation))
                continue
            refusal = self._find_refusal(waiter, now)
            if refusal is not None:
                self._finish(waiter, Failure(refusal))
                continue
            is_blocked = True

    def _finish(self, waiter: Waiter, result: Result[Reservation, Refusal]) -> None:
        self.waiters.remove(waiter)
        waiter.future.set_result(result)

    def _find_refusal(self, waiter: Waiter, now: float) -> Refusal | None:
        """Return a refusal if a request can't get tokens or has waited too long."""
        if self.is_missing:
            return refuse(ResultCode.UNKNOWN_BUDGET, "no such budget")
        row = self.holder.row
        is_fresh = row is not None and self.holder.row_read_at >= waiter.since
        if row is not None and is_fresh:
            left_tokens = row.prepaid_tokens - row.settled_tokens - row.held_tokens
            if left_tokens - self._count_unsettled() < waiter.order.amount_tokens:
                return self._refuse_exhausted()
            if self.peers_exhausted_at >= waiter.since and not self.has_open():
                return self._refuse_exhausted()
        if now < waiter.expires_at:
            return None
        if is_fresh:
            return self._refuse_exhausted()
        age_s = now - self.holder.row_read_at
        text = (
            "the table service is not responding; "
            f"the budget's row was last read {age_s:.0f} s ago"
        )
        return refuse(ResultCode.BUDGET_UNREACHABLE, text, UNREACHABLE_RETRY_S)

    def _count_unsettled(self) -> int:
        """Return the tokens used by closed records that are not settled."""
        grant = self.holder.grant
        if grant is None:
            return 0
        return sum(
            record.used_tokens
            for record in grant.records.values()
            if record.state is RecordState.CLOSED
        )

    def has_open(self) -> bool:
        """Return whether an unfinished reservation may still release tokens."""
        grant = self.holder.grant
        if grant is None:
            return False
        return any(
            record.state in (RecordState.RESERVED, RecordState.OPEN)
            for record in grant.records.values()
        )

    def _refuse_exhausted(self) -> Refusal:
        text = "the budget holds too few tokens"
        return refuse(ResultCode.BUDGET_EXHAUSTED, text, EXHAUSTED_RETRY_S)

    def read_status(self, now: float) -> BudgetStatus:
        """Return the state of the budget as last read by this router."""
        holder = self.holder
        row = holder.row
        grant = holder.grant
        reserved = 0
        if grant is not None:
            reserved = grant.committed_tokens - self._count_unsettled()
        return BudgetStatus(
            account=holder.account,
            budget=holder.budget,
            prepaid_tokens=row.prepaid_tokens if row else 0,
            settled_tokens=row.settled_tokens if row else 0,
            held_tokens=row.held_tokens if row else 0,
            granted_tokens=sum(g.amount_tokens for g in row.grants) if row else 0,
            own_grant_tokens=grant.entry.amount_tokens if grant else 0,
            own_reserved_tokens=reserved,
            row_age_s=now - holder.row_read_at,
        )
