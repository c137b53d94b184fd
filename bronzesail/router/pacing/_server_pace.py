"""Paces the requests to servers that have started or recovered, without I/O.

Such a server has a window: the most requests that it may have from all routers. Each
router estimates the window on its own and takes its share of it by a rank that all of
them compute alike. The window grows with each answer that shows that the server keeps
up, shrinks when one shows that it does not, and grows with time at a router that gets
no answers. Once it covers what the server can hold, it ends.
"""

from __future__ import annotations

import collections
import math
import statistics
from typing import TYPE_CHECKING

import attrs

from ..admission_queue import ENGINE_REQUESTS_PER_SLOT, PLAIN_REQUESTS_PER_SLOT
from ..placement import COLD_START_COST_S, PREFILL_RATE_TOKENS_PER_S

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Sequence

    from ...model import BackendServer, Service
    from ..directory import Directory
    from ..placement import Placement

__all__ = ["PaceEnd", "ServerPace"]

# Share of the slots that the window begins with, and its least size.
INITIAL_SHARE = 1 / 8
MIN_INITIAL_WINDOW = 2.0
# The window doubles no faster than this, as the answers to the added requests show the
# effect only after a while.
MIN_DOUBLING_S = 0.1
# Doubling time at a router without answers. A window of 8 covers 64 slots after 1.6 s.
IDLE_DOUBLING_S = 0.5
# The same once an answer has shown that the server does not keep up. Many routers that
# return at the same time would overload it again.
LATER_DOUBLING_S = 4.0
# For which an answer keeps the window from growing with time. A router whose requests
# find no room between those of others gets answers rarely.
EVIDENCE_S = 0.1
STARTING_GAIN = 1.0  # Growth with a window of good answers, until the first bad one.
LATER_GAIN = 0.1
DECREASE = 0.5
# The window does not grow after a decrease, twice as long after each consecutive one.
HOLD_S = 0.5
MAX_HOLD_S = 8.0
# Slowdown, as a multiple of the reference, up to which a server keeps up, and from
# which it does not. Latencies of sound peers vary by about a factor of two.
GOOD_SLOWDOWN = 1.5
BAD_SLOWDOWN = 2.0
# A server may be slower than its peers even if it has little to do, up to this factor.
MAX_OWN_SLOWNESS = 4.0
# By then placement, which compares all servers by their load, needs no window.
MAX_PACED_S = 30.0
PEER_SAMPLE_S = 3.0  # Age of the peers' answers that are compared.
MAX_SAMPLES = 256  # Of a service.
MIN_SAMPLES = 3
# Latency without a prompt; a difference below it is no sign of load.
BASE_LATENCY_S = 0.01
REPORT_FRESH_S = 1.5  # Age up to which a load report counts.
SHARE_CACHE_S = 0.25  # How long a computed rank is used.
# Plain services fail up to 14 of 100 requests. Two failures in a row exceed the share
# without any at peers.
MIN_FAILURE_SHARE = 0.25
FAILURE_WEIGHT = 0.15  # Of one outcome in the moving average of a window.
USUAL_FAILURE_WEIGHT = 0.02  # The same for the servers of a service.
MIN_SLOWNESS = 0.1  # A server that reports less is not taken at its word.
COST_WEIGHT = 0.3  # Of one answer in the moving average of the added latency.


@attrs.frozen(kw_only=True)
class PaceEnd:
    """A window that covers what its server can hold, and how it came to that."""

    server_id: str
    reason: str
    took_s: float
    n_answers: int
    n_decreases: int


@attrs.frozen
class _Sample:
    """The slowdown of one answer of a service."""

    noted_at: float
    server_id: str
    slowdown: float
    is_recovering: bool


