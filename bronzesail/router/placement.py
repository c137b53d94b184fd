"""Chooses the backend server with the least estimated cost, without performing I/O.

The cost of a server is the expected time to its answer plus penalties for prompt parts
that another server has cached, for traffic between data centres and for recent
failures. Load reports are stale on arrival, and all routers act on the same ones, so
the requests that this router has sent since a report are added to it.
"""

from __future__ import annotations

import hashlib
import math
from collections.abc import Sequence
from random import Random
from typing import TYPE_CHECKING

import attrs

from .estimates import ServerSpeed

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from ..model import BackendServer, Engine

__all__ = [
    "COLD_START_COST_S",
    "PREFILL_RATE_TOKENS_PER_S",
    "Load",
    "Placement",
    "Work",
]

PREFILL_RATE_TOKENS_PER_S = 50_000.0  # The supported engines reach 48 to 57 per ms.
# Penalty for prefilling a token that another server has cached, besides the time.
CACHE_MISS_COST_S_PER_TOKEN = 1.0e-4
# How long a part is assumed to stay cached. Engines evict the least recently used
# parts, and the cost model of the deployment counts a reuse within 10 s.
PART_CACHE_TTL_S = 25.0
MAX_CACHED_PARTS = 4000  # Prompt parts tracked for each server.
# Age at which a load report begins to lose weight. Reports come with answers only and
# are some hundred ms old on arrival.
REPORT_FRESH_S = 1.5
# Age at which a report is dropped. While it keeps requests from a server, no answer
# brings a newer one.
REPORT_TTL_S = 12.0
FAILURE_WEIGHT = 0.15  # Of one outcome in the moving average of failures.
FAILURE_COST_S = 1.5  # Penalty of a server that fails every request.
FAILURE_COST_TTL_S = 6.0  # The penalty expires, so that the server is tried again.
# Consecutive failures before an ejection. Single failures are no sign of a faulty
# server: plain services fail up to 14 of 100 requests.
EJECTION_FAILURES = 3
EJECTION_S = 1.0  # First ejection; each consecutive one lasts twice as long.
MAX_EJECTION_S = 8.0
UNRESPONSIVE_S = 2.0  # Time without any new answer while requests wait for one.
OTHER_ZONE_COST_S = 0.004  # A round trip, and the cost of the bytes.
# A round trip of 60 ms, and the cost of the bytes on a narrow link.
OTHER_REGION_COST_S = 0.12
COLD_START_COST_S = 0.3  # A server is slow for a while after its start.
# Delay of an engine's first token for each request that it runs already.
RUNNING_REQUEST_COST_S = 0.004
QUEUED_REQUEST_COST_S = 0.05  # Delay for each request ahead that waits for a slot.
PLAIN_REQUEST_S = 0.05  # Time of a request at a plain service.
# Servers whose costs differ by less than this, and this share of the least cost, count
# as equal. Wider margins met fewer objectives in benchmarks.uneven_servers.
NEAR_COST_S = 0.01
NEAR_COST_SHARE = 0.1


@attrs.frozen(kw_only=True)
class Work:
    """The prompt that a request makes a server process.

    Attributes
    ----------
    parts : sequence of (str, int)
        Identifiers and token counts of the prompt's parts, in order. Requests share
        all but the last part, which belongs to this request alone.
    tokens : int
        Token count of the whole prompt.
    objective_s : float
        Time to the first event that the route aims at.
    """

    parts: Sequence[tuple[str, int]] = ()
    tokens: int = 0
    objective_s: float = math.inf


