"""Subcommand status: print a router's peers, services and grants."""

from __future__ import annotations

import pathlib
from typing import Annotated, Any

import typer

from ..report import PlotsUnavailableError, draw_histograms, render_page
from ._common import (
    ExitCode,
    JsonOption,
    KeyOption,
    RouterOption,
    call_router,
    fail,
    print_json,
)

__all__ = ["show_status"]

HtmlOption = Annotated[
    pathlib.Path | None,
    typer.Option("--html", help="Write a static HTML page with plots to this file."),
]


def show_status(
    router: RouterOption,
    operator_key: KeyOption,
    as_json: JsonOption = False,
    html: HtmlOption = None,
) -> None:
    """Print a router's peers, services, configuration version and grants in tokens."""
    status = call_router(router, operator_key, lambda client: client.get("/status"))
    if html is not None:
        _write_page(html, status, router, operator_key)
        return
    if as_json:
        print_json(status)
        return
    own = status["router"]
    typer.echo(f"router {own['host']} in {own['data_centre']}, {own['region']}")
    typer.echo(f"ready: {'yes' if status['is_ready'] else 'no'}")
    typer.echo(f"requests in progress: {status['requests_in_progress']}")
    typer.echo(f"configuration version: {status['configuration_version']}")
    for peer in status["peers"]:
        leaving = ", leaving" if peer["is_leaving"] else ""
        typer.echo(f"peer {peer['host']} in {peer['data_centre']}{leaving}")
    for service in status["services"]:
        typer.echo(f"service {service['service']}: {_format_server_counts(service)}")
    for grant in status["grants"]:
        typer.echo(_format_grant(grant))


def _write_page(
    path: pathlib.Path, status: dict[str, Any], router: str, operator_key: str
) -> None:
    answer = call_router(router, operator_key, lambda client: client.get("/histograms"))
    try:
        plots = draw_histograms(answer["histograms"])
        path.write_text(render_page(status, plots), encoding="utf-8")
    except (PlotsUnavailableError, OSError) as error:
        fail(str(error), ExitCode.INVALID)
    typer.echo(f"written to {path}")


def _format_server_counts(service: dict[str, Any]) -> str:
    servers = service["backend_servers"]
    n_leaving = sum(server["is_leaving"] for server in servers)
    return f"{len(servers)} backend servers, {n_leaving} of them leaving"


def _format_grant(grant: dict[str, Any]) -> str:
    return (
        f"budget {grant['account']}/{grant['budget']}: "
        f"own grant {grant['own_grant_tokens']} tokens, "
        f"reserved {grant['own_reserved_tokens']}, held {grant['held_tokens']}, "
        f"settled {grant['settled_tokens']} of {grant['prepaid_tokens']} "
        f"(row read {grant['row_age_s']:.0f} s ago)"
    )
