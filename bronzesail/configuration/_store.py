"""Reads and writes the version log in the platform's table.

The head row holds the last version, each entry has a row of its own, and one row holds
a snapshot of the whole configuration.
"""

from __future__ import annotations

import asyncio
import enum
from typing import TYPE_CHECKING

import attrs

from ..schema import ConfigurationHead, ConfigurationVersion, RowWrite
from ..schema.codec import decode_as, encode
from ..storage import OutcomeUnknownError, PlatformError
from ._version_log import VersionLog

if TYPE_CHECKING:
    from ..schema import Row
    from ..storage import Table
    from ._state import Configuration

__all__ = [
    "AppendOutcome",
    "AppendResult",
    "append_entry",
    "read_configuration",
    "read_entries",
    "read_head",
    "read_log",
    "read_snapshot",
    "write_snapshot",
]

HEAD_KEY = "configuration/head"
LOG_PREFIX = "configuration/log/"
SNAPSHOT_KEY = "configuration/snapshot"
SCAN_LIMIT = 500  # Rows per page of a scan.

# Delay before the first retry of an append, in seconds; it doubles up to the maximum.
RETRY_DELAY_S = 0.1
MAX_RETRY_DELAY_S = 1.0


class AppendOutcome(enum.Enum):
    """Outcome of a conditional append."""

    APPENDED = "appended"
    CONFLICT = "conflict"
    NOT_APPENDED = "not appended"
    UNKNOWN = "unknown"


@attrs.frozen
class AppendResult:
    """Outcome of a conditional append and the error behind it.

    Attributes
    ----------
    outcome : AppendOutcome
        Whether the entry was appended.
    detail : str
        Last error of the table; empty if there was none.
    """

    outcome: AppendOutcome
    detail: str = ""


@attrs.define
class AppendAttempt:
    """Progress of an append, read after it has timed out.

    Attributes
    ----------
    may_take_effect : bool
        Whether a write already sent may have taken effect or may do so later.
    detail : str
        Last error of the table.
    """

    may_take_effect: bool = False
    detail: str = "the table did not answer in time"


def _make_log_key(version: int) -> str:
    return f"{LOG_PREFIX}{version:012d}"


def _decode_entry(row: Row) -> ConfigurationVersion:
    return decode_as(row.value, ConfigurationVersion)


async def read_head(table: Table) -> int:
    """Read the version of the last log entry.

    Parameters
    ----------
    table : Table
        Table that stores the version log.

    Returns
    -------
    int
        Last version; 0 if the log is empty.

    Raises
    ------
    PlatformError
        If the call to the table failed.
    """
    (row,) = await table.read((HEAD_KEY,))
    if row.version == 0:
        return 0
    return decode_as(row.value, ConfigurationHead).version


async def read_entries(table: Table, after: int) -> tuple[ConfigurationVersion, ...]:
    """Read up to `SCAN_LIMIT` entries after a version, in order.

    Parameters
    ----------
    table : Table
        Table that stores the version log.
    after : int
        Last version that is not returned.

    Returns
    -------
    tuple of ConfigurationVersion
        Entries by rising version.

    Raises
    ------
    PlatformError
        If the call to the table failed.
    """
    rows = await table.scan(LOG_PREFIX, _make_log_key(after), SCAN_LIMIT)
    return tuple(_decode_entry(row) for row in rows)


async def read_log(table: Table) -> tuple[ConfigurationVersion, ...]:
    """Read every entry of the log, in order.

    Parameters
    ----------
    table : Table
        Table that stores the version log.

    Returns
    -------
    tuple of ConfigurationVersion
        Entries by rising version.

    Raises
    ------
    PlatformError
        If the call to the table failed.
    """
    entries: list[ConfigurationVersion] = []
    while True:
        after = entries[-1].version if entries else 0
        page = await read_entries(table, after)
        entries.extend(page)
        if len(page) < SCAN_LIMIT:
            return tuple(entries)


