"""Decides how long a repeatable request waits at a server before it goes elsewhere."""

from __future__ import annotations

from collections.abc import Callable

import attrs

__all__ = ["RECHECK_S", "HeadWait"]

# Multiple of the expected time after which the server counts as slower than expected.
# Chosen so that the usual spread of responses leads to no withdrawal; not measured.
EXPECTED_FACTOR = 2.0
MIN_WAIT_S = 0.2  # Covers a round trip between regions and the event loop's delay.
# Until another server is better, or the retry budget has room again. Each check
# estimates the time at all servers of the service.
RECHECK_S = 0.2
# Time elsewhere that is left before the deadline, as a multiple of the expected time.
ELSEWHERE_FACTOR = 1.5
# The time expected elsewhere must be below this share of the time expected here.
GAIN_SHARE = 0.7


@attrs.frozen(kw_only=True)
class HeadWait:
    """The wait of one send for the head of its response.

    Attributes
    ----------
    sent_at : float
        When the request was sent.
    usual_s : float
        How long a request waits at a server that does not report its speed.
    expected_s : float
        Expected time to the first event.
    deadline_at : float
        The request's deadline.
    estimate_here_s : callable
        Returns the time that a new request would take at the server.
    estimate_elsewhere_s : callable
        Returns the least time expected at another server, infinity without any.
    """

    sent_at: float
    usual_s: float
    expected_s: float
    deadline_at: float
    estimate_here_s: Callable[[], float]
    estimate_elsewhere_s: Callable[[], float]

    @property
    def fails_at(self) -> float:
        """When the server counts as failed, because no head has arrived."""
        return self.sent_at + max(self.usual_s, EXPECTED_FACTOR * self.expected_s)

    def find_first_check(self) -> float:
        """Return when to decide whether the request is withdrawn."""
        due_at = self.sent_at + max(MIN_WAIT_S, EXPECTED_FACTOR * self.expected_s)
        if due_at - self.sent_at < (self.deadline_at - self.sent_at) / 2:
            return due_at
        # Time must be left to run elsewhere.
        latest_at = self.deadline_at - ELSEWHERE_FACTOR * self.estimate_elsewhere_s()
        return max(self.sent_at + MIN_WAIT_S, min(due_at, latest_at))

    def is_worth_withdrawing(self, now: float) -> bool:
        """Whether another server is expected to respond sooner, and in time."""
        elsewhere_s = self.estimate_elsewhere_s()
        if now + elsewhere_s >= self.deadline_at:
            return False
        return elsewhere_s < GAIN_SHARE * self.estimate_here_s()
