"""Outlier ejection and slow start of one backend server."""

from __future__ import annotations

import attrs

from ..schema import RoutingSettings

__all__ = ["Health"]

MS_PER_S = 1000.0

# Share of the request limit at the start of a slow start. It must be above zero:
# request limits are divided by the largest share of the service.
MIN_SLOW_START_SHARE = 0.1

# Bounds the exponent of the back-off; `ejection_limit_ms` limits the duration itself.
MAX_EJECTION_DOUBLINGS = 16


@attrs.define
class Health:
    """Counts failures of a backend server and limits its load accordingly.

    A server is ejected after a number of failures without a successful request in
    between, for a duration that doubles with each further ejection. Afterwards its
    share of the load grows linearly during a slow start.

    Attributes
    ----------
    settings : RoutingSettings
        Settings of ejection and slow start.
    slow_start_at : float
        Monotonic time at which the slow start began, in seconds.
    is_warm : bool
        Whether the slow start is over.
    n_failures : int
        Failed requests and load polls since the last successful request.
    n_ejections : int
        Ejections since the last success outside of a slow start.
    ejected_until : float
        Monotonic time of the end of the ejection, in seconds; 0 if not ejected.
    """

    settings: RoutingSettings
    slow_start_at: float = 0.0
    is_warm: bool = True
    n_failures: int = 0
    n_ejections: int = 0
    ejected_until: float = 0.0

    def begin_slow_start(self, now: float) -> None:
        """Begin a slow start.

        Parameters
        ----------
        now : float
            Monotonic time, in seconds.
        """
        self.is_warm = False
        self.slow_start_at = now

    def note_success(self) -> None:
        """Record a successful request, which resets the count of failures."""
        self.n_failures = 0
        if self.is_warm:
            self.n_ejections = 0

    def note_failure(self) -> bool:
        """Record a failed request or load poll.

        Returns
        -------
        bool
            Whether the count of failures has reached the ejection threshold.
        """
        self.n_failures += 1
        return self.n_failures >= self.settings.ejection_failures

    def eject(self, now: float) -> float:
        """Eject the backend server, for a duration that doubles with each ejection.

        Parameters
        ----------
        now : float
            Monotonic time, in seconds.

        Returns
        -------
        float
            Duration of the ejection, in seconds.
        """
        factor: int = 1 << min(self.n_ejections, MAX_EJECTION_DOUBLINGS)
        duration_ms = min(
            self.settings.ejection_ms * factor, self.settings.ejection_limit_ms
        )
        self.n_ejections += 1
        self.n_failures = 0
        self.ejected_until = now + duration_ms / MS_PER_S
        return duration_ms / MS_PER_S

    def is_ejected(self, now: float) -> bool:
        """Return whether the backend server is ejected.

        The first call after the end of an ejection begins a slow start.

        Parameters
        ----------
        now : float
            Monotonic time, in seconds.

        Returns
        -------
        bool
            Whether it is ejected.
        """
        if self.ejected_until == 0.0:
            return False
        if now < self.ejected_until:
            return True
        self.begin_slow_start(self.ejected_until)
        self.ejected_until = 0.0
        return False

    def compute_slow_start_share(self, now: float) -> float:
        """Return the share of the request limit that applies during slow start.

        Parameters
        ----------
        now : float
            Monotonic time, in seconds.

        Returns
        -------
        float
            Share between 0.1 and 1; 1 after the slow start.
        """
        if self.is_warm:
            return 1.0
        slow_start_s = self.settings.slow_start_ms / MS_PER_S
        elapsed_s = max(0.0, now - self.slow_start_at)
        if elapsed_s >= slow_start_s:
            self.is_warm = True
            return 1.0
        return max(MIN_SLOW_START_SHARE, elapsed_s / slow_start_s)
