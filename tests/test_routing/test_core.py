"""Tests of admission, queueing and choice, without I/O and on explicit time."""

from __future__ import annotations

import random

import hypothesis.strategies as st
import pytest
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
)

from bronzesail.errors import ResultCode
from bronzesail.routing import (
    Chosen,
    LinkRateLimiter,
    Refused,
    RouteRequest,
    RoutingCore,
)
from bronzesail.schema import (
    CacheEvent,
    CacheEventsReply,
    HostEntry,
    LoadReport,
    RoutingSettings,
)
from bronzesail.util.invariants import InvariantError

HOSTS = tuple(f"b{number}" for number in range(5))


def make_entry(host, region="east", is_leaving=False):
    return HostEntry(
        host=host,
        role="desk",
        address=f"10.0.0.1:{host}",
        data_centre="dc",
        region=region,
        is_leaving=is_leaving,
    )


def make_request(key="k", **changes):
    values = {
        "service": "desk",
        "request_key": key,
        "prompt": b"p" * 256,
        "prompt_tokens": 64,
        "output_tokens": 16,
        "class_name": "answer",
        "priority": 1,
        "ageing_ms": 1000,
        "deadline": 1e9,
    }
    return RouteRequest(**(values | changes))


def make_core(hosts=("b0",), now=0.0, link_bytes_per_s=1e6, regions=None, **changes):
    values = {"default_slots": 1, "overcommit_percent": 100}
    settings = RoutingSettings(**(values | changes))
    core = RoutingCore(settings, "east", LinkRateLimiter(link_bytes_per_s, now))
    entries = [make_entry(host, (regions or {}).get(host, "east")) for host in hosts]
    core.update_servers("desk", entries, now)
    return core


def submit(core, route_request, now=0.0, rng=None):
    _, effects = core.submit(route_request, now, rng or random.Random(1))
    return effects


class CoreMachine(RuleBasedStateMachine):
    """Submits, cancels, releases and expires requests while the host list changes.

    Each request is dispatched, refused or cancelled exactly once. It is dispatched only
    to a listed server that is neither draining nor excluded, and a suspect only to a
    server without other requests.
    """

    @initialize(seed=st.integers(0, 1000), slots=st.integers(1, 3))
    def start(self, seed, slots):
        self.now = 100.0
        self.rng = random.Random(seed)
        self.leaving = {host: False for host in HOSTS[:3]}
        settings = RoutingSettings(
            default_slots=slots,
            queue_limit=6,
            ejection_failures=2,
            slow_start_ms=2000,
            prefix_blocks=8,
        )
        self.core = RoutingCore(settings, "east", LinkRateLimiter(4000.0, self.now))
        self.waiting = {}
        self.routes = []
        self.generation = dict.fromkeys(HOSTS, 0)
        self.update_host_list()

    def update_host_list(self):
        entries = []
        for host, is_leaving in self.leaving.items():
            region = "west" if host in ("b2", "b4") else "east"
            entries.append(make_entry(host, region, is_leaving))
        self.core.update_servers("desk", entries, self.now)

    def check_effects(self, effects):
        for effect in effects:
            if isinstance(effect, Chosen):
                self.check_choice(effect.number, effect.route)
            elif isinstance(effect, Refused):
                request = self.waiting.pop(effect.number)
                assert effect.refusal.is_not_run
                if effect.refusal.code is ResultCode.DEADLINE_PASSED:
                    assert request.deadline <= self.now

    def check_choice(self, number, route):
        request = self.waiting.pop(number)
        host = route.backend.host
        assert route.request is request
        assert self.leaving[host] is False
        assert host not in request.excluded
        assert request.deadline > self.now
        same = [r for r, g in self.routes if (r.backend.host, g) == self.key(host)]
        if request.is_suspect:
            assert not same
        assert not any(r.request.is_suspect for r in same)
        self.routes.append((route, self.generation[host]))

    def key(self, host):
        return (host, self.generation[host])

    @rule(
        priority=st.integers(0, 3),
        excluded=st.frozensets(st.sampled_from(HOSTS), max_size=2),
        is_suspect=st.booleans(),
        wait_s=st.sampled_from((0.0, 0.5, 60.0)),
        prompt=st.sampled_from((b"", b"a" * 130, b"a" * 200, b"b" * 64)),
    )
    def submit(self, priority, excluded, is_suspect, wait_s, prompt):
        request = make_request(
            prompt=prompt,
            class_name=f"c{priority}",
            priority=priority,
            deadline=self.now + wait_s,
            excluded=excluded,
            is_suspect=is_suspect,
        )
        number, effects = self.core.submit(request, self.now, self.rng)
        self.waiting[number] = request
        available = [h for h, left in self.leaving.items() if not left]
        for effect in effects:
            if not isinstance(effect, Refused) or effect.number != number:
                continue
            if effect.refusal.code is ResultCode.NO_BACKEND:
                assert not [h for h in available if h not in excluded]
        self.check_effects(effects)

    @precondition(lambda self: self.waiting)
    @rule(data=st.data())
    def cancel(self, data):
        number = data.draw(st.sampled_from(sorted(self.waiting)))
        assert self.core.cancel(number)
        assert not self.core.cancel(number)
        del self.waiting[number]

    @precondition(lambda self: self.routes)
    @rule(data=st.data(), is_failed=st.booleans(), has_token=st.booleans())
    def release(self, data, is_failed, has_token):
        index = data.draw(st.integers(0, len(self.routes) - 1))
        route, _ = self.routes.pop(index)
        if has_token:
            self.core.note_first_token(route)
            self.core.note_first_token(route)
        self.check_effects(self.core.release(route, 7, is_failed, self.now, self.rng))
        with pytest.raises(InvariantError):
            self.core.release(route, 7, is_failed, self.now, self.rng)

    @rule(host=st.sampled_from(HOSTS), is_leaving=st.booleans())
    def list_server(self, host, is_leaving):
        self.leaving[host] = is_leaving
        self.update_host_list()

    @rule(host=st.sampled_from(HOSTS))
    def drop_server(self, host):
        if self.leaving.pop(host, None) is not None:
            self.generation[host] += 1
        self.update_host_list()

    @rule(host=st.sampled_from(HOSTS), count=st.integers(0, 9), age=st.integers(0, 999))
    def report(self, host, count, age):
        load = LoadReport(running=count, queued=count, slots=3, age_ms=age)
        self.core.note_report("desk", host, load, self.now)

    @rule(host=st.sampled_from(HOSTS))
    def miss_report(self, host):
        self.check_effects(self.core.note_report_failed("desk", host, self.now))

    @rule(
        host=st.sampled_from(HOSTS),
        seq=st.integers(1, 40),
        kind=st.sampled_from(("stored", "evicted")),
        block=st.sampled_from(("00", "ff", "not hexadecimal")),
        incarnation=st.integers(1, 2),
    )
    def change_cache(self, host, seq, kind, block, incarnation):
        event = CacheEvent(seq=seq, kind=kind, block=block)
        self.core.note_events(host, CacheEventsReply((event,), incarnation))
        assert self.core.prefixes.count_blocks(host) <= 8

    @rule(step_s=st.sampled_from((0.01, 0.4, 3.0, 30.0)))
    def wait(self, step_s):
        self.now += step_s
        self.check_effects(self.core.advance(self.now, self.rng))
        assert all(o.deadline > self.now for o in self.waiting.values())

    @invariant()
    def conserves_requests(self):
        if hasattr(self, "core"):
            assert self.core.n_waiting == len(self.waiting)
            assert self.core.n_in_flight == len(self.routes)