@attrs.define(kw_only=True)
class _Window:
    """The window of one life of a server.

    Attributes
    ----------
    born_ms : int
        Start of the life, in milliseconds.
    reason : str
        Why the server has a window.
    begins_at : float
        When the server accepts requests again.
    size : float
        Requests of all routers that the server may have.
    initial_size : float
        What it began with.
    grown_at : float
        Up to when growth was counted.
    doublings : float
        How often good answers may double it now.
    answered_at : float
        When the last answer arrived.
    reduced_at : float
        When the window was last reduced.
    hold_s : float
        How long it does not grow after the next decrease.
    held_until : float
        End of the time without growth.
    least_slowdown : float
        Least slowdown of the server since it has recovered.
    added_s : float or None
        Moving average of the latency beyond the reference, None before an answer.
    failure_share : float
        Moving average of failures, from 0 to 1.
    n_answers, n_decreases : int
        Answers and decreases so far.
    rank, n_routers : int
        This router's rank for the server, and how many routers there are.
    ranked_at : float
        When the rank was computed.
    """

    born_ms: int
    reason: str
    begins_at: float
    size: float
    initial_size: float
    grown_at: float
    doublings: float = 0.0
    answered_at: float = -math.inf
    reduced_at: float = -math.inf
    hold_s: float = HOLD_S
    held_until: float = -math.inf
    least_slowdown: float = math.inf
    added_s: float | None = None
    failure_share: float = 0.0
    n_answers: int = 0
    n_decreases: int = 0
    rank: int = 0
    n_routers: int = 1
    ranked_at: float = -math.inf


