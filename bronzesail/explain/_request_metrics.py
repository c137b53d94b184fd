"""Updates the metrics on events of the request path."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from ..request import RequestOutcome
    from ._metrics import Metrics

__all__ = ["RequestMetrics"]


class RequestMetrics:
    """Observer of the request path; see `RequestObserver`.

    Parameters
    ----------
    metrics : Metrics
        Metrics of the router.
    """

    def __init__(self, metrics: Metrics) -> None:
        self._metrics = metrics

    def note_first_token(
        self, account: str, class_name: str, service: str, delay_s: float
    ) -> None:
        """Record the time to the first part of a response."""
        labels = {"account": account, "class": class_name}
        self._metrics.first_token_s.observe(labels, delay_s)

    def note_tokens(
        self, account: str, class_name: str, service: str, n_tokens: int
    ) -> None:
        """Count tokens relayed to a caller."""
        self._metrics.relayed_tokens.add({"service": service}, n_tokens)

    def note_outcome(self, outcome: RequestOutcome) -> None:
        """Record the duration, charged tokens and outcome of an ended request."""
        labels = {"account": outcome.account, "class": outcome.class_name}
        self._metrics.duration_s.observe(labels, outcome.duration_s)
        self._metrics.tokens.observe(labels, outcome.charged_tokens)
        self._metrics.requests.inc({**labels, "outcome": outcome.outcome})

    def note_retry(self, account: str, service: str, cause: str) -> None:
        """Count a retry by service and cause."""
        self._metrics.retries.inc({"service": service, "cause": cause})
