"""Measures the slopes of a router's cost and works out the capacity page's sums."""

from __future__ import annotations

import sys

from benchmarks._capacity_slopes import measure_slopes
from benchmarks._capacity_sums import LETTER, TODAY, compute_sums
from benchmarks.report import Bound, finish_benchmark

REST_CORE_PERCENT = 1.4
REST_MEMORY_MIB = 256.0
REST_PARTS = (
    "poll_core_percent_node",
    "budget_entries_core_percent_node",
    "scan_core_percent_node",
)

Figures = dict[str, float]


def list_bounds(today: Figures) -> list[Bound]:
    """Return the bounds on a router at rest at today's size."""
    core = sum(today[name] for name in REST_PARTS)
    return [
        Bound("core of a router at rest, percent", core, REST_CORE_PERCENT),
        Bound("memory of a router, MiB", today["memory_mib_node"], REST_MEMORY_MIB),
    ]


def main() -> int:
    """Measure, print and keep the figures."""
    slopes = measure_slopes()
    letter = compute_sums(slopes, LETTER)
    today = compute_sums(slopes, TODAY)
    figures = {"slopes": slopes, "letter": letter, "today": today}
    return finish_benchmark("capacity", figures, {}, list_bounds(today))


if __name__ == "__main__":
    sys.exit(main())
