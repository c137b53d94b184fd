"""Subcommand questionnaire: generate a configuration from answers."""

from __future__ import annotations

import asyncio
import getpass
import pathlib
from typing import Annotated

import typer

from ..configuration import Configuration
from ..configuration.questionnaire import (
    Answers,
    GeneratedChanges,
    ask_answers,
    generate_changes,
    read_answers,
    read_answers_text,
)
from ..operator import (
    OperatorClient,
    OperatorError,
    make_generated_configuration,
)
from ..schema.codec import encode
from ..settings import SettingsError
from ._common import ExitCode, fail

__all__ = ["run_questionnaire"]

AnswersOption = Annotated[
    pathlib.Path | None,
    typer.Option(
        "--answers", help="INI file of answers; without it, they are prompted for."
    ),
]
OutputOption = Annotated[
    pathlib.Path,
    typer.Option("--output", help="File to write, for the subcommand apply."),
]
RouterOption = Annotated[
    str,
    typer.Option(
        "--router",
        envvar="BRONZESAIL_ROUTER",
        help="Operator listener of a router whose configuration is the base of the "
        "comparison; without it, the answers are for a new deployment.",
    ),
]
KeyOption = Annotated[
    str,
    typer.Option(
        "--operator-key",
        envvar="BRONZESAIL_OPERATOR_KEY",
        help="Bearer key that authorizes operators.",
    ),
]
CheckOption = Annotated[
    bool,
    typer.Option("--check", help="Print the differences without writing the file."),
]


class TerminalPrompt:
    """Prompts for answers on the terminal; implements `Prompt`."""

    def ask(self, question: str, default: str | None) -> str:
        """Prompt for an answer and return it."""
        return str(typer.prompt(question, default=default))

    def show(self, text: str) -> None:
        """Print an explanation or an error."""
        typer.echo(text)


def run_questionnaire(
    output: OutputOption,
    answers: AnswersOption = None,
    router: RouterOption = "",
    operator_key: KeyOption = "",
    check: CheckOption = False,
) -> None:
    """Generate a configuration from answers and print the changes it would make."""
    configuration = _fetch_configuration(router, operator_key)
    try:
        collected = _collect_answers(answers, configuration)
    except SettingsError as error:
        fail(str(error), ExitCode.INVALID)
    generated = generate_changes(collected, configuration)
    _show_difference(generated)
    if check:
        return
    message = make_generated_configuration(generated, getpass.getuser())
    try:
        output.write_bytes(encode(message))
    except OSError as error:
        fail(f"{output}: cannot be written: {error}", ExitCode.INVALID)
    typer.echo(f"written to {output}; put it in force with: bronzesail apply {output}")
    for issued in generated.issued_keys:
        typer.echo(f"key of {issued.account}, shown this once: {issued.key}")


def _fetch_configuration(router: str, operator_key: str) -> Configuration:
    if not router:
        return Configuration()
    try:
        return asyncio.run(OperatorClient(router, operator_key).get_configuration())
    except OperatorError as error:
        code = ExitCode.REFUSED if error.code else ExitCode.UNREACHABLE
        fail(str(error), code)


def _collect_answers(
    path: pathlib.Path | None, configuration: Configuration
) -> Answers:
    if path is not None:
        return read_answers(path, configuration)
    text = ask_answers(TerminalPrompt(), configuration)
    return read_answers_text(text, "answers", configuration)


def _show_difference(generated: GeneratedChanges) -> None:
    typer.echo(f"compared with version {generated.base_version}:")
    for line in generated.difference or ("no changes",):
        typer.echo(f"  {line}")
    for entry in generated.top_ups:
        typer.echo(
            f"  budget {entry.account}/{entry.budget}: add {entry.amount_tokens} "
            f"tokens under id {entry.top_up_id}"
        )
