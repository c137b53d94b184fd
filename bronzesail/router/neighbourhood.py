"""Elects the routers with special roles in a fleet, without performing I/O.

In a small fleet every router sends its hello messages to all others, follows the store
and refills its own budgets. In a large one the routers of a data centre form a
neighbourhood: two of them follow the store on behalf of the others, and its leader
exchanges hellos with the leaders of the other data centres. For each client account one
router of each region, the account's allocator, holds tokens for the region; the other
routers request from it what each of their requests needs.

Each router computes the roles on its own, from what it knows of the others, and
correctness does not depend on agreement: where two routers differ, the store is read
once more than needed or two of them refill.
"""

from __future__ import annotations

import functools
import hashlib
from typing import TYPE_CHECKING

import attrs

from .messages import compute_hosts_digest

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

__all__ = ["Allocator", "Neighbour", "Neighbourhood"]

# Largest number of routers in a small fleet, where each sends a hello of 300 bytes to
# each other router twice a second.
SMALL_FLEET = 12
LIVENESS_TIMEOUT_S = 1.5  # Three missed hello messages.
# Routers of a data centre that follow the store. The second one is a spare.
STORE_FOLLOWERS = 2
# Time without a follower in step after which `MAX_STORE_FOLLOWERS` routers try.
NO_FOLLOWER_S = 0.5
# Difference in store latency that makes another region nearer to the store. The
# latency is 2 ms between data centres of a region and 60 ms between regions.
NEARER_LATENCY_S = 0.02
# Each follower adds load to a link that may be congested already, and it is unlikely
# that four are all cut off from the store.
MAX_STORE_FOLLOWERS = 4
FORGET_AFTER_S = 30.0  # Silence after which a router is forgotten.
# Lifetime of a leader's report on its data centre. It covers the failure of two
# leaders, one after the other.
ZONE_REPORT_TTL_S = 4.0
SUSPICION_S = 2.0  # By then a failed allocator has exceeded the liveness timeout.
RANK_CACHE_SIZE = 65_536  # Covers the accounts times the routers of a region.


@attrs.frozen
class Allocator:
    """A router that holds tokens of an account for its region."""

    host: str
    address: tuple[str, int]


@attrs.define(kw_only=True)
class Neighbour:
    """Another router, as described by its row in the store or its last hello.

    Attributes
    ----------
    host, zone : str
        Its host and data centre.
    address : (str, int)
        Where it receives datagrams and requests of other routers.
    link_mbps : float
        Bandwidth of its host's link, in Mbit/s.
    heard_at : float
        When the last hello arrived, or when the row was first read.
    is_leaving : bool
        Whether it is shutting down.
    is_in_step : bool
        Whether it follows the store and has all of its changes.
    has_lost_store : bool
        Whether its attempts to follow the store fail.
    store_latency_s : float or None
        Latency of the store from there; None while it is unknown.
    """

    host: str
    zone: str
    address: tuple[str, int]
    link_mbps: float
    heard_at: float
    is_leaving: bool = False
    is_in_step: bool = False
    has_lost_store: bool = False
    store_latency_s: float | None = None


@attrs.define
class _ZoneReport:
    """A leader's list of the live routers of its data centre."""

    hosts: dict[str, tuple[str, int]]
    digest: int
    reported_at: float  # When the list, or a hello with its digest, arrived.


