"""State machine test of crash counts and trials: a body crashes at most two servers."""

from __future__ import annotations

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from bronzesail.request._poison import PoisonWatch, TrialBook
from bronzesail.schema import RouterId

N_ROUTERS = 3
ROUTERS = st.integers(0, N_ROUTERS - 1)
BODIES = st.sampled_from([b"poison", b"innocent-1", b"innocent-2"])
SERVERS = st.sampled_from(["s1", "s2", "s3", "s4"])
LIFETIME_S = 30.0


class PoisonMachine(RuleBasedStateMachine):
    """Routers dispatch three bodies, one of which crashes every server that runs it.

    `running` holds the dispatches of harmless bodies in progress, `poison` those of the
    crashing body.
    """

    @initialize()
    def begin(self) -> None:
        self.now = 0.0
        self.watches = [PoisonWatch() for _ in range(N_ROUTERS)]
        self.trials = TrialBook(LIFETIME_S)
        self.running: list[tuple[int, bytes, str, bool]] = []
        self.sent_at: dict[tuple[int, bytes, str], float] = {}
        self.n_crashes = 0
        self.poison: list[tuple[int, str, bool]] = []

    @rule(seconds=st.integers(1, 8))
    def wait(self, seconds: int) -> None:
        self.now += seconds

    @rule(router=ROUTERS, body=BODIES, server=SERVERS)
    def dispatch(self, router: int, body: bytes, server: str) -> None:
        watch = self.watches[router]
        if watch.is_quarantined(body):
            return
        # Copies dispatched before the first crash is known are not limited.
        if body == b"poison" and self.poison and not watch.is_suspect(body):
            return
        is_suspect = watch.is_suspect(body)
        router_id = RouterId(f"r{router}", 1)
        if is_suspect and not self.trials.grant(body, server, router_id, self.now):
            return
        self.now += 0.01
        self.sent_at[router, body, server] = self.now
        if body == b"poison":
            self.poison.append((router, server, is_suspect))
            return
        self.running.append((router, body, server, is_suspect))

    @rule(number=st.integers(0, 3))
    def crash(self, number: int) -> None:
        if number >= len(self.poison):
            return
        router, server, is_suspect = self.poison.pop(number)
        self.now += 0.01
        self.n_crashes += 1
        lost = [run for run in self.running if run[2] == server]
        self.running = [run for run in self.running if run[2] != server]
        for owner, body, _, was_suspect in [
            (router, b"poison", server, is_suspect),
            *lost,
        ]:
            sent_at = self.sent_at[owner, body, server]
            if self.watches[owner].note_crash(body, server, sent_at, self.now):
                backends = self.watches[owner].list_backends(body)
                for watch in self.watches:
                    watch.merge(body, backends, self.now)
            if was_suspect:
                self.trials.end(body, server, RouterId(f"r{owner}", 1))

    @rule(number=st.integers(0, 10))
    def finish(self, number: int) -> None:
        if number >= len(self.running):
            return
        router, body, server, is_suspect = self.running.pop(number)
        if is_suspect:
            self.trials.end(body, server, RouterId(f"r{router}", 1))
            for watch in self.watches:
                watch.clear(body)

    @rule(router=ROUTERS)
    def replace_router(self, router: int) -> None:
        newcomer = PoisonWatch()
        for body in (b"poison", b"innocent-1", b"innocent-2"):
            backends = self.watches[router].list_backends(body)
            newcomer.merge(body, backends, self.now)
        self.watches[router] = newcomer

    @invariant()
    def check_bound(self) -> None:
        assert getattr(self, "n_crashes", 0) <= 2


TestPoison = PoisonMachine.TestCase


def test_reports_of_one_crash_count_once() -> None:
    watch = PoisonWatch()
    assert watch.note_crash(b"x", "s1", dispatched_at=0.0, now=1.0)
    assert not watch.note_crash(b"x", "s1", dispatched_at=0.5, now=2.0)
    assert not watch.merge(b"x", ("s1",), 2.0)
    assert not watch.is_quarantined(b"x")
    assert watch.note_crash(b"x", "s1", dispatched_at=1.5, now=2.5)
    assert watch.is_quarantined(b"x")
