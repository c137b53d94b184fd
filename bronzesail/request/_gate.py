"""Decides which router runs a request before it is dispatched."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import attrs

from ..budget import DispatchRecord
from ..errors import Refusal, ResultCode
from ..fleet import PeerRefusedError, PeerUnreachableError
from ..schema import ForwardReply, ForwardRequest, RouterId
from ._claims import Claim, ClaimOutcome, ClaimStore
from ._ids import ISSUED_PREFIX, IssuedKey, KeyIssuer, parse_key

if TYPE_CHECKING:
    from ._context import RequestContext
    from ._life import RequestLife
    from ._orders import CallerOrder
    from ._peers import PeerLookup

__all__ = ["Gate", "GateDecision"]

# Delay before a request is forwarded again to an issuer that was unreachable, in
# seconds.
FORWARD_RETRY_S = 0.2
# Value of Retry-After when the claim table is unavailable, in seconds.
RETRY_AFTER_S = 1.0


@attrs.frozen
class GateDecision:
    """Decision on where a request runs.

    Attributes
    ----------
    holder : RouterId or None
        Another router that runs it; None otherwise.
    dispatch : DispatchRecord or None
        Journal record of a dispatch by a router that has left the fleet.
    """

    holder: RouterId | None = None
    dispatch: DispatchRecord | None = None

    @property
    def is_own(self) -> bool:
        """Whether this router runs the request."""
        return self.holder is None and self.dispatch is None


RUN_HERE = GateDecision()


class Gate:
    """Admits a request key on one router.

    A key of non-repeatable work gets at most one dispatch. For repeatable work the gate
    only avoids a second run on another router.

    Parameters
    ----------
    context : RequestContext
        Shared services and state of the request path.
    issuer : KeyIssuer
        Keys that this router issued.
    claims : ClaimStore
        Claim rows of the keys that callers chose for non-repeatable work.
    lookup : PeerLookup
        Queries to other routers.
    """

    def __init__(
        self,
        context: RequestContext,
        issuer: KeyIssuer,
        claims: ClaimStore,
        lookup: PeerLookup,
    ) -> None:
        self._context = context
        self._issuer = issuer
        self._claims = claims
        self._lookup = lookup
        self._own = context.membership.own.router_id

    async def admit(
        self, order: CallerOrder, life: RequestLife
    ) -> GateDecision | Refusal:
        """Return where a request runs, or why it is refused.

        Parameters
        ----------
        order : CallerOrder
            The request.
        life : RequestLife
            State of the request; `may_have_run_before` is set on it.

        Returns
        -------
        GateDecision or Refusal
            The decision.
        """
        life.may_have_run_before = True
        if order.key.startswith(ISSUED_PREFIX):
            return await self._admit_issued(order, life)
        if not order.is_repeatable:
            return await self._admit_claim(order, life)
        return await self._admit_tracked(order, life)

    def is_advisory(self, order: CallerOrder) -> bool:
        """Return whether admission is advisory: it avoids a second run if it can.

        Parameters
        ----------
        order : CallerOrder
            The request.

        Returns
        -------
        bool
            Whether tokens may be reserved and journaled before the decision.
        """
        return order.is_repeatable and not order.key.startswith(ISSUED_PREFIX)

    def finish(self, order: CallerOrder, is_dispatched: bool) -> None:
        """Release the claim or issued key of an ended request that was not dispatched.

        Parameters
        ----------
        order : CallerOrder
            The request.
        is_dispatched : bool
            Whether a byte of it may have reached a backend server.
        """
        self._claims.finish(order, is_dispatched)
        if is_dispatched or not order.key.startswith(ISSUED_PREFIX):
            return
        issued = self._parse(order)
        if issued is not None and issued.issuer == self._own:
            self._issuer.release(order.account, issued)

    def _parse(self, order: CallerOrder) -> IssuedKey | None:
        return parse_key(self._context.settings.fleet_secret, order.account, order.key)

    async def _admit_issued(
        self, order: CallerOrder, life: RequestLife
    ) -> GateDecision | Refusal:
        issued = self._parse(order)
        if issued is None:
            life.may_have_run_before = False
            detail = "the request key was not issued to this client account"
            return Refusal(ResultCode.BAD_REQUEST_KEY, is_not_run=True, detail=detail)
        if issued.issuer != self._own:
            return await self._forward(order, issued.issuer)
        if self._issuer.claim(order.account, issued, self._context.clock.monotonic()):
            life.may_have_run_before = False
            return RUN_HERE
        if order.is_repeatable:
            return RUN_HERE
        detail = "the request key was already used or has expired"
        return _refuse_unknown(detail)

    async def _forward(
        self, order: CallerOrder, issuer: RouterId
    ) -> GateDecision | Refusal:
        reply: ForwardReply | None = None
        is_answered = False
        while not is_answered and self._context.membership.is_listed(issuer):
            try:
                reply = await self._send_forward(order, issuer)
                is_answered = True
            except PeerUnreachableError:
                # Safe to repeat: the issuer runs a key once, however often it arrives.
                await asyncio.sleep(FORWARD_RETRY_S)
        if is_answered:
            return _read_forward_reply(reply, issuer)
        if not order.is_repeatable:
            detail = "the router that issued the request key has left the fleet"
            return _refuse_unknown(detail)
        found = await self._lookup.find_request(order.account, order.key)
        return GateDecision(found.holder, found.dispatch)

    async def _send_forward(
        self, order: CallerOrder, issuer: RouterId
    ) -> ForwardReply | None:
        context = self._context
        remaining_s = order.deadline - context.clock.monotonic()
        message = ForwardRequest(
            account=order.account,
            key=order.key,
            service=order.service.name,
            class_name=order.priority_class.name,
            budget=order.budget,
            method=order.method,
            target=order.target,
            content_type=dict(order.headers).get("content-type", ""),
            body=order.body,
            digest=order.digest,
            fingerprint=order.fingerprint,
            max_tokens=order.max_tokens,
            amount_tokens=order.amount_tokens,
            remaining_ms=max(1, int(remaining_s * 1000)),
        )
        timeout_s = context.settings.peer_timeout_s
        try:
            reply = await context.network.request(issuer, message, timeout_s)
        except PeerRefusedError:
            return None
        return reply if isinstance(reply, ForwardReply) else None

    async def _admit_claim(
        self, order: CallerOrder, life: RequestLife
    ) -> GateDecision | Refusal:
        claim = await self._claims.claim(order)
        if claim.outcome is ClaimOutcome.OTHER:
            claim = await self._take_over(order, claim)
        if claim.outcome is ClaimOutcome.OWN:
            life.may_have_run_before = False
            return RUN_HERE
        if claim.outcome is ClaimOutcome.OTHER_BODY:
            return Refusal(ResultCode.KEY_REUSED_WITH_OTHER_BODY, is_not_run=False)
        if claim.outcome is ClaimOutcome.UNAVAILABLE:
            detail = "this attempt was not dispatched; retry with the same request key"
            return Refusal(ResultCode.CLAIM_UNAVAILABLE, False, detail, RETRY_AFTER_S)
        if claim.holder is None or claim.holder == self._own:
            return _refuse_unknown("the request key was already used")
        return GateDecision(holder=claim.holder)

    async def _take_over(self, order: CallerOrder, claim: Claim) -> Claim:
        if claim.holder is None or claim.holder == self._own:
            return claim
        is_released = await self._lookup.release_claim(
            claim.holder, order.account, order.key, claim.nonce
        )
        if not is_released:
            return claim
        return await self._claims.take_over(order, claim.version)

    async def _admit_tracked(
        self, order: CallerOrder, life: RequestLife
    ) -> GateDecision | Refusal:
        # Looked up before the first await: this request's own reservation, which is
        # journaled concurrently, soon adds a record under the same key.
        dispatch = self._context.budgets.find_dispatch(order.account, order.key)
        tracked = await self._lookup.track(order.account, order.key)
        if tracked.holder is not None:
            return GateDecision(holder=tracked.holder)
        if dispatch is not None and dispatch.used_tokens < 0:
            return GateDecision(dispatch=dispatch)
        previous_refusal = life.previous_refusal
        is_excused = previous_refusal is not None and previous_refusal.is_not_run
        is_excluded = is_excused or (
            previous_refusal is None and not tracked.is_repeated
        )
        is_excluded = is_excluded and dispatch is None and tracked.has_enough_replies
        life.may_have_run_before = not is_excluded
        return RUN_HERE


def _read_forward_reply(
    reply: ForwardReply | None, issuer: RouterId
) -> GateDecision | Refusal:
    if reply is None:
        return _refuse_unknown("the router that issued the request key refused it")
    if reply.is_accepted:
        return GateDecision(holder=issuer)
    return Refusal(ResultCode(reply.code), is_not_run=reply.is_not_run)


def _refuse_unknown(detail: str) -> Refusal:
    return Refusal(ResultCode.OUTCOME_UNKNOWN, is_not_run=False, detail=detail)
