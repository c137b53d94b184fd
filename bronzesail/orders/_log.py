"""Log lines and decision records about orders to engines."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..explain import Decision, PartLogger
from ._placing import make_order_key

if TYPE_CHECKING:
    from ..explain import DecisionLog
    from ..util.clock import Clock

__all__ = ["OrderLog"]

PART = "orders"


class OrderLog:
    """Writes events to the log and to the decision log read by `bronzesail explain`.

    Parameters
    ----------
    decisions : DecisionLog
        Decision log; its records are stored under the key of the order row.
    clock : Clock
        Clock of this host.
    """

    def __init__(self, decisions: DecisionLog, clock: Clock) -> None:
        self._decisions = decisions
        self._clock = clock
        self._logger = PartLogger(PART)

    def write(self, backend: str, message: str, **fields: object) -> None:
        """Write an event to the log and to the decision log.

        Parameters
        ----------
        backend : str
            Name of the backend server.
        message : str
            Text of the log line, without the prefix `orders`.
        **fields : object
            Values that are appended to the message.
        """
        self._logger.write(message, backend=backend, **fields)
        values = ", ".join(f"{name} {value}" for name, value in fields.items() if value)
        text = f"{message}: {values}" if values else message
        decision = Decision(self._clock.wall(), PART, text)
        self._decisions.add(make_order_key(backend), decision)
