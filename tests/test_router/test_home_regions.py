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
from bronzesail.router.eligibility import combine_regions, find_unknown_regions
from tests.platform_standin import (
    echo_body,
    make_configuration,
    play,
    stream_events,
    wait_until,
)

REGIONS = {"z1": "r1", "z2": "r2"}
MAX_REFUSAL_S = 2.5  # Half of the time that requests wait for a place at most.


def make_homes(version, route=(), account=(), open_path=None, **changes):
    """Return a configuration; only the route of `open_path` has no home regions."""
    body = make_configuration(version, **changes)
    for entry in body["routes"]:
        entry["timeoutMs"] = 20_000  # A quarter of which requests may wait.
        entry["allowedRegions"] = [] if entry["prefix"] == open_path else list(route)
    body["tenants"][0]["allowedRegions"] = list(account)
    return body


def decode(body):
    return decode_configuration(json.dumps(body).encode())


@pytest.mark.parametrize("bad", ["r1", 5, {"r1": 1}, ["r1", 5], [None]])
def test_a_value_that_is_no_list_of_strings_makes_the_configuration_malformed(bad):
    for owner in ("routes", "tenants"):
        body = make_configuration()
        body[owner][0]["allowedRegions"] = bad
        with pytest.raises(ValueError, match="allowedRegions"):
            decode(body)


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
    configuration = decode(make_homes(1, route, account))
    regions = configuration.routes["api.example"][0].regions
    assert combine_regions(regions, configuration.accounts["acme"].regions) == expected
    unknown = ["r2"] if "r2" in route + account else []
    assert find_unknown_regions(configuration, ["r1"]) == unknown


async def fail(request, responder, headers):
    await responder.start(500, (*headers, ("Content-Length", "0")))
    await responder.finish()


async def break_off(request, responder, headers):
    await responder.start(200, (*headers, ("Content-Type", "text/event-stream")))
    await responder.write(b"id: 1\ndata: x\n\n")
    raise ConnectionResetError


# 14 to 146 requests a day reached a server outside their home regions. Retries and
# streams that go on take another way to a server than first sends.
@pytest.mark.parametrize(
    ("path", "behave"),
    [
        ("/look/1", echo_body),
        ("/book/1", echo_body),
        ("/talk/1", stream_events(2)),
        ("/chat/1", stream_events(2)),
        ("/look/1", fail),
        ("/talk/1", break_off),
    ],
)
def test_no_request_reaches_a_server_outside_its_homes(tmp_path, path, behave):
    async def scenario(deployment):
        body = make_homes(1, ["r2", "nowhere"])
        await deployment.start_zones(body, behave, REGIONS)
        router = await deployment.start_ready_router("h1")
        sends = [deployment.send(router, path) for _ in range(10)]
        results = await asyncio.gather(*sends)
        if behave not in (fail, break_off):
            assert {status for status, _, _ in results} == {200}
        assert deployment.count_arrivals("z1") == 0
        assert deployment.count_arrivals("z2") >= 10
        router.app.log.flush()
        assert '"regions":["nowhere"]' in (tmp_path / "h1.log").read_text()

    play(tmp_path, scenario)


