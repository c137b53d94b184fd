"""Replays placement by many routers on engines that slow down by turns.

Time is virtual. Each router places by a `Placement` of its own, and learns of an engine
only from the responses to its own requests. An engine prefills one prompt at a time and
decodes in its slots; requests beyond them wait there.
"""

from __future__ import annotations

import argparse
import heapq
import itertools
import random
import statistics
from collections import deque
from typing import TYPE_CHECKING

import attrs

from bronzesail.model import BackendServer, Engine
from bronzesail.router.estimates import ServerSpeed
from bronzesail.router.placement import Placement, Work

if TYPE_CHECKING:
    from collections.abc import Callable

__all__ = ["Result", "replay"]

STEP_S = 0.00337
PREFILL_TOKENS_PER_S = 61_200.0
SLOTS = 64
ENGINE = Engine(slots=SLOTS, cache_tokens=597_172, tokens_per_event=1)
ONE_WAY_S = 0.0014
SLOW_TURN_S = 4.0  # Between two changes of an engine's slowness.
MAX_SLOWNESS = 3.0
# Requests a second, prompt tokens, decoding steps, objective in seconds.
CLASSES = (
    (45.3, 6000, 160, 1.020),
    (73.4, 1200, 100, 0.508),
    (62.0, 400, 20, 0.610),
)


@attrs.frozen(kw_only=True)
class Result:
    """Outcome of one replay.

    Attributes
    ----------
    in_time : float
        Share of the requests whose first event met the objective.
    median_s, p99_s : float
        Quantiles of the time to the first event.
    max_to_mean : float
        Requests at the busiest engine, divided by the mean, averaged over time.
    slow_share : float
        Share of the requests sent to engines at more than twice the usual time.
    """

    in_time: float
    median_s: float
    p99_s: float
    max_to_mean: float
    slow_share: float


@attrs.define
class _Request:
    router: Placement
    send_id: int
    tokens: int
    steps: int
    objective_s: float
    sent_at: float
    unread: float


@attrs.define
class _Engine:
    """An engine of the replay."""

    server: BackendServer
    slowness: float = 1.0
    running: int = 0
    prefill_free_at: float = 0.0
    waiting: deque[_Request] = attrs.field(factory=deque)


