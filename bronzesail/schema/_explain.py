"""Messages that explain decisions. Generated from explain.json; do not edit."""

from __future__ import annotations

from typing import ClassVar

import attrs

__all__ = ["DecisionEntry", "ExplainReply", "ExplainRequest"]


@attrs.frozen
class DecisionEntry:
    """One decision as it is sent to another router.

    Attributes
    ----------
    host : str
        Entry host that decided.
    at_ms : int
        Wall time, in milliseconds since the epoch.
    part : str
        Part that decided.
    text : str
        One short sentence.
    """

    host: str
    at_ms: int
    part: str
    text: str


@attrs.frozen
class ExplainRequest:
    """Asks a router for its decisions about a subject.

    Attributes
    ----------
    subject : str
        What the decisions are about.
    """

    CODE: ClassVar[int] = 700

    subject: str


@attrs.frozen
class ExplainReply:
    """Decisions of one router.

    Attributes
    ----------
    decisions : tuple[DecisionEntry, ...]
        The decisions, the earliest first.
    """

    CODE: ClassVar[int] = 701

    decisions: tuple[DecisionEntry, ...]
