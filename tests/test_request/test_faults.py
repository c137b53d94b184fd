"""Fault tests of the request path, with simulated engines and services.

The faults are killed routers, paused or crashed backend servers, silent connections,
lost answers, table outages and unreachable regions.
"""

from __future__ import annotations

import asyncio
import json
from typing import Any

from bronzesail.http import HttpCall, HttpClient
from bronzesail.request._ids import derive_request_id
from bronzesail.standin import (
    EngineSpeed,
    EngineStandin,
    PlainServiceStandin,
    make_answer_text,
)
from bronzesail.standin._crash import hold_port
from tests.request_fakes import SECRET, FakeFleet, FakeNode, wait_until

FAST = EngineSpeed(tokens_per_s=400.0)
SLOW = EngineSpeed(tokens_per_s=60.0)


async def add_standin(
    fleet: FakeFleet, name: str, speed: EngineSpeed = FAST
) -> EngineStandin:
    engine = EngineStandin(name, speed)
    await engine.start()
    fleet.list_backend(name, "desk", engine.address)
    return engine


async def add_plain(
    fleet: FakeFleet, name: str, service: str = "pass"
) -> PlainServiceStandin:
    plain = PlainServiceStandin(name)
    await plain.start()
    fleet.list_backend(name, service, plain.address)
    return plain


def make_call(
    node: FakeNode, target: str, key: str = "", body: str = "", **fields: Any
) -> HttpCall:
    account = fields.get("account", "ski")
    headers = [("authorization", f"Bearer {account}.s3cret")]
    if key:
        headers.append(("idempotency-key", key))
    if "after" in fields:
        headers.append(("last-event-id", str(fields["after"])))
    if "deadline_ms" in fields:
        headers.append(("bronzesail-deadline-ms", str(fields["deadline_ms"])))
    method = fields.get("method", "POST")
    return HttpCall(node.server.address, method, target, tuple(headers), body.encode())


def make_completion_call(
    node: FakeNode, key: str, prompt: str = "review", **fields: Any
) -> HttpCall:
    body = json.dumps({"prompt": prompt, "max_tokens": 40})
    return make_call(node, "/v1/desk/completions", key, body, **fields)


class Reader:
    """Caller that collects the numbered chunks of a stream."""

    def __init__(self) -> None:
        self.client = HttpClient()
        self.texts: dict[int, str] = {}
        self.done: dict[str, Any] | None = None
        self.is_cut = False

    @property
    def text(self) -> str:
        return "".join(self.texts[number] for number in sorted(self.texts))

    async def read(self, request: HttpCall) -> int:
        exchange = await self.client.send(request)
        buffer = b""
        try:
            async for data in exchange.iterate_body(10.0):
                buffer += data
                *blocks, buffer = buffer.split(b"\n\n")
                for block in blocks:
                    self._add_event(block.decode())
        except Exception:
            self.is_cut = True
        exchange.close()
        return exchange.status

    def _add_event(self, block: str) -> None:
        fields = dict(line.split(": ", 1) for line in block.splitlines())
        if fields.get("event") == "done":
            self.done = json.loads(fields["data"])
        elif "id" in fields:
            number = int(fields["id"])
            assert number == len(self.texts) + 1, (
                "gap in the stream, or chunk out of order"
            )
            self.texts[number] = json.loads(fields["data"])["text"]


def make_expected_text(account: str, key: str) -> str:
    request_id = derive_request_id(SECRET, account, key)
    return make_answer_text(request_id, 40)


def test_caller_of_a_dead_router_gets_the_rest_at_another() -> None:
    """After its router is killed, a caller resumes the stream at another router.

    The engine must not run the request again, and another account must not be able
    to read the answer.
    """

    async def run() -> None:
        fleet = FakeFleet()
        engine = await add_standin(fleet, "a", SLOW)
        # Otherwise an engine may end its answer while this process gets no CPU time.
        engine.faults.event_limit = 3
        first = await fleet.add_node("r1")
        second = await fleet.add_node("r2")
        third = await fleet.add_node("r3")
        reader = Reader()
        task = asyncio.create_task(reader.read(make_completion_call(first, "k1")))
        await wait_until(lambda: len(reader.texts) >= 3)
        await fleet.kill(first)
        await task
        assert reader.is_cut
        assert reader.done is None
        engine.faults.event_limit = 0
        target = "/v1/requests/k1"
        request = make_call(third, target, method="GET", after=len(reader.texts))
        assert await reader.read(request) == 200
        assert reader.text == make_expected_text("ski", "k1")
        assert reader.done is not None
        other_account = make_call(second, target, method="GET", account="snow")
        assert (await fleet.client.fetch(other_account))[0] == 404
        assert list(engine.runs.values()) == [1]
        await fleet.close()
        await engine.stop()

    asyncio.run(run())


