"""Load on prepaid budgets, an oracle of what they hold, and the baselines."""

from __future__ import annotations

import asyncio
import random
from typing import Protocol

import attrs
from returns.result import Success

from benchmarks.budget_fleet import FAR_S, NEAR_S, Fleet, FleetRouter
from bronzesail.budget import Reservation, ReserveOrder

__all__ = [
    "AccountLoad",
    "Admission",
    "GrantAdmission",
    "LoadCounts",
    "LoadRun",
    "StaticShareAdmission",
    "StoreWriteAdmission",
]

BUDGET = "main"
DEADLINE_S = 15.0
SMALLEST_TOKENS = 20
STORE_DELAY_S = 0.004
CALLER_RETRY_S = 2.0
STICKY_TENTHS = 7


@attrs.frozen
class AccountLoad:
    """Load of one client account.

    Attributes
    ----------
    name : str
        Client account.
    requests_per_s : float
        Mean rate.
    largest_tokens : int
        Largest request.
    balance_ratio : float
        Balance at the start over the demand of ten minutes.
    moves : bool
        Whether its callers are all in the far region from the fault on.
    """

    name: str
    requests_per_s: float
    largest_tokens: int
    balance_ratio: float
    moves: bool = False

    @property
    def demand_tokens(self) -> int:
        """Worst-case tokens asked for in ten minutes."""
        mean = (SMALLEST_TOKENS + self.largest_tokens) / 2
        return int(self.requests_per_s * 600.0 * mean)

    @property
    def balance_tokens(self) -> int:
        """Tokens bought at the start."""
        return int(self.demand_tokens * self.balance_ratio)


@attrs.define
class LoadCounts:
    """What happened to the requests.

    Attributes
    ----------
    n_requests, n_served, n_refused : int
        Requests, and how they ended; a retry counts as another request.
    n_false_refusals : int
        Refused although the budget, all partitions aside, held enough.
    n_false_refusals_rich : int
        Of these, for accounts whose balance was over 20 times their demand.
    n_waited : int
        Served later than a journal round trip within the region takes.
    delays_s : list of float
        Time that admission took for served requests, in seconds.
    """

    n_requests: int = 0
    n_served: int = 0
    n_refused: int = 0
    n_false_refusals: int = 0
    n_false_refusals_rich: int = 0
    n_waited: int = 0
    delays_s: list[float] = attrs.field(factory=list)

    def find_p95_ms(self) -> float:
        """Return the 95th percentile of the admission time, in milliseconds."""
        if not self.delays_s:
            return 0.0
        ordered = sorted(self.delays_s)
        return ordered[int(len(ordered) * 0.95)] * 1000.0


class Admission(Protocol):
    """One way to admit requests under prepaid budgets."""

    async def admit(
        self, router: FleetRouter, account: str, key: str, tokens: int
    ) -> bool:
        """Return whether a request may be dispatched."""

    def finish(self, router: FleetRouter, account: str, key: str, used: int) -> None:
        """Learn the use of an admitted request."""

    def add_tokens(self, account: str, tokens: int) -> None:
        """Learn of a top-up."""


class GrantAdmission:
    """bronzesail: grants, journal peers and transfers."""

    def __init__(self) -> None:
        self._reservations: dict[tuple[str, str], Reservation] = {}

    async def admit(
        self, router: FleetRouter, account: str, key: str, tokens: int
    ) -> bool:
        """Reserve, and journal the dispatch."""
        deadline = router.clock.monotonic() + DEADLINE_S
        order = ReserveOrder(account, BUDGET, key, "desk", tokens, deadline)
        result = await router.service.reserve(order)
        if not isinstance(result, Success):
            return False
        reservation = result.unwrap()
        if not isinstance(await router.service.open(reservation, "b1"), Success):
            router.service.close(reservation, 0)
            return False
        self._reservations[(account, key)] = reservation
        return True

    def finish(self, router: FleetRouter, account: str, key: str, used: int) -> None:
        """Close the reservation."""
        router.service.close(self._reservations.pop((account, key)), used)

    def add_tokens(self, account: str, tokens: int) -> None:
        """Nothing: the top-up went through the table."""


class StaticShareAdmission:
    """Baseline: each router has an equal share of each budget for good."""

    def __init__(self, fleet: Fleet, accounts: tuple[AccountLoad, ...]) -> None:
        self._n_routers = len(fleet.routers)
        self._left: dict[tuple[str, str], int] = {}
        self._amounts: dict[tuple[str, str], int] = {}
        for account in accounts:
            for router in fleet.routers:
                name = (router.info.router_id.host, account.name)
                self._left[name] = account.balance_tokens // self._n_routers

    async def admit(
        self, router: FleetRouter, account: str, key: str, tokens: int
    ) -> bool:
        """Spend from the router's own share."""
        name = (router.info.router_id.host, account)
        if self._left[name] < tokens:
            return False
        self._left[name] -= tokens
        self._amounts[(account, key)] = tokens
        return True

    def finish(self, router: FleetRouter, account: str, key: str, used: int) -> None:
        """Return what was not used."""
        name = (router.info.router_id.host, account)
        self._left[name] += self._amounts.pop((account, key)) - used

    def add_tokens(self, account: str, tokens: int) -> None:
        """Share a top-up out."""
        for host, owner in self._left:
            if owner == account:
                self._left[(host, owner)] += tokens // self._n_routers


