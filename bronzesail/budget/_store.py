"""Reads and conditional transactions of budget rows and ledger pages."""

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

SCAN_ROWS = 1000
MAX_CONFIRMED = 10_000


@attrs.define
class StoreStatistics:
    """Calls of the table service that budgets made.

    Attributes
    ----------
    n_transactions, n_conflicts, n_reads, n_failures : int
        Counts since the start.
    """

    n_transactions: int = 0
    n_conflicts: int = 0
    n_reads: int = 0
    n_failures: int = 0


class BudgetStore:
    """Rows of budgets and ledgers in the platform's table.

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
        self._confirmed: dict[bytes, bool] = {}

    def may_try(self) -> bool:
        """Tell whether the pause after a failed call is over."""
        return self._clock.monotonic() >= self._retry_at

    def note_failure(self) -> None:
        """Pause calls, longer after each failure."""
        if not self.may_try():
            return
        self.statistics.n_failures += 1
        self._retry_at = self._clock.monotonic() + self._retry_s
        longest_s = self._settings.store_longest_retry_s
        self._retry_s = min(longest_s, self._retry_s * 2.0)

    def note_success(self) -> None:
        """Forget earlier failures."""
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
        """Send a holder's transaction and let the holder learn its outcome.

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
            await self._reread_head(holder.account)
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
        """Write a row that no holder's plan made; returns whether it was committed.

        Parameters
        ----------
        row : BudgetRow
            New content.
        version : int
            Version the row must have.
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
            await self._reread_head(row.account)
            raise

    def make_writes(
        self, row: BudgetRow, version: int, charges: tuple[Charge, ...]
    ) -> tuple[RowWrite, ...]:
        """Return the writes of a row and of the charges that go with it."""
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
            Whether the last page is read again. Without it a charge that another
            router appended may be missing; a transaction that charges conflicts then.

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
        for row in await self._scan(make_ledger_prefix(account), ledger.head_key):
            ledger.observe(row)
        ledger.is_loaded = True
        return ledger

    async def confirm(self, ledger: Ledger, digests: list[bytes]) -> None:
        """Look on the pages for digests whose prefix is on a full page."""
        if len(self._confirmed) > MAX_CONFIRMED:
            self._confirmed.clear()
        unsure = [
            digest
            for digest in digests
            if ledger.may_have(digest)
            and not ledger.has_in_head(digest)
            and not self._confirmed.get(digest, False)
        ]
        if not unsure:
            return
        charged: set[bytes] = set()
        for row in await self._scan(make_ledger_prefix(ledger.account)):
            page = decode_as(row.value, LedgerPage)
            charged.update(line.digest for line in page.lines)
        for digest in unsure:
            self._confirmed[digest] = digest in charged

    def is_charged(self, ledger: Ledger, digest: bytes) -> bool:
        """Tell whether a digest is charged, once `confirm` looked at it."""
        if ledger.has_in_head(digest):
            return True
        return ledger.may_have(digest) and self._confirmed.get(digest, True)

    async def _reread_head(self, account: str) -> None:
        ledger = self._ledgers.get(account)
        if ledger is None or not ledger.is_loaded:
            return
        ledger.is_loaded = False
        await self.load_ledger(account)

    async def _transact(self, writes: tuple[RowWrite, ...]) -> tuple[Row, ...] | None:
        """Return None if committed, else the conflicting rows."""
        self.statistics.n_transactions += 1
        reply = await self._table.transact(writes)
        ledger = self._find_ledger(writes)
        if reply.is_committed:
            if ledger is not None:
                write = writes[1]
                ledger.observe(Row(write.key, write.expected_version + 1, write.value))
            return None
        self.statistics.n_conflicts += 1
        for row in reply.conflicts:
            if ledger is None or row.key != ledger.head_key:
                continue
            if ledger.observe(row):
                await self._reread_head(ledger.account)
        return reply.conflicts

    def _find_ledger(self, writes: tuple[RowWrite, ...]) -> Ledger | None:
        if len(writes) == 1:
            return None
        account = writes[1].key.split("/")[1]
        return self._ledgers[account]

    async def _scan(self, prefix: str, first: str = "") -> list[Row]:
        """Return every row under a prefix, from a key on."""
        found: list[Row] = []
        after = ""
        if first:
            self.statistics.n_reads += 1
            found = [row for row in await self._table.read((first,)) if row.version]
            after = first
        while True:
            self.statistics.n_reads += 1
            rows = await self._table.scan(prefix, after, SCAN_ROWS)
            found.extend(rows)
            if len(rows) < SCAN_ROWS:
                return found
            after = rows[-1].key
