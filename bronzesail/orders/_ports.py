"""Interface to the engines, and the types that it uses."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

import attrs

from ._actions import OrderOutcome

if TYPE_CHECKING:
    from ..schema import EngineSetup
    from ._actions import EngineOrder

__all__ = ["EnginePort", "OrderReport", "OrderTarget", "SetupUnknownError"]


class SetupUnknownError(Exception):
    """Raised when the setup of an engine could not be read."""


@attrs.frozen
class OrderTarget:
    """Backend server whose orders this router manages.

    Attributes
    ----------
    backend : str
        Name of the backend server.
    address : str
        IP address and port of its HTTP server.
    checks_fencing : bool
        Whether it rejects orders whose fencing number is lower than the highest one it
        has seen.
    """

    backend: str
    address: str
    checks_fencing: bool

    def is_compatible_with(self, other: OrderTarget) -> bool:
        """Return whether a core created for the other target works for this one too."""
        return self.checks_fencing == other.checks_fencing


@attrs.frozen
class OrderReport:
    """Result of sending an order.

    Attributes
    ----------
    outcome : OrderOutcome
        Outcome of the order.
    fence : int
        Highest fencing number that the engine has seen; 0 if it was not reported.
    """

    outcome: OrderOutcome
    fence: int = 0


class EnginePort(Protocol):
    """Client of the engines."""

    async def read_setup(self, address: str) -> EngineSetup:
        """Return the current setup of an engine.

        Parameters
        ----------
        address : str
            IP address and port of the engine.

        Returns
        -------
        EngineSetup
            Setup of the engine.

        Raises
        ------
        SetupUnknownError
            If the setup could not be read.
        """

    async def send_order(
        self, address: str, order: EngineOrder, timeout_s: float
    ) -> OrderReport:
        """Send an order once, without a retry, and wait until it has taken effect.

        Parameters
        ----------
        address : str
            IP address and port of the engine.
        order : EngineOrder
            Order to send.
        timeout_s : float
            Timeout for the answer, in seconds.

        Returns
        -------
        OrderReport
            Outcome of the order.
        """
