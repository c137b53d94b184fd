"""Callers of a small fleet over sockets while routers, engines and links fail."""

from __future__ import annotations

import asyncio
import json
import random
from typing import Any

import attrs

from bronzesail.errors import Refusal, ResultCode
from bronzesail.http import ExchangeBrokenError, HttpCall, HttpClient, HttpError
from bronzesail.request._ids import derive_request_id
from bronzesail.standin import (
    EngineSpeed,
    EngineStandin,
    PlainServiceStandin,
    make_answer_text,
)
from tests.request_fakes import SECRET, FakeFleet, FakeNode

__all__ = ["FaultResult", "measure_faults"]

N_ROUTERS = 4
N_ENGINES = 4
N_PLAIN = 2
N_CALLERS = 12
RUN_S = 20.0
FAULT_EVERY_S = 0.5
MAX_TRIES = 8
MAX_TOKENS = 60
SPEED = EngineSpeed(tokens_per_s=80.0)


@attrs.define
class FaultResult:
    """Counts of one run."""

    n_requests: int = 0
    n_whole: int = 0
    n_not_run: int = 0
    n_unknown: int = 0
    n_gave_up: int = 0
    n_resumed: int = 0
    doubled_runs: int = 0
    cut_answers: int = 0
    crossed_answers: int = 0
    false_not_run: int = 0
    n_faults: dict[str, int] = attrs.field(factory=dict)


class BrokenStreamError(Exception):
    """Raised when a stream ended without its last event."""


