"""Tracks the era of the store, which rises when it comes back from an older copy."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

    from .log import Log

__all__ = ["StoreEra"]


class StoreEra:
    """The newest era of the store that is known here.

    Parameters
    ----------
    log : Log
        Log for changes and ignored eras.

    Attributes
    ----------
    current : int
        The era; 0 until one is known, and for a store that announces none.
    n_restores : int
        Number of changes since the first answer of the store.
    """

    def __init__(self, log: Log) -> None:
        self._log = log
        self._listeners: list[Callable[[int], None]] = []
        self._is_known = False
        self.current = 0
        self.n_restores = 0

    def subscribe(self, listener: Callable[[int], None]) -> None:
        """Call `listener` with each new era, before any other news of that era."""
        self._listeners.append(listener)

    def observe(self, era: int, source: str) -> bool:
        """Record an era that the store or another router reports.

        Parameters
        ----------
        era : int
            The reported era.
        source : str
            Who reports it, for the log.

        Returns
        -------
        bool
            False if the report is older than what is known.
        """
        if era == self.current:
            self._is_known = True
            return True
        if era < self.current:
            self._log.write(
                "store: report of an earlier era ignored",
                era=era,
                current=self.current,
                source=source,
            )
            return False
        before = self.current
        self.current = era
        if self._is_known:
            self.n_restores += 1
            self._log.write(
                "store: restored from an older copy",
                era=era,
                before=before,
                source=source,
            )
        self._is_known = True
        for listener in self._listeners:
            listener(era)
        return True
