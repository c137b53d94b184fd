"""State machine that brings one engine to its wanted setup, without any I/O.

The caller executes the action that `decide` returns and reports the result through
the `note_` methods. Several routers may run a state machine for the same backend
server: only the holder of the lease in the order row may send orders.
"""

from __future__ import annotations

import math

import attrs

from ..schema import EngineSetup, OrderRow
from ..util.invariants import check_invariant
from ._actions import (
    Action,
    EngineOrder,
    OrderOutcome,
    OrderTiming,
    ReadRow,
    ReadSetup,
    ReserveLoad,
    SendOrder,
    Wait,
    WriteRow,
)
from ._rows import (
    confirm_order,
    find_difference,
    is_load,
    release_lease,
    take_lease,
)

__all__ = ["OrderCore"]

# Delay before another try after a write that failed or an order that was not sent.
ACTION_RETRY_DELAY_S = 1.0
# Monotonic time of an event that has not happened.
NEVER = -math.inf


@attrs.frozen
class _LeaseKey:
    """Lease fields of the order row.

    They change whenever a holder writes or renews its lease, but not when an operator
    places an order.
    """

    holder: str
    fence: int
    attempt: int


class OrderCore:
    """Brings one engine to the setup that its order row asks for.

    The core acquires the lease, reads the engine's setup, sends one order at a time
    until the setup matches, then confirms the operator's order and releases the lease.
    An order is sent only while the lease is held with certainty, and after any earlier
    order has taken effect or can no longer do so. An engine that checks fencing numbers
    rejects the orders of earlier holders itself; with such an engine, that wait comes
    before the confirmation instead.

    Parameters
    ----------
    backend : str
        Name of the backend server.
    holder : str
        Identity of this core in the lease; must not be reused by another core, not
        even after a restart.
    checks_fencing : bool
        Whether the engine rejects orders whose fencing number is lower than the
        highest one it has seen.
    timing : OrderTiming
        Durations of leases and orders.
    """

    def __init__(
        self, backend: str, holder: str, checks_fencing: bool, timing: OrderTiming
    ) -> None:
        self.backend = backend
        self.holder = holder
        self._checks_fencing = checks_fencing
        self.timing = timing
        self._row: OrderRow | None = None
        self._version = 0
        self._row_read_at = NEVER
        self._lease_key = _LeaseKey("", 0, 0)
        self._lease_key_since = NEVER
        self._attempt = 0
        self._lease_started_at = NEVER
        self._write: WriteRow | None = None
        self._min_fence = 0
        self._setup = EngineSetup()
        self._setup_asked_at = NEVER
        self._setup_needed_after = NEVER
        self._pending: EngineOrder | None = None
        self._is_taking_over = False
        self._in_flight_until = NEVER
        self._has_unknown_order = False
        self._load_at: float | None = None
        self._retry_at = NEVER

    @property
    def row(self) -> OrderRow | None:
        """Order row as last read or written; None if it must be read again."""
        return self._row

    @property
    def has_unfinished_work(self) -> bool:
        """Whether the core must keep running after its router lost the ownership.

        This is so while the row is unknown, an order is in flight or this core is
        the holder named in the row.
        """
        if self._row is None or self._pending is not None:
            return True
        return self._row.holder == self.holder

    def holds(self, now: float) -> bool:
        """Return whether this core certainly holds an unexpired lease.

        Parameters
        ----------
        now : float
            Current monotonic time, in seconds.

        Returns
        -------
        bool
            True only while no other core may send an order.
        """
        row = self._row
        if row is None or row.holder != self.holder:
            return False
        return row.attempt == self._attempt and now < self._lease_end

    def decide(self, now: float) -> Action:
        """Return the next action.

        Parameters
        ----------
        now : float
            Current monotonic time, in seconds.

        Returns
        -------
        Action
            Action for the caller to execute before it calls this method again.
        """
        if self._row is None or now >= self._next_read_at:
            return ReadRow()
        if now < self._retry_at:
            return self._wait(self._retry_at)
        if self._row.number == 0:
            return self._wait(self._next_read_at)
        if self._pending is not None:
            return self._renew_or_wait(now, self._next_read_at)
        if self._row.holder not in ("", self.holder):
            return self._wait_for_lease_expiry(now)
        if self._must_wait_for_in_flight_order(now):
            return self._renew_or_wait(now, self._in_flight_until)
        if not self._is_setup_current(now):
            return ReadSetup()
        order = find_difference(self._row.wanted, self._setup, self._row.fence)
        if order is None:
            return self._confirm_or_release(now)
        return self._prepare_order(order, now)

    def note_row(self, row: OrderRow | None, version: int, now: float) -> None:
        """Record the order row that a read or a rejected write returned.

        Parameters
        ----------
        row : OrderRow or None
            Content of the row; None if the row does not exist.
        version : int
            Version of the row.
        now : float
            Current monotonic time, in seconds.
        """
        row = row or OrderRow(self.backend, wanted=EngineSetup())
        is_own = self._write is not None and self._write.row == row
        self._write = None
        self._row = row
        self._version = version
        self._row_read_at = now
        self._min_fence = max(self._min_fence, row.fence)
        key = _LeaseKey(row.holder, row.fence, row.attempt)
        if key != self._lease_key:
            self._lease_key = key
            self._lease_key_since = now
            if not is_own:
                self._setup_needed_after = now
        self._note_lease_change(now)

    def note_committed(self, now: float) -> None:
        """Record that the requested write was committed.

        Parameters
        ----------
        now : float
            Current monotonic time, in seconds.
        """
        write = self._write
        check_invariant(write is not None, "a commit follows a pending write")
        assert write is not None
        self.note_row(write.row, write.expected_version + 1, now)

    def note_write_failed(self, now: float) -> None:
        """Record that the requested write has failed without any effect.

        Parameters
        ----------
        now : float
            Current monotonic time, in seconds.
        """
        self._write = None
        self._retry_at = now + ACTION_RETRY_DELAY_S

    def note_write_unknown(self) -> None:
        """Record that the requested write may have been committed, or still may be.

        No order is sent until another write has been committed: this changes the
        row's version, so that the delayed write is then rejected.
        """
        self._lease_started_at = NEVER
        self._row = None

    def note_setup(self, setup: EngineSetup, asked_at: float) -> None:
        """Record the setup that the engine reported.

        Parameters
        ----------
        setup : EngineSetup
            Setup of the engine.
        asked_at : float
            Monotonic time at which the request was sent, in seconds.
        """
        self._setup = setup
        self._setup_asked_at = asked_at

    def note_load_reserved(self, start_at: float) -> None:
        """Record the reserved start time of a load from the weight store.

        Parameters
        ----------
        start_at : float
            Monotonic time from which the load may start, in seconds.
        """
        self._load_at = start_at

    def note_order(self, outcome: OrderOutcome, now: float, fence: int = 0) -> None:
        """Record the outcome of the pending order.

        After a refusal the lease is written again, with a fencing number above the
        one that the engine reported. After an unknown outcome the order may still
        take effect for up to `OrderTiming.in_flight_s`.

        Parameters
        ----------
        outcome : OrderOutcome
            Outcome of the order.
        now : float
            Current monotonic time, in seconds.
        fence : int
            Highest fencing number that the engine has seen; 0 if not reported.
        """
        check_invariant(self._pending is not None, "an outcome follows a pending order")
        self._pending = None
        self._setup_needed_after = now
        if outcome is OrderOutcome.NOT_SENT:
            self._retry_at = now + ACTION_RETRY_DELAY_S
        if outcome is OrderOutcome.UNKNOWN:
            self._has_unknown_order = True
            self._in_flight_until = max(
                self._in_flight_until, now + self.timing.in_flight_s
            )
        if outcome is OrderOutcome.REFUSED:
            self._min_fence = max(self._min_fence, fence + 1)
            self._lease_started_at = NEVER
            self._row = None

    @property
    def _lease_end(self) -> float:
        # Counted from before the write, so that it is not later than the time at which
        # another core, which counts from when it read the row, takes the lease over.
        return self._lease_started_at + self.timing.lease_s

    @property
    def _next_read_at(self) -> float:
        return self._row_read_at + self.timing.check_interval_s

    def _wait(self, until: float) -> Wait:
        return Wait(min(until, self._next_read_at))

    def _note_lease_change(self, now: float) -> None:
        """Start the wait for the previous holder's order once the lease is taken over.

        The expired holder may have sent an order at the end of its lease.
        """
        assert self._row is not None
        # A released row needs no wait: its holder had no order in flight any more.
        if self._row.holder == "":
            self._is_taking_over = False
        if self._row.holder == self.holder and self._is_taking_over:
            self._is_taking_over = False
            self._in_flight_until = now + self.timing.in_flight_s

    def _must_wait_for_in_flight_order(self, now: float) -> bool:
        """Return whether an earlier order in flight forbids the next step.

        An engine that checks fencing numbers rejects a late order of a former holder,
        but not one of this core whose outcome is unknown.
        """
        if now >= self._in_flight_until:
            self._has_unknown_order = False
            return False
        return self._has_unknown_order or not self._checks_fencing

    def _is_setup_current(self, now: float) -> bool:
        """Return whether the setup was read recently and after the last change."""
        oldest = max(self._setup_needed_after, now - self.timing.check_interval_s)
        return self._setup_asked_at >= oldest

    def _is_renewal_due(self, now: float) -> bool:
        """Return whether the lease is not held or at least half of it is over."""
        return not self.holds(now) or now >= self._lease_end - self.timing.lease_s / 2

    def _wait_for_lease_expiry(self, now: float) -> Action:
        """Wait for another holder's lease to expire, then write an own lease."""
        expires_at = self._lease_key_since + self.timing.lease_expiry_s
        if now < expires_at:
            return self._wait(expires_at)
        self._is_taking_over = True
        return self._write_lease(now)

    def _renew_or_wait(self, now: float, until: float) -> Action:
        """Wait until a given time; as the holder, renew the lease when it is due."""
        assert self._row is not None
        if self._row.holder != self.holder:
            return self._wait(until)
        if self._is_renewal_due(now):
            return self._write_lease(now)
        return self._wait(min(until, self._lease_end - self.timing.lease_s / 2))

    def _confirm_or_release(self, now: float) -> Action:
        """Return the action for an engine whose setup matches the wanted one.

        The holder confirms the order and releases the lease in one write, but only
        after a setup read at a time when no earlier order could still change it.
        """
        assert self._row is not None
        self._load_at = None
        if self._row.holder == self.holder:
            if now < self._in_flight_until:
                return self._renew_or_wait(now, self._in_flight_until)
            if self._setup_asked_at < self._in_flight_until:
                return ReadSetup()
            return self._begin_write(release_lease(self._row))
        if self._row.confirmed_number < self._row.number:
            return self._begin_write(confirm_order(self._row))
        return self._wait(self._setup_asked_at + self.timing.check_interval_s)

    def _prepare_order(self, order: EngineOrder, now: float) -> Action:
        """Return the next action towards sending an order.

        A load first needs a reserved start time, and every order needs a lease that is
        not yet due for renewal.
        """
        if is_load(order) and self._load_at is None:
            return ReserveLoad()
        if is_load(order) and self._load_at is not None and now < self._load_at:
            return self._renew_or_wait(now, self._load_at)
        if self._is_renewal_due(now):
            return self._write_lease(now)
        return self._start_order(order, now)

    def _start_order(self, order: EngineOrder, now: float) -> SendOrder:
        """Mark an order as pending and return the action that sends it."""
        check_invariant(self.holds(now), "an order is sent under a valid lease")
        check_invariant(
            order.fence >= self._min_fence, "a fencing number never decreases"
        )
        self._pending = order
        self._load_at = None
        return SendOrder(order, self._lease_end - self.timing.send_margin_s)

    def _write_lease(self, now: float) -> WriteRow:
        """Return the write that acquires or renews the lease."""
        assert self._row is not None
        self._attempt += 1
        self._lease_started_at = now
        row = take_lease(self._row, self.holder, self._attempt, self._min_fence)
        return self._begin_write(row)

    def _begin_write(self, row: OrderRow) -> WriteRow:
        assert self._row is not None
        check_invariant(
            row.fence >= self._row.fence, "a fencing number never decreases"
        )
        self._write = WriteRow(row, self._version)
        return self._write
