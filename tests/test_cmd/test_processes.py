"""End-to-end tests of a fleet of processes: configure, call, stop, kill, resume."""

from __future__ import annotations

import asyncio
import json
import signal
from typing import TYPE_CHECKING

import pytest

from bronzesail.http import HttpCall, HttpClient
from tests.process_fleet import (
    LONG_ANSWER_TOKENS,
    Fleet,
    fetch,
    list_headers,
    list_operator_options,
    make_call,
    read_stream,
    run_cli,
    start_fleet,
)

if TYPE_CHECKING:
    from collections.abc import Iterator

    from tools.fleet_processes import RouterProcess


@pytest.fixture(scope="module")
def fleet(tmp_path_factory: pytest.TempPathFactory) -> Iterator[Fleet]:
    started = start_fleet(tmp_path_factory.mktemp("fleet"))
    yield started
    started.processes.stop()


def test_repeated_plain_call_runs_once(fleet: Fleet) -> None:
    async def post(router: RouterProcess) -> tuple[int, bytes]:
        client = HttpClient()
        call = HttpCall(
            router.caller_address,
            "POST",
            "/v1/notices/call/notices",
            list_headers(fleet, "notice-1"),
            b"{}",
        )
        answer = await client.fetch(call)
        client.close()
        return answer

    status, body = asyncio.run(post(fleet.routers[0]))
    assert status == 200, body
    assert json.loads(body)["run"] == 1
    repeated_status, repeated_body = asyncio.run(post(fleet.routers[1]))
    assert repeated_status in (200, 409), repeated_body
    if repeated_status == 200:
        assert json.loads(repeated_body)["run"] == 1
    text = run_cli(
        "explain", "request/council/notice-1", *list_operator_options(fleet.routers[0])
    )
    assert "plain-0" in text


def test_killed_router_loses_no_answer(fleet: Fleet) -> None:
    call = make_call(fleet, "report-1", LONG_ANSWER_TOKENS)
    killed = fleet.routers[2]
    first, is_done = asyncio.run(read_stream(killed, call, stop_after=5))
    assert not is_done
    assert first == list(range(1, len(first) + 1))
    fleet.processes.remove_host(killed.host)
    resume = {
        "method": "GET",
        "target": "/v1/requests/report-1",
        "headers": list_headers(fleet, "report-1", ("last-event-id", str(first[-1]))),
    }
    rest, is_done = asyncio.run(read_stream(fleet.routers[0], resume))
    assert is_done
    assert rest == list(range(first[-1] + 1, first[-1] + 1 + len(rest)))


def test_graceful_shutdown_completes_running_answers(fleet: Fleet) -> None:
    stopping = fleet.routers[1]

    async def stop_during_stream() -> tuple[list[int], bool]:
        call = make_call(fleet, "report-2", LONG_ANSWER_TOKENS)
        reading = asyncio.create_task(read_stream(stopping, call))
        await asyncio.sleep(0.5)
        stopping.program.send(signal.SIGTERM)
        return await reading

    numbers, is_done = asyncio.run(stop_during_stream())
    assert is_done
    assert numbers == list(range(1, len(numbers) + 1))
    assert stopping.program.wait() == 0
    row = fetch(fleet.routers[0], "/budgets/council/main")
    assert row["settled_tokens"] >= len(numbers)
    assert stopping.host not in [grant["holder"] for grant in row["grants"]]
