"""Interfaces through which the request path reserves and charges tokens."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

import attrs

if TYPE_CHECKING:
    from returns.result import Result

    from ..errors import Refusal

__all__ = [
    "BudgetStatus",
    "Budgets",
    "DispatchRecord",
    "Reservation",
    "ReserveOrder",
    "UsageSource",
]


@attrs.frozen
class ReserveOrder:
    """Parameters of a token reservation for a request.

    Attributes
    ----------
    account : str
        Client account.
    budget : str
        Name of the budget.
    request_key : str
        Key under which the request is charged once.
    service : str
        Name of the service.
    amount_tokens : int
        Maximum number of tokens that the request may use.
    deadline : float
        Monotonic time until which the request may wait for tokens, in seconds.
    """

    account: str
    budget: str
    request_key: str
    service: str
    amount_tokens: int
    deadline: float


@attrs.frozen
class Reservation:
    """Tokens of one grant that are reserved for one request.

    Attributes
    ----------
    order : ReserveOrder
        Parameters of the reservation.
    grant_id : str
        Grant that the tokens belong to.
    epoch : int
        Fencing epoch of the grant.
    sequence : int
        Number of the reservation in the grant, from 1.
    """

    order: ReserveOrder
    grant_id: str
    epoch: int
    sequence: int


@attrs.frozen
class DispatchRecord:
    """Record of a dispatch, from the holder's grant or from a journal copy.

    Attributes
    ----------
    account : str
        Client account.
    request_key : str
        Key of the request.
    service : str
        Name of the service.
    backend_server : str
        Name of the backend server that the request was dispatched to.
    amount_tokens : int
        Tokens reserved.
    used_tokens : int
        Tokens used; -1 while the outcome is not known.
    """

    account: str
    request_key: str
    service: str
    backend_server: str
    amount_tokens: int
    used_tokens: int = -1


class UsageSource(Protocol):
    """Queries backend servers for the tokens that a request used.

    The reclaim of a grant uses it for records that are still open.
    """

    async def find_usage(self, record: DispatchRecord) -> int | None:
        """Return the tokens that a request used, once it has ended.

        Parameters
        ----------
        record : DispatchRecord
            Open record of a router that is no longer a member of the fleet.

        Returns
        -------
        int or None
            Tokens used; 0 if the backend server did not receive the request and
            can't receive it any more; None while the outcome is unknown.
        """


@attrs.frozen
class BudgetStatus:
    """State of a budget as last read by this router.

    Attributes
    ----------
    account : str
        Client account.
    budget : str
        Name of the budget.
    prepaid_tokens, settled_tokens, held_tokens, granted_tokens : int
        Totals of the row that was read last.
    own_grant_tokens : int
        Tokens of this router's grant, including those used but not settled.
    own_reserved_tokens : int
        Tokens of this router's open reservations.
    row_age_s : float
        Time since the row was read, in seconds.
    """

    account: str
    budget: str
    prepaid_tokens: int
    settled_tokens: int
    held_tokens: int
    granted_tokens: int
    own_grant_tokens: int
    own_reserved_tokens: int
    row_age_s: float


class Budgets(Protocol):
    """Reserves tokens for requests and charges the tokens used."""

    async def reserve(self, order: ReserveOrder) -> Result[Reservation, Refusal]:
        """Reserve tokens, waiting for a refill until the deadline.

        Parameters
        ----------
        order : ReserveOrder
            Request and number of tokens.

        Returns
        -------
        Result of Reservation or Refusal
            The reservation, or a refusal of a request that certainly did not run.
        """

    async def open(
        self, reservation: Reservation, backend_server: str
    ) -> Result[None, Refusal]:
        """Record the dispatch at a journal peer before any byte is sent.

        Parameters
        ----------
        reservation : Reservation
            Reservation of the request to dispatch.
        backend_server : str
            Name of the backend server that will run the request.

        Returns
        -------
        Result of None or Refusal
            Success once a journal peer named in the budget's row has acknowledged.
        """

    def close(self, reservation: Reservation, used_tokens: int) -> None:
        """Charge the tokens used and release the rest.

        Called once for each reservation.

        Parameters
        ----------
        reservation : Reservation
            Reservation of a request that has ended.
        used_tokens : int
            Tokens used; 0 if nothing ran.
        """

    def keep_open(self, reservation: Reservation, reason: str) -> None:
        """Hold the tokens of a request whose outcome is unknown until it is known.

        Parameters
        ----------
        reservation : Reservation
            Reservation of the request.
        reason : str
            Cause, one sentence for the operator.
        """

    def find_dispatch(self, account: str, request_key: str) -> DispatchRecord | None:
        """Return the record of a request from this router's grants and journal copies.

        Parameters
        ----------
        account : str
            Client account.
        request_key : str
            Key of the request.

        Returns
        -------
        DispatchRecord or None
            The record; None if this router has none.
        """

    def list_status(self) -> tuple[BudgetStatus, ...]:
        """Return the state of each budget that this router has a grant of."""

    async def drain(self) -> None:
        """Settle every record and return every grant to its budget."""
