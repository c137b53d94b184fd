"""Measures the fleet: propagation, control cost, detection, false detections.

Run by ``make bench-fleet``. All routers share one process and its loop, with real
websockets over loopback and a link of 30 ms between two regions; the cost of 340
routers comes from the same cores over a simulated network.
"""

from __future__ import annotations

import asyncio
import random
import sys
import time
from typing import TYPE_CHECKING

from returns.pipeline import is_successful

from benchmarks._fleet_world import REGIONS, BenchRouter, FleetWorld, make_change
from benchmarks.report import write_result
from bronzesail.configuration._store import append_entry
from bronzesail.schema import (
    Acknowledgement,
    ConfigurationVersion,
    HostEntry,
    MembersPull,
    Row,
)
from tests.membership_simulation import Simulation

if TYPE_CHECKING:
    from collections.abc import Callable

    from bronzesail.schema import RouterId

SEED = 20261203
FLEET_SIZES = (2, 4, 8, 16)
N_ROUTERS = 16
REST_S = 6.0
N_APPLIES = 25
N_KILLS = 4
N_SILENCES = 4
N_CUTS = 2
POLL_S = 0.005
LOAD_REQUESTS_PER_S = 20
REQUEST_LIMIT_S = 30.0
STALL_S = (0.1, 0.8)
STALL_PERIOD_S = 1.0
LOADED_S = 15.0
SIMULATED_ROUTERS = 340
SIMULATED_WARM_UP_S = 15.0
SIMULATED_REST_S = 15.0
CHANGES_PER_DAY = 180
SECONDS_PER_DAY = 86_400
PAUSED_ROUTERS = 40
PAUSED_S = 150.0

MAX_IN_FORCE_MS = 9000.0
MAX_CONTROL_BYTES_PER_S = 3000.0
MAX_CPU_SHARE = 0.014
MAX_LEAVING_MARK_MS = 3000.0

Figures = dict[str, float]


def find_percentile(values: list[float], share: float) -> float:
    """Return a percentile of some values."""
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]


def summarize(times_s: list[float], name: str) -> Figures:
    """Return p50, p99 and the greatest of some times, in milliseconds."""
    return {
        f"{name}_p50_ms": round(find_percentile(times_s, 0.5) * 1000, 1),
        f"{name}_p99_ms": round(find_percentile(times_s, 0.99) * 1000, 1),
        f"{name}_max_ms": round(max(times_s) * 1000, 1),
    }


async def wait_for(condition: Callable[[], bool], limit_s: float = 60.0) -> float:
    """Return the time until a condition holds, in seconds."""
    begun = time.monotonic()
    while not condition():
        if time.monotonic() - begun > limit_s:
            return limit_s
        await asyncio.sleep(POLL_S)
    return time.monotonic() - begun


async def measure_rest(n_routers: int) -> Figures:
    """Measure what a fleet at rest costs a router and a second."""
    world = FleetWorld()
    await world.start(n_routers)
    await asyncio.sleep(3.0)
    counts = [router.fleet.network.traffic for router in world.running]
    sent = sum(count.sent_bytes for count in counts)
    received = sum(count.received_bytes for count in counts)
    reads = sum(router.configuration.store_reads for router in world.running)
    list_reads = sum(router.fleet.n_list_reads for router in world.running)
    begun_cpu, begun = time.process_time(), time.monotonic()
    await asyncio.sleep(REST_S)
    spent = time.monotonic() - begun
    cpu = time.process_time() - begun_cpu
    per_router = spent * n_routers
    figures = {
        "sent_bytes_per_s": sum(c.sent_bytes for c in counts) - sent,
        "received_bytes_per_s": sum(c.received_bytes for c in counts) - received,
        "cpu_share": cpu,
    }
    figures = {name: round(value / per_router, 5) for name, value in figures.items()}
    after = sum(router.configuration.store_reads for router in world.running)
    figures["fleet_store_reads_per_s"] = round((after - reads) / spent, 2)
    after = sum(router.fleet.n_list_reads for router in world.running)
    figures["fleet_list_reads_per_s"] = round((after - list_reads) / spent, 2)
    await world.stop()
    return figures


def fit_slope(sizes: tuple[int, ...], values: list[float]) -> float:
    """Return the least-squares slope of values over sizes."""
    mean_size = sum(sizes) / len(sizes)
    mean_value = sum(values) / len(values)
    top = sum(
        (size - mean_size) * (value - mean_value)
        for size, value in zip(sizes, values, strict=True)
    )
    return top / sum((size - mean_size) ** 2 for size in sizes)


