"""Cache of sent replies, so that a duplicate request is handled only once."""

from __future__ import annotations

import asyncio
from collections import OrderedDict
from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from ..schema import RouterId

__all__ = ["ReplyCache"]

# A request resent later than this is handled a second time.
REPLY_TTL_S = 30.0


@attrs.frozen
class CachedReply:
    """Cached reply to one request.

    Attributes
    ----------
    reply : asyncio.Future of bytes
        The encoded reply; pending while the request is being handled.
    added_at : float
        Monotonic time at which the request arrived, in seconds.
    """

    reply: asyncio.Future[bytes]
    added_at: float


class ReplyCache:
    """Caches replies by sender and request number for `REPLY_TTL_S` seconds."""

    def __init__(self) -> None:
        self._replies: OrderedDict[tuple[RouterId, int], CachedReply] = OrderedDict()

    def find(self, peer: RouterId, number: int) -> asyncio.Future[bytes] | None:
        """Return the cached reply to a request, or None for a new request.

        Parameters
        ----------
        peer : RouterId
            Sender of the request.
        number : int
            Number of the request.

        Returns
        -------
        asyncio.Future of bytes or None
            The encoded reply.
        """
        cached = self._replies.get((peer, number))
        return cached.reply if cached is not None else None

    def add(
        self, peer: RouterId, number: int, reply: asyncio.Future[bytes], now: float
    ) -> None:
        """Cache the reply to a request.

        Parameters
        ----------
        peer : RouterId
            Sender of the request.
        number : int
            Number of the request.
        reply : asyncio.Future of bytes
            The encoded reply.
        now : float
            Monotonic time, in seconds.
        """
        self._replies[peer, number] = CachedReply(reply, now)

    def expire(self, now: float) -> None:
        """Remove replies older than `REPLY_TTL_S`, oldest first."""
        while self._replies:
            key = next(iter(self._replies))
            if now - self._replies[key].added_at < REPLY_TTL_S:
                return
            del self._replies[key]
