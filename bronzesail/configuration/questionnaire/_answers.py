"""Reads the answers to the configuration questionnaire from INI text.

Each section holds the answers about one entity, such as a service or a client account,
whose kind and name the section title has. The answers, the names and the references
between sections are validated.
"""

from __future__ import annotations

import re
from typing import TYPE_CHECKING, Any

import attrs

from ...schema import (
    AccountAnswers,
    BudgetAnswers,
    ClassAnswers,
    DeploymentAnswers,
    RegionAnswers,
    ServiceAnswers,
)
from ...settings import SettingsError, load_file, load_section, load_text
from ._questions import SECTIONS, find_section_kind

if TYPE_CHECKING:
    import configparser
    from pathlib import Path

    from .._state import Configuration
    from ._questions import SectionKind

__all__ = ["Answers", "find_name_violation", "read_answers", "read_answers_text"]

# A name has 1 to 63 characters.
NAME_PATTERN = re.compile(r"[a-z0-9][a-z0-9._-]{0,62}")
NAME_RULE = (
    "must start with a lower-case letter or digit, followed by up to 62 of "
    "a-z, 0-9, dot, underscore and minus sign"
)


@attrs.frozen
class Answers:
    """Answers of all sections.

    Attributes
    ----------
    deployment : DeploymentAnswers
        Answers for the whole deployment.
    region, service, class_, account, budget : dict
        Answers of each section by the name in its title; `class_` has those about
        priority classes.
    """

    deployment: DeploymentAnswers
    region: dict[str, RegionAnswers] = attrs.field(factory=dict)
    service: dict[str, ServiceAnswers] = attrs.field(factory=dict)
    class_: dict[str, ClassAnswers] = attrs.field(factory=dict)
    account: dict[str, AccountAnswers] = attrs.field(factory=dict)
    budget: dict[str, BudgetAnswers] = attrs.field(factory=dict)


def read_answers(path: Path, configuration: Configuration) -> Answers:
    """Read and validate an answers file.

    Parameters
    ----------
    path : pathlib.Path
        Path of the INI file.
    configuration : Configuration
        Configuration in force, to whose entities the answers may refer.

    Returns
    -------
    Answers
        Validated answers.

    Raises
    ------
    SettingsError
        If an answer is invalid; lists every problem with file, section, key and rule.
    """
    return _check_answers(load_file(path), str(path), configuration)


def read_answers_text(text: str, name: str, configuration: Configuration) -> Answers:
    """Read and validate answers in INI text; see `read_answers`.

    Parameters
    ----------
    text : str
        INI text.
    name : str
        Name of the source, used in error messages.
    configuration : Configuration
        Configuration in force, to whose entities the answers may refer.

    Returns
    -------
    Answers
        Validated answers.

    Raises
    ------
    SettingsError
        If an answer is invalid.
    """
    return _check_answers(load_text(text, name), name, configuration)


def find_name_violation(kind: str, name: str) -> str:
    """Return the rule that a section name violates, or an empty string.

    Parameters
    ----------
    kind : str
        Prefix of the section title, such as ``budget``.
    name : str
        Name in the title, after the prefix.

    Returns
    -------
    str
        Predicate that completes "the name ..."; empty if the name is valid.

    Examples
    --------
    >>> find_name_violation("budget", "summit/main")
    ''
    >>> find_name_violation("budget", "summit")
    'must be ACCOUNT/NAME'
    """
    parts = name.split("/") if kind == "budget" else [name]
    if kind == "budget" and len(parts) != 2:
        return "must be ACCOUNT/NAME"
    for part in parts:
        if not NAME_PATTERN.fullmatch(part):
            return NAME_RULE
    return ""


def _check_answers(
    parser: configparser.ConfigParser, source: str, configuration: Configuration
) -> Answers:
    problems: list[str] = []
    sections: dict[str, dict[str, Any]] = {kind.prefix: {} for kind in SECTIONS}
    for title in parser.sections():
        try:
            kind, name = _split_title(source, title)
            section = load_section(parser, source, title, kind.answers_type)
            sections[kind.prefix][name] = section
        except SettingsError as error:
            problems += error.problems
    deployment = sections["deployment"].get("")
    if deployment is None and not parser.has_section("deployment"):
        problems.append(f"{source}: [deployment] name: is missing and has no default")
    if problems or deployment is None:
        raise SettingsError(tuple(problems))
    answers = Answers(
        deployment,
        sections["region"],
        sections["service"],
        sections["class"],
        sections["account"],
        sections["budget"],
    )
    problems = _find_problems(answers, source, configuration)
    if problems:
        raise SettingsError(tuple(problems))
    return answers


def _split_title(source: str, title: str) -> tuple[SectionKind, str]:
    """Split a section title into its kind and name, and validate both."""
    prefix, _, name = title.partition(" ")
    name = name.strip()
    kind = find_section_kind(prefix)
    if kind is None:
        prefixes = ", ".join(kind.prefix for kind in SECTIONS)
        raise SettingsError(
            (f"{source}: [{title}]: must start with one of {prefixes}",)
        )
    # Kinds without a plural occur once and have no name, such as ``deployment``.
    if not kind.plural:
        if name:
            raise SettingsError((f"{source}: [{title}]: this section has no name",))
        return kind, ""
    violation = find_name_violation(prefix, name)
    if violation:
        raise SettingsError((f"{source}: [{title}]: its name {violation}",))
    return kind, name


def _find_problems(
    answers: Answers, source: str, configuration: Configuration
) -> list[str]:
    """Return an error for each reference to an undefined entity.

    Entities in force count as defined unless unlisted ones are removed.
    """
    keeps_unlisted = not answers.deployment.removes_unlisted
    services = set(answers.service)
    classes = set(answers.class_)
    accounts = set(answers.account)
    if keeps_unlisted:
        services |= set(configuration.services)
        classes |= set(configuration.classes)
        accounts |= set(configuration.accounts)
    problems = _find_region_problems(answers, source)
    for name, account in answers.account.items():
        location = f"{source}: [account {name}]"
        for service in account.services:
            if service not in services:
                problems.append(
                    f"{location} services: {service!r} is not a defined service"
                )
        if account.default_class not in classes:
            text = f"{account.default_class!r} is not a defined priority class"
            problems.append(f"{location} default_class: {text}")
    for name in answers.budget:
        account_name = name.split("/")[0]
        if account_name not in accounts:
            location = f"{source}: [budget {name}]"
            problems.append(
                f"{location}: {account_name!r} is not a defined client account"
            )
    return problems


def _find_region_problems(answers: Answers, source: str) -> list[str]:
    """Return an error for each data centre with a bad name or in two regions."""
    problems: list[str] = []
    region_by_data_centre: dict[str, str] = {}
    for name, region in answers.region.items():
        location = f"{source}: [region {name}] data_centres"
        for data_centre in region.data_centres:
            if not NAME_PATTERN.fullmatch(data_centre):
                problems.append(f"{location}: {data_centre!r} {NAME_RULE}")
            if data_centre in region_by_data_centre:
                other = region_by_data_centre[data_centre]
                text = f"{data_centre!r} already belongs to region {other}"
                problems.append(f"{location}: {text}")
            region_by_data_centre[data_centre] = name
    return problems