# Guards against requests that keep the home regions that they began to wait with, are
# held although no server at home is left, or hold up requests that have other servers.
def test_changes_of_home_regions_apply_to_waiting_requests(tmp_path):
    released = asyncio.Event()

    async def hold(request, responder, headers):
        await released.wait()
        await echo_body(request, responder, headers)

    async def scenario(deployment):
        async def begin(path, n, zone, expected):
            """Send requests and wait until so many have arrived in a data centre."""
            sends = [deployment.send(router, path) for _ in range(n)]
            tasks = [asyncio.create_task(send) for send in sends]
            await wait_until(lambda: deployment.count_arrivals(zone) == expected)
            return tasks

        open_path = "/look/"
        body = make_homes(1, ["r1"], open_path=open_path)
        await deployment.start_zones(body, hold, REGIONS)
        router = await deployment.start_ready_router("h1")
        line = router.app.line
        tasks = await begin("/book/1", 32, "z1", 32)  # 8 slots, 4 requests in each.
        tasks += await begin("/book/1", 2, "z1", 32)
        await wait_until(lambda: line.count_waiting("app") == 2)
        tasks += await begin("/look/1", 1, "z2", 1)
        deployment.store.put("op", "config", make_homes(2, ["r2"]))
        await wait_until(lambda: deployment.count_arrivals("z2") == 3)
        tasks += await begin("/book/1", 29, "z2", 32)
        refused = await begin("/book/1", 1, "z2", 32)
        await wait_until(lambda: line.count_waiting("app") == 1)
        deployment.store.put("op", "config", make_homes(3, ["r2"], ["r1"]))
        refused.append(asyncio.create_task(deployment.send(router, "/book/1")))
        async with asyncio.timeout(MAX_REFUSAL_S):
            results = await asyncio.gather(*refused)
        deployment.store.put("op", "config", make_homes(4, ["r2"]))
        await wait_until(lambda: router.app.configuration.version == 4)
        refused = await begin("/book/1", 1, "z2", 32)
        await wait_until(lambda: line.count_waiting("app") == 1)
        deployment.store.put("op", "evacuate/z2", {})
        async with asyncio.timeout(MAX_REFUSAL_S):
            results += await asyncio.gather(*refused)
        for status, headers, _ in results:
            assert (status, headers["x-result-code"]) == (503, "BZ1501")
            assert float(headers["retry-after"]) > 0
        released.set()
        assert {status for status, _, _ in await asyncio.gather(*tasks)} == {200}
        assert deployment.count_arrivals("z1") == deployment.count_arrivals("z2") == 32

    play(tmp_path, scenario)


# Guards against a change of home regions that arrives while a connection is opened.
def test_home_regions_are_checked_again_before_the_send(tmp_path):
    async def scenario(deployment):
        await deployment.start_zones(make_homes(1, ["r1"]), echo_body, REGIONS)
        router = await deployment.start_ready_router("h1")
        open_connection = router.app.pool.open
        new = json.dumps(make_homes(2, ["r2"])).encode()

        async def open_late(address):
            connection = await open_connection(address)
            router.app.configuration.apply_if_newer(new, "test")
            return connection

        router.app.pool.open = open_late
        assert (await deployment.send(router, "/book/1"))[0] == 200
        assert deployment.count_arrivals("z1") == 0

    play(tmp_path, scenario)


# Guards against a body that is forwarded to a router outside the home regions when
# this router reaches no server at home.
def test_a_request_is_forwarded_to_routers_in_its_home_regions_only(tmp_path):
    async def scenario(deployment):
        await deployment.start_zones(make_homes(1, ["r2"]), echo_body, REGIONS)
        router = await deployment.start_ready_router("h1")
        await deployment.start_ready_router("near", zone="z1")
        await wait_until(lambda: len(router.app.peers.list_live()) == 1)
        open_connection = router.app.pool.open
        servers = {b.address for b in deployment.backends if b.zone == "z2"}

        async def open_unless_cut(address):
            if address in servers:
                raise ConnectError("refused")
            return await open_connection(address)

        router.app.pool.open = open_unless_cut
        status, _, _ = await deployment.send(router, "/book/1")
        assert status in (429, 503)
        far = await deployment.start_ready_router("far", zone="z2")
        await wait_until(lambda: len(router.app.peers.list_live()) == 2)
        handle, received = far.app.handle, []

        def record(connection, request):
            received.append(dict(request.headers)[b"X-Router-Regions"])
            return handle(connection, request)

        far.app.handle = record
        for _ in range(5):
            assert (await deployment.send(router, "/book/1"))[0] == 200
        assert received == [b"r2"] * 5
        assert deployment.count_arrivals("z1") == 0

    play(tmp_path, scenario)


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

    async def scenario(deployment):
        await deployment.start_zones(make_configuration(), echo_body, REGIONS)
        router = await deployment.start_ready_router("h1")
        for stated, status in (("r2", 200), ("nowhere", 503), ("", 503)):
            headers = {"X_Router_Sends": "0", "X_Router_Regions": stated}
            for _ in range(5):
                found, _, _ = await deployment.send(router, "/book/1", **headers)
                assert found == status
        assert deployment.count_arrivals("z1") == 0

    play(tmp_path, scenario)
