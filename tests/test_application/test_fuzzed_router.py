"""Fuzz tests of the three listeners of running routers, over real sockets."""

from __future__ import annotations

import asyncio
import json
from typing import TYPE_CHECKING, Any

import attrs
import cbor2
import hypothesis.strategies as st
import pytest
from hypothesis import given, settings
from websockets.asyncio.client import connect
from websockets.exceptions import WebSocketException

from bronzesail.demo import configure
from bronzesail.demo._deployment import (
    OPERATOR_KEY,
    Deployment,
    DeploymentPlan,
    DeploymentSite,
)
from bronzesail.http import HttpCall, HttpClient, HttpError, NotSentError
from bronzesail.schema._messages import BY_CODE
from bronzesail.standin import EngineSpeed

if TYPE_CHECKING:
    from collections.abc import Iterator

ANSWERS = """
[deployment]
name = agency
[region lowlands]
data_centres = edinburgh
[service summariser]
kind = model
is_repeatable = yes
[service notices]
kind = plain
is_repeatable = no
[class answer]
priority = 1
[account council]
[budget council/main]
top_up_tokens = 100000000
top_up_id = invoice-1
"""
SITE = DeploymentSite("edinburgh", "lowlands", 2, 1, 1)
SPEED = EngineSpeed(slots=32, tokens_per_s=2000.0, prefill_tokens_per_s=1e6)
TIMEOUT_S = 10.0


@attrs.define
class Fleet:
    """A deployment, its event loop and the exceptions that no task handled."""

    runner: asyncio.Runner
    deployment: Deployment
    key: str
    unhandled_errors: list[dict[str, Any]] = attrs.field(factory=list)

    def run(self, coroutine: Any) -> Any:
        return self.runner.run(coroutine)


async def start(deployment: Deployment) -> str:
    await deployment.start()
    keys = await configure(deployment, ANSWERS)
    for router in deployment.routers:
        while True:
            is_known = len(router.fleet.list_routers()) == 1
            has_backends = all(
                router.fleet.list_backends(name) for name in ("summariser", "notices")
            )
            if router.is_ready() and is_known and has_backends:
                break
            await asyncio.sleep(0.02)
    return keys["council"]


@pytest.fixture(scope="module")
def fleet() -> Iterator[Fleet]:
    with asyncio.Runner() as runner:
        deployment = Deployment(DeploymentPlan((SITE,), "summariser", "notices", SPEED))
        fuzzed_fleet = Fleet(runner, deployment, "")
        runner.get_loop().set_exception_handler(
            lambda _, context: fuzzed_fleet.unhandled_errors.append(context)
        )
        fuzzed_fleet.key = runner.run(start(deployment))
        yield fuzzed_fleet
        runner.run(deployment.stop())


async def fetch(call: HttpCall) -> tuple[int, bytes]:
    client = HttpClient()
    try:
        return await client.fetch(call)
    finally:
        client.close()


NUMBERS = st.sampled_from([-1, 0, 1, 3, 8, 10**9, 2**70, True, 1.5, "3", None])
NAMES = st.sampled_from(["", "answer", "main", "x", "a" * 300, "\u20ac\x00", 5, None])
BODIES = st.one_of(
    st.binary(max_size=20),
    st.sampled_from([b"[" * 3000, b'{"prompt":"\\ud800","max_tokens":3}', b"null"]),
    st.fixed_dictionaries(
        {"prompt": NAMES, "max_tokens": NUMBERS},
        optional={"stream": NUMBERS, "class": NAMES, "budget": NAMES},
    ).map(lambda content: json.dumps(content).encode()),
)
PARTS = st.sampled_from(
    ["v1", "summariser", "notices", "completions", "call", "requests", "keys", "%2f"]
    + ["..", "", "unknown", "a?b=c", "council", "%ff"]
)
CALLER_TARGETS = st.one_of(
    st.sampled_from(["/v1/summariser/completions", "/v1/notices/call/notices"]),
    st.lists(PARTS, max_size=5).map(lambda parts: "/" + "/".join(parts)),
)
KEYS = st.sampled_from(["", "k-1", "k-2", "a" * 400, "\xff", "a b", "r1.2.x", "0" * 64])
CALLER_HEADERS = st.fixed_dictionaries(
    {},
    optional={
        "idempotency-key": KEYS,
        "last-event-id": st.sampled_from(["-1", "x", "9" * 30, "2", ""]),
        "bronzesail-deadline-ms": st.sampled_from(["-5", "x", "9" * 30, "nan", "50"]),
        "bronzesail-class": st.sampled_from(["answer", "x", "\xff"]),
        "bronzesail-budget": st.sampled_from(["main", "x", "\xff", "../a"]),
        "accept": st.sampled_from(["application/json", "\xff"]),
    },
)
METHODS = st.sampled_from(["POST", "POST", "GET", "PUT", "DELETE", "HEAD"])
CREDENTIALS = st.sampled_from(["right", "right", "right", "wrong", "\xff", ""])


