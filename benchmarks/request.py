"""Bookings in a store outage, requests through faults, and a poison request.

Run by ``make bench-request``. The bounds are those of the stated targets: no booking
under an issued key refused for the store, no doubled run, no false "not run", no cut
or crossed answer, at most two backend servers lost to one body.
"""

from __future__ import annotations

import sys

import attrs

from ._request_faults import FaultResult, measure_faults
from ._request_outage import OutageResult, measure_outage
from ._request_poison import PoisonResult, measure_poison
from .report import Bound, Figures, finish_benchmark

__all__ = ["main"]

SEEDS = (1, 2, 3)
MAX_LOST_SERVERS = 2


def describe_outage(result: OutageResult) -> dict[str, float]:
    """Return the figures of the bookings during a store outage."""
    return {
        "bookings": result.n_bookings,
        "wrongly_refused": result.n_refused,
        "doubled_runs": result.n_doubled,
        "table_writes_per_booking": result.table_writes / result.n_bookings,
        "peer_messages_per_booking": result.peer_messages / result.n_bookings,
        "longest_wait_s": max(result.waits_s),
    }


def describe_poison(result: PoisonResult) -> dict[str, float]:
    """Return the figures of the poison request."""
    return {
        "lost_backend_servers": result.n_lost_servers,
        "innocent_neighbours": result.n_neighbours,
        "innocent_neighbours_served": result.n_neighbours_served,
        "false_not_run": result.n_false_not_run,
    }


def describe_faults(results: list[FaultResult]) -> dict[str, float]:
    """Return the sums over the runs through faults."""
    total: dict[str, float] = {}
    for result in results:
        for name, value in attrs.asdict(result).items():
            if name == "n_faults":
                value = sum(result.n_faults.values())
            total[name] = total.get(name, 0) + value
    return total


def main() -> int:
    """Run every scenario and judge the bounds.

    Returns
    -------
    int
        0 if every bound holds, else 1.
    """
    faults = describe_faults([measure_faults(seed) for seed in SEEDS])
    figures: Figures = {
        "store_outage_10_min": describe_outage(measure_outage(is_issued=True)),
        "poison_request": describe_poison(measure_poison(is_guarded=True)),
        "faults": faults,
    }
    baselines: dict[str, Figures] = {
        "claim_rows": {
            "store_outage_10_min": describe_outage(measure_outage(is_issued=False))
        },
        "retries_without_quarantine": {
            "poison_request": describe_poison(measure_poison(is_guarded=False))
        },
    }
    outage = figures["store_outage_10_min"]
    poison = figures["poison_request"]
    n_missed = poison["innocent_neighbours"] - poison["innocent_neighbours_served"]
    bounds = [
        Bound("issued keys: bookings wrongly refused", outage["wrongly_refused"], 0),
        Bound("issued keys: doubled runs", outage["doubled_runs"], 0),
        Bound(
            "claim rows: doubled runs",
            baselines["claim_rows"]["store_outage_10_min"]["doubled_runs"],
            0,
        ),
        Bound(
            "backend servers lost to one body",
            poison["lost_backend_servers"],
            MAX_LOST_SERVERS,
        ),
        Bound("innocent neighbours not served", n_missed, 0),
        Bound("faults: doubled runs", faults["doubled_runs"], 0),
        Bound("faults: false not run", faults["false_not_run"], 0),
        Bound("faults: cut answers given as whole", faults["cut_answers"], 0),
        Bound("faults: answers to another's request", faults["crossed_answers"], 0),
    ]
    for name, scenarios in baselines.items():
        for scenario, values in scenarios.items():
            print(f"baseline {name}, {scenario}")
            for key, value in values.items():
                print(f"  {key:36}{value:>14,.4g}")
    return finish_benchmark("request", figures, baselines, bounds)


if __name__ == "__main__":
    sys.exit(main())
