"""Distributions that the program needs at run time."""

from __future__ import annotations

import importlib.metadata
import tomllib
from typing import TYPE_CHECKING

from packaging.requirements import Requirement
from packaging.utils import canonicalize_name

if TYPE_CHECKING:
    from pathlib import Path

__all__ = ["collect_distributions"]


def collect_distributions(project: Path) -> list[importlib.metadata.Distribution]:
    """List the installed distributions that the project requires, transitively.

    Parameters
    ----------
    project : Path
        The project's ``pyproject.toml``; its optional dependencies are left out.

    Returns
    -------
    list of Distribution
        In the order of their canonical names.

    Raises
    ------
    importlib.metadata.PackageNotFoundError
        A required distribution is not installed.
    """
    pending = list(tomllib.loads(project.read_text())["project"]["dependencies"])
    found: dict[str, importlib.metadata.Distribution] = {}
    while pending:
        requirement = Requirement(pending.pop())
        if requirement.marker and not requirement.marker.evaluate({"extra": ""}):
            continue
        name = canonicalize_name(requirement.name)
        if name in found:
            continue
        found[name] = importlib.metadata.distribution(name)
        pending.extend(found[name].requires or ())
    return [found[name] for name in sorted(found)]
