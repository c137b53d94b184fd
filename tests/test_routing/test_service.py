"""Tests of routing in the event loop: waiting callers, deadlines and polls."""

from __future__ import annotations

import asyncio

from returns.result import Failure, Success

from bronzesail.errors import ResultCode
from bronzesail.http import HttpServer, send_json
from tests.routing_fakes import make_entry, make_request, make_service


def test_queued_request_gets_a_released_slot():
    async def run():
        _, service = make_service(
            (make_entry("b1"),), default_slots=1, overcommit_percent=100
        )
        await service.start()
        first = (await service.acquire(make_request("a"))).unwrap()
        second = asyncio.create_task(service.acquire(make_request("b")))
        await asyncio.sleep(0)
        assert not second.done()
        service.note_first_token(first)
        service.release(first, 3, is_failed=False)
        assert isinstance(await second, Success)
        await service.stop()

    asyncio.run(run())


def test_cancelled_requests_are_neither_queued_nor_in_flight():
    async def run():
        _, service = make_service(
            (make_entry("b1"),), default_slots=1, overcommit_percent=100
        )
        await service.start()
        first = (await service.acquire(make_request("a"))).unwrap()
        waiting = asyncio.create_task(service.acquire(make_request("b")))
        chosen = asyncio.create_task(service.acquire(make_request("c")))
        await asyncio.sleep(0)
        waiting.cancel()
        await asyncio.gather(waiting, return_exceptions=True)
        service.release(first, 3, is_failed=False)
        chosen.cancel()
        await asyncio.gather(chosen, return_exceptions=True)
        assert service.core.n_waiting == 0
        assert service.core.n_in_flight == 0
        await service.stop()

    asyncio.run(run())


def test_draining_backend_is_not_chosen_after_the_list_changed():
    async def run():
        membership, service = make_service((make_entry("b1"), make_entry("b2")))
        await service.start()
        membership.entries = (make_entry("b1", is_leaving=True), make_entry("b2"))
        for listener in membership.listeners:
            listener()
        for index in range(20):
            route = (await service.acquire(make_request(str(index)))).unwrap()
            assert route.backend.host == "b2"
        membership.entries = (make_entry("b2", is_leaving=True),)
        for listener in membership.listeners:
            listener()
        refusal = (await service.acquire(make_request("x"))).failure()
        assert refusal.code is ResultCode.NO_BACKEND
        assert refusal.is_not_run
        await service.stop()

    asyncio.run(run())


def test_queued_request_is_refused_at_its_deadline():
    async def run():
        _, service = make_service(
            (make_entry("b1"),), default_slots=1, overcommit_percent=100
        )
        await service.start()
        await service.acquire(make_request("a"))
        result = await service.acquire(make_request("b", deadline_s=0.1))
        assert isinstance(result, Failure)
        assert result.failure().code is ResultCode.DEADLINE_PASSED
        assert result.failure().is_not_run
        await service.stop()

    asyncio.run(run())


def test_reports_and_cache_events_are_polled_and_a_gap_drops_the_blocks():
    async def answer(request, responder):
        if request.path == "/v1/load":
            load = {"running": 3, "queued": 1, "slots": 7, "tokens_per_s": 1.0}
            await send_json(responder, 200, load | {"age_ms": 10})
            return
        after = int(request.find_query("after"))
        seqs = (after + 1, after + 2) if after < 4 else (after + 3,)
        events = [
            {"seq": seq, "kind": "stored", "block": f"{seq:016x}"} for seq in seqs
        ]
        await send_json(responder, 200, {"events": events})

    async def run():
        server = HttpServer(answer)
        await server.start("127.0.0.1", 0)
        _, service = make_service(
            (make_entry("b1", server.address),), idle_poll_period_ms=5
        )
        await service.start()
        prefixes = service.core.prefixes
        counts = []
        apply = prefixes.apply

        def apply_and_count(host, events):
            # Records the count at each poll; periodic sampling could miss a poll.
            result = apply(host, events)
            counts.append(prefixes.count_blocks(host))
            return result

        prefixes.apply = apply_and_count
        while True:
            await asyncio.sleep(0.005)
            if prefixes.find_sequence("b1") >= 10:
                break
        assert counts[:3] == [2, 4, 1]
        assert prefixes.count_blocks("b1") == 1
        await service.stop()
        await server.close()

    asyncio.run(run())
