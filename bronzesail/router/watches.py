"""Watches the store's tables of the configuration and the backend servers."""

from __future__ import annotations

import asyncio
import random
from typing import TYPE_CHECKING, Protocol

from ..model import StoreVersion
from ..platform import (
    CONFIGURATION_ROW,
    SERVER_TABLE,
    decode_configuration,
    decode_server,
)
from .store import CallLostError, EraChangedError, HistoryLostError, StoreError

if TYPE_CHECKING:
    from collections.abc import Callable

    from ..model import BackendServer, Configuration, Row, RowsAnswer, Service
    from .directory import Directory
    from .eligibility import Evacuations
    from .log import Log
    from .store import StoreClient

__all__ = [
    "MAX_BACKOFF",
    "RETRY_S",
    "ConfigurationKeeper",
    "ConfigurationWatch",
    "ServerWatch",
]

# With the margin that is added to a call, an unresponsive store is detected in 1.6 s.
WATCH_WAIT_S = 0.8
# Pause after changes of backend servers; collects their heartbeats, each of which
# changes an entry, into one call.
SERVER_WATCH_PAUSE_S = 0.35
RETRY_S = 0.25  # Between calls to a store that does not respond.
# Largest factor of the timeouts, and in a large fleet, whose routers share links, of
# the retry interval.
MAX_BACKOFF = 8
STANDBY_POLL_S = 0.1  # Between checks whether another router still follows the store.
# Longest random delay of a full read that changes of the store's history require.
FULL_READ_SPREAD_S = 0.3
# Entries expire after three heartbeats that are missing, the first of which may be due
# just after an outage has begun: no shorter outage makes an entry expire.
MIN_LAPSE_HEARTBEATS = 2
# Interval of full reads, which detect a feed that has stopped reporting changes.
FULL_READ_INTERVAL_S = 6.0


class ConfigurationKeeper:
    """Holds the newest known configuration; an older version never replaces it.

    Parameters
    ----------
    log : Log
        Log for applied and rejected configurations.
    on_change : callable
        Called with each new configuration.
    """

    def __init__(self, log: Log, on_change: Callable[[Configuration], None]) -> None:
        self._log = log
        self._on_change = on_change
        self.current: Configuration | None = None
        # Of the store: there is no newer configuration up to it.
        self.store_version = StoreVersion()

    def note_version(self, store_version: StoreVersion) -> None:
        """Record that the current configuration is the newest up to a version."""
        self.store_version = max(self.store_version, store_version)

    @property
    def version(self) -> int:
        """Version of the current configuration, 0 if there is none."""
        return 0 if self.current is None else self.current.version

    def find_service(self, name: str) -> Service | None:
        """Return a service of the current configuration, None if there is none."""
        return None if self.current is None else self.current.services.get(name)

    def apply_if_newer(self, body: bytes, source: str) -> None:
        """Decode a configuration and apply it if it is newer than the current one."""
        try:
            configuration = decode_configuration(body)
        except ValueError as error:
            self._log.write(
                "config: malformed configuration ignored",
                source=source,
                error=str(error),
            )
            return
        if configuration.version <= self.version:
            return
        self._log.write(
            "config: new version applied",
            version=configuration.version,
            before=self.version,
            source=source,
            bytes=len(body),
        )
        self.current = configuration
        self._on_change(configuration)


class _VersionedState(Protocol):
    """State that a watch keeps up to date with a table of the store."""

    store_version: StoreVersion

    def note_version(self, store_version: StoreVersion) -> None:
        """Record that the state is complete up to a version of the store."""


