"""Budgets under partition, outage, death and exhaustion, beside two baselines.

Run by ``make bench-budget``. Time is virtual, so that ten minutes take seconds; the
routers' budget services are the real ones, over small fakes.
"""

from __future__ import annotations

import asyncio
import sys
import time
from typing import Any

import attrs

from benchmarks.budget_audit import audit_table
from benchmarks.budget_fleet import Fleet, FleetRouter
from benchmarks.budget_load import (
    BUDGET,
    AccountLoad,
    Admission,
    GrantAdmission,
    LoadRun,
    StaticShareAdmission,
    StoreWriteAdmission,
)
from benchmarks.report import write_result
from benchmarks.virtual_time import run_virtual
from bronzesail.budget import create_budget, read_budget, top_up

SEED = 11
N_ROUTERS = 6
WARM_S = 90.0
FAULT_S = 600.0
HEAL_S = 40.0
PREFERENCES = ("fewer-refusals", "tighter-spend")

MAX_ADMISSION_P95_MS = 3.0
MAX_RECLAIM_S = 15.0
MIN_WRITE_RATIO = 20.0
MAX_REFUSAL_SHARE = 0.2

ACCOUNTS = (
    AccountLoad("amman-hotels", 6.0, 400, 25.0),
    AccountLoad("aqaba-tours", 3.0, 400, 25.0, moves=True),
    AccountLoad("petra-groups", 2.0, 300, 4.0),
    AccountLoad("wadi-guides", 1.5, 300, 4.0),
    AccountLoad("jerash-school", 1.0, 300, 2.0, moves=True),
    AccountLoad("irbid-club", 1.0, 300, 1.0),
    AccountLoad("madaba-agency", 0.5, 300, 0.7),
    AccountLoad("karak-counter", 0.5, 200, 25.0, moves=True),
    AccountLoad("ajloun-counter", 0.3, 200, 30.0),
    AccountLoad("zarqa-counter", 0.2, 200, 2.0),
)


@attrs.define
class Bench:
    """Result tables and broken bounds of one run.

    Attributes
    ----------
    scenarios : dict of str to dict
        Figures of bronzesail by scenario.
    baselines : dict of str to dict
        Figures of the baselines by name and scenario.
    broken : list of str
        Bounds that do not hold.
    """

    scenarios: dict[str, dict[str, Any]] = attrs.field(factory=dict)
    baselines: dict[str, dict[str, dict[str, Any]]] = attrs.field(factory=dict)
    broken: list[str] = attrs.field(factory=list)

    def require(self, condition: bool, text: str) -> None:
        """Note a bound that does not hold."""
        if not condition:
            self.broken.append(text)


async def _start_fleet(
    preference: str, accounts: tuple[AccountLoad, ...] = ACCOUNTS
) -> Fleet:
    fleet = Fleet(SEED, preference=preference)
    for account in accounts:
        await create_budget(fleet.table, account.name, BUDGET, account.balance_tokens)
    await fleet.start(N_ROUTERS)
    return fleet


def _audit(fleet: Fleet, load: LoadRun, bench: Bench, name: str) -> dict[str, Any]:
    created = {(a.name, BUDGET): a.balance_tokens for a in ACCOUNTS}
    report = audit_table(fleet.table, fleet.backends, load.budgets, created)
    errors = [error for router in fleet.routers for error in router.service.errors]
    for text in (*report.faults, *map(repr, errors)):
        bench.require(False, f"{name}: {text}")
    return {
        "overspend_tokens": report.overspend_tokens,
        "charges": report.n_charges,
        "held_tokens": report.held_tokens,
    }


def _summarise(load: LoadRun) -> dict[str, Any]:
    counts = load.counts
    return {
        "requests": counts.n_requests,
        "served": counts.n_served,
        "refused": counts.n_refused,
        "false_refusals": counts.n_false_refusals,
        "false_refusals_rich": counts.n_false_refusals_rich,
        "admission_p95_ms": round(counts.find_p95_ms(), 3),
        "waited": counts.n_waited,
    }