class ServerPace:
    """The windows of servers that have started or recovered.

    Parameters
    ----------
    now : callable
        Returns the seconds of the directory's monotonic clock.
    host : str
        This router's host.
    list_ranked : callable
        Returns the live routers of the fleet from a server's id, its data centre and
        their largest number, in the same order at each router.
    find_service : callable
        Returns the configuration of a service, None if it is unknown.
    directory : Directory
        The entries of the servers.
    placement : Placement
        The loads of the servers.
    find_cold_left_s : callable
        Returns for how long a server counts as cold, 0 if it is warm.
    is_enabled : bool
        Whether the feature was not switched off.
    reports_speed : callable, optional
        Whether the servers of a service report their speed.
    find_slowness : callable, optional
        Returns how long a server reports that work takes there, by its id; 1.0 is as
        usual.
    get_taken_back_at : callable, optional
        Returns when the evacuation of a server's data centre was reverted, ``-inf`` if
        it never was, from the server's id.

    Attributes
    ----------
    n_decreases : int
        Decreases of windows so far.
    """

    def __init__(
        self,
        now: Callable[[], float],
        host: str,
        list_ranked: Callable[[str, str, float], Sequence[str]],
        find_service: Callable[[str], Service | None],
        directory: Directory,
        placement: Placement,
        find_cold_left_s: Callable[[BackendServer], float],
        is_enabled: bool = True,
        reports_speed: Callable[[str], bool] = lambda _: False,
        find_slowness: Callable[[str], float] = lambda _: 1.0,
        get_taken_back_at: Callable[[str], float] = lambda _: -math.inf,
    ) -> None:
        self._now = now
        self._host = host
        self._list_ranked = list_ranked
        self._find_service = find_service
        self._directory = directory
        self._placement = placement
        self._find_cold_left_s = find_cold_left_s
        self._is_enabled = is_enabled
        self._reports_speed = reports_speed
        self._find_slowness = find_slowness
        self._get_taken_back_at = get_taken_back_at
        self._windows: dict[str, _Window] = {}
        self._samples: dict[str, collections.deque[_Sample]] = {}
        self._failure_shares: dict[str, float] = {}  # Of servers without a window.
        self._lives: dict[str, tuple[int, float]] = {}
        self._has_listing = False
        self._cold_ids: set[str] = set()
        self._taken_back: dict[str, float] = {}
        self._ended: list[PaceEnd] = []
        self.n_decreases = 0

    def is_active(self, service_name: str) -> bool:
        """Whether servers of a service are paced after a start or a recovery."""
        if not self._is_enabled:
            return False
        service = self._find_service(service_name)
        is_configured = service is not None and bool(
            service.cold_rate_per_s or service.cold_start_s
        )
        return is_configured or self._reports_speed(service_name)

    def note_servers(self, servers: Iterable[BackendServer]) -> None:
        """Record the entries of all servers; new lives among them get a window.

        Servers that the router finds at its own start get one only if they are cold.
        """
        listed = {server.id: server for server in servers}
        for key in [key for key in self._lives if key not in listed]:
            del self._lives[key]
            self._windows.pop(key, None)
            self._cold_ids.discard(key)
            self._taken_back.pop(key, None)
        for server in listed.values():
            life = server.born_ms, self._directory.get_started_at(server.id)
            if self._lives.get(server.id) == life:
                continue
            self._lives[server.id] = life
            self._taken_back[server.id] = self._get_taken_back_at(server.id)
            if self._has_listing or self._find_cold_left_s(server) > 0:
                self.note_recovered(server, "started")
        self._has_listing = self._has_listing or bool(listed)

    def note_recovered(
        self, server: BackendServer, reason: str, after_s: float = 0.0
    ) -> bool:
        """Give a server a small window; return whether its service is paced.

        Parameters
        ----------
        server : BackendServer
            The server.
        reason : str
            Why it is to be paced, for the log.
        after_s : float, optional
            Time until it accepts requests again.
        """
        if not self.is_active(server.service):
            return False
        size = max(MIN_INITIAL_WINDOW, server.slots * INITIAL_SHARE)
        begins_at = self._now() + after_s
        self._windows[server.id] = _Window(
            born_ms=server.born_ms,
            reason=reason,
            begins_at=begins_at,
            size=size,
            initial_size=size,
            grown_at=begins_at,
        )
        return True

    def note_answer(
        self, server: BackendServer, latency_s: float, prompt_tokens: float = 0.0
    ) -> None:
        """Record the time to the first event of an answer, or to a whole one.

        `prompt_tokens` is how many tokens the server had to process before.
        """
        if not self.is_active(server.service):
            return
        now = self._now()
        usual_s = BASE_LATENCY_S + prompt_tokens / PREFILL_RATE_TOKENS_PER_S
        usual_s *= max(MIN_SLOWNESS, self._find_slowness(server.id))
        slowdown = latency_s / usual_s
        window = self._find_window(server)
        if window is not None and now - latency_s >= window.begins_at:
            reference = self._find_reference(server, window, slowdown)
            added_s = max(0.0, slowdown - reference) * usual_s
            before_s = added_s if window.added_s is None else window.added_s
            window.added_s = before_s + (added_s - before_s) * COST_WEIGHT
            self._apply_answer(server, window, now - latency_s, slowdown / reference)
        if window is None:
            self._note_usual(server, 0.0)
        else:
            window.failure_share *= 1 - FAILURE_WEIGHT
        samples = self._samples.setdefault(
            server.service, collections.deque(maxlen=MAX_SAMPLES)
        )
        samples.append(_Sample(now, server.id, slowdown, window is not None))

    def note_failure(
        self, server: BackendServer, *, is_rejection: bool = False
    ) -> None:
        """Record that a request has failed, or was rejected for want of room.

        Some failures are usual, so that they count only if they exceed those of peers.
        """
        window = self._find_window(server)
        if window is None:
            self._note_usual(server, 1.0)
            return
        if self._now() < window.begins_at:
            return
        window.failure_share += (1 - window.failure_share) * FAILURE_WEIGHT
        usual = self._failure_shares.get(server.service, 0.0)
        is_many = window.failure_share > MIN_FAILURE_SHARE + 2 * usual
        if not is_rejection and not is_many:
            return
        if self._now() > window.reduced_at + MIN_DOUBLING_S:
            self._reduce(window)

    def _note_usual(self, server: BackendServer, failure: float) -> None:
        """Record an outcome, 1 for a failure, at a server that is not paced."""
        if not self.is_active(server.service):
            return
        usual = self._failure_shares.get(server.service, 0.0)
        usual += (failure - usual) * USUAL_FAILURE_WEIGHT
        self._failure_shares[server.service] = usual

    def find_room(self, server: BackendServer) -> float | None:
        """Return how many requests this router may have at a server; None if any."""
        self._note_changes(server)
        window = self._find_window(server)
        if window is None:
            return None
        self._grow_with_time(window)
        is_over = self._now() - window.begins_at > MAX_PACED_S
        if is_over or window.size >= self._find_full(server):
            self._end(server, window)
            return None
        return max(0.0, min(self._find_share(server, window), self._find_free(server)))

    def is_recovering(self, server: BackendServer) -> bool:
        """Whether a server has a window."""
        return self._find_window(server) is not None

    def find_cost_s(self, server: BackendServer) -> float:
        """Return the latency that a started or recovered server is expected to add.

        A cold server that has not answered yet is assumed to add a fixed time.
        """
        is_cold = self._find_cold_left_s(server) > 0 or server.cold_left_s > 0
        window = self._find_window(server)
        if window is not None and window.added_s is not None:
            return window.added_s
        if window is None and self.is_active(server.service):
            return 0.0
        return COLD_START_COST_S if is_cold else 0.0

    def count_recovering(self) -> int:
        """Return the number of servers with a window."""
        return len(self._windows)

    def take_ended(self) -> list[PaceEnd]:
        """Return the windows that have ended since the last call."""
        ended, self._ended = self._ended, []
        return ended

    def _find_window(self, server: BackendServer) -> _Window | None:
        """Return the window of a life of a server, None if it has none."""
        window = self._windows.get(server.id)
        if window is None or window.born_ms != server.born_ms:
            return None
        return window

    def _note_changes(self, server: BackendServer) -> None:
        """Start a window if a server is warm again, or its data centre taken back."""
        if not self.is_active(server.service):
            self._windows.pop(server.id, None)
            return
        taken_back_at = self._get_taken_back_at(server.id)
        if taken_back_at > self._taken_back.get(server.id, -math.inf):
            self._taken_back[server.id] = taken_back_at
            self.note_recovered(server, "evacuation reverted")
        if self._find_cold_left_s(server) > 0:
            if server.id not in self._cold_ids:
                self._cold_ids.add(server.id)
                if self._find_window(server) is None:
                    self.note_recovered(server, "cold")
        elif server.id in self._cold_ids:
            self._cold_ids.discard(server.id)
            self.note_recovered(server, "warm again")

    def _find_reference(
        self, server: BackendServer, window: _Window, slowdown: float
    ) -> float:
        """Return the slowdown to expect of a server that keeps up.

        That is the one of its peers, or its own with few requests if that is greater;
        a machine that is slow by itself would otherwise get nothing.
        """
        if self._count_present(server, window) <= window.initial_size:
            window.least_slowdown = min(window.least_slowdown, slowdown)
        least = max(min(window.least_slowdown, slowdown), 1e-3)
        since = self._now() - PEER_SAMPLE_S
        peers = [
            sample
            for sample in self._samples.get(server.service, ())
            if sample.noted_at >= since and sample.server_id != server.id
        ]
        sound = [sample for sample in peers if not sample.is_recovering]
        compared = sound if len(sound) >= MIN_SAMPLES else peers
        if len(compared) < MIN_SAMPLES:
            return least
        usual = statistics.median(sample.slowdown for sample in compared)
        if math.isinf(window.least_slowdown):
            return max(usual, 1e-3)
        return max(usual, min(least, MAX_OWN_SLOWNESS * usual), 1e-3)

    def _apply_answer(
        self, server: BackendServer, window: _Window, sent_at: float, ratio: float
    ) -> None:
        """Change a window after an answer, by its slowdown relative to the reference.

        A request that was sent before the last decrease shows nothing of its effect.
        """
        now = self._now()
        self._grow_with_time(window)
        window.answered_at = now
        window.n_answers += 1
        if ratio > BAD_SLOWDOWN or self._is_queueing(server, window):
            if sent_at >= window.reduced_at:
                self._reduce(window)
            return
        if ratio > GOOD_SLOWDOWN:
            window.held_until = max(window.held_until, now + HOLD_S)
            return
        window.hold_s = HOLD_S
        if now < window.held_until:
            return
        gain = LATER_GAIN if window.n_decreases else STARTING_GAIN
        factor = 1 + gain / max(1.0, self._find_share(server, window))
        passed = (now - window.grown_at) / MIN_DOUBLING_S
        window.doublings = min(1.0, window.doublings + passed)
        doublings = min(window.doublings, math.log2(factor))
        window.size *= 2**doublings
        window.doublings -= doublings
        window.grown_at = now

    def _reduce(self, window: _Window) -> None:
        """Make a window smaller, and keep it from growing for a while."""
        now = self._now()
        window.size = max(1.0, window.size * DECREASE)
        window.reduced_at = now
        window.held_until = now + window.hold_s
        window.hold_s = min(MAX_HOLD_S, 2 * window.hold_s)
        window.n_decreases += 1
        self.n_decreases += 1

    def _grow_with_time(self, window: _Window) -> None:
        """Let a window grow for the time without an answer."""
        now = self._now()
        quiet_since = max(
            window.grown_at, window.held_until, window.answered_at + EVIDENCE_S
        )
        if now <= quiet_since:
            return
        doubling_s = LATER_DOUBLING_S if window.n_decreases else IDLE_DOUBLING_S
        window.size *= 2 ** ((now - quiet_since) / doubling_s)
        window.grown_at = now

    def _find_full(self, server: BackendServer) -> float:
        """Return how many requests a server can hold."""
        service = self._find_service(server.service)
        is_engine = service is not None and service.engine is not None
        per_slot = ENGINE_REQUESTS_PER_SLOT if is_engine else PLAIN_REQUESTS_PER_SLOT
        return server.slots * per_slot

    def _end(self, server: BackendServer, window: _Window) -> None:
        """Drop the window of a server that is no longer paced."""
        del self._windows[server.id]
        self._ended.append(
            PaceEnd(
                server_id=server.id,
                reason=window.reason,
                took_s=self._now() - window.begins_at,
                n_answers=window.n_answers,
                n_decreases=window.n_decreases,
            )
        )

    def _find_share(self, server: BackendServer, window: _Window) -> int:
        """Return this router's share of a window, in requests."""
        if self._now() - window.ranked_at >= SHARE_CACHE_S:
            ranked = list(self._list_ranked(server.id, server.zone, math.inf))
            window.n_routers = len(ranked)
            window.rank = ranked.index(self._host)
            window.ranked_at = self._now()
        each, rest = divmod(int(window.size), window.n_routers)
        return each + (window.rank < rest)

    def _find_free(self, server: BackendServer) -> float:
        """Return how much of a window other routers leave, by the last load report."""
        window = self._windows[server.id]
        if not self._has_report(server, window):
            return window.size
        load = self._placement.get_load(server.id)
        return window.size - max(0, load.reported_requests - load.in_flight_at_report)

    def _count_present(self, server: BackendServer, window: _Window) -> float:
        """Return how many requests a server has at most."""
        if not self._has_report(server, window):
            return window.size
        return self._placement.get_load(server.id).reported_requests

    def _is_queueing(self, server: BackendServer, window: _Window) -> bool:
        """Whether requests wait at a server according to a report."""
        return self._has_report(server, window) and self._placement.is_queueing(
            server.id
        )

    def _has_report(self, server: BackendServer, window: _Window) -> bool:
        """Whether a load report is recent and later than the recovery."""
        reported_at = self._placement.get_load(server.id).reported_at
        return reported_at > max(window.begins_at, self._now() - REPORT_FRESH_S)
