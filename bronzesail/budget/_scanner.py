"""Looks through the budgets for grants of routers that are gone, and for holds."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Protocol

from ..explain import PartLogger
from ..schema.codec import CodecError
from ..storage import PlatformError
from ..util.invariants import InvariantError
from ._topology import find_rank

if TYPE_CHECKING:
    import random

    from ..fleet import Membership
    from ..schema import BudgetRow, GrantEntry, HoldEntry
    from ..util.clock import Clock
    from ._recovery import Recovery
    from ._settings import BudgetSettings
    from ._store import BudgetStore

__all__ = ["BudgetObserver", "Scanner"]

_log = PartLogger("budget")


class BudgetObserver(Protocol):
    """Learns of every budget that a scan finds."""

    def observe_budget(self, row: BudgetRow) -> None:
        """Learn a budget's row.

        Parameters
        ----------
        row : BudgetRow
            Content of the row.
        """


class Scanner:
    """Finds what has to be reclaimed or resolved, and who does it first.

    Parameters
    ----------
    store : BudgetStore
        Rows of budgets.
    recovery : Recovery
        Does the work.
    membership : Membership
        Live routers.
    observer : BudgetObserver
        Learns of every row.
    clock : Clock
        Source of the time.
    random : random.Random
        Source of jitter.
    settings : BudgetSettings
        Settings of every budget.
    """

    def __init__(
        self,
        store: BudgetStore,
        recovery: Recovery,
        membership: Membership,
        observer: BudgetObserver,
        clock: Clock,
        random: random.Random,
        settings: BudgetSettings,
    ) -> None:
        self._store = store
        self._recovery = recovery
        self._membership = membership
        self._observer = observer
        self._clock = clock
        self._random = random
        self._settings = settings
        self.errors: list[Exception] = []
        self._wake = asyncio.Event()
        self._first_seen: dict[tuple[str, int], float] = {}

    def wake(self) -> None:
        """Scan now; the host list changed."""
        self._wake.set()

    async def run(self) -> None:
        """Scan until cancelled."""
        while True:
            interval_s = self._settings.scan_interval_s
            try:
                is_pending = await self.scan()
            except PlatformError:
                is_pending = True
            except (InvariantError, CodecError) as error:
                _log.write("a budget's row breaks a rule", error=repr(error))
                self.errors.append(error)
                is_pending = True
            if is_pending:
                interval_s = self._settings.hold_retry_s
            interval_s *= 1.0 + self._random.random() * 0.2
            try:
                async with asyncio.timeout(interval_s):
                    await self._wake.wait()
            except TimeoutError:
                continue
            finally:
                self._wake.clear()

    async def scan(self) -> bool:
        """Look through every budget once.

        Returns
        -------
        bool
            Whether something is left to reclaim or to resolve.

        Raises
        ------
        PlatformError
            If the table service did not answer.
        """
        pending: set[tuple[str, int]] = set()
        for row, _ in await self._store.scan_rows():
            self._observer.observe_budget(row)
            for entry in row.grants:
                if not self._is_abandoned(entry):
                    continue
                pending.add((entry.grant_id, -1))
                await self._reclaim(row, entry)
            for hold in row.holds:
                pending.add((hold.grant_id, hold.sequence))
                await self._resolve(row, hold)
        for name in list(self._first_seen):
            if name not in pending:
                del self._first_seen[name]
        return bool(pending)

    def _is_abandoned(self, entry: GrantEntry) -> bool:
        if entry.holder == self._membership.own.router_id:
            return False
        return entry.is_reclaimed or not self._membership.is_listed(entry.holder)

    async def _reclaim(self, row: BudgetRow, entry: GrantEntry) -> None:
        if self._is_due(row, (entry.grant_id, -1)):
            await self._recovery.reclaim(row, entry.grant_id)

    async def _resolve(self, row: BudgetRow, hold: HoldEntry) -> None:
        if self._is_due(row, (hold.grant_id, hold.sequence)):
            await self._recovery.resolve(row, hold)

    def _is_due(self, row: BudgetRow, name: tuple[str, int]) -> bool:
        """Tell whether this router's turn has come."""
        now = self._clock.monotonic()
        first = self._first_seen.setdefault(name, now)
        rank = find_rank(
            self._membership, f"reclaim/{row.account}/{row.budget}", is_regional=False
        )
        return now - first >= rank * self._settings.reclaim_stagger_s
