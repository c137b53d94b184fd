"""Routers whose host's link is saturated, on real connections."""

from __future__ import annotations

import asyncio
import functools
from random import Random
from types import SimpleNamespace

import pytest

from bronzesail.model import Feature
from bronzesail.router.admission import LinkSample, ZoneHost
from bronzesail.router.application import Application
from bronzesail.router.directory import Directory
from bronzesail.router.link_protection import LinkProtection
from bronzesail.router.placement import Placement, Work
from bronzesail.router.server_links import ServerLinks
from tests.link_replay import make_link_request
from tests.platform_standin import (
    HOST_NAME,
    KEY,
    Deployment,
    echo_body,
    make_configuration,
    wait_until,
)
from tests.router_fakes import ManualClock, RecordingLog, make_server

LINK_MBPS = 2
BODY = b"x" * 20_000
REQUESTS_PER_S = 20  # Of 40 kB in each direction; the link carries 6.
N_EARLIER = 20  # Requests for which the retry budget allows a second send.


async def start_fleet(deployment, n_routers=4, answer=echo_body):
    deployment.store.put("op", "config", make_configuration())
    backend = await deployment.start_backend("p1", "app", answer)
    for number in range(n_routers):
        await deployment.start_router(f"h{number}", link_mbps=LINK_MBPS)
    routers = deployment.routers
    await wait_until(lambda: all(router.app.is_ready() for router in routers))
    await wait_until(
        lambda: all(len(r.app.peers.list_heard()) == n_routers - 1 for r in routers)
    )
    return backend, routers


async def send_for(deployment, router, for_s):
    """Send requests at a steady rate; return statuses, headers and bodies."""
    tasks = []
    for _ in range(round(for_s * REQUESTS_PER_S)):
        sending = deployment.send(router, "/look/1", BODY)
        tasks.append(asyncio.create_task(sending))
        await asyncio.sleep(1 / REQUESTS_PER_S)
    return await asyncio.gather(*tasks)


def test_a_saturated_host_steps_aside_and_returns(tmp_path):
    async def run():
        async with Deployment(tmp_path) as deployment:
            backend, routers = await start_fleet(deployment)
            first = routers[0].app
            sending = asyncio.create_task(send_for(deployment, routers[0], 2.5))
            await wait_until(lambda: not first.is_ready())
            hellos = [router.app.peers.by_host for router in routers[1:]]
            await wait_until(
                lambda: all(by_host["h0"].hello.is_aside for by_host in hellos)
            )
            assert all(by_host["h0"].hello.surge > 250_000 * 0.85 for by_host in hellos)
            assert all(router.app.is_ready() for router in routers[1:])
            results = await sending
            refused = [headers for status, headers, _ in results if status == 503]
            assert refused
            assert all(h["x-result-code"] == "BZ1504" for h in refused)
            assert all(float(h["retry-after"]) > 0 for h in refused)
            # What is refused has not run.
            n_served = [status for status, _, _ in results].count(200)
            assert n_served + len(refused) == len(results)
            assert len(backend.requests) == n_served
            await wait_until(first.is_ready)

    asyncio.run(run())


# A host that is alone has nobody to send its callers to.
@pytest.mark.parametrize(
    ("disabled", "statuses"), [([], {200, 503}), ([Feature.LINK_PROTECTION], {200})]
)
def test_the_last_host_stays_ready(tmp_path, monkeypatch, disabled, statuses):
    async def run():
        async with Deployment(tmp_path) as deployment:
            _, (router,) = await start_fleet(deployment, 1)
            results = await send_for(deployment, router, 2.5)
            assert router.app.is_ready()
            assert {status for status, _, _ in results} == statuses

    start = functools.partial(Application, disabled_features=frozenset(disabled))
    monkeypatch.setattr("tests.platform_standin.Application", start)
    asyncio.run(run())


# Callers that keep their connections would stay at the host for good.
def test_a_connection_is_closed_after_a_response_that_says_so(tmp_path):
    async def run():
        async with Deployment(tmp_path) as deployment:
            _, (router,) = await start_fleet(deployment, 1)
            reader, writer = await asyncio.open_connection(router.ip, router.port)
            request = (
                f"GET /look/1 HTTP/1.1\r\nHost: {HOST_NAME}\r\nX-Attempt-Id: a\r\n"
                f"Authorization: Bearer {KEY}\r\n\r\n"
            ).encode()
            writer.write(request)
            head = await reader.readuntil(b"\r\n\r\n")
            assert b"Connection: close" not in head
            (caller,) = router.app._callers
            await wait_until(lambda: caller.is_idle)
            caller.request_close()
            writer.write(request)
            rest = await reader.read()
            assert b"Connection: close" in rest
            writer.close()

    asyncio.run(run())


