"""Requests with home regions reach servers and routers there only."""

from __future__ import annotations

import asyncio
import json

import pytest

from bronzesail.platform import (
    decode_configuration,
    encode_peer_request_head,
    read_request_head,
)
from bronzesail.router.client import ConnectError
from bronzesail.router.eligibility import (
    HomeRegions,
    combine_regions,
    find_unknown_regions,
)
from tests.platform_standin import (
    Deployment,
    echo_body,
    make_configuration,
    stream_events,
    wait_until,
)

REGION_BY_ZONE = {"z1": "r1", "z2": "r2"}


def make_homes(version, route=(), account=(), **changes):
    """Return a configuration whose routes and account have home regions."""
    body = make_configuration(version, **changes)
    for entry in body["routes"]:
        entry["allowedRegions"] = list(route)
    for entry in body["tenants"]:
        entry["allowedRegions"] = list(account)
    return body


def encode(body):
    return json.dumps(body).encode()


async def start(deployment, body, zones=("z1", "z2"), behave=echo_body, **options):
    """Start a router in z1, and a server of each service in each data centre."""
    deployment.region_by_zone = REGION_BY_ZONE
    deployment.store.put("op", "config", body)
    for zone in zones:
        for service in ("app", "llm"):
            await deployment.start_backend(
                f"{service}-{zone}", service, behave, zone=zone, **options
            )
    router = await deployment.start_router("h1")
    await wait_until(lambda: len(router.app.directory) == 2 * len(zones))
    await wait_until(router.app.is_ready)
    return router


def read_log(router, folder):
    router.app.log.flush()
    return (folder / f"{router.app.settings.host}.log").read_text()


def count_by_server(deployment):
    return {b.id: len(b.arrivals) for b in deployment.backends}


@pytest.mark.parametrize("bad", ["r1", 5, {"r1": 1}, ["r1", 5], [None]])
def test_a_value_that_is_no_list_of_strings_makes_the_configuration_malformed(bad):
    for owner in ("routes", "tenants"):
        body = make_configuration()
        body[owner][0]["allowedRegions"] = bad
        with pytest.raises(ValueError, match="allowedRegions"):
            decode_configuration(encode(body))


def test_missing_and_empty_lists_restrict_nothing():
    for value in ({}, {"allowedRegions": []}, {"allowedRegions": None}):
        body = make_configuration()
        body["routes"][0].update(value)
        route = decode_configuration(encode(body)).routes["api.example"][0]
        assert route.regions is None


@pytest.mark.parametrize(
    ("route", "account", "expected"),
    [
        ([], [], None),
        (["r1"], [], {"r1"}),
        ([], ["r2"], {"r2"}),
        (["r1", "r2"], ["r2"], {"r2"}),
        # An intersection without a region must not count as no restriction.
        (["r1"], ["r2"], set()),
    ],
)
def test_home_regions_of_route_and_account_apply_together(route, account, expected):
    configuration = decode_configuration(encode(make_homes(1, route, account)))
    found = configuration.routes["api.example"][0]
    regions = configuration.accounts["acme"].regions
    assert combine_regions(found.regions, regions) == expected
    assert find_unknown_regions(configuration, ["r1"]) == [
        region for region in ("r2",) if region in route + account
    ]


# Guards against a request that would lose its restriction between a configuration
# that no longer has its route and the refusal that follows.
def test_the_last_home_regions_apply_to_a_request_without_a_route():
    class Keeper:
        current = decode_configuration(encode(make_homes(1, ["r1"])))

    keeper = Keeper()
    origins = {1: (keeper.current.routes["api.example"][0], None), 2: None}
    homes = HomeRegions(keeper, lambda c: origins[c.version])
    assert homes.find() == {"r1"}
    keeper.current = decode_configuration(encode(make_homes(2, routes=[])))
    assert homes.find() == {"r1"}


