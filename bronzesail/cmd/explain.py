"""Subcommand explain: tell what was decided and why."""

from __future__ import annotations

import datetime
import sys
from pathlib import Path
from typing import Annotated, Any

import typer

from ..explain import RequestStory, read_log_lines, tell_story
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
        " --router, the id of a request in log lines."
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

    They come from every router, or from log files or standard input.
    """
    if router:
        _ask_routers(subject, router, operator_key, as_json)
        return
    _read_logs(subject, log or [], as_json)


def _ask_routers(subject: str, router: str, operator_key: str, as_json: bool) -> None:
    target = f"/explain/{subject}"
    answer = call_router(router, operator_key, lambda client: client.get(target))
    if as_json:
        print_json(answer)
        return
    for host in answer["missing"]:
        typer.echo(f"router {host} did not answer", err=True)
    if not answer["decisions"]:
        fail(f"no router has a decision about {subject}", ExitCode.REFUSED)
    for entry in answer["decisions"]:
        stamp = _format_time(entry["at_ms"] / 1000)
        typer.echo(f"{stamp} {entry['host']} {entry['part']}: {entry['text']}")


def _read_logs(request_id: str, paths: list[Path], as_json: bool) -> None:
    text: list[str] = []
    for path in paths:
        text += path.read_text(encoding="utf-8", errors="replace").splitlines()
    if not paths:
        text = sys.stdin.read().splitlines()
    story = tell_story(read_log_lines(text), request_id)
    if story is None:
        fail(f"no line names the request {request_id}", ExitCode.REFUSED)
    if as_json:
        print_json(
            {"cause": story.cause, "lines": story.lines, "context": story.context}
        )
        return
    _print_story(story)


def _print_story(story: RequestStory) -> None:
    own = {id(line) for line in story.lines}
    lines = sorted([*story.lines, *story.context], key=lambda line: line["time"])
    for line in lines:
        mark = "*" if id(line) in own else " "
        typer.echo(f"{mark} {_format_line(line)}")
    typer.echo(f"cause: {story.cause}")


def _format_line(line: dict[str, Any]) -> str:
    rest = {k: v for k, v in line.items() if k not in ("time", "host", "message")}
    fields = " ".join(f"{name}={value}" for name, value in rest.items())
    return f"{_format_time(line['time'])} {line['host']} {line['message']} {fields}"


def _format_time(seconds: float) -> str:
    at = datetime.datetime.fromtimestamp(seconds, datetime.UTC)
    return at.strftime("%H:%M:%S.%f")[:-3]
