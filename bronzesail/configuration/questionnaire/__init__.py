"""Converts questionnaire answers to configuration changes, top-ups and bearer keys."""

from __future__ import annotations

from ._answers import Answers, read_answers, read_answers_text
from ._generation import GeneratedChanges, IssuedKey, generate_changes
from ._rendering import render_answers, render_reference
from ._terminal import Prompt, ask_answers

__all__ = [
    "Answers",
    "GeneratedChanges",
    "IssuedKey",
    "Prompt",
    "ask_answers",
    "generate_changes",
    "read_answers",
    "read_answers_text",
    "render_answers",
    "render_reference",
]
