"""Decodes rows and messages of other routers, whichever version has written them."""

from __future__ import annotations

from typing import TypeVar

import msgspec

__all__ = ["decode_datagram", "decode_json"]

T = TypeVar("T")


def decode_json(encoded: bytes, expected_type: type[T]) -> T:
    """Return the value that `encoded` holds as JSON.

    Fields that the type does not have are skipped.

    Raises
    ------
    ValueError
        If it is not valid JSON, nested too deeply, or not of the expected type.
    """
    try:
        return msgspec.json.decode(encoded, type=expected_type)
    except (msgspec.DecodeError, RecursionError) as error:
        raise ValueError(str(error)) from error


def decode_datagram(encoded: bytes, decoder: msgspec.msgpack.Decoder[T]) -> T:
    """Return the message that `encoded` holds as MessagePack.

    Raises
    ------
    ValueError
        If it is not valid, nested too deeply, or not of the decoder's type.
    """
    try:
        return decoder.decode(encoded)
    except (msgspec.DecodeError, RecursionError) as error:
        raise ValueError(str(error)) from error
