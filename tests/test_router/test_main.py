"""The program of the router process."""

from __future__ import annotations

import subprocess
import sys
from pathlib import Path

import pytest

ROOT = Path(__file__).resolve().parents[2]


# A missing settings file ended in a traceback.
@pytest.mark.parametrize("content", [None, "nodeName = 5", "not TOML", 'ip = "x"'])
def test_settings_that_cannot_be_read_end_the_process_with_a_message(tmp_path, content):
    path = tmp_path / "boot.toml"
    if content is not None:
        path.write_text(content)
    result = subprocess.run(
        [sys.executable, "-m", "bronzesail.router"],
        cwd=ROOT,
        env={"BRONZESAIL_NODE_FILE": str(path)},
        capture_output=True,
        text=True,
        check=False,
    )
    assert result.returncode == 3
    assert result.stderr.startswith(f"settings file {str(path)!r}: ")
    assert "Traceback" not in result.stderr
