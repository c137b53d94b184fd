"""Encodes configuration entities as changes and folds changes into a state."""

from __future__ import annotations

from typing import Any

import attrs

from ..schema import (
    ClientAccount,
    ConfigurationChange,
    ConfigurationVersion,
    Deployment,
    PriorityClass,
    Region,
    ServiceEntry,
)
from ..schema.codec import CodecError, decode_as, encode
from ._state import Configuration

__all__ = [
    "ENTITY_KINDS",
    "SCHEMA_LEVEL",
    "fold_changes",
    "fold_entry",
    "list_changes",
    "make_removal_change",
    "make_set_change",
]

# Format of the entities. A router does not apply entries of a higher level than its
# program supports, so that it never misreads a newer format.
SCHEMA_LEVEL = 1


@attrs.frozen
class EntityKind:
    """Type and location of one kind of entity.

    Attributes
    ----------
    entity_type : type
        Class of the entities, generated from the schema.
    attribute : str
        Attribute of `Configuration` that stores them.
    """

    entity_type: type[Any]
    attribute: str


ENTITY_KINDS: dict[str, EntityKind] = {
    "deployment": EntityKind(Deployment, "deployment"),
    "region": EntityKind(Region, "regions"),
    "service": EntityKind(ServiceEntry, "services"),
    "class": EntityKind(PriorityClass, "classes"),
    "account": EntityKind(ClientAccount, "accounts"),
}


def make_set_change(kind: str, entity: Any) -> ConfigurationChange:
    """Return the change that adds or replaces an entity.

    Parameters
    ----------
    kind : str
        Kind of the entity, a key of `ENTITY_KINDS`.
    entity : object
        Entity of that kind.

    Returns
    -------
    ConfigurationChange
        Change with the encoded entity as its value.

    Examples
    --------
    >>> make_set_change("class", PriorityClass("tag", 3)).name
    'tag'
    """
    return ConfigurationChange(kind, entity.name, encode(entity))


def make_removal_change(kind: str, name: str) -> ConfigurationChange:
    """Return the change that removes an entity.

    Parameters
    ----------
    kind : str
        Kind of the entity, a key of `ENTITY_KINDS`.
    name : str
        Name of the entity.

    Returns
    -------
    ConfigurationChange
        Change with an empty value.
    """
    return ConfigurationChange(kind, name)


def fold_entry(
    configuration: Configuration, entry: ConfigurationVersion
) -> Configuration:
    """Return the configuration after one entry of the log.

    Parameters
    ----------
    configuration : Configuration
        State before the entry.
    entry : ConfigurationVersion
        Log entry to apply.

    Returns
    -------
    Configuration
        State at the entry's version.

    Raises
    ------
    CodecError
        If a change has an unknown kind or a value that cannot be decoded.
    """
    for change in entry.changes:
        configuration = _fold_change(configuration, change)
    return attrs.evolve(configuration, version=entry.version)


def _fold_change(
    configuration: Configuration, change: ConfigurationChange
) -> Configuration:
    kind = ENTITY_KINDS.get(change.kind)
    if kind is None:
        raise CodecError(f"unknown entity kind {change.kind!r}")
    if change.kind == "deployment":
        deployment = decode_as(change.value, Deployment)
        return attrs.evolve(configuration, deployment=deployment)
    entities = dict(getattr(configuration, kind.attribute))
    if change.value:
        entities[change.name] = decode_as(change.value, kind.entity_type)
    else:
        entities.pop(change.name, None)
    updates: dict[str, Any] = {kind.attribute: entities}
    return attrs.evolve(configuration, **updates)


def list_changes(configuration: Configuration) -> tuple[ConfigurationChange, ...]:
    """Return the changes that build this configuration from an empty one.

    Parameters
    ----------
    configuration : Configuration
        Configuration to encode.

    Returns
    -------
    tuple of ConfigurationChange
        One change for each entity, the deployment first.
    """
    changes = [make_set_change("deployment", configuration.deployment)]
    for name, kind in ENTITY_KINDS.items():
        if name == "deployment":
            continue
        for entity in getattr(configuration, kind.attribute).values():
            changes.append(make_set_change(name, entity))
    return tuple(changes)


def fold_changes(
    version: int, changes: tuple[ConfigurationChange, ...]
) -> Configuration:
    """Build a configuration by applying changes to an empty one.

    Parameters
    ----------
    version : int
        Version of the result.
    changes : tuple of ConfigurationChange
        Changes as returned by `list_changes`.

    Returns
    -------
    Configuration
        Resulting configuration.

    Raises
    ------
    CodecError
        If a change has an unknown kind or a value that cannot be decoded.
    """
    entry = ConfigurationVersion(version, "", SCHEMA_LEVEL, changes)
    return fold_entry(Configuration(), entry)
