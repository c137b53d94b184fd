"""The users' rule for repeats of a service, from what its servers and callers saw."""

from __future__ import annotations

from bisect import bisect_left


def find_excess(requests, repeats, ratio, slack, window_s):
    """Return by how much the worst window is over what is allowed.

    Windows that begin at a repeat or just after a request are the worst ones. The
    requests are those of the window itself, the one before it or the one half a window
    before it, whichever has most.

    Parameters
    ----------
    requests, repeats : list of float
        When requests were sent for the service, and when one arrived there again, in
        seconds, in ascending order.
    """
    starts = {*repeats, *(at + 1e-6 for at in requests)}
    excess = 0.0
    for start in starts:
        n_requests = max(
            _count(requests, start - back, window_s)
            for back in (0.0, window_s / 2, window_s)
        )
        allowed = ratio * n_requests + slack
        excess = max(excess, _count(repeats, start, window_s) - allowed)
    return excess


def _count(times, start, window_s):
    return bisect_left(times, start + window_s) - bisect_left(times, start)
