"""Decodes JSON objects, and reads typed fields of JSON or TOML objects."""

from __future__ import annotations

import math
from typing import Any

import msgspec

__all__ = [
    "MAX_COLD_S",
    "MalformedError",
    "decode_object",
    "read_address",
    "read_amount",
    "read_entries",
    "read_int",
    "read_map",
    "read_text",
    "read_texts",
]

MAX_COLD_S = 3600.0  # Longer times that a server is cold are malformed.

# JSON numbers up to this one are exact in all implementations (RFC 8259, section 6).
MAX_INT = 2**53 - 1


class MalformedError(ValueError):
    """Raised when a message from the platform lacks a field or has a wrong type."""


def decode_object(encoded: bytes) -> dict[str, Any]:
    """Return the JSON object that `encoded` holds.

    Raises
    ------
    MalformedError
        If it is not valid JSON, nested too deeply, or not an object.
    """
    try:
        fields = msgspec.json.decode(encoded)
    except msgspec.DecodeError as error:
        raise MalformedError(str(error)) from error
    except RecursionError as error:
        raise MalformedError("the JSON is nested too deeply") from error
    if not isinstance(fields, dict):
        raise MalformedError("the JSON is not an object")
    return fields


def read_text(fields: dict[str, Any], name: str) -> str:
    """Return a field that holds a non-empty string."""
    value = fields.get(name)
    if not isinstance(value, str) or not value:
        raise MalformedError(f"{name} is not a non-empty string")
    return value


def read_int(fields: dict[str, Any], name: str, default: int | None = None) -> int:
    """Return a number as an integer, or `default` if the field is missing.

    A fraction is cut off.

    Raises
    ------
    MalformedError
        If it is no number between ``-MAX_INT`` and `MAX_INT`.
    """
    value = fields.get(name, default)
    if isinstance(value, bool) or not isinstance(value, (int, float)):
        raise MalformedError(f"{name} is not a number")
    if not -MAX_INT <= value <= MAX_INT:  # Also True for a NaN.
        raise MalformedError(f"{name} is out of range")
    return int(value)


def read_amount(
    fields: dict[str, Any],
    name: str,
    default: float,
    malformed: list[str],
    max_value: float = math.inf,
) -> float:
    """Return a number of at least 0, or `default` if the field is missing.

    A value that is no such number, or above `max_value`, counts as missing and its name
    is added to `malformed`.
    """
    value = fields.get(name, default)
    if (
        isinstance(value, bool)
        or not isinstance(value, (int, float))
        or not 0 <= value <= min(MAX_INT, max_value)  # Also False for a NaN.
    ):
        malformed.append(name)
        return default
    return float(value)


def read_map(fields: dict[str, Any], name: str) -> dict[str, Any]:
    """Return a field that holds an object."""
    value = fields.get(name)
    if not isinstance(value, dict):
        raise MalformedError(f"{name} is not an object")
    return value


def read_entries(fields: dict[str, Any], name: str) -> list[dict[str, Any]]:
    """Return a list of objects, empty if the field is missing."""
    value = fields.get(name)
    if value is None:
        return []
    if not isinstance(value, list) or not all(isinstance(e, dict) for e in value):
        raise MalformedError(f"{name} is not a list of objects")
    return value


def read_texts(fields: dict[str, Any], name: str) -> tuple[str, ...]:
    """Return a list of strings, empty if the field is missing."""
    value = fields.get(name)
    if value is None:
        return ()
    if not isinstance(value, list) or not all(isinstance(e, str) for e in value):
        raise MalformedError(f"{name} is not a list of strings")
    return tuple(value)


def read_address(text: Any) -> tuple[str, int]:
    """Return the IPv4 address and port of ``IP:PORT``."""
    if not isinstance(text, str):
        raise MalformedError("an address is not a string")
    ip, separator, port = text.rpartition(":")
    parts = ip.split(".")
    if not separator or not port.isdigit() or not 0 < int(port) < 65536:
        raise MalformedError(f"{text!r} is not an address of the form IP:PORT")
    if len(parts) != 4 or not all(p.isdigit() and int(p) < 256 for p in parts):
        raise MalformedError(f"{text!r} is not an address of the form IP:PORT")
    return ip, int(port)
