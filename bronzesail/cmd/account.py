"""Subcommand account: list client accounts."""

from __future__ import annotations

import typer

from ._common import JsonOption, KeyOption, RouterOption, call_router, print_json

__all__ = ["app"]

app = typer.Typer(
    help="List client accounts; the questionnaire changes them.", no_args_is_help=True
)


@app.command("list")
def list_accounts(
    router: RouterOption, operator_key: KeyOption, as_json: JsonOption = False
) -> None:
    """Print the client accounts in force; keys are never printed."""
    answer = call_router(router, operator_key, lambda client: client.get("/accounts"))
    if as_json:
        print_json(answer)
        return
    for account in answer["accounts"]:
        state = "closed" if account["is_closed"] else "open"
        services = ", ".join(account["services"]) or "all services"
        typer.echo(f"{account['name']}: {state}; {services}")
