"""Renders the configuration as an answers file, and the reference page."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import attrs

from ...settings import list_fields
from ._questions import EFFECTS, SECTIONS

if TYPE_CHECKING:
    from .._state import Configuration

__all__ = ["render_answers", "render_reference", "render_value"]

# Attribute of `Configuration` that stores the entities of each kind of section.
ENTITY_ATTRIBUTES = {
    "region": "regions",
    "service": "services",
    "class": "classes",
    "account": "accounts",
}


def render_answers(configuration: Configuration) -> str:
    """Render the configuration in force as an answers file.

    Parameters
    ----------
    configuration : Configuration
        Configuration in force.

    Returns
    -------
    str
        INI text with the version as ``base_version``, so that the text is refused once
        a later version is in force.
    """
    deployment = configuration.deployment
    lines = _render_section("deployment", deployment, list_section_keys("deployment"))
    lines.insert(-1, f"base_version = {configuration.version}")
    for prefix, attribute in ENTITY_ATTRIBUTES.items():
        for name, entity in getattr(configuration, attribute).items():
            keys = list_section_keys(prefix)
            lines += _render_section(f"{prefix} {name}", entity, keys)
    return "\n".join(lines)


def list_section_keys(prefix: str) -> list[str]:
    """Return the keys of the sections with a title prefix."""
    for kind in SECTIONS:
        if kind.prefix == prefix:
            return [field.name for field in list_fields(kind.answers_type)]
    return []


def _render_section(title: str, entity: Any, keys: list[str]) -> list[str]:
    lines = [f"[{title}]"]
    for field in attrs.fields(type(entity)):
        if field.name not in keys:
            continue
        lines.append(f"{field.name} = {render_value(getattr(entity, field.name))}")
    return [*lines, ""]


def render_value(value: Any) -> str:
    """Format a value as INI text.

    Parameters
    ----------
    value : object
        Boolean, tuple of strings, string or number.

    Returns
    -------
    str
        Text that is parsed to the same value.

    Examples
    --------
    >>> render_value(True), render_value(("a", "b"))
    ('yes', 'a, b')
    """
    if isinstance(value, bool):
        return "yes" if value else "no"
    if isinstance(value, tuple):
        return ", ".join(value)
    return str(value)


def render_reference() -> str:
    """Render the tables of the questionnaire's reference page in Markdown."""
    lines: list[str] = []
    for kind in SECTIONS:
        title = f"{kind.prefix} NAME" if kind.plural else kind.prefix
        lines += [f"## `[{title}]`", "", "| key | default | effect |"]
        lines.append("|---|---|---|")
        for field in list_fields(kind.answers_type):
            has_default = field.default is not attrs.NOTHING
            default = render_value(field.default) if has_default else "required"
            effect = EFFECTS[kind.prefix, field.name]
            lines.append(f"| `{field.name}` | {default or 'empty'} | {effect} |")
        lines.append("")
    return "\n".join(lines)
