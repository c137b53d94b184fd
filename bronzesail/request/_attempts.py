"""Route, journal and dispatch a request with reserved tokens, retrying on failure."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from returns.result import Failure

from ..errors import Refusal, ResultCode
from ..routing import RouteRequest
from ._dispatch import AttemptError, Cause, ModelDispatcher, PlainDispatcher
from ._orders import estimate_tokens
from ._progress import ProgressReporter

if TYPE_CHECKING:
    from ..budget import Reservation
    from ..routing import Route
    from ._admission import Admission
    from ._context import RequestContext
    from ._life import WholeAnswer
    from ._orders import CallerOrder
    from ._quarantine import Quarantine
    from ._records import RequestRecord

__all__ = ["AttemptLoop", "RefusedError"]

# Delay before a retry that a refusal suggests to the caller, in seconds.
RETRY_AFTER_S = 1.0
# Interval between attempts to start a trial of a suspect request, in seconds.
TRIAL_RETRY_S = 0.2


class RefusedError(Exception):
    """Raised to end a request with a refusal.

    Parameters
    ----------
    refusal : Refusal
        Refusal that is sent to the caller.
    """

    def __init__(self, refusal: Refusal) -> None:
        super().__init__(refusal.label)
        self.refusal = refusal


class AttemptLoop:
    """Dispatches a request until it has a complete answer or must be refused.

    Parameters
    ----------
    context : RequestContext
        Services shared by the request path.
    quarantine : Quarantine
        Registry of request bodies suspected of crashing backend servers.
    order : CallerOrder
        The request.
    record : RequestRecord
        Record that collects the answer.
    started_at : float
        Monotonic time of the request's arrival, in seconds.
    """

    def __init__(
        self,
        context: RequestContext,
        quarantine: Quarantine,
        order: CallerOrder,
        record: RequestRecord,
        started_at: float,
    ) -> None:
        self._context = context
        self._quarantine = quarantine
        self._order = order
        self._record = record
        self._life = record.life
        self._started_at = started_at
        self._admission: Admission | None = None
        self._address = ""
        self._n_attempts = 0
        self._dispatched_at = 0.0
        silence_s = order.service.silence_limit_ms / 1000
        kind = ModelDispatcher if order.is_model else PlainDispatcher
        self._dispatcher = kind(context, record, silence_s)

    async def run(
        self, reservation: Reservation, admission: Admission | None = None
    ) -> WholeAnswer:
        """Dispatch the request, retry failed attempts and return the answer.

        Parameters
        ----------
        reservation : Reservation
            Tokens reserved for the request.
        admission : Admission or None
            Pending decision on which router runs the request; awaited before each
            dispatch. None if the decision was already made.

        Returns
        -------
        WholeAnswer
            The complete answer.

        Raises
        ------
        RefusedError
            If the request must be refused: quarantined body, no backend server,
            journal failure, or no retry allowed.
        RunsElsewhereError
            If another router runs the request.
        """
        self._admission = admission
        excluded: set[str] = set()
        n_failures = 0
        while True:
            self._reject_quarantined()
            is_suspect = self._quarantine.is_suspect(self._order.fingerprint)
            route = await self._acquire_route(frozenset(excluded), is_suspect)
            host = route.backend.host
            if is_suspect and not await self._begin_trial(route):
                await asyncio.sleep(TRIAL_RETRY_S)
                continue
            try:
                return await self._attempt(reservation, route, is_suspect)
            except AttemptError as error:
                self._context.explain(self._record, f"attempt failed: {error}")
                n_failures += 1
                self._note_failure(error.cause, host)
                await self._prepare_retry(error.cause, host, n_failures)
            excluded.add(host)

    async def cancel(self) -> int:
        """Cancel the dispatch in progress.

        Returns
        -------
        int
            Tokens used so far; 0 if the backend server did not report its usage.
        """
        if self._address:
            await self._dispatcher.cancel(self._address)
        return self._dispatcher.used_tokens

    def _reject_quarantined(self) -> None:
        if self._quarantine.is_quarantined(self._order.fingerprint):
            raise RefusedError(Refusal(ResultCode.QUARANTINED, is_not_run=True))

    async def _begin_trial(self, route: Route) -> bool:
        fingerprint = self._order.fingerprint
        host = route.backend.host
        if await self._quarantine.begin_trial(fingerprint, host):
            self._context.explain(self._record, f"running as a trial on {host}")
            return True
        self._context.selector.release(route, 0, False)
        self._context.explain(self._record, "waiting for a trial slot")
        return False

    async def _acquire_route(self, excluded: frozenset[str], is_suspect: bool) -> Route:
        order = self._order
        priority_class = order.priority_class
        route_order = RouteRequest(
            service=order.service.name,
            request_key=self._record.key,
            prompt=order.body if order.is_model else b"",
            prompt_tokens=estimate_tokens(order.body, 1.0) if order.is_model else 0,
            output_tokens=order.max_tokens,
            class_name=priority_class.name,
            priority=priority_class.priority,
            ageing_ms=priority_class.ageing_ms,
            deadline=order.deadline,
            excluded=excluded,
            is_suspect=is_suspect,
            account=self._record.account,
        )
        result = await self._context.selector.acquire(route_order)
        if isinstance(result, Failure):
            raise RefusedError(result.failure())
        return result.unwrap()

    async def _attempt(
        self, reservation: Reservation, route: Route, is_suspect: bool
    ) -> WholeAnswer:
        host = route.backend.host
        fingerprint = self._order.fingerprint
        is_failed = False
        progress = ProgressReporter(
            self._context, self._order, self._record, route, self._started_at
        )
        try:
            await self._open_journal_record(reservation, host)
            if self._admission is not None:
                await self._admission.require_local()
            answer = await self._dispatch(route)
            if is_suspect:
                self._quarantine.clear(fingerprint)
            return answer
        except AttemptError as error:
            is_failed = error.cause is not Cause.REPLAY_LOST
            raise
        finally:
            progress.stop()
            self._context.selector.release(route, progress.n_tokens, is_failed)
            if is_suspect:
                self._quarantine.end_trial(fingerprint, host)

    async def _open_journal_record(self, reservation: Reservation, host: str) -> None:
        result = await self._context.budgets.open(reservation, host)
        if isinstance(result, Failure):
            raise RefusedError(result.failure())
        self._life.note_journaled()

    async def _dispatch(self, route: Route) -> WholeAnswer:
        host = route.backend.host
        self._n_attempts += 1
        self._dispatched_at = self._context.clock.monotonic()
        if self._n_attempts == 1:
            self._context.retries.note_first_attempt(self._order.account, host)
        self._record.backend_server = host
        self._address = route.backend.address
        self._context.explain(self._record, f"dispatching to {host}")
        return await self._dispatcher.dispatch(self._order, self._address)

    def _note_failure(self, cause: Cause, host: str) -> None:
        if cause is Cause.CRASHED:
            self._quarantine.note_crash(
                self._order.fingerprint, host, self._dispatched_at
            )

    async def _prepare_retry(self, cause: Cause, host: str, n_failures: int) -> None:
        context = self._context
        order = self._order
        if not self._life.is_dispatch_allowed:
            detail = "the backend server did not report whether the request ran"
            raise RefusedError(Refusal(ResultCode.OUTCOME_UNKNOWN, False, detail))
        if cause is Cause.REPLAY_LOST:
            raise RefusedError(Refusal(ResultCode.ANSWER_LOST, is_not_run=False))
        self._reject_quarantined()
        if not context.retries.allow_retry(order.account, host):
            raise RefusedError(_make_retryable_refusal(ResultCode.RETRY_BUDGET_SPENT))
        delay_s = context.retries.draw_delay_s(n_failures, context.random)
        if context.clock.monotonic() + delay_s >= order.deadline:
            raise RefusedError(_make_retryable_refusal(ResultCode.BACKEND_FAILED))
        context.observer.note_retry(order.account, order.service.name, cause.value)
        await asyncio.sleep(delay_s)
        await self._quarantine.wait_until_broadcast(order.fingerprint)


def _make_retryable_refusal(code: ResultCode) -> Refusal:
    return Refusal(code, is_not_run=True, retry_after_s=RETRY_AFTER_S)
