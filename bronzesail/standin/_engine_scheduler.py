"""Continuous batching of the model engine stand-in."""

from __future__ import annotations

import asyncio
import heapq
import itertools
from collections import deque
from typing import TYPE_CHECKING

import attrs

from ..util.prefix import BLOCK_TOKENS, hash_blocks
from ._engine_cache import PrefixCache
from ._engine_runs import EngineRun, EngineUsage, RunState
from ._pause import PauseSwitch

if TYPE_CHECKING:
    from collections.abc import Callable

__all__ = ["EngineFaults", "EngineScheduler", "EngineSpeed", "LoadReport"]

KEPT_REPORTS = 4096
KEPT_ENDED_RUNS = 10_000
EVENT_LIMIT_POLL_S = 0.01


@attrs.define
class EngineFaults(PauseSwitch):
    """Switches of the model engine stand-in, with `is_paused`.

    Attributes
    ----------
    poison_marker : str
        Text of a prompt that crashes the engine when it runs; empty for none.
    crash_delay_s : float
        Time from the start of a poisonous run to the crash, in seconds.
    restart_s : float
        Time a crashed engine stays away, in seconds.
    cache_lag_s : float
        Delay of the cache events, in seconds.
    cache_loss : float
        Probability that a cache event is left out.
    load_lag_s : float
        Age of the load report, in seconds.
    order_s : float
        Time an order takes, in seconds.
    loses_next_orders : int
        Number of next orders whose answer is lost after they took effect.
    event_limit : int
        Number of events after which a run generates no further ones until this is
        changed; 0 for no limit.
    """

    poison_marker: str = ""
    crash_delay_s: float = 0.05
    restart_s: float = 1.0
    cache_lag_s: float = 0.5
    cache_loss: float = 0.0
    load_lag_s: float = 0.5
    order_s: float = 0.0
    loses_next_orders: int = 0
    event_limit: int = 0


@attrs.frozen
class EngineSpeed:
    """Capacity of the model engine stand-in.

    Attributes
    ----------
    slots : int
        Runs that are batched together.
    tokens_per_s : float
        Tokens a second that one run generates in an otherwise empty batch.
    batch_slowdown : float
        Share by which a full batch lengthens the time of a token.
    prefill_tokens_per_s : float
        Prompt tokens a second that are computed where the cache has none.
    cache_blocks : int
        Blocks that the prefix cache holds.
    """

    slots: int = 8
    tokens_per_s: float = 100.0
    batch_slowdown: float = 0.5
    prefill_tokens_per_s: float = 20_000.0
    cache_blocks: int = 2048


@attrs.frozen
class LoadReport:
    """Load at one moment.

    Attributes
    ----------
    time : float
        Monotonic time, in seconds.
    running : int
        Runs in the batch.
    queued : int
        Runs that wait for a slot.
    """

    time: float
    running: int
    queued: int


