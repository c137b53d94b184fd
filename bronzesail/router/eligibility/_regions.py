"""Home regions: the only ones whose servers a request may reach."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from ...model import ClientAccount, Configuration, Route

__all__ = ["HomeRegions", "combine_regions", "find_unknown_regions"]


class _Keeper(Protocol):
    """Holds the configuration in force."""

    current: Configuration | None


class HomeRegions:
    """Home regions of one request, by the configuration in force.

    Parameters
    ----------
    keeper : ConfigurationKeeper
        Holds the configuration.
    find_origin : callable
        Returns the request's route and account in a configuration, None if it has
        none there any more. Such a request is refused; until then its last home
        regions apply.
    """

    def __init__(
        self,
        keeper: _Keeper,
        find_origin: Callable[
            [Configuration], tuple[Route, ClientAccount | None] | None
        ],
    ) -> None:
        self._keeper = keeper
        self._find_origin = find_origin
        self._seen: Configuration | None = None
        self._limit: frozenset[str] | None = None
        self._regions: frozenset[str] | None = None

    def find(self) -> frozenset[str] | None:
        """Return the regions that the request may reach, None for all."""
        configuration = self._keeper.current
        if configuration is None or configuration is self._seen:
            return self._regions
        self._seen = configuration
        origin = self._find_origin(configuration)
        if origin is not None:
            route, account = origin
            self._regions = combine_regions(
                self._limit, route.regions, None if account is None else account.regions
            )
        return self._regions

    def set_limit(self, regions: frozenset[str] | None) -> None:
        """Set what another router, whose configuration may be newer, has stated.

        It is called before the regions are used.
        """
        self._limit = self._regions = regions


def combine_regions(*restrictions: frozenset[str] | None) -> frozenset[str] | None:
    """Return the regions that all restrictions allow, None without a restriction.

    The result is empty if they have no region in common.
    """
    regions = [allowed for allowed in restrictions if allowed is not None]
    return frozenset.intersection(*regions) if regions else None


def find_unknown_regions(
    configuration: Configuration, known: Iterable[str]
) -> list[str]:
    """Return the home regions of a configuration that no data centre is in, sorted."""
    lists = [
        route.regions for found in configuration.routes.values() for route in found
    ]
    lists += [account.regions for account in configuration.accounts.values()]
    named = frozenset().union(*(regions for regions in lists if regions is not None))
    return sorted(named - set(known))
