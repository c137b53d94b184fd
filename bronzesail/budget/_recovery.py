"""Reclaims grants of routers that are gone, and resolves what is held."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from ..fleet import PeerRefusedError, PeerUnreachableError
from ..schema import FenceReply, FenceRequest
from ..storage import PlatformError
from ._escrow import check_row, find_grant, find_hold
from ._grant import make_journal_record
from ._holds import resolve_hold
from ._interfaces import DispatchRecord
from ._ledger import Charge, make_digest
from ._reclaim import JournalUnion, Reclaimer, raise_epoch

if TYPE_CHECKING:
    from ..fleet import PeerNetwork
    from ..schema import BudgetRow, GrantEntry, HoldEntry, JournalRecord, RouterId
    from ._grant import Grant
    from ._history import BudgetHistory
    from ._interfaces import UsageSource
    from ._ledger import Ledger
    from ._peer import JournalPeer
    from ._settings import BudgetSettings
    from ._store import BudgetStore

__all__ = ["Recovery"]

MAX_ATTEMPTS = 20


class Recovery:
    """Settles what routers that are gone have left.

    Every step is conditional on the row's version and can be taken by any router, or
    by several at once.

    Parameters
    ----------
    store : BudgetStore
        Rows of budgets and ledgers.
    network : PeerNetwork
        Messages between routers.
    peer : JournalPeer
        The router's own copies.
    own : RouterId
        The router.
    usage : UsageSource
        Asks backend servers what a request used.
    settings : BudgetSettings
        Settings of every budget.
    history : BudgetHistory
        Takes what happened.
    """

    def __init__(
        self,
        store: BudgetStore,
        network: PeerNetwork,
        peer: JournalPeer,
        own: RouterId,
        usage: UsageSource,
        settings: BudgetSettings,
        history: BudgetHistory,
    ) -> None:
        self._history = history
        self._store = store
        self._network = network
        self._peer = peer
        self._own = own
        self._usage = usage
        self._settings = settings

    async def reclaim(self, row: BudgetRow, grant_id: str) -> bool:
        """Reclaim a grant whose holder is gone.

        Parameters
        ----------
        row : BudgetRow
            The budget's row.
        grant_id : str
            The grant.

        Returns
        -------
        bool
            Whether the grant is settled, with what is unknown held.

        Raises
        ------
        PlatformError
            If the table service did not answer.
        """
        entry = await self._raise_epoch(row, grant_id)
        if entry is None:
            return True
        union = await self._fence(grant_id, entry.epoch, entry.journal_peers)
        is_done = await self._settle_entry(row, grant_id, union)
        self._history.note(
            row.account,
            row.budget,
            "grant of a router that is gone reclaimed",
            grant_id=grant_id,
            is_done=is_done,
            n_missing_peers=len(union.missing_peers),
        )
        return is_done

    async def tell(self, grant: Grant) -> bool:
        """Settle the holder's own lost grant from its complete records.

        Parameters
        ----------
        grant : Grant
            Grant that another router reclaimed.

        Returns
        -------
        bool
            Whether the row has nothing of it but holds of open records.

        Raises
        ------
        PlatformError
            If the table service did not answer.
        """
        records = [
            make_journal_record(record)
            for record in grant.records.values()
            if record.is_journaled
        ]
        union = JournalUnion()
        union.add(records)
        row, _ = await self._store.read_row(grant.account, grant.budget)
        if row is None:
            return True
        grant_id = grant.entry.grant_id
        if find_grant(row, grant_id) is not None:
            if not await self._settle_entry(row, grant_id, union):
                return False
        if not await self._settle_rest(row, grant_id, union):
            return False
        return await self._resolve_all(row, grant_id, records)

    async def resolve(self, row: BudgetRow, hold: HoldEntry) -> bool:
        """Ask whoever may know what became of held tokens.

        Parameters
        ----------
        row : BudgetRow
            The budget's row.
        hold : HoldEntry
            The hold.

        Returns
        -------
        bool
            Whether the hold is settled.

        Raises
        ------
        PlatformError
            If the table service did not answer.
        """
        if hold.sequence == 0:
            union = await self._fence(hold.grant_id, hold.epoch, hold.missing_peers)
            if union.missing_peers == hold.missing_peers:
                return False
            await self._settle_rest(row, hold.grant_id, union)
            records = list(union.records.values())
            return await self._resolve_all(row, hold.grant_id, records)
        if hold.given_to:
            is_open = find_grant(row, hold.given_to) is not None
            if is_open or find_hold(row, hold.given_to, 0) is not None:
                return False
            return await self.resolve_record(
                row.account, row.budget, hold.grant_id, hold.sequence, "", 0
            )
        used = await self._usage.find_usage(
            DispatchRecord(
                account=row.account,
                request_key=hold.request_key,
                service=hold.service,
                backend_server=hold.backend_server,
                amount_tokens=hold.reserved_tokens,
            )
        )
        if used is None:
            return False
        return await self.resolve_record(
            row.account,
            row.budget,
            hold.grant_id,
            hold.sequence,
            hold.request_key,
            used,
        )

    async def resolve_record(
        self,
        account: str,
        budget: str,
        grant_id: str,
        sequence: int,
        request_key: str,
        used_tokens: int,
    ) -> bool:
        """Settle one hold whose use is known; nothing happens if there is none.

        Parameters
        ----------
        account : str
            Client account.
        budget : str
            Name of the budget.
        grant_id : str
            Grant of the hold.
        sequence : int
            Number of the record.
        request_key : str
            Key of the request.
        used_tokens : int
            Tokens used.

        Returns
        -------
        bool
            Whether the hold is settled; False while a reclaim is under way.

        Raises
        ------
        PlatformError
            If the table service did not answer.
        """
        for _ in range(MAX_ATTEMPTS):
            row, version = await self._store.read_row(account, budget)
            if row is None:
                return True
            if find_hold(row, grant_id, sequence) is None:
                return find_grant(row, grant_id) is None
            digest = make_digest(account, request_key)
            ledger = await self._store.load_ledger(account)
            await self._store.confirm(ledger, [digest])
            is_charged = self._store.is_charged(ledger, digest)
            tokens = 0 if is_charged else used_tokens
            changed, charged = resolve_hold(row, grant_id, sequence, tokens)
            charges = (Charge(digest, charged),) if charged else ()
            if charges and ledger.count_room() == 0:
                continue
            if await self._store.commit_row(check_row(changed), version, charges):
                self._history.note(
                    account, budget, "hold settled", grant_id=grant_id, tokens=charged
                )
                return True
        return False

    async def _raise_epoch(self, row: BudgetRow, grant_id: str) -> GrantEntry | None:
        for _ in range(MAX_ATTEMPTS):
            fresh, version = await self._store.read_row(row.account, row.budget)
            entry = find_grant(fresh, grant_id) if fresh else None
            if fresh is None or entry is None:
                return None
            if entry.is_reclaimed:
                return entry
            raised = raise_epoch(fresh, grant_id)
            if await self._store.commit_row(raised, version):
                return find_grant(raised, grant_id)
        raise PlatformError("too many conflicts")

    async def _fence(
        self, grant_id: str, epoch: int, peers: tuple[RouterId, ...]
    ) -> JournalUnion:
        """Fence peers and unite the records of those that answer."""
        message = FenceRequest(grant_id, epoch)
        union = JournalUnion()
        missing: list[RouterId] = []
        replies = await asyncio.gather(*(self._ask(peer, message) for peer in peers))
        for peer, reply in zip(peers, replies, strict=True):
            if reply is None:
                missing.append(peer)
                continue
            union.add(reply.records)
        union.missing_peers = tuple(missing)
        return union

    async def _ask(self, peer: RouterId, message: FenceRequest) -> FenceReply | None:
        if peer == self._own:
            return self._peer.fence(message)
        try:
            reply = await self._network.request(
                peer, message, self._settings.journal_timeout_s
            )
        except (PeerUnreachableError, PeerRefusedError):
            return None
        return reply if isinstance(reply, FenceReply) else None

    async def _settle_entry(
        self, row: BudgetRow, grant_id: str, union: JournalUnion
    ) -> bool:
        for _ in range(MAX_ATTEMPTS):
            fresh, version = await self._store.read_row(row.account, row.budget)
            if fresh is None or find_grant(fresh, grant_id) is None:
                return True
            ledger = await self._load(row.account, union)
            reclaimer = self._make_reclaimer(fresh, grant_id, union, ledger)
            plan = reclaimer.plan_entry()
            if not await self._store.commit_row(plan.row, version, plan.charges):
                continue
            if plan.is_complete:
                return True
        return False

    async def _settle_rest(
        self, row: BudgetRow, grant_id: str, union: JournalUnion
    ) -> bool:
        for _ in range(MAX_ATTEMPTS):
            fresh, version = await self._store.read_row(row.account, row.budget)
            if fresh is None or find_hold(fresh, grant_id, 0) is None:
                return True
            ledger = await self._load(row.account, union)
            plan = self._make_reclaimer(fresh, grant_id, union, ledger).plan_rest()
            if plan is None:
                return True
            if not await self._store.commit_row(plan.row, version, plan.charges):
                continue
            if plan.is_complete:
                return True
        return False

    async def _load(self, account: str, union: JournalUnion) -> Ledger:
        """Return the ledger, read after the row, so that it has all charges."""
        ledger = await self._store.load_ledger(account, is_fresh=True)
        digests = [
            make_digest(account, record.request_key)
            for record in union.records.values()
            if record.request_key
        ]
        await self._store.confirm(ledger, digests)
        return ledger

    def _make_reclaimer(
        self, row: BudgetRow, grant_id: str, union: JournalUnion, ledger: Ledger
    ) -> Reclaimer:
        return Reclaimer(
            row,
            grant_id,
            union,
            lambda digest: self._store.is_charged(ledger, digest),
            ledger.count_room(),
        )

    async def _resolve_all(
        self, row: BudgetRow, grant_id: str, records: list[JournalRecord]
    ) -> bool:
        is_done = True
        for record in records:
            if record.used_tokens < 0 or not record.request_key:
                continue
            is_settled = await self.resolve_record(
                row.account,
                row.budget,
                grant_id,
                record.sequence,
                record.request_key,
                record.used_tokens,
            )
            is_done = is_done and is_settled
        return is_done
