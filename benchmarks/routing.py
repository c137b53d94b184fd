"""Measures routing on virtual time against random, round robin, least in-flight."""

from __future__ import annotations

import sys
from typing import TYPE_CHECKING

import attrs

from benchmarks._engines import Engine, EngineLimits, EngineRequest, Timeline
from benchmarks._policies import (
    CoreRouter,
    LeastInFlight,
    Place,
    RandomChoice,
    RoundRobin,
    Router,
    RouterFactory,
)
from benchmarks._workload import (
    CLASSES,
    MANY_PREFIXES,
    SHORT_TRAFFIC,
    ClassMix,
    WorkItem,
    make_items,
)
from benchmarks.report import Bound, finish_benchmark
from bronzesail.errors import Refusal

if TYPE_CHECKING:
    from collections.abc import Callable

    from bronzesail.routing import Route

DURATION_S = 60.0
WARM_UP_S = 15.0
DRAIN_S = 240.0
SEED = 20
LINK_ONE_WAY_S = 0.030
REGIONS = {f"b{n}": ("east" if n < 6 else "west") for n in range(9)}
ROUTERS = {f"r{n}": ("east" if n < 5 else "west") for n in range(8)}
EAST_SHARE = 6 / 9
SLICE_S = 5.0
OVERLOAD_PER_S = 130.0
HIT_RATIO_BOUND = 1.3
REVIEW_DEADLINE_S = 120.0
REFUSAL_SLACK_S = 0.1
MS_PER_S = 1000.0

Results = dict[str, dict[str, dict[str, float]]]


@attrs.frozen
class Scenario:
    """Load, classes and engines of one comparison.

    Attributes
    ----------
    name : str
        Name in the results.
    load : float
        Requests as a share of the capacity.
    classes : tuple of ClassMix
        Classes of the requests.
    limits : EngineLimits
        Speeds and sizes of the engines.
    east_share : float
        Share of the requests that come in at the eastern region.
    regions : dict of str to str
        Region of each engine.
    routers : dict of str to str
        Region of each router.
    """

    name: str
    load: float
    classes: tuple[ClassMix, ...] = CLASSES
    limits: EngineLimits = EngineLimits()
    east_share: float = EAST_SHARE
    regions: dict[str, str] = attrs.field(factory=lambda: REGIONS, hash=False)
    routers: dict[str, str] = attrs.field(factory=lambda: ROUTERS, hash=False)


SCENARIOS = (
    Scenario("load_60", 0.60),
    Scenario("load_85", 0.85),
    Scenario("load_110", 1.10),
    Scenario("shared_prefixes", 0.85, MANY_PREFIXES, EngineLimits(cache_blocks=1500)),
    Scenario("short_traffic", 1.40, SHORT_TRAFFIC),
    Scenario("skewed_regions", 0.70, east_share=0.45),
)


@attrs.define
class Record:
    """What became of one request."""

    item: WorkItem
    ttft_s: float = -1.0
    end_s: float = -1.0
    refusal: Refusal | None = None
    refused_after_s: float = -1.0


@attrs.define
class Outcome:
    """All records of one run."""

    records: list[Record]
    engines: list[Engine]
    link_bytes: int = 0

    def list_ttft(self, class_name: str) -> list[float]:
        """Return the sorted times to first token of a class, warm-up left out."""
        return sorted(
            r.ttft_s
            for r in self.records
            if r.item.mix.name == class_name and r.ttft_s >= 0 and r.item.at > WARM_UP_S
        )

    def count_refused(self, class_name: str) -> int:
        """Return the number of refusals of a class."""
        return sum(
            r.refusal is not None and r.item.mix.name == class_name
            for r in self.records
        )

    def count_late_refusals(self) -> int:
        """Return the refusals that came after the request's deadline."""
        return sum(
            r.refused_after_s > r.item.mix.deadline_s + REFUSAL_SLACK_S
            for r in self.records
        )

    def find_hit_share(self) -> float:
        """Return the share of prompt tokens that came from a cache."""
        n_prompt = sum(e.n_prompt_tokens for e in self.engines)
        return sum(e.n_cached_tokens for e in self.engines) / max(1, n_prompt)

    def find_imbalance(self) -> float:
        """Return the busiest engine's prompt tokens over the mean."""
        counts = [e.n_prompt_tokens for e in self.engines]
        return max(counts) * len(counts) / max(1, sum(counts))


