"""Decides which callers and requests a host with a narrow link accepts."""

from __future__ import annotations

from ._entry_control import EntryControl, EntryState, LinkSample, ZoneHost
from ._link_admission import LinkAdmission, LinkRequest
from ._link_usage import (
    BYTES_PER_S_PER_MBPS,
    LONG_WINDOW_S,
    SHORT_WINDOW_S,
    LinkUsage,
)
from ._response_times import ResponseTimes

__all__ = [
    "BYTES_PER_S_PER_MBPS",
    "LONG_WINDOW_S",
    "SHORT_WINDOW_S",
    "EntryControl",
    "EntryState",
    "LinkAdmission",
    "LinkRequest",
    "LinkSample",
    "LinkUsage",
    "ResponseTimes",
    "ZoneHost",
]
