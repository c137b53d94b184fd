"""Subcommand demo: run a complete deployment in one process."""

from __future__ import annotations

import asyncio
from typing import Annotated

import typer

from .. import demo
from ._common import ExitCode, JsonOption, fail, print_json

__all__ = ["run_demo"]

DurationOption = Annotated[
    float, typer.Option("--duration-s", min=1, max=600, help="Duration, in seconds.")
]
RateOption = Annotated[
    float, typer.Option("--rate-per-s", min=1, max=200, help="Requests per second.")
]
SeedOption = Annotated[
    int, typer.Option("--seed", help="Random seed of the generated requests.")
]


def run_demo(
    duration_s: DurationOption = 20.0,
    rate_per_s: RateOption = 15.0,
    seed: SeedOption = 1,
    as_json: JsonOption = False,
) -> None:
    """Run routers, stand-ins and callers on loopback, then audit all charges."""

    def show_progress(line: str) -> None:
        typer.echo(f"\r{line}", nl=False, err=True)

    plan = demo.LoadPlan(duration_s, rate_per_s, seed)
    report = asyncio.run(demo.run_demo(plan, show_progress))
    typer.echo("", err=True)
    if as_json:
        print_json(report.to_json())
    else:
        typer.echo(report.to_table())
    if not report.is_clean:
        fail("an invariant was violated; see the report", ExitCode.INVARIANT)
