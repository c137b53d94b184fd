"""The platform adapter: decoding, encoding and rejection of malformed messages."""

from __future__ import annotations

import json

import hypothesis.strategies as st
import pytest
from hypothesis import given

from bronzesail.errors import Refusal, ResultCode
from bronzesail.model import RequestKind, RowCheck, RowKey, RowWrite
from bronzesail.platform import (
    AnswerHeadReader,
    StoreWire,
    decode_configuration,
    decode_server,
    decode_settings,
    encode_forwarded_head,
    encode_refusal_head,
    read_request_head,
)
from tests.platform_standin import make_configuration

ENTRY = {
    "service": "s",
    "address": "10.1.2.3:80",
    "zone": "z1",
    "version": "v1",
    "slots": 4,
    "state": "ready",
    "coldLeftMs": 1500,
    "sequence": 1,
    "born": 1772000000000,
}
JSON = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=8),
    lambda inner: (
        st.lists(inner, max_size=3) | st.dictionaries(st.text(max_size=8), inner)
    ),
    max_leaves=6,
)
LINES = st.lists(st.tuples(st.binary(max_size=12), st.binary(max_size=20)), max_size=5)


def read_head(*lines):
    return read_request_head([(b"X-Attempt-Id", b"r1"), *lines])


def encode_head(head, **changes):
    arguments = {
        "body_bytes": None,
        "server_id": "i-1",
        "account": None,
        "remaining_s": None,
        "priority": None,
        "last_event_id": None,
    }
    return encode_forwarded_head(b"GET", b"/", head, **{**arguments, **changes})


def test_decode_server():
    server = decode_server("i-1", json.dumps(ENTRY).encode())
    assert server.address == ("10.1.2.3", 80)
    assert (server.cold_left_s, server.is_draining) == (1.5, False)
    assert server.born_ms == 1772000000000


@pytest.mark.parametrize(
    "changes",
    [
        {"state": "resting"},
        {"state": None},
        {"service": 5},
        {"slots": "many"},
        {"slots": 0},
        {"address": "10.1.2.3"},
        {"address": "10.1.2.999:80"},
        {"address": "10.1.2.3:0"},
        {"zone": ""},
    ],
)
def test_invalid_server_entry_is_rejected(changes):
    with pytest.raises(ValueError):
        decode_server("i-1", json.dumps(ENTRY | changes).encode())


# Guards against an id that ends each request for which its server is chosen: it goes
# into a header.
@pytest.mark.parametrize("server_id", ["i-\u4e2d", "i-1\r\nX-Tenant: a", "i-\x00", "é"])
def test_server_id_that_cannot_stand_in_a_header_is_rejected(server_id):
    with pytest.raises(ValueError):
        decode_server(server_id, json.dumps(ENTRY).encode())


# Guards against numbers that overflow where they are used: in the hello of a router, in
# a division, or in the comparison with an infinite float.
@pytest.mark.parametrize("name", ["slots", "coldLeftMs", "born"])
@pytest.mark.parametrize(
    "number",
    ["9007199254740992", str(2**64), str(2**127), "9" * 400, "1e300", "-1e300"],
)
def test_number_out_of_range_in_a_server_entry_is_rejected(name, number):
    entry = json.dumps(ENTRY | {name: 0}).replace(f'"{name}": 0', f'"{name}": {number}')
    with pytest.raises(ValueError):
        decode_server("i-1", entry.encode())


@given(st.binary(max_size=60) | JSON.map(lambda value: json.dumps(value).encode()))
def test_arbitrary_bytes_raise_only_value_errors_in_decoders(body):
    for decode in (decode_configuration, lambda b: decode_server("i", b)):
        try:
            decode(body)
        except ValueError:
            continue


# Guards against an entry of another writer that ends the watch of the servers: JSON
# that is nested too deeply raises a RecursionError, which no caller expects.
@pytest.mark.parametrize("depth", [4_000, 60_000])
@pytest.mark.parametrize(
    "decode",
    [
        decode_configuration,
        lambda body: decode_server("i-1", body),
        lambda body: StoreWire().decode_rows(body, 0),
        StoreWire().decode_parts,
    ],
    ids=["configuration", "server", "rows", "parts"],
)
def test_deeply_nested_json_raises_only_value_errors(decode, depth):
    for body in (b"[" * depth, b'{"a":' * depth, b'{"zone":' + b"[" * depth):
        with pytest.raises(ValueError):
            decode(body)


@given(name=st.sampled_from(sorted(ENTRY)), value=JSON)
def test_server_entry_with_one_invalid_field_raises_only_value_errors(name, value):
    try:
        decode_server("i-1", json.dumps(ENTRY | {name: value}).encode())
    except ValueError:
        pass


@given(name=st.sampled_from(("routes", "services", "tenants", "limits")), value=JSON)
def test_configuration_with_one_invalid_section_raises_only_value_errors(name, value):
    body = json.dumps(make_configuration() | {name: value}).encode()
    try:
        decode_configuration(body)
    except ValueError:
        pass


