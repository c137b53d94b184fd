"""Prepaid token budgets: grants, reservations, the dispatch journal and settlement.

Each budget is one row of the table service. A router takes a *grant* of tokens from
the row and spends it without further calls of the table service: it reserves tokens
for a request, journals each dispatch at other routers, and settles the tokens used
into the row in batches. A grant of a router that fails is reclaimed from the journal.
"""

from __future__ import annotations

from ..util.invariants import InvariantError
from ._interfaces import (
    Budgets,
    BudgetStatus,
    DispatchRecord,
    Reservation,
    ReserveOrder,
    UsageSource,
)
from ._operators import create_budget, read_budget, release_hold, top_up
from ._service import BudgetService
from ._settings import BudgetSettings

__all__ = [
    "BudgetService",
    "BudgetSettings",
    "BudgetStatus",
    "Budgets",
    "DispatchRecord",
    "InvariantError",
    "Reservation",
    "ReserveOrder",
    "UsageSource",
    "create_budget",
    "read_budget",
    "release_hold",
    "top_up",
]
