"""Reads what earlier eras of the store have granted, after it was restored."""

from __future__ import annotations

from typing import TYPE_CHECKING, TypeVar

from .budget_rows import (
    ACCOUNT_TABLE,
    HOLDER_TABLE,
    REPORT_TABLE,
    AccountRow,
    HolderRow,
    ReportRow,
    make_part,
    parse_part,
)
from .carryover import EraCopy, compute_carryover, list_unreported
from .decoding import decode_json
from .store import EraChangedError, StoreError

if TYPE_CHECKING:
    from ..model import Row
    from .budget import BudgetBook
    from .log import Log
    from .store import StoreClient

__all__ = ["EarlierEras"]

T = TypeVar("T", AccountRow, HolderRow, ReportRow)


class EarlierEras:
    """Keeps the carryover of a `BudgetBook` up to date while processes report.

    Parameters
    ----------
    book : BudgetBook
        The token holdings of this process.
    store : StoreClient
        The store.
    log : Log
        The router's log.
    """

    def __init__(self, book: BudgetBook, store: StoreClient, log: Log) -> None:
        self._book = book
        self._store = store
        self._log = log
        self._copies: list[EraCopy] = []
        self._has_unreported = False

    async def update(self) -> None:
        """Read the earlier eras once, and reports until all processes have reported.

        Raises
        ------
        StoreError
            If the store does not answer, or a row is unreadable.
        """
        if self._book.carryover is None:
            await self._read_copies()
        elif not self._has_unreported:
            return
        await self._read_reports()

    async def _read_copies(self) -> None:
        """Read the rows of all earlier eras."""
        era = self._book.era
        eras = [parse_part(p) for p in await self._store.list_parts(HOLDER_TABLE)]
        self._copies = [
            await self._read_era(earlier)
            for earlier in sorted(e for e in eras if e is not None and e < era)
        ]
        if self._book.era != era:
            raise EraChangedError

    async def _read_era(self, era: int) -> EraCopy:
        """Read the rows of an earlier era, all as of one moment.

        A late transaction may still change them. Each one that matters changes an
        account's row, so that these are the same before and after the other reads.
        """
        part = make_part(era)
        accounts = await self._store.read_table(ACCOUNT_TABLE, part)
        while True:
            holders = await self._store.read_table(HOLDER_TABLE, part)
            reports = await self._store.read_table(REPORT_TABLE, part)
            again = await self._store.read_table(ACCOUNT_TABLE, part)
            if again.rows == accounts.rows:
                break
            accounts = again
        granted = {r.key: self._decode(r, AccountRow).out for r in accounts.rows}
        by_process = {}
        for row in holders.rows:
            held = self._decode(row, HolderRow).held
            by_process[row.key] = {name: entry[3] for name, entry in held.items()}
        return EraCopy(
            granted=granted,
            by_process=by_process,
            reports=self._decode_reports(reports.rows),
        )

    def _decode_reports(self, rows: list[Row]) -> dict[str, dict[str, int]]:
        """Return what processes report of themselves and of those that had ended."""
        decoded = {row.key: self._decode(row, ReportRow) for row in rows}
        reports: dict[str, dict[str, int]] = {}
        for report in decoded.values():
            reports |= report.ended
        # What a process reports of itself goes first.
        return reports | {key: report.granted for key, report in decoded.items()}

    async def _read_reports(self) -> None:
        """Read which processes have reported since the store was restored."""
        era = self._book.era
        answer = await self._store.read_table(REPORT_TABLE, make_part(era))
        if self._book.era != era:
            raise EraChangedError
        reports = self._decode_reports(answer.rows)
        unreported = list_unreported(self._copies, reports)
        self._has_unreported = bool(unreported)
        self._book.carryover = compute_carryover(
            self._copies, reports, self._book.allowances
        )
        self._log.write(
            "budget: carryover of earlier eras",
            era=era,
            reported=len(reports),
            unreported=sorted(unreported),
            most=self._book.carryover.most,
        )

    @staticmethod
    def _decode(row: Row, row_type: type[T]) -> T:
        """Return a row's value; an unreadable one must not count as nothing spent."""
        try:
            return decode_json(row.value, row_type)
        except ValueError as error:
            raise StoreError(f"row {row.key} is unreadable: {error}") from error