def test_decode_configuration():
    body = make_configuration()
    body["routes"].append(dict(body["routes"][0], name="long", prefix="/chat/long/"))
    body["routes"][-1]["split"] = [
        {"service": "llm", "weight": 90},
        {"service": "app", "weight": 10},
    ]
    configuration = decode_configuration(json.dumps(body).encode())
    route = configuration.find_route("api.example", "/chat/long/x")
    assert route.name == "long"
    assert route.services == (("llm", 90.0), ("app", 10.0))
    assert configuration.find_route("api.example", "/chat/x").name == "stream"
    assert configuration.find_route("api.example", "/chatter/") is None
    assert configuration.find_route("other.example", "/chat/x") is None
    assert route.kind is RequestKind.STREAM
    assert configuration.services["llm"].engine.tokens_per_event == 5
    assert configuration.account_by_key["key-of-acme"].prepaid_tokens == 100_000


def test_read_request_head():
    head = read_head(
        (b"X-Token-Counts", b"1460,80"),
        (b"X-Prefix-Hash", b"5c1e07a2:800,91bd3f06:410,e4402b7d:250"),
        (b"X-Deadline-Ms", b"1500"),
        (b"authorization", b"Bearer abc"),
    )
    assert (head.prompt_tokens, head.max_output_tokens) == (1460, 80)
    assert head.prefix[1] == ("91bd3f06", 410)
    assert (head.deadline_s, head.key) == (1.5, "abc")
    assert b"uthorization" not in head.forwarded
    assert b"X-Token-Counts: 1460,80\r\n" in head.forwarded


@pytest.mark.parametrize(
    "line",
    [
        (b"X-Attempt-Id", b"r2"),
        (b"X-Token-Counts", b"-5,80"),
        (b"X-Token-Counts", b"many"),
        (b"X-Deadline-Ms", b"soon"),
        (b"X-Deadline-Ms", b"nan"),
        (b"X-Deadline-Ms", b"inf"),
    ],
)
def test_malformed_request_head_is_rejected(line):
    with pytest.raises(ValueError):
        read_head(line)


@pytest.mark.parametrize(
    "name",
    [
        b"X-Tenant", b"x-expect-instance", b"X-Pin-Ms", b"X-Kv-Retention",
        b"X-Kv-Replica", b"Kv-From", b"Kv-Fetch", b"X-Request-Priority",
        b"X-Expect-Version", b"Transfer-Encoding", b"Content-Length", b"Connection",
        b"Keep-Alive", b"Upgrade", b"TE",
    ],
)  # fmt: skip
def test_hop_by_hop_and_router_headers_are_not_forwarded(name):
    assert read_head((name, b"forged")).forwarded == b"X-Attempt-Id: r1\r\n"


def test_headers_listed_in_the_connection_header_are_not_forwarded():
    head = read_head((b"Connection", b"close, X-Hop"), (b"X-Hop", b"1"), (b"X-A", b"2"))
    assert head.forwarded == b"X-Attempt-Id: r1\r\nX-A: 2\r\n"


def test_encode_forwarded_head():
    lines = encode_head(
        read_head(), body_bytes=3, account="acme", remaining_s=1.2345, priority=2,
        last_event_id="7",
    ).split(b"\r\n")  # fmt: skip
    assert lines[0] == b"GET / HTTP/1.1"
    assert set(lines[1:-2]) == {
        b"X-Attempt-Id: r1",
        b"X-Expect-Instance: i-1",
        b"X-Deadline-Ms: 1234",
        b"X-Tenant: acme",
        b"X-Request-Priority: 2",
        b"Last-Event-Id: 7",
        b"Content-Length: 3",
    }


@given(LINES)
def test_arbitrary_header_lines_raise_only_value_errors(lines):
    try:
        read_head(*lines)
    except ValueError:
        pass


def test_read_answer_head():
    reader = AnswerHeadReader()
    for name, value in (
        (b"X-Attempt-Id", b"r1"),
        (b"X-Server-Seal", b"s"),
        (b"X-Server-Load", b"3,1,8"),
        (b"Keep-Alive", b"timeout=5"),
        (b"Content-Length", b"4"),
    ):
        reader.add(name, value)
    head = reader.finish(200)
    assert (head.running, head.waiting) == (3, 1)
    assert head.is_sealed and not head.is_not_run and reader.has_length
    assert reader.idle_timeout_s == 5.0
    assert b"Content-Length" not in head.passed_on
    assert b"X-Server-Seal: s\r\n" in head.passed_on


def read_load(value):
    reader = AnswerHeadReader()
    reader.add(b"X-Server-Load", value)
    return reader.finish(200)


def test_a_report_of_three_figures_has_no_slowness():
    head = read_load(b"3,1,8")
    assert (head.slots, head.slowness, head.malformed) == (8, None, ())
    # Read as by earlier builds, whatever the slots are.
    assert read_load(b"9,1,8").running == 9


@pytest.mark.parametrize(
    ("value", "slowness"),
    [(b"3,1,8,100", 1.0), (b"3, 1, 8, 250", 2.5), (b"3,1,8,112.5,7", 1.125)],
)
def test_the_fourth_figure_is_the_slowness(value, slowness):
    head = read_load(value)
    assert (head.running, head.waiting, head.slots) == (3, 1, 8)
    assert (head.slowness, head.malformed) == (slowness, ())


