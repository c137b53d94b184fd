"""Admission of a request, decided while its tokens are reserved and journaled."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from ..errors import Refusal
from ._attempts import RefusedError

if TYPE_CHECKING:
    from ._gate import Gate, GateDecision
    from ._life import RequestLife
    from ._orders import CallerOrder

__all__ = ["Admission", "RunsElsewhereError"]


class RunsElsewhereError(Exception):
    """Raised when another router runs the request.

    Parameters
    ----------
    admitted : GateDecision
        The gate's decision, which says where the request runs.
    """

    def __init__(self, admitted: GateDecision) -> None:
        super().__init__("another router runs the request")
        self.admitted = admitted


class Admission:
    """Runs the gate's decision about one request as a background task.

    Parameters
    ----------
    gate : Gate
        Decides which router runs the request.
    order : CallerOrder
        The request.
    life : RequestLife
        State of the request.
    """

    def __init__(self, gate: Gate, order: CallerOrder, life: RequestLife) -> None:
        self._task = asyncio.create_task(gate.admit(order, life))

    async def require_local(self) -> None:
        """Wait for the decision and raise unless this router runs the request.

        Raises
        ------
        RefusedError
            If the gate refuses the request.
        RunsElsewhereError
            If another router runs the request, or ran it.
        """
        admitted = await self._task
        if isinstance(admitted, Refusal):
            raise RefusedError(admitted)
        if not admitted.is_own:
            raise RunsElsewhereError(admitted)

    def cancel(self) -> None:
        """Cancel the pending decision."""
        self._task.cancel()
