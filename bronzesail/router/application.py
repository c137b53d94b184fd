"""Composition root of the router process: wiring, startup, periodic work, shutdown."""

from __future__ import annotations

import asyncio
import os
import random
import signal
import sys
import time
from typing import TYPE_CHECKING

import uvloop

from ..model import Feature, Limits
from ..platform import SETTINGS_PATH_VARIABLE, decode_settings
from .admission_queue import AdmissionQueue
from .answer_memory import AnswerMemory
from .brittle_servers import BrittleServers
from .budget import RESTORE_DEPTH_S, BudgetBook
from .budget_keeper import BudgetKeeper
from .caller import CallerConnection, CallerRequest
from .caller_memory import SMALL_MEMORY_BYTES, CallerMemory
from .client import ClientPool
from .clocks import read_clock
from .crashing_parts import CrashingParts
from .directory import Directory
from .dry_run import answer_question
from .eligibility import Evacuations, find_unknown_regions
from .estimates import ServerSpeed, StartTimes
from .exchange import Exchange
from .features import DISABLED_FEATURES_VARIABLE, read_disabled_features
from .forwarding import Forwarder
from .gauges import set_gauges
from .hello import make_hello
from .internal_http import DRY_RUN_PATH, METRICS_PATH, start_internal_server
from .link_protection import LinkProtection
from .log import Log
from .messages import (
    ServerFull,
    parse_address,
)
from .metrics import Metrics
from .neighbourhood import Neighbourhood
from .pacing import ColdServers, RateLimits, ServerPace
from .peer_sync import PeerSync
from .peers import Peer, Peers
from .placement import Placement
from .poison import PoisonList
from .reservation_queue import ReservationQueue
from .server_limits import ServerLimits
from .server_links import ServerLinks
from .server_lives import ServerLives
from .services import Services
from .store import StoreClient
from .store_era import StoreEra
from .stream_lookup import StreamLookup
from .stream_rows import StreamRows
from .stream_versions import StreamVersions
from .supervision import Supervisor
from .version_claims import VersionClaims
from .watches import (
    MAX_BACKOFF,
    RETRY_S,
    ConfigurationKeeper,
    ConfigurationWatch,
    ServerWatch,
)

if TYPE_CHECKING:
    from ..errors import Refusal
    from ..model import Configuration
    from .budget_rows import HolderRow
    from .server_limits import LimitReport

__all__ = ["Application", "main"]

# Interval at which idle connections are closed, expired directory entries removed
# and unreachable servers probed.
SWEEP_INTERVAL_S = 0.25
# The settings file is polled as well, because it may change without a SIGHUP.
SETTINGS_CHECK_INTERVAL_S = 1.0
# The platform probes readiness once a second and stops sending callers to a host
# after two failed probes. Idle connections stay open until then.
UNREADY_NOTICE_S = 2.3
# Interval at which a draining process checks for requests in progress.
DRAIN_CHECK_INTERVAL_S = 0.1
# Requests that arrive up to 3 s after SIGTERM are served to completion.
ACCEPT_AFTER_STOP_S = 3.0
# Reserved at the end of the grace period, before the platform kills the process, for
# one call to the store and the token transfers to peers.
EXIT_MARGIN_S = 1.2
# Multiplies the retry delay of routers that rank too low to read the store. While all
# routers have lost the store, the highest-ranked ones try it on behalf of the others.
LOW_RANK_RETRY_FACTOR = 4
# Holdings change within seconds, and a log line takes 500 bytes.
HOLDINGS_LOG_INTERVAL_S = 2.0
# Long enough for a call to the store in another region.
TOKEN_RETURN_TIMEOUT_S = 0.5
INVALID_SETTINGS_EXIT_CODE = 3  # As of the product's own programs.
SHARED_METRICS_PORT = 9464  # Named in deploy/system.toml.
# Names of the background tasks that acquire or return tokens.
BUDGET_RENEWAL = "budget renewal"
TOKEN_RETURNS = "token returns"
LISTEN_BACKLOG = 1024  # Connections that the kernel queues before they are accepted.


