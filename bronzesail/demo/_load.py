"""Send a workload to a deployment."""

from __future__ import annotations

import asyncio
import random
from typing import TYPE_CHECKING

import attrs

from ..http import HttpClient
from ._callers import Answer, Caller, CallerPlan
from ._workload import Workload, list_max_tokens

if TYPE_CHECKING:
    from collections.abc import Callable

    from ..application import Application
    from ._deployment import Deployment

__all__ = ["LoadPlan", "send_calls", "wait_until_ready"]

READY_TIMEOUT_S = 30.0
PROGRESS_INTERVAL_S = 0.5


@attrs.frozen
class LoadPlan:
    """Length and rate of a load.

    Attributes
    ----------
    duration_s : float
        Time during which calls start, in seconds.
    rate_per_s : float
        Calls a second.
    seed : int
        Seed of the calls.
    """

    duration_s: float
    rate_per_s: float
    seed: int

    @property
    def max_tokens(self) -> dict[str, int]:
        """Output limit of each class, in tokens."""
        return list_max_tokens()


async def wait_until_ready(deployment: Deployment) -> None:
    """Wait until every router knows the fleet and the configuration.

    Parameters
    ----------
    deployment : Deployment
        A started deployment with a configuration.

    Raises
    ------
    TimeoutError
        If it takes too long.
    """
    n_peers = len(deployment.routers) - 1
    async with asyncio.timeout(READY_TIMEOUT_S):
        for router in deployment.routers:
            await _wait_for_router(router, n_peers)


async def _wait_for_router(router: Application, n_peers: int) -> None:
    changed = asyncio.Event()
    router.fleet.subscribe(changed.set)
    router.configuration.subscribe(lambda _: changed.set())
    while not _knows_fleet(router, n_peers):
        changed.clear()
        await changed.wait()


def _knows_fleet(router: Application, n_peers: int) -> bool:
    if not router.is_ready() or len(router.fleet.list_routers()) < n_peers:
        return False
    services = router.configuration.current.services
    return all(router.fleet.list_backends(service) for service in services)


async def send_calls(
    deployment: Deployment,
    load: LoadPlan,
    keys: dict[str, str],
    show_progress: Callable[[str], None],
) -> tuple[Answer, ...]:
    """Send calls to the routers that are up, and wait for every ending.

    Parameters
    ----------
    deployment : Deployment
        A deployment that is ready.
    load : LoadPlan
        Length and rate.
    keys : dict of str to str
        Bearer key of each client account.
    show_progress : callable
        Gets a line now and then.

    Returns
    -------
    tuple of Answer
        How each call ended.
    """
    generator = random.Random(load.seed)
    plan = deployment.plan
    workload = Workload(plan.model_service, plan.plain_service, tuple(keys), generator)
    client = HttpClient()
    callers = {
        name: Caller(
            CallerPlan(deployment.list_caller_addresses, key), client, generator
        )
        for name, key in keys.items()
    }
    loop = asyncio.get_running_loop()
    ends_at = loop.time() + load.duration_s
    shown_at = 0.0
    tasks: list[asyncio.Task[Answer]] = []
    while loop.time() < ends_at:
        call = workload.draw()
        tasks.append(asyncio.create_task(callers[call.account].send(call)))
        if loop.time() - shown_at > PROGRESS_INTERVAL_S:
            shown_at = loop.time()
            n_done = sum(task.done() for task in tasks)
            show_progress(f"{len(tasks):6} calls sent, {n_done:6} ended")
        await asyncio.sleep(generator.expovariate(load.rate_per_s))
    answers = tuple(await asyncio.gather(*tasks))
    client.close()
    return answers
