"""Rendezvous hashing over the live routers.

The result is only a hint: routers with different membership views choose differently.
"""

from __future__ import annotations

import hashlib
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

    from ._interfaces import RouterInfo

__all__ = ["choose_owners"]

WEIGHT_BYTES = 8  # Size of the hash that orders the routers.


def choose_owners(
    name: str, routers: Iterable[RouterInfo], n_owners: int
) -> tuple[RouterInfo, ...]:
    """Return the routers with the highest weights for a name.

    Parameters
    ----------
    name : str
        Key whose owners are chosen.
    routers : iterable of RouterInfo
        Candidates.
    n_owners : int
        Maximum number of routers to return.

    Returns
    -------
    tuple of RouterInfo
        Owners, the highest weight first.

    Notes
    -----
    Highest random weight hashing, D. Thaler and C. Ravishankar, 1998.
    """
    ranked = sorted(routers, key=lambda router: _weigh(name, router), reverse=True)
    return tuple(ranked[:n_owners])


def _weigh(name: str, router: RouterInfo) -> bytes:
    text = f"{name}\0{router.router_id.host}\0{router.router_id.incarnation}"
    return hashlib.blake2b(text.encode(), digest_size=WEIGHT_BYTES).digest()
