"""Dispatch one attempt to a backend server and read its answer to the end."""

from __future__ import annotations

import enum
from typing import TYPE_CHECKING

from ..http import ExchangeBrokenError, HttpCall, HttpError, NotSentError
from ._engine import EngineState, EngineUsage
from ._ids import derive_request_id
from ._life import Chunk, ReplayMismatchError, WholeAnswer

if TYPE_CHECKING:
    from ..http._client import HttpExchange
    from ._context import RequestContext
    from ._orders import CallerOrder
    from ._records import RequestRecord

__all__ = ["AttemptError", "Cause", "ModelDispatcher", "PlainDispatcher"]

# Statuses by which a plain service or its proxy reports that it is unavailable.
UNAVAILABLE_STATUSES = (502, 503, 504)
# Time to wait for the end of the body after the last event, in seconds.
BODY_END_TIMEOUT_S = 0.05


class Cause(enum.Enum):
    """Why an attempt failed to produce a complete answer."""

    UNSENT = "unsent"
    CRASHED = "crashed"
    SILENT = "silent"
    BROKEN = "broken"
    REFUSED = "refused"
    REPLAY_LOST = "replay-lost"


class AttemptError(Exception):
    """Raised when an attempt ended without a complete answer.

    Parameters
    ----------
    cause : Cause
        Reason for the failure.
    detail : str
        Explanation for the decision log, in one sentence.
    """

    def __init__(self, cause: Cause, detail: str = "") -> None:
        super().__init__(f"{cause.value}: {detail}")
        self.cause = cause


def classify_unsent(error: NotSentError) -> Cause:
    """Classify a failure to reconnect to a backend server that got a request.

    Parameters
    ----------
    error : NotSentError
        Error of the new connection.

    Returns
    -------
    Cause
        ``CRASHED`` if the host refused the connection, otherwise ``SILENT``: an
        unresponsive host or link does not show that the process crashed.
    """
    is_refused = isinstance(error.__cause__, ConnectionRefusedError)
    return Cause.CRASHED if is_refused else Cause.SILENT


class ModelDispatcher:
    """Runs a completion on one model engine, resuming it over new connections.

    Parameters
    ----------
    context : RequestContext
        Services shared by the request path.
    record : RequestRecord
        Record to which the chunks are added.
    silence_s : float
        Time without data after which the engine is probed, in seconds.
    """

    def __init__(
        self, context: RequestContext, record: RequestRecord, silence_s: float
    ) -> None:
        self._context = context
        self._record = record
        self._silence_s = silence_s
        secret = context.settings.fleet_secret
        self._request_id = derive_request_id(secret, record.account, record.key)
        self.used_tokens = 0

    async def dispatch(self, order: CallerOrder, address: str) -> WholeAnswer:
        """Start a completion and read it to its end.

        Parameters
        ----------
        order : CallerOrder
            Parsed request.
        address : str
            IP address and port of the engine.

        Returns
        -------
        WholeAnswer
            Usage of the answer; its chunks are in the record.

        Raises
        ------
        AttemptError
            If the attempt ended without a complete answer.
        """
        self._record.life.start_dispatch()
        exchange: HttpExchange | None = None
        try:
            exchange = await self._context.engine.start(
                address=address,
                request_id=self._request_id,
                prompt=order.body,
                max_tokens=order.max_tokens,
                priority=order.priority_class.priority,
                silence_s=self._silence_s,
                is_fresh=not order.is_repeatable,
            )
        except NotSentError as error:
            self._record.life.note_unsent()
            raise AttemptError(Cause.UNSENT, str(error)) from error
        except ExchangeBrokenError as error:
            self._context.explain(self._record, f"stream lost: {error}")
        return await self.follow(exchange, address)

    async def follow(self, exchange: HttpExchange | None, address: str) -> WholeAnswer:
        """Read a completion to its end, resuming it after each lost connection.

        Parameters
        ----------
        exchange : HttpExchange or None
            Response in progress; None to resume over a new connection first.
        address : str
            IP address and port of the engine.

        Returns
        -------
        WholeAnswer
            Usage of the answer; its chunks are in the record.

        Raises
        ------
        AttemptError
            If the engine failed, lost the request or cancelled it.
        """
        while True:
            if exchange is None:
                exchange = await self._resume(address)
            usage = None
            if exchange is not None:
                usage = await self._read(exchange)
            if usage is not None:
                return self._make_answer(usage)
            exchange = None

    async def cancel(self, address: str) -> None:
        """Cancel the completion and store its usage in ``used_tokens``.

        Parameters
        ----------
        address : str
            IP address and port of the engine.
        """
        usage = await self._context.engine.cancel(address, self._request_id)
        if usage is not None:
            self.used_tokens = usage.total_tokens

    def _make_answer(self, usage: EngineUsage) -> WholeAnswer:
        life = self._record.life
        charged_tokens = min(usage.total_tokens, max(0, life.reserved_tokens))
        if charged_tokens < usage.total_tokens:
            excess = usage.total_tokens - charged_tokens
            text = f"engine used {excess} tokens above the reservation, not charged"
            self._context.explain(self._record, text)
        self.used_tokens = charged_tokens
        return WholeAnswer(usage.prompt_tokens, usage.output_tokens, charged_tokens)

    async def _read(self, exchange: HttpExchange) -> EngineUsage | None:
        if exchange.status == 404:
            exchange.close()
            raise AttemptError(Cause.BROKEN, "request unknown to the engine")
        if exchange.status >= 300:
            exchange.close()
            raise AttemptError(
                Cause.REFUSED, f"engine returned status {exchange.status}"
            )
        try:
            engine = self._context.engine
            async for event in engine.iterate_events(exchange, self._silence_s):
                if isinstance(event, EngineUsage):
                    _require_completed(event)
                    await _read_body_end(exchange)
                    return event
                if not self._store_chunk(event):
                    self._context.explain(self._record, "chunk missing from the stream")
                    return None
        except TimeoutError:
            self._context.explain(self._record, "stream timed out: probing the engine")
        except ExchangeBrokenError as error:
            self._context.explain(self._record, f"stream lost: {error}")
        finally:
            exchange.close()
        return None

    def _store_chunk(self, chunk: Chunk) -> bool:
        try:
            is_next = self._record.life.add_chunk(chunk)
        except ReplayMismatchError as error:
            raise AttemptError(
                Cause.REPLAY_LOST, "answer of the rerun differs"
            ) from error
        if is_next:
            self._record.announce()
        return is_next

    async def _resume(self, address: str) -> HttpExchange | None:
        state = await self._probe(address)
        if state.state in ("unknown", "cancelled"):
            raise AttemptError(Cause.BROKEN, f"engine reports state {state.state!r}")
        after = self._record.life.last_number
        self._context.explain(self._record, f"resuming after chunk {after}")
        try:
            return await self._context.engine.resume(
                address, self._request_id, after, self._silence_s
            )
        except HttpError:
            return None

    async def _probe(self, address: str) -> EngineState:
        for _ in range(self._context.settings.max_probes):
            try:
                state = await self._context.engine.probe(address, self._request_id)
            except NotSentError as error:
                raise AttemptError(classify_unsent(error), str(error)) from error
            except HttpError:
                continue
            if state is not None:
                return state
        raise AttemptError(Cause.SILENT, "engine did not answer any probe")


