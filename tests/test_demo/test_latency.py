"""The added latency that a demo reports."""

from __future__ import annotations

import pytest

from bronzesail.demo import Answer, Call
from bronzesail.demo._latency import LatencySamples

N_CALLS = 60
DIRECT_S = 0.010
ADDED_S = 0.005


def make_answer(first_part_s: float, is_whole: bool = True) -> Answer:
    call = Call("acme", "k", "tag", "POST", "/v1/desk/completions", b"")
    return Answer(call, 200, "", is_whole, False, first_part_s, 0.1, "", -1, 1)


def make_samples(slow_direct: tuple[int, ...] = ()) -> LatencySamples:
    """Return samples in which some direct calls took longer than any routed one."""
    direct_s = [DIRECT_S] * N_CALLS
    for number in slow_direct:
        direct_s[number] += 10 * ADDED_S
    answers = [make_answer(DIRECT_S + ADDED_S + n * 1e-5) for n in range(N_CALLS)]
    return LatencySamples(tuple(direct_s), tuple(answers))


# The percentiles of direct and routed calls were subtracted from each other, so that
# slow direct calls lowered the upper percentiles only.
def test_slow_direct_calls_do_not_make_a_percentile_fall() -> None:
    samples = make_samples(slow_direct=(3, 31))
    added_ms = [samples.find_added_ms(percent) for percent in (0, 50, 95, 99, 100)]
    assert added_ms == sorted(added_ms)
    undisturbed = make_samples()
    for percent in (50, 95, 99):
        expected_ms = undisturbed.find_added_ms(percent)
        assert samples.find_added_ms(percent) == pytest.approx(expected_ms, abs=0.05)


def test_a_call_without_a_whole_answer_is_left_out_with_its_direct_call() -> None:
    samples = LatencySamples(
        (DIRECT_S, 20 * DIRECT_S), (make_answer(2 * DIRECT_S), make_answer(0.0, False))
    )
    for percent in (0, 50, 100):
        assert samples.find_added_ms(percent) == pytest.approx(DIRECT_S * 1000)


def test_no_whole_answer_reports_no_added_latency() -> None:
    samples = LatencySamples((DIRECT_S,), (make_answer(0.0, is_whole=False),))
    assert samples.find_added_ms(50) == 0.0
