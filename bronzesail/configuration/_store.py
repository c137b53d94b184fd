"""Version log in the platform's table."""

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
SCAN_LIMIT = 500
RETRY_DELAY_S = 0.1
MAX_RETRY_DELAY_S = 1.0


class AppendOutcome(enum.Enum):
    """What became of a conditional append."""

    APPENDED = "appended"
    CONFLICT = "conflict"
    NOT_APPENDED = "not appended"
    UNKNOWN = "unknown"


@attrs.frozen
class AppendResult:
    """Outcome of a conditional append and its cause.

    Attributes
    ----------
    outcome : AppendOutcome
        The outcome.
    detail : str
        The last error of the table; empty if there was none.
    """

    outcome: AppendOutcome
    detail: str = ""


@attrs.define
class AppendAttempt:
    """Progress of an append, kept when its time runs out.

    Attributes
    ----------
    may_take_effect : bool
        Whether a write that was sent may have taken effect or may still.
    detail : str
        The last error of the table.
    """

    may_take_effect: bool = False
    detail: str = "the table did not answer in time"


def _make_log_key(version: int) -> str:
    return f"{LOG_PREFIX}{version:012d}"


def _decode_entry(row: Row) -> ConfigurationVersion:
    return decode_as(row.value, ConfigurationVersion)


async def read_head(table: Table) -> int:
    """Return the last version of the log; 0 before the first.

    Parameters
    ----------
    table : Table
        The platform's table.

    Returns
    -------
    int
        The version.

    Raises
    ------
    PlatformError
        If the table did not answer.
    """
    (row,) = await table.read((HEAD_KEY,))
    if row.version == 0:
        return 0
    return decode_as(row.value, ConfigurationHead).version


async def read_entries(table: Table, after: int) -> tuple[ConfigurationVersion, ...]:
    """Return up to `SCAN_LIMIT` entries after a version, in order.

    Parameters
    ----------
    table : Table
        The platform's table.
    after : int
        Version after which the entries start.

    Returns
    -------
    tuple of ConfigurationVersion
        The entries.

    Raises
    ------
    PlatformError
        If the table did not answer.
    """
    rows = await table.scan(LOG_PREFIX, _make_log_key(after), SCAN_LIMIT)
    return tuple(_decode_entry(row) for row in rows)


async def read_log(table: Table) -> tuple[ConfigurationVersion, ...]:
    """Return every entry of the log, in order.

    Parameters
    ----------
    table : Table
        The platform's table.

    Returns
    -------
    tuple of ConfigurationVersion
        The entries.

    Raises
    ------
    PlatformError
        If the table did not answer.
    """
    entries: list[ConfigurationVersion] = []
    while True:
        after = entries[-1].version if entries else 0
        page = await read_entries(table, after)
        entries.extend(page)
        if len(page) < SCAN_LIMIT:
            return tuple(entries)


async def read_snapshot(table: Table) -> ConfigurationVersion | None:
    """Return the last snapshot, or None before the first.

    Parameters
    ----------
    table : Table
        The platform's table.

    Returns
    -------
    ConfigurationVersion or None
        One entry that sets every entity.

    Raises
    ------
    PlatformError
        If the table did not answer.
    """
    (row,) = await table.read((SNAPSHOT_KEY,))
    return _decode_entry(row) if row.version else None


async def write_snapshot(table: Table, snapshot: ConfigurationVersion) -> None:
    """Keep a snapshot unless a later one stands.

    Parameters
    ----------
    table : Table
        The platform's table.
    snapshot : ConfigurationVersion
        One entry that sets every entity.

    Raises
    ------
    PlatformError
        If the table did not answer.
    """
    (row,) = await table.read((SNAPSHOT_KEY,))
    if row.version and _decode_entry(row).version >= snapshot.version:
        return
    await table.transact((RowWrite(SNAPSHOT_KEY, row.version, encode(snapshot)),))


async def read_configuration(table: Table) -> Configuration:
    """Return the configuration at the head of the log.

    Parameters
    ----------
    table : Table
        The platform's table.

    Returns
    -------
    Configuration
        The configuration.

    Raises
    ------
    PlatformError
        If the table did not answer.
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
    """Append an entry if the head is still the version before it.

    The write names the rows' expected versions, so it takes effect at most once
    however often it is sent. After a lost answer it is sent again, and a conflict is
    resolved by the id of the entry that stands at the version.

    Parameters
    ----------
    table : Table
        The platform's table.
    entry : ConfigurationVersion
        The entry, with an id of its own.
    timeout_s : float
        Time after which it gives up, in seconds.

    Returns
    -------
    AppendResult
        Whether it was appended.
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
    delay_s = RETRY_DELAY_S
    is_lost = False
    while True:
        attempt.may_take_effect = True
        try:
            return await _try_append(table, entry)
        except OutcomeUnknownError as error:
            is_lost = True
            attempt.detail = f"{type(error).__name__}: {error}"
        except PlatformError as error:
            attempt.may_take_effect = is_lost
            attempt.detail = f"{type(error).__name__}: {error}"
        await asyncio.sleep(delay_s)
        delay_s = min(2 * delay_s, MAX_RETRY_DELAY_S)


async def _try_append(table: Table, entry: ConfigurationVersion) -> AppendResult:
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
