"""Retries of a service stay within the fleet's limit."""

from __future__ import annotations

import asyncio
import time

from tests.platform_standin import (
    Deployment,
    echo_body,
    make_configuration,
    wait_until,
)

RATIO = 0.2
SLACK = 5
N_REPLACED = 6
N_REQUESTS = 60


def count_retries(backends):
    """Return the arrivals beyond the first of each request."""
    arrivals = [name for backend in backends for name in backend.arrivals]
    return len(arrivals) - len(set(arrivals))


async def start_replaced_servers(deployment):
    """Start servers whose entries in the store have the ids of their predecessors."""
    for number in range(N_REPLACED):
        backend = await deployment.start_backend(f"old-{number}", "app", echo_body)
        backend.id = f"new-{number}"


# Servers restart under new ids while the store still holds their old entries, so that
# they refuse requests with 421. The resends were not counted as retries.
def test_resends_after_421_stay_within_the_retry_limit(tmp_path):
    async def run():
        async with Deployment(tmp_path) as deployment:
            deployment.store.put("op", "config", make_configuration())
            await deployment.start_backend("p1", "app", echo_body)
            await start_replaced_servers(deployment)
            bounds = f"retryBudgetRatio = {RATIO}\nbudgetSlack = {SLACK}"
            router = await deployment.start_router("h1", bounds)
            await wait_until(router.app.is_ready)
            answers = await asyncio.gather(
                *(
                    deployment.send(router, "/look/1", method="GET")
                    for _ in range(N_REQUESTS)
                )
            )
            assert {status for status, _, _ in answers} <= {200, 503}
            retries = count_retries(deployment.backends)
            assert retries <= RATIO * N_REQUESTS + SLACK

    asyncio.run(run())


async def answer_with_failure(request, responder, headers):
    """Answer 500."""
    await responder.start(500, (*headers, ("Content-Length", "0")))
    await responder.finish()


# Each restarted process had a full share of the fleet's slack, so that several restarts
# within a window exceeded it.
def test_restarts_within_a_window_stay_within_the_retry_limit(tmp_path):
    slack, n_starts, n_requests = 30, 3, 25

    async def run():
        async with Deployment(tmp_path) as deployment:
            deployment.store.put("op", "config", make_configuration())
            for name in ("p1", "p2"):
                await deployment.start_backend(name, "app", answer_with_failure)
            bounds = f"retryBudgetRatio = {RATIO}\nbudgetSlack = {slack}"
            for _ in range(n_starts):
                router = await deployment.start_router("h1", bounds)
                await wait_until(router.app.is_ready)
                for _ in range(n_requests):
                    await deployment.send(router, "/look/1", method="GET")
                router.app.abort()
            retries = count_retries(deployment.backends)
            assert retries <= RATIO * n_starts * n_requests + slack

    asyncio.run(run())


# The first router of a fleet spent the whole slack before it had discovered the others.
def test_routers_that_start_one_by_one_share_one_slack(tmp_path):
    slack, n_routers, n_requests = 30, 6, 18

    async def run():
        async with Deployment(tmp_path) as deployment:
            deployment.store.put("op", "config", make_configuration())
            for name in ("p1", "p2"):
                await deployment.start_backend(name, "app", answer_with_failure)
            bounds = f"retryBudgetRatio = {RATIO}\nbudgetSlack = {slack}"
            for number in range(n_routers):
                router = await deployment.start_router(f"h{number}", bounds)
                await wait_until(router.app.is_ready)
                for _ in range(n_requests):
                    await deployment.send(router, "/look/1", method="GET")
            retries = count_retries(deployment.backends)
            assert retries <= RATIO * n_routers * n_requests + slack

    asyncio.run(run())


# The same fault as above, checked on the retry budget without callers and servers.
def test_a_new_process_spends_no_slack_in_its_first_window(tmp_path, monkeypatch):
    read_time = time.clock_gettime
    shift_s = 0.0

    async def run():
        nonlocal shift_s
        async with Deployment(tmp_path) as deployment:
            deployment.store.put("op", "config", make_configuration())
            router = await deployment.start_router("h1")
            services = router.app.services
            await wait_until(lambda: services.count_hosts() == 1)
            budget = services.retry_budget("app")
            window_s = services.settings.bounds.retry_window_s
            monkeypatch.setattr(
                time, "clock_gettime", lambda clock: read_time(clock) + shift_s
            )
            assert not budget.try_acquire(RATIO, SLACK, services.count_hosts())
            shift_s = window_s
            assert budget.try_acquire(RATIO, SLACK, services.count_hosts())

    asyncio.run(run())


