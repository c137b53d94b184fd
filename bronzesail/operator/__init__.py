"""Operator API: a router's HTTP endpoints for operators, and their client."""

from __future__ import annotations

from ._api import OperatorApi
from ._client import OperatorClient, OperatorError
from ._explanations import ExplainService, Explanation
from ._generation import make_generated_configuration
from ._parts import OperatorParts

__all__ = [
    "Explanation",
    "ExplainService",
    "OperatorApi",
    "OperatorClient",
    "OperatorError",
    "OperatorParts",
    "make_generated_configuration",
]
