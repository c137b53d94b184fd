"""Composition root of the router process, and its start and stop."""

from __future__ import annotations

import asyncio
import math
import os
import random
import signal
from typing import TYPE_CHECKING

import uvloop

from ..model import Limits
from ..platform import SETTINGS_PATH_VARIABLE, decode_settings
from .answer_memory import AnswerMemory
from .budget import BudgetBook, HolderRow
from .budget_desk import BudgetDesk
from .budget_keeper import BudgetKeeper
from .caller import CallerConnection, CallerRequest
from .client import ClientPool, ConnectError
from .clocks import read_clock
from .directory import Directory
from .exchange import Exchange
from .internal_http import METRICS_PATH, start_internal_server
from .log import Log
from .metrics import Metrics
from .neighbourhood import Neighbourhood
from .news import News
from .peers import Hello, Peer, Peers, parse_address
from .placement import Placement
from .poison import PoisonList
from .services import Services
from .store import StoreClient, StoreError
from .waiting import WaitingLine
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

__all__ = ["Application", "main"]

SWEEP_S = 0.25  # Idle connections, lapsed entries and unreachable servers.
SETTINGS_CHECK_S = 1.0  # The settings file may change without a signal.
LEAVING_NOTICE_S = 2.3  # Two misses of a question a second take a host out.
DRAIN_LOOK_S = 0.1  # Between looks at what is still in progress at a stop.
TAKE_UNTIL_S = 3.0  # Requests sent up to 3 s after SIGTERM are served to their end.
EXIT_MARGIN_S = 1.2  # For gifts and a call to the store, before the process is killed.
LATER_RETRY = 4  # Times the gap; where all lost the store, the first try for the rest.
HOLDINGS_S = 2.0  # Holdings change within seconds; a line is 500 bytes.
RETURN_S = 0.5  # A call across regions.
HOLDERS_S = 3.0  # Between looks at the rows of the other processes.
MISSED_HELLO_S = 0.9  # Two of a peer's hellos.
SHARED_METRICS_PORT = 9464  # The port that deploy/system.toml names.
BACKLOG = 1024


