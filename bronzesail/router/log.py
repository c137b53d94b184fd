"""Structured log lines on standard output; writing never blocks and is bounded."""

from __future__ import annotations

import os
import time
from collections import deque
from typing import TYPE_CHECKING, Any

import msgspec

if TYPE_CHECKING:
    import asyncio

__all__ = ["Log"]

# Bound of the buffer; the memory limit of a process is 300 MB.
MAX_PENDING_BYTES = 1_000_000
FLUSH_DELAY_S = 0.05  # Combines the lines of a burst into one write.


class Log:
    """Writes one JSON object per line and counts lines dropped on a full buffer.

    Parameters
    ----------
    host : str
        Name of the host; written in each line.
    descriptor : int
        File descriptor to write to.
    """

    def __init__(self, host: str, descriptor: int = 1) -> None:
        self._host = host
        self._descriptor = descriptor
        self._pending: deque[bytes] = deque()
        self._pending_bytes = 0
        self._loop: asyncio.AbstractEventLoop | None = None
        self._is_scheduled = False
        self._is_blocked = False
        self.dropped = 0  # Lines since the last one that reports their number.
        self._encoder = msgspec.json.Encoder()

    def attach(self, loop: asyncio.AbstractEventLoop) -> None:
        """Make the descriptor non-blocking and write from `loop` from now on.

        Until then, each line is written at once.
        """
        os.set_blocking(self._descriptor, False)
        self._loop = loop

    def write(self, message: str, **fields: Any) -> None:
        """Queue one line; `message` starts with the name of the component."""
        if self._pending_bytes > MAX_PENDING_BYTES:
            self.dropped += 1
            return
        if self.dropped:
            fields["dropped_lines"] = self.dropped
            self.dropped = 0
        line = {"time": round(time.time(), 4), "host": self._host, "message": message}
        line.update(fields)
        encoded = self._encoder.encode(line) + b"\n"
        self._pending.append(encoded)
        self._pending_bytes += len(encoded)
        if self._loop is None:
            self.flush()
        elif not self._is_scheduled and not self._is_blocked:
            self._is_scheduled = True
            self._loop.call_later(FLUSH_DELAY_S, self.flush)

    def flush(self) -> None:
        """Write as many buffered bytes as the descriptor accepts without blocking."""
        self._is_scheduled = False
        while self._pending:
            chunk = b"".join(self._pending)
            self._pending.clear()
            try:
                written = os.write(self._descriptor, chunk)
            except BlockingIOError:
                written = 0
            except OSError:
                # The reading end is closed; the lines are counted as dropped.
                self.dropped += chunk.count(b"\n")
                written = len(chunk)
            rest = chunk[written:]
            self._pending_bytes = len(rest)
            if not rest:
                break
            self._pending.append(rest)
            self._wait_for_reader()
            return
        self._stop_waiting()

    def _wait_for_reader(self) -> None:
        """Schedule the next flush for when the descriptor is writable."""
        if self._is_blocked or self._loop is None:
            return
        self._is_blocked = True
        try:
            self._loop.add_writer(self._descriptor, self.flush)
        except (OSError, ValueError):
            # The loop cannot poll a regular file, so writing is retried by a timer.
            self._is_blocked = False
            self._is_scheduled = True
            self._loop.call_later(FLUSH_DELAY_S, self.flush)

    def _stop_waiting(self) -> None:
        if self._is_blocked and self._loop is not None:
            self._is_blocked = False
            self._loop.remove_writer(self._descriptor)
