"""Tests of the model engine stand-in over real sockets."""

from __future__ import annotations

import asyncio
import json
import time
from typing import TYPE_CHECKING, Any

import pytest

from bronzesail.http import ExchangeBrokenError, HttpCall, HttpClient, NotSentError
from bronzesail.standin import (
    EngineSpeed,
    EngineStandin,
    EngineUsage,
    draw_output_tokens,
    make_answer_text,
    make_event_text,
)

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

FAST = EngineSpeed(slots=2, tokens_per_s=2000.0, prefill_tokens_per_s=1e6)
STALL_S = 0.1


class Caller:
    def __init__(self, engine: EngineStandin) -> None:
        self.engine = engine
        self.client = HttpClient()

    async def call(
        self, method: str, target: str, content: Any = None, is_fresh: bool = False
    ) -> tuple[int, bytes]:
        body = b"" if content is None else json.dumps(content).encode()
        call = HttpCall(self.engine.address, method, target, (), body, is_fresh, 5.0)
        return await self.client.fetch(call)

    async def ask(self, method: str, target: str, content: Any = None) -> Any:
        return json.loads((await self.call(method, target, content))[1])

    async def complete(self, request_id: str, **fields: Any) -> tuple[int, bytes]:
        order = {"request_id": request_id, "prompt": "p", "max_tokens": 20}
        return await self.call("POST", "/v1/completions", {**order, **fields})


def run_with_engine(
    scenario: Callable[[EngineStandin, Caller], Awaitable[None]],
    speed: EngineSpeed = FAST,
    checks_fencing: bool = True,
) -> None:
    async def run() -> None:
        engine = EngineStandin("e1", speed, checks_fencing)
        await engine.start()
        caller = Caller(engine)
        try:
            await scenario(engine, caller)
        finally:
            caller.client.close()
            await engine.stop()

    asyncio.run(run())


def read_events(body: bytes) -> tuple[list[int], str, dict[str, Any]]:
    numbers = []
    text = ""
    end: dict[str, Any] = {}
    for block in body.decode().split("\n\n")[:-1]:
        *head, data = block.split("\n")
        content = json.loads(data.removeprefix("data: "))
        if "done" in content:
            end = content
            continue
        numbers.append(int(head[0].removeprefix("id: ")))
        text += content["text"]
    return numbers, text, end


def test_answer_is_whole_and_a_repeated_id_runs_once() -> None:
    async def scenario(engine: EngineStandin, caller: Caller) -> None:
        first, second = await asyncio.gather(caller.complete("a"), caller.complete("a"))
        numbers, text, end = read_events(first[1])
        n_tokens = draw_output_tokens("a", 20)
        assert numbers == list(range(1, n_tokens + 1))
        assert text == make_answer_text("a", 20)
        assert end["usage"] == {"prompt_tokens": 1, "output_tokens": n_tokens}
        assert first == second
        assert engine.runs == {"a": 1}
        assert engine.usage["a"] == EngineUsage(1, n_tokens)

    run_with_engine(scenario)


def test_resume_is_gap_free() -> None:
    async def scenario(engine: EngineStandin, caller: Caller) -> None:
        await caller.complete("a")
        _, body = await caller.call("GET", "/v1/completions/a?after=4")
        numbers, text, _ = read_events(body)
        assert numbers[0] == 5
        head = "".join(make_event_text("a", n) for n in range(1, 5))
        assert head + text == make_answer_text("a", 20)
        assert (await caller.call("GET", "/v1/completions/b"))[0] == 404

    run_with_engine(scenario)


# A run that is behind schedule generates many events at once.
def test_stalled_process_does_not_pass_the_event_limit() -> None:
    async def scenario(engine: EngineStandin, caller: Caller) -> None:
        engine.faults.event_limit = 3
        answer = asyncio.create_task(caller.complete("a"))
        while True:
            n_events = engine.usage.get("a", EngineUsage()).output_tokens
            if n_events >= 3 or answer.done():
                break
            await asyncio.sleep(0)
        asyncio.get_running_loop().call_soon(time.sleep, STALL_S)
        await asyncio.sleep(STALL_S)
        assert engine.usage["a"].output_tokens == 3
        assert not answer.done()
        engine.faults.event_limit = 0
        _, text, _ = read_events((await answer)[1])
        assert text == make_answer_text("a", 20)

    run_with_engine(scenario)