class _TableWatch:
    """Follows the changes of a table in the store.

    The whole table is read only if no version is known at the start, after changes
    were missed, and every `FULL_READ_INTERVAL_S`. Many routers may start to follow at
    the same time over a narrow link, so state that was received from another router is
    not read again.

    Parameters
    ----------
    store : StoreClient
        Client of the store.
    log : Log
        Log for lost and regained contact with the store.
    may_follow : callable
        Whether this router is to follow the store itself.
    on_sync_change : callable
        Called when `is_in_step` changes.
    find_retry_s : callable
        Returns the time until the next call after a number of failures in a row.
    tracked_state : _VersionedState
        The state to keep up to date.
    """

    table = ""
    pause_s = 0.0  # After a response that held changes.

    def __init__(
        self,
        store: StoreClient,
        log: Log,
        may_follow: Callable[[], bool],
        on_sync_change: Callable[[], None],
        find_retry_s: Callable[[int], float],
        tracked_state: _VersionedState,
    ) -> None:
        self._store = store
        self._log = log
        self._may_follow = may_follow
        self._find_retry_s = find_retry_s
        self._failures = 0
        self._on_sync_change = on_sync_change
        self._tracked_state = tracked_state
        self._needs_full_read = False
        self._call_started_at = 0.0
        self._answered_at = 0.0
        self.is_in_step = False  # Follows the store, and the last call succeeded.
        self.has_lost_store = False  # Follows the store, but the last call failed.

    async def run(self) -> None:
        """Follow the table until cancelled."""
        while True:
            if not self._may_follow():
                # Another router of the data centre follows the store and sends this
                # router its changes; the log calls this "guided".
                self.has_lost_store = False
                self._set_in_step(False, "guided")
                await asyncio.sleep(STANDBY_POLL_S)
                continue
            try:
                await self._follow()
            except (HistoryLostError, EraChangedError) as error:
                self._needs_full_read = True
                self._log.write(
                    "store: change history no longer available, reading table",
                    table=self.table,
                    reason=str(error),
                )
                # All routers of the fleet learn of this at the same moment.
                await asyncio.sleep(random.uniform(0, FULL_READ_SPREAD_S))
            except StoreError as error:
                self._note_call_failure(error)
                await asyncio.sleep(self._find_retry_s(self._failures))

    async def _follow(self) -> None:
        loop = asyncio.get_running_loop()
        wait_s = 0.0  # The first call returns at once and shows if the store responds.
        is_new = self._tracked_state.store_version == StoreVersion()
        if self._needs_full_read or is_new:
            await self._read_table()
        last_read_at = loop.time()
        while self._may_follow():
            if loop.time() - last_read_at > FULL_READ_INTERVAL_S:
                await self._read_table()
                last_read_at = loop.time()
            self._call_started_at = loop.time()
            since = self._tracked_state.store_version
            change = await self._store.watch(
                self.table, since, wait_s, self._timeout_factor
            )
            if self.has_lost_store:
                self._log_caught_up(since, change)
            self._note_response()
            self._note_answer(change, is_whole=False)
            if change.version >= self._tracked_state.store_version:
                # Otherwise another router sent newer state during the call.
                self._apply_changes(change.rows)
                self._tracked_state.note_version(change.version)
            wait_s = WATCH_WAIT_S
            if change.rows and self.pause_s:
                await asyncio.sleep(self.pause_s)

    def _log_caught_up(self, since: StoreVersion, change: RowsAnswer) -> None:
        """Log what the first response after an outage holds."""
        self._log.write(
            "store: changes since the outage received",
            table=self.table,
            since=since.number,
            version=change.version.number,
            changes=len(change.rows),
            removals=sum(row.is_removed for row in change.rows),
        )

    async def _read_table(self) -> None:
        loop = asyncio.get_running_loop()
        self._call_started_at = loop.time()
        answer = await self._store.read_table(
            self.table, timeout_factor=self._timeout_factor
        )
        self._log.write(
            "store: table read",
            table=self.table,
            era=answer.version.era,
            version=answer.version.number,
            rows=len(answer.rows),
            bytes=sum(len(row.value) for row in answer.rows),
            took_s=round(loop.time() - self._call_started_at, 3),
        )
        self._note_response()
        self._needs_full_read = False
        self._note_answer(answer, is_whole=True)
        if answer.version >= self._tracked_state.store_version:
            # Otherwise another router sent newer state during the call.
            self._apply_rows(answer.rows)
            self._tracked_state.note_version(answer.version)

    @property
    def _timeout_factor(self) -> int:
        """Factor of the timeouts, doubled by each failure in a row.

        A congested link delays responses; a retry after the same short timeout would
        only add to the load. A call that is lost is given up earlier.
        """
        return min(1 << self._failures, MAX_BACKOFF)

    def _note_response(self) -> None:
        self._failures = 0
        now = asyncio.get_running_loop().time()
        outage_s = now - self._answered_at
        self._answered_at = now
        if self.has_lost_store:
            self.has_lost_store = False
            self._note_store_recovered(outage_s)
        self._set_in_step(True, "answer")

    def _note_call_failure(self, error: StoreError) -> None:
        reason = str(error)
        took_s = asyncio.get_running_loop().time() - self._call_started_at
        self._log.write(
            "store: call failed",
            table=self.table,
            reason=reason,
            took_s=round(took_s, 3),
        )
        # After a lost call the store is known to answer in time.
        self._failures = 0 if isinstance(error, CallLostError) else self._failures + 1
        self.has_lost_store = True
        self._set_in_step(False, reason)

    def _set_in_step(self, is_in_step: bool, reason: str) -> None:
        if is_in_step == self.is_in_step:
            return
        self.is_in_step = is_in_step
        state = "regained" if is_in_step else "lost"
        self._log.write(f"store: {state}", table=self.table, reason=reason)
        self._on_sync_change()

    def _note_store_recovered(self, outage_s: float) -> None:
        """Process the first response after the store was unreachable for a time."""

    def _note_answer(self, answer: RowsAnswer, *, is_whole: bool) -> None:
        """Process an answer even if newer state has come from another router.

        `is_whole` is set if it holds the whole table.
        """

    def _apply_rows(self, rows: list[Row]) -> None:
        raise NotImplementedError

    def _apply_changes(self, rows: list[Row]) -> None:
        raise NotImplementedError


