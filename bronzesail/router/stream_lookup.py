"""Tells other routers and the store which version began a stream, and asks them.

A rendezvous hash of the stream's id chooses the routers that are told, over all data
centres. More are asked than are told, since the routers that are live may have changed
meanwhile.
"""

from __future__ import annotations

import asyncio
import itertools
from typing import TYPE_CHECKING

import attrs

from .messages import StreamBeginnings, StreamQuery, StreamReply
from .store import StoreError
from .stream_versions import UNDETERMINED, StreamBeginning, combine_views

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from .log import Log
    from .messages import StreamMessage
    from .neighbourhood import Neighbourhood
    from .stream_rows import StreamRows
    from .stream_versions import StreamVersions

__all__ = ["StreamLookup"]

N_TOLD = 4
N_ASKED = 8
# A round trip across regions takes 60 ms; the rest allows for a slowed host.
REPLY_TIMEOUT_S = 0.15
N_SENDS = 2  # A query is repeated, since datagrams may be lost.
MAX_MESSAGE_BEGINNINGS = 16  # Fit into a packet, with ids and names of 30 bytes.


@attrs.define
class _PendingQuery:
    """Replies to a query so far; `changed` is set with each of them."""

    replies: dict[tuple[str, int], StreamReply] = attrs.field(factory=dict)
    changed: asyncio.Event = attrs.field(factory=asyncio.Event)


