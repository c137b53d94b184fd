"""Settles the finished records of a grant in one transaction on the budget's row."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from ..schema import BudgetRow, HoldEntry, TransferId
from ..util.invariants import InvariantError
from ._escrow import add_hold, charge, put_grant, require_grant
from ._grant import Grant, GrantRecord, RecordState
from ._ledger import Charge, make_digest
from ._transfers import settle_given, settle_received

if TYPE_CHECKING:
    from ._plans import PlanContext

__all__ = ["Settlement"]


class Settlement:
    """Settlement of a grant's records, applied to a copy of the budget's row.

    Parameters
    ----------
    row : BudgetRow
        Row to start from; it has an entry of the grant.
    row_version : int
        Version of the row.
    grant : Grant
        Grant whose records are settled; not changed.
    context : PlanContext
        Inputs of the plan.

    Attributes
    ----------
    row : BudgetRow
        Row after the settlement.
    charges : list of Charge
        Charges to append to the ledger.
    finished : list of int
        Sequence numbers of the settled records.
    released_tokens : int
        Committed tokens of the settled records.
    received_tokens : int
        Tokens of the settled transfers that the grant had accepted.
    is_stale : bool
        Whether a transfer needs a newer version of the row.
    """

    def __init__(
        self, row: BudgetRow, row_version: int, grant: Grant, context: PlanContext
    ) -> None:
        self.row = row
        self._row_version = row_version
        self.charges: list[Charge] = []
        self.finished: list[int] = []
        self.released_tokens = 0
        self.received_tokens = 0
        self.is_stale = False
        self._grant = grant
        self._context = context
        self._digests: set[bytes] = set()
        self._entry_tokens = 0
        self._given_tokens = 0
        self._charged_tokens = 0

    def settle_all(self, account: str) -> None:
        """Settle every record that can be settled.

        Transfers come before charges: the grant's entry must cover the given transfers
        that remain, and charges and holds take only what it has beyond them.
        """
        records = self._grant.records.values()
        for record in records:
            if record.state is RecordState.RECEIVED:
                self._settle_received(record)
        for record in records:
            if record.state is RecordState.GIVEN:
                self._settle_given(record)
        entry = require_grant(self.row, self._grant.entry.grant_id)
        self._entry_tokens = entry.amount_tokens
        self._given_tokens = self.count_given_tokens()
        for record in records:
            if record.state is RecordState.CLOSED:
                self._settle_closed(account, record)
            if record.state is RecordState.UNKNOWN:
                self._hold(record)
        entry = attrs.evolve(entry, amount_tokens=self._entry_tokens)
        self.row = charge(put_grant(self.row, entry), self._charged_tokens)

    def count_given_tokens(self) -> int:
        """Return the tokens of given transfers that are not settled yet."""
        done = set(self.finished)
        return sum(
            record.amount_tokens
            for record in self._grant.records.values()
            if record.state is RecordState.GIVEN and record.sequence not in done
        )

    def find_settled_sequence(self) -> int:
        """Return the highest sequence number up to which every record is settled."""
        done = set(self.finished)
        left = [sequence for sequence in self._grant.records if sequence not in done]
        if not left:
            return max(self._grant.records, default=self._grant.settled_sequence)
        return min(left) - 1

    def _settle_closed(self, account: str, record: GrantRecord) -> None:
        """Charge the tokens used, unless the request key was charged before.

        A record stays if the ledger's page is full or the entry can't cover the charge.
        """
        order = record.require_order()
        digest = make_digest(account, order.request_key)
        is_known = digest in self._digests or self._context.is_charged(digest)
        if record.used_tokens > 0 and not is_known:
            if len(self.charges) >= self._context.free_page_lines:
                return
            if not self._is_covered(record.used_tokens):
                return
            self._digests.add(digest)
            self.charges.append(Charge(digest, record.used_tokens))
            self._lower_entry(record.used_tokens)
            self._charged_tokens += record.used_tokens
        self._finish(record)

    def _hold(self, record: GrantRecord) -> None:
        """Turn a record with unknown outcome into a hold of the row."""
        order = record.require_order()
        if not self._is_covered(record.amount_tokens):
            return
        self._lower_entry(record.amount_tokens)
        self.row = add_hold(
            self.row,
            HoldEntry(
                grant_id=self._grant.entry.grant_id,
                sequence=record.sequence,
                amount_tokens=record.amount_tokens,
                request_key=order.request_key,
                service=order.service,
                backend_server=record.backend_server,
                reason=record.reason,
                epoch=self._grant.entry.epoch,
                reserved_tokens=record.amount_tokens,
            ),
        )
        self._finish(record)

    def _settle_given(self, record: GrantRecord) -> None:
        """Settle a transfer to another grant, unless its outcome is unknown."""
        transfer = TransferId(self._grant.entry.grant_id, record.sequence)
        self.row, is_settled = settle_given(
            self.row, transfer, record.given_to, record.amount_tokens
        )
        if is_settled:
            self._finish(record)

    def _settle_received(self, record: GrantRecord) -> None:
        """Settle a received transfer if the row is new enough."""
        transfer = record.received_from
        if transfer is None:
            raise InvariantError("a received record must have a transfer identity")
        if self._row_version < record.row_version:
            self.is_stale = True
            return
        self.row = settle_received(
            self.row, transfer, self._grant.entry.grant_id, record.amount_tokens
        )
        if record.is_accepted:
            self.received_tokens += record.amount_tokens
        self._finish(record)

    def _is_covered(self, tokens: int) -> bool:
        """Return whether the entry covers an amount besides the unsettled transfers."""
        return self._entry_tokens - tokens >= self._given_tokens

    def _lower_entry(self, tokens: int) -> None:
        self._entry_tokens -= tokens

    def _finish(self, record: GrantRecord) -> None:
        self.finished.append(record.sequence)
        self.released_tokens += record.committed_tokens
