"""Numbered result codes and the refusals that carry them."""

from __future__ import annotations

from ._codes import ResultCode, describe_code
from ._refusal import Refusal

__all__ = ["Refusal", "ResultCode", "describe_code"]
