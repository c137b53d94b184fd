"""Probe schedule of the neighbours, and the phase of each check under way."""

from __future__ import annotations

import enum
from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from collections.abc import Iterable

__all__ = ["Phase", "ProbeSchedule", "ProbeTarget"]

# A check whose result has not arrived after this time is abandoned.
MAX_CHECK_S = 30.0


class Phase(enum.Enum):
    """Phase of the check of one neighbour."""

    IDLE = "idle"
    PROBING = "probing"
    DIALLING = "dialling"
    CHECKING = "checking"


@attrs.define
class ProbeTarget:
    """A neighbour and the state of its check.

    Attributes
    ----------
    host : str
        Name of the host.
    phase : Phase
        Phase of the check.
    next_at : float
        Monotonic time of the next probe, in seconds.
    started_at : float
        Monotonic time at which the check began, in seconds.
    is_dial_after_probe : bool
        Whether the dial follows an unanswered probe.
    n_failures : int
        Consecutive failed dials.
    n_checks : int
        Pending indirect probes through other routers.
    n_failed_checks : int
        Other routers that reported the neighbour as unreachable.
    """

    host: str
    phase: Phase
    next_at: float
    started_at: float = 0.0
    is_dial_after_probe: bool = False
    n_failures: int = 0
    n_checks: int = 0
    n_failed_checks: int = 0


class ProbeSchedule:
    """Schedule of the checks of the neighbours.

    Parameters
    ----------
    interval_s : float
        Time between probes of one neighbour, in seconds.
    """

    def __init__(self, interval_s: float) -> None:
        self._interval_s = interval_s
        self._targets: dict[str, ProbeTarget] = {}

    @property
    def hosts(self) -> tuple[str, ...]:
        """Hosts of the neighbours."""
        return tuple(self._targets)

    def set_hosts(self, hosts: Iterable[str], now: float) -> None:
        """Replace the neighbours; checks that are under way continue.

        Parameters
        ----------
        hosts : iterable of str
            Hosts of the neighbours.
        now : float
            Monotonic time, in seconds.
        """
        targets: dict[str, ProbeTarget] = {}
        for host in hosts:
            known = self._targets.get(host)
            targets[host] = known or ProbeTarget(host, Phase.IDLE, now)
        for host, target in self._targets.items():
            if target.phase is not Phase.IDLE:
                targets.setdefault(host, target)
        self._targets = targets

    def find(self, host: str) -> ProbeTarget | None:
        """Return a neighbour whose check is under way, or None."""
        target = self._targets.get(host)
        if target is None or target.phase is Phase.IDLE:
            return None
        return target

    def take_due(self, now: float) -> list[ProbeTarget]:
        """Return the neighbours whose probe is due."""
        due = []
        for target in self._targets.values():
            if now - target.started_at > MAX_CHECK_S:
                target.phase = Phase.IDLE
            if target.phase is Phase.IDLE and now >= target.next_at:
                due.append(target)
        return due

    def begin(self, target: ProbeTarget, phase: Phase, now: float) -> None:
        """Begin a check with a probe or a dial."""
        target.phase = phase
        target.started_at = now
        target.is_dial_after_probe = False
        target.n_checks = 0
        target.n_failed_checks = 0

    def finish(self, target: ProbeTarget, now: float, delay_s: float = -1.0) -> None:
        """End a check; the next one follows after the interval or a delay."""
        target.phase = Phase.IDLE
        if delay_s >= 0:
            target.next_at = now + delay_s
            return
        target.next_at = max(now, target.started_at + self._interval_s)

    def succeed(self, target: ProbeTarget, now: float) -> None:
        """End a check that was answered."""
        target.n_failures = 0
        self.finish(target, now)
