"""Inputs and results of a holder's planned transactions."""

from __future__ import annotations

from collections.abc import Callable

import attrs

from ..schema import BudgetRow, GrantEntry, RouterId
from ._ledger import Charge

__all__ = ["HolderPlan", "LateResult", "PlanContext"]


@attrs.frozen
class PlanContext:
    """Inputs of a plan besides the holder's own state.

    Attributes
    ----------
    now : float
        Monotonic time, in seconds.
    is_charged : callable
        Returns whether the ledger has a charge with a given digest. The caller has
        looked up the digests of the closed records, so that the answer is certain.
    free_page_lines : int
        Charges that still fit on the ledger's last page.
    peers : tuple of RouterId
        Journal peers that the grant should name.
    live_ids : frozenset of RouterId
        Live routers; a named journal peer that is not among them is replaced.
    waiting_tokens : int
        Tokens that waiting requests ask for.
    is_standby : bool
        Whether this router keeps tokens granted without demand.
    is_registered : bool
        Whether this router keeps an entry in the row without demand.
    jitter : float
        Random number from 0 to 1.
    is_draining : bool
        Whether the router is shutting down and returns its grant.
    """

    now: float
    is_charged: Callable[[bytes], bool]
    free_page_lines: int
    peers: tuple[RouterId, ...]
    live_ids: frozenset[RouterId]
    waiting_tokens: int = 0
    is_standby: bool = False
    is_registered: bool = False
    jitter: float = 0.0
    is_draining: bool = False


@attrs.frozen
class HolderPlan:
    """Planned transaction of a holder on its budget's row.

    Attributes
    ----------
    row : BudgetRow
        New content of the row.
    expected_version : int
        Version that the row must have for the transaction to commit.
    charges : tuple of Charge
        Charges to append to the ledger.
    finished : tuple of int
        Sequence numbers of the records that the transaction settles.
    entry : GrantEntry or None
        The holder's entry in `row`; None if the grant is returned.
    returned_tokens : int
        Available tokens that the transaction returns to the budget.
    """

    row: BudgetRow
    expected_version: int
    charges: tuple[Charge, ...]
    finished: tuple[int, ...]
    entry: GrantEntry | None
    returned_tokens: int = 0


@attrs.frozen
class LateResult:
    """Outcome of a record that its grant can no longer settle.

    The grant was reclaimed, or the record is being settled or was turned into a hold.

    Attributes
    ----------
    grant_id : str
        Grant of the record.
    sequence : int
        Number of the record.
    request_key : str
        Key of the request.
    used_tokens : int
        Tokens used, at most those reserved.
    """

    grant_id: str
    sequence: int
    request_key: str
    used_tokens: int
