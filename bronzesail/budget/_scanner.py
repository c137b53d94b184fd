"""Scans the budget rows for grants of lost routers and for unresolved holds."""

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
    """Receives every budget row that a scan reads."""

    def observe_budget(self, row: BudgetRow) -> None:
        """Process a budget's row.

        Parameters
        ----------
        row : BudgetRow
            Content of the row.
        """


class Scanner:
    """Finds grants to reclaim and holds to resolve.

    All routers scan. Rendezvous hashing ranks them for each budget, and each router
    acts only `reclaim_stagger_s` times its rank after it first saw the grant or hold,
    so that normally one router does the work and the next takes over if it fails.

    Parameters
    ----------
    store : BudgetStore
        Rows of budgets.
    recovery : Recovery
        Reclaims grants and resolves holds.
    membership : Membership
        Live routers.
    observer : BudgetObserver
        Receives every row.
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
        # Monotonic time of the first sighting by grant id and sequence number, -1 for
        # a grant's entry.
        self._first_seen: dict[tuple[str, int], float] = {}

    def wake(self) -> None:
        """Start a scan at once, after a change of the host list."""
        self._wake.set()

    async def run(self) -> None:
        """Scan until cancelled.

        The interval is `hold_retry_s` while something is left to do, and
        `scan_interval_s` otherwise, lengthened by up to 20 % at random. A row that
        violates an invariant or cannot be decoded is logged, and scanning goes on.
        """
        while True:
            interval_s = self._settings.scan_interval_s
            try:
                is_pending = await self.scan()
            except PlatformError:
                is_pending = True
            except (InvariantError, CodecError) as error:
                _log.write(
                    "a budget row violates an invariant or cannot be decoded",
                    error=repr(error),
                )
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
        """Scan every budget row once.

        Returns
        -------
        bool
            Whether grants to reclaim or holds to resolve were found.

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
        for pending_key in list(self._first_seen):
            if pending_key not in pending:
                del self._first_seen[pending_key]
        return bool(pending)

    def _is_abandoned(self, entry: GrantEntry) -> bool:
        """Tell whether another router's grant is reclaimed or its holder not listed."""
        if entry.holder == self._membership.own.router_id:
            return False
        return entry.is_reclaimed or not self._membership.is_listed(entry.holder)

    async def _reclaim(self, row: BudgetRow, entry: GrantEntry) -> None:
        """Reclaim a grant if it is this router's turn."""
        if self._is_due(row, (entry.grant_id, -1)):
            await self._recovery.reclaim(row, entry.grant_id)

    async def _resolve(self, row: BudgetRow, hold: HoldEntry) -> None:
        """Try to resolve a hold if it is this router's turn."""
        if self._is_due(row, (hold.grant_id, hold.sequence)):
            await self._recovery.resolve(row, hold)

    def _is_due(self, row: BudgetRow, pending_key: tuple[str, int]) -> bool:
        """Tell whether this router may act on a grant or hold by now."""
        now = self._clock.monotonic()
        first_seen_at = self._first_seen.setdefault(pending_key, now)
        rank = find_rank(
            self._membership, f"reclaim/{row.account}/{row.budget}", is_regional=False
        )
        return now - first_seen_at >= rank * self._settings.reclaim_stagger_s
