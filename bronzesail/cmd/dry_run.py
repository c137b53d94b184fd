"""Subcommand dry-run: print where a live router would send a request, and why."""

from __future__ import annotations

import asyncio
import json
from typing import Annotated, Any
from urllib.parse import urlencode

import typer

from ..http import HttpCall, HttpClient, HttpError
from ._common import ExitCode, JsonOption, fail, print_json

__all__ = ["show_dry_run"]

REPLY_TIMEOUT_S = 5.0

TargetArgument = Annotated[
    str, typer.Argument(help="HOST/PATH of the request, as its caller would send it.")
]
InternalRouterOption = Annotated[
    str,
    typer.Option(
        "--router",
        help="IP address and first internal port of a router of the users' platform.",
    ),
]
AccountOption = Annotated[
    str, typer.Option("--account", help="Client account; decides the priority.")
]
PartOption = Annotated[
    list[str] | None,
    typer.Option("--part", help="ID:TOKENS of a part of the prompt, in their order."),
]
TokensOption = Annotated[
    str, typer.Option("--tokens", help="Tokens of the whole prompt.")
]
ExcludeOption = Annotated[
    list[str] | None,
    typer.Option("--exclude", help="Id of a server that the request was sent to."),
]
VersionOption = Annotated[
    str, typer.Option("--version", help="Software version that a stream needs.")
]


def show_dry_run(
    target: TargetArgument,
    router: InternalRouterOption,
    account: AccountOption = "",
    part: PartOption = None,
    tokens: TokensOption = "",
    exclude: ExcludeOption = None,
    version: VersionOption = "",
    as_json: JsonOption = False,
) -> None:
    """Print where a router would send a request now, without sending it.

    Each server of the route's services is listed with its estimated cost and, if it is
    not considered, the reason.
    """
    host, slash, path = target.partition("/")
    if not host or not slash:
        fail("the request must be given as HOST/PATH", ExitCode.USAGE)
    fields = [("host", host), ("path", slash + path)]
    fields += [("account", account)] if account else []
    fields += [("part", value) for value in part or []]
    fields += [("tokens", tokens)] if tokens else []
    fields += [("exclude", value) for value in exclude or []]
    fields += [("version", version)] if version else []
    status, body = asyncio.run(_ask(router, f"/dry-run?{urlencode(fields)}"))
    if status == 404:
        fail(f"router {router} has no dry run; it is older", ExitCode.REFUSED)
    try:
        answer = json.loads(body)
    except ValueError:
        answer = None
    if not isinstance(answer, dict):
        fail(f"no router of the users' platform at {router}", ExitCode.UNREACHABLE)
    if status != 200:
        fail(str(answer.get("error", f"status {status}")), ExitCode.REFUSED)
    if as_json:
        print_json(answer)
        return
    _print_answer(answer)


async def _ask(router: str, target: str) -> tuple[int, bytes]:
    """Return status and body of a router's answer, or print the error and exit."""
    client = HttpClient()
    try:
        return await client.fetch(
            HttpCall(router, "GET", target, (), b"", timeout_s=REPLY_TIMEOUT_S)
        )
    except (HttpError, ValueError) as error:
        fail(f"router {router} did not respond: {error}", ExitCode.UNREACHABLE)
    finally:
        client.close()


def _print_answer(answer: dict[str, Any]) -> None:
    typer.echo(
        f"router {answer['host']} in {answer['zone']}, configuration"
        f" {answer['configuration_version']}: route {answer['route']}, priority"
        f" {answer['priority']}"
    )
    for service in answer["services"]:
        typer.echo(
            f"service {service['service']} (weight {service['weight']:g},"
            f" {service['queued']} queued): {service['decision']}: {service['reason']}"
        )
        for server in service["servers"]:
            typer.echo(_format_server(server))


def _format_server(server: dict[str, Any]) -> str:
    marker = "*" if server["is_chosen"] else " "
    reason = f": not considered: {server['reason']}" if server["reason"] else ""
    return (
        f"{marker} {server['server']} in {server['zone']}, version"
        f" {server['version']}: cost {server['cost_s']:.4f} s,"
        f" {server['requests']:g} requests on {server['slots']} slots{reason}"
    )
