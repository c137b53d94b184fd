"""Chooses a backend server for a request: a core without input and output.

The cost of a server is the expected time to its answer plus the harm of the choice:
prompt parts that another server has read already, bytes between data centres, recent
failures. Loads that servers tell are old when they arrive and every router reads them,
so this router's own requests count on top of what was told.
"""

from __future__ import annotations

import hashlib
from collections.abc import Sequence
from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from ..model import BackendServer, Engine

__all__ = ["Load", "Placement", "Work"]

READ_TOKENS_PER_S = 50_000.0  # The sheets' engines read 48 to 57 tokens a ms.
REREAD_S_PER_TOKEN = 1.0e-4  # Harm of reading a part again, beside the time it takes.
PART_MEMORY_S = 25.0  # Least recently used parts yield; reuse is priced within 10 s.
MAX_PARTS = 4000  # Parts remembered for one server.
REPORT_FADES_S = 1.5  # Reports are some hundred ms old and arrive with answers.
FAILURE_WEIGHT = 0.15  # Of one outcome in the average of failures.
FAILURE_COST_S = 1.5  # Of a server that fails every request.
FAILURE_FORGET_S = 6.0  # A server left alone gets another chance.
EJECT_AFTER = 3  # Failures in a row; the sites' applications fail up to 14 in 100.
EJECT_S = 1.0  # First ejection; doubled with each one in a row.
MAX_EJECT_S = 8.0
MUTE_S = 2.0  # No answer for this long while others answer.
OTHER_ZONE_S = 0.004  # A round trip, and priced bytes.
OTHER_REGION_S = 0.12  # A round trip of 60 ms, and priced bytes on a narrow link.
COLD_S = 0.3  # A server that started a moment ago is slow.
STEP_S = 0.004  # Time by which each running request slows an engine's first token.


@attrs.frozen(kw_only=True)
class Work:
    """What a request asks of a server.

    Attributes
    ----------
    parts : sequence of (str, int)
        The prompt's parts with their tokens; the last is the request's own.
    tokens : int
        Tokens of the prompt.
    """

    parts: Sequence[tuple[str, int]] = ()
    tokens: int = 0


@attrs.define(kw_only=True)
class Load:
    """What this router knows of one server."""

    in_flight: int = 0
    unread_tokens: float = 0.0
    told: int = 0
    told_at: float = -1e9
    in_flight_when_told: int = 0
    failure_share: float = 0.0
    failures_in_a_row: int = 0
    failed_at: float = -1e9
    ejected_until: float = -1e9
    ejections: int = 0
    is_unreachable: bool = False
    answered_at: float = -1e9
    waiting_since: dict[int, float] = attrs.field(factory=dict)
    parts: dict[str, float] = attrs.field(factory=dict)


