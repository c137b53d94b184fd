"""Budgets of one process: limits, leases and transactions in doubt."""

from __future__ import annotations

import pytest

from bronzesail.router.budget import FORWARDED_WAIT_S, FULL_OVERRUN_S, BudgetBook
from bronzesail.router.budget_rows import LEASE_S, reclaim

START_S = 100.0


class BudgetFixture:
    """One `BudgetBook` with a simulated clock; the test answers its transactions."""

    def __init__(self, prepaid=10_000):
        self.time = START_S
        self.version = 0
        self.book = BudgetBook("h1", "10.0.0.1:1", lambda: self.time)
        self.book.set_prepaid({"a": prepaid})

    def plan(self):
        return self.book.plan(self.time, 1)

    def acknowledge(self, attempt):
        self.version += 1
        self.book.apply(attempt, self.version)

    def renew(self):
        attempt = self.plan()
        self.acknowledge(attempt)
        return attempt

    def spend(self, tokens):
        assert self.book.try_reserve("a", tokens)
        self.book.settle("a", tokens, tokens)

    def count_spent(self):
        return self.book.get_holding("a").spent


def test_limit_applies_until_the_lease_of_a_renewal_in_doubt_has_ended():
    fixture = BudgetFixture()
    fixture.renew()
    fixture.time += 0.6 * LEASE_S
    in_doubt = fixture.plan()  # Committed, but the answer is lost.
    fixture.time += 0.6 * LEASE_S
    # The lease of the acknowledged row has ended; that of the row in doubt has not.
    assert not fixture.book.is_past_lease()
    fixture.spend(fixture.book.count_spendable("a"))
    tokens = reclaim(in_doubt.row, fixture.time)
    held, _, _, _ = in_doubt.row.held["a"]
    assert fixture.count_spent() + tokens["a"] <= held


def test_attempt_after_one_in_doubt_keeps_its_timestamp():
    fixture = BudgetFixture()
    fixture.renew()
    fixture.time += 0.5
    first = fixture.plan()
    fixture.time += 0.5
    second = fixture.plan()
    assert second.row.stamp_s == first.row.stamp_s
    fixture.time = first.stamped_at + LEASE_S + 0.01
    assert fixture.book.is_past_lease()


def test_lower_limit_applies_before_it_is_acknowledged():
    fixture = BudgetFixture()
    fixture.book.set_pending_demand("a", 1_000)
    fixture.renew()
    fixture.book.set_pending_demand("a", 0)
    fixture.spend(400)
    fixture.renew()
    before = fixture.book.find_bound("a")
    fixture.time += 1.5
    fixture.book.decay_demand()
    in_doubt = fixture.plan()  # Committed, but the answer is lost.
    _, limit, _, _ = in_doubt.row.held["a"]
    assert limit < before
    fixture.spend(fixture.book.count_spendable("a"))
    tokens = reclaim(in_doubt.row, fixture.time)
    held, _, _, _ = in_doubt.row.held["a"]
    assert fixture.count_spent() + tokens.get("a", 0) <= held


@pytest.mark.parametrize("past_s", [0.01, 0.5, 2.0, FULL_OVERRUN_S, 10.0])
def test_reclaim_after_the_lease_deducts_the_overrun(past_s):
    fixture = BudgetFixture()
    attempt = fixture.renew()
    held, limit, overrun_per_s, _ = attempt.row.held["a"]
    assert limit < held
    assert overrun_per_s > 0
    fixture.time += LEASE_S + past_s
    fixture.spend(fixture.book.count_spendable("a"))
    tokens = reclaim(attempt.row, fixture.time)
    assert fixture.count_spent() + tokens.get("a", 0) <= held
    # No more than the fraction of a token is lost by rounding.
    assert fixture.count_spent() + tokens.get("a", 0) >= held - 1


def test_all_held_tokens_become_spendable_after_the_lease():
    fixture = BudgetFixture()
    attempt = fixture.renew()
    held, _, _, _ = attempt.row.held["a"]
    fixture.time += LEASE_S + FULL_OVERRUN_S + 0.1
    assert fixture.book.count_spendable("a") == held


