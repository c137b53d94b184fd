"""Sends a holder's records to journal peers, many in one message."""

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
class _Item:
    """One record on its way to one peer."""

    holder: Holder
    grant: Grant
    message: JournalRecord
    waiter: _AckWaiter | None


@attrs.define(eq=False)
class _AckWaiter:
    """Counts the answers to one record; the first acknowledgement decides."""

    future: asyncio.Future[bool]
    n_left: int

    def note(self, is_acked: bool) -> None:
        self.n_left -= 1
        if self.future.done():
            return
        if is_acked:
            self.future.set_result(True)
        elif self.n_left == 0:
            self.future.set_result(False)


class JournalSender:
    """Batches records by peer; a record that somebody waits for goes at once.

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
        self._queues: dict[RouterId, list[_Item]] = {}
        self._timers: dict[RouterId, asyncio.Handle] = {}
        self._tasks: set[asyncio.Task[None]] = set()

    async def write(self, holder: Holder, grant: Grant, record: GrantRecord) -> bool:
        """Send a record to the grant's peers and wait for one acknowledgement.

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
            Whether a peer that the grant's row names has acknowledged.
        """
        peers = grant.entry.journal_peers
        if not peers:
            return False
        future: asyncio.Future[bool] = asyncio.get_running_loop().create_future()
        waiter = _AckWaiter(future, len(peers))
        message = make_journal_record(record)
        for peer in peers:
            self._enqueue(peer, _Item(holder, grant, message, waiter), delay_s=0.0)
        return await future

    def write_later(self, holder: Holder, grant: Grant, record: GrantRecord) -> None:
        """Send a record that nobody waits for, with others.

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
            item = _Item(holder, grant, message, None)
            self._enqueue(peer, item, self._settings.journal_flush_s)

    def copy_missing(self, holder: Holder, grant: Grant, now: float) -> None:
        """Send records again to named peers that have not acknowledged them.

        Parameters
        ----------
        holder : Holder
            Holder of the grant.
        grant : Grant
            The grant.
        now : float
            Monotonic time, in seconds.
        """
        for record in grant.records.values():
            if not record.is_journaled:
                continue
            for peer in grant.entry.journal_peers:
                if peer in record.acked_by:
                    continue
                item = _Item(holder, grant, make_journal_record(record), None)
                self._enqueue(peer, item, self._settings.journal_flush_s)

    def finish(self, grant: Grant) -> None:
        """Tell the peers that a grant went back."""
        entry = _make_entry(grant, ())
        message = JournalAppend((attrs.evolve(entry, is_finished=True),))
        for peer in grant.entry.journal_peers:
            self._network.send(peer, message)

    async def stop(self) -> None:
        """End every message under way."""
        for timer in self._timers.values():
            timer.cancel()
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def _enqueue(self, peer: RouterId, item: _Item, delay_s: float) -> None:
        self._queues.setdefault(peer, []).append(item)
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
        self._timers.pop(peer, None)
        items = self._queues.pop(peer, [])
        if not items:
            return
        task = asyncio.get_running_loop().create_task(self._deliver(peer, items))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _deliver(self, peer: RouterId, items: list[_Item]) -> None:
        message = JournalAppend(_group(items))
        try:
            reply = await self._network.request(
                peer, message, self._settings.journal_timeout_s
            )
        except (PeerUnreachableError, PeerRefusedError):
            reply = None
        for item in items:
            is_acked = isinstance(reply, JournalReply) and (
                item.grant.entry.grant_id not in reply.fenced_grants
            )
            if is_acked:
                _note_ack(item, peer)
            if item.waiter is not None:
                item.waiter.note(is_acked)


def _note_ack(item: _Item, peer: RouterId) -> None:
    record = item.grant.records.get(item.message.sequence)
    if record is None or record.attempt != item.message.attempt:
        return
    record.acked_by.add(peer)


def _group(items: list[_Item]) -> tuple[JournalEntry, ...]:
    by_grant: dict[str, tuple[Grant, list[JournalRecord]]] = {}
    for item in items:
        _, records = by_grant.setdefault(item.grant.entry.grant_id, (item.grant, []))
        records.append(item.message)
    return tuple(
        _make_entry(grant, tuple(records)) for grant, records in by_grant.values()
    )


def _make_entry(grant: Grant, records: tuple[JournalRecord, ...]) -> JournalEntry:
    return JournalEntry(
        account=grant.account,
        budget=grant.budget,
        grant_id=grant.entry.grant_id,
        epoch=grant.entry.epoch,
        settled_sequence=grant.entry.settled_sequence,
        records=records,
    )
