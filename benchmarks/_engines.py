"""Model engines on virtual time: continuous batching and a limited prefix cache."""

from __future__ import annotations

import heapq
import itertools
import random
from collections import OrderedDict, deque
from collections.abc import Callable

import attrs

from bronzesail.schema import CacheEvent, LoadReport

__all__ = ["Engine", "EngineLimits", "EngineRequest", "Timeline"]

TOKENS_PER_BLOCK = 16
MS_PER_S = 1000.0
MAX_EVENTS = 20_000


class Timeline:
    """Ordered callbacks on virtual time.

    Attributes
    ----------
    now : float
        Virtual time, in seconds.
    """

    def __init__(self) -> None:
        self.now = 0.0
        self._heap: list[tuple[float, int, Callable[[], None]]] = []
        self._counter = itertools.count()

    def call_at(self, at: float, callback: Callable[[], None]) -> None:
        """Run a callback at a moment."""
        heapq.heappush(self._heap, (at, next(self._counter), callback))

    def call_later(self, delay_s: float, callback: Callable[[], None]) -> None:
        """Run a callback after a delay."""
        self.call_at(self.now + delay_s, callback)

    def run(self, until: float) -> None:
        """Run the callbacks up to a moment."""
        while self._heap and self._heap[0][0] <= until:
            self.now, _, callback = heapq.heappop(self._heap)
            callback()
        self.now = until


@attrs.frozen
class EngineLimits:
    """Speeds and sizes of an engine.

    Attributes
    ----------
    slots : int
        Requests in the batch.
    step_s, step_per_request_s : float
        Time of one step, and more for each request that decodes, in seconds.
    prefill_tokens_per_s : float
        Prompt tokens read a second.
    chunk_tokens : int
        Prompt tokens read in one step at most.
    cache_blocks : int
        Blocks of the prefix cache.
    report_period_s, report_lag_s : float
        Period and lag of the load report, in seconds.
    event_lag_s : float
        Lag of cache events, in seconds.
    event_loss : float
        Share of the cache events that are lost.
    """

    slots: int = 16
    step_s: float = 0.012
    step_per_request_s: float = 0.0005
    prefill_tokens_per_s: float = 10_000.0
    chunk_tokens: int = 512
    cache_blocks: int = 4000
    report_period_s: float = 0.2
    report_lag_s: float = 0.1
    event_lag_s: float = 0.3
    event_loss: float = 0.001


@attrs.define(eq=False)
class EngineRequest:
    """One request on an engine.

    Attributes
    ----------
    hashes : tuple of bytes
        Chained hashes of the prompt's blocks.
    prompt_tokens, output_tokens : int
        Sizes, in tokens.
    priority : float
        Priority; a smaller number is served earlier.
    on_first_token, on_end : callable
        Called in the timeline.
    """

    hashes: tuple[bytes, ...]
    prompt_tokens: int
    output_tokens: int
    priority: float
    on_first_token: Callable[[], None]
    on_end: Callable[[], None]
    cached_tokens: int = 0
    left_prefill: int = 0
    n_decoded: int = 0


@attrs.frozen
class _TimedReport:
    """Report and its moment."""

    at: float
    running: int
    queued: int


