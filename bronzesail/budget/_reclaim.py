"""Reclaims a grant whose holder is lost, from the union of its journal copies.

A reclaim raises the grant's epoch, fences the journal peers at that epoch, and then
settles what their records show. This module has the pure row changes.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from ..schema import BudgetRow, HoldEntry, JournalRecord, RouterId, TransferId
from ..util.invariants import check_invariant
from ._escrow import (
    charge,
    check_row,
    find_grant,
    find_hold,
    put_grant,
    put_holds,
    remove_grant,
    require_grant,
)
from ._holds import add_capped_hold, distribute_tokens, list_grant_holds
from ._ledger import Charge, make_digest
from ._peer import merge_record
from ._transfers import is_given_settled, settle_given, settle_received

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from ..schema import GrantEntry

__all__ = ["JournalUnion", "ReclaimPlan", "Reclaimer", "raise_epoch"]


def raise_epoch(row: BudgetRow, grant_id: str) -> BudgetRow:
    """Return the row with a grant marked as reclaimed, its epoch raised by one."""
    entry = require_grant(row, grant_id)
    if entry.is_reclaimed:
        return row
    raised = attrs.evolve(entry, epoch=entry.epoch + 1, is_reclaimed=True)
    return check_row(put_grant(row, raised))


@attrs.define
class JournalUnion:
    """Merged records of a grant from the journal peers that replied.

    Attributes
    ----------
    records : dict of int to JournalRecord
        Records by sequence number.
    missing_peers : tuple of RouterId
        Journal peers named in the row that did not reply.
    """

    records: dict[int, JournalRecord] = attrs.field(factory=dict)
    missing_peers: tuple[RouterId, ...] = ()

    def add(self, records: Iterable[JournalRecord]) -> None:
        """Merge the records of one peer."""
        for record in records:
            old = self.records.get(record.sequence)
            self.records[record.sequence] = merge_record(old, record)


@attrs.frozen
class ReclaimPlan:
    """Transaction that settles a reclaimed grant, wholly or in part.

    Attributes
    ----------
    row : BudgetRow
        New content of the budget's row.
    charges : tuple of Charge
        Charges to append to the ledger.
    is_complete : bool
        False if the ledger page had no space for every charge, so that another
        transaction must follow.
    """

    row: BudgetRow
    charges: tuple[Charge, ...]
    is_complete: bool


class Reclaimer:
    """Plans the settlement of one reclaimed grant from its merged journal records.

    Finished requests are charged; tokens of requests with an unknown outcome are held.
    The remainder of the grant becomes free if every journal peer replied. Otherwise it
    is held too, as the hold with sequence 0, because a missing peer may have records of
    further use.

    Parameters
    ----------
    row : BudgetRow
        The budget's row.
    grant_id : str
        Id of the grant to settle.
    union : JournalUnion
        Its records, from peers that were fenced at the epoch in the row.
    is_charged : callable
        Returns whether the ledger has a charge for a digest.
    free_lines : int
        Charges that still fit on the ledger's last page.
    """

    def __init__(
        self,
        row: BudgetRow,
        grant_id: str,
        union: JournalUnion,
        is_charged: Callable[[bytes], bool],
        free_lines: int,
    ) -> None:
        self._row = row
        self._grant_id = grant_id
        self._union = union
        self._is_charged = is_charged
        self._free_lines = free_lines
        self._charges: list[Charge] = []
        self._digests: set[bytes] = set()
        self._own_entries: tuple[GrantEntry | HoldEntry, ...] = ()

    def plan_entry(self) -> ReclaimPlan:
        """Plan the settlement of a grant that has an entry in the row.

        Returns
        -------
        ReclaimPlan
            Charges for finished records, holds for open ones. The remainder becomes
            free if every journal peer replied, else it is held.
        """
        entry = require_grant(self._row, self._grant_id)
        check_invariant(
            entry.is_reclaimed, "a grant is marked as reclaimed before it is settled"
        )
        self._settle_received_transfers(entry.settled_sequence, frozenset())
        self._settle_given_transfers(entry.settled_sequence)
        entry = require_grant(self._row, self._grant_id)
        self._own_entries = (entry,)
        given_tokens = self._count_given_tokens(entry.settled_sequence, frozenset())
        is_complete = self._charge_finished(
            entry.settled_sequence, frozenset(), entry.amount_tokens - given_tokens
        )
        charged_tokens = sum(charge.tokens for charge in self._charges)
        unspent_tokens = entry.amount_tokens - charged_tokens
        if not is_complete:
            lowered = attrs.evolve(entry, amount_tokens=unspent_tokens)
            row = charge(put_grant(self._row, lowered), charged_tokens)
            return ReclaimPlan(check_row(row), tuple(self._charges), False)
        row = charge(remove_grant(self._row, self._grant_id), charged_tokens)
        for record in self._list_open(entry.settled_sequence, frozenset()):
            hold = self._make_hold(record, entry.epoch)
            row = add_capped_hold(row, hold, unspent_tokens)
            unspent_tokens -= min(unspent_tokens, hold.reserved_tokens)
        if self._union.missing_peers:
            remainder = HoldEntry(
                grant_id=self._grant_id,
                sequence=0,
                amount_tokens=unspent_tokens,
                reason="a journal peer did not answer the reclaim",
                missing_peers=self._union.missing_peers,
                epoch=entry.epoch,
                given_transfers=entry.given_transfers,
                known_sequences=tuple(sorted(self._union.records)),
                settled_sequence=entry.settled_sequence,
                reserved_tokens=unspent_tokens,
            )
            row = add_capped_hold(row, remainder, unspent_tokens)
        return ReclaimPlan(check_row(row), tuple(self._charges), True)

    def plan_remainder(self) -> ReclaimPlan | None:
        """Plan the settlement of a held remainder.

        The records come from a peer that was missing before, or from the holder.

        Returns
        -------
        ReclaimPlan or None
            Charges and holds taken from the held remainder, which becomes free once no
            peer is missing; None if the row has no held remainder of the grant.
        """
        remainder = find_hold(self._row, self._grant_id, 0)
        if remainder is None:
            return None
        handled_sequences = frozenset(remainder.known_sequences)
        self._settle_received_transfers(remainder.settled_sequence, handled_sequences)
        self._settle_transfers_from_remainder(
            remainder.settled_sequence, handled_sequences
        )
        pool = list_grant_holds(self._row, self._grant_id)
        remainder = next(hold for hold in pool if hold.sequence == 0)
        total_tokens = sum(hold.amount_tokens for hold in pool)
        self._own_entries = (remainder,)
        given_tokens = self._count_given_tokens(
            remainder.settled_sequence, handled_sequences
        )
        is_complete = self._charge_finished(
            remainder.settled_sequence, handled_sequences, total_tokens - given_tokens
        )
        charged_tokens = sum(charge.tokens for charge in self._charges)
        total_tokens -= charged_tokens
        holds_by_sequence = {hold.sequence: hold for hold in pool}
        remainder = holds_by_sequence.pop(0)
        if is_complete:
            for record in self._list_open(
                remainder.settled_sequence, handled_sequences
            ):
                holds_by_sequence[record.sequence] = self._make_hold(
                    record, remainder.epoch
                )
        missing = self._union.missing_peers
        if is_complete:
            handled_sequences |= frozenset(self._union.records)
            remainder = attrs.evolve(
                remainder,
                missing_peers=missing,
                known_sequences=tuple(sorted(handled_sequences)),
            )
        if missing or not is_complete:
            holds_by_sequence[0] = remainder
        holds = distribute_tokens(tuple(holds_by_sequence.values()), total_tokens)
        row = put_holds(self._row, self._grant_id, holds)
        row = charge(row, charged_tokens)
        return ReclaimPlan(check_row(row), tuple(self._charges), is_complete)

    def _settle_received_transfers(
        self, settled_sequence: int, handled_sequences: frozenset[int]
    ) -> None:
        """Move the tokens of transfers that this grant received into it."""
        for record in self._union.records.values():
            if (
                record.sequence <= settled_sequence
                or record.sequence in handled_sequences
            ):
                continue
            if not record.received_from:
                continue
            transfer = TransferId(record.received_from, record.giver_sequence)
            self._row = settle_received(
                self._row, transfer, self._grant_id, record.amount_tokens
            )

    def _settle_given_transfers(self, settled_sequence: int) -> None:
        """Move the tokens of transfers that this grant gave to their destinations."""
        for record in self._union.records.values():
            if record.sequence <= settled_sequence or not record.given_to:
                continue
            transfer = TransferId(self._grant_id, record.sequence)
            self._row, _ = settle_given(
                self._row, transfer, record.given_to, record.amount_tokens
            )

    def _settle_transfers_from_remainder(
        self, settled_sequence: int, handled_sequences: frozenset[int]
    ) -> None:
        """Move given transfers from the holds to destinations that are in the row."""
        for record in self._union.records.values():
            if (
                record.sequence <= settled_sequence
                or record.sequence in handled_sequences
            ):
                continue
            if find_grant(self._row, record.given_to) is None:
                continue
            transfer = TransferId(self._grant_id, record.sequence)
            self._row = settle_received(
                self._row, transfer, record.given_to, record.amount_tokens
            )

    def _charge_finished(
        self, settled_sequence: int, handled_sequences: frozenset[int], left_tokens: int
    ) -> bool:
        """Collect charges; returns False if the ledger page lacks space for all.

        Use above `left_tokens` is not charged: it was paid from a transfer whose record
        a missing peer has.
        """
        for record in self._union.records.values():
            if record.sequence <= settled_sequence or not record.request_key:
                continue
            if record.used_tokens <= 0 or record.sequence in handled_sequences:
                continue
            if self._is_already_charged(record):
                continue
            if record.used_tokens > left_tokens:
                self._require_missing_peers()
                continue
            if len(self._charges) >= self._free_lines:
                return False
            digest = make_digest(self._row.account, record.request_key)
            self._digests.add(digest)
            self._charges.append(Charge(digest, record.used_tokens))
            left_tokens -= record.used_tokens
        return True

    def _count_given_tokens(
        self, settled_sequence: int, handled_sequences: frozenset[int]
    ) -> int:
        """Return the tokens of given transfers whose outcome is unknown."""
        return sum(
            record.amount_tokens
            for record in self._list_open(settled_sequence, handled_sequences)
            if record.given_to
        )

    def _require_missing_peers(self) -> None:
        """Check that use above the grant can stem from a transfer not known yet."""
        missing = self._union.missing_peers
        check_invariant(
            bool(missing), "I2: the use in a complete journal fits in the grant"
        )

    def _is_already_charged(self, record: JournalRecord) -> bool:
        """Tell whether the request is charged, in the ledger or by this plan."""
        digest = make_digest(self._row.account, record.request_key)
        return digest in self._digests or self._is_charged(digest)

    def _list_open(
        self, settled_sequence: int, handled_sequences: frozenset[int]
    ) -> list[JournalRecord]:
        """Return records with an unknown outcome that are not held yet.

        Records up to `settled_sequence` and those in `handled_sequences` are skipped.
        """
        found: list[JournalRecord] = []
        for record in self._union.records.values():
            if (
                record.sequence <= settled_sequence
                or record.sequence in handled_sequences
            ):
                continue
            if record.used_tokens == 0 or record.received_from:
                continue
            if find_hold(self._row, self._grant_id, record.sequence) is not None:
                continue
            if record.given_to and self._is_given_settled(record):
                continue
            if not record.given_to and self._is_already_charged(record):
                continue
            found.append(record)
        return found

    def _is_given_settled(self, record: JournalRecord) -> bool:
        """Tell whether a given transfer is settled.

        It is settled if the grant's entry or held remainder says so, or if the row has
        neither the destination grant nor a held remainder of it.
        """
        for given in self._own_entries:
            if is_given_settled(given, record.sequence):
                return True
        return find_grant(self._row, record.given_to) is None and (
            find_hold(self._row, record.given_to, 0) is None
        )

    def _make_hold(self, record: JournalRecord, epoch: int) -> HoldEntry:
        """Return the hold of an open record; its tokens are assigned afterwards."""
        is_transfer = bool(record.given_to)
        return HoldEntry(
            grant_id=self._grant_id,
            sequence=record.sequence,
            amount_tokens=0,
            request_key=record.request_key,
            service=record.service,
            backend_server=record.backend_server,
            reason=(
                "transfer to a grant whose journal is incomplete"
                if is_transfer
                else "outcome unknown after its router was lost"
            ),
            epoch=epoch,
            reserved_tokens=record.amount_tokens,
            given_to=record.given_to,
        )