# 14 to 146 requests a day reached a server outside their home regions.
@pytest.mark.parametrize("path", ["/look/1", "/book/1", "/talk/1", "/chat/1"])
def test_no_request_reaches_a_server_outside_its_homes(tmp_path, path):
    async def run():
        async with Deployment(tmp_path) as deployment:
            behave = stream_events(2) if path in ("/talk/1", "/chat/1") else echo_body
            body = make_homes(1, ["r2", "nowhere"])
            router = await start(deployment, body, behave=behave)
            results = await asyncio.gather(
                *(deployment.send(router, path) for _ in range(20))
            )
            assert {status for status, _, _ in results} == {200}
            counts = count_by_server(deployment)
            assert counts["app-z1"] == counts["llm-z1"] == 0
            assert counts["app-z2"] + counts["llm-z2"] == 20

            assert '"regions":["nowhere"]' in read_log(router, tmp_path)

    asyncio.run(run())


# A retry, and a stream that goes on, took any server of the service.
@pytest.mark.parametrize("path", ["/look/1", "/talk/1"])
def test_a_second_send_stays_in_the_home_regions(tmp_path, path):
    async def fail(request, responder, headers):
        if path == "/talk/1":
            await responder.start(
                200, (*headers, ("Content-Type", "text/event-stream"))
            )
            await responder.write(b"id: 1\ndata: x\n\n")
            await responder.finish()  # Before the end of the stream is told.
            raise ConnectionResetError
        await responder.start(500, (*headers, ("Content-Length", "0")))
        await responder.finish()

    async def run():
        async with Deployment(tmp_path) as deployment:
            router = await start(deployment, make_homes(1, ["r2"]), behave=fail)
            for _ in range(5):
                await deployment.send(router, path)
            counts = count_by_server(deployment)
            assert counts["app-z1"] == counts["llm-z1"] == 0

    asyncio.run(run())


# Such a request waited for a quarter of its deadline.
def test_a_request_without_a_server_at_home_is_refused_at_once(tmp_path):
    async def run():
        async with Deployment(tmp_path) as deployment:
            body = make_homes(1, ["r2"], ["r1"])
            router = await start(deployment, body)
            sent_at = asyncio.get_running_loop().time()
            status, headers, _ = await deployment.send(router, "/book/1")
            assert asyncio.get_running_loop().time() - sent_at < 0.5
            assert status == 503 and float(headers["retry-after"]) > 0
            assert headers["x-result-code"] == "BZ1501"
            assert sum(count_by_server(deployment).values()) == 0

    asyncio.run(run())


async def fill(deployment, router, held, count):
    """Send requests that servers hold; return their tasks once all are at servers."""
    tasks = [
        asyncio.create_task(deployment.send(router, "/book/1")) for _ in range(count)
    ]
    await wait_until(lambda: held.n_begun == count)
    return tasks


class Hold:
    """A `behave` coroutine that answers once it is released."""

    def __init__(self):
        self.n_begun = 0
        self.released = asyncio.Event()

    async def __call__(self, request, responder, headers):
        self.n_begun += 1
        await self.released.wait()
        await echo_body(request, responder, headers)


# Guards against requests that keep the home regions that they began to wait with.
def test_a_change_of_home_regions_applies_to_waiting_requests(tmp_path):
    async def run():
        async with Deployment(tmp_path) as deployment:
            hold = Hold()
            router = await start(deployment, make_homes(1, ["r1"]), behave=hold)
            line = router.app.line
            full = await fill(deployment, router, hold, 32)  # 8 slots, 4 in each.
            waiting = [
                asyncio.create_task(deployment.send(router, "/book/1"))
                for _ in range(4)
            ]
            await wait_until(lambda: line.count_waiting("app") == 4)
            deployment.store.put("op", "config", make_homes(2, ["r2"]))
            await wait_until(lambda: count_by_server(deployment)["app-z2"] == 4)
            late = asyncio.create_task(deployment.send(router, "/book/1"))
            await wait_until(lambda: count_by_server(deployment)["app-z2"] == 5)
            hold.released.set()
            results = await asyncio.gather(*full, *waiting, late)
            assert {status for status, _, _ in results} == {200}
            assert count_by_server(deployment)["app-z1"] == 32

    asyncio.run(run())


