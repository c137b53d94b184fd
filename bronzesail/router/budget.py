"""Token budgets of one router process, without input or output.

For each client account, an `AccountRow` of the store counts the tokens granted to
router processes. A process acquires tokens ahead of demand, spends them without
contacting the store, and transfers tokens to other processes. Each process also has a
`HolderRow`, which it renews with a new timestamp ahead of demand. For each account it
contains the tokens held, a spending limit and an overrun rate.

A process keeps its spending below the limit until its row is `LEASE_S` old, and may
then exceed the limit at no more than the overrun rate. The unspent tokens of a dead
process are reclaimed: tokens held less the limit, less the overrun that was possible
between the end of the lease and its death.

The store may come back from an older copy, which begins a new era with rows of its own.
What earlier eras have granted is computed by `carryover`. So that the copy shows every
process that may have been granted tokens since, a process takes none until its row has
stood in the store for as long as a copy may be behind. It inherits the time for which
the row of an earlier process of its host has stood, if it has replaced that row itself.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from .budget_rows import LEASE_S, Attempt, HolderRow, Holding, ReportRow
from .carryover import Carryover

if TYPE_CHECKING:
    from collections.abc import Callable, Container, Iterable

__all__ = ["RESTORE_DEPTH_S", "BudgetBook"]

# The longest time that a copy of the store is assumed to be behind.
RESTORE_DEPTH_S = 8.0
# How long it is remembered what ended processes had acquired; copies are younger.
ENDED_MEMORY_S = 60.0
# Demand that the limit allows for beyond the tokens spent. It is lost if the process
# dies; during a store outage, requests beyond it wait until the lease has expired.
LIMIT_AHEAD_S = 1.1
# Overrun rate as a multiple of the demand, which covers periodic load and bursts.
OVERRUN_FACTOR = 4.0
# The overrun rate makes all held tokens spendable this long after the lease expired.
FULL_OVERRUN_S = 3.0
# Demand that a refill covers; the longest store outage to be survived lasts 9 s.
HOLD_AHEAD_S = 14.0
# A holding is refilled when it covers less than this demand: about every 4 s, so that
# transactions on the same account row rarely conflict.
REFILL_BELOW_S = 10.0
# Decay time of the average demand; the load oscillates with a period of 11 s.
DEMAND_WINDOW_S = 4.0
# Weight of one request in the averages of request size and unused share.
AVERAGE_WEIGHT = 0.2
# Share of the prepaid tokens that all routers together get before there is demand.
INITIAL_SHARE = 0.25
# Surplus tokens are returned while less than this share is available in the store.
SCARCE_SHARE = 0.25
# How long waiting requests count as demand after the last update; a renewal across
# regions takes up to 0.5 s while other calls are in progress.
PENDING_S = 1.0
# Refill as a multiple of the pending demand, since an account that was short of
# tokens would otherwise be short again before the next refill.
PENDING_FACTOR = 4
# Own demand for which a router keeps tokens when other routers ask for them.
OWN_AHEAD_S = 2.0
# The largest share of the tokens available in the store that one refill takes.
REFILL_SHARE = 0.5
# How long tokens stay reserved for a request that another router forwards, until it
# arrives; it follows within a round trip.
FORWARDED_WAIT_S = 2.0


class BudgetBook:
    """Token holdings of one router process, for all client accounts.

    Parameters
    ----------
    host : str
        Name of the host.
    address : str
        Address at which other routers reach this one.
    now : callable
        Seconds on a clock that also counts while the machine is suspended.
    zone : str
        The host's data centre.
    link_mbps : float
        Bandwidth of the host's link, in Mbit/s.
    restore_depth_s : float
        Longest time that a copy is behind from which the store is restored; 0 for a
        store that loses nothing that it has acknowledged.

    Attributes
    ----------
    era : int
        The store's era whose rows are written.
    carryover : Carryover or None
        What earlier eras have granted; None while it is unknown.
    """

    def __init__(
        self,
        host: str,
        address: str,
        now: Callable[[], float],
        zone: str = "",
        link_mbps: float = 0.0,
        restore_depth_s: float = 0.0,
    ) -> None:
        self._restore_depth_s = restore_depth_s
        self.era = 0
        self.carryover: Carryover | None = Carryover()
        self._first_row_at: float | None = None  # Acknowledged without a gap since.
        self._has_rows = False  # Whether a row was acknowledged in any era.
        self._report: ReportRow | None = None
        self._allowances: dict[str, int] = {}
        # Tokens granted to processes whose rows this one has removed, with the time.
        self._ended: dict[str, tuple[float, dict[str, int]]] = {}
        self._zone = zone
        self._link_mbps = link_mbps
        self.host = host
        self._address = address
        self.now = now
        self.prepaid: dict[str, int] = {}
        self.holdings: dict[str, Holding] = {}
        self.row_version = 0
        self.started_s: float | None = None
        self._sequence = 0
        self._acknowledged: Attempt | None = None
        self._unresolved: list[Attempt] = []
        self._stamp_s = 0.0
        self._stamped_at = now()  # Local time at which `_stamp_s` was read.
        # Local time of the timestamp in the last row known to be written.
        self._acknowledged_at = now()
        self._decayed_at = now()
        self.is_closed = False
        # Smallest share of the free tokens that a limit allows to be spent.
        self.min_limit_share = 0.0
        # Tokens reserved for requests that other routers forward, and until when.
        self._forwarded: dict[tuple[str, str], tuple[int, float]] = {}

    def set_prepaid(self, prepaid: dict[str, int]) -> None:
        """Set the prepaid tokens of each account from a new configuration."""
        self.prepaid = prepaid
        for account, tokens in prepaid.items():
            self._allowances[account] = max(tokens, self._allowances.get(account, 0))

    def inherit(self, first_row_age_s: float) -> None:
        """Record that this process has replaced the row of its predecessor.

        Parameters
        ----------
        first_row_age_s : float
            Time for which the predecessor's row, and those that it had replaced, have
            stood in the store at least.
        """
        first_row_at = self.now() - first_row_age_s
        if self._first_row_at is not None:
            self._first_row_at = min(self._first_row_at, first_row_at)

    def note_ended(self, key: str, granted: dict[str, int]) -> None:
        """Record what the store had granted to a process whose row was removed here."""
        self._ended[key] = (self.now(), granted)

    def _list_ended(self) -> dict[str, dict[str, int]]:
        """Return the processes that a copy of the store may still show."""
        since = self.now() - ENDED_MEMORY_S
        return {
            key: granted for key, (at, granted) in self._ended.items() if at > since
        }

    def _find_first_row_age_s(self) -> int:
        """Return how long rows of this host had stood at the time of the stamp."""
        if self._first_row_at is None:
            return 0
        return max(0, int(self._stamped_at - self._first_row_at))

    @property
    def allowances(self) -> dict[str, int]:
        """The most that a process may have acquired, by account.

        It stays when the prepaid tokens are reduced, since a process may have acquired
        them before.
        """
        return dict(self._allowances)

    def begin_era(self, era: int) -> None:
        """Forget the rows of earlier eras, because the store was restored.

        Grants in doubt are given up, and returns in doubt count as made: either may be
        part of the copy that the store came back from.
        """
        if era <= self.era:
            return
        if self.is_closed:
            self.reset()
        self.era = era
        self.carryover = None
        self._unresolved.clear()
        self._acknowledged = None
        self.row_version = 0
        self._first_row_at = None
        for holding in self.holdings.values():
            holding.granted_before_era = holding.granted_by_store
            holding.total_granted = 0
            holding.version = 0
        if self._has_rows:
            self._report = ReportRow(
                {
                    account: holding.granted_before_era
                    for account, holding in self.holdings.items()
                    if holding.granted_before_era
                },
                self._list_ended(),
            )
        self._ended.clear()

    def is_past_lease(self) -> bool:
        """Whether this process may spend beyond the limits of its row."""
        return self._measure_past_lease_s() > 0

    def _measure_past_lease_s(self) -> float:
        """Return the seconds since the latest lease ended, in-doubt rows included."""
        newest = self._acknowledged_at
        for attempt in self._unresolved:
            newest = max(newest, attempt.stamped_at)
        return max(0.0, self.now() - newest - LEASE_S)

    def count_spendable(self, account: str) -> int:
        """Return how many tokens of an account can be reserved now."""
        holding = self.holdings.get(account)
        if holding is None or self.is_closed:
            return 0
        bound = self.find_bound(account)
        return (
            holding.free if bound is None else min(holding.free, bound - holding.spent)
        )

    def find_bound(self, account: str) -> int | None:
        """Return the most that may be spent of an account, None for all held tokens.

        A process that reclaims the tokens may find the acknowledged row in the store
        or any row whose outcome is in doubt, so spending must respect each of them.
        Tokens received after a row was planned are not in it: they cannot be
        reclaimed, so they may be spent at once.
        """
        now = self.now()
        holding = self.get_holding(account)
        attempts = [*self._unresolved]
        if self._acknowledged is not None:
            attempts.append(self._acknowledged)
        lowest: int | None = None
        for attempt in attempts:
            entry = attempt.row.held.get(account)
            if entry is None:
                continue
            _, limit, overrun_per_s, _ = entry
            past_lease_s = max(0.0, now - attempt.stamped_at - LEASE_S)
            received = holding.received - attempt.received.get(account, 0)
            bound = limit + received + int(overrun_per_s * past_lease_s)
            lowest = bound if lowest is None else min(lowest, bound)
        return lowest

    def count_free(self) -> int:
        """Return the tokens that are held and not spent, over all accounts."""
        return sum(max(0, holding.free) for holding in self.holdings.values())

    def try_reserve(self, account: str, tokens: int) -> bool:
        """Reserve tokens for a request; return False if there are too few."""
        if self.count_spendable(account) < tokens:
            return False
        self._add_demand(account, tokens)
        self.get_holding(account).reserved += tokens
        return True

    def _add_demand(self, account: str, tokens: int) -> None:
        """Count tokens of a request in the demand averages."""
        self.decay_demand()
        holding = self.get_holding(account)
        holding.demand_per_s += tokens / DEMAND_WINDOW_S
        holding.largest_request = max(holding.largest_request, tokens)
        holding.average_request += (tokens - holding.average_request) * AVERAGE_WEIGHT

    def _lower_demand(self, account: str, tokens: int) -> None:
        """Subtract tokens that were not used from the average demand."""
        holding = self.get_holding(account)
        surplus = tokens / DEMAND_WINDOW_S
        holding.demand_per_s = max(0.0, holding.demand_per_s - surplus)

    def settle(self, account: str, reserved: int, used: int) -> None:
        """Replace a reservation by the tokens used, capped at the reservation."""
        holding = self.get_holding(account)
        used = min(used, reserved)
        holding.reserved -= reserved
        holding.settled += used
        released = 1 - used / reserved if reserved else 0.0
        holding.unused_share += (released - holding.unused_share) * AVERAGE_WEIGHT
        # The whole reservation was counted as demand; subtract the unused part.
        self._lower_demand(account, reserved - used)

    def transfer_reservation(self, account: str, reserved: int, used: int) -> int:
        """Settle what a request has used and transfer the rest of its reservation.

        Returns
        -------
        int
            The tokens transferred.
        """
        holding = self.get_holding(account)
        used = min(used, reserved)
        tokens = reserved - used
        holding.reserved -= reserved
        holding.settled += used
        holding.transferred += tokens
        self._lower_demand(account, tokens)
        return tokens

    def receive_reservation(self, account: str, tokens: int, request_id: str) -> None:
        """Add tokens that another router has reserved for a request it forwards."""
        self.receive(account, tokens)
        self._add_demand(account, tokens)
        self.get_holding(account).reserved += tokens
        earlier, _ = self._forwarded.get((account, request_id), (0, 0.0))
        until = self.now() + FORWARDED_WAIT_S
        self._forwarded[account, request_id] = (earlier + tokens, until)

    def claim_reservation(self, account: str, request_id: str) -> int:
        """Return the tokens that were received with a reservation for a request."""
        tokens, _ = self._forwarded.pop((account, request_id), (0, 0.0))
        return tokens

    def release_unclaimed(self) -> dict[tuple[str, str], int]:
        """Release the tokens reserved for requests that have not arrived in time.

        Returns
        -------
        dict
            The tokens released, by account and request id.
        """
        now = self.now()
        late = {
            key: tokens
            for key, (tokens, until) in self._forwarded.items()
            if until <= now
        }
        for (account, request_id), tokens in late.items():
            del self._forwarded[account, request_id]
            self.settle(account, tokens, 0)
        return late

    def transfer(self, account: str, want: int, least: int = 1) -> int:
        """Transfer tokens to another router and return how many.

        At least `least` and at most `want` tokens are transferred, or none. This
        router keeps tokens for its own demand, up to half of those it can spend.
        """
        holding = self.get_holding(account)
        self.decay_demand()
        spendable = self.count_spendable(account)
        own = int(min(holding.demand_per_s * OWN_AHEAD_S, spendable / 2))
        given = max(0, min(want, spendable - own))
        if given < least:
            return 0
        holding.transferred += given
        return given

    def allocate(self, account: str, want: int, least: int) -> int:
        """Allocate tokens to a router of the same region and return how many.

        At least `least` and at most `want` tokens are allocated, or none. They count
        as demand of this router, so that its refills cover the other routers too.
        """
        given = min(want, self.count_spendable(account))
        if given < least:
            return 0
        self._add_demand(account, given)
        self.get_holding(account).transferred += given
        return given

    def receive_unused(self, account: str, tokens: int) -> None:
        """Take back tokens that were allocated to another router and not used there."""
        self.receive(account, tokens)
        self._lower_demand(account, tokens)

    def transfer_all(self, account: str) -> int:
        """Remove all spendable tokens for a transfer and return how many."""
        holding = self.get_holding(account)
        tokens = max(0, self.count_spendable(account))
        holding.transferred += tokens
        return tokens

    def receive(self, account: str, tokens: int) -> None:
        """Add tokens that another router transferred."""
        holding = self.get_holding(account)
        holding.received += tokens

    def decay_demand(self) -> None:
        """Apply the decay of the demand averages up to now."""
        now = self.now()
        elapsed = now - self._decayed_at
        if elapsed < 0.05:
            return
        self._decayed_at = now
        factor = max(0.0, 1 - elapsed / DEMAND_WINDOW_S)
        for holding in self.holdings.values():
            holding.demand_per_s *= factor
            holding.largest_request *= 1 - (1 - factor) * 0.2

    def set_pending_demand(self, account: str, tokens: int) -> None:
        """Set the tokens that waiting requests need, for the next `PENDING_S`.

        The value outlives the requests, which may time out before a renewal completes.
        Without it, an account without earlier demand would not get a limit.
        """
        holding = self.get_holding(account)
        holding.pending_demand = tokens
        holding.pending_until = self.now() + PENDING_S

    def _expire_pending_demand(self) -> None:
        """Reset the pending demand that was not updated for `PENDING_S`."""
        now = self.now()
        for holding in self.holdings.values():
            if holding.pending_until <= now:
                holding.pending_demand = 0

    def update_account(self, account: str, out: int, version: int) -> None:
        """Record an account's row as read, unless a newer version is known."""
        holding = self.get_holding(account)
        if version >= holding.version:
            holding.total_granted = out
            holding.version = version

    def estimate_supply_s(self, account: str) -> float:
        """Return how many seconds the free tokens last, 0 below the pending demand."""
        holding = self.get_holding(account)
        if holding.pending_demand > holding.free:
            return 0.0
        return holding.free / max(holding.demand_per_s, 1.0)

    def count_available(self, account: str) -> int:
        """Return how many tokens the store can certainly still grant.

        This is by the account's row as last read.
        """
        earlier = 0 if self.carryover is None else self.carryover.most.get(account, 0)
        total = self.get_holding(account).total_granted + earlier
        return self.prepaid.get(account, 0) - total

    def count_possibly_available(self, account: str) -> int:
        """Return how many tokens are available if no unreported grants were made."""
        earlier = 0 if self.carryover is None else self.carryover.known.get(account, 0)
        total = self.get_holding(account).total_granted + earlier
        return self.prepaid.get(account, 0) - total

    def count_acquirable(self, account: str) -> int:
        """Return how many of the available tokens this process may acquire now."""
        if self.carryover is None:
            return 0
        available = max(0, self.count_available(account))
        if not self._restore_depth_s:
            return available
        since = self.now() - self._restore_depth_s
        if self._first_row_at is None or self._first_row_at > since:
            return 0
        return available

    def plan_reclaim(self, tokens: dict[str, int]) -> Attempt:
        """Return the transaction that adds a dead process's tokens to this one's."""
        held: dict[str, tuple[int, int, int, int]] = {}
        for account in {*self.holdings, *tokens}:
            holding = self.get_holding(account)
            total = holding.held + tokens.get(account, 0)
            limit, overrun_per_s = self._plan_limit(holding, total)
            held[account] = (total, limit, overrun_per_s, holding.granted_in_era)
        return self._make_attempt({}, {}, held, is_final=False, reclaimed=tokens)

    def plan(
        self,
        clock_s: float,
        router_count: int,
        changed: Container[str] | None = None,
        released: Container[str] = (),
    ) -> Attempt:
        """Return the next transaction: it renews the row and changes holdings.

        Parameters
        ----------
        clock_s : float
            A value that the store's clock has certainly reached.
        router_count : int
            Number of routers that share the initial grants; 0 for no initial grants.
        changed : container of str, optional
            The accounts whose holdings may change; all by default.
        released : container of str, optional
            The accounts whose free tokens are returned if the limit prevents their use.
        """
        self.decay_demand()
        self._expire_pending_demand()
        if self.started_s is None:
            self.started_s = clock_s
        if not self._unresolved:
            # An attempt in doubt may still take effect. The timestamp stays until the
            # outcome is known, so that no row can extend a lease that this process
            # has taken to be expired.
            self._stamp_s = clock_s
            self._stamped_at = self.now()
        accounts: dict[str, tuple[int, int]] = {}
        grants: dict[str, int] = {}
        held: dict[str, tuple[int, int, int, int]] = {}
        for account, prepaid in self.prepaid.items():
            holding = self.get_holding(account)
            change = 0
            if changed is None or account in changed:
                change = self._plan_change(account, holding, prepaid, router_count)
                change = min(change, self.count_acquirable(account))
            elif account in released and self.count_spendable(account) < holding.free:
                change = -holding.free
            if change < 0 and self._unresolved:
                # The store does not answer. Tokens in a return whose outcome is in
                # doubt could not be used by any router until it does.
                change = 0
            if change:
                grants[account] = change
                accounts[account] = (holding.version, holding.total_granted + change)
            total = holding.held + change
            limit, overrun_per_s = self._plan_limit(holding, total)
            in_era = holding.granted_in_era + change
            if total or limit or in_era:
                held[account] = (total, limit, overrun_per_s, in_era)
        return self._make_attempt(grants, accounts, held, is_final=False)

    def plan_return(self, *, is_final: bool) -> Attempt:
        """Return the transaction that returns all unspent tokens to the store.

        Parameters
        ----------
        is_final : bool
            Whether it also removes this process's row; no tokens may be reserved after.
        """
        accounts: dict[str, tuple[int, int]] = {}
        grants: dict[str, int] = {}
        held: dict[str, tuple[int, int, int, int]] = {}
        for account, holding in self.holdings.items():
            if holding.free > 0:
                grants[account] = -holding.free
                accounts[account] = (
                    holding.version,
                    holding.total_granted - holding.free,
                )
            in_era = holding.granted_in_era - max(0, holding.free)
            held[account] = (holding.spent, holding.spent, 0, in_era)
        return self._make_attempt(grants, accounts, held, is_final=is_final)

    def _make_attempt(
        self,
        grants: dict[str, int],
        accounts: dict[str, tuple[int, int]],
        held: dict[str, tuple[int, int, int, int]],
        *,
        is_final: bool,
        reclaimed: dict[str, int] | None = None,
    ) -> Attempt:
        """Return a new attempt; tokens that it returns are no longer spendable."""
        self._sequence += 1
        row = HolderRow(
            host=self.host,
            address=self._address,
            started_s=self.started_s or 0.0,
            stamp_s=self._stamp_s,
            sequence=self._sequence,
            held=held,
            zone=self._zone,
            link_mbps=self._link_mbps,
            first_row_age_s=self._find_first_row_age_s(),
            has_report=self._report is not None,
            has_ended=is_final,
        )
        attempt = Attempt(
            era=self.era,
            report=self._report if not self.row_version else None,
            base_version=self.row_version,
            row=row,
            grants=grants,
            accounts=accounts,
            stamped_at=self._stamped_at,
            is_final=is_final,
            reclaimed=reclaimed or {},
            received={name: one.received for name, one in self.holdings.items()},
        )
        # Tokens being returned cannot be spent from now on.
        for account, change in grants.items():
            if change < 0:
                self.get_holding(account).granted += change
                self.get_holding(account).granted_by_store += change
        self._unresolved.append(attempt)
        return attempt

    def _plan_change(
        self, account: str, holding: Holding, prepaid: int, router_count: int
    ) -> int:
        """Return how many tokens to acquire for a holding; negative to return some."""
        possible = self.count_possibly_available(account)
        if possible < 0:
            # The prepaid amount was reduced below the tokens granted.
            return -min(-possible, max(0, holding.free))
        available = max(0, self.count_available(account))
        demand = holding.demand_per_s
        is_scarce = possible < prepaid * SCARCE_SHARE
        initial = int(prepaid * INITIAL_SHARE / router_count) if router_count else 0
        is_initial = not holding.has_been_granted and not is_scarce
        floor = max(initial if is_initial else 0, int(holding.largest_request))
        target = max(
            int(demand * HOLD_AHEAD_S), floor, holding.pending_demand * PENDING_FACTOR
        )
        if is_scarce and holding.free > 2 * target:
            return -(holding.free - target)
        threshold = max(
            int(demand * REFILL_BELOW_S), floor // 2, holding.pending_demand
        )
        if holding.free >= threshold:
            return 0
        # A grant smaller than an average request could not be used here and is not
        # made, so that another router can acquire the tokens. The last tokens go to
        # one router in one grant, so that a store outage strands none of them.
        min_refill = max(holding.average_request, demand)
        is_remainder = available < 2 * min_refill
        max_refill = available if is_remainder else int(available * REFILL_SHARE)
        max_refill = max(max_refill, min(available, holding.pending_demand))
        change = max(0, min(target - holding.free, max_refill))
        return (
            change
            if change >= min_refill or is_remainder or holding.pending_demand
            else 0
        )

    def _plan_limit(self, holding: Holding, total: int) -> tuple[int, int]:
        """Return the limit to write, at least the tokens spent, and overrun rate."""
        ahead = max(
            int(holding.demand_per_s * LIMIT_AHEAD_S),
            int((total - holding.spent) * self.min_limit_share),
            int(holding.average_request),
            holding.pending_demand,
        )
        limit = min(total, holding.spent + ahead)
        overrun_per_s = max(
            holding.demand_per_s * OVERRUN_FACTOR, (total - limit) / FULL_OVERRUN_S
        )
        return limit, int(overrun_per_s)

    def apply(self, attempt: Attempt, version: int) -> bool:
        """Apply the effect of an attempt that is known to have been committed.

        Returns
        -------
        bool
            False if the attempt is of an earlier era and was given up.
        """
        if attempt.era != self.era:
            return False
        for account, change in attempt.grants.items():
            holding = self.get_holding(account)
            if change > 0:
                holding.granted += change
                holding.granted_by_store += change
                holding.has_been_granted = True
                holding.pending_demand = 0
            if version >= holding.version:
                holding.version = version
                holding.total_granted = attempt.accounts[account][1]
        for account, tokens in attempt.reclaimed.items():
            self.get_holding(account).granted += tokens
        self._undo(other for other in self._unresolved if other is not attempt)
        self._unresolved.clear()
        self.row_version = version
        self._acknowledged = attempt
        self._acknowledged_at = attempt.stamped_at
        if self._first_row_at is None:
            self._first_row_at = self.now()
        self._has_rows = True
        return True

    def reject(self, attempt: Attempt) -> None:
        """Undo an attempt that is known not to take effect, now or later."""
        if attempt not in self._unresolved:
            return
        self._unresolved.remove(attempt)
        self._undo([attempt])

    def _undo(self, attempts: Iterable[Attempt]) -> None:
        """Make the tokens that the attempts would have returned spendable again."""
        for attempt in attempts:
            for account, change in attempt.grants.items():
                if change < 0:
                    self.get_holding(account).granted -= change
                    self.get_holding(account).granted_by_store -= change

    def reconcile_own_row(self, row: HolderRow | None, version: int) -> bool:
        """Resolve the attempts in doubt by this process's row as read from the store.

        Returns
        -------
        bool
            False if another router has removed this process's row.
        """
        if version == self.row_version:
            return True
        for attempt in self._unresolved:
            if row is not None and row.sequence == attempt.row.sequence:
                self.apply(attempt, version)
                return True
        self.is_closed = True
        return False

    def reset(self) -> None:
        """Drop all free tokens after another router has removed this process's row.

        Requests in progress keep their reservations and settle against them.
        """
        for holding in self.holdings.values():
            holding.granted -= max(0, holding.free)
        self._acknowledged = None
        self._unresolved.clear()
        self.row_version = 0
        self._first_row_at = None
        self.is_closed = False

    def is_stamp_old(self) -> bool:
        """Whether a quarter of the acknowledged row's lease has passed."""
        return self.now() - self._acknowledged_at > LEASE_S / 4

    def check_invariant(self) -> None:
        """Raise an AssertionError if an account has more tokens spent than held."""
        for account, holding in self.holdings.items():
            if holding.spent > holding.held:
                raise AssertionError(f"budget of {account} is overspent: {holding}")

    def get_holding(self, account: str) -> Holding:
        """Return the holding of an account, created empty on first use."""
        holding = self.holdings.get(account)
        if holding is None:
            holding = self.holdings[account] = Holding()
        return holding
