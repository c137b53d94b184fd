"""Switch that makes a stand-in stand still as a paused process does."""

from __future__ import annotations

import asyncio

import attrs

__all__ = ["PauseSwitch"]


def _make_resumed_event() -> asyncio.Event:
    event = asyncio.Event()
    event.set()
    return event


@attrs.define
class PauseSwitch:
    """Base of fault switches that include a pause."""

    _resumed: asyncio.Event = attrs.field(
        factory=_make_resumed_event, init=False, repr=False, eq=False
    )

    @property
    def is_paused(self) -> bool:
        """Whether the process stands still."""
        return not self._resumed.is_set()

    @is_paused.setter
    def is_paused(self, value: bool) -> None:
        if value:
            self._resumed.clear()
        else:
            self._resumed.set()

    async def wait_while_paused(self) -> None:
        """Return once the process does not stand still."""
        await self._resumed.wait()
