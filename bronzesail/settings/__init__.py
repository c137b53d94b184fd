"""Settings of a router, read from an INI file and validated."""

from __future__ import annotations

from ._loader import (
    SettingsError,
    list_fields,
    load_file,
    load_section,
    load_text,
    load_value,
)
from ._settings import Settings, load_settings

__all__ = [
    "Settings",
    "SettingsError",
    "list_fields",
    "load_file",
    "load_section",
    "load_settings",
    "load_text",
    "load_value",
]
