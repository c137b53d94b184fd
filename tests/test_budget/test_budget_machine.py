"""Model-based test of budgets under any order of messages, writes and failures.

A state machine runs the holders, journal peers and reclaims of a small fleet without
input or output. It delays, duplicates, reorders and drops messages and writes, and
kills routers. The tokens that dispatched requests may use must never exceed the
prepaid tokens.
"""

from __future__ import annotations

import itertools
import random

import attrs
import hypothesis.strategies as st
import pytest
from hypothesis import settings
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from bronzesail.budget import BudgetSettings, ReserveOrder
from bronzesail.budget._escrow import check_row, find_grant, find_hold
from bronzesail.budget._grant import (
    Grant,
    GrantRecord,
    RecordState,
    make_journal_record,
)
from bronzesail.budget._holder import Holder
from bronzesail.budget._holds import resolve_hold
from bronzesail.budget._ledger import make_digest
from bronzesail.budget._peer import JournalPeer
from bronzesail.budget._plans import HolderPlan, PlanContext
from bronzesail.budget._reclaim import JournalUnion, Reclaimer, raise_epoch
from bronzesail.budget._settings import FEWER_REFUSALS
from bronzesail.schema import (
    BudgetRow,
    FenceRequest,
    JournalAppend,
    JournalEntry,
    RouterId,
    TransferId,
)

N_ROUTERS = 4
N_PEERS = 2
PREPAID_TOKENS = 60
FIRST_GRANT_TOKENS = 16
SETTINGS = BudgetSettings(settle_interval_s=0.0)
INDEX = st.integers(0, N_ROUTERS - 1)
# Selects an element of a list; rules take it modulo the length.
PICK = st.integers(0, 1_000)


@attrs.define(eq=False)
class Router:
    """Simulated router; dead or alive."""

    own: RouterId
    holder: Holder
    peer: JournalPeer
    is_alive: bool = True


@attrs.define(eq=False)
class Message:
    """Journal message in flight."""

    sender: Router
    receiver: Router
    grant: Grant
    record: GrantRecord
    append: JournalAppend


@attrs.define(eq=False)
class Offer:
    """Transfer that may be offered once a journal peer has acknowledged it."""

    source: Grant
    record: GrantRecord
    row_version: int
    destination: Router


