"""Tests of `Holder`, which plans the transactions on a budget's row."""

from __future__ import annotations

import itertools

from bronzesail.budget import BudgetSettings, ReserveOrder
from bronzesail.budget._holder import Holder
from bronzesail.budget._plans import PlanContext
from bronzesail.budget._settings import FEWER_REFUSALS
from bronzesail.schema import BudgetRow, RouterId

P1, P2, P3 = (RouterId(f"p{number}", number) for number in (1, 2, 3))


def make_context(*peers: RouterId) -> PlanContext:
    """Return a context with these live routers, all of them wanted as peers."""
    return PlanContext(
        now=0.0,
        is_charged=lambda digest: False,
        free_page_lines=8,
        peers=peers,
        live_ids=frozenset(peers),
        waiting_tokens=20,
    )


def test_peer_stays_named_until_another_has_its_records() -> None:
    """A journal peer is replaced only after another peer acknowledged its records.

    If the grant's entry named only P2 and P3 while P1 alone has the open record, a
    reclaim would not ask P1 and the record would be lost.
    """
    own = RouterId("r", 9)
    holder = Holder(
        "acme", "main", own, BudgetSettings(), FEWER_REFUSALS, itertools.count(1)
    )
    holder.observe(BudgetRow("acme", "main", 100, 0), 1, 0.0)
    plan = holder.plan(make_context(P1, P2))
    assert plan is not None
    holder.begin(plan)
    holder.observe(plan.row, 2, 0.0)
    assert holder.grant is not None
    reservation = holder.reserve(ReserveOrder("acme", "main", "k", "s", 5, 0.0))
    assert reservation is not None
    record = holder.grant.open(reservation.sequence, "b1")
    record.acked_by.add(P1)
    plan = holder.plan(make_context(P2, P3))
    assert plan is not None and plan.entry is not None
    assert set(plan.entry.journal_peers) == {P1, P2, P3}
    record.acked_by.add(P2)
    plan = holder.plan(make_context(P2, P3))
    assert plan is not None and plan.entry is not None
    assert set(plan.entry.journal_peers) == {P2, P3}