@attrs.define(kw_only=True)
class Load:
    """Load, failures and cached prompt parts of one server, as seen by this router.

    Attributes
    ----------
    in_flight : int
        Requests that this router has sent and that have not ended.
    assigned : int
        Requests for which this router has chosen the server and that are not sent yet,
        because a connection is being opened.
    unread_tokens : float
        Prompt tokens of this router's requests that the server has not prefilled yet.
    reported_requests : int
        Requests at the server according to its last load report.
    reported_waiting : int
        Those of them that wait.
    reported_at : float
        When the last load report arrived.
    in_flight_at_report : int
        This router's own requests among the reported ones.
    failure_share : float
        Exponential moving average of failures, from 0 to 1.
    consecutive_failures : int
        Failures since the last success.
    failed_at : float
        When the server last failed.
    ejected_until : float
        End of the current ejection.
    consecutive_ejections : int
        Ejections since the last success; they determine how long the next one lasts.
    is_unreachable : bool
        Whether a connection failed and none has succeeded since.
    answered_at : float
        When the server last began to answer.
    unanswered_since : dict
        Send times of the requests that the server has not begun to answer, by send id
        in the order of the sends.
    parts : dict
        When each prompt part was last sent to the server, least recent first.
    """

    in_flight: int = 0
    assigned: int = 0
    unread_tokens: float = 0.0
    reported_requests: int = 0
    reported_waiting: int = 0
    reported_at: float = -1e9
    in_flight_at_report: int = 0
    failure_share: float = 0.0
    consecutive_failures: int = 0
    failed_at: float = -1e9
    ejected_until: float = -1e9
    consecutive_ejections: int = 0
    is_unreachable: bool = False
    answered_at: float = -1e9
    unanswered_since: dict[int, float] = attrs.field(factory=dict)
    parts: dict[str, float] = attrs.field(factory=dict)


