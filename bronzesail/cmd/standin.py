"""Subcommand standin: run stand-ins of the platform and of backend servers."""

from __future__ import annotations

import asyncio
import pathlib
import signal
from typing import Annotated, Protocol

import typer

from ..schema import HostEntry
from ..settings import SettingsError, load_file, load_section
from ..standin import (
    EngineStandin,
    HostListStandin,
    PlainServiceStandin,
    TableStandin,
)
from ._common import ExitCode, fail

__all__ = ["app"]

app = typer.Typer(
    help="Run in-memory stand-ins for tests; no data is persisted.",
    no_args_is_help=True,
)

HOST_SECTION_PREFIX = "host "
WATCH_INTERVAL_S = 0.5

BindOption = Annotated[str, typer.Option("--bind", help="IP address to listen on.")]
PortOption = Annotated[
    int, typer.Option("--port", min=0, max=65535, help="Port; 0 for a free one.")
]
NameOption = Annotated[str, typer.Option("--name", help="Name of the host.")]
HostsOption = Annotated[
    pathlib.Path,
    typer.Option("--hosts", help="INI file with a section [host NAME] for each host."),
]


class Standin(Protocol):
    """Interface of the stand-ins' servers."""

    @property
    def address(self) -> str:
        """IP address and port of the listener."""

    async def start(self, host: str = "127.0.0.1", port: int = 0) -> None:
        """Start to listen on an address."""

    async def stop(self) -> None:
        """Stop listening and close every connection."""


@app.command("table")
def run_table(bind: BindOption = "127.0.0.1", port: PortOption = 0) -> None:
    """Run an in-memory table service and object store."""
    asyncio.run(_run(TableStandin(), bind, port))


@app.command("hosts")
def run_hosts(
    hosts: HostsOption, bind: BindOption = "127.0.0.1", port: PortOption = 0
) -> None:
    """Run the host list from a file, reloaded when the file changes."""
    try:
        _load_hosts(hosts)
    except SettingsError as error:
        fail(str(error), ExitCode.INVALID)
    asyncio.run(_run_hosts(hosts, bind, port))


@app.command("engine")
def run_engine(
    name: NameOption = "engine", bind: BindOption = "127.0.0.1", port: PortOption = 0
) -> None:
    """Run a stand-in of a model engine."""
    asyncio.run(_run(EngineStandin(name), bind, port))


@app.command("plain")
def run_plain(
    name: NameOption = "service", bind: BindOption = "127.0.0.1", port: PortOption = 0
) -> None:
    """Run a stand-in of a plain service."""
    asyncio.run(_run(PlainServiceStandin(name), bind, port))


def _load_hosts(path: pathlib.Path) -> list[HostEntry]:
    parser = load_file(path)
    entries: list[HostEntry] = []
    for section in parser.sections():
        if not section.startswith(HOST_SECTION_PREFIX):
            problem = (
                f"{path}: [{section}]: section name must have the form [host NAME]"
            )
            raise SettingsError((problem,))
        parser[section]["host"] = section.removeprefix(HOST_SECTION_PREFIX).strip()
        entries.append(load_section(parser, str(path), section, HostEntry))
    return entries


async def _run_hosts(path: pathlib.Path, bind: str, port: int) -> None:
    standin = HostListStandin()
    _set_hosts(standin, set(), _load_hosts(path))
    watch_task = asyncio.create_task(_watch_hosts(standin, path))
    await _run(standin, bind, port)
    watch_task.cancel()


async def _watch_hosts(standin: HostListStandin, path: pathlib.Path) -> None:
    known_time_ns = _read_modification_time_ns(path)
    names = {entry.host for entry in _load_hosts(path)}
    while True:
        await asyncio.sleep(WATCH_INTERVAL_S)
        time_ns = _read_modification_time_ns(path)
        if time_ns == known_time_ns:
            continue
        known_time_ns = time_ns
        try:
            entries = _load_hosts(path)
        except SettingsError as error:
            typer.echo(f"bronzesail: {error}", err=True)
            continue
        _set_hosts(standin, names, entries)
        names = {entry.host for entry in entries}


def _read_modification_time_ns(path: pathlib.Path) -> int:
    return path.stat().st_mtime_ns


def _set_hosts(
    standin: HostListStandin, previous_hosts: set[str], entries: list[HostEntry]
) -> None:
    for entry in entries:
        standin.set_host(entry)
    for host in previous_hosts - {entry.host for entry in entries}:
        standin.remove_host(host)


async def _run(standin: Standin, bind: str, port: int) -> None:
    stopped = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stopped.set)
    try:
        await standin.start(bind, port)
    except OSError as error:
        fail(f"cannot listen on {bind}:{port}: {error}", ExitCode.UNREACHABLE)
    typer.echo(f"listening on {standin.address}")
    await stopped.wait()
    await standin.stop()
