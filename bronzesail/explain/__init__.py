"""Decision records, logs, metrics and histograms."""

from __future__ import annotations

from ._decisions import Decision, DecisionLog
from ._log_reader import RequestStory, name_cause, read_log_lines, tell_story
from ._logs import PartLogger
from ._metrics import Metrics
from ._request_metrics import RequestMetrics

__all__ = [
    "Decision",
    "DecisionLog",
    "Metrics",
    "PartLogger",
    "RequestMetrics",
    "RequestStory",
    "name_cause",
    "read_log_lines",
    "tell_story",
]
