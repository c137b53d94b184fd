"""Limits requests to servers that fall over when they reject many, without I/O.

The servers of a service may announce how many requests each of them can reject in a
second without falling over. All routers then divide the slots of each server among
them, by a rank that each computes on its own, so that together they do not exceed its
slots. A server may be full all the same, for its memory or a shorter queue: a router
that is rejected keeps to what it has there and tells the others to do the same. Each of
them tries one request more after a random time, which grows with their number, so that
all together stay below the announced number.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import attrs
import msgspec

if TYPE_CHECKING:
    import random
    from collections.abc import Callable, Iterable, Sequence

    from ..model import BackendServer

__all__ = ["BrittleReport", "BrittleServers"]

# An answer without the announcement ends it, unless another came shortly before.
END_DELAY_S = 2.0
FORGET_S = 30.0  # An announcement that is not renewed ends.
NOTICE_S = 2.0  # For which an announcement is passed on after an answer.
FIRST_GROWTH_S = 0.25  # Mean time in which a window grows by one before a rejection.
# After a rejection no router tries more for this long, for one rejection per second.
HOLD_S = 1.5
MAX_START_DELAY_S = (
    2.0  # Until the first request to a server with fewer slots than routers.
)
# A router that is silent for less keeps its slots, since it may still send requests.
MAX_SILENCE_S = 6.0
SHARE_CACHE_S = 0.25  # How long computed shares are used.


class BrittleReport(msgspec.Struct, frozen=True, array_like=True):
    """What the servers of a service have announced, as routers report it.

    Attributes
    ----------
    service : str
        Name of the service.
    max_rejected_per_s : float
        Rejections a second that each server withstands.
    age_s : float
        Time since the last announcement.
    """

    service: str
    max_rejected_per_s: float
    age_s: float


@attrs.define
class _Announcement:
    """The last announcement of a service."""

    max_rejected_per_s: float
    heard_at: float


@attrs.define
class _Window:
    """Most requests that this router may have at one life of a server."""

    born_ms: int
    size: int
    grows_at: float
    was_rejected: bool = False


class BrittleServers:
    """The brittle services, and the requests that this router may have at each server.

    Parameters
    ----------
    now : callable
        Returns the seconds of a monotonic clock that includes suspended time.
    host : str
        This router's host.
    list_ranked : callable
        Returns the live routers of the fleet from a server's id, its data centre,
        their largest number and the longest silence of a live one, in the same order at
        each router.
    random : random.Random
        Spreads the requests that routers try.
    """

    def __init__(
        self,
        now: Callable[[], float],
        host: str,
        list_ranked: Callable[[str, str, float, float], Sequence[str]],
        random: random.Random,
    ) -> None:
        self._now = now
        self._host = host
        self._list_ranked = list_ranked
        self._random = random
        self._announcements: dict[str, _Announcement] = {}
        self._windows: dict[str, _Window] = {}
        self._shares: dict[str, tuple[float, dict[str, int], int]] = {}

    def note_answer(self, service: str, max_rejected_per_s: float | None) -> bool:
        """Record what an answer says; return whether the service starts to be brittle.

        `max_rejected_per_s` is None if the answer announces nothing.
        """
        if max_rejected_per_s is not None:
            return self.merge([BrittleReport(service, max_rejected_per_s, 0.0)])
        known = self._announcements.get(service)
        if known is not None and self._now() - known.heard_at > END_DELAY_S:
            del self._announcements[service]
        return False

    def merge(self, reports: Iterable[BrittleReport]) -> bool:
        """Record reports; return whether a service starts to be brittle."""
        has_started = False
        for report in reports:
            heard_at = self._now() - max(0.0, report.age_s)
            known = self._announcements.get(report.service)
            if known is not None and known.heard_at >= heard_at:
                continue
            has_started = has_started or not self.is_brittle(report.service)
            self._announcements[report.service] = _Announcement(
                report.max_rejected_per_s, heard_at
            )
        return has_started

    def list_reports(self) -> list[BrittleReport]:
        """Return the announcements that answers have renewed lately."""
        now = self._now()
        return [
            BrittleReport(service, known.max_rejected_per_s, now - known.heard_at)
            for service, known in self._announcements.items()
            if now - known.heard_at < NOTICE_S
        ]

    def is_brittle(self, service: str) -> bool:
        """Whether the servers of a service are brittle."""
        known = self._announcements.get(service)
        return known is not None and self._now() - known.heard_at < FORGET_S

    def count_brittle(self) -> int:
        """Return the number of brittle services."""
        return sum(self.is_brittle(service) for service in self._announcements)

    def find_room(
        self,
        server: BackendServer,
        servers: Sequence[BackendServer],
        load_by_id: Callable[[str], int],
    ) -> int | None:
        """Return how many requests this router may have at a server; None if any.

        Parameters
        ----------
        server : BackendServer
            The server.
        servers : sequence of BackendServer
            All usable servers of its service.
        load_by_id : callable
            Returns how many requests this router has at a server.
        """
        if not self.is_brittle(server.service):
            return None
        shares, n_routers = self._compute_shares(server.service, servers)
        window = self._get_window(server, load_by_id, n_routers)
        share = shares.get(server.id, 0)
        if self._now() >= window.grows_at:
            window.size += 1
            window.grows_at = self._now() + self._draw_growth_s(
                window, server, n_routers
            )
        window.size = min(window.size, share)
        return window.size

    def peek_room(
        self, server: BackendServer, load_by_id: Callable[[str], int]
    ) -> int | None:
        """Return what `find_room` would, without opening or growing a window."""
        if not self.is_brittle(server.service):
            return None
        window = self._windows.get(server.id)
        if window is None or window.born_ms != server.born_ms:
            return max(1, load_by_id(server.id))
        size = window.size + (self._now() >= window.grows_at)
        _, shares, _ = self._shares.get(server.service, (0.0, {}, 1))
        return min(size, shares.get(server.id, size))

    def count_sharers(self, service: str) -> int:
        """Return how many routers shared the slots of a service lately."""
        cached = self._shares.get(service)
        return 1 if cached is None else cached[2]

    def note_rejected(self, server: BackendServer, n_present: int) -> None:
        """Record that a server has rejected a request, here or at another router.

        `n_present` is how many other requests this router has there.
        """
        if not self.is_brittle(server.service):
            return
        window = _Window(server.born_ms, n_present, 0.0, was_rejected=True)
        known = self._windows.get(server.id)
        if known is not None and known.born_ms == server.born_ms:
            window.size = min(known.size, n_present)
        n_routers = self.count_sharers(server.service)
        window.grows_at = self._now() + self._draw_growth_s(window, server, n_routers)
        self._windows[server.id] = window

    def retain_only(self, known_ids: Iterable[str]) -> None:
        """Forget the windows of servers whose ids are not in `known_ids`."""
        kept = set(known_ids)
        for key in [key for key in self._windows if key not in kept]:
            del self._windows[key]

    def _get_window(
        self,
        server: BackendServer,
        load_by_id: Callable[[str], int],
        n_routers: int,
    ) -> _Window:
        """Return the window of a server; it starts with the present requests."""
        window = self._windows.get(server.id)
        if window is not None and window.born_ms == server.born_ms:
            return window
        n_present = load_by_id(server.id)
        if n_routers <= server.slots:
            n_present = max(1, n_present)
        delay_s = self._random.uniform(0, self._find_spread_s(server, n_routers) / 2)
        window = _Window(
            server.born_ms, n_present, self._now() + min(delay_s, MAX_START_DELAY_S)
        )
        self._windows[server.id] = window
        return window

    def _draw_growth_s(
        self, window: _Window, server: BackendServer, n_routers: int
    ) -> float:
        """Return the random time until a window grows by one request."""
        if not window.was_rejected:
            return FIRST_GROWTH_S * self._random.uniform(0.5, 1.5)
        spread_s = self._find_spread_s(server, n_routers)
        hold_s = HOLD_S * spread_s / n_routers
        return hold_s + self._random.uniform(0, spread_s)

    def _find_spread_s(self, server: BackendServer, n_routers: int) -> float:
        """Return a time in which each router may be rejected once."""
        known = self._announcements[server.service]
        return n_routers / max(1.0, known.max_rejected_per_s)

    def _compute_shares(
        self, service: str, servers: Sequence[BackendServer]
    ) -> tuple[dict[str, int], int]:
        """Return this router's slots by server id, and how many routers there are.

        A router without any slot may have one request at the server where it ranks
        best.
        """
        cached = self._shares.get(service)
        if cached is not None and self._now() - cached[0] < SHARE_CACHE_S:
            return cached[1], cached[2]
        shares: dict[str, int] = {}
        best: tuple[int, str] | None = None
        n_routers = 1
        for server in servers:
            ranked = list(
                self._list_ranked(server.id, server.zone, math.inf, MAX_SILENCE_S)
            )
            n_routers = len(ranked)
            rank = ranked.index(self._host)
            each, rest = divmod(server.slots, n_routers)
            shares[server.id] = each + (rank < rest)
            best = min(best or (rank, server.id), (rank, server.id))
        if best is not None and not any(shares.values()):
            shares[best[1]] = 1
        self._shares[service] = (self._now(), shares, n_routers)
        return shares, n_routers