class FakePool:
    """Connections of which none is open."""

    def get_heard_at(self, address):
        return 0.0

    def has_idle(self, address):
        return False

    def drop(self, address):
        pass


# Sends timed out on a full link, all servers counted as out of reach, and requests
# were forwarded over the same link. A refused connection still shows a stopped server.
@pytest.mark.parametrize(
    ("is_congested", "reason", "is_unreachable"),
    [
        (True, "failed or timed out", False),
        (True, "refused", True),
        (False, "failed or timed out", True),
    ],
)
def test_timeouts_on_a_full_link_say_nothing_about_servers(
    is_congested, reason, is_unreachable
):
    clock = ManualClock()
    directory, server = Directory(clock), make_server("a")
    directory.put(server)
    placement = Placement(
        clock, "z1", {"z1": "r1"}, is_link_congested=lambda: is_congested
    )
    links = ServerLinks(
        SimpleNamespace(time=clock, call_later=lambda *_: None),
        RecordingLog(),
        FakePool(),
        directory,
        placement,
        print,
        lambda: None,
        is_congested=lambda: is_congested,
    )
    links._request_check = lambda services: None
    links.note_unreachable(server, reason)
    assert placement.get_load("a").is_unreachable is is_unreachable
    assert links.is_cut_off("s") is (is_unreachable and not is_congested)
    placement.note_sent("b", Work(), 1)
    clock.now += 5.0
    assert placement.is_ejected("b", clock.now) is not is_congested  # It is silent.


# Each request that was late on a full link was sent again over the same link.
@pytest.mark.parametrize(("is_congested", "n_sends"), [(True, 1), (False, 2)])
def test_late_answers_on_a_full_link_lead_to_no_second_send(
    tmp_path, is_congested, n_sends
):
    n_received = 0

    async def answer_late(request, responder, headers):
        nonlocal n_received
        n_received += 1
        if n_received == N_EARLIER + 1:
            await asyncio.sleep(3.0)
        await echo_body(request, responder, headers)

    async def run():
        async with Deployment(tmp_path) as deployment:
            _, (router,) = await start_fleet(deployment, 1, answer_late)
            await deployment.start_backend("p2", "app", answer_late)
            await wait_until(lambda: len(router.app.directory) == 2)
            router.app.entry.is_congested = lambda: is_congested
            for _ in range(N_EARLIER + 1):
                status, _, _ = await deployment.send(router, "/look/1", method="GET")
                assert status == 200
            assert n_received == N_EARLIER + n_sends

    asyncio.run(run())


def admit_at_host_out_of_rotation(opened_at):
    """Return Retry-After and connection of a caller refused after 3 s aside."""
    clock = ManualClock()
    protection = LinkProtection(
        SimpleNamespace(time=clock), RecordingLog(), "h", 5, None, [], Random(1)
    )
    zone = [ZoneHost(host=f"n{i}", bytes_per_s=625_000) for i in range(3)]
    sample = LinkSample(bytes_per_s=625_000, short_use=1.0, long_use=1.0)
    for _ in range(31):
        protection.control.update(sample, zone)
        clock.now += 0.1
    protection.usage.note_sent(10_000_000)
    caller = SimpleNamespace(opened_at=clock.now + opened_at, closes=[])
    caller.request_close = lambda: caller.closes.append(True)
    return protection.admit("key", caller, make_link_request()), caller


# A caller that kept its connection would be refused here again and again.
def test_a_refused_caller_is_sent_elsewhere_at_once():
    retry_after_s, caller = admit_at_host_out_of_rotation(opened_at=-60)
    assert 0.05 <= retry_after_s <= 0.25
    assert caller.closes


# If the balancer uses all hosts, callers come back here; early returns fill the link.
def test_a_caller_that_the_balancer_has_sent_anyway_returns_later():
    retry_after_s, _ = admit_at_host_out_of_rotation(opened_at=0)
    assert retry_after_s >= 1.0
