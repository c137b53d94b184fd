"""Tests of the load estimate from lagging load reports."""

from __future__ import annotations

import pytest

from bronzesail.routing._health import Health
from bronzesail.routing._servers import ServerState
from bronzesail.schema import HostEntry, LoadReport, RoutingSettings

SETTINGS = RoutingSettings(report_decay_ms=1000)


def make_server():
    entry = HostEntry("b0", "desk", "10.0.0.1:1", "dc", "east")
    return ServerState(entry, Health(SETTINGS), slots=16)


def test_estimate_decays_towards_the_mean_with_the_age_of_the_report():
    server = make_server()
    server.note_report(LoadReport(running=20, queued=0, slots=16), 10.0)
    loads = [server.estimate_load(10.0 + age, 4.0, SETTINGS) for age in (0, 1, 20)]
    assert loads[0] == pytest.approx(20.0)
    assert loads[1] == pytest.approx(4.0 + 16.0 / 2.71828, rel=1e-3)
    assert loads[2] == pytest.approx(4.0, abs=1e-3)


def test_own_requests_since_the_report_are_neither_missed_nor_counted_twice():
    server = make_server()
    for at in (1.0, 1.1, 1.2):
        server.change_in_flight(1, at)
    server.note_report(LoadReport(running=5, queued=0, slots=16, age_ms=150.0), 1.3)
    assert server.other_requests == 3.0
    assert server.estimate_load(1.15, 0.0, SETTINGS) == pytest.approx(6.0)


def test_older_report_does_not_replace_a_newer_one():
    server = make_server()
    server.note_report(LoadReport(running=5, queued=0, slots=16, age_ms=0.0), 2.0)
    server.note_report(LoadReport(running=9, queued=0, slots=16, age_ms=900.0), 2.5)
    assert server.other_requests == 5.0
