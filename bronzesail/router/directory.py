"""Backend servers that the router may use, from the entries that they write."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from ..model import BackendServer

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

__all__ = ["Directory", "Listing"]

RETURN_S = 2.0  # Entries that lapsed with the store are back within 2 s of its return.
OUTAGE_MEMORY_S = 2.0  # After the store's return, a removal may be such a lapse.


@attrs.frozen(kw_only=True)
class Listing:
    """A router's directory, for another router.

    Attributes
    ----------
    store_version : int
        The store's version that it is complete up to.
    servers : list of BackendServer
        The servers that have an entry.
    lapsed : dict
        Seconds left to servers whose entries may have lapsed with the store. They are
        no reason to take up a server that the reader does not have.
    """

    store_version: int
    servers: list[BackendServer]
    lapsed: dict[str, float]


class Directory:
    """The usable servers, each with a grace after an outage of the store.

    Parameters
    ----------
    now : callable
        Seconds on a steady clock.
    """

    def __init__(self, now: Callable[[], float]) -> None:
        self._now = now
        self._servers: dict[str, BackendServer] = {}
        self._lapsed: dict[str, float] = {}
        self._replaced: set[str] = set()
        self._store_back_at = -1e9
        self.generation = 0
        self.store_version = 0  # Of the store; the directory is complete up to it.

    def note_version(self, store_version: int) -> None:
        """Take it that the directory is complete up to a version of the store."""
        self.store_version = max(self.store_version, store_version)

    def make_listing(self) -> Listing:
        """Return the directory for another router."""
        now = self._now()
        return Listing(
            store_version=self.store_version,
            servers=[s for s in self._servers.values() if s.id not in self._lapsed],
            lapsed={key: until - now for key, until in self._lapsed.items()},
        )

    def adopt(self, listing: Listing) -> list[str] | None:
        """Take another router's directory and return the ids of servers that are gone.

        Returns None where the listing is older than what is known: it is not taken.
        """
        if listing.store_version < self.store_version:
            return None
        listed = {server.id for server in listing.servers}
        for server in listing.servers:
            self.put(server)
        gone = []
        for key in [key for key in self._servers if key not in listed]:
            if key in listing.lapsed:
                until = self._now() + listing.lapsed[key]
                self._lapsed.setdefault(key, until)
                continue
            self._forget(key)
            gone.append(key)
        self.note_version(listing.store_version)
        return gone

    def note_store_back(self) -> None:
        """Take it that the store has just come back after an outage."""
        self._store_back_at = self._now()

    def put(self, server: BackendServer) -> bool:
        """Take an entry; tell whether it changed what is known."""
        self._lapsed.pop(server.id, None)
        known = self._servers.get(server.id)
        if known == server:
            return False
        if known is not None and known.born_ms > server.born_ms > 0:
            return False  # An entry from before the server's last start.
        self._servers[server.id] = server
        self._replaced.discard(server.id)
        self.generation += 1
        return True

    def note_replaced(self, server: BackendServer) -> bool:
        """Take it that another server answers at an entry's address.

        The entry is not used until its server writes a changed one. Returns whether
        the entry was in use.
        """
        if self._servers.get(server.id) != server or server.id in self._replaced:
            return False
        self._replaced.add(server.id)
        return True

    def remove(self, server_id: str) -> bool:
        """Take it that an entry is gone; tell whether the server is gone at once."""
        if server_id not in self._servers:
            return False
        if self._now() - self._store_back_at < OUTAGE_MEMORY_S:
            lapsed_at = max(self._store_back_at, self._now() - RETURN_S)
            self._lapsed.setdefault(server_id, lapsed_at + RETURN_S)
            return False
        self._forget(server_id)
        return True

    def replace(self, servers: Iterable[BackendServer]) -> list[str]:
        """Take all entries at once and return the ids of those that are gone."""
        listed = {server.id: server for server in servers}
        for server in listed.values():
            self.put(server)
        missing = [key for key in self._servers if key not in listed]
        return [key for key in missing if self.remove(key)]

    def expire(self) -> list[str]:
        """Forget lapsed servers whose grace is over and return their ids."""
        now = self._now()
        gone = [key for key, until in self._lapsed.items() if until <= now]
        for key in gone:
            self._forget(key)
        return gone

    def get(self, server_id: str) -> BackendServer | None:
        """Return a server by its id."""
        return self._servers.get(server_id)

    def list_usable(self, service: str) -> list[BackendServer]:
        """Return the servers of a service that take new work."""
        return [
            server
            for server in self._servers.values()
            if server.service == service
            and not server.is_draining
            and server.id not in self._replaced
        ]

    def list_ids(self) -> list[str]:
        """Return the ids of all servers."""
        return list(self._servers)

    def list_services(self) -> set[str]:
        """Return the names of all services that have servers."""
        return {server.service for server in self._servers.values()}

    def __len__(self) -> int:
        return len(self._servers)

    def _forget(self, server_id: str) -> None:
        self._lapsed.pop(server_id, None)
        self._replaced.discard(server_id)
        self._servers.pop(server_id, None)
        self.generation += 1
