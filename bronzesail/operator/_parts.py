"""Router components that the operator API reads and controls."""

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
    """Router components that the operator API reads and controls.

    Attributes
    ----------
    table : Table
        Client of the platform's table service.
    budgets : Budgets
        Budget grants held by this router.
    configuration : ConfigurationService
        Provides the configuration in force and applies changes to it.
    membership : Membership
        Live routers and listed backend servers.
    explanations : ExplainService
        Collects decisions from all routers.
    metrics : Metrics
        Metrics of this router.
    is_ready : callable
        Returns whether the router is ready for callers' requests.
    request_drain : callable
        Starts a graceful shutdown.
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
