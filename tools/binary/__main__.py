"""Build the one-file program, then check it."""

from __future__ import annotations

import json
import tempfile
from pathlib import Path

import attrs
import typer

from ._archive import Archive
from ._check import check_binary
from ._closure import collect_distributions
from ._contents import list_distribution, list_project, list_standard_library
from ._link import link_launcher

ROOT = Path(__file__).parent.parent.parent
IMPORTER_SOURCE = Path(__file__).parent / "memory_importer.py"
EXECUTABLE_MODE = 0o755


def build_binary(target: Path) -> None:
    """Write the program to a file."""
    archive = Archive()
    for root, files in list_standard_library():
        archive.add_tree(root, files)
    for distribution in collect_distributions(ROOT / "pyproject.toml"):
        archive.add_tree(*list_distribution(distribution))
    archive.add_tree(ROOT, list_project(ROOT / "bronzesail"))
    archive.add_source("memory_importer.py", IMPORTER_SOURCE.read_bytes())
    with tempfile.TemporaryDirectory() as directory:
        launcher = Path(directory) / "launcher"
        link_launcher(launcher)
        content = launcher.read_bytes() + archive.to_bytes()
    target.parent.mkdir(parents=True, exist_ok=True)
    # A running copy keeps its file; writing into it would be refused.
    target.unlink(missing_ok=True)
    target.write_bytes(content)
    target.chmod(EXECUTABLE_MODE)


def main(target: Path = ROOT / "dist" / "bronzesail") -> None:
    """Build the program and check that it runs by itself."""
    build_binary(target)
    typer.echo(f"built {target}")
    figures = check_binary(target.resolve())
    typer.echo(json.dumps(attrs.asdict(figures)))


if __name__ == "__main__":
    typer.run(main)
