"""State of one budget at one router, without input or output.

The holder plans each transaction on the budget's row and applies its outcome once
the row is read again. The caller sends the transactions and reads the row.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from ..schema import BudgetRow, GrantEntry, RouterId
from ..util.invariants import check_invariant
from ._demand import Demand, GrantSizing, choose_grant_tokens
from ._escrow import (
    check_row,
    count_free_tokens,
    find_grant,
    put_grant,
    remove_grant,
    require_grant,
)
from ._grant import Grant, GrantRecord, RecordState
from ._plans import HolderPlan, LateResult, PlanContext
from ._settlement import Settlement

if TYPE_CHECKING:
    from collections.abc import Iterator

    from ._interfaces import Reservation, ReserveOrder
    from ._settings import BudgetSettings, PreferenceSettings

__all__ = ["Holder"]


class Holder:
    """Grant of one budget at one router, and the transactions on the budget's row.

    Parameters
    ----------
    account : str
        Client account.
    budget : str
        Name of the budget.
    own : RouterId
        Identity of this router.
    settings : BudgetSettings
        Settings of every budget.
    preference : PreferenceSettings
        Settings chosen by the deployment's preference; may be replaced at any time.
    grant_numbers : iterator of int
        Numbers for new grants, shared by all budgets of the router so that each
        grant's identity is unique.

    Attributes
    ----------
    row : BudgetRow or None
        Row that was read or committed last.
    row_version : int
        Its version.
    row_read_at : float
        Monotonic time at which the row was read or committed, in seconds.
    is_stale : bool
        Whether the row must be read again before the next plan.
    low_water_tokens : int
        Available tokens below which the grant is refilled.
    grant : Grant or None
        Grant that the router holds.
    demand : Demand
        Smoothed demand at this router.
    fenced_grants : dict of str to Grant
        Grants that other routers reclaimed while they had unsettled records, or whose
        reclaim has begun, by identity.
    late_results : list of LateResult
        Outcomes of records that a grant in use can no longer settle.
    """

    def __init__(
        self,
        account: str,
        budget: str,
        own: RouterId,
        settings: BudgetSettings,
        preference: PreferenceSettings,
        grant_numbers: Iterator[int],
    ) -> None:
        self.account = account
        self.budget = budget
        self.own = own
        self.preference = preference
        self.row: BudgetRow | None = None
        self.row_version = 0
        self.row_read_at = 0.0
        self.is_stale = False
        self.low_water_tokens = 0
        self.grant: Grant | None = None
        self.demand = Demand(settings.demand_window_s)
        self.fenced_grants: dict[str, Grant] = {}
        self.late_results: list[LateResult] = []
        self._settings = settings
        self._sent: list[HolderPlan] = []
        self._grant_numbers = grant_numbers
        self._n_writes = 0

    # Requests.

    def reserve(self, order: ReserveOrder) -> Reservation | None:
        """Reserve tokens if the grant has that many available."""
        if self.grant is None:
            return None
        return self.grant.reserve(order)

    def find_record(self, reservation: Reservation) -> GrantRecord | None:
        """Return the record of a reservation, or None if its grant is not in use."""
        grant = self.grant
        if grant is None or grant.entry.grant_id != reservation.grant_id:
            return None
        return grant.records.get(reservation.sequence)

    def is_current(self, grant_id: str) -> bool:
        """Return whether a grant is the one in use."""
        return self.grant is not None and self.grant.entry.grant_id == grant_id

    def has_record(self, grant_id: str, sequence: int) -> bool:
        """Return whether this router still has to settle a record."""
        if grant_id in self.fenced_grants:
            return True
        if self.grant is None or not self.is_current(grant_id):
            return False
        return sequence in self.grant.records

    def close(
        self, reservation: Reservation, used_tokens: int, now: float
    ) -> GrantRecord | None:
        """Close a reservation and return the record to journal, if there is one.

        If the grant was reclaimed or the record is being settled, the tokens used are
        kept as a late result.
        """
        record = self.find_record(reservation)
        grant = self.grant
        if grant is not None and record is not None and not record.is_settling:
            return grant.close(reservation.sequence, used_tokens, now)
        fenced = self.fenced_grants.get(reservation.grant_id)
        if fenced is not None and reservation.sequence in fenced.records:
            fenced.close(reservation.sequence, used_tokens, now)
        self.late_results.append(
            LateResult(
                reservation.grant_id,
                reservation.sequence,
                reservation.order.request_key,
                min(max(used_tokens, 0), reservation.order.amount_tokens),
            )
        )
        return None

    # Changes of the row.

    @property
    def is_in_doubt(self) -> bool:
        """Whether a transaction with an unknown outcome may still be committed."""
        return bool(self._sent)

    def observe(self, row: BudgetRow, version: int, now: float) -> None:
        """Apply a row that was read or committed.

        The row decides the outcome of each transaction that expected an older
        version. A row older than the one known is ignored.

        Parameters
        ----------
        row : BudgetRow
            Content of the row.
        version : int
            Version of the row.
        now : float
            Monotonic time, in seconds.
        """
        if version < self.row_version:
            return
        check_row(row)
        self.row = row
        self.row_version = version
        self.row_read_at = now
        self.is_stale = False
        decided = [plan for plan in self._sent if plan.expected_version < version]
        self._sent = [plan for plan in self._sent if plan.expected_version >= version]
        if self.grant is None:
            self._adopt_grant(row)
            return
        entry = find_grant(row, self.grant.entry.grant_id)
        for plan in decided:
            self._resolve(self.grant, plan, entry)
        self._mark_sent()
        self._apply_entry(self.grant, row)

    def begin(self, plan: HolderPlan) -> None:
        """Record that a plan is about to be sent.

        Tokens that the plan returns to the budget are withheld until the row's
        version shows that the plan can't be committed any more, since a write whose
        response is lost may take effect late.
        """
        self._sent.append(plan)
        self._mark_sent()

    def abandon(self) -> None:
        """Record that the last transaction was certainly not committed."""
        if self._sent and self._sent[-1].expected_version >= self.row_version:
            self._sent.pop()
        self._mark_sent()

    def _mark_sent(self) -> None:
        """Mark the records and tokens that transactions in flight settle or return."""
        if self.grant is None:
            return
        sent = {sequence for plan in self._sent for sequence in plan.finished}
        for record in self.grant.records.values():
            record.is_settling = record.sequence in sent
        returned = [plan.returned_tokens for plan in self._sent]
        self.grant.withheld_tokens = max(returned, default=0)

    def _resolve(
        self, grant: Grant, plan: HolderPlan, entry: GrantEntry | None
    ) -> None:
        """Remove the records that a decided plan settled, if it was committed.

        The write number of the grant's entry shows whether the plan was committed.
        """
        if plan.entry is None or entry is None:
            return
        if plan.entry.write_number != entry.write_number:
            return
        for sequence in plan.finished:
            grant.drop(sequence)
        grant.entry = entry

    def _adopt_grant(self, row: BudgetRow) -> None:
        """Use a grant of this router that the row has and that is not reclaimed."""
        for entry in row.grants:
            if entry.holder != self.own or entry.is_reclaimed:
                continue
            if entry.grant_id in self.fenced_grants:
                continue
            self.grant = Grant(self.account, self.budget, entry)
            return

    def _apply_entry(self, grant: Grant, row: BudgetRow) -> None:
        """Update the grant from its entry in the row.

        Without an entry the grant was returned or reclaimed; another epoch shows that
        its reclaim has begun. Transfers that other routers settled are removed.
        """
        entry = find_grant(row, grant.entry.grant_id)
        if entry is None and not grant.records:
            self.grant = None
            return
        if entry is None or entry.epoch != grant.entry.epoch:
            self.fenced_grants[grant.entry.grant_id] = grant
            self.grant = None
            return
        for record in list(grant.records.values()):
            if record.state is RecordState.GIVEN:
                if record.sequence in entry.given_transfers:
                    grant.drop(record.sequence)
            if record.state is RecordState.RECEIVED:
                if record.received_from in entry.received_transfers:
                    grant.drop(record.sequence)
        grant.received_ids.update(entry.received_transfers)
        grant.entry = entry
        grant.check()

    # Planning of transactions.

    def plan(self, context: PlanContext) -> HolderPlan | None:
        """Plan the next transaction on the budget's row.

        Parameters
        ----------
        context : PlanContext
            Inputs that are not part of the holder's state.

        Returns
        -------
        HolderPlan or None
            The transaction to send now; None if the row needs no change.
        """
        if self.row is None:
            return None
        if self.grant is None:
            return self._plan_new(self.row, context)
        plan = self._plan_update(self.row, self.grant, context)
        if plan is None:
            return self._plan_return(self.row, self.grant, context)
        return plan

    def _plan_new(self, row: BudgetRow, context: PlanContext) -> HolderPlan | None:
        """Plan a new grant if this router needs tokens or keeps an entry."""
        amount = self._choose_target_tokens(row, 0, context)
        if context.is_draining:
            return None
        if amount <= 0 and not context.is_registered and not context.waiting_tokens:
            return None
        number = next(self._grant_numbers)
        grant_id = f"{self.own.host}.{self.own.incarnation}.{number}"
        entry = GrantEntry(
            grant_id,
            self.own,
            1,
            amount,
            journal_peers=context.peers,
            write_number=self._next_write_number(),
        )
        changed = check_row(put_grant(row, entry))
        return HolderPlan(changed, self.row_version, (), (), entry)

    def _plan_update(
        self, row: BudgetRow, grant: Grant, context: PlanContext
    ) -> HolderPlan | None:
        """Plan a settlement, a change of size or a change of journal peers."""
        settlement = Settlement(row, self.row_version, grant, context)
        if self._must_settle(grant, context):
            settlement.settle_all(self.account)
            self.is_stale = settlement.is_stale
        row = settlement.row
        entry = require_grant(row, grant.entry.grant_id)
        supply = (
            entry.amount_tokens + grant.incoming_tokens - settlement.received_tokens
        )
        committed = grant.committed_tokens - settlement.released_tokens
        available = supply - committed
        target_tokens = self._choose_available_tokens(
            row, available, context, bool(settlement.finished)
        )
        returnable = entry.amount_tokens - settlement.count_given_tokens()
        target_tokens = max(target_tokens, available - returnable)
        peers = self._choose_peers(grant, context, settlement.finished)
        is_same = not settlement.finished and peers == entry.journal_peers
        if is_same and target_tokens == available and not self._sent:
            return None
        amount = entry.amount_tokens + target_tokens - available
        check_invariant(amount >= 0, "a grant must not be negative")
        settled = settlement.find_settled_sequence()
        entry = attrs.evolve(
            entry,
            amount_tokens=amount,
            settled_sequence=settled,
            journal_peers=peers,
            write_number=self._next_write_number(),
            given_transfers=tuple(s for s in entry.given_transfers if s > settled),
            received_transfers=tuple(
                transfer
                for transfer in entry.received_transfers
                if transfer not in grant.entry.received_transfers
            ),
        )
        row = check_row(put_grant(row, entry))
        return HolderPlan(
            row,
            self.row_version,
            tuple(settlement.charges),
            tuple(settlement.finished),
            entry,
            max(0, available - target_tokens),
        )

    def _plan_return(
        self, row: BudgetRow, grant: Grant, context: PlanContext
    ) -> HolderPlan | None:
        """Plan the return of a grant without records that is no longer needed."""
        if grant.records or context.waiting_tokens:
            return None
        if grant.entry.amount_tokens and not context.is_draining:
            return None
        is_kept = context.is_registered or not self._is_idle(context.now)
        if not context.is_draining and is_kept:
            return None
        changed = check_row(remove_grant(row, grant.entry.grant_id))
        returned = grant.available_tokens
        return HolderPlan(changed, self.row_version, (), (), None, returned)

    def _must_settle(self, grant: Grant, context: PlanContext) -> bool:
        """Return whether the finished records and transfers should be settled now."""
        finished = [
            record
            for record in grant.records.values()
            if record.state
            not in (RecordState.RESERVED, RecordState.OPEN, RecordState.GIVEN)
        ]
        given = [r for r in grant.records.values() if r.state is RecordState.GIVEN]
        if not finished and not given:
            return False
        if context.is_draining or len(finished) >= self._settings.settle_records:
            return True
        if context.waiting_tokens and finished:
            return True
        oldest = min(record.finished_at for record in (*finished, *given))
        return context.now - oldest >= self._settings.settle_interval_s

    def _choose_available_tokens(
        self, row: BudgetRow, available: int, context: PlanContext, is_writing: bool
    ) -> int:
        """Return the tokens that should be available after the transaction.

        The grant is refilled when it falls below the low-water mark. A surplus, more
        than twice the target, is returned when the row is written anyway or the
        budget is idle. The mark is lowered by random jitter so that routers don't
        refill at the same time.
        """
        if context.is_draining:
            return 0 if available > 0 else available
        target_tokens = self._choose_target_tokens(row, available, context)
        jitter = 1.0 - self._settings.refill_jitter_share * context.jitter
        low_water = target_tokens * self._settings.low_water_share * jitter
        self.low_water_tokens = int(low_water) if count_free_tokens(row) else 0
        if available < max(low_water, context.waiting_tokens):
            return max(available, target_tokens)
        is_surplus = available > 2 * target_tokens and (
            is_writing or self._is_idle(context.now)
        )
        if is_surplus:
            return target_tokens
        return available

    def _choose_target_tokens(
        self, row: BudgetRow, available: int, context: PlanContext
    ) -> int:
        """Return the target number of available tokens for the present demand."""
        preference = self.preference
        left_tokens = row.prepaid_tokens - row.settled_tokens - row.held_tokens
        others = sum(
            1
            for grant in row.grants
            if grant.holder != self.own and grant.amount_tokens
        )
        standby = (
            int(left_tokens * preference.standby_share) if context.is_standby else 0
        )
        return choose_grant_tokens(
            GrantSizing(
                rate_tokens_per_s=self.demand.read_rate(context.now),
                horizon_s=preference.outage_horizon_s,
                standby_tokens=standby,
                waiting_tokens=context.waiting_tokens,
                largest_tokens=self.demand.largest_tokens,
                left_tokens=left_tokens,
                available_tokens=max(0, available),
                free_tokens=count_free_tokens(row),
                n_sharers=others + 1,
            )
        )

    def _next_write_number(self) -> int:
        self._n_writes += 1
        return self._n_writes

    def _is_idle(self, now: float) -> bool:
        age_s = now - self.demand.last_request_at
        return age_s >= self.preference.idle_return_s

    def _choose_peers(
        self, grant: Grant, context: PlanContext, finished: list[int]
    ) -> tuple[RouterId, ...]:
        """Return the journal peers that the grant's entry should name.

        A named peer stays until every unsettled record that needs a copy is
        acknowledged by another peer that stays.
        """
        named = grant.entry.journal_peers
        kept = tuple(peer for peer in named if peer in context.live_ids)
        n_peers = len(context.peers)
        added = tuple(peer for peer in context.peers if peer not in kept)
        if not context.peers:
            return named
        chosen = (*kept, *added)[:n_peers]
        staying = tuple(peer for peer in named if peer in chosen)
        for record in grant.records.values():
            if record.sequence in finished or not record.is_journaled:
                continue
            if not record.acked_by & set(staying):
                return (*named, *(peer for peer in chosen if peer not in named))
        return chosen
