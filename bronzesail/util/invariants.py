"""Checks of invariants that stay in force in optimised programs."""

from __future__ import annotations

__all__ = ["InvariantError", "check_invariant"]


class InvariantError(Exception):
    """Raised when the program's own state breaks an invariant."""


def check_invariant(holds: bool, text: str) -> None:
    """Raise if an invariant does not hold.

    Parameters
    ----------
    holds : bool
        Whether it holds.
    text : str
        The invariant, in one sentence.

    Raises
    ------
    InvariantError
        If it does not hold.
    """
    if not holds:
        raise InvariantError(text)
