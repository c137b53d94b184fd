"""Reclaim of a grant whose holder is gone: epoch, journal union, settlement."""

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
    """Return the row with a grant marked as reclaimed under a new epoch."""
    entry = require_grant(row, grant_id)
    if entry.is_reclaimed:
        return row
    raised = attrs.evolve(entry, epoch=entry.epoch + 1, is_reclaimed=True)
    return check_row(put_grant(row, raised))


@attrs.define
class JournalUnion:
    """Records of a grant from every journal peer that answered.

    Attributes
    ----------
    records : dict of int to JournalRecord
        Records by sequence number.
    missing_peers : tuple of RouterId
        Named peers that did not answer.
    """

    records: dict[int, JournalRecord] = attrs.field(factory=dict)
    missing_peers: tuple[RouterId, ...] = ()

    def add(self, records: Iterable[JournalRecord]) -> None:
        """Add the records of one peer."""
        for record in records:
            old = self.records.get(record.sequence)
            self.records[record.sequence] = merge_record(old, record)


@attrs.frozen
class ReclaimPlan:
    """Transaction that settles a reclaimed grant, whole or in part.

    Attributes
    ----------
    row : BudgetRow
        Content to write.
    charges : tuple of Charge
        Charges to append to the ledger.
    is_complete : bool
        Whether nothing of the grant is left to settle.
    """

    row: BudgetRow
    charges: tuple[Charge, ...]
    is_complete: bool


