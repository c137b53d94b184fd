"""Parts of a router that the operators' interface reads and commands."""

from __future__ import annotations

from collections.abc import Callable

import attrs

from ..budget import Budgets
from ..configuration import ConfigurationService
from ..explain import Metrics
from ..fleet import Membership
from ..storage import Table
from ._explanations import ExplainService

__all__ = ["OperatorParts"]


@attrs.frozen
class OperatorParts:
    """Parts of a router that the operators' interface reads and commands.

    Attributes
    ----------
    table : Table
        The platform's table service.
    budgets : Budgets
        This router's grants.
    configuration : ConfigurationService
        Configuration in force.
    membership : Membership
        The live routers.
    explanations : ExplainService
        Decisions of every router.
    metrics : Metrics
        Metrics of this router.
    is_ready : callable
        Tells whether callers may be sent here.
    request_drain : callable
        Starts a planned stop.
    count_running : callable
        Returns the number of requests in progress.
    """

    table: Table
    budgets: Budgets
    configuration: ConfigurationService
    membership: Membership
    explanations: ExplainService
    metrics: Metrics
    is_ready: Callable[[], bool]
    request_drain: Callable[[], None]
    count_running: Callable[[], int]
