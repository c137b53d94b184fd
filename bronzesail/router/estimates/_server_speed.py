"""Tracks how slow each server is, from its reports and from its own responses."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from ...model import BackendServer

__all__ = ["ServerSpeed"]

SMOOTHING_S = 1.0  # Time constant of the moving average of reports.
# Time constant with which an old report loses weight. A server that is avoided for its
# last report gets no request that brings a newer one.
STALENESS_S = 8.0
# A service counts as reporting for this long after a report of one of its servers.
REPORTING_S = 60.0
# One report changes the estimate by at most these factors, whatever it says.
MIN_SLOWNESS = 0.25
MAX_SLOWNESS = 20.0
# Weights of one response in the corrections of the estimates, which are geometric
# moving averages.
SERVER_WEIGHT = 0.2
SERVICE_WEIGHT = 0.05
MAX_CORRECTION = 4.0  # Also its inverse; beyond it, the response was an exception.
CORRECTION_TTL_S = 10.0  # The correction of a server is dropped after this time.
# Added to both times before they are compared, so that delays of the network and the
# event loop do not count as slowness of short requests.
COMPARISON_OFFSET_S = 0.05


@attrs.frozen
class _Pending:
    """A request whose response has not begun."""

    service: str
    sent_at: float
    expected_s: float


@attrs.define
class _State:
    """What is known of one server."""

    slowness: float = 1.0
    reported_at: float = -math.inf
    correction: float = 1.0
    corrected_at: float = -math.inf
    pending: dict[int, _Pending] = attrs.field(factory=dict)


class ServerSpeed:
    """Slowness of servers relative to their usual speed.

    Parameters
    ----------
    now : callable
        Returns the seconds of a monotonic clock.
    is_enabled : bool, optional
        False to ignore all reports, other than that a service has made one.
    """

    def __init__(self, now: Callable[[], float], *, is_enabled: bool = True) -> None:
        self._now = now
        self._is_enabled = is_enabled
        self._states: dict[str, _State] = {}
        self._announced: set[str] = set()  # Services that have reported a slowness.
        self._correction_by_service: dict[str, float] = {}
        self.n_withdrawn = 0  # Requests withdrawn from slow servers.

    def note_report(self, server_id: str, slowness: float | None) -> None:
        """Record the slowness that a server has reported; None if it reports none."""
        if slowness is None or not self._is_enabled:
            return
        now = self._now()
        slowness = min(MAX_SLOWNESS, max(MIN_SLOWNESS, slowness))
        state = self._states.setdefault(server_id, _State())
        weight = 1.0 - math.exp(-(now - state.reported_at) / SMOOTHING_S)
        state.slowness += (slowness - state.slowness) * weight
        state.reported_at = now

    def is_reporting(self, server_id: str) -> bool:
        """Whether a server has reported its slowness lately."""
        state = self._states.get(server_id)
        return state is not None and self._now() - state.reported_at < REPORTING_S

    def note_announced(self, service: str) -> None:
        """Record that a server of a service has reported its slowness, used or not."""
        self._announced.add(service)

    def is_announced(self, service: str) -> bool:
        """Whether a server of a service has ever reported its slowness, used or not."""
        return service in self._announced

    @property
    def has_reports(self) -> bool:
        """Whether any report is used; `is_reported` is false otherwise."""
        return bool(self._states)

    def is_reported(self, servers: Iterable[BackendServer]) -> bool:
        """Whether at least one of the servers has reported its slowness lately."""
        return any(self.is_reporting(server.id) for server in servers)

    def find_slowness(self, server_id: str) -> float:
        """Return how much longer than usual work takes at a server.

        A server without a recent report counts as usual (1.0).
        """
        state = self._states.get(server_id)
        if state is None:
            return 1.0
        weight = math.exp(-(self._now() - state.reported_at) / STALENESS_S)
        return 1.0 + (state.slowness - 1.0) * weight

    def find_factor(self, server: BackendServer) -> float:
        """Return the factor by which the estimated work of a server is multiplied.

        It is the slowness, corrected by how long the server and its service have taken
        compared with the estimates.
        """
        state = self._states.get(server.id)
        factor = self._correction_by_service.get(server.service, 1.0)
        if state is None:
            return factor
        if self._now() - state.corrected_at < CORRECTION_TTL_S:
            factor *= state.correction
        return factor * self.find_slowness(server.id)

    def find_overdue_s(self, server_id: str) -> float:
        """Return how long the oldest pending request has exceeded its estimate."""
        state = self._states.get(server_id)
        if state is None or not state.pending:
            return 0.0
        oldest = next(iter(state.pending.values()))
        return max(0.0, self._now() - oldest.sent_at - oldest.expected_s)

    def note_sent(self, server: BackendServer, send_id: int, expected_s: float) -> None:
        """Record a send, and when its response is expected to begin."""
        state = self._states.setdefault(server.id, _State())
        state.pending[send_id] = _Pending(server.service, self._now(), expected_s)

    def note_begun(self, server_id: str, send_id: int) -> None:
        """Record the first event of a response, which corrects later estimates."""
        state = self._states.get(server_id)
        pending = None if state is None else state.pending.pop(send_id, None)
        if state is None or pending is None:
            return
        now = self._now()
        ratio = (now - pending.sent_at + COMPARISON_OFFSET_S) / (
            pending.expected_s + COMPARISON_OFFSET_S
        )
        if now - state.corrected_at >= CORRECTION_TTL_S:
            state.correction = 1.0
        state.correction = _correct(state.correction, ratio**SERVER_WEIGHT)
        state.corrected_at = now
        self._correction_by_service[pending.service] = _correct(
            self._correction_by_service.get(pending.service, 1.0),
            ratio**SERVICE_WEIGHT,
        )

    def note_ended(self, server_id: str, send_id: int) -> None:
        """Record that a request has ended, with or without a response."""
        state = self._states.get(server_id)
        if state is not None:
            state.pending.pop(send_id, None)

    def retain_only(self, known: Iterable[str]) -> None:
        """Drop the servers without pending requests whose ids are not in `known`."""
        kept_ids = set(known)
        for server_id, state in list(self._states.items()):
            if server_id not in kept_ids and not state.pending:
                del self._states[server_id]

    def count_reporting(self) -> int:
        """Return the number of servers that have reported their slowness lately."""
        return sum(self.is_reporting(server_id) for server_id in self._states)

    def find_highest(self) -> float:
        """Return the highest slowness of any server, 1.0 if none is slow."""
        slowness = (self.find_slowness(server_id) for server_id in self._states)
        return max(slowness, default=1.0)


def _correct(correction: float, factor: float) -> float:
    """Return a correction after one response, within its bounds."""
    return min(MAX_CORRECTION, max(1.0 / MAX_CORRECTION, correction * factor))