async def _read_body_end(exchange: HttpExchange) -> None:
    # The client reuses the connection only after the end of the body was read.
    try:
        async for _ in exchange.iterate_body(BODY_END_TIMEOUT_S):
            continue
    except (TimeoutError, ExchangeBrokenError):
        return


def _require_completed(usage: EngineUsage) -> None:
    if usage.is_cancelled:
        raise AttemptError(Cause.BROKEN, "request was cancelled on the engine")


class PlainDispatcher:
    """Sends one call to a plain service.

    Parameters
    ----------
    context : RequestContext
        Services shared by the request path.
    record : RequestRecord
        Record of the request.
    silence_s : float
        Timeout of a repeatable call, in seconds; another call may take until its
        deadline.
    """

    def __init__(
        self, context: RequestContext, record: RequestRecord, silence_s: float
    ) -> None:
        self._context = context
        self._record = record
        self._silence_s = silence_s
        self.used_tokens = 0

    async def dispatch(self, order: CallerOrder, address: str) -> WholeAnswer:
        """Send the call and return the complete answer of the service.

        Parameters
        ----------
        order : CallerOrder
            Parsed request.
        address : str
            IP address and port of the service.

        Returns
        -------
        WholeAnswer
            Response of the service.

        Raises
        ------
        AttemptError
            If the call failed, or if a repeatable call got an "unavailable" status.
        """
        secret = self._context.settings.fleet_secret
        request_id = derive_request_id(secret, order.account, self._record.key)
        call = HttpCall(
            address=address,
            method=order.method,
            target=order.target,
            headers=(*order.headers, ("idempotency-key", request_id)),
            body=order.body,
            is_fresh=not order.is_repeatable,
            timeout_s=self._find_timeout_s(order),
        )
        self._record.life.start_dispatch()
        try:
            exchange = await self._context.client.send(call)
            body = await exchange.read_body(call.timeout_s)
        except NotSentError as error:
            self._record.life.note_unsent()
            raise AttemptError(Cause.UNSENT, str(error)) from error
        except HttpError as error:
            cause = await self._find_cause(address)
            raise AttemptError(cause, str(error)) from error
        if exchange.status in UNAVAILABLE_STATUSES and order.is_repeatable:
            raise AttemptError(
                Cause.REFUSED, f"service returned status {exchange.status}"
            )
        headers = dict(exchange.headers)
        self.used_tokens = order.amount_tokens
        return WholeAnswer(
            prompt_tokens=0,
            output_tokens=0,
            charged_tokens=order.amount_tokens,
            status=exchange.status,
            content_type=headers.get("content-type", ""),
            body=body,
        )

    async def cancel(self, address: str) -> None:
        """Do nothing: plain services do not support cancellation."""

    def _find_timeout_s(self, order: CallerOrder) -> float:
        if order.is_repeatable:
            return self._silence_s
        remaining_s = order.deadline - self._context.clock.monotonic()
        return max(0.001, remaining_s)

    async def _find_cause(self, address: str) -> Cause:
        try:
            await self._context.client.probe(address)
        except NotSentError as error:
            return classify_unsent(error)
        return Cause.BROKEN