class _Replay:
    """The state of one replay."""

    def __init__(
        self,
        n_routers: int,
        n_engines: int,
        seed: int,
        *,
        reports_speed: bool,
        n_probes: int,
    ) -> None:
        self.now = 0.0
        self._random = random.Random(seed)
        self._reports_speed = reports_speed
        self._n_probes = n_probes
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._sequence = itertools.count()
        self._engines = {
            f"e{n}": _Engine(
                BackendServer(
                    id=f"e{n}",
                    service="s",
                    ip="127.0.0.1",
                    port=1,
                    zone="z1",
                    slots=SLOTS,
                    is_draining=False,
                    cold_left_s=0.0,
                    born_ms=0,
                )
            )
            for n in range(n_engines)
        }
        self._servers = [engine.server for engine in self._engines.values()]
        self._routers = [
            Placement(
                lambda: self.now,
                "z1",
                {"z1": "r1"},
                ServerSpeed(lambda: self.now),
                random.Random(f"{seed}/{n}"),
            )
            for n in range(n_routers)
        ]
        self.delays: list[tuple[float, bool]] = []
        self.ratios: list[float] = []
        self.n_slow = 0

    def run(self, duration_s: float, load: float) -> None:
        """Run the arrivals for a time, and then all requests to their ends."""
        for engine in self._engines.values():
            self._turn(engine, duration_s)
        for rate, tokens, steps, objective_s in CLASSES:
            at = 0.0
            while (at := at + self._random.expovariate(rate * load)) < duration_s:
                self._at(at, self._make_arrival(tokens, steps, objective_s))
        for tick in range(int(duration_s)):
            self._at(tick + 0.5, self._sample)
        while self._events:
            self.now, _, action = heapq.heappop(self._events)
            action()

    def _at(self, at: float, action: Callable[[], None]) -> None:
        heapq.heappush(self._events, (at, next(self._sequence), action))

    def _turn(self, engine: _Engine, until: float) -> None:
        """Change an engine's slowness, and again later."""
        engine.slowness = self._random.choice((1.0, 1.0, 2.0, MAX_SLOWNESS))
        next_at = self.now + SLOW_TURN_S * self._random.uniform(0.5, 1.5)
        if next_at < until:
            self._at(next_at, lambda: self._turn(engine, until))

    def _sample(self) -> None:
        """Record how unevenly requests are spread over the engines."""
        counts = [e.running + len(e.waiting) for e in self._engines.values()]
        if sum(counts):
            self.ratios.append(max(counts) / statistics.mean(counts))

    def _make_arrival(
        self, tokens: int, steps: int, objective_s: float
    ) -> Callable[[], None]:
        def arrive() -> None:
            router = self._random.choice(self._routers)
            self._probe(router)
            n_tokens = int(tokens * self._random.uniform(0.5, 1.5))
            work = Work(tokens=n_tokens, objective_s=objective_s)
            server = router.choose(self._servers, work, ENGINE)
            assert server is not None
            engine = self._engines[server.id]
            self.n_slow += engine.slowness > 2.0
            send_id = next(self._sequence)
            if router.speed.is_reported(self._servers):
                expected_s = router.estimate_time_s(server, work, ENGINE, self.now)
                router.speed.note_sent(server, send_id, expected_s)
            unread = router.note_sent(server.id, work, send_id)
            request = _Request(
                router, send_id, n_tokens, steps, objective_s, self.now, unread
            )
            self._at(self.now + ONE_WAY_S, lambda: self._enter(engine, request))

        return arrive

    def _probe(self, router: Placement) -> None:
        """Ask random engines for their reports, which arrive without a delay."""
        if not self._n_probes:
            return
        for engine in self._random.sample([*self._engines.values()], self._n_probes):
            router.note_load_report(
                engine.server.id,
                engine.running,
                len(engine.waiting),
                engine.slowness if self._reports_speed else None,
            )

    def _enter(self, engine: _Engine, request: _Request) -> None:
        """Queue a request at an engine."""
        engine.waiting.append(request)
        self._admit(engine)

    def _admit(self, engine: _Engine) -> None:
        """Start the prefill of waiting requests for which there are slots."""
        while engine.waiting and engine.running < SLOTS:
            request = engine.waiting.popleft()
            engine.running += 1
            begins_at = max(self.now, engine.prefill_free_at)
            prefill_s = request.tokens / PREFILL_TOKENS_PER_S * engine.slowness
            engine.prefill_free_at = begins_at + prefill_s
            self._at(
                engine.prefill_free_at + STEP_S * engine.slowness,
                lambda request=request: self._begin(engine, request),
            )

    def _begin(self, engine: _Engine, request: _Request) -> None:
        """Send the first event, with the engine's report."""
        slowness = engine.slowness * self._random.uniform(0.9, 1.1)
        running, waiting = engine.running, len(engine.waiting)
        server_id = engine.server.id

        def receive() -> None:
            router = request.router
            router.note_response_started(server_id, request.unread, request.send_id)
            router.note_load_report(
                server_id, running, waiting, slowness if self._reports_speed else None
            )
            router.speed.note_begun(server_id, request.send_id)
            delay_s = self.now - request.sent_at
            self.delays.append((delay_s, delay_s <= request.objective_s))

        self._at(self.now + ONE_WAY_S, receive)
        run_s = request.steps * STEP_S * engine.slowness
        self._at(self.now + run_s, lambda: self._end(engine, request))

    def _end(self, engine: _Engine, request: _Request) -> None:
        """End a request and admit the next one."""
        engine.running -= 1
        request.router.note_request_ended(engine.server.id, request.send_id)
        self._admit(engine)


def replay(
    *,
    reports_speed: bool,
    n_routers: int = 33,
    n_engines: int = 30,
    duration_s: float = 60.0,
    load: float = 1.0,
    seed: int = 1,
    n_probes: int = 0,
) -> Result:
    """Replay the placement of a fleet.

    Parameters
    ----------
    reports_speed : bool
        Whether the engines report their slowness.
    n_routers : int
        Number of routers, each with its own reports.
    n_engines : int
        Number of engines.
    duration_s : float
        Length of the arrivals, in virtual seconds.
    load : float
        Factor on the request rates of `CLASSES`.
    seed : int
        Seed of all random numbers.
    n_probes : int
        Engines that are asked for their reports before each choice, which the router
        does not do.
    """
    run = _Replay(
        n_routers, n_engines, seed, reports_speed=reports_speed, n_probes=n_probes
    )
    run.run(duration_s, load)
    delays = sorted(delay for delay, _ in run.delays)
    return Result(
        in_time=sum(is_in_time for _, is_in_time in run.delays) / len(delays),
        median_s=delays[len(delays) // 2],
        p99_s=delays[int(len(delays) * 0.99)],
        max_to_mean=statistics.mean(run.ratios),
        slow_share=run.n_slow / len(delays),
    )


def main() -> None:
    """Print the results with and without reports of the speed."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--routers", type=int, default=33)
    parser.add_argument("--engines", type=int, default=30)
    parser.add_argument("--duration-s", type=float, default=60.0)
    parser.add_argument("--load", type=float, default=1.0)
    parser.add_argument("--seeds", type=int, default=3)
    parser.add_argument("--probes", type=int, default=0)
    options = parser.parse_args()
    for seed in range(1, options.seeds + 1):
        for reports_speed in (False, True):
            result = replay(
                reports_speed=reports_speed,
                n_routers=options.routers,
                n_engines=options.engines,
                duration_s=options.duration_s,
                load=options.load,
                seed=seed,
                n_probes=options.probes,
            )
            values = " ".join(
                f"{name}={value:.3f}" for name, value in attrs.asdict(result).items()
            )
            print(f"seed={seed} reports_speed={reports_speed} {values}")


if __name__ == "__main__":
    main()
