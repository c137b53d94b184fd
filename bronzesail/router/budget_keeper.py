"""Keeps this process's budgets in step with the store."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import attrs
import msgspec

from ..model import RowCheck, RowKey, RowWrite
from .budget import AccountRow, Attempt, BudgetBook, HolderRow, reclaim
from .store import ConflictError, StoreError

if TYPE_CHECKING:
    import random
    from collections.abc import Callable, Container

    from ..model import Row
    from .log import Log
    from .neighbourhood import Neighbourhood
    from .store import StoreClient

__all__ = ["ACCOUNT_TABLE", "HOLDER_TABLE", "PART", "BudgetKeeper"]

ACCOUNT_TABLE = "accounts"
HOLDER_TABLE = "holders"
PART = "budget"  # One part, since a transaction spans one part only.
RENEWAL_S = 0.25  # Several within the lease of 2.3 s, also after one lost answer.
RENEWALS_PER_S = 150  # Of all routers; a part of the store takes 200 a second.
URGENT_GAP_S = 0.03  # Between two renewals that requests wait for.
MAX_CONFLICTS = 4  # Immediate retries after a conflict with another router.
MAX_SINGLE = 4  # Accounts tried one at a time; a call across regions takes 64 ms.
ANNOUNCE_S = 0.7  # All machines start within 0.3 s of each other.
SETTLE_S = 8.0  # Machines start within 0.3 s; leaders tell of them every 1.2 s.
BANKER_AHEAD_SHARE = 0.1  # A region's demand may rise tenfold within a renewal.
IDLE_RENEWAL_S = 2.0  # Of a row that holds no more than requests in progress use.
LOOK_S = 4.0  # Tokens given back by others are seen after this.
RETRY_S = 0.3  # Between calls to a store that does not answer.


@attrs.define
class _Dead:
    key: str
    row: HolderRow
    version: int
    dead_by_s: float


class BudgetKeeper:
    """Renews this process's row, refills holdings and reclaims dead processes' tokens.

    Parameters
    ----------
    book : BudgetBook
        The budgets.
    store : StoreClient
        The store.
    log : Log
        Where decisions are written.
    key : str
        This process's key in the table of holders.
    on_change : callable
        Called after tokens may have arrived.
    on_holder : callable
        Called with each row of a process that is read.
    neighbourhood : Neighbourhood
        Says which accounts this router refills from the store.
    generator : random.Random
        Source of random numbers.
    started_at : float
        When this process started, as `read_clock` has it.
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
        self._wanted = asyncio.Event()
        self._dead: dict[str, _Dead] = {}
        self.host_count = 1
        self.sharer_count = 1  # Routers that share the first grants.
        self.has_loaded = False
        self.is_in_step = False
        self.reclaimed_tokens = 0

        self._process_started_at = started_at

    def request_renewal(self) -> None:
        """Ask for a renewal now, because a request waits for tokens."""
        self._wanted.set()

    async def run(self) -> None:
        """Renew until cancelled."""
        while True:
            if await self.load():
                break
            await asyncio.sleep(RETRY_S)
        await self.renew_row()
        await self.reclaim_dead()
        await self._announce()
        looked_at = self.book.now()
        while True:
            done = await self.renew()
            if done:
                await self.reclaim_dead()
                if self.book.now() - looked_at > LOOK_S:
                    looked_at = self.book.now()
                    await self._look()
            gap_s = URGENT_GAP_S if done else RETRY_S
            await asyncio.sleep(gap_s)
            try:
                async with asyncio.timeout(self._find_pause() - gap_s):
                    await self._wanted.wait()
            except TimeoutError:
                pass
            self._wanted.clear()

    def _find_pause(self) -> float:
        """Return the seconds between renewals; a part of the store takes 200 a second.

        In a large fleet only bankers hold tokens ahead of requests.
        """
        n_bankers = self.host_count
        if self._neighbourhood.is_large:
            if not self._list_banked():
                return IDLE_RENEWAL_S
            n_bankers = min(n_bankers, len(self.book.prepaid) * self.sharer_count)
        return max(RENEWAL_S, n_bankers / RENEWALS_PER_S)

    async def _announce(self) -> None:
        """Count the hosts that share the budgets, where none was there before.

        When a whole fleet starts, each process reads the rows before the others have
        written theirs; the first grants wait until all are counted.
        """
        if self.host_count > 1:
            return
        await asyncio.sleep(ANNOUNCE_S)
        await self._look()

    async def _look(self) -> None:
        """Read what the other processes hold and what the accounts have left."""
        try:
            accounts = await self._store.read_table(ACCOUNT_TABLE, PART)
            await self.read_holders()
        except StoreError as error:
            self._log.write("budget: store does not answer", error=str(error))
            return
        for row in accounts.rows:
            self._see_account(row)

    def note_dead(
        self, key: str, row: HolderRow, version: int, dead_by_s: float
    ) -> None:
        """Take it that a process was dead at a time on the store's clock."""
        self._dead.setdefault(key, _Dead(key, row, version, dead_by_s))

    async def read_holder(self, key: str) -> tuple[HolderRow, int] | None:
        """Return the row of one process with its version, None if there is none.

        Raises
        ------
        StoreError
            If the store does not answer.
        """
        row = await self._store.read_row(HOLDER_TABLE, PART, key)
        if row is None:
            return None
        try:
            return msgspec.json.decode(row.value, type=HolderRow), row.version
        except msgspec.DecodeError as error:
            self._log.write("budget: row unreadable", key=key, error=str(error))
            return None

    async def read_holders(self) -> dict[str, tuple[HolderRow, int]]:
        """Return the rows of all processes, by key, with their versions.

        Raises
        ------
        StoreError
            If the store does not answer.
        """
        started_at = self.book.now()
        answer = await self._store.read_table(HOLDER_TABLE, PART)
        self._log.write(
            "budget: rows read",
            rows=len(answer.rows),
            bytes=sum(len(row.value) for row in answer.rows),
            took_s=round(self.book.now() - started_at, 3),
        )
        holders = {}
        for row in answer.rows:
            try:
                holder = msgspec.json.decode(row.value, type=HolderRow)
            except msgspec.DecodeError as error:
                self._log.write("budget: row unreadable", key=row.key, error=str(error))
                continue
            holders[row.key] = (holder, row.version)
            self._on_holder(holder)
        hosts = {holder.host for holder, _ in holders.values()}
        self._neighbourhood.note_rows_read(hosts)
        self.host_count = max(1, len(hosts))
        self.sharer_count = self.host_count
        if self._neighbourhood.is_large:
            self.sharer_count = self._neighbourhood.count_regions()
            if self.book.now() - self._process_started_at < SETTLE_S:
                # Bankers still change while the routers learn of each other.
                self.sharer_count = 0
        return holders

    async def load(self) -> bool:
        """Read the rows of accounts and processes once; tell whether it worked."""
        try:
            accounts = await self._store.read_table(ACCOUNT_TABLE, PART)
            holders = await self.read_holders()
        except StoreError as error:
            self._log.write("budget: store does not answer", error=str(error))
            return False
        for row in accounts.rows:
            self._see_account(row)
        clock = self._store.clock
        started_s = clock.read_latest(self._process_started_at)
        self.book.started_s = started_s
        for key, (holder, version) in holders.items():
            if holder.host != self.book.host or key == self._key:
                continue
            # Another process of this host was dead before this one started.
            self._dead[key] = _Dead(key, holder, version, started_s)
        self.has_loaded = True
        return True

    async def renew(self) -> bool:
        """Carry out one transaction on this process's row; tell whether it worked.

        Rows of accounts change at every router. After a conflict over them the own
        row is renewed alone, so that its stamp does not age, and then the accounts
        that are short are tried one at a time, the shortest first.
        """
        accounts = self._list_banked()
        is_large = self._neighbourhood.is_large
        self.book.ahead_share = BANKER_AHEAD_SHARE if is_large else 0.0
        released = self.book.prepaid.keys() - set(accounts)
        outcome = await self._renew_once(accounts, released)
        if outcome is None:
            outcome = await self._renew_singly(accounts)
        elif outcome and self.book.is_stamp_old():
            # It carried the stamp of an attempt that was in doubt.
            outcome = await self._renew_once(accounts) is not False
        if outcome != self.is_in_step:
            self.is_in_step = outcome
            state = "regained" if outcome else "lost"
            self._log.write(f"budget: store {state}")
        self._on_change()
        return outcome

    async def _renew_singly(self, accounts: list[str]) -> bool:
        if await self.renew_row() is False:
            return False
        short = sorted(accounts, key=self.book.estimate_cover)
        for account in short[:MAX_SINGLE]:
            for _ in range(MAX_CONFLICTS):
                outcome = await self._renew_once([account])
                if outcome is False:
                    return False
                if outcome:
                    break
        return True

    def _list_banked(self) -> list[str]:
        """Return the accounts that this router refills from the store."""
        return [
            account
            for account in self.book.prepaid
            if not self._neighbourhood.rank_allocators(account)
        ]

    async def renew_row(self) -> bool | None:
        """Renew this process's row without any change of what it holds."""
        return await self._renew_once([])

    async def _renew_once(
        self, changed: list[str], released: Container[str] = ()
    ) -> bool | None:
        clock_s = self._store.clock.read_earliest(self.book.now())
        attempt = self.book.plan(clock_s, self.sharer_count, changed, released)
        return await self._transact(attempt)

    async def give_back(self, *, is_final: bool) -> bool:
        """Return all tokens that are not spent, at a planned stop."""
        for _ in range(MAX_CONFLICTS):
            attempt = self.book.plan_return(is_final=is_final)
            outcome = await self._transact(attempt)
            if outcome is not None:
                return outcome
        return False

    async def _transact(self, attempt: Attempt) -> bool | None:
        """Return whether it worked, or None after a conflict."""
        own = RowKey(HOLDER_TABLE, PART, self._key)
        checks = [RowCheck(own, attempt.base_version)]
        writes: list[RowWrite] = []
        removals: list[RowKey] = []
        if not attempt.is_final:
            writes.append(RowWrite(own, msgspec.json.encode(attempt.row)))
        elif attempt.base_version:
            removals.append(own)
        for account, (version, out) in attempt.accounts.items():
            key = RowKey(ACCOUNT_TABLE, PART, account)
            checks.append(RowCheck(key, version))
            writes.append(RowWrite(key, msgspec.json.encode(AccountRow(out=out))))
        try:
            version = await self._store.transact(checks, writes, removals)
        except ConflictError as error:
            self._take_conflict(attempt, error.rows)
            return None
        except StoreError as error:
            if not error.is_unknown:
                self.book.reject(attempt)
            return False
        self.book.apply(attempt, version)
        if attempt.grants:
            self._log.write(
                "budget: tokens moved", changes=attempt.grants, version=version
            )
        return True

    def _take_conflict(self, attempt: Attempt, rows: list[Row]) -> None:
        is_own_row_seen = False
        for row in rows:
            if row.table == ACCOUNT_TABLE:
                self._see_account(row)
            elif row.key == self._key and not row.is_removed and row.version:
                is_own_row_seen = True
                self._see_own_row(row)
        if not is_own_row_seen and attempt.base_version:
            self.book.see_own_row(None, -1)
        self.book.reject(attempt)
        if self.book.is_closed:
            self._log.write("budget: row closed by another router", key=self._key)
            self.book.start_over()

    def _see_own_row(self, row: Row) -> None:
        try:
            holder = msgspec.json.decode(row.value, type=HolderRow)
        except msgspec.DecodeError as error:
            self._log.write("budget: own row unreadable", error=str(error))
            return
        self.book.see_own_row(holder, row.version)

    def _see_account(self, row: Row) -> None:
        if row.is_removed or not row.version:
            return
        try:
            account = msgspec.json.decode(row.value, type=AccountRow)
        except msgspec.DecodeError as error:
            self._log.write("budget: row unreadable", key=row.key, error=str(error))
            return
        self.book.see_account(row.key, account.out, row.version)

    async def reclaim_dead(self) -> None:
        """Take over what the processes known to be dead had not spent."""
        for dead in list(self._dead.values()):
            try:
                await self._reclaim(dead)
            except StoreError as error:
                self._log.write(
                    "budget: reclaim failed", key=dead.key, error=str(error)
                )
                return

    async def _reclaim(self, dead: _Dead) -> None:
        """Take a dead process's row away, and its tokens into the own row.

        No row of an account changes, so that no other router's refill conflicts.
        """
        tokens = reclaim(dead.row, dead.dead_by_s)
        own = RowKey(HOLDER_TABLE, PART, self._key)
        key = RowKey(HOLDER_TABLE, PART, dead.key)
        attempt = self.book.plan_adoption(tokens)
        checks = [RowCheck(key, dead.version), RowCheck(own, attempt.base_version)]
        writes = [RowWrite(own, msgspec.json.encode(attempt.row))]
        try:
            version = await self._store.transact(checks, writes, [key])
        except ConflictError as error:
            self._take_conflict(attempt, error.rows)
            if self._is_gone(dead, error.rows):
                self._dead.pop(dead.key, None)
            return
        except StoreError as error:
            if not error.is_unknown:
                self.book.reject(attempt)
            raise
        self.book.apply(attempt, version)
        self._dead.pop(dead.key, None)
        total = sum(tokens.values())
        self.reclaimed_tokens += total
        self._log.write(
            "budget: tokens reclaimed",
            key=dead.key,
            tokens=total,
            held=sum(held for held, _, _ in dead.row.held.values()),
            stamp_s=dead.row.stamp_s,
            dead_by_s=dead.dead_by_s,
        )

    @staticmethod
    def _is_gone(dead: _Dead, rows: list[Row]) -> bool:
        """Whether another router took the row, or the process was alive after all."""
        for row in rows:
            if row.key == dead.key and row.version == dead.version:
                return row.is_removed
        return True
