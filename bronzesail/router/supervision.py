"""Runs the background tasks of a process and starts those again that fail."""

from __future__ import annotations

import asyncio
import traceback
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from collections.abc import Callable, Coroutine

    from .log import Log

__all__ = ["Supervisor"]

# Bounds the log lines of a task that fails each time; well below the 3 s within which
# a configuration must be in force.
RESTART_DELAY_S = 0.5
# Innermost frames of a traceback that are logged.
LOGGED_FRAMES = 4


class Supervisor:
    """Background tasks that run until `cancel`, however often they fail.

    Parameters
    ----------
    loop : asyncio.AbstractEventLoop
        The loop to run on.
    log : Log
        Log for failures.

    Attributes
    ----------
    n_failures : int
        Failures of background tasks, and errors in callbacks of the loop, so far.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop, log: Log) -> None:
        self._loop = loop
        self._log = log
        self._tasks: dict[str, asyncio.Task[None]] = {}
        self.n_failures = 0

    def start(self, name: str, run: Callable[[], Coroutine[None, None, None]]) -> None:
        """Run `run` in a task, and again whenever it raises an error or returns."""
        self._tasks[name] = self._loop.create_task(self._run(name, run), name=name)

    def cancel(self, *names: str) -> None:
        """Cancel the tasks with these names for good; all tasks by default."""
        for name in names or self._tasks:
            self._tasks[name].cancel()

    def note_callback_error(
        self, loop: asyncio.AbstractEventLoop, context: dict[str, Any]
    ) -> None:
        """Log an error that reached the loop; for `set_exception_handler`."""
        self.n_failures += 1
        error = context.get("exception")
        self._log.write(
            "router: error in a callback",
            detail=str(context.get("message")),
            error=repr(error),
            traceback=_format_frames(error),
        )

    async def _run(
        self, name: str, run: Callable[[], Coroutine[None, None, None]]
    ) -> None:
        while True:
            failure: Exception | None = None
            try:
                await run()
            except Exception as error:  # One fault must not stop a task for good.
                failure = error
            self.n_failures += 1
            self._log.write(
                "router: background task failed",
                task=name,
                error=repr(failure),
                traceback=_format_frames(failure),
                restart_s=RESTART_DELAY_S,
            )
            await asyncio.sleep(RESTART_DELAY_S)


def _format_frames(error: BaseException | None) -> list[str]:
    """Return file, line and function of the frames that raised an error."""
    if error is None:
        return []
    frames = traceback.extract_tb(error.__traceback__)[-LOGGED_FRAMES:]
    return [f"{f.filename.rpartition('/')[2]}:{f.lineno} {f.name}" for f in frames]
