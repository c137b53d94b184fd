"""Measure orders to an engine under pauses and lost answers, against other ways.

Two routers look after one engine in virtual time; the operator places orders, routers
pause, answers are lost and orders take their time. Compared are the order core, the
same core that trusts a fencing number the engine ignores, and routers that order
without a lease.
"""

from __future__ import annotations

import itertools
import math
import random
import sys
from typing import Protocol

import attrs

from benchmarks.report import write_result
from bronzesail.orders import (
    Action,
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
N_RUNS = 200
N_ORDERS = 12
FAULTY_S = 600.0
CALM_S = 300.0
STEP_S = 0.1
ORDER_LOSS = 0.2
WRITE_LOSS = 0.1
PAUSE_CHANCES_PER_S = 0.04
MEAN_PAUSE_S = 15.0
MEAN_ORDER_GAP_S = 30.0
ROLES = ("prefill", "decode", "mixed", "draft")


class Holder(Protocol):
    """Router's part in a run."""

    def decide(self, now: float) -> Action:
        """Return the next action."""

    def note_row(self, row: OrderRow | None, version: int, now: float) -> None:
        """Learn the row."""

    def note_committed(self, now: float) -> None:
        """Learn that the write took effect."""

    def note_write_unknown(self) -> None:
        """Learn that the write may have taken effect."""

    def note_setup(self, setup: EngineSetup, asked_at: float) -> None:
        """Learn what the engine has loaded."""

    def note_load_reserved(self, start_at: float) -> None:
        """Learn from when a load may start."""

    def note_order(self, outcome: OrderOutcome, now: float, fence: int = 0) -> None:
        """Learn what became of the order."""


class UnleasedHolder:
    """Orders whenever the engine differs from the row, without a lease."""

    def __init__(self) -> None:
        self._row: OrderRow | None = None
        self._setup: EngineSetup | None = None
        self._next_at = 0.0
        self._is_pending = False

    def decide(self, now: float) -> Action:
        """Return the next action."""
        if now >= self._next_at:
            self._next_at = now + TIMING.check_interval_s
            self._setup = None
            return ReadRow()
        if self._row is None or self._row.number == 0 or self._is_pending:
            return Wait(self._next_at)
        if self._setup is None:
            return ReadSetup()
        if self._setup.role == self._row.wanted.role:
            return Wait(self._next_at)
        self._is_pending = True
        order = EngineOrder(0, "change-role", self._row.wanted.role)
        return SendOrder(order, math.inf)

    def note_row(self, row: OrderRow | None, version: int, now: float) -> None:
        """Learn the row."""
        self._row = row

    def note_committed(self, now: float) -> None:
        """Learn that the write took effect; there are none."""

    def note_write_unknown(self) -> None:
        """Learn that the write may have taken effect; there are none."""

    def note_setup(self, setup: EngineSetup, asked_at: float) -> None:
        """Learn what the engine has loaded."""
        self._setup = setup

    def note_load_reserved(self, start_at: float) -> None:
        """Learn from when a load may start; a role needs none."""

    def note_order(self, outcome: OrderOutcome, now: float, fence: int = 0) -> None:
        """Learn what became of the order."""
        self._is_pending = False
        self._setup = None


@attrs.define
class Host:
    """One router in a run."""

    holder: Holder
    ready_at: float = 0.0
    paused_until: float = 0.0
    answer_at: float = math.inf
    outcome: OrderOutcome = OrderOutcome.DONE


@attrs.define
class Tally:
    """What the runs of one way showed."""

    n_orders: int = 0
    n_followed: int = 0
    table_writes: int = 0
    engine_orders: int = 0
    undone_orders: int = 0
    false_confirmations: int = 0
    overlapping_orders: int = 0
    wrong_final_setups: int = 0
    waits_s: list[float] = attrs.field(factory=list)


class Run:
    """One run in virtual time.

    Parameters
    ----------
    way : str
        One of the keys of `WAYS`.
    seed : int
        Seed of the faults.
    tally : Tally
        Counts to add to.
    """

    def __init__(self, way: str, seed: int, tally: Tally) -> None:
        self.random = random.Random(seed)
        self.tally = tally
        self.now = 0.0
        self.is_calm = False
        self.row: OrderRow | None = None
        self.version = 0
        self.setup = EngineSetup()
        self.in_flight: list[tuple[float, int, str]] = []
        self.applied_number = 0
        self.placed_at = 0.0
        self.followed_number = 0
        self.hosts = [Host(WAYS[way](f"router-{n}")) for n in range(2)]

    def play(self) -> None:
        """Run through the faulty time and then the calm time."""
        n_left = N_ORDERS
        next_order_at = 1.0
        for index in itertools.count():
            self.now = index * STEP_S
            self.is_calm = self.now >= FAULTY_S
            if self.now >= FAULTY_S + CALM_S:
                break
            if n_left and not self.is_calm and self.now >= next_order_at:
                n_left -= 1
                next_order_at = self.now + self.random.expovariate(1 / MEAN_ORDER_GAP_S)
                self.place()
            self.advance_engine()
            for host in self.hosts:
                self.advance_host(host)
        if self.row is not None and self.setup.role != self.row.wanted.role:
            self.tally.wrong_final_setups += 1

    def place(self) -> None:
        """Let the operator ask for another role."""
        row = self.row or OrderRow("e", EngineSetup())
        roles = [role for role in ROLES if role != row.wanted.role]
        wanted = EngineSetup(role=self.random.choice(roles))
        self.row = place_order(row, wanted, "operator")
        self.version += 1
        self.placed_at = self.now
        self.tally.n_orders += 1

    def advance_engine(self) -> None:
        """Let the orders that are due take effect."""
        due = sorted(item for item in self.in_flight if item[0] <= self.now)
        self.in_flight = [item for item in self.in_flight if item[0] > self.now]
        for _, number, role in due:
            self.setup = EngineSetup(role=role)
            if number < self.applied_number:
                self.tally.undone_orders += 1
            self.applied_number = max(self.applied_number, number)
        if self.is_followed() and self.row and self.row.number > self.followed_number:
            self.followed_number = self.row.number
            self.tally.n_followed += 1
            self.tally.waits_s.append(self.now - self.placed_at)

    def is_followed(self) -> bool:
        """Tell whether the engine has the role asked for."""
        return self.row is not None and self.setup.role == self.row.wanted.role

    def advance_host(self, host: Host) -> None:
        """Let a router do what it can do now."""
        if not self.is_calm and self.random.random() < PAUSE_CHANCES_PER_S * STEP_S:
            pause_s = self.random.expovariate(1 / MEAN_PAUSE_S)
            host.paused_until = max(host.paused_until, self.now + pause_s)
        if self.now < host.paused_until:
            return
        if self.now >= host.answer_at:
            host.answer_at = math.inf
            host.holder.note_order(host.outcome, self.now)
            host.ready_at = self.now
        while self.now >= host.ready_at:
            host.ready_at = self.now + 0.05
            self.carry_out(host, host.holder.decide(self.now))

    def carry_out(self, host: Host, action: Action) -> None:
        """Carry out one action, with its faults."""
        match action:
            case Wait(until=until):
                host.ready_at = max(until, self.now + STEP_S)
            case ReadRow():
                host.holder.note_row(self.row, self.version, self.now)
            case ReadSetup():
                host.holder.note_setup(self.setup, self.now)
            case ReserveLoad():
                host.holder.note_load_reserved(self.now)
            case WriteRow():
                self.write(host, action)
            case SendOrder(order=order):
                self.give(host, order)

    def write(self, host: Host, action: WriteRow) -> None:
        """Write the row, perhaps with a lost answer."""
        self.tally.table_writes += 1
        if action.expected_version != self.version:
            host.holder.note_row(self.row, self.version, self.now)
            return
        if self.row is None or action.row.confirmed_number > self.row.confirmed_number:
            if self.in_flight or not self.is_followed():
                self.tally.false_confirmations += 1
        self.row = action.row
        self.version += 1
        if not self.is_calm and self.random.random() < WRITE_LOSS:
            host.holder.note_write_unknown()
            return
        host.holder.note_committed(self.now)

    def give(self, host: Host, order: EngineOrder) -> None:
        """Send the order, perhaps with a lost answer."""
        self.tally.engine_orders += 1
        if self.in_flight:
            self.tally.overlapping_orders += 1
        done_at = self.now + self.random.uniform(1.0, TIMING.longest_order_s - 1.0)
        number = self.row.number if self.row is not None else 0
        self.in_flight.append((done_at, number, order.argument))
        is_lost = not self.is_calm and self.random.random() < ORDER_LOSS
        host.outcome = OrderOutcome.UNKNOWN if is_lost else OrderOutcome.DONE
        host.answer_at = self.now + 1.0 if is_lost else done_at


def make_careful(holder: str) -> Holder:
    """Return a core that knows that the engine ignores fencing numbers."""
    return OrderCore("e", holder, False, TIMING)


def make_trusting(holder: str) -> Holder:
    """Return a core that trusts the engine to check fencing numbers."""
    return OrderCore("e", holder, True, TIMING)


def make_unleased(holder: str) -> Holder:
    """Return a holder that takes no lease."""
    return UnleasedHolder()


WAYS = {
    "bronzesail": make_careful,
    "fencing_number_ignored": make_trusting,
    "no_lease": make_unleased,
}


def measure(way: str) -> dict[str, float]:
    """Return the figures of one way over all runs."""
    tally = Tally()
    for seed in range(N_RUNS):
        Run(way, seed, tally).play()
    waits = sorted(tally.waits_s)
    return {
        "orders": tally.n_orders,
        "followed": tally.n_followed,
        "wrong_final_setups": tally.wrong_final_setups,
        "undone_orders": tally.undone_orders,
        "false_confirmations": tally.false_confirmations,
        "overlapping_orders": tally.overlapping_orders,
        "follow_p50_s": round(waits[len(waits) // 2], 1),
        "follow_p99_s": round(waits[len(waits) * 99 // 100], 1),
        "table_writes_per_order": round(tally.table_writes / tally.n_orders, 2),
        "engine_orders_per_order": round(tally.engine_orders / tally.n_orders, 2),
    }


def main() -> int:
    """Print the figures, and return 0 if the bounds hold."""
    figures = {way: measure(way) for way in WAYS}
    for key in figures["bronzesail"]:
        row = "".join(f"{figures[way][key]:>24}" for way in WAYS)
        print(f"{key:<26}{row}")
    print(f"{'':<26}" + "".join(f"{way:>24}" for way in WAYS))
    own = figures.pop("bronzesail")
    bounds = (
        "wrong_final_setups",
        "undone_orders",
        "false_confirmations",
        "overlapping_orders",
    )
    scenario = "two_holders"
    baselines = {way: {scenario: found} for way, found in figures.items()}
    print(write_result("orders", {scenario: own}, baselines))
    return int(any(own[name] for name in bounds))


if __name__ == "__main__":
    sys.exit(main())
