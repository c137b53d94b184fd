"""Budgets of several routers under random spending, transfers, failures and crashes."""

from __future__ import annotations

import asyncio
import itertools
import random

import attrs
import hypothesis.strategies as st
from hypothesis import settings
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from bronzesail.router.budget import BudgetBook
from bronzesail.router.budget_keeper import BudgetKeeper
from bronzesail.router.neighbourhood import Neighbourhood
from bronzesail.router.store import StoreError
from tests.router_fakes import (
    CallOutcome,
    FakeClock,
    FakeRows,
    FakeStoreClient,
    RecordingLog,
    read_holder,
)

HOSTS = ("h1", "h2", "h3")
ACCOUNTS = ("a", "b")
PREPAID = 1_000
CLOCK_ERROR_S = 0.05
RESTORE_DEPTH_S = 2.0
HOST = st.sampled_from(HOSTS)
ACCOUNT = st.sampled_from(ACCOUNTS)
MODES = st.lists(st.sampled_from(list(CallOutcome)), max_size=6)
RESERVATION_INDEX = st.integers(0, 1_000)


@attrs.define
class Process:
    key: str
    book: BudgetBook
    keeper: BudgetKeeper
    client: FakeStoreClient
    reservations: list = attrs.field(factory=list)


class BudgetMachine(RuleBasedStateMachine):
    """One process on each host, an unreliable store, and the tokens consumed."""

    def __init__(self):
        super().__init__()
        self.time = 100.0
        self.rows = FakeRows()
        self.prepaid = dict.fromkeys(ACCOUNTS, PREPAID)
        self.max_prepaid = dict(self.prepaid)
        self.consumed_tokens = dict.fromkeys(ACCOUNTS, 0)
        self.processes = {}
        self.numbers = itertools.count(1)
        self.copies = [(self.time, self.rows.copy())]
        self.random = random.Random(7)
        for host in HOSTS:
            self.start(host, [])

    def run(self, coroutine):
        return asyncio.run(coroutine)

    @rule(host=HOST, modes=MODES)
    def start(self, host, modes):
        if host in self.processes:
            return
        number = next(self.numbers)
        key = f"{host}.{number}"
        book = BudgetBook(
            host,
            "10.0.0.1:1",
            lambda: self.time,
            restore_depth_s=RESTORE_DEPTH_S,
        )
        book.set_prepaid(dict(self.prepaid))
        client = FakeStoreClient(
            self.rows, FakeClock(self.rows, CLOCK_ERROR_S), list(modes)
        )
        keeper = BudgetKeeper(
            book,
            client,
            RecordingLog(),
            key,
            lambda: None,
            lambda row: None,
            Neighbourhood(host, "z1", 1000.0, lambda: self.time),
            self.random,
            self.time,
        )
        client.on_era = keeper.begin_era
        self.processes[host] = Process(key, book, keeper, client)
        self.load(host)

    @rule(host=HOST)
    def load(self, host):
        process = self.processes.get(host)
        if process is None or process.keeper.has_loaded:
            return
        if self.run(process.keeper.load()):
            self.run(process.keeper.renew_row())
            self.run(process.keeper.reclaim_dead())

    @rule(host=HOST, modes=MODES)
    def renew(self, host, modes):
        process = self.processes.get(host)
        if process is None or not process.keeper.has_loaded:
            return
        process.client.modes[:] = modes
        if self.run(process.keeper.renew()):
            self.run(process.keeper.reclaim_dead())
            self.run(process.keeper._update_carryover())
        process.client.modes.clear()

    @rule(host=HOST, account=ACCOUNT, tokens=st.integers(1, 300))
    def reserve(self, host, account, tokens):
        process = self.processes.get(host)
        if process is None:
            return
        if process.book.try_reserve(account, tokens):
            process.reservations.append((account, tokens))
            process.book.set_pending_demand(account, 0)
        else:
            process.book.set_pending_demand(account, tokens)  # Like a waiting request.

    @rule(host=HOST, index=RESERVATION_INDEX, share=st.floats(0, 1))
    def settle(self, host, index, share):
        process = self.processes.get(host)
        if process is None or not process.reservations:
            return
        account, tokens = process.reservations.pop(index % len(process.reservations))
        used = int(tokens * share)
        process.book.settle(account, tokens, used)
        self.consumed_tokens[account] += used

    @rule(
        origin=HOST,
        recipient=HOST,
        account=ACCOUNT,
        want=st.integers(1, 500),
        arrives=st.booleans(),
    )
    def transfer(self, origin, recipient, account, want, arrives):
        if origin == recipient or origin not in self.processes:
            return
        tokens = self.processes[origin].book.transfer(account, want)
        if arrives and tokens and recipient in self.processes:
            self.processes[recipient].book.receive(account, tokens)

    @rule(
        origin=HOST,
        recipient=HOST,
        index=RESERVATION_INDEX,
        share=st.floats(0, 1),
        arrives=st.booleans(),
        is_claimed=st.booleans(),
    )
    def forward(self, origin, recipient, index, share, arrives, is_claimed):
        """A request is forwarded with the rest of its reservation."""
        process = self.processes.get(origin)
        if origin == recipient or process is None or not process.reservations:
            return
        account, tokens = process.reservations.pop(index % len(process.reservations))
        used = int(tokens * share)
        rest = process.book.transfer_reservation(account, tokens, used)
        self.consumed_tokens[account] += used
        other = self.processes.get(recipient)
        if not arrives or not rest or other is None:
            return
        request_id = f"r{next(self.numbers)}"
        other.book.receive_reservation(account, rest, request_id)
        if is_claimed:
            claimed = other.book.claim_reservation(account, request_id)
            other.reservations.append((account, claimed))

    @rule(host=HOST)
    def release_unclaimed(self, host):
        if host in self.processes:
            self.processes[host].book.release_unclaimed()

    @rule(host=HOST, modes=MODES)
    def stop(self, host, modes):
        """A planned stop: the process returns its tokens and ends."""
        process = self.processes.get(host)
        if process is None or not process.keeper.has_loaded or process.reservations:
            return
        process.client.modes[:] = modes
        self.run(process.keeper.give_back(is_final=True))
        del self.processes[host]

    @rule(host=HOST)
    def kill(self, host):
        process = self.processes.pop(host, None)
        if process is None:
            return
        for account, tokens in process.reservations:
            self.consumed_tokens[account] += tokens
        for other in self.processes.values():
            if not other.keeper.has_loaded:
                continue
            other.client.modes.clear()
            try:
                found = self.run(
                    read_holder(other.client, other.keeper._part, process.key)
                )
            except StoreError:
                continue  # The answer has told that the store was restored.
            if found is not None:
                dead_by_s = self.time + CLOCK_ERROR_S
                other.keeper.note_dead(process.key, *found, dead_by_s)

    @rule(seconds=st.sampled_from((0.1, 0.5, 1.0, 2.0, 5.0)))
    def wait(self, seconds):
        self.time += seconds

    @rule(index=st.integers(0, 1_000))
    def restore(self, index):
        """The store comes back from a copy that is up to `RESTORE_DEPTH_S` old."""
        self.copies = [
            (at, copy) for at, copy in self.copies if self.time - at <= RESTORE_DEPTH_S
        ]
        self.rows.restore(self.copies[index % len(self.copies)][1])

    @invariant()
    def copy_rows(self):
        self.copies.append((self.time, self.rows.copy()))

    @rule()
    def land_late(self):
        self.rows.land_late()

    @rule(account=ACCOUNT, change=st.integers(-600, 600))
    def change_prepaid(self, account, change):
        self.prepaid[account] = max(0, self.prepaid[account] + change)
        self.max_prepaid[account] = max(
            self.max_prepaid[account], self.prepaid[account]
        )

    @rule(host=HOST)
    def take_configuration(self, host):
        if host in self.processes:
            self.processes[host].book.set_prepaid(dict(self.prepaid))

    @invariant()
    def is_never_overspent(self):
        for account in ACCOUNTS:
            spent = self.consumed_tokens[account]
            for process in self.processes.values():
                spent += sum(t for a, t in process.reservations if a == account)
            assert spent <= self.max_prepaid[account]

    @invariant()
    def holds_its_own_invariant(self):
        for process in self.processes.values():
            process.book.check_invariant()