class BudgetMachine(RuleBasedStateMachine):
    """Fleet, table row and messages in flight; each rule is one event."""

    def __init__(self) -> None:
        super().__init__()
        self.row = BudgetRow("acme", "main", PREPAID_TOKENS, 0)
        self.version = 1
        self.charges: dict[bytes, int] = {}
        self.ledger_version = 0
        self.messages: list[Message] = []
        self.offers: list[Offer] = []
        self.sent: list[tuple[HolderPlan, int]] = []
        self.dispatched: dict[str, tuple[GrantRecord, bool]] = {}
        self.used: dict[str, int] = {}
        self.keys = itertools.count()
        numbers = itertools.count(1)
        self.routers = []
        for index in range(N_ROUTERS):
            own = RouterId(f"r{index}", index + 1)
            holder = Holder("acme", "main", own, SETTINGS, FEWER_REFUSALS, numbers)
            holder.observe(self.row, self.version, 0.0)
            self.routers.append(Router(own, holder, JournalPeer()))
        for index in range(N_ROUTERS):
            self.synchronise(index, FIRST_GRANT_TOKENS)

    # Requests.

    @rule(index=INDEX, amount=st.integers(1, 20), n_steps=st.integers(1, 4), pick=PICK)
    def serve(self, index: int, amount: int, n_steps: int, pick: int) -> None:
        """Run the first steps of a request: reserve, open, acknowledge, dispatch."""
        self.reserve(index, amount)
        if n_steps > 1:
            self.open(index, -1)
        if n_steps > 2:
            self.deliver(-1, False)
        if n_steps > 3:
            self.dispatch(index, -1)

    @rule(index=INDEX, waiting=st.integers(0, 40))
    def synchronise(self, index: int, waiting: int) -> None:
        """Read the row, plan, commit, and read the outcome."""
        self.read(index)
        self.plan(index, waiting, False)
        self.apply_write(-1)
        self.read(index)

    @rule(source=INDEX, destination=INDEX, amount=st.integers(1, 20))
    def transfer(self, source: int, destination: int, amount: int) -> None:
        """Transfer tokens until a journal peer of the destination has them."""
        self.transfer_out(source, destination, amount)
        self.deliver(-1, False)
        self.receive(-1, False)
        self.deliver(-1, False)

    @rule(index=INDEX, amount=st.integers(1, 20))
    def reserve(self, index: int, amount: int) -> None:
        """Reserve tokens for a new request."""
        router = self.routers[index]
        if router.is_alive:
            key = f"k{next(self.keys)}"
            router.holder.reserve(ReserveOrder("acme", "main", key, "s", amount, 0.0))

    @rule(index=INDEX, pick=PICK)
    def open(self, index: int, pick: int) -> None:
        """Open a reservation and send it to the journal peers."""
        router = self.routers[index]
        record = self._pick_record(router, pick, RecordState.RESERVED)
        if record is not None and router.holder.grant is not None:
            router.holder.grant.open(record.sequence, "b1")
            self._journal(router, router.holder.grant, record)

    @rule(pick=PICK, is_duplicated=st.booleans())
    def deliver(self, pick: int, is_duplicated: bool) -> None:
        """Deliver a journal message and its acknowledgement, in any order."""
        if not self.messages:
            return
        message = self.messages[pick % len(self.messages)]
        if not is_duplicated:
            self.messages.remove(message)
        if not message.receiver.is_alive:
            return
        reply = message.receiver.peer.append(message.sender.own, message.append)
        if reply.fenced_grants or not message.sender.is_alive:
            return
        message.record.acked_by.add(message.receiver.own)
        if message.record.state is RecordState.RECEIVED:
            message.grant.accept(message.record.sequence)

    @rule(pick=PICK)
    def drop_message(self, pick: int) -> None:
        """Drop a journal message."""
        if self.messages:
            self.messages.pop(pick % len(self.messages))

    @rule(index=INDEX, pick=PICK)
    def dispatch(self, index: int, pick: int) -> None:
        """Dispatch an acknowledged record, even after its grant was reclaimed."""
        router = self.routers[index]
        grants = [router.holder.grant, *router.holder.fenced_grants.values()]
        records = [
            record
            for grant in grants
            if grant is not None
            for record in grant.records.values()
            if record.state is RecordState.OPEN and record.acked_by
        ]
        if records and router.is_alive:
            record = records[pick % len(records)]
            self.dispatched.setdefault(
                record.require_order().request_key, (record, False)
            )

    @rule(index=INDEX, pick=PICK, used=st.integers(0, 20))
    def close(self, index: int, pick: int, used: int) -> None:
        """Close an open record; without a dispatch it used no tokens."""
        router = self.routers[index]
        record = self._pick_record(router, pick, RecordState.OPEN)
        grant = router.holder.grant
        if record is None or grant is None:
            return
        key = record.require_order().request_key
        is_dispatched = key in self.dispatched
        tokens = min(used, record.amount_tokens) if is_dispatched else 0
        grant.close(record.sequence, tokens, 0.0)
        if is_dispatched:
            self.dispatched[key] = (record, True)
            self.used[key] = tokens
        self._journal(router, grant, record)

    # Transfers.

    @rule(source=INDEX, destination=INDEX, amount=st.integers(1, 20))
    def transfer_out(self, source: int, destination: int, amount: int) -> None:
        """Take tokens out of a grant and journal the transfer."""
        router, other = self.routers[source], self.routers[destination]
        grant, target = router.holder.grant, other.holder.grant
        if (
            source == destination
            or grant is None
            or target is None
            or not router.is_alive
        ):
            return
        tokens = min(amount, grant.transferable_tokens)
        if tokens <= 0:
            return
        record = grant.transfer_out(tokens, target.entry.grant_id, 0.0)
        self._journal(router, grant, record)
        version = router.holder.row_version
        self.offers.append(Offer(grant, record, version, other))

    @rule(pick=PICK, is_duplicated=st.booleans())
    def receive(self, pick: int, is_duplicated: bool) -> None:
        """Deliver the offer of an acknowledged transfer to its destination."""
        ready = [offer for offer in self.offers if offer.record.acked_by]
        if not ready:
            return
        offer = ready[pick % len(ready)]
        if not is_duplicated:
            self.offers.remove(offer)
        grant = offer.destination.holder.grant
        is_same = grant is not None and grant.entry.grant_id == offer.record.given_to
        if grant is None or not is_same or not offer.destination.is_alive:
            return
        transfer = TransferId(offer.source.entry.grant_id, offer.record.sequence)
        amount = offer.record.amount_tokens
        record = grant.receive(transfer, amount, offer.row_version, 0.0)
        if record is not None:
            self._journal(offer.destination, grant, record)

    # The table service.

    @rule(index=INDEX, waiting=st.integers(0, 40), is_draining=st.booleans())
    def plan(self, index: int, waiting: int, is_draining: bool) -> None:
        """Send the transaction that a holder plans; `apply_write` applies it."""
        router = self.routers[index]
        if not router.is_alive:
            return
        others = tuple(r.own for r in self.routers if r is not router and r.is_alive)
        context = PlanContext(
            now=0.0,
            is_charged=self.charges.__contains__,
            free_page_lines=2,
            peers=others[:N_PEERS],
            live_ids=frozenset(others),
            waiting_tokens=waiting,
            is_draining=is_draining,
        )
        plan = router.holder.plan(context)
        if plan is not None:
            router.holder.begin(plan)
            self.sent.append((plan, self.ledger_version))

    @rule(pick=PICK)
    def apply_write(self, pick: int) -> None:
        """Apply a write in flight, in any order and without a response."""
        if not self.sent:
            return
        plan, ledger_version = self.sent.pop(pick % len(self.sent))
        is_stale = bool(plan.charges) and ledger_version != self.ledger_version
        if plan.expected_version != self.version or is_stale:
            return
        for charge in plan.charges:
            self._charge(charge.digest, charge.tokens)
        self._write(plan.row)

    @rule(index=INDEX)
    def read(self, index: int) -> None:
        """Read the row at a router."""
        router = self.routers[index]
        if router.is_alive:
            router.holder.observe(self.row, self.version, 0.0)

    # Failures and reclaims.

    @rule(index=INDEX)
    def kill(self, index: int) -> None:
        """Stop a router for good, unless it is the last one."""
        if sum(router.is_alive for router in self.routers) > 1:
            self.routers[index].is_alive = False

    @rule(pick=PICK, is_early=st.booleans())
    def reclaim(self, pick: int, is_early: bool) -> None:
        """Reclaim a grant of a dead router, or early that of a live one."""
        entries = [
            entry
            for entry in self.row.grants
            if is_early or not self._find(entry.holder).is_alive
        ]
        if not entries:
            return
        grant_id = entries[pick % len(entries)].grant_id
        self._write(raise_epoch(self.row, grant_id))
        entry = find_grant(self.row, grant_id)
        assert entry is not None
        union = self._fence(grant_id, entry.epoch, entry.journal_peers)
        plan = self._make_reclaimer(grant_id, union).plan_entry()
        for charge in plan.charges:
            self._charge(charge.digest, charge.tokens)
        self._write(plan.row)

    @rule(index=INDEX)
    def settle_reclaimed(self, index: int) -> None:
        """Settle a reclaimed grant with the records of its holder."""
        router = self.routers[index]
        for grant_id, grant in router.holder.fenced_grants.items():
            if not router.is_alive or find_hold(self.row, grant_id, 0) is None:
                continue
            union = JournalUnion()
            records = grant.records.values()
            union.add(make_journal_record(r) for r in records if r.is_journaled)
            plan = self._make_reclaimer(grant_id, union).plan_remainder()
            assert plan is not None
            for charge in plan.charges:
                self._charge(charge.digest, charge.tokens)
            self._write(plan.row)

    @rule(pick=PICK)
    def resolve(self, pick: int) -> None:
        """Settle a hold with the tokens used, once the backend server knows them."""
        holds = [hold for hold in self.row.holds if hold.request_key]
        if not holds:
            return
        hold = holds[pick % len(holds)]
        record, is_ended = self.dispatched.get(hold.request_key, (None, False))
        if record is None or not is_ended:
            return
        digest = make_digest("acme", hold.request_key)
        tokens = 0 if digest in self.charges else self.used[hold.request_key]
        row, charged = resolve_hold(self.row, hold.grant_id, hold.sequence, tokens)
        if charged:
            self._charge(digest, charged)
        self._write(check_row(row))

    @invariant()
    def spend_never_exceeds_prepaid(self) -> None:
        """Check the spend and the row.

        A request counts with the tokens used, or those reserved until it has ended.
        """
        spent = sum(
            self.used[key] if is_ended else record.amount_tokens
            for key, (record, is_ended) in self.dispatched.items()
        )
        assert spent <= PREPAID_TOKENS
        assert sum(self.charges.values()) == self.row.settled_tokens
        check_row(self.row)

    # Helper methods.

    def _pick_record(
        self, router: Router, pick: int, state: RecordState
    ) -> GrantRecord | None:
        grant = router.holder.grant
        if grant is None or not router.is_alive:
            return None
        records = [
            record
            for record in grant.records.values()
            if record.state is state and not record.is_settling
        ]
        return records[pick % len(records)] if records else None

    def _journal(self, router: Router, grant: Grant, record: GrantRecord) -> None:
        entry = JournalEntry(
            "acme",
            "main",
            grant.entry.grant_id,
            grant.entry.epoch,
            grant.entry.settled_sequence,
            (make_journal_record(record),),
        )
        for peer in grant.entry.journal_peers:
            append = JournalAppend((entry,))
            receiver = self._find(peer)
            self.messages.append(Message(router, receiver, grant, record, append))

    def _fence(
        self, grant_id: str, epoch: int, peers: tuple[RouterId, ...]
    ) -> JournalUnion:
        union = JournalUnion()
        missing = []
        for peer in peers:
            router = self._find(peer)
            if not router.is_alive:
                missing.append(peer)
                continue
            union.add(router.peer.fence(FenceRequest(grant_id, epoch)).records)
        union.missing_peers = tuple(missing)
        return union

    def _make_reclaimer(self, grant_id: str, union: JournalUnion) -> Reclaimer:
        return Reclaimer(self.row, grant_id, union, self.charges.__contains__, 100)

    def _charge(self, digest: bytes, tokens: int) -> None:
        assert digest not in self.charges
        self.charges[digest] = tokens
        self.ledger_version += 1

    def _write(self, row: BudgetRow) -> None:
        self.row = row
        self.version += 1

    def _find(self, own: RouterId) -> Router:
        return next(router for router in self.routers if router.own == own)


