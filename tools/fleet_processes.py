"""Start a fleet as separate processes, for tests and benchmarks."""

from __future__ import annotations

import os
import select
import subprocess
import sys
import time
from pathlib import Path
from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    import signal
    from collections.abc import Callable

__all__ = [
    "FleetProcesses",
    "Launch",
    "Program",
    "RouterProcess",
    "is_stopped",
    "measure_cpu_s",
    "measure_memory_bytes",
    "wait_until",
]

PEER_SECRET = "test peer secret of the fleet"
OPERATOR_KEY = "test operator key of the fleet"
START_TIMEOUT_S = 30.0
STOP_TIMEOUT_S = 60.0
ROOT = Path(__file__).parent.parent

SETTINGS = """\
[router]
host = {host}
data_centre = {data_centre}
region = {region}
caller_port = 0
operator_port = 0
peer_port = 0
[platform]
table_address = {table}
object_address = {table}
hosts_address = {hosts}
[security]
peer_secret = {peer_secret}
operator_key = {operator_key}
[log]
path = {log}
"""

HOST = """\
[host {host}]
role = {role}
address = {address}
data_centre = {data_centre}
region = {region}
peer_address = {peer_address}
is_leaving = {is_leaving}
"""


def _copy_environment() -> dict[str, str]:
    return {**os.environ, "PYTHONUNBUFFERED": "1"}


@attrs.frozen
class Launch:
    """How ``bronzesail`` is started; from the source tree if nothing is given.

    Attributes
    ----------
    command : tuple of str
        Program and its first arguments.
    folder : Path
        Working directory.
    environment : dict
        Environment variables.
    """

    command: tuple[str, ...] = (sys.executable, "-m", "bronzesail")
    folder: Path = ROOT
    environment: dict[str, str] = attrs.field(factory=_copy_environment)


class Program:
    """One started program that prints the addresses it listens on.

    Parameters
    ----------
    arguments : tuple of str
        Arguments of ``bronzesail``.
    launch : Launch
        How it is started.
    """

    def __init__(self, *arguments: str, launch: Launch | None = None) -> None:
        launch = launch or Launch()
        self._process = subprocess.Popen(
            [*launch.command, *arguments],
            cwd=launch.folder,
            stdout=subprocess.PIPE,
            env=launch.environment,
            bufsize=0,
        )

    @property
    def pid(self) -> int:
        """Process id."""
        return self._process.pid

    def read_address(self) -> str:
        """Return the address that the program's next line ends with.

        Raises
        ------
        TimeoutError
            If no line comes in time.
        """
        assert self._process.stdout is not None
        ready, _, _ = select.select([self._process.stdout], [], [], START_TIMEOUT_S)
        if not ready:
            raise TimeoutError("the program printed no address")
        return self._process.stdout.readline().decode().split()[-1]

    def send(self, number: signal.Signals) -> None:
        """Send a signal."""
        self._process.send_signal(number)

    def wait(self) -> int:
        """Return the exit code once the program has ended.

        Raises
        ------
        subprocess.TimeoutExpired
            If it does not end in time.
        """
        return self._process.wait(STOP_TIMEOUT_S)

    def kill(self) -> None:
        """End the program at once."""
        if self._process.poll() is None:
            self._process.kill()
        self._process.wait()
        if self._process.stdout is not None:
            self._process.stdout.close()


@attrs.define
class RouterProcess:
    """A router that runs as a process.

    Attributes
    ----------
    host, data_centre, region : str
        Where it is.
    program : Program
        The process.
    caller_address, operator_address, peer_address : str
        Where it listens.
    """

    host: str
    data_centre: str
    region: str
    program: Program
    caller_address: str
    operator_address: str
    peer_address: str


@attrs.define
class _Host:
    host: str
    role: str
    address: str
    data_centre: str
    region: str
    peer_address: str = ""
    is_leaving: bool = False


