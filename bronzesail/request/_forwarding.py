"""Run requests that peers forward because this router issued their keys."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING

from ..errors import Refusal, ResultCode
from ..schema import ForwardReply, ForwardRequest, PriorityClass
from ._orders import CallerOrder

if TYPE_CHECKING:
    from ..schema import RouterId
    from ._context import RequestContext
    from ._records import RequestRecord

__all__ = ["ForwardHandler"]

StartRequest = Callable[[CallerOrder], "RequestRecord | Refusal"]


class ForwardHandler:
    """Handles forwarded requests, starting each of them once.

    Parameters
    ----------
    context : RequestContext
        Services shared by the request path.
    start : callable
        Returns the record of the request, which it starts if there is none, or a
        refusal.
    """

    def __init__(self, context: RequestContext, start: StartRequest) -> None:
        self._context = context
        self._start = start

    def register(self) -> None:
        """Register the handler of forwarded requests with the peer network."""
        self._context.network.register(ForwardRequest, self.forward)

    async def forward(self, sender: RouterId, message: ForwardRequest) -> ForwardReply:
        """Start a request whose key this router issued.

        Parameters
        ----------
        sender : RouterId
            Router that received the request from the caller.
        message : ForwardRequest
            Forwarded request.

        Returns
        -------
        ForwardReply
            Whether the sender can fetch the answer from this router, or why not.
        """
        order = self._read_order(message)
        if order is None:
            return ForwardReply(False, int(ResultCode.UNKNOWN_SERVICE), False)
        result = self._start(order)
        if isinstance(result, Refusal):
            return ForwardReply(False, int(result.code), result.is_not_run)
        return ForwardReply(is_accepted=True)

    def _read_order(self, message: ForwardRequest) -> CallerOrder | None:
        configuration = self._context.configuration.current
        service = configuration.services.get(message.service)
        if service is None:
            return None
        fallback = PriorityClass(name=message.class_name, priority=5)
        headers = (("content-type", message.content_type),)
        now = self._context.clock.monotonic()
        return CallerOrder(
            account=message.account,
            service=service,
            priority_class=configuration.classes.get(message.class_name, fallback),
            budget=message.budget,
            key=message.key,
            is_key_chosen=True,
            method=message.method,
            target=message.target,
            headers=headers if message.content_type else (),
            body=message.body,
            max_tokens=message.max_tokens,
            amount_tokens=message.amount_tokens,
            is_stream=False,
            deadline=now + message.remaining_ms / 1000,
            digest=message.digest,
            fingerprint=message.fingerprint,
        )
