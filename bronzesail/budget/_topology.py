"""Selection of the routers that journal, register for and reclaim a budget.

Routers are ranked for a name by highest random weight (see `choose_owners`), so that
every router computes the same order without coordination.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..fleet import choose_owners

if TYPE_CHECKING:
    from ..fleet import Membership, RouterInfo
    from ..schema import RouterId

__all__ = [
    "choose_journal_peers",
    "find_rank",
    "is_preferred",
    "list_live_ids",
    "list_region",
]


def _list_live(membership: Membership) -> list[RouterInfo]:
    """Return the other live routers that are not leaving the fleet."""
    return [router for router in membership.list_routers() if not router.is_leaving]


def list_live_ids(membership: Membership) -> frozenset[RouterId]:
    """Return the identities of the routers that may be journal peers."""
    return frozenset(router.router_id for router in _list_live(membership))


def list_region(membership: Membership) -> list[RouterInfo]:
    """Return the live routers of this router's region, starting with itself."""
    own = membership.own
    others = [
        router for router in _list_live(membership) if router.region == own.region
    ]
    return [own, *others]


def choose_journal_peers(
    membership: Membership, name: str, n_peers: int
) -> tuple[RouterId, ...]:
    """Choose journal peers, preferring other data centres of the same region.

    Parameters
    ----------
    membership : Membership
        Members of the fleet.
    name : str
        Name that the routers are ranked for; different names spread the load.
    n_peers : int
        Maximum number of peers.

    Returns
    -------
    tuple of RouterId
        The peers. Routers of other regions are chosen only if this region has no
        other router.
    """
    own = membership.own
    routers = _list_live(membership)
    same_region = [router for router in routers if router.region == own.region]
    other_centre = [
        router for router in same_region if router.data_centre != own.data_centre
    ]
    same_centre = [
        router for router in same_region if router.data_centre == own.data_centre
    ]
    other_regions = [] if same_region else routers
    ranked = [
        *choose_owners(name, other_centre, n_peers),
        *choose_owners(name, same_centre, n_peers),
        *choose_owners(name, other_regions, n_peers),
    ]
    return tuple(router.router_id for router in ranked[:n_peers])


def find_rank(membership: Membership, name: str, is_regional: bool) -> int:
    """Return this router's rank for a name, from 0, in its region or in the fleet."""
    routers = list_region(membership)
    if not is_regional:
        routers = [membership.own, *_list_live(membership)]
    ranked = choose_owners(name, routers, len(routers))
    return ranked.index(membership.own)


def is_preferred(membership: Membership, name: str, other: RouterId) -> bool:
    """Return whether another router ranks before this one for a name."""
    for router in membership.list_routers():
        if router.router_id != other:
            continue
        return choose_owners(name, (router, membership.own), 1)[0] == router
    return False