class Application:
    """One router process and the components that it consists of.

    Parameters
    ----------
    loop : asyncio.AbstractEventLoop
        The event loop to run on.
    settings_path : str
        Path of the settings file that the platform provides.
    started_at : float
        Start time of the process, in seconds on the clock of `read_clock`.
    log_descriptor : int
        File descriptor that log lines are written to; standard output by default.
    restore_depth_s : float
        Longest time that a copy is behind from which the store may be restored.
    disabled_features : frozenset of Feature
        Features that are switched off.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        settings_path: str,
        started_at: float,
        log_descriptor: int = 1,
        restore_depth_s: float = RESTORE_DEPTH_S,
        disabled_features: frozenset[Feature] = frozenset(),
    ) -> None:
        self._started_at = started_at
        self._restore_depth_s = restore_depth_s
        self._disabled_features = disabled_features
        self._loop = loop
        self._settings_path = settings_path
        self._settings_text = _read_text(settings_path)
        self.settings = decode_settings(self._settings_text)
        self.log = Log(self.settings.host, log_descriptor)
        self.log.attach(loop)
        self.incarnation = os.urandom(6).hex()
        self._random = random.Random(self.incarnation)
        self.is_draining = False
        self.is_refusing_requests = False
        self._stop_requested = asyncio.Event()
        self.supervisor = Supervisor(loop, self.log)
        self._callers: set[CallerConnection] = set()
        self._exchanges: set[asyncio.Task[None]] = set()
        self._servers: list[asyncio.Server] = []
        self._source_host: str | None = None
        self._build_components()

    def _build_components(self) -> None:
        """Create all components and connect them by callbacks."""
        settings = self.settings
        loop = self._loop
        holder_key = f"{settings.host}.{self.incarnation}"
        self.internal_address = (settings.ip, settings.internal_ports[0])
        address = f"{settings.ip}:{settings.internal_ports[0]}"
        self.era = StoreEra(self.log)
        self.configuration = ConfigurationKeeper(self.log, self._apply_configuration)
        self.evacuations = Evacuations(loop.time, settings.region_by_zone, self.log)
        self.directory = Directory(loop.time, settings.region_by_zone, self.evacuations)
        self.era.subscribe(self._note_era)
        self.placement = Placement(
            loop.time,
            settings.zone,
            settings.region_by_zone,
            ServerSpeed(
                loop.time,
                is_enabled=Feature.SERVER_SPEED not in self._disabled_features,
            ),
            self._random,
            lambda: self.entry.is_congested(),
        )
        self.neighbourhood = Neighbourhood(
            settings.host,
            settings.zone,
            settings.link_mbps,
            loop.time,
            settings.region_by_zone,
            self.internal_address,
        )
        is_protected = Feature.LINK_PROTECTION not in self._disabled_features
        self.entry = LinkProtection(
            loop,
            self.log,
            settings.host,
            settings.link_mbps if is_protected else 0.0,
            self.neighbourhood,
            self._callers,
            self._random,
        )
        usage = self.entry.usage
        self.store = StoreClient(loop, settings, self.era, self.log, usage)
        self.limits = ServerLimits(
            read_clock, settings.host, self.neighbourhood.list_nearest
        )
        self.cold = ColdServers(
            loop.time,
            lambda: time.time() * 1000,
            settings.host,
            self._list_cold_sharers,
            self.configuration.find_service,
            self.directory,
            lambda: self.settings.bounds,
            self.directory.get_taken_back_at,
        )
        self.pace = ServerPace(
            loop.time,
            settings.host,
            self.neighbourhood.list_nearest,
            self.configuration.find_service,
            self.directory,
            self.placement,
            self.cold.find_cold_left_s,
            Feature.SERVER_PACE not in self._disabled_features,
            reports_speed=self.placement.speed.is_announced,
            find_slowness=self.placement.speed.find_slowness,
            get_taken_back_at=self.directory.get_taken_back_at,
        )
        self.placement.find_start_cost_s = self.pace.find_cost_s
        self.brittle = BrittleServers(
            read_clock,
            settings.host,
            self.neighbourhood.list_nearest,
            self._random,
        )
        self.caller_memory = self._make_caller_memory()
        self.pool = ClientPool(loop, self.caller_memory, usage)
        self.lives = ServerLives(loop, self.log, self.pool, self.directory)
        self.start_times = (
            None
            if Feature.START_ESTIMATES in self._disabled_features
            else StartTimes(loop.time)
        )
        self.line = AdmissionQueue(
            self.directory,
            self.placement,
            RateLimits(self.limits, self.cold),
            self.brittle,
            self.lives,
            self.pace,
            self.start_times,
        )
        self.book = BudgetBook(
            settings.host,
            address,
            read_clock,
            settings.zone,
            settings.link_mbps,
            self._restore_depth_s,
        )
        self.keeper = BudgetKeeper(
            self.book,
            self.store,
            self.log,
            holder_key,
            self._serve_waiters,
            self._record_holder,
            self.neighbourhood,
            self._random,
            self._started_at,
        )
        self.era.subscribe(self.keeper.begin_era)
        self.poison = PoisonList(loop.time, self.incarnation)
        self.crashing_parts = CrashingParts(loop.time, self.incarnation)
        self.peers = Peers(
            loop,
            self.book,
            self.log,
            self.neighbourhood,
            lambda: make_hello(self),
            self._process_hello,
            lambda ask: self.desk.serve_ask(ask),
            self._serve_waiters,
            self.incarnation,
            self.limits,
            self._log_limits,
            lambda message, address: self.stream_lookup.handle(message, address),
            self._note_server_full,
            self.evacuations,
            usage,
        )
        self.evacuations.subscribe(self.peers.send_evacuations)
        self.evacuations.subscribe(self.line.note_eligibility_changed)
        self.streams = StreamVersions(read_clock)
        self.stream_rows = StreamRows(self.store, self.log, read_clock)
        self.stream_lookup = StreamLookup(
            self.streams,
            self.stream_rows,
            self.neighbourhood,
            self.peers.send_stream_message,
            self.log,
            self.incarnation,
        )
        self.version_claims = VersionClaims(
            self.store,
            self.streams,
            self.stream_rows,
            self.log,
            lambda: self.is_following_store,
        )
        self.desk = ReservationQueue(
            self.book,
            self.keeper,
            self.peers,
            self.neighbourhood,
            self.log,
            self._random,
        )
        self.links = ServerLinks(
            loop,
            self.log,
            self.pool,
            self.directory,
            self.placement,
            self.line.dispatch,
            self.peers.send_hello,
            lambda server: self.services.note_recovered(server, "unreachable"),
            self.entry.is_congested,
        )
        self.services = Services(
            loop=loop,
            started_at=self._started_at,
            log=self.log,
            metrics=Metrics(),
            settings=settings,
            random=self._random,
            configuration=self.configuration,
            directory=self.directory,
            placement=self.placement,
            admission_queue=self.line,
            pool=self.pool,
            answer_memory=AnswerMemory(settings.memory_bytes),
            poison=self.poison,
            crashing_parts=self.crashing_parts,
            book=self.book,
            desk=self.desk,
            neighbourhood=self.neighbourhood,
            limits=self.limits,
            cold=self.cold,
            pace=self.pace,
            stream_lookup=self.stream_lookup,
            links=self.links,
            brittle=self.brittle,
            lives=self.lives,
            entry=self.entry,
            report_server_full=self.peers.send_server_full,
            announce_state=self.peers.send_hello,
            forwarder=Forwarder(
                settings,
                self.peers,
                self.neighbourhood,
                self.pool,
                self.log,
                self._random,
            ),
            evacuations=self.evacuations,
        )
        self.news = PeerSync(
            loop,
            self.log,
            self.pool,
            self.configuration,
            self.directory,
            self.neighbourhood,
            lambda: self.is_following_store,
            self._apply_directory,
            self.poison,
            self.crashing_parts,
        )
        self._server_watch = ServerWatch(
            self.store,
            self.log,
            self._may_follow_store,
            self._announce_change,
            self._compute_retry_delay_s,
            self.directory,
            self._apply_directory,
            settings.heartbeat_s,
        )
        self._configuration_watch = ConfigurationWatch(
            self.store,
            self.log,
            lambda: (
                self._may_follow_store() and not self._is_updated_by_nearer_region()
            ),
            self._announce_change,
            self._compute_retry_delay_s,
            self.configuration,
            self.evacuations,
        )

    def _make_caller_memory(self) -> CallerMemory:
        """Return the bound on what is held for slow readers, for hosts that need it."""
        settings = self.settings
        is_needed = (
            settings.is_capacity_scarce or settings.memory_bytes < SMALL_MEMORY_BYTES
        )
        return CallerMemory(
            settings.memory_bytes,
            self._loop.time,
            self.log,
            is_enabled=is_needed
            and Feature.CALLER_MEMORY not in self._disabled_features,
        )

    async def run(self) -> None:
        """Start, serve until `request_stop` is called, then drain and stop."""
        await self._start()
        await self._stop_requested.wait()
        await self._drain()

    def request_stop(self) -> None:
        """Request a graceful shutdown, which `run` carries out."""
        self._stop_requested.set()

    def abort(self) -> None:
        """Stop at once, as a crash would: no draining, and peers are not notified."""
        self.supervisor.cancel()
        for task in self._exchanges:
            task.cancel()
        for server in self._servers:
            server.close()
        for caller in list(self._callers):
            caller.abort()
        self.peers.close()
        self.pool.close()
        self.store.close()

    async def _start(self) -> None:
        """Open all listening sockets and start the background tasks."""
        settings = self.settings
        loop = self._loop
        self._servers.append(
            await start_internal_server(
                loop, settings.ready_address, self._answer_readiness_probe
            )
        )
        self._servers.append(
            await start_internal_server(
                loop, self.internal_address, self._answer_internal_request
            )
        )
        await self._start_metrics()
        await self.peers.start(*self.internal_address)
        self._servers.append(
            await loop.create_server(
                lambda: CallerConnection(
                    self, loop, self.caller_memory, self.entry.usage
                ),
                settings.caller_address[0],
                settings.caller_address[1],
                backlog=LISTEN_BACKLOG,
                reuse_address=True,
            )
        )
        for name, run in (
            ("configuration watch", self._configuration_watch.run),
            ("server watch", self._server_watch.run),
            (BUDGET_RENEWAL, self.keeper.run),
            ("version claims", self.version_claims.run),
            ("stream rows", self.stream_rows.run),
            ("hellos", self.peers.run),
            (TOKEN_RETURNS, self.desk.return_leftovers),
            ("sweep", self._sweep),
            ("link protection", self._protect_link),
            ("settings watch", self._watch_settings),
            ("holdings log", self._log_holdings_regularly),
        ):
            self.supervisor.start(name, run)
        self.log.write(
            "router: started",
            incarnation=self.incarnation,
            zone=settings.zone,
            callers=f"{settings.caller_address[0]}:{settings.caller_address[1]}",
            internal=f"{self.internal_address[0]}:{self.internal_address[1]}",
            seeds=[ip for ip, _ in settings.seeds],
            malformed=self.settings.bounds.malformed,
            disabled=sorted(feature.value for feature in self._disabled_features),
        )

    async def _start_metrics(self) -> None:
        """Serve metrics on the shared port, unless another process listens there."""
        address = (self.settings.ip, SHARED_METRICS_PORT)
        try:
            server = await start_internal_server(
                self._loop, address, self._answer_internal_request
            )
        except OSError as error:
            self.log.write(
                "router: cannot listen on the metrics address", error=str(error)
            )
            return
        self._servers.append(server)

    # Callers' connections and requests; the methods of `CallerHandler`.

    def get_limits(self) -> Limits:
        """Return the size and time limits of callers' requests."""
        current = self.configuration.current
        return Limits() if current is None else current.limits

    def handle(self, connection: CallerConnection, request: CallerRequest) -> Exchange:
        """Start to serve a request and return its exchange."""
        exchange = Exchange(
            self.services,
            connection,
            request,
            is_accepted=not self.is_refusing_requests,
        )
        self._exchanges.add(exchange.task)
        exchange.task.add_done_callback(self._exchanges.discard)
        return exchange

    def note_opened(self, connection: CallerConnection) -> None:
        """Register an open connection."""
        self._callers.add(connection)

    def note_closed(self, connection: CallerConnection) -> None:
        """Unregister a connection that was closed."""
        self._callers.discard(connection)

    def note_refused(self, request_id: str | None, refusal: Refusal) -> None:
        """Log a request that was refused while it was being read."""
        self.log.write(
            "request: refused while being read",
            request=request_id,
            code=refusal.label,
            detail=refusal.detail,
        )

    # Readiness, metrics and requests of other routers.

    def is_ready(self) -> bool:
        """Whether the platform may send callers to this router."""
        return (
            not self.is_draining
            and not self.entry.control.is_aside
            and self.configuration.current is not None
            and self.evacuations.is_known
            and len(self.directory) > 0
        )

    @property
    def is_following_store(self) -> bool:
        """Whether this router itself receives the store's changes.

        Other routers of its data centre may then take them from it. The configuration
        may also come from a router of a region nearer to the store.
        """
        if not self._server_watch.is_in_step:
            return False
        return (
            self._configuration_watch.is_in_step or self._is_updated_by_nearer_region()
        )

    @property
    def has_lost_store(self) -> bool:
        """Whether this router tries to follow the store and fails."""
        return (
            self._configuration_watch.has_lost_store
            or self._server_watch.has_lost_store
        )

    def count_exchanges(self) -> int:
        """Return the number of requests in progress."""
        return len(self._exchanges)

    def _is_updated_by_nearer_region(self) -> bool:
        """Whether a router of a region nearer to the store forwards configurations."""
        return self.neighbourhood.has_nearer_follower(self.store.latency_s)

    def _answer_readiness_probe(self, target: str) -> tuple[int, bytes]:
        """Return status and body for the platform's readiness probe."""
        return (200, b"ready") if self.is_ready() else (503, b"not ready")

    def _answer_internal_request(self, target: str) -> tuple[int, bytes]:
        """Return status and body for a metrics scrape, a dry run or another router."""
        path, _, query = target.partition("?")
        if path == DRY_RUN_PATH:
            return answer_question(self.services, query)
        if path == METRICS_PATH:
            set_gauges(self, self.services.metrics.set_state)
            return 200, self.services.metrics.render()
        return self.news.answer(path)

    # Changes of the configuration, the directory and the other routers.

    def _apply_configuration(self, configuration: Configuration) -> None:
        """Apply the prepaid budgets of a new configuration and announce its version."""
        self.book.set_prepaid(
            {
                account.name: account.prepaid_tokens
                for account in configuration.accounts.values()
                if account.prepaid_tokens is not None
            }
        )
        for service in configuration.services.values():
            if service.malformed:
                self.log.write(
                    "config: malformed fields ignored",
                    service=service.name,
                    fields=service.malformed,
                )
        self.keeper.request_renewal()
        self.peers.send_hello()
        unknown = find_unknown_regions(configuration, self._list_regions())
        if unknown:
            self.log.write("config: unknown home regions", regions=unknown)
        self.line.note_eligibility_changed()

    def _list_regions(self) -> set[str]:
        """Return the regions that data centres are in."""
        return set(self.settings.region_by_zone.values())

    def _announce_change(self) -> None:
        """Send a hello at once in a large fleet, where few routers read the store."""
        if self.neighbourhood.is_large:
            self.peers.send_hello()

    def _apply_directory(self) -> None:
        """Announce a changed directory and assign new places to waiting requests."""
        if self.is_following_store:
            self._announce_change()
        self.placement.retain_only(self.directory.list_ids())
        self.limits.retain_only(self.directory.list_ids())
        self.brittle.retain_only(self.directory.list_ids())
        for server in self.cold.note_servers(self.directory.list_all()):
            self.services.log_cold(server)
        self.pace.note_servers(self.directory.list_all())
        self._note_versions()
        self.lives.check()
        for service in self.directory.list_services():
            self.line.dispatch(service)

    def _list_cold_sharers(
        self, server_id: str, zone: str, n_most: float, max_silence_s: float
    ) -> list[str]:
        """Return the routers that share the limit of a cold server.

        The others replace a router that is draining, so it gives up its share.
        """
        if self.is_draining:
            return []
        return self.neighbourhood.list_nearest(server_id, zone, n_most, max_silence_s)

    def _note_era(self, era: int) -> None:
        """Tell the directory of a restore; a new process only learns the era."""
        if self.era.n_restores:
            self.directory.note_store_restored()

    def _note_server_full(self, message: ServerFull) -> None:
        """Send no more requests to a brittle server than it has already."""
        server = self.directory.get(message.server_id)
        if server is not None and server.born_ms == message.born_ms:
            self.brittle.note_rejected(server, self.placement.count_own(server.id))

    def _note_versions(self) -> None:
        """Record the versions of the servers; tell what others can no longer infer."""
        if self.streams.note_servers(self.directory.list_versions()):
            self.version_claims.note_change()
            self.stream_lookup.tell_unknown()

    def _log_limits(self, reports: list[LimitReport]) -> None:
        """Log the limits of servers that another router's reports have changed."""
        for report in reports:
            self.log.write(
                "server: limit reported by a peer",
                server=report.server_id,
                rate_per_s=report.rate_per_s,
                age_s=round(report.age_s, 3),
            )

    def _serve_waiters(self) -> None:
        """Give new tokens to the requests that wait for them."""
        self.desk.serve_waiters()

    def _record_holder(self, holder: HolderRow) -> None:
        """Add the router of a holder row in the store to the neighbourhood."""
        self.neighbourhood.note_row(
            holder.host, holder.zone, parse_address(holder.address), holder.link_mbps
        )

    def _may_follow_store(self) -> bool:
        """Whether this router reads the store itself.

        Otherwise it receives changes through another router of its data centre;
        a change of that router is logged.
        """
        may_follow = self.neighbourhood.may_follow_store(self.is_following_store)
        source = None if may_follow else self.neighbourhood.find_store_follower()
        host = None if source is None else source.host
        if host != self._source_host:
            self.log.write(
                "peers: source of store changes switched",
                guide=host,
                before=self._source_host,
            )
            self._source_host = host
        return may_follow

    def _compute_retry_delay_s(self, failures: int) -> float:
        """Return the delay before the next call to a store that does not respond.

        In a large fleet the delay grows exponentially and is randomized, so that the
        routers do not call the store at the same moment.
        """
        if not self.neighbourhood.is_large:
            return RETRY_S
        max_delay_s = RETRY_S * min(1 << failures, MAX_BACKOFF)
        if not self.neighbourhood.is_follower_candidate():
            max_delay_s *= LOW_RANK_RETRY_FACTOR
        return max_delay_s * self._random.uniform(0.5, 1.0)

    def _process_hello(self, peer: Peer) -> None:
        """Record what a peer says of servers and fetch what it has newer."""
        if peer.hello.store_era > self.era.current:
            self.era.observe(peer.hello.store_era, peer.hello.host)
        if self.directory.merge_leaving(peer.hello.leaving):
            self.log.write(
                "directory: servers leave by their own word",
                servers=list(peer.hello.leaving),
                source=peer.hello.host,
            )
        if self.brittle.merge(peer.hello.brittle):
            self.log.write(
                "server: services are brittle",
                services=[report.service for report in peer.hello.brittle],
                source=peer.hello.host,
            )
        self.news.fetch_newer(peer)

    # Periodic work.

    async def _log_holdings_regularly(self) -> None:
        """Log the holdings of each account, so that refusals can be explained later."""
        while True:
            await asyncio.sleep(HOLDINGS_LOG_INTERVAL_S)
            self._log_holdings()

    def _log_holdings(self) -> None:
        """Log the tokens of each account that this process holds."""
        self.log.write(
            "budget: holdings",
            past_lease=self.book.is_past_lease(),
            held={
                account: [
                    holding.held,
                    holding.transferred,
                    holding.settled,
                    holding.reserved,
                    self.book.find_bound(account),
                    int(holding.demand_per_s),
                    self.book.prepaid.get(account),
                    holding.total_granted,
                ]
                for account, holding in self.book.holdings.items()
            },
            fields="held, transferred, settled, reserved, limit, demand per second,"
            " prepaid, granted to all routers",
        )

    async def _sweep(self) -> None:
        """Close idle connections, expire directory entries and probe servers."""
        while True:
            await asyncio.sleep(SWEEP_INTERVAL_S)
            self.pool.sweep()
            self.caller_memory.check()
            for server_id in self.directory.expire():
                self.log.write("directory: expired server removed", server=server_id)
                self._note_versions()
            self.links.check()
            self._log_pace()
            self.lives.check()
            for service in self.line.list_waiting():
                self.line.dispatch(service)
            self.book.check_invariant()

    def _log_pace(self) -> None:
        """Log the servers that are no longer paced."""
        for ended in self.pace.take_ended():
            self.log.write(
                "pace: server at full pace",
                server=ended.server_id,
                reason=ended.reason,
                took_s=round(ended.took_s, 3),
                answers=ended.n_answers,
                decreases=ended.n_decreases,
            )

    async def _protect_link(self) -> None:
        """Relieve the host's link while it is saturated."""
        await self.entry.run(self.pool, self.peers, self.peers.send_hello)

    async def _watch_settings(self) -> None:
        """Poll the settings file for changes."""
        while True:
            await asyncio.sleep(SETTINGS_CHECK_INTERVAL_S)
            self.reload_settings()

    def reload_settings(self) -> None:
        """Apply a changed settings file; an unreadable one is logged and ignored."""
        try:
            text = _read_text(self._settings_path)
            if text == self._settings_text:
                return
            settings = decode_settings(text)
        except (OSError, ValueError) as error:
            self.log.write("settings: unreadable", error=str(error))
            return
        self._settings_text = text
        self.settings = settings
        self.services.settings = settings
        self.services.forwarder.settings = settings
        self.directory.region_by_zone = settings.region_by_zone
        self.evacuations.zones = settings.region_by_zone
        self.store.settings = settings
        self.log.write("settings: reloaded")

    # Shutdown.

    async def _drain(self) -> None:
        """Finish requests and return tokens before the platform kills the process.

        New requests are accepted for `ACCEPT_AFTER_STOP_S`. After that they are
        refused, no tokens are acquired, and free ones are returned as requests end.
        The watches go on, since requests in progress may still be sent to servers.
        Idle connections are closed after `UNREADY_NOTICE_S`, once the platform
        sends callers elsewhere.
        """
        started_at = self._loop.time()
        kill_at = started_at + self.settings.bounds.grace_s - EXIT_MARGIN_S
        self.is_draining = True
        self.log.write("router: draining", exchanges=len(self._exchanges))
        self.peers.send_hello()
        while self._loop.time() < kill_at:
            elapsed_s = self._loop.time() - started_at
            if elapsed_s > ACCEPT_AFTER_STOP_S and not self.is_refusing_requests:
                self.is_refusing_requests = True
                self.supervisor.cancel(BUDGET_RENEWAL, TOKEN_RETURNS)
            if self.is_refusing_requests and self.book.count_free() > 0:
                await self._return_tokens(is_final=False)
            if elapsed_s > UNREADY_NOTICE_S:
                self._close_idle_callers()
                if not self._exchanges and not self._callers:
                    break
            await asyncio.sleep(DRAIN_CHECK_INTERVAL_S)
        self._close_idle_callers()
        for server in self._servers:
            server.close()
        # A later renewal would replace the row that says that this process has ended.
        self.supervisor.cancel()
        await self._return_tokens(is_final=True)
        self._log_holdings()
        self.log.write("router: stopped", cut=len(self._exchanges))
        self.log.flush()

    def _close_idle_callers(self) -> None:
        """Close callers' connections that have no request in progress."""
        for caller in list(self._callers):
            if caller.is_idle:
                caller.close()

    async def _return_tokens(self, *, is_final: bool) -> None:
        """Return unspent tokens to the store, or to peers if the store is unreachable.

        The router's own row is renewed first, which shows whether the store responds:
        tokens whose return has an unknown outcome cannot be transferred to a peer.
        """
        try:
            async with asyncio.timeout(TOKEN_RETURN_TIMEOUT_S):
                if await self.keeper.renew_row() and await self.keeper.give_back(
                    is_final=is_final
                ):
                    return
        except TimeoutError:
            self.log.write("budget: store does not answer", is_final=is_final)
        transfers = [
            self.peers.transfer_to_any_peer(account, tokens)
            for account in list(self.book.holdings)
            if (tokens := self.book.transfer_all(account))
        ]
        confirmed = await asyncio.gather(*transfers)
        self.log.write(
            "budget: tokens transferred to peers",
            gifts=len(transfers),
            unconfirmed=confirmed.count(False),
        )


