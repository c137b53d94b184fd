"""Subcommand budget: create, top up, show and release budgets."""

from __future__ import annotations

import json
from typing import Annotated, Any

import typer

from ._common import JsonOption, KeyOption, RouterOption, call_router, print_json

__all__ = ["app"]

app = typer.Typer(help="Create, top up and show budgets.", no_args_is_help=True)

AccountArgument = Annotated[str, typer.Argument(help="Client account.")]
BudgetArgument = Annotated[str, typer.Argument(help="Name of the budget.")]
TokensArgument = Annotated[int, typer.Argument(min=0, help="Amount, in tokens.")]
IdOption = Annotated[
    str, typer.Option("--id", help="Id of the top-up; a repeated id is applied once.")
]
GrantOption = Annotated[
    str, typer.Option("--grant", help="Id of the grant that the hold belongs to.")
]
SequenceOption = Annotated[
    int,
    typer.Option(
        "--sequence",
        min=0,
        help="Number of the held record; 0 for the rest of the grant.",
    ),
]


@app.command("create")
def create(
    account: AccountArgument,
    budget: BudgetArgument,
    tokens: TokensArgument,
    router: RouterOption,
    operator_key: KeyOption,
    as_json: JsonOption = False,
) -> None:
    """Create a budget with an initial amount of prepaid tokens."""
    body = json.dumps({"prepaid_tokens": tokens}).encode()
    target = f"/budgets/{account}/{budget}"
    row = call_router(router, operator_key, lambda client: client.post(target, body))
    _print_budget(row, as_json)


@app.command("top-up")
def top_up(
    account: AccountArgument,
    budget: BudgetArgument,
    tokens: TokensArgument,
    top_up_id: IdOption,
    router: RouterOption,
    operator_key: KeyOption,
    as_json: JsonOption = False,
) -> None:
    """Add prepaid tokens to a budget, once for each id."""
    content = {"top_up_id": top_up_id, "amount_tokens": tokens}
    body = json.dumps(content).encode()
    target = f"/budgets/{account}/{budget}/top-ups"
    row = call_router(router, operator_key, lambda client: client.post(target, body))
    _print_budget(row, as_json)


@app.command("show")
def show(
    account: AccountArgument,
    budget: BudgetArgument,
    router: RouterOption,
    operator_key: KeyOption,
    as_json: JsonOption = False,
) -> None:
    """Print a budget's totals, outstanding grants and holds, in tokens."""
    target = f"/budgets/{account}/{budget}"
    row = call_router(router, operator_key, lambda client: client.get(target))
    _print_budget(row, as_json)


@app.command("release")
def release(
    account: AccountArgument,
    budget: BudgetArgument,
    grant: GrantOption,
    router: RouterOption,
    operator_key: KeyOption,
    sequence: SequenceOption = 0,
    as_json: JsonOption = False,
) -> None:
    """Release held tokens; the operator confirms that no request used them."""
    body = json.dumps({"grant_id": grant, "sequence": sequence}).encode()
    target = f"/budgets/{account}/{budget}/releases"
    row = call_router(router, operator_key, lambda client: client.post(target, body))
    _print_budget(row, as_json)


def _print_budget(row: dict[str, Any], as_json: bool) -> None:
    if as_json:
        print_json(row)
        return
    typer.echo(f"budget {row['account']}/{row['budget']}, in tokens:")
    for name in ("prepaid", "settled", "held", "granted", "free"):
        typer.echo(f"  {name:8} {row[f'{name}_tokens']:>15,}")
    for grant in row["grants"]:
        peers = ", ".join(grant["journal_peers"]) or "none"
        typer.echo(
            f"  grant of {grant['holder']}: {grant['amount_tokens']:,}, "
            f"journal peers: {peers}"
        )
    for hold in row["holds"]:
        peers = ", ".join(hold["missing_peers"]) or "none"
        typer.echo(
            f"  held: {hold['amount_tokens']:,} of grant {hold['grant_id']} record "
            f"{hold['sequence']}: {hold['reason']}; peers that did not respond: {peers}"
        )
