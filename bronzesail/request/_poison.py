"""Crash counts of request bodies and trial slots for suspects, without I/O.

A body that was running on a backend server when it crashed is a suspect. It then runs
only on trial, and after a second crash it is quarantined: copies of it are refused.
"""

from __future__ import annotations

from collections import OrderedDict

import attrs

from ..schema import RouterId
from ..util.invariants import check_invariant

__all__ = ["PoisonWatch", "Suspicion", "TrialBook"]

# Bounds the memory; the oldest suspects are dropped.
MAX_SUSPECTS = 10_000
# Number of crashes after which a body is quarantined.
MAX_CRASHES = 2


@attrs.define
class Suspicion:
    """Crashes recorded for a suspect body.

    Attributes
    ----------
    backend_servers : list of str
        Backend servers that crashed while they ran the body, one entry per crash.
    last_recorded_at : float
        Monotonic time when the last crash was recorded, in seconds.
    """

    backend_servers: list[str] = attrs.field(factory=list)
    last_recorded_at: float = 0.0

    @property
    def is_quarantined(self) -> bool:
        """Whether copies of the body are refused."""
        return len(self.backend_servers) >= MAX_CRASHES


class PoisonWatch:
    """Counts the backend server crashes in which each body was running."""

    def __init__(self) -> None:
        self._suspects: OrderedDict[bytes, Suspicion] = OrderedDict()

    def is_suspect(self, fingerprint: bytes) -> bool:
        """Return whether a body was running on a backend server that crashed.

        Parameters
        ----------
        fingerprint : bytes
            Hash of the body.

        Returns
        -------
        bool
            Whether the body may run only on trial.
        """
        return fingerprint in self._suspects

    def is_quarantined(self, fingerprint: bytes) -> bool:
        """Return whether copies of a body are refused.

        Parameters
        ----------
        fingerprint : bytes
            Hash of the body.

        Returns
        -------
        bool
            True from the second crash on.
        """
        suspicion = self._suspects.get(fingerprint)
        return suspicion is not None and suspicion.is_quarantined

    def list_backends(self, fingerprint: bytes) -> tuple[str, ...]:
        """Return the backend servers that crashed with a body, one entry per crash."""
        suspicion = self._suspects.get(fingerprint)
        return tuple(suspicion.backend_servers) if suspicion else ()

    def list_quarantined(self) -> tuple[bytes, ...]:
        """Return the fingerprints of the quarantined bodies."""
        items = self._suspects.items()
        return tuple(name for name, entry in items if entry.is_quarantined)

    def note_crash(
        self, fingerprint: bytes, backend_server: str, dispatched_at: float, now: float
    ) -> bool:
        """Record that a backend server crashed while it ran a body.

        Parameters
        ----------
        fingerprint : bytes
            Hash of the body.
        backend_server : str
            Name of the backend server.
        dispatched_at : float
            Monotonic time of the dispatch, in seconds. If it precedes the body's last
            recorded crash and the backend server is listed, the report is taken for
            a crash that is already counted.
        now : float
            Monotonic time, in seconds.

        Returns
        -------
        bool
            Whether the crash was not counted before.
        """
        suspicion = self._suspects.setdefault(fingerprint, Suspicion())
        self._suspects.move_to_end(fingerprint)
        is_known = backend_server in suspicion.backend_servers
        if is_known and dispatched_at < suspicion.last_recorded_at:
            return False
        suspicion.backend_servers.append(backend_server)
        suspicion.last_recorded_at = now
        self._drop_oldest()
        return True

    def merge(
        self, fingerprint: bytes, backend_servers: tuple[str, ...], now: float
    ) -> bool:
        """Merge the crashes of a body that another router or the table recorded.

        Parameters
        ----------
        fingerprint : bytes
            Hash of the body.
        backend_servers : tuple of str
            Backend servers that crashed, one entry per crash.
        now : float
            Monotonic time, in seconds.

        Returns
        -------
        bool
            Whether a crash was added.
        """
        suspicion = self._suspects.setdefault(fingerprint, Suspicion())
        is_changed = False
        for name in dict.fromkeys(backend_servers):
            n_missing = backend_servers.count(name)
            n_missing -= suspicion.backend_servers.count(name)
            if n_missing <= 0:
                continue
            suspicion.backend_servers.extend([name] * n_missing)
            suspicion.last_recorded_at = now
            is_changed = True
        self._drop_oldest()
        return is_changed

    def clear(self, fingerprint: bytes) -> bool:
        """Remove a body from the suspects, after a trial that ran to its end.

        Parameters
        ----------
        fingerprint : bytes
            Hash of the body.

        Returns
        -------
        bool
            Whether the body was a suspect.
        """
        return self._suspects.pop(fingerprint, None) is not None

    def _drop_oldest(self) -> None:
        while len(self._suspects) > MAX_SUSPECTS:
            self._suspects.popitem(last=False)


@attrs.frozen
class _Trial:
    """Trial of a suspect body in progress on a backend server."""

    fingerprint: bytes
    backend_server: str
    router: RouterId
    expires_at: float


class TrialBook:
    """Grants at most one trial per suspect body and per backend server.

    One router of the fleet grants all trials, so the limits hold fleet-wide.

    Parameters
    ----------
    lifetime_s : float
        Time after which a trial expires, in case its router is lost, in seconds.
    """

    def __init__(self, lifetime_s: float) -> None:
        self._lifetime_s = lifetime_s
        self._trials: list[_Trial] = []

    def grant(
        self, fingerprint: bytes, backend_server: str, router: RouterId, now: float
    ) -> bool:
        """Grant a trial unless the body or the backend server already has one.

        Parameters
        ----------
        fingerprint : bytes
            Hash of the suspect body.
        backend_server : str
            Backend server that would run it.
        router : RouterId
            Router that asks for the trial.
        now : float
            Monotonic time, in seconds.

        Returns
        -------
        bool
            Whether the trial is granted.
        """
        self._trials = [trial for trial in self._trials if trial.expires_at > now]
        for trial in self._trials:
            is_same = trial.fingerprint == fingerprint
            if is_same or trial.backend_server == backend_server:
                return False
        expires_at = now + self._lifetime_s
        trial = _Trial(fingerprint, backend_server, router, expires_at)
        self._trials.append(trial)
        names = [trial.backend_server for trial in self._trials]
        check_invariant(len(names) == len(set(names)), "a backend server has one trial")
        return True

    def end(self, fingerprint: bytes, backend_server: str, router: RouterId) -> None:
        """Remove a trial that has ended.

        Parameters
        ----------
        fingerprint : bytes
            Hash of the suspect body.
        backend_server : str
            Backend server that ran the trial.
        router : RouterId
            Router to which the trial was granted.
        """
        self._trials = [
            trial
            for trial in self._trials
            if (trial.fingerprint, trial.backend_server, trial.router)
            != (fingerprint, backend_server, router)
        ]
