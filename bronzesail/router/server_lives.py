"""Tells whether the entry of a server may be that of an earlier life of it.

A server may start again under its id with another software version, which its entry
tells some hundred milliseconds late. Its connections end with the life before, or new
ones are refused while it is down; from then on its entry is in doubt until it is
written again.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING

import attrs

from ..model import BackendServer

if TYPE_CHECKING:
    from .client import ClientPool
    from .directory import Directory

__all__ = ["ServerLives"]

# Longest time from the first connection to a new life until its entry arrives: an
# interval of heartbeats and the delay of an entry.
DOUBT_S = 3.0
# The same from the last connection to the life before, if there is none to a new one.
# Entries of servers that have stopped are removed sooner.
MAX_DOWN_S = 10.0
# An entry that arrives sooner after a loss may have been written before it.
RENEWAL_DELAY_S = 1.0


@attrs.frozen
class _Watcher:
    """Who is told the version of a server once it is known."""

    server: BackendServer
    on_version: Callable[[str], None]


class ServerLives:
    """Doubts entries of servers, and tells when a doubt has ended.

    Parameters
    ----------
    now : callable
        Returns the seconds of a monotonic clock.
    pool : ClientPool
        The connections to the servers.
    directory : Directory
        The entries.
    """

    def __init__(
        self, now: Callable[[], float], pool: ClientPool, directory: Directory
    ) -> None:
        self._now = now
        self._pool = pool
        self._directory = directory
        self._watchers: list[_Watcher] = []

    def is_doubted(self, server: BackendServer) -> bool:
        """Whether a server may run another software version than its entry says.

        A connection that has stayed open, or an entry that was written since, shows
        that it does not.
        """
        lost_at = self._pool.get_broken_at(server.address)
        reopened_at = self._pool.get_reopened_at(server.address)
        is_reached = reopened_at > lost_at
        doubt_ends_at = reopened_at + DOUBT_S if is_reached else lost_at + MAX_DOWN_S
        if self._now() > doubt_ends_at:
            return False
        if self._pool.has_connection(server.address, opened_before=lost_at):
            return False
        return (
            self._directory.get_started_at(server.id) <= lost_at
            and self._directory.get_renewed_at(server.id) < lost_at + RENEWAL_DELAY_S
        )

    def add_watcher(
        self, server: BackendServer, on_version: Callable[[str], None]
    ) -> None:
        """Call `on_version` with the version of a server, now or once it is known.

        A connection to the server is open, so that the newest entry is that of its
        life; `server` may be an earlier one.
        """
        current = self._directory.get(server.id) or server
        if not self.is_doubted(current):
            on_version(current.version)
            return
        self._watchers.append(_Watcher(server, on_version))

    def remove_watcher(self, on_version: Callable[[str], None]) -> None:
        """Stop calling a watcher, as its connection to the server has ended."""
        self._watchers = [w for w in self._watchers if w.on_version != on_version]

    def check(self) -> None:
        """Call the watchers whose servers' versions are known now."""
        watchers, self._watchers = self._watchers, []
        for watcher in watchers:
            current = self._directory.get(watcher.server.id)
            if current is None or self.is_doubted(current):
                self._watchers.append(watcher)
                continue
            watcher.on_version(current.version)
