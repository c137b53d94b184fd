"""Exhaustive check of budgets in a small fleet while the store is restored.

Three routers share one account. In every order of renewals, one restore of the store
from any copy that is recent enough, one crash, one write that takes effect late, and
the passing of time, the account must not be overspent. In a second scenario one of the
routers starts meanwhile, and in a third one that has crashed starts again; no write is
late in these. The program's own decisions are run; only the store is a model.

``python -m tests.model_check`` prints the number of states. With ``--plant NAME`` one
guard is dropped, and the program ends non-zero with the shortest trace to a violation.
"""

from __future__ import annotations

import argparse
import copy
import functools
import json
import random
import sys
from collections import deque

import attrs

from bronzesail.model import RowKey
from bronzesail.router import budget_keeper, carryover, earlier_eras
from bronzesail.router.budget import BudgetBook
from bronzesail.router.budget_keeper import BudgetKeeper
from bronzesail.router.budget_rows import ACCOUNT_TABLE, HOLDER_TABLE, PART
from bronzesail.router.neighbourhood import Neighbourhood
from tests.router_fakes import (
    CallOutcome,
    FakeClock,
    FakeRows,
    FakeStoreClient,
    RecordingLog,
    read_holder,
)

ACCOUNT = "a"
PREPAID = 40
DEPTH_S = 8.0  # Copies are at most this old.
PENDING = 8  # Tokens that waiting requests need at each renewal.
HOSTS = ("h1", "h2", "h3")
SCENARIOS = ("late write", "start", "restart")
# A phase ends when the store is restored, and once when time passes after it; each
# router may renew its row once a phase. One router is idle before the restore.
RECORDS = RecordingLog()


class Clock:
    """The time of the state that is being changed; all states share it."""

    now = 0.0

    def __call__(self):
        return self.now


CLOCK = Clock()


def run(coroutine):
    """Run a coroutine that never has to wait."""
    try:
        coroutine.send(None)
    except StopIteration as end:
        return end.value
    raise AssertionError("the coroutine waits")


@attrs.define
class Process:
    """One router with what is left of its renewals."""

    keeper: BudgetKeeper
    client: FakeStoreClient

    @property
    def holding(self):
        return self.keeper.book.get_holding(ACCOUNT)


