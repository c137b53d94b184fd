"""Reclaims the grants of lost routers and resolves held tokens.

To settle a record or a transfer is to book it in the budget's row: tokens used are
charged and the others become available again. To reclaim a grant is to fence it and to
settle it in place of its holder, from the copies of its records at its journal peers.
Tokens whose use is unknown are held; to resolve a hold is to find out the use and
settle it.

The records of a grant are numbered from 1. The hold with sequence number 0 is the held
remainder: tokens that no known record accounts for, kept because a journal peer that
did not reply may have further records. A record's `used_tokens` is negative while the
use is unknown.
"""

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

# Transactions that one step tries. One fails if another router has changed the row, and
# may commit only the charges that fit on a ledger page. The rest of the step is left to
# a later scan.
MAX_WRITE_ATTEMPTS = 20


class Recovery:
    """Settles the grants and holds that lost routers have left.

    Every write is conditional on the row's version, so any router can do each step, and
    several may try it at the same time.

    Parameters
    ----------
    store : BudgetStore
        Rows of budgets and ledgers.
    network : PeerNetwork
        Messages between routers.
    peer : JournalPeer
        This router's copies of other routers' records.
    own : RouterId
        Id of this router.
    usage : UsageSource
        Queries backend servers for the tokens a request used.
    settings : BudgetSettings
        Settings of every budget.
    history : BudgetHistory
        Records events for the log and for `explain`.
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
        """Reclaim a grant whose holder is lost.

        Raises the grant's epoch, fences its journal peers and settles their records.

        Parameters
        ----------
        row : BudgetRow
            The budget's row.
        grant_id : str
            Id of the grant.

        Returns
        -------
        bool
            Whether the grant is settled, that is, has no entry in the row any more.
            Tokens whose use is unknown, and the remainder if a journal peer did not
            reply, may still be held.

        Raises
        ------
        PlatformError
            If the table service did not answer, or if too many transactions conflicted
            while the epoch was raised.
        """
        entry = await self._raise_epoch(row, grant_id)
        if entry is None:
            return True
        union = await self._fence(grant_id, entry.epoch, entry.journal_peers)
        is_done = await self._settle_entry(row, grant_id, union)
        self._history.note(
            row.account,
            row.budget,
            "reclaim of a lost router's grant",
            grant_id=grant_id,
            is_done=is_done,
            n_missing_peers=len(union.missing_peers),
        )
        return is_done

    async def settle_lost_grant(self, grant: Grant) -> bool:
        """Settle a lost grant of this router from its own, complete records.

        Parameters
        ----------
        grant : Grant
            Grant of this router that another router has reclaimed.

        Returns
        -------
        bool
            Whether the row has nothing left of the grant except holds of open records.

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
        if not await self._settle_remainder(row, grant_id, union):
            return False
        return await self._resolve_all(row, grant_id, records)

    async def resolve(self, row: BudgetRow, hold: HoldEntry) -> bool:
        """Try to find out how many held tokens were used, and settle the hold.

        For a held remainder, the missing journal peers are fenced again. For a request,
        the backend server is queried. A destination grant that received a transfer
        removes the transfer's hold when it is settled. The transfer thus stays held
        while the row has that grant or a held remainder of it; once the row has
        neither, the tokens were not received and the hold is settled with no use.

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
            await self._settle_remainder(row, hold.grant_id, union)
            records = list(union.records.values())
            return await self._resolve_all(row, hold.grant_id, records)
        if hold.given_to:
            has_destination = find_grant(row, hold.given_to) is not None
            if has_destination or find_hold(row, hold.given_to, 0) is not None:
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
        """Settle the hold of one record whose use is known, if the row has it.

        A request that the ledger has a charge for already is not charged again.

        Parameters
        ----------
        account : str
            Client account.
        budget : str
            Name of the budget.
        grant_id : str
            Grant of the hold.
        sequence : int
            Sequence number of the record in the grant.
        request_key : str
            Key of the request.
        used_tokens : int
            Tokens used.

        Returns
        -------
        bool
            Whether the hold is settled. False while the grant is still in the row,
            because its reclaim may yet create the hold.

        Raises
        ------
        PlatformError
            If the table service did not answer.
        """
        for _ in range(MAX_WRITE_ATTEMPTS):
            row, version = await self._store.read_row(account, budget)
            if row is None:
                return True
            if find_hold(row, grant_id, sequence) is None:
                return find_grant(row, grant_id) is None
            digest = make_digest(account, request_key)
            ledger = await self._store.load_ledger(account)
            await self._store.look_up_digests(ledger, [digest])
            is_charged = self._store.is_charged(ledger, digest)
            tokens = 0 if is_charged else used_tokens
            updated, charged = resolve_hold(row, grant_id, sequence, tokens)
            charges = (Charge(digest, charged),) if charged else ()
            if charges and ledger.count_free_lines() == 0:
                # The charge needs a free line on the ledger's last page.
                continue
            if await self._store.commit_row(check_row(updated), version, charges):
                self._history.note(
                    account, budget, "hold settled", grant_id=grant_id, tokens=charged
                )
                return True
        return False

    async def _raise_epoch(self, row: BudgetRow, grant_id: str) -> GrantEntry | None:
        """Mark a grant as reclaimed and raise its epoch, unless that is done already.

        Returns its entry, or None if the row has none because the grant is settled.
        Without the higher epoch the grant cannot be fenced, so that too many conflicts
        are an error here.
        """
        for _ in range(MAX_WRITE_ATTEMPTS):
            current, version = await self._store.read_row(row.account, row.budget)
            entry = find_grant(current, grant_id) if current else None
            if current is None or entry is None:
                return None
            if entry.is_reclaimed:
                return entry
            raised = raise_epoch(current, grant_id)
            if await self._store.commit_row(raised, version):
                return find_grant(raised, grant_id)
        raise PlatformError("too many conflicts while raising the epoch of a grant")

    async def _fence(
        self, grant_id: str, epoch: int, peers: tuple[RouterId, ...]
    ) -> JournalUnion:
        """Fence journal peers and merge the records of those that reply.

        The others are listed as missing in the result.
        """
        message = FenceRequest(grant_id, epoch)
        union = JournalUnion()
        missing: list[RouterId] = []
        replies = await asyncio.gather(
            *(self._fence_peer(peer, message) for peer in peers)
        )
        for peer, reply in zip(peers, replies, strict=True):
            if reply is None:
                missing.append(peer)
                continue
            union.add(reply.records)
        union.missing_peers = tuple(missing)
        return union

    async def _fence_peer(
        self, peer: RouterId, message: FenceRequest
    ) -> FenceReply | None:
        """Fence one journal peer; returns None if it did not reply."""
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
        """Settle a grant that has an entry in the row; returns whether it is done.

        An incomplete plan commits the charges that fit on the ledger's page; the next
        attempt goes on with the following page.
        """
        for _ in range(MAX_WRITE_ATTEMPTS):
            current, version = await self._store.read_row(row.account, row.budget)
            if current is None or find_grant(current, grant_id) is None:
                return True
            ledger = await self._load_ledger(row.account, union)
            reclaimer = self._make_reclaimer(current, grant_id, union, ledger)
            plan = reclaimer.plan_entry()
            if not await self._store.commit_row(plan.row, version, plan.charges):
                continue
            if plan.is_complete:
                return True
        return False

    async def _settle_remainder(
        self, row: BudgetRow, grant_id: str, union: JournalUnion
    ) -> bool:
        """Settle the held remainder of a grant with further journal records.

        Returns whether every record is settled or held, also if the row has no held
        remainder of the grant. As in `_settle_entry`, one step may take several
        transactions.
        """
        for _ in range(MAX_WRITE_ATTEMPTS):
            current, version = await self._store.read_row(row.account, row.budget)
            if current is None or find_hold(current, grant_id, 0) is None:
                return True
            ledger = await self._load_ledger(row.account, union)
            plan = self._make_reclaimer(
                current, grant_id, union, ledger
            ).plan_remainder()
            if plan is None:
                return True
            if not await self._store.commit_row(plan.row, version, plan.charges):
                continue
            if plan.is_complete:
                return True
        return False

    async def _load_ledger(self, account: str, union: JournalUnion) -> Ledger:
        """Return the ledger, read again after the row.

        It thus has every charge that was committed with that version of the row.
        """
        ledger = await self._store.load_ledger(account, is_fresh=True)
        digests = [
            make_digest(account, record.request_key)
            for record in union.records.values()
            if record.request_key
        ]
        await self._store.look_up_digests(ledger, digests)
        return ledger

    def _make_reclaimer(
        self, row: BudgetRow, grant_id: str, union: JournalUnion, ledger: Ledger
    ) -> Reclaimer:
        """Return the planner of the settlement of one grant."""
        return Reclaimer(
            row,
            grant_id,
            union,
            lambda digest: self._store.is_charged(ledger, digest),
            ledger.count_free_lines(),
        )

    async def _resolve_all(
        self, row: BudgetRow, grant_id: str, records: list[JournalRecord]
    ) -> bool:
        """Settle the holds of finished records; returns whether none of them is left.

        Records whose use is unknown (negative) and transfers (without a request key)
        are skipped.
        """
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