class FaultRun:
    """One run with a seed."""

    def __init__(self, seed: int) -> None:
        self.random = random.Random(seed)
        self.fleet = FakeFleet()
        self.engines = [EngineStandin(f"e{n}", SPEED) for n in range(N_ENGINES)]
        self.plains = [PlainServiceStandin(f"p{n}") for n in range(N_PLAIN)]
        self.nodes: list[FakeNode] = []
        self.graveyard: list[FakeNode] = []
        self.result = FaultResult()
        self.stopped_ids: list[str] = []
        self.n_nodes = 0
        self.is_over = False

    async def run(self) -> FaultResult:
        """Run callers and faults, then count."""
        for engine in self.engines:
            await engine.start()
            engine.faults.restart_s = 0.3
            self.fleet.list_backend(engine.name, "desk", engine.address)
        for plain in self.plains:
            await plain.start()
            plain.faults.delay_s = 0.02
            self.fleet.list_backend(plain.name, "pass", plain.address)
        for _ in range(N_ROUTERS):
            await self.add_node()
        callers = [asyncio.create_task(self.call_often(n)) for n in range(N_CALLERS)]
        await self.cause_faults()
        self.is_over = True
        await asyncio.gather(*callers)
        self.count()
        await self.fleet.close()
        for standin in (*self.engines, *self.plains):
            await standin.stop()
        return self.result

    async def add_node(self) -> None:
        """Start a router."""
        self.n_nodes += 1
        node = await self.fleet.add_node(f"r{self.n_nodes}", retry_burst=100.0)
        self.nodes.append(node)

    async def cause_faults(self) -> None:
        """Cause faults, one at a time and in pairs, until the time is over."""
        loop = asyncio.get_running_loop()
        end = loop.time() + RUN_S
        faults = [
            self.kill_router,
            self.pause_engine,
            self.silence_engine,
            self.crash_engine,
            self.lose_booking_answer,
            self.stop_store,
            self.lose_store_answers,
            self.cut_peer,
            self.refuse_tokens,
            self.hide_backends,
        ]
        tasks: list[asyncio.Task[None]] = []
        while loop.time() < end:
            for fault in self.random.sample(faults, self.random.choice((1, 2))):
                name = fault.__name__
                self.result.n_faults[name] = self.result.n_faults.get(name, 0) + 1
                tasks.append(asyncio.create_task(fault()))
            await asyncio.sleep(FAULT_EVERY_S)
        await asyncio.gather(*tasks)

    async def kill_router(self) -> None:
        """End a router at once and start another one."""
        node = self.nodes.pop(self.random.randrange(len(self.nodes)))
        self.graveyard.append(node)
        await self.fleet.kill(node)
        await self.add_node()

    async def pause_engine(self) -> None:
        """Let an engine stand still a while."""
        engine = self.random.choice(self.engines)
        engine.faults.is_paused = True
        await asyncio.sleep(0.6)
        engine.faults.is_paused = False

    async def silence_engine(self) -> None:
        """Leave the open connections of an engine silent for good."""
        self.random.choice(self.engines).silence_connections()

    async def crash_engine(self) -> None:
        """Crash an engine that starts again."""
        self.random.choice(self.engines).crash()

    async def lose_booking_answer(self) -> None:
        """Lose the next answer of a plain service after its call ran."""
        self.random.choice(self.plains).faults.loses_next_answers += 1

    async def stop_store(self) -> None:
        """Make the table unreachable a while."""
        self.fleet.table.is_out = True
        await asyncio.sleep(0.8)
        self.fleet.table.is_out = False

    async def lose_store_answers(self) -> None:
        """Lose answers of the table after the writes took effect."""
        self.fleet.table.n_lost_answers += 2

    async def cut_peer(self) -> None:
        """Cut a router off from its peers a while."""
        node = self.random.choice(self.nodes)
        node.is_cut = True
        await asyncio.sleep(0.7)
        node.is_cut = False

    async def refuse_tokens(self) -> None:
        """Let a router have no tokens a while."""
        node = self.random.choice(self.nodes)
        node.budgets.refusal = Refusal(ResultCode.BUDGET_EXHAUSTED, is_not_run=True)
        await asyncio.sleep(0.4)
        node.budgets.refusal = None

    async def hide_backends(self) -> None:
        """Take every backend server out of the host list a while."""
        backends, self.fleet.backends = self.fleet.backends, []
        await asyncio.sleep(0.15)
        self.fleet.backends = self.fleet.backends or backends

    async def call_often(self, number: int) -> None:
        """Be one caller, who asks again and again."""
        n_requests = 0
        while not self.is_over:
            n_requests += 1
            account = self.random.choice(("ski", "snow"))
            # Two client accounts choose the same keys.
            key = f"key-{number}-{n_requests}"
            self.result.n_requests += 1
            kind = self.random.choice(("stream", "chosen", "issued"))
            if kind == "stream":
                await self.read_stream(account, key)
            else:
                await self.book(account, key, kind == "issued")

    def make_call(
        self, account: str, key: str, method: str, target: str, body: bytes, after: int
    ) -> HttpCall:
        """Return a call to a router drawn at random."""
        headers = [("authorization", f"Bearer {account}.s3cret")]
        if key:
            headers.append(("idempotency-key", key))
        if after:
            headers.append(("last-event-id", str(after)))
        address = self.random.choice(self.nodes).server.address
        return HttpCall(address, method, target, tuple(headers), body, True)

    async def read_stream(self, account: str, key: str) -> None:
        """Read a streamed answer, resuming it at other routers."""
        texts: list[str] = []
        content = {"prompt": f"review {key}", "max_tokens": MAX_TOKENS}
        body = json.dumps(content).encode()
        for attempt in range(MAX_TRIES):
            call = self.make_call(
                account, key, "POST", "/v1/desk/completions", body, len(texts)
            )
            if attempt and attempt % 2:
                target = f"/v1/requests/{key}"
                call = self.make_call(account, "", "GET", target, b"", len(texts))
            try:
                refusal = await self.read_once(call, texts)
            except (HttpError, TimeoutError, BrokenStreamError):
                self.result.n_resumed += 1
                await asyncio.sleep(0.1)
                continue
            if refusal is None:
                self.judge_text(account, key, texts)
                return
            if refusal["not_run"] and self.note_not_run(account, key):
                return
            await asyncio.sleep(0.2)
        self.result.n_gave_up += 1

    async def read_once(self, call: HttpCall, texts: list[str]) -> Any:
        """Read one response; return None for a whole answer, else the refusal."""
        exchange = await HttpClient().send(call)
        if exchange.status != 200:
            return json.loads(await exchange.read_body(5.0))
        buffer = b""
        done = False
        try:
            async for data in exchange.iterate_body(8.0):
                buffer += data
                *blocks, buffer = buffer.split(b"\n\n")
                for block in blocks:
                    done = self.take_block(block.decode(), texts) or done
        except ExchangeBrokenError:
            done = False
        finally:
            exchange.close()
        if not done:
            raise BrokenStreamError
        return None

    def take_block(self, block: str, texts: list[str]) -> bool:
        """Keep an event; return whether it is the last one."""
        fields = dict(line.split(": ", 1) for line in block.splitlines())
        if fields.get("event") == "done":
            return True
        if "id" not in fields:
            return False
        if int(fields["id"]) != len(texts) + 1:
            self.result.cut_answers += 1
        texts.append(json.loads(fields["data"])["text"])
        return False

    def judge_text(self, account: str, key: str, texts: list[str]) -> None:
        """Compare a whole answer with what the engine generates for its id."""
        self.result.n_whole += 1
        request_id = derive_request_id(SECRET, account, key)
        expected = make_answer_text(request_id, MAX_TOKENS)
        text = "".join(texts)
        if text == expected:
            return
        if expected.startswith(text):
            self.result.cut_answers += 1
        else:
            self.result.crossed_answers += 1

    async def book(self, account: str, key: str, is_issued: bool) -> None:
        """Book a pass, asking again under the same key."""
        for attempt in range(MAX_TRIES):
            try:
                if is_issued and attempt == 0:
                    call = self.make_call(account, "", "POST", "/v1/pass/keys", b"", 0)
                    _, body = await HttpClient().fetch(call)
                    key = json.loads(body)["key"]
                target = "/v1/pass/call/book"
                call = self.make_call(account, key, "POST", target, b"pass", 0)
                status, body = await HttpClient().fetch(call)
            except (HttpError, KeyError):
                await asyncio.sleep(0.1)
                continue
            if status == 200:
                self.result.n_whole += 1
                request_id = derive_request_id(SECRET, account, key)
                if json.loads(body)["key"] != request_id:
                    self.result.crossed_answers += 1
                return
            refusal = json.loads(body)
            if refusal["not_run"] and self.note_not_run(account, key):
                return
            if refusal["code"] == "BZ1401":
                self.result.n_unknown += 1
                return
            await asyncio.sleep(0.2)
        self.result.n_gave_up += 1

    def note_not_run(self, account: str, key: str) -> bool:
        """Check that a request did not run; return whether its caller stops."""
        request_id = derive_request_id(SECRET, account, key)
        self.result.n_not_run += 1
        self.result.false_not_run += request_id in self.list_runs()
        if self.random.random() < 0.5:
            return False
        self.stopped_ids.append(request_id)
        return True

    def list_runs(self) -> set[str]:
        """Return the ids that any backend server has run."""
        seen: set[str] = set()
        for engine in self.engines:
            seen.update(engine.runs)
        for plain in self.plains:
            seen.update(plain.runs)
        return seen

    def count(self) -> None:
        """Count what must not happen."""
        totals: dict[str, int] = {}
        for plain in self.plains:
            for request_id, count in plain.runs.items():
                totals[request_id] = totals.get(request_id, 0) + count
        self.result.doubled_runs = sum(count - 1 for count in totals.values())
        seen = self.list_runs()
        self.result.false_not_run += sum(name in seen for name in self.stopped_ids)


def measure_faults(seed: int) -> FaultResult:
    """Return the counts of one run with a seed."""
    return asyncio.run(FaultRun(seed).run())