async def read_snapshot(table: Table) -> ConfigurationVersion | None:
    """Read the stored snapshot, or None if there is none yet.

    Parameters
    ----------
    table : Table
        Table that stores the version log.

    Returns
    -------
    ConfigurationVersion or None
        Entry that sets every entity.

    Raises
    ------
    PlatformError
        If the call to the table failed.
    """
    (row,) = await table.read((SNAPSHOT_KEY,))
    return _decode_entry(row) if row.version else None


async def write_snapshot(table: Table, snapshot: ConfigurationVersion) -> None:
    """Store a snapshot unless one of the same or a later version is stored.

    Parameters
    ----------
    table : Table
        Table that stores the version log.
    snapshot : ConfigurationVersion
        Entry that sets every entity.

    Raises
    ------
    PlatformError
        If the call to the table failed.
    """
    (row,) = await table.read((SNAPSHOT_KEY,))
    if row.version and _decode_entry(row).version >= snapshot.version:
        return
    await table.transact((RowWrite(SNAPSHOT_KEY, row.version, encode(snapshot)),))


async def read_configuration(table: Table) -> Configuration:
    """Read the configuration at the head of the log.

    Parameters
    ----------
    table : Table
        Table that stores the version log.

    Returns
    -------
    Configuration
        Configuration at the last version this program can apply.

    Raises
    ------
    PlatformError
        If the call to the table failed.
    """
    log = VersionLog()
    snapshot = await read_snapshot(table)
    if snapshot is not None:
        log.adopt_snapshot((snapshot,))
    while log.adopt(await read_entries(table, log.version)):
        continue
    return log.configuration


async def append_entry(
    table: Table, entry: ConfigurationVersion, timeout_s: float
) -> AppendResult:
    """Append an entry if the head is still at the version before it.

    The write is conditional on the versions of the rows, so it takes effect at most
    once however often it is sent. After a lost reply it is sent again. If that
    conflicts, the apply id of the stored entry shows whether the first write succeeded.

    Parameters
    ----------
    table : Table
        Table that stores the version log.
    entry : ConfigurationVersion
        Entry to append, with a unique apply id.
    timeout_s : float
        Timeout of the append with all retries, in seconds.

    Returns
    -------
    AppendResult
        Outcome, and the last error if the append timed out.
    """
    attempt = AppendAttempt()
    try:
        async with asyncio.timeout(timeout_s):
            return await _append_with_retries(table, entry, attempt)
    except TimeoutError:
        if attempt.may_take_effect:
            return AppendResult(AppendOutcome.UNKNOWN, attempt.detail)
        return AppendResult(AppendOutcome.NOT_APPENDED, attempt.detail)


async def _append_with_retries(
    table: Table, entry: ConfigurationVersion, attempt: AppendAttempt
) -> AppendResult:
    """Repeat the append until the table replies, and record progress in `attempt`."""
    delay_s = RETRY_DELAY_S
    # Once a reply is lost, a later failure no longer proves that nothing was written.
    has_lost_reply = False
    while True:
        attempt.may_take_effect = True
        try:
            return await _try_append(table, entry)
        except OutcomeUnknownError as error:
            has_lost_reply = True
            attempt.detail = f"{type(error).__name__}: {error}"
        except PlatformError as error:
            attempt.may_take_effect = has_lost_reply
            attempt.detail = f"{type(error).__name__}: {error}"
        await asyncio.sleep(delay_s)
        delay_s = min(2 * delay_s, MAX_RETRY_DELAY_S)


async def _try_append(table: Table, entry: ConfigurationVersion) -> AppendResult:
    """Write head and entry in one transaction; on a conflict, read the stored entry."""
    head = ConfigurationHead(entry.version)
    writes = (
        RowWrite(HEAD_KEY, entry.version - 1, encode(head)),
        RowWrite(_make_log_key(entry.version), 0, encode(entry)),
    )
    reply = await table.transact(writes)
    if reply.is_committed:
        return AppendResult(AppendOutcome.APPENDED)
    (row,) = await table.read((_make_log_key(entry.version),))
    if row.version and _decode_entry(row).apply_id == entry.apply_id:
        return AppendResult(AppendOutcome.APPENDED)
    return AppendResult(AppendOutcome.CONFLICT)