async def _run_fault(fleet: Fleet, load: LoadRun, fault: str) -> None:
    """Warm up, cut the regions or stop the store for ten minutes, and heal."""
    load.start()
    await asyncio.sleep(WARM_S)
    load.is_moved = True
    if fault == "partition":
        fleet.link.cut_regions = {frozenset(("amman", "aqaba"))}
    if fault == "outage":
        fleet.table.is_down = True
    await asyncio.sleep(FAULT_S / 3)
    if fault == "partition":
        for name in ("irbid-club", "petra-groups"):
            for _ in range(2):
                await top_up(fleet.table, name, BUDGET, "during-cut", 20_000)
            load.add_tokens(name, 20_000)
    await asyncio.sleep(FAULT_S * 2 / 3)
    fleet.link.cut_regions = set()
    fleet.table.is_down = False
    await asyncio.sleep(HEAL_S)
    await load.stop()


async def run_grants(bench: Bench, fault: str, preference: str) -> dict[str, Any]:
    """Run bronzesail through one fault and audit the table."""
    fleet = await _start_fleet(preference)
    load = LoadRun(fleet, GrantAdmission(), ACCOUNTS, SEED)
    started = time.process_time()
    await _run_fault(fleet, load, fault)
    cpu_s = time.process_time() - started
    n_writes, n_rows = fleet.table.n_transactions, fleet.table.n_row_writes
    for router in fleet.routers:
        await router.service.drain()
    figures = _summarise(load)
    figures |= _audit(fleet, load, bench, f"{fault} {preference}")
    figures["writes_per_1000_requests"] = round(1000 * n_writes / figures["served"], 2)
    figures["row_writes_per_1000_requests"] = round(
        1000 * n_rows / figures["served"], 2
    )
    figures["far_bytes_per_s"] = round(
        fleet.link.n_bytes_far / asyncio.get_running_loop().time(), 1
    )
    figures["cpu_us_per_request"] = round(1e6 * cpu_s / figures["served"])
    await fleet.stop()
    return figures


async def run_baseline(name: str, fault: str) -> dict[str, Any]:
    """Run a baseline through one fault with the same load."""
    fleet = Fleet(SEED)
    await fleet.start(N_ROUTERS)
    for account in ACCOUNTS:
        await create_budget(fleet.table, account.name, BUDGET, account.balance_tokens)
    admission: Admission
    if name == "static_shares":
        admission = StaticShareAdmission(fleet, ACCOUNTS)
    else:
        admission = StoreWriteAdmission(fleet, ACCOUNTS)
    load = LoadRun(fleet, admission, ACCOUNTS, SEED)
    await _run_fault(fleet, load, fault)
    figures = _summarise(load)
    if isinstance(admission, StoreWriteAdmission):
        writes = 1000 * admission.n_writes / figures["served"]
        figures["writes_per_1000_requests"] = round(writes, 2)
    await fleet.stop()
    return figures


async def run_rest(bench: Bench, preference: str) -> dict[str, Any]:
    """Count table writes of a fleet without load, once its grants are there."""
    fleet = await _start_fleet(preference)
    await asyncio.sleep(60.0)
    n_writes, n_reads = fleet.table.n_transactions, fleet.table.n_reads
    await asyncio.sleep(600.0)
    writes = (fleet.table.n_transactions - n_writes) / 600.0
    reads = (fleet.table.n_reads - n_reads) / 600.0
    await fleet.stop()
    return {"writes_per_s": round(writes, 4), "reads_per_s": round(reads, 3)}


async def run_death(bench: Bench, preference: str) -> dict[str, Any]:
    """Kill a router with streams open; time until nothing of it is left."""
    fleet = await _start_fleet(preference)
    load = LoadRun(fleet, GrantAdmission(), ACCOUNTS, SEED)
    load.start()
    await asyncio.sleep(60.0)
    victim = fleet.routers[1]
    await fleet.kill(victim)
    await asyncio.sleep(5.0)
    fleet.delist(victim)
    loop = asyncio.get_running_loop()
    listed_at = loop.time()
    while loop.time() < listed_at + 60.0:
        await asyncio.sleep(0.1)
        if await _count_left(fleet, victim) == 0:
            break
    back_s = loop.time() - listed_at
    left = await _count_left(fleet, victim)
    await load.stop()
    for router in fleet.routers:
        await router.service.drain()
    figures = _audit(fleet, load, bench, f"death {preference}")
    figures |= {"stranded_tokens": left, "back_after_s": round(back_s, 1)}
    bench.require(left == 0, f"death {preference}: {left} tokens stranded")
    bench.require(back_s <= MAX_RECLAIM_S, f"death {preference}: back in {back_s} s")
    await fleet.stop()
    return figures


