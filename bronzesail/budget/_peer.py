"""Journal peer: stores copies of other routers' records and fences grants."""

from __future__ import annotations

import attrs

from ..schema import (
    FenceReply,
    FenceRequest,
    JournalAppend,
    JournalEntry,
    JournalRecord,
    JournalReply,
    RouterId,
)

__all__ = ["JournalPeer", "GrantCopy", "merge_record"]


def merge_record(old: JournalRecord | None, new: JournalRecord) -> JournalRecord:
    """Return the later of two states of a record, regardless of arrival order.

    Parameters
    ----------
    old : JournalRecord or None
        State stored so far, if any.
    new : JournalRecord
        Another state of the same record.

    Returns
    -------
    JournalRecord
        The state with known use, else the one with the highest attempt number.
    """
    if old is None:
        return new
    if old.used_tokens >= 0:
        return old
    if new.used_tokens >= 0 or new.attempt > old.attempt:
        return new
    return old


@attrs.define
class GrantCopy:
    """Copy of the unsettled records of one grant of another router.

    Attributes
    ----------
    account : str
        Client account.
    budget : str
        Name of the budget.
    holder : RouterId
        Router that holds the grant.
    epoch : int
        Highest epoch seen.
    settled_sequence : int
        Sequence number up to which records are settled and were dropped.
    records : dict of int to JournalRecord
        Records by sequence number.
    """

    account: str
    budget: str
    holder: RouterId
    epoch: int
    settled_sequence: int = 0
    records: dict[int, JournalRecord] = attrs.field(factory=dict)


class JournalPeer:
    """Stores records of other routers' grants, in memory.

    A fence is never lifted, so that a paused holder which resumes after its grant was
    reclaimed cannot have a dispatch acknowledged.
    """

    def __init__(self) -> None:
        self._grants: dict[str, GrantCopy] = {}
        self._fences: dict[str, int] = {}

    def append(self, holder: RouterId, message: JournalAppend) -> JournalReply:
        """Store records, except those of an epoch that was fenced.

        Of a fenced grant only the results of known records are stored: no new
        dispatch, but use that the reclaim would not know otherwise.

        Parameters
        ----------
        holder : RouterId
            Router that sent the records.
        message : JournalAppend
            Records, by grant.

        Returns
        -------
        JournalReply
            Ids of the grants whose records were refused.
        """
        fenced: list[str] = []
        for entry in message.entries:
            is_stale_epoch = entry.epoch < self._fences.get(entry.grant_id, 0)
            if is_stale_epoch:
                fenced.append(entry.grant_id)
                self._store_results(entry)
                continue
            self._store_entry(holder, entry)
        return JournalReply(tuple(fenced))

    def fence(self, message: FenceRequest) -> FenceReply:
        """Fence the older epochs of a grant, and return its records.

        Parameters
        ----------
        message : FenceRequest
            Id of the grant and the lowest epoch that is still accepted.

        Returns
        -------
        FenceReply
            Every stored record of the grant.
        """
        epoch = max(message.epoch, self._fences.get(message.grant_id, 0))
        self._fences[message.grant_id] = epoch
        grant = self._grants.get(message.grant_id)
        return FenceReply(tuple(grant.records.values()) if grant else ())

    def forget(self, grant_id: str) -> None:
        """Drop the records of a reclaimed grant; its fence remains."""
        self._grants.pop(grant_id, None)

    def list_grants(self) -> dict[str, GrantCopy]:
        """Return the stored copies, by grant id."""
        return dict(self._grants)

    def find(self, account: str, request_key: str) -> JournalRecord | None:
        """Return the stored record of a request, or None if there is none.

        Parameters
        ----------
        account : str
            Client account.
        request_key : str
            Key of the request.

        Returns
        -------
        JournalRecord or None
            The record; an open one takes precedence over a finished one.
        """
        found: JournalRecord | None = None
        for grant in self._grants.values():
            if grant.account != account:
                continue
            for record in grant.records.values():
                if record.request_key != request_key:
                    continue
                if record.used_tokens < 0:
                    return record
                found = record
        return found

    def _store_entry(self, holder: RouterId, entry: JournalEntry) -> None:
        """Merge the records of one grant into its copy and drop the settled ones."""
        if entry.is_finished:
            self._grants.pop(entry.grant_id, None)
            return
        grant = self._grants.get(entry.grant_id)
        if grant is None:
            grant = GrantCopy(entry.account, entry.budget, holder, entry.epoch)
            self._grants[entry.grant_id] = grant
        grant.epoch = max(grant.epoch, entry.epoch)
        for record in entry.records:
            if record.sequence <= grant.settled_sequence:
                continue
            old = grant.records.get(record.sequence)
            grant.records[record.sequence] = merge_record(old, record)
        self._drop_settled(grant, entry.settled_sequence)

    def _store_results(self, entry: JournalEntry) -> None:
        """Store the results of known records, also those of a fenced epoch."""
        grant = self._grants.get(entry.grant_id)
        if grant is None:
            return
        for record in entry.records:
            old = grant.records.get(record.sequence)
            if old is None or record.used_tokens < 0:
                continue
            grant.records[record.sequence] = merge_record(old, record)

    def _drop_settled(self, grant: GrantCopy, settled_sequence: int) -> None:
        """Drop the records up to a settled sequence number."""
        if settled_sequence <= grant.settled_sequence:
            return
        for sequence in range(grant.settled_sequence + 1, settled_sequence + 1):
            grant.records.pop(sequence, None)
        grant.settled_sequence = settled_sequence
