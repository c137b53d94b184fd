"""Messages between operators' programs and routers. Generated from operator.json; do not edit."""

from __future__ import annotations

from typing import ClassVar

import attrs

from ._configuration import ConfigurationChange

__all__ = ["ConfigurationInForce", "GeneratedConfiguration", "TopUpEntry"]


@attrs.frozen
class TopUpEntry:
    """A budget to create or top up.

    Attributes
    ----------
    account : str
        Client account.
    budget : str
        Name of the budget.
    amount_tokens : int
        Tokens to add.
    top_up_id : str
        Id under which they are added once.
    """

    account: str
    budget: str
    amount_tokens: int
    top_up_id: str


@attrs.frozen
class GeneratedConfiguration:
    """What the questionnaire generates; an operator applies it.

    Attributes
    ----------
    base_version : int
        Version that the answers were compared with.
    changes : tuple[ConfigurationChange, ...]
        Changes to apply.
    top_ups : tuple[TopUpEntry, ...]
        Budgets to create or top up.
    operator : str
        Name of the operator.
    """

    CODE: ClassVar[int] = 800

    base_version: int
    changes: tuple[ConfigurationChange, ...]
    top_ups: tuple[TopUpEntry, ...]
    operator: str = "operator"


@attrs.frozen
class ConfigurationInForce:
    """Configuration in force at a router, for the questionnaire.

    Attributes
    ----------
    version : int
        Version in force.
    changes : tuple[ConfigurationChange, ...]
        Changes that lead to it from an empty configuration.
    """

    CODE: ClassVar[int] = 801

    version: int
    changes: tuple[ConfigurationChange, ...]
