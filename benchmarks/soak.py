"""Long randomised run of a few routers' budgets with faults, and an audit.

``python -m benchmarks.soak --duration-s 60 --seed 1`` runs seeds from 1 on for a
minute. A failing seed is printed, and the fewest faults that still fail are written
to a replay file; ``--replay FILE`` runs it again.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import random
import sys
import time
from pathlib import Path

import attrs
from returns.result import Success

from benchmarks.budget_audit import AuditReport, audit_table, count_spent
from benchmarks.budget_fleet import PLACES, Fleet, FleetRouter
from benchmarks.virtual_time import run_virtual
from bronzesail.budget import (
    BudgetSettings,
    Reservation,
    ReserveOrder,
    create_budget,
    read_budget,
    top_up,
)
from bronzesail.storage import PlatformError

__all__ = ["Fault", "SoakPlan", "SoakResult", "make_plan", "run_plan"]

BUDGETS = {("acme", "main"): 3_000, ("acme", "small"): 400, ("zeta", "main"): 20_000}
LARGEST_TOKENS = 100
RUN_S = 90.0
QUIET_S = 240.0
SETTINGS = BudgetSettings(
    settle_interval_s=4.0, settle_records=8, scan_interval_s=10.0, page_lines=8
)
KINDS = (
    "store_down",
    "answers_lost",
    "writes_late",
    "cut",
    "message_loss",
    "message_double",
    "message_jitter",
    "kill",
    "kill_unlisted",
    "pause",
    "pause_delisted",
    "backends_mute",
    "top_up",
    "drain",
)


@attrs.frozen
class Fault:
    """One fault of a run.

    Attributes
    ----------
    at_s : float
        Time of its start, in seconds.
    duration_s : float
        Time until it is healed, in seconds.
    kind : str
        One of `KINDS`.
    choice : float
        Random number that chooses its victim.
    """

    at_s: float
    duration_s: float
    kind: str
    choice: float


@attrs.frozen
class SoakPlan:
    """One run: everything follows from it.

    Attributes
    ----------
    seed : int
        Seed of the load and the network.
    n_routers : int
        Routers at the start.
    faults : tuple of Fault
        The faults.
    """

    seed: int
    n_routers: int
    faults: tuple[Fault, ...]


@attrs.define
class SoakResult:
    """Outcome of one run.

    Attributes
    ----------
    faults : list of str
        Rules that were broken.
    n_requests, n_refused, n_ran : int
        Counts of requests.
    report : AuditReport or None
        The audit at the end.
    """

    faults: list[str] = attrs.field(factory=list)
    n_requests: int = 0
    n_refused: int = 0
    n_ran: int = 0
    report: AuditReport | None = None


def make_plan(seed: int) -> SoakPlan:
    """Return the run of a seed; faults come one at a time, or in pairs."""
    rng = random.Random(seed)
    faults: list[Fault] = []
    at_s = 5.0
    while at_s < RUN_S:
        for _ in range(rng.choice((1, 1, 2))):
            kind = rng.choice(KINDS)
            duration_s = rng.uniform(0.5, 25.0)
            start_s = at_s + rng.random() * 3.0
            faults.append(Fault(start_s, duration_s, kind, rng.random()))
        at_s += rng.uniform(3.0, 20.0)
    faults.sort(key=lambda fault: fault.at_s)
    return SoakPlan(seed, rng.choice((3, 4, 5, 6)), tuple(faults))


class _Soak:
    """One run under way."""

    def __init__(self, plan: SoakPlan) -> None:
        self.plan = plan
        self.result = SoakResult()
        self.rng = random.Random(plan.seed + 1)
        preference = "fewer-refusals" if plan.seed % 2 else "tighter-spend"
        self.fleet = Fleet(plan.seed, SETTINGS, preference)
        self.budgets: dict[tuple[str, str], str] = {}
        self.keys: list[tuple[str, str, str, int]] = []
        self.n_top_ups = 0

    async def run(self) -> SoakResult:
        fleet = self.fleet
        for (account, budget), tokens in BUDGETS.items():
            await create_budget(fleet.table, account, budget, tokens)
        await fleet.start(self.plan.n_routers)
        loop = asyncio.get_running_loop()
        for fault in self.plan.faults:
            loop.call_later(fault.at_s, self._start_fault, fault)
        load = fleet.spawn(self._load())
        while loop.time() < RUN_S:
            await asyncio.sleep(1.0)
            self._check()
        load.cancel()
        self._heal_all()
        await asyncio.sleep(QUIET_S)
        self._check()
        await self._finish()
        await fleet.stop()
        return self.result

    # Load.

    async def _load(self) -> None:
        n_requests = 0
        while True:
            await asyncio.sleep(self.rng.expovariate(8.0))
            n_requests += 1
            if self.keys and self.rng.random() < 0.1:
                account, budget, key, tokens = self.rng.choice(self.keys)
            else:
                account, budget = self.rng.choice(list(BUDGETS))
                key = f"k{n_requests}"
                tokens = self.rng.randint(1, LARGEST_TOKENS)
                self.keys.append((account, budget, key, tokens))
            self.budgets[(account, key)] = budget
            if self.fleet.routers:
                router = self.rng.choice(self.fleet.routers)
                work = self._request(router, account, budget, key, tokens)
                self.fleet.spawn(self._guard(work))

    async def _guard(self, work: object) -> None:
        try:
            await work  # type: ignore[misc]
        except asyncio.CancelledError:
            raise
        except Exception as error:
            self.result.faults.append(f"request failed: {error!r}")

    async def _request(
        self, router: FleetRouter, account: str, budget: str, key: str, tokens: int
    ) -> None:
        self.result.n_requests += 1
        deadline = router.clock.monotonic() + self.rng.uniform(0.1, 20.0)
        order = ReserveOrder(account, budget, key, "desk", tokens, deadline)
        service = router.service
        result = await service.reserve(order)
        if not isinstance(result, Success):
            self.result.n_refused += 1
            return
        reservation = result.unwrap()
        if self.rng.random() < 0.05:
            service.close(reservation, 0)
            return
        if not isinstance(await service.open(reservation, "b1"), Success):
            service.close(reservation, 0)
            return
        await router.running.wait()
        if router.is_dead:
            return
        await self._dispatch(router, reservation)

    async def _dispatch(self, router: FleetRouter, reservation: Reservation) -> None:
        order = reservation.order
        self.result.n_ran += 1
        used = 1 + (hash_text(order.request_key) % order.amount_tokens)
        duration_s = self.rng.choice((0.05, 0.5, 2.0, 15.0))
        backends = self.fleet.backends
        await backends.run(order.account, order.request_key, used, duration_s)
        await router.running.wait()
        if router.is_dead:
            return
        if self.rng.random() < 0.03:
            router.service.keep_open(reservation, "stream went silent")
            return
        router.service.close(reservation, used)
        if self.rng.random() < 0.03:
            router.service.close(reservation, used)

    # Faults.

    def _start_fault(self, fault: Fault) -> None:
        self.fleet.spawn(self._apply(fault))

    async def _apply(self, fault: Fault) -> None:
        fleet = self.fleet
        if fault.kind == "top_up":
            await self._top_up(fault)
            return
        if fault.kind in ("kill", "kill_unlisted", "pause", "pause_delisted", "drain"):
            await self._disturb_router(fault)
            return
        self._set_level(fault.kind, True)
        await asyncio.sleep(fault.duration_s)
        self._set_level(fault.kind, False)
        fleet.notify()

    def _set_level(self, kind: str, is_on: bool) -> None:
        fleet = self.fleet
        if kind == "store_down":
            fleet.table.is_down = is_on
        if kind == "answers_lost":
            fleet.table.lost_answer_share = 0.5 if is_on else 0.0
        if kind == "writes_late":
            fleet.table.late_write_share = 0.3 if is_on else 0.0
        if kind == "cut":
            regions = {place.region for place in PLACES}
            fleet.link.cut_regions = {frozenset(regions)} if is_on else set()
        if kind == "message_loss":
            fleet.link.loss_share = 0.3 if is_on else 0.0
        if kind == "message_double":
            fleet.link.double_share = 0.5 if is_on else 0.0
        if kind == "message_jitter":
            fleet.link.jitter_s = 1.0 if is_on else 0.0
        if kind == "backends_mute":
            fleet.backends.is_answering = not is_on

    async def _top_up(self, fault: Fault) -> None:
        names = list(BUDGETS)
        account, budget = names[int(fault.choice * len(names))]
        self.n_top_ups += 1
        top_up_id = f"t{self.n_top_ups}"
        for _ in range(2):
            for _ in range(100):
                try:
                    await top_up(self.fleet.table, account, budget, top_up_id, 300)
                    break
                except PlatformError:
                    await asyncio.sleep(1.0)

    async def _disturb_router(self, fault: Fault) -> None:
        fleet = self.fleet
        if len(fleet.routers) < 3:
            return
        router = fleet.routers[int(fault.choice * len(fleet.routers))]
        place = PLACES[int(fault.choice * 1000) % len(PLACES)]
        if fault.kind == "drain":
            await self._drain(router)
        if fault.kind in ("pause", "pause_delisted"):
            await self._pause(router, fault)
            return
        if fault.kind.startswith("kill"):
            await fleet.kill(router)
            if fault.kind == "kill":
                await asyncio.sleep(3.0)
            else:
                await asyncio.sleep(fault.duration_s)
            fleet.delist(router)
        await fleet.add_router(place)

    async def _drain(self, router: FleetRouter) -> None:
        fleet = self.fleet
        fleet.routers.remove(router)
        fleet.routers.append(router)
        await router.service.drain()
        fleet.delist(router)
        if router in fleet.routers:
            await fleet.kill(router)

    async def _pause(self, router: FleetRouter, fault: Fault) -> None:
        fleet = self.fleet
        router.running.clear()
        await asyncio.sleep(fault.duration_s / 2)
        if fault.kind == "pause_delisted":
            fleet.delist(router)
        await asyncio.sleep(fault.duration_s / 2)
        router.running.set()
        if router in fleet.routers and router.info not in fleet.listed:
            fleet.listed.append(router.info)
            fleet.notify()

    def _heal_all(self) -> None:
        for kind in KINDS:
            self._set_level(kind, False)
        for router in self.fleet.routers:
            router.running.set()

    # Checks.

    def _check(self) -> None:
        for router in self.fleet.routers:
            for error in router.service.errors:
                self._add_fault(f"{router.info.router_id.host}: {error!r}")
        for name in BUDGETS:
            row = self.fleet.table.rows.get(f"budget/{name[0]}/{name[1]}")
            if row is None:
                continue
            spent = count_spent(self.fleet.backends, self.budgets, name)
            limit = BUDGETS[name] + 300 * self.n_top_ups
            if spent > limit:
                self._add_fault(f"{name} overspent: {spent} of {limit}")

    def _add_fault(self, text: str) -> None:
        if text not in self.result.faults:
            self.result.faults.append(text)

    async def _finish(self) -> None:
        fleet = self.fleet
        for router in list(fleet.routers):
            await router.service.drain()
        report = audit_table(fleet.table, fleet.backends, self.budgets, BUDGETS)
        self.result.report = report
        for text in report.faults:
            self._add_fault(text)
        for account, budget in BUDGETS:
            row = await read_budget(fleet.table, account, budget)
            if row is None:
                continue
            for entry in row.grants:
                self._add_fault(f"stranded: {entry}")
            incomplete = {hold.grant_id for hold in row.holds if hold.missing_peers}
            for hold in row.holds:
                if not hold.missing_peers and hold.given_to not in incomplete:
                    self._add_fault(f"held without a missing peer: {hold}")


def hash_text(text: str) -> int:
    """Return the same number for a text in every process."""
    return random.Random(text).getrandbits(32)


def run_plan(plan: SoakPlan) -> SoakResult:
    """Run a plan on virtual time and return what was found."""
    soak = _Soak(plan)
    try:
        return run_virtual(soak.run())
    except Exception as error:
        soak.result.faults.append(f"run failed: {error!r}")
        return soak.result


def shrink_plan(plan: SoakPlan) -> SoakPlan:
    """Return a plan with as few faults as still break a rule."""
    for fault in plan.faults:
        rest = tuple(other for other in plan.faults if other is not fault)
        smaller = attrs.evolve(plan, faults=rest)
        if run_plan(smaller).faults:
            plan = smaller
    return plan


def write_replay(plan: SoakPlan, path: Path) -> None:
    """Write a plan to a replay file."""
    path.write_text(json.dumps(attrs.asdict(plan), indent=1) + "\n")


def read_replay(path: Path) -> SoakPlan:
    """Return the plan of a replay file."""
    data = json.loads(path.read_text())
    faults = tuple(Fault(**fault) for fault in data["faults"])
    return SoakPlan(data["seed"], data["n_routers"], faults)


def main() -> int:
    """Run seeds until the time is over or one fails."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--duration-s", type=float, default=60.0)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--replay", type=Path)
    arguments = parser.parse_args()
    if arguments.replay:
        result = run_plan(read_replay(arguments.replay))
        print("\n".join(result.faults) or "no rule broken")
        return 1 if result.faults else 0
    limit = time.monotonic() + arguments.duration_s
    seed = arguments.seed
    n_requests = 0
    while time.monotonic() < limit:
        plan = make_plan(seed)
        result = run_plan(plan)
        n_requests += result.n_requests
        print(
            f"seed {seed}: {len(plan.faults)} faults, {result.n_requests} requests, "
            f"{result.n_ran} ran, {result.n_refused} refused: "
            + ("BROKEN" if result.faults else "all rules hold"),
            flush=True,
        )
        if result.faults:
            print("\n".join(result.faults[:10]))
            path = Path(f"soak-seed-{seed}.json")
            write_replay(shrink_plan(plan), path)
            print(f"seed {seed} failed; replay file {path}")
            return 1
        seed += 1
    print(f"{seed - arguments.seed} seeds, {n_requests} requests, all rules hold")
    return 0


if __name__ == "__main__":
    sys.exit(main())