class StreamLookup:
    """Finds the version that began a stream, at this router or at others.

    Parameters
    ----------
    streams : StreamVersions
        What this router knows.
    rows : StreamRows
        What outlasts the end of all routers.
    neighbourhood : Neighbourhood
        The other routers.
    send : callable
        Sends a message to an address as a datagram.
    log : Log
        Log for lookups.
    incarnation : str
        Id of this process; prefix of the ids of its queries.
    """

    def __init__(
        self,
        streams: StreamVersions,
        rows: StreamRows,
        neighbourhood: Neighbourhood,
        send: Callable[[StreamMessage, tuple[str, int]], None],
        log: Log,
        incarnation: str,
    ) -> None:
        self._streams = streams
        self._rows = rows
        self._neighbourhood = neighbourhood
        self._send = send
        self._log = log
        self._incarnation = incarnation
        self._numbers = itertools.count(1)
        self._pending: dict[str, _PendingQuery] = {}
        self._told_services: set[str] = set()

    def note_begun(self, request_id: str, service: str, version: str) -> None:
        """Record which version began a stream; tell others if they cannot infer it."""
        was_told = self._streams.find(request_id) is not None
        self._streams.note_begun(request_id, service, version)
        only_version = self._streams.find_only_version(service)
        if only_version is None:
            self._told_services.add(service)
        if was_told or only_version != version:
            self._tell([StreamBeginning(request_id, service, version)])

    def note_undetermined(self, request_id: str, service: str) -> None:
        """Record, here and at others, that the version of a stream is not known yet.

        Others are told at once, as this router may end before it knows.
        """
        self._streams.note_begun(request_id, service, UNDETERMINED)
        self._tell([StreamBeginning(request_id, service, UNDETERMINED)])

    def tell_unknown(self) -> None:
        """Tell others of the streams whose version they can no longer infer.

        To be called after the versions of the services have changed.
        """
        for service in self._streams.list_services():
            if self._streams.find_only_version(service) is not None:
                self._told_services.discard(service)
            elif service not in self._told_services:
                self._told_services.add(service)
                self._tell(self._streams.list_own(service))

    def _tell(self, beginnings: Sequence[StreamBeginning]) -> None:
        """Tell the store, and those routers that the hash of each stream selects."""
        self._rows.write(beginnings)
        by_address: dict[tuple[str, int], list[StreamBeginning]] = {}
        for beginning in beginnings:
            subject = beginning.request_id
            for address in self._neighbourhood.rank_fleet(subject)[:N_TOLD]:
                by_address.setdefault(address, []).append(beginning)
        for address, told in by_address.items():
            for start in range(0, len(told), MAX_MESSAGE_BEGINNINGS):
                batch = told[start : start + MAX_MESSAGE_BEGINNINGS]
                self._send(StreamBeginnings(batch), address)

    async def find(self, request_id: str, service: str) -> StreamBeginning | None:
        """Return who began a stream; None if nobody knows.

        If no router knows the stream, but all agree that the service has had one
        version only for longer than a stream can last, and the store has no row of it,
        it was that version.

        Parameters
        ----------
        request_id : str
            Id of the request that brought the first event, empty if not stated.
        service : str
            Service that the stream is to go on at.
        """
        known = self._streams.find(request_id)
        if known is not None and known.version != UNDETERMINED:
            self._log_found(request_id, service, known, "this router")
            return known
        addresses = self._neighbourhood.rank_fleet(request_id)[:N_ASKED]
        replies = await self._ask(request_id, service, addresses)
        found, source = await self._combine(request_id, service, known, replies)
        if found is not None and request_id:
            self._streams.merge([found])
        self._log_found(
            request_id,
            service,
            found,
            source,
            asked=len(addresses),
            replies=len(replies),
        )
        return found

    async def _combine(
        self,
        request_id: str,
        service: str,
        known: StreamBeginning | None,
        replies: dict[tuple[str, int], StreamReply],
    ) -> tuple[StreamBeginning | None, str]:
        """Return who began a stream, by this router, others and the store; the source.

        That nobody has noted a stream means that its version can be inferred. Those who
        were told may have ended meanwhile, so that the store has the last word.
        """
        told = [known, *(reply.beginning for reply in replies.values())]
        noted = [beginning for beginning in told if beginning is not None]
        for beginning in noted:
            if beginning.version != UNDETERMINED:
                return beginning, "other routers"
        may_infer = not noted
        try:
            row = await self._rows.find(request_id)
        except StoreError as error:
            row = None
            may_infer = may_infer and self._are_told_asked(request_id, replies)
            self._log.write(
                "stream: row not read", resumes=request_id, error=str(error)
            )
        if row is not None:
            return row, "store"
        if noted:
            return noted[0], "other routers"
        views = [self._streams.make_view(service)]
        views += [reply.view for reply in replies.values()]
        only_version = combine_views(views)
        if only_version is None or not may_infer:
            return None, "store"
        return StreamBeginning(request_id, service, only_version), "only version"

    def _are_told_asked(
        self, request_id: str, replies: dict[tuple[str, int], StreamReply]
    ) -> bool:
        """Whether all routers that are told of a stream have replied.

        They must have been there when it began.
        """
        told = self._neighbourhood.rank_fleet(request_id)[:N_TOLD]
        return bool(told) and all(
            address in replies and replies[address].view.is_observed for address in told
        )

    def _log_found(
        self,
        request_id: str,
        service: str,
        found: StreamBeginning | None,
        source: str,
        **counts: int,
    ) -> None:
        """Log who began a stream, as far as known, and how this router knows."""
        self._log.write(
            "stream: looked up",
            resumes=request_id,
            service=service,
            version=None if found is None else found.version,
            age_s=None if found is None else round(found.age_s, 2),
            source=None if found is None else source,
            **counts,
        )

    async def _ask(
        self, request_id: str, service: str, addresses: list[tuple[str, int]]
    ) -> dict[tuple[str, int], StreamReply]:
        """Return the replies of other routers, as far as they are needed."""
        if not addresses:
            return {}
        query = StreamQuery(
            f"{self._incarnation}:{next(self._numbers)}", request_id, service
        )
        pending = self._pending[query.id] = _PendingQuery()
        try:
            for _ in range(N_SENDS):
                for address in addresses:
                    if address not in pending.replies:
                        self._send(query, address)
                if await self._wait_for_replies(pending, service, addresses):
                    break
        finally:
            del self._pending[query.id]
        return pending.replies

    async def _wait_for_replies(
        self, pending: _PendingQuery, service: str, addresses: list[tuple[str, int]]
    ) -> bool:
        """Wait for enough replies; return False if `REPLY_TIMEOUT_S` passes first."""
        try:
            async with asyncio.timeout(REPLY_TIMEOUT_S):
                while not self._is_decided(pending, service, addresses):
                    pending.changed.clear()
                    await pending.changed.wait()
        except TimeoutError:
            return False
        return True

    def _is_decided(
        self, pending: _PendingQuery, service: str, addresses: list[tuple[str, int]]
    ) -> bool:
        """Whether further replies would not change what is found."""
        replies = list(pending.replies.values())
        noted = [r.beginning for r in replies if r.beginning is not None]
        if len(replies) >= len(addresses) or any(
            beginning.version != UNDETERMINED for beginning in noted
        ):
            return True
        if any(address not in pending.replies for address in addresses[:N_TOLD]):
            return False
        views = [self._streams.make_view(service), *(r.view for r in replies)]
        return combine_views(views) is not None

    def handle(self, message: StreamMessage, address: tuple[str, int]) -> None:
        """Process a message of another router."""
        if isinstance(message, StreamBeginnings):
            self._streams.merge(message.beginnings)
            return
        if isinstance(message, StreamQuery):
            beginning = self._streams.find(message.request_id)
            view = self._streams.make_view(message.service)
            self._send(StreamReply(message.id, beginning, view), address)
            return
        pending = self._pending.get(message.id)
        if pending is not None:
            pending.replies[address] = message
            pending.changed.set()
