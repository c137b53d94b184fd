"""Numbers of callers and servers that are far beyond any use."""

from __future__ import annotations

import asyncio

import pytest

from bronzesail.router.placement import REPORT_TTL_S, Placement
from tests.platform_standin import (
    Deployment,
    echo_body,
    make_configuration,
    stream_events,
    wait_until,
)
from tests.router_fakes import ManualClock

LARGE = "9" * 400


# Guards against a header of one caller that ends the service for all: the tokens of its
# prompt went into floats, log lines and rows, none of which can hold them.
@pytest.mark.parametrize(
    "headers",
    [
        {"X_Token_Counts": f"{LARGE},50"},
        {"X_Token_Counts": f"100,{2**63}"},
        {"X_Token_Counts": "100,50", "X_Prefix_Hash": f"aa:{LARGE},bb:40"},
        {"X_Token_Counts": "100,50", "X_Prefix_Hash": f"aa:60,bb:{LARGE}"},
    ],
)
def test_large_numbers_of_a_caller_do_not_harm_others(tmp_path, headers):
    async def run():
        async with Deployment(tmp_path) as deployment:
            deployment.store.put("op", "config", make_configuration())
            await deployment.start_backend("e1", "llm", stream_events(3))
            router = await deployment.start_router("h1")
            app = router.app
            await wait_until(lambda: app.is_ready() and app.keeper.is_in_step)
            usual = {"X_Token_Counts": "100,50", "X_Prefix_Hash": "aa:60,bb:40"}
            assert (await deployment.send(router, "/chat/1", **usual))[0] == 200
            status, _, _ = await deployment.send(router, "/chat/2", **headers)
            assert status in (200, 400, 402)
            await asyncio.sleep(3.0)  # Longer than a lease.
            status, _, _ = await deployment.send(router, "/chat/3", **usual)
            assert status == 200
            assert app.supervisor.n_failures == 0

    asyncio.run(run())


# Guards against a spoiled header that ends the service at a router: each request
# multiplied the load that its server had reported by a float.
@pytest.mark.parametrize("load", [f"{LARGE},0,8", f"0,{LARGE},8", "-1,0,8", "1"])
def test_a_load_that_cannot_be_read_is_ignored(tmp_path, load):
    async def run():
        async with Deployment(tmp_path) as deployment:
            deployment.store.put("op", "config", make_configuration())
            backend = await deployment.start_backend("p1", "app", echo_body)
            router = await deployment.start_router("h1")
            await wait_until(router.app.is_ready)
            backend.more_headers = (("X-Server-Load", load),)
            assert (await deployment.send(router, "/look/1", b"x"))[0] == 200
            backend.more_headers = ()
            await asyncio.sleep(2.0)  # A report loses weight after 1.5 s.
            assert (await deployment.send(router, "/look/2", b"x"))[0] == 200

    asyncio.run(run())


def test_a_report_that_keeps_requests_away_is_dropped_after_a_while():
    clock = ManualClock()
    placement = Placement(clock, "z1", {"z1": "r1"})
    placement.note_load_report("a", 999_999, 0)
    assert placement.estimate_requests("a", clock.now) == 999_999
    clock.now += REPORT_TTL_S + 0.1
    assert placement.estimate_requests("a", clock.now) == 0
