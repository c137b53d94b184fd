"""Encode messages and rows as CBOR arrays, and decode them.

A message is the array ``[code, field, ...]`` in the order of its schema. A reader
drops fields it does not know and takes the defaults of fields that are missing, so
programs of neighbouring versions understand each other.
"""

from __future__ import annotations

import operator
from collections.abc import Callable
from typing import Any, TypeVar, get_args, get_origin

import attrs
import cbor2

from . import _messages
from ._checks import make_checker

__all__ = ["CodecError", "decode", "decode_as", "encode"]

M = TypeVar("M")

PLAIN_TYPES = (str, bytes, bool)

Reader = Callable[[Any], Any]
Writer = Callable[[Any], list[Any]]


class CodecError(ValueError):
    """Raised for bytes that are not a known message."""


def encode(message: Any) -> bytes:
    """Return a message's CBOR bytes.

    Parameters
    ----------
    message : object
        Instance of a generated class that has a code.

    Returns
    -------
    bytes
        The encoded message.

    Examples
    --------
    >>> from bronzesail.schema import Acknowledgement
    >>> decode(encode(Acknowledgement()))
    Acknowledgement()
    """
    return cbor2.dumps([message.CODE, *_write(message)])


def decode(data: bytes) -> Any:
    """Return the message that CBOR bytes hold.

    Parameters
    ----------
    data : bytes
        The encoded message.

    Returns
    -------
    object
        Instance of a generated class.

    Raises
    ------
    CodecError
        If the bytes are not a message that this program knows.
    """
    try:
        content = cbor2.loads(data)
    except Exception as error:
        raise CodecError(f"not CBOR: {error}") from error
    if not isinstance(content, list) or not content:
        raise CodecError("not a message: no array")
    if not isinstance(content[0], int):
        raise CodecError("not a message: no code")
    message_type = _messages.BY_CODE.get(content[0])
    if message_type is None:
        raise CodecError(f"unknown message code {content[0]}")
    return _structure(content[1:], message_type)


def decode_as(data: bytes, message_type: type[M]) -> M:
    """Return the message that CBOR bytes hold, checking its class.

    Parameters
    ----------
    data : bytes
        The encoded message.
    message_type : type
        Class the message must have.

    Returns
    -------
    object
        Instance of `message_type`.

    Raises
    ------
    CodecError
        If the bytes are not a message of that class.
    """
    message = decode(data)
    if not isinstance(message, message_type):
        raise CodecError(f"not a {message_type.__name__}")
    return message


def _write(message: Any) -> list[Any]:
    writer = _find_writer(type(message))
    if writer is None:
        raise CodecError(f"not a message: {type(message).__name__}")
    return writer(message)


def _structure(fields: list[Any], message_type: type[M]) -> M:
    message: M = _find_reader(message_type)(fields)
    return message


_writers: dict[Any, Writer | None] = {}
_readers: dict[Any, Reader] = {}


def _find_writer(expected: Any) -> Writer | None:
    """Return the function that makes nested lists of a type; None for scalars."""
    if expected not in _writers:
        _writers[expected] = _make_writer(expected)
    return _writers[expected]


def _make_writer(expected: Any) -> Writer | None:
    if get_origin(expected) is tuple:
        return _make_array_writer(get_args(expected)[0])
    if attrs.has(expected):
        return _make_message_writer(expected)
    return None


def _make_array_writer(item_type: Any) -> Writer:
    write_item = _find_writer(item_type)
    if write_item is None:
        return list
    return lambda value: [write_item(item) for item in value]


def _make_message_writer(message_type: type[Any]) -> Writer:
    fields = attrs.fields(attrs.resolve_types(message_type))
    names = [field.name for field in fields]
    if len(names) < 2:
        return lambda message: _write_fields(message, fields)
    get_values = operator.attrgetter(*names)
    nested = [
        (index, writer)
        for index, field in enumerate(fields)
        if (writer := _find_writer(field.type)) is not None
    ]

    def write(message: Any) -> list[Any]:
        values = list(get_values(message))
        for index, write_field in nested:
            values[index] = write_field(values[index])
        return values

    return write


def _write_fields(message: Any, fields: tuple[Any, ...]) -> list[Any]:
    values = []
    for field in fields:
        value = getattr(message, field.name)
        writer = _find_writer(field.type)
        values.append(value if writer is None else writer(value))
    return values


def _find_reader(expected: Any) -> Reader:
    """Return the function that checks and builds values of a type."""
    reader = _readers.get(expected)
    if reader is None:
        reader = _make_reader(expected)
        _readers[expected] = reader
    return reader


def _make_reader(expected: Any) -> Reader:
    if get_origin(expected) is tuple:
        return _make_array_reader(get_args(expected)[0])
    if attrs.has(expected):
        return _make_message_reader(expected)
    return _make_scalar_reader(expected)


def _make_scalar_reader(expected: type[Any]) -> Reader:
    check = make_checker(expected)

    def read(value: Any) -> Any:
        check(value, expected.__name__)
        return float(value) if expected is float else value

    return read


def _make_array_reader(item_type: Any) -> Reader:
    read_item = _find_reader(item_type)

    def read(value: Any) -> Any:
        if type(value) is not list:
            raise CodecError("not an array")
        return tuple([read_item(item) for item in value])

    return read


def _make_message_reader(message_type: type[Any]) -> Reader:
    fields = attrs.fields(attrs.resolve_types(message_type))
    readers = [_find_reader(attribute.type) for attribute in fields]
    names = [attribute.name for attribute in fields]
    plain_types = [
        field.type if field.type in PLAIN_TYPES else None for field in fields
    ]
    n_required = sum(1 for field in fields if field.default is attrs.NOTHING)

    def read(value: Any) -> Any:
        if type(value) is not list:
            raise CodecError(f"malformed {message_type.__name__}: no array")
        if len(value) < n_required:
            raise CodecError(f"malformed {message_type.__name__}: fields are missing")
        built = []
        for name, plain, read_field, item in zip(
            names, plain_types, readers, value, strict=False
        ):
            if type(item) is plain:
                built.append(item)
                continue
            try:
                built.append(read_field(item))
            except ValueError as error:
                where = f"{message_type.__name__}.{name}"
                raise CodecError(f"malformed {where}: {error}") from error
        return message_type(*built)

    return read
