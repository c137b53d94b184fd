"""Roles in a fleet: each router works them out for itself, and they agree."""

from __future__ import annotations

import pytest

from bronzesail.router.neighbourhood import LIVE_S, SMALL_FLEET, Neighbourhood

ZONES = ("z1", "z2", "z3")
ACCOUNTS = [f"account-{number}" for number in range(40)]


class Fleet:
    """A fleet whose routers all know each other's rows."""

    def __init__(self, per_zone, links=None):
        self.time = 0.0
        self.views = {}
        links = links or {}
        hosts = [(f"{zone}-{n}", zone) for zone in ZONES for n in range(per_zone)]
        for host, zone in hosts:
            view = Neighbourhood(host, zone, links.get(host, 100.0), lambda: self.time)
            for other, other_zone in hosts:
                link = links.get(other, 100.0)
                view.note_row(other, other_zone, (other, 1), link)
            self.views[host] = view

    def list_zone(self, zone):
        return [view for host, view in self.views.items() if host.startswith(zone)]

    def hear(self, hosts):
        """Let the routers of each data centre hear those in `hosts`."""
        for view in self.views.values():
            for host, known in list(view._known.items()):
                if host in hosts:
                    known.heard_at = self.time


def test_a_small_fleet_has_no_roles():
    fleet = Fleet(SMALL_FLEET // len(ZONES))
    view = fleet.views["z1-0"]
    assert not view.is_large
    assert view.find_leader() is None
    assert view.rank_bankers("a") == []
    assert len(view.list_targets()) == SMALL_FLEET - 1


def test_each_data_centre_has_one_leader():
    fleet = Fleet(10)
    for zone in ZONES:
        leaders = {
            view._host if leader is None else leader.host
            for view in fleet.list_zone(zone)
            for leader in [view.find_leader()]
        }
        assert len(leaders) == 1


def test_the_widest_link_leads():
    fleet = Fleet(10, {"z2-7": 1000.0})
    assert fleet.views["z2-3"].find_leader().host == "z2-7"
    assert fleet.views["z2-7"].find_leader() is None


@pytest.mark.parametrize("zone", ZONES)
def test_each_account_has_one_banker_in_a_data_centre(zone):
    fleet = Fleet(10)
    bankers = []
    for account in ACCOUNTS:
        found = [v for v in fleet.list_zone(zone) if not v.rank_bankers(account)]
        assert len(found) == 1
        bankers.append(found[0]._host)
        others = [v for v in fleet.list_zone(zone) if v.rank_bankers(account)]
        assert {v.rank_bankers(account)[0].host for v in others} == {bankers[-1]}
    assert len(set(bankers)) > 5


def test_a_silent_router_has_no_role():
    fleet = Fleet(10)
    leader = fleet.views["z1-0"].find_leader() or fleet.views["z1-0"]
    name = getattr(leader, "host", "z1-0")
    fleet.time += LIVE_S + 0.1
    fleet.hear([host for host in fleet.views if host != name])
    for view in fleet.list_zone("z1"):
        found = view.find_leader()
        assert found is None or found.host != name


def test_only_a_leader_in_step_with_the_store_guides():
    fleet = Fleet(10, {"z1-4": 1000.0})
    view = fleet.views["z1-1"]
    assert view.find_guide() is None
    view._known["z1-4"].is_in_step = True
    assert view.find_guide().host == "z1-4"


def test_news_stay_in_the_data_centre_but_for_the_leader():
    fleet = Fleet(10, {"z1-4": 1000.0})
    targets = {address[0] for address in fleet.views["z1-1"].list_targets()}
    assert targets == {f"z1-{n}" for n in range(10) if n != 1}
    others = {
        address[0]
        for address in fleet.views["z1-4"].list_targets()
        if not address[0].startswith("z1")
    }
    assert len(others) == 2 * (len(ZONES) - 1)


def test_bankers_of_other_data_centres_are_found_from_their_leaders_news():
    fleet = Fleet(10)
    view = fleet.views["z1-1"]
    leader = view._known["z2-0"]
    hosts = {f"z2-{n}": ("10.2.0.1", n) for n in range(10)}
    view.note_hello(leader, hosts)
    for account in ACCOUNTS:
        ((host, address),) = view.find_other_bankers(account)
        assert not fleet.views[host].rank_bankers(account)
        assert address == hosts[host]
