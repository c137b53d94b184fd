"""Tests of `OrderCore`.

A stateful test runs two cores against one engine, with paused hosts, failed, lost and
delayed writes, delayed orders and restarts of hosts and of the engine.
"""

from __future__ import annotations

import copy
import itertools
from typing import Any

import attrs
import hypothesis.strategies as st
import pytest
from hypothesis import settings
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from bronzesail.orders import (
    EngineOrder,
    OrderCore,
    OrderOutcome,
    OrderTiming,
    ReadRow,
    ReadSetup,
    ReserveLoad,
    SendOrder,
    Wait,
    WriteRow,
    place_order,
)
from bronzesail.schema import EngineSetup, OrderRow

TIMING = OrderTiming(lease_s=10.0, longest_order_s=20.0, check_interval_s=5.0)
NAMES = st.sampled_from(["a", "b", "c"])
FIELD_BY_ACTION = {
    "load-model": "model",
    "load-version": "version",
    "load-adapter": "adapter",
    "change-role": "role",
}


@attrs.define
class Engine:
    """Model of an engine that applies an order some time after receiving it."""

    checks_fencing: bool
    setup: EngineSetup = attrs.field(factory=EngineSetup)
    highest_fence: int = 0
    has_restarted: bool = False
    in_flight: list[tuple[float, EngineOrder]] = attrs.field(factory=list)

    def receive(self, order: EngineOrder, done_at: float) -> bool:
        if self.checks_fencing and order.fence < self.highest_fence:
            return False
        self.highest_fence = max(self.highest_fence, order.fence)
        self.in_flight.append((done_at, order))
        return True

    def advance(self, now: float) -> None:
        for done_at, order in sorted(self.in_flight, key=lambda item: item[0]):
            if done_at <= now:
                field = FIELD_BY_ACTION[order.action]
                self.setup = attrs.evolve(self.setup, **{field: order.argument})
        self.in_flight = [item for item in self.in_flight if item[0] > now]


@attrs.define
class Host:
    """Core of one router, with its pending order.

    A paused host with an order but no `order_done_at` has not sent the order yet.
    """

    core: OrderCore
    is_paused: bool = False
    order: SendOrder | None = None
    order_done_at: float | None = None


@attrs.frozen
class HostRun:
    """Steps of one host up to an action of a given kind, and that action's outcome.

    The kind "release" stands for the write that releases the lease. The outcome is
    "ok"; "lost" if the answer is lost; "failed" if the action has no effect; or "late"
    if a write or an order is delayed until a later step.
    """

    index: int
    kind: str
    outcome: str
    order_s: float

    def stops_at(self, action: Any) -> bool:
        if self.kind == "release":
            return isinstance(action, WriteRow) and not action.row.holder
        return type(action).__name__ == self.kind


RUNS = st.builds(
    HostRun,
    index=st.integers(0, 1),
    kind=st.sampled_from(["ReadSetup", "WriteRow", "SendOrder", "Wait", "release"]),
    outcome=st.sampled_from(["ok", "lost", "failed", "late"]),
    order_s=st.sampled_from([0.0, 1.0, 19.0]),
)


