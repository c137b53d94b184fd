"""Limits the requests that cold servers get, without performing I/O.

A server is cold for a while after its start and may become cold at any moment. While it
is cold, all routers together may send it only so many requests in any second, and it
crashes well above that. The routers cannot ask each other, as a part of them may be out
of reach. Each router therefore computes the sharers of the limit from the routers that
it knows to be live, and these divide half of the limit. If the fleet is split into two
halves, each half has sharers of its own, and both together stay within the limit.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import attrs

from ._permits import PermitBucket

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Sequence

    from ...model import BackendServer, Bounds, Service
    from ..directory import Directory

__all__ = ["ColdServers"]

N_PARTS = 2  # Parts of a split fleet that keep to the limit together.
# Requests of the limit for each sharer. One of them is the permit that it may have
# saved up, so that with fewer requests each the rate would be lost to saved permits.
LIMIT_PER_SHARER = 3.0
MAX_SHARERS = 8
# The limit holds for any second at the server. Requests of a longer time may arrive
# within one second, as some of them wait for a connection.
WINDOW_S = 1.25
# After its start a router knows itself only, until hellos of the others arrive, every
# 0.4 s, and lists of the other data centres.
SETTLE_S = 2.0
# A router that is silent for less keeps its share, since it may still send requests.
MAX_SILENCE_S = 6.0
# Difference between the clocks of a server and a router that is expected.
CLOCK_MARGIN_S = 2.0
MAX_COLD_S = 3600.0  # Longer times that a server reports are malformed.


@attrs.define(kw_only=True)
class _ServerState:
    """What is known of the current life of a server.

    Attributes
    ----------
    born_ms : int
        Start of the life, in milliseconds.
    started_at : float
        When the entry of the life became known.
    fresh_at : float
        When the life started, or its data centre was taken back.
    reported : (float, float)
        Time that the server stays cold according to its last entry, and when that
        entry was written.
    reported_until : float
        Latest end of the cold time that the server has reported.
    bucket : PermitBucket
        This router's permits.
    """

    born_ms: int
    started_at: float
    fresh_at: float
    reported: tuple[float, float] = (0.0, -math.inf)
    reported_until: float = -math.inf
    bucket: PermitBucket = attrs.field(factory=PermitBucket)


class ColdServers:
    """The cold servers, and the requests that this router may send to them.

    Parameters
    ----------
    now : callable
        Returns the seconds of the directory's monotonic clock.
    now_ms : callable
        Returns the time of day in Unix milliseconds.
    host : str
        This router's host.
    list_sharers : callable
        Returns up to a number of live routers of the fleet, the same ones at each
        router, from a server's id, its data centre, the number and the longest silence
        of a live router.
    find_service : callable
        Returns the configuration of a service, None if it is unknown.
    directory : Directory
        The entries of the servers.
    get_bounds : callable
        Returns the operators' bounds, from which the limit follows.
    get_taken_back_at : callable, optional
        Returns when the evacuation of a server's data centre was reverted, ``-inf`` if
        it never was, from the server's id.
    """

    def __init__(
        self,
        now: Callable[[], float],
        now_ms: Callable[[], float],
        host: str,
        list_sharers: Callable[[str, str, float, float], Sequence[str]],
        find_service: Callable[[str], Service | None],
        directory: Directory,
        get_bounds: Callable[[], Bounds],
        get_taken_back_at: Callable[[str], float] = lambda _: -math.inf,
    ) -> None:
        self._now = now
        self._now_ms = now_ms
        self._host = host
        self._list_sharers = list_sharers
        self._find_service = find_service
        self._directory = directory
        self._get_bounds = get_bounds
        self._get_taken_back_at = get_taken_back_at
        self._settled_at = now() + SETTLE_S
        self._has_listing = False
        self._states: dict[str, _ServerState] = {}

    def note_servers(self, servers: Iterable[BackendServer]) -> list[BackendServer]:
        """Record the entries of all servers; return those that are cold from now on."""
        listed = {server.id: server for server in servers}
        for key in [key for key in self._states if key not in listed]:
            del self._states[key]
        turned_cold = []
        for server in listed.values():
            known = self._states.get(server.id)
            was_cold = known is not None and self.find_cold_left_s(server) > 0
            state = self._note_entry(server)
            is_new_life = known is not state
            if self.find_cold_left_s(server) > 0 and (is_new_life or not was_cold):
                turned_cold.append(server)
        self._has_listing = self._has_listing or bool(listed)
        return turned_cold

    def note_answer(self, server: BackendServer, cold_left_s: float | None) -> bool:
        """Record the cold time that an answer reports; return whether it starts now.

        An answer never ends the cold time earlier, as it may have been delayed.
        """
        if not cold_left_s:
            return False
        state = self._get_state(server)
        if state.born_ms != server.born_ms:
            return False
        was_cold = self.find_cold_left_s(server) > 0
        self._note_reported(state, cold_left_s)
        return not was_cold and self.find_cold_left_s(server) > 0

    def find_cold_left_s(self, server: BackendServer) -> float:
        """Return for how long a server counts as cold, 0 if it is warm."""
        service = self._find_service(server.service)
        return 0.0 if service is None else self._find_left_s(server, service)

    def count_cold(self, servers: Iterable[BackendServer]) -> int:
        """Return how many of some servers are cold and have a limit."""
        return sum(self._find_limited_s(server) > 0 for server in servers)

    def find_share(self, server: BackendServer) -> float | None:
        """Return the requests a second that this router may send, None if unlimited."""
        if not self._find_limited_s(server):
            return None
        return self._update_bucket(server).share_per_s

    def find_wait_s(self, server: BackendServer) -> float:
        """Return the time until this router may send the next request to a server.

        This is 0 if it may send one now. It is never longer than the server is cold.
        """
        cold_left_s = self._find_limited_s(server)
        if not cold_left_s:
            return 0.0
        wait_s = self._update_bucket(server).find_wait_s()
        if self._now() < self._settled_at:
            wait_s = self._settled_at - self._now()
        return min(cold_left_s, wait_s)

    def take_permit(self, server: BackendServer) -> None:
        """Record that a request is about to be sent to a server."""
        if self._find_limited_s(server):
            self._update_bucket(server).take()

    def _find_limited_s(self, server: BackendServer) -> float:
        """Return for how long the limit of a server holds, 0 without a limit."""
        service = self._find_service(server.service)
        if service is None or not service.cold_rate_per_s:
            return 0.0
        return self._find_left_s(server, service)

    def _find_left_s(self, server: BackendServer, service: Service) -> float:
        """Return for how long a server of a service counts as cold."""
        state = self._get_state(server)
        fresh_at = max(state.fresh_at, self._get_taken_back_at(server.id))
        until = max(fresh_at + service.cold_start_s, state.reported_until)
        return max(0.0, until - self._now())

    def _update_bucket(self, server: BackendServer) -> PermitBucket:
        """Return the permits for a server, counted up to now."""
        bucket = self._get_state(server).bucket
        bucket.update(self._now(), lambda: self._compute_share(server), burst_s=0.0)
        return bucket

    def _compute_share(self, server: BackendServer) -> float:
        """Return the requests a second that this router may send to a cold server."""
        service = self._find_service(server.service)
        if service is None or self._now() < self._settled_at:
            return 0.0
        bounds = self._get_bounds()
        limit = service.cold_rate_per_s * bounds.cold_overshoot + bounds.cold_tolerance
        own_limit = limit / N_PARTS
        if own_limit < 1:
            return 0.0  # One request of each part would exceed the limit.
        n_most = max(1, min(MAX_SHARERS, int(own_limit / LIMIT_PER_SHARER)))
        sharers = self._list_sharers(server.id, server.zone, n_most, MAX_SILENCE_S)
        if self._host not in sharers:
            return 0.0
        # A sharer sends its saved permit and those of the window within one second.
        return (own_limit / len(sharers) - 1) / WINDOW_S

    def _get_state(self, server: BackendServer) -> _ServerState:
        """Return the state of a server, which is new if it was not listed yet."""
        state = self._states.get(server.id)
        return self._note_entry(server) if state is None else self._renew(state, server)

    def _note_entry(self, server: BackendServer) -> _ServerState:
        """Record the entry of a server and return its state."""
        started_at = self._directory.get_started_at(server.id)
        state = self._states.get(server.id)
        if state is None or (state.born_ms, state.started_at) != (
            server.born_ms,
            started_at,
        ):
            state = self._states[server.id] = _ServerState(
                born_ms=server.born_ms,
                started_at=started_at,
                fresh_at=self._find_fresh_at(server),
            )
        return self._renew(state, server)

    def _renew(self, state: _ServerState, server: BackendServer) -> _ServerState:
        """Record the cold time of an entry that was written again, changed or not."""
        current = self._directory.get(server.id) or server
        renewed_at = self._directory.get_renewed_at(server.id)
        reported = current.cold_left_s, renewed_at
        if reported != state.reported and current.born_ms == state.born_ms:
            state.reported = reported
            self._note_reported(state, current.cold_left_s)
        return state

    def _find_fresh_at(self, server: BackendServer) -> float:
        """Return when a server that became known now has started.

        The entries that a router finds at its own start may be old; those that appear
        later are of servers that start or come back.
        """
        now = self._now()
        if self._has_listing or not server.born_ms:
            return now
        age_s = (self._now_ms() - server.born_ms) / 1000
        return now - max(0.0, age_s - CLOCK_MARGIN_S)

    def _note_reported(self, state: _ServerState, cold_left_s: float) -> None:
        """Record the time that a server says it stays cold; malformed ones are not."""
        if 0 < cold_left_s <= MAX_COLD_S:
            until = self._now() + cold_left_s
            state.reported_until = max(state.reported_until, until)
