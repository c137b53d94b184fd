"""Prometheus metrics of a router: counters, gauges and histograms."""

from __future__ import annotations

from typing import Any

from aioprometheus import Counter, Gauge, Histogram, Registry, render

__all__ = ["Metrics"]

LATENCY_BUCKETS_S = (
    0.005,
    0.01,
    0.025,
    0.05,
    0.1,
    0.25,
    0.61,
    1.0,
    2.5,
    5.0,
    10.0,
    30.0,
    float("inf"),
)
TOKEN_BUCKETS = (16, 64, 256, 1024, 4096, 16384, float("inf"))


class Metrics:
    """Metrics of one router, in a separate registry."""

    def __init__(self) -> None:
        self._registry = Registry()
        self.requests = Counter(
            "bronzesail_requests_total",
            "Requests by client account, class and result code.",
            registry=self._registry,
        )
        self.first_token_s = Histogram(
            "bronzesail_first_token_seconds",
            "Time to the first part of the answer, in seconds.",
            registry=self._registry,
            buckets=LATENCY_BUCKETS_S,
        )
        self.duration_s = Histogram(
            "bronzesail_request_seconds",
            "Time to the end of the answer, in seconds.",
            registry=self._registry,
            buckets=LATENCY_BUCKETS_S,
        )
        self.tokens = Histogram(
            "bronzesail_request_tokens",
            "Tokens charged for a request.",
            registry=self._registry,
            buckets=TOKEN_BUCKETS,
        )
        self.relayed_tokens = Counter(
            "bronzesail_relayed_tokens_total",
            "Tokens relayed to callers, by service.",
            registry=self._registry,
        )
        self.retries = Counter(
            "bronzesail_retries_total",
            "Requests tried again, by service and cause.",
            registry=self._registry,
        )
        self.gauges = Gauge(
            "bronzesail_state",
            "State of the router by name.",
            registry=self._registry,
        )

    def set_gauge(self, name: str, value: float) -> None:
        """Set a value of the gauge ``bronzesail_state``.

        Parameters
        ----------
        name : str
            Value of the label ``name``, with the unit as a suffix.
        value : float
            New value of the gauge.
        """
        self.gauges.set({"name": name}, value)

    def list_histograms(self) -> list[dict[str, Any]]:
        """Return every histogram in a JSON-serializable form.

        Returns
        -------
        list of dict
            Title, unit, labels and cumulative buckets of each.
        """
        histograms: list[dict[str, Any]] = []
        for collector, unit in (
            (self.first_token_s, "seconds"),
            (self.duration_s, "seconds"),
            (self.tokens, "tokens"),
        ):
            for labels, values in collector.get_all():
                histograms.append(
                    _describe_histogram(collector.doc, unit, labels, values)
                )
        return histograms

    def render(self, accept: str) -> tuple[bytes, str]:
        """Return the metrics in the exposition format that the Accept header selects.

        Parameters
        ----------
        accept : str
            Value of the request's Accept header.

        Returns
        -------
        body : bytes
            The encoded metrics.
        content_type : str
            Media type of the body.
        """
        accepted = [media_type.strip() for media_type in accept.split(",")]
        body, headers = render(self._registry, accepted)
        return body, headers["Content-Type"]


def _describe_histogram(
    title: str, unit: str, labels: dict[str, str], values: dict[Any, Any]
) -> dict[str, Any]:
    buckets = [
        {"upper_bound": str(bound), "cumulative_count": int(count)}
        for bound, count in values.items()
        if isinstance(bound, float | int)
    ]
    return {
        "title": title.rstrip("."),
        "unit": unit,
        "labels": dict(labels),
        "buckets": buckets,
    }
