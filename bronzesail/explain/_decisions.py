"""Bounded in-memory log of the decisions about each request or budget."""

from __future__ import annotations

from collections import OrderedDict

import attrs

__all__ = ["Decision", "DecisionLog"]

MAX_SUBJECTS = 20_000
MAX_DECISIONS_PER_SUBJECT = 64


@attrs.frozen
class Decision:
    """A decision and its reason.

    Attributes
    ----------
    at_s : float
        Wall-clock time, in seconds since the Unix epoch.
    part : str
        Component that made the decision, such as budget or routing.
    text : str
        The decision and its reason in one short sentence.
    """

    at_s: float
    part: str
    text: str


class DecisionLog:
    """Decisions by subject, with eviction of the least recently updated subjects.

    A subject keeps its first decision and the most recent ones.

    Parameters
    ----------
    max_subjects : int
        Maximum number of subjects.
    """

    def __init__(self, max_subjects: int = MAX_SUBJECTS) -> None:
        self._max_subjects = max_subjects
        self._by_subject: OrderedDict[str, list[Decision]] = OrderedDict()

    def add(self, subject: str, decision: Decision) -> None:
        """Append a decision to a subject.

        Parameters
        ----------
        subject : str
            What the decision concerns, such as ``request/ACCOUNT/KEY`` or
            ``budget/ACCOUNT``.
        decision : Decision
            The decision to append.
        """
        decisions = self._by_subject.setdefault(subject, [])
        self._by_subject.move_to_end(subject)
        decisions.append(decision)
        if len(decisions) > MAX_DECISIONS_PER_SUBJECT:
            del decisions[1]
        while len(self._by_subject) > self._max_subjects:
            self._by_subject.popitem(last=False)

    def find(self, subject: str) -> tuple[Decision, ...]:
        """Return a subject's decisions in chronological order.

        Parameters
        ----------
        subject : str
            What the decisions concern.

        Returns
        -------
        tuple of Decision
            The decisions; empty if the subject is unknown or was evicted.
        """
        return tuple(self._by_subject.get(subject, ()))
