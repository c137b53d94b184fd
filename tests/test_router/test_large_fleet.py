"""Distribution of the store's changes in a large fleet, where few routers read them."""

from __future__ import annotations

import asyncio

import msgspec

from bronzesail.router.hello import make_hello
from bronzesail.router.messages import PACKET_BYTES
from bronzesail.router.neighbourhood import SMALL_FLEET
from bronzesail.router.poison import make_fingerprint
from bronzesail.standin import LinkPath
from tests.platform_standin import (
    Deployment,
    echo_body,
    make_configuration,
    wait_until,
)

WATCHED_S = 1.5  # Three hello intervals; a change spreads within one.


def run_in_large_fleet(tmp_path, scenario):
    async def run():
        async with Deployment(tmp_path) as deployment:
            deployment.add_rows_of_other_hosts(SMALL_FLEET)
            deployment.store.put("op", "config", make_configuration())
            for name in ("p1", "p2"):
                await deployment.start_backend(name, "app", echo_body)
            await scenario(deployment)

    asyncio.run(run())


async def start_routers(deployment, router_count, store_path=None):
    """Start routers of one data centre, the first with the widest link."""
    routers, links = [], []
    for number in range(router_count):
        link = await deployment.open_store_link(store_path)
        router = await deployment.start_router(
            f"h{number}", store=link.address, link_mbps=1000 - number
        )
        routers.append(router)
        links.append(link)
    await wait_until(lambda: all(router.app.is_ready() for router in routers))
    await wait_until(
        lambda: all(
            len(router.app.neighbourhood.list_zone_hosts()) == router_count - 1
            and router.app.neighbourhood.is_large
            for router in routers
        )
    )
    return routers, links


# A router that had lost the store passed its outdated directory on after reconnecting.
def test_a_returning_router_brings_no_removed_server_back_at_others(tmp_path):
    async def scenario(deployment):
        (first, second), (link, _) = await start_routers(deployment, 2)
        link.is_cut = True
        await wait_until(lambda: not first.app.is_following_store)
        deployment.store.remove("servers", "p2")
        await wait_until(lambda: second.app.directory.list_ids() == ["p1"])
        link.is_cut = False
        await wait_until(lambda: first.app.is_following_store)
        loop = asyncio.get_running_loop()
        until = loop.time() + WATCHED_S
        while loop.time() < until:
            assert second.app.directory.list_ids() == ["p1"]
            await asyncio.sleep(0.01)

    run_in_large_fleet(tmp_path, scenario)


# Each call timed out after a second and was restarted, so that none ever completed.
def test_a_configuration_that_takes_seconds_to_transfer_comes_into_force(tmp_path):
    async def scenario(deployment):
        narrow = LinkPath(0.0, 0.0)
        routers, _ = await start_routers(deployment, 3, narrow)
        configuration = make_configuration(version=2)
        route = configuration["routes"][0]
        configuration["routes"] += [
            {**route, "name": f"more-{n}", "prefix": f"/more-{n}/"} for n in range(2000)
        ]
        narrow.bytes_per_s = 150_000.0
        deployment.store.put("op", "config", configuration)
        await wait_until(
            lambda: all(router.app.configuration.version == 2 for router in routers)
        )

    run_in_large_fleet(tmp_path, scenario)


# All routers of a data centre read all tables when their leader lost the store.
def test_a_new_follower_reads_no_table_that_it_has_a_copy_of(tmp_path):
    async def scenario(deployment):
        routers, links = await start_routers(deployment, 3)
        last = routers[-1].app
        await wait_until(lambda: not last.is_following_store)
        deployment.store.tables_read.clear()
        for link in links[:-1]:
            link.is_cut = True
        await wait_until(lambda: last.is_following_store)
        assert not {"op", "servers"} & set(deployment.store.tables_read)
        deployment.store.put("op", "config", make_configuration(version=2))
        await wait_until(
            lambda: all(router.app.configuration.version == 2 for router in routers)
        )

    run_in_large_fleet(tmp_path, scenario)


