"""Decision records, structured logs and metrics."""

from __future__ import annotations

from ._decisions import Decision, DecisionLog
from ._log_reader import RequestTrace, describe_cause, read_log_lines, trace_request
from ._logs import PartLogger
from ._metrics import Metrics
from ._request_metrics import RequestMetrics

__all__ = [
    "Decision",
    "DecisionLog",
    "Metrics",
    "PartLogger",
    "RequestMetrics",
    "RequestTrace",
    "describe_cause",
    "read_log_lines",
    "trace_request",
]