TestBudgetMachine = BudgetMachine.TestCase
TestBudgetMachine.settings = settings(max_examples=300, stateful_step_count=60)

N_WALKS = 120
N_STEPS = 450


def draw_modes(generator):
    if generator.random() > 0.2:
        return []
    return [generator.choice(list(CallOutcome)) for _ in range(generator.randint(1, 3))]


def take_step(machine, generator, failing, restoring):
    host = generator.choice(HOSTS)
    account = ACCOUNTS[0]
    modes = draw_modes(generator) if failing else []
    steps = {
        "reserve": lambda: machine.reserve(host, account, generator.randint(10, 120)),
        "settle": lambda: machine.settle(
            host, generator.randint(0, 99), generator.choice((0.5, 1))
        ),
        "renew": lambda: machine.renew(host, modes),
        "wait": lambda: machine.wait(generator.choice((0.1, 0.2, 0.3, 0.3, 1.0, 2.5))),
        "transfer": lambda: machine.transfer(
            host, generator.choice(HOSTS), account, generator.randint(10, 200), True
        ),
        "forward": lambda: machine.forward(
            host,
            generator.choice(HOSTS),
            generator.randint(0, 99),
            generator.choice((0, 0.5)),
            generator.random() < 0.9,
            generator.random() < 0.7,
        ),
        "release": lambda: machine.release_unclaimed(host),
        "kill": lambda: machine.kill(host),
        "start": lambda: machine.start(host, []),
        "load": lambda: machine.load(host),
        "stop": lambda: machine.stop(host, modes),
        "land late": machine.land_late,
        "restore": lambda: machine.restore(generator.randint(0, 99)),
        "change": lambda: machine.change_prepaid(
            account, generator.choice((-300, 100))
        ),
        "configure": lambda: machine.take_configuration(host),
    }
    restores = 5 if restoring else 0
    weights = (400, 80, 240, 100, 60, 20, 10, 15, 40, 40, 10, 20, restores, 5, 10)
    steps[generator.choices(list(steps), weights)[0]]()


def walk(seed):
    """Spend all tokens, with few crashes, so that a token granted twice is noticed."""
    generator = random.Random(seed)
    machine = BudgetMachine()
    failing = generator.random() < 0.7
    restoring = generator.random() < 0.5
    for _ in range(N_STEPS):
        machine.is_never_overspent()
        machine.copy_rows()
        machine.holds_its_own_invariant()
        take_step(machine, generator, failing, restoring)
    return machine


def test_random_walks_never_overspend():
    spent = 0
    for seed in range(N_WALKS):
        machine = walk(seed)
        spent += machine.consumed_tokens[ACCOUNTS[0]] / machine.max_prepaid[ACCOUNTS[0]]
    # Walks that spend little could not reveal overspending.
    assert spent / N_WALKS > 0.4
