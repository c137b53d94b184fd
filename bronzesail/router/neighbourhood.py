"""Who tells whom, and who works for whom, in a fleet: a core without input and output.

In a small fleet every router tells all others its news, reads the store and refills
its own budgets. In a large one the routers of a data centre form a neighbourhood: two
of them read the store for the others, and its leader exchanges news with the other
leaders. For each client account one router of each region, the account's banker, holds
tokens for the others, which ask it for what each request needs. All of these are hints
that each router works out for itself: where two routers disagree, the store is read
once more or two of them refill, and nothing worse.
"""

from __future__ import annotations

import functools
import hashlib
from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

__all__ = ["Banker", "Neighbour", "Neighbourhood"]

SMALL_FLEET = 12  # Routers; each tells each other 300 bytes twice a second.
LIVE_S = 1.5  # Three missed hellos.
READERS = 2  # Routers of a data centre that follow the store, so that one may be lost.
BLIND_S = 0.5  # Without any in step; then MAX_READERS try.
NEARER_S = 0.02  # Data centres of a region are 2 ms apart, regions 60 ms.
MAX_READERS = 4  # A link that is full gets fuller with each; four are seldom all cut.
KEEP_S = 30.0  # A router unheard for this long is forgotten.
TOLD_S = 4.0  # Two leaders in a row may go; then what they told of others is too old.
SUSPECT_S = 2.0  # A banker that did not answer is found silent by then.
RANKS_KEPT = 65_536  # Ranks remembered: accounts times routers of a region.


@attrs.frozen
class Banker:
    """A router that holds an account's tokens for its region."""

    host: str
    address: tuple[str, int]


@attrs.define(kw_only=True)
class Neighbour:
    """Another router, as its row or its hellos tell."""

    host: str
    zone: str
    address: tuple[str, int]
    link_mbps: float
    heard_at: float
    is_leaving: bool = False
    is_in_step: bool = False
    has_lost_store: bool = False
    store_latency_s: float | None = None


