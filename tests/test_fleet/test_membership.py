"""Tests of the membership core over a simulated network."""

from __future__ import annotations

import pytest
from hypothesis import settings, strategies
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
)

from bronzesail.schema import RouterId
from tests.membership_simulation import Simulation


def start(n_routers: int, n_regions: int = 1, **options: float) -> Simulation:
    simulation = Simulation(**options)
    for index in range(n_routers):
        simulation.add(f"host-{index}", f"region-{index % n_regions}")
    simulation.run(10.0)
    assert simulation.find_disagreements() == []
    return simulation


def test_dead_router_is_detected_and_no_other_is_declared_dead() -> None:
    simulation = start(12, 2)
    victim = simulation.nodes[4]
    victim.is_running = False
    simulation.run(10.0)
    assert simulation.find_disagreements() == []
    assert all(simulation.is_dead(node, victim.host) for node in simulation.running)
    assert not simulation.nodes[0].core.is_listed(victim.id)
    assert sum(node.count_deaths() for node in simulation.running) <= 3


def test_silent_connection_is_replaced_without_a_suspicion() -> None:
    simulation = start(6)
    first, second = simulation.nodes[:2]
    for other in simulation.nodes[1:]:
        simulation.silent_links.add(frozenset({id(first), id(other)}))
    simulation.run(10.0)
    texts = [text for node in simulation.nodes for text in node.decisions]
    assert any("was silent and is replaced" in text for text in texts)
    assert not any("suspected" in text for text in texts)
    assert simulation.find_disagreements() == []


def test_region_cut_declares_no_router_dead_and_recovers() -> None:
    simulation = start(12, 2)
    simulation.cut_regions = {"region-1"}
    simulation.run(60.0)
    for node in simulation.nodes:
        assert len(node.core.live) == 5 and len(node.core.unreachable) == 6
        assert all(node.core.is_listed(other.id) for other in simulation.nodes)
        assert node.count_deaths() == 0
    simulation.cut_regions = set()
    simulation.run(10.0)
    assert simulation.find_disagreements() == []


def test_region_cut_is_detected_in_time_with_slow_messages() -> None:
    simulation = start(16, 2, delay_s=0.2)
    simulation.cut_regions = {"region-1"}
    simulation.run(9.0)
    assert all(len(node.core.cut_regions) == 1 for node in simulation.nodes)


def test_region_cut_for_long_and_not_listed_is_lost() -> None:
    simulation = start(6, 2, region_lost_ms=100_000)
    simulation.cut_regions = {"region-1"}
    cut_off = simulation.nodes[1]
    simulation.run(200.0)
    assert simulation.nodes[0].core.is_listed(cut_off.id)
    simulation.unlist_host(cut_off.host)
    simulation.run(2.0)
    assert not simulation.nodes[0].core.is_listed(cut_off.id)
    assert simulation.nodes[3].core.is_listed(cut_off.id)


def test_death_inside_a_cut_region_is_known_outside_after_the_cut() -> None:
    simulation = start(12, 2)
    simulation.cut_regions = {"region-1"}
    victim = simulation.nodes[1]
    victim.is_running = False
    simulation.run(60.0)
    assert simulation.is_dead(simulation.nodes[3], victim.host)
    assert simulation.nodes[0].core.is_listed(victim.id)
    simulation.cut_regions = set()
    simulation.run(30.0)
    assert simulation.find_disagreements() == []
    assert not simulation.nodes[0].core.is_listed(victim.id)


def test_restart_on_the_same_address_replaces_the_old_incarnation() -> None:
    simulation = start(6)
    old = simulation.nodes[2]
    old.is_running = False
    new = simulation.add(old.host, old.region)
    simulation.run(10.0)
    assert simulation.find_disagreements() == []
    others = [node for node in simulation.running if node is not new]
    assert not any(node.core.is_listed(old.id) for node in others)
    simulation.run(60.0)
    assert not new.core.is_listed(old.id)


def test_of_two_processes_with_one_host_name_one_is_superseded() -> None:
    simulation = start(6)
    old = simulation.nodes[2]
    simulation.add(old.host, old.region, address="elsewhere")
    simulation.run(60.0)
    conflicting = [node for node in simulation.running if node.host == old.host]
    assert sorted(node.core.is_superseded for node in conflicting) == [False, True]
    winner = next(node for node in conflicting if not node.core.is_superseded)
    n_decisions = len(simulation.nodes[0].decisions)
    simulation.run(60.0)
    assert len(simulation.nodes[0].decisions) == n_decisions
    for node in simulation.running:
        if node.host != old.host:
            entry = node.core.find_entry(old.host)
            assert entry is not None and entry.incarnation == winner.id.incarnation


def test_paused_router_declares_no_death_and_rejoins() -> None:
    simulation = start(6)
    paused = simulation.nodes[3]
    paused.is_paused = True
    simulation.run(20.0)
    assert simulation.is_dead(simulation.nodes[0], paused.host)
    paused.is_paused = False
    simulation.run(10.0)
    assert paused.count_deaths() == 0
    assert simulation.find_disagreements() == []


def test_paused_router_extends_suspicions_for_refutation() -> None:
    simulation = start(3)
    first, second, third = simulation.nodes
    third.is_paused = True
    while third.host in first.list_hosts():
        simulation.run(0.1)
    assert not simulation.is_dead(first, third.host)
    third.is_paused = False
    first.is_paused = second.is_paused = True
    simulation.run(20.0)
    first.is_paused = second.is_paused = False
    simulation.run(10.0)
    assert first.count_deaths() + second.count_deaths() == 0
    assert simulation.find_disagreements() == []


