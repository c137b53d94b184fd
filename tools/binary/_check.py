"""Check that a built binary runs by itself, as one process, from memory."""

from __future__ import annotations

import http.client
import json
import signal
import subprocess
import tempfile
import time
from pathlib import Path

import attrs

from bronzesail import __version__
from bronzesail.cmd import app

from ..fleet_processes import FleetProcesses, Launch, wait_until
from ._libraries import HOST_LIBRARIES
from ._processes import ProcessRecord, read_process

__all__ = ["BinaryFigures", "CheckError", "check_binary"]

COMMAND_TIMEOUT_S = 60.0
N_STARTS = 5
DEMO_ARGUMENTS = ("demo", "--duration-s", "3", "--json")
MEMORY_FILE_PREFIX = "/memfd:"
HTTP_OK = 200


class CheckError(Exception):
    """The binary does not do what it must."""


@attrs.frozen
class BinaryFigures:
    """Figures of a binary.

    Attributes
    ----------
    size_bytes : int
        Size of the file.
    start_s : float
        Shortest time that ``version`` took, from start to end.
    router_ready_s : float
        Time from the start of a router to its answer at ``/healthz``.
    router_resident_bytes : int
        Resident memory of that router.
    router_memory_file_bytes : int
        Part of it that belongs to anonymous files.
    """

    size_bytes: int
    start_s: float
    router_ready_s: float
    router_resident_bytes: int
    router_memory_file_bytes: int


def check_binary(binary: Path) -> BinaryFigures:
    """Run a binary without a Python environment and look at its processes.

    Parameters
    ----------
    binary : Path
        Absolute path of the file.

    Returns
    -------
    BinaryFigures
        Its figures.

    Raises
    ------
    CheckError
        A command failed, or a process was not alone or used other files.
    """
    with tempfile.TemporaryDirectory() as name:
        folder = Path(name)
        environment = {"PATH": str(folder / "no-programs")}
        launch = Launch((str(binary),), folder, environment)
        start_s = min(_time_version(launch) for _ in range(N_STARTS))
        _check_help(launch)
        _check_demo(launch)
        router_ready_s, record = _check_router(launch)
    return BinaryFigures(
        binary.stat().st_size,
        start_s,
        router_ready_s,
        record.resident_bytes,
        record.memory_file_bytes,
    )


def _time_version(launch: Launch) -> float:
    begun_at = time.monotonic()
    output = _run(launch, "version")
    duration_s = time.monotonic() - begun_at
    _require(output.split() == ["bronzesail", __version__], f"version: {output}")
    return duration_s


def _check_help(launch: Launch) -> None:
    commands = [command.name for command in app.registered_commands]
    commands += [group.name for group in app.registered_groups]
    output = _run(launch, "--help")
    for command in commands:
        if command is None:
            continue
        _require(command in output, f"--help does not name {command}")
        _run(launch, command, "--help")


def _check_demo(launch: Launch) -> None:
    process = subprocess.Popen(
        [*launch.command, *DEMO_ARGUMENTS],
        cwd=launch.folder,
        env=launch.environment,
        stdout=subprocess.PIPE,
        stderr=subprocess.DEVNULL,
    )
    try:
        time.sleep(2.0)
        _check_process(process.pid, launch)
        output, _ = process.communicate(timeout=COMMAND_TIMEOUT_S)
    finally:
        process.kill()
        process.wait()
    _require(process.returncode == 0, f"demo ended with {process.returncode}")
    json.loads(output)


def _check_router(launch: Launch) -> tuple[float, ProcessRecord]:
    fleet = FleetProcesses(launch.folder, launch)
    try:
        fleet.start_platform()
        begun_at = time.monotonic()
        router = fleet.start_router("entry-1", "amman-a", "Amman")
        wait_until(lambda: _is_healthy(router.operator_address))
        ready_s = time.monotonic() - begun_at
        record = _check_process(router.program.pid, launch)
        router.program.send(signal.SIGTERM)
        code = router.program.wait()
        _require(code == 0, f"the router ended with {code}")
    finally:
        fleet.stop()
    return ready_s, record


def _is_healthy(address: str) -> bool:
    connection = http.client.HTTPConnection(address, timeout=COMMAND_TIMEOUT_S)
    try:
        connection.request("GET", "/healthz")
        return connection.getresponse().status == HTTP_OK
    finally:
        connection.close()


def _check_process(pid: int, launch: Launch) -> ProcessRecord:
    record = read_process(pid)
    _require(str(record.executable) == launch.command[0], "another program runs")
    _require(record.children == (), f"children {record.children}")
    _require(record.n_child_faults == 0, "a child has ended")
    foreign = [file for file in record.mapped_files if not _is_allowed(file, launch)]
    _require(not foreign, f"files of the host are mapped: {foreign}")
    return record


def _is_allowed(file: str, launch: Launch) -> bool:
    if file.startswith(MEMORY_FILE_PREFIX) or file == launch.command[0]:
        return True
    return Path(file).name in HOST_LIBRARIES


def _run(launch: Launch, *arguments: str) -> str:
    result = subprocess.run(
        [*launch.command, *arguments],
        cwd=launch.folder,
        env=launch.environment,
        check=False,
        capture_output=True,
        text=True,
        timeout=COMMAND_TIMEOUT_S,
    )
    _require(result.returncode == 0, f"{arguments}: {result.stdout}{result.stderr}")
    return result.stdout


def _require(is_met: bool, message: str) -> None:
    if not is_met:
        raise CheckError(message)
