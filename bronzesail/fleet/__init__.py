"""Fleet membership by gossip (SWIM) and the message network between routers."""

from __future__ import annotations

from ..schema import FleetSettings
from ._interfaces import (
    Membership,
    PeerNetwork,
    PeerRefusedError,
    PeerUnreachableError,
    RouterInfo,
)
from ._ownership import choose_owners
from ._service import FleetService

__all__ = [
    "FleetService",
    "FleetSettings",
    "Membership",
    "PeerNetwork",
    "PeerRefusedError",
    "PeerUnreachableError",
    "RouterInfo",
    "choose_owners",
]
