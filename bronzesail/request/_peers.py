"""Look up requests at peer routers, and answer the lookups of peers."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any

import attrs

from ..budget import DispatchRecord
from ..errors import Refusal, ResultCode
from ..fleet import PeerRefusedError, PeerUnreachableError, choose_owners
from ..schema import (
    AnswerChunk,
    AnswerPart,
    FetchAnswer,
    FindRequest,
    FoundRequest,
    ReleaseClaim,
    ReleaseReply,
    RouterId,
    TrackKey,
    TrackReply,
)
from ._delivery import wait_for_change
from ._life import WholeAnswer

if TYPE_CHECKING:
    from ..fleet import RouterInfo
    from ._claims import ClaimStore
    from ._context import RequestContext
    from ._records import RequestRecord
    from ._tracker import KeyTracker

__all__ = [
    "LookupResult",
    "PeerLookup",
    "PeerRequestHandler",
    "TrackingResult",
    "may_run_again",
]

# Trackers of a key in each region, besides the router that runs the request.
N_TRACKERS = 2
# Candidates that are queried until enough trackers answer, including this router.
MAX_QUERIED_TRACKERS = 5
# Timeout of a query to one tracker; short, because the dispatch waits for the queries.
TRACK_TIMEOUT_S = 0.15
# Limits the size of one reply to a peer that fetches an answer.
MAX_CHUNKS_PER_PART = 256
# Longest time that a peer's fetch waits for a new chunk, in seconds.
MAX_WAIT_S = 2.0


@attrs.frozen
class LookupResult:
    """Result of a lookup of a request at all routers.

    Attributes
    ----------
    holder : RouterId or None
        Router that has the answer or is running the request; None if there is none.
    dispatch : DispatchRecord or None
        Journal record of its dispatch; None if no router has one.
    """

    holder: RouterId | None = None
    dispatch: DispatchRecord | None = None


@attrs.frozen
class TrackingResult:
    """Combined replies of the trackers of a request key.

    Attributes
    ----------
    holder : RouterId or None
        Another router that runs the request; None if there is none.
    has_enough_replies : bool
        Whether enough trackers answered to rely on `holder` being None.
    is_repeated : bool
        Whether a tracker already had this router as the holder of the key.
    """

    holder: RouterId | None
    has_enough_replies: bool
    is_repeated: bool = False


def may_run_again(record: RequestRecord) -> bool:
    """Return whether a new attempt may replace a record that has ended.

    Parameters
    ----------
    record : RequestRecord
        Record of the earlier attempt.

    Returns
    -------
    bool
        True if it was refused and is repeatable, did not run, or was only mirrored
        from another router.
    """
    if not isinstance(record.ending, Refusal):
        return False
    if record.is_mirror:
        return True
    return record.ending.is_not_run or record.life.is_repeatable


class PeerLookup:
    """Looks up requests and backend servers for this router.

    Parameters
    ----------
    context : RequestContext
        Services shared by the request path.
    tracker : KeyTracker
        Keys for which this router is a tracker.
    """

    def __init__(self, context: RequestContext, tracker: KeyTracker) -> None:
        self._context = context
        self._tracker = tracker
        self._own = context.membership.own

    def find_address(self, service: str, backend_server: str) -> str:
        """Return the address of a backend server.

        Parameters
        ----------
        service : str
            Name of the service.
        backend_server : str
            Name of the backend server.

        Returns
        -------
        str
            IP address and port; empty if the backend server is not in the host list.
        """
        for entry in self._context.membership.list_backends(service):
            if entry.host == backend_server:
                return entry.address
        return ""

    async def find_request(self, account: str, key: str) -> LookupResult:
        """Look up a request at every router.

        Parameters
        ----------
        account : str
            Client account.
        key : str
            Request key.

        Returns
        -------
        LookupResult
            Holder of the answer and journal record of the dispatch, as far as known.
        """
        context = self._context
        dispatch = context.budgets.find_dispatch(account, key)
        peers = context.membership.list_routers()
        message = FindRequest(account, key)
        timeout_s = context.settings.peer_timeout_s
        replies = await asyncio.gather(
            *(self._send_request(peer, message, timeout_s) for peer in peers)
        )
        for peer, reply in zip(peers, replies, strict=True):
            if not isinstance(reply, FoundRequest):
                continue
            if reply.is_holder:
                return LookupResult(peer.router_id, dispatch)
            if reply.has_record and dispatch is None:
                dispatch = _read_dispatch(account, key, reply)
        return LookupResult(None, dispatch)

    async def track(
        self, account: str, key: str, is_takeover: bool = False
    ) -> TrackingResult:
        """Register this router as the one that runs a request, unless another does.

        Parameters
        ----------
        account : str
            Client account.
        key : str
            Request key.
        is_takeover : bool
            Whether to replace the registered router, which no longer runs it.

        Returns
        -------
        TrackingResult
            Combined replies of the trackers.
        """
        peers = self._context.membership.list_routers()
        region_peers = [peer for peer in peers if peer.region == self._own.region]
        name = f"{account}\0{key}"
        ranked = choose_owners(name, [self._own, *region_peers], MAX_QUERIED_TRACKERS)
        n_required = min(N_TRACKERS, len(region_peers))
        message = TrackKey(account, key, False, is_takeover)
        is_repeated = False
        n_answers = 0
        # Trackers are queried sequentially: routers that race for a key meet at the
        # first tracker, so that neither can end up following the other. The entry of
        # this router's own tracker is lost if this router fails, so it does not count
        # as an answer.
        for tracker in ranked:
            if n_answers == n_required and tracker != self._own:
                break
            reply = await self._query_tracker(tracker, message)
            if reply is None:
                continue
            if reply.is_known and reply.holder != self._own.router_id:
                return TrackingResult(reply.holder, True)
            is_repeated = is_repeated or reply.is_known
            n_answers += tracker != self._own
        return TrackingResult(None, n_answers >= n_required, is_repeated)

    async def may_be_known_elsewhere(self, account: str, key: str) -> bool:
        """Query the trackers of the other regions for a request key.

        Parameters
        ----------
        account : str
            Client account.
        key : str
            Request key.

        Returns
        -------
        bool
            False only if each of them replied that the key is unknown.
        """
        routers_by_region: dict[str, list[RouterInfo]] = {}
        for peer in self._context.membership.list_routers():
            if peer.region != self._own.region:
                routers_by_region.setdefault(peer.region, []).append(peer)
        trackers: list[RouterInfo] = []
        for routers in routers_by_region.values():
            trackers += choose_owners(f"{account}\0{key}", routers, N_TRACKERS)
        message = TrackKey(account, key, is_query=True)
        replies = await asyncio.gather(
            *(self._query_tracker(tracker, message) for tracker in trackers)
        )
        return any(reply is None or reply.is_known for reply in replies)

    async def release_claim(
        self, holder: RouterId, account: str, key: str, nonce: str
    ) -> bool:
        """Request that the holder of an unused claim releases it.

        Parameters
        ----------
        holder : RouterId
            Router that holds the claim.
        account : str
            Client account.
        key : str
            Request key.
        nonce : str
            Nonce in the row of the claim.

        Returns
        -------
        bool
            True if the holder confirmed that it will never dispatch under the claim.
        """
        message = ReleaseClaim(account, key, nonce)
        try:
            reply = await self._context.network.request(
                holder, message, self._context.settings.peer_timeout_s
            )
        except (PeerUnreachableError, PeerRefusedError):
            return False
        return isinstance(reply, ReleaseReply) and reply.is_released

    async def _query_tracker(
        self, tracker: RouterInfo, message: TrackKey
    ) -> TrackReply | None:
        if tracker == self._own:
            now = self._context.clock.monotonic()
            return track_key(self._tracker, message, self._own.router_id, now)
        reply = await self._send_request(tracker, message, TRACK_TIMEOUT_S)
        return reply if isinstance(reply, TrackReply) else None

    async def _send_request(
        self, peer: RouterInfo, message: Any, timeout_s: float
    ) -> Any:
        try:
            return await self._context.network.request(
                peer.router_id, message, timeout_s
            )
        except (PeerUnreachableError, PeerRefusedError):
            return None


def track_key(
    tracker: KeyTracker, message: TrackKey, sender: RouterId, now: float
) -> TrackReply:
    """Update a tracker with a router's message and return the reply."""
    if message.is_query:
        known = tracker.find(message.account, message.key, now)
        return TrackReply(known is not None, known or sender)
    if message.is_takeover:
        tracker.take_over(message.account, message.key, sender, now)
        return TrackReply(False, sender)
    is_known = tracker.find(message.account, message.key, now) is not None
    holder = tracker.note(message.account, message.key, sender, now)
    return TrackReply(is_known, holder)