class Faults:
    """Random faults between applies.

    Parameters
    ----------
    world : FleetWorld
        The fleet.
    source : random.Random
        Source of the choices.
    """

    def __init__(self, world: FleetWorld, source: random.Random) -> None:
        self._world = world
        self._random = source
        self._n_started = 0

    async def bring_about(self) -> None:
        """Choose one fault."""
        faults = self._world.table.faults
        faults.delay_s = 0.0
        match self._random.randrange(5):
            case 0:
                faults.loses_next_answers = 1
            case 1:
                faults.delay_s = 0.3
            case 2:
                for relay in self._world.relays:
                    relay.silence_connections()
            case 3:
                host = self._random.choice(list(self._world.routers))
                region = self._world.routers[host].region
                await self._world.kill(host)
                self._n_started += 1
                await self._world.add(f"late-{self._n_started}", region)
            case _:
                self._world.hosts.faults.is_down = not self._world.hosts.faults.is_down


async def load_network(world: FleetWorld, source: random.Random) -> None:
    """Send small requests between random routers, until cancelled."""

    async def answer(peer: object, message: Row) -> Acknowledgement:
        return Acknowledgement()

    async def ask(sender: BenchRouter, receiver: BenchRouter) -> None:
        try:
            peer = receiver.fleet.own.router_id
            await sender.fleet.request(peer, Row("key", 1, b"x" * 100), 1.0)
        except Exception:
            return

    for router in world.running:
        router.fleet.register(Row, answer)
    pending: set[asyncio.Task[None]] = set()
    while True:
        await asyncio.sleep(1 / LOAD_REQUESTS_PER_S)
        routers = world.running
        for sender in routers:
            task = asyncio.create_task(ask(sender, source.choice(routers)))
            pending.add(task)
            task.add_done_callback(pending.discard)


async def measure_propagation(is_loaded: bool, is_faulty: bool) -> Figures:
    """Measure the time from apply to in force on the last router."""
    world = FleetWorld()
    source = random.Random(SEED)
    await world.start(N_ROUTERS)
    load = None
    if is_loaded:
        load = asyncio.create_task(load_network(world, source))
    faults = Faults(world, source)
    times: list[float] = []
    returns: list[float] = []
    version = 0
    while version < N_APPLIES:
        if is_faulty:
            await faults.bring_about()
        await asyncio.sleep(source.uniform(0.05, 0.3))
        router = source.choice(world.running)
        running = world.running
        begun = time.monotonic()
        result = await router.configuration.apply(
            "bench", router.configuration.current.version, make_change(version)
        )
        if not is_successful(result):
            continue
        returns.append(time.monotonic() - begun)
        version = result.unwrap().version
        await wait_for(lambda r=running, v=version: has_version(r, v))
        last = max(find_time(router, version) for router in running)
        times.append(last - begun)
    if load is not None:
        load.cancel()
    await world.stop()
    return {**summarize(times, "in_force"), **summarize(returns, "apply_returns")}


def has_version(routers: list[BenchRouter], version: int) -> bool:
    """Tell whether every router has a version."""
    return all(r.configuration.current.version >= version for r in routers)


def find_time(router: BenchRouter, version: int) -> float:
    """Return when a router reached a version."""
    return min(at for known, at in router.versions.items() if known >= version)


async def measure_polling(is_faulty: bool) -> Figures:
    """Measure the baseline: every router polls the store alone."""
    world = FleetWorld(is_alone=True)
    source = random.Random(SEED)
    await world.start(N_ROUTERS)
    faults = Faults(world, source)
    times = []
    reads = sum(router.configuration.store_reads for router in world.running)
    begun_all = time.monotonic()
    for version in range(1, N_APPLIES + 1):
        if is_faulty:
            await faults.bring_about()
        await asyncio.sleep(source.uniform(0.05, 0.3))
        running = world.running
        entry = ConfigurationVersion(version, "bench", 1, make_change(version), "id")
        begun = time.monotonic()
        await append_entry(running[0].table, entry, 30.0)
        await wait_for(lambda r=running, v=version: has_version(r, v))
        times.append(max(find_time(router, version) for router in running) - begun)
    spent = time.monotonic() - begun_all
    after = sum(router.configuration.store_reads for router in world.running)
    figures = summarize(times, "in_force")
    figures["fleet_store_reads_per_s"] = round((after - reads) / spent, 2)
    await world.stop()
    return figures


async def measure_detection() -> dict[str, Figures]:
    """Measure how soon faults are noticed by every router that is to notice."""
    world = FleetWorld()
    source = random.Random(SEED)
    await world.start(N_ROUTERS)
    await asyncio.sleep(3.0)
    killed = [await time_kill(world, source, n) for n in range(N_KILLS)]
    silent = [await time_silence(world) for _ in range(N_SILENCES)]
    cuts, heals = [], []
    for _ in range(N_CUTS):
        world.link.is_cut = True
        cuts.append(await wait_for(lambda: count_cut(world) == N_ROUTERS))
        world.link.is_cut = False
        heals.append(await world.wait_until_complete())
        await asyncio.sleep(1.0)
    deaths = len(list_declared_dead(world))
    marks = await time_leaving_mark(world)
    await world.stop()
    return {
        "killed_router": summarize(killed, "detected"),
        "silent_connection": summarize(silent, "request_answered"),
        "cut_region": {**summarize(cuts, "detected"), **summarize(heals, "healed")},
        "leaving_backend": {"marked_everywhere_max_ms": round(marks * 1000, 1)},
        "deaths": {"declared_hosts": deaths, "killed_hosts": N_KILLS},
    }


