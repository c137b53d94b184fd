"""Common form of a benchmark's end: bounds, a kept result and one JSON line."""

from __future__ import annotations

import json
import subprocess
from pathlib import Path
from typing import Any

import attrs

__all__ = ["Bound", "Figures", "finish_benchmark", "read_commit", "write_result"]

RESULTS = Path(__file__).parent / "results"

MAX_BOUNDS_SHOWN = 20

Figures = dict[str, dict[str, float]]


@attrs.frozen
class Bound:
    """A stated bound and what was measured.

    Attributes
    ----------
    name : str
        What is bounded, with its unit.
    value : float
        What was measured.
    limit : float
        Greatest value allowed.
    """

    name: str
    value: float
    limit: float

    @property
    def holds(self) -> bool:
        """Whether the bound holds."""
        return self.value <= self.limit


def finish_benchmark(
    name: str,
    figures: Figures,
    baselines: dict[str, Figures],
    bounds: list[Bound],
) -> int:
    """Print tables and bounds, keep the result, print it as one JSON line.

    Parameters
    ----------
    name : str
        Name of the benchmark.
    figures : dict
        Measured values by scenario.
    baselines : dict
        The same for each baseline.
    bounds : list of Bound
        Bounds to judge.

    Returns
    -------
    int
        0 if every bound holds, else 1.
    """
    for scenario, values in figures.items():
        print(f"\n{name}, {scenario}")
        for key, value in values.items():
            print(f"  {key:36}{value:>14,.4g}")
    print()
    broken = [bound for bound in bounds if not bound.holds]
    shown = bounds if len(bounds) <= MAX_BOUNDS_SHOWN else broken
    print(f"  {len(bounds) - len(broken)} of {len(bounds)} bounds hold")
    for bound in shown:
        verdict = "holds" if bound.holds else "BROKEN"
        print(f"  {bound.name:52}{bound.value:>12,.4g} <= {bound.limit:<10g} {verdict}")
    print(write_result(name, figures, baselines))
    return 1 if broken else 0


def write_result(name: str, figures: Any, baselines: Any) -> str:
    """Keep a benchmark's result with the commit, and return it as one JSON line.

    Parameters
    ----------
    name : str
        Name of the benchmark.
    figures : dict
        Measured values by scenario.
    baselines : dict
        The same for each baseline.

    Returns
    -------
    str
        The line that a benchmark prints last.
    """
    result = {"bronzesail": figures, "baselines": baselines, "commit": read_commit()}
    line = json.dumps(result)
    (RESULTS / f"{name}.json").write_text(line + "\n")
    return line


def read_commit() -> str:
    """Return the commit that is measured, marked if the tree has changes."""
    command = ("git", "describe", "--always", "--dirty")
    return subprocess.run(command, capture_output=True, text=True).stdout.strip()
