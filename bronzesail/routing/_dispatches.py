"""Tracks dispatched requests and updates the load counts of their backend servers."""

from __future__ import annotations

import attrs

from ..util.invariants import check_invariant
from ._interfaces import Route
from ._pool import Pool
from ._servers import ServerState

__all__ = ["Dispatch", "DispatchTracker"]


@attrs.define
class Dispatch:
    """A dispatched request whose route has not been released.

    Attributes
    ----------
    route : Route
        The route.
    pool : Pool
        The service's backend servers.
    server : ServerState
        The chosen backend server.
    uncached_tokens : int
        Prompt tokens that the backend server must prefill because it is not expected
        to have them cached.
    since : float
        Monotonic time of the dispatch, in seconds.
    has_first_token : bool
        Whether the first part of the answer arrived.
    """

    route: Route
    pool: Pool
    server: ServerState
    uncached_tokens: int
    dispatched_at: float
    has_first_token: bool = False


class DispatchTracker:
    """Open dispatches by route identity.

    It adds each dispatch to the counts of its backend server (requests in flight,
    pending prompt tokens, suspects) and subtracts it again when it ends.
    """

    def __init__(self) -> None:
        self._dispatches: dict[int, Dispatch] = {}

    def __len__(self) -> int:
        return len(self._dispatches)

    def open(self, dispatch: Dispatch) -> None:
        """Add a dispatch to the counts of its backend server.

        Parameters
        ----------
        dispatch : Dispatch
            The dispatch.

        Raises
        ------
        InvariantError
            If its backend server is leaving or excluded.
        """
        entry = dispatch.server.entry
        request = dispatch.route.request
        check_invariant(
            not entry.is_leaving, "a leaving backend server gets no new requests"
        )
        check_invariant(
            entry.host not in request.excluded,
            "an excluded backend server is not chosen",
        )
        self._dispatches[id(dispatch.route)] = dispatch
        dispatch.server.change_in_flight(1, dispatch.dispatched_at)
        dispatch.server.pending_tokens += dispatch.uncached_tokens
        if request.is_suspect:
            dispatch.server.n_suspects += 1

    def note_first_token(self, route: Route) -> Dispatch | None:
        """Record the first token, which ends the prefill of the prompt.

        Parameters
        ----------
        route : Route
            Route of the request.

        Returns
        -------
        Dispatch or None
            The dispatch; None if it has ended or had its first token already.
        """
        dispatch = self._dispatches.get(id(route))
        if dispatch is None or dispatch.has_first_token:
            return None
        dispatch.has_first_token = True
        self._end_prefill(dispatch)
        return dispatch

    def close(self, route: Route, now: float) -> Dispatch:
        """Remove a dispatch from the counts of its backend server.

        Parameters
        ----------
        route : Route
            Route of the request.
        now : float
            Monotonic time, in seconds.

        Returns
        -------
        Dispatch
            The dispatch that ended.

        Raises
        ------
        InvariantError
            If the route was released before, or a count would be negative.
        """
        check_invariant(id(route) in self._dispatches, "a route is released only once")
        dispatch = self._dispatches.pop(id(route))
        server = dispatch.server
        server.change_in_flight(-1, now)
        check_invariant(server.in_flight >= 0, "requests in flight are not negative")
        if not dispatch.has_first_token:
            self._end_prefill(dispatch)
        if route.request.is_suspect:
            server.n_suspects -= 1
            check_invariant(server.n_suspects >= 0, "suspects are not negative")
        return dispatch

    def _end_prefill(self, dispatch: Dispatch) -> None:
        """Subtract the prompt from the pending tokens of the backend server."""
        server = dispatch.server
        server.pending_tokens -= dispatch.uncached_tokens
        check_invariant(server.pending_tokens >= 0, "pending tokens are not negative")
