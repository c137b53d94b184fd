"""Validates configuration changes and describes their effect as text."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import attrs

from ..schema import ConfigurationVersion
from ..schema.codec import CodecError, decode_as
from ._fold import ENTITY_KINDS, SCHEMA_LEVEL, fold_entry

if TYPE_CHECKING:
    from ..schema import ConfigurationChange
    from ._state import Configuration

__all__ = ["describe_changes", "describe_entry", "find_violation"]

# Salt and hash of bearer keys are never printed, only that they changed.
HIDDEN_FIELDS = frozenset({"key_salt", "key_hash"})


def describe_changes(
    configuration: Configuration, changes: tuple[ConfigurationChange, ...]
) -> tuple[str, ...]:
    """Describe the effect of changes, one line per altered field.

    Added entities start with ``+``, removed ones with ``-``, altered fields with
    ``~``. The values of hidden fields are left out.

    Parameters
    ----------
    configuration : Configuration
        Configuration in force.
    changes : tuple of ConfigurationChange
        Changes to compare with it.

    Returns
    -------
    tuple of str
        Lines of text; empty if the changes have no effect.
    """
    lines: list[str] = []
    for change in changes:
        lines += _describe_change(configuration, change)
    return tuple(lines)


def _describe_change(
    configuration: Configuration, change: ConfigurationChange
) -> list[str]:
    label = f"{change.kind} {change.name}"
    old = _find_entity(configuration, change)
    if not change.value:
        return [f"- {label}"] if old is not None else []
    new = decode_as(change.value, ENTITY_KINDS[change.kind].entity_type)
    if old is None:
        return [f"+ {label}: {_describe_fields(new)}"]
    lines = []
    for field in attrs.fields(type(new)):
        old_value, new_value = getattr(old, field.name), getattr(new, field.name)
        if old_value == new_value:
            continue
        if field.name in HIDDEN_FIELDS:
            lines.append(f"~ {label}: {field.name} changed")
            continue
        lines.append(f"~ {label}: {field.name} {old_value!r} -> {new_value!r}")
    return lines


def _describe_fields(entity: Any) -> str:
    assignments = []
    for field in attrs.fields(type(entity)):
        if field.name in HIDDEN_FIELDS or field.name == "name":
            continue
        assignments.append(f"{field.name}={getattr(entity, field.name)!r}")
    return " ".join(assignments)


def _find_entity(configuration: Configuration, change: ConfigurationChange) -> Any:
    """Return the entity that a change refers to, or None if there is none."""
    if change.kind == "deployment":
        return configuration.deployment if configuration.version else None
    entities = getattr(configuration, ENTITY_KINDS[change.kind].attribute)
    return entities.get(change.name)


def describe_entry(entry: ConfigurationVersion) -> str:
    """Summarize a version log entry on one line.

    Parameters
    ----------
    entry : ConfigurationVersion
        Log entry.

    Returns
    -------
    str
        Version, operator and the entities set or removed.
    """
    summaries = []
    for change in entry.changes:
        action = "set" if change.value else "removed"
        summaries.append(f"{change.kind} {change.name} {action}")
    return f"version {entry.version} by {entry.operator}: {', '.join(summaries)}"


def find_violation(
    configuration: Configuration, changes: tuple[ConfigurationChange, ...]
) -> str:
    """Return the first rule that the changes violate, or an empty string.

    Parameters
    ----------
    configuration : Configuration
        Configuration on which the changes are based.
    changes : tuple of ConfigurationChange
        Changes to validate.

    Returns
    -------
    str
        Error message; empty if the changes are valid.
    """
    if not changes:
        return "the list of changes is empty"
    version = configuration.version + 1
    entry = ConfigurationVersion(version, "", SCHEMA_LEVEL, changes)
    try:
        result = fold_entry(configuration, entry)
    except CodecError as error:
        return str(error)
    for change in changes:
        if change.value and _find_entity(result, change) is None:
            return f"{change.kind} {change.name} contains an entity with another name"
    return _find_dangling_reference(result)


def _find_dangling_reference(configuration: Configuration) -> str:
    """Return an error if an open account refers to a missing service or class."""
    for account in configuration.accounts.values():
        if account.is_closed:
            continue
        for service in account.services:
            if service not in configuration.services:
                return f"account {account.name} refers to unknown service {service}"
        if account.default_class not in configuration.classes:
            name = account.default_class
            return f"account {account.name} refers to unknown class {name}"
    return ""
