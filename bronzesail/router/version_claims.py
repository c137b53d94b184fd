"""Keeps in the store which services have had one software version only.

After all routers were killed, none is left that could know which version began a
stream. The row of a service names the version that has begun all of its recent streams,
or none if there may be several. It is written when that changes, which is once or twice
for each release.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import msgspec

from ..model import RowCheck, RowKey, RowWrite
from .decoding import decode_json
from .store import ConflictError, StoreError

if TYPE_CHECKING:
    from collections.abc import Callable

    from ..model import Row
    from .log import Log
    from .store import StoreClient
    from .stream_rows import StreamRows
    from .stream_versions import StreamVersions

__all__ = ["VERSION_TABLE", "VersionClaims"]

VERSION_TABLE = "versions"
CHECK_INTERVAL_S = 2.0
RETRY_S = 0.5


class _ClaimRow(msgspec.Struct):
    """Row of a service; `version` is None if there may be several."""

    version: str | None


class VersionClaims:
    """Reads the rows at the start, and keeps them up to date.

    Parameters
    ----------
    store : StoreClient
        The store.
    streams : StreamVersions
        The versions that this router has seen.
    rows : StreamRows
        The rows of streams, which are removed when only one version is left.
    log : Log
        Log for changed rows.
    may_write : callable
        Returns whether this router follows the store, so that it writes to it.
    """

    def __init__(
        self,
        store: StoreClient,
        streams: StreamVersions,
        rows: StreamRows,
        log: Log,
        may_write: Callable[[], bool],
    ) -> None:
        self._store = store
        self._streams = streams
        self._stream_rows = rows
        self._log = log
        self._may_write = may_write
        self._changed = asyncio.Event()
        self._rows: dict[str, tuple[str | None, int]] = {}  # Version, row version.
        self._era = -1  # Of the rows that were read last.

    def note_change(self) -> None:
        """Check the rows now, because a service has gained or lost a version."""
        self._changed.set()

    async def run(self) -> None:
        """Keep the rows up to date until cancelled."""
        while True:
            try:
                await self._update()
            except StoreError as error:
                self._log.write("stream: store does not answer", error=str(error))
                await asyncio.sleep(RETRY_S)
                continue
            try:
                async with asyncio.timeout(CHECK_INTERVAL_S):
                    await self._changed.wait()
            except TimeoutError:
                continue

    async def _update(self) -> None:
        """Read the rows, if they may have changed, and write those that are wrong."""
        if self._era != self._store.era.current or self._changed.is_set():
            self._changed.clear()
            await self._read()
        for service in self._streams.list_services():
            version, row_version = self._rows.get(service, (None, 0))
            wanted = self._find_version(service, version, row_version)
            if (wanted != version or not row_version) and self._may_write():
                await self._write(service, wanted, row_version)

    async def _read(self) -> None:
        """Read all rows of the current era."""
        era = self._store.era.current
        answer = await self._store.read_table(VERSION_TABLE, _make_part(era))
        if era != self._store.era.current:
            # The store's first answer has told its era.
            era = self._store.era.current
            answer = await self._store.read_table(VERSION_TABLE, _make_part(era))
        self._era = era
        self._rows.clear()
        for row in answer.rows:
            self._note_row(row)
        self._log.write(
            "stream: versions of the services read",
            era=self._era,
            versions={key: version for key, (version, _) in self._rows.items()},
        )

    def _find_version(
        self, service: str, version: str | None, row_version: int
    ) -> str | None:
        """Return the version that the row of a service is to name."""
        seen = self._streams.make_view(service).versions
        if not row_version and not self._era and len(seen) == 1:
            # No router has run before: the store was never restored, and has no row.
            return seen[0]
        if version is not None:
            return version if set(seen) <= {version} else None
        return self._streams.find_only_version(service)

    async def _write(self, service: str, version: str | None, row_version: int) -> None:
        """Write the row of a service, unless another router has changed it."""
        key = RowKey(VERSION_TABLE, _make_part(self._era), service)
        write = RowWrite(key, msgspec.json.encode(_ClaimRow(version)))
        try:
            written = await self._store.transact([RowCheck(key, row_version)], [write])
        except ConflictError as error:
            for row in error.rows:
                self._note_row(row)
            return
        self._note_claim(service, version, written)
        self._log.write(
            "stream: row of a service's version written",
            service=service,
            version=version,
        )
        if version is not None:
            await self._stream_rows.remove_all(service)

    def _note_row(self, row: Row) -> None:
        """Record a row; one that cannot be read names no version."""
        try:
            claim = decode_json(row.value, _ClaimRow)
        except ValueError as error:
            self._log.write("stream: row unreadable", service=row.key, error=str(error))
            claim = _ClaimRow(None)
        self._note_claim(row.key, claim.version, row.version)

    def _note_claim(self, service: str, version: str | None, row_version: int) -> None:
        """Record what the row of a service says."""
        self._rows[service] = (version, row_version)
        if version is not None:
            self._streams.note_earlier_version(service, version)


def _make_part(era: int) -> str:
    """Return the partition with the rows of an era; a restored one does not count."""
    return f"{VERSION_TABLE}.{era}"
