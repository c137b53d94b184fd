"""Bounds of retained answers, retries and tracker entries, and the event parser."""

from __future__ import annotations

import random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from bronzesail.http import ExchangeBrokenError
from bronzesail.request import RequestSettings
from bronzesail.request._engine import EngineUsage, EventReader
from bronzesail.request._life import Chunk, RequestLife, WholeAnswer
from bronzesail.request._records import RecordTable, RequestRecord
from bronzesail.request._retries import RetryPolicy
from bronzesail.request._tracker import KeyTracker
from bronzesail.schema import RouterId
from tests.request_fakes import SECRET

KEEP_S = 10.0
KEEP_BYTES = 20_000


def make_record(key: str, body: bytes) -> RequestRecord:
    life = RequestLife(is_repeatable=True)
    life.note_reserved(1)
    life.note_journaled()
    life.start_dispatch()
    record = RequestRecord("ski", key, b"d", "desk", life)
    life.complete(WholeAnswer(0, 0, 1, status=200, body=body), 0)
    return record


@given(
    st.lists(
        st.tuples(st.integers(0, 5), st.integers(0, 8000), st.floats(0, 6)),
        max_size=30,
    )
)
def test_answers_are_retained_within_time_and_size(
    steps: list[tuple[int, int, float]],
) -> None:
    table = RecordTable(KEEP_S, KEEP_BYTES)
    now = 0.0
    ended_at: dict[str, float] = {}
    for number, size, pause_s in steps:
        now += pause_s
        record = make_record(f"k{number}", bytes(size))
        table.add(record)
        table.note_ended(record, now)
        ended_at[record.key] = now
        retained = [table.find("ski", key) for key in ended_at]
        sizes = [known.size_bytes for known in retained if known is not None]
        assert sum(sizes) <= KEEP_BYTES
        for known in retained:
            assert known is None or now - known.ended_at < KEEP_S


def test_first_attempts_earn_retries_and_delays_grow() -> None:
    policy = RetryPolicy(RequestSettings(SECRET, retry_burst=2.0, retry_ratio=0.5))
    allowed = [policy.allow_retry("ski", "a") for _ in range(4)]
    assert allowed == [True, True, False, False]
    assert not policy.allow_retry("ski", "b")
    for _ in range(2):
        policy.note_first_attempt("ski", "a")
    assert policy.allow_retry("ski", "a")
    source = random.Random(1)
    delays = [max(policy.draw_delay_s(n, source) for _ in range(99)) for n in (1, 3)]
    assert delays[0] < delays[1]
    assert policy.draw_delay_s(1000, source) <= 4.0


def test_tracker_entry_expires() -> None:
    tracker = KeyTracker(10.0)
    first, second = RouterId("r1", 1), RouterId("r2", 1)
    assert tracker.note("ski", "k", first, 0.0) == first
    assert tracker.note("ski", "k", second, 9.0) == first
    assert tracker.find("snow", "k", 9.0) is None
    assert tracker.note("ski", "k", second, 10.0) == second


@given(st.lists(st.integers(1, 40), min_size=1, max_size=40))
def test_events_are_parsed_when_split_at_any_byte(sizes: list[int]) -> None:
    usage = b'data: {"done": true, "usage": {"prompt_tokens": 3, "output_tokens": 2}}'
    data = b'id: 1\ndata: {"text": "a", "tokens": 1}\n\n' + usage + b"\n\n"
    reader = EventReader()
    events: list[Chunk | EngineUsage] = []
    for size in (*sizes, len(data)):
        events += reader.feed(data[:size])
        data = data[size:]
    assert events == [Chunk(1, "a", 1), EngineUsage(3, 2)]


@pytest.mark.parametrize("data", [b"data: {", b"id: x\ndata: {}", b"data: []"])
def test_malformed_event_breaks_the_exchange(data: bytes) -> None:
    with pytest.raises(ExchangeBrokenError):
        EventReader().feed(data + b"\n\n")
