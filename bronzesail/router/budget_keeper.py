"""Synchronizes the token holdings of one router process with the store.

The unspent tokens of a process that ended without returning them are reclaimed by the
next process on its host, which knows that it has ended. Other routers cannot know: a
cut may make the address of a live process silent or refuse connections.

In a small fleet every router refills its holdings from the store. In a large fleet one
router of each region, the account's allocator, refills its holding of the account and
allocates tokens to the other routers of the region.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import attrs
import msgspec

from ..model import RowCheck, RowKey, RowWrite
from .budget_rows import (
    ACCOUNT_TABLE,
    HOLDER_TABLE,
    REPORT_TABLE,
    AccountRow,
    HolderRow,
    make_part,
    reclaim,
)
from .decoding import decode_json
from .earlier_eras import EarlierEras
from .store import ConflictError, StoreError

if TYPE_CHECKING:
    import random
    from collections.abc import Callable, Container

    from ..model import Row
    from .budget import BudgetBook
    from .budget_rows import Attempt
    from .log import Log
    from .neighbourhood import Neighbourhood
    from .store import StoreClient

__all__ = ["BudgetKeeper"]

# Interval between renewals: several within the lease of 2.3 s, even if the answer to
# one of them is lost.
RENEWAL_INTERVAL_S = 0.25
# Renewals of all routers together; a partition of the store handles 200 transactions
# a second.
RENEWALS_PER_S = 150
MIN_RENEWAL_INTERVAL_S = 0.03  # Between renewals that requests wait for.
MAX_CONFLICTS = 4  # Immediate attempts at a transaction that meets conflicts.
# Accounts that are refilled one at a time after a conflict; a call across regions
# takes 64 ms.
MAX_SINGLE_REFILLS = 4
# Time for the routers of a starting fleet to write their first rows; all machines
# start within 0.3 s of each other.
FIRST_ROWS_S = 0.7
# Time until the routers of a starting fleet agree on the allocators: machines start
# within 0.3 s, and leaders announce them every 1.2 s.
SETTLE_S = 8.0
# Smallest share of an allocator's free tokens that the limit allows to be spent, since
# the demand of a region may grow tenfold within one renewal interval.
ALLOCATOR_LIMIT_SHARE = 0.1
# Renewal interval of a router that is the allocator of no account: its row holds no
# more tokens than the requests in progress use.
IDLE_INTERVAL_S = 2.0
READ_INTERVAL_S = 4.0  # Between reads of the tables, to find tokens others returned.
# Longest random delay of a router's first row after a restore of the store, in a fleet
# whose routers would otherwise all write theirs at the same moment.
REWRITE_SPREAD_S = 1.0
CLOCK_ERROR_S = 0.5  # Of a time by the store's clock; a round trip takes 0.06 s.
# Time in which the next process of a host replaces the row of a stopped one.
SUCCESSOR_WAIT_S = 10.0
RETRY_S = 0.3  # Interval between calls to a store that does not answer.


@attrs.define
class _DeadProcess:
    """A process known to be dead whose tokens have not been reclaimed yet."""

    key: str
    row: HolderRow
    version: int
    dead_by_s: float  # Time on the store's clock by which the process was dead.


class BudgetKeeper:
    """Renews this process's row, refills holdings and reclaims dead processes' tokens.

    Parameters
    ----------
    book : BudgetBook
        The token holdings of this process.
    store : StoreClient
        The store.
    log : Log
        The router's log.
    key : str
        This process's key in the table of holders.
    on_change : callable
        Called after each renewal, since more tokens may be spendable.
    on_holder : callable
        Called with each process's row that is read.
    neighbourhood : Neighbourhood
        Determines the accounts that this router refills from the store.
    generator : random.Random
        Source of random numbers.
    started_at : float
        Start time of this process on the clock of `read_clock`.
    """

    def __init__(
        self,
        book: BudgetBook,
        store: StoreClient,
        log: Log,
        key: str,
        on_change: Callable[[], None],
        on_holder: Callable[[HolderRow], None],
        neighbourhood: Neighbourhood,
        generator: random.Random,
        started_at: float,
    ) -> None:
        self.book = book
        self._store = store
        self._log = log
        self._key = key
        self._on_change = on_change
        self._on_holder = on_holder
        self._neighbourhood = neighbourhood
        self._random = generator
        self._renewal_requested = asyncio.Event()
        self._dead: dict[str, _DeadProcess] = {}
        self.host_count = 1
        self.sharer_count = 1  # Routers that share the initial grants; 0 for none.
        self.has_loaded = False
        self.is_in_step = False
        self.reclaimed_tokens = 0
        self._process_started_at = started_at
        self._earlier_eras = EarlierEras(book, store, log)
        self.rows_written_again = 0

    def begin_era(self, era: int) -> None:
        """Prepare for new rows, because the store was restored from an older copy."""
        self.book.begin_era(era)
        self._dead.clear()
        self._renewal_requested.set()

    def request_renewal(self) -> None:
        """Request a renewal now, because a request waits for tokens."""
        self._renewal_requested.set()

    async def run(self) -> None:
        """Load the tables, then renew and reclaim until cancelled."""
        while True:
            if await self.load():
                break
            await asyncio.sleep(RETRY_S)
        await self.renew_row()
        await self.reclaim_dead()
        await self._count_starting_hosts()
        read_at = self.book.now()
        while True:
            if not self.book.row_version and self._neighbourhood.is_large:
                # After a restore all routers write their rows again.
                await asyncio.sleep(self._random.uniform(0, REWRITE_SPREAD_S))
            done = await self.renew()
            if done:
                await self.reclaim_dead()
                await self._update_carryover()
                if self.book.now() - read_at > READ_INTERVAL_S:
                    read_at = self.book.now()
                    await self._read_tables()
            gap_s = MIN_RENEWAL_INTERVAL_S if done else RETRY_S
            await asyncio.sleep(gap_s)
            try:
                async with asyncio.timeout(self._find_interval_s() - gap_s):
                    await self._renewal_requested.wait()
            except TimeoutError:
                pass
            self._renewal_requested.clear()

    def _find_interval_s(self) -> float:
        """Return the interval between renewals, in seconds.

        It grows with the number of routers, since a partition of the store handles
        200 transactions a second. In a large fleet only the allocators count: the
        other routers hold no tokens ahead of demand and renew less often.
        """
        n_renewing = self.host_count
        if self._neighbourhood.is_large:
            if not self._list_own_accounts():
                return IDLE_INTERVAL_S
            n_renewing = min(n_renewing, len(self.book.prepaid) * self.sharer_count)
        return max(RENEWAL_INTERVAL_S, n_renewing / RENEWALS_PER_S)

    async def _count_starting_hosts(self) -> None:
        """Wait for the rows of other hosts and count them, if none was found yet.

        When a whole fleet starts, each process reads the table before the others have
        written their rows; the initial grants wait until all hosts are counted.
        """
        if self.host_count > 1:
            return
        await asyncio.sleep(FIRST_ROWS_S)
        await self._read_tables()

    async def _read_tables(self) -> None:
        """Read the rows of all processes and accounts."""
        try:
            accounts = await self._store.read_table(ACCOUNT_TABLE, self._part)
            for row in accounts.rows:
                self._update_account(row)
            await self.read_holders()
        except StoreError as error:
            self._log.write("budget: store does not answer", error=str(error))

    @property
    def _part(self) -> str:
        """The partition with the rows of the current era."""
        return make_part(self.book.era)

    async def _update_carryover(self) -> None:
        """Find out what earlier eras have granted, as far as this is not known yet.

        A router that refills no accounts does not need to know.
        """
        if self.book.carryover is None and not self._list_own_accounts():
            return
        try:
            await self._earlier_eras.update()
        except StoreError as error:
            self._log.write("budget: cannot read earlier eras", error=str(error))

    def note_dead(
        self, key: str, row: HolderRow, version: int, dead_by_s: float
    ) -> None:
        """Record that a process was dead by `dead_by_s` on the store's clock.

        That a process does not answer, or that its address refuses connections, does
        not show this.
        """
        self._dead.setdefault(key, _DeadProcess(key, row, version, dead_by_s))

    async def read_holders(self) -> dict[str, tuple[HolderRow, int]]:
        """Return the rows of all processes, by key, with their versions.

        Raises
        ------
        StoreError
            If the store does not answer.
        """
        started_at = self.book.now()
        answer = await self._store.read_table(HOLDER_TABLE, self._part)
        self._log.write(
            "budget: rows read",
            rows=len(answer.rows),
            bytes=sum(len(row.value) for row in answer.rows),
            took_s=round(self.book.now() - started_at, 3),
        )
        holders = {}
        for row in answer.rows:
            try:
                holder = decode_json(row.value, HolderRow)
            except ValueError as error:
                self._log.write("budget: row unreadable", key=row.key, error=str(error))
                continue
            holders[row.key] = (holder, row.version)
            if not holder.has_ended:
                self._on_holder(holder)
        self._remove_ended(holders)
        hosts = {h.host for h, _ in holders.values() if not h.has_ended}
        self._neighbourhood.note_rows_read(hosts)
        self.host_count = max(1, len(hosts))
        self.sharer_count = self.host_count
        if self._neighbourhood.is_large:
            self.sharer_count = self._neighbourhood.count_regions()
            if self.book.now() - self._process_started_at < SETTLE_S:
                # The allocators still change while routers discover each other.
                self.sharer_count = 0
        return holders

    async def load(self) -> bool:
        """Read all rows of accounts and processes; return whether it succeeded."""
        try:
            era = self.book.era
            accounts = await self._store.read_table(ACCOUNT_TABLE, self._part)
            if self.book.era != era:
                # The first answer has told the store's era.
                accounts = await self._store.read_table(ACCOUNT_TABLE, self._part)
            holders = await self.read_holders()
        except StoreError as error:
            self._log.write("budget: store does not answer", error=str(error))
            return False
        for row in accounts.rows:
            self._update_account(row)
        clock = self._store.clock
        started_s = clock.read_latest(self._process_started_at)
        self.book.started_s = started_s
        for key, (holder, version) in holders.items():
            if holder.host != self.book.host or key == self._key:
                continue
            # An earlier process of this host, dead before this one started.
            self._dead[key] = _DeadProcess(key, holder, version, started_s)
        self.has_loaded = True
        return True

    async def renew(self) -> bool:
        """Renew this process's row and refill holdings; return whether it succeeded.

        All routers change the rows of the accounts. After a conflict on one of them,
        this process's row is renewed alone, so that its lease does not expire. Then
        accounts are refilled one at a time, in the order in which their tokens run out.
        """
        accounts = self._list_own_accounts()
        is_large = self._neighbourhood.is_large
        self.book.min_limit_share = ALLOCATOR_LIMIT_SHARE if is_large else 0.0
        released = self.book.prepaid.keys() - set(accounts)
        outcome = await self._renew_once(accounts, released)
        if outcome is None:
            outcome = await self._renew_one_by_one(accounts)
        elif outcome and self.book.is_stamp_old():
            # The row was written with the old timestamp of an attempt in doubt.
            outcome = await self._renew_once(accounts) is not False
        if outcome != self.is_in_step:
            self.is_in_step = outcome
            state = "regained" if outcome else "lost"
            self._log.write(f"budget: store {state}")
        self._on_change()
        return outcome

    async def _renew_one_by_one(self, accounts: list[str]) -> bool:
        """Renew the row alone, then refill the accounts that run out first."""
        if await self.renew_row() is False:
            return False
        urgent = sorted(accounts, key=self.book.estimate_supply_s)
        for account in urgent[:MAX_SINGLE_REFILLS]:
            for _ in range(MAX_CONFLICTS):
                outcome = await self._renew_once([account])
                if outcome is False:
                    return False
                if outcome:
                    break
        return True

    def _list_own_accounts(self) -> list[str]:
        """Return the accounts that this router refills from the store."""
        return [
            account
            for account in self.book.prepaid
            if not self._neighbourhood.rank_allocators(account)
        ]

    async def renew_row(self) -> bool | None:
        """Renew this process's row without changing its holdings."""
        return await self._renew_once([])

    async def _renew_once(
        self, changed: list[str], released: Container[str] = ()
    ) -> bool | None:
        """Plan and commit one transaction; return None after a conflict."""
        clock_s = self._store.clock.read_earliest(self.book.now())
        attempt = self.book.plan(clock_s, self.sharer_count, changed, released)
        return await self._transact(attempt)

    async def give_back(self, *, is_final: bool) -> bool:
        """Return all unspent tokens to the store, at a planned stop."""
        for _ in range(MAX_CONFLICTS):
            attempt = self.book.plan_return(is_final=is_final)
            outcome = await self._transact(attempt)
            if outcome is not None:
                return outcome
        return False

    async def _transact(self, attempt: Attempt) -> bool | None:
        """Commit an attempt; return whether it succeeded, None after a conflict."""
        checks, writes = self._list_changes(attempt)
        try:
            version = await self._store.transact(checks, writes)
        except ConflictError as error:
            self._handle_conflict(attempt, error.rows)
            return None
        except StoreError as error:
            if not error.is_unknown:
                self.book.reject(attempt)
            return False
        if not self.book.apply(attempt, version):
            return False
        if attempt.report is not None:
            self.rows_written_again += 1
            self._log.write("budget: row written again", era=attempt.era)
        if attempt.grants:
            self._log.write(
                "budget: tokens moved", changes=attempt.grants, version=version
            )
        return True

    def _list_changes(self, attempt: Attempt) -> tuple[list[RowCheck], list[RowWrite]]:
        """Return the checks and writes of an attempt's transaction."""
        part = make_part(attempt.era)
        own = RowKey(HOLDER_TABLE, part, self._key)
        checks = [RowCheck(own, attempt.base_version)]
        writes = [RowWrite(own, msgspec.json.encode(attempt.row))]
        for account, (version, granted) in attempt.accounts.items():
            key = RowKey(ACCOUNT_TABLE, part, account)
            checks.append(RowCheck(key, version))
            writes.append(RowWrite(key, msgspec.json.encode(AccountRow(out=granted))))
        if attempt.report is not None:
            key = RowKey(REPORT_TABLE, part, self._key)
            writes.append(RowWrite(key, msgspec.json.encode(attempt.report)))
        return checks, writes

    def _handle_conflict(self, attempt: Attempt, rows: list[Row]) -> None:
        """Update this process's state from the rows that the store returned."""
        if attempt.era != self.book.era:
            return
        is_own_row_seen = False
        for row in rows:
            if row.table == ACCOUNT_TABLE:
                self._update_account(row)
            elif row.key == self._key and not row.is_removed and row.version:
                is_own_row_seen = True
                self._reconcile_own_row(row)
        if not is_own_row_seen and attempt.base_version:
            self.book.reconcile_own_row(None, -1)
        self.book.reject(attempt)
        if self.book.is_closed:
            self._log.write("budget: own row removed by another router", key=self._key)
            self.book.reset()

    def _reconcile_own_row(self, row: Row) -> None:
        """Resolve the attempts in doubt by this process's row."""
        try:
            holder = decode_json(row.value, HolderRow)
        except ValueError as error:
            self._log.write("budget: own row unreadable", error=str(error))
            return
        self.book.reconcile_own_row(holder, row.version)

    def _update_account(self, row: Row) -> None:
        """Record an account's row, unless it is removed or unreadable."""
        if row.is_removed or not row.version:
            return
        try:
            account = decode_json(row.value, AccountRow)
        except ValueError as error:
            self._log.write("budget: row unreadable", key=row.key, error=str(error))
            return
        self.book.update_account(row.key, account.out, row.version)

    async def reclaim_dead(self) -> None:
        """Reclaim the unspent tokens of all processes known to be dead."""
        for dead in list(self._dead.values()):
            try:
                await self._reclaim(dead)
            except StoreError as error:
                self._log.write(
                    "budget: reclaim failed", key=dead.key, error=str(error)
                )
                return

    async def _reclaim(self, dead: _DeadProcess) -> None:
        """Remove a dead process's row and add its unspent tokens to the own row.

        No account's row changes, so that refills of other routers do not conflict.
        """
        tokens = reclaim(dead.row, dead.dead_by_s)
        attempt = self.book.plan_reclaim(tokens)
        own = RowKey(HOLDER_TABLE, make_part(attempt.era), self._key)
        key = RowKey(HOLDER_TABLE, make_part(attempt.era), dead.key)
        checks = [RowCheck(key, dead.version), RowCheck(own, attempt.base_version)]
        writes = [RowWrite(own, msgspec.json.encode(attempt.row))]
        try:
            version = await self._store.transact(checks, writes, [key])
        except ConflictError as error:
            self._handle_conflict(attempt, error.rows)
            if self._is_gone(dead, error.rows):
                self._dead.pop(dead.key, None)
            return
        except StoreError as error:
            if not error.is_unknown:
                self.book.reject(attempt)
            raise
        if not self.book.apply(attempt, version):
            return
        self._dead.pop(dead.key, None)
        self._note_removed(dead)
        total = sum(tokens.values())
        self.reclaimed_tokens += total
        self._log.write(
            "budget: tokens reclaimed",
            key=dead.key,
            tokens=total,
            held=sum(entry[0] for entry in dead.row.held.values()),
            stamp_s=dead.row.stamp_s,
            dead_by_s=dead.dead_by_s,
        )

    def _note_removed(self, dead: _DeadProcess) -> None:
        """Remember what a removed row shows, and take its place on this host."""
        row = dead.row
        if not row.has_report:
            granted = {account: entry[3] for account, entry in row.held.items()}
            self.book.note_ended(dead.key, granted)
        if row.host == self.book.host:
            now_s = self._store.clock.read_earliest(self.book.now())
            since_stamp_s = max(0.0, now_s - row.stamp_s - CLOCK_ERROR_S)
            self.book.inherit(row.first_row_age_s + since_stamp_s)

    def _remove_ended(self, holders: dict[str, tuple[HolderRow, int]]) -> None:
        """Remove the rows of stopped processes that no successor has replaced.

        In a large fleet a few routers of each data centre do so.
        """
        is_large = self._neighbourhood.is_large
        if is_large and not self._neighbourhood.is_follower_candidate():
            return
        now_s = self._store.clock.read_earliest(self.book.now())
        for key, (row, version) in holders.items():
            if row.has_ended and now_s - row.stamp_s > SUCCESSOR_WAIT_S:
                self.note_dead(key, row, version, row.stamp_s)

    @staticmethod
    def _is_gone(dead: _DeadProcess, rows: list[Row]) -> bool:
        """Whether the row was removed, or changed by its process, which is alive."""
        for row in rows:
            if row.key == dead.key and row.version == dead.version:
                return row.is_removed
        return True
