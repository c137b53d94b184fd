"""Subcommand order: set the model, adapter, version or role of an engine."""

from __future__ import annotations

import json
from typing import Annotated, Any

import typer

from ._common import (
    ExitCode,
    JsonOption,
    KeyOption,
    RouterOption,
    call_router,
    fail,
    print_json,
)

__all__ = ["app"]

app = typer.Typer(help="Place and show orders to engines.", no_args_is_help=True)

SETUP_FIELDS = ("model", "adapter", "version", "role")

BackendArgument = Annotated[str, typer.Argument(help="Name of the backend server.")]
SeenOption = Annotated[
    int,
    typer.Option(
        "--seen", help="Expected number of the order in force; -1 accepts any."
    ),
]


@app.command("place")
def place(
    backend: BackendArgument,
    router: RouterOption,
    operator_key: KeyOption,
    operator: Annotated[str, typer.Option(help="Operator name stored with the order.")],
    model: Annotated[str, typer.Option(help="Model to load.")] = "",
    adapter: Annotated[str, typer.Option(help="Adapter to load.")] = "",
    version: Annotated[str, typer.Option(help="Version to load.")] = "",
    role: Annotated[str, typer.Option(help="Role to change to.")] = "",
    seen: SeenOption = -1,
    as_json: JsonOption = False,
) -> None:
    """Place an order; omitted options keep the values of the previous order."""
    setup = {"model": model, "adapter": adapter, "version": version, "role": role}
    if not any(setup.values()):
        fail("an order must set a model, adapter, version or role", ExitCode.USAGE)
    content: dict[str, Any] = {**setup, "operator": operator}
    if seen >= 0:
        content["seen_number"] = seen
    body = json.dumps(content).encode()
    target = f"/orders/{backend}"
    row = call_router(router, operator_key, lambda client: client.post(target, body))
    _print_order(row, as_json)


@app.command("show")
def show(
    backend: BackendArgument,
    router: RouterOption,
    operator_key: KeyOption,
    as_json: JsonOption = False,
) -> None:
    """Print the order for an engine and whether the engine confirmed it."""
    target = f"/orders/{backend}"
    row = call_router(router, operator_key, lambda client: client.get(target))
    _print_order(row, as_json)


def _print_order(row: dict[str, Any], as_json: bool) -> None:
    if as_json:
        print_json(row)
        return
    state = "followed" if row["is_confirmed"] else "not yet confirmed"
    typer.echo(f"{row['backend']}: order {row['number']} of {row['operator']}, {state}")
    for name in SETUP_FIELDS:
        typer.echo(f"  {name:8} {row[name] or '-'}")
    typer.echo(f"  holder   {row['holder'] or '-'}, fencing number {row['fence']}")
