"""Read INI sections into attrs classes; errors name file, section, key and rule."""

from __future__ import annotations

import configparser
import difflib
import os
from typing import TYPE_CHECKING, Any, TypeVar

import attrs

if TYPE_CHECKING:
    from pathlib import Path

__all__ = ["SettingsError", "load_file", "load_section", "load_text", "load_value"]

S = TypeVar("S")

ENVIRONMENT_PREFIX = "env:"


class SettingsError(ValueError):
    """Raised for settings that break a rule.

    Parameters
    ----------
    problems : tuple of str
        One sentence a problem; each names file, section, key and rule.
    """

    def __init__(self, problems: tuple[str, ...]) -> None:
        super().__init__("\n".join(problems))
        self.problems = problems


def load_file(path: Path) -> configparser.ConfigParser:
    """Parse an INI file.

    Parameters
    ----------
    path : pathlib.Path
        The file.

    Returns
    -------
    configparser.ConfigParser
        Its sections.

    Raises
    ------
    SettingsError
        If the file cannot be read or parsed.
    """
    try:
        text = path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise SettingsError((f"{path}: cannot be read: {error}",)) from error
    return load_text(text, str(path))


def load_text(text: str, name: str) -> configparser.ConfigParser:
    """Parse INI text.

    Parameters
    ----------
    text : str
        The text.
    name : str
        Name of its file, for errors.

    Returns
    -------
    configparser.ConfigParser
        Its sections.

    Raises
    ------
    SettingsError
        If it is not valid INI.
    """
    parser = configparser.ConfigParser(interpolation=None)
    try:
        parser.read_string(text, name)
    except configparser.Error as error:
        sentence = " ".join(str(error).split())
        raise SettingsError((f"{name}: not valid INI: {sentence}",)) from error
    return parser


def load_section(
    parser: configparser.ConfigParser, name: str, section: str, settings: type[S]
) -> S:
    """Return one section as an attrs object.

    Parameters
    ----------
    parser : configparser.ConfigParser
        The parsed file.
    name : str
        Name of the file, for errors.
    section : str
        Name of the section; if it is missing, every key takes its default.
    settings : type
        attrs class with one field a key.

    Returns
    -------
    object
        Instance of `settings`.

    Raises
    ------
    SettingsError
        If a key is missing, unknown, malformed or out of its range.
    """
    fields = {field.name: field for field in list_fields(settings)}
    texts = dict(parser[section]) if parser.has_section(section) else {}
    problems = _find_unknown_keys(texts, list(fields), f"{name}: [{section}]")
    values: dict[str, Any] = {}
    for key, field in fields.items():
        where = f"{name}: [{section}] {key}"
        if key not in texts:
            if field.default is attrs.NOTHING:
                problems.append(f"{where}: is missing and has no default")
            continue
        try:
            values[key] = load_value(texts[key], field, where)
        except SettingsError as error:
            problems += error.problems
    if problems:
        raise SettingsError(tuple(problems))
    return settings(**values)


def load_value(text: str, field: attrs.Attribute[Any], where: str) -> Any:
    """Return the value of one key.

    Parameters
    ----------
    text : str
        Text of the value.
    field : attrs.Attribute
        Field that it fills, with its type and rules.
    where : str
        File, section and key, for errors.

    Returns
    -------
    object
        The value.

    Raises
    ------
    SettingsError
        If it is malformed or out of its range.
    """
    try:
        value = _parse_value(text, field.type)
        _validate(field, value)
    except ValueError as error:
        raise SettingsError((f"{where}: {error}",)) from error
    return value


def list_fields(settings: type[Any]) -> tuple[Any, ...]:
    """Return the fields of an attrs class, with their types resolved.

    Parameters
    ----------
    settings : type
        attrs class.

    Returns
    -------
    tuple of attrs.Attribute
        The fields.
    """
    attrs.resolve_types(settings)
    return tuple(attrs.fields(settings))


def _find_unknown_keys(
    texts: dict[str, str], known: list[str], where: str
) -> list[str]:
    problems: list[str] = []
    for key in texts:
        if key in known:
            continue
        close = difflib.get_close_matches(key, known, n=1)
        advice = f"; did you mean {close[0]}?" if close else ""
        problems.append(f"{where} {key}: is not a known key{advice}")
    return problems


def _parse_value(text: str, value_type: Any) -> Any:
    if text.startswith(ENVIRONMENT_PREFIX):
        text = _read_environment(text.removeprefix(ENVIRONMENT_PREFIX))
    if value_type is bool:
        return _parse_boolean(text)
    if value_type is int:
        return _parse_number(text, int, "a whole number")
    if value_type is float:
        return _parse_number(text, float, "a number")
    if value_type == tuple[str, ...]:
        return tuple(part.strip() for part in text.split(",") if part.strip())
    return text


def _read_environment(variable: str) -> str:
    value = os.environ.get(variable)
    if value is None:
        raise ValueError(f"environment variable {variable} is not set")
    return value


def _parse_boolean(text: str) -> bool:
    state = configparser.ConfigParser.BOOLEAN_STATES.get(text.lower())
    if state is None:
        raise ValueError(f"must be yes or no, not {text!r}")
    return state


def _parse_number(text: str, number_type: type[Any], what: str) -> Any:
    try:
        return number_type(text)
    except ValueError:
        raise ValueError(f"must be {what}, not {text!r}") from None


def _validate(field: Any, value: Any) -> None:
    if field.validator is None:
        return
    try:
        field.validator(None, field, value)
    except (ValueError, TypeError) as error:
        sentence = str(error.args[0]).replace(f"'{field.name}' ", "")
        raise ValueError(sentence) from error
