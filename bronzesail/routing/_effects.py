"""Effects that `RoutingCore` returns for its caller to apply."""

from __future__ import annotations

import attrs

from ..errors import Refusal
from ._interfaces import Route

__all__ = ["Chosen", "Effect", "LogMessage", "Refused"]


@attrs.frozen
class Chosen:
    """A backend server was chosen for a queued request.

    Attributes
    ----------
    number : int
        Number of the request, as `RoutingCore.submit` returned it.
    route : Route
        The route; the caller must release it exactly once.
    """

    number: int
    route: Route


@attrs.frozen
class Refused:
    """A request is refused; no byte of it was sent to a backend server.

    Attributes
    ----------
    number : int
        Number of the request, as `RoutingCore.submit` returned it.
    refusal : Refusal
        Result code and detail for the caller.
    """

    number: int
    refusal: Refusal


@attrs.frozen
class LogMessage:
    """A message for the log.

    Attributes
    ----------
    text : str
        Text of the message.
    """

    text: str


Effect = Chosen | Refused | LogMessage
