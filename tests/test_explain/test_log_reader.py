"""A request is traced through the log lines of several routers."""

from __future__ import annotations

import json

import pytest
from typer.testing import CliRunner

from bronzesail.cmd import app
from bronzesail.explain import describe_cause, read_log_lines, trace_request

LINES = [
    {"time": 10.0, "host": "h1", "message": "store: lost", "table": "op"},
    {"time": 10.2, "host": "h2", "message": "store: lost", "table": "op"},
    {"time": 10.4, "host": "h1", "message": "budget: holdings", "held": {}},
    {
        "time": 11.0,
        "host": "h1",
        "message": "budget: unreachable",
        "request": "r1",
        "account": "acme",
    },
    {"time": 11.05, "host": "h1", "message": "server: ejected", "server": "s9"},
    {
        "time": 11.1,
        "host": "h1",
        "message": "request: ended",
        "request": "r1",
        "outcome": "BZ1303",
    },
    {"time": 11.2, "host": "h1", "message": "store: regained", "table": "op"},
]


def format_lines():
    malformed = ["not json", "{broken", '{"no": "message"}']
    return malformed + [f"  11.0 h1 {json.dumps(line)}" for line in reversed(LINES)]


def test_lines_are_sorted_and_malformed_lines_ignored():
    assert read_log_lines(format_lines()) == LINES


def test_trace_contains_only_relevant_context():
    trace = trace_request(LINES, "r1")
    assert [line["message"] for line in trace.lines] == [
        "budget: unreachable",
        "request: ended",
    ]
    assert trace.context == [LINES[0]]
    assert trace.cause.startswith("Tokens may have been left")


@pytest.mark.parametrize("source", ["file", "stdin"])
def test_command_prints_the_trace_and_its_cause(source, tmp_path):
    text = "\n".join(format_lines())
    path = tmp_path / "h1.log"
    path.write_text(text)
    if source == "file":
        result = CliRunner().invoke(app, ["explain", "r1", "--log", str(path)])
    else:
        result = CliRunner().invoke(app, ["explain", "r1"], input=text)
    assert result.exit_code == 0, result.output
    assert "* 00:00:11.100 h1 request: ended" in result.output
    assert "cause: Tokens may have been left" in result.output


def test_command_refuses_an_unknown_id(tmp_path):
    path = tmp_path / "h1.log"
    path.write_text("\n".join(format_lines()))
    result = CliRunner().invoke(app, ["explain", "r7", "--log", str(path)])
    assert result.exit_code != 0


def test_tokens_withheld_after_a_restore_of_the_store_are_the_cause():
    unreachable = {
        "message": "budget: unreachable",
        "tokens": 100,
        "left_in_store": 0,
        "possibly_left": 400,
        "era": 2,
    }
    ended = {"message": "request: ended", "outcome": "BZ1303"}
    assert "restored from an older copy" in describe_cause([unreachable, ended])
    unreachable["left_in_store"] = 400
    assert "restored" not in describe_cause([unreachable, ended])