def check_answer(method: str, status: int, body: bytes) -> None:
    if status < 400 or method == "HEAD":
        return
    content = json.loads(body)
    assert content["code"].startswith("BZ"), content
    assert content["code"] != "BZ1901", content
    assert type(content["not_run"]) is bool


def test_callers_get_an_answer_or_a_coded_refusal_and_reservations_end(
    fleet: Fleet,
) -> None:
    router = fleet.deployment.routers[0]

    @settings(max_examples=200)
    @given(METHODS, CALLER_TARGETS, CREDENTIALS, CALLER_HEADERS, BODIES)
    def send(
        method: str, target: str, credential: str, headers: dict[str, str], body: bytes
    ) -> None:
        bearer = f"Bearer {fleet.key}" if credential == "right" else credential
        call = HttpCall(
            router.caller_address,
            method,
            target,
            (("authorization", bearer), *headers.items()),
            body,
            timeout_s=TIMEOUT_S,
        )
        try:
            status, answer = fleet.run(fetch(call))
        except NotSentError:
            return
        check_answer(method, status, answer)
        if credential != "right":
            assert status == 401

    send()
    assert fleet.unhandled_errors == []
    fleet.run(wait_released(fleet))


async def wait_released(fleet: Fleet) -> None:
    """Return once no router has an open reservation."""
    while True:
        reserved = sum(
            status.own_reserved_tokens
            for router in fleet.deployment.routers
            for status in router.budgets.list_status()
        )
        if reserved == 0:
            return
        await asyncio.sleep(0.05)


VALUES = st.recursive(
    st.one_of(st.integers(-5, 2**64), st.binary(max_size=4), st.text(max_size=3)),
    lambda inner: st.lists(inner, max_size=4),
    max_leaves=8,
)
MESSAGES = st.one_of(
    st.binary(max_size=40),
    st.builds(
        lambda code, fields: cbor2.dumps([code, *fields]),
        st.sampled_from(sorted(BY_CODE)),
        st.lists(VALUES, max_size=6),
    ),
)


async def send_frames(address: str, frames: list[bytes], is_text: bool) -> None:
    try:
        async with connect(f"ws://{address}", open_timeout=TIMEOUT_S) as websocket:
            for frame in frames:
                await websocket.send(frame.hex() if is_text else frame)
            await websocket.close()
    except (WebSocketException, OSError, EOFError):
        return


def test_peer_listener_refuses_unknown_peers_and_malformed_messages(
    fleet: Fleet,
) -> None:
    router = fleet.deployment.routers[0]

    @settings(max_examples=80)
    @given(st.lists(MESSAGES, min_size=1, max_size=3), st.booleans())
    def send(frames: list[bytes], is_text: bool) -> None:
        fleet.run(send_frames(router.fleet.peer_address, frames, is_text))

    send()
    assert fleet.unhandled_errors == []
    assert len(router.fleet.list_routers()) == 1


OPERATOR_PARTS = st.sampled_from(
    ["status", "explain", "apply", "configuration", "accounts", "budgets", "orders"]
    + ["council", "main", "top-ups", "desk-edinburgh-1", "..", "", "%ff", "x"]
)
OPERATOR_BODIES = st.one_of(
    MESSAGES,
    st.dictionaries(
        st.sampled_from(["prepaid_tokens", "top_up_id", "amount_tokens", "operator"]),
        st.one_of(NUMBERS, NAMES),
    ).map(lambda content: json.dumps(content).encode()),
)


def test_operators_get_an_answer_or_a_coded_refusal(fleet: Fleet) -> None:
    router = fleet.deployment.routers[1]

    @settings(max_examples=150)
    @given(
        st.sampled_from(["GET", "POST"]),
        st.lists(OPERATOR_PARTS, max_size=4),
        OPERATOR_BODIES,
        st.booleans(),
    )
    def send(method: str, parts: list[str], body: bytes, is_operator: bool) -> None:
        key = OPERATOR_KEY if is_operator else "\xff"
        call = HttpCall(
            router.operator_address,
            method,
            "/" + "/".join(parts),
            (("authorization", f"Bearer {key}"),),
            body,
            timeout_s=TIMEOUT_S,
        )
        try:
            status, answer = fleet.run(fetch(call))
        except HttpError as error:
            raise AssertionError(f"{method} {call.target}: {error}") from error
        check_answer(method, status, answer)
        assert is_operator or status >= 400

    send()
    assert fleet.unhandled_errors == []


def test_routers_still_serve_after_fuzzing(fleet: Fleet) -> None:
    for router in fleet.deployment.routers:
        call = HttpCall(
            router.caller_address,
            "POST",
            "/v1/summariser/completions",
            (("authorization", f"Bearer {fleet.key}"),),
            b'{"prompt": "p", "max_tokens": 4}',
            timeout_s=TIMEOUT_S,
        )
        status, body = fleet.run(fetch(call))
        assert status == 200
        assert b"done" in body