# The monotonic clock stops while a host is suspended, so that requests from before the
# suspension still allowed retries after it.
def test_requests_from_before_a_suspension_earn_no_repeats(tmp_path, monkeypatch):
    suspended_s, n_before, n_after = 60.0, 60, 10
    current_behaviour = echo_body
    shift_s = 0.0
    read_time = time.clock_gettime

    async def answer(request, responder, headers):
        await current_behaviour(request, responder, headers)

    def read_shifted(clock):
        return read_time(clock) + (shift_s if clock == time.CLOCK_BOOTTIME else 0.0)

    async def run():
        nonlocal current_behaviour, shift_s
        async with Deployment(tmp_path) as deployment:
            deployment.store.put("op", "config", make_configuration())
            for name in ("p1", "p2"):
                await deployment.start_backend(name, "app", answer)
            bounds = f"retryBudgetRatio = {RATIO}\nbudgetSlack = 0"
            router = await deployment.start_router("h1", bounds)
            await wait_until(router.app.is_ready)
            for _ in range(n_before):
                await deployment.send(router, "/look/1", method="GET")
            monkeypatch.setattr(time, "clock_gettime", read_shifted)
            shift_s = suspended_s
            current_behaviour = answer_with_failure
            for _ in range(n_after):
                await deployment.send(router, "/look/1", method="GET")
            assert count_retries(deployment.backends) <= RATIO * n_after

    asyncio.run(run())


# A request whose route changed while it was queued was counted for both services.
def test_a_request_is_counted_for_one_service_when_its_route_changes(tmp_path):
    async def run():
        async with Deployment(tmp_path) as deployment:
            configuration = make_configuration()
            deployment.store.put("op", "config", configuration)
            await deployment.start_backend("e1", "llm", echo_body)
            router = await deployment.start_router("h1")
            await wait_until(router.app.is_ready)
            answer = asyncio.create_task(
                deployment.send(router, "/look/1", method="GET")
            )
            count_waiting = router.app.line.count_waiting
            await wait_until(lambda: count_waiting("app"))
            for route in configuration["routes"]:
                if route["name"] == "read":
                    route["service"] = "llm"
            deployment.store.put("op", "config", configuration | {"version": 2})
            await wait_until(lambda: router.app.configuration.version == 2)
            await deployment.start_backend("p1", "app", echo_body)
            status, _, _ = await answer
            assert status == 503
            counted = await read_metrics(router)
            requests = "bronzesail_service_requests_total"
            assert sum(n for name, n in counted.items() if requests in name) == 1

    asyncio.run(run())


async def read_metrics(router):
    """Return the values of the router's metrics of a service, by name and labels."""
    path = "GET /metrics HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n"
    host, port = router.app.settings.ip, router.app.settings.internal_ports[0]
    reader, writer = await asyncio.open_connection(host, port)
    writer.write(path.encode())
    text = (await reader.read()).decode()
    writer.close()
    pairs = [line.rsplit(" ", 1) for line in text.splitlines() if 'service="' in line]
    return {name: float(value) for name, value in pairs}


# Without metrics for each send, the retries that arrive at the servers could not be
# compared with those that the router counts.
def test_counted_sends_are_the_arrivals_at_the_servers(tmp_path):
    async def run():
        async with Deployment(tmp_path) as deployment:
            deployment.store.put("op", "config", make_configuration())
            await deployment.start_backend("p1", "app", answer_with_failure)
            await start_replaced_servers(deployment)
            bounds = f"retryBudgetRatio = {RATIO}\nbudgetSlack = {SLACK}"
            router = await deployment.start_router("h1", bounds)
            await wait_until(router.app.is_ready)
            await asyncio.gather(
                *(
                    deployment.send(router, "/look/1", method="GET")
                    for _ in range(N_REQUESTS)
                )
            )
            counted = await read_metrics(router)
            sends = 'bronzesail_sends_total{kind="%s",service="app"}'
            retries = count_retries(deployment.backends)
            arrivals = sum(len(backend.arrivals) for backend in deployment.backends)
            assert counted.get(sends % "repeat", 0) == retries
            assert counted[sends % "first"] == arrivals - retries
            requests = 'bronzesail_service_requests_total{service="app"}'
            assert counted[requests] == N_REQUESTS

    asyncio.run(run())