class EngineScheduler:
    """Admits runs to the batch by priority and generates their tokens.

    Parameters
    ----------
    speed : EngineSpeed
        Capacity.
    faults : EngineFaults
        Switches.
    crash : callable
        Called without arguments when a poisonous run crashes the engine.
    """

    def __init__(
        self, speed: EngineSpeed, faults: EngineFaults, crash: Callable[[], None]
    ) -> None:
        self.speed = speed
        self.faults = faults
        self.cache = PrefixCache(speed.cache_blocks, seed=1)
        self.runs: dict[str, EngineRun] = {}
        self.n_starts: dict[str, int] = {}
        self.usage: dict[str, EngineUsage] = {}
        self._crash = crash
        self._queue: list[tuple[int, int, EngineRun]] = []
        self._arrivals = itertools.count()
        self._tasks: dict[str, asyncio.Task[None]] = {}
        self._ended: deque[str] = deque()
        self._reports: deque[LoadReport] = deque(maxlen=KEPT_REPORTS)

    def submit(self, run: EngineRun) -> None:
        """Queue a run.

        Parameters
        ----------
        run : EngineRun
            The run.
        """
        self.runs[run.request_id] = run
        heapq.heappush(self._queue, (run.priority, next(self._arrivals), run))
        self._admit()

    def cancel(self, run: EngineRun) -> None:
        """End a run that is not over.

        Parameters
        ----------
        run : EngineRun
            The run.
        """
        if run.is_over:
            return
        self._end(run, RunState.CANCELLED)
        task = self._tasks.pop(run.request_id, None)
        if task is not None:
            task.cancel()
        self._admit()

    def clear(self) -> None:
        """Forget everything but the audit counts, as a crash does."""
        for task in self._tasks.values():
            task.cancel()
        self._tasks.clear()
        self._queue.clear()
        self._ended.clear()
        self.runs.clear()
        self.cache = PrefixCache(self.speed.cache_blocks, seed=1)

    def report_load(self) -> LoadReport:
        """Return the load as it stood before the lag."""
        moment = asyncio.get_running_loop().time() - self.faults.load_lag_s
        for report in reversed(self._reports):
            if report.time <= moment:
                return attrs.evolve(report, time=moment)
        return LoadReport(moment, 0, 0)

    def _admit(self) -> None:
        while self._queue and len(self._tasks) < self.speed.slots:
            _, _, run = heapq.heappop(self._queue)
            if run.state is not RunState.QUEUED:
                continue
            run.state = RunState.RUNNING
            self._tasks[run.request_id] = asyncio.create_task(self._execute(run))
        self._note_load()

    def _end(self, run: EngineRun, state: RunState) -> None:
        run.state = state
        run.prompt = b""
        run.announce()
        self._ended.append(run.request_id)
        if len(self._ended) > KEPT_ENDED_RUNS:
            self.runs.pop(self._ended.popleft(), None)

    def _note_load(self) -> None:
        now = asyncio.get_running_loop().time()
        n_queued = sum(run.state is RunState.QUEUED for _, _, run in self._queue)
        self._reports.append(LoadReport(now, len(self._tasks), n_queued))

    async def _execute(self, run: EngineRun) -> None:
        self.n_starts[run.request_id] = self.n_starts.get(run.request_id, 0) + 1
        self.usage[run.request_id] = run.usage
        run.announce()
        marker = self.faults.poison_marker
        if marker and marker.encode() in run.prompt:
            await asyncio.sleep(self.faults.crash_delay_s)
            self._crash()
            return
        await self._prefill(run)
        await self._decode(run)
        self._end(run, RunState.DONE)
        self._tasks.pop(run.request_id, None)
        self._admit()

    async def _prefill(self, run: EngineRun) -> None:
        blocks = hash_blocks(run.prompt)
        cached_tokens = self.cache.match(blocks) * BLOCK_TOKENS
        new_tokens = max(1, run.prompt_tokens - cached_tokens)
        await asyncio.sleep(new_tokens / self.speed.prefill_tokens_per_s)
        await self.faults.wait_while_paused()
        visible_at = asyncio.get_running_loop().time() + self.faults.cache_lag_s
        self.cache.store(blocks, visible_at, self.faults.cache_loss)

    async def _decode(self, run: EngineRun) -> None:
        loop = asyncio.get_running_loop()
        next_at = loop.time()
        while True:
            run.n_events += 1
            self.usage[run.request_id] = run.usage
            run.announce()
            if run.n_events >= run.output_tokens:
                return
            next_at = max(next_at, loop.time() - 1.0) + self._find_token_time()
            await asyncio.sleep(max(0.0, next_at - loop.time()))
            await self.faults.wait_while_paused()
            await self._wait_at_event_limit(run)

    async def _wait_at_event_limit(self, run: EngineRun) -> None:
        while True:
            if not 0 < self.faults.event_limit <= run.n_events:
                return
            await asyncio.sleep(EVENT_LIMIT_POLL_S)

    def _find_token_time(self) -> float:
        others = (len(self._tasks) - 1) / self.speed.slots
        return (1 + self.speed.batch_slowdown * others) / self.speed.tokens_per_s
