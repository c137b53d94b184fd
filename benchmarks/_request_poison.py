"""Backend servers lost to a request that crashes them and is sent again."""

from __future__ import annotations

import asyncio
import json
import unittest.mock
from contextlib import contextmanager
from typing import TYPE_CHECKING, Any

import attrs

from bronzesail.http import HttpCall, HttpClient, HttpError
from bronzesail.request._quarantine import Quarantine
from bronzesail.standin import EngineSpeed, EngineStandin
from tests.request_fakes import FakeFleet, FakeNode

if TYPE_CHECKING:
    from collections.abc import Iterator

__all__ = ["PoisonResult", "measure_poison"]

N_ROUTERS = 3
N_ENGINES = 6
N_RESENDS = 12
N_NEIGHBOURS = 18
SPEED = EngineSpeed(tokens_per_s=40.0)
RESTART_S = 0.4


@attrs.define
class PoisonResult:
    """Crashes, and what became of the innocent requests."""

    n_lost_servers: int = 0
    n_neighbours: int = 0
    n_neighbours_served: int = 0
    n_false_not_run: int = 0


def measure_poison(is_guarded: bool) -> PoisonResult:
    """Return what one poison request and its resends do."""
    if is_guarded:
        return asyncio.run(_run())
    with _disable_quarantine():
        return asyncio.run(_run())


@contextmanager
def _disable_quarantine() -> Iterator[None]:
    names: dict[str, Any] = {
        "is_suspect": lambda *arguments: False,
        "is_quarantined": lambda *arguments: False,
        "note_crash": lambda *arguments: None,
    }
    with unittest.mock.patch.multiple(Quarantine, **names):
        yield


async def _run() -> PoisonResult:
    fleet = FakeFleet()
    engines = [EngineStandin(f"e{n}", SPEED) for n in range(N_ENGINES)]
    for engine in engines:
        await engine.start()
        engine.faults.poison_marker = "poison"
        engine.faults.restart_s = RESTART_S
        fleet.list_backend(engine.name, "desk", engine.address)
    nodes = [await fleet.add_node(f"r{n}") for n in range(N_ROUTERS)]
    result = PoisonResult()
    neighbours = [
        asyncio.create_task(_serve_neighbour(nodes, n, result))
        for n in range(N_NEIGHBOURS)
    ]
    await asyncio.sleep(0.1)
    for n in range(N_RESENDS):
        status, body = await _ask(nodes[n % N_ROUTERS], f"p{n}", "poison")
        if status != 200 and json.loads(body)["not_run"]:
            n_lost = sum(engine.n_crashes for engine in engines)
            result.n_false_not_run += n_lost == 0
    await asyncio.gather(*neighbours)
    result.n_lost_servers = sum(engine.n_crashes for engine in engines)
    await fleet.close()
    for engine in engines:
        await engine.stop()
    return result


async def _serve_neighbour(nodes: list[FakeNode], n: int, result: PoisonResult) -> None:
    result.n_neighbours += 1
    try:
        status, _ = await _ask(nodes[n % N_ROUTERS], f"n{n}", f"innocent {n}")
    except HttpError:
        return
    result.n_neighbours_served += status == 200


async def _ask(node: FakeNode, key: str, prompt: str) -> tuple[int, bytes]:
    content = {"prompt": prompt, "max_tokens": 60, "stream": False}
    headers = (("authorization", "Bearer ski.s3cret"), ("idempotency-key", key))
    address = node.server.address
    target = "/v1/desk/completions"
    body = json.dumps(content).encode()
    return await HttpClient().fetch(HttpCall(address, "POST", target, headers, body))
