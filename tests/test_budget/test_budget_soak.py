"""Soak tests: random faults against the whole budget service, then an audit."""

from __future__ import annotations

import pytest

from benchmarks.soak import Fault, SoakPlan, make_plan, run_plan


@pytest.mark.parametrize("seed", [1, 30, 38])
def test_invariants_hold_under_random_faults(seed: int) -> None:
    result = run_plan(make_plan(seed))
    assert result.faults == []
    assert result.n_ran > 100


def test_grants_of_several_budgets_do_not_share_an_id() -> None:
    """Journal peers mix the records of two budgets if their grants share an id.

    Grant numbers must be unique for a router, not only for each of its budgets.
    """
    plan = SoakPlan(1, 4, (Fault(18.8, 16.5, "kill", 0.09),))
    assert run_plan(plan).faults == []


def test_drain_returns_a_grant_whose_transfer_the_destination_settled() -> None:
    """A draining router must reread its row, or it never returns its grant.

    An old row does not show that the destination has settled a transfer.
    """
    assert run_plan(make_plan(271)).faults == []


def test_transfer_from_a_grant_newer_than_the_destinations_row() -> None:
    """A row that lacks the source's entry must not stop the budget at the destination.

    The destination may have read its row before the source grant was written.
    """
    assert run_plan(make_plan(322)).faults == []
