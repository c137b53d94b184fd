"""Runs the routing core in the event loop: futures, timers and polls."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from returns.result import Failure, Success

from ..explain import Decision, PartLogger
from ._core import RoutingCore
from ._effects import Chosen, Refused
from ._link import LinkRateLimiter
from ._polling import PollError, fetch_events, fetch_load
from ._servers import MS_PER_S

if TYPE_CHECKING:
    import random

    from returns.result import Result

    from ..configuration import Configuration, ConfigurationView
    from ..errors import Refusal
    from ..explain import DecisionLog
    from ..fleet import Membership
    from ..http import HttpClient
    from ..schema import HostEntry, RoutingSettings
    from ..util.clock import Clock
    from ._effects import Effect
    from ._interfaces import Route, RouteRequest

__all__ = ["RoutingService"]

# Period, in seconds, at which queued requests whose deadline has passed are refused and
# the others are matched with the backend servers again.
QUEUE_TICK_S = 0.05

# Kind of the services whose backend servers report cache events.
MODEL_KIND = "model"


class RoutingService:
    """Implementation of `Selector` for a running router.

    Parameters
    ----------
    membership : Membership
        Source of the backend servers, the routers and the region of this router.
    configuration : ConfigurationView
        Source of the services and the rate of the link between regions.
    client : HttpClient
        HTTP client for the polls.
    clock : Clock
        Source of the time.
    random : random.Random
        Random generator for samples and jitter.
    decisions : DecisionLog
        Log of decisions, which records each choice.
    settings : RoutingSettings
        Settings of routing.
    """

    def __init__(
        self,
        membership: Membership,
        configuration: ConfigurationView,
        client: HttpClient,
        clock: Clock,
        random: random.Random,
        decisions: DecisionLog,
        settings: RoutingSettings,
    ) -> None:
        self._membership = membership
        self._configuration = configuration
        self._client = client
        self._clock = clock
        self._random = random
        self._decisions = decisions
        self._settings = settings
        self._link = LinkRateLimiter(self._compute_link_rate(), clock.monotonic())
        self._core = RoutingCore(settings, membership.own.region, self._link)
        self._waiting: dict[int, asyncio.Future[Result[Route, Refusal]]] = {}
        self._has_waiting = asyncio.Event()
        self._last_request_at: dict[str, float] = {}
        self._tasks: list[asyncio.Task[None]] = []
        self._logger = PartLogger("routing")
        membership.subscribe(self._update_servers)
        configuration.subscribe(self._handle_configuration)

    @property
    def core(self) -> RoutingCore:
        """The routing core, for status pages."""
        return self._core

    @property
    def link(self) -> LinkRateLimiter:
        """Rate limiter of the inter-region link, for use by other components too."""
        return self._link

    async def start(self) -> None:
        """Read the host list, and start the polls and the queue timer."""
        self._update_servers()
        self._tasks.append(asyncio.create_task(self._run_queue_ticks()))
        busy_s = self._settings.poll_period_ms / MS_PER_S
        idle_s = self._settings.idle_poll_period_ms / MS_PER_S
        self._tasks.append(asyncio.create_task(self._run_polls(True, busy_s)))
        self._tasks.append(asyncio.create_task(self._run_polls(False, idle_s)))

    async def stop(self) -> None:
        """Stop the polls and the queue timer.

        Tasks that await `acquire` are not ended; their owners must cancel them.
        """
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        self._tasks.clear()

    async def acquire(self, request: RouteRequest) -> Result[Route, Refusal]:
        """Choose a backend server; wait in a queue while none can accept the request.

        Parameters
        ----------
        request : RouteRequest
            The request.

        Returns
        -------
        Result of Route or Refusal
            The route, or a refusal. A refusal has `is_not_run` set, because this call
            sends nothing to a backend server.
        """
        future: asyncio.Future[Result[Route, Refusal]]
        future = asyncio.get_running_loop().create_future()
        now = self._clock.monotonic()
        self._last_request_at[request.service] = now
        number, effects = self._core.submit(request, now, self._random)
        self._waiting[number] = future
        self._apply_effects(effects)
        if not future.done():
            self._has_waiting.set()
        try:
            return await future
        except asyncio.CancelledError:
            self._abandon(number, future)
            raise
        finally:
            self._waiting.pop(number, None)

    def note_first_token(self, route: Route) -> None:
        """Record that the first part of the answer, with its first token, arrived.

        Parameters
        ----------
        route : Route
            Route of the request.
        """
        self._core.note_first_token(route)

    def release(self, route: Route, output_tokens: int, is_failed: bool) -> None:
        """Record the end of a dispatch and free its capacity.

        Parameters
        ----------
        route : Route
            Route of the request; it must be released exactly once.
        output_tokens : int
            Number of tokens that the backend server generated.
        is_failed : bool
            Whether the backend server failed.
        """
        now = self._clock.monotonic()
        self._apply_effects(
            self._core.release(route, output_tokens, is_failed, now, self._random)
        )

    def _abandon(
        self, number: int, future: asyncio.Future[Result[Route, Refusal]]
    ) -> None:
        """Remove a cancelled request, and release its route if one was chosen."""
        if self._core.cancel(number) or not future.done() or future.cancelled():
            return
        result = future.result()
        if isinstance(result, Success):
            self.release(result.unwrap(), 0, is_failed=False)

    def _apply_effects(self, effects: list[Effect]) -> None:
        """Resolve waiting callers, record choices and log messages."""
        for effect in effects:
            if isinstance(effect, Chosen):
                self._explain_choice(effect.route)
                self._resolve(effect.number, Success(effect.route))
                continue
            if isinstance(effect, Refused):
                self._resolve(effect.number, Failure(effect.refusal))
                continue
            self._logger.write(effect.text)

    def _resolve(self, number: int, result: Result[Route, Refusal]) -> None:
        """Resolve a caller; release the route if the caller is gone."""
        future = self._waiting.get(number)
        if future is not None and not future.done():
            future.set_result(result)
            return
        if isinstance(result, Success):
            self.release(result.unwrap(), 0, is_failed=False)

    def _explain_choice(self, route: Route) -> None:
        """Record the choice and the candidate scores in the decision log.

        A score is an estimated time until the first token, in seconds, lowered by the
        time that cached tokens save and raised for another region; the smallest is the
        best. A request without an account is not recorded.
        """
        request = route.request
        if not request.account:
            return
        scores = ", ".join(f"{c.host} {c.score_s:.3f} s" for c in route.candidates)
        text = f"{route.backend.host} chosen; candidate scores: {scores}"
        subject = f"request/{request.account}/{request.request_key}"
        decision = Decision(self._clock.wall(), "routing", text)
        self._decisions.add(subject, decision)

    def _handle_configuration(self, configuration: Configuration) -> None:
        self._update_servers()

    def _update_servers(self) -> None:
        """Pass the host list and the number of routers to the core.

        The rate of the link between regions is updated too.
        """
        now = self._clock.monotonic()
        self._link.change_rate(self._compute_link_rate(), now)
        n_routers = self._count_routers()
        for service in self._configuration.current.services:
            entries = self._membership.list_backends(service)
            self._core.update_servers(service, entries, now, n_routers)

    def _compute_link_rate(self) -> float:
        """Return this router's share of the inter-region link, in bytes per second.

        The link's rate is divided equally among the routers of the region.
        """
        rate = self._configuration.current.deployment.link_bytes_per_s
        return rate / self._count_routers()

    def _count_routers(self) -> int:
        """Return the number of routers in the region, including this one."""
        region = self._membership.own.region
        n_routers = 1
        for router in self._membership.list_routers():
            n_routers += router.region == region
        return n_routers

    async def _run_queue_ticks(self) -> None:
        """Advance the queues periodically while requests are queued."""
        while True:
            await self._has_waiting.wait()
            await asyncio.sleep(QUEUE_TICK_S)
            if not self._waiting:
                self._has_waiting.clear()
            now = self._clock.monotonic()
            self._apply_effects(self._core.advance(now, self._random))

    async def _run_polls(self, is_busy: bool, period_s: float) -> None:
        """Poll the busy or the idle services in rounds, within the poll rate limit."""
        while True:
            targets = self._list_targets(is_busy)
            min_round_s = len(targets) / self._settings.polls_per_s
            await self._poll_round(targets, max(period_s, min_round_s))

    async def _poll_round(
        self, targets: list[tuple[str, HostEntry]], round_s: float
    ) -> None:
        """Poll each target once, in random order and spread over the round."""
        if not targets:
            await asyncio.sleep(round_s)
            return
        self._random.shuffle(targets)
        step_s = round_s / len(targets)
        polls = []
        for service, entry in targets:
            polls.append(asyncio.create_task(self._poll(service, entry)))
            await asyncio.sleep(step_s * self._random.uniform(0.5, 1.5))
        await asyncio.gather(*polls)

    def _list_targets(self, is_busy: bool) -> list[tuple[str, HostEntry]]:
        """Return the live backend servers of the busy or of the idle services."""
        targets = []
        for service in self._configuration.current.services:
            if self._is_busy(service) is not is_busy:
                continue
            for entry in self._membership.list_backends(service):
                if entry.is_leaving:
                    continue
                targets.append((service, entry))
        return targets

    def _is_busy(self, service: str) -> bool:
        """Return whether the service got a request within `busy_ms`."""
        last_request_at = self._last_request_at.get(service)
        if last_request_at is None:
            return False
        return (
            self._clock.monotonic() - last_request_at
            < self._settings.busy_ms / MS_PER_S
        )

    async def _poll(self, service: str, entry: HostEntry) -> None:
        """Poll the load report, and the cache events if the service has a cache."""
        timeout_s = self._settings.poll_timeout_ms / MS_PER_S
        try:
            report = await fetch_load(self._client, entry, timeout_s)
        except PollError:
            now = self._clock.monotonic()
            self._apply_effects(self._core.note_report_failed(service, entry.host, now))
            return
        now = self._clock.monotonic()
        self._core.note_report(service, entry.host, report, now)
        if not self._has_prefix_cache(service):
            return
        after = self._core.prefixes.find_sequence(entry.host)
        try:
            reply = await fetch_events(self._client, entry, after, timeout_s)
        except PollError:
            return
        self._apply_effects(self._core.note_events(entry.host, reply))

    def _has_prefix_cache(self, service: str) -> bool:
        """Return whether the service's backend servers have a prefix cache.

        Only the servers of model services do.
        """
        entry = self._configuration.current.services.get(service)
        return entry is not None and entry.kind == MODEL_KIND