class World:
    """A state of the store and the routers.

    `change` returns the state after an action. States share the processes that no
    action has changed since.
    """

    def __init__(self, scenario):
        self.time = CLOCK.now = 100.0
        self.has_started = scenario != "start"
        self.is_late_allowed = scenario == "late write"
        self.is_restart_allowed = scenario == "restart"
        self.rows = FakeRows()
        self.processes = {}
        self.copies = []
        self.spent_by_dead = 0
        self.n_waits = 0
        self.renewed = frozenset()
        self.crashed_host = None
        self.has_crashed = self.has_restored = self.has_late = False
        for host in HOSTS if self.is_late_allowed else HOSTS[:2]:
            self.start(host)
        self.wait()
        self.n_waits = 0

    def change(self, action, *arguments):
        """Return a new state, changed by an action."""
        new = copy.copy(self)
        CLOCK.now = new.time
        new.rows = copy.copy(self.rows)
        new.rows.rows = dict(self.rows.rows)
        new.rows.late = list(self.rows.late)
        new.copies = list(self.copies)
        new.processes = dict(self.processes)
        if action in ("renew", "renew_late", "return_late"):
            new.own(arguments[0])
        if action in ("crash", "restore"):
            for host in new.processes:
                new.own(host)
        getattr(new, action)(*arguments)
        return new

    def own(self, host):
        """Replace a process by a copy that belongs to this state alone."""
        process = self.processes[host]
        book = copy.copy(process.keeper.book)
        book.holdings = {k: copy.copy(v) for k, v in book.holdings.items()}
        book._unresolved = list(book._unresolved)
        book._ended = dict(book._ended)
        client = copy.copy(process.client)
        client.rows = self.rows
        keeper = copy.copy(process.keeper)
        keeper.book, keeper._store = book, client
        keeper._earlier_eras = copy.copy(keeper._earlier_eras)
        keeper._earlier_eras._book, keeper._earlier_eras._store = book, client
        keeper._dead = dict(keeper._dead)
        client.on_era = keeper.begin_era
        self.processes[host] = Process(keeper, client)

    def note_copy(self):
        """Keep the present state of the store among those it may come back from."""
        rows, version = self.rows.copy()
        if self.has_restored:
            return
        self.copies = [c for c in self.copies if self.time - c[0] < DEPTH_S]
        self.copies.append((self.time, rows, version))

    def start(self, host, key=None):
        book = BudgetBook(host, "-", CLOCK, restore_depth_s=DEPTH_S)
        book.set_prepaid({ACCOUNT: PREPAID})
        client = FakeStoreClient(self.rows, FakeClock(self.rows, 0.0))
        neighbourhood = Neighbourhood(host, "z1", 1000.0, lambda: 0.0)
        generator = random.Random(1)
        keeper = BudgetKeeper(
            book,
            client,
            RECORDS,
            key or host,
            lambda: None,
            lambda row: None,
            neighbourhood,
            generator,
            self.time,
        )
        client.on_era = keeper.begin_era
        self.has_started = self.has_started or host == HOSTS[2]
        self.processes[host] = Process(keeper, client)
        while not run(keeper.load()):
            pass  # The answer has told the store's era.
        self.renew(host)
        run(keeper.reclaim_dead())
        self.renewed -= {host}

    # Actions.

    def restart(self):
        """Start the next process on the host of the one that has crashed."""
        host, self.crashed_host = self.crashed_host, None
        self.start(host, f"{host}.2")

    def renew(self, host, outcome=None):
        """Renew a router's row, refill, and spend all that may be spent."""
        process = self.processes[host]
        keeper = process.keeper
        self.renewed |= {host}
        keeper.book.set_pending_demand(ACCOUNT, PENDING)
        keeper.sharer_count = 0
        process.client.modes[:] = [outcome] if outcome else []
        era = keeper.book.era
        is_done = run(keeper.renew())
        if keeper.book.era != era:  # The answer has told of the restore.
            is_done = run(keeper.renew())
        if is_done:
            run(keeper.reclaim_dead())
            run(keeper._update_carryover())
        process.client.modes.clear()
        RECORDS.lines.clear()
        self.spend(process)
        self.note_copy()

    def renew_late(self, host):
        """The same, but the transaction takes effect later, and has no answer."""
        self.has_late = True
        self.renew(host, CallOutcome.LATE)

    def return_late(self, host):
        """Return all unspent tokens by a transaction that takes effect later."""
        self.has_late = True
        process = self.processes[host]
        process.client.modes[:] = [CallOutcome.LATE]
        run(process.keeper.give_back(is_final=False))
        process.client.modes.clear()

    def land_late(self):
        self.rows.land_late()
        self.note_copy()

    def crash(self, host):
        """End a router that has spent all it could; the others learn of it."""
        self.has_crashed = True
        process = self.processes.pop(host)
        self.crashed_host = host
        self.spend(process)
        self.spent_by_dead += process.holding.spent
        for other in self.processes.values():
            key = process.keeper._key
            row_key = RowKey(HOLDER_TABLE, other.keeper._part, key)
            if row_key not in self.rows.rows or other.client.era != self.rows.era:
                continue
            row, version = run(read_holder(other.client, row_key.part, key))
            other.keeper.note_dead(key, row, version, self.time)

    def restore(self, index):
        self.has_restored = True
        _, rows, version = self.copies[index]
        self.rows.restore((rows, version))
        self.copies = []
        self.n_waits = 0
        self.renewed = frozenset()

    def wait(self):
        self.n_waits += 1
        self.renewed = frozenset()
        self.time = CLOCK.now = self.time + DEPTH_S
        self.note_copy()

    def spend(self, process):
        book = process.keeper.book
        tokens = max(0, book.count_spendable(ACCOUNT))
        if tokens and book.try_reserve(ACCOUNT, tokens):
            book.settle(ACCOUNT, tokens, tokens)

    # Exploration.

    def list_actions(self):
        """Return the possible actions by name."""
        actions = {}
        for host, process in self.processes.items():
            actions |= self._list_actions_of(host, process)
        if self.is_restart_allowed and self.crashed_host is not None:
            actions[f"{self.crashed_host} starts again"] = ("restart",)
        if not self.has_started:
            actions[f"{HOSTS[2]} starts"] = ("start", HOSTS[2])
        if self.rows.late and self.has_restored:
            actions["the late write takes effect"] = ("land_late",)
        if not self.has_restored:
            actions |= self._list_restores()
        if self.has_restored and not self.n_waits:
            actions["time passes"] = ("wait",)
        return actions

    def _list_actions_of(self, host, process):
        actions = {}
        idle_before = HOSTS[2] if self.is_late_allowed else HOSTS[1]
        if self.has_restored or host != idle_before:
            if host not in self.renewed:
                actions[f"{host} renews"] = ("renew", host)
            if self.is_late_allowed and not self.has_late and not self.has_restored:
                if host not in self.renewed:
                    actions[f"{host} renews, late"] = ("renew_late", host)
                if process.holding.free > 0:
                    actions[f"{host} returns, late"] = ("return_late", host)
        if not self.has_crashed:
            actions[f"{host} crashes"] = ("crash", host)
        return actions

    def _list_restores(self):
        actions = {}
        for index, (at, _, version) in enumerate(self.copies):
            name = f"the store comes back at version {version}"
            if self.time - at <= DEPTH_S and name not in actions:
                actions[name] = ("restore", index)
        return actions

    def count_committed(self):
        """Return the tokens that are spent, or that live routers hold."""
        live = sum(
            process.holding.spent + max(0, process.holding.free)
            for process in self.processes.values()
        )
        return self.spent_by_dead + live

    def fingerprint(self):
        """Return a value that is equal for states with the same future.

        The numbers of versions matter as long as a write may be late; otherwise only
        which rows have the version that a router expects.
        """
        rows = self.rows
        is_numbered = bool(rows.late) or self.is_late_allowed and not self.has_restored
        return (
            self.time,
            self.n_waits,
            self.has_crashed,
            self.has_restored,
            self.has_late,
            self.has_started,
            self.crashed_host,
            self.spent_by_dead,
            rows.era,
            rows.version if is_numbered else 0,
            repr(rows.late),
            tuple((at, version) for at, _, version in self.copies)
            if is_numbered
            else tuple(
                (at, _freeze_rows(copied, False)) for at, copied, _ in self.copies
            ),
            _freeze_rows(rows.rows, is_numbered),
            tuple(
                (host, host in self.renewed, *_freeze_process(process, rows.rows))
                for host, process in sorted(self.processes.items())
            ),
        )


