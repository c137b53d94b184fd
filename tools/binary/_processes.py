"""What the process table and the memory map say about one process."""

from __future__ import annotations

import re
from pathlib import Path

import attrs

__all__ = ["ProcessRecord", "read_process"]

# Fields of /proc/PID/stat after the program's name, counted from 0 (proc(5)).
PARENT_FIELD = 1
CHILD_MINOR_FAULTS_FIELD = 8
CHILD_MAJOR_FAULTS_FIELD = 10
KIB = 1024
STATUS_PATTERN = re.compile(r"^(\w+):\s+(\d+) kB$", re.MULTILINE)


@attrs.frozen
class ProcessRecord:
    """One process as the kernel shows it.

    Attributes
    ----------
    pid : int
        Process id.
    executable : Path
        File that runs.
    n_threads : int
        Threads, the first included.
    children : tuple of int
        Process ids of the children.
    n_child_faults : int
        Page faults of children that have ended; 0 if there never was one.
    mapped_files : frozenset of str
        Files that are mapped into memory.
    resident_bytes, peak_resident_bytes : int
        Resident memory, now and at most.
    memory_file_bytes : int
        Part of the resident memory that belongs to anonymous files.
    """

    pid: int
    executable: Path
    n_threads: int
    children: tuple[int, ...]
    n_child_faults: int
    mapped_files: frozenset[str]
    resident_bytes: int
    peak_resident_bytes: int
    memory_file_bytes: int


def read_process(pid: int) -> ProcessRecord:
    """Read the record of a running process.

    Raises
    ------
    OSError
        There is no such process.
    """
    folder = Path(f"/proc/{pid}")
    fields = (folder / "stat").read_text().rpartition(")")[2].split()
    faults = int(fields[CHILD_MINOR_FAULTS_FIELD])
    faults += int(fields[CHILD_MAJOR_FAULTS_FIELD])
    memory = {
        name: int(value) * KIB
        for name, value in STATUS_PATTERN.findall((folder / "status").read_text())
    }
    return ProcessRecord(
        pid,
        (folder / "exe").readlink(),
        len(list((folder / "task").iterdir())),
        _list_children(pid),
        faults,
        _list_mapped_files(folder / "maps"),
        memory["VmRSS"],
        memory["VmHWM"],
        memory["RssShmem"],
    )


def _list_children(pid: int) -> tuple[int, ...]:
    children = []
    for folder in Path("/proc").iterdir():
        if not folder.name.isdigit():
            continue
        try:
            stat = (folder / "stat").read_text()
        except OSError:
            continue
        if int(stat.rpartition(")")[2].split()[PARENT_FIELD]) == pid:
            children.append(int(folder.name))
    return tuple(children)


def _list_mapped_files(maps: Path) -> frozenset[str]:
    files = set()
    for line in maps.read_text().splitlines():
        _, _, path = line.partition("/")
        if path:
            files.add(f"/{path}")
    return frozenset(files)
