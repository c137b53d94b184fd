"""Options, exit codes and error output shared by the subcommands."""

from __future__ import annotations

import asyncio
import enum
import json
from collections.abc import Callable, Coroutine
from typing import Annotated, Any, NoReturn

import typer

from ..errors import ResultCode
from ..operator import OperatorClient, OperatorError

__all__ = [
    "ExitCode",
    "JsonOption",
    "KeyOption",
    "RouterOption",
    "call_router",
    "fail",
    "print_json",
]


class ExitCode(enum.IntEnum):
    """Exit codes of every subcommand."""

    OK = 0
    REFUSED = 1
    USAGE = 2
    INVALID = 3
    UNREACHABLE = 4
    CONFLICT = 5
    INVARIANT = 6


RouterOption = Annotated[
    str,
    typer.Option(
        "--router",
        envvar="BRONZESAIL_ROUTER",
        help="IP address and port of a router's operator listener.",
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
JsonOption = Annotated[
    bool, typer.Option("--json", help="Print machine-readable JSON.")
]

CONFLICT_LABEL = f"BZ{int(ResultCode.CONFIGURATION_CONFLICT)}"


def fail(text: str, code: ExitCode) -> NoReturn:
    """Print an error message to standard error and exit.

    Parameters
    ----------
    text : str
        Error message, including the requirement that was not met.
    code : ExitCode
        Exit code.
    """
    typer.echo(f"bronzesail: {text}", err=True)
    raise typer.Exit(int(code))


def print_json(content: Any) -> None:
    """Print a value as JSON.

    Parameters
    ----------
    content : object
        JSON-serializable value.
    """
    typer.echo(json.dumps(content, indent=2))


def call_router(
    address: str,
    operator_key: str,
    call: Callable[[OperatorClient], Coroutine[Any, Any, dict[str, Any]]],
) -> dict[str, Any]:
    """Return a router's response; on an error, print it and exit.

    Parameters
    ----------
    address : str
        IP address and port of the operator listener.
    operator_key : str
        Bearer key that authorizes operators.
    call : callable
        Sends a request with the given client and returns the decoded response.

    Returns
    -------
    dict
        The decoded response.
    """
    try:
        return asyncio.run(call(OperatorClient(address, operator_key)))
    except OperatorError as error:
        if not error.code:
            fail(str(error), ExitCode.UNREACHABLE)
        if error.code == CONFLICT_LABEL:
            fail(str(error), ExitCode.CONFLICT)
        fail(str(error), ExitCode.REFUSED)
