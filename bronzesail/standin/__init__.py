"""Small stand-ins of the platform and the backend servers, each fault a switch."""

from __future__ import annotations

from ._engine import EngineStandin
from ._engine_runs import (
    EngineUsage,
    draw_output_tokens,
    make_answer_text,
    make_event_text,
)
from ._engine_scheduler import EngineFaults, EngineSpeed
from ._hosts import HostListFaults, HostListStandin
from ._link import LinkPath, LinkStandin, RegionLink
from ._service import PlainServiceFaults, PlainServiceStandin
from ._table import TableFaults, TableStandin

__all__ = [
    "EngineFaults",
    "EngineSpeed",
    "EngineStandin",
    "EngineUsage",
    "HostListFaults",
    "HostListStandin",
    "LinkPath",
    "LinkStandin",
    "PlainServiceFaults",
    "PlainServiceStandin",
    "RegionLink",
    "TableFaults",
    "TableStandin",
    "draw_output_tokens",
    "make_answer_text",
    "make_event_text",
]
