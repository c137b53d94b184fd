"""Rows and messages that cannot be read."""

from __future__ import annotations

import msgspec
import pytest

from bronzesail.router.budget_rows import HolderRow
from bronzesail.router.crashing_parts import PartReport
from bronzesail.router.decoding import decode_datagram, decode_json
from bronzesail.router.directory import Listing
from bronzesail.router.messages import Hello, select_leaving

DEPTH = 4_000


# Guards against a RecursionError, which none of the callers expects, from a field that
# a newer version may have: unknown fields are skipped, however deep they are.
@pytest.mark.parametrize("expected_type", [HolderRow, Listing, PartReport])
def test_deeply_nested_json_raises_a_value_error(expected_type):
    for encoded in (b"[" * DEPTH, b'{"later":' + b"[" * DEPTH, b'[1,{"x":' * DEPTH):
        with pytest.raises(ValueError):
            decode_json(encoded, expected_type)


def test_deeply_nested_datagram_raises_a_value_error():
    decoder = msgspec.msgpack.Decoder(Hello)
    for encoded in (b"\x91" * DEPTH, b"\x81\xa5later" + b"\x91" * DEPTH):
        with pytest.raises(ValueError):
            decode_datagram(encoded, decoder)


# Guards against an entry of another writer with a long id, which kept all that came
# after it out of the hellos.
def test_an_item_that_is_too_large_for_a_hello_does_not_keep_others_out():
    leaving = {"x" * 200: 1, "a": 2, "b": 3}
    assert select_leaving(leaving) == {"a": 2, "b": 3}
