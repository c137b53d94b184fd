"""Versioned fleet configuration: state, version log and replication to routers."""

from __future__ import annotations

from ..schema import ApplyReport, ConfigurationSettings
from ._difference import describe_changes, describe_entry
from ._fold import fold_changes, list_changes, make_removal_change, make_set_change
from ._interfaces import ConfigurationView
from ._service import ConfigurationService
from ._state import Configuration
from ._store import read_configuration, read_log

__all__ = [
    "ApplyReport",
    "Configuration",
    "ConfigurationService",
    "ConfigurationSettings",
    "ConfigurationView",
    "describe_changes",
    "describe_entry",
    "fold_changes",
    "list_changes",
    "make_removal_change",
    "make_set_change",
    "read_configuration",
    "read_log",
]