# Relative frequency of each rule in a random walk.
WEIGHTS = {
    "serve": 12,
    "close": 10,
    "synchronise": 5,
    "deliver": 8,
    "transfer": 4,
    "dispatch": 3,
    "plan": 2,
    "apply_write": 2,
    "read": 2,
    "transfer_out": 1,
    "receive": 2,
    "drop_message": 1,
    "resolve": 4,
    "settle_reclaimed": 2,
    "reclaim": 2,
}


def walk(seed: int, n_steps: int) -> BudgetMachine:
    """Run a random walk over the rules, weighted by `WEIGHTS`.

    In three of four seeds a router is killed after a third and after half the steps.
    """
    rng = random.Random(seed)
    machine = BudgetMachine()
    names = list(WEIGHTS)
    weights = list(WEIGHTS.values())
    for step in range(n_steps):
        index, other = rng.randrange(N_ROUTERS), rng.randrange(N_ROUTERS)
        pick, amount = rng.randrange(1_000), rng.randint(1, 20)
        is_rare = rng.random() < 0.2
        name = rng.choices(names, weights)[0]
        arguments = {
            "serve": (index, amount, rng.choice((2, 3, 4, 4)), pick),
            "close": (index, pick, amount),
            "synchronise": (index, rng.randint(0, 30)),
            "deliver": (pick, is_rare),
            "transfer": (index, other, amount),
            "dispatch": (index, pick),
            "plan": (index, rng.randint(0, 30), is_rare),
            "apply_write": (pick,),
            "read": (index,),
            "transfer_out": (index, other, amount),
            "receive": (pick, is_rare),
            "drop_message": (pick,),
            "resolve": (pick,),
            "settle_reclaimed": (index,),
            "reclaim": (pick, rng.random() < 0.5),
        }[name]
        getattr(machine, name)(*arguments)
        if step in (n_steps // 3, n_steps // 2) and seed % 4:
            machine.kill(index)
        machine.spend_never_exceeds_prepaid()
    return machine


@pytest.mark.parametrize("first_seed", [0, 100, 200])
def test_long_walks_never_overspend(first_seed: int) -> None:
    """No random walk overspends, and enough requests are dispatched to tell."""
    n_dispatched = 0
    for seed in range(first_seed, first_seed + 100):
        n_dispatched += len(walk(seed, 200).dispatched)
    assert n_dispatched > 500


BudgetMachine.TestCase.settings = settings(max_examples=150, stateful_step_count=60)
TestBudgetMachine = BudgetMachine.TestCase