class Reclaimer:
    """Settles one reclaimed grant from the union of its journal.

    Parameters
    ----------
    row : BudgetRow
        The budget's row.
    grant_id : str
        Grant to settle.
    union : JournalUnion
        Its records; every peer in it was fenced at the row's epoch.
    is_charged : callable
        Tells whether a digest is in the ledger.
    room_lines : int
        Charges that the ledger's last page takes.
    """

    def __init__(
        self,
        row: BudgetRow,
        grant_id: str,
        union: JournalUnion,
        is_charged: Callable[[bytes], bool],
        room_lines: int,
    ) -> None:
        self._row = row
        self._grant_id = grant_id
        self._union = union
        self._is_charged = is_charged
        self._room_lines = room_lines
        self._charges: list[Charge] = []
        self._digests: set[bytes] = set()
        self._given: tuple[GrantEntry | HoldEntry, ...] = ()

    def plan_entry(self) -> ReclaimPlan:
        """Settle a grant that still has its entry in the row.

        Returns
        -------
        ReclaimPlan
            Charges for finished records, holds for open ones. The rest becomes free
            if every named peer answered, else it is held.
        """
        entry = require_grant(self._row, self._grant_id)
        check_invariant(entry.is_reclaimed, "a grant is reclaimed under a raised epoch")
        self._settle_received_all(entry.settled_sequence, frozenset())
        self._settle_given_all(entry.settled_sequence)
        entry = require_grant(self._row, self._grant_id)
        self._given = (entry,)
        given = self._count_given_tokens(entry.settled_sequence, frozenset())
        is_complete = self._charge_finished(
            entry.settled_sequence, frozenset(), entry.amount_tokens - given
        )
        charged = sum(charge.tokens for charge in self._charges)
        left = entry.amount_tokens - charged
        if not is_complete:
            lowered = attrs.evolve(entry, amount_tokens=left)
            row = charge(put_grant(self._row, lowered), charged)
            return ReclaimPlan(check_row(row), tuple(self._charges), False)
        row = charge(remove_grant(self._row, self._grant_id), charged)
        for record in self._list_open(entry.settled_sequence, frozenset()):
            hold = self._make_hold(record, entry.epoch)
            row = add_capped_hold(row, hold, left)
            left -= min(left, hold.reserved_tokens)
        if self._union.missing_peers:
            rest = HoldEntry(
                grant_id=self._grant_id,
                sequence=0,
                amount_tokens=left,
                reason="a journal peer did not answer the reclaim",
                missing_peers=self._union.missing_peers,
                epoch=entry.epoch,
                given_transfers=entry.given_transfers,
                known_sequences=tuple(sorted(self._union.records)),
                settled_sequence=entry.settled_sequence,
                reserved_tokens=left,
            )
            row = add_capped_hold(row, rest, left)
        return ReclaimPlan(check_row(row), tuple(self._charges), True)

    def plan_rest(self) -> ReclaimPlan | None:
        """Settle what a formerly missing peer, or the holder itself, tells.

        Returns
        -------
        ReclaimPlan or None
            Charges and holds taken out of the held rest, which becomes free once
            nobody is missing; None if the row holds no rest of the grant.
        """
        rest = find_hold(self._row, self._grant_id, 0)
        if rest is None:
            return None
        known = frozenset(rest.known_sequences)
        self._settle_received_all(rest.settled_sequence, known)
        self._settle_rest_given(rest.settled_sequence, known)
        pool = list_grant_holds(self._row, self._grant_id)
        rest = next(hold for hold in pool if hold.sequence == 0)
        total = sum(hold.amount_tokens for hold in pool)
        self._given = (rest,)
        given = self._count_given_tokens(rest.settled_sequence, known)
        is_complete = self._charge_finished(rest.settled_sequence, known, total - given)
        charged = sum(charge.tokens for charge in self._charges)
        total -= charged
        kept = {hold.sequence: hold for hold in pool}
        rest = kept.pop(0)
        if is_complete:
            for record in self._list_open(rest.settled_sequence, known):
                kept[record.sequence] = self._make_hold(record, rest.epoch)
        missing = self._union.missing_peers
        if is_complete:
            known |= frozenset(self._union.records)
            rest = attrs.evolve(
                rest, missing_peers=missing, known_sequences=tuple(sorted(known))
            )
        if missing or not is_complete:
            kept[0] = rest
        holds = distribute_tokens(tuple(kept.values()), total)
        row = put_holds(self._row, self._grant_id, holds)
        row = charge(row, charged)
        return ReclaimPlan(check_row(row), tuple(self._charges), is_complete)

    def _settle_received_all(
        self, settled_sequence: int, known: frozenset[int]
    ) -> None:
        for record in self._union.records.values():
            if record.sequence <= settled_sequence or record.sequence in known:
                continue
            if not record.received_from:
                continue
            transfer = TransferId(record.received_from, record.giver_sequence)
            self._row = settle_received(
                self._row, transfer, self._grant_id, record.amount_tokens
            )

    def _settle_given_all(self, settled_sequence: int) -> None:
        for record in self._union.records.values():
            if record.sequence <= settled_sequence or not record.given_to:
                continue
            transfer = TransferId(self._grant_id, record.sequence)
            self._row, _ = settle_given(
                self._row, transfer, record.given_to, record.amount_tokens
            )

    def _settle_rest_given(self, settled_sequence: int, known: frozenset[int]) -> None:
        for record in self._union.records.values():
            if record.sequence <= settled_sequence or record.sequence in known:
                continue
            if find_grant(self._row, record.given_to) is None:
                continue
            transfer = TransferId(self._grant_id, record.sequence)
            self._row = settle_received(
                self._row, transfer, record.given_to, record.amount_tokens
            )

    def _charge_finished(
        self, settled_sequence: int, known: frozenset[int], left_tokens: int
    ) -> bool:
        """Collect charges; returns False if the page has no room for all."""
        for record in self._union.records.values():
            if record.sequence <= settled_sequence or not record.request_key:
                continue
            if record.used_tokens <= 0 or record.sequence in known:
                continue
            if self._is_known(record):
                continue
            if record.used_tokens > left_tokens:
                self._require_missing()
                continue
            if len(self._charges) >= self._room_lines:
                return False
            digest = make_digest(self._row.account, record.request_key)
            self._digests.add(digest)
            self._charges.append(Charge(digest, record.used_tokens))
            left_tokens -= record.used_tokens
        return True

    def _count_given_tokens(self, settled_sequence: int, known: frozenset[int]) -> int:
        """Return the tokens of given transfers whose fate is unknown."""
        return sum(
            record.amount_tokens
            for record in self._list_open(settled_sequence, known)
            if record.given_to
        )

    def _require_missing(self) -> None:
        """Check that use above the grant has a cause: a transfer not known yet."""
        missing = self._union.missing_peers
        check_invariant(
            bool(missing), "I2: the journal shows no more use than the grant"
        )

    def _is_known(self, record: JournalRecord) -> bool:
        digest = make_digest(self._row.account, record.request_key)
        return digest in self._digests or self._is_charged(digest)

    def _list_open(
        self, settled_sequence: int, known: frozenset[int]
    ) -> list[JournalRecord]:
        """Return records whose outcome nobody knows and that are not held yet."""
        found: list[JournalRecord] = []
        for record in self._union.records.values():
            if record.sequence <= settled_sequence or record.sequence in known:
                continue
            if record.used_tokens == 0 or record.received_from:
                continue
            if find_hold(self._row, self._grant_id, record.sequence) is not None:
                continue
            if record.given_to and self._is_given_settled(record):
                continue
            if not record.given_to and self._is_known(record):
                continue
            found.append(record)
        return found

    def _is_given_settled(self, record: JournalRecord) -> bool:
        for given in self._given:
            if is_given_settled(given, record.sequence):
                return True
        return find_grant(self._row, record.given_to) is None and (
            find_hold(self._row, record.given_to, 0) is None
        )

    def _make_hold(self, record: JournalRecord, epoch: int) -> HoldEntry:
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
