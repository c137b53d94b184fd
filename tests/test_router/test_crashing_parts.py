"""Requests with a part in their prompts that crashes backend servers."""

from __future__ import annotations

import asyncio
import itertools
import math

from tests.platform_standin import (
    Deployment,
    make_configuration,
    stream_events,
    wait_until,
)

SHARED_PART, CRASHING_PART = "aa:60", "dd:20"
CONTACT_S = 4.0  # `contactMs` of the small deployments.
INTERVAL_S = 0.2  # Between requests; every second one has the crashing part.
N_ROUNDS = 22  # Of two requests each; 3 s longer than five crashes and `CONTACT_S`.


class CrashingEngines:
    """Engines that crash as they begin to answer a request with the crashing part.

    Such a request arrives at each of the times in `crashed_at`.
    """

    def __init__(self, deployment):
        self._deployment = deployment
        self._tasks = []
        self.crashed_at = []

    async def start(self, count):
        for number in range(count):
            name = f"e{number}"
            backend = await self._deployment.start_backend(name, "llm", None)
            backend._behave = self._make_behaviour(backend)

    def _make_behaviour(self, backend):
        async def behave(request, responder, headers):
            if CRASHING_PART not in request.find_header("x-prefix-hash"):
                await stream_events(3)(request, responder, headers)
                return
            self.crashed_at.append(asyncio.get_running_loop().time())
            self._tasks.append(asyncio.create_task(backend.crash()))
            await asyncio.sleep(3600)

        return behave


def find_deadline(engines):
    """Return the time from which on only three more such requests may arrive."""
    return [*engines.crashed_at, *[math.inf] * 5][4] + CONTACT_S


# Each request was counted by itself, so requests that shared a part crashed servers on.
def test_a_part_that_crashes_servers_is_kept_from_them(tmp_path):
    async def scenario(deployment):
        engines = CrashingEngines(deployment)
        await engines.start(3)
        routers = [await deployment.start_router(name) for name in ("h1", "h2")]
        for router in routers:
            app = router.app
            await wait_until(lambda app=app: app.is_ready() and app.peers.by_host)
            await wait_until(lambda app=app: len(app.directory) == 3)
        numbers = itertools.count()

        def send(*parts):
            number = next(numbers)
            prefix = ",".join((SHARED_PART, *parts, f"{number:x}:5"))
            return asyncio.create_task(
                deployment.send(
                    routers[number // 2 % 2],
                    f"/chat/{number}",
                    b"%d" % number,
                    X_Token_Counts="85,15",
                    X_Prefix_Hash=prefix,
                )
            )

        crashing, sound = [], []
        for _ in range(N_ROUNDS):
            crashing.append(send(CRASHING_PART))
            await asyncio.sleep(INTERVAL_S)
            sound.append(send())
            await asyncio.sleep(INTERVAL_S)
        late = [at for at in engines.crashed_at if at > find_deadline(engines)]
        assert len(late) <= 3
        statuses = [status for status, _, _ in await asyncio.gather(*sound[-5:])]
        assert statuses == [200] * 5
        statuses = [status for status, _, _ in await asyncio.gather(*crashing[-5:])]
        assert statuses == [503] * 5

    async def run():
        async with Deployment(tmp_path) as deployment:
            deployment.store.put("op", "config", make_configuration())
            await scenario(deployment)

    asyncio.run(run())
