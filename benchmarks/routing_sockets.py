"""Compares the routing model on virtual time with the engine stand-ins over sockets."""

from __future__ import annotations

import asyncio
import json
import random
import sys
from typing import TYPE_CHECKING

import attrs

from benchmarks._engines import EngineLimits
from benchmarks._policies import CoreRouter, LeastInFlight
from benchmarks._workload import ClassMix, WorkItem, make_items
from benchmarks.report import Bound, finish_benchmark
from benchmarks.routing import Scenario, Simulation, find_percentile
from bronzesail.configuration import Configuration
from bronzesail.explain import DecisionLog
from bronzesail.fleet import RouterInfo
from bronzesail.http import HttpCall, HttpClient
from bronzesail.routing import RouteRequest, RoutingService
from bronzesail.schema import HostEntry, RouterId, RoutingSettings, ServiceEntry
from bronzesail.standin import EngineSpeed, EngineStandin, draw_output_tokens
from bronzesail.util.clock import SystemClock
from bronzesail.util.prefix import hash_blocks

if TYPE_CHECKING:
    from collections.abc import Callable

SEED = 3
RATE_PER_S = 15.0
DURATION_S = 20.0
CACHE_BLOCKS = 500
SLOTS = 8
PREFILL_TOKENS_PER_S = 10_000.0
N_ROUTERS = 2
HIT_TOLERANCE = 0.25
MS_PER_S = 1000.0
SERVICE = "desk"
HOSTS = ("b0", "b1", "b2")
CLASSES = (ClassMix("answer", 1.0, 400, 60, 0.85, 80, 0, 5000, 30.0),)
SPEED = EngineSpeed(
    slots=SLOTS, prefill_tokens_per_s=PREFILL_TOKENS_PER_S, cache_blocks=CACHE_BLOCKS
)
SCENARIO = Scenario(
    "sockets",
    1.0,
    CLASSES,
    EngineLimits(
        slots=SLOTS,
        step_s=1.0 / SPEED.tokens_per_s,
        step_per_request_s=SPEED.batch_slowdown / SPEED.tokens_per_s / SLOTS,
        prefill_tokens_per_s=PREFILL_TOKENS_PER_S,
        cache_blocks=CACHE_BLOCKS,
        report_lag_s=0.5,
        event_lag_s=0.5,
        event_loss=0.0,
    ),
    east_share=1.0,
    regions=dict.fromkeys(HOSTS, "east"),
    routers={f"r{n}": "east" for n in range(N_ROUTERS)},
)
SETTINGS = RoutingSettings()


class _Membership:
    """Fixed host list."""

    def __init__(self, entries: tuple[HostEntry, ...], number: int) -> None:
        self._entries = entries
        self._number = number
        self.own = self._make_info(number)

    def list_routers(self) -> tuple[RouterInfo, ...]:
        """Return the other routers."""
        others = (n for n in range(N_ROUTERS) if n != self._number)
        return tuple(self._make_info(n) for n in others)

    def list_backends(self, service: str) -> tuple[HostEntry, ...]:
        """Return the engines."""
        return self._entries

    def is_listed(self, router_id: RouterId) -> bool:
        """Tell that every router is live."""
        return True

    def subscribe(self, listener: Callable[[], None]) -> None:
        """Take a listener that is never called."""

    def _make_info(self, number: int) -> RouterInfo:
        return RouterInfo(RouterId(f"r{number}", 1), "", "dc", "east")


class _Configuration:
    """Fixed configuration."""

    def __init__(self) -> None:
        service = ServiceEntry(SERVICE, "model", is_repeatable=True)
        self.current = Configuration(1, services={SERVICE: service})

    def subscribe(self, listener: Callable[[Configuration], None]) -> None:
        """Take a listener that is never called."""


@attrs.frozen
class Result:
    """Hit share and sorted times to first token of one run, in seconds."""

    hit_share: float
    ttft_s: list[float]


def make_text_items() -> list[WorkItem]:
    """Return the workload with prompts in hexadecimal, which is valid UTF-8."""
    items = make_items(RATE_PER_S, DURATION_S, SEED, CLASSES)
    texts = []
    for item in items:
        prompt = item.prompt.hex().encode()
        n_output = draw_output_tokens(f"k{item.number}", item.mix.output_tokens)
        hashes = hash_blocks(prompt)
        texts.append(
            attrs.evolve(item, prompt=prompt, hashes=hashes, output_tokens=n_output)
        )
    return texts


def simulate(items: list[WorkItem], is_ours: bool) -> Result:
    """Run the workload on virtual time."""
    simulation = Simulation(CoreRouter if is_ours else LeastInFlight, SCENARIO)
    outcome = simulation.run(items)
    ttft_s = sorted(r.ttft_s for r in outcome.records if r.ttft_s >= 0)
    return Result(outcome.find_hit_share(), ttft_s)


