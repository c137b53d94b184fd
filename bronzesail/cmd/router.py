"""Subcommand router: run one router until a stop signal."""

from __future__ import annotations

import asyncio
import pathlib
import signal
import sys
from typing import Annotated

import eliot
import typer

from ..application import Application
from ..settings import Settings, SettingsError, load_settings
from ._common import ExitCode, fail

__all__ = ["run_router"]

SettingsOption = Annotated[
    pathlib.Path, typer.Option("--settings", help="INI file of settings.")
]


def run_router(settings: SettingsOption) -> None:
    """Run one router; SIGTERM and SIGINT start a graceful shutdown."""
    try:
        loaded = load_settings(settings)
    except SettingsError as error:
        fail(str(error), ExitCode.INVALID)
    _open_log(loaded.log.path)
    try:
        asyncio.run(_run(loaded))
    except OSError as error:
        fail(f"cannot start: {error}", ExitCode.UNREACHABLE)


def _open_log(path: str) -> None:
    if path == "-":
        eliot.to_file(sys.stderr)
        return
    eliot.to_file(open(path, "a", encoding="utf-8"))  # noqa: SIM115


async def _run(settings: Settings) -> None:
    application = Application(settings)
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, application.request_drain)
    await application.start()
    typer.echo(f"callers: {application.caller_address}")
    typer.echo(f"operators: {application.operator_address}")
    typer.echo(f"peers: {application.fleet.peer_address}")
    await application.run()
