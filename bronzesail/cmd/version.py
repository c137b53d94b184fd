"""Subcommand version: print the program's version."""

from __future__ import annotations

import typer

from .. import __version__

__all__ = ["show_version"]


def show_version() -> None:
    """Print the program's version."""
    typer.echo(f"bronzesail {__version__}")
