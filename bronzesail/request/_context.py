"""Services shared by the modules of the request path."""

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
    """Services shared by the modules of the request path.

    Attributes
    ----------
    budgets : Budgets
        Token reservations and the dispatch journal.
    selector : Selector
        Selects backend servers.
    network : PeerNetwork
        Sends and receives messages between routers.
    membership : Membership
        Current lists of routers and backend servers.
    configuration : ConfigurationView
        Configuration in force.
    table : Table
        Client of the platform's table service.
    client : HttpClient
        HTTP client for calls to backend servers.
    engine : EngineClient
        Client of the engine protocol; uses `client`.
    clock : Clock
        Clock for wall and monotonic time.
    random : random.Random
        Random numbers for retry jitter.
    decisions : DecisionLog
        Log of decisions, for ``bronzesail explain``.
    observer : RequestObserver
        Receives request metrics.
    settings : RequestSettings
        Settings of the request path.
    records : RecordTable
        Requests in progress and recently finished at this router.
    retries : RetryPolicy
        Retry limits and backoff.
    log : PartLogger
        Logger of the request path.
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
        """Record a decision about a request in the decision log.

        Parameters
        ----------
        record : RequestRecord
            Record of the request.
        text : str
            Description of the decision, in one short sentence.
        """
        subject = f"request/{record.account}/{record.key}"
        self.decisions.add(subject, Decision(self.clock.wall(), "request", text))
