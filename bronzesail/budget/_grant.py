"""State of a grant at the router that holds it: reservations, use and transfers."""

from __future__ import annotations

import enum

import attrs

from ..schema import GrantEntry, JournalRecord, RouterId, TransferId
from ..util.invariants import InvariantError, check_invariant
from ._interfaces import Reservation, ReserveOrder

__all__ = ["Grant", "GrantRecord", "RecordState", "make_journal_record"]


class RecordState(enum.Enum):
    """State of a grant's record.

    Attributes
    ----------
    RESERVED
        Tokens are reserved for a request that was not dispatched yet.
    OPEN
        The request was dispatched to a backend server.
    CLOSED
        The request has ended and the tokens used are known.
    UNKNOWN
        The request was dispatched and its outcome is unknown.
    GIVEN
        Tokens were transferred to another grant.
    RECEIVED
        Tokens were transferred from another grant.
    """

    RESERVED = "reserved"
    OPEN = "open"
    CLOSED = "closed"
    UNKNOWN = "unknown"
    GIVEN = "given"
    RECEIVED = "received"


@attrs.define
class GrantRecord:
    """Unsettled reservation or transfer of a grant.

    Attributes
    ----------
    sequence : int
        Number of the record in the grant.
    state : RecordState
        State of the reservation or transfer.
    amount_tokens : int
        Tokens reserved or transferred.
    order : ReserveOrder or None
        Reservation of the request; None for a transfer.
    backend_server : str
        Backend server of the last dispatch.
    attempt : int
        Number of dispatches; 1 for a transfer.
    used_tokens : int
        Tokens used, once closed.
    finished_at : float
        Monotonic time at which the request ended or the tokens were transferred, in
        seconds.
    acked_by : set of RouterId
        Journal peers that acknowledged the record's last attempt.
    is_settling : bool
        Whether a transaction that settles the record is in flight.
    reason : str
        Why the outcome is unknown.
    given_to : str
        Destination grant of a given transfer.
    received_from : TransferId or None
        Identity of a received transfer.
    is_accepted : bool
        Whether a journal peer has a received transfer, so that its tokens count.
    row_version : int
        Lowest version of the row at which a received transfer can be settled.
    """

    sequence: int
    state: RecordState
    amount_tokens: int
    order: ReserveOrder | None = None
    backend_server: str = ""
    attempt: int = 0
    used_tokens: int = 0
    finished_at: float = 0.0
    acked_by: set[RouterId] = attrs.field(factory=set)
    is_settling: bool = False
    reason: str = ""
    given_to: str = ""
    received_from: TransferId | None = None
    is_accepted: bool = False
    row_version: int = 0

    @property
    def committed_tokens(self) -> int:
        """Tokens of the grant that the record occupies."""
        if self.state is RecordState.RECEIVED:
            return 0
        if self.state is RecordState.CLOSED:
            return self.used_tokens
        return self.amount_tokens

    @property
    def is_journaled(self) -> bool:
        """Whether journal peers must keep a copy until the record is settled."""
        return self.state is not RecordState.RESERVED and self.attempt > 0

    def require_order(self) -> ReserveOrder:
        """Return the reservation that the record was made for.

        Raises
        ------
        InvariantError
            If the record is a transfer.
        """
        if self.order is None:
            raise InvariantError("a transfer has no reservation")
        return self.order


def make_journal_record(record: GrantRecord) -> JournalRecord:
    """Convert a record to the form sent to journal peers."""
    is_closed = record.state is RecordState.CLOSED
    order = record.order
    transfer = record.received_from
    return JournalRecord(
        sequence=record.sequence,
        attempt=record.attempt,
        amount_tokens=record.amount_tokens,
        used_tokens=record.used_tokens if is_closed else -1,
        request_key=order.request_key if order else "",
        service=order.service if order else "",
        backend_server=record.backend_server,
        given_to=record.given_to,
        received_from=transfer.grant_id if transfer else "",
        giver_sequence=transfer.sequence if transfer else 0,
    )