class Placement:
    """Tracks the load of all servers and chooses among them.

    Parameters
    ----------
    now : callable
        Returns the seconds of a monotonic clock.
    zone : str
        Data centre of this host.
    region_by_zone : dict
        Region of each data centre.
    speed : ServerSpeed, optional
        The speed of the servers, which none has reported by default.
    random : Random, optional
        Spreads requests among servers that are expected to respond equally soon.
    is_link_congested : callable, optional
        Returns whether this host's link is congested. No server counts as unresponsive
        then.

    Attributes
    ----------
    loads : dict
        Load of each server by its id.
    find_start_cost_s : callable
        Returns the time that a server's answer takes longer after its start.
    """

    def __init__(
        self,
        now: Callable[[], float],
        zone: str,
        region_by_zone: dict[str, str],
        speed: ServerSpeed | None = None,
        random: Random | None = None,
        is_link_congested: Callable[[], bool] = lambda: False,
    ) -> None:
        self._is_link_congested = is_link_congested
        self._now = now
        self._zone = zone
        self._region_by_zone = region_by_zone
        self._random = random or Random()
        self.speed = ServerSpeed(now) if speed is None else speed
        self.loads: dict[str, Load] = {}
        self.find_start_cost_s: Callable[[BackendServer], float] = _find_cold_cost_s

    def get_load(self, server_id: str) -> Load:
        """Return the load of a server, creating an empty one for a new server."""
        load = self.loads.get(server_id)
        if load is None:
            load = self.loads[server_id] = Load()
        return load

    def peek_load(self, server_id: str) -> Load:
        """Return the load of a server to read it; nothing is created for a new one."""
        return self.loads.get(server_id) or Load()

    def retain_only(self, known: Iterable[str]) -> None:
        """Drop the loads of idle servers whose ids are not in `known`."""
        kept_ids = set(known)
        self.speed.retain_only(kept_ids)
        for server_id in [key for key in self.loads if key not in kept_ids]:
            if not self.loads[server_id].in_flight:
                del self.loads[server_id]

    def choose(
        self,
        servers: Sequence[BackendServer],
        work: Work,
        engine: Engine | None,
        excluded: Iterable[str] = (),
    ) -> BackendServer | None:
        """Return the server with the least cost, or None if all are excluded.

        Ejected servers are chosen only if there are no others.

        Parameters
        ----------
        servers : sequence of BackendServer
            The candidates.
        work : Work
            The request's prompt.
        engine : Engine or None
            The service's model engine; None for a plain service.
        excluded : iterable of str
            Ids of servers that must not be chosen.
        """
        return self.rank(servers, work, engine, excluded)[1]

    def rank(
        self,
        servers: Sequence[BackendServer],
        work: Work,
        engine: Engine | None,
        excluded: Iterable[str] = (),
    ) -> tuple[list[tuple[float, BackendServer]], BackendServer | None]:
        """Return the servers that `choose` chooses from with costs, and its choice.

        The parameters are those of `choose`.
        """
        excluded_ids = set(excluded)
        candidates = [server for server in servers if server.id not in excluded_ids]
        if not candidates:
            return [], None
        now = self._now()
        healthy = [s for s in candidates if not self.is_ejected(s.id, now)]
        if self.speed.is_reported(candidates):
            return self._rank_by_time(healthy or candidates, work, engine, now)
        affinity_id = self._find_affinity_id(healthy or candidates, work)
        ranked = [
            (self.estimate_cost(server, work, engine, affinity_id, now), server)
            for server in healthy or candidates
        ]
        return ranked, min(ranked, key=lambda entry: entry[0])[1]

    def is_ejected(self, server_id: str, now: float) -> bool:
        """Whether a server is avoided: after failures, unreachable or unresponsive."""
        load = self.loads.get(server_id)
        if load is None:
            return False
        return (
            load.is_unreachable
            or load.ejected_until > now
            or (self._is_unresponsive(load) and not self._is_link_congested())
        )

    def estimate_cost(
        self,
        server: BackendServer,
        work: Work,
        engine: Engine | None,
        affinity_id: str | None,
        now: float,
    ) -> float:
        """Return the cost of sending `work` to `server`, in seconds.

        `affinity_id` names the server with affinity for the prompt, if there is one.
        """
        load = self.peek_load(server.id)
        n_requests = self.estimate_requests(server.id, now)
        cost = self._estimate_distance(server)
        cost += self.find_start_cost_s(server)
        cost += self._estimate_failure_cost(load, now)
        if engine is None:
            return cost + n_requests / server.slots * 0.05
        prefill, cached_elsewhere = self._count_prefill(
            load, server.id, work, affinity_id, now
        )
        cost += (load.unread_tokens + prefill) / PREFILL_RATE_TOKENS_PER_S
        cost += cached_elsewhere * CACHE_MISS_COST_S_PER_TOKEN
        cost += n_requests * RUNNING_REQUEST_COST_S
        n_excess = n_requests + 1 - server.slots
        if n_excess > 0:
            cost += n_excess * 0.05
        return cost

    def _rank_by_time(
        self,
        servers: Sequence[BackendServer],
        work: Work,
        engine: Engine | None,
        now: float,
    ) -> tuple[list[tuple[float, BackendServer]], BackendServer]:
        """Return servers with costs by the expected times, and the one to choose.

        The server with affinity for the prompt is found among those that are expected
        to meet the route's objective, and chosen if it has the least cost. Otherwise
        the better one of two random servers of nearly the least cost is chosen: other
        routers that act on the same reports then choose others.
        """
        times = {s.id: self.estimate_time_s(s, work, engine, now) for s in servers}
        punctual = [s for s in servers if times[s.id] <= work.objective_s]
        affinity_id = self._find_affinity_id(punctual, work)
        ranked = []
        for server in servers:
            load = self.peek_load(server.id)
            cost = times[server.id] + self._estimate_failure_cost(load, now)
            _, cached_elsewhere = self._count_prefill(
                load, server.id, work, affinity_id, now
            )
            cost += cached_elsewhere * CACHE_MISS_COST_S_PER_TOKEN
            ranked.append((cost, server))
        best_cost, best = min(ranked, key=lambda entry: entry[0])
        if best.id == affinity_id:
            return ranked, best
        limit = best_cost * (1 + NEAR_COST_SHARE) + NEAR_COST_S
        near = [entry for entry in ranked if entry[0] <= limit]
        drawn = self._random.sample(near, max(1, min(2, len(near) - 1)))
        return ranked, min(drawn, key=lambda entry: entry[0])[1]

    def estimate_time_s(
        self,
        server: BackendServer,
        work: Work,
        engine: Engine | None,
        now: float,
        *,
        is_optimistic: bool = False,
    ) -> float:
        """Return the expected seconds from a send to the first event.

        An optimistic estimate ignores a reported load that is no longer fresh, and
        overdue responses, which a slow link of this host delays at all servers.
        """
        load = self.get_load(server.id)
        n_requests = self.estimate_requests(server.id, now)
        if is_optimistic and now - load.reported_at > REPORT_FRESH_S:
            n_requests = self.count_own(server.id)
        if engine is None:
            busy_s = max(1.0, (n_requests + 1) / server.slots) * PLAIN_REQUEST_S
        else:
            prefill, _ = self._count_prefill(load, server.id, work, server.id, now)
            n_waiting = load.reported_waiting if self.is_queueing(server.id) else 0
            n_ahead = max(0.0, n_requests + 1 - server.slots, n_waiting)
            busy_s = (load.unread_tokens + prefill) / PREFILL_RATE_TOKENS_PER_S
            busy_s += min(n_requests, server.slots) * RUNNING_REQUEST_COST_S
            busy_s += n_ahead * QUEUED_REQUEST_COST_S
        expected_s = busy_s * self.speed.find_factor(server)
        expected_s += self._estimate_distance(server)
        expected_s += self.find_start_cost_s(server)
        if not is_optimistic:
            expected_s += self.speed.find_overdue_s(server.id)
        return expected_s

    def estimate_least_time_s(
        self,
        servers: Iterable[BackendServer],
        work: Work,
        engine: Engine | None,
        *,
        is_optimistic: bool = False,
        enough_s: float = 0.0,
    ) -> float:
        """Return the least expected time at servers with a free slot.

        It is infinite if there are none. Ejected servers do not count. An optimistic
        estimate includes full servers; see `estimate_time_s`.
        Once a server is expected to take at most `enough_s`, the others are skipped.
        """
        now = self._now()
        least_s = math.inf
        for server in servers:
            is_full = self.estimate_requests(server.id, now) >= server.slots
            if (is_full and not is_optimistic) or self.is_ejected(server.id, now):
                continue
            time_s = self.estimate_time_s(
                server, work, engine, now, is_optimistic=is_optimistic
            )
            least_s = min(least_s, time_s)
            if least_s <= enough_s:
                break
        return least_s

    def _estimate_failure_cost(self, load: Load, now: float) -> float:
        """Return the penalty for a server's recent failures, in seconds."""
        if now - load.failed_at >= FAILURE_COST_TTL_S:
            return 0.0
        return load.failure_share * FAILURE_COST_S

    def estimate_requests(self, server_id: str, now: float) -> float:
        """Return the estimated number of requests that run or wait at a server.

        This is the number of own requests, those included that are about to be sent,
        plus the reported requests of other routers, which lose weight as the report
        ages, up to `REPORT_TTL_S`.
        """
        load = self.peek_load(server_id)
        age_s = now - load.reported_at
        others = max(0.0, load.reported_requests - load.in_flight_at_report)
        if age_s > REPORT_TTL_S:
            others = 0.0
        elif age_s > REPORT_FRESH_S:
            others *= max(0.3, 1 - (age_s - REPORT_FRESH_S) / 10)
        return load.in_flight + load.assigned + others

    def count_own(self, server_id: str) -> int:
        """Return how many requests of this router are at a server or about to be."""
        load = self.peek_load(server_id)
        return load.in_flight + load.assigned

    def is_queueing(self, server_id: str) -> bool:
        """Whether requests waited at a server according to a recent report."""
        load = self.peek_load(server_id)
        is_recent = self._now() - load.reported_at < REPORT_FRESH_S
        return is_recent and load.reported_waiting > 0

    def note_assigned(self, server_id: str) -> None:
        """Record that a server was chosen for a request, which is sent next."""
        self.get_load(server_id).assigned += 1

    def note_assignment_ended(self, server_id: str) -> None:
        """Record that the request is being sent, or is not sent to the server."""
        load = self.get_load(server_id)
        load.assigned = max(0, load.assigned - 1)

    def note_sent(self, server_id: str, work: Work, send_id: int) -> float:
        """Record a send; return the prompt tokens that the server has to prefill."""
        load = self.get_load(server_id)
        now = self._now()
        load.in_flight += 1
        load.unanswered_since[send_id] = now
        prefill, _ = self._count_prefill(load, server_id, work, server_id, now)
        load.unread_tokens += prefill
        for part, _ in work.parts:
            load.parts.pop(part, None)
            load.parts[part] = now
        while len(load.parts) > MAX_CACHED_PARTS:
            del load.parts[next(iter(load.parts))]
        return prefill

    def note_response_started(
        self, server_id: str, prefill: float, send_id: int
    ) -> None:
        """Record that a server has begun to answer, which ends the prefill."""
        load = self.get_load(server_id)
        load.unread_tokens = max(0.0, load.unread_tokens - prefill)
        load.unanswered_since.pop(send_id, None)
        load.answered_at = self._now()

    def note_request_ended(self, server_id: str, send_id: int) -> None:
        """Record that a request has ended or was abandoned."""
        load = self.get_load(server_id)
        load.in_flight = max(0, load.in_flight - 1)
        load.unanswered_since.pop(send_id, None)
        self.speed.note_ended(server_id, send_id)

    def note_load_report(
        self,
        server_id: str,
        running: int,
        waiting: int,
        slowness: float | None = None,
    ) -> None:
        """Record the load, and perhaps the slowness, that a server has reported."""
        self.speed.note_report(server_id, slowness)
        load = self.get_load(server_id)
        load.reported_requests = running + waiting
        load.reported_waiting = waiting
        load.reported_at = self._now()
        load.in_flight_at_report = load.in_flight

    def note_success(self, server_id: str) -> None:
        """Record a successful answer, which ends a series of failures."""
        load = self.get_load(server_id)
        load.failure_share *= 1 - FAILURE_WEIGHT
        load.consecutive_failures = 0
        load.consecutive_ejections = 0

    def note_failure(self, server_id: str, *, is_unreachable: bool = False) -> bool:
        """Record a failure; return whether the server is ejected because of it."""
        load = self.get_load(server_id)
        now = self._now()
        load.failure_share += (1 - load.failure_share) * FAILURE_WEIGHT
        load.consecutive_failures += 1
        load.failed_at = now
        if is_unreachable:
            load.is_unreachable = True
            return True
        if load.consecutive_failures < EJECTION_FAILURES or load.ejected_until > now:
            return False
        load.ejected_until = now + min(
            MAX_EJECTION_S, EJECTION_S * 2**load.consecutive_ejections
        )
        load.consecutive_ejections += 1
        return True

    def _is_unresponsive(self, load: Load) -> bool:
        """Whether requests wait at a server that has begun no answer for a while."""
        if not load.unanswered_since:
            return False
        oldest = next(iter(load.unanswered_since.values()))
        silent_since = max(oldest, load.answered_at)
        return self._now() - silent_since > UNRESPONSIVE_S

    def _estimate_distance(self, server: BackendServer) -> float:
        """Return the cost of the network path to a server, in seconds."""
        if server.zone == self._zone:
            return 0.0
        own_region = self._region_by_zone.get(self._zone)
        if self._region_by_zone.get(server.zone) == own_region:
            return OTHER_ZONE_COST_S
        return OTHER_REGION_COST_S

    @staticmethod
    def _count_prefill(
        load: Load, server_id: str, work: Work, affinity_id: str | None, now: float
    ) -> tuple[float, float]:
        """Return the tokens to prefill, and those of them cached on another server.

        A part counts as cached only if all parts before it are.
        """
        if not work.parts:
            return float(work.tokens), 0.0
        cached = 0
        shared = 0
        is_cached = True
        for part, tokens in work.parts[:-1]:
            shared += tokens
            seen_at = load.parts.get(part)
            is_cached = is_cached and seen_at is not None
            if is_cached and seen_at is not None and now - seen_at < PART_CACHE_TTL_S:
                cached += tokens
        prefill = max(0, work.tokens - cached)
        if affinity_id == server_id:
            # All routers send the parts to this server, so no other is expected to
            # have them cached.
            return float(prefill), 0.0
        return float(prefill), float(shared - cached)

    @staticmethod
    def _find_affinity_id(servers: Sequence[BackendServer], work: Work) -> str | None:
        """Return the id of the server with affinity for the prompt, None without parts.

        The rendezvous hash of the last shared part gives all routers the same server.
        """
        if len(work.parts) < 2:
            return None
        part = work.parts[-2][0].encode("utf-8")
        best_id: str | None = None
        best_rank = b""
        for server in servers:
            rank = hashlib.blake2b(
                part + b"\0" + server.id.encode("utf-8"), digest_size=8
            ).digest()
            if rank > best_rank:
                best_id, best_rank = server.id, rank
        return best_id


def _find_cold_cost_s(server: BackendServer) -> float:
    """Return the same cost for each server that its entry reports as cold."""
    return COLD_START_COST_S if server.cold_left_s > 0 else 0.0
