"""Prometheus metrics of one router."""

from __future__ import annotations

from aioprometheus import Counter, Gauge, Histogram, Registry, render

__all__ = ["Metrics"]

# Upper bounds of the histogram's buckets, in seconds.
LATENCY_BUCKETS_S = (0.01, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0, 15.0, float("inf"))


class Metrics:
    """Counters, gauges and histograms of one router.

    Each instance has its own registry, so that several routers of one process don't
    share metrics.
    """

    def __init__(self) -> None:
        self._registry = Registry()
        self.requests = Counter(
            "bronzesail_requests_total",
            "Requests by route, client account and outcome.",
            registry=self._registry,
        )
        self.duration_s = Histogram(
            "bronzesail_request_seconds",
            "Time to the end of the answer, by route, in seconds.",
            registry=self._registry,
            buckets=LATENCY_BUCKETS_S,
        )
        self.service_requests = Counter(
            "bronzesail_service_requests_total",
            "Requests that callers sent for a service.",
            registry=self._registry,
        )
        self.sends = Counter(
            "bronzesail_sends_total",
            "Sends to a service: first, repeat, or withheld by the retry budget.",
            registry=self._registry,
        )
        self.gauges = Gauge(
            "bronzesail_state",
            "Figures of the router by name.",
            registry=self._registry,
        )

    def count_request(
        self, route: str, account: str, outcome: str, took_s: float
    ) -> None:
        """Count a finished request and record its duration, `took_s`, in seconds."""
        self.requests.inc({"route": route, "account": account, "outcome": outcome})
        self.duration_s.observe({"route": route}, took_s)

    def count_service_request(self, service: str) -> None:
        """Count a request that a caller sent to a service."""
        self.service_requests.inc({"service": service})

    def count_send(self, service: str, kind: str) -> None:
        """Count an attempt to send a request to a service.

        `kind` is "first", "repeat" (a retry) or "withheld" (no retry budget left).
        """
        self.sends.inc({"service": service, "kind": kind})

    def set_state(self, name: str, value: float) -> None:
        """Set the value with this name, the label of the gauge `bronzesail_state`."""
        self.gauges.set({"name": name}, value)

    def render(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        content, _ = render(self._registry, ["text/plain"])
        return bytes(content)
