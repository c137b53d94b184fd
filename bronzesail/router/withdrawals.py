"""Records which backend servers ask for no requests, without performing I/O.

Two load patterns lead to this. While the servers of a service are replaced, one that is
about to stop says so in its answers, often before its entry in the store changes. While
a service is overloaded, a server rejects a request and asks this router for a pause; if
all requests that waited were sent when the pause ends, the server would be full again
at once, so its share of the load grows gradually after the pause.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

    from ..model import BackendServer

__all__ = ["RAMP_S", "Withdrawals"]

MAX_PAUSE_S = 600.0  # Longer pauses are cut; a restart of the server ends one as well.
RAMP_S = 1.0  # After a pause, until the server gets its full share again.
MIN_RAMP_SHARE = 0.1  # At the end of the pause.
NOTICE_S = 2.0  # For which a leaving server is announced; five hello intervals.
MAX_LIVES = 4096  # Leaving servers remembered; above it the oldest are dropped.


@attrs.frozen
class _Pause:
    """A pause that one life of a server has asked for."""

    born_ms: int
    ends_at: float


@attrs.frozen
class _LeavingLife:
    """A life of a server that ends, and when this router learned of it."""

    born_ms: int
    noted_at: float


class Withdrawals:
    """Servers that leave, and servers that have asked this router for a pause.

    A life of a server lasts from its start to its end; `BackendServer.born_ms` tells
    the lives of one server apart.

    Parameters
    ----------
    now : callable
        Returns the seconds of a monotonic clock.

    Attributes
    ----------
    n_pauses : int
        Pauses that servers have asked for so far.
    """

    def __init__(self, now: Callable[[], float]) -> None:
        self._now = now
        self._leaving: dict[str, _LeavingLife] = {}
        self._pauses: dict[str, _Pause] = {}
        self._ended: dict[str, int] = {}  # Start of a life that is over, by id.
        self.n_pauses = 0

    def note_leaving(self, server_id: str, born_ms: int) -> bool:
        """Record that a life of a server ends; return whether this was unknown."""
        if self._ended.get(server_id) == born_ms:
            return False
        known = self._leaving.get(server_id)
        if known is not None and known.born_ms >= born_ms:
            return False
        self._leaving.pop(server_id, None)
        self._leaving[server_id] = _LeavingLife(born_ms, self._now())
        while len(self._leaving) > MAX_LIVES:
            del self._leaving[next(iter(self._leaving))]
        return True

    def note_ended(self, server_id: str, born_ms: int) -> None:
        """Record that a life is over, although the next one has an earlier start."""
        self._ended.pop(server_id, None)
        self._ended[server_id] = born_ms
        while len(self._ended) > MAX_LIVES:
            del self._ended[next(iter(self._ended))]
        known = self._leaving.get(server_id)
        if known is not None and known.born_ms == born_ms:
            del self._leaving[server_id]

    def is_leaving(self, server: BackendServer) -> bool:
        """Whether this life of a server ends."""
        life = self._leaving.get(server.id)
        return life is not None and life.born_ms >= server.born_ms

    def list_leaving(self) -> dict[str, int]:
        """Return the start of the leaving life of each leaving server."""
        return {key: life.born_ms for key, life in self._leaving.items()}

    def list_new_leaving(self) -> dict[str, int]:
        """Return those learned of within `NOTICE_S`, the latest first."""
        since = self._now() - NOTICE_S
        return {
            key: life.born_ms
            for key, life in reversed(self._leaving.items())
            if life.noted_at >= since
        }

    def merge_leaving(self, born_ms_by_id: Mapping[str, int]) -> bool:
        """Record what another router knows; return whether any of it was unknown."""
        news = [self.note_leaving(key, born) for key, born in born_ms_by_id.items()]
        return any(news)

    def note_pause(self, server: BackendServer, pause_s: float) -> float:
        """Record that a server wants nothing for a time; return when the pause ends."""
        ends_at = self._now() + min(pause_s, MAX_PAUSE_S)
        self._pauses[server.id] = _Pause(server.born_ms, ends_at)
        self.n_pauses += 1
        return ends_at

    def find_pause_end(self, server: BackendServer) -> float | None:
        """Return when the current pause of a server ends, None if it has none."""
        pause = self._pauses.get(server.id)
        if pause is None or pause.born_ms != server.born_ms:
            return None
        return pause.ends_at if pause.ends_at > self._now() else None

    def compute_share(self, server: BackendServer) -> float:
        """Return the share of its usual load that a server gets, from 0 to 1."""
        pause = self._pauses.get(server.id)
        if pause is None or pause.born_ms != server.born_ms:
            return 1.0
        since_end_s = self._now() - pause.ends_at
        if since_end_s < 0:
            return 0.0
        if since_end_s >= RAMP_S:
            del self._pauses[server.id]
            return 1.0
        return max(MIN_RAMP_SHARE, since_end_s / RAMP_S)
