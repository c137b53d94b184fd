"""Shared libraries that extension modules need beside the C library."""

from __future__ import annotations

import re
import subprocess
from pathlib import Path

import attrs

__all__ = ["HOST_LIBRARIES", "SharedLibrary", "list_needed", "order_libraries"]

# Part of the C library, which the host provides in one version.
HOST_LIBRARIES = frozenset(
    {
        "ld-linux-x86-64.so.2",
        "ld-linux-aarch64.so.1",
        "libc.so.6",
        "libdl.so.2",
        "libm.so.6",
        "libpthread.so.0",
        "librt.so.1",
        "libutil.so.1",
    }
)
NEEDED_PATTERN = re.compile(r"\(NEEDED\)\s+Shared library: \[(.+)\]")
RESOLVED_PATTERN = re.compile(r"^\s*(\S+) => (/\S+)", re.MULTILINE)


@attrs.frozen
class SharedLibrary:
    """A shared library of the build host.

    Parameters
    ----------
    name : str
        Name by which the linker asks for it.
    path : Path
        Its file.
    """

    name: str
    path: Path


def list_needed(path: Path) -> list[str]:
    """List the libraries that a shared object names, without the C library's."""
    command = ["readelf", "--dynamic", "--wide", str(path)]
    output = subprocess.run(command, check=True, capture_output=True, text=True).stdout
    needed = NEEDED_PATTERN.findall(output)
    return [name for name in needed if name not in HOST_LIBRARIES]


def order_libraries(path: Path) -> list[SharedLibrary]:
    """List the libraries of a shared object, each after those that it needs.

    Raises
    ------
    LookupError
        The build host lacks a library.
    """
    if not list_needed(path):
        return []
    output = subprocess.run(
        ["ldd", str(path)], check=True, capture_output=True, text=True
    ).stdout
    paths = {name: Path(file) for name, file in RESOLVED_PATTERN.findall(output)}
    ordered: dict[str, SharedLibrary] = {}
    _append_needed(path, paths, ordered)
    return list(ordered.values())


def _append_needed(
    path: Path, paths: dict[str, Path], ordered: dict[str, SharedLibrary]
) -> None:
    for name in list_needed(path):
        if name in ordered:
            continue
        if name not in paths:
            raise LookupError(f"{path} needs {name}, which this host lacks")
        _append_needed(paths[name], paths, ordered)
        ordered[name] = SharedLibrary(name, paths[name])
