"""Switches parts of the router off by an environment variable, for comparisons."""

from __future__ import annotations

from ..model import Feature

__all__ = ["DISABLED_FEATURES_VARIABLE", "read_disabled_features"]

DISABLED_FEATURES_VARIABLE = "BRONZESAIL_DISABLE"


def read_disabled_features(text: str) -> frozenset[Feature]:
    """Return the features that a list of names, separated by commas, switches off.

    >>> read_disabled_features("server-pace, server-speed") == {
    ...     Feature.SERVER_PACE,
    ...     Feature.SERVER_SPEED,
    ... }
    True

    Raises
    ------
    ValueError
        If a name is unknown.
    """
    names = [name.strip() for name in text.split(",")]
    return frozenset(Feature(name) for name in names if name)