def test_posting_again_at_another_router_runs_and_charges_once() -> None:
    """Concurrent requests with one key at several routers run and are charged once."""

    async def run() -> None:
        fleet = FakeFleet()
        engine = await add_standin(fleet, "a", SLOW)
        nodes = [await fleet.add_node(f"r{n}") for n in range(4)]
        readers = [Reader() for _ in nodes]
        await asyncio.gather(
            *(
                reader.read(make_completion_call(node, "k1"))
                for node, reader in zip(nodes, readers, strict=True)
            )
        )
        charged = [sum(node.budgets.closed.values()) for node in nodes]
        for reader in readers:
            assert reader.text == make_expected_text("ski", "k1")
            assert reader.done is not None
            assert reader.done["charged_tokens"] == sum(charged)
        assert sorted(charged)[:3] == [0, 0, 0]
        assert list(engine.runs.values()) == [1]
        other = make_completion_call(nodes[0], "k1", prompt="another body")
        statuses = {(await fleet.client.fetch(other))[0]}
        for node in nodes[1:]:
            other = make_completion_call(node, "k1", prompt="another body")
            statuses.add((await fleet.client.fetch(other))[0])
        assert statuses == {422}
        await fleet.close()
        await engine.stop()

    asyncio.run(run())


def test_same_key_in_two_accounts_is_two_requests() -> None:
    """Request keys of different accounts must not collide."""

    async def run() -> None:
        fleet = FakeFleet()
        engine = await add_standin(fleet, "a")
        nodes = [await fleet.add_node("r1"), await fleet.add_node("r2")]
        ski, snow = Reader(), Reader()
        await asyncio.gather(
            ski.read(make_completion_call(nodes[0], "k1")),
            snow.read(make_completion_call(nodes[1], "k1", account="snow")),
        )
        assert ski.text == make_expected_text("ski", "k1")
        assert snow.text == make_expected_text("snow", "k1")
        assert len(engine.runs) == 2
        await fleet.close()
        await engine.stop()

    asyncio.run(run())


def test_silent_stream_is_probed_and_resumed_on_a_new_connection() -> None:
    """A stream whose connection goes silent is resumed without a second run."""

    async def run() -> None:
        fleet = FakeFleet()
        engine = await add_standin(fleet, "a", SLOW)
        node = await fleet.add_node("r1")
        reader = Reader()
        task = asyncio.create_task(reader.read(make_completion_call(node, "k1")))
        await wait_until(lambda: len(reader.texts) >= 2)
        engine.silence_connections()
        await task
        assert reader.text == make_expected_text("ski", "k1")
        assert reader.done is not None
        assert list(engine.runs.values()) == [1]
        await fleet.close()
        await engine.stop()

    asyncio.run(run())


def test_request_fails_over_from_a_paused_engine() -> None:
    """An engine that does not answer counts as failed; another one runs the request."""

    async def run() -> None:
        fleet = FakeFleet()
        engines = [await add_standin(fleet, "a"), await add_standin(fleet, "b")]
        engines[1].faults.is_paused = True
        node = await fleet.add_node("r1")
        reader = Reader()
        assert await reader.read(make_completion_call(node, "k1")) == 200
        assert reader.text == make_expected_text("ski", "k1")
        assert node.budgets.closed != {}
        assert node.selector.released[0] == ("b", True)
        engines[1].faults.is_paused = False
        await fleet.close()
        for engine in engines:
            await engine.stop()

    asyncio.run(run())


def test_non_repeatable_call_runs_once_across_routers() -> None:
    """A non-repeatable call sent to several routers runs and is charged once.

    The table loses the answers of the first two claim writes.
    """

    async def run() -> None:
        fleet = FakeFleet()
        plain = await add_plain(fleet, "a")
        plain.faults.delay_s = 0.05
        nodes = [await fleet.add_node(f"r{n}") for n in range(4)]
        fleet.table.n_lost_answers = 2
        target = "/v1/pass/call/book"
        answers = await asyncio.gather(
            *(
                HttpClient().fetch(make_call(node, target, "k1", "pass 7"))
                for node in nodes
            )
        )
        assert {status for status, _ in answers} == {200}
        assert len({body for _, body in answers}) == 1
        assert list(plain.runs.values()) == [1]
        charged = [sum(node.budgets.closed.values()) for node in nodes]
        assert sorted(charged) == [0, 0, 0, 5]
        await fleet.close()
        await plain.stop()

    asyncio.run(run())


