"""Limits repeated sends of one service, as this router's share of the fleet's limit."""

from __future__ import annotations

import math
from collections import deque
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

__all__ = ["RetryBudget"]

RATIO_SHARE = 0.7  # Of the ratio; requests are counted in windows that slide.
SLACK_SHARE = 0.6  # Of the slack, shared by the routers; their number lags.


class RetryBudget:
    """Repeats of one service within a sliding window.

    Parameters
    ----------
    now : callable
        Seconds on a steady clock.
    window_s : float
        Length of the window.
    slack_from : float
        When the router's share of the slack may first be spent. The process before
        this one may have spent it in a window that has not ended yet.
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
        """Return the requests and the repeats that count at the last `take`."""
        return len(self._requests), len(self._repeats)

    def note_request(self) -> None:
        """Count a request's first send."""
        self._requests.append(self._now())

    def take(self, ratio: float, slack: float, hosts: int | None) -> bool:
        """Count a repeat if there is room for it; tell whether there was.

        Without the number of `hosts` that share it, none of the slack is spent.
        """
        now = self._now()
        for times in (self._requests, self._repeats):
            while times and now - times[0] > self._window_s:
                times.popleft()
        room = ratio * RATIO_SHARE * len(self._requests)
        if hosts is not None and now >= self._slack_from:
            room += slack * SLACK_SHARE / max(hosts, 1)
        if len(self._repeats) + 1 > room:
            return False
        self._repeats.append(now)
        return True
