"""Protocol types of membership and of messages between routers."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import TYPE_CHECKING, Any, Protocol

import attrs

from ..schema import RouterId

if TYPE_CHECKING:
    from ..schema import HostEntry

__all__ = [
    "Membership",
    "PeerHandler",
    "PeerNetwork",
    "PeerRefusedError",
    "PeerUnreachableError",
    "RouterInfo",
]

PeerHandler = Callable[[RouterId, Any], Awaitable[Any]]


class PeerUnreachableError(Exception):
    """Raised when a peer did not reply in time; it may have received the message."""


class PeerRefusedError(Exception):
    """Raised when a peer answered with an error.

    Parameters
    ----------
    code : int
        Result code.
    detail : str
        Description of the error, one sentence.
    """

    def __init__(self, code: int, detail: str) -> None:
        super().__init__(f"BZ{code}: {detail}")
        self.code = code
        self.detail = detail


@attrs.frozen
class RouterInfo:
    """A router in the local membership view.

    Attributes
    ----------
    router_id : RouterId
        Host and incarnation.
    peer_address : str
        IP address and port of its peer listener.
    data_centre : str
        Name of its data centre.
    region : str
        Name of its region.
    is_leaving : bool
        Whether the router is draining.
    """

    router_id: RouterId
    peer_address: str
    data_centre: str
    region: str
    is_leaving: bool = False


class Membership(Protocol):
    """Local view of the live routers and backend servers of the fleet."""

    @property
    def own(self) -> RouterInfo:
        """Entry of the router itself."""

    def list_routers(self) -> tuple[RouterInfo, ...]:
        """Return the live routers besides this one."""

    def list_backends(self, service: str) -> tuple[HostEntry, ...]:
        """Return the backend servers of a service; leaving ones are marked.

        Parameters
        ----------
        service : str
            Name of the service.

        Returns
        -------
        tuple of HostEntry
            The backend servers.
        """

    def is_listed(self, router_id: RouterId) -> bool:
        """Return whether a router is live, or not yet known to be gone.

        Parameters
        ----------
        router_id : RouterId
            Host and incarnation.

        Returns
        -------
        bool
            False only once this incarnation is known to have left or died.
        """

    def list_unreachable(self) -> tuple[RouterInfo, ...]:
        """Return the routers that are unreachable now but not known to be gone."""

    def list_neighbours(self) -> tuple[RouterId, ...]:
        """Return the routers with which this one exchanges gossip."""

    def subscribe(self, listener: Callable[[], None]) -> None:
        """Call a listener after each change.

        Parameters
        ----------
        listener : callable
            Called without arguments, in the loop.
        """


class PeerNetwork(Protocol):
    """Typed messages between routers."""

    def register(self, message_type: type[Any], handler: PeerHandler) -> None:
        """Register the handler of a message class.

        Parameters
        ----------
        message_type : type
            Generated message class.
        handler : callable
            Coroutine function of the sender's id and the message; it returns the
            reply, or None for a message that was sent without one.
        """

    async def request(self, peer: RouterId, message: Any, timeout_s: float) -> Any:
        """Send a message and return the reply.

        Parameters
        ----------
        peer : RouterId
            Receiver; never delivered to another incarnation on the same host.
        message : object
            Instance of a generated class that has a code.
        timeout_s : float
            Time for the reply, in seconds.

        Returns
        -------
        object
            The reply.

        Raises
        ------
        PeerUnreachableError
            If no reply came in time.
        PeerRefusedError
            If the peer answered with an error.
        """

    def add_gossip(self, source: Callable[[], Any]) -> None:
        """Add a message that is piggybacked on every probe to a neighbour.

        Parameters
        ----------
        source : callable
            Returns the message to send.
        """

    def send(self, peer: RouterId, message: Any) -> None:
        """Send a message once, without a reply; it may be lost.

        Parameters
        ----------
        peer : RouterId
            Receiver.
        message : object
            Instance of a generated class that has a code.
        """
