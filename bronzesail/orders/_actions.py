"""Actions that `OrderCore` returns for its caller to execute, and order outcomes."""

from __future__ import annotations

import enum

import attrs

from ..schema import OrderRow

__all__ = [
    "Action",
    "EngineOrder",
    "SendOrder",
    "OrderOutcome",
    "OrderTiming",
    "ReadRow",
    "ReadSetup",
    "ReserveLoad",
    "Wait",
    "WriteRow",
]


@attrs.frozen
class OrderTiming:
    """Durations on which the safety of leases and orders depends.

    Attributes
    ----------
    lease_s : float
        Lifetime of a lease, counted from the moment its holder started to write it,
        in seconds.
    longest_order_s : float
        Maximum time from sending an order until it has taken effect or can no longer
        do so, in seconds.
    check_interval_s : float
        Interval at which the row and the engine's setup are read, in seconds.
    drift : float
        Maximum relative difference between the rates of two hosts' clocks.
    send_margin_s : float
        Time before the lease expires during which no new order is sent, in seconds.
    """

    lease_s: float = 15.0
    longest_order_s: float = 120.0
    check_interval_s: float = 10.0
    drift: float = 0.01
    send_margin_s: float = 3.0

    @property
    def lease_expiry_s(self) -> float:
        """Time after which another holder's unchanged lease has expired, in seconds.

        The lease's lifetime is extended by the clock drift, because the other holder
        measures it with its own clock.
        """
        return self.lease_s * (1 + self.drift)

    @property
    def in_flight_s(self) -> float:
        """Maximum time for which an order of another holder is in flight, in seconds.

        Includes the clock drift between the two hosts.
        """
        return self.longest_order_s * (1 + self.drift)


@attrs.frozen
class EngineOrder:
    """Request to an engine to change one field of its setup.

    Attributes
    ----------
    fence : int
        Fencing number of the lease under which the order is sent.
    action : str
        One of load-model, load-adapter, load-version and change-role.
    argument : str
        Name of the model, adapter, version or role.
    """

    fence: int
    action: str
    argument: str


class OrderOutcome(enum.Enum):
    """Outcome of one attempt to send an order.

    `UNKNOWN` means that the order was sent and may still take effect; `NOT_SENT` that
    the engine has certainly not received it. The values are part of log messages.
    """

    DONE = "done"
    REFUSED = "refused for its fencing number"
    NOT_SENT = "not sent"
    UNKNOWN = "unknown"


@attrs.frozen
class ReadRow:
    """Read the backend server's order row from the table service."""


@attrs.frozen
class WriteRow:
    """Write the order row on condition that its version is unchanged.

    Attributes
    ----------
    row : OrderRow
        New content of the row.
    expected_version : int
        Version that the row must have; otherwise the write is rejected.
    """

    row: OrderRow
    expected_version: int


@attrs.frozen
class ReadSetup:
    """Read the current setup from the engine."""


@attrs.frozen
class ReserveLoad:
    """Reserve a start time for a load from the rate-limited weight store."""


@attrs.frozen
class SendOrder:
    """Send an order to the engine, unless it is too late to do so.

    Attributes
    ----------
    order : EngineOrder
        Order to send.
    valid_until : float
        Monotonic time from which the order must not be sent, in seconds.
    """

    order: EngineOrder
    valid_until: float


@attrs.frozen
class Wait:
    """Wait until a given time, or until the outcome of a sent order is known.

    Attributes
    ----------
    until : float
        Monotonic time at which the wait ends, in seconds.
    """

    until: float


Action = ReadRow | WriteRow | ReadSetup | ReserveLoad | SendOrder | Wait
