"""Generates configuration changes, top-ups and bearer keys from answers."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import attrs

from ...schema import (
    AccountAnswers,
    ClientAccount,
    ConfigurationChange,
    Deployment,
    PriorityClass,
    Region,
    ServiceEntry,
    TopUpEntry,
)
from ...util.keys import hash_key, issue_key, make_salt, split_key
from .._difference import describe_changes
from .._fold import ENTITY_KINDS, make_removal_change, make_set_change

if TYPE_CHECKING:
    from .._state import Configuration
    from ._answers import Answers

__all__ = ["GeneratedChanges", "IssuedKey", "generate_changes"]


@attrs.frozen
class IssuedKey:
    """New bearer key in clear text, shown once and never stored.

    Attributes
    ----------
    account : str
        Client account the key belongs to.
    key : str
        Key in the form ``ACCOUNT.SECRET``.
    """

    account: str
    key: str = attrs.field(repr=False)


@attrs.frozen
class GeneratedChanges:
    """Result of comparing the answers with the configuration in force.

    Attributes
    ----------
    base_version : int
        Version on which the changes are based.
    changes : tuple of ConfigurationChange
        Changes against the configuration in force; empty if nothing differs.
    difference : tuple of str
        One line for each field that would change.
    top_ups : tuple of TopUpEntry
        Budgets to create or top up after the changes are in force.
    issued_keys : tuple of IssuedKey
        New bearer keys to show to the operator.
    """

    base_version: int
    changes: tuple[ConfigurationChange, ...]
    difference: tuple[str, ...]
    top_ups: tuple[TopUpEntry, ...]
    issued_keys: tuple[IssuedKey, ...]


def generate_changes(
    answers: Answers, configuration: Configuration
) -> GeneratedChanges:
    """Compare answers with the configuration in force and generate the changes.

    Parameters
    ----------
    answers : Answers
        Validated answers.
    configuration : Configuration
        Configuration in force.

    Returns
    -------
    GeneratedChanges
        Changes ordered so that no entity refers to one that is added later.
    """
    new_keys: list[IssuedKey] = []
    candidates = _list_entities(answers, configuration, new_keys)
    changes = [
        change for change in candidates if _differs(change, configuration)
    ] + _list_removals(answers, configuration)
    base_version = answers.deployment.base_version
    if base_version < 0:
        base_version = configuration.version
    return GeneratedChanges(
        base_version,
        tuple(changes),
        describe_changes(configuration, tuple(changes)),
        _list_top_ups(answers),
        tuple(new_keys),
    )


def _list_entities(
    answers: Answers, configuration: Configuration, new_keys: list[IssuedKey]
) -> list[ConfigurationChange]:
    """Return a change for every entity of the answers, whether it differs or not."""
    changes = [make_set_change("deployment", _make_deployment(answers))]
    for name, region in answers.region.items():
        changes.append(make_set_change("region", Region(name, region.data_centres)))
    for name, service in answers.service.items():
        entry = ServiceEntry(name, **attrs.asdict(service))
        changes.append(make_set_change("service", entry))
    for name, priority_class in answers.class_.items():
        entity = PriorityClass(name, **attrs.asdict(priority_class))
        changes.append(make_set_change("class", entity))
    for name, account in answers.account.items():
        existing = configuration.accounts.get(name)
        client_account = _make_account(name, account, existing, new_keys)
        changes.append(make_set_change("account", client_account))
    return changes


def _make_deployment(answers: Answers) -> Deployment:
    section = answers.deployment
    return Deployment(section.name, section.preference, section.link_bytes_per_s)


def _make_account(
    name: str,
    answers: AccountAnswers,
    existing: ClientAccount | None,
    new_keys: list[IssuedKey],
) -> ClientAccount:
    """Return the account with its present key, or issue a new key.

    A new key is appended to `new_keys`; the account stores only its hash.
    """
    if existing is not None and not answers.replaces_key:
        salt, key_hash = existing.key_salt, existing.key_hash
    else:
        key = issue_key(name)
        new_keys.append(IssuedKey(name, key))
        salt = make_salt()
        key_hash = hash_key(split_key(key)[1], salt)
    return ClientAccount(
        name=name,
        key_salt=salt,
        key_hash=key_hash,
        services=answers.services,
        default_class=answers.default_class,
        is_closed=answers.is_closed,
    )


def _differs(change: ConfigurationChange, configuration: Configuration) -> bool:
    # The first version always sets the deployment, also one that equals the default.
    if change.kind == "deployment" and configuration.version == 0:
        return True
    return bool(describe_changes(configuration, (change,)))


def _list_removals(
    answers: Answers, configuration: Configuration
) -> list[ConfigurationChange]:
    if not answers.deployment.removes_unlisted:
        return []
    removals: list[ConfigurationChange] = []
    # Accounts are removed before the classes and services to which they refer.
    listed: dict[str, Any] = {
        "account": answers.account,
        "class": answers.class_,
        "service": answers.service,
        "region": answers.region,
    }
    for kind, names in listed.items():
        for name in getattr(configuration, ENTITY_KINDS[kind].attribute):
            if name not in names:
                removals.append(make_removal_change(kind, name))
    return removals


def _list_top_ups(answers: Answers) -> tuple[TopUpEntry, ...]:
    top_ups = []
    for title, budget in answers.budget.items():
        account, name = title.split("/")
        top_up = TopUpEntry(account, name, budget.top_up_tokens, budget.top_up_id)
        top_ups.append(top_up)
    return tuple(top_ups)
