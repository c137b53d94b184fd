"""Selection of the routers that each router probes; pure functions.

Within a region the routers form a hash ring, and each probes the routers at a few fixed
distances. Every router is thus probed by the same number of others, at a cost that does
not grow with the fleet, and gossip spreads in few hops. Between two regions only the
routers with the highest rendezvous weights probe each other.
"""

from __future__ import annotations

import hashlib
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

__all__ = ["N_CONTACTS", "choose_contact", "choose_ring_neighbours", "rank_names"]

# Routers of a region that probe another region.
N_CONTACTS = 3

# Size of the hash that orders names.
WEIGHT_BYTES = 8


def _hash_name(name: str) -> bytes:
    return hashlib.blake2b(name.encode(), digest_size=WEIGHT_BYTES).digest()


def choose_ring_neighbours(
    own: str, hosts: Iterable[str], n_neighbours: int
) -> tuple[str, ...]:
    """Return the hosts that a host probes within its region.

    Parameters
    ----------
    own : str
        Name of the host.
    hosts : iterable of str
        Hosts of the region, with or without the own host.
    n_neighbours : int
        Number of hosts to return, if there are as many.

    Returns
    -------
    tuple of str
        Hosts to probe.

    Examples
    --------
    >>> choose_ring_neighbours("a", ["a", "b"], 3)
    ('b',)
    """
    ring = sorted({own, *hosts}, key=_hash_name)
    position = ring.index(own)
    n_hosts = len(ring)
    distances: list[int] = []
    for power in range(n_neighbours):
        distance = round(n_hosts ** (power / n_neighbours))
        while distance in distances:
            distance += 1
        distances.append(distance)
    neighbours = []
    for distance in distances:
        if distance >= n_hosts:
            continue
        neighbours.append(ring[(position + distance) % n_hosts])
    return tuple(neighbours)


def rank_names(subject: str, names: Iterable[str]) -> list[str]:
    """Return names by rendezvous weight for a subject, the highest first.

    Parameters
    ----------
    subject : str
        Key that the names are ranked for.
    names : iterable of str
        Names to rank.

    Returns
    -------
    list of str
        Ranked names.
    """
    return sorted(
        names, key=lambda name: _hash_name(f"{subject}\0{name}"), reverse=True
    )


def choose_contact(
    own: str,
    own_region: str,
    own_hosts: Iterable[str],
    region: str,
    hosts: Iterable[str],
    n_failures: int,
) -> str | None:
    """Return the host of another region that a host probes, if it is a contact.

    Parameters
    ----------
    own : str
        Name of the host.
    own_region : str
        Its region.
    own_hosts : iterable of str
        Other hosts of its region.
    region : str
        The other region.
    hosts : iterable of str
        Hosts of the other region.
    n_failures : int
        Consecutive failed attempts; each one moves on to the next target.

    Returns
    -------
    str or None
        Host to probe, or None if the own host does not probe that region.
    """
    subject = f"{own_region}\0{region}"
    chosen = rank_names(subject, {own, *own_hosts})[:N_CONTACTS]
    targets = rank_names(f"{region}\0{own_region}", hosts)
    if own not in chosen or not targets:
        return None
    return targets[(chosen.index(own) + n_failures) % len(targets)]