@functools.lru_cache(maxsize=100_000)
def _read_value(table, value):
    """Return what decisions depend on of a row's value."""
    fields = json.loads(value)
    if table == HOLDER_TABLE:
        return fields["stamp_s"], str(fields["held"])
    return str(fields)


def _freeze_rows(rows, is_numbered):
    return frozenset(
        (k.part, k.table, k.key, _read_value(k.table, value), is_numbered and version)
        for k, (value, version) in rows.items()
    )


def _freeze_process(process, rows):
    keeper = process.keeper
    book = keeper.book
    holding = book.get_holding(ACCOUNT)
    part = keeper._part
    own = RowKey(HOLDER_TABLE, part, keeper._key)
    account = RowKey(ACCOUNT_TABLE, part, ACCOUNT)
    return (
        holding.granted,
        holding.received,
        holding.settled,
        holding.granted_by_store,
        holding.granted_before_era,
        holding.total_granted,
        holding.has_been_granted,
        round(holding.demand_per_s, 6),
        round(holding.average_request, 6),
        book.era,
        process.client.era,
        rows.get(own, (b"", 0))[1] == book.row_version,
        rows.get(account, (b"", 0))[1] == holding.version,
        repr(book.carryover),
        repr(book._unresolved),
        repr(book._report),
        book._first_row_at,
        book._acknowledged_at,
        repr(book._ended),
        repr(keeper._dead),
        keeper._earlier_eras._has_unreported,
    )


def check(scenario):
    """Explore all orders, the shortest first.

    Parameters
    ----------
    scenario : str
        One of `SCENARIOS`.

    Returns
    -------
    tuple
        The number of states, and the first violation's trace or None.
    """
    first = World(scenario)
    seen = {hash(first.fingerprint())}
    frontier = deque([(first, ())])
    while frontier:
        world, trace = frontier.popleft()
        for name, (action, *arguments) in world.list_actions().items():
            new = world.change(action, *arguments)
            new_trace = (*trace, name)
            if new.count_committed() > PREPAID:
                return len(seen), new_trace
            mark = hash(new.fingerprint())
            if mark in seen:
                continue
            seen.add(mark)
            frontier.append((new, new_trace))
    return len(seen), None


# Guards of the program that `--plant` drops, each by one replacement.


def plant_version_only():
    """Rows are checked by their versions alone, whatever the era."""

    def begin_era(book, era):
        book.era = era
        book._has_rows = False

    BudgetBook.begin_era = begin_era
    budget_keeper.make_part = earlier_eras.make_part = lambda era: PART


def plant_early_grants():
    """Tokens are granted before all holders have written their rows again."""
    compute = carryover.compute_carryover
    earlier_eras.compute_carryover = lambda eras, reports, allowances: compute(
        eras, reports, {}
    )


def plant_grants_at_start():
    """A process is granted tokens before a copy can show that it exists."""
    count = BudgetBook.count_acquirable

    def count_acquirable(book, account):
        first_row_at, book._first_row_at = book._first_row_at, -1e9
        acquirable = count(book, account)
        book._first_row_at = first_row_at
        return acquirable

    BudgetBook.count_acquirable = count_acquirable


def plant_grants_in_doubt():
    """Grants in doubt are kept when the store was restored."""
    begin = BudgetBook.begin_era

    def begin_era(book, era):
        for attempt in book._unresolved:
            book.get_holding(ACCOUNT).granted += attempt.grants.get(ACCOUNT, 0)
        begin(book, era)

    BudgetBook.begin_era = begin_era


PLANTS = {
    "version-only": plant_version_only,
    "early-grants": plant_early_grants,
    "grants-at-start": plant_grants_at_start,
    "grants-in-doubt": plant_grants_in_doubt,
}


def main(arguments=None):
    parser = argparse.ArgumentParser(description=__doc__.partition("\n")[0])
    parser.add_argument("--plant", choices=sorted(PLANTS), help="guard to drop")
    chosen = parser.parse_args(arguments)
    if chosen.plant is not None:
        PLANTS[chosen.plant]()
    n_states = 0
    for scenario in SCENARIOS:
        n_new, trace = check(scenario)
        n_states += n_new
        if trace is not None:
            break
    n_violations = 0 if trace is None else 1
    print(f"model check: {n_states} states, {n_violations} violations")
    for number, step in enumerate(trace or (), start=1):
        print(f"{number:3}. {step}")
    return n_violations


if __name__ == "__main__":
    sys.exit(main())