class Grant:
    """Tokens of a budget that a router may spend without calling the table service.

    Parameters
    ----------
    account : str
        Client account.
    budget : str
        Name of the budget.
    entry : GrantEntry
        The grant's entry in the last committed row.

    Attributes
    ----------
    records : dict of int to GrantRecord
        Unsettled records by sequence number.
    received_ids : set of TransferId
        Transfers received so far; an offer that arrives again is ignored.
    withheld_tokens : int
        Tokens that a transaction in flight returns to the budget; they cannot be
        reserved, since the transaction may have been committed.
    """

    def __init__(self, account: str, budget: str, entry: GrantEntry) -> None:
        self.account = account
        self.budget = budget
        self.entry = entry
        self.records: dict[int, GrantRecord] = {}
        self.received_ids: set[TransferId] = set(entry.received_transfers)
        self.withheld_tokens = 0
        self._next_sequence = entry.settled_sequence + 1
        self._committed_tokens = 0
        self._incoming_tokens = 0

    @property
    def committed_tokens(self) -> int:
        """Tokens of reservations, given transfers and unsettled use."""
        return self._committed_tokens

    @property
    def incoming_tokens(self) -> int:
        """Tokens of accepted transfers that the row does not include yet."""
        return self._incoming_tokens

    @property
    def available_tokens(self) -> int:
        """Tokens that can be reserved now."""
        supply = self.entry.amount_tokens + self._incoming_tokens
        return supply - self._committed_tokens - self.withheld_tokens

    @property
    def transferable_tokens(self) -> int:
        """Tokens that can be transferred to another grant.

        Received tokens are excluded until the row includes them. The grant's entry
        thus covers every given transfer, and no transfer has to wait for the
        settlement of another.
        """
        return max(0, self.available_tokens - self._incoming_tokens)

    @property
    def settled_sequence(self) -> int:
        """Highest sequence number up to which every record is settled."""
        return min(self.records, default=self._next_sequence) - 1

    def reserve(self, order: ReserveOrder) -> Reservation | None:
        """Reserve tokens for a request.

        Parameters
        ----------
        order : ReserveOrder
            Request and number of tokens.

        Returns
        -------
        Reservation or None
            The reservation; None if the grant has too few tokens available.
        """
        if order.amount_tokens > self.available_tokens:
            return None
        record = self._add(RecordState.RESERVED, order.amount_tokens)
        record.order = order
        self.check()
        return Reservation(
            order, self.entry.grant_id, self.entry.epoch, record.sequence
        )

    def open(self, sequence: int, backend_server: str) -> GrantRecord:
        """Mark a reservation as dispatched, before the dispatch is journaled.

        Acknowledgements of an earlier attempt are discarded: they don't cover this
        dispatch.

        Parameters
        ----------
        sequence : int
            Number of the reservation.
        backend_server : str
            Backend server that will run the request.

        Returns
        -------
        GrantRecord
            The record to journal.
        """
        record = self.records[sequence]
        check_invariant(
            record.state in (RecordState.RESERVED, RecordState.OPEN),
            "only an unfinished reservation may be dispatched",
        )
        record.state = RecordState.OPEN
        record.backend_server = backend_server
        record.attempt += 1
        record.acked_by.clear()
        return record

    def close(self, sequence: int, used_tokens: int, now: float) -> GrantRecord | None:
        """Close a reservation with the tokens used and release the rest.

        Parameters
        ----------
        sequence : int
            Number of the reservation.
        used_tokens : int
            Tokens used; limited to the tokens reserved.
        now : float
            Monotonic time, in seconds.

        Returns
        -------
        GrantRecord or None
            The record to journal; None if it was never dispatched, is closed or is
            being settled.
        """
        record = self.records.get(sequence)
        if record is None or record.is_settling or record.state is RecordState.CLOSED:
            return None
        if record.attempt == 0:
            self.drop(sequence)
            return None
        self._committed_tokens -= record.committed_tokens
        record.state = RecordState.CLOSED
        record.used_tokens = min(max(used_tokens, 0), record.amount_tokens)
        record.finished_at = now
        self._committed_tokens += record.committed_tokens
        self.check()
        return record

    def keep_open(self, sequence: int, reason: str, now: float) -> GrantRecord | None:
        """Mark the outcome of a dispatch as unknown.

        Parameters
        ----------
        sequence : int
            Number of the reservation.
        reason : str
            Cause, one sentence for the operator.
        now : float
            Monotonic time, in seconds.

        Returns
        -------
        GrantRecord or None
            The record; None if it was not open.
        """
        record = self.records.get(sequence)
        if record is None or record.state is not RecordState.OPEN:
            return None
        record.state = RecordState.UNKNOWN
        record.reason = reason
        record.finished_at = now
        return record

    def transfer_out(
        self, amount_tokens: int, given_to: str, now: float
    ) -> GrantRecord:
        """Transfer tokens to another grant.

        Parameters
        ----------
        amount_tokens : int
            Tokens to transfer; at most `transferable_tokens`.
        given_to : str
            Identity of the destination grant.
        now : float
            Monotonic time, in seconds.

        Returns
        -------
        GrantRecord
            Record to journal before the offer is sent.
        """
        check_invariant(
            amount_tokens <= self.transferable_tokens,
            "I2: a transfer must not exceed the transferable tokens",
        )
        record = self._add(RecordState.GIVEN, amount_tokens)
        record.given_to = given_to
        record.attempt = 1
        record.finished_at = now
        self.check()
        return record

    def receive(
        self, transfer: TransferId, amount_tokens: int, row_version: int, now: float
    ) -> GrantRecord | None:
        """Record a transfer from another grant; `accept` makes its tokens available.

        Parameters
        ----------
        transfer : TransferId
            Identity of the transfer.
        amount_tokens : int
            Tokens transferred.
        row_version : int
            Lowest version of the row whose entry of the source grant covers them.
        now : float
            Monotonic time, in seconds.

        Returns
        -------
        GrantRecord or None
            Record to journal before `accept`; None for a duplicate of an offer.
        """
        if transfer in self.received_ids:
            return None
        self.received_ids.add(transfer)
        record = self._add(RecordState.RECEIVED, amount_tokens)
        record.received_from = transfer
        record.row_version = row_version
        record.attempt = 1
        record.finished_at = now
        return record

    def accept(self, sequence: int) -> None:
        """Make the tokens of a received transfer available, once it is journaled."""
        record = self.records.get(sequence)
        if record is None or record.state is not RecordState.RECEIVED:
            return
        if record.is_accepted:
            return
        record.is_accepted = True
        self._incoming_tokens += record.amount_tokens

    def drop(self, sequence: int) -> None:
        """Remove a record that is settled or was never dispatched."""
        record = self.records.pop(sequence)
        self._committed_tokens -= record.committed_tokens
        if record.is_accepted:
            self._incoming_tokens -= record.amount_tokens

    def check(self) -> None:
        """Check that the committed tokens don't exceed the grant (I2).

        Raises
        ------
        InvariantError
            If they do.
        """
        supply = self.entry.amount_tokens + self._incoming_tokens
        check_invariant(
            self._committed_tokens <= supply,
            "I2: committed tokens must fit in the grant",
        )

    def _add(self, state: RecordState, amount_tokens: int) -> GrantRecord:
        record = GrantRecord(self._next_sequence, state, amount_tokens)
        self._next_sequence += 1
        self.records[record.sequence] = record
        self._committed_tokens += record.committed_tokens
        return record