class SocketRun:
    """Workload over sockets, through routing or to the least loaded engine."""

    def __init__(self, is_ours: bool) -> None:
        self._is_ours = is_ours
        self._client = HttpClient()
        self._rng = random.Random(SEED)
        self._engines = [EngineStandin(host, SPEED) for host in HOSTS]
        self._services: list[RoutingService] = []
        self._in_flight: list[dict[str, int]] = []
        self._ttft_s: list[float] = []

    async def run(self, items: list[WorkItem]) -> Result:
        """Run the workload to its end."""
        for engine in self._engines:
            await engine.start()
        entries = tuple(
            HostEntry(e.name, SERVICE, e.address, "dc", "east") for e in self._engines
        )
        await self._start_routers(entries)
        addresses = {entry.host: entry.address for entry in entries}
        loop = asyncio.get_running_loop()
        start = loop.time()
        tasks = []
        for item in items:
            await asyncio.sleep(max(0.0, start + item.at - loop.time()))
            tasks.append(asyncio.create_task(self._serve(item, addresses)))
        await asyncio.gather(*tasks)
        hit_share = await self._find_hit_share(items)
        for service in self._services:
            await service.stop()
        self._client.close()
        for engine in self._engines:
            await engine.stop()
        return Result(hit_share, sorted(self._ttft_s))

    async def _start_routers(self, entries: tuple[HostEntry, ...]) -> None:
        for number in range(N_ROUTERS):
            self._in_flight.append(dict.fromkeys(HOSTS, 0))
            service = RoutingService(
                _Membership(entries, number),
                _Configuration(),
                self._client,
                SystemClock(),
                random.Random(number),
                DecisionLog(),
                SETTINGS,
            )
            self._services.append(service)
            if self._is_ours:
                await service.start()

    async def _serve(self, item: WorkItem, addresses: dict[str, str]) -> None:
        number = item.number % N_ROUTERS
        if not self._is_ours:
            counts = self._in_flight[number]
            host = min(HOSTS, key=lambda h: (counts[h], self._rng.random()))
            counts[host] += 1
            await self._send(item, addresses[host], lambda: None)
            counts[host] -= 1
            return
        service = self._services[number]
        order = RouteRequest(
            service=SERVICE,
            request_key=f"k{item.number}",
            prompt=item.prompt,
            prompt_tokens=item.prompt_tokens,
            output_tokens=item.mix.output_tokens,
            class_name=item.mix.name,
            priority=0,
            ageing_ms=item.mix.ageing_ms,
            deadline=SystemClock().monotonic() + item.mix.deadline_s,
        )
        route = (await service.acquire(order)).unwrap()
        address = route.backend.address
        await self._send(item, address, lambda: service.note_first_token(route))
        service.release(route, item.output_tokens, is_failed=False)

    async def _send(
        self, item: WorkItem, address: str, note_first: Callable[[], None]
    ) -> None:
        loop = asyncio.get_running_loop()
        content = {
            "request_id": f"k{item.number}",
            "prompt": item.prompt.decode(),
            "max_tokens": item.mix.output_tokens,
        }
        body = json.dumps(content).encode()
        start = loop.time()
        call = HttpCall(address, "POST", "/v1/completions", body=body)
        exchange = await self._client.send(call)
        is_first = True
        async for _ in exchange.iterate_body():
            if is_first:
                self._ttft_s.append(loop.time() - start)
                note_first()
                is_first = False
        exchange.close()

    async def _find_hit_share(self, items: list[WorkItem]) -> float:
        """Return the share of blocks that were not stored anew.

        Every stored block beyond the cache's size evicts one, so the number of the
        last event gives the number of stored blocks.
        """
        await asyncio.sleep(1.0)
        n_stored = 0
        for engine in self._engines:
            call = HttpCall(engine.address, "GET", "/v1/cache-events?after=0")
            _, body = await self._client.fetch(call)
            last = json.loads(body)["last_seq"]
            n_stored += last if last <= CACHE_BLOCKS else (last + CACHE_BLOCKS) // 2
        n_blocks = sum(len(item.hashes) for item in items)
        return 1.0 - n_stored / n_blocks


def summarize(result: Result) -> dict[str, float]:
    """Return the figures of one run."""
    figures = {"hit_share": round(result.hit_share, 4)}
    for percent in (50, 95, 99):
        value = find_percentile(result.ttft_s, percent) * MS_PER_S
        figures[f"ttft_p{percent}_ms"] = round(value, 1)
    return figures


def main() -> int:
    """Run the workload four times and compare."""
    items = make_text_items()
    figures = {
        "virtual_time": summarize(simulate(items, is_ours=True)),
        "sockets": summarize(asyncio.run(SocketRun(is_ours=True).run(items))),
    }
    least = {
        "virtual_time": summarize(simulate(items, is_ours=False)),
        "sockets": summarize(asyncio.run(SocketRun(is_ours=False).run(items))),
    }
    bounds = []
    for name, rows in (("bronzesail", figures), ("least_in_flight", least)):
        ratio = rows["sockets"]["hit_share"] / rows["virtual_time"]["hit_share"]
        off = abs(ratio - 1.0)
        bounds.append(
            Bound(f"{name} hit share, model against sockets", off, HIT_TOLERANCE)
        )
    bounds.append(
        Bound(
            "sockets: hit share, least in-flight / bronzesail",
            least["sockets"]["hit_share"] / figures["sockets"]["hit_share"],
            1.0,
        )
    )
    return finish_benchmark(
        "routing_sockets", figures, {"least_in_flight": least}, bounds
    )


if __name__ == "__main__":
    sys.exit(main())
