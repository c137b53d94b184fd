"""State machine test of `RequestLife` against a simple model of its dispatches."""

from __future__ import annotations

import pytest
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
)

from bronzesail.errors import Refusal, ResultCode
from bronzesail.request._life import (
    Chunk,
    ReplayMismatchError,
    RequestLife,
    WholeAnswer,
)
from bronzesail.util.invariants import InvariantError


class LifeMachine(RuleBasedStateMachine):
    """Drives a request through dispatches, parts and results in any order.

    `engine` holds the parts that the current run produces, `delivered` those that the
    caller has received.
    """

    @initialize(is_repeatable=st.booleans(), may_have_run=st.booleans())
    def begin(self, is_repeatable: bool, may_have_run: bool) -> None:
        self.life = RequestLife(is_repeatable, may_have_run_before=may_have_run)
        self.may_have_run = may_have_run
        self.n_reached = 0
        self.is_in_flight = False
        self.engine: list[Chunk] = []
        self.delivered: list[Chunk] = []

    def is_in_progress(self) -> bool:
        return self.life.ending is None

    @precondition(lambda self: self.is_in_progress() and self.life.reserved_tokens < 0)
    @rule(amount=st.integers(0, 50))
    def reserve(self, amount: int) -> None:
        self.life.note_reserved(amount)

    @precondition(lambda self: self.is_in_progress() and self.life.reserved_tokens >= 0)
    @rule(is_sent=st.booleans(), variant=st.integers(0, 1))
    def dispatch(self, is_sent: bool, variant: int) -> None:
        if not self.life.is_dispatch_allowed:
            self.life.note_journaled()
            with pytest.raises(InvariantError, match="I5"):
                self.life.start_dispatch()
            return
        self.life.note_journaled()
        self.life.start_dispatch()
        self.is_in_flight = is_sent
        self.engine = [Chunk(n + 1, f"{variant}-{n}", 1) for n in range(6)]
        if not is_sent:
            self.life.note_unsent()
            return
        self.n_reached += 1

    @precondition(lambda self: self.is_in_progress() and self.is_in_flight)
    @rule(shift=st.integers(-2, 2))
    def receive(self, shift: int) -> None:
        number = self.life.last_number + 1 + shift
        if not 1 <= number <= len(self.engine):
            return
        chunk = self.engine[number - 1]
        if shift > 0:
            assert self.life.add_chunk(chunk) is False
            return
        try:
            assert self.life.add_chunk(chunk) is True
        except ReplayMismatchError:
            assert self.delivered[number - 1] != chunk or len(self.delivered) < number
            self.life.refuse(Refusal(ResultCode.ANSWER_LOST, False))

    @precondition(lambda self: self.is_in_progress())
    @rule()
    def deliver(self) -> None:
        self.delivered += self.life.chunks[len(self.delivered) :]
        self.life.note_delivered(len(self.delivered))

    @precondition(lambda self: self.is_in_progress() and self.is_in_flight)
    @rule(used=st.integers(0, 80))
    def finish(self, used: int) -> None:
        answer = WholeAnswer(0, 0, used)
        is_whole = self.life.last_number == len(self.engine)
        if is_whole and used <= self.life.reserved_tokens:
            self.life.complete(answer, len(self.engine))
            self.deliver_rest()
            return
        with pytest.raises(InvariantError):
            self.life.complete(answer, len(self.engine))

    def deliver_rest(self) -> None:
        self.delivered += self.life.chunks[len(self.delivered) :]
        assert self.delivered == self.engine

    @precondition(lambda self: self.is_in_progress())
    @rule(code=st.sampled_from([ResultCode.NO_BACKEND, ResultCode.CANCELLED]))
    def refuse(self, code: ResultCode) -> None:
        ending = self.life.refuse(Refusal(code, is_not_run=True))
        if ending.is_not_run:
            assert self.n_reached == 0
            assert not self.may_have_run

    @rule()
    def add_late_part(self) -> None:
        if self.is_in_progress():
            return
        with pytest.raises(InvariantError):
            self.life.add_chunk(Chunk(self.life.last_number + 1, "late", 1))
        with pytest.raises(InvariantError):
            self.life.refuse(Refusal(ResultCode.CANCELLED, False))

    @invariant()
    def check_once_only(self) -> None:
        if not hasattr(self, "life"):
            return
        assert self.life.is_repeatable or self.n_reached <= 1
        numbers = [chunk.number for chunk in self.delivered]
        assert numbers == list(range(1, len(numbers) + 1))


TestLife = LifeMachine.TestCase


def test_refusal_after_a_dispatch_reports_an_unknown_outcome() -> None:
    life = RequestLife(is_repeatable=False)
    life.note_reserved(5)
    life.note_journaled()
    life.start_dispatch()
    ending = life.refuse(Refusal(ResultCode.DEADLINE_PASSED, is_not_run=True))
    assert (ending.code, ending.is_not_run) == (ResultCode.OUTCOME_UNKNOWN, False)
