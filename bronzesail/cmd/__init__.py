"""Command line, with one module for each subcommand."""

from __future__ import annotations

import typer

from . import (
    account,
    apply,
    budget,
    demo,
    dry_run,
    explain,
    order,
    questionnaire,
    router,
    standin,
)
from . import status as status_command
from . import version as version_command

__all__ = ["app", "main"]

app = typer.Typer(
    name="bronzesail",
    help="Router fleet for prepaid token budgets.",
    no_args_is_help=True,
    pretty_exceptions_enable=False,
    add_completion=False,
)
app.command("router")(router.run_router)
app.command("questionnaire")(questionnaire.run_questionnaire)
app.command("apply")(apply.apply_configuration)
app.command("status")(status_command.show_status)
app.command("explain")(explain.show_explanation)
app.command("dry-run")(dry_run.show_dry_run)
app.command("demo")(demo.run_demo)
app.command("version")(version_command.show_version)
app.add_typer(account.app, name="account")
app.add_typer(budget.app, name="budget")
app.add_typer(order.app, name="order")
app.add_typer(standin.app, name="standin")


def main() -> None:
    """Run the command line and exit with the subcommand's exit code."""
    app()
