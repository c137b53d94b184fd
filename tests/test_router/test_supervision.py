"""Background tasks that fail."""

from __future__ import annotations

import asyncio

from bronzesail.router.supervision import Supervisor
from tests.platform_standin import (
    Deployment,
    echo_body,
    make_configuration,
    wait_until,
)
from tests.router_fakes import RecordingLog


# Guards against a background task that ends by an unexpected error and is not started
# again: whatever it kept up to date stays as it was until the process ends.
def test_a_task_that_fails_or_returns_is_started_again():
    async def run():
        log, n_runs = RecordingLog(), 0

        async def fail_or_return():
            nonlocal n_runs
            n_runs += 1
            if n_runs == 1:
                raise OverflowError("int too large")
            if n_runs == 3:
                await asyncio.Event().wait()

        supervisor = Supervisor(asyncio.get_running_loop(), log)
        supervisor.start("watch", fail_or_return)
        await wait_until(lambda: n_runs == 3)
        supervisor.cancel()
        assert supervisor.n_failures == 2
        (message, first), (_, second) = log.lines
        assert message == "router: background task failed"
        assert (first["task"], first["error"]) == (
            "watch",
            "OverflowError('int too large')",
        )
        assert first["traceback"][-1].endswith(" fail_or_return")
        assert second["error"] == "None"

    asyncio.run(run())


def test_a_cancelled_task_is_not_started_again():
    async def run():
        n_runs = 0

        async def wait():
            nonlocal n_runs
            n_runs += 1
            await asyncio.Event().wait()

        log = RecordingLog()
        supervisor = Supervisor(asyncio.get_running_loop(), log)
        supervisor.start("watch", wait)
        await wait_until(lambda: n_runs)
        supervisor.cancel()
        await asyncio.sleep(0)
        assert (n_runs, log.lines) == (1, [])

    asyncio.run(run())


# Guards against a hello that cannot be made and takes with it what announced itself:
# the watches, and a planned stop, which cut the requests in progress.
def test_changes_and_planned_stops_do_not_depend_on_hellos(tmp_path):
    async def run():
        async with Deployment(tmp_path) as deployment:
            deployment.store.put("op", "config", make_configuration())
            await deployment.start_backend("p1", "app", echo_body)
            router = await deployment.start_router("h1")
            await wait_until(router.app.is_ready)

            def fail():
                raise OverflowError

            router.app.peers._make_hello = fail
            for version in range(2, 4):
                deployment.store.put("op", "config", make_configuration(version))
                await wait_until(
                    lambda version=version: router.app.configuration.version == version
                )
            assert router.app.supervisor.n_failures == 0
            await router.stop()
            assert '"router: stopped","cut":0' in (tmp_path / "h1.log").read_text()

    asyncio.run(run())
