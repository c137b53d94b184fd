"""Subcommand explain: print decisions and their reasons."""

from __future__ import annotations

import datetime
import sys
from pathlib import Path
from typing import Annotated, Any

import typer

from ..explain import RequestTrace, read_log_lines, trace_request
from ._common import (
    ExitCode,
    JsonOption,
    KeyOption,
    RouterOption,
    call_router,
    fail,
    print_json,
)

__all__ = ["show_explanation"]

SubjectArgument = Annotated[
    str,
    typer.Argument(
        help="request/ACCOUNT/KEY, budget/ACCOUNT/BUDGET or configuration; without"
        " --router, the id of a request in the log lines."
    ),
]
LogOption = Annotated[
    list[Path] | None,
    typer.Option("--log", help="Log file of a router; may be repeated."),
]


def show_explanation(
    subject: SubjectArgument,
    router: RouterOption = "",
    operator_key: KeyOption = "",
    log: LogOption = None,
    as_json: JsonOption = False,
) -> None:
    """Print the decisions about a request or a budget.

    With --router, they are collected from all live routers; otherwise from log files
    or standard input.
    """
    if router:
        _explain_from_routers(subject, router, operator_key, as_json)
        return
    _explain_from_logs(subject, log or [], as_json)


def _explain_from_routers(
    subject: str, router: str, operator_key: str, as_json: bool
) -> None:
    target = f"/explain/{subject}"
    answer = call_router(router, operator_key, lambda client: client.get(target))
    if as_json:
        print_json(answer)
        return
    for host in answer["missing"]:
        typer.echo(f"router {host} did not respond", err=True)
    if not answer["decisions"]:
        fail(f"no router has recorded a decision about {subject}", ExitCode.REFUSED)
    for entry in answer["decisions"]:
        stamp = _format_time(entry["at_ms"] / 1000)
        typer.echo(f"{stamp} {entry['host']} {entry['part']}: {entry['text']}")


def _explain_from_logs(request_id: str, paths: list[Path], as_json: bool) -> None:
    text: list[str] = []
    for path in paths:
        text += path.read_text(encoding="utf-8", errors="replace").splitlines()
    if not paths:
        text = sys.stdin.read().splitlines()
    trace = trace_request(read_log_lines(text), request_id)
    if trace is None:
        fail(f"no log line has the request id {request_id}", ExitCode.REFUSED)
    if as_json:
        print_json(
            {"cause": trace.cause, "lines": trace.lines, "context": trace.context}
        )
        return
    _print_trace(trace)


def _print_trace(trace: RequestTrace) -> None:
    own_line_ids = {id(line) for line in trace.lines}
    lines = sorted([*trace.lines, *trace.context], key=lambda line: line["time"])
    for line in lines:
        marker = "*" if id(line) in own_line_ids else " "
        typer.echo(f"{marker} {_format_line(line)}")
    typer.echo(f"cause: {trace.cause}")


def _format_line(line: dict[str, Any]) -> str:
    other_fields = {
        k: v for k, v in line.items() if k not in ("time", "host", "message")
    }
    fields = " ".join(f"{name}={value}" for name, value in other_fields.items())
    return f"{_format_time(line['time'])} {line['host']} {line['message']} {fields}"


def _format_time(seconds: float) -> str:
    moment = datetime.datetime.fromtimestamp(seconds, datetime.UTC)
    return moment.strftime("%H:%M:%S.%f")[:-3]
