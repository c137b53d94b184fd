"""Reads and conditional writes of budget rows and ledger pages."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from ..schema import BudgetRow, LedgerPage, Row, RowWrite
from ..schema.codec import decode_as, encode
from ..storage import OutcomeUnknownError, PlatformError
from ._escrow import make_budget_key
from ._ledger import Ledger, make_ledger_prefix

if TYPE_CHECKING:
    from ..storage import Table
    from ..util.clock import Clock
    from ._holder import Holder
    from ._ledger import Charge
    from ._plans import HolderPlan
    from ._settings import BudgetSettings

__all__ = ["BudgetStore", "StoreStatistics"]

# Rows requested by one scan call.
ROWS_PER_SCAN = 1000
# Digest lookups in full ledger pages that are cached before the cache is cleared.
MAX_CACHED_LOOKUPS = 10_000


@attrs.define
class StoreStatistics:
    """Counts of calls to the table service made for budgets.

    Attributes
    ----------
    n_transactions : int
        Transactions sent.
    n_conflicts : int
        Transactions refused because of a row version.
    n_reads : int
        Reads and scans sent.
    n_failures : int
        Failures; those during the pause after a failure are not counted.
    """

    n_transactions: int = 0
    n_conflicts: int = 0
    n_reads: int = 0
    n_failures: int = 0


class BudgetStore:
    """Budget rows and ledger pages in the table service.

    Parameters
    ----------
    table : Table
        The table service.
    clock : Clock
        Source of the time.
    settings : BudgetSettings
        Settings of every budget.
    """

    def __init__(self, table: Table, clock: Clock, settings: BudgetSettings) -> None:
        self.statistics = StoreStatistics()
        self._table = table
        self._clock = clock
        self._settings = settings
        self._retry_at = 0.0
        self._retry_s = settings.store_retry_s
        self._ledgers: dict[str, Ledger] = {}
        self._cached_lookups: dict[bytes, bool] = {}

    def can_call(self) -> bool:
        """Tell whether the table service may be called, outside a retry pause."""
        return self._clock.monotonic() >= self._retry_at

    def note_failure(self) -> None:
        """Start a retry pause; its length doubles with each failure up to a limit."""
        if not self.can_call():
            return
        self.statistics.n_failures += 1
        self._retry_at = self._clock.monotonic() + self._retry_s
        max_retry_s = self._settings.store_longest_retry_s
        self._retry_s = min(max_retry_s, self._retry_s * 2.0)

    def note_success(self) -> None:
        """End the retry pause and reset its length."""
        self._retry_at = 0.0
        self._retry_s = self._settings.store_retry_s

    async def read_row(self, account: str, budget: str) -> tuple[BudgetRow | None, int]:
        """Return a budget's row and its version; None if there is none."""
        self.statistics.n_reads += 1
        (row,) = await self._table.read((make_budget_key(account, budget),))
        if row.version == 0:
            return None, 0
        return decode_as(row.value, BudgetRow), row.version

    async def scan_rows(self) -> list[tuple[BudgetRow, int]]:
        """Return every budget's row with its version."""
        found: list[tuple[BudgetRow, int]] = []
        for row in await self._scan("budget/"):
            found.append((decode_as(row.value, BudgetRow), row.version))
        return found

    async def refresh(self, holder: Holder) -> bool:
        """Read a holder's row; returns False if the budget does not exist."""
        row, version = await self.read_row(holder.account, holder.budget)
        if row is None:
            holder.abandon()
            return False
        holder.observe(row, version, self._clock.monotonic())
        return True

    async def commit(self, holder: Holder, plan: HolderPlan) -> bool:
        """Commit a holder's transaction and report its outcome to the holder.

        If the outcome is unknown, the row and the last ledger page are read again.

        Parameters
        ----------
        holder : Holder
            The holder that made the plan.
        plan : HolderPlan
            The transaction.

        Returns
        -------
        bool
            Whether it was committed.

        Raises
        ------
        PlatformError
            If the table service did not answer; the holder's transaction stays in
            flight if it may have taken effect.
        """
        holder.begin(plan)
        writes = self.make_writes(plan.row, plan.expected_version, plan.charges)
        try:
            reply = await self._transact(writes)
        except OutcomeUnknownError:
            await self.refresh(holder)
            await self._reload_last_page(holder.account)
            return False
        except PlatformError:
            holder.abandon()
            raise
        now = self._clock.monotonic()
        if reply is None:
            holder.observe(plan.row, plan.expected_version + 1, now)
            return True
        for row in reply:
            if row.key == writes[0].key:
                holder.observe(decode_as(row.value, BudgetRow), row.version, now)
        holder.abandon()
        return False

    async def commit_row(
        self, row: BudgetRow, version: int, charges: tuple[Charge, ...] = ()
    ) -> bool:
        """Write a budget row, with charges, outside of a holder's plan.

        Parameters
        ----------
        row : BudgetRow
            New content.
        version : int
            Version that the stored row must have.
        charges : tuple of Charge
            Charges to append.

        Returns
        -------
        bool
            Whether it was committed; a conflict gives False.

        Raises
        ------
        PlatformError
            If the table service did not answer.
        """
        try:
            return await self._transact(self.make_writes(row, version, charges)) is None
        except OutcomeUnknownError:
            await self._reload_last_page(row.account)
            raise

    def make_writes(
        self, row: BudgetRow, version: int, charges: tuple[Charge, ...]
    ) -> tuple[RowWrite, ...]:
        """Return the writes of a transaction: the row, then the ledger page if any."""
        key = make_budget_key(row.account, row.budget)
        writes = [RowWrite(key, version, encode(row))]
        if charges:
            ledger = self._ledgers[row.account]
            at_s = int(self._clock.wall())
            writes.append(ledger.plan_append(charges, row.budget, at_s))
        return tuple(writes)

    # The ledger.

    async def load_ledger(self, account: str, is_fresh: bool = False) -> Ledger:
        """Return a client account's ledger.

        Parameters
        ----------
        account : str
            Client account.
        is_fresh : bool
            Whether the last page is read again. Otherwise the copy may lack a charge
            that another router has appended; a transaction with charges then conflicts.

        Returns
        -------
        Ledger
            The ledger.

        Raises
        ------
        PlatformError
            If the table service did not answer.
        """
        ledger = self._ledgers.get(account)
        if ledger is None:
            ledger = Ledger(account, self._settings.page_lines)
            self._ledgers[account] = ledger
        if ledger.is_loaded and not is_fresh:
            return ledger
        for row in await self._scan(make_ledger_prefix(account), ledger.last_page_key):
            ledger.observe(row)
        ledger.is_loaded = True
        return ledger

    async def look_up_digests(self, ledger: Ledger, digests: list[bytes]) -> None:
        """Look up digests exactly whose prefix is on a full page.

        Reads every page of the ledger, unless each result is cached. Must be called
        before `is_charged`.
        """
        if len(self._cached_lookups) > MAX_CACHED_LOOKUPS:
            self._cached_lookups.clear()
        unconfirmed = [
            digest
            for digest in digests
            if ledger.may_contain(digest)
            and not ledger.is_on_last_page(digest)
            and not self._cached_lookups.get(digest, False)
        ]
        if not unconfirmed:
            return
        charged: set[bytes] = set()
        for row in await self._scan(make_ledger_prefix(ledger.account)):
            page = decode_as(row.value, LedgerPage)
            charged.update(line.digest for line in page.lines)
        for digest in unconfirmed:
            self._cached_lookups[digest] = digest in charged

    def is_charged(self, ledger: Ledger, digest: bytes) -> bool:
        """Tell whether a digest that `look_up_digests` has processed is charged."""
        if ledger.is_on_last_page(digest):
            return True
        return ledger.may_contain(digest) and self._cached_lookups.get(digest, True)

    async def _reload_last_page(self, account: str) -> None:
        """Read the last page of a loaded ledger, and the pages after it, again."""
        ledger = self._ledgers.get(account)
        if ledger is None or not ledger.is_loaded:
            return
        ledger.is_loaded = False
        await self.load_ledger(account)

    async def _transact(self, writes: tuple[RowWrite, ...]) -> tuple[Row, ...] | None:
        """Send a transaction; returns None if committed, else the conflicting rows.

        The local copy of the ledger is updated in both cases.
        """
        self.statistics.n_transactions += 1
        reply = await self._table.transact(writes)
        ledger = self._find_written_ledger(writes)
        if reply.is_committed:
            if ledger is not None:
                write = writes[1]
                ledger.observe(Row(write.key, write.expected_version + 1, write.value))
            return None
        self.statistics.n_conflicts += 1
        for row in reply.conflicts:
            if ledger is None or row.key != ledger.last_page_key:
                continue
            if ledger.observe(row):
                await self._reload_last_page(ledger.account)
        return reply.conflicts

    def _find_written_ledger(self, writes: tuple[RowWrite, ...]) -> Ledger | None:
        """Return the ledger that a transaction appends to, if it does."""
        if len(writes) == 1:
            return None
        account = writes[1].key.split("/")[1]
        return self._ledgers[account]

    async def _scan(self, prefix: str, first_key: str = "") -> list[Row]:
        """Return every row under a prefix, starting with a key if one is given."""
        found: list[Row] = []
        after = ""
        if first_key:
            self.statistics.n_reads += 1
            found = [row for row in await self._table.read((first_key,)) if row.version]
            after = first_key
        while True:
            self.statistics.n_reads += 1
            rows = await self._table.scan(prefix, after, ROWS_PER_SCAN)
            found.extend(rows)
            if len(rows) < ROWS_PER_SCAN:
                return found
            after = rows[-1].key
