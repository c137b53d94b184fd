"""Registry of message classes by code."""

from __future__ import annotations

from types import ModuleType
from typing import Any

import attrs

from . import (
    _budget,
    _common,
    _configuration,
    _explain,
    _fleet,
    _operator,
    _orders,
    _platform,
    _request,
    _routing,
)

__all__ = ["BY_CODE"]

MODULES = (
    _common,
    _platform,
    _configuration,
    _orders,
    _budget,
    _request,
    _fleet,
    _routing,
    _explain,
    _operator,
)


def _collect_codes(modules: tuple[ModuleType, ...]) -> dict[int, type[Any]]:
    by_code: dict[int, type[Any]] = {}
    for module in modules:
        for name in module.__all__:
            message_type = getattr(module, name)
            attrs.resolve_types(message_type)
            code = getattr(message_type, "CODE", None)
            if code is None:
                continue
            if code in by_code:
                raise ValueError(f"message code {code} stands twice")
            by_code[code] = message_type
    return by_code


BY_CODE = _collect_codes(MODULES)
