"""Tests of the rate limiter of the inter-region link."""

from __future__ import annotations

import hypothesis.strategies as st
from hypothesis import given

from bronzesail.routing import LinkRateLimiter, LinkUse

RATE = 1000.0
STEPS = st.lists(
    st.tuples(
        st.sampled_from(LinkUse),
        st.integers(0, 3000),
        st.floats(0.0, 2.0),
        st.booleans(),
    ),
    max_size=40,
)


@given(STEPS)
def test_consumed_bytes_stay_within_the_rate_and_the_delay_is_exact(steps):
    limiter = LinkRateLimiter(RATE, 0.0)
    now = 0.0
    n_spent = 0
    for use, n_bytes, pause_s, is_forced in steps:
        now += pause_s
        if is_forced and n_bytes < 100:
            limiter.record(use, n_bytes, now)
            n_spent += n_bytes
            continue
        delay_s = limiter.compute_delay(use, n_bytes, now)
        was_spent = limiter.spend(use, n_bytes, now)
        assert was_spent == (delay_s == 0.0)
        if was_spent:
            n_spent += n_bytes
            continue
        now += delay_s + 1e-6
        assert limiter.spend(use, n_bytes, now)
        n_spent += n_bytes
    allowed = RATE * (now + 0.5)
    largest = max((n for _, n, _, _ in steps), default=0)
    assert n_spent <= allowed + largest + 100 * len(steps)
    counted = limiter.count_bytes(LinkUse.DATA) + limiter.count_bytes(LinkUse.CONTROL)
    assert counted == n_spent


def test_control_messages_may_be_sent_while_data_must_wait():
    limiter = LinkRateLimiter(RATE, 0.0)
    while limiter.spend(LinkUse.DATA, 50, 0.0):
        pass
    assert limiter.spend(LinkUse.CONTROL, 100, 0.0)
    assert not limiter.spend(LinkUse.DATA, 50, 0.0)
    limiter.change_rate(RATE / 10, 0.0)
    assert limiter.compute_delay(LinkUse.CONTROL, 40, 0.0) > 0.0
