"""Which connections to an address lead to the same process."""

from __future__ import annotations

import attrs

from bronzesail.router.connection_spans import (
    MAX_DATA_DELAY_S,
    MAX_SPANS,
    ConnectionSpans,
)

ADDRESS = ("10.0.0.1", 80)


@attrs.define(eq=False)
class FakeConnection:
    """A connection that was opened at a time."""

    opened_at: float
    address: tuple = ADDRESS
    span: object = None
    was_paused: bool = False


def open_connection(spans, opened_at):
    connection = FakeConnection(opened_at)
    spans.note_opened(connection)
    return connection


def test_a_connection_that_is_heard_after_another_one_was_opened_shares_its_process():
    spans = ConnectionSpans()
    old, new = open_connection(spans, 1.0), open_connection(spans, 5.0)
    spans.note_data(old, 5.0 + 2 * MAX_DATA_DELAY_S)
    assert new.span.resolve() is old.span.resolve()
    assert spans.find_newest(ADDRESS).since == 1.0


def test_connections_one_after_the_other_may_lead_to_different_processes():
    spans = ConnectionSpans()
    old = open_connection(spans, 1.0)
    spans.note_data(old, 4.9)
    new = open_connection(spans, 5.0)
    spans.note_data(new, 6.0)
    assert new.span.resolve() is not old.span.resolve()


# Data of a process that has ended may be read after its successor was connected to.
def test_data_that_arrived_before_the_new_connection_shows_nothing():
    spans = ConnectionSpans()
    old, new = open_connection(spans, 1.0), open_connection(spans, 5.0)
    spans.note_data(old, 5.0 + MAX_DATA_DELAY_S / 2)
    assert new.span.resolve() is not old.span.resolve()


def test_data_that_is_read_after_a_pause_shows_nothing():
    spans = ConnectionSpans()
    old, new = open_connection(spans, 1.0), open_connection(spans, 5.0)
    old.was_paused = True
    spans.note_data(old, 9.0)
    assert new.span.resolve() is not old.span.resolve()


def test_what_one_connection_was_told_holds_for_the_others_of_its_process():
    spans = ConnectionSpans()
    old, new = open_connection(spans, 1.0), open_connection(spans, 5.0)
    new.span.born_ms = 7
    spans.note_data(old, 8.0)
    assert old.span.resolve().born_ms == 7


def test_processes_that_tell_different_starts_are_not_the_same():
    spans = ConnectionSpans()
    old, new = open_connection(spans, 1.0), open_connection(spans, 5.0)
    old.span.born_ms, new.span.born_ms = 6, 7
    spans.note_data(old, 8.0)
    assert (old.span.resolve().born_ms, new.span.resolve().born_ms) == (6, 7)


def test_a_process_that_was_taken_for_another_one_has_a_span_of_its_own():
    spans = ConnectionSpans()
    old, new = open_connection(spans, 1.0), open_connection(spans, 5.0)
    spans.note_start(old, 6)
    spans.note_data(old, 8.0)
    assert new.span.resolve().born_ms == 6
    spans.note_start(new, 7)
    assert (old.span.resolve().born_ms, new.span.resolve().born_ms) == (6, 7)


def test_an_address_has_a_bounded_number_of_spans():
    spans = ConnectionSpans()
    first = open_connection(spans, 0.0)
    for number in range(1, 2 * MAX_SPANS):
        open_connection(spans, float(number))
    newest = spans.find_newest(ADDRESS)
    spans.note_data(first, 100.0)
    assert newest.resolve() is first.span


def test_spans_are_forgotten_once_they_are_long_over():
    spans = ConnectionSpans()
    old = open_connection(spans, 1.0)
    spans.forget_before(2.0)
    assert spans.find_newest(ADDRESS) is None
    spans.note_data(old, 3.0)  # Does not fail.