def test_non_repeatable_call_with_a_lost_answer_stays_unknown() -> None:
    """A non-repeatable call whose answer was lost must never run again.

    Every later request with the key gets "outcome unknown", also at another router
    and after the first router was killed.
    """

    async def run() -> None:
        fleet = FakeFleet()
        plain = await add_plain(fleet, "a")
        await add_plain(fleet, "b")
        plain.faults.loses_next_answers = 1
        fleet.backends.reverse()
        nodes = [await fleet.add_node("r1"), await fleet.add_node("r2")]
        target = "/v1/pass/call/book"
        for node in (nodes[0], nodes[0], nodes[1]):
            request = make_call(node, target, "k1", "pass 7")
            status, body = await HttpClient().fetch(request)
            refusal = json.loads(body)
            assert (status, refusal["code"]) == (504, "BZ1401")
            assert refusal["not_run"] is False
        assert list(plain.runs.values()) == [1]
        assert len(nodes[0].budgets.kept_open) == 1
        await fleet.kill(nodes[0])
        request = make_call(nodes[1], target, "k1", "pass 7")
        assert (await HttpClient().fetch(request))[0] == 504
        assert list(plain.runs.values()) == [1]
        await fleet.close()

    asyncio.run(run())


def test_unused_claim_moves_to_the_router_that_gets_the_retry() -> None:
    """A claim of a refused call is released to another router, which runs it once."""

    async def run() -> None:
        fleet = FakeFleet()
        first = await fleet.add_node("r1")
        second = await fleet.add_node("r2")
        target = "/v1/pass/call/book"
        status, body = await HttpClient().fetch(
            make_call(first, target, "k1", "pass 7")
        )
        refusal = json.loads(body)
        assert (status, refusal["not_run"]) == (503, True)
        plain = await add_plain(fleet, "a")
        for node in (second, first):
            request = make_call(node, target, "k1", "pass 7")
            assert (await HttpClient().fetch(request))[0] == 200
        assert list(plain.runs.values()) == [1]
        await fleet.close()
        await plain.stop()

    asyncio.run(run())


def test_table_outage_blocks_chosen_keys_but_not_issued_keys() -> None:
    """During a table outage only keys that the fleet issued can be used.

    Keys chosen by callers need a claim in the table. An issued key still runs its
    call once, and only for the account to which it was issued.
    """

    async def run() -> None:
        fleet = FakeFleet()
        plain = await add_plain(fleet, "a")
        nodes = [await fleet.add_node("r1"), await fleet.add_node("r2")]
        fleet.table.is_out = True
        target = "/v1/pass/call/book"
        chosen = make_call(nodes[0], target, "k1", "pass 7", deadline_ms=200)
        status, body = await HttpClient().fetch(chosen)
        assert (status, json.loads(body)["code"]) == (503, "BZ1405")
        assert json.loads(body)["not_run"] is False
        status, body = await HttpClient().fetch(make_call(nodes[0], "/v1/pass/keys"))
        assert status == 201
        key = json.loads(body)["key"]
        bodies = set()
        for node in (nodes[1], nodes[0], nodes[1]):
            request = make_call(node, target, key, "pass 7")
            status, body = await HttpClient().fetch(request)
            assert status == 200
            bodies.add(body)
        assert len(bodies) == 1
        assert list(plain.runs.values()) == [1]
        other_account_call = make_call(nodes[0], target, key, "pass 7", account="snow")
        status, body = await HttpClient().fetch(other_account_call)
        assert (status, json.loads(body)["not_run"]) == (400, True)
        await fleet.close()
        await plain.stop()

    asyncio.run(run())


def test_dead_issuer_leaves_the_outcome_unknown() -> None:
    """Without its issuer, no router can tell whether an issued key was used."""

    async def run() -> None:
        fleet = FakeFleet()
        plain = await add_plain(fleet, "a")
        nodes = [await fleet.add_node("r1"), await fleet.add_node("r2")]
        _, body = await HttpClient().fetch(make_call(nodes[0], "/v1/pass/keys"))
        key = json.loads(body)["key"]
        target = "/v1/pass/call/book"
        await HttpClient().fetch(make_call(nodes[0], target, key, "pass 7"))
        await fleet.kill(nodes[0])
        status, body = await HttpClient().fetch(
            make_call(nodes[1], target, key, "pass 7")
        )
        assert (status, json.loads(body)["not_run"]) == (504, False)
        assert list(plain.runs.values()) == [1]
        await fleet.close()
        await plain.stop()

    asyncio.run(run())