def test_wrong_or_unavailable_host_lists_cause_no_disagreement() -> None:
    simulation = start(6)
    simulation.list_host("ghost", "router", "region-0", "nowhere")
    simulation.list_host("alias", "router", "region-0", "host-1")
    simulation.unlist_host("host-3")
    simulation.run(30.0)
    assert simulation.find_disagreements() == []
    simulation.is_list_down = True
    victim = simulation.nodes[4]
    victim.is_running = False
    simulation.add("late", "region-0")
    simulation.run(30.0)
    assert not simulation.is_dead(simulation.nodes[0], "host-3")
    assert all(victim.host not in node.list_hosts() for node in simulation.running)


def test_leaving_backend_is_marked_everywhere_by_the_pollers_alone() -> None:
    simulation = start(16, 2)
    simulation.list_host("engine", "desk", "region-0", "")
    simulation.run(2.0)
    for node in simulation.nodes[2:]:
        node.polls_list = False
    simulation.list_host("engine", "desk", "region-0", "", leaving=True)
    simulation.run(2.5)
    for node in simulation.nodes:
        (entry,) = node.core.hosts.list_backends("desk")
        assert entry.is_leaving, node.host


def test_hosts_that_vanish_together_are_retained_for_a_while() -> None:
    simulation = start(3)
    for index in range(8):
        simulation.list_host(f"engine-{index}", "desk", "region-0", "")
    simulation.run(2.0)
    for index in range(8):
        simulation.unlist_host(f"engine-{index}")
    simulation.run(10.0)
    backends = simulation.nodes[0].core.hosts.list_backends("desk")
    assert len(backends) == 8
    simulation.run(60.0)
    assert simulation.nodes[0].core.hosts.list_backends("desk") == ()


def test_whole_fleet_can_be_replaced_and_the_old_ids_are_gone() -> None:
    simulation = start(6, 2)
    old = [node.id for node in simulation.nodes]
    for index, node in enumerate(list(simulation.nodes)):
        node.core.leave(simulation.now)
        simulation._run_effects(node)
        simulation.run(0.01)
        node.is_running = False
        simulation.unlist_host(node.host)
        simulation.add(f"new-{index}", node.region)
        simulation.run(5.0)
    simulation.run(10.0)
    assert simulation.find_disagreements() == []
    unknown_id = RouterId("host-never-heard-of", 7)
    assert simulation.running[0].core.is_listed(unknown_id)
    simulation.run(120.0)
    for node in simulation.running:
        assert not any(node.core.is_listed(router_id) for router_id in old)
        assert not node.core.is_listed(unknown_id)


@pytest.mark.parametrize("n_routers", [16, 48])
def test_control_bytes_do_not_grow_with_the_fleet(n_routers: int) -> None:
    simulation = start(n_routers, 2)
    simulation.run(20.0)
    before = [node.sent_bytes for node in simulation.nodes]
    simulation.run(20.0)
    rates = [
        (node.sent_bytes - sent) / 20
        for node, sent in zip(simulation.nodes, before, strict=True)
    ]
    assert max(rates) < 3000


class FleetMachine(RuleBasedStateMachine):
    """Random faults; once they end, all running routers agree on the live members."""

    @initialize()
    def begin(self) -> None:
        self.simulation = start(6, 2)
        self.n_added = 0

    def _choose(self, index: int) -> object:
        running = self.simulation.running
        return running[index % len(running)]

    @rule(index=strategies.integers(0, 20))
    @precondition(lambda self: len(self.simulation.running) > 3)
    def kill(self, index: int) -> None:
        self._choose(index).is_running = False

    @rule(index=strategies.integers(0, 20))
    def restart(self, index: int) -> None:
        node = self._choose(index)
        node.is_running = False
        self.simulation.add(node.host, node.region)

    @rule(index=strategies.integers(0, 20))
    @precondition(lambda self: self.n_added < 3)
    def replace(self, index: int) -> None:
        node = self._choose(index)
        node.is_running = False
        if node.host in self.simulation.entries:
            self.simulation.unlist_host(node.host)
        self.n_added += 1
        self.simulation.add(f"new-{self.n_added}", node.region)

    @rule(index=strategies.integers(0, 20), other=strategies.integers(0, 20))
    def silence(self, index: int, other: int) -> None:
        pair = {id(self._choose(index)), id(self._choose(other))}
        self.simulation.silent_links.add(frozenset(pair))

    @rule(index=strategies.integers(0, 20), is_paused=strategies.booleans())
    def pause(self, index: int, is_paused: bool) -> None:
        self._choose(index).is_paused = is_paused

    @rule(is_cut=strategies.booleans())
    def cut(self, is_cut: bool) -> None:
        self.simulation.cut_regions = {"region-1"} if is_cut else set()

    @rule(is_down=strategies.booleans())
    def take_list_down(self, is_down: bool) -> None:
        self.simulation.is_list_down = is_down

    @rule(duration_s=strategies.floats(0.01, 20.0))
    def wait(self, duration_s: float) -> None:
        self.simulation.run(duration_s)

    @invariant()
    def nobody_declares_itself_dead(self) -> None:
        if not hasattr(self, "simulation"):
            return
        for node in self.simulation.running:
            assert node.core.own_entry.state == 0

    def teardown(self) -> None:
        if not hasattr(self, "simulation"):
            return
        simulation = self.simulation
        simulation.cut_regions = set()
        simulation.is_list_down = False
        for node in simulation.running:
            node.is_paused = False
        simulation.run(90.0)
        assert simulation.find_disagreements() == []
        for node in simulation.running:
            assert not node.core.is_superseded


TestFleetMachine = FleetMachine.TestCase
TestFleetMachine.settings = settings(max_examples=25, stateful_step_count=12)
