"""A router that is paused past its lease and resumed can't spend reclaimed tokens."""

from __future__ import annotations

import asyncio
import signal
from typing import TYPE_CHECKING

import pytest

from tests.process_fleet import (
    Fleet,
    fetch,
    make_call,
    read_stream,
    start_fleet,
)
from tools.fleet_processes import is_stopped, wait_until

if TYPE_CHECKING:
    from collections.abc import Iterator

    from tools.fleet_processes import RouterProcess

BUDGET = "/budgets/council/main"
SHORT_ANSWER_TOKENS = 20


@pytest.fixture
def fleet(tmp_path_factory: pytest.TempPathFactory) -> Iterator[Fleet]:
    started = start_fleet(tmp_path_factory.mktemp("paused"))
    yield started
    started.processes.stop()


def find_holders(fleet: Fleet) -> list[str]:
    row = fetch(fleet.routers[0], BUDGET)
    return [grant["holder"] for grant in row["grants"]]


def has_lost_grant(fleet: Fleet, paused: RouterProcess) -> bool:
    """Return whether a paused router's grant was reclaimed; fail if it runs."""
    assert is_stopped(paused.program.pid), "the paused router was resumed"
    return paused.host not in find_holders(fleet)


def test_paused_holder_is_reclaimed_and_spends_nothing_more(fleet: Fleet) -> None:
    paused = fleet.routers[1]
    call = make_call(fleet, "before-pause", SHORT_ANSWER_TOKENS)
    numbers, is_done = asyncio.run(read_stream(paused, call))
    assert is_done
    assert paused.host in find_holders(fleet)
    paused.program.send(signal.SIGSTOP)
    wait_until(lambda: is_stopped(paused.program.pid))
    fleet.processes.remove_host(paused.host)
    wait_until(lambda: has_lost_grant(fleet, paused))
    # Open records of the paused router are settled with the usage of the engine.
    wait_until(lambda: fetch(fleet.routers[0], BUDGET)["held_tokens"] == 0)
    row = fetch(fleet.routers[0], BUDGET)
    assert row["settled_tokens"] >= len(numbers)
    settled = row["settled_tokens"]
    paused.program.send(signal.SIGCONT)
    call = make_call(fleet, "after-pause", SHORT_ANSWER_TOKENS)
    _, is_done = asyncio.run(read_stream(fleet.routers[0], call))
    assert is_done
    fleet.routers[0].program.send(signal.SIGTERM)
    assert fleet.routers[0].program.wait() == 0
    row = fetch(fleet.routers[2], BUDGET)
    assert row["settled_tokens"] > settled
    spent = row["settled_tokens"] + row["held_tokens"] + row["granted_tokens"]
    assert spent <= row["prepaid_tokens"]