def test_unsent_non_repeatable_call_is_retried_elsewhere() -> None:
    """A refused connection proves that a call did not run, so it may be retried."""

    async def run() -> None:
        fleet = FakeFleet()
        stopped = await add_plain(fleet, "a")
        plain = await add_plain(fleet, "b")
        await stopped.stop()
        node = await fleet.add_node("r1")
        host, _, port = stopped.address.rpartition(":")
        with hold_port(host, int(port)):
            for n in range(4):
                request = make_call(node, "/v1/pass/call/book", f"k{n}", "pass 7")
                assert (await HttpClient().fetch(request))[0] == 200
        assert set(plain.runs.values()) == {1}
        assert len(plain.runs) == 4
        await fleet.close()
        await plain.stop()

    asyncio.run(run())


def test_poison_request_crashes_two_engines_at_most() -> None:
    """A body that crashes engines is quarantined fleet-wide after two crashes.

    Other requests on the crashed engines must complete, and a router that joins
    later must refuse the body too.
    """

    async def run() -> None:
        fleet = FakeFleet()
        engines = [await add_standin(fleet, f"e{n}", SLOW) for n in range(5)]
        for engine in engines:
            engine.faults.poison_marker = "poison"
            engine.faults.restart_s = 0.3
        nodes = [await fleet.add_node(f"r{n}") for n in range(3)]
        readers = [Reader() for _ in range(9)]
        other_requests = [
            asyncio.create_task(
                reader.read(
                    make_completion_call(nodes[n % 3], f"n{n}", prompt=f"innocent {n}")
                )
            )
            for n, reader in enumerate(readers)
        ]
        await wait_until(lambda: all(reader.texts for reader in readers))
        for n in range(6):
            request = make_completion_call(nodes[n % 3], f"p{n}", prompt="poison")
            status, body = await HttpClient().fetch(request)
            refusal = json.loads(body)
            assert (status, refusal["code"]) == (422, "BZ1403")
            assert refusal["not_run"] is (n > 0)
        await asyncio.gather(*other_requests)
        for n, reader in enumerate(readers):
            assert reader.text == make_expected_text("ski", f"n{n}")
            assert reader.done is not None
        assert sum(engine.n_crashes for engine in engines) == 2
        late_node = await fleet.add_node("late")
        request = make_completion_call(late_node, "p9", prompt="poison")
        assert (await HttpClient().fetch(request))[0] == 422
        await fleet.close()
        for engine in engines:
            await engine.stop()

    asyncio.run(run())


def test_refusal_in_another_region_says_not_run_only_if_it_is_true() -> None:
    """A region must not report "not run" for a key that ran in another region.

    This also holds while the other region cannot be reached.
    """

    async def run() -> None:
        fleet = FakeFleet()
        engine = await add_standin(fleet, "a")
        south = [await fleet.add_node(f"s{n}", region="south") for n in range(3)]
        north = await fleet.add_node("n1", region="north")
        await Reader().read(make_completion_call(south[0], "k1"))
        await fleet.kill(south[0])
        fleet.backends.clear()
        not_run_flags = []
        for key in ("k1", "k2"):
            status, body = await HttpClient().fetch(make_completion_call(north, key))
            assert status == 503
            not_run_flags.append(json.loads(body)["not_run"])
        assert not_run_flags == [False, True]
        for node in south[1:]:
            node.is_cut = True
        _, body = await HttpClient().fetch(make_completion_call(north, "k3"))
        assert json.loads(body)["not_run"] is False
        await fleet.close()
        await engine.stop()

    asyncio.run(run())


def test_stale_refusal_is_not_returned_for_a_key_that_ran_elsewhere() -> None:
    """A stored "not run" refusal is outdated once another router has run the key."""

    async def run() -> None:
        fleet = FakeFleet()
        first = await fleet.add_node("r1")
        second = await fleet.add_node("r2")
        target = "/v1/requests/k1"
        _, body = await HttpClient().fetch(make_completion_call(first, "k1"))
        assert json.loads(body)["not_run"] is True
        engine = await add_standin(fleet, "a")
        engine.faults.poison_marker = "review"
        engine.faults.restart_s = 5.0
        _, body = await HttpClient().fetch(make_completion_call(second, "k1"))
        assert json.loads(body)["not_run"] is False
        for node in (first, second):
            _, body = await HttpClient().fetch(make_call(node, target, method="GET"))
            assert json.loads(body)["not_run"] is False
        await fleet.close()
        await engine.stop()

    asyncio.run(run())
