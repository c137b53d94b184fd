"""Messages, rows and settings, generated from the schema files."""

from __future__ import annotations

from ._budget import (
    BudgetRow,
    GrantEntry,
    TopUpRow,
)
from ._common import (
    Acknowledgement,
    ErrorReply,
    RouterId,
)
from ._configuration import (
    ClientAccount,
    ConfigurationChange,
    ConfigurationVersion,
    Deployment,
    PriorityClass,
    ServiceEntry,
)
from ._explain import (
    DecisionEntry,
    ExplainReply,
    ExplainRequest,
)
from ._operator import (
    BudgetOrder,
    GeneratedConfiguration,
)
from ._platform import (
    HostEntry,
    HostList,
    ReadRequest,
    Row,
    RowCheck,
    RowsReply,
    RowWrite,
    ScanRequest,
    TransactReply,
    TransactRequest,
)
from ._routing import (
    CacheEvent,
    CacheEventsReply,
    LoadReport,
    RoutingSettings,
)
from ._settings import (
    LogSection,
    PlatformSection,
    RouterSection,
    SecuritySection,
)

__all__ = [
    "Acknowledgement",
    "BudgetOrder",
    "BudgetRow",
    "CacheEvent",
    "CacheEventsReply",
    "ClientAccount",
    "ConfigurationChange",
    "ConfigurationVersion",
    "DecisionEntry",
    "Deployment",
    "ErrorReply",
    "ExplainReply",
    "ExplainRequest",
    "GeneratedConfiguration",
    "GrantEntry",
    "HostEntry",
    "HostList",
    "LoadReport",
    "LogSection",
    "PlatformSection",
    "PriorityClass",
    "ReadRequest",
    "RouterId",
    "RouterSection",
    "RoutingSettings",
    "Row",
    "RowCheck",
    "RowWrite",
    "RowsReply",
    "ScanRequest",
    "SecuritySection",
    "ServiceEntry",
    "TopUpRow",
    "TransactReply",
    "TransactRequest",
]
