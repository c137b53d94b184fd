"""Checks of the request path that mutation testing found to be untested."""

from __future__ import annotations

import asyncio
import json

import attrs
import pytest

from bronzesail.http import ExchangeBrokenError, HttpCall, HttpClient
from tests.request_fakes import FakeFleet, FakeNode, wait_until

MAX_TRIES = 200
TRY_INTERVAL_S = 0.05


def make_call(node: FakeNode, target: str, key: str, content: object) -> HttpCall:
    headers = (
        ("authorization", "Bearer ski.s3cret"),
        ("idempotency-key", key),
        ("bronzesail-deadline-ms", "1500"),
    )
    body = json.dumps(content).encode()
    return HttpCall(node.server.address, "POST", target, headers, body)


def test_issued_key_is_used_once_even_after_its_answer_has_expired() -> None:
    async def run() -> None:
        fleet = FakeFleet()
        engine = await fleet.add_engine("a", "pass")
        node = await fleet.add_node("r1", answer_keep_s=0.01)
        client = HttpClient()
        _, body = await client.fetch(make_call(node, "/v1/pass/keys", "any", {}))
        key = json.loads(body)["key"]
        call = make_call(node, "/v1/pass/call/book", key, {"pass": 7})
        statuses = []
        for _ in range(MAX_TRIES):
            status, body = await client.fetch(call)
            statuses.append(status)
            if status != 200:
                break
            await asyncio.sleep(TRY_INTERVAL_S)
        assert statuses[0] == 200
        assert statuses[-1] == 504
        assert json.loads(body)["not_run"] is False
        assert list(engine.calls.values()) == [1]
        client.close()
        await fleet.close()

    asyncio.run(run())


def test_stream_that_cannot_be_resumed_ends_with_an_error() -> None:
    async def run() -> None:
        fleet = FakeFleet()
        engine = await fleet.add_engine("a")
        engine.n_words = 200
        engine.delay_s = 0.01
        node = await fleet.add_node("r1")
        client = HttpClient()
        content = {"prompt": "word", "max_tokens": 200}
        call = make_call(node, "/v1/desk/completions", "k1", content)
        exchange = await client.send(call)
        assert exchange.status == 200
        text = b""
        with pytest.raises(ExchangeBrokenError):
            async for part in exchange.iterate_body(10.0):
                if not text:
                    await engine.crash()
                    fleet.backends.clear()
                text += part
        exchange.close()
        assert b"event: done" not in text
        assert b"event: error" in text
        client.close()
        await fleet.close()

    asyncio.run(run())


def test_wrong_secret_and_unknown_account_get_the_same_refusal() -> None:
    async def run() -> None:
        fleet = FakeFleet()
        engine = await fleet.add_engine("a")
        node = await fleet.add_node("r1")
        client = HttpClient()
        call = make_call(node, "/v1/desk/completions", "k1", {"prompt": "w"})
        answers = set()
        for key in ("ski.wr0ng", "nobody.s3cret", "ski.", "ski"):
            headers = (("authorization", f"Bearer {key}"), *call.headers[1:])
            answers.add(await client.fetch(attrs.evolve(call, headers=headers)))
        assert len(answers) == 1
        status, body = answers.pop()
        assert (status, json.loads(body)["code"]) == (401, "BZ1101")
        assert json.loads(body)["not_run"] is True
        assert not engine.runs
        client.close()
        await fleet.close()

    asyncio.run(run())


def test_closed_account_refuses_waiting_requests_and_completes_running_ones() -> None:
    async def run() -> None:
        fleet = FakeFleet()
        engine = await fleet.add_engine("a")
        engine.delay_s = 0.05
        node = await fleet.add_node("r1")
        client = HttpClient()
        content = {"prompt": "word", "max_tokens": 20, "stream": False}
        target = "/v1/desk/completions"
        running = asyncio.create_task(
            client.fetch(make_call(node, target, "k1", content))
        )
        await wait_until(lambda: bool(engine.runs))
        node.budgets.is_waiting = True
        waiting = asyncio.create_task(
            client.fetch(make_call(node, target, "k2", content))
        )
        records = node.service._context.records
        await wait_until(lambda: len(records.list_running()) == 2)
        await asyncio.sleep(TRY_INTERVAL_S)
        view = node.service._context.configuration
        accounts = dict(view.current.accounts)
        accounts["ski"] = attrs.evolve(accounts["ski"], is_closed=True)
        view.change(attrs.evolve(view.current, accounts=accounts))
        status, body = await waiting
        refusal = json.loads(body)
        assert (status, refusal["code"]) == (403, "BZ1102")
        assert refusal["not_run"] is True
        assert (await running)[0] == 200
        assert (await client.fetch(make_call(node, target, "k3", content)))[0] == 403
        client.close()
        await fleet.close()

    asyncio.run(run())
