"""Tests of the in-memory version log and of the conditional append."""

from __future__ import annotations

import asyncio

import pytest
from hypothesis import given, strategies

from bronzesail.configuration import make_set_change
from bronzesail.configuration._fold import fold_entry
from bronzesail.configuration._state import Configuration
from bronzesail.configuration._store import AppendOutcome, append_entry
from bronzesail.configuration._version_log import VersionLog
from bronzesail.schema import ConfigurationVersion, PriorityClass
from bronzesail.util.invariants import InvariantError
from tests.fleet_fakes import FakeTable

N_ENTRIES = 12


def make_entry(version: int, priority: int | None = None) -> ConfigurationVersion:
    priority = version if priority is None else priority
    entity = PriorityClass(f"class-{version % 3}", priority)
    changes = (make_set_change("class", entity),)
    return ConfigurationVersion(version, "op", 1, changes, f"id-{version}")


# STATES[n] is the configuration after the first n entries.
ENTRIES = [make_entry(version) for version in range(1, N_ENTRIES + 1)]
STATES = [Configuration()]
for _entry in ENTRIES:
    STATES.append(fold_entry(STATES[-1], _entry))


def make_log(version: int) -> VersionLog:
    """Return a log with the entries up to a version applied."""
    log = VersionLog()
    log.adopt(ENTRIES[:version])
    return log


@given(
    strategies.lists(
        strategies.tuples(
            strategies.integers(0, N_ENTRIES),
            strategies.integers(0, N_ENTRIES),
            strategies.booleans(),
        )
    )
)
def test_deliveries_in_any_order_never_lower_or_skip_a_version(
    deliveries: list,
) -> None:
    log = VersionLog()
    highest = 0
    for start, end, is_snapshot in deliveries:
        if is_snapshot and end:
            log.adopt_snapshot((make_log(end).make_snapshot(),))
            highest = max(highest, end)
        else:
            log.adopt(ENTRIES[start:end])
            if start <= highest:
                highest = max(highest, end)
        assert log.version == highest
        assert log.configuration == STATES[highest]


@given(strategies.integers(0, N_ENTRIES), strategies.integers(1, 4))
def test_pulls_lead_from_any_version_to_the_head(start: int, limit: int) -> None:
    server = make_log(N_ENTRIES)
    log = make_log(start)
    while log.version < server.version:
        assert log.adopt_delta(server.make_delta(log.version, limit)) > 0
    assert log.configuration == server.configuration


def test_another_entry_at_a_version_in_force_is_an_invariant_error() -> None:
    with pytest.raises(InvariantError, match="one entry"):
        make_log(5).adopt([make_entry(3, priority=99)])


def test_append_whose_reply_was_lost_before_an_outage_is_unknown() -> None:
    """The first write may have succeeded, so "not appended" would be wrong."""

    async def check() -> None:
        table = FakeTable()
        table.loses_next_answers = 1
        appending = asyncio.create_task(append_entry(table, ENTRIES[0], 0.4))
        await asyncio.sleep(0.05)
        table.is_down = True
        result = await appending
        assert result.outcome is AppendOutcome.UNKNOWN

    asyncio.run(check())
