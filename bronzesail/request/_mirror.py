"""Follows a request that another router runs, or ran before it was lost."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from ..errors import Refusal, ResultCode
from ..fleet import PeerRefusedError, PeerUnreachableError
from ..schema import AnswerPart, FetchAnswer
from ._dispatch import AttemptError, ModelDispatcher
from ._life import Chunk, ReplayMismatchError, WholeAnswer

if TYPE_CHECKING:
    from ..budget import DispatchRecord
    from ..schema import RouterId
    from ._context import RequestContext
    from ._peers import PeerLookup
    from ._records import RequestRecord

__all__ = ["Mirror", "MirrorLostError", "MirrorRun"]

# Longest time that the other router holds a poll for new parts, in milliseconds.
POLL_MS = 1000
# Delay before an unreachable router is polled again, in seconds.
RETRY_DELAY_S = 0.2


class MirrorLostError(Exception):
    """Raised when the answer is available from neither the router nor the backend.

    Parameters
    ----------
    is_not_run : bool
        Whether the other router reported that the request did not run.
    """

    def __init__(self, is_not_run: bool = False) -> None:
        super().__init__("no router or backend server has the answer")
        self.is_not_run = is_not_run


class Mirror:
    """Copies the answer of another router's request into a local record.

    Parameters
    ----------
    context : RequestContext
        Shared services and state of the request path.
    lookup : PeerLookup
        Finds journal records of the request.
    record : RequestRecord
        Local record that receives the answer.
    """

    def __init__(
        self, context: RequestContext, lookup: PeerLookup, record: RequestRecord
    ) -> None:
        self._context = context
        self._lookup = lookup
        self._record = record

    async def follow(
        self, holder: RouterId | None, dispatch: DispatchRecord | None
    ) -> WholeAnswer | Refusal:
        """Copy the answer from its holder or backend server and return the result.

        Parameters
        ----------
        holder : RouterId or None
            Router that runs the request; None if it has left the fleet.
        dispatch : DispatchRecord or None
            Journal record of the request's dispatch; None to ask the other routers
            for one if the holder cannot provide the answer.

        Returns
        -------
        WholeAnswer or Refusal
            Result of the request, as its holder or the backend server reported it.

        Raises
        ------
        MirrorLostError
            If no router or backend server has the answer.
        """
        record = self._record
        record.is_mirror = True
        # The holder dispatched the request and charges for it; the count of
        # dispatches here only satisfies the checks of the state machine.
        record.life.start_mirror()
        if holder is not None:
            ending = await self._follow_holder(holder)
            if ending is not None:
                return ending
            self._context.explain(
                record, f"router {holder.host} does not provide the answer"
            )
        if dispatch is None:
            found = await self._lookup.find_request(record.account, record.key)
            dispatch = found.dispatch
        if dispatch is None:
            raise MirrorLostError
        return await self._resume_at_backend(dispatch)

    async def _follow_holder(self, holder: RouterId) -> WholeAnswer | Refusal | None:
        n_failures = 0
        is_attached = False
        while n_failures < self._context.settings.max_probes:
            try:
                part = await self._fetch(holder, is_attached)
            except PeerUnreachableError:
                n_failures += 1
                if not self._context.membership.is_listed(holder):
                    return None
                await asyncio.sleep(RETRY_DELAY_S)
                continue
            except PeerRefusedError:
                return None
            n_failures = 0
            is_attached = True
            if part.is_not_run and not part.is_known:
                raise MirrorLostError(is_not_run=True)
            if not part.is_known:
                return None
            self._add_chunks(part)
            if part.is_ended:
                return _read_ending(part)
        return None

    async def _fetch(self, holder: RouterId, is_attached: bool) -> AnswerPart:
        record = self._record
        message = FetchAnswer(
            account=record.account,
            key=record.key,
            after=record.life.last_number,
            wait_ms=POLL_MS,
            digest=record.digest,
            is_attached=is_attached,
        )
        timeout_s = POLL_MS / 1000 + self._context.settings.peer_timeout_s
        reply = await self._context.network.request(holder, message, timeout_s)
        if not isinstance(reply, AnswerPart):
            raise PeerRefusedError(ResultCode.PEER_REFUSED, "unexpected reply type")
        return reply

    def _add_chunks(self, part: AnswerPart) -> None:
        for chunk in part.chunks:
            try:
                self._record.life.add_chunk(
                    Chunk(chunk.number, chunk.text, chunk.tokens)
                )
            except ReplayMismatchError as error:
                raise MirrorLostError from error
        if part.chunks:
            self._record.announce()

    async def _resume_at_backend(self, dispatch: DispatchRecord) -> WholeAnswer:
        context = self._context
        service = context.configuration.current.services.get(dispatch.service)
        address = self._lookup.find_address(dispatch.service, dispatch.backend_server)
        if service is None or service.kind != "model" or not address:
            raise MirrorLostError
        text = f"resuming at {dispatch.backend_server} in place of a lost router"
        context.explain(self._record, text)
        self._record.life.note_remote_reservation(dispatch.amount_tokens)
        silence_s = service.silence_limit_ms / 1000
        dispatcher = ModelDispatcher(context, self._record, silence_s)
        try:
            return await dispatcher.follow(None, address)
        except AttemptError as error:
            context.explain(self._record, f"resumption failed: {error}")
            raise MirrorLostError from error


def _read_ending(part: AnswerPart) -> WholeAnswer | Refusal:
    if part.code:
        return Refusal(
            code=ResultCode(part.code),
            is_not_run=part.is_not_run,
            detail=part.detail,
            retry_after_s=part.retry_after_ms / 1000,
        )
    return WholeAnswer(
        prompt_tokens=part.prompt_tokens,
        output_tokens=part.output_tokens,
        charged_tokens=part.charged_tokens,
        status=part.status,
        content_type=part.content_type,
        body=part.body,
    )


class MirrorRun:
    """Resumes a request of another router for a caller that presents only its key.

    Parameters
    ----------
    context : RequestContext
        Shared services and state of the request path.
    mirror : Mirror
        Copies the answer into the record.
    record : RequestRecord
        Local record that receives the answer.
    """

    def __init__(
        self, context: RequestContext, mirror: Mirror, record: RequestRecord
    ) -> None:
        self._context = context
        self._mirror = mirror
        self._record = record

    async def run(
        self, holder: RouterId | None, dispatch: DispatchRecord | None
    ) -> None:
        """Follow the request until it has a result, which is set on the record.

        Parameters
        ----------
        holder : RouterId or None
            Router that runs the request; None if it has left the fleet.
        dispatch : DispatchRecord or None
            Journal record of its dispatch; None if none is known.
        """
        life = self._record.life
        try:
            ending = await self._mirror.follow(holder, dispatch)
            if isinstance(ending, Refusal):
                life.adopt(ending)
            else:
                life.complete(ending, len(life.chunks))
        except MirrorLostError:
            life.refuse(Refusal(ResultCode.ANSWER_LOST, is_not_run=False))
        except asyncio.CancelledError:
            life.refuse(Refusal(ResultCode.CANCELLED, is_not_run=False))
        finally:
            if life.ending is None:
                life.refuse(Refusal(ResultCode.INTERNAL, is_not_run=False))
            now = self._context.clock.monotonic()
            self._context.records.note_ended(self._record, now)
            self._record.announce()
