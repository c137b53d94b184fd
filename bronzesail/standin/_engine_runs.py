"""Runs of the model engine stand-in, with text that a test can predict."""

from __future__ import annotations

import asyncio
import enum
import hashlib

import attrs

__all__ = [
    "EngineRun",
    "EngineUsage",
    "RunState",
    "draw_output_tokens",
    "make_answer_text",
    "make_event_text",
]

LABEL_CHARACTERS = 8


class RunState(enum.Enum):
    """State of a run, as the status call names it."""

    QUEUED = "queued"
    RUNNING = "running"
    DONE = "done"
    CANCELLED = "cancelled"
    UNKNOWN = "unknown"


@attrs.frozen
class EngineUsage:
    """Tokens of one run.

    Attributes
    ----------
    prompt_tokens : int
        Tokens of the prompt.
    output_tokens : int
        Tokens generated so far.
    """

    prompt_tokens: int = 0
    output_tokens: int = 0


@attrs.define(eq=False)
class EngineRun:
    """One run on the engine.

    Attributes
    ----------
    request_id : str
        Id that the caller chose.
    prompt : bytes
        Prompt in UTF-8.
    prompt_tokens : int
        Tokens of the prompt.
    output_tokens : int
        Tokens that the whole answer has.
    priority : int
        Priority; a smaller number runs earlier.
    state : RunState
        State of the run.
    n_events : int
        Events generated so far, one token each.
    changed : asyncio.Event
        Set at the next change, then replaced.
    """

    request_id: str
    prompt: bytes
    prompt_tokens: int
    output_tokens: int
    priority: int = 0
    state: RunState = RunState.QUEUED
    n_events: int = 0
    changed: asyncio.Event = attrs.field(factory=asyncio.Event)

    @property
    def is_over(self) -> bool:
        """Whether no further event will come."""
        return self.state in (RunState.DONE, RunState.CANCELLED)

    @property
    def usage(self) -> EngineUsage:
        """Tokens used so far; a run that never started used none."""
        if self.state is RunState.QUEUED:
            return EngineUsage()
        if self.state is RunState.CANCELLED and self.n_events == 0:
            return EngineUsage()
        return EngineUsage(self.prompt_tokens, self.n_events)

    def announce(self) -> None:
        """Wake everything that waits for a change."""
        self.changed.set()
        self.changed = asyncio.Event()


def draw_output_tokens(request_id: str, max_tokens: int) -> int:
    """Return the length of a request's answer.

    Parameters
    ----------
    request_id : str
        Id of the request.
    max_tokens : int
        Output limit, in tokens.

    Returns
    -------
    int
        Between half the limit and the limit, the same for the same request.

    Examples
    --------
    >>> 50 <= draw_output_tokens("a", 100) <= 100
    True
    """
    least = max(1, -(-max_tokens // 2))
    digest = hashlib.blake2b(request_id.encode()).digest()
    return least + int.from_bytes(digest[:4], "big") % (max(1, max_tokens) - least + 1)


def make_event_text(request_id: str, number: int) -> str:
    """Return the text of one event.

    Parameters
    ----------
    request_id : str
        Id of the request.
    number : int
        Number of the event, from 1.

    Returns
    -------
    str
        The text.
    """
    label = hashlib.blake2b(request_id.encode()).hexdigest()[:LABEL_CHARACTERS]
    return f"{label}-{number} "


def make_answer_text(request_id: str, max_tokens: int) -> str:
    """Return the whole answer to a request.

    Parameters
    ----------
    request_id : str
        Id of the request.
    max_tokens : int
        Output limit, in tokens.

    Returns
    -------
    str
        The texts of all events.
    """
    n_events = draw_output_tokens(request_id, max_tokens)
    return "".join(make_event_text(request_id, n + 1) for n in range(n_events))