class StoreWriteAdmission:
    """Baseline: a conditional table write before and after each request."""

    def __init__(self, fleet: Fleet, accounts: tuple[AccountLoad, ...]) -> None:
        self.n_writes = 0
        self._fleet = fleet
        self._left = {account.name: account.balance_tokens for account in accounts}
        self._amounts: dict[tuple[str, str], int] = {}

    async def admit(
        self, router: FleetRouter, account: str, key: str, tokens: int
    ) -> bool:
        """Write the reservation to the table."""
        region = router.info.region
        store = self._fleet.store_region
        if self._fleet.table.is_down or self._fleet.is_cut(region, store):
            return False
        one_way_s = NEAR_S if region == store else FAR_S
        await asyncio.sleep(2 * one_way_s + STORE_DELAY_S)
        self.n_writes += 1
        if self._left[account] < tokens:
            return False
        self._left[account] -= tokens
        self._amounts[(account, key)] = tokens
        return True

    def finish(self, router: FleetRouter, account: str, key: str, used: int) -> None:
        """Write the use to the table."""
        self.n_writes += 1
        self._left[account] += self._amounts.pop((account, key)) - used

    def add_tokens(self, account: str, tokens: int) -> None:
        """Add a top-up."""
        self._left[account] += tokens


class LoadRun:
    """Callers of several client accounts against one way of admission.

    Parameters
    ----------
    fleet : Fleet
        Routers and links.
    admission : Admission
        The way of admission.
    accounts : tuple of AccountLoad
        The load.
    seed : int
        Seed of the callers.
    """

    def __init__(
        self,
        fleet: Fleet,
        admission: Admission,
        accounts: tuple[AccountLoad, ...],
        seed: int,
    ) -> None:
        self.counts = LoadCounts()
        self.is_moved = False
        self.budgets: dict[tuple[str, str], str] = {}
        self.left = {account.name: account.balance_tokens for account in accounts}
        self.far_region = "aqaba"
        self._fleet = fleet
        self._admission = admission
        self._accounts = accounts
        self._seed = seed
        self._tasks: list[asyncio.Task[None]] = []

    def start(self) -> None:
        """Let every account's callers call."""
        for index, account in enumerate(self._accounts):
            rng = random.Random(self._seed * 1000 + index)
            self._tasks.append(self._fleet.spawn(self._call(account, rng)))

    async def stop(self) -> None:
        """End the callers and let requests under way finish."""
        for task in self._tasks:
            task.cancel()
        await asyncio.sleep(30.0)

    def add_tokens(self, account: str, tokens: int) -> None:
        """Learn of a top-up that took effect."""
        self.left[account] += tokens
        self._admission.add_tokens(account, tokens)

    async def _call(self, account: AccountLoad, rng: random.Random) -> None:
        number = 0
        while True:
            await asyncio.sleep(rng.expovariate(account.requests_per_s))
            number += 1
            tokens = rng.randint(SMALLEST_TOKENS, account.largest_tokens)
            used = rng.randint(1, tokens)
            duration_s = rng.uniform(0.2, 3.0)
            key = f"{account.name}-{number}"
            choice = rng.random()
            is_far = choice < 0.25 or (account.moves and self.is_moved)
            work = self._request(account, key, tokens, used, duration_s, is_far, choice)
            self._fleet.spawn(work)

    async def _request(
        self,
        account: AccountLoad,
        key: str,
        tokens: int,
        used: int,
        duration_s: float,
        is_far: bool,
        choice: float,
    ) -> None:
        self.budgets[(account.name, key)] = BUDGET
        for attempt in range(2):
            near = [
                router
                for router in self._fleet.routers
                if (router.info.region == self.far_region) == is_far
            ]
            sticky = 0 if choice * 1e6 % 10 < STICKY_TENTHS else int(choice * 1e6)
            index = len(account.name) + sticky + attempt
            router = near[index % len(near)]
            if await self._try(router, account, key, tokens, used, duration_s):
                return
            await asyncio.sleep(CALLER_RETRY_S)

    async def _try(
        self,
        router: FleetRouter,
        account: AccountLoad,
        key: str,
        tokens: int,
        used: int,
        duration_s: float,
    ) -> bool:
        loop = asyncio.get_running_loop()
        counts = self.counts
        counts.n_requests += 1
        started = loop.time()
        most_left = self.left[account.name]
        is_admitted = await self._admission.admit(router, account.name, key, tokens)
        if not is_admitted:
            counts.n_refused += 1
            if min(most_left, self.left[account.name]) >= tokens:
                counts.n_false_refusals += 1
                if account.balance_ratio > 20:
                    counts.n_false_refusals_rich += 1
            return False
        delay_s = loop.time() - started
        counts.n_served += 1
        counts.delays_s.append(delay_s)
        counts.n_waited += delay_s > 0.003
        self.left[account.name] -= tokens
        await self._fleet.backends.run(account.name, key, used, duration_s)
        self.left[account.name] += tokens - used
        if not router.is_dead:
            self._admission.finish(router, account.name, key, used)
        return True
