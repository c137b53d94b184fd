"""Interface of routing for the request path."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

import attrs

from ..schema import HostEntry

if TYPE_CHECKING:
    from returns.result import Result

    from ..errors import Refusal

__all__ = ["Candidate", "Route", "RouteRequest", "Selector"]


@attrs.frozen
class RouteRequest:
    """Properties of a request that determine the choice of its backend server.

    Attributes
    ----------
    service : str
        Name of the service.
    request_key : str
        Key that identifies the request within its client account.
    prompt : bytes
        Prompt; backend servers may have a prefix of it cached.
    prompt_tokens : int
        Estimated number of tokens of the prompt.
    output_tokens : int
        Greatest number of output tokens.
    class_name : str
        Name of its priority class.
    priority : int
        Priority of its class; a smaller number is served earlier.
    ageing_ms : int
        Time in the queue that raises the priority by one level, in milliseconds.
    deadline : float
        Monotonic time until which it may stay queued, in seconds.
    excluded : frozenset of str
        Backend servers that must not be chosen.
    is_suspect : bool
        Whether a backend server crashed while it ran the request. A suspect is
        dispatched only to a backend server without other requests of this router.
    account : str
        Client account, under which the decision is recorded; empty for no record.
    """

    service: str
    request_key: str
    prompt: bytes
    prompt_tokens: int
    output_tokens: int
    class_name: str
    priority: int
    ageing_ms: int
    deadline: float
    excluded: frozenset[str] = frozenset()
    is_suspect: bool = False
    account: str = ""


@attrs.frozen
class Candidate:
    """Score of a backend server for one request.

    Attributes
    ----------
    host : str
        Name of the backend server.
    wait_s : float
        Estimated time until the first token without a cached prefix, in seconds.
    cached_tokens : int
        Prompt tokens that its prefix cache is expected to hold.
    score_s : float
        Score, in seconds; the candidate with the smallest is chosen.
    """

    host: str
    wait_s: float
    cached_tokens: int
    score_s: float


@attrs.frozen
class Route:
    """Backend server chosen for one dispatch of a request.

    Attributes
    ----------
    request : RouteRequest
        The request.
    backend : HostEntry
        The chosen backend server.
    candidates : tuple of Candidate
        All candidates that were scored.
    """

    request: RouteRequest
    backend: HostEntry
    candidates: tuple[Candidate, ...]


class Selector(Protocol):
    """Chooses backend servers for requests, and learns the outcome of each dispatch.

    Every route that `acquire` returns must be released exactly once.
    """

    async def acquire(self, request: RouteRequest) -> Result[Route, Refusal]:
        """Choose a backend server; wait in a queue while none can accept the request.

        Parameters
        ----------
        request : RouteRequest
            The request.

        Returns
        -------
        Result of Route or Refusal
            The route, or a refusal. A refusal has `is_not_run` set, because this call
            sends nothing to a backend server.
        """

    def note_first_token(self, route: Route) -> None:
        """Record that the first part of the answer arrived.

        Parameters
        ----------
        route : Route
            Route of the request.
        """

    def release(self, route: Route, output_tokens: int, is_failed: bool) -> None:
        """Record the end of a dispatch and free its capacity.

        Parameters
        ----------
        route : Route
            Route of the request; it must be released exactly once.
        output_tokens : int
            Number of tokens that the backend server generated.
        is_failed : bool
            Whether the backend server failed.
        """