class ConfigurationWatch(_TableWatch):
    """Follows the configuration and the evacuations that operators write."""

    table, key = CONFIGURATION_ROW

    def __init__(
        self,
        store: StoreClient,
        log: Log,
        may_follow: Callable[[], bool],
        on_sync_change: Callable[[], None],
        find_retry_s: Callable[[int], float],
        keeper: ConfigurationKeeper,
        evacuations: Evacuations,
    ) -> None:
        super().__init__(store, log, may_follow, on_sync_change, find_retry_s, keeper)
        self._keeper = keeper
        self._evacuations = evacuations

    def _note_answer(self, answer: RowsAnswer, *, is_whole: bool) -> None:
        # Hellos may move the version of the configuration past rows of evacuations
        # that this router has not received.
        self._evacuations.note_answer(answer, is_whole=is_whole)

    def _apply_rows(self, rows: list[Row]) -> None:
        self._apply_changes(rows)

    def _apply_changes(self, rows: list[Row]) -> None:
        for row in rows:
            if row.key == self.key and not row.is_removed:
                self._keeper.apply_if_newer(row.value, "store")


class ServerWatch(_TableWatch):
    """Follows the entries that backend servers write to the store."""

    table = SERVER_TABLE
    pause_s = SERVER_WATCH_PAUSE_S

    def __init__(
        self,
        store: StoreClient,
        log: Log,
        may_follow: Callable[[], bool],
        on_sync_change: Callable[[], None],
        find_retry_s: Callable[[int], float],
        directory: Directory,
        on_change: Callable[[], None],
        heartbeat_s: float,
    ) -> None:
        super().__init__(
            store, log, may_follow, on_sync_change, find_retry_s, directory
        )
        self._heartbeat_s = heartbeat_s
        self._directory = directory
        self._on_change = on_change

    def _note_store_recovered(self, outage_s: float) -> None:
        if outage_s >= MIN_LAPSE_HEARTBEATS * self._heartbeat_s:
            self._directory.note_store_recovered()

    def _apply_rows(self, rows: list[Row]) -> None:
        servers = [s for row in rows if (s := self._decode(row)) is not None]
        for server_id in self._directory.replace(servers):
            self._log.write("directory: server gone", server=server_id)
        self._on_change()

    def _apply_changes(self, rows: list[Row]) -> None:
        # In the order of the store: a server may leave, or come back, within one
        # response.
        is_changed = False
        for row in rows:
            if row.is_removed:
                self._remove(row.key)
                is_changed = True
                continue
            server = self._decode(row)
            if server is None:
                continue
            if self._put(server):
                is_changed = True
            self._directory.note_renewed(server)
        if is_changed:
            self._on_change()

    def _remove(self, server_id: str) -> None:
        if self._directory.remove(server_id):
            self._log.write("directory: server gone", server=server_id)
        elif self._directory.is_lapsed(server_id):
            self._log.write("directory: removal deferred", server=server_id)

    def _put(self, server: BackendServer) -> bool:
        """Add or update a server; return whether this changed the directory."""
        if self._directory.is_lapsed(server.id):
            self._log.write("directory: lapsed entry renewed", server=server.id)
        if not self._directory.put(server):
            known = self._directory.get(server.id)
            if known is not None and known != server:
                self._log.write(
                    "directory: entry of an earlier life ignored",
                    server=server.id,
                    born_ms=server.born_ms,
                    known_born_ms=known.born_ms,
                )
            return False
        self._log.write(
            "directory: server changed",
            server=server.id,
            service=server.service,
            draining=server.is_draining,
            version=server.version,
            born_ms=server.born_ms,
        )
        return True

    def _decode(self, row: Row) -> BackendServer | None:
        """Return the server of an entry; None, and no longer use it, if malformed."""
        try:
            server = decode_server(row.key, row.value)
        except ValueError as error:
            self._directory.remove(row.key)
            self._log.write(
                "directory: malformed entry", server=row.key, error=str(error)
            )
            return None
        if server.cold_left_s < 0:
            self._log.write("cold: malformed time ignored", server=row.key)
        return server
