"""Requests with a part in their prompts that crashes backend servers."""

from __future__ import annotations

import asyncio
import itertools
import math

import pytest

from bronzesail.router.client import ClientPool
from bronzesail.router.crashing_parts import (
    CRASH_INTERVAL_S,
    MAX_CRASHES,
    MIN_CRASHES,
    MIN_CRASHES_ANSWERED,
    SERVERS_PER_CRASH,
    TRUST_S,
    TTL_S,
    CrashingParts,
    PartCrash,
    PartReport,
)
from tests.platform_standin import (
    Deployment,
    make_configuration,
    stream_events,
    wait_until,
)
from tests.router_fakes import ManualClock

SHARED_PART, CRASHING_PART = "aa:60", "dd:20"
CONTACT_S = 4.0  # `contactMs` of the small deployments.
INTERVAL_S = 0.2  # Between requests; every second one has the crashing part.
N_ROUNDS = 22  # Of two requests each; 3 s longer than five crashes and `CONTACT_S`.


class CrashingEngines:
    """Engines that crash as they begin to answer a request with the crashing part.

    Such a request arrives at each of the times in `crashed_at`.
    """

    def __init__(self, deployment):
        self._deployment = deployment
        self._tasks = []
        self.crashed_at = []

    async def start(self, count):
        for number in range(count):
            name = f"e{number}"
            backend = await self._deployment.start_backend(name, "llm", None)
            backend._behave = self._make_behaviour(backend)

    def _make_behaviour(self, backend):
        async def behave(request, responder, headers):
            if CRASHING_PART not in request.find_header("x-prefix-hash"):
                await stream_events(3)(request, responder, headers)
                return
            self.crashed_at.append(asyncio.get_running_loop().time())
            self._tasks.append(asyncio.create_task(backend.crash()))
            await asyncio.sleep(3600)

        return behave


def find_deadline(engines):
    """Return the time from which on only three more such requests may arrive."""
    return [*engines.crashed_at, *[math.inf] * 5][4] + CONTACT_S


