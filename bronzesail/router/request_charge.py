"""Reserves, charges and releases the prepaid tokens of one request."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from ..errors import Refusal
    from ..model import ClientAccount, RequestHead
    from .forwarding import Target
    from .services import Services

__all__ = ["RequestCharge"]


class RequestCharge:
    """Tokens that one request has reserved and used of its account.

    Parameters
    ----------
    services : Services
        Components that all requests of the router share.
    account : ClientAccount
        The account, which may have no prepaid budget.
    head : RequestHead
        What the caller says of the request.

    Attributes
    ----------
    charged_tokens : int
        Tokens that this router has charged.
    forwarded_events : int
        Events relayed from other routers, which charge them.
    wait_s : float
        How long the request waited for tokens.
    """

    def __init__(
        self, services: Services, account: ClientAccount, head: RequestHead
    ) -> None:
        self._services = services
        self._account = account
        self._head = head
        self._reserved_tokens = 0
        self._is_prompt_charged = False  # By the router that has forwarded it.
        self.charged_tokens = 0
        self.forwarded_events = 0
        self.wait_s = 0.0

    async def reserve(self, max_wait_s: float) -> Refusal | None:
        """Reserve the most tokens that the request can cost, if its account prepays.

        Returns why they cannot be had, None if they are reserved.
        """
        if self._account.prepaid_tokens is None:
            return None
        self.claim()
        tokens = self._head.max_tokens - self.charged_tokens
        if tokens <= 0 or self._reserved_tokens:
            return None
        asked_at = self._services.loop.time()
        refusal = await self._services.desk.reserve(
            self._account.name,
            tokens,
            max_wait_s,
            self._head.request_id,
            is_continuation=self._head.last_event_id is not None,
        )
        self.wait_s = self._services.loop.time() - asked_at
        if refusal is None:
            self._reserved_tokens = tokens
        return refusal

    async def transfer(self, target: Target, charge: int) -> None:
        """Charge the tokens used and transfer the rest to the router asked next."""
        if not self._reserved_tokens:
            return
        used = charge - self.charged_tokens
        tokens = self._services.book.transfer_reservation(
            self._account.name, self._reserved_tokens, used
        )
        self._reserved_tokens = 0
        self.charged_tokens += used
        if tokens:
            await self._services.forwarder.transfer_reservation(
                target, self._account.name, tokens, self._head.request_id
            )

    def settle(self, charge: int) -> None:
        """Charge the tokens used and release the rest of the reservation."""
        if not self._reserved_tokens:
            return
        used = charge - self.charged_tokens
        self._services.book.settle(self._account.name, self._reserved_tokens, used)
        self._reserved_tokens = 0
        self.charged_tokens += used
        self._services.desk.serve_waiters()

    def compute(
        self,
        *,
        events: int,
        tokens_per_event: int,
        is_answered: bool,
        was_abandoned: bool,
    ) -> int:
        """Return the tokens that the account is charged.

        The charge covers the prompt and the events relayed to the caller. A request
        without any response is free, unless its caller closed the connection after it
        was sent to a server. What another router has charged is not part of it.

        Parameters
        ----------
        events : int
            Events relayed to the caller.
        tokens_per_event : int
            The most tokens of an event.
        is_answered : bool
            Whether the caller has the whole answer.
        was_abandoned : bool
            Whether the caller has left after the request was sent to a server.
        """
        events -= self.forwarded_events
        if not events and not is_answered and not was_abandoned:
            return 0
        prompt_tokens = 0 if self._is_prompt_charged else self._head.prompt_tokens
        return prompt_tokens + min(
            self._head.max_output_tokens, events * tokens_per_event
        )

    def claim(self) -> None:
        """Take over the tokens that the forwarding router has transferred, if any."""
        if self._head.earlier_sends is None:
            return
        tokens = self._services.book.claim_reservation(
            self._account.name, self._head.request_id
        )
        if tokens:
            # Late ones are settled with those that were reserved here meanwhile.
            self._reserved_tokens += tokens
            self._is_prompt_charged = tokens < self._head.max_tokens
