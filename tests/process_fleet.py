"""Starts a small fleet as separate processes, for the tests of the command line."""

from __future__ import annotations

import asyncio
import json
import re
import signal
import subprocess
import sys
from typing import TYPE_CHECKING, Any

import attrs

from bronzesail.http import HttpCall, HttpClient, HttpError
from bronzesail.operator import OperatorClient
from tools.fleet_processes import (
    OPERATOR_KEY,
    ROOT,
    FleetProcesses,
    RouterProcess,
    wait_until,
)

if TYPE_CHECKING:
    from pathlib import Path

ANSWERS = """
[deployment]
name = agency
preference = tighter-spend
[region lowlands]
data_centres = edinburgh, glasgow
[service summariser]
kind = model
is_repeatable = yes
[service notices]
kind = plain
is_repeatable = no
[class answer]
priority = 1
[account council]
[budget council/main]
top_up_tokens = 100000
top_up_id = invoice-1
"""
LONG_ANSWER_TOKENS = 400


@attrs.frozen
class Fleet:
    processes: FleetProcesses
    bearer_key: str

    @property
    def routers(self) -> list[RouterProcess]:
        return self.processes.routers


def run_cli(*arguments: str, code: int = 0) -> str:
    result = subprocess.run(
        [sys.executable, "-m", "bronzesail", *arguments],
        cwd=ROOT,
        capture_output=True,
        text=True,
        check=False,
    )
    assert result.returncode == code, result.stdout + result.stderr
    assert "Traceback" not in result.stderr
    return result.stdout + result.stderr


def list_operator_options(router: RouterProcess) -> tuple[str, ...]:
    address = router.operator_address
    return ("--router", address, "--operator-key", OPERATOR_KEY)


def fetch(router: RouterProcess, target: str) -> dict[str, Any]:
    client = OperatorClient(router.operator_address, OPERATOR_KEY)
    return asyncio.run(client.get(target))


def has_discovered_fleet(router: RouterProcess, n_peers: int) -> bool:
    status = fetch(router, "/status")
    servers = sum(len(entry["backend_servers"]) for entry in status["services"])
    return len(status["peers"]) == n_peers and status["is_ready"] and servers == 3


def start_fleet(folder: Path) -> Fleet:
    """Start three routers in two data centres, two engines and a plain service."""
    processes = FleetProcesses(folder)
    try:
        processes.start_platform()
        for number, data_centre in enumerate(("edinburgh", "glasgow")):
            processes.start_backend(
                "engine", "summariser", f"engine-{number}", data_centre, "lowlands"
            )
        processes.start_backend("plain", "notices", "plain-0", "glasgow", "lowlands")
        for number, data_centre in enumerate(("edinburgh", "glasgow", "edinburgh")):
            processes.start_router(f"entry-{number}", data_centre, "lowlands")
        return Fleet(processes, configure(processes, folder))
    except BaseException:
        processes.stop()
        raise


def configure(processes: FleetProcesses, folder: Path) -> str:
    answers = folder / "answers.ini"
    answers.write_text(ANSWERS)
    generated = str(folder / "agency.bzc")
    first = processes.routers[0]
    wait_until(lambda: len(fetch(first, "/status")["peers"]) == 2)
    text = run_cli("questionnaire", "--answers", str(answers), "--output", generated)
    assert "budget council/main: add 100000 tokens under id invoice-1" in text
    applied = run_cli("apply", generated, *list_operator_options(first))
    assert "version 1 is accepted" in applied
    assert "entry-0, entry-1, entry-2" in applied
    for router in processes.routers:
        wait_until(lambda router=router: has_discovered_fleet(router, 2))
    # Applying the same file again conflicts: its base version is no longer in force.
    run_cli("apply", generated, *list_operator_options(first), code=5)
    match = re.search(r"key of council, shown this once: (\S+)", text)
    assert match is not None
    return match.group(1)


def make_call(fleet: Fleet, key: str, max_tokens: int) -> dict[str, Any]:
    return {
        "method": "POST",
        "target": "/v1/summariser/completions",
        "headers": list_headers(fleet, key),
        "body": json.dumps({"prompt": "outage", "max_tokens": max_tokens}).encode(),
    }


def list_headers(fleet: Fleet, key: str, *more_headers: tuple[str, str]) -> Any:
    bearer = ("authorization", f"Bearer {fleet.bearer_key}")
    return (bearer, ("idempotency-key", key), *more_headers)


async def read_stream(
    router: RouterProcess, call: dict[str, Any], stop_after: int = 0
) -> tuple[list[int], bool]:
    """Return the received event numbers, and whether the answer is complete.

    If `stop_after` is given, the router is killed after that many events."""
    client = HttpClient()
    numbers: list[int] = []
    is_done = False
    try:
        exchange = await client.send(HttpCall(router.caller_address, **call))
        assert exchange.status == 200
        buffer = ""
        async for part in exchange.iterate_body(30.0):
            buffer += part.decode()
            *events, buffer = buffer.split("\n\n")
            for event in events:
                is_done |= "event: done" in event
                match = re.search(r"^id: (\d+)", event, re.MULTILINE)
                if match and "event: done" not in event:
                    numbers.append(int(match.group(1)))
            if stop_after and len(numbers) >= stop_after:
                router.program.send(signal.SIGKILL)
                stop_after = 0
        exchange.close()
    except (HttpError, TimeoutError):
        is_done = False
    client.close()
    return numbers, is_done
