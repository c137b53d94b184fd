"""Send one attempt to a backend server and follow it to its end."""

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

UNAVAILABLE_STATUSES = (502, 503, 504)
END_TIMEOUT_S = 0.05


class Cause(enum.Enum):
    """Why an attempt gave no whole answer."""

    UNSENT = "unsent"
    CRASHED = "crashed"
    SILENT = "silent"
    BROKEN = "broken"
    REFUSED = "refused"
    REPLAY_LOST = "replay-lost"


class AttemptError(Exception):
    """Raised when an attempt ended without a whole answer.

    Parameters
    ----------
    cause : Cause
        Why it ended.
    detail : str
        One sentence for the decision record.
    """

    def __init__(self, cause: Cause, detail: str = "") -> None:
        super().__init__(f"{cause.value}: {detail}")
        self.cause = cause


def judge_unsent(error: NotSentError) -> Cause:
    """Return why a backend server that ran a request takes no new connection.

    Parameters
    ----------
    error : NotSentError
        Failure of the new connection.

    Returns
    -------
    Cause
        A crash only if its host refused the connection; a host or link that is
        silent says nothing about the request.
    """
    is_refused = isinstance(error.__cause__, ConnectionRefusedError)
    return Cause.CRASHED if is_refused else Cause.SILENT


class ModelDispatcher:
    """Runs a completion at one engine, resuming it over new connections.

    Parameters
    ----------
    context : RequestContext
        Collaborators.
    record : RequestRecord
        Record that gets the parts.
    silence_s : float
        Time without a byte after which the engine is probed, in seconds.
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
        """Start a completion and follow it to its end.

        Parameters
        ----------
        order : CallerOrder
            What to run.
        address : str
            IP address and port of the engine.

        Returns
        -------
        WholeAnswer
            The answer, whose parts are in the record.

        Raises
        ------
        AttemptError
            If there is no whole answer.
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
        """Read a completion to its end, resuming it as often as needed.

        Parameters
        ----------
        exchange : HttpExchange or None
            Response in progress; None to resume at once.
        address : str
            IP address and port of the engine.

        Returns
        -------
        WholeAnswer
            The answer.

        Raises
        ------
        AttemptError
            If the engine failed.
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
        """Cancel the completion and learn what it used.

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
            raise AttemptError(Cause.BROKEN, "engine does not know the request")
        if exchange.status >= 300:
            exchange.close()
            raise AttemptError(Cause.REFUSED, f"engine answered {exchange.status}")
        try:
            engine = self._context.engine
            async for event in engine.iterate_events(exchange, self._silence_s):
                if isinstance(event, EngineUsage):
                    _require_whole(event)
                    await _read_end(exchange)
                    return event
                if not self._keep(event):
                    self._context.explain(self._record, "gap in the stream")
                    return None
        except TimeoutError:
            self._context.explain(self._record, "stream silent: probing")
        except ExchangeBrokenError as error:
            self._context.explain(self._record, f"stream lost: {error}")
        finally:
            exchange.close()
        return None

    def _keep(self, chunk: Chunk) -> bool:
        try:
            is_next = self._record.life.add_chunk(chunk)
        except ReplayMismatchError as error:
            raise AttemptError(Cause.REPLAY_LOST, "second run differs") from error
        if is_next:
            self._record.announce()
        return is_next

    async def _resume(self, address: str) -> HttpExchange | None:
        state = await self._probe(address)
        if state.state in ("unknown", "cancelled"):
            raise AttemptError(Cause.BROKEN, f"engine says {state.state}")
        after = self._record.life.last_number
        self._context.explain(self._record, f"resuming after part {after}")
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
                raise AttemptError(judge_unsent(error), str(error)) from error
            except HttpError:
                continue
            if state is not None:
                return state
        raise AttemptError(Cause.SILENT, "no answer to a probe")


async def _read_end(exchange: HttpExchange) -> None:
    # The connection goes back to the pool only behind the end of the body.
    try:
        async for _ in exchange.iterate_body(END_TIMEOUT_S):
            continue
    except (TimeoutError, ExchangeBrokenError):
        return


def _require_whole(usage: EngineUsage) -> None:
    if usage.is_cancelled:
        raise AttemptError(Cause.BROKEN, "cancelled at the engine")


class PlainDispatcher:
    """Makes one call of a plain service.

    Parameters
    ----------
    context : RequestContext
        Collaborators.
    record : RequestRecord
        Record of the request.
    silence_s : float
        Time the service has until its response's headers, in seconds.
    """

    def __init__(
        self, context: RequestContext, record: RequestRecord, silence_s: float
    ) -> None:
        self._context = context
        self._record = record
        self._silence_s = silence_s
        self.used_tokens = 0

    async def dispatch(self, order: CallerOrder, address: str) -> WholeAnswer:
        """Send the call and return the service's whole answer.

        Parameters
        ----------
        order : CallerOrder
            What to call.
        address : str
            IP address and port of the service.

        Returns
        -------
        WholeAnswer
            The answer.

        Raises
        ------
        AttemptError
            If there is no whole answer.
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
            timeout_s=self._find_patience_s(order),
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
            raise AttemptError(Cause.REFUSED, f"service answered {exchange.status}")
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
        """Do nothing: a plain service has no cancellation."""

    def _find_patience_s(self, order: CallerOrder) -> float:
        if order.is_repeatable:
            return self._silence_s
        remaining_s = order.deadline - self._context.clock.monotonic()
        return max(0.001, remaining_s)

    async def _find_cause(self, address: str) -> Cause:
        try:
            await self._context.client.probe(address)
        except NotSentError as error:
            return judge_unsent(error)
        return Cause.BROKEN
