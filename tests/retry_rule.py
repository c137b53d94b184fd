"""The limit on retries of a service, computed from its requests and arrivals."""

from __future__ import annotations

from bisect import bisect_left


def find_excess(requests, retries, ratio, slack, window_s):
    """Return the number of retries above the limit in the worst window.

    The worst window begins at a retry or just after a request. The limit is `ratio` of
    the requests in the window itself, in the window before it or in the one that begins
    half a window earlier, whichever has most, plus `slack`.

    Parameters
    ----------
    requests, retries : list of float
        Times of the first sends and of the further arrivals of requests for the
        service, in seconds and in ascending order.
    ratio, slack : float
        Retries allowed for each request, and in addition to these.
    window_s : float
        Length of the windows.
    """
    starts = {*retries, *(at + 1e-6 for at in requests)}
    excess = 0.0
    for start in starts:
        n_requests = max(
            _count(requests, start - offset_s, window_s)
            for offset_s in (0.0, window_s / 2, window_s)
        )
        allowed = ratio * n_requests + slack
        excess = max(excess, _count(retries, start, window_s) - allowed)
    return excess


def _count(times, start, window_s):
    """Return how many times lie in the window that begins at `start`."""
    return bisect_left(times, start + window_s) - bisect_left(times, start)
