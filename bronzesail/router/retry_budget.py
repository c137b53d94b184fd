"""Limits repeated sends of one service, as this router's share of the fleet's limit.

The fleet's limit counts the repeats in each window, and the requests in that window or
in the one before it. Every span of repeats is held here to the mean of the requests of
the two, which is never more than the larger one. Limits of this form add up: over
routers, over processes of one host that follow each other, and over all windows.
"""

from __future__ import annotations

import math
from bisect import bisect_left
from collections import deque
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

__all__ = ["RetryBudget"]

RATIO_SHARE = 0.9  # Requests are read up to a second after they were sent.
SLACK_SHARE = 0.8  # The others count a router that joins some seconds later.
N_WINDOWS = 2  # Spans of requests that the mean is taken of.


class RetryBudget:
    """Repeats of one service within a sliding window.

    Parameters
    ----------
    now : callable
        Seconds on a steady clock that counts suspended time too.
    window_s : float
        Length of the window.
    slack_from : float
        When the router's share of the slack may first be spent: a window after the
        start. The process before this one may have spent it, and a new fleet's
        routers do not know of each other at once.
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
        self._repeats: deque[float] = deque()

    def count(self) -> tuple[int, int]:
        """Return the requests of two windows and the repeats of one."""
        return len(self._requests), len(self._repeats)

    def note_request(self) -> None:
        """Count a request's first send."""
        now = self._now()
        self._requests.append(now)
        _drop_before(self._requests, now - N_WINDOWS * self._window_s)

    def take(self, ratio: float, slack: float, hosts: int | None) -> bool:
        """Count a repeat if there is room for it; tell whether there was.

        Without the number of `hosts` that share it, none of the slack is spent.
        """
        now = self._now()
        _drop_before(self._requests, now - N_WINDOWS * self._window_s)
        _drop_before(self._repeats, now - self._window_s)
        share = 0.0
        if hosts is not None and now >= self._slack_from:
            share = slack * SLACK_SHARE / max(hosts, 1)
        earned = ratio * RATIO_SHARE / N_WINDOWS
        # A window that begins at a repeat is the narrowest one around it.
        requests = list(self._requests)
        starts = [*self._repeats, now]
        for index, start in enumerate(starts):
            n_requests = len(requests) - bisect_left(requests, start - self._window_s)
            if len(starts) - index > earned * n_requests + share:
                return False
        self._repeats.append(now)
        return True


def _drop_before(times: deque[float], start: float) -> None:
    while times and times[0] < start:
        times.popleft()