def _read_dispatch(account: str, key: str, reply: FoundRequest) -> DispatchRecord:
    return DispatchRecord(
        account=account,
        request_key=key,
        service=reply.service,
        backend_server=reply.backend_server,
        amount_tokens=reply.amount_tokens,
        used_tokens=reply.used_tokens,
    )


class PeerRequestHandler:
    """Handles messages of peers about requests.

    Parameters
    ----------
    context : RequestContext
        Services shared by the request path.
    tracker : KeyTracker
        Keys for which this router is a tracker.
    claims : ClaimStore
        Claims that this router holds.
    """

    def __init__(
        self, context: RequestContext, tracker: KeyTracker, claims: ClaimStore
    ) -> None:
        self._context = context
        self._tracker = tracker
        self._claims = claims

    def register(self) -> None:
        """Register the message handlers with the peer network."""
        network = self._context.network
        network.register(FetchAnswer, self.fetch)
        network.register(FindRequest, self.find)
        network.register(TrackKey, self.track)
        network.register(ReleaseClaim, self.release)

    async def fetch(self, sender: RouterId, message: FetchAnswer) -> AnswerPart:
        """Return the chunks after a given number, waiting until there is one.

        Parameters
        ----------
        sender : RouterId
            Router that fetches the answer.
        message : FetchAnswer
            Request key, last known chunk and maximum time to wait.

        Returns
        -------
        AnswerPart
            Next chunks and, with the last of them, the result of the request.
        """
        record = self._context.records.find(message.account, message.key)
        if record is None or record.is_mirror:
            return AnswerPart(is_known=False)
        if message.digest and message.digest != record.digest:
            code = ResultCode.KEY_REUSED_WITH_OTHER_BODY
            return AnswerPart(is_known=True, is_ended=True, code=int(code))
        if may_run_again(record) and not message.is_attached:
            is_not_run = isinstance(record.ending, Refusal) and record.ending.is_not_run
            return AnswerPart(is_known=False, is_not_run=is_not_run)
        record.n_attached += 1
        try:
            wait_s = min(MAX_WAIT_S, message.wait_ms / 1000)
            await wait_for_change(record, message.after, wait_s)
        finally:
            record.n_attached -= 1
            record.detached_at = self._context.clock.monotonic()
        return _make_part(record, max(0, message.after))

    async def find(self, sender: RouterId, message: FindRequest) -> FoundRequest:
        """Return what this router knows about a request.

        Parameters
        ----------
        sender : RouterId
            Router that looks up the request.
        message : FindRequest
            Client account and request key.

        Returns
        -------
        FoundRequest
            Whether this router holds the answer, and its journal record.
        """
        record = self._context.records.find(message.account, message.key)
        is_holder = record is not None and not record.is_mirror
        if record is not None and may_run_again(record):
            is_holder = False
        dispatch_copy = self._context.budgets.find_dispatch(
            message.account, message.key
        )
        if dispatch_copy is None:
            return FoundRequest(is_holder=is_holder, has_record=False)
        return FoundRequest(
            is_holder=is_holder,
            has_record=True,
            service=dispatch_copy.service,
            backend_server=dispatch_copy.backend_server,
            amount_tokens=dispatch_copy.amount_tokens,
            used_tokens=dispatch_copy.used_tokens,
        )

    async def track(self, sender: RouterId, message: TrackKey) -> TrackReply:
        """Register or return the router that runs a request.

        Parameters
        ----------
        sender : RouterId
            Router that sent the message.
        message : TrackKey
            Request key, and whether to query, register or replace.

        Returns
        -------
        TrackReply
            Router that is registered for the key.
        """
        now = self._context.clock.monotonic()
        return track_key(self._tracker, message, sender, now)

    async def release(self, sender: RouterId, message: ReleaseClaim) -> ReleaseReply:
        """Release a claim that this router has not used.

        Parameters
        ----------
        sender : RouterId
            Router that wants to take over the claim.
        message : ReleaseClaim
            Request key and nonce of the claim.

        Returns
        -------
        ReleaseReply
            Whether this router will never dispatch under the claim.
        """
        is_released = self._claims.release(message.account, message.key, message.nonce)
        return ReleaseReply(is_released)


def _make_part(record: RequestRecord, after: int) -> AnswerPart:
    chunks = record.list_chunks(after)[:MAX_CHUNKS_PER_PART]
    parts = tuple(AnswerChunk(c.number, c.text, c.tokens) for c in chunks)
    last_number = chunks[-1].number if chunks else after
    part = AnswerPart(is_known=True, chunks=parts)
    # The peer may deliver these chunks to a caller, so they count as delivered and a
    # rerun must not replace them.
    record.life.note_delivered(min(last_number, len(record.life.chunks)))
    if record.ending is None or last_number < len(record.life.chunks):
        return part
    if isinstance(record.ending, WholeAnswer):
        return attrs.evolve(
            part,
            is_ended=True,
            prompt_tokens=record.ending.prompt_tokens,
            output_tokens=record.ending.output_tokens,
            charged_tokens=record.ending.charged_tokens,
            status=record.ending.status,
            content_type=record.ending.content_type,
            body=record.ending.body,
        )
    return attrs.evolve(
        part,
        is_ended=True,
        code=int(record.ending.code),
        is_not_run=record.ending.is_not_run,
        detail=record.ending.detail,
        retry_after_ms=round(record.ending.retry_after_s * 1000),
    )