def test_fenced_id_never_starts() -> None:
    async def scenario(engine: EngineStandin, caller: Caller) -> None:
        status = await caller.ask("POST", "/v1/completions/a/fence")
        assert status["state"] == "unknown"
        assert (await caller.complete("a"))[0] == 409
        assert engine.runs == {}

    run_with_engine(scenario)


def test_queue_serves_priorities_and_cancel_frees_the_slot() -> None:
    async def scenario(engine: EngineStandin, caller: Caller) -> None:
        blocker = asyncio.create_task(caller.complete("b", max_tokens=4000))
        await asyncio.sleep(0.05)
        late = asyncio.create_task(caller.complete("late", priority=5))
        await asyncio.sleep(0.05)
        early = asyncio.create_task(caller.complete("early", priority=1))
        await asyncio.sleep(0.05)
        usage = await caller.ask("DELETE", "/v1/completions/b")
        assert usage["state"] == "cancelled" and usage["output_tokens"] > 0
        await asyncio.gather(blocker, late, early)
        assert list(engine.runs) == ["b", "early", "late"]

    run_with_engine(scenario, EngineSpeed(slots=1, tokens_per_s=500.0))


def test_poison_prompt_crashes_the_engine_and_it_restarts() -> None:
    async def scenario(engine: EngineStandin, caller: Caller) -> None:
        engine.faults.poison_marker = "boom"
        engine.faults.restart_s = 0.05
        with pytest.raises(ExchangeBrokenError):
            await caller.complete("a", prompt="x boom")
        assert engine.n_crashes == 1
        while True:
            try:
                status = await caller.ask("GET", "/v1/completions/a/status")
                break
            except NotSentError:
                await asyncio.sleep(0.01)
        assert status["state"] == "unknown"
        assert engine.runs == {"a": 1}

    run_with_engine(scenario)


def test_silent_connection_sends_nothing_while_a_new_one_works() -> None:
    async def scenario(engine: EngineStandin, caller: Caller) -> None:
        call = HttpCall(
            engine.address,
            "POST",
            "/v1/completions",
            body=json.dumps(
                {"request_id": "a", "prompt": "p", "max_tokens": 60}
            ).encode(),
        )
        exchange = await caller.client.send(call)
        parts = exchange.iterate_body(silence_s=0.2)
        received = await anext(parts)
        engine.silence_connections()
        with pytest.raises(TimeoutError):
            while True:
                received += await anext(parts)
        exchange.close()
        last = read_events(received)[0][-1]
        _, body = await caller.call(
            "GET", f"/v1/completions/a?after={last}", is_fresh=True
        )
        text = read_events(received)[1] + read_events(body)[1]
        assert text == make_answer_text("a", 60)

    run_with_engine(scenario, EngineSpeed(tokens_per_s=200.0))


@pytest.mark.parametrize("checks_fencing", [True, False])
def test_old_fencing_number_is_refused_only_where_it_is_checked(
    checks_fencing: bool,
) -> None:
    async def scenario(engine: EngineStandin, caller: Caller) -> None:
        new = {"fence": 2, "action": "load-model", "argument": "new"}
        old = {"fence": 1, "action": "load-model", "argument": "old"}
        assert (await caller.call("POST", "/v1/orders", new))[0] == 200
        status, _ = await caller.call("POST", "/v1/orders", old)
        setup = await caller.ask("GET", "/v1/orders")
        expected = (409, "new") if checks_fencing else (200, "old")
        assert (status, setup["model"]) == expected

    run_with_engine(scenario, checks_fencing=checks_fencing)


def test_cached_prefix_is_reported_with_gaps() -> None:
    async def scenario(engine: EngineStandin, caller: Caller) -> None:
        engine.faults.cache_lag_s = 0.0
        engine.faults.cache_loss = 0.5
        await caller.complete("a", prompt="p" * 64 * 40)
        reply = await caller.ask("GET", "/v1/cache-events?after=0")
        numbers = [event["seq"] for event in reply["events"]]
        assert 0 < len(numbers) < 40
        assert numbers == sorted(set(numbers))

    run_with_engine(scenario)