class Application:
    """One router process.

    Parameters
    ----------
    loop : asyncio.AbstractEventLoop
        The loop to run on.
    settings_path : str
        The platform's settings file.
    started_at : float
        When the process started, as `read_clock` has it.
    log_descriptor : int
        File descriptor of the log; standard output by default.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        settings_path: str,
        started_at: float,
        log_descriptor: int = 1,
    ) -> None:
        self._started_at = started_at
        self._loop = loop
        self._settings_path = settings_path
        self._settings_text = _read_text(settings_path)
        self.settings = decode_settings(self._settings_text)
        self.log = Log(self.settings.host, log_descriptor)
        self.log.attach(loop)
        self.incarnation = os.urandom(6).hex()
        self._random = random.Random(self.incarnation)
        self.is_draining = False
        self.is_leaving = False
        self._stop_requested = asyncio.Event()
        self._tasks: list[asyncio.Task[None]] = []
        self._callers: set[CallerConnection] = set()
        self._exchanges: set[asyncio.Task[None]] = set()
        self._servers: list[asyncio.Server] = []
        self._guide: str | None = None
        self._suspected: dict[str, float] = {}
        self._wire()

    def _wire(self) -> None:
        settings = self.settings
        loop = self._loop
        self._key = f"{settings.host}.{self.incarnation}"
        self._inner_address = (settings.ip, settings.internal_ports[0])
        address = f"{settings.ip}:{settings.internal_ports[0]}"
        self.store = StoreClient(loop, settings)
        self.configuration = ConfigurationKeeper(self.log, self._take_configuration)
        self.directory = Directory(loop.time)
        self.placement = Placement(loop.time, settings.zone, settings.region_by_zone)
        self.line = WaitingLine(self.directory, self.placement)
        self.neighbourhood = Neighbourhood(
            settings.host,
            settings.zone,
            settings.link_mbps,
            loop.time,
            settings.region_by_zone,
        )
        self.book = BudgetBook(
            settings.host, address, read_clock, settings.zone, settings.link_mbps
        )
        self.keeper = BudgetKeeper(
            self.book,
            self.store,
            self.log,
            self._key,
            self._serve_waiters,
            self._take_holder,
            self.neighbourhood,
            self._random,
            self._started_at,
        )
        self.poison = PoisonList(loop.time)
        self.peers = Peers(
            loop,
            self.book,
            self.log,
            self.neighbourhood,
            self._make_hello,
            self._take_hello,
            lambda ask: self.desk.serve_ask(ask),
            self._serve_waiters,
            self.incarnation,
        )
        self.desk = BudgetDesk(
            self.book,
            self.keeper,
            self.peers,
            self.neighbourhood,
            self.log,
            self._random,
        )
        self.pool = ClientPool(loop)
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
            line=self.line,
            pool=self.pool,
            answer_memory=AnswerMemory(settings.memory_bytes),
            poison=self.poison,
            book=self.book,
            desk=self.desk,
            neighbourhood=self.neighbourhood,
        )
        self.news = News(
            loop,
            self.log,
            self.pool,
            self.configuration,
            self.directory,
            self.neighbourhood,
            lambda: self.is_following_store,
            self._take_servers,
        )
        self._server_watch = ServerWatch(
            self.store,
            self.log,
            self._may_follow_store,
            self._tell_neighbours,
            self._find_retry_s,
            self.directory,
            self._take_servers,
        )
        self._configuration_watch = ConfigurationWatch(
            self.store,
            self.log,
            lambda: self._may_follow_store() and not self._is_told_from_near_store(),
            self._tell_neighbours,
            self._find_retry_s,
            self.configuration,
        )

    async def run(self) -> None:
        """Start, serve until a planned stop is asked for, and stop."""
        await self._start()
        await self._stop_requested.wait()
        await self._drain()

    def request_stop(self) -> None:
        """Ask for a planned stop; `run` carries it out."""
        self._stop_requested.set()

    def abort(self) -> None:
        """Stop at once and without a word, as a crash would."""
        for task in (*self._tasks, *self._exchanges):
            task.cancel()
        for server in self._servers:
            server.close()
        for caller in list(self._callers):
            caller.abort()
        self.peers.close()
        self.pool.close()
        self.store.close()

    async def _start(self) -> None:
        settings = self.settings
        loop = self._loop
        self._servers.append(
            await start_internal_server(
                loop, settings.ready_address, self._answer_ready
            )
        )
        self._servers.append(
            await start_internal_server(loop, self._inner_address, self._answer_inner)
        )
        await self._start_metrics()
        await self.peers.start(*self._inner_address)
        self._servers.append(
            await loop.create_server(
                lambda: CallerConnection(self, loop),
                settings.caller_address[0],
                settings.caller_address[1],
                backlog=BACKLOG,
                reuse_address=True,
            )
        )
        for work in (
            self._configuration_watch.run(),
            self._server_watch.run(),
            self.keeper.run(),
            self.peers.run(),
            self.desk.return_leftovers(),
            self._sweep(),
            self._watch_settings(),
            self._report_holdings(),
            self._watch_holders(),
        ):
            self._tasks.append(loop.create_task(work))
        self.log.write(
            "router: started",
            incarnation=self.incarnation,
            zone=settings.zone,
            callers=f"{settings.caller_address[0]}:{settings.caller_address[1]}",
            internal=f"{self._inner_address[0]}:{self._inner_address[1]}",
            seeds=[ip for ip, _ in settings.seeds],
        )

    async def _start_metrics(self) -> None:
        address = (self.settings.ip, SHARED_METRICS_PORT)
        try:
            server = await start_internal_server(
                self._loop, address, self._answer_inner
            )
        except OSError as error:
            self.log.write("router: no metrics address", error=str(error))
            return
        self._servers.append(server)

    # Callers.

    def get_limits(self) -> Limits:
        """Return what a caller may send."""
        current = self.configuration.current
        return Limits() if current is None else current.limits

    def handle(self, connection: CallerConnection, request: CallerRequest) -> Exchange:
        """Start to answer a request."""
        exchange = Exchange(
            self.services, connection, request, is_taken=not self.is_leaving
        )
        self._exchanges.add(exchange.task)
        exchange.task.add_done_callback(self._exchanges.discard)
        return exchange

    def note_opened(self, connection: CallerConnection) -> None:
        """Take a new connection."""
        self._callers.add(connection)

    def note_closed(self, connection: CallerConnection) -> None:
        """Take it that a connection has ended."""
        self._callers.discard(connection)

    def note_refused(self, request_id: str | None, refusal: Refusal) -> None:
        """Take it that a request was refused before it was handled."""
        self.log.write(
            "request: refused unread",
            request=request_id,
            code=refusal.label,
            detail=refusal.detail,
        )

    # Questions.

    def is_ready(self) -> bool:
        """Whether callers may be sent here."""
        return (
            not self.is_draining
            and self.configuration.current is not None
            and len(self.directory) > 0
        )

    @property
    def is_following_store(self) -> bool:
        """Whether this router hears the store's changes for its data centre."""
        if not self._server_watch.is_in_step:
            return False
        return self._configuration_watch.is_in_step or self._is_told_from_near_store()

    def _is_told_from_near_store(self) -> bool:
        return self.neighbourhood.is_told_from_near_store(self.store.latency_s)

    def _answer_ready(self, path: str) -> tuple[int, bytes]:
        return (200, b"ready") if self.is_ready() else (503, b"not ready")

    def _answer_inner(self, path: str) -> tuple[int, bytes]:
        if path == METRICS_PATH:
            self._set_gauges()
            return 200, self.services.metrics.render()
        return self.news.answer(path)

    def _set_gauges(self) -> None:
        set_state = self.services.metrics.set_state
        set_state("config_version", self.configuration.version)
        set_state("servers", len(self.directory))
        set_state("routers_counted", self.services.count_hosts() or 0)
        set_state("store_calls", self.store.calls)
        set_state("store_failures_in_a_row", self.store.failures_in_a_row)
        set_state("connections_opened", self.pool.n_opened)
        set_state("exchanges", len(self._exchanges))
        set_state("most_answer_bytes", self.services.answer_memory.most_bytes)
        set_state("tokens_reclaimed", self.keeper.reclaimed_tokens)
        set_state("log_lines_dropped", self.log.dropped)

    # News.

    def _take_configuration(self, configuration: Configuration) -> None:
        self.book.set_prepaid(
            {
                account.name: account.prepaid_tokens
                for account in configuration.accounts.values()
                if account.prepaid_tokens is not None
            }
        )
        self.keeper.request_renewal()
        self.peers.send_hello()

    def _tell_neighbours(self) -> None:
        if self.neighbourhood.is_large:
            self.peers.send_hello()

    def _take_servers(self) -> None:
        if self.is_following_store:
            self._tell_neighbours()
        self.placement.forget(self.directory.list_ids())
        for service in self.directory.list_services():
            self.line.note_room(service)

    def _serve_waiters(self) -> None:
        self.desk.serve_waiters()

    def _take_holder(self, holder: HolderRow) -> None:
        self.neighbourhood.note_row(
            holder.host, holder.zone, parse_address(holder.address), holder.link_mbps
        )

    def _may_follow_store(self) -> bool:
        may_follow = self.neighbourhood.may_follow_store(self.is_following_store)
        guide = None if may_follow else self.neighbourhood.find_guide()
        host = None if guide is None else guide.host
        if host != self._guide:
            self.log.write("peers: guide changed", guide=host, before=self._guide)
            self._guide = host
        return may_follow

    def _find_retry_s(self, failures: int) -> float:
        """Return how long to wait before the store is called again."""
        if not self.neighbourhood.is_large:
            return RETRY_S
        longest_s = RETRY_S * min(1 << failures, MAX_BACKOFF)
        if not self.neighbourhood.is_among_first():
            longest_s *= LATER_RETRY
        return longest_s * self._random.uniform(0.5, 1.0)

    def _find_store_latency_s(self) -> float | None:
        latency_s = self.store.latency_s
        return None if math.isinf(latency_s) else round(latency_s, 4)

    def _make_hello(self) -> Hello:
        free = {
            account: self.book.count_spendable(account)
            for account in self.book.holdings
        }
        return Hello(
            host=self.settings.host,
            incarnation=self.incarnation,
            address=f"{self._inner_address[0]}:{self._inner_address[1]}",
            config_version=self.configuration.version,
            holder_key=self._key,
            free={account: count for account, count in free.items() if count > 0},
            suspects=self.poison.export(self.settings.host),
            zone=self.settings.zone,
            link_mbps=self.settings.link_mbps,
            is_leaving=self.is_draining,
            is_in_step=self.is_following_store,
            has_lost_store=self._configuration_watch.has_lost_store
            or self._server_watch.has_lost_store,
            store_latency_s=self._find_store_latency_s(),
            config_store_version=self.configuration.store_version,
            directory_store_version=self.directory.store_version,
            directory=f"{self.incarnation}.{self.directory.generation}",
        )

    def _take_hello(self, peer: Peer) -> None:
        hello = peer.hello
        for host, counts in hello.suspects.items():
            if host != self.settings.host:
                self.poison.take_others(host, counts)
        self.news.compare(peer)

    # Regular work.

    async def _report_holdings(self) -> None:
        """Write what is held of each account, so that a refusal can be explained."""
        while True:
            await asyncio.sleep(HOLDINGS_S)
            self._log_holdings()

    def _log_holdings(self) -> None:
        self.log.write(
            "budget: holdings",
            past_lease=self.book.is_past_lease(),
            held={
                account: [
                    holding.held,
                    holding.passed,
                    holding.settled,
                    holding.reserved,
                    self.book.find_bound(account),
                    int(holding.demand_per_s),
                    self.book.prepaid.get(account),
                    holding.out,
                ]
                for account, holding in self.book.holdings.items()
            },
            fields="held, passed on, settled, reserved, limit, demand a second,"
            " prepaid, handed out",
        )

    async def _sweep(self) -> None:
        while True:
            await asyncio.sleep(SWEEP_S)
            self.pool.sweep()
            for server_id in self.directory.expire():
                self.log.write("directory: lapsed server gone", server=server_id)
            await self.services.probe_unreachable()
            self.book.check_invariant()

    async def _watch_holders(self) -> None:
        """Look for processes that died, so that their tokens are not lost."""
        while True:
            await asyncio.sleep(MISSED_HELLO_S / 3)
            now = self._loop.time()
            for host, peer in list(self.peers.by_host.items()):
                silent_s = now - peer.last_hello_at
                if not MISSED_HELLO_S < silent_s < 3 * MISSED_HELLO_S:
                    continue
                if peer.hello.holder_key in self._suspected:
                    continue
                self._suspected[peer.hello.holder_key] = now
                self._loop.create_task(self._check_dead(host, peer))

    async def _check_dead(self, host: str, peer: Peer) -> None:
        """Note a process as dead whose listener is proved to be gone."""
        try:
            connection = await self.pool.open(peer.address)
        except ConnectError as error:
            is_refused = str(error) == "refused"
        else:
            self.pool.release(connection)
            is_refused = False
        if not is_refused or peer.hello.is_leaving:
            self.log.write("peers: silent", peer=host, refused=is_refused)
            return
        dead_at = read_clock()
        try:
            found = await self.keeper.read_holder(peer.hello.holder_key)
        except StoreError as error:
            self.log.write("budget: holder unread", peer=host, error=str(error))
            return
        if found is None:
            return
        dead_by_s = self.store.clock.read_latest(dead_at)
        self.log.write("peers: dead", peer=host, dead_by_s=dead_by_s)
        self.keeper.note_dead(peer.hello.holder_key, found[0], found[1], dead_by_s)

    async def _watch_settings(self) -> None:
        while True:
            await asyncio.sleep(SETTINGS_CHECK_S)
            self.reload_settings()

    def reload_settings(self) -> None:
        """Take over what has changed in the settings file."""
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
        self.store.settings = settings
        self.log.write("settings: reloaded")

    # Stop.

    async def _drain(self) -> None:
        """Let requests end, give tokens back and leave before the platform kills."""
        started_at = self._loop.time()
        kill_at = started_at + self.settings.bounds.grace_s - EXIT_MARGIN_S
        self.is_draining = True
        self.log.write("router: draining", exchanges=len(self._exchanges))
        self.peers.send_hello()
        while self._loop.time() < kill_at:
            elapsed_s = self._loop.time() - started_at
            if elapsed_s > TAKE_UNTIL_S and not self.is_leaving:
                self.is_leaving = True
                for task in self._tasks:
                    task.cancel()
            if self.is_leaving and self.book.count_free() > 0:
                await self._return_tokens(is_final=False)
            if elapsed_s > LEAVING_NOTICE_S:
                self._close_idle_callers()
                if not self._exchanges and not self._callers:
                    break
            await asyncio.sleep(DRAIN_LOOK_S)
        self._close_idle_callers()
        for server in self._servers:
            server.close()
        await self._return_tokens(is_final=True)
        self._log_holdings()
        self.log.write("router: stopped", cut=len(self._exchanges))
        self.log.flush()

    def _close_idle_callers(self) -> None:
        for caller in list(self._callers):
            if caller.is_idle:
                caller.close()

    async def _return_tokens(self, *, is_final: bool) -> None:
        """Give what is not spent to the store, or to peers while it is away.

        The own row is renewed first: a return whose outcome is in doubt could not be
        given to anybody else.
        """
        try:
            async with asyncio.timeout(RETURN_S):
                if await self.keeper.renew_row() and await self.keeper.give_back(
                    is_final=is_final
                ):
                    return
        except TimeoutError:
            self.log.write("budget: store does not answer", is_final=is_final)
        gifts = [
            self.peers.transfer_to_any_peer(account, tokens)
            for account in list(self.book.holdings)
            if (tokens := self.book.take_all(account))
        ]
        confirmed = await asyncio.gather(*gifts)
        self.log.write(
            "budget: tokens given to peers",
            gifts=len(gifts),
            unconfirmed=confirmed.count(False),
        )


def _read_text(path: str) -> str:
    with open(path, encoding="utf-8") as file:
        return file.read()


def main(started_at: float) -> None:
    """Run one router process until it is stopped.

    Parameters
    ----------
    started_at : float
        When the process started, as `read_clock` has it.
    """
    path = os.environ[SETTINGS_PATH_VARIABLE]

    async def run() -> None:
        loop = asyncio.get_running_loop()
        application = Application(loop, path, started_at)
        loop.add_signal_handler(signal.SIGTERM, application.request_stop)
        loop.add_signal_handler(signal.SIGHUP, application.reload_settings)
        await application.run()

    uvloop.run(run())
