"""Groups connections to an address by the process that they lead to.

A process that listens at an address may be replaced by another one at any moment. Two
connections lead to the same process if one of them was opened while the other one was
still heard from later on. A `Span` is the time in which one process is known to have
lived by such connections.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from .client import Connection

__all__ = ["ConnectionSpans", "Span"]

# Data may arrive this much later than it was sent, after lost packets, while the
# process that has sent it is already replaced.
MAX_DATA_DELAY_S = 1.0
MAX_SPANS = 16  # Of one address; above it the oldest are forgotten.


@attrs.define(eq=False)
class Span:
    """Time in which one process is known to have listened at an address.

    Attributes
    ----------
    since : float
        When the first connection to it was opened, in seconds on the loop's clock.
    heard_at : float
        When it last accepted a connection or sent data, on the same clock.
    born_ms : int or None
        Start of the process by its own word, in Unix milliseconds; None if not told.
    is_silent : bool
        Whether the process does not tell its start.
    """

    since: float
    heard_at: float
    born_ms: int | None = None
    is_silent: bool = False
    _absorbed_by: Span | None = None

    def resolve(self) -> Span:
        """Return the span that this one has become a part of, or itself."""
        span = self
        while span._absorbed_by is not None:
            span = span._absorbed_by
        return span

    def absorb(self, later: Span) -> None:
        """Make a later span of the same process a part of this one."""
        later._absorbed_by = self
        self.heard_at = max(self.heard_at, later.heard_at)
        self.is_silent = self.is_silent or later.is_silent
        if self.born_ms is None:
            self.born_ms = later.born_ms

    def contradicts(self, other: Span) -> bool:
        """Whether the spans are of different processes by their own words."""
        return None not in (self.born_ms, other.born_ms) and (
            self.born_ms != other.born_ms
        )


class ConnectionSpans:
    """The spans of all addresses, as far as they may still matter."""

    def __init__(self) -> None:
        # In the order of their beginnings.
        self._spans: dict[tuple[str, int], list[Span]] = {}

    def note_opened(self, connection: Connection) -> None:
        """Begin a span with a new connection."""
        self._begin_span(connection)

    def note_start(self, connection: Connection, born_ms: int) -> None:
        """Record what the process that a connection leads to says of its start."""
        assert connection.span is not None
        span = connection.span.resolve()
        if span.born_ms not in (None, born_ms):
            span = self._begin_span(connection)  # Not the process it was taken for.
        span.born_ms = born_ms

    def _begin_span(self, connection: Connection) -> Span:
        """Begin a span with a connection."""
        span = connection.span = Span(connection.opened_at, connection.opened_at)
        spans = self._spans.setdefault(connection.address, [])
        spans.append(span)
        del spans[:-MAX_SPANS]
        return span

    def note_data(self, connection: Connection, now: float) -> None:
        """Record that data has arrived on a connection."""
        if connection.span is None or connection.was_paused:
            return  # What is read after a pause may have arrived long before.
        span = connection.span.resolve()
        span.heard_at = now
        spans = self._spans.get(connection.address, [])
        if spans and spans[-1] is span:
            return
        for later in spans[:]:
            if not span.since < later.since <= now - MAX_DATA_DELAY_S:
                continue
            if not span.contradicts(later):
                span.absorb(later)
                spans.remove(later)

    def find_newest(self, address: tuple[str, int]) -> Span | None:
        """Return the span of the process that was last known to listen, or None."""
        spans = self._spans.get(address)
        return spans[-1] if spans else None

    def forget_before(self, time: float) -> None:
        """Forget spans that were last heard from before a time."""
        for address, spans in list(self._spans.items()):
            spans[:] = [span for span in spans if span.heard_at >= time]
            if not spans:
                del self._spans[address]
