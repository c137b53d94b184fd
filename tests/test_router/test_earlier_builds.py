"""Messages and rows of earlier builds, beside which this one runs in an upgrade.

`earlier_builds` holds a sample of each message and row as the build of a commit encodes
it, with all fields set.
"""

from __future__ import annotations

import base64
import json
from pathlib import Path

import msgspec
import pytest

from bronzesail.router import budget_rows, messages, stream_versions, version_claims
from bronzesail.router.decoding import decode_datagram, decode_json
from bronzesail.router.directory import Listing

SAMPLES = Path(__file__).parent / "earlier_builds"
BUILDS = sorted(path.stem for path in SAMPLES.glob("*.json"))
DATAGRAMS = {
    name: getattr(messages, name)
    for name in (
        "Hello", "LimitReports", "ServerFull", "StreamBeginnings", "StreamQuery",
        "StreamReply", "TokenRequest", "TokenTransfer", "TransferConfirmation",
    )
}  # fmt: skip
JSON_TYPES = {
    "AccountRow": budget_rows.AccountRow,
    "CrashReport": messages.CrashReport,
    "HolderRow": budget_rows.HolderRow,
    "Listing": Listing,
    "ReportRow": budget_rows.ReportRow,
    "StreamBeginning": stream_versions.StreamBeginning,
    "_ClaimRow": version_claims._ClaimRow,
}
CASES = [
    (build, name)
    for build in BUILDS
    for name in json.loads((SAMPLES / f"{build}.json").read_text())
]


def read_sample(build, name):
    samples = json.loads((SAMPLES / f"{build}.json").read_text())
    return base64.b64decode(samples[name])


def decode(name, encoded):
    """Return a message or row, as this build reads it."""
    if name in DATAGRAMS:
        return decode_datagram(encoded, msgspec.msgpack.Decoder(DATAGRAMS[name]))
    return decode_json(encoded, JSON_TYPES[name])


def encode(name, value):
    encoder = msgspec.msgpack if name in DATAGRAMS else msgspec.json
    return encoder.encode(value)


def decode_plainly(name, encoded):
    decoder = msgspec.msgpack if name in DATAGRAMS else msgspec.json
    return decoder.decode(encoded)


def find_unreadable(earlier, current, path=""):
    """Yield what a build that wrote `earlier` does not find in `current`."""
    if isinstance(earlier, dict):
        if not isinstance(current, dict):
            yield f"{path} is no object"
            return
        for key, value in earlier.items():
            if key not in current:
                yield f"{path}.{key} is missing"
                continue
            yield from find_unreadable(value, current[key], f"{path}.{key}")
    elif isinstance(earlier, list):
        if not isinstance(current, list) or len(current) < len(earlier):
            yield f"{path} is too short"
            return
        for number, value in enumerate(earlier):
            yield from find_unreadable(value, current[number], f"{path}[{number}]")
    elif type(earlier) is not type(current):
        yield f"{path} has another type"


@pytest.mark.parametrize(("build", "name"), CASES)
def test_this_build_reads_what_an_earlier_one_writes(build, name):
    decode(name, read_sample(build, name))


# Fields may be added, at the end of those that are encoded as lists, and never removed.
@pytest.mark.parametrize(("build", "name"), CASES)
def test_an_earlier_build_reads_what_this_one_writes(build, name):
    sample = read_sample(build, name)
    encoded = encode(name, decode(name, sample))
    unreadable = find_unreadable(
        decode_plainly(name, sample), decode_plainly(name, encoded)
    )
    assert list(unreadable) == []


def test_all_messages_and_rows_of_this_build_have_a_sample():
    newest = json.loads((SAMPLES / "eaa9478.json").read_text())
    assert set(newest) == set(DATAGRAMS) | set(JSON_TYPES)
