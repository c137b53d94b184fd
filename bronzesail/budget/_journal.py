"""Replicates the records of this router's grants to journal peers, in batches."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import attrs

from ..fleet import PeerRefusedError, PeerUnreachableError
from ..schema import JournalAppend, JournalEntry, JournalRecord, JournalReply, RouterId
from ._grant import Grant, make_journal_record
from ._holder import Holder

if TYPE_CHECKING:
    from ..fleet import PeerNetwork
    from ._grant import GrantRecord
    from ._settings import BudgetSettings

__all__ = ["JournalSender"]


@attrs.define
class _QueuedRecord:
    """One record queued for one peer; `waiter` is set if a caller awaits its ack."""

    holder: Holder
    grant: Grant
    message: JournalRecord
    waiter: _AckWaiter | None


@attrs.define(eq=False)
class _AckWaiter:
    """Collects the replies to one record.

    The future becomes True with the first acknowledgement, and False once every peer
    has refused, failed or timed out.
    """

    future: asyncio.Future[bool]
    n_pending: int

    def add_reply(self, is_acked: bool) -> None:
        """Count one peer's reply; a failed or refused request is no acknowledgement."""
        self.n_pending -= 1
        if self.future.done():
            return
        if is_acked:
            self.future.set_result(True)
        elif self.n_pending == 0:
            self.future.set_result(False)


class JournalSender:
    """Batches journal records by peer.

    A record whose acknowledgement is awaited is sent in the next iteration of the
    event loop; other records are delayed by up to `journal_flush_s`.

    Parameters
    ----------
    network : PeerNetwork
        Messages between routers.
    settings : BudgetSettings
        Settings of every budget.
    """

    def __init__(self, network: PeerNetwork, settings: BudgetSettings) -> None:
        self._network = network
        self._settings = settings
        self._queues: dict[RouterId, list[_QueuedRecord]] = {}
        self._timers: dict[RouterId, asyncio.Handle] = {}
        self._tasks: set[asyncio.Task[None]] = set()

    async def write(self, holder: Holder, grant: Grant, record: GrantRecord) -> bool:
        """Send a record to the grant's journal peers and wait for one acknowledgement.

        Parameters
        ----------
        holder : Holder
            Holder of the grant.
        grant : Grant
            The grant.
        record : GrantRecord
            The record.

        Returns
        -------
        bool
            Whether a journal peer named in the grant's row has acknowledged; False if
            the row names none.
        """
        peers = grant.entry.journal_peers
        if not peers:
            return False
        future: asyncio.Future[bool] = asyncio.get_running_loop().create_future()
        waiter = _AckWaiter(future, len(peers))
        message = make_journal_record(record)
        for peer in peers:
            self._enqueue(
                peer, _QueuedRecord(holder, grant, message, waiter), delay_s=0.0
            )
        return await future

    def write_later(self, holder: Holder, grant: Grant, record: GrantRecord) -> None:
        """Queue a record for the next batch, without waiting for acknowledgements.

        Parameters
        ----------
        holder : Holder
            Holder of the grant.
        grant : Grant
            The grant.
        record : GrantRecord
            The record.
        """
        message = make_journal_record(record)
        for peer in grant.entry.journal_peers:
            queued = _QueuedRecord(holder, grant, message, None)
            self._enqueue(peer, queued, self._settings.journal_flush_s)

    def resend_unacknowledged(self, holder: Holder, grant: Grant, now: float) -> None:
        """Resend records to the journal peers that have not acknowledged them.

        Parameters
        ----------
        holder : Holder
            Holder of the grant.
        grant : Grant
            The grant.
        now : float
            Monotonic time, in seconds; not used.
        """
        for record in grant.records.values():
            if not record.is_journaled:
                continue
            for peer in grant.entry.journal_peers:
                if peer in record.acked_by:
                    continue
                queued = _QueuedRecord(holder, grant, make_journal_record(record), None)
                self._enqueue(peer, queued, self._settings.journal_flush_s)

    def send_finished(self, grant: Grant) -> None:
        """Notify the journal peers of a returned grant; they drop their copies."""
        entry = _make_entry(grant, ())
        message = JournalAppend((attrs.evolve(entry, is_finished=True),))
        for peer in grant.entry.journal_peers:
            self._network.send(peer, message)

    async def stop(self) -> None:
        """Cancel pending batches and requests in flight."""
        for timer in self._timers.values():
            timer.cancel()
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def _enqueue(self, peer: RouterId, queued: _QueuedRecord, delay_s: float) -> None:
        """Queue a record; a delay of 0 flushes the peer's whole queue at once."""
        self._queues.setdefault(peer, []).append(queued)
        timer = self._timers.get(peer)
        loop = asyncio.get_running_loop()
        if delay_s > 0.0:
            if timer is None:
                self._timers[peer] = loop.call_later(delay_s, self._flush, peer)
            return
        if timer is not None:
            timer.cancel()
        self._timers[peer] = loop.call_soon(self._flush, peer)

    def _flush(self, peer: RouterId) -> None:
        """Start the delivery of everything queued for a peer."""
        self._timers.pop(peer, None)
        queued_records = self._queues.pop(peer, [])
        if not queued_records:
            return
        task = asyncio.get_running_loop().create_task(
            self._deliver(peer, queued_records)
        )
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _deliver(
        self, peer: RouterId, queued_records: list[_QueuedRecord]
    ) -> None:
        """Send one batch and process its reply.

        A record counts as acknowledged unless the peer has fenced its grant.
        """
        message = JournalAppend(_group_by_grant(queued_records))
        try:
            reply = await self._network.request(
                peer, message, self._settings.journal_timeout_s
            )
        except (PeerUnreachableError, PeerRefusedError):
            reply = None
        for queued in queued_records:
            is_acked = isinstance(reply, JournalReply) and (
                queued.grant.entry.grant_id not in reply.fenced_grants
            )
            if is_acked:
                _record_ack(queued, peer)
            if queued.waiter is not None:
                queued.waiter.add_reply(is_acked)


def _record_ack(queued: _QueuedRecord, peer: RouterId) -> None:
    """Record an acknowledgement unless the record is settled or dispatched again."""
    record = queued.grant.records.get(queued.message.sequence)
    if record is None or record.attempt != queued.message.attempt:
        return
    record.acked_by.add(peer)


def _group_by_grant(queued_records: list[_QueuedRecord]) -> tuple[JournalEntry, ...]:
    """Return one journal entry per grant with its queued records."""
    by_grant: dict[str, tuple[Grant, list[JournalRecord]]] = {}
    for queued in queued_records:
        _, records = by_grant.setdefault(
            queued.grant.entry.grant_id, (queued.grant, [])
        )
        records.append(queued.message)
    return tuple(
        _make_entry(grant, tuple(records)) for grant, records in by_grant.values()
    )


def _make_entry(grant: Grant, records: tuple[JournalRecord, ...]) -> JournalEntry:
    """Return the message part that carries records of one grant."""
    return JournalEntry(
        account=grant.account,
        budget=grant.budget,
        grant_id=grant.entry.grant_id,
        epoch=grant.entry.epoch,
        settled_sequence=grant.entry.settled_sequence,
        records=records,
    )
