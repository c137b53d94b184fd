"""Who tells whom, and who works for whom, in a fleet: a core without input and output.

In a small fleet every router tells all others its news, reads the store and refills
its own budgets. In a large one the routers of a data centre form a neighbourhood: its
leader reads the store for the others and exchanges news with the other leaders; for
each client account one router, the account's banker, refills from the store for the
others. All of these are hints that each router works out for itself: where two routers
disagree, the store is read twice or two of them refill, and nothing worse.
"""

from __future__ import annotations

import hashlib
from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from collections.abc import Callable

__all__ = ["Neighbour", "Neighbourhood"]

SMALL_FLEET = 12  # Routers; each tells each other 300 bytes twice a second.
LIVE_S = 1.5  # Three missed hellos.
KEEP_S = 30.0  # A router unheard for this long is forgotten.


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
    """

    def __init__(
        self, host: str, zone: str, link_mbps: float, now: Callable[[], float]
    ) -> None:
        self._host = host
        self._zone = zone
        self._link_mbps = link_mbps
        self._now = now
        self._known: dict[str, Neighbour] = {}
        self._zone_hosts: dict[str, dict[str, tuple[str, int]]] = {}

    @property
    def is_large(self) -> bool:
        """Whether the routers work for each other."""
        return len(self._known) + 1 > SMALL_FLEET

    def count_hosts(self) -> int:
        """Return how many routers are known, this one included."""
        return len(self._known) + 1

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
        zone_hosts: dict[str, tuple[str, int]] | None = None,
    ) -> None:
        """Take a router's news, and what a leader says of its neighbourhood."""
        self._known[neighbour.host] = neighbour
        if zone_hosts:
            self._zone_hosts[neighbour.zone] = zone_hosts

    def forget_old(self) -> None:
        """Forget routers of this data centre that have been silent for long."""
        now = self._now()
        for host, known in list(self._known.items()):
            if known.zone == self._zone and now - known.heard_at > KEEP_S:
                del self._known[host]

    def find_leader(self) -> Neighbour | None:
        """Return the router that reads the store for this one, None for itself."""
        if not self.is_large:
            return None
        best: Neighbour | None = None
        best_rank = self._rank_leader(self._host, self._link_mbps)
        for neighbour in self._list_live():
            rank = self._rank_leader(neighbour.host, neighbour.link_mbps)
            if rank > best_rank:
                best, best_rank = neighbour, rank
        return best

    def find_guide(self) -> Neighbour | None:
        """Return the leader if it follows the store, so that this router need not."""
        leader = self.find_leader()
        return leader if leader is not None and leader.is_in_step else None

    def rank_bankers(self, account: str) -> list[Neighbour]:
        """Return the routers to ask for tokens before the store, the best first.

        The list ends where this router's own turn would come; it is empty where this
        router is the account's banker.
        """
        if not self.is_large:
            return []
        own = _rank(account, self._host)
        ranked = [(_rank(account, n.host), n) for n in self._list_live()]
        ranked.sort(key=lambda entry: entry[0], reverse=True)
        return [neighbour for rank, neighbour in ranked if rank > own]

    def find_other_bankers(self, account: str) -> list[tuple[str, tuple[str, int]]]:
        """Return host and address of the account's banker in each other data centre."""
        found = []
        for zone, hosts in self._zone_hosts.items():
            if zone == self._zone or not hosts:
                continue
            host = max(hosts, key=lambda name: _rank(account, name))
            found.append((host, hosts[host]))
        return found

    def list_zone_hosts(self) -> dict[str, tuple[str, int]]:
        """Return the live routers of this data centre but this one."""
        return {neighbour.host: neighbour.address for neighbour in self._list_live()}

    def list_targets(self) -> list[tuple[str, int]]:
        """Return the addresses that this router tells its news."""
        if not self.is_large:
            return [known.address for known in self._known.values()]
        targets = [n.address for n in self._known.values() if n.zone == self._zone]
        if self.find_leader() is None:
            targets += self._list_other_leaders()
        return targets

    def _list_other_leaders(self) -> list[tuple[str, int]]:
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

    @staticmethod
    def _rank_leader(host: str, link_mbps: float) -> tuple[float, bytes]:
        return link_mbps, _rank("leader", host)


def _rank(subject: str, host: str) -> bytes:
    """Return the rendezvous rank of a host for a subject."""
    text = f"{subject}\0{host}".encode()
    return hashlib.blake2b(text, digest_size=8).digest()
