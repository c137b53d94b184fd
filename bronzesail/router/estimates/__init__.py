"""Estimates when servers of uneven speed respond, without performing I/O."""

from __future__ import annotations

from ._head_wait import RECHECK_S, HeadWait
from ._server_speed import ServerSpeed
from ._start_times import Claim, StartTimes

__all__ = ["RECHECK_S", "Claim", "HeadWait", "ServerSpeed", "StartTimes"]
