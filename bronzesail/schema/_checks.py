"""Checks of decoded CBOR values against the types of generated classes."""

from __future__ import annotations

import functools
import math
import typing
from collections.abc import Callable
from typing import Any

import attrs

__all__ = ["MismatchError", "check_fields", "make_checker"]

GREATEST_INTEGER = 2**63 - 1

Checker = Callable[[Any, str], None]

_checkers: dict[type[Any], tuple[tuple[str, Checker], ...]] = {}


class MismatchError(ValueError):
    """Raised for a value that does not have its field's type."""


def check_fields(values: list[Any], message_type: type[Any]) -> None:
    """Raise if a value does not have the type of its field.

    Parameters
    ----------
    values : list
        Decoded values, in the order of the fields; there may be fewer or more.
    message_type : type
        Generated class.

    Raises
    ------
    MismatchError
        If a value is of another type, or a number out of range.
    """
    for (name, check), value in zip(_list_checkers(message_type), values, strict=False):
        check(value, name)


def _list_checkers(message_type: type[Any]) -> tuple[tuple[str, Checker], ...]:
    known = _checkers.get(message_type)
    if known is not None:
        return known
    attrs.resolve_types(message_type)
    checkers = tuple(
        (f"{message_type.__name__}.{field.name}", make_checker(field.type))
        for field in attrs.fields(message_type)
    )
    _checkers[message_type] = checkers
    return checkers


def make_checker(expected: Any) -> Checker:
    """Return the function that raises unless a value has a type."""
    if expected is int:
        return _check_integer
    if expected is float:
        return _check_number
    if expected in (str, bytes, bool):
        return functools.partial(_check_scalar, expected)
    if attrs.has(expected):
        return functools.partial(_check_message, expected)
    item_type, _ = typing.get_args(expected)
    return functools.partial(_check_items, make_checker(item_type))


def _check_integer(value: Any, name: str) -> None:
    if type(value) is not int or abs(value) > GREATEST_INTEGER:
        raise MismatchError(f"{name} is not an integer of 64 bits")


def _check_number(value: Any, name: str) -> None:
    if type(value) not in (int, float) or not math.isfinite(value):
        raise MismatchError(f"{name} is not a finite number")


def _check_scalar(expected: type[Any], value: Any, name: str) -> None:
    if type(value) is not expected:
        raise MismatchError(f"{name} is not {expected.__name__}")


def _check_message(message_type: type[Any], value: Any, name: str) -> None:
    if type(value) is not list:
        raise MismatchError(f"{name} is not an array")
    check_fields(value, message_type)


def _check_items(check: Checker, value: Any, name: str) -> None:
    if type(value) is not list:
        raise MismatchError(f"{name} is not an array")
    for item in value:
        check(item, name)