def list_declared_dead(world: FleetWorld) -> set[str]:
    """Return the hosts that any running router declared dead."""
    hosts = set()
    for router in world.running:
        for item in router.decisions.find("fleet"):
            if item.text.endswith("is declared dead"):
                hosts.add(item.text.split()[0])
    return hosts


def count_cut(world: FleetWorld) -> int:
    """Return how many routers know that the other region is cut off."""
    return sum(bool(router.fleet.cut_regions) for router in world.running)


async def time_kill(world: FleetWorld, source: random.Random, number: int) -> float:
    """Kill a router, wait until all know, start another one."""
    host = source.choice(list(world.routers))
    victim = await world.kill(host)
    spent = await wait_for(
        lambda: (
            not any(
                router.fleet.is_listed(victim.fleet.own.router_id)
                for router in world.running
            )
        )
    )
    await world.add(f"new-{number}", victim.region)
    await world.wait_until_complete()
    await asyncio.sleep(1.0)
    return spent


async def time_silence(world: FleetWorld) -> float:
    """Silence the link's connections; return the longest wait of a request."""
    region_of = {r.fleet.own.router_id: r.region for r in world.running}
    for relay in world.relays:
        relay.silence_connections()
    waits = []
    for router in world.running:
        for peer in router.fleet.list_neighbours():
            if region_of.get(peer) not in (None, router.region):
                waits.append(time_request(router, peer))
    times = await asyncio.gather(*waits)
    await asyncio.sleep(3.0)
    return max(times)


async def time_request(router: BenchRouter, peer: RouterId) -> float:
    """Return the time until a peer answers, in seconds."""
    begun = time.monotonic()
    await router.fleet.request(peer, MembersPull(), REQUEST_LIMIT_S)
    return time.monotonic() - begun


async def time_leaving_mark(world: FleetWorld) -> float:
    """Mark a backend server as leaving and wait until every router knows."""
    entry = HostEntry("engine", "desk", "127.0.0.1:1", "amman-a", REGIONS[0])
    world.hosts.set_host(entry)
    await wait_for(
        lambda: all(router.fleet.list_backends("desk") for router in world.running)
    )
    world.hosts.set_host(
        HostEntry("engine", "desk", "127.0.0.1:1", "amman-a", REGIONS[0], True)
    )
    return await wait_for(
        lambda: all(
            router.fleet.list_backends("desk")[0].is_leaving for router in world.running
        )
    )


async def measure_loaded_machine() -> Figures:
    """Count detections while the loop stalls again and again."""
    world = FleetWorld()
    source = random.Random(SEED)
    await world.start(N_ROUTERS)
    begun = time.monotonic()
    while time.monotonic() - begun < LOADED_S:
        time.sleep(source.uniform(*STALL_S))  # noqa: ASYNC251
        await asyncio.sleep(STALL_PERIOD_S * source.random())
    words = ("declared dead", "is suspected")
    deaths, suspicions = (
        sum(router.count_decisions(word) for router in world.running) for word in words
    )
    await world.stop()
    return {"false_deaths": deaths, "false_suspicions": suspicions}


def simulate_pauses() -> Figures:
    """Count detections while single routers stand still for up to 1.5 s."""
    source = random.Random(SEED)
    simulation = Simulation()
    for index in range(PAUSED_ROUTERS):
        simulation.add(f"host-{index:03d}", f"region-{index % 2}")
    simulation.run(20.0)
    end = simulation.now + PAUSED_S
    while simulation.now < end:
        node = source.choice(simulation.nodes)
        node.is_paused = True
        simulation.run(source.uniform(0.2, 1.5))
        node.is_paused = False
        simulation.run(source.uniform(0.0, 0.5))
    words = ("declared dead", "is suspected")
    deaths, suspicions = (
        sum(word in text for node in simulation.nodes for text in node.decisions)
        for word in words
    )
    return {"false_deaths": deaths, "false_suspicions": suspicions}