# Guards against a figure that ends the service or makes a server look infinitely fast.
@pytest.mark.parametrize(
    "figure", [b"0", b"", b"x", b"-1", b"nan", b"1e9", b"9" * 1000, b"100001"]
)
def test_a_malformed_slowness_leaves_the_load_valid(figure):
    head = read_load(b"3,1,8," + figure)
    assert (head.running, head.waiting, head.slowness) == (3, 1, None)
    assert head.malformed == ("X-Server-Load",)


def test_more_running_than_slots_make_a_report_with_slowness_malformed():
    head = read_load(b"9,1,8,100")
    assert (head.running, head.waiting, head.slowness) == (None, None, None)
    assert head.malformed == ("X-Server-Load",)


@pytest.mark.parametrize("code", list(ResultCode))
@pytest.mark.parametrize("is_not_run", [True, False])
def test_refusal_of_an_executed_request_has_no_not_executed_status(code, is_not_run):
    status, _ = encode_refusal_head("r1", Refusal(code, is_not_run=is_not_run))
    if not is_not_run:
        assert status not in (408, 421, 429, 503)


def test_encode_transaction():
    key = RowKey("t", "p", "k")
    encoded = StoreWire().encode_transaction(
        [RowCheck(key, 7)], [RowWrite(key, b"node-1")], []
    )
    name = {"table": "t", "part": "p", "key": "k"}
    assert json.loads(encoded[3]) == {
        "expectedRev": [name | {"rowVersion": 7}],
        "write": [name | {"value": "bm9kZS0x"}],
        "remove": [],
    }


@given(st.binary(max_size=60) | JSON.map(lambda value: json.dumps(value).encode()))
def test_arbitrary_bytes_raise_only_value_errors_in_decode_rows(body):
    try:
        StoreWire().decode_rows(body, 0)
    except ValueError:
        pass


@given(st.text(max_size=60))
def test_arbitrary_text_raises_only_value_errors_in_decode_settings(text):
    with pytest.raises(ValueError):
        decode_settings(text)


@pytest.mark.parametrize(
    ("value", "cold_left_s"),
    [(1500, 1.5), (0, 0.0), (-1, -1.0), ("soon", -1.0), (True, -1.0), (3_600_001, -1)],
)
def test_malformed_cold_time_of_an_entry_is_ignored(value, cold_left_s):
    entry = json.dumps(ENTRY | {"coldLeftMs": value}).encode()
    assert decode_server("i-1", entry).cold_left_s == cold_left_s


def test_malformed_cold_bounds_are_ignored():
    text = """nodeName = "h"\nip = "10.0.0.1"\nzone = "z"\ninternalPorts = [1, 2]
zones = {}\nlisten = {frontend = "10.0.0.1:1", ready = "10.0.0.1:2"}
platform = {address = "10.0.0.1:3"}\nbounds = {coldOvershoot = %s, coldTolerance = 5}
"""
    for value, factor in [("1.5", 1.5), ("-1", 1.0), ("nan", 1.0), ('"x"', 1.0)]:
        bounds = decode_settings(text % value).bounds
        assert (bounds.cold_overshoot, bounds.cold_tolerance) == (factor, 5.0)
        assert bounds.malformed == (() if factor == 1.5 else ("coldOvershoot",))


@pytest.mark.parametrize(
    ("values", "cold_left_s", "is_malformed"),
    [
        ([], None, False),
        ([b"0"], 0.0, False),
        ([b"1500", b"20"], 1.5, False),
        ([b"-1"], None, True),
        ([b"nan"], None, True),
        ([b"3600001"], None, True),
        ([b"9" * 5000, b"1000"], 1.0, True),
    ],
)
def test_cold_time_of_an_answer_is_read(values, cold_left_s, is_malformed):
    reader = AnswerHeadReader()
    for value in values:
        reader.add(b"X-Cold-Ms", value)
    head = reader.finish(200)
    assert head.cold_left_s == cold_left_s
    assert head.malformed == (("X-Cold-Ms",) if is_malformed else ())


@pytest.mark.parametrize(
    ("fields", "expected", "malformed"),
    [
        ({}, (0.0, 0.0), ()),
        ({"coldStartS": 3.0, "coldPerS": 10.5}, (3.0, 10.5), ()),
        ({"coldStartS": 3601, "coldPerS": 1}, (0.0, 1.0), ("coldStartS",)),
        ({"coldStartS": 3, "coldPerS": -1}, (3.0, 0.0), ("coldPerS",)),
        ({"coldStartS": "3", "coldPerS": None}, (0.0, 0.0), ("coldStartS", "coldPerS")),
    ],
)
def test_malformed_cold_fields_of_a_service_are_ignored(fields, expected, malformed):
    body = make_configuration()
    body["services"][0] |= fields
    service = next(
        iter(decode_configuration(json.dumps(body).encode()).services.values())
    )
    assert (service.cold_start_s, service.cold_rate_per_s) == expected
    assert service.malformed == malformed
