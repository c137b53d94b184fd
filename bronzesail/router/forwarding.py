"""Finds another router that serves a request whose servers are out of reach here.

The request goes to the other router's address for callers, as its caller sent it. That
router authenticates, reserves, sends and charges like for any request, and does not
forward it again. It is told how often the request was sent to a server before. Tokens
that are reserved for the request are transferred to it beforehand.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from .client import ConnectError
from .messages import parse_address

if TYPE_CHECKING:
    import random
    from collections.abc import Callable, Collection

    from ..model import HostSettings
    from .client import ClientPool, Connection
    from .log import Log
    from .neighbourhood import Neighbourhood
    from .peers import Peers

__all__ = ["MAX_FORWARDS", "Forwarder", "Target"]

MAX_FORWARDS = 3  # Routers that one request is offered to.
BUSY_LINK_PERCENT = 85  # Routers with a busier link get no forwarded requests.


@attrs.frozen
class Target:
    """A router to forward to, and where it receives callers' requests."""

    host: str
    address: tuple[str, int]
    internal_address: tuple[str, int]  # Where it receives messages of routers.
    zone: str


class Forwarder:
    """Selects routers that reach a service, and connects to them.

    Parameters
    ----------
    settings : HostSettings
        This host's settings; all hosts use the same ports. Replaced when the settings
        file changes.
    peers : Peers
        The routers known by their hellos.
    neighbourhood : Neighbourhood
        The routers that leaders of other data centres report.
    pool : ClientPool
        Connections to them.
    log : Log
        Log for routers that cannot be reached.
    random : random.Random
        Spreads the requests.
    """

    def __init__(
        self,
        settings: HostSettings,
        peers: Peers,
        neighbourhood: Neighbourhood,
        pool: ClientPool,
        log: Log,
        random: random.Random,
    ) -> None:
        self.settings = settings
        self._peers = peers
        self._neighbourhood = neighbourhood
        self._pool = pool
        self._log = log
        self._random = random

    def has_target(self, service: str, regions: frozenset[str] | None = None) -> bool:
        """Whether any other router, in one of the given regions, may reach a service.

        `regions` is None if all regions count.
        """
        return any(self._list_targets(service, regions))

    async def connect(
        self,
        service: str,
        excluded: Collection[str],
        find_regions: Callable[[], frozenset[str] | None] = lambda: None,
    ) -> tuple[Target, Connection] | None:
        """Return a router that may reach a service, with a connection to it.

        Parameters
        ----------
        service : str
            Service of the request.
        excluded : collection of str
            Hosts that the request was offered to before.
        find_regions : callable, optional
            Returns the regions that the router must be in, None for all.
        """
        tried = set(excluded)
        for _ in range(MAX_FORWARDS - len(excluded)):
            target = self._choose(service, tried, find_regions())
            if target is None:
                return None
            tried.add(target.host)
            connection = self._pool.acquire_idle(target.address)
            if connection is not None:
                return target, connection
            try:
                return target, await self._pool.open(target.address)
            except ConnectError as error:
                self._log.write(
                    "peers: unreachable", peer=target.host, error=str(error)
                )
        return None

    async def transfer_reservation(
        self, target: Target, account: str, tokens: int, request_id: str
    ) -> None:
        """Transfer the tokens reserved for a request to the router that gets it next.

        Unconfirmed ones may be lost, and that router then reserves its own.
        """
        is_confirmed = await self._peers.transfer_tokens(
            target.internal_address, account, tokens, request_id=request_id
        )
        self._log.write(
            "budget: reservation transferred",
            request=request_id,
            account=account,
            peer=target.host,
            tokens=tokens,
            is_confirmed=is_confirmed,
        )

    def _choose(
        self,
        service: str,
        excluded: Collection[str],
        regions: frozenset[str] | None,
    ) -> Target | None:
        """Return a random router of this region, or else of another one."""
        near, far = self._list_targets(service, regions)
        for targets in (near, far):
            candidates = [target for target in targets if target.host not in excluded]
            if candidates:
                return self._random.choice(candidates)
        return None

    def is_in_regions(self, target: Target, regions: frozenset[str] | None) -> bool:
        """Whether a router is in one of the given regions; None stands for all."""
        if regions is None:
            return True
        return self.settings.region_by_zone.get(target.zone) in regions

    def _list_targets(
        self, service: str, regions: frozenset[str] | None
    ) -> tuple[list[Target], list[Target]]:
        """Return the routers of this region and those of other regions.

        Nothing is known of the links of a router that only a leader reports. `regions`
        are the only ones whose routers count, None for all.
        """
        near: list[Target] = []
        far: list[Target] = []
        known_hosts = set()
        for peer in self._peers.list_live():
            hello = peer.hello
            known_hosts.add(hello.host)
            if service in hello.cut_off or not hello.callers:
                continue
            if hello.is_aside or hello.link_use >= BUSY_LINK_PERCENT:
                continue
            callers = parse_address(hello.callers)
            target = Target(hello.host, callers, peer.address, hello.zone)
            (near if self._is_near(hello.zone) else far).append(target)
        caller_port = self.settings.caller_address[1]
        for zone, hosts in self._neighbourhood.list_other_zones().items():
            for host, (ip, port) in hosts.items():
                if host in known_hosts:
                    continue
                target = Target(host, (ip, caller_port), (ip, port), zone)
                (near if self._is_near(zone) else far).append(target)
        return (
            [target for target in near if self.is_in_regions(target, regions)],
            [target for target in far if self.is_in_regions(target, regions)],
        )

    def _is_near(self, zone: str) -> bool:
        """Whether a data centre is in this host's region."""
        return self.settings.region_by_zone.get(zone) == self.settings.region
