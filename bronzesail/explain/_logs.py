"""Structured log lines with a fixed prefix for each component."""

from __future__ import annotations

import eliot

__all__ = ["PartLogger"]


class PartLogger:
    """Writes the eliot messages of one component.

    Parameters
    ----------
    part : str
        Name of the component, the prefix of each of its lines, such as ``budget``.
    """

    def __init__(self, part: str) -> None:
        self._part = part

    def write(self, sentence: str, **fields: object) -> None:
        """Write a log line.

        Parameters
        ----------
        sentence : str
            Message text without the prefix.
        **fields : object
            Structured fields of the line.
        """
        eliot.log_message(
            message_type=f"bronzesail:{self._part}",
            text=f"{self._part}: {sentence}",
            **fields,
        )
