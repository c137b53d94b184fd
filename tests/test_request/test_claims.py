"""State machine test of claims on a table that loses replies and delays writes."""

from __future__ import annotations

import asyncio
import random
from types import SimpleNamespace
from typing import Any

import pytest
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from bronzesail.request import RequestSettings
from bronzesail.request._claims import Claim, ClaimOutcome, ClaimStore
from bronzesail.request._ids import KeyIssuer, parse_key
from bronzesail.request._retries import RetryPolicy
from bronzesail.schema import RouterId, RowCheck, RowWrite, TransactReply
from bronzesail.storage import OutcomeUnknownError
from tests.request_fakes import SECRET, FakeTable

ROUTERS = st.sampled_from(["r1", "r2", "r3"])
KEYS = st.sampled_from([f"k{n}" for n in range(4)])
SETTINGS = RequestSettings(SECRET, backoff_s=0.0)


class LossyTable(FakeTable):
    """Table that raises for chosen writes, which take effect at once, late or never.

    Each entry of `losses` applies to one write: after "late" the write is queued, after
    "after" it has taken effect and only its reply is lost.
    """

    def __init__(self) -> None:
        super().__init__()
        self.losses: list[str] = []
        self.late_writes: list[tuple[RowWrite, ...]] = []

    async def transact(
        self, writes: tuple[RowWrite, ...], checks: tuple[RowCheck, ...] = ()
    ) -> TransactReply:
        loss = self.losses.pop() if self.losses and not self.is_out else ""
        if loss == "late":
            self.late_writes.append(writes)
            raise OutcomeUnknownError("write delayed")
        reply = await super().transact(writes, checks)
        if loss == "after":
            raise OutcomeUnknownError("reply lost")
        return reply


class SteppingClock:
    """Clock that advances by 0.1 s each time it is read."""

    def __init__(self) -> None:
        self.now = 0.0

    def monotonic(self) -> float:
        self.now += 0.1
        return self.now


def make_store(
    host: str, incarnation: int, table: LossyTable, clock: SteppingClock
) -> ClaimStore:
    own = SimpleNamespace(router_id=RouterId(host, incarnation))
    context: Any = SimpleNamespace(
        membership=SimpleNamespace(own=own),
        random=random.Random(f"{host}/{incarnation}"),
        settings=SETTINGS,
        table=table,
        retries=RetryPolicy(SETTINGS),
        clock=clock,
    )
    return ClaimStore(context)


class ClaimMachine(RuleBasedStateMachine):
    """Routers that crash and race for four keys; each key may run at most once."""

    @initialize()
    def begin(self) -> None:
        self.loop = asyncio.new_event_loop()
        self.clock = SteppingClock()
        self.table = LossyTable()
        self.n_starts = 1
        names = ("r1", "r2", "r3")
        self.stores = {name: self.make(name) for name in names}
        self.n_runs = {f"k{n}": 0 for n in range(4)}

    def make(self, name: str) -> ClaimStore:
        return make_store(name, self.n_starts, self.table, self.clock)

    def teardown(self) -> None:
        if hasattr(self, "loop"):
            self.loop.close()

    @rule(
        losses=st.lists(st.sampled_from(["late", "after", ""]), max_size=4),
        is_out=st.sampled_from([False, False, False, True]),
        number=st.integers(0, 5),
        restarted=st.sampled_from(["", "", "r1", "r2", "r3"]),
    )
    def inject_faults(
        self, losses: list[str], is_out: bool, number: int, restarted: str
    ) -> None:
        self.table.is_out = is_out
        self.apply_late_write(number)
        self.table.losses = losses
        if restarted:
            self.restart(restarted)

    def apply_late_write(self, number: int) -> None:
        if number < len(self.table.late_writes) and not self.table.is_out:
            writes = self.table.late_writes.pop(number)
            losses, self.table.losses = self.table.losses, []
            self.loop.run_until_complete(self.table.transact(writes))
            self.table.losses = losses

    def restart(self, name: str) -> None:
        self.n_starts += 1
        self.stores[name] = self.make(name)

    @rule(
        name=ROUTERS,
        key=KEYS,
        is_sent=st.booleans(),
        is_killed=st.sampled_from([False, False, False, True]),
    )
    def run(self, name: str, key: str, is_sent: bool, is_killed: bool) -> None:
        order: Any = SimpleNamespace(
            account="ski", key=key, digest=b"d", deadline=self.clock.now + 0.45
        )
        store = self.stores[name]
        claim = self.loop.run_until_complete(self.claim(store, order))
        is_own = claim.outcome is ClaimOutcome.OWN
        if is_own and is_sent:
            self.n_runs[key] += 1
        if is_killed:
            self.restart(name)
            return
        store.finish(order, is_own and is_sent)

    async def claim(self, store: ClaimStore, order: Any) -> Claim:
        claim = await store.claim(order)
        if claim.outcome is not ClaimOutcome.OTHER or claim.holder is None:
            return claim
        holder = self.stores[claim.holder.host]
        if holder is store or holder._own != claim.holder:
            return claim
        if not holder.release(order.account, order.key, claim.nonce):
            return claim
        return await store.take_over(order, claim.version)

    @invariant()
    def check_once_only(self) -> None:
        assert all(count <= 1 for count in getattr(self, "n_runs", {}).values())


TestClaims = ClaimMachine.TestCase


@pytest.mark.parametrize(
    "runs",
    [
        [("r1", False), ("r1", True), ("r2", True)],
        [("r1", False), ("r1", True), ("r1", False), ("r2", True)],
    ],
)
def test_used_claim_is_not_released(runs: list[tuple[str, bool]]) -> None:
    machine = ClaimMachine()
    machine.begin()
    for name, is_sent in runs:
        machine.run(name, "k1", is_sent=is_sent, is_killed=False)
    assert machine.n_runs["k1"] == 1
    machine.teardown()


def test_released_claim_is_not_reused_while_its_transfer_is_delayed() -> None:
    machine = ClaimMachine()
    machine.begin()
    machine.run("r1", "k1", is_sent=False, is_killed=False)
    machine.table.losses = ["late"] * 9
    machine.run("r2", "k1", is_sent=True, is_killed=False)
    machine.table.losses = []
    machine.run("r1", "k1", is_sent=True, is_killed=False)
    machine.apply_late_write(1)
    machine.run("r2", "k1", is_sent=True, is_killed=False)
    machine.check_once_only()
    machine.teardown()


def test_issued_key_is_valid_once_for_its_account_until_expiry() -> None:
    own = RouterId("host.example", 7)
    issuer = KeyIssuer(SECRET, own, 10.0)
    text = issuer.issue("ski", 100.0)
    key = parse_key(SECRET, "ski", text)
    assert key is not None
    assert key.issuer == own
    assert parse_key(SECRET, "snow", text) is None
    assert parse_key(SECRET, "ski", text[:-1] + "0") in (None, key)
    assert parse_key(b"other", "ski", text) is None
    assert issuer.claim("ski", key, 101.0)
    assert not issuer.claim("ski", key, 102.0)
    issuer.release("ski", key)
    assert issuer.claim("ski", key, 103.0)
    late = parse_key(SECRET, "ski", issuer.issue("ski", 100.0))
    assert late is not None
    assert not issuer.claim("ski", late, 110.0)
    assert not KeyIssuer(SECRET, RouterId("host.example", 8), 10.0).claim(
        "ski", key, 101.0
    )
