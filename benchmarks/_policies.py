"""Routing policies under the same workload: bronzesail's core and baselines."""

from __future__ import annotations

import random
from collections.abc import Callable
from typing import TYPE_CHECKING, Protocol

import attrs

from benchmarks._engines import Engine, Timeline
from bronzesail.routing import (
    Chosen,
    LinkRateLimiter,
    LinkUse,
    Refused,
    Route,
    RouteRequest,
    RoutingCore,
)
from bronzesail.schema import CacheEventsReply, HostEntry, RoutingSettings

if TYPE_CHECKING:
    from benchmarks._workload import WorkItem
    from bronzesail.errors import Refusal

__all__ = [
    "Baseline",
    "CoreRouter",
    "LeastInFlight",
    "Place",
    "RandomChoice",
    "Router",
    "RoundRobin",
    "Sender",
]

MS_PER_S = 1000.0
TICK_S = 0.05
SERVICE = "desk"


@attrs.frozen
class Place:
    """Engines as one router sees them.

    Attributes
    ----------
    region : str
        Region of the router.
    engines : dict of str to Engine
        All engines by host.
    regions : dict of str to str
        Region of each engine.
    n_routers : int
        Routers of the region.
    """

    region: str
    engines: dict[str, Engine]
    regions: dict[str, str]
    n_routers: int

    def list_local(self) -> list[str]:
        """Return the engines of the router's region."""
        return [host for host, region in self.regions.items() if region == self.region]


class Sender(Protocol):
    """Takes the outcome of a routing decision."""

    def dispatch(
        self, item: WorkItem, host: str, priority: float, route: Route | None
    ) -> None:
        """Send a request to an engine."""

    def refuse(self, item: WorkItem, refusal: Refusal) -> None:
        """Answer a request with a refusal."""


class Router(Protocol):
    """One router of a policy."""

    def submit(self, item: WorkItem, sender: Sender) -> None:
        """Take a request."""

    def note_first_token(self, host: str, route: Route | None) -> None:
        """Learn that an answer began."""

    def release(self, item: WorkItem, host: str, route: Route | None) -> None:
        """Learn that an answer ended."""


class Baseline:
    """Router without a queue: each request is sent at once to a local engine."""

    def __init__(self, place: Place, timeline: Timeline, seed: int) -> None:
        self.hosts = place.list_local()
        self.rng = random.Random(seed)
        self.in_flight = dict.fromkeys(self.hosts, 0)

    def pick(self) -> str:
        """Return the engine for the next request."""
        raise NotImplementedError

    def submit(self, item: WorkItem, sender: Sender) -> None:
        """Take a request."""
        host = self.pick()
        self.in_flight[host] += 1
        sender.dispatch(item, host, item.mix.priority, None)

    def note_first_token(self, host: str, route: Route | None) -> None:
        """Learn that an answer began."""

    def release(self, item: WorkItem, host: str, route: Route | None) -> None:
        """Learn that an answer ended."""
        self.in_flight[host] -= 1


class RandomChoice(Baseline):
    """Picks an engine at random."""

    def pick(self) -> str:
        """Return the engine for the next request."""
        return self.rng.choice(self.hosts)


class RoundRobin(Baseline):
    """Picks the engines in turn."""

    _next = 0

    def pick(self) -> str:
        """Return the engine for the next request."""
        if self._next == 0:
            self._next = self.rng.randrange(len(self.hosts)) + 1
        self._next += 1
        return self.hosts[self._next % len(self.hosts)]


class LeastInFlight(Baseline):
    """Picks the engine with the fewest own requests in flight."""

    def pick(self) -> str:
        """Return the engine for the next request."""
        return min(self.hosts, key=lambda h: (self.in_flight[h], self.rng.random()))


class CoreRouter:
    """Router that decides with `RoutingCore`."""

    def __init__(
        self,
        place: Place,
        timeline: Timeline,
        seed: int,
        settings: RoutingSettings | None = None,
        link_bytes_per_s: float = 1_875_000.0 / 8,
    ) -> None:
        self._place = place
        self._timeline = timeline
        self._rng = random.Random(seed)
        self._settings = settings or RoutingSettings()
        self._waiting: dict[int, tuple[WorkItem, Sender]] = {}
        self.link = LinkRateLimiter(link_bytes_per_s, timeline.now)
        self.core = RoutingCore(self._settings, place.region, self.link)
        entries = [
            HostEntry(host, SERVICE, host, region, region)
            for host, region in place.regions.items()
        ]
        self.core.update_servers(SERVICE, entries, timeline.now, place.n_routers)
        timeline.call_later(self._rng.random() * TICK_S, self._tick)
        for host in place.regions:
            self._poll_later(host)

    def submit(self, item: WorkItem, sender: Sender) -> None:
        """Take a request."""
        now = self._timeline.now
        order = RouteRequest(
            service=SERVICE,
            request_key=str(item.number),
            prompt=item.prompt,
            prompt_tokens=item.prompt_tokens,
            output_tokens=int(item.mix.output_tokens * 1.5),
            class_name=item.mix.name,
            priority=item.mix.priority,
            ageing_ms=item.mix.ageing_ms,
            deadline=item.at + item.mix.deadline_s,
        )
        number, effects = self.core.submit(order, now, self._rng)
        self._waiting[number] = (item, sender)
        self._run(effects)

    def note_first_token(self, host: str, route: Route | None) -> None:
        """Learn that an answer began."""
        if route is not None:
            self.core.note_first_token(route)

    def release(self, item: WorkItem, host: str, route: Route | None) -> None:
        """Learn that an answer ended."""
        if route is None:
            return
        now = self._timeline.now
        self._run(self.core.release(route, item.output_tokens, False, now, self._rng))

    def count_link_bytes(self) -> int:
        """Return the bytes of requests and answers across the link."""
        return self.link.count_bytes(LinkUse.DATA)

    def _run(self, effects: list[object]) -> None:
        for effect in effects:
            if isinstance(effect, Chosen):
                item, sender = self._waiting.pop(effect.number)
                waited_ms = (self._timeline.now - item.at) * MS_PER_S
                rank = item.mix.priority - waited_ms / item.mix.ageing_ms
                route = effect.route
                sender.dispatch(item, route.backend.host, rank, route)
            elif isinstance(effect, Refused):
                item, sender = self._waiting.pop(effect.number)
                sender.refuse(item, effect.refusal)

    def _tick(self) -> None:
        self._run(self.core.advance(self._timeline.now, self._rng))
        self._timeline.call_later(TICK_S, self._tick)

    def _poll_later(self, host: str) -> None:
        period_s = self._settings.poll_period_ms / MS_PER_S
        delay_s = period_s * self._rng.uniform(0.5, 1.5)
        self._timeline.call_later(delay_s, lambda: self._poll(host))

    def _poll(self, host: str) -> None:
        engine = self._place.engines[host]
        now = self._timeline.now
        self.core.note_report(SERVICE, host, engine.read_load(), now)
        after = self.core.prefixes.find_sequence(host)
        reply = CacheEventsReply(engine.read_events(after), incarnation=1)
        self.core.note_events(host, reply)
        self._poll_later(host)


RouterFactory = Callable[[Place, Timeline, int], Router]
