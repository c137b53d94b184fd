"""The platform's table service, object store and host list, as the fleet uses them."""

from __future__ import annotations

from ._http import HttpHostDirectory, HttpObjectStore, HttpTable
from ._interfaces import (
    HostDirectory,
    ObjectStore,
    OutcomeUnknownError,
    PlatformError,
    Table,
    ThrottledError,
    UnreachableError,
)

__all__ = [
    "HostDirectory",
    "HttpHostDirectory",
    "HttpObjectStore",
    "HttpTable",
    "ObjectStore",
    "OutcomeUnknownError",
    "PlatformError",
    "Table",
    "ThrottledError",
    "UnreachableError",
]