async def _count_left(fleet: Fleet, victim: FleetRouter) -> int:
    left = 0
    prefix = f"{victim.info.router_id.host}.{victim.info.router_id.incarnation}."
    for account in ACCOUNTS:
        row = await read_budget(fleet.table, account.name, BUDGET)
        if row is None:
            continue
        for entry in row.grants:
            left += entry.amount_tokens if entry.grant_id.startswith(prefix) else 0
        for hold in row.holds:
            left += hold.amount_tokens if hold.grant_id.startswith(prefix) else 0
    return left


async def run_draw_down(bench: Bench, preference: str) -> dict[str, Any]:
    """Draw a hot budget down from both regions until nobody gets tokens."""
    account = AccountLoad("hot", 20.0, 400, 0.03)
    accounts = (account,)
    fleet = await _start_fleet(preference, accounts)
    load = LoadRun(fleet, GrantAdmission(), accounts, SEED)
    load.start()
    n_served = -1
    while load.counts.n_served != n_served:
        n_served = load.counts.n_served
        await asyncio.sleep(20.0)
    await load.stop()
    for router in fleet.routers:
        await router.service.drain()
    row = await read_budget(fleet.table, "hot", BUDGET)
    left = row.prepaid_tokens - row.settled_tokens if row else -1
    bench.require(
        0 <= left <= account.largest_tokens,
        f"draw-down {preference}: {left} tokens left",
    )
    figures = _summarise(load)
    figures |= {
        "left_tokens": left,
        "largest_request_tokens": account.largest_tokens,
        "overspend_tokens": max(0, -left),
    }
    await fleet.stop()
    return figures


def measure(bench: Bench) -> None:
    """Run every scenario."""
    for fault in ("all_well", "partition", "outage"):
        for baseline in ("static_shares", "store_write"):
            figures = run_virtual(run_baseline(baseline, fault))
            bench.baselines.setdefault(baseline, {})[fault] = figures
        for preference in PREFERENCES:
            figures = run_virtual(run_grants(bench, fault, preference))
            bench.scenarios[f"{fault} {preference}"] = figures
            _check_fault(bench, fault, preference, figures)
    for preference in PREFERENCES:
        for name, run in (
            ("rest", run_rest),
            ("death", run_death),
            ("draw_down", run_draw_down),
        ):
            bench.scenarios[f"{name} {preference}"] = run_virtual(
                run(bench, preference)
            )


def _check_fault(
    bench: Bench, fault: str, preference: str, figures: dict[str, Any]
) -> None:
    name = f"{fault} {preference}"
    bench.require(figures["overspend_tokens"] == 0, f"{name}: overspend")
    rich = figures["false_refusals_rich"]
    bench.require(rich == 0, f"{name}: {rich} false refusals of rich accounts")
    static = bench.baselines["static_shares"][fault]["false_refusals"]
    limit = static * MAX_REFUSAL_SHARE
    count = figures["false_refusals"]
    bench.require(count <= limit, f"{name}: {count} false refusals, static {static}")
    if fault != "all_well":
        return
    p95_ms = figures["admission_p95_ms"]
    bench.require(p95_ms <= MAX_ADMISSION_P95_MS, f"{name}: p95 {p95_ms} ms")
    ratio = 1000.0 / figures["row_writes_per_1000_requests"]
    figures["write_ratio"] = round(ratio, 1)
    bench.require(ratio >= MIN_WRITE_RATIO, f"{name}: {ratio:.1f} times fewer writes")


def print_tables(bench: Bench) -> None:
    """Print the figures for people."""
    for name, figures in bench.scenarios.items():
        print(f"{name}")
        print("    " + ", ".join(f"{key} {value}" for key, value in figures.items()))
    for baseline, scenarios in bench.baselines.items():
        for name, figures in scenarios.items():
            print(f"baseline {baseline}, {name}")
            print("    " + ", ".join(f"{k} {v}" for k, v in figures.items()))
    for text in bench.broken:
        print(f"BROKEN BOUND: {text}")


def main() -> int:
    """Run the benchmark; ends 0 only if every bound holds."""
    bench = Bench()
    measure(bench)
    print_tables(bench)
    print(write_result("budget", bench.scenarios, bench.baselines))
    return 1 if bench.broken else 0


if __name__ == "__main__":
    sys.exit(main())
