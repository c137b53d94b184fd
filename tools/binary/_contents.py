"""Choice of the files that go into the binary."""

from __future__ import annotations

import importlib.machinery
import sysconfig
from pathlib import Path
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from importlib.metadata import Distribution

__all__ = ["list_distribution", "list_project", "list_standard_library"]

# Tools, tests, window systems, and what would start or share with another process.
LEFT_OUT_MODULES = frozenset(
    {
        "__pycache__",
        "_ctypes",
        "_ctypes_test",
        "_crypt",
        "_curses",
        "_curses_panel",
        "_dbm",
        "_gdbm",
        "_multiprocessing",
        "_posixshmem",
        "_sqlite3",
        "_testbuffer",
        "_testcapi",
        "_testclinic",
        "_testimportmultiple",
        "_testinternalcapi",
        "_testmultiphase",
        "_tkinter",
        "_xxsubinterpreters",
        "_xxtestfuzz",
        "audioop",
        "crypt",
        "ctypes",
        "curses",
        "dbm",
        "distutils",
        "ensurepip",
        "idlelib",
        "lib2to3",
        "multiprocessing",
        "nis",
        "ossaudiodev",
        "pydoc_data",
        "readline",
        "site-packages",
        "spwd",
        "sqlite3",
        "test",
        "tkinter",
        "turtle",
        "turtledemo",
        "venv",
        "wsgiref",
        "xxlimited",
        "xxlimited_35",
    }
)
METADATA_FILES = frozenset({"METADATA", "entry_points.txt"})
PROJECT_DATA_SUFFIXES = frozenset({".ini", ".json"})
BUILD_DIRECTORY_PREFIX = "config-"


def list_standard_library() -> list[tuple[Path, list[Path]]]:
    """List the standard library's files, by import root."""
    root = Path(sysconfig.get_path("stdlib"))
    dynamic = root / "lib-dynload"
    sources = [file for file in root.rglob("*.py") if _is_kept(file, root)]
    extensions = [file for file in dynamic.glob("*.so") if _is_kept(file, dynamic)]
    sources = [file for file in sources if dynamic not in file.parents]
    return [(root, sources), (dynamic, extensions)]


def _is_kept(file: Path, root: Path) -> bool:
    first = file.relative_to(root).parts[0]
    if first.startswith(BUILD_DIRECTORY_PREFIX):
        return False
    if first.partition(".")[0] in LEFT_OUT_MODULES:
        return False
    return not LEFT_OUT_MODULES.intersection(file.relative_to(root).parts)


def list_distribution(distribution: Distribution) -> tuple[Path, list[Path]]:
    """List a distribution's import root, modules and metadata."""
    root = Path(str(distribution.locate_file("")))
    files = []
    for entry in distribution.files or ():
        if ".." in entry.parts or entry.parts[0].endswith(".libs"):
            continue
        if _is_module(entry.name) or entry.name in METADATA_FILES:
            files.append(root / entry)
    return root, files


def _is_module(name: str) -> bool:
    if name.endswith(".py"):
        return True
    return name.endswith(tuple(importlib.machinery.EXTENSION_SUFFIXES))


def list_project(package: Path) -> list[Path]:
    """List the project's own modules and data files."""
    files = []
    for file in package.rglob("*"):
        if file.suffix == ".py" or file.suffix in PROJECT_DATA_SUFFIXES:
            files.append(file)
    return files