class Holders(RuleBasedStateMachine):
    """Two hosts that compete for the lease of one engine.

    `has_order_past_lease` is set when a host that was paused just before sending sends
    an order after its lease has ended. No lease can prevent this, so exclusive orders
    and correct confirmations are then no longer asserted.
    """

    checks_fencing = False

    def __init__(self) -> None:
        super().__init__()
        self.now = 0.0
        self.row: OrderRow | None = None
        self.version = 0
        self.late_writes: list[WriteRow] = []
        self.late_orders: list[EngineOrder] = []
        self.has_order_past_lease = False
        self.engine = Engine(self.checks_fencing)
        self.host_numbers = itertools.count(1)
        self.hosts = [self.make_host() for _ in range(2)]

    def make_host(self) -> Host:
        name = f"router-{next(self.host_numbers)}"
        return Host(OrderCore("e", name, self.checks_fencing, TIMING))

    def commit(self, write: WriteRow) -> bool:
        if write.expected_version != self.version:
            return False
        assert self.row is None or write.row.fence >= self.row.fence
        self.check_confirmation(write.row)
        self.row = write.row
        self.version += 1
        return True

    def check_confirmation(self, row: OrderRow) -> None:
        is_new = self.row is None or row.confirmed_number > self.row.confirmed_number
        if not is_new or row.confirmed_number == 0 or self.has_order_past_lease:
            return
        assert not self.engine.in_flight
        assert self.engine.setup == row.wanted or self.engine.has_restarted

    @rule(model=NAMES, role=NAMES)
    def place(self, model: str, role: str) -> None:
        row = self.row or OrderRow("e", wanted=EngineSetup())
        self.row = place_order(row, EngineSetup(model, role=role), "operator")
        self.version += 1

    @rule(run=RUNS)
    def run_host(self, run: HostRun) -> None:
        self.run(run)

    @rule(run=RUNS)
    def run_host_again(self, run: HostRun) -> None:
        self.run(run)

    def run(self, run: HostRun) -> None:
        """Run a host up to an action of the given kind; that gets the given outcome."""
        host = self.hosts[run.index]
        for _ in range(20):
            if host.is_paused:
                return
            action = copy.deepcopy(host.core).decide(self.now)
            is_last = run.stops_at(action)
            action = self.step(host, run.outcome if is_last else "ok", run.order_s)
            if is_last:
                return
            if isinstance(action, Wait):
                self.advance(max(0.0, action.until - self.now))

    def step(self, host: Host, outcome: str, order_s: float) -> Any:
        core = host.core
        if host.order_done_at is not None and self.now >= host.order_done_at:
            host.order = host.order_done_at = None
            core.note_order(OrderOutcome.DONE, self.now)
        action = core.decide(self.now)
        if isinstance(action, ReadRow) and outcome != "failed":
            core.note_row(self.row, self.version, self.now)
        elif isinstance(action, ReadSetup) and outcome != "failed":
            core.note_setup(self.engine.setup, self.now)
        elif isinstance(action, ReserveLoad):
            core.note_load_reserved(self.now)
        elif isinstance(action, WriteRow):
            self.write(core, action, outcome)
        elif isinstance(action, SendOrder):
            self.start_order(host, action, outcome, order_s)
        return action

    def write(self, core: OrderCore, action: WriteRow, outcome: str) -> None:
        if outcome == "failed":
            core.note_write_failed(self.now)
        elif outcome == "late":
            self.late_writes.append(action)
            core.note_write_unknown()
        elif self.commit(action):
            if outcome == "lost":
                core.note_write_unknown()
            else:
                core.note_committed(self.now)
        else:
            core.note_row(self.row, self.version, self.now)

    def start_order(
        self, host: Host, action: SendOrder, outcome: str, order_s: float
    ) -> None:
        host.order = action
        if outcome == "failed":
            host.order = None
            host.core.note_order(OrderOutcome.NOT_SENT, self.now)
            return
        if outcome == "late":
            # The process is paused between its last check of the time and the send.
            host.is_paused = True
            return
        self.send(host, order_s)
        if outcome == "lost" and host.order is not None:
            host.order = host.order_done_at = None
            host.core.note_order(OrderOutcome.UNKNOWN, self.now)

    def send(self, host: Host, order_s: float) -> None:
        assert host.order is not None
        order = host.order.order
        if self.now > host.order.valid_until + TIMING.send_margin_s:
            self.has_order_past_lease = True
        if not self.engine.receive(order, self.now + order_s):
            host.order = None
            fence = self.engine.highest_fence
            host.core.note_order(OrderOutcome.REFUSED, self.now, fence)
            return
        host.order_done_at = self.now + order_s

    @rule(
        kind=st.sampled_from(["advance", "pause", "resume", "replace", "late", "boot"]),
        index=st.integers(0, 1),
        seconds=st.sampled_from([0.5, 2.0, 5.0, 11.0, 21.0]),
    )
    def inject_fault(self, kind: str, index: int, seconds: float) -> None:
        if kind == "advance":
            self.advance(seconds)
        elif kind == "pause":
            self.hosts[index].is_paused = True
        elif kind == "resume":
            self.resume(index, seconds)
        elif kind == "replace":
            self.hosts[index] = self.make_host()
        elif kind == "late" and self.late_writes:
            self.commit(self.late_writes.pop(0))
        elif kind == "boot":
            self.engine = Engine(self.checks_fencing, has_restarted=True)

    def advance(self, seconds: float) -> None:
        self.now += seconds
        self.engine.advance(self.now)

    def resume(self, index: int, order_s: float) -> None:
        host = self.hosts[index]
        host.is_paused = False
        if host.order is not None and host.order_done_at is None:
            self.send(host, min(order_s, 19.0))

    @invariant()
    def at_most_one_holds(self) -> None:
        assert sum(host.core.holds(self.now) for host in self.hosts) <= 1

    @invariant()
    def orders_of_two_holders_never_overlap(self) -> None:
        if self.checks_fencing or self.has_order_past_lease:
            return
        assert len({order.fence for _, order in self.engine.in_flight}) <= 1

    def teardown(self) -> None:
        self.late_writes.clear()
        for index in range(2):
            self.resume(index, 1.0)
        for _ in range(2000):
            if self.is_settled():
                break
            for host in self.hosts:
                action = self.step(host, "ok", 1.0)
                while not isinstance(action, Wait):
                    action = self.step(host, "ok", 1.0)
            self.advance(1.0)
        assert self.is_settled()

    def is_settled(self) -> bool:
        if self.row is None or self.row.number == 0:
            return True
        if self.row.holder or self.row.confirmed_number != self.row.number:
            return False
        if self.engine.in_flight:
            return False
        setup = self.engine.setup
        wanted = self.row.wanted
        return (setup.model, setup.role) == (wanted.model, wanted.role)