def test_lower_overrun_rate_applies_before_it_is_acknowledged():
    fixture = BudgetFixture(prepaid=4_000)
    fixture.book.set_pending_demand("a", 2_000)
    fixture.renew()
    fixture.spend(1_500)
    known = fixture.renew()
    fixture.time += 1.5
    in_doubt = fixture.plan()  # Committed, but the answer is lost.
    held, _, overrun_per_s, _ = in_doubt.row.held["a"]
    assert overrun_per_s < known.row.held["a"][2]
    fixture.time += LEASE_S + 0.3
    fixture.spend(max(0, fixture.book.count_spendable("a")))
    tokens = reclaim(in_doubt.row, fixture.time)
    assert tokens
    assert fixture.count_spent() + tokens["a"] <= held


def test_returned_tokens_are_not_spendable_until_the_return_is_rejected():
    fixture = BudgetFixture()
    fixture.renew()
    held = fixture.book.get_holding("a").free
    attempt = fixture.book.plan_return(is_final=False)
    assert fixture.book.get_holding("a").free == 0
    fixture.book.reject(attempt)
    assert fixture.book.get_holding("a").free == held


def test_committed_attempt_in_doubt_is_resolved_by_the_row():
    fixture = BudgetFixture()
    first = fixture.renew()
    fixture.spend(fixture.book.count_spendable("a"))
    fixture.book.set_pending_demand("a", 4_000)
    in_doubt = fixture.plan()
    granted = in_doubt.grants["a"]
    later = fixture.plan()
    assert fixture.book.reconcile_own_row(in_doubt.row, fixture.version + 1)
    fixture.book.reject(later)
    assert fixture.book.get_holding("a").granted == first.grants["a"] + granted


def test_removal_of_the_row_by_another_router_ends_all_spending():
    fixture = BudgetFixture()
    fixture.renew()
    assert not fixture.book.reconcile_own_row(None, -1)
    assert fixture.book.count_spendable("a") == 0
    fixture.book.reset()
    assert fixture.book.get_holding("a").free == 0


def test_tokens_are_returned_if_the_prepaid_amount_falls_below_those_granted():
    fixture = BudgetFixture()
    fixture.renew()
    free = fixture.book.get_holding("a").free
    fixture.book.set_prepaid({"a": 1_000})
    attempt = fixture.plan()
    assert attempt.grants["a"] == -min(
        free, fixture.book.get_holding("a").total_granted - 1_000
    )


def test_no_refill_takes_more_than_the_store_has_left():
    fixture = BudgetFixture(prepaid=1_000)
    other = BudgetBook("h2", "10.0.0.2:1", lambda: fixture.time)
    other.set_prepaid({"a": 1_000})
    for _ in range(50):
        for book in (fixture.book, other):
            book.set_pending_demand("a", 300)
            holding = fixture.book.get_holding("a")
            book.update_account("a", holding.total_granted, holding.version)
            attempt = book.plan(fixture.time, 2)
            fixture.version += 1
            book.apply(attempt, fixture.version)
            out = book.get_holding("a").total_granted
            for seen in (fixture.book, other):
                seen.update_account("a", out, fixture.version)
    assert fixture.book.get_holding("a").held + other.get_holding("a").held <= 1_000


def test_no_tokens_are_returned_while_the_store_does_not_answer():
    fixture = BudgetFixture()
    fixture.renew()
    free = fixture.book.get_holding("a").free
    fixture.plan()  # The answer is lost.
    # The store has few tokens left.
    fixture.book.update_account("a", 9_000, fixture.version)
    attempt = fixture.plan()
    assert attempt.grants == {}
    assert fixture.book.get_holding("a").free == free


def test_failing_renewals_do_not_restrict_transfers_after_the_lease():
    fixture = BudgetFixture()
    fixture.renew()
    first_failure_at = fixture.time + 0.3
    while fixture.time < first_failure_at + LEASE_S + FULL_OVERRUN_S + 0.1:
        fixture.time += 0.3  # Every renewal fails without an answer.
        fixture.book.transfer("a", 100)
        fixture.plan()
    holding = fixture.book.get_holding("a")
    assert holding.free > 0
    assert fixture.book.count_spendable("a") == holding.free


def test_last_tokens_of_an_account_are_granted_at_once():
    fixture = BudgetFixture()
    fixture.renew()
    fixture.version += 1
    fixture.book.update_account("a", 9_000, fixture.version)
    fixture.book.get_holding("a").demand_per_s = 2_000.0
    assert fixture.renew().grants == {"a": 1_000}