TestCoreMachine = CoreMachine.TestCase


def test_low_priority_request_is_dispatched_only_after_it_has_aged():
    core = make_core()
    rng = random.Random(1)
    running = submit(core, make_request("first"))[0].route
    review = make_request("review", class_name="review", priority=5, ageing_ms=1000)
    assert submit(core, review) == []
    served = []
    now = 0.0
    while "review" not in served:
        now += 0.5
        assert now < 8.0
        submit(core, make_request(f"tag{now}", class_name="tag"), now)
        effects = core.release(running, 1, False, now, rng)
        running = effects[0].route
        served.append(running.request.request_key)
    assert len(served) > 5


def test_remote_server_is_chosen_only_when_the_local_one_is_full():
    core = make_core(("near", "far"), regions={"far": "west"})
    assert submit(core, make_request("a"))[0].route.backend.host == "near"
    assert submit(core, make_request("b"))[0].route.backend.host == "far"


def test_remote_server_is_not_chosen_while_the_link_limit_is_reached():
    core = make_core(("far",), regions={"far": "west"}, link_bytes_per_s=1000.0)
    submit(core, make_request("a", prompt=b"p" * 900))
    core.update_servers(
        "desk", [make_entry("far", "west"), make_entry("far2", "west")], 0.0
    )
    assert submit(core, make_request("b", prompt=b"p" * 900)) == []
    effects = core.advance(4.0, random.Random(1))
    assert effects[0].route.backend.host == "far2"


def test_at_most_half_of_the_pool_is_ejected_and_slow_start_follows():
    core = make_core(("b0", "b1"), default_slots=20, ejection_failures=1)
    rng = random.Random(1)
    for host in ("b0", "b1"):
        core.note_report_failed("desk", host, 0.0)
    for _ in range(10):
        assert submit(core, make_request())[0].route.backend.host == "b1"
    now = 5.5
    hosts = []
    for _ in range(12):
        effects = submit(core, make_request(), now, rng)
        hosts += [e.route.backend.host for e in effects]
    assert 0 < hosts.count("b0") <= 2


