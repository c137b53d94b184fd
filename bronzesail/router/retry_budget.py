"""Limits the retries of one service to this router's share of the fleet's limit.

The fleet's limit compares the retries in each window with the requests in that window
or in the one before it. This router limits every span of retries by the mean of the
requests in the two windows, which never exceeds the larger number. Limits of this form
are additive over routers, over successive processes of one host and over all windows.
"""

from __future__ import annotations

import math
from bisect import bisect_left
from collections import deque
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

__all__ = ["RetryBudget"]

# Part of the ratio that is used. A request is counted up to a second after its
# caller has sent it, and so in a later window at times.
RATIO_SHARE = 0.9
# Part of the slack that is used. The other routers reduce their shares for a router
# that joins only some seconds later.
SLACK_SHARE = 0.8
N_WINDOWS = 2  # Windows of requests that the mean is taken over.


class RetryBudget:
    """Counts the requests and retries of one service in sliding windows.

    The fleet may send `ratio` retries for each request, and `slack` retries in a window
    in addition. The slack is divided equally among the routers.

    Parameters
    ----------
    now : callable
        Returns the seconds of a monotonic clock that includes suspended time.
    window_s : float
        Length of the window.
    slack_from : float
        When the router's share of the slack becomes available: a window after the
        start. The previous process on the host may have spent it, and the routers of
        a new fleet take some time to discover each other.
    """

    def __init__(
        self,
        now: Callable[[], float],
        window_s: float,
        slack_from: float = -math.inf,
    ) -> None:
        self._now = now
        self._window_s = window_s
        self._slack_from = slack_from
        self._requests: deque[float] = deque()
        self._retries: deque[float] = deque()

    def count(self) -> tuple[int, int]:
        """Return the number of requests in two windows and of retries in one."""
        return len(self._requests), len(self._retries)

    def note_request(self) -> None:
        """Record the first send of a request."""
        now = self._now()
        self._requests.append(now)
        _drop_before(self._requests, now - N_WINDOWS * self._window_s)

    def has_room(self, ratio: float, slack: float, hosts: int | None) -> bool:
        """Whether the limit allows a retry now; see `try_acquire`."""
        now = self._now()
        _drop_before(self._requests, now - N_WINDOWS * self._window_s)
        _drop_before(self._retries, now - self._window_s)
        slack_share = 0.0
        if hosts is not None and now >= self._slack_from:
            slack_share = slack * SLACK_SHARE / max(hosts, 1)
        retries_per_request = ratio * RATIO_SHARE / N_WINDOWS
        # Of the spans with the same retries, the one that begins at the first of them
        # has the fewest requests, so that only these are checked.
        requests = list(self._requests)
        starts = [*self._retries, now]
        for index, start in enumerate(starts):
            n_requests = len(requests) - bisect_left(requests, start - self._window_s)
            if len(starts) - index > retries_per_request * n_requests + slack_share:
                return False
        return True

    def try_acquire(self, ratio: float, slack: float, hosts: int | None) -> bool:
        """Record a retry if the limit allows it; return whether it does.

        Parameters
        ----------
        ratio : float
            Retries that the fleet may send for each request.
        slack : float
            Retries that the fleet may send in a window in addition.
        hosts : int or None
            Routers that share the slack. None of it is spent while this is unknown.
        """
        if not self.has_room(ratio, slack, hosts):
            return False
        self._retries.append(self._now())
        return True


def _drop_before(times: deque[float], start: float) -> None:
    """Remove the times before `start` from an ascending queue."""
    while times and times[0] < start:
        times.popleft()