class Simulation:
    """Runs one workload under one policy."""

    def __init__(self, make_router: RouterFactory, scenario: Scenario) -> None:
        self.scenario = scenario
        self.timeline = Timeline()
        self.engines = {
            host: Engine(self.timeline, scenario.limits, seed, host)
            for seed, host in enumerate(scenario.regions)
        }
        self.routers = {
            name: make_router(self._make_place(region), self.timeline, seed)
            for seed, (name, region) in enumerate(scenario.routers.items())
        }
        self.records: dict[int, Record] = {}

    def run(self, items: list[WorkItem]) -> Outcome:
        """Run a workload to its end."""
        for item in items:
            self.records[item.number] = Record(item)
            self.timeline.call_at(item.at, self._make_arrival(item))
        while self._is_open() and self.timeline.now < DURATION_S + DRAIN_S:
            self.timeline.run(self.timeline.now + SLICE_S)
        link_bytes = sum(
            r.count_link_bytes()
            for r in self.routers.values()
            if isinstance(r, CoreRouter)
        )
        return Outcome(
            list(self.records.values()), list(self.engines.values()), link_bytes
        )

    def _make_place(self, region: str) -> Place:
        n_routers = list(self.scenario.routers.values()).count(region)
        return Place(region, self.engines, self.scenario.regions, n_routers)

    def _is_open(self) -> bool:
        return any(
            record.end_s < 0 and record.refusal is None
            for record in self.records.values()
        )

    def _make_arrival(self, item: WorkItem) -> Callable[[], None]:
        region = "east" if item.place < self.scenario.east_share else "west"
        names = [n for n, r in self.scenario.routers.items() if r == region]
        router = self.routers[names[item.number % len(names)]]
        flight = _Flight(self, router, region)
        return lambda: router.submit(item, flight)


@attrs.frozen
class _Flight:
    """Carries dispatches between one router and the engines."""

    simulation: Simulation
    router: Router
    region: str

    def dispatch(
        self, item: WorkItem, host: str, priority: float, route: Route | None
    ) -> None:
        """Send a request to an engine."""
        timeline = self.simulation.timeline
        delay_s = (
            0.0
            if self.simulation.scenario.regions[host] == self.region
            else LINK_ONE_WAY_S
        )
        record = self.simulation.records[item.number]

        def take_first_token() -> None:
            record.ttft_s = timeline.now - item.at
            self.router.note_first_token(host, route)

        def take_end() -> None:
            record.end_s = timeline.now - item.at
            self.router.release(item, host, route)

        request = EngineRequest(
            item.hashes,
            item.prompt_tokens,
            item.output_tokens,
            priority,
            lambda: timeline.call_later(delay_s, take_first_token),
            lambda: timeline.call_later(delay_s, take_end),
        )
        engine = self.simulation.engines[host]
        timeline.call_later(delay_s, lambda: engine.submit(request))

    def refuse(self, item: WorkItem, refusal: Refusal) -> None:
        """Answer a request with a refusal."""
        record = self.simulation.records[item.number]
        record.refusal = refusal
        record.refused_after_s = self.simulation.timeline.now - item.at


POLICIES: dict[str, RouterFactory] = {
    "bronzesail": CoreRouter,
    "random": RandomChoice,
    "round_robin": RoundRobin,
    "least_in_flight": LeastInFlight,
}


def measure_capacity(scenario: Scenario) -> float:
    """Return the requests a second that least in-flight completes under overload."""
    items = make_items(OVERLOAD_PER_S, DURATION_S, SEED, scenario.classes)
    simulation = Simulation(LeastInFlight, scenario)
    outcome = simulation.run(items)
    ended = [
        r for r in outcome.records if r.end_s >= 0 and r.item.at + r.end_s < DURATION_S
    ]
    late = [r for r in ended if r.item.at + r.end_s > WARM_UP_S]
    return len(late) / (DURATION_S - WARM_UP_S)


