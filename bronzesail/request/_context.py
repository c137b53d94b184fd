"""Collaborators that the modules of the request path share."""

from __future__ import annotations

import random

import attrs

from ..budget import Budgets
from ..configuration import ConfigurationView
from ..explain import Decision, DecisionLog, PartLogger
from ..fleet import Membership, PeerNetwork
from ..http import HttpClient
from ..routing import Selector
from ..storage import Table
from ..util.clock import Clock
from ._engine import EngineClient
from ._interfaces import RequestObserver, RequestSettings
from ._records import RecordTable, RequestRecord
from ._retries import RetryPolicy

__all__ = ["RequestContext"]


@attrs.frozen
class RequestContext:
    """What the request path works with.

    Attributes
    ----------
    budgets : Budgets
        Reservations and journal.
    selector : Selector
        Choice of backend servers.
    network : PeerNetwork
        Messages between routers.
    membership : Membership
        Routers and backend servers.
    configuration : ConfigurationView
        Configuration in force.
    table : Table
        Platform's table service.
    client : HttpClient
        Client towards backend servers.
    engine : EngineClient
        Engine protocol over `client`.
    clock : Clock
        Source of the time.
    random : random.Random
        Source of jitter.
    decisions : DecisionLog
        Decision records.
    observer : RequestObserver
        Metrics.
    settings : RequestSettings
        Settings of the request path.
    records : RecordTable
        Requests this router knows.
    retries : RetryPolicy
        Retry budgets.
    log : PartLogger
        Log of this part.
    """

    budgets: Budgets
    selector: Selector
    network: PeerNetwork
    membership: Membership
    configuration: ConfigurationView
    table: Table
    client: HttpClient
    engine: EngineClient
    clock: Clock
    random: random.Random
    decisions: DecisionLog
    observer: RequestObserver
    settings: RequestSettings
    records: RecordTable
    retries: RetryPolicy
    log: PartLogger = PartLogger("request")

    def explain(self, record: RequestRecord, text: str) -> None:
        """Keep a decision about a request.

        Parameters
        ----------
        record : RequestRecord
            The request.
        text : str
            One short sentence.
        """
        subject = f"request/{record.account}/{record.key}"
        self.decisions.add(subject, Decision(self.clock.wall(), "request", text))
