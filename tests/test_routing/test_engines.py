"""Tests of prefix affinity against stand-in engines over sockets."""

from __future__ import annotations

import asyncio
import json

from bronzesail.http import HttpCall, HttpClient
from bronzesail.standin import EngineSpeed, EngineStandin
from tests.routing_fakes import make_entry, make_request, make_service


async def run_request(service, client, key, prompt):
    request = make_request(key, prompt=prompt, prompt_tokens=len(prompt) // 4)
    route = (await service.acquire(request)).unwrap()
    body = {"request_id": key, "prompt": prompt.decode(), "max_tokens": 4}
    call = HttpCall(
        route.backend.address,
        "POST",
        "/v1/completions",
        body=json.dumps(body).encode(),
    )
    status, _ = await client.fetch(call)
    service.note_first_token(route)
    service.release(route, 4, is_failed=status != 200)
    return route.backend.host


def test_requests_with_a_cached_prefix_are_sent_to_the_server_that_holds_it():
    async def run():
        engines = [
            EngineStandin(f"b{n}", EngineSpeed(tokens_per_s=1000.0)) for n in range(3)
        ]
        for engine in engines:
            engine.faults.cache_lag_s = 0.0
            engine.faults.load_lag_s = 0.0
            await engine.start()
        entries = tuple(make_entry(e.name, e.address) for e in engines)
        _, service = make_service(entries, poll_period_ms=20)
        _, other = make_service(entries, poll_period_ms=20)
        await service.start()
        await other.start()
        client = HttpClient()
        prompt = b"contract " * 2000
        first = await run_request(service, client, "k0", prompt)
        n_blocks = 0
        while n_blocks == 0:
            await asyncio.sleep(0.01)
            n_blocks = other.core.prefixes.count_blocks(first)
        hosts = []
        for number in range(1, 7):
            text = prompt + str(number).encode()
            hosts.append(await run_request(other, client, f"k{number}", text))
        assert set(hosts) == {first}
        await service.stop()
        await other.stop()
        client.close()
        for engine in engines:
            await engine.stop()

    asyncio.run(run())
