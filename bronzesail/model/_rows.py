"""Rows of the store, as the router knows them."""

from __future__ import annotations

import attrs

__all__ = ["Row", "RowCheck", "RowKey", "RowWrite", "RowsAnswer", "StoreVersion"]


@attrs.frozen(order=True)
class StoreVersion:
    """A state of the store; a later one is greater.

    Attributes
    ----------
    era : int
        How often the store has come back from an older copy.
    number : int
        Number of the last transaction. Numbers are given out again after a restore,
        so that they identify a state only together with the era.
    """

    era: int = 0
    number: int = 0


@attrs.frozen
class RowKey:
    """Names one row."""

    table: str
    part: str
    key: str


@attrs.frozen
class RowCheck:
    """A version that a row must have; 0 where it must not exist."""

    key: RowKey
    version: int


@attrs.frozen
class RowWrite:
    """A value that a row gets."""

    key: RowKey
    value: bytes


@attrs.frozen(kw_only=True)
class Row:
    """One row, or the news that it was removed."""

    table: str
    part: str
    key: str
    value: bytes
    version: int
    is_removed: bool = False


@attrs.frozen(kw_only=True)
class RowsAnswer:
    """An answer about rows, with the store's newest version and its clock."""

    rows: list[Row]
    has_more: bool
    version: StoreVersion
    clock_s: float
