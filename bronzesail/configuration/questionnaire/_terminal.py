"""Asks for the answers of the questionnaire interactively."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, Protocol

import attrs

from ...settings import SettingsError, list_fields, load_value
from ._answers import find_name_violation
from ._questions import EFFECTS, SECTIONS, SectionKind
from ._rendering import ENTITY_ATTRIBUTES, render_value

if TYPE_CHECKING:
    from .._state import Configuration

__all__ = ["Prompt", "ask_answers"]


class Prompt(Protocol):
    """Terminal through which the operator answers."""

    def ask(self, question: str, default: str | None) -> str:
        """Ask a question and return the answer.

        Parameters
        ----------
        question : str
            Question, on one line.
        default : str or None
            Answer used for empty input; None if an answer is required.

        Returns
        -------
        str
            Answer of the operator, or the default.
        """

    def show(self, text: str) -> None:
        """Show a line of explanation or an error.

        Parameters
        ----------
        text : str
            Text to show, on one line.
        """


def ask_answers(prompt: Prompt, configuration: Configuration) -> str:
    """Ask every question and return the answers as INI text.

    An invalid answer is rejected at once and the question repeated. Values of the
    configuration in force are offered as defaults.

    Parameters
    ----------
    prompt : Prompt
        Terminal of the operator.
    configuration : Configuration
        Configuration in force.

    Returns
    -------
    str
        INI text for `read_answers_text`.
    """
    lines: list[str] = []
    for kind in SECTIONS:
        names = _ask_names(prompt, kind, configuration) if kind.plural else [""]
        for name in names:
            title = f"{kind.prefix} {name}".strip()
            existing = _find_entity(configuration, kind.prefix, name)
            lines += _ask_section(prompt, kind, title, existing)
    return "\n".join(lines)


def _ask_names(
    prompt: Prompt, kind: SectionKind, configuration: Configuration
) -> list[str]:
    """Ask for the names of a kind of section until all are valid."""
    existing = _list_names(configuration, kind.prefix)
    default = ", ".join(existing)
    while True:
        text = prompt.ask(f"Names of the {kind.plural}, separated by commas", default)
        names = [part.strip() for part in text.split(",") if part.strip()]
        checks = [(name, find_name_violation(kind.prefix, name)) for name in names]
        errors = [f"{name!r} {violation}" for name, violation in checks if violation]
        if not errors:
            return list(dict.fromkeys(names))
        prompt.show("; ".join(errors))


def _list_names(configuration: Configuration, prefix: str) -> list[str]:
    attribute = ENTITY_ATTRIBUTES.get(prefix)
    return list(getattr(configuration, attribute)) if attribute else []


def _find_entity(configuration: Configuration, prefix: str, name: str) -> Any:
    """Return the entity behind a section, or None if there is none yet."""
    if prefix == "deployment":
        return configuration.deployment if configuration.version else None
    attribute = ENTITY_ATTRIBUTES.get(prefix)
    return getattr(configuration, attribute).get(name) if attribute else None


def _ask_section(
    prompt: Prompt, kind: SectionKind, title: str, existing: Any
) -> list[str]:
    """Show the effect of each key, ask for it, and return the section's lines."""
    lines = [f"[{title}]"]
    for field in list_fields(kind.answers_type):
        prompt.show(EFFECTS[kind.prefix, field.name])
        answer = _ask_field(prompt, title, field, existing)
        lines.append(f"{field.name} = {answer}")
    return [*lines, ""]


def _ask_field(prompt: Prompt, title: str, field: Any, existing: Any) -> str:
    """Ask for one key until the answer is valid.

    The default is the value in force, else the default of the key.
    """
    default: str | None = None
    if field.default is not attrs.NOTHING:
        default = render_value(field.default)
    if hasattr(existing, field.name):
        default = render_value(getattr(existing, field.name))
    location = f"[{title}] {field.name}"
    while True:
        answer = prompt.ask(location, default).strip()
        try:
            load_value(answer, field, f"answers: {location}")
        except SettingsError as error:
            prompt.show(str(error))
            continue
        return answer