class Neighbourhood:
    """The fleet as one router sees it.

    Parameters
    ----------
    host, zone : str
        This router's host and data centre.
    link_mbps : float
        Bandwidth of this host's link, in Mbit/s.
    now : callable
        Seconds on a steady clock.
    region_by_zone : dict, optional
        Each data centre's region; all are in one region by default.
    """

    def __init__(
        self,
        host: str,
        zone: str,
        link_mbps: float,
        now: Callable[[], float],
        region_by_zone: dict[str, str] | None = None,
    ) -> None:
        self._host = host
        self._zone = zone
        self._link_mbps = link_mbps
        self._now = now
        self._known: dict[str, Neighbour] = {}
        self._region_by_zone = region_by_zone or {}
        self._told: dict[str, tuple[float, dict[str, tuple[str, int]]]] = {}
        self._suspected_until: dict[str, float] = {}
        self._blind_since: float | None = None
        self._sharers: dict[str, float] = {}  # When each router was last seen.
        self.has_read_rows = False

    @property
    def is_large(self) -> bool:
        """Whether the routers work for each other."""
        return len(self._known) + 1 > SMALL_FLEET

    def count_hosts(self) -> int:
        """Return how many routers share the fleet's limits, this one included.

        Silence does not end a share, since a router that is cut off goes on sending.
        """
        return len(self._sharers.keys() | {self._host})

    def note_rows_read(self, hosts: Iterable[str]) -> None:
        """Take the hosts whose rows stand in the store.

        Routers that neither have a row nor have been heard for a while are gone.
        """
        now = self._now()
        self.has_read_rows = True
        self._sharers.update(dict.fromkeys(hosts, now))
        for host, seen_at in list(self._sharers.items()):
            if now - seen_at > KEEP_S:
                del self._sharers[host]

    def note_row(
        self, host: str, zone: str, address: tuple[str, int], link_mbps: float
    ) -> None:
        """Take a router's row from the store; it counts as heard the first time."""
        if host == self._host:
            return
        known = self._known.get(host)
        if known is not None and known.address == address:
            return
        self._known[host] = Neighbour(
            host=host,
            zone=zone,
            address=address,
            link_mbps=link_mbps,
            heard_at=self._now(),
        )

    def note_hello(
        self,
        neighbour: Neighbour,
        hosts_by_zone: dict[str, dict[str, tuple[str, int]]] | None = None,
    ) -> None:
        """Take a router's news, and what a leader says of the data centres."""
        self._known[neighbour.host] = neighbour
        self._sharers[neighbour.host] = neighbour.heard_at
        for zone, hosts in (hosts_by_zone or {}).items():
            if zone != self._zone:
                self._told[zone] = (self._now(), hosts)

    def forget_old(self) -> None:
        """Forget routers of this data centre that have been silent for long."""
        now = self._now()
        for host, known in list(self._known.items()):
            if known.zone == self._zone and now - known.heard_at > KEEP_S:
                del self._known[host]

    def find_leader(self) -> Neighbour | None:
        """Return the router that speaks for this data centre, None for this one."""
        if not self.is_large:
            return None
        better = self._list_better()
        return max(better, key=self._rank, default=None)

    def find_guide(self) -> Neighbour | None:
        """Return the first router of the data centre that follows the store."""
        if not self.is_large:
            return None
        in_step = [known for known in self._list_live() if known.is_in_step]
        return max(in_step, key=self._rank, default=None)

    def may_follow_store(self, is_in_step: bool) -> bool:
        """Whether this router is to follow the store itself.

        Two do so in a data centre, and four try while none of them hears the store;
        each costs the store and the links one more copy of all news. One that has
        lost the store is passed over, and tries again less and less often.

        Parameters
        ----------
        is_in_step : bool
            Whether this router follows the store now.
        """
        if not self.is_large:
            return True
        better = self._list_better()
        n_trying = sum(not known.has_lost_store for known in better)
        if is_in_step:
            return sum(known.is_in_step for known in better) < READERS
        return n_trying < self._count_readers()

    def is_told_from_near_store(self, latency_s: float) -> bool:
        """Whether a router of a region nearer to the store tells what it hears.

        Its news come packed, and once for a data centre: a configuration need not
        cross the narrow link between regions as the store writes it.

        Parameters
        ----------
        latency_s : float
            Latency of the store from here, in seconds.
        """
        if not self.is_large:
            return False
        now = self._now()
        own_region = self._find_region(self._zone)
        for known in self._known.values():
            if not known.is_in_step or now - known.heard_at >= LIVE_S:
                continue
            if self._find_region(known.zone) == own_region:
                continue
            if known.store_latency_s is None:
                continue
            if known.store_latency_s + NEARER_S < latency_s:
                return True
        return False

    def is_among_first(self) -> bool:
        """Whether this router ranks among those that try where all lost the store."""
        return len(self._list_better()) < MAX_READERS

    def _count_readers(self) -> int:
        if any(known.is_in_step for known in self._list_live()):
            self._blind_since = None
            return READERS
        now = self._now()
        if self._blind_since is None:
            self._blind_since = now
        return READERS if now - self._blind_since < BLIND_S else MAX_READERS

    def _list_better(self) -> list[Neighbour]:
        """Return the live routers of the data centre that rank before this one."""
        own = self._rank_leader(self._host, self._link_mbps)
        return [known for known in self._list_live() if self._rank(known) > own]

    def rank_bankers(self, account: str) -> list[Banker]:
        """Return the routers to ask for tokens before the store, the best first.

        The list ends where this router's own turn would come; it is empty where this
        router is the account's banker.
        """
        if not self.is_large:
            return []
        own = _rank(account, self._host)
        ranked = [
            (rank, host, address)
            for host, address in self._list_region().items()
            if (rank := _rank(account, host)) > own
        ]
        ranked.sort(reverse=True)
        return [Banker(host, address) for _, host, address in ranked]

    def find_other_bankers(self, account: str) -> list[Banker]:
        """Return the account's banker in each other region."""
        best: dict[str, tuple[bytes, Banker]] = {}
        for zone, hosts in self.list_other_zones().items():
            region = self._find_region(zone)
            if region == self._find_region(self._zone):
                continue
            for host, address in hosts.items():
                rank = _rank(account, host)
                if region not in best or rank > best[region][0]:
                    best[region] = rank, Banker(host, address)
        return [banker for _, banker in best.values()]

    def list_other_zones(self) -> dict[str, dict[str, tuple[str, int]]]:
        """Return the live routers of the other data centres, as leaders told."""
        now = self._now()
        return {
            zone: hosts for zone, (at, hosts) in self._told.items() if now - at < TOLD_S
        }

    def count_regions(self) -> int:
        """Return how many regions have routers, as far as known."""
        zones = {known.zone for known in self._known.values()} | {self._zone}
        return len({self._find_region(zone) for zone in zones})

    def suspect(self, host: str) -> None:
        """Take it that a banker did not answer: the next one takes its place."""
        self._suspected_until[host] = self._now() + SUSPECT_S

    def _find_region(self, zone: str) -> str:
        return self._region_by_zone.get(zone, "")

    def _list_region(self) -> dict[str, tuple[str, int]]:
        """Return the live routers of this region but this one."""
        hosts = self.list_zone_hosts()
        for zone, told in self.list_other_zones().items():
            if self._find_region(zone) == self._find_region(self._zone):
                hosts.update(told)
        now = self._now()
        for host, until in list(self._suspected_until.items()):
            if until <= now:
                del self._suspected_until[host]
            else:
                hosts.pop(host, None)
        return hosts

    def list_zone_hosts(self) -> dict[str, tuple[str, int]]:
        """Return the live routers of this data centre but this one."""
        return {neighbour.host: neighbour.address for neighbour in self._list_live()}

    def list_targets(self) -> list[tuple[str, int]]:
        """Return the addresses that this router tells its news."""
        if not self.is_large:
            return [known.address for known in self._known.values()]
        return [n.address for n in self._known.values() if n.zone == self._zone]

    def list_other_leaders(self) -> list[tuple[str, int]]:
        """Return two routers of each other data centre, those that may lead it."""
        by_zone: dict[str, list[Neighbour]] = {}
        for known in self._known.values():
            if known.zone != self._zone:
                by_zone.setdefault(known.zone, []).append(known)
        targets = []
        now = self._now()
        for neighbours in by_zone.values():
            neighbours.sort(
                key=lambda n: (
                    now - n.heard_at < LIVE_S,
                    self._rank_leader(n.host, n.link_mbps),
                ),
                reverse=True,
            )
            targets += [n.address for n in neighbours[:2]]
        return targets

    def _list_live(self) -> list[Neighbour]:
        now = self._now()
        return [
            known
            for known in self._known.values()
            if known.zone == self._zone
            and now - known.heard_at < LIVE_S
            and not known.is_leaving
        ]

    @classmethod
    def _rank(cls, neighbour: Neighbour) -> tuple[float, bytes]:
        return cls._rank_leader(neighbour.host, neighbour.link_mbps)

    @staticmethod
    def _rank_leader(host: str, link_mbps: float) -> tuple[float, bytes]:
        return link_mbps, _rank("leader", host)


@functools.lru_cache(maxsize=RANKS_KEPT)
def _rank(subject: str, host: str) -> bytes:
    """Return the rendezvous rank of a host for a subject."""
    text = f"{subject}\0{host}".encode()
    return hashlib.blake2b(text, digest_size=8).digest()
