"""Which servers a request may reach at all, whatever their load."""

from __future__ import annotations

from ._evacuations import EvacuationReport, Evacuations
from ._regions import HomeRegions, combine_regions, find_unknown_regions

__all__ = [
    "EvacuationReport",
    "Evacuations",
    "HomeRegions",
    "combine_regions",
    "find_unknown_regions",
]
