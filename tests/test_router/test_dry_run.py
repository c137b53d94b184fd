"""A dry run decides like a request does, and leaves no trace."""

from __future__ import annotations

import asyncio
import copy
import json

import pytest
from typer.testing import CliRunner

from bronzesail.cmd import app
from bronzesail.model import Engine
from bronzesail.router.admission_queue import AdmissionQueue
from bronzesail.router.brittle_servers import BrittleReport
from bronzesail.router.directory import Directory
from bronzesail.router.dry_run import QuestionError, read_question
from bronzesail.router.placement import Placement, Work
from bronzesail.router.server_limits import ServerLimits
from tests.platform_standin import (
    HOST_NAME,
    Deployment,
    make_configuration,
    stream_events,
    wait_until,
)
from tests.router_fakes import (
    ManualClock,
    make_brittle_servers,
    make_server,
    make_server_lives,
)

NO_WORK = Work()
ENGINE = Engine(slots=8, cache_tokens=1000, tokens_per_event=5)


class Trial:
    """An admission queue of one router on the running loop's clock."""

    def __init__(self, n_servers):
        now = asyncio.get_running_loop().time
        self.directory = Directory(now)
        self.placement = Placement(now, "z1", {"z1": "r1", "z2": "r1", "z3": "r2"})
        # No permits are added by time.
        self.limits = ServerLimits(ManualClock(), "h1", lambda *_: ["h1"])
        self.brittle = make_brittle_servers(now)
        self.queue = AdmissionQueue(
            self.directory,
            self.placement,
            self.limits,
            self.brittle,
            make_server_lives(now, self.directory),
        )
        for number in range(n_servers):
            self.directory.put(make_server(f"s{number}", f"z{1 + number % 3}"))

    def list_verdicts(self, work=NO_WORK, excluded=(), version=None):
        return self.queue.list_verdicts("s", work, ENGINE, excluded, version)

    def find_reasons(self, **question):
        return {v.server.id: v.reason for v in self.list_verdicts(**question)}

    def read_state(self):
        brittle = (self.brittle._windows, self.brittle._shares)
        parts = (self.placement.loads, brittle, self.limits._announcements)
        return copy.deepcopy(parts), self.brittle._random.getstate()


def test_the_dry_run_names_the_server_that_the_request_then_gets():
    async def run():
        trial = Trial(6)
        for number in range(40):
            work = Work(parts=[("a", 100 * number), (f"b{number}", 50)], tokens=5000)
            excluded = [f"s{number % 6}"]
            verdicts = trial.list_verdicts(work, excluded)
            server = await trial.queue.find_server(
                "s", work, ENGINE, excluded, 1, trial.placement._now() + 1
            )
            assert [v.server for v in verdicts if v.is_chosen] == [server]
            trial.placement.note_load_report(server.id, number % 4, 0)
            if number % 2:
                trial.placement.note_assignment_ended(server.id)

    asyncio.run(run())


def test_a_dry_run_changes_nothing():
    async def run():
        trial = Trial(3)
        trial.limits.note_answer(trial.directory.get("s0"), 0.5)
        trial.limits.find_wait_s(trial.directory.get("s0"))  # Fills its cache.
        trial.brittle.merge([BrittleReport("s", 1.0, 0.0)])
        before = trial.read_state()
        for _ in range(50):
            trial.list_verdicts(Work(parts=[("a", 10), ("b", 5)], tokens=15))
        assert trial.read_state() == before

    asyncio.run(run())


def test_each_server_that_is_left_out_has_its_reason():
    async def run():
        trial = Trial(8)
        servers = [trial.directory.get(f"s{n}") for n in range(8)]
        trial.directory.put(make_server("s0", is_draining=True))
        trial.directory.note_leaving(servers[1])
        trial.directory.note_replaced(servers[2])
        trial.directory.withdrawals.note_pause(servers[3], 5.0)
        trial.placement.note_load_report("s4", 8, 8)
        trial.placement.note_failure("s5", is_unreachable=True)
        trial.limits.note_answer(servers[6], 1.0)
        while not trial.limits.find_wait_s(servers[6]):
            trial.limits.take_permit(servers[6])
        reasons = trial.find_reasons()
        for number, text in enumerate(
            ["its entry", "own word", "another server", "pause", "full", "ejected"]
            + ["limit"]
        ):
            assert text in reasons[f"s{number}"]
        assert reasons["s7"] is None
        assert "version" in trial.find_reasons(version="v2")["s7"]
        assert "before" in trial.find_reasons(excluded=["s7"])["s7"]

    asyncio.run(run())


@pytest.mark.parametrize(
    ("query", "error"),
    [
        ("", "host is missing"),
        ("host=a", "path is missing"),
        ("host=a&path=x", "slash"),
        ("host=a&path=/&host=b", "once only"),
        ("host=a&path=/&priority=1", "unknown parameter 'priority'"),
        ("host=a&path=/&tokens=", "tokens is empty"),
        ("host=a&path=/&tokens=-1", "tokens must be a number"),
        ("host=a&path=/&tokens=" + "9" * 5000, "tokens must be a number"),
        ("host=a&path=/&part=b:5&tokens=4", "below the 5"),
        ("host=a&path=/&part=b", "ID:TOKENS"),
        ("host=a&path=/&part=b:\u0665", "ID:TOKENS"),
        ("host=a&path=/&x", "malformed"),
        ("host=%ff&path=/", "malformed"),
    ],
)
def test_a_malformed_question_gets_a_clear_error(query, error):
    with pytest.raises(QuestionError, match=error) as raised:
        read_question(query)
    assert len(str(raised.value)) < 200


def run_command(router, *arguments):
    """Return exit code and output of `bronzesail dry-run` against a router."""
    ip, port = router.app.internal_address
    command = ["dry-run", *arguments, "--router", f"{ip}:{port}"]
    result = CliRunner().invoke(app, command)
    return result.exit_code, result.output


def test_an_operator_asks_a_live_router(tmp_path):
    async def run():
        async with Deployment(tmp_path) as deployment:
            router = await deployment.start_router("h1")
            ask = [router, f"{HOST_NAME}/chat/1"]
            code, output = await asyncio.to_thread(run_command, *ask)
            assert (code, "no configuration yet" in output) == (1, True)
            deployment.store.put("op", "config", make_configuration())
            engine = await deployment.start_backend("e1", "llm", stream_events(1))
            await wait_until(router.app.is_ready)
            code, output = await asyncio.to_thread(
                run_command, *ask, "--account", "acme", "--part", "a:10", "--json"
            )
            [service] = json.loads(output)["services"]
            assert (code, service["decision"]) == (0, "send")
            assert [s["is_chosen"] for s in service["servers"]] == [True]
            for arguments, expected_code, text in [
                (ask, 0, "* e1 in z1"),
                ([*ask, "--exclude", "e1"], 0, "refuse: BZ1502"),
                ([*ask, "--account=nobody"], 1, "unknown account 'nobody'"),
                ([*ask, "--tokens=x"], 1, "tokens must be a number"),
                ([router, "nowhere/"], 1, "no route"),
                ([router, "nowhere"], 2, "HOST/PATH"),
            ]:
                code, output = await asyncio.to_thread(run_command, *arguments)
                assert (code, text in output) == (expected_code, True), output
            assert not engine.arrivals

    asyncio.run(run())