class Neighbourhood:
    """One router's view of the fleet, and the roles that follow from it.

    Parameters
    ----------
    host, zone : str
        This router's host and data centre.
    link_mbps : float
        Bandwidth of this host's link, in Mbit/s.
    now : callable
        Returns the seconds of a monotonic clock.
    region_by_zone : dict, optional
        Region of each data centre; all are in one region by default.
    address : (str, int), optional
        Where this router receives datagrams and requests of other routers.
    """

    def __init__(
        self,
        host: str,
        zone: str,
        link_mbps: float,
        now: Callable[[], float],
        region_by_zone: dict[str, str] | None = None,
        address: tuple[str, int] = ("", 0),
    ) -> None:
        self.host = host
        self._address = address
        self._zone = zone
        self._link_mbps = link_mbps
        self._now = now
        self._neighbours: dict[str, Neighbour] = {}
        self._region_by_zone = region_by_zone or {}
        self._zone_reports: dict[str, _ZoneReport] = {}
        self._suspected_until: dict[str, float] = {}
        self._no_follower_since: float | None = None
        self._last_seen_at: dict[str, float] = {}  # By a row or a hello.
        self.has_read_rows = False

    @property
    def is_large(self) -> bool:
        """Whether the fleet is large enough for the routers to take roles."""
        return len(self._neighbours) + 1 > SMALL_FLEET

    def count_hosts(self) -> int:
        """Return how many routers share the fleet's limits, this one included.

        A silent router keeps its share, since it may be partitioned from this one and
        still send retries.
        """
        return len(self._last_seen_at.keys() | {self.host})

    def note_rows_read(self, hosts: Iterable[str]) -> None:
        """Update the routers that share the limits from the rows in the store.

        A router gives up its share once it has neither had a row nor sent a hello for
        `FORGET_AFTER_S`.
        """
        now = self._now()
        self.has_read_rows = True
        self._last_seen_at.update(dict.fromkeys(hosts, now))
        for host, seen_at in list(self._last_seen_at.items()):
            if now - seen_at > FORGET_AFTER_S:
                del self._last_seen_at[host]

    def note_row(
        self, host: str, zone: str, address: tuple[str, int], link_mbps: float
    ) -> None:
        """Record a router's row from the store.

        A new router, or one with a new address, counts as live without a hello.
        """
        if host == self.host:
            return
        known = self._neighbours.get(host)
        if known is not None and known.address == address:
            return
        self._neighbours[host] = Neighbour(
            host=host,
            zone=zone,
            address=address,
            link_mbps=link_mbps,
            heard_at=self._now(),
        )

    def note_hello(self, neighbour: Neighbour) -> None:
        """Record a router's hello."""
        self._neighbours[neighbour.host] = neighbour
        self._last_seen_at[neighbour.host] = neighbour.heard_at

    def note_zone_hosts(self, zone: str, hosts: dict[str, tuple[str, int]]) -> None:
        """Record a leader's list of the live routers of another data centre."""
        if zone != self._zone:
            digest = compute_hosts_digest(hosts)
            self._zone_reports[zone] = _ZoneReport(hosts, digest, self._now())

    def confirm_zone_hosts(self, zone: str, digest: int) -> bool:
        """Compare the list of a data centre's routers with a leader's digest.

        Returns
        -------
        bool
            False if the list that is known here differs, and must be read.
        """
        if zone == self._zone:
            return True
        known = self._zone_reports.get(zone)
        if known is None or known.digest != digest:
            return False
        known.reported_at = self._now()
        return True

    def forget_old(self) -> None:
        """Forget routers of this data centre that were silent for `FORGET_AFTER_S`."""
        now = self._now()
        for host, known in list(self._neighbours.items()):
            if known.zone == self._zone and now - known.heard_at > FORGET_AFTER_S:
                del self._neighbours[host]

    def find_leader(self) -> Neighbour | None:
        """Return the leader of this data centre, None if that is this router.

        A small fleet has no leaders.
        """
        if not self.is_large:
            return None
        higher_ranked = self._list_higher_ranked()
        return max(higher_ranked, key=self._rank, default=None)

    def find_store_follower(self) -> Neighbour | None:
        """Return the router from which this data centre copies the store's changes.

        This is the highest ranked one that is in step with the store, None if there is
        none. A small fleet needs none.
        """
        if not self.is_large:
            return None
        in_step = [known for known in self._list_live() if known.is_in_step]
        return max(in_step, key=self._rank, default=None)

    def may_follow_store(self, is_in_step: bool) -> bool:
        """Whether this router should follow the store itself.

        Two routers of a data centre do so, and four try while none succeeds, since
        each of them costs the store and the links another copy of all changes. A
        router that has lost the store does not count among the two, and retries with
        exponential backoff.

        Parameters
        ----------
        is_in_step : bool
            Whether this router follows the store now and has all of its changes.
        """
        if not self.is_large:
            return True
        higher_ranked = self._list_higher_ranked()
        n_trying = sum(not known.has_lost_store for known in higher_ranked)
        if is_in_step:
            return sum(known.is_in_step for known in higher_ranked) < STORE_FOLLOWERS
        return n_trying < self._count_followers_wanted()

    def has_nearer_follower(self, latency_s: float) -> bool:
        """Whether a router of a region nearer to the store follows it.

        That router sends a configuration compressed and once for each data centre, so
        that the store's uncompressed copy need not cross the narrow link between the
        regions for each follower.

        Parameters
        ----------
        latency_s : float
            Latency of the store from this router, in seconds.
        """
        if not self.is_large:
            return False
        now = self._now()
        own_region = self._find_region(self._zone)
        for known in self._neighbours.values():
            if not known.is_in_step or now - known.heard_at >= LIVENESS_TIMEOUT_S:
                continue
            if self._find_region(known.zone) == own_region:
                continue
            if known.store_latency_s is None:
                continue
            if known.store_latency_s + NEARER_LATENCY_S < latency_s:
                return True
        return False

    def is_follower_candidate(self) -> bool:
        """Whether this router is among those that try if none follows the store."""
        return len(self._list_higher_ranked()) < MAX_STORE_FOLLOWERS

    def _count_followers_wanted(self) -> int:
        """Return how many routers of the data centre should follow the store."""
        if any(known.is_in_step for known in self._list_live()):
            self._no_follower_since = None
            return STORE_FOLLOWERS
        now = self._now()
        if self._no_follower_since is None:
            self._no_follower_since = now
        return (
            STORE_FOLLOWERS
            if now - self._no_follower_since < NO_FOLLOWER_S
            else MAX_STORE_FOLLOWERS
        )

    def _list_higher_ranked(self) -> list[Neighbour]:
        """Return the live routers of the data centre that rank above this one."""
        own = self._rank_leader(self.host, self._link_mbps)
        return [known for known in self._list_live() if self._rank(known) > own]

    def rank_allocators(self, account: str) -> list[Allocator]:
        """Return the routers to request tokens from before the store, best first.

        These are the routers of the region that rank above this one for the account;
        there are none if this router is the account's allocator.
        """
        if not self.is_large:
            return []
        own = _rank(account, self.host)
        ranked = [
            (rank, host, address)
            for host, address in self._list_region().items()
            if (rank := _rank(account, host)) > own
        ]
        ranked.sort(reverse=True)
        return [Allocator(host, address) for _, host, address in ranked]

    def find_other_allocators(self, account: str) -> list[Allocator]:
        """Return the account's allocator in each other region."""
        best: dict[str, tuple[bytes, Allocator]] = {}
        for zone, hosts in self.list_other_zones().items():
            region = self._find_region(zone)
            if region == self._find_region(self._zone):
                continue
            for host, address in hosts.items():
                rank = _rank(account, host)
                if region not in best or rank > best[region][0]:
                    best[region] = rank, Allocator(host, address)
        return [allocator for _, allocator in best.values()]

    def list_other_zones(self) -> dict[str, dict[str, tuple[str, int]]]:
        """Return the live routers of the other data centres, as reported by leaders."""
        now = self._now()
        return {
            zone: report.hosts
            for zone, report in self._zone_reports.items()
            if now - report.reported_at < ZONE_REPORT_TTL_S
        }

    def list_nearest(
        self,
        subject: str,
        zone: str,
        n_most: float,
        max_silence_s: float = LIVENESS_TIMEOUT_S,
    ) -> list[str]:
        """Return up to `n_most` live routers of the fleet, this one included.

        Those of the region of a data centre come first. Among equals the rendezvous
        hash for a subject decides, which is the same at each router. A router without
        a hello for `max_silence_s` does not count as live.
        """
        region = self._find_region(zone)
        ranked = sorted(
            (self._find_region(host_zone) != region, _rank(subject, host), host)
            for host, host_zone in self._list_fleet(max_silence_s).items()
        )
        n_listed = int(min(n_most, len(ranked)))
        return [host for _, _, host in ranked[:n_listed]]

    def _list_fleet(self, max_silence_s: float) -> dict[str, str]:
        """Return the data centre of each live router of the fleet, this one too."""
        live = self._list_live_anywhere(max_silence_s)
        zone_by_host = {known.host: known.zone for known in live}
        for zone, hosts in self.list_other_zones().items():
            zone_by_host.update(dict.fromkeys(hosts, zone))
        zone_by_host[self.host] = self._zone
        return zone_by_host

    def rank_fleet(self, subject: str) -> list[tuple[str, int]]:
        """Return the addresses of the other live routers of the fleet.

        The rendezvous hash for a subject gives the order, the same at each router.
        """
        live = self._list_live_anywhere(LIVENESS_TIMEOUT_S)
        addresses = {known.host: known.address for known in live}
        for hosts in self.list_other_zones().values():
            addresses.update(hosts)
        ranked = sorted(
            addresses, key=lambda host: _compute_rank(subject, host), reverse=True
        )
        return [addresses[host] for host in ranked if host != self.host]

    def list_hosts(self, zone: str) -> dict[str, tuple[str, int]]:
        """Return the live routers of a data centre as far as they are known here."""
        if zone != self._zone:
            return self.list_other_zones().get(zone, {})
        return {**self.list_zone_hosts(), self.host: self._address}

    def count_regions(self) -> int:
        """Return the number of regions with known routers."""
        zones = {known.zone for known in self._neighbours.values()} | {self._zone}
        return len({self._find_region(zone) for zone in zones})

    def suspect(self, host: str) -> None:
        """Record that an allocator did not answer; the next in rank replaces it."""
        self._suspected_until[host] = self._now() + SUSPICION_S

    def _find_region(self, zone: str) -> str:
        """Return the region of a data centre."""
        return self._region_by_zone.get(zone, "")

    def _list_region(self) -> dict[str, tuple[str, int]]:
        """Return the other live routers of this region that are not suspected."""
        hosts = self.list_zone_hosts()
        for zone, zone_hosts in self.list_other_zones().items():
            if self._find_region(zone) == self._find_region(self._zone):
                hosts.update(zone_hosts)
        now = self._now()
        for host, until in list(self._suspected_until.items()):
            if until <= now:
                del self._suspected_until[host]
            else:
                hosts.pop(host, None)
        return hosts

    def list_zone_hosts(self) -> dict[str, tuple[str, int]]:
        """Return the other live routers of this data centre."""
        return {neighbour.host: neighbour.address for neighbour in self._list_live()}

    def list_zone_links(self) -> dict[str, float]:
        """Return the links, in Mbit/s, of the other known hosts of this data centre.

        These are known by rows of the store or by hellos, and may have stopped.
        """
        return {
            known.host: known.link_mbps
            for known in self._neighbours.values()
            if known.zone == self._zone
        }

    def list_hello_addresses(self) -> list[tuple[str, int]]:
        """Return the addresses that this router sends its hellos to."""
        if not self.is_large:
            return [known.address for known in self._neighbours.values()]
        return [n.address for n in self._neighbours.values() if n.zone == self._zone]

    def list_other_leaders(self) -> list[tuple[str, int]]:
        """Return the addresses of the likely leaders of the other data centres.

        These are two for each data centre, the highest ranked ones that are live.
        """
        by_zone: dict[str, list[Neighbour]] = {}
        for known in self._neighbours.values():
            if known.zone != self._zone:
                by_zone.setdefault(known.zone, []).append(known)
        targets = []
        now = self._now()
        for neighbours in by_zone.values():
            neighbours.sort(
                key=lambda n: (
                    now - n.heard_at < LIVENESS_TIMEOUT_S,
                    self._rank_leader(n.host, n.link_mbps),
                ),
                reverse=True,
            )
            targets += [n.address for n in neighbours[:2]]
        return targets

    def _list_live(self) -> list[Neighbour]:
        """Return the routers of this data centre that are live and not leaving."""
        live = self._list_live_anywhere(LIVENESS_TIMEOUT_S)
        return [known for known in live if known.zone == self._zone]

    def _list_live_anywhere(self, max_silence_s: float) -> list[Neighbour]:
        """Return the known routers of all data centres that are live and stay."""
        now = self._now()
        return [
            known
            for known in self._neighbours.values()
            if now - known.heard_at < max_silence_s and not known.is_leaving
        ]

    @classmethod
    def _rank(cls, neighbour: Neighbour) -> tuple[float, bytes]:
        """Return a router's rank for the leader and for following the store."""
        return cls._rank_leader(neighbour.host, neighbour.link_mbps)

    @staticmethod
    def _rank_leader(host: str, link_mbps: float) -> tuple[float, bytes]:
        """Return a rank by bandwidth first; ties are broken by rendezvous hash."""
        return link_mbps, _rank("leader", host)


@functools.lru_cache(maxsize=RANK_CACHE_SIZE)
def _rank(subject: str, host: str) -> bytes:
    """Return the rendezvous hash of a host for a subject that occurs often."""
    return _compute_rank(subject, host)


def _compute_rank(subject: str, host: str) -> bytes:
    """Return the rendezvous hash that ranks a host for a subject."""
    text = f"{subject}\0{host}".encode()
    return hashlib.blake2b(text, digest_size=8).digest()
