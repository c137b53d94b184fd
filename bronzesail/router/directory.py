"""Tracks the backend servers that the router may use by their entries in the store."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, TypeVar

import attrs

from ..model import BackendServer, StoreVersion
from .eligibility import EvacuationReport
from .withdrawals import Withdrawals

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Mapping

    from .eligibility import Evacuations

__all__ = ["Directory", "Listing"]

# Servers renew the entries that expired in an outage of the store within 2 s of its
# recovery.
LAPSE_GRACE_S = 2.0
# Time after the recovery during which a removal may be such an expiry.
LAPSE_WINDOW_S = 2.0
# After a restore of the store, entries of earlier lives are back until their servers
# write them again. Otherwise the store's order decides which life is the later one, as
# the clocks of servers may be set back.
RESTORED_ENTRY_TTL_S = 5.0
# How long the removal of an entry is remembered; copies of the store that it is
# restored from are some seconds old.
REMOVED_TTL_S = 60.0
# Longest time between two answers of the store, or of the router that follows it, while
# the directory is up to date.
MAX_FOLLOW_GAP_S = 2.0

K = TypeVar("K")
T = TypeVar("T")


@attrs.frozen(kw_only=True)
class Listing:
    """Copy of a router's directory that is sent to another router.

    Attributes
    ----------
    store_version : StoreVersion
        Version of the store up to which it is complete.
    servers : list of BackendServer
        The servers with an entry in the store.
    lapsed : dict
        Remaining grace of servers whose entries may have expired in an outage of the
        store, in seconds by id. The receiver keeps those of them that it knows and
        adds none.
    leaving : dict
        Start of the leaving life of each leaving server, in milliseconds by id.
    evacuations : list of EvacuationReport
        Data centres that are or were evacuated.
    """

    store_version: StoreVersion
    servers: list[BackendServer]
    lapsed: dict[str, float]
    leaving: dict[str, int] = attrs.field(factory=dict)
    evacuations: list[EvacuationReport] = attrs.field(factory=list)


class Directory:
    """The known servers; those lost in an outage of the store have a grace period.

    Parameters
    ----------
    now : callable
        Returns the seconds of a monotonic clock.
    region_by_zone : mapping, optional
        Region of each data centre. Servers of any other data centre are in no region.
    evacuations : Evacuations, optional
        The evacuated data centres; none by default.

    Attributes
    ----------
    region_by_zone : mapping
        As the parameter; replaced when the settings file changes.
    generation : int
        Number of changes so far.
    store_version : StoreVersion
        Version of the store up to which the directory is complete.
    withdrawals : Withdrawals
        The servers that leave or pause by their own word.
    """

    def __init__(
        self,
        now: Callable[[], float],
        region_by_zone: Mapping[str, str] | None = None,
        evacuations: Evacuations | None = None,
    ) -> None:
        self._now = now
        self._evacuations = evacuations
        if evacuations is not None:
            evacuations.subscribe(self._note_evacuations_changed)
        self.region_by_zone = region_by_zone or {}
        self._servers: dict[str, BackendServer] = {}
        self._grace_ends: dict[str, float] = {}
        self._replaced: set[str] = set()
        self._store_recovered_at = -1e9
        self._store_restored_at = -1e9
        self._removed_lives: dict[str, tuple[int, float]] = {}  # Start, time by id.
        self._started_at: dict[str, float] = {}
        self._renewed_at: dict[str, float] = {}
        # Of lives other than that of the entry: version, and when it was noted.
        self._other_versions: dict[tuple[str, int], tuple[str, float]] = {}
        self._noted_at = -math.inf  # When the store's version was noted last.
        self._followed_since = -math.inf
        self.withdrawals = Withdrawals(now)
        self.generation = 0
        self.store_version = StoreVersion()

    def note_version(self, store_version: StoreVersion) -> None:
        """Record that the directory is complete up to a version of the store."""
        now = self._now()
        if now - self._noted_at > MAX_FOLLOW_GAP_S:
            self._followed_since = now
        self._noted_at = now
        self.store_version = max(self.store_version, store_version)

    def find_followed_since(self) -> float:
        """Return since when the directory has been following the store.

        This is infinite if it does not follow the store now.
        """
        if self._now() - self._noted_at > MAX_FOLLOW_GAP_S:
            return math.inf
        return self._followed_since

    def make_listing(self) -> Listing:
        """Return a copy of the directory for another router."""
        now = self._now()
        return Listing(
            store_version=self.store_version,
            servers=[s for s in self._servers.values() if s.id not in self._grace_ends],
            lapsed={key: until - now for key, until in self._grace_ends.items()},
            leaving=self.withdrawals.list_leaving(),
            evacuations=[]
            if self._evacuations is None
            else self._evacuations.list_reports(include_all=True),
        )

    def adopt(self, listing: Listing) -> list[str] | None:
        """Replace the directory by another router's; return the ids of removed servers.

        Returns None if the listing is older than the directory. Then only newer reports
        of evacuations are adopted.
        """
        if self._evacuations is not None:
            self._evacuations.merge(listing.evacuations, "listing")
            self._evacuations.note_read()
        if listing.store_version < self.store_version:
            return None
        self.merge_leaving(listing.leaving)
        listed = {server.id for server in listing.servers}
        for server in listing.servers:
            self.put(server)
        removed = []
        for key in [key for key in self._servers if key not in listed]:
            if key in listing.lapsed:
                until = self._now() + listing.lapsed[key]
                self._grace_ends.setdefault(key, until)
                continue
            self._forget(key)
            removed.append(key)
        self.note_version(listing.store_version)
        return removed

    def note_leaving(self, server: BackendServer) -> bool:
        """Record that a server leaves by its own word; return whether this is new."""
        return self.merge_leaving({server.id: server.born_ms})

    def merge_leaving(self, born_ms_by_id: Mapping[str, int]) -> bool:
        """Record servers that leave; return whether any of them was unknown.

        The parameter holds the start of their leaving life, in milliseconds by id.
        """
        if not self.withdrawals.merge_leaving(born_ms_by_id):
            return False
        self.generation += 1
        return True

    def note_store_restored(self) -> None:
        """Record that the store has come back from an older copy.

        Entries written since that copy are missing until their servers write them
        again, and removed ones are back.
        """
        self._store_recovered_at = self._now()
        self._store_restored_at = self._now()
        self._followed_since = self._now()

    def note_store_recovered(self) -> None:
        """Record that the store has just recovered from an outage."""
        self._store_recovered_at = self._now()

    def put(self, server: BackendServer) -> bool:
        """Add or update a server; return whether this changed the directory."""
        self._grace_ends.pop(server.id, None)
        known = self._servers.get(server.id)
        if known == server:
            return False
        if known is not None and known.born_ms > server.born_ms > 0:
            if self._now() - self._store_restored_at < RESTORED_ENTRY_TTL_S:
                self._note_other_life(server)
                return False  # The entry precedes the last start of the server.
            self.withdrawals.note_ended(server.id, known.born_ms)
        if server.is_draining and server.born_ms:
            # The entry may be back at an earlier state after a restore of the store.
            self.withdrawals.note_leaving(server.id, server.born_ms)
        if known is None or (known.born_ms, known.version) != (
            server.born_ms,
            server.version,
        ):
            self._started_at[server.id] = self._now()
        if known is not None and known.born_ms != server.born_ms:
            self._note_other_life(known)
        self._servers[server.id] = server
        self._replaced.discard(server.id)
        self.generation += 1
        return True

    def find_version(self, server_id: str, born_ms: int) -> str | None:
        """Return the software version of a life of a server, None if unknown."""
        server = self._servers.get(server_id)
        if server is not None and server.born_ms == born_ms:
            return server.version
        return self._other_versions.get((server_id, born_ms), (None, 0.0))[0]

    def note_renewed(self, server: BackendServer) -> None:
        """Record that a server has just written its entry, changed or not."""
        known = self._servers.get(server.id)
        if known is not None and known.born_ms == server.born_ms:
            self._renewed_at[server.id] = self._now()

    def get_started_at(self, server_id: str) -> float:
        """Return when the entry of a server's current life became known."""
        return self._started_at.get(server_id, -math.inf)

    def get_renewed_at(self, server_id: str) -> float:
        """Return when a server was last known to have written its entry."""
        return self._renewed_at.get(server_id, -math.inf)

    def note_replaced(self, server: BackendServer) -> bool:
        """Record that another server has answered at the address of an entry.

        The entry is unusable until its server changes it. Returns whether it was
        usable before.
        """
        if self._servers.get(server.id) != server or server.id in self._replaced:
            return False
        self._replaced.add(server.id)
        return True

    def remove(self, server_id: str) -> bool:
        """Record the removal of an entry; return whether the server is removed now.

        After an outage of the store it is kept for a grace period instead, until
        `expire` removes it.
        """
        if server_id not in self._servers:
            return False
        if self._now() - self._store_recovered_at < LAPSE_WINDOW_S:
            expired_at = max(self._store_recovered_at, self._now() - LAPSE_GRACE_S)
            self._grace_ends.setdefault(server_id, expired_at + LAPSE_GRACE_S)
            return False
        self._forget(server_id)
        return True

    def is_lapsed(self, server_id: str) -> bool:
        """Whether the entry may have expired in an outage, and is kept for a while."""
        return server_id in self._grace_ends

    def replace(self, servers: Iterable[BackendServer]) -> list[str]:
        """Replace all entries and return the ids of the servers removed now."""
        listed = {server.id: server for server in servers}
        for server in listed.values():
            if not self._is_restored_removal(server):
                self.put(server)
        missing = [key for key in self._servers if key not in listed]
        return [key for key in missing if self.remove(key)]

    def _is_restored_removal(self, server: BackendServer) -> bool:
        """Whether an entry was removed before and is back by a restore of the store.

        A server that lives writes its entry again, which a watch reports.
        """
        if self._now() - self._store_restored_at >= LAPSE_WINDOW_S:
            return False
        born_ms, _ = self._removed_lives.get(server.id, (-1, 0.0))
        return born_ms >= server.born_ms

    def expire(self) -> list[str]:
        """Remove the servers whose grace period is over and return their ids."""
        now = self._now()
        removed = [key for key, until in self._grace_ends.items() if until <= now]
        for key in removed:
            self._forget(key)
        return removed

    def get(self, server_id: str) -> BackendServer | None:
        """Return a server by its id, None if it is unknown."""
        return self._servers.get(server_id)

    def is_usable(self, server: BackendServer) -> bool:
        """Whether a server accepts new requests; pauses are not considered."""
        return (
            not server.is_draining
            and not self._is_evacuated(server)
            and server.id not in self._replaced
            and not self.withdrawals.is_leaving(server)
        )

    def _is_evacuated(self, server: BackendServer) -> bool:
        """Whether the data centre of a server is evacuated."""
        evacuations = self._evacuations
        return evacuations is not None and evacuations.is_evacuated(server.zone)

    def _note_evacuations_changed(self) -> None:
        """Count a change of the evacuated data centres as one of the directory."""
        self.generation += 1

    def count_evacuated(self, service: str | None = None) -> int:
        """Return the number of servers, of a service or of all, that are evacuated."""
        return sum(
            self._is_evacuated(server)
            for server in self._servers.values()
            if service in (None, server.service)
        )

    def get_taken_back_at(self, server_id: str) -> float:
        """Return when the evacuation of a server's data centre was reverted.

        This is ``-inf`` if it never was, or if the server is unknown or evacuated.
        """
        server = self._servers.get(server_id)
        if server is None or self._evacuations is None:
            return -math.inf
        return self._evacuations.get_taken_back_at(server.zone)

    def explain_ineligible(self, service: str, regions: frozenset[str] | None) -> str:
        """Return why no server may be used until operators change something.

        This is empty if home regions and evacuations are not the reason. It is meant
        for requests for which `list_usable` returns no server.
        """
        if self.count_evacuated(service):
            return "no server outside of evacuated data centres is left"
        return "" if regions is None else "no server in a home region is left"

    def is_in_regions(
        self, server: BackendServer, regions: frozenset[str] | None
    ) -> bool:
        """Whether a server is in one of the given regions; None stands for all."""
        return regions is None or self.region_by_zone.get(server.zone) in regions

    def find_unusable_reason(
        self,
        server: BackendServer,
        version: str | None = None,
        regions: frozenset[str] | None = None,
    ) -> str | None:
        """Return why `list_usable` leaves a server out, None if it does not."""
        if self._is_evacuated(server):
            return "its data centre is evacuated"
        if not self.is_in_regions(server, regions):
            return "it is in no home region of the request"
        if server.is_draining:
            return "it leaves, according to its entry"
        if server.id in self._replaced:
            return "another server has answered at its address"
        if self.withdrawals.is_leaving(server):
            return "it leaves by its own word"
        if version not in (None, server.version):
            return "it runs another version"
        return None

    def list_usable(
        self,
        service: str,
        version: str | None = None,
        regions: frozenset[str] | None = None,
    ) -> list[BackendServer]:
        """Return the servers of a service that accept new requests.

        Parameters
        ----------
        service : str
            Name of the service.
        version : str, optional
            Software version that the servers must have; any by default.
        regions : frozenset of str, optional
            Regions that the servers must be in; any by default.
        """
        return [
            server
            for server in self._servers.values()
            if server.service == service
            and self.is_usable(server)
            and version in (None, server.version)
            and self.is_in_regions(server, regions)
        ]

    def list_all(self) -> list[BackendServer]:
        """Return all servers."""
        return list(self._servers.values())

    def list_ids(self) -> list[str]:
        """Return the ids of all servers."""
        return list(self._servers)

    def list_versions(self) -> dict[str, set[str]]:
        """Return the software versions of all servers of each service."""
        versions: dict[str, set[str]] = {}
        for server in self._servers.values():
            versions.setdefault(server.service, set()).add(server.version)
        return versions

    def list_services(self) -> set[str]:
        """Return the names of all services with at least one server."""
        return {server.service for server in self._servers.values()}

    def __len__(self) -> int:
        return len(self._servers)

    def _forget(self, server_id: str) -> None:
        """Remove a server and its state."""
        self._grace_ends.pop(server_id, None)
        self._replaced.discard(server_id)
        self._started_at.pop(server_id, None)
        self._renewed_at.pop(server_id, None)
        server = self._servers.pop(server_id, None)
        now = self._now()
        _drop_old(self._removed_lives, now)
        if server is not None:
            self._removed_lives[server_id] = (server.born_ms, now)
            self._note_other_life(server)
        self.generation += 1

    def _note_other_life(self, server: BackendServer) -> None:
        """Remember the version of a life that the directory does not list."""
        now = self._now()
        _drop_old(self._other_versions, now)
        self._other_versions[server.id, server.born_ms] = (server.version, now)


def _drop_old(lives: dict[K, tuple[T, float]], now: float) -> None:
    """Drop lives that ended more than `REMOVED_TTL_S` ago."""
    for key, (_, ended_at) in list(lives.items()):
        if now - ended_at > REMOVED_TTL_S:
            del lives[key]
