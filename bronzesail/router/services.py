"""Container of the components that all requests of a router share."""

from __future__ import annotations

import asyncio
import math
import random
from collections.abc import Callable
from typing import TYPE_CHECKING

import attrs

from ..model import HostSettings
from .admission_queue import AdmissionQueue
from .answer_memory import AnswerMemory
from .brittle_servers import BrittleServers
from .budget import BudgetBook
from .client import UNACKNOWLEDGED, ClientPool
from .clocks import read_clock
from .crashing_parts import CrashingParts
from .directory import Directory
from .eligibility import Evacuations
from .forwarding import Forwarder
from .link_protection import LinkProtection
from .log import Log
from .messages import ServerFull
from .metrics import Metrics
from .neighbourhood import Neighbourhood
from .pacing import ColdServers, ServerPace
from .placement import Placement
from .poison import PoisonList
from .reservation_queue import ReservationQueue
from .retry_budget import RetryBudget
from .server_limits import ServerLimits
from .server_links import ServerLinks
from .server_lives import ServerLives
from .stream_lookup import StreamLookup
from .watches import ConfigurationKeeper

if TYPE_CHECKING:
    from collections.abc import Sequence

    from ..model import AnswerHead, BackendServer, ClientAccount, Route
    from .exchange import Exchange

__all__ = ["Services"]

# Reasons of failures that a saturated link causes as well.
TIMEOUT_REASONS = ("no response in time", UNACKNOWLEDGED)
CRASH_CHECK_S = 0.1  # A crash ends all connections to a server within this time.


