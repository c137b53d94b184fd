"""Transfers tokens between the grants of routers, without the table service."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..fleet import PeerRefusedError, PeerUnreachableError
from ..schema import GrantEntry, TransferAsk, TransferId, TransferOffer
from ._grant import RecordState
from ._topology import is_preferred, list_region

if TYPE_CHECKING:
    from ..fleet import Membership, PeerNetwork
    from ..schema import RouterId
    from ..util.clock import Clock
    from ._history import BudgetHistory
    from ._journal import JournalSender
    from ._settings import BudgetSettings
    from ._state import BudgetState

__all__ = ["Rebalancer", "accept_journaled"]

# Period whose demand a request for tokens covers besides the waiting requests.
ASK_HORIZON_S = 30.0

EMPTY_OFFER = TransferOffer("")


class Rebalancer:
    """Requests tokens from other holders of a budget and answers such requests.

    Parameters
    ----------
    network : PeerNetwork
        Messages between routers.
    membership : Membership
        Members of the fleet.
    journal : JournalSender
        Journals each transfer before its tokens can be spent.
    clock : Clock
        Source of the time.
    settings : BudgetSettings
        Settings of every budget.
    history : BudgetHistory
        Records the transfers.
    """

    def __init__(
        self,
        network: PeerNetwork,
        membership: Membership,
        journal: JournalSender,
        clock: Clock,
        settings: BudgetSettings,
        history: BudgetHistory,
    ) -> None:
        self._history = history
        self._network = network
        self._membership = membership
        self._journal = journal
        self._clock = clock
        self._settings = settings

    async def gather(self, state: BudgetState) -> None:
        """Request tokens from the other holders until the waiting requests are served.

        The holders are asked one after another. If each of them answers that it has
        no tokens and expects none, the time of the round is stored in the state, which
        then refuses requests that have waited since before it.

        Parameters
        ----------
        state : BudgetState
            State of the budget; updated.
        """
        started_at = self._clock.monotonic()
        is_certain = True
        for entry in self._list_sources(state):
            if state.count_missing_tokens() <= 0:
                return
            offer = await self._request_offer(state, entry.holder)
            if offer is None or offer.is_more_expected:
                is_certain = False
            if offer is not None and offer.giver_grant_id:
                is_certain = False
                await self._receive_offer(state, offer)
            state.serve(self._clock.monotonic())
        if is_certain:
            state.peers_exhausted_at = started_at
        state.serve(self._clock.monotonic())

    async def answer(
        self, state: BudgetState, requester: RouterId, ask: TransferAsk
    ) -> TransferOffer:
        """Transfer tokens that this router does not need to another router.

        Parameters
        ----------
        state : BudgetState
            State of the budget.
        requester : RouterId
            Router that requests tokens.
        ask : TransferAsk
            Grant and number of tokens.

        Returns
        -------
        TransferOffer
            Tokens that were taken out of the grant and journaled; an empty offer if
            there are none. The tokens of a transfer that no journal peer acknowledged
            are not offered.
        """
        grant = state.holder.grant
        if grant is None or grant.entry.grant_id == ask.grant_id:
            return EMPTY_OFFER
        amount = self._choose_amount(state, requester, ask)
        if amount <= 0:
            return TransferOffer("", is_more_expected=state.has_open())
        row_version = state.holder.row_version
        record = grant.transfer_out(amount, ask.grant_id, self._clock.monotonic())
        is_acked = await self._journal.write(state.holder, grant, record)
        if not is_acked:
            return EMPTY_OFFER
        self._history.note(
            ask.account,
            ask.budget,
            "tokens transferred to another router",
            to=requester.host,
            amount_tokens=amount,
        )
        return TransferOffer(
            grant.entry.grant_id, record.sequence, amount, row_version=row_version
        )

    def _choose_amount(
        self, state: BudgetState, requester: RouterId, ask: TransferAsk
    ) -> int:
        """Return the number of tokens to transfer; 0 for none.

        While requests wait here, only routers that rank before this one for the budget
        get tokens, so that two routers with waiting requests don't exchange tokens
        in a cycle. Beyond what the other router's waiting requests need, at most half
        of the transferable tokens are offered.
        """
        grant = state.holder.grant
        if grant is None:
            return 0
        name = f"budget/{ask.account}/{ask.budget}"
        if state.waiters and not is_preferred(self._membership, name, requester):
            return 0
        available = grant.transferable_tokens
        extra = min(ask.amount_tokens + ask.wish_tokens, available // 2)
        return min(available, max(ask.amount_tokens, extra))

    def _list_sources(self, state: BudgetState) -> list[GrantEntry]:
        """Return the grants of other routers in the order in which to ask them.

        Grants of this region come first, then those with more tokens.
        """
        row = state.holder.row
        grant = state.holder.grant
        if row is None or grant is None:
            return []
        region_ids = {router.router_id for router in list_region(self._membership)}
        sources = [
            entry
            for entry in row.grants
            if entry.grant_id != grant.entry.grant_id
            and not entry.is_reclaimed
            and self._membership.is_listed(entry.holder)
        ]
        return sorted(
            sources,
            key=lambda entry: (entry.holder not in region_ids, -entry.amount_tokens),
        )

    async def _request_offer(
        self, state: BudgetState, holder: RouterId
    ) -> TransferOffer | None:
        """Request tokens from one router; None if it can't be reached or refuses."""
        own = state.holder
        grant = own.grant
        if grant is None:
            return None
        rate = own.demand.read_rate(self._clock.monotonic())
        message = TransferAsk(
            own.account,
            own.budget,
            grant.entry.grant_id,
            state.count_missing_tokens(),
            int(rate * ASK_HORIZON_S),
        )
        try:
            reply = await self._network.request(
                holder, message, self._settings.transfer_timeout_s
            )
        except (PeerUnreachableError, PeerRefusedError):
            return None
        if grant is not own.grant or not isinstance(reply, TransferOffer):
            return None
        return reply

    async def _receive_offer(self, state: BudgetState, offer: TransferOffer) -> None:
        """Journal a received transfer, then make its tokens available."""
        grant = state.holder.grant
        if grant is None:
            return
        now = self._clock.monotonic()
        transfer = TransferId(offer.giver_grant_id, offer.giver_sequence)
        record = grant.receive(transfer, offer.amount_tokens, offer.row_version, now)
        if record is None:
            return
        is_acked = await self._journal.write(state.holder, grant, record)
        if is_acked and grant is state.holder.grant:
            grant.accept(record.sequence)


def accept_journaled(state: BudgetState) -> None:
    """Accept received transfers that a journal peer acknowledged after a timeout.

    `Rebalancer` accepts a transfer itself if the acknowledgement arrives in time.
    """
    grant = state.holder.grant
    if grant is None:
        return
    for record in grant.records.values():
        if record.state is RecordState.RECEIVED and record.acked_by:
            grant.accept(record.sequence)