# Guards against a waiting request that is held until its deadline although no server
# at home is left, and against one that passes others on to servers it may not reach.
def test_waiting_requests_end_when_their_homes_lose_all_servers(tmp_path):
    async def run():
        async with Deployment(tmp_path) as deployment:
            hold = Hold()
            router = await start(deployment, make_homes(1, ["r1"]), behave=hold)
            full = await fill(deployment, router, hold, 32)
            task = asyncio.create_task(deployment.send(router, "/book/1"))
            await wait_until(lambda: router.app.line.count_waiting("app") == 1)
            deployment.store.put("op", "config", make_homes(2, ["r1"], ["r2"]))
            status, headers, _ = await task
            assert status == 503 and float(headers["retry-after"]) > 0
            hold.released.set()
            await asyncio.gather(*full)
            assert count_by_server(deployment)["app-z2"] == 0

    asyncio.run(run())


# Guards against a restricted request at the head of the queue that holds up requests
# which other servers have room for.
def test_requests_for_a_full_region_do_not_hold_up_others(tmp_path):
    async def run():
        async with Deployment(tmp_path) as deployment:
            hold = Hold()
            body = make_homes(1, ["r1"])
            body["routes"][3]["allowedRegions"] = []
            router = await start(deployment, body, behave=hold)
            full = await fill(deployment, router, hold, 32)
            waiting = asyncio.create_task(deployment.send(router, "/book/1"))
            await wait_until(lambda: router.app.line.count_waiting("app") == 1)
            other = asyncio.create_task(deployment.send(router, "/look/1"))
            await wait_until(lambda: count_by_server(deployment)["app-z2"] == 1)
            hold.released.set()
            await asyncio.gather(*full, waiting, other)
            assert count_by_server(deployment)["app-z2"] == 1

    asyncio.run(run())


# Guards against a body that is forwarded to a router outside the home regions when
# this router reaches no server at home.
def test_a_request_is_forwarded_to_routers_in_its_home_regions_only(tmp_path):
    async def run():
        async with Deployment(tmp_path) as deployment:
            router = await start(deployment, make_homes(1, ["r2"]))
            near = await deployment.start_router("near", zone="z1")
            await wait_until(near.app.is_ready)
            await wait_until(lambda: len(router.app.peers.list_live()) == 1)
            open_connection = router.app.pool.open
            servers = {b.address for b in deployment.backends if b.id.endswith("z2")}

            async def open_unless_cut(address):
                if address in servers:
                    raise ConnectError("refused")
                return await open_connection(address)

            router.app.pool.open = open_unless_cut
            status, _, _ = await deployment.send(router, "/book/1")
            assert status in (429, 503)
            far = await deployment.start_router("far", zone="z2")
            await wait_until(far.app.is_ready)
            await wait_until(lambda: len(router.app.peers.list_live()) == 2)
            results = [await deployment.send(router, "/book/1") for _ in range(5)]
            assert {status for status, _, _ in results} == {200}
            assert count_by_server(deployment)["app-z1"] == 0

            assert '"peer":"near","service"' not in read_log(router, tmp_path)

    asyncio.run(run())


# Guards against a router with an earlier configuration that lifts the restriction of a
# request which another one forwards to it.
def test_home_regions_go_along_with_a_forwarded_request(tmp_path):
    lines = [(b"X-Attempt-Id", b"r1"), (b"X-Router-Regions", b"anywhere")]
    for regions in (None, frozenset({"r2"}), frozenset({"a,b %", "r\u00e9\r\n"})):
        head = encode_peer_request_head(
            b"GET", b"/", lines, body_bytes=None, remaining_s=1.0, sends=0,
            last_event_id=None, resumes=None, regions=regions,
        )  # fmt: skip
        received = [line.split(b": ") for line in head.split(b"\r\n")[1:-2]]
        assert read_request_head(received).regions == regions

    async def run():
        async with Deployment(tmp_path) as deployment:
            router = await start(deployment, make_configuration())
            for stated, status in (("r2", 200), ("nowhere", 503), ("", 503)):
                headers = {"X_Router_Sends": "0", "X_Router_Regions": stated}
                for _ in range(5):
                    found, _, _ = await deployment.send(router, "/book/1", **headers)
                    assert found == status
            counts = count_by_server(deployment)
            assert (counts["app-z1"], counts["app-z2"]) == (0, 5)

    asyncio.run(run())
