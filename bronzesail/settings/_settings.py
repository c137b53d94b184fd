"""All settings of a router."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import attrs

from ..schema import LogSection, PlatformSection, RouterSection, SecuritySection
from ._loader import SettingsError, list_fields, load_file, load_section

if TYPE_CHECKING:
    from pathlib import Path

__all__ = ["Settings", "load_settings"]


@attrs.frozen
class Settings:
    """All settings of a router, one field a section.

    Attributes
    ----------
    router : RouterSection
        What the router is and where it listens.
    platform : PlatformSection
        Addresses of the platform's services.
    security : SecuritySection
        Secrets.
    log : LogSection
        Where log lines go.
    """

    router: RouterSection
    platform: PlatformSection
    security: SecuritySection
    log: LogSection = attrs.field(factory=LogSection)


def load_settings(path: Path) -> Settings:
    """Return the settings of an INI file.

    Parameters
    ----------
    path : pathlib.Path
        The file.

    Returns
    -------
    Settings
        The settings.

    Raises
    ------
    SettingsError
        If any rule is broken; it lists every problem.
    """
    parser = load_file(path)
    problems: list[str] = []
    sections: dict[str, Any] = {}
    known = {field.name: field.type for field in list_fields(Settings)}
    for section in parser.sections():
        if section not in known:
            problems.append(f"{path}: [{section}]: is not a known section")
    for section, section_type in known.items():
        try:
            sections[section] = load_section(parser, str(path), section, section_type)
        except SettingsError as error:
            problems += error.problems
    if problems:
        raise SettingsError(tuple(problems))
    return Settings(**sections)
