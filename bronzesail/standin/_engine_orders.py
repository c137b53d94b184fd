"""Orders to the model engine stand-in: load a model, an adapter, a version, a role."""

from __future__ import annotations

import attrs

from ..schema import EngineSetup

__all__ = ["ACTIONS", "EngineOrder", "OrderBook"]

ACTIONS = ("load-model", "load-adapter", "load-version", "change-role")


@attrs.frozen
class EngineOrder:
    """One order.

    Attributes
    ----------
    fence : int
        Fencing number of the holder that gave it.
    action : str
        One of `ACTIONS`.
    argument : str
        Name of the model, adapter, version or role.
    """

    fence: int
    action: str
    argument: str


class OrderBook:
    """Applies orders, with or without a check of their fencing numbers.

    Parameters
    ----------
    checks_fencing : bool
        Whether an order with a smaller number than the greatest seen is refused.
    """

    def __init__(self, checks_fencing: bool) -> None:
        self.checks_fencing = checks_fencing
        self.setup = EngineSetup()
        self.highest_fence = 0
        self.applied: list[EngineOrder] = []
        self.n_in_flight = 0

    def is_fenced(self, order: EngineOrder) -> bool:
        """Tell whether an order is refused for its fencing number."""
        return self.checks_fencing and order.fence < self.highest_fence

    def accept(self, order: EngineOrder) -> bool:
        """Take an order in; it takes effect later, by `apply`.

        Parameters
        ----------
        order : EngineOrder
            The order.

        Returns
        -------
        bool
            False if it is refused.
        """
        if self.is_fenced(order):
            return False
        self.highest_fence = max(self.highest_fence, order.fence)
        self.n_in_flight += 1
        return True

    def apply(self, order: EngineOrder) -> bool:
        """Let an accepted order take effect.

        Parameters
        ----------
        order : EngineOrder
            The order.

        Returns
        -------
        bool
            False if a newer one fenced it meanwhile.
        """
        self.n_in_flight -= 1
        if self.is_fenced(order):
            return False
        field = order.action.partition("-")[2]
        self.setup = attrs.evolve(self.setup, **{field: order.argument})
        self.applied.append(order)
        return True
