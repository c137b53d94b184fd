"""Follows the configuration and the directory in the store."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

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

__all__ = ["ConfigurationKeeper", "ConfigurationWatch", "ServerWatch"]

CONFIGURATION_WAIT_S = 1.5  # A silent connection is found within configMs, 3 s.
SERVER_WAIT_S = 1.0  # A server's leaving binds within drainMs, 3 s.
SERVER_GAP_S = 0.35  # Joins heartbeats, each of which changes an entry, into one call.
RETRY_S = 0.25  # Between calls to a store that does not answer.
GUIDED_S = 0.2  # Between looks whether another router still follows the store.
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


class _Watch:
    """Reads a table, then follows its changes; reads again after a gap."""

    table = ""
    wait_s = 1.0
    gap_s = 0.0

    def __init__(
        self, store: StoreClient, log: Log, is_guided: Callable[[], bool]
    ) -> None:
        self._store = store
        self._log = log
        self._is_guided = is_guided
        self.is_in_step = False
        self.has_loaded = False

    async def run(self) -> None:
        """Follow the table until cancelled."""
        loop = asyncio.get_running_loop()
        while True:
            if self._is_guided():
                # Another router of the data centre follows the store for this one.
                self._note_step(False, "guided")
                await asyncio.sleep(GUIDED_S)
                continue
            try:
                started_at = loop.time()
                answer = await self._store.read_table(self.table)
                read_at = loop.time()
                self._log.write(
                    "store: table read",
                    table=self.table,
                    version=answer.version,
                    rows=len(answer.rows),
                    bytes=sum(len(row.value) for row in answer.rows),
                    took_s=round(read_at - started_at, 3),
                )
                self._note_step(True, "read")
                self._take_all(answer.rows)
                self._note_version(answer.version)
                self.has_loaded = True
                version = answer.version
                while loop.time() - read_at < READ_AGAIN_S and not self._is_guided():
                    started_at = loop.time()
                    change = await self._store.watch(self.table, version, self.wait_s)
                    self._take_changes(change.rows)
                    self._note_version(change.version)
                    version = max(version, change.version)
                    if change.rows and self.gap_s:
                        await asyncio.sleep(self.gap_s)
            except HistoryLostError:
                self._log.write("store: history lost", table=self.table)
            except StoreError as error:
                self._log.write(
                    "store: call failed",
                    table=self.table,
                    reason=str(error),
                    took_s=round(loop.time() - started_at, 3),
                )
                self._note_step(False, str(error))
                await asyncio.sleep(RETRY_S)

    def _note_step(self, is_in_step: bool, reason: str) -> None:
        if is_in_step == self.is_in_step:
            return
        self.is_in_step = is_in_step
        state = "regained" if is_in_step else "lost"
        self._log.write(f"store: {state}", table=self.table, reason=reason)
        if is_in_step:
            self._note_return()

    def _note_return(self) -> None:
        """Do what a return of the store asks for."""

    def _note_version(self, store_version: int) -> None:
        """Take it that all changes up to a version of the store are known."""

    def _take_all(self, rows: list[Row]) -> None:
        raise NotImplementedError

    def _take_changes(self, rows: list[Row]) -> None:
        raise NotImplementedError


class ConfigurationWatch(_Watch):
    """Follows the operators' configuration."""

    table, key = CONFIGURATION_ROW
    wait_s = CONFIGURATION_WAIT_S

    def __init__(
        self,
        store: StoreClient,
        log: Log,
        is_guided: Callable[[], bool],
        keeper: ConfigurationKeeper,
    ) -> None:
        super().__init__(store, log, is_guided)
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
    wait_s = SERVER_WAIT_S
    gap_s = SERVER_GAP_S

    def __init__(
        self,
        store: StoreClient,
        log: Log,
        is_guided: Callable[[], bool],
        directory: Directory,
        on_change: Callable[[], None],
    ) -> None:
        super().__init__(store, log, is_guided)
        self._directory = directory
        self._on_change = on_change

    def _note_return(self) -> None:
        self._directory.note_store_back()

    def _note_version(self, store_version: int) -> None:
        self._directory.note_version(store_version)

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
