"""The exhaustive check of budgets notices each guard that is dropped."""

from __future__ import annotations

import subprocess
import sys
from pathlib import Path

import pytest

from tests.model_check import PLANTS

ROOT = Path(__file__).resolve().parent.parent.parent


@pytest.mark.parametrize("name", sorted(PLANTS))
def test_a_dropped_guard_ends_in_a_trace(name):
    run = subprocess.run(
        [sys.executable, "-m", "tests.model_check", "--plant", name],
        cwd=ROOT,
        capture_output=True,
        text=True,
        check=False,
    )
    assert run.returncode == 1, run.stderr
    heading, *trace = run.stdout.splitlines()
    assert heading.endswith("1 violations")
    assert any("the store comes back" in step for step in trace)
