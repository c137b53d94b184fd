"""Every command line in the documentation has a valid subcommand and options."""

from __future__ import annotations

import re
import shlex

import pytest
import typer.main

from bronzesail.cmd import app
from tools.fleet_processes import ROOT

PAGES = [ROOT / "README.md", *sorted((ROOT / "docs").rglob("*.md"))]
COMMAND = re.compile(r"^    bronzesail (.+)$", re.MULTILINE)
LINES = sorted({line for page in PAGES for line in COMMAND.findall(page.read_text())})


def test_documentation_contains_commands() -> None:
    assert len(LINES) > 10


@pytest.mark.parametrize("line", LINES)
def test_command_parses(line: str, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setenv("BRONZESAIL_OPERATOR_KEY", "key")
    monkeypatch.setenv("BRONZESAIL_ROUTER", "127.0.0.1:8081")
    command = typer.main.get_command(app)
    name, *arguments = shlex.split(f"bronzesail {line}")
    while hasattr(command, "commands"):
        name, *arguments = arguments
        command = command.commands[name]
    command.make_context(name, arguments)