def test_suspect_waits_for_an_idle_server_and_is_not_starved():
    core = make_core(("b0", "b1"), default_slots=4)
    rng = random.Random(2)
    routes = [submit(core, make_request(str(n)))[0].route for n in range(6)]
    assert submit(core, make_request("suspect", is_suspect=True)) == []
    hosts = {e.route.backend.host for e in submit(core, make_request("next"))}
    assert len(hosts) <= 1
    effects = []
    for route in routes:
        effects += core.release(route, 1, False, 1.0, rng)
    suspects = [e.route for e in effects if e.route.request.is_suspect]
    assert [r.request.request_key for r in suspects] == ["suspect"]
    other = submit(core, make_request("other"), 1.0)[0].route
    assert other.backend.host != suspects[0].backend.host


def test_cancelled_suspect_releases_its_reserved_server():
    core = make_core(("b0",), default_slots=4)
    submit(core, make_request("a"))
    number, _ = core.submit(make_request("s", is_suspect=True), 0.0, random.Random(1))
    assert submit(core, make_request("b")) == []
    core.cancel(number)
    assert len(core.advance(0.1, random.Random(1))) == 1


def test_request_beyond_the_queue_limit_is_refused_with_a_retry_time():
    core = make_core(queue_limit=2)
    for key in "abc":
        submit(core, make_request(key))
    refusal = submit(core, make_request("d"))[0].refusal
    assert refusal.code is ResultCode.OVERLOADED
    assert refusal.is_not_run
    assert refusal.retry_after_s > 0
    other = make_request("e", class_name="review", priority=9)
    assert submit(core, other) == []


@pytest.mark.parametrize("n_routers", [8, 40])
def test_stale_reports_do_not_concentrate_requests_on_one_server(n_routers):
    hosts = tuple(f"b{n}" for n in range(10))
    cores = []
    for _ in range(n_routers):
        core = make_core(hosts, default_slots=64)
        for host in hosts:
            running = 0 if host == "b0" else 20
            load = LoadReport(running=running, queued=0, slots=64, age_ms=400.0)
            core.note_report("desk", host, load, 0.0)
        cores.append(core)
    counts = dict.fromkeys(hosts, 0)
    for index in range(400):
        rng = random.Random(index)
        request = make_request(str(index), prompt=b"")
        route = submit(cores[index % n_routers], request, 0.0, rng)[0].route
        counts[route.backend.host] += 1
    assert counts["b0"] <= 400 / 10 * 3


def test_router_may_use_its_share_of_a_full_server():
    core = make_core(("b0",), default_slots=8)
    core.update_servers("desk", [make_entry("b0")], 0.0, n_routers=4)
    load = LoadReport(running=8, queued=3, slots=8)
    core.note_report("desk", "b0", load, 0.0)
    routes = [
        effects for n in range(3) if (effects := submit(core, make_request(str(n))))
    ]
    assert len(routes) == 2


def test_cached_prompt_overtakes_only_recently_queued_requests():
    core = make_core(queue_window=4, affinity_wait_ms=3000)
    rng = random.Random(1)
    running = submit(core, make_request("first", prompt=b"a" * 640))[0].route
    submit(core, make_request("early", prompt=b"b" * 640), 0.0)
    submit(core, make_request("later", prompt=b"b" * 640), 2.0)
    submit(core, make_request("cached", prompt=b"a" * 640), 2.5)
    keys = []
    while len(keys) < 3:
        effects = core.release(running, 1, False, 3.1, rng)
        running = effects[0].route
        keys.append(running.request.request_key)
    assert keys[0] == "cached"
    core.release(running, 1, False, 4.0, rng)
    running = submit(core, make_request("first", prompt=b"a" * 640), 4.0)[0].route
    submit(core, make_request("early", prompt=b"c" * 640), 4.0)
    submit(core, make_request("cached", prompt=b"a" * 640), 7.5)
    effects = core.release(running, 1, False, 8.0, rng)
    assert effects[0].route.request.request_key == "early"


def test_prefill_adds_to_the_wait_until_the_first_token():
    core = make_core(("b0", "b1"), default_slots=8, sample_size=2)
    route = submit(core, make_request("long", prompt=b"", prompt_tokens=50_000))[
        0
    ].route
    other = submit(core, make_request("a", prompt=b""))[0].route
    assert other.backend.host != route.backend.host
    core.note_first_token(route)
    waits = {
        c.host: c.wait_s for c in submit(core, make_request("b"))[0].route.candidates
    }
    assert waits[route.backend.host] < 1.0


def test_prefill_of_a_request_released_without_a_token_is_not_counted():
    core = make_core(("b0",), default_slots=8)
    rng = random.Random(1)
    route = submit(core, make_request("long", prompt=b"", prompt_tokens=50_000))[
        0
    ].route
    core.release(route, 0, False, 0.1, rng)
    last = submit(core, make_request("b"), 0.2)[0].route
    assert last.candidates[0].wait_s < 1.0