def _read_text(path: str) -> str:
    """Return the content of a text file."""
    with open(path, encoding="utf-8") as file:
        return file.read()


def main(started_at: float, restore_depth_s: float = RESTORE_DEPTH_S) -> None:
    """Run one router process until SIGTERM; SIGHUP reloads its settings.

    The process exits with 3 if the settings file is missing or malformed.

    Parameters
    ----------
    started_at : float
        Start time of the process, in seconds on the clock of `read_clock`.
    restore_depth_s : float
        Longest time that a copy is behind from which the store may be restored.
    """
    path = os.environ.get(SETTINGS_PATH_VARIABLE, "")

    async def run() -> None:
        loop = asyncio.get_running_loop()
        try:
            application = Application(
                loop,
                path,
                started_at,
                restore_depth_s=restore_depth_s,
                disabled_features=read_disabled_features(
                    os.environ.get(DISABLED_FEATURES_VARIABLE, "")
                ),
            )
        except (OSError, ValueError) as error:
            print(f"settings file {path!r}: {error}", file=sys.stderr)
            sys.exit(INVALID_SETTINGS_EXIT_CODE)
        loop.set_exception_handler(application.supervisor.note_callback_error)
        loop.add_signal_handler(signal.SIGTERM, application.request_stop)
        loop.add_signal_handler(signal.SIGHUP, application.reload_settings)
        await application.run()

    uvloop.run(run())
