"""Data centres that operators have evacuated: no request is sent to servers there.

Operators write and remove a row in the store. Routers that follow the store read it,
and pass on what they know with the version of the store that it is from; the newest
version holds. After a restore of the store the known state holds until a router has
read the table in the new era.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import attrs
import msgspec

from ...model import StoreVersion
from ...platform import decode_evacuation_key

if TYPE_CHECKING:
    from collections.abc import Callable, Collection, Iterable

    from ...model import RowsAnswer
    from ..log import Log

__all__ = ["EvacuationReport", "Evacuations"]

# For which a report that an evacuation was reverted is repeated.
REVERTED_NOTICE_S = 30.0
# A process that has not read the rows accepts no requests for this long. Other routers
# repeat their reports with each hello, every 0.4 s.
MAX_UNREAD_S = 1.0
# Unknown data centres that are remembered, so that each is logged once.
MAX_IGNORED = 100


class EvacuationReport(msgspec.Struct, frozen=True, array_like=True):
    """Whether a data centre is evacuated, as routers report it.

    Attributes
    ----------
    zone : str
        The data centre.
    is_evacuated : bool
        Whether no request may be sent to servers there.
    version : StoreVersion
        Version of the store that this is from.
    age_s : float or None
        Time since that became so; None if it has been so since a router started.
    """

    zone: str
    is_evacuated: bool
    version: StoreVersion
    age_s: float | None = None


@attrs.frozen
class _State:
    """The newest report on a data centre, and when its state last changed."""

    report: EvacuationReport
    changed_at: float  # ``-inf`` if it has been so since this router started.


class Evacuations:
    """The evacuated data centres, as far as this router knows.

    Parameters
    ----------
    now : callable
        Returns the seconds of a monotonic clock.
    zones : collection of str
        The data centres that exist. Reports on others are ignored.
    log : Log
        Log for changes and ignored reports.

    Attributes
    ----------
    zones : collection of str
        As the parameter; replaced when the settings file changes.
    """

    def __init__(
        self, now: Callable[[], float], zones: Collection[str], log: Log
    ) -> None:
        self._now = now
        self.zones = zones
        self._log = log
        self._listeners: list[Callable[[], None]] = []
        self._states: dict[str, _State] = {}
        self._ignored: set[str] = set()
        self._unread_until = now() + MAX_UNREAD_S

    def subscribe(self, listener: Callable[[], None]) -> None:
        """Call `listener` after data centres were evacuated or taken back."""
        self._listeners.append(listener)

    @property
    def is_known(self) -> bool:
        """Whether the evacuated data centres are known, or expected to be by now."""
        return self._now() >= self._unread_until

    def note_read(self) -> None:
        """Record that the rows, or what a router knows that has read them, arrived."""
        self._unread_until = -math.inf

    def note_answer(self, answer: RowsAnswer, *, is_whole: bool) -> None:
        """Record the rows of an answer of the store.

        Parameters
        ----------
        answer : RowsAnswer
            Rows of the table that operators write.
        is_whole : bool
            Whether these are all rows of the table, not changes only.
        """
        reports: list[EvacuationReport] = []
        number = answer.version.number
        # Backwards: a removal without a version precedes the rows after it.
        for row in reversed(answer.rows):
            if row.version:
                number = min(row.version, answer.version.number)
            zone = decode_evacuation_key(row.key)
            if zone is not None:
                version = StoreVersion(answer.version.era, number)
                reports.append(EvacuationReport(zone, not row.is_removed, version))
        reports.reverse()
        if is_whole:
            present = {report.zone for report in reports}
            # All others, so that late reports of earlier states have no effect.
            reports += [
                EvacuationReport(zone, False, answer.version)
                for zone in self.zones
                if zone not in present
            ]
            self.note_read()
        self.merge(reports, "store")

    def merge(self, reports: Iterable[EvacuationReport], source: str) -> None:
        """Record reports, and tell the listeners if any of them changes the state.

        Parameters
        ----------
        reports : iterable of EvacuationReport
            What the store or another router reports.
        source : str
            Who reports it, for the log.
        """
        changes = [self._note(report, source) for report in reports]
        if not any(changes):
            return
        for listener in self._listeners:
            listener()

    def _note(self, report: EvacuationReport, source: str) -> bool:
        """Record a report unless a newer one is known; return whether it is a change.

        Of two reports of the same version, which the store does not give out twice,
        the one that the data centre is evacuated holds.
        """
        if report.zone not in self.zones:
            self._log_ignored(report.zone, source)
            return False
        known = self._states.get(report.zone)
        if known is not None and _rank(report) <= _rank(known.report):
            return False
        if known is not None and known.report.is_evacuated == report.is_evacuated:
            self._states[report.zone] = _State(report, known.changed_at)
            return False
        if known is None and not report.is_evacuated and report.age_s is None:
            self._states[report.zone] = _State(report, -math.inf)
            return False
        changed_at = self._now() - max(0.0, report.age_s or 0.0)
        self._states[report.zone] = _State(report, changed_at)
        state = "evacuated" if report.is_evacuated else "taken back"
        self._log.write(
            f"evacuation: data centre {state}",
            zone=report.zone,
            source=source,
            era=report.version.era,
            version=report.version.number,
        )
        return True

    def _log_ignored(self, zone: str, source: str) -> None:
        """Log a data centre that does not exist, once."""
        if zone in self._ignored or len(self._ignored) >= MAX_IGNORED:
            return
        self._ignored.add(zone)
        self._log.write(
            "evacuation: unknown data centre ignored", zone=zone[:100], source=source
        )

    def is_evacuated(self, zone: str) -> bool:
        """Whether no request may be sent to servers of a data centre."""
        state = self._states.get(zone)
        return state is not None and state.report.is_evacuated

    def list_evacuated(self) -> list[str]:
        """Return the evacuated data centres."""
        return [zone for zone in self._states if self.is_evacuated(zone)]

    def get_taken_back_at(self, zone: str) -> float:
        """Return when the evacuation of a data centre was reverted.

        This is ``-inf`` if it never was, or if it is evacuated.
        """
        state = self._states.get(zone)
        if state is None or state.report.is_evacuated:
            return -math.inf
        return state.changed_at

    def list_reports(self, *, include_all: bool = False) -> list[EvacuationReport]:
        """Return what is to be passed on to other routers.

        These are the evacuations in effect and those reverted lately, and with
        `include_all` all that are known.
        """
        since = self._now() - REVERTED_NOTICE_S
        return [
            self._make_report(state)
            for state in self._states.values()
            if include_all or state.report.is_evacuated or state.changed_at > since
        ]

    def _make_report(self, state: _State) -> EvacuationReport:
        """Return a known state with its age."""
        age_s = self._now() - state.changed_at
        return msgspec.structs.replace(
            state.report, age_s=None if math.isinf(age_s) else round(age_s, 3)
        )

    def list_newer(self, reports: Iterable[EvacuationReport]) -> list[EvacuationReport]:
        """Return the known state of data centres that reports are outdated on."""
        known = [
            (self._states[report.zone], report)
            for report in reports
            if report.zone in self._states
        ]
        return [
            self._make_report(state)
            for state, report in known
            if state.report.is_evacuated != report.is_evacuated
            and _rank(state.report) > _rank(report)
        ]


def _rank(report: EvacuationReport) -> tuple[StoreVersion, bool]:
    """Return a key by which the report that holds is the greatest."""
    return report.version, report.is_evacuated
