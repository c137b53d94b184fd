"""State of one backend server, from load reports and this router's requests."""

from __future__ import annotations

import math
from collections import deque
from typing import TYPE_CHECKING

import attrs

from ..schema import HostEntry
from ._health import Health

if TYPE_CHECKING:
    from ..schema import LoadReport, RoutingSettings

__all__ = ["InFlightHistory", "ServerState"]

MS_PER_S = 1000.0
PERCENT = 100.0

# Shortest time between two samples of the history, in seconds, and number of samples.
# At the highest rate they cover the last 2.56 s.
HISTORY_STEP_S = 0.02
HISTORY_LENGTH = 128

# Weight of a new sample in the moving average of the service time.
EWMA_WEIGHT = 0.1


@attrs.frozen
class _Sample:
    """Number of this router's requests in flight at one moment."""

    taken_at: float
    in_flight: int


class InFlightHistory:
    """Number of this router's requests in flight over the last seconds.

    A load report describes an earlier moment. The requests of other routers are the
    reported ones less this router's requests at that moment; with the present number
    instead, requests sent or ended since then would be missed or counted twice.
    """

    def __init__(self) -> None:
        self._samples: deque[_Sample] = deque(maxlen=HISTORY_LENGTH)

    def add(self, now: float, in_flight: int) -> None:
        """Record the present number.

        Parameters
        ----------
        now : float
            Monotonic time, in seconds.
        in_flight : int
            Number of this router's requests in flight.
        """
        if self._samples and now - self._samples[-1].taken_at < HISTORY_STEP_S:
            self._samples[-1] = _Sample(self._samples[-1].taken_at, in_flight)
            return
        self._samples.append(_Sample(now, in_flight))

    def find(self, taken_at: float) -> int:
        """Return the number at an earlier moment.

        Parameters
        ----------
        taken_at : float
            Monotonic time, in seconds.

        Returns
        -------
        int
            Number of this router's requests in flight at that moment; the oldest
            sample if the history does not reach back so far, 0 without samples.
        """
        earliest = 0
        for sample in reversed(self._samples):
            earliest = sample.in_flight
            if sample.taken_at <= taken_at:
                return sample.in_flight
        return earliest


@attrs.define
class ServerState:
    """State of one backend server as known to this router.

    Attributes
    ----------
    entry : HostEntry
        Its entry in the host list.
    health : Health
        Its ejection and slow-start state.
    slots : int
        Number of requests that it can run concurrently.
    in_flight : int
        This router's requests in flight.
    pending_tokens : int
        Uncached prompt tokens of this router's requests that are still in prefill.
    n_suspects : int
        This router's suspect requests in flight.
    other_requests : float
        Requests of other routers at the moment of the last report.
    measured_at : float
        Monotonic time at which the last report was measured, in seconds; -inf before
        the first.
    history : InFlightHistory
        This router's requests in flight over the last seconds.
    """

    entry: HostEntry
    health: Health
    slots: int
    in_flight: int = 0
    pending_tokens: int = 0
    n_suspects: int = 0
    other_requests: float = 0.0
    measured_at: float = -math.inf
    history: InFlightHistory = attrs.field(factory=InFlightHistory)

    def note_report(self, report: LoadReport, now: float) -> None:
        """Update the state from a load report; one older than the last is ignored.

        Parameters
        ----------
        report : LoadReport
            The report.
        now : float
            Monotonic time of its arrival, in seconds.
        """
        measured_at = now - max(0.0, report.age_ms) / MS_PER_S
        if measured_at < self.measured_at:
            return
        self.measured_at = measured_at
        own_in_flight = self.history.find(measured_at)
        self.other_requests = max(
            0.0, float(report.running + report.queued - own_in_flight)
        )
        if report.slots > 0:
            self.slots = report.slots

    def change_in_flight(self, delta: int, now: float) -> None:
        """Count a dispatch of this router, or the end of one.

        Parameters
        ----------
        delta : int
            1 for a dispatch, -1 for its end.
        now : float
            Monotonic time, in seconds.
        """
        self.in_flight += delta
        self.history.add(now, self.in_flight)

    def estimate_load(
        self, now: float, mean_other_requests: float, settings: RoutingSettings
    ) -> float:
        """Return the estimated number of requests on the backend server.

        The reported number of other routers' requests decays exponentially with the age
        of the report towards the mean of all reports.

        Parameters
        ----------
        now : float
            Monotonic time, in seconds.
        mean_other_requests : float
            Mean number of other routers' requests over the service's backend servers.
        settings : RoutingSettings
            Settings, of which the decay time is used.

        Returns
        -------
        float
            Number of requests, including this router's.
        """
        age_s = now - self.measured_at
        weight = math.exp(-age_s * MS_PER_S / settings.report_decay_ms)
        other_requests = (
            weight * self.other_requests + (1.0 - weight) * mean_other_requests
        )
        return self.in_flight + other_requests

    def compute_request_limit(
        self, now: float, largest_share: float, settings: RoutingSettings
    ) -> int:
        """Return the greatest number of requests that the backend server may have.

        Parameters
        ----------
        now : float
            Monotonic time, in seconds.
        largest_share : float
            Largest slow-start share among the eligible servers. Shares are relative to
            it, so that a pool of only restarted servers is not throttled.
        settings : RoutingSettings
            Settings, of which the overcommitment is used.

        Returns
        -------
        int
            The limit, at least 1.
        """
        share = self.health.compute_slow_start_share(now) / largest_share
        limit = self.slots * settings.overcommit_percent / PERCENT * share
        return max(1, int(limit))
