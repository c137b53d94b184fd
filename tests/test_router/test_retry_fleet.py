"""The retry limits of several routers add up to the limit of the fleet."""

from __future__ import annotations

import attrs
from hypothesis import given, settings, target
from hypothesis import strategies as st

from bronzesail.router.neighbourhood import FORGET_AFTER_S, Neighbour, Neighbourhood
from bronzesail.router.retry_budget import RetryBudget
from tests.retry_rule import find_excess

RATIO = 0.2
WINDOW_S = 10.0
SLACK = 52
N_ROUTERS = 6


@attrs.define
class RouterModel:
    """A router's retry budget, which is empty again after a restart."""

    fleet: FleetModel
    budget: RetryBudget = None

    def start(self, slack_from):
        self.budget = RetryBudget(lambda: self.fleet.now, WINDOW_S, slack_from)

    def request(self, count=1):
        for _ in range(count):
            self.budget.note_request()
            self.fleet.requests.append(self.fleet.now)

    def retry(self, count=1, hosts=N_ROUTERS):
        """Send as many of `count` retries as the budget allows."""
        for _ in range(count):
            if self.budget.try_acquire(RATIO, self.fleet.slack, hosts):
                self.fleet.retries.append(self.fleet.now)


class FleetModel:
    """Routers on one clock, and the requests and retries that a service receives."""

    def __init__(self, slack=SLACK, n_routers=N_ROUTERS):
        self.now = 1000.0
        self.slack = slack
        self.requests = []
        self.retries = []
        self.routers = [RouterModel(self) for _ in range(n_routers)]
        for router in self.routers:
            router.start(self.now)

    def find_excess(self):
        """Return the number of retries above the limit in the worst window."""
        return find_excess(self.requests, self.retries, RATIO, self.slack, WINDOW_S)


# Each router compared its retries with the requests of the 10 s before each retry, but
# the limit of the fleet applies to fixed windows.
def test_two_bursts_six_seconds_apart_earn_no_excess_repeats():
    fleet = FleetModel()
    for pause_s in (6.0, 0.1):
        for router in fleet.routers:
            router.request(200)
        fleet.now += pause_s
    for router in fleet.routers:
        router.retry(200)
    assert fleet.find_excess() <= 0


# A new process did not know how many retries its predecessor had sent for the same
# requests.
def test_restarted_routers_do_not_spend_the_ratio_twice():
    fleet = FleetModel()
    for second in range(20):
        if second == 10:
            for router in fleet.routers:
                router.retry(1000)
                router.start(fleet.now + WINDOW_S)
        for router in fleet.routers:
            router.request(100)
        fleet.now += 1.0
        if second == 18:
            for router in fleet.routers:
                router.retry(1000)
    assert fleet.find_excess() <= 0


def make_neighbourhoods(fleet):
    """Return each router's view of the fleet after hellos between all of them."""
    names = [f"h{number}" for number in range(N_ROUTERS)]
    views = {
        name: Neighbourhood(name, "z1", 1000.0, lambda: fleet.now) for name in names
    }
    for name, neighbourhood in views.items():
        for other in names:
            if other == name:
                continue
            neighbourhood.note_hello(
                Neighbour(
                    host=other,
                    zone="z1",
                    address=("127.0.0.1", 1),
                    link_mbps=1000.0,
                    heard_at=fleet.now,
                )
            )
    return list(views.values())


# Routers without hellos from each other for 30 s each spent the whole slack.
def test_routers_cut_off_from_each_other_share_one_slack():
    fleet = FleetModel()
    neighbourhoods = make_neighbourhoods(fleet)
    fleet.now += FORGET_AFTER_S + 1.0
    for router, neighbourhood in zip(fleet.routers, neighbourhoods, strict=True):
        neighbourhood.forget_old()
        router.retry(200, neighbourhood.count_hosts())
    assert fleet.find_excess() <= 0


steps = st.lists(
    st.tuples(
        st.sampled_from(["request", "request", "repeat", "repeat", "restart"]),
        st.sampled_from([None, 0]),  # One router, or all of them.
        st.sampled_from([10, 300]),
        st.sampled_from([0.0, 2.6, 5.1, 9.8]),
    ),
    min_size=5,
    max_size=12,
)


@settings(max_examples=300)
@given(steps, st.sampled_from([0, 52]))
def test_no_sequence_of_starts_requests_and_repeats_exceeds_the_rule(steps, slack):
    fleet = FleetModel(slack)
    for action, number, count, pause_s in steps:
        for router in fleet.routers if number is None else [fleet.routers[number]]:
            if action == "request":
                router.request(count)
            elif action == "repeat":
                router.retry(count)
            else:
                router.start(fleet.now + WINDOW_S)
        fleet.now += pause_s
    excess = fleet.find_excess()
    target(excess)
    assert excess <= 0
