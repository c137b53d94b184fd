"""Budgets as one router process holds them: a core without input and output.

A row of the store says for each client account how many tokens are handed out to
router processes (`out`). A process takes tokens ahead of demand, spends them without
asking anybody, and passes them on to other processes. A second row, one for each
process, says how many tokens it holds and a limit below which it keeps its spending
(`limit`), renewed ahead of demand with a time stamp. What a dead process had not spent
goes back to the account: holding less limit, if it died within `LEASE_S` of the stamp.
A process whose row is older than `LEASE_S` spends past the limit, at most at the row's
pace; what a later death leaves is reckoned with the pace until then.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import attrs
import msgspec

if TYPE_CHECKING:
    from collections.abc import Callable, Container, Iterable

__all__ = [
    "LEASE_S",
    "AccountRow",
    "Attempt",
    "BudgetBook",
    "HolderRow",
    "Holding",
    "reclaim",
]

LEASE_S = 2.3  # Killed processes are back in 1.5 s, start in 0.45 s; a renewal period.
LIMIT_AHEAD_S = 1.1  # What a death costs; an outage lets requests wait for the rest.
PACE_FACTOR = 4.0  # Of the demand, spent past the lease; traffic waves and bursts.
RELEASE_S = 3.0  # All that is held can be spent this long after the lease.
HOLD_AHEAD_S = 14.0  # The longest absence of the store on the sheets is 9 s.
REFILL_BELOW_S = 10.0  # Refills come every 4 s, so that rows rarely conflict.
DEMAND_WINDOW_S = 4.0  # Decay of the demand's average; the traffic waves in 11 s.
TYPICAL_WEIGHT = 0.2  # Of one request in the average size.
FIRST_SHARE = 0.25  # Of an account's tokens, handed out before any demand is seen.
SCARCE_SHARE = 0.25  # Below this share left in the store, surplus goes back.
WANTED_S = 1.0  # A renewal across regions takes up to 0.5 s beside other calls.
WANTED_FACTOR = 4  # What is short once is short again before the next refill.
OWN_AHEAD_S = 2.0  # Demand that a router keeps tokens for when others ask.
SPENDABLE_SHARE = 0.5  # Of what the store has left, the most that one refill takes.


class AccountRow(msgspec.Struct):
    """The store's row of one client account."""

    out: int


class HolderRow(msgspec.Struct):
    """The store's row of one router process."""

    host: str
    address: str
    started_s: float  # By the store's clock.
    stamp_s: float  # By the store's clock, when the row was written at the latest.
    sequence: int
    held: dict[str, tuple[int, int, int]]  # Account to tokens held, limit, pace.
    zone: str = ""
    link_mbps: float = 0.0


@attrs.define(kw_only=True)
class Holding:
    """What this process holds of one account."""

    granted: int = 0
    received: int = 0
    passed: int = 0
    settled: int = 0
    reserved: int = 0
    demand_per_s: float = 0.0
    largest: float = 0.0
    typical: float = 0.0
    released_share: float = 0.0  # Of reservations, what requests did not use.
    out: int = 0
    version: int = 0
    wanted: int = 0
    wanted_until: float = -1e9
    has_been_granted: bool = False  # What was given back unused is not taken again.

    @property
    def held(self) -> int:
        """Tokens held so far, spent ones included."""
        return self.granted + self.received

    @property
    def spent(self) -> int:
        """Tokens spent, reserved or passed on."""
        return self.passed + self.settled + self.reserved

    @property
    def expected(self) -> int:
        """Tokens that are free, or will be once the requests in progress end."""
        return max(0, self.free) + int(self.reserved * self.released_share)

    @property
    def free(self) -> int:
        """Tokens held and not spent, whatever the limit says."""
        return self.held - self.spent