class Engine:
    """One backend server that runs a model."""

    def __init__(
        self, timeline: Timeline, limits: EngineLimits, seed: int, host: str
    ) -> None:
        self.host = host
        self.limits = limits
        self.n_prompt_tokens = 0
        self.n_cached_tokens = 0
        self._timeline = timeline
        self._rng = random.Random(seed)
        self._queue: list[tuple[float, int, EngineRequest]] = []
        self._counter = itertools.count()
        self._running: list[EngineRequest] = []
        self._is_stepping = False
        self._cache: OrderedDict[bytes, None] = OrderedDict()
        self._events: deque[tuple[float, CacheEvent]] = deque(maxlen=MAX_EVENTS)
        self._next_seq = 1
        self._reports = deque([_TimedReport(0.0, 0, 0)], maxlen=64)
        timeline.call_later(self._rng.random() * limits.report_period_s, self._report)

    def submit(self, request: EngineRequest) -> None:
        """Queue a request."""
        heapq.heappush(self._queue, (request.priority, next(self._counter), request))
        if not self._is_stepping:
            self._is_stepping = True
            self._step()

    def read_load(self) -> LoadReport:
        """Return the lagging load report."""
        visible = self._timeline.now - self.limits.report_lag_s
        chosen = self._reports[0]
        for report in reversed(self._reports):
            chosen = report
            if report.at <= visible:
                break
        return LoadReport(
            running=chosen.running,
            queued=chosen.queued,
            slots=self.limits.slots,
            age_ms=(self._timeline.now - chosen.at) * MS_PER_S,
        )

    def read_events(self, after: int) -> tuple[CacheEvent, ...]:
        """Return the cache events that are visible by now."""
        visible = self._timeline.now - self.limits.event_lag_s
        found = []
        for at, event in reversed(self._events):
            if event.seq <= after:
                break
            if at <= visible:
                found.append(event)
        found.reverse()
        return tuple(found)

    def _report(self) -> None:
        self._reports.append(
            _TimedReport(self._timeline.now, len(self._running), len(self._queue))
        )
        self._timeline.call_later(self.limits.report_period_s, self._report)

    def _admit(self) -> None:
        is_changed = bool(self._queue)
        while self._queue and len(self._running) < self.limits.slots:
            _, _, request = heapq.heappop(self._queue)
            n_cached = 0
            for block in request.hashes:
                if block not in self._cache:
                    break
                self._cache.move_to_end(block)
                n_cached += 1
            cached = min(n_cached * TOKENS_PER_BLOCK, request.prompt_tokens - 1)
            request.cached_tokens = cached
            request.left_prefill = request.prompt_tokens - cached
            self.n_prompt_tokens += request.prompt_tokens
            self.n_cached_tokens += cached
            self._running.append(request)
        if is_changed:
            self._running.sort(key=lambda r: r.priority)

    def _step(self) -> None:
        self._admit()
        if not self._running:
            self._is_stepping = False
            return
        budget = self.limits.chunk_tokens
        n_decoding = 0
        n_read = 0
        for request in self._running:
            if request.left_prefill == 0:
                n_decoding += 1
                continue
            n_tokens = min(budget, request.left_prefill)
            budget -= n_tokens
            n_read += n_tokens
            request.left_prefill -= n_tokens
            if request.left_prefill == 0 and n_tokens:
                n_decoding += 1
        length_s = self.limits.step_s
        length_s += n_decoding * self.limits.step_per_request_s
        length_s += n_read / self.limits.prefill_tokens_per_s
        self._timeline.call_later(length_s, self._end_step)

    def _end_step(self) -> None:
        ended = []
        for request in self._running:
            if request.left_prefill > 0:
                continue
            request.n_decoded += 1
            if request.n_decoded == 1:
                self._store(request.hashes)
                request.on_first_token()
            if request.n_decoded >= request.output_tokens:
                ended.append(request)
        if ended:
            self._running = [r for r in self._running if r not in ended]
        for request in ended:
            request.on_end()
        self._step()

    def _store(self, hashes: tuple[bytes, ...]) -> None:
        for block in reversed(hashes):
            if block not in self._cache:
                self._publish("stored", block)
            self._cache[block] = None
            self._cache.move_to_end(block)
        while len(self._cache) > self.limits.cache_blocks:
            block, _ = self._cache.popitem(last=False)
            self._publish("evicted", block)

    def _publish(self, kind: str, block: bytes) -> None:
        event = CacheEvent(seq=self._next_seq, kind=kind, block=block.hex())
        self._next_seq += 1
        if self._rng.random() < self.limits.event_loss:
            return
        self._events.append((self._timeline.now, event))
