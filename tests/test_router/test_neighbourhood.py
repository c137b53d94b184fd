"""Routers compute their roles in a fleet independently and agree on them."""

from __future__ import annotations

import pytest

from bronzesail.router.neighbourhood import (
    FORGET_AFTER_S,
    LIVENESS_TIMEOUT_S,
    NO_FOLLOWER_S,
    SMALL_FLEET,
    SUSPICION_S,
    ZONE_REPORT_TTL_S,
    Neighbourhood,
)

ZONES = ("z1", "z2", "z3")
REGIONS = {"z1": "r1", "z2": "r1", "z3": "r2"}
ACCOUNTS = [f"account-{number}" for number in range(40)]


class Fleet:
    """A fleet in which each router has read the rows of all others."""

    def __init__(self, per_zone, links=None):
        self.time = 0.0
        self.views = {}
        links = links or {}
        hosts = [(f"{zone}-{n}", zone) for zone in ZONES for n in range(per_zone)]
        for host, zone in hosts:
            link = links.get(host, 100.0)
            view = Neighbourhood(host, zone, link, lambda: self.time, REGIONS)
            for other, other_zone in hosts:
                link = links.get(other, 100.0)
                view.note_row(other, other_zone, (other, 1), link)
            self.views[host] = view

    def list_zone(self, zone):
        return [view for host, view in self.views.items() if host.startswith(zone)]

    def deliver_zone_reports(self, without=()):
        """Deliver the leaders' lists of live routers to the other data centres."""
        for zone in ZONES:
            for host, view in self.views.items():
                if host.startswith(zone):
                    continue
                hosts = {h: (h, 1) for h in self.views if h.startswith(zone)}
                for host_left in without:
                    hosts.pop(host_left, None)
                view.note_zone_hosts(zone, hosts)

    def deliver_hellos(self, hosts):
        """Deliver a hello of each router in `hosts` to all that know it."""
        for view in self.views.values():
            for host, known in list(view._neighbours.items()):
                if host in hosts:
                    known.heard_at = self.time