class FleetProcesses:
    """Platform stand-ins, backend server stand-ins and routers as processes.

    Parameters
    ----------
    folder : pathlib.Path
        Folder for settings, the host list and logs.
    launch : Launch
        How each process is started.
    """

    def __init__(self, folder: Path, launch: Launch | None = None) -> None:
        self._folder = folder
        self._launch = launch or Launch()
        self._hosts: dict[str, _Host] = {}
        self._programs: list[Program] = []
        self.routers: list[RouterProcess] = []
        self._table_address = ""
        self._hosts_address = ""

    def start_platform(self) -> None:
        """Start the table, the object store and the host list."""
        self._table_address = self._start("standin", "table").read_address()
        path = self._write_hosts()
        program = self._start("standin", "hosts", "--hosts", str(path))
        self._hosts_address = program.read_address()

    def start_backend(
        self, kind: str, service: str, host: str, data_centre: str, region: str
    ) -> Program:
        """Start a backend server stand-in.

        Parameters
        ----------
        kind : str
            Either ``engine`` or ``plain``.
        service : str
            Service that it offers.
        host : str
            Name of the host.
        data_centre, region : str
            Where it is.

        Returns
        -------
        Program
            The process.
        """
        program = self._start("standin", kind, "--name", host)
        address = program.read_address()
        self._hosts[host] = _Host(host, service, address, data_centre, region)
        self._write_hosts()
        return program

    def start_router(self, host: str, data_centre: str, region: str) -> RouterProcess:
        """Start a router and put it on the host list.

        Parameters
        ----------
        host : str
            Name of the host.
        data_centre, region : str
            Where it is.

        Returns
        -------
        RouterProcess
            The router.
        """
        path = self._folder / f"{host}.ini"
        text = SETTINGS.format(
            host=host,
            data_centre=data_centre,
            region=region,
            table=self._table_address,
            hosts=self._hosts_address,
            peer_secret=PEER_SECRET,
            operator_key=OPERATOR_KEY,
            log=self._folder / f"{host}.log",
        )
        path.write_text(text)
        program = self._start("router", "--settings", str(path))
        router = RouterProcess(
            host,
            data_centre,
            region,
            program,
            program.read_address(),
            program.read_address(),
            program.read_address(),
        )
        self.routers.append(router)
        self._hosts[host] = _Host(
            host,
            "router",
            router.caller_address,
            data_centre,
            region,
            router.peer_address,
        )
        self._write_hosts()
        return router

    def find_address(self, host: str) -> str:
        """Return the address of a host's HTTP listener.

        Parameters
        ----------
        host : str
            Name of the host.

        Returns
        -------
        str
            IP address and port.
        """
        return self._hosts[host].address

    def remove_host(self, host: str) -> None:
        """Take a host off the host list.

        Parameters
        ----------
        host : str
            Name of the host.
        """
        del self._hosts[host]
        self._write_hosts()

    def mark_leaving(self, host: str) -> None:
        """Mark a host as leaving on the host list.

        Parameters
        ----------
        host : str
            Name of the host.
        """
        self._hosts[host].is_leaving = True
        self._write_hosts()

    def stop(self) -> None:
        """End every process that was started."""
        for program in reversed(self._programs):
            program.kill()

    def _start(self, *arguments: str) -> Program:
        program = Program(*arguments, launch=self._launch)
        self._programs.append(program)
        return program

    def _write_hosts(self) -> Path:
        path = self._folder / "hosts.ini"
        sections = [
            HOST.format(**attrs.asdict(entry)) for entry in self._hosts.values()
        ]
        fresh = path.with_suffix(".new")
        fresh.write_text("\n".join(sections))
        fresh.replace(path)
        return path


def _read_status_fields(pid: int) -> list[str]:
    """Return the fields of a process's status after its name, the state first."""
    return Path(f"/proc/{pid}/stat").read_text().rsplit(")", 1)[1].split()


def is_stopped(pid: int) -> bool:
    """Return whether a process is stopped by a signal.

    Parameters
    ----------
    pid : int
        Process id.

    Returns
    -------
    bool
        False also while it has not yet handled the signal.
    """
    return _read_status_fields(pid)[0] == "T"


def measure_cpu_s(pid: int) -> float:
    """Return the processor time a process has used.

    Parameters
    ----------
    pid : int
        Process id.

    Returns
    -------
    float
        User and system time, in seconds.
    """
    fields = _read_status_fields(pid)
    ticks = int(fields[11]) + int(fields[12])
    return ticks / os.sysconf("SC_CLK_TCK")


def measure_memory_bytes(pid: int) -> int:
    """Return the resident memory of a process.

    Parameters
    ----------
    pid : int
        Process id.

    Returns
    -------
    int
        Bytes.
    """
    pages = int(Path(f"/proc/{pid}/statm").read_text().split()[1])
    return pages * os.sysconf("SC_PAGE_SIZE")


def wait_until(
    is_true: Callable[[], object], timeout_s: float = START_TIMEOUT_S
) -> None:
    """Wait until a callable returns a true value.

    Parameters
    ----------
    is_true : callable
        Called without arguments.
    timeout_s : float
        Time limit, in seconds.

    Raises
    ------
    TimeoutError
        If it does not become true in time.
    """
    ends_at = time.monotonic() + timeout_s
    while not is_true():
        if time.monotonic() > ends_at:
            raise TimeoutError("the condition did not become true")
        time.sleep(0.05)