def find_percentile(values: list[float], percent: float) -> float:
    """Return a percentile of sorted values."""
    if not values:
        return 0.0
    return values[min(len(values) - 1, int(len(values) * percent / 100))]


def summarize(outcome: Outcome) -> dict[str, float]:
    """Return the figures of one run, with units in the keys."""
    figures: dict[str, float] = {
        "hit_share": round(outcome.find_hit_share(), 4),
        "imbalance_ratio": round(outcome.find_imbalance(), 3),
        "link_bytes_per_request": round(outcome.link_bytes / len(outcome.records), 1),
        "late_refusals": outcome.count_late_refusals(),
    }
    for mix in CLASSES:
        values = outcome.list_ttft(mix.name)
        for percent in (50, 95, 99):
            key = f"{mix.name}_ttft_p{percent}_ms"
            figures[key] = round(find_percentile(values, percent) * MS_PER_S, 1)
        figures[f"{mix.name}_longest_s"] = round(max(values, default=0.0), 2)
        figures[f"{mix.name}_served"] = len(values)
        figures[f"{mix.name}_refused"] = outcome.count_refused(mix.name)
    return figures


def print_table(scenario: str, rows: dict[str, dict[str, float]]) -> None:
    """Print one scenario for people."""
    print(f"\n{scenario}")
    print(f"{'policy':16} {'hit':>6} {'imbal':>6}  ", end="")
    for mix in CLASSES:
        print(f"{mix.name + ' p50/p95/p99 ms, refused':>38}", end="")
    print()
    for name, figures in rows.items():
        print(f"{name:16} {figures['hit_share']:6.3f}", end=" ")
        print(f"{figures['imbalance_ratio']:6.2f}", end="  ")
        for mix in CLASSES:
            numbers = "/".join(
                f"{figures[f'{mix.name}_ttft_p{p}_ms']:.0f}" for p in (50, 95, 99)
            )
            refused = int(figures[f"{mix.name}_refused"])
            print(f"{numbers + f', {refused}':>38}", end="")
        print()


def list_bounds(results: Results) -> list[Bound]:
    """Return the stated bounds with what was measured."""
    bounds = []
    ours = results["bronzesail"]
    for name, figures in ours.items():
        bounds += [
            Bound(f"{name} review_refused", figures["review_refused"], 0),
            Bound(
                f"{name} review_longest_s",
                figures["review_longest_s"],
                REVIEW_DEADLINE_S,
            ),
            Bound(f"{name} late_refusals", figures["late_refusals"], 0),
        ]
    shared = ours["shared_prefixes"]
    least = results["least_in_flight"]["shared_prefixes"]
    wanted = HIT_RATIO_BOUND * least["hit_share"]
    bounds.append(
        Bound("shared_prefixes wanted / reached hit", wanted / shared["hit_share"], 1.0)
    )
    for mix in CLASSES:
        key = f"{mix.name}_ttft_p99_ms"
        bounds.append(Bound(f"shared_prefixes {key}", shared[key], least[key]))
    return bounds


def run_scenarios() -> Results:
    """Run every scenario under every policy."""
    results: Results = {name: {} for name in POLICIES}
    capacities: dict[tuple[ClassMix, ...], float] = {}
    for scenario in SCENARIOS:
        if scenario.classes not in capacities:
            capacities[scenario.classes] = measure_capacity(scenario)
        rate = capacities[scenario.classes] * scenario.load
        items = make_items(rate, DURATION_S, SEED + 1, scenario.classes)
        rows = {}
        for name, factory in POLICIES.items():
            rows[name] = summarize(Simulation(factory, scenario).run(items))
            results[name][scenario.name] = rows[name]
        print_table(f"{scenario.name}: {rate:.1f} requests/s", rows)
    return results


def main() -> int:
    """Run the comparison, keep its figures and check the bounds."""
    results = run_scenarios()
    bounds = list_bounds(results)
    figures = results.pop("bronzesail")
    return finish_benchmark("routing", figures, results, bounds)


if __name__ == "__main__":
    sys.exit(main())