# A hello listed every crash known in the fleet; links of 10 Mbit/s dropped those of
# 4.8 KB.
def test_hellos_fit_into_a_packet_while_many_requests_have_crashed(tmp_path):
    n_crashes = 100  # Two engines with 64 requests each cause more if they crash.
    sizes = []

    async def scenario(deployment):
        (router,), _ = await start_routers(deployment, 1)
        app = router.app
        await wait_until(lambda: app.neighbourhood.is_large)
        for number in range(n_crashes):
            app.poison.note_crash(make_fingerprint(b"/chat", "acme", b"%d" % number))
        sizes.append(len(msgspec.msgpack.encode(make_hello(app))))

    run_in_large_fleet(tmp_path, scenario)
    assert max(sizes) <= PACKET_BYTES


# A hello of a leader listed the routers of all data centres: 6.6 KB in a fleet of 195.
def test_the_hellos_of_a_leader_of_a_large_fleet_fit_into_a_packet(tmp_path):
    n_zones, hosts_per_zone, n_accounts = 6, 33, 40
    sizes = []

    async def scenario(deployment):
        (router,), _ = await start_routers(deployment, 1)
        app = router.app
        await wait_until(lambda: app.neighbourhood.is_large)
        for number in range(n_accounts):
            app.book.receive(f"account-{number}", 1_000_000_000 + number)
        for number in range(hosts_per_zone):
            app.poison.note_crash(make_fingerprint(b"/chat", "acme", b"%d" % number))
        for zone in range(2, n_zones + 1):
            app.neighbourhood.note_zone_hosts(
                f"a-data-centre-{zone}",
                {
                    f"edge-a-data-centre-{zone}-{n}": (f"10.{zone}.0.{n}", 7000)
                    for n in range(hosts_per_zone)
                },
            )
        app.peers._send = lambda data, address: sizes.append(len(data))
        app.peers.send_hello()

    run_in_large_fleet(tmp_path, scenario)
    assert sizes
    assert max(sizes) <= PACKET_BYTES


def test_a_hello_with_all_that_it_may_hold_fits_into_a_packet(tmp_path):
    sizes = []

    async def scenario(deployment):
        (router,), _ = await start_routers(deployment, 1)
        app = router.app
        await wait_until(lambda: app.neighbourhood.is_large)
        now = asyncio.get_running_loop().time()
        for number in range(40):
            app.book.receive(f"account-{number}", 1_000_000_000 + number)
            app.poison.note_crash(make_fingerprint(b"/chat", "acme", b"%d" % number))
            app.crashing_parts.note_crash(f"i-{number:010}", [f"{number:012x}"], now)
            app.crashing_parts.note_begun([f"{number + 100:012x}"])
            app.directory.merge_leaving({f"i-{number:010}": 1_790_000_000_000})
            app.brittle.note_answer(f"service-{number}", 3.0)
        app.entry.usage.note_sent(10**12)
        app.entry.control.surge_bytes_per_s = 10**10
        app.links.list_cut_off = lambda: [f"service-{n}" for n in range(40)]
        app.neighbourhood.list_other_zones = lambda: {
            f"a-data-centre-{n}": {} for n in range(5)
        }
        app.peers._send = lambda data, address: sizes.append(len(data))
        app.peers.send_hello()

    run_in_large_fleet(tmp_path, scenario)
    assert sizes
    assert max(sizes) <= PACKET_BYTES


# More counts than a hello has room for reach the other routers by a separate read.
def test_all_crash_counts_reach_the_other_routers(tmp_path):
    keys = [make_fingerprint(b"/chat", "acme", b"%d" % n) for n in range(500)]

    async def scenario(deployment):
        routers, _ = await start_routers(deployment, 3)
        for key in keys:
            routers[0].app.poison.note_crash(key)
        await wait_until(
            lambda: all(
                router.app.poison.count(key) == 1 for router in routers for key in keys
            )
        )
        assert len({router.app.poison.digest for router in routers}) == 1

    run_in_large_fleet(tmp_path, scenario)


def test_a_changed_list_of_hosts_is_read_from_the_leader(tmp_path):
    async def scenario(deployment):
        routers, _ = await start_routers(deployment, 3)
        leader, *others = (router.app.neighbourhood for router in routers)
        hosts = {f"far-{number}": ("127.0.0.1", 9) for number in range(20)}
        leader.note_zone_hosts("z2", hosts)
        await wait_until(
            lambda: all(view.list_other_zones().get("z2") == hosts for view in others)
        )
        del hosts["far-0"]
        leader.note_zone_hosts("z2", dict(hosts))
        await wait_until(
            lambda: all(view.list_other_zones().get("z2") == hosts for view in others)
        )

    run_in_large_fleet(tmp_path, scenario)
