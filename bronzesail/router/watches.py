"""Follows the configuration and the directory in the store."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Protocol

from ..platform import (
    CONFIGURATION_ROW,
    SERVER_TABLE,
    decode_configuration,
    decode_server,
)
from .store import HistoryLostError, StoreError

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from ..model import BackendServer, Configuration, Row
    from .directory import Directory
    from .log import Log
    from .store import StoreClient

__all__ = [
    "MAX_BACKOFF",
    "RETRY_S",
    "ConfigurationKeeper",
    "ConfigurationWatch",
    "ServerWatch",
]

WAIT_S = 0.8  # With the margin of a call, a silent store is found out in 1.6 s.
SERVER_GAP_S = 0.35  # Joins heartbeats, each of which changes an entry, into one call.
RETRY_S = 0.25  # Between calls to a store that does not answer.
MAX_BACKOFF = 8  # Of the retry gap where many share a link, and of the patience.
GUIDED_S = 0.1  # Between looks whether another router still follows the store.
READ_AGAIN_S = 6.0  # A feed that hears nothing is found out by a read.


class ConfigurationKeeper:
    """The newest configuration known; it never goes back.

    Parameters
    ----------
    log : Log
        Where decisions are written.
    on_change : callable
        Called with each new configuration.
    """

    def __init__(self, log: Log, on_change: Callable[[Configuration], None]) -> None:
        self._log = log
        self._on_change = on_change
        self.current: Configuration | None = None
        self.store_version = 0  # Of the store; no newer configuration up to it.

    def note_version(self, store_version: int) -> None:
        """Take it that nothing newer was written up to a version of the store."""
        self.store_version = max(self.store_version, store_version)

    @property
    def version(self) -> int:
        """The version in force, 0 where none is known."""
        return 0 if self.current is None else self.current.version

    def offer(self, body: bytes, source: str) -> None:
        """Put a configuration in force if it is newer."""
        try:
            configuration = decode_configuration(body)
        except ValueError as error:
            self._log.write("config: unreadable", source=source, error=str(error))
            return
        if configuration.version <= self.version:
            return
        self._log.write(
            "config: in force",
            version=configuration.version,
            before=self.version,
            source=source,
            bytes=len(body),
        )
        self.current = configuration
        self._on_change(configuration)


class _Followed(Protocol):
    """What a watch keeps up to date."""

    store_version: int

    def note_version(self, store_version: int) -> None:
        """Take it that it is complete up to a version of the store."""


class _Watch:
    """Follows the changes of a table; reads it whole only where some were missed.

    Many routers begin to follow at the same moment, over a narrow link: what another
    router has told is not read again.
    """

    table = ""
    gap_s = 0.0

    def __init__(
        self,
        store: StoreClient,
        log: Log,
        may_follow: Callable[[], bool],
        on_step: Callable[[], None],
        find_retry_s: Callable[[int], float],
        followed: _Followed,
    ) -> None:
        self._store = store
        self._log = log
        self._may_follow = may_follow
        self._find_retry_s = find_retry_s
        self._failures = 0
        self._on_step = on_step
        self._followed = followed
        self._must_read = False
        self._call_started_at = 0.0
        self.is_in_step = False
        self.has_lost_store = False

    async def run(self) -> None:
        """Follow the table until cancelled."""
        while True:
            if not self._may_follow():
                # Another router of the data centre follows the store for this one.
                self.has_lost_store = False
                self._note_step(False, "guided")
                await asyncio.sleep(GUIDED_S)
                continue
            try:
                await self._follow()
            except HistoryLostError:
                self._must_read = True
                self._log.write("store: history lost", table=self.table)
            except StoreError as error:
                self._note_failure(str(error))
                await asyncio.sleep(self._find_retry_s(self._failures))

    async def _follow(self) -> None:
        loop = asyncio.get_running_loop()
        wait_s = 0.0  # The first answer tells at once whether the store is there.
        if self._must_read or not self._followed.store_version:
            await self._read()
        read_at = loop.time()
        while self._may_follow():
            if loop.time() - read_at > READ_AGAIN_S:
                await self._read()
                read_at = loop.time()
            self._call_started_at = loop.time()
            since = self._followed.store_version
            change = await self._store.watch(self.table, since, wait_s, self._patience)
            self._note_answer()
            if change.version >= self._followed.store_version:
                # Otherwise another router told newer news during the call.
                self._take_changes(change.rows)
                self._followed.note_version(change.version)
            wait_s = WAIT_S
            if change.rows and self.gap_s:
                await asyncio.sleep(self.gap_s)

    async def _read(self) -> None:
        loop = asyncio.get_running_loop()
        self._call_started_at = loop.time()
        answer = await self._store.read_table(self.table, patience=self._patience)
        self._log.write(
            "store: table read",
            table=self.table,
            version=answer.version,
            rows=len(answer.rows),
            bytes=sum(len(row.value) for row in answer.rows),
            took_s=round(loop.time() - self._call_started_at, 3),
        )
        self._note_answer()
        self._must_read = False
        if answer.version >= self._followed.store_version:
            # Otherwise another router told newer news during the call.
            self._take_all(answer.rows)
            self._followed.note_version(answer.version)

    @property
    def _patience(self) -> int:
        """How many times longer than usual to wait, as a full link delays answers."""
        return min(1 << self._failures, MAX_BACKOFF)

    def _note_answer(self) -> None:
        self._failures = 0
        if self.has_lost_store:
            self.has_lost_store = False
            self._note_return()
        self._note_step(True, "answer")

    def _note_failure(self, reason: str) -> None:
        took_s = asyncio.get_running_loop().time() - self._call_started_at
        self._log.write(
            "store: call failed",
            table=self.table,
            reason=reason,
            took_s=round(took_s, 3),
        )
        self._failures += 1
        self.has_lost_store = True
        self._note_step(False, reason)

    def _note_step(self, is_in_step: bool, reason: str) -> None:
        if is_in_step == self.is_in_step:
            return
        self.is_in_step = is_in_step
        state = "regained" if is_in_step else "lost"
        self._log.write(f"store: {state}", table=self.table, reason=reason)
        self._on_step()

    def _note_return(self) -> None:
        """Do what a return of the store asks for."""

    def _take_all(self, rows: list[Row]) -> None:
        raise NotImplementedError

    def _take_changes(self, rows: list[Row]) -> None:
        raise NotImplementedError


class ConfigurationWatch(_Watch):
    """Follows the operators' configuration."""

    table, key = CONFIGURATION_ROW

    def __init__(
        self,
        store: StoreClient,
        log: Log,
        may_follow: Callable[[], bool],
        on_step: Callable[[], None],
        find_retry_s: Callable[[int], float],
        keeper: ConfigurationKeeper,
    ) -> None:
        super().__init__(store, log, may_follow, on_step, find_retry_s, keeper)
        self._keeper = keeper

    def _take_all(self, rows: list[Row]) -> None:
        self._take_changes(rows)

    def _take_changes(self, rows: list[Row]) -> None:
        for row in rows:
            if row.key == self.key and not row.is_removed:
                self._keeper.offer(row.value, "store")