class CheckedHolders(Holders):
    checks_fencing = True


SETTINGS = settings(max_examples=100, stateful_step_count=30)
TestHolders = Holders.TestCase
TestHolders.settings = SETTINGS
TestCheckedHolders = CheckedHolders.TestCase
TestCheckedHolders.settings = SETTINGS


@pytest.mark.parametrize("checks_fencing", [True, False])
def test_new_holder_waits_out_the_order_in_flight_unless_the_engine_checks(
    checks_fencing: bool,
) -> None:
    core = OrderCore("e", "new", checks_fencing, TIMING)
    row = OrderRow("e", EngineSetup("m"), 1, "op", 0, 4, "old", 2)
    core.note_row(row, 7, 0.0)
    assert isinstance(core.decide(4.0), Wait)
    core.note_row(row, 7, 10.2)
    write = core.decide(10.2)
    assert isinstance(write, WriteRow)
    assert (write.row.fence, write.row.holder) == (5, "new")
    core.note_committed(10.3)
    core.note_setup(EngineSetup(), 10.4)
    core.note_load_reserved(10.4)
    action = core.decide(10.5)
    assert isinstance(action, SendOrder) is checks_fencing


def test_order_is_not_valid_past_the_lease() -> None:
    core = OrderCore("e", "r", False, TIMING)
    core.note_row(OrderRow("e", EngineSetup(role="x"), 1, "op"), 1, 0.0)
    core.note_setup(EngineSetup(), 0.0)
    assert isinstance(core.decide(0.0), WriteRow)
    core.note_committed(4.0)
    action = core.decide(4.0)
    assert action == SendOrder(EngineOrder(1, "change-role", "x"), 7.0)


def make_holder(fence: int = 1) -> OrderCore:
    """Return a core that holds the lease of an engine whose role is to be changed."""
    core = OrderCore("e", "r", False, TIMING)
    row = OrderRow("e", EngineSetup(role="x"), 1, "op", fence=fence - 1)
    core.note_row(row, 1, 0.0)
    core.note_setup(EngineSetup(), 0.0)
    assert isinstance(core.decide(0.0), WriteRow)
    core.note_committed(0.0)
    return core


def test_lease_is_written_again_before_an_order_that_follows_an_unknown_write() -> None:
    core = make_holder()
    core.note_setup(EngineSetup(role="x"), 0.0)
    release = core.decide(0.0)
    assert isinstance(release, WriteRow) and not release.row.holder
    core.note_write_unknown()
    assert isinstance(core.decide(0.1), ReadRow)
    core.note_row(make_unreleased_row(release, "r"), release.expected_version, 0.2)
    core.note_setup(EngineSetup(), 0.2)
    # The release may still be committed; renewing the lease changes the row's version,
    # after which it is rejected.
    assert isinstance(core.decide(0.3), WriteRow)


def make_unreleased_row(release: WriteRow, holder: str) -> OrderRow:
    return attrs.evolve(release.row, holder=holder, attempt=1, confirmed_number=0)


def test_unknown_order_is_waited_out_before_the_next_one() -> None:
    core = make_holder()
    assert isinstance(core.decide(0.0), SendOrder)
    core.note_order(OrderOutcome.UNKNOWN, 1.0)
    core.note_setup(EngineSetup(), 1.0)
    assert isinstance(core.decide(1.0), Wait)


def test_setup_is_read_again_after_another_holder() -> None:
    core = OrderCore("e", "r", False, TIMING)
    row = OrderRow("e", EngineSetup(role="x"), 1, "op")
    core.note_row(row, 1, 0.0)
    core.note_setup(EngineSetup(), 0.0)
    assert isinstance(core.decide(0.0), WriteRow)
    other = attrs.evolve(row, fence=2, confirmed_number=1)
    core.note_row(other, 4, 0.1)
    assert isinstance(core.decide(0.1), ReadSetup)


def test_engine_that_checks_is_not_confirmed_while_an_older_order_may_end() -> None:
    core = OrderCore("e", "new", True, TIMING)
    row = OrderRow("e", EngineSetup("m"), 1, "op", 0, 4, "old", 2)
    core.note_row(row, 7, 0.0)
    core.note_row(row, 7, 10.2)
    assert isinstance(core.decide(10.2), WriteRow)
    core.note_committed(10.3)
    core.note_setup(EngineSetup("m"), 10.4)
    assert isinstance(core.decide(10.5), Wait)
