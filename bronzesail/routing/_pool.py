"""Backend servers of one service, and which of them can accept a request."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from ._health import Health
from ._servers import EWMA_WEIGHT, PERCENT, ServerState

if TYPE_CHECKING:
    from collections.abc import Iterable

    from ..schema import HostEntry, RoutingSettings
    from ._interfaces import RouteRequest

__all__ = ["Pool", "ServiceTime"]

# Age in seconds beyond which a load report is left out of the mean over the servers.
REPORT_LIFETIME_S = 10.0


@attrs.define
class ServiceTime:
    """Exponentially weighted moving average of the time from dispatch to end.

    Attributes
    ----------
    mean_s : float
        The average, in seconds; 0 before the first sample.
    """

    mean_s: float = 0.0

    def add(self, duration_s: float) -> None:
        """Add a sample.

        Parameters
        ----------
        duration_s : float
            Time from dispatch to end, in seconds.
        """
        if self.mean_s == 0.0:
            self.mean_s = duration_s
            return
        self.mean_s += EWMA_WEIGHT * (duration_s - self.mean_s)


class Pool:
    """States of the backend servers of one service.

    Parameters
    ----------
    settings : RoutingSettings
        Settings of routing.

    Attributes
    ----------
    service_time : ServiceTime
        Average time from dispatch to end.
    mean_other_requests : float
        Mean, over servers with a recent report, of the requests from other routers.
    reserved_host : str
        Server that accepts no requests but a suspect, so that it becomes idle for one;
        empty if none is reserved.
    n_routers : int
        Routers of the region that share the servers, including this one.
    """

    def __init__(self, settings: RoutingSettings) -> None:
        self._settings = settings
        self._servers: dict[str, ServerState] = {}
        self.service_time = ServiceTime()
        self.mean_other_requests = 0.0
        self.reserved_host = ""
        self.n_routers = 1

    def update(self, entries: Iterable[HostEntry], now: float) -> tuple[str, ...]:
        """Replace the list of backend servers.

        A server whose address changed is treated as a new one. New servers begin with a
        slow start, unless the pool had no live server before.

        Parameters
        ----------
        entries : iterable of HostEntry
            The service's backend servers.
        now : float
            Monotonic time, in seconds.

        Returns
        -------
        tuple of str
            Names of the backend servers that were removed or replaced.
        """
        has_live = any(not s.entry.is_leaving for s in self._servers.values())
        updated: dict[str, ServerState] = {}
        removed = []
        for entry in entries:
            current = self._servers.get(entry.host)
            if current is not None and current.entry.address == entry.address:
                current.entry = entry
                updated[entry.host] = current
                continue
            if current is not None:
                removed.append(entry.host)
            updated[entry.host] = self._make_server(entry, now, is_warm=not has_live)
        removed += [host for host in self._servers if host not in updated]
        self._servers = updated
        if self.reserved_host not in updated:
            self.reserved_host = ""
        return tuple(removed)

    def find(self, host: str) -> ServerState | None:
        """Return the state of a backend server.

        Parameters
        ----------
        host : str
            Name of the backend server.

        Returns
        -------
        ServerState or None
            The state; None if the server is not in the list.
        """
        return self._servers.get(host)

    def list_live(self) -> list[ServerState]:
        """Return the backend servers that are not draining."""
        return [s for s in self._servers.values() if not s.entry.is_leaving]

    def list_allowed(self, request: RouteRequest, now: float) -> list[ServerState]:
        """Return the eligible backend servers of a request, including full ones.

        Draining and excluded servers are never eligible; ejected ones are eligible only
        if no other server is.

        Parameters
        ----------
        request : RouteRequest
            The request.
        now : float
            Monotonic time, in seconds.

        Returns
        -------
        list of ServerState
            States of the backend servers.
        """
        allowed = [s for s in self.list_live() if s.entry.host not in request.excluded]
        healthy = [s for s in allowed if not s.health.is_ejected(now)]
        return healthy or allowed

    def list_open(self, request: RouteRequest, now: float) -> list[ServerState]:
        """Return the backend servers that can accept a request now.

        A suspect is accepted only by servers without requests of this router. Other
        requests are accepted up to the request limit of a server, judged by its
        estimated load. A router may always use its equal share of the limit, so that
        it is not starved by the requests of other routers. Servers that run a suspect
        or are reserved for one accept nothing.

        Parameters
        ----------
        request : RouteRequest
            The request.
        now : float
            Monotonic time, in seconds.

        Returns
        -------
        list of ServerState
            States of the backend servers.
        """
        allowed = self.list_allowed(request, now)
        if request.is_suspect:
            return [s for s in allowed if s.in_flight == 0]
        largest_share = self._find_largest_share(allowed, now)
        open_servers = []
        for server in allowed:
            if server.n_suspects > 0 or server.entry.host == self.reserved_host:
                continue
            limit = server.compute_request_limit(now, largest_share, self._settings)
            is_within_share = (server.in_flight + 1) * self.n_routers <= limit
            if not is_within_share and self.estimate_load(server, now) >= limit:
                continue
            open_servers.append(server)
        return open_servers

    def estimate_load(self, server: ServerState, now: float) -> float:
        """Return the estimated number of requests on a backend server.

        Parameters
        ----------
        server : ServerState
            The backend server.
        now : float
            Monotonic time, in seconds.

        Returns
        -------
        float
            Estimated number of requests, including this router's.
        """
        return server.estimate_load(now, self.mean_other_requests, self._settings)

    def compute_mean_load(self, now: float) -> float:
        """Return the mean estimated load of the live backend servers.

        Parameters
        ----------
        now : float
            Monotonic time, in seconds.

        Returns
        -------
        float
            Mean number of requests; 0 without a live backend server.
        """
        loads = [self.estimate_load(server, now) for server in self.list_live()]
        return sum(loads) / len(loads) if loads else 0.0

    def reserve_for_suspect(self, request: RouteRequest, now: float) -> None:
        """Reserve a backend server for a suspect, unless one is reserved already.

        The server with the fewest suspects, and then the fewest requests of this
        router, is chosen. It gets no new requests until the suspect is dispatched.

        Parameters
        ----------
        request : RouteRequest
            The suspect request.
        now : float
            Monotonic time, in seconds.
        """
        if self.reserved_host:
            return
        allowed = self.list_allowed(request, now)
        if not allowed:
            return
        chosen = min(allowed, key=lambda s: (s.n_suspects, s.in_flight, s.entry.host))
        self.reserved_host = chosen.entry.host

    def refresh_mean_other_requests(self, now: float) -> None:
        """Recompute the mean number of other routers' requests from recent reports.

        Parameters
        ----------
        now : float
            Monotonic time, in seconds.
        """
        recent = [
            s.other_requests
            for s in self._servers.values()
            if now - s.measured_at < REPORT_LIFETIME_S
        ]
        self.mean_other_requests = sum(recent) / len(recent) if recent else 0.0

    def eject(self, server: ServerState, now: float) -> float:
        """Eject a backend server, unless the limit of ejected servers is reached.

        Parameters
        ----------
        server : ServerState
            The backend server.
        now : float
            Monotonic time, in seconds.

        Returns
        -------
        float
            Duration of the ejection, in seconds; 0 if it was not ejected.
        """
        live = self.list_live()
        n_ejected = sum(1 for s in live if s.health.is_ejected(now))
        limit = int(len(live) * self._settings.max_ejected_percent / PERCENT)
        if server.health.is_ejected(now) or n_ejected + 1 > limit:
            return 0.0
        return server.health.eject(now)

    def count_own_in_flight(self) -> int:
        """Return the number of this router's requests in flight on all servers."""
        return sum(s.in_flight for s in self._servers.values())

    def _make_server(self, entry: HostEntry, now: float, is_warm: bool) -> ServerState:
        """Return the state of a new server, with a slow start unless it is warm."""
        health = Health(self._settings)
        if not is_warm:
            health.begin_slow_start(now)
        return ServerState(entry, health, self._settings.default_slots)

    def _find_largest_share(self, servers: list[ServerState], now: float) -> float:
        """Return the largest slow-start share; 1 without servers."""
        return max(
            (s.health.compute_slow_start_share(now) for s in servers), default=1.0
        )