def test_a_small_fleet_has_no_roles():
    fleet = Fleet(SMALL_FLEET // len(ZONES))
    view = fleet.views["z1-0"]
    assert not view.is_large
    assert view.find_leader() is None
    assert view.rank_allocators("a") == []
    assert len(view.list_hello_addresses()) == SMALL_FLEET - 1


def test_each_data_centre_has_one_leader():
    fleet = Fleet(10)
    for zone in ZONES:
        leaders = {
            view.host if leader is None else leader.host
            for view in fleet.list_zone(zone)
            for leader in [view.find_leader()]
        }
        assert len(leaders) == 1


def test_the_router_with_the_widest_link_leads():
    fleet = Fleet(10, {"z2-7": 1000.0})
    assert fleet.views["z2-3"].find_leader().host == "z2-7"
    assert fleet.views["z2-7"].find_leader() is None


@pytest.mark.parametrize("zone", ZONES)
def test_each_account_has_one_allocator_in_a_data_centre(zone):
    fleet = Fleet(10)
    allocators = []
    for account in ACCOUNTS:
        found = [v for v in fleet.list_zone(zone) if not v.rank_allocators(account)]
        assert len(found) == 1
        allocators.append(found[0].host)
        others = [v for v in fleet.list_zone(zone) if v.rank_allocators(account)]
        assert {v.rank_allocators(account)[0].host for v in others} == {allocators[-1]}
    assert len(set(allocators)) > 5


def test_a_silent_router_has_no_role():
    fleet = Fleet(10)
    leader = fleet.views["z1-0"].find_leader() or fleet.views["z1-0"]
    name = getattr(leader, "host", "z1-0")
    fleet.time += LIVENESS_TIMEOUT_S + 0.1
    fleet.deliver_hellos([host for host in fleet.views if host != name])
    for view in fleet.list_zone("z1"):
        found = view.find_leader()
        assert found is None or found.host != name


def test_the_highest_ranked_router_in_step_is_the_store_follower():
    fleet = Fleet(10, {"z1-4": 1000.0, "z1-6": 500.0})
    view = fleet.views["z1-1"]
    assert view.find_store_follower() is None
    view._neighbours["z1-6"].is_in_step = True
    assert view.find_store_follower().host == "z1-6"
    view._neighbours["z1-4"].is_in_step = True
    assert view.find_store_follower().host == "z1-4"


def list_followers(fleet, zone, in_step=(), lost=()):
    """Return the hosts of a data centre that follow the store."""
    views = fleet.list_zone(zone)
    for view in views:
        for host, known in view._neighbours.items():
            known.is_in_step = host in in_step
            known.has_lost_store = host in lost
    return {v.host for v in views if v.may_follow_store(v.host in in_step)}


def test_two_routers_of_a_data_centre_follow_the_store():
    fleet = Fleet(10, {"z1-4": 1000.0, "z1-6": 500.0, "z1-8": 400.0, "z1-2": 300.0})
    first, second = {"z1-4", "z1-6"}, {"z1-8", "z1-2"}
    assert list_followers(fleet, "z1") == first
    assert list_followers(fleet, "z1", in_step=first) == first
    followers = list_followers(fleet, "z1", in_step={"z1-6"}, lost={"z1-4"})
    assert followers == first | {"z1-8"}
    assert list_followers(fleet, "z1", lost=first) == first | second


def test_a_router_follows_the_store_until_two_of_higher_rank_do():
    fleet = Fleet(10, {"z1-4": 1000.0, "z1-6": 500.0, "z1-8": 400.0})
    followers = list_followers(fleet, "z1", in_step={"z1-8"})
    assert followers == {"z1-4", "z1-6", "z1-8"}
    followers = list_followers(fleet, "z1", in_step={"z1-4", "z1-6", "z1-8"})
    assert followers == {"z1-4", "z1-6"}


# With all routers trying at once the link between regions was congested; one after the
# other takes too long.
def test_four_routers_try_while_none_follows_the_store():
    fleet = Fleet(10)
    counts = []
    for _ in range(4):
        fleet.deliver_hellos(fleet.views)
        counts.append(len(list_followers(fleet, "z1")))
        fleet.time += NO_FOLLOWER_S
    assert counts == [2, 4, 4, 4]


# Each follower in the far region read the configuration uncompressed over the link
# between regions.
def test_a_region_far_from_the_store_copies_from_a_nearer_one():
    fleet = Fleet(10)
    far = fleet.views["z3-0"]
    near = far._neighbours["z1-0"]
    assert not far.has_nearer_follower(0.065)
    near.is_in_step, near.store_latency_s = True, 0.006
    assert far.has_nearer_follower(0.065)
    assert not far.has_nearer_follower(0.007)
    # Routers of the same region are ignored, even with a lower latency.
    assert not fleet.views["z2-0"].has_nearer_follower(0.065)
    fleet.views["z2-0"]._neighbours["z1-0"].is_in_step = True
    assert not fleet.views["z2-0"].has_nearer_follower(0.065)
    fleet.time += LIVENESS_TIMEOUT_S
    assert not far.has_nearer_follower(0.065)


def test_only_the_leader_sends_hellos_to_other_data_centres():
    fleet = Fleet(10, {"z1-4": 1000.0})
    for name in ("z1-1", "z1-4"):
        targets = {address[0] for address in fleet.views[name].list_hello_addresses()}
        assert targets == {f"z1-{n}" for n in range(10) if f"z1-{n}" != name}
    others = {address[0] for address in fleet.views["z1-4"].list_other_leaders()}
    assert len(others) == 2 * (len(ZONES) - 1)
    assert not any(name.startswith("z1") for name in others)


def test_each_account_has_one_allocator_in_a_region():
    fleet = Fleet(10)
    fleet.deliver_zone_reports()
    for account in ACCOUNTS:
        for zones in (("z1", "z2"), ("z3",)):
            views = [v for v in fleet.views.values() if v._zone in zones]
            (allocator,) = [v for v in views if not v.rank_allocators(account)]
            others = [v for v in views if v is not allocator]
            assert {v.rank_allocators(account)[0].host for v in others} == {
                allocator.host
            }


def test_an_unresponsive_allocator_is_replaced_for_a_while():
    fleet = Fleet(10)
    fleet.deliver_zone_reports()
    view = next(v for v in fleet.views.values() if len(v.rank_allocators("a")) > 1)
    first, second = view.rank_allocators("a")[:2]
    view.suspect(first.host)
    assert view.rank_allocators("a")[0] == second
    fleet.time += SUSPICION_S + 0.1
    fleet.deliver_hellos(fleet.views)
    assert view.rank_allocators("a")[0] == first


def test_an_old_report_of_a_leader_is_ignored():
    fleet = Fleet(10)
    fleet.deliver_zone_reports()
    fleet.time += ZONE_REPORT_TTL_S + 0.1
    fleet.deliver_hellos(fleet.views)
    allocators = fleet.views["z1-1"].rank_allocators("a")
    assert all(allocator.host.startswith("z1") for allocator in allocators)
    assert fleet.views["z1-1"].find_other_allocators("a") == []


def test_allocators_of_other_regions_are_found_from_reports():
    fleet = Fleet(10)
    fleet.deliver_zone_reports()
    for account in ACCOUNTS:
        (allocator,) = fleet.views["z1-1"].find_other_allocators(account)
        assert not fleet.views[allocator.host].rank_allocators(account)
        assert allocator.host.startswith("z3")
    assert fleet.views["z1-1"].count_regions() == 2


def test_a_router_shares_the_limits_until_its_row_is_removed():
    time = 0.0
    view = Neighbourhood("h0", "z1", 100.0, lambda: time)
    view.note_rows_read(["h0", "h1", "h2"])
    time = FORGET_AFTER_S + 1.0
    view.forget_old()
    assert view.count_hosts() == 3
    view.note_rows_read(["h0", "h1"])
    assert view.count_hosts() == 2
