"""Interface through which other packages read the configuration in force."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from collections.abc import Callable

    from ._state import Configuration

__all__ = ["ConfigurationView"]


class ConfigurationView(Protocol):
    """Read access to the configuration in force at this router."""

    @property
    def current(self) -> Configuration:
        """Configuration in force; its version never decreases."""

    def subscribe(self, listener: Callable[[Configuration], None]) -> None:
        """Register a listener that is called after each new version.

        Parameters
        ----------
        listener : callable
            Called with the new configuration, in the event loop.
        """