def test_tokens_returned_unused_are_not_acquired_again():
    fixture = BudgetFixture()
    fixture.renew()
    assert fixture.book.get_holding("a").free > 0
    fixture.version += 1
    # Other routers acquired nearly all tokens.
    fixture.book.update_account("a", 9_000, fixture.version)
    assert fixture.renew().grants["a"] < 0
    for _ in range(5):
        fixture.time += 0.25
        fixture.version += 1
        fixture.book.update_account("a", 5_000, fixture.version)
        assert fixture.renew().grants == {}


def test_pending_demand_outlives_its_request_and_raises_the_limit():
    fixture = BudgetFixture()
    fixture.renew()
    fixture.book.set_pending_demand("a", 800)
    fixture.time += 0.5  # The request timed out before the renewal.
    fixture.renew()
    assert fixture.book.count_spendable("a") == 800


def test_tokens_of_an_account_with_another_allocator_are_returned():
    fixture = BudgetFixture()
    held = fixture.renew().grants["a"]
    attempt = fixture.book.plan(fixture.time, 1, [], ["a"])
    assert attempt.grants == {"a": -held}


def test_the_lease_covers_a_restart():
    """A killed process that restarts within the lease costs no more than the limit."""
    fixture = BudgetFixture()
    fixture.book.set_pending_demand("a", 100)
    attempt = fixture.renew()
    held, limit, _, _ = attempt.row.held["a"]
    respawn_s, start_s, renewal_s = 1.5, 0.45, 0.3
    dead_by_s = attempt.row.stamp_s + renewal_s + respawn_s + start_s
    assert reclaim(attempt.row, dead_by_s) == {"a": held - limit}


def test_allocator_may_spend_a_share_of_its_tokens_without_demand():
    fixture = BudgetFixture()
    fixture.book.min_limit_share = 0.1
    held = fixture.renew().grants["a"]
    assert fixture.book.count_spendable("a") == held // 10


def test_higher_limit_does_not_apply_before_it_is_acknowledged():
    fixture = BudgetFixture()
    fixture.book.set_pending_demand("a", 100)
    known = fixture.renew()
    fixture.book.set_pending_demand("a", 2_000)
    fixture.plan()  # Never committed.
    fixture.time += 0.5
    fixture.spend(fixture.book.count_spendable("a"))
    held, limit, _, _ = known.row.held["a"]
    assert fixture.count_spent() == limit
    assert fixture.count_spent() + reclaim(known.row, fixture.time)["a"] <= held


# A process could spend tokens twice that it had received before it wrote its row.
def test_tokens_received_before_a_row_do_not_raise_its_limit():
    fixture = BudgetFixture()
    fixture.renew()
    fixture.book.receive("a", 3_000)
    row = fixture.renew().row
    fixture.book.receive("a", 500)  # No row shows these, so they may be spent.
    held, limit, _, _ = row.held["a"]
    assert fixture.book.count_spendable("a") == limit - fixture.count_spent() + 500
    fixture.spend(fixture.book.count_spendable("a"))
    assert fixture.count_spent() + reclaim(row, fixture.time)["a"] == held + 500


# Tokens were lost until the process ended if a forwarded request did not arrive.
def test_a_reservation_that_no_request_claims_is_released():
    fixture = BudgetFixture()
    fixture.renew()
    free = fixture.book.get_holding("a").free
    fixture.book.receive_reservation("a", 500, "r1")
    fixture.book.receive_reservation("a", 300, "r2")
    assert fixture.book.get_holding("a").free == free
    assert fixture.book.claim_reservation("a", "r2") == 300
    assert fixture.book.release_unclaimed() == {}
    fixture.time += FORWARDED_WAIT_S
    assert fixture.book.release_unclaimed() == {("a", "r1"): 500}
    assert fixture.book.get_holding("a").free == free + 500
    assert fixture.book.claim_reservation("a", "r1") == 0


def test_a_transferred_reservation_stays_spent_at_its_sender():
    fixture = BudgetFixture()
    fixture.renew()
    fixture.book.receive("a", 500)
    free = fixture.book.get_holding("a").free
    assert fixture.book.try_reserve("a", 500)
    assert fixture.book.transfer_reservation("a", 500, 120) == 380
    holding = fixture.book.get_holding("a")
    assert (holding.settled, holding.transferred, holding.reserved) == (120, 380, 0)
    assert holding.free == free - 500
    fixture.book.receive_reservation("a", 300, "r1")
    assert fixture.book.transfer_reservation("a", 300, 900) == 0
    assert (holding.settled, holding.transferred) == (420, 380)