# Each request was counted by itself, so requests that shared a part crashed servers on.
def test_a_part_that_crashes_servers_is_kept_from_them(tmp_path):
    async def scenario(deployment):
        engines = CrashingEngines(deployment)
        await engines.start(3)
        routers = [await deployment.start_router(name) for name in ("h1", "h2")]
        for router in routers:
            app = router.app
            await wait_until(lambda app=app: app.is_ready() and app.peers.by_host)
            await wait_until(lambda app=app: len(app.directory) == 3)
        numbers = itertools.count()

        def send(*parts):
            number = next(numbers)
            prefix = ",".join((SHARED_PART, *parts, f"{number:x}:5"))
            return asyncio.create_task(
                deployment.send(
                    routers[number // 2 % 2],
                    f"/chat/{number}",
                    b"%d" % number,
                    X_Token_Counts="85,15",
                    X_Prefix_Hash=prefix,
                )
            )

        crashing, sound = [], []
        for _ in range(N_ROUNDS):
            crashing.append(send(CRASHING_PART))
            await asyncio.sleep(INTERVAL_S)
            sound.append(send())
            await asyncio.sleep(INTERVAL_S)
        late = [at for at in engines.crashed_at if at > find_deadline(engines)]
        assert len(late) <= 3
        statuses = [status for status, _, _ in await asyncio.gather(*sound[-5:])]
        assert statuses == [200] * 5
        statuses = [status for status, _, _ in await asyncio.gather(*crashing[-5:])]
        assert statuses == [503] * 5

    async def run():
        async with Deployment(tmp_path) as deployment:
            deployment.store.put("op", "config", make_configuration())
            await scenario(deployment)

    asyncio.run(run())


@pytest.fixture
def time():
    return ManualClock()


def crash_repeatedly(parts, time, names, count=MIN_CRASHES):
    """Note crashes under prompts with these parts, far enough from each other."""
    for _ in range(count):
        time.now += 1.5 * CRASH_INTERVAL_S
        parts.note_crash(f"s{time.now}", names, time.now)


def test_a_part_under_which_servers_crash_is_quarantined(time):
    parts = CrashingParts(time, "p1")
    for number in range(MIN_CRASHES):
        assert parts.find_quarantined(["a", "b"]) is None
        time.now += 1.5 * CRASH_INTERVAL_S
        parts.note_crash(f"s{number}", ["a", f"own-{number}"], time.now)
    assert parts.find_quarantined(["b", "a"]) == "a"
    assert parts.find_quarantined(["own-0"]) is None
    assert parts.list_quarantined() == {"a"}


# A part of sound requests was in all requests that crashed servers.
@pytest.mark.parametrize("prompt", [["sound", "a"], ["a", "sound"]])
def test_of_two_parts_only_the_one_never_answered_is_quarantined(time, prompt):
    parts = CrashingParts(time, "p1")
    parts.note_begun(["sound"])
    time.now += TRUST_S
    crash_repeatedly(parts, time, prompt, 2 * MIN_CRASHES)
    assert parts.list_quarantined() == {"a"}


def test_of_two_parts_the_one_with_crashes_of_its_own_is_quarantined(time):
    parts = CrashingParts(time, "p1")
    crash_repeatedly(parts, time, ["a", "b"])
    assert parts.list_quarantined() == {"b"}  # It comes later in the prompt.
    crash_repeatedly(parts, time, ["a", "c"], count=1)
    assert parts.list_quarantined() == {"a"}


def test_two_parts_that_crash_servers_are_both_quarantined(time):
    parts = CrashingParts(time, "p1")
    for number in range(MIN_CRASHES):
        crash_repeatedly(parts, time, ["a", f"c{number}"], count=1)
        crash_repeatedly(parts, time, ["b", f"d{number}"], count=1)
    assert parts.list_quarantined() == {"a", "b"}


# A crash ends the sound requests at the server, too; their part was in all crashes.
def test_a_part_of_other_requests_at_the_crashed_servers_is_not_quarantined(time):
    routers = [CrashingParts(time, f"p{number}") for number in range(3)]
    for router in routers:
        router.note_begun(["first"])
    time.now += TRUST_S
    for number in range(MIN_CRASHES_ANSWERED + 2):
        time.now += 1.5 * CRASH_INTERVAL_S
        culprit, *others = routers[number % 3 :] + routers[: number % 3]
        culprit.note_crash(f"s{number}", ["first", "a"], time.now)
        for router in others:
            time.now += 0.05
            router.note_crash(f"s{number}", ["first", f"b{number}"], time.now)
    time.now += 1.5 * CRASH_INTERVAL_S
    routers[0].note_crash("s99", ["first", "c"], time.now)
    for router in routers[1:]:
        routers[0].merge(router.export())
    assert routers[0].list_quarantined() == {"a"}


# Many servers that crash at one moment would make a frequent part look deadly.
def test_crashes_at_one_moment_count_once(time):
    parts = CrashingParts(time, "p1")
    for _ in range(20):
        time.now += CRASH_INTERVAL_S / 40
        parts.note_crash("s1", ["a"], time.now)
    assert parts.count("a") == 1
    parts.note_crash("s2", ["a"], time.now)
    assert parts.count("a") == 1


# All servers had a request with the part, and crashed within half a second.
def test_crashes_of_all_servers_at_once_are_enough(time):
    parts = CrashingParts(time, "p1")
    for number in range(MIN_CRASHES * SERVERS_PER_CRASH):
        assert parts.find_quarantined(["a"]) is None
        parts.note_crash(f"s{number}", ["a"], time.now)
    assert parts.find_quarantined(["a"]) == "a"


def test_a_part_that_is_answered_is_cleared_and_counted_anew(time):
    parts = CrashingParts(time, "p1")
    crash_repeatedly(parts, time, ["a"])
    parts.note_begun(["a"])
    assert parts.find_quarantined(["a"]) is None
    time.now += TRUST_S
    crash_repeatedly(parts, time, ["a"], MIN_CRASHES_ANSWERED - 1)
    assert parts.find_quarantined(["a"]) is None
    crash_repeatedly(parts, time, ["a"], count=1)
    assert parts.find_quarantined(["a"]) == "a"


def test_a_part_that_was_just_answered_is_not_suspected(time):
    parts = CrashingParts(time, "p1")
    parts.note_begun(["a"])
    time.now += TRUST_S / 2
    assert parts.note_crash("s1", ["a", "b"], time.now) == ["b"]
    assert parts.count("a") == 0


def test_crashes_at_several_routers_add_up_and_count_once_each(time):
    routers = [CrashingParts(time, f"p{number}") for number in range(MIN_CRASHES)]
    for router in routers:
        crash_repeatedly(router, time, ["a"], count=1)
    for _ in range(3):
        for router in routers:
            for other in routers:
                other.merge(router.export())
    assert [router.count("a") for router in routers] == [MIN_CRASHES] * len(routers)
    assert len({router.digest for router in routers}) == 1


def test_an_answer_at_one_router_clears_the_part_at_the_others(time):
    first, second = CrashingParts(time, "p1"), CrashingParts(time, "p2")
    crash_repeatedly(first, time, ["a"])
    earlier = first.export()
    second.merge(earlier)
    assert second.find_quarantined(["a"]) == "a"
    time.now += 0.1
    first.note_begun(["a"])
    second.merge(first.export())
    assert second.find_quarantined(["a"]) is None
    second.merge(earlier)  # A late message.
    assert second.find_quarantined(["a"]) is None
    assert second.digest == first.digest


def test_a_reported_crash_from_before_a_known_answer_is_answered_with_it(time):
    first, second = CrashingParts(time, "p1"), CrashingParts(time, "p2")
    crash_repeatedly(first, time, ["a"])
    time.now += 0.1
    second.note_begun(["a"])
    second.merge(first.export())
    assert second.find_quarantined(["a"]) is None
    first.merge(second.export())
    assert first.find_quarantined(["a"]) is None


def test_crashes_and_answers_expire(time):
    parts = CrashingParts(time, "p1")
    crash_repeatedly(parts, time, ["a", "b"])
    parts.note_begun(["b"])
    time.now += TTL_S + 1
    assert parts.find_quarantined(["a"]) is None
    assert parts.export() == PartReport()
    assert parts.digest == 0
    parts.merge(
        PartReport([PartCrash("p2", 1, "s", ["a"], TTL_S + 1)], {"c": TTL_S + 1})
    )
    parts.merge(PartReport([PartCrash("p2", 2, "s", ["a"], math.nan)], {"c": -1.0}))
    assert parts.export() == PartReport()


def test_the_number_of_crashes_is_bounded(time):
    parts = CrashingParts(time, "p1")
    for number in range(MAX_CRASHES + 10):
        parts.note_crash("s1", [f"{number}"], time.now)
    assert len(parts.export().crashes) == MAX_CRASHES
    assert (parts.count("0"), parts.count(f"{MAX_CRASHES + 9}")) == (0, 1)


# A server that loses single answers resets their connections, but lives on.
def test_a_connection_that_stays_open_shows_that_the_server_lives():
    async def run():
        loop = asyncio.get_running_loop()
        pool = ClientPool(loop)
        server = await loop.create_server(asyncio.Protocol, "127.0.0.1", 0)
        address = server.sockets[0].getsockname()
        first, second = await pool.open(address), await pool.open(address)
        opened_at = loop.time()
        first.close()
        assert pool.has_connection(address, opened_before=opened_at)
        second.close()
        assert not pool.has_connection(address, opened_before=opened_at)
        await asyncio.sleep(0)
        third = await pool.open(address)
        assert not pool.has_connection(address, opened_before=opened_at)
        third.close()
        server.close()

    asyncio.run(run())