class Placement:
    """Loads of all servers, and the choice among them.

    Parameters
    ----------
    now : callable
        Seconds on a steady clock.
    zone : str
        This host's data centre.
    region_by_zone : dict
        Each data centre's region.
    """

    def __init__(
        self, now: Callable[[], float], zone: str, region_by_zone: dict[str, str]
    ) -> None:
        self._now = now
        self._zone = zone
        self._region_by_zone = region_by_zone
        self.loads: dict[str, Load] = {}

    def get_load(self, server_id: str) -> Load:
        """Return what is known of a server."""
        load = self.loads.get(server_id)
        if load is None:
            load = self.loads[server_id] = Load()
        return load

    def forget(self, known: Iterable[str]) -> None:
        """Drop what is remembered of servers that are not in `known`."""
        keep = set(known)
        for server_id in [key for key in self.loads if key not in keep]:
            if not self.loads[server_id].in_flight:
                del self.loads[server_id]

    def choose(
        self,
        servers: Sequence[BackendServer],
        work: Work,
        engine: Engine | None,
        excluded: Iterable[str] = (),
    ) -> BackendServer | None:
        """Return the server of least cost, or None where none is left."""
        barred = set(excluded)
        candidates = [server for server in servers if server.id not in barred]
        if not candidates:
            return None
        now = self._now()
        sound = [s for s in candidates if not self.is_ejected(s.id, now)]
        home = self._find_home(sound or candidates, work)
        best: BackendServer | None = None
        best_cost = 0.0
        for server in sound or candidates:
            cost = self.estimate_cost(server, work, engine, home, now)
            if best is None or cost < best_cost:
                best, best_cost = server, cost
        return best

    def is_ejected(self, server_id: str, now: float) -> bool:
        """Whether a server is left alone for a while after failures."""
        load = self.loads.get(server_id)
        if load is None:
            return False
        return load.is_unreachable or load.ejected_until > now or self._is_mute(load)

    def estimate_cost(
        self,
        server: BackendServer,
        work: Work,
        engine: Engine | None,
        home: str | None,
        now: float,
    ) -> float:
        """Return the cost of sending `work` to `server`, in seconds."""
        load = self.get_load(server.id)
        present = self.estimate_present(server.id, now)
        cost = self._estimate_distance(server)
        if server.cold_left_s > 0:
            cost += COLD_S
        if now - load.failed_at < FAILURE_FORGET_S:
            cost += load.failure_share * FAILURE_COST_S
        if engine is None:
            return cost + present / server.slots * 0.05
        unread, reread = self._count_unread(load, server.id, work, home, now)
        cost += (load.unread_tokens + unread) / READ_TOKENS_PER_S
        cost += reread * REREAD_S_PER_TOKEN
        cost += present * STEP_S
        over = present + 1 - server.slots
        if over > 0:
            cost += over * 0.05
        return cost

    def estimate_present(self, server_id: str, now: float) -> float:
        """Return how many requests run or wait at a server, as far as known."""
        load = self.get_load(server_id)
        age_s = now - load.told_at
        others = max(0.0, load.told - load.in_flight_when_told)
        if age_s > REPORT_FADES_S:
            others *= max(0.3, 1 - (age_s - REPORT_FADES_S) / 10)
        return load.in_flight + others

    def note_sent(self, server_id: str, work: Work, ticket: int) -> float:
        """Count a request as sent; return its tokens that are not read yet."""
        load = self.get_load(server_id)
        now = self._now()
        load.in_flight += 1
        load.waiting_since[ticket] = now
        unread, _ = self._count_unread(load, server_id, work, server_id, now)
        load.unread_tokens += unread
        for part, _ in work.parts:
            load.parts.pop(part, None)
            load.parts[part] = now
        while len(load.parts) > MAX_PARTS:
            del load.parts[next(iter(load.parts))]
        return unread

    def note_first(self, server_id: str, unread: float, ticket: int) -> None:
        """Take it that a server has begun to answer."""
        load = self.get_load(server_id)
        load.unread_tokens = max(0.0, load.unread_tokens - unread)
        load.waiting_since.pop(ticket, None)
        load.answered_at = self._now()

    def note_end(self, server_id: str, ticket: int) -> None:
        """Take it that a request is no longer at a server."""
        load = self.get_load(server_id)
        load.in_flight = max(0, load.in_flight - 1)
        load.waiting_since.pop(ticket, None)

    def note_told(self, server_id: str, running: int, waiting: int) -> None:
        """Take the load that a server tells of itself."""
        load = self.get_load(server_id)
        load.told = running + waiting
        load.told_at = self._now()
        load.in_flight_when_told = load.in_flight

    def note_success(self, server_id: str) -> None:
        """Count a sound answer."""
        load = self.get_load(server_id)
        load.failure_share *= 1 - FAILURE_WEIGHT
        load.failures_in_a_row = 0
        load.ejections = 0
        load.is_unreachable = False

    def note_failure(self, server_id: str, *, is_unreachable: bool = False) -> bool:
        """Count a failure; tell whether the server is ejected for it."""
        load = self.get_load(server_id)
        now = self._now()
        load.failure_share += (1 - load.failure_share) * FAILURE_WEIGHT
        load.failures_in_a_row += 1
        load.failed_at = now
        if is_unreachable:
            load.is_unreachable = True
            return True
        if load.failures_in_a_row < EJECT_AFTER or load.ejected_until > now:
            return False
        load.ejected_until = now + min(MAX_EJECT_S, EJECT_S * 2**load.ejections)
        load.ejections += 1
        return True

    def _is_mute(self, load: Load) -> bool:
        if not load.waiting_since:
            return False
        oldest = next(iter(load.waiting_since.values()))
        quiet_since = max(oldest, load.answered_at)
        return self._now() - quiet_since > MUTE_S

    def _estimate_distance(self, server: BackendServer) -> float:
        if server.zone == self._zone:
            return 0.0
        here = self._region_by_zone.get(self._zone)
        if self._region_by_zone.get(server.zone) == here:
            return OTHER_ZONE_S
        return OTHER_REGION_S

    @staticmethod
    def _count_unread(
        load: Load, server_id: str, work: Work, home: str | None, now: float
    ) -> tuple[float, float]:
        """Return the tokens that a server must read, and those read elsewhere."""
        if not work.parts:
            return float(work.tokens), 0.0
        cached = 0
        shared = 0
        is_cached = True
        for part, tokens in work.parts[:-1]:
            shared += tokens
            seen_at = load.parts.get(part)
            is_cached = is_cached and seen_at is not None
            if is_cached and seen_at is not None and now - seen_at < PART_MEMORY_S:
                cached += tokens
        unread = max(0, work.tokens - cached)
        if home == server_id:
            # Other routers send the same parts to this server.
            return float(unread), 0.0
        return float(unread), float(shared - cached)

    @staticmethod
    def _find_home(servers: Sequence[BackendServer], work: Work) -> str | None:
        """Return the server where every router sends requests with these parts."""
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
