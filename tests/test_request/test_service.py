"""Tests of the HTTP interface for callers over sockets, with fake collaborators."""

from __future__ import annotations

import asyncio
import json
from typing import Any

from bronzesail.http import HttpCall
from tests.request_fakes import FakeFleet, FakeNode, wait_until


def make_call(
    node: FakeNode,
    target: str = "/v1/desk/completions",
    content: Any = None,
    account: str = "ski",
    method: str = "POST",
    **headers: str,
) -> HttpCall:
    pairs = [("authorization", f"Bearer {account}.s3cret")]
    pairs += [(name.replace("_", "-"), value) for name, value in headers.items()]
    body = json.dumps(content).encode() if content is not None else b""
    return HttpCall(node.server.address, method, target, tuple(pairs), body)


def make_prompt(prompt: str = "word", **fields: Any) -> dict[str, Any]:
    return {"prompt": prompt, "max_tokens": 20, **fields}


def read_events(body: bytes) -> tuple[list[int], str, dict[str, Any] | None]:
    numbers: list[int] = []
    text = ""
    done = None
    for block in body.decode().split("\n\n"):
        fields = dict(line.split(": ", 1) for line in block.splitlines())
        if fields.get("event") == "done":
            done = json.loads(fields["data"])
        elif "id" in fields:
            numbers.append(int(fields["id"]))
            text += json.loads(fields["data"])["text"]
    return numbers, text, done


def test_stream_ends_with_usage_and_one_charge() -> None:
    """A stream that the engine cuts is resumed without gaps and charged once."""

    async def run() -> None:
        fleet = FakeFleet()
        engine = await fleet.add_engine("a")
        engine.cut_after = 2
        node = await fleet.add_node("r1")
        status, body = await fleet.client.fetch(make_call(node, content=make_prompt()))
        numbers, text, done = read_events(body)
        assert status == 200
        assert numbers == [1, 2, 3, 4, 5]
        assert text == "word-1 word-2 word-3 word-4 word-5 "
        assert done is not None
        assert done["charged_tokens"] == 8
        assert node.budgets.closed == {1: 8}
        assert [outcome.outcome for outcome in node.observer.outcomes] == ["whole"]
        await fleet.close()

    asyncio.run(run())


def test_json_answer_is_repeated_for_the_same_key() -> None:
    """A repeated key returns the stored answer without a second run.

    The key with another body is refused; in another account it is a new request.
    """

    async def run() -> None:
        fleet = FakeFleet()
        engine = await fleet.add_engine("a")
        node = await fleet.add_node("r1")
        content = make_prompt(stream=False)
        call = make_call(node, content=content, idempotency_key="k1")
        first = await fleet.client.fetch(call)
        second = await fleet.client.fetch(call)
        other = make_call(node, content=make_prompt("x"), idempotency_key="k1")
        reused = await fleet.client.fetch(other)
        other_account = make_call(
            node, content=content, account="snow", idempotency_key="k1"
        )
        await fleet.client.fetch(other_account)
        assert first == second
        assert reused[0] == 422
        assert [run["n"] for run in engine.runs.values()] == [1, 1]
        assert node.budgets.closed == {1: 8, 2: 8}
        await fleet.close()

    asyncio.run(run())


def test_charge_stays_within_the_reservation() -> None:
    """An engine that reports more usage than was reserved must not raise the charge."""

    async def run() -> None:
        fleet = FakeFleet()
        engine = await fleet.add_engine("a")
        engine.extra_tokens = 1000
        node = await fleet.add_node("r1")
        await fleet.client.fetch(make_call(node, content=make_prompt()))
        assert node.budgets.closed == {1: node.budgets.reserved[0].order.amount_tokens}
        await fleet.close()

    asyncio.run(run())


def test_refusals_of_bad_input_are_not_run() -> None:
    """Invalid requests are refused without reserving tokens or calling an engine."""
    cases = [
        (make_prompt(max_tokens=-1), 400, "BZ1005"),
        (make_prompt(max_tokens=10**9), 400, "BZ1005"),
        (make_prompt(max_tokens=True), 400, "BZ1005"),
        ({"prompt": 5, "max_tokens": 1}, 400, "BZ1001"),
        ([], 400, "BZ1001"),
        (make_prompt(**{"class": "none"}), 400, "BZ1202"),
    ]

    async def run() -> None:
        fleet = FakeFleet()
        engine = await fleet.add_engine("a")
        node = await fleet.add_node("r1")
        for content, status, code in cases:
            answer = await fleet.client.fetch(make_call(node, content=content))
            refusal = json.loads(answer[1])
            assert (answer[0], refusal["code"]) == (status, code)
            assert refusal["not_run"] is True
        wrong = make_call(node, content=make_prompt(), account="nobody")
        assert (await fleet.client.fetch(wrong))[0] == 401
        missing = make_call(node, "/v1/none/completions", make_prompt())
        assert (await fleet.client.fetch(missing))[0] == 404
        assert engine.runs == {}
        assert node.budgets.reserved == []
        await fleet.close()

    asyncio.run(run())


def test_disconnected_caller_is_charged_only_for_used_tokens() -> None:
    """A request is cancelled and charged for its usage when its caller disconnects."""

    async def run() -> None:
        fleet = FakeFleet()
        engine = await fleet.add_engine("a")
        engine.n_words = 200
        engine.delay_s = 0.05
        node = await fleet.add_node("r1")
        exchange = await fleet.client.send(make_call(node, content=make_prompt()))
        exchange.close()
        await wait_until(lambda: node.budgets.closed)
        assert node.budgets.closed == {1: 4}
        assert len(engine.cancelled) == 1
        await fleet.close()

    asyncio.run(run())


def test_drain_waits_for_running_requests() -> None:
    """Draining refuses new requests but waits for the ones in progress."""

    async def run() -> None:
        fleet = FakeFleet()
        engine = await fleet.add_engine("a")
        engine.delay_s = 0.05
        node = await fleet.add_node("r1")
        task = asyncio.create_task(
            fleet.client.fetch(make_call(node, content=make_prompt()))
        )
        await asyncio.sleep(0.1)
        draining = asyncio.create_task(node.service.drain())
        await asyncio.sleep(0)
        during_drain = await fleet.client.fetch(make_call(node, content=make_prompt()))
        await draining
        numbers, _, done = read_events((await task)[1])
        assert during_drain[0] == 503
        assert json.loads(during_drain[1])["not_run"] is True
        assert numbers == [1, 2, 3, 4, 5]
        assert done is not None
        await fleet.close()

    asyncio.run(run())
