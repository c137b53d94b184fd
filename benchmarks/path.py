"""Benchmark of the whole path as processes: added latency and a router at rest.

The same engines are called directly and through a router in turn, in one run.
"""

from __future__ import annotations

import asyncio
import json
import re
import subprocess
import sys
import tempfile
import time
from pathlib import Path

import attrs

from benchmarks.report import Bound, finish_benchmark
from bronzesail.http import HttpCall, HttpClient
from bronzesail.operator import OperatorClient
from tools.fleet_processes import (
    OPERATOR_KEY,
    ROOT,
    FleetProcesses,
    Program,
    measure_cpu_s,
    measure_memory_bytes,
    wait_until,
)

ANSWERS = """
[deployment]
name = bench
preference = fewer-refusals
[region amman]
data_centres = amman-a, amman-b
[service desk]
kind = model
is_repeatable = yes
[class answer]
priority = 1
[account bench]
[budget bench/main]
top_up_tokens = 100000000
top_up_id = first
"""
N_CALLS = 400
N_WARM_UP_CALLS = 50
CALL_INTERVAL_S = 0.02
MAX_TOKENS = 8
REST_S = 20.0
PROMPT = "a short question at the window"
ADDED_P95_LIMIT_MS = 5.0
REST_CPU_LIMIT_SHARE = 0.014
REST_MEMORY_LIMIT_MB = 256.0


@attrs.frozen
class Samples:
    """Times to the first part, in milliseconds, in the order of the calls."""

    direct_ms: list[float]
    routed_ms: list[float]


def find_percentile(values: list[float], percent: float) -> float:
    """Return a percentile by the nearest rank."""
    ranked = sorted(values)
    return ranked[round((len(ranked) - 1) * percent / 100.0)]


def configure(fleet: FleetProcesses, folder: Path) -> str:
    """Put the answers in force and return the bearer key."""
    answers = folder / "answers.ini"
    answers.write_text(ANSWERS)
    generated = folder / "generated"
    text = run_cli("questionnaire", "--answers", str(answers), "--output", generated)
    address = fleet.routers[0].operator_address
    run_cli("apply", generated, "--router", address, "--operator-key", OPERATOR_KEY)
    match = re.search(r"shown this once: (\S+)", text)
    assert match is not None
    return match.group(1)


def run_cli(*arguments: object) -> str:
    """Return what a subcommand prints."""
    command = [sys.executable, "-m", "bronzesail", *map(str, arguments)]
    result = subprocess.run(
        command, cwd=ROOT, capture_output=True, text=True, check=True
    )
    return result.stdout


def fetch_status(address: str) -> dict[str, object]:
    """Return a router's status."""
    return asyncio.run(OperatorClient(address, OPERATOR_KEY).get("/status"))


async def time_first_part(client: HttpClient, call: HttpCall) -> float:
    """Return the time to the first part of an answer, in milliseconds."""
    started = time.perf_counter()
    exchange = await client.send(call)
    assert exchange.status == 200, exchange.status
    first_ms = 0.0
    async for _ in exchange.iterate_body(30.0):
        if not first_ms:
            first_ms = (time.perf_counter() - started) * 1000.0
    exchange.close()
    return first_ms


def make_direct_call(engine: str, number: int) -> HttpCall:
    """Return a call of an engine without a router."""
    content = {
        "request_id": f"direct-{number}",
        "prompt": PROMPT,
        "max_tokens": MAX_TOKENS,
        "priority": 1,
        "stream": True,
    }
    body = json.dumps(content).encode()
    return HttpCall(engine, "POST", "/v1/completions", body=body)


def make_routed_call(router: str, bearer_key: str, number: int) -> HttpCall:
    """Return a call of a router."""
    content = {"prompt": PROMPT, "max_tokens": MAX_TOKENS}
    headers = (
        ("authorization", f"Bearer {bearer_key}"),
        ("idempotency-key", f"routed-{number}"),
    )
    body = json.dumps(content).encode()
    return HttpCall(router, "POST", "/v1/desk/completions", headers, body)


async def measure_latency(engines: list[str], router: str, bearer_key: str) -> Samples:
    """Return the times of direct and routed calls, made in turn."""
    client = HttpClient()
    samples = Samples([], [])
    for number in range(N_WARM_UP_CALLS + N_CALLS):
        engine = engines[number % len(engines)]
        direct_ms = await time_first_part(client, make_direct_call(engine, number))
        routed_ms = await time_first_part(
            client, make_routed_call(router, bearer_key, number)
        )
        await asyncio.sleep(CALL_INTERVAL_S)
        if number < N_WARM_UP_CALLS:
            continue
        samples.direct_ms.append(direct_ms)
        samples.routed_ms.append(routed_ms)
    client.close()
    return samples


def measure_rest(program: Program) -> tuple[float, float]:
    """Return the share of a core and the megabytes of a router at rest."""
    cpu_s = measure_cpu_s(program.pid)
    time.sleep(REST_S)
    share = (measure_cpu_s(program.pid) - cpu_s) / REST_S
    return share, measure_memory_bytes(program.pid) / 1e6


def main() -> int:
    """Run the benchmark; return 0 if its bounds hold."""
    with tempfile.TemporaryDirectory() as name:
        fleet = FleetProcesses(Path(name))
        try:
            return run(fleet, Path(name))
        finally:
            fleet.stop()


def run(fleet: FleetProcesses, folder: Path) -> int:
    """Start the fleet, measure it and report."""
    fleet.start_platform()
    for number, data_centre in enumerate(("amman-a", "amman-b")):
        fleet.start_backend("engine", "desk", f"desk-{number}", data_centre, "amman")
    for number in range(4):
        data_centre = "amman-a" if number % 2 else "amman-b"
        fleet.start_router(f"entry-{number}", data_centre, "amman")
    router = fleet.routers[0]
    wait_until(lambda: len(fetch_status(router.operator_address)["peers"]) == 3)  # type: ignore[arg-type]
    bearer_key = configure(fleet, folder)
    wait_until(lambda: fetch_status(router.operator_address)["is_ready"])
    rest_share, _ = measure_rest(router.program)
    engines = [fleet.find_address("desk-0"), fleet.find_address("desk-1")]
    samples = asyncio.run(measure_latency(engines, router.caller_address, bearer_key))
    memory_mb = measure_memory_bytes(router.program.pid) / 1e6
    figures = {
        "direct_ttft_p50_ms": find_percentile(samples.direct_ms, 50),
        "direct_ttft_p95_ms": find_percentile(samples.direct_ms, 95),
        "ttft_p50_ms": find_percentile(samples.routed_ms, 50),
        "ttft_p95_ms": find_percentile(samples.routed_ms, 95),
        "ttft_p99_ms": find_percentile(samples.routed_ms, 99),
    }
    added_p95_ms = figures["ttft_p95_ms"] - figures["direct_ttft_p95_ms"]
    figures["added_ttft_p95_ms"] = added_p95_ms
    figures["rest_cpu_share"] = rest_share
    figures["memory_mb"] = memory_mb
    bounds = [
        Bound("added time to first token, p95, ms", added_p95_ms, ADDED_P95_LIMIT_MS),
        Bound("router at rest, share of a core", rest_share, REST_CPU_LIMIT_SHARE),
        Bound("router's memory, MB", memory_mb, REST_MEMORY_LIMIT_MB),
    ]
    return finish_benchmark("path", {"one_region": figures}, {}, bounds)


if __name__ == "__main__":
    sys.exit(main())