@attrs.define(kw_only=True)
class Attempt:
    """One transaction on this process's row, until its outcome is known."""

    base_version: int
    row: HolderRow
    grants: dict[str, int]  # Signed: negative where tokens go back.
    accounts: dict[str, tuple[int, int]]  # Expected version and new `out`.
    stamped_at: float
    is_final: bool = False
    adopted: dict[str, int] = attrs.field(factory=dict)  # From a dead process's row.
    received: dict[str, int] = attrs.field(factory=dict)  # Of each account until then.


class BudgetBook:
    """All budgets of one router process.

    Parameters
    ----------
    host : str
        Name of the host.
    address : str
        Where other routers reach this one.
    now : callable
        Seconds on a clock that also counts while the machine is suspended.
    zone : str
        The host's data centre.
    link_mbps : float
        Bandwidth of the host's link, in Mbit/s.
    """

    def __init__(
        self,
        host: str,
        address: str,
        now: Callable[[], float],
        zone: str = "",
        link_mbps: float = 0.0,
    ) -> None:
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
        self._stamped_at = now()  # When `_stamp_s` was read.
        self._acknowledged_at = now()  # When the stamp of the known row was read.
        self._faded_at = now()
        self.is_closed = False
        self.ahead_share = 0.0  # Of what is free, the least that a limit allows.

    def set_prepaid(self, prepaid: dict[str, int]) -> None:
        """Take the prepaid tokens of a new configuration."""
        self.prepaid = prepaid

    def is_past_lease(self) -> bool:
        """Whether this process may spend past the limits of its row."""
        return self._count_past_lease() > 0

    def _count_past_lease(self) -> float:
        """Return the seconds since the lease of any row that may stand has ended."""
        newest = self._acknowledged_at
        for attempt in self._unresolved:
            newest = max(newest, attempt.stamped_at)
        return max(0.0, self.now() - newest - LEASE_S)

    def count_spendable(self, account: str) -> int:
        """Return how many tokens can be reserved now."""
        holding = self.holdings.get(account)
        if holding is None or self.is_closed:
            return 0
        bound = self.find_bound(account)
        return (
            holding.free if bound is None else min(holding.free, bound - holding.spent)
        )

    def find_bound(self, account: str) -> int | None:
        """Return the most that may be spent of an account, None for all that is held.

        A successor may find any of the rows that can stand in the store: the one that
        is known, and those whose outcome is in doubt. Spending stays within what each
        of them tells. Tokens received since are in none of them, so they are lost with
        this process and may be spent at once.
        """
        now = self.now()
        holding = self.get_holding(account)
        rows = [*self._unresolved]
        if self._acknowledged is not None:
            rows.append(self._acknowledged)
        least: int | None = None
        for attempt in rows:
            told = attempt.row.held.get(account)
            if told is None:
                continue
            _, limit, pace = told
            past_lease_s = max(0.0, now - attempt.stamped_at - LEASE_S)
            received = holding.received - attempt.received.get(account, 0)
            bound = limit + received + int(pace * past_lease_s)
            least = bound if least is None else min(least, bound)
        return least

    def count_free(self) -> int:
        """Return the tokens of all accounts that are held and not spent."""
        return sum(max(0, holding.free) for holding in self.holdings.values())

    def try_reserve(self, account: str, tokens: int) -> bool:
        """Set `tokens` aside for a request; tell whether there were enough."""
        if self.count_spendable(account) < tokens:
            return False
        self._note_demand(account, tokens)
        self.get_holding(account).reserved += tokens
        return True

    def _note_demand(self, account: str, tokens: int) -> None:
        self.fade_demand()
        holding = self.get_holding(account)
        holding.demand_per_s += tokens / DEMAND_WINDOW_S
        holding.largest = max(holding.largest, tokens)
        holding.typical += (tokens - holding.typical) * TYPICAL_WEIGHT

    def _lower_demand(self, account: str, tokens: int) -> None:
        holding = self.get_holding(account)
        surplus = tokens / DEMAND_WINDOW_S
        holding.demand_per_s = max(0.0, holding.demand_per_s - surplus)

    def settle(self, account: str, reserved: int, used: int) -> None:
        """Replace a reservation by what the request used, at most the reservation."""
        holding = self.get_holding(account)
        used = min(used, reserved)
        holding.reserved -= reserved
        holding.settled += used
        released = 1 - used / reserved if reserved else 0.0
        holding.released_share += (released - holding.released_share) * TYPICAL_WEIGHT
        # Demand is counted at the most; what was not used is taken off again.
        self._lower_demand(account, reserved - used)

    def pass_on(self, account: str, want: int, least: int = 1) -> int:
        """Give `least` to `want` tokens to another router; return how many.

        Half of what can be spent stays here, as far as this router's own demand goes.
        """
        holding = self.get_holding(account)
        self.fade_demand()
        spendable = self.count_spendable(account)
        own = int(min(holding.demand_per_s * OWN_AHEAD_S, spendable / 2))
        given = max(0, min(want, spendable - own))
        if given < least:
            return 0
        holding.passed += given
        return given

    def serve(self, account: str, want: int, least: int) -> int:
        """Give `least` to `want` tokens as a banker; return how many.

        What a banker gives counts as its own demand, so that it refills for others.
        """
        given = min(want, self.count_spendable(account))
        if given < least:
            return 0
        self._note_demand(account, given)
        self.get_holding(account).passed += given
        return given

    def take_back(self, account: str, tokens: int) -> None:
        """Take tokens that another router had asked for and did not need."""
        self.receive(account, tokens)
        self._lower_demand(account, tokens)

    def take_all(self, account: str) -> int:
        """Take out all that can be passed on, before this process ends."""
        holding = self.get_holding(account)
        tokens = max(0, self.count_spendable(account))
        holding.passed += tokens
        return tokens

    def receive(self, account: str, tokens: int) -> None:
        """Take tokens that another router passed on."""
        holding = self.get_holding(account)
        holding.received += tokens

    def fade_demand(self) -> None:
        """Let the demand's average decay to now."""
        now = self.now()
        elapsed = now - self._faded_at
        if elapsed < 0.05:
            return
        self._faded_at = now
        factor = max(0.0, 1 - elapsed / DEMAND_WINDOW_S)
        for holding in self.holdings.values():
            holding.demand_per_s *= factor
            holding.largest *= 1 - (1 - factor) * 0.2

    def want(self, account: str, tokens: int) -> None:
        """Take it that requests wait for `tokens`, or did a moment ago.

        What is wanted stays for `WANTED_S`, since those that wait give up sooner than a
        renewal may take; without it an account that had no demand yet gets no limit.
        """
        holding = self.get_holding(account)
        holding.wanted = tokens
        holding.wanted_until = self.now() + WANTED_S

    def _forget_wants(self) -> None:
        now = self.now()
        for holding in self.holdings.values():
            if holding.wanted_until <= now:
                holding.wanted = 0

    def see_account(self, account: str, out: int, version: int) -> None:
        """Take the store's row of an account, unless a newer one is known."""
        holding = self.get_holding(account)
        if version >= holding.version:
            holding.out = out
            holding.version = version

    def estimate_cover(self, account: str) -> float:
        """Return for how many seconds the tokens of an account last, 0 if wanted."""
        holding = self.get_holding(account)
        if holding.wanted > holding.free:
            return 0.0
        return holding.free / max(holding.demand_per_s, 1.0)

    def left_in_store(self, account: str) -> int:
        """Return how many tokens the store has left to hand out, as last seen."""
        return self.prepaid.get(account, 0) - self.get_holding(account).out

    def plan_adoption(self, tokens: dict[str, int]) -> Attempt:
        """Return the transaction that takes over a dead process's tokens."""
        held: dict[str, tuple[int, int, int]] = {}
        for account in {*self.holdings, *tokens}:
            holding = self.get_holding(account)
            total = holding.held + tokens.get(account, 0)
            held[account] = (total, *self._plan_limit(holding, total))
        return self._make_attempt({}, {}, held, is_final=False, adopted=tokens)

    def plan(
        self,
        clock_s: float,
        hosts: int,
        changed: Container[str] | None = None,
        released: Container[str] = (),
    ) -> Attempt:
        """Return the next transaction.

        Parameters
        ----------
        clock_s : float
            The store's clock, at the latest.
        hosts : int
            How many routers share the budgets; 0 where nothing is taken before there
            is demand.
        changed : container of str, optional
            The accounts whose holdings may change; all by default.
        released : container of str, optional
            The accounts whose tokens go back where a limit keeps them from being spent.
        """
        self.fade_demand()
        self._forget_wants()
        if self.started_s is None:
            self.started_s = clock_s
        if not self._unresolved:
            # A failed attempt may still take effect: until one is known to have, the
            # stamp stays, so that no row ever shows a lease past its end.
            self._stamp_s = clock_s
            self._stamped_at = self.now()
        accounts: dict[str, tuple[int, int]] = {}
        grants: dict[str, int] = {}
        held: dict[str, tuple[int, int, int]] = {}
        for account, prepaid in self.prepaid.items():
            holding = self.get_holding(account)
            change = 0
            if changed is None or account in changed:
                change = self._plan_change(holding, prepaid, hosts)
            elif account in released and self.count_spendable(account) < holding.free:
                change = -holding.free
            if change < 0 and self._unresolved:
                # The store does not answer: tokens on their way back would be out of
                # everybody's reach until it does.
                change = 0
            if change:
                grants[account] = change
                accounts[account] = (holding.version, holding.out + change)
            total = holding.held + change
            limit, pace = self._plan_limit(holding, total)
            if total or limit:
                held[account] = (total, limit, pace)
        return self._make_attempt(grants, accounts, held, is_final=False)

    def plan_return(self, *, is_final: bool) -> Attempt:
        """Return the transaction that gives everything back that is not spent.

        Parameters
        ----------
        is_final : bool
            Whether this process's row goes too: nothing may be reserved any more.
        """
        accounts: dict[str, tuple[int, int]] = {}
        grants: dict[str, int] = {}
        held: dict[str, tuple[int, int, int]] = {}
        for account, holding in self.holdings.items():
            if holding.free > 0:
                grants[account] = -holding.free
                accounts[account] = (holding.version, holding.out - holding.free)
            held[account] = (holding.spent, holding.spent, 0)
        return self._make_attempt(grants, accounts, held, is_final=is_final)

    def _make_attempt(
        self,
        grants: dict[str, int],
        accounts: dict[str, tuple[int, int]],
        held: dict[str, tuple[int, int, int]],
        *,
        is_final: bool,
        adopted: dict[str, int] | None = None,
    ) -> Attempt:
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
        )
        attempt = Attempt(
            base_version=self.row_version,
            row=row,
            grants=grants,
            accounts=accounts,
            stamped_at=self._stamped_at,
            is_final=is_final,
            adopted=adopted or {},
            received={name: one.received for name, one in self.holdings.items()},
        )
        # Tokens on their way back are out of reach from now on.
        for account, change in grants.items():
            if change < 0:
                self.get_holding(account).granted += change
        self._unresolved.append(attempt)
        return attempt

    def _plan_change(self, holding: Holding, prepaid: int, hosts: int) -> int:
        left = prepaid - holding.out
        if left < 0:
            # The prepaid amount was cut below what is handed out.
            return -min(-left, max(0, holding.free))
        demand = holding.demand_per_s
        is_scarce = left < prepaid * SCARCE_SHARE
        first = int(prepaid * FIRST_SHARE / hosts) if hosts else 0
        is_first = not holding.has_been_granted and not is_scarce
        floor = max(first if is_first else 0, int(holding.largest))
        target = max(int(demand * HOLD_AHEAD_S), floor, holding.wanted * WANTED_FACTOR)
        if is_scarce and holding.free > 2 * target:
            return -(holding.free - target)
        below = max(int(demand * REFILL_BELOW_S), floor // 2, holding.wanted)
        if holding.free >= below:
            return 0
        # Less than one request needs is left to a router that can use it; the last
        # tokens go to one router whole, so that an outage strands none in the store.
        least = max(holding.typical, demand)
        is_last = left < 2 * least
        most = left if is_last else int(left * SPENDABLE_SHARE)
        most = max(most, min(left, holding.wanted))
        change = max(0, min(target - holding.free, most))
        return change if change >= least or is_last or holding.wanted else 0

    def _plan_limit(self, holding: Holding, total: int) -> tuple[int, int]:
        """Return the limit to write, at least what is spent, and the pace."""
        ahead = max(
            int(holding.demand_per_s * LIMIT_AHEAD_S),
            int((total - holding.spent) * self.ahead_share),
            int(holding.typical),
            holding.wanted,
        )
        limit = min(total, holding.spent + ahead)
        pace = max(holding.demand_per_s * PACE_FACTOR, (total - limit) / RELEASE_S)
        return limit, int(pace)

    def apply(self, attempt: Attempt, version: int) -> None:
        """Take the effect of an attempt that is known to have been carried out."""
        for account, change in attempt.grants.items():
            holding = self.get_holding(account)
            if change > 0:
                holding.granted += change
                holding.has_been_granted = True
                holding.wanted = 0
            if version >= holding.version:
                holding.version = version
                holding.out = attempt.accounts[account][1]
        for account, tokens in attempt.adopted.items():
            self.get_holding(account).granted += tokens
        self._undo(other for other in self._unresolved if other is not attempt)
        self._unresolved.clear()
        self.row_version = version
        self._acknowledged = attempt
        self._acknowledged_at = attempt.stamped_at

    def reject(self, attempt: Attempt) -> None:
        """Forget an attempt that is known to have done nothing and never will."""
        if attempt not in self._unresolved:
            return
        self._unresolved.remove(attempt)
        self._undo([attempt])

    def _undo(self, attempts: Iterable[Attempt]) -> None:
        for attempt in attempts:
            for account, change in attempt.grants.items():
                if change < 0:
                    self.get_holding(account).granted -= change

    def see_own_row(self, row: HolderRow | None, version: int) -> bool:
        """Compare this process's row with the attempts whose outcome is unknown.

        Returns
        -------
        bool
            False if another router has closed this process's row.
        """
        if version == self.row_version:
            return True
        for attempt in self._unresolved:
            if row is not None and row.sequence == attempt.row.sequence:
                self.apply(attempt, version)
                return True
        self.is_closed = True
        return False

    def start_over(self) -> None:
        """Hold nothing, after another router has closed this process's row.

        Requests in progress settle against what was held; it is not spent again.
        """
        for holding in self.holdings.values():
            holding.granted -= max(0, holding.free)
        self._acknowledged = None
        self._unresolved.clear()
        self.row_version = 0
        self.is_closed = False

    def is_stamp_old(self) -> bool:
        """Whether the known row's stamp leaves little of the lease."""
        return self.now() - self._acknowledged_at > LEASE_S / 4

    def check_invariant(self) -> None:
        """Assert that no account is spent past what is held."""
        for account, holding in self.holdings.items():
            if holding.spent > holding.held:
                raise AssertionError(f"budget of {account} is overspent: {holding}")

    def get_holding(self, account: str) -> Holding:
        """Return what is held of an account, an empty holding at first."""
        holding = self.holdings.get(account)
        if holding is None:
            holding = self.holdings[account] = Holding()
        return holding


def reclaim(row: HolderRow, dead_by_s: float) -> dict[str, int]:
    """Return the tokens that a dead process did not spend, for each account.

    Parameters
    ----------
    row : HolderRow
        The dead process's row.
    dead_by_s : float
        When it was known to be dead, on the store's clock.
    """
    past_lease_s = max(0.0, dead_by_s - row.stamp_s - LEASE_S)
    tokens = {}
    for account, (held, limit, pace) in row.held.items():
        left = held - limit - math.ceil(pace * past_lease_s)
        if left > 0:
            tokens[account] = left
    return tokens
