"""Effects that the membership core returns and `FleetService` executes."""

from __future__ import annotations

import attrs

from ..schema import Probe, RouterId, Rumours

__all__ = [
    "SendCheckRequest",
    "Dial",
    "Effect",
    "NotifyChange",
    "PullMembers",
    "RecordDecision",
    "SendProbe",
    "SendRumours",
]


@attrs.frozen
class SendProbe:
    """Send a probe; the core is passed the reply or the failure.

    Attributes
    ----------
    peer : RouterId
        Receiver.
    probe : Probe
        Message to send.
    """

    peer: RouterId
    probe: Probe


@attrs.frozen
class Dial:
    """Open a new connection; the core is passed the process that answered, if any.

    Attributes
    ----------
    host : str
        Name of the host.
    peer_address : str
        IP address and port of its peer listener.
    """

    host: str
    peer_address: str


@attrs.frozen
class SendCheckRequest:
    """Request an indirect probe: another router checks whether it reaches a host.

    Attributes
    ----------
    intermediary : RouterId
        Router that checks the host.
    host : str
        Name of the host.
    peer_address : str
        IP address and port of its peer listener.
    """

    intermediary: RouterId
    host: str
    peer_address: str


@attrs.frozen
class SendRumours:
    """Send member entries and leaving marks to a router.

    Attributes
    ----------
    peer : RouterId
        Receiver.
    rumours : Rumours
        Message to send.
    """

    peer: RouterId
    rumours: Rumours


@attrs.frozen
class PullMembers:
    """Fetch the member list of a router; the core is passed its entries.

    Attributes
    ----------
    peer : RouterId
        Router to fetch from.
    """

    peer: RouterId


@attrs.frozen
class NotifyChange:
    """Call the subscribed listeners: the routers or backend servers changed."""


@attrs.frozen
class RecordDecision:
    """Log a membership decision for `bronzesail explain`.

    Attributes
    ----------
    text : str
        Description of the decision, one sentence.
    """

    text: str


Effect = (
    SendProbe
    | Dial
    | SendCheckRequest
    | SendRumours
    | PullMembers
    | NotifyChange
    | RecordDecision
)
