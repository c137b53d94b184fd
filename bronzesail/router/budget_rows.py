"""Rows of the store and other records of token budgets, without input or output."""

from __future__ import annotations

import math

import attrs
import msgspec

__all__ = [
    "ACCOUNT_TABLE",
    "HOLDER_TABLE",
    "LEASE_S",
    "PART",
    "REPORT_TABLE",
    "AccountRow",
    "Attempt",
    "HolderRow",
    "Holding",
    "ReportRow",
    "make_part",
    "parse_part",
    "reclaim",
]

ACCOUNT_TABLE = "accounts"
HOLDER_TABLE = "holders"
REPORT_TABLE = "reports"
# Partition of the tables in era 0; a transaction spans one partition only.
PART = "budget"
# Covers the restart of a killed process: 1.5 s until it is started again, 0.45 s until
# it runs, and one renewal period.
LEASE_S = 2.3


def make_part(era: int) -> str:
    """Return the partition with the rows of an era of the store.

    >>> make_part(0), make_part(3)
    ('budget', 'budget.3')
    """
    return f"{PART}.{era}" if era else PART


def parse_part(part: str) -> int | None:
    """Return the era whose rows are in a partition, None for another partition."""
    if part == PART:
        return 0
    name, _, era = part.partition(".")
    return int(era) if name == PART and era.isdigit() else None


class AccountRow(msgspec.Struct):
    """Row of the store for one client account."""

    out: int  # Tokens granted to all router processes together.


class HolderRow(msgspec.Struct):
    """Row of the store for one router process."""

    host: str
    address: str
    started_s: float  # By the store's clock.
    stamp_s: float  # By the store's clock; the start of the lease.
    sequence: int
    # Account to tokens held, spending limit, overrun rate in tokens per second, and
    # tokens that the store has granted to the process in this era, less those returned.
    held: dict[str, tuple[int, int, int, int]]
    zone: str = ""
    link_mbps: float = 0.0
    # For how long, at the stamp, this row and those that it replaced have stood.
    first_row_age_s: int = 0
    has_report: bool = False  # Whether the process has a `ReportRow` in this era.
    # Whether the process has stopped. Its successor on the host replaces the row.
    has_ended: bool = False


class ReportRow(msgspec.Struct):
    """Row of the store with what a process had before the current era."""

    # Tokens that the store had granted to it, less those returned, by account.
    granted: dict[str, int]
    # The same for processes whose rows it had removed, by their keys.
    ended: dict[str, dict[str, int]] = {}


@attrs.define(kw_only=True)
class Holding:
    """Tokens of one account that this process holds, and the demand for them."""

    # Acquired from the store, less returned tokens; includes those of dead processes.
    granted: int = 0
    granted_by_store: int = 0  # The same without those of dead processes.
    granted_before_era: int = 0  # `granted_by_store` when the store's era began.
    received: int = 0  # Transferred from other routers.
    transferred: int = 0  # Transferred to other routers.
    settled: int = 0  # Charged to requests that have ended.
    reserved: int = 0  # Set aside for requests in progress.
    demand_per_s: float = 0.0  # Decaying average of the tokens reserved per second.
    largest_request: float = 0.0  # Decaying size of the largest request.
    average_request: float = 0.0  # Average size of a request.
    unused_share: float = 0.0  # Average share of a reservation that is not used.
    total_granted: int = 0  # `AccountRow.out` as last read.
    version: int = 0  # Version of the account's row as last read.
    pending_demand: int = 0  # Tokens that waiting requests need.
    pending_until: float = -1e9
    # Whether the store has granted tokens before. Without it, an initial grant that
    # was returned unused would be acquired again.
    has_been_granted: bool = False

    @property
    def held(self) -> int:
        """Tokens acquired in total, including spent ones."""
        return self.granted + self.received

    @property
    def granted_in_era(self) -> int:
        """Tokens granted by the store in its current era, less those returned."""
        return self.granted_by_store - self.granted_before_era

    @property
    def spent(self) -> int:
        """Tokens settled, reserved or transferred to other routers."""
        return self.transferred + self.settled + self.reserved

    @property
    def expected_free(self) -> int:
        """Free tokens, and those that requests in progress are expected to release."""
        return max(0, self.free) + int(self.reserved * self.unused_share)

    @property
    def free(self) -> int:
        """Tokens held and not spent, regardless of the spending limit."""
        return self.held - self.spent


@attrs.define(kw_only=True)
class Attempt:
    """One transaction on this process's row.

    Its outcome is in doubt until the store's answer or a later read of the row
    resolves it.
    """

    era: int  # The store's era whose rows it changes.
    base_version: int  # Version of this process's row that the transaction expects.
    row: HolderRow
    grants: dict[str, int]  # Tokens acquired by account; negative if returned.
    accounts: dict[str, tuple[int, int]]  # Expected row version and new `out`.
    stamped_at: float  # Local time of the row's timestamp.
    is_final: bool = False  # Whether the process stops after it.
    # Tokens taken over from a dead process's row, by account.
    reclaimed: dict[str, int] = attrs.field(factory=dict)
    # `Holding.received` of each account when the transaction was planned.
    received: dict[str, int] = attrs.field(factory=dict)
    report: ReportRow | None = None  # Written with the first row in an era.


def reclaim(row: HolderRow, dead_by_s: float) -> dict[str, int]:
    """Return the tokens that a dead process certainly did not spend, by account.

    Parameters
    ----------
    row : HolderRow
        The dead process's row.
    dead_by_s : float
        A time on the store's clock by which the process was dead.
    """
    past_lease_s = max(0.0, dead_by_s - row.stamp_s - LEASE_S)
    tokens = {}
    for account, (held, limit, overrun_per_s, _) in row.held.items():
        unspent = held - limit - math.ceil(overrun_per_s * past_lease_s)
        if unspent > 0:
            tokens[account] = unspent
    return tokens
