"""Run one request: admit, reserve tokens, dispatch and settle."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from returns.result import Failure

from ..budget import ReserveOrder
from ..errors import Refusal, ResultCode
from ..util.invariants import check_invariant
from ._admission import Admission, RunsElsewhereError
from ._attempts import RETRY_AFTER_S, AttemptLoop, RefusedError
from ._ids import ISSUED_PREFIX
from ._interfaces import RequestOutcome
from ._life import WholeAnswer
from ._mirror import Mirror, MirrorLostError

if TYPE_CHECKING:
    from ..budget import Reservation
    from ._context import RequestContext
    from ._gate import Gate, GateDecision
    from ._orders import CallerOrder
    from ._peers import PeerLookup
    from ._quarantine import Quarantine
    from ._records import RequestRecord

__all__ = ["RequestRun"]

# Event loop iterations that let admission start before the tokens are reserved.
N_ADMISSION_TURNS = 4


class RequestRun:
    """Runs one request until it is answered or refused.

    Parameters
    ----------
    context : RequestContext
        Services shared by the request path.
    gate : Gate
        Decides which router runs the request.
    lookup : PeerLookup
        Looks up requests at other routers.
    quarantine : Quarantine
        Registry of request bodies suspected of crashing backend servers.
    order : CallerOrder
        Parsed request.
    record : RequestRecord
        Record that collects the answer.
    """

    def __init__(
        self,
        context: RequestContext,
        gate: Gate,
        lookup: PeerLookup,
        quarantine: Quarantine,
        order: CallerOrder,
        record: RequestRecord,
    ) -> None:
        self._context = context
        self._gate = gate
        self._lookup = lookup
        self._order = order
        self._record = record
        self._life = record.life
        self._started_at = context.clock.monotonic()
        self._reservation: Reservation | None = None
        self._attempts = AttemptLoop(
            context, quarantine, order, record, self._started_at
        )

    async def run(self) -> None:
        """Run the request until its record has ended.

        Refusal, timeout and cancellation end the record. Any other exception is a
        programming error: the request is refused as internal and the exception is
        raised again.
        """
        remaining_s = self._order.deadline - self._context.clock.monotonic()
        try:
            async with asyncio.timeout(max(0.0, remaining_s)):
                self._complete(await self._serve())
        except RefusedError as error:
            await self._check_other_regions(error.refusal)
            self._refuse(error.refusal)
        except TimeoutError:
            await self._stop(ResultCode.DEADLINE_PASSED)
        except asyncio.CancelledError:
            await self._stop(self._record.stop_code)
        except Exception as error:
            self._context.log.write("request failed", error=repr(error))
            self._refuse(Refusal(ResultCode.INTERNAL, is_not_run=True))
            raise
        finally:
            self._record.announce()

    async def _serve(self) -> WholeAnswer:
        version = self._context.configuration.current.version
        class_name = self._order.priority_class.name
        text = f"accepted in class {class_name} under configuration version {version}"
        self._context.explain(self._record, text)
        admission = Admission(self._gate, self._order, self._life)
        # Admission must search for an earlier journal record before this run creates
        # one, and its query to the first tracker must leave before the work below.
        for _ in range(N_ADMISSION_TURNS):
            await asyncio.sleep(0)
        try:
            return await self._run_locally(admission)
        except RunsElsewhereError as error:
            self._release_reservation()
            answer = await self._follow(error.admitted)
        finally:
            admission.cancel()
        if answer is not None:
            return answer
        self._reservation = await self._reserve()
        return await self._attempts.run(self._reservation)

    async def _run_locally(self, admission: Admission) -> WholeAnswer:
        if not self._gate.is_advisory(self._order):
            await admission.require_local()
        try:
            self._reservation = await self._reserve()
            return await self._attempts.run(self._reservation, admission)
        except RefusedError:
            # Only the result of admission shows whether the refusal is "not run".
            await admission.require_local()
            raise

    def _release_reservation(self) -> None:
        if self._reservation is None:
            return
        self._life.drop_reservation()
        self._context.budgets.close(self._reservation, 0)
        self._reservation = None

    async def _follow(self, admitted: GateDecision) -> WholeAnswer | None:
        mirror = Mirror(self._context, self._lookup, self._record)
        try:
            ending = await mirror.follow(admitted.holder, admitted.dispatch)
        except MirrorLostError as error:
            self._leave_mirror(error.is_not_run)
            await self._lookup.track(self._record.account, self._record.key, True)
            return None
        if isinstance(ending, Refusal):
            self._life.adopt(ending)
            raise RefusedError(ending)
        return ending

    def _leave_mirror(self, is_not_run: bool) -> None:
        if not self._life.is_repeatable:
            detail = "the router that may have run the request has failed"
            raise RefusedError(Refusal(ResultCode.OUTCOME_UNKNOWN, False, detail))
        if self._life.n_delivered:
            raise RefusedError(Refusal(ResultCode.ANSWER_LOST, is_not_run=False))
        self._context.explain(
            self._record, "no router has the answer: running the request here"
        )
        self._life.leave_mirror(is_not_run)
        self._record.is_mirror = False

    async def _reserve(self) -> Reservation:
        order = self._order
        reserve_order = ReserveOrder(
            account=order.account,
            budget=order.budget,
            request_key=self._record.key,
            service=order.service.name,
            amount_tokens=order.amount_tokens,
            deadline=order.deadline,
        )
        result = await self._context.budgets.reserve(reserve_order)
        if isinstance(result, Failure):
            raise RefusedError(result.failure())
        self._life.note_reserved(order.amount_tokens)
        return result.unwrap()

    def _complete(self, answer: WholeAnswer) -> None:
        self._life.complete(answer, len(self._life.chunks))
        if self._reservation is not None:
            self._context.budgets.close(self._reservation, answer.charged_tokens)
        self._context.explain(self._record, f"charged {answer.charged_tokens} tokens")
        self._note_ended("whole", False, answer.charged_tokens)

    def _refuse(self, refusal: Refusal, used_tokens: int = 0) -> None:
        ending = self._life.ending
        if isinstance(ending, WholeAnswer):
            return
        if ending is None:
            ending = self._life.refuse(refusal)
        charged_tokens = min(used_tokens, max(0, self._life.reserved_tokens))
        self._settle(ending, charged_tokens)
        self._context.explain(self._record, f"refused with {ending.label}")
        self._note_ended(ending.label, ending.is_not_run, charged_tokens)

    def _settle(self, ending: Refusal, charged_tokens: int) -> None:
        if self._reservation is None:
            return
        is_known = self._life.is_repeatable or self._life.n_dispatches == 0
        check_invariant(is_known or not ending.is_not_run, "I4: false not-run")
        if is_known:
            self._context.budgets.close(self._reservation, charged_tokens)
            return
        reason = "the backend server did not tell whether the request ran"
        self._context.budgets.keep_open(self._reservation, reason)

    async def _stop(self, code: ResultCode) -> None:
        life = self._life
        used_tokens = 0
        if life.n_dispatches and life.is_repeatable and not life.is_mirror:
            used_tokens = await self._attempts.cancel()
        retry_after_s = 0.0 if code is ResultCode.ACCOUNT_CLOSED else RETRY_AFTER_S
        refusal = Refusal(code, is_not_run=True, retry_after_s=retry_after_s)
        await self._check_other_regions(refusal)
        self._refuse(refusal, used_tokens)

    async def _check_other_regions(self, refusal: Refusal) -> None:
        # Only a key that the caller chose can have reached another region before, and
        # it only matters for a refusal; other requests cause no inter-region traffic.
        order = self._order
        is_chosen = order.is_key_chosen and not order.key.startswith(ISSUED_PREFIX)
        if not (refusal.is_not_run and self._life.is_not_run):
            return
        if not (is_chosen and order.is_repeatable):
            return
        if await self._lookup.may_be_known_elsewhere(order.account, order.key):
            self._life.may_have_run_before = True

    def _note_ended(self, outcome: str, is_not_run: bool, charged_tokens: int) -> None:
        now = self._context.clock.monotonic()
        self._context.records.note_ended(self._record, now)
        if self._life.is_mirror:
            return
        self._gate.finish(self._order, self._life.n_dispatches > 0)
        self._context.observer.note_outcome(
            RequestOutcome(
                account=self._order.account,
                class_name=self._order.priority_class.name,
                service=self._order.service.name,
                outcome=outcome,
                is_not_run=is_not_run,
                duration_s=now - self._started_at,
                charged_tokens=charged_tokens,
            )
        )