@attrs.define(kw_only=True)
class Services:
    """Components that serve requests, wired by the composition root."""

    loop: asyncio.AbstractEventLoop
    started_at: float  # On the clock of `read_clock`.
    log: Log
    metrics: Metrics
    settings: HostSettings
    random: random.Random
    configuration: ConfigurationKeeper
    directory: Directory
    placement: Placement
    admission_queue: AdmissionQueue
    pool: ClientPool
    answer_memory: AnswerMemory
    poison: PoisonList
    crashing_parts: CrashingParts
    book: BudgetBook
    desk: ReservationQueue
    neighbourhood: Neighbourhood
    limits: ServerLimits
    cold: ColdServers
    pace: ServerPace
    stream_lookup: StreamLookup
    links: ServerLinks
    brittle: BrittleServers
    lives: ServerLives
    report_server_full: Callable[[ServerFull], None]  # To the other routers.
    announce_state: Callable[[], None]  # To the other routers, at once.
    forwarder: Forwarder
    evacuations: Evacuations
    entry: LinkProtection
    _retry_budgets: dict[str, RetryBudget] = attrs.field(factory=dict)
    _tasks: set[asyncio.Task[None]] = attrs.field(factory=set)
    _services_with_speed: set[str] = attrs.field(factory=set)

    def retry_budget(self, service: str) -> RetryBudget:
        """Return the retry budget of a service, creating it on first use."""
        budget = self._retry_budgets.get(service)
        if budget is None:
            window_s = self.settings.bounds.retry_window_s
            slack_from = self.started_at + window_s
            budget = self._retry_budgets[service] = RetryBudget(
                read_clock, window_s, slack_from
            )
        return budget

    def has_retry(self, service: str) -> bool:
        """Whether the retry budget of a service has room for a retry now."""
        bounds = self.settings.bounds
        return self.retry_budget(service).has_room(
            bounds.retry_ratio, bounds.retry_slack, self.count_hosts()
        )

    def count_hosts(self) -> int | None:
        """Return how many routers share the fleet's limits, None while unknown."""
        if not self.neighbourhood.has_read_rows:
            return None
        return self.neighbourhood.count_hosts()

    def note_replaced(self, server: BackendServer) -> None:
        """Stop using a server after another one has answered at its address."""
        self.pool.drop(server.address)
        if self.directory.note_replaced(server):
            self.log.write("directory: server replaced", server=server.id)

    def is_available(
        self, server: BackendServer, regions: frozenset[str] | None = None
    ) -> bool:
        """Whether a server still accepts requests, at the same version and in regions.

        `regions` are the home regions of the request, None without a restriction.
        """
        current = self.directory.get(server.id)
        return (
            current is not None
            and current.version == server.version
            and self.directory.is_usable(current)
            and self.directory.is_in_regions(current, regions)
            and self.directory.withdrawals.find_pause_end(current) is None
        )

    def note_answer_head(self, server: BackendServer, head: AnswerHead) -> None:
        """Record what a server says of itself with an answer.

        Status 421 comes from another server at the same address.
        """
        if head.malformed:
            self.log.write(
                "server: malformed header ignored",
                server=server.id,
                headers=head.malformed,
            )
        if head.status == 421:
            return
        self._note_speed(server, head)
        self._note_limit(server, head)
        if self.cold.note_answer(server, head.cold_left_s):
            self.log_cold(server)
        self._note_brittle(server, head)
        if head.is_leaving and self.directory.note_leaving(server):
            self.log.write("server: leaving by its own word", server=server.id)
        if head.pause_s:
            ends_at = self.directory.withdrawals.note_pause(server, head.pause_s)
            self.log.write(
                "server: asked for a pause", server=server.id, pause_s=head.pause_s
            )
            self.note_recovered(server, "pause", ends_at)
            self.admission_queue.note_pause(server.service, ends_at)

    def log_cold(self, server: BackendServer) -> None:
        """Log that a server is cold from now on."""
        self.log.write(
            "cold: server is cold",
            server=server.id,
            service=server.service,
            born_ms=server.born_ms,
            for_s=round(self.cold.find_cold_left_s(server), 3),
            share_per_s=self.cold.find_share(server),
        )

    def _note_speed(self, server: BackendServer, head: AnswerHead) -> None:
        """Log that the servers of a service report their speed, at the first report."""
        if head.slowness is None:
            return
        self.placement.speed.note_announced(server.service)
        if server.service in self._services_with_speed:
            return
        if not self.placement.speed.is_reporting(server.id):
            return
        self._services_with_speed.add(server.service)
        self.log.write(
            "speed: servers report it", service=server.service, server=server.id
        )

    def _note_limit(self, server: BackendServer, head: AnswerHead) -> None:
        """Record the limit that an answer names, or that it names none.

        Only an answer to a request that was executed shows that a limit has ended.
        """
        if head.max_rate_per_s is None and (head.is_not_run or not head.is_sealed):
            return
        if self.limits.note_answer(server, head.max_rate_per_s):
            self.log.write(
                "server: limit changed",
                server=server.id,
                rate_per_s=head.max_rate_per_s,
            )

    def _note_brittle(self, server: BackendServer, head: AnswerHead) -> None:
        """Record whether an answer says that the servers of a service are brittle."""
        is_executed = head.is_sealed and not head.is_not_run
        if head.max_rejected_per_s is None and not is_executed:
            return
        if self.brittle.note_answer(server.service, head.max_rejected_per_s):
            self.log.write(
                "server: services are brittle",
                services=[server.service],
                max_rejected_per_s=head.max_rejected_per_s,
            )
            self.announce_state()

    def note_rejected(self, server: BackendServer) -> None:
        """Record that a server has rejected a request for want of room."""
        self.pace.note_failure(server, is_rejection=True)
        if not self.brittle.is_brittle(server.service):
            return
        n_present = self.placement.count_own(server.id)
        self.brittle.note_rejected(server, n_present)
        self.report_server_full(ServerFull(server.id, server.born_ms))
        self.log.write(
            "server: brittle and full",
            server=server.id,
            n_present=n_present,
            routers=self.brittle.count_sharers(server.service),
        )

    def note_crash(
        self,
        server: BackendServer,
        request_id: str | None,
        fingerprint: str,
        parts: Sequence[str],
    ) -> asyncio.Task[None]:
        """Hold a request responsible for a crash that has ended its connection.

        The task that is returned decides that after `CRASH_CHECK_S`: this host may have
        lost its links to all servers instead. The prompt parts are suspected unless
        another connection to the server has stayed open.
        """
        task = self.loop.create_task(
            self._check_crash(server, request_id, fingerprint, parts)
        )
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    async def _check_crash(
        self,
        server: BackendServer,
        request_id: str | None,
        fingerprint: str,
        parts: Sequence[str],
    ) -> None:
        """Record a crash under a request and the parts of its prompt."""
        crashed_at = self.loop.time()
        await asyncio.sleep(CRASH_CHECK_S)
        if await self._is_link_lost(server, crashed_at):
            self.log.write(
                "server: not held responsible, as no server is reached",
                server=server.id,
                request=request_id,
            )
            return
        self.poison.note_crash(fingerprint)
        if self.pool.has_connection(server.address, opened_before=crashed_at):
            return  # The server has ended this connection only.
        suspected = self.crashing_parts.note_crash(server.id, parts, crashed_at)
        if not suspected:
            return
        self.log.write(
            "server: crashed before it answered a request",
            server=server.id,
            request=request_id,
            parts={part: self.crashing_parts.count(part) for part in suspected},
        )

    async def _is_link_lost(self, server: BackendServer, at: float) -> bool:
        """Whether this host's links, and not a server, ended a connection at a time."""
        if self.links.is_cut_off(server.service):
            return True
        if self.links.has_lost_others(server, at - CRASH_CHECK_S):
            return True
        return not await self.links.reaches_others(server, at)

    def note_failure(self, server: BackendServer, reason: str) -> None:
        """Record a failed request, which may eject the server."""
        if self.links.is_cut_off(server.service) or self.is_link_to_blame(reason):
            return
        if self.placement.note_failure(server.id):
            self.log.write("server: ejected", server=server.id, reason=reason)
            until = self.placement.get_load(server.id).ejected_until
            self.note_recovered(server, "ejection", until)
            return
        self.pace.note_failure(server)

    def note_recovered(
        self, server: BackendServer, reason: str, at: float = -math.inf
    ) -> None:
        """Pace the requests to a server from the time on at which it recovers."""
        after_s = max(0.0, at - self.loop.time())
        if self.pace.note_recovered(server, reason, after_s):
            self.log.write(
                "pace: server recovers",
                server=server.id,
                reason=reason,
                after_s=round(after_s, 3),
                room=self.pace.find_room(server),
            )

    def is_link_to_blame(self, reason: str) -> bool:
        """Whether a failure shows a saturated link rather than a faulty server."""
        return reason in TIMEOUT_REASONS and self.entry.is_congested()

    def note_ended(
        self,
        exchange: Exchange,
        route: Route | None,
        account: ClientAccount | None,
        code: str,
        took_s: float,
    ) -> None:
        """Count a request that has ended in the metrics."""
        self.metrics.count_request(
            route.name if route else "", account.name if account else "", code, took_s
        )