def simulate_fleet() -> Figures:
    """Measure the membership of the letter's fleet at rest."""
    simulation = Simulation()
    for index in range(SIMULATED_ROUTERS):
        simulation.add(f"host-{index:03d}", f"region-{index % 4}")
    simulation.run(SIMULATED_WARM_UP_S)
    before = [node.sent_bytes for node in simulation.nodes]
    begun_cpu = time.process_time()
    simulation.run(SIMULATED_REST_S)
    cpu = time.process_time() - begun_cpu
    sent = [
        node.sent_bytes - count
        for node, count in zip(simulation.nodes, before, strict=True)
    ]
    rates = [count / SIMULATED_REST_S for count in sent]
    extra = simulate_restart(simulation) - sum(sent)
    return {
        "routers": SIMULATED_ROUTERS,
        "sent_bytes_per_s_p50": round(find_percentile(rates, 0.5), 1),
        "sent_bytes_per_s_max": round(max(rates), 1),
        "core_cpu_share": round(cpu / SIMULATED_REST_S / SIMULATED_ROUTERS, 5),
        "disagreements": len(simulation.find_disagreements()),
        "fleet_bytes_per_restart": extra,
        "restarts_bytes_per_router_s": round(
            extra * CHANGES_PER_DAY / SECONDS_PER_DAY / SIMULATED_ROUTERS, 4
        ),
    }


def simulate_restart(simulation: Simulation) -> int:
    """Restart one router; return the fleet's bytes in as long a time as at rest."""
    before = sum(node.sent_bytes for node in simulation.nodes)
    victim = simulation.nodes[SIMULATED_ROUTERS // 2]
    victim.is_running = False
    simulation.add(victim.host, victim.region)
    simulation.run(SIMULATED_REST_S)
    return sum(node.sent_bytes for node in simulation.nodes) - before


def find_broken_bounds(figures: dict[str, Figures]) -> list[str]:
    """Return one sentence for each bound of the letter that does not hold."""
    broken = []
    for name, row in figures.items():
        if row.get("in_force_max_ms", 0.0) > MAX_IN_FORCE_MS:
            broken.append(f"{name}: in force after more than 9 s")
        control = row.get("sent_bytes_per_s", 0.0) + row.get("received_bytes_per_s", 0)
        if control > MAX_CONTROL_BYTES_PER_S:
            broken.append(f"{name}: control over 3 KB/s")
        if row.get("sent_bytes_per_s_max", 0.0) * 2 > MAX_CONTROL_BYTES_PER_S:
            broken.append(f"{name}: control over 3 KB/s, sent and received")
        if row.get("cpu_share", 0.0) > MAX_CPU_SHARE:
            broken.append(f"{name}: more than 1.4% of a core")
        if row.get("marked_everywhere_max_ms", 0.0) > MAX_LEAVING_MARK_MS:
            broken.append(f"{name}: a leaving backend server was offered after 3 s")
        if row.get("declared_hosts", 0.0) > row.get("killed_hosts", 0.0):
            broken.append(f"{name}: a router that ran was declared dead")
        if row.get("false_deaths", 0.0) or row.get("disagreements", 0.0):
            broken.append(f"{name}: false detection")
    return broken


def print_table(figures: dict[str, Figures]) -> None:
    """Print one line a figure."""
    for name, row in figures.items():
        for key, value in row.items():
            print(f"{name:32} {key:32} {value:>12}")


def measure_all() -> tuple[dict[str, Figures], dict[str, Figures]]:
    """Run every scenario; return the fleet's figures and the baseline's."""
    ours: dict[str, Figures] = {}
    for size in FLEET_SIZES:
        ours[f"rest_{size}_routers"] = asyncio.run(measure_rest(size))
    slopes = {}
    for key in ("sent_bytes_per_s", "cpu_share"):
        values = [ours[f"rest_{size}_routers"][key] for size in FLEET_SIZES]
        slopes[f"{key}_per_router"] = round(fit_slope(FLEET_SIZES, values), 6)
    ours["slope"] = slopes
    ours["propagation_rest"] = asyncio.run(measure_propagation(False, False))
    ours["propagation_load"] = asyncio.run(measure_propagation(True, False))
    ours["propagation_faults"] = asyncio.run(measure_propagation(True, True))
    for name, row in asyncio.run(measure_detection()).items():
        ours[name] = row
    ours["loaded_machine"] = asyncio.run(measure_loaded_machine())
    ours["paused_routers_simulated"] = simulate_pauses()
    ours["letter_size_simulated"] = simulate_fleet()
    baseline = {
        "propagation_rest": asyncio.run(measure_polling(False)),
        "propagation_faults": asyncio.run(measure_polling(True)),
    }
    return ours, baseline


def main() -> int:
    """Run the scenarios, keep the figures and check the bounds."""
    ours, baseline = measure_all()
    print_table(ours)
    print_table({f"baseline {name}": row for name, row in baseline.items()})
    broken = find_broken_bounds(ours)
    for text in broken:
        print(f"bound broken: {text}")
    print(write_result("fleet", ours, {"polling_alone": baseline}))
    return 1 if broken else 0


if __name__ == "__main__":
    sys.exit(main())
