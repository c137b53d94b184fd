"""Tests of the configuration service over real peer connections."""

from __future__ import annotations

import asyncio
import random

from returns.pipeline import is_successful

from bronzesail.configuration import (
    ConfigurationService,
    ConfigurationSettings,
    make_set_change,
)
from bronzesail.configuration._store import append_entry
from bronzesail.errors import ResultCode
from bronzesail.explain import DecisionLog
from bronzesail.schema import ClientAccount, ConfigurationVersion, PriorityClass
from bronzesail.util.clock import SystemClock
from tests.fleet_fakes import FakeFleet
from tests.request_fakes import wait_until


def make_class(name: str, priority: int = 1) -> tuple[object, ...]:
    return (make_set_change("class", PriorityClass(name, priority)),)


async def start_fleet(n_routers: int) -> FakeFleet:
    fleet = FakeFleet()
    for index in range(n_routers):
        await fleet.add(f"router-{index}")
    routers = fleet.routers.values()
    await wait_until(lambda: all(len(r.list_hosts()) == n_routers - 1 for r in routers))
    return fleet


def test_apply_is_in_force_everywhere_and_a_racing_operator_gets_a_conflict() -> None:
    async def check() -> None:
        fleet = await start_fleet(3)
        first, second, third = fleet.routers.values()
        results = await asyncio.gather(
            first.configuration.apply("alice", 0, make_class("tag")),
            second.configuration.apply("bob", 0, make_class("review")),
        )
        refusals = [r.failure() for r in results if not is_successful(r)]
        assert [r.code for r in refusals] == [ResultCode.CONFIGURATION_CONFLICT]
        assert "version 1 by" in refusals[0].detail
        report = next(r.unwrap() for r in results if is_successful(r))
        assert len(report.acknowledged) == 3 and report.missing == ()
        assert third.configuration.current.version == 1
        await fleet.stop()

    asyncio.run(check())


def test_lost_reply_is_resolved_and_a_start_without_table_pulls_from_peers() -> None:
    async def check() -> None:
        fleet = await start_fleet(2)
        first = fleet.routers["router-0"]
        fleet.table.loses_next_answers = 1
        result = await first.configuration.apply("alice", 0, make_class("tag"))
        assert result.unwrap().version == 1
        fleet.table.is_down = True
        joined = await fleet.add("router-2")
        await wait_until(lambda: joined.configuration.current.version == 1)
        await fleet.stop()

    asyncio.run(check())


def test_changes_on_an_old_version_are_refused_with_the_later_entries() -> None:
    """Changes based on an outdated version must not overwrite later ones."""

    async def check() -> None:
        fleet = await start_fleet(1)
        service = fleet.routers["router-0"].configuration
        await service.apply("alice", 0, make_class("tag"))
        await service.apply("bob", 1, make_class("review"))
        refusal = (await service.apply("carol", 1, make_class("tag", 9))).failure()
        assert refusal.code == ResultCode.CONFIGURATION_CONFLICT
        assert "version 2 by bob: class review set" in refusal.detail
        await fleet.stop()

    asyncio.run(check())


def test_invalid_changes_and_a_table_outage_are_refused_as_not_run() -> None:
    async def check() -> None:
        fleet = await start_fleet(1)
        service = fleet.routers["router-0"].configuration
        account = ClientAccount("a", b"", b"", ("gone",))
        changes = (make_set_change("account", account),)
        refusal = (await service.apply("alice", 0, changes)).failure()
        assert refusal.code == ResultCode.CONFIGURATION_INVALID
        assert "unknown service gone" in refusal.detail
        fleet.table.is_down = True
        refusal = (await service.apply("alice", 0, make_class("tag"))).failure()
        assert refusal.code == ResultCode.PLATFORM_UNREACHABLE and refusal.is_not_run
        await fleet.stop()

    asyncio.run(check())


def test_older_program_keeps_its_version_and_reports_the_reason() -> None:
    """An entry of a higher schema level must not be applied by an older program."""

    async def check() -> None:
        fleet = await start_fleet(2)
        first, second = fleet.routers.values()
        await first.configuration.apply("alice", 0, make_class("tag"))
        newer = ConfigurationVersion(2, "bob", 2, make_class("new"), "id")
        assert await append_entry(fleet.table, newer, 1.0)
        await wait_until(lambda: second.configuration.blocked_reason)
        assert second.configuration.current.version == 1
        assert "needs schema level 2" in second.configuration.blocked_reason
        texts = [item.text for item in second.decisions.find("configuration")]
        assert any("kept version 1" in text for text in texts)
        await fleet.stop()

    asyncio.run(check())


def test_dead_router_is_reported_as_missing() -> None:
    async def check() -> None:
        fleet = await start_fleet(3)
        await fleet.routers["router-2"].abort()
        first = fleet.routers["router-0"].configuration
        report = (await first.apply("alice", 0, make_class("tag"))).unwrap()
        assert [m.router.host for m in report.missing] == ["router-2"]
        assert report.missing[0].reason
        await fleet.stop()

    asyncio.run(check())


def test_entries_no_longer_kept_are_sent_as_a_snapshot() -> None:
    """A router far behind gets a snapshot from peers and, in few reads, from the table.

    600 versions exceed both the entries kept in memory and the snapshot interval.
    """

    async def check() -> None:
        fleet = await start_fleet(1)
        service = fleet.routers["router-0"].configuration
        for version in range(600):
            name = f"class-{version % 7}"
            await service.apply("alice", version, make_class(name, version))
        fleet.table.is_down = True
        joined = (await fleet.add("router-1")).configuration
        await wait_until(lambda: joined.current.version == 600)
        assert joined.current.classes == service.current.classes
        fleet.table.is_down = False
        other = ConfigurationService(
            fleet.table,
            fleet.routers["router-0"].fleet,
            fleet.routers["router-0"].fleet,
            SystemClock(),
            random.Random(1),
            DecisionLog(),
            ConfigurationSettings(),
        )
        reads = fleet.table.n_reads
        await other.start()
        assert other.current == service.current
        assert fleet.table.n_reads - reads <= 4
        await other.stop()
        await fleet.stop()

    asyncio.run(check())