class ServerWatch(_Watch):
    """Follows the entries of the backend servers."""

    table = SERVER_TABLE
    gap_s = SERVER_GAP_S

    def __init__(
        self,
        store: StoreClient,
        log: Log,
        may_follow: Callable[[], bool],
        on_step: Callable[[], None],
        find_retry_s: Callable[[int], float],
        directory: Directory,
        on_change: Callable[[], None],
    ) -> None:
        super().__init__(store, log, may_follow, on_step, find_retry_s, directory)
        self._directory = directory
        self._on_change = on_change

    def _note_return(self) -> None:
        self._directory.note_store_recovered()

    def _take_all(self, rows: list[Row]) -> None:
        servers = [s for s in self._decode(rows) if s is not None]
        for server_id in self._directory.replace(servers):
            self._log.write("directory: server gone", server=server_id)
        self._on_change()

    def _take_changes(self, rows: list[Row]) -> None:
        is_changed = False
        for row in rows:
            if row.is_removed:
                if self._directory.remove(row.key):
                    self._log.write("directory: server gone", server=row.key)
                is_changed = True
        for server in self._decode(row for row in rows if not row.is_removed):
            if self._directory.put(server):
                is_changed = True
                self._log.write(
                    "directory: server changed",
                    server=server.id,
                    service=server.service,
                    draining=server.is_draining,
                )
        if is_changed:
            self._on_change()

    def _decode(self, rows: Iterable[Row]) -> list[BackendServer]:
        servers = []
        for row in rows:
            if row.is_removed:
                continue
            try:
                servers.append(decode_server(row.key, row.value))
            except ValueError as error:
                # Such an entry names no server to use; the others hold.
                self._directory.remove(row.key)
                self._log.write(
                    "directory: entry unreadable", server=row.key, error=str(error)
                )
        return servers
