"""HTTP interface for callers: authenticate, find or start requests, write answers."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import attrs
from returns.result import Failure

from ..errors import Refusal, ResultCode
from ..http import HttpRequest, Responder, send_json, send_refusal
from ._claims import ClaimStore
from ._context import RequestContext
from ._delivery import AnswerWriter
from ._engine import EngineClient
from ._forwarding import ForwardHandler
from ._gate import Gate
from ._ids import KeyIssuer, parse_key
from ._life import RequestLife
from ._mirror import Mirror, MirrorRun
from ._orders import authenticate, parse_order, read_key
from ._peers import PeerLookup, PeerRequestHandler, may_run_again
from ._quarantine import Quarantine
from ._records import RecordTable, RequestRecord
from ._retries import RetryPolicy
from ._run import RequestRun
from ._tracker import KeyTracker

if TYPE_CHECKING:
    import random

    from ..budget import Budgets
    from ..configuration import Configuration, ConfigurationView
    from ..explain import DecisionLog
    from ..fleet import Membership, PeerNetwork
    from ..http import HttpClient
    from ..routing import Selector
    from ..schema import ClientAccount
    from ..storage import Table
    from ..util.clock import Clock
    from ._interfaces import RequestObserver, RequestSettings
    from ._orders import CallerOrder

__all__ = ["RequestService"]

REQUESTS_PREFIX = "/v1/requests/"
# Interval of periodic tasks such as cancelling abandoned requests, in seconds.
TICK_S = 0.5
# Delay before a retry that a draining router suggests to callers, in seconds.
DRAIN_RETRY_AFTER_S = 1.0


class RequestService:
    """Serves the HTTP paths for callers.

    Parameters
    ----------
    budgets : Budgets
        Token reservations and the dispatch journal.
    selector : Selector
        Selects backend servers.
    network : PeerNetwork
        Sends and receives messages between routers.
    membership : Membership
        Current lists of routers and backend servers.
    configuration : ConfigurationView
        Configuration in force.
    table : Table
        Client of the platform's table service.
    client : HttpClient
        HTTP client for calls to backend servers.
    clock : Clock
        Clock for wall and monotonic time.
    random : random.Random
        Random numbers for retry jitter.
    decisions : DecisionLog
        Log of decisions, for ``bronzesail explain``.
    observer : RequestObserver
        Receives request metrics.
    settings : RequestSettings
        Settings of the request path.
    """

    def __init__(
        self,
        budgets: Budgets,
        selector: Selector,
        network: PeerNetwork,
        membership: Membership,
        configuration: ConfigurationView,
        table: Table,
        client: HttpClient,
        clock: Clock,
        random: random.Random,
        decisions: DecisionLog,
        observer: RequestObserver,
        settings: RequestSettings,
    ) -> None:
        self._context = RequestContext(
            budgets=budgets,
            selector=selector,
            network=network,
            membership=membership,
            configuration=configuration,
            table=table,
            client=client,
            engine=EngineClient(client, settings.probe_timeout_s),
            clock=clock,
            random=random,
            decisions=decisions,
            observer=observer,
            settings=settings,
            records=RecordTable(settings.answer_keep_s, settings.answer_keep_bytes),
            retries=RetryPolicy(settings),
        )
        own = membership.own.router_id
        self._issuer = KeyIssuer(settings.fleet_secret, own, settings.key_lifetime_s)
        tracker = KeyTracker(settings.key_memory_s)
        claims = ClaimStore(self._context)
        self._lookup = PeerLookup(self._context, tracker)
        self._gate = Gate(self._context, self._issuer, claims, self._lookup)
        self._quarantine = Quarantine(self._context)
        self._quarantine.register()
        PeerRequestHandler(self._context, tracker, claims).register()
        ForwardHandler(self._context, self._start_forwarded).register()
        self._is_draining = False
        self._n_handled = 0
        self._idle = asyncio.Event()
        self._idle.set()
        self._tick_task: asyncio.Task[None] | None = None
        configuration.subscribe(self._stop_closed_accounts)

    async def start(self) -> None:
        """Load the suspect and quarantined bodies, then start the periodic tasks."""
        await self._quarantine.load()
        self._tick_task = asyncio.create_task(self._tick_forever())

    async def drain(self) -> None:
        """Refuse new requests and wait until those in progress have ended."""
        self._is_draining = True
        while running := self._list_running_tasks():
            await asyncio.wait(running)
        await self._idle.wait()
        if self._tick_task is not None:
            self._tick_task.cancel()
            await asyncio.gather(self._tick_task, return_exceptions=True)

    def _list_running_tasks(self) -> list[asyncio.Task[None]]:
        tasks = [record.task for record in self._context.records.list_running()]
        return [task for task in tasks if task is not None and not task.done()]

    def count_running(self) -> int:
        """Return the number of requests in progress."""
        return len(self._context.records.list_running())

    async def handle(self, request: HttpRequest, responder: Responder) -> None:
        """Handle one HTTP request of a caller.

        Parameters
        ----------
        request : HttpRequest
            HTTP request of the caller.
        responder : Responder
            Writes the HTTP response.
        """
        self._n_handled += 1
        self._idle.clear()
        try:
            await self._handle(request, responder)
        except ConnectionError:
            return
        finally:
            self._n_handled -= 1
            if self._n_handled == 0:
                self._idle.set()

    async def _handle(self, request: HttpRequest, responder: Responder) -> None:
        authenticated = authenticate(request, self._context.configuration.current)
        if isinstance(authenticated, Failure):
            await send_refusal(responder, authenticated.failure())
            return
        account = authenticated.unwrap()
        if request.path.startswith(REQUESTS_PREFIX):
            await self._resume(request, responder, account)
            return
        if self._is_draining:
            refusal = Refusal(
                ResultCode.DRAINING,
                is_not_run="idempotency-key" not in dict(request.headers),
                retry_after_s=DRAIN_RETRY_AFTER_S,
            )
            await send_refusal(responder, refusal)
            return
        parts = request.path.split("/")
        if len(parts) < 4 or parts[1] != "v1":
            refusal = Refusal(ResultCode.UNKNOWN_PATH, is_not_run=True)
            await send_refusal(responder, refusal)
            return
        if parts[3:] == ["keys"] and request.method == "POST":
            await self._issue_key(responder, account, parts[2])
            return
        await self._serve(request, responder, account)

    async def _issue_key(
        self, responder: Responder, account: ClientAccount, service: str
    ) -> None:
        refusal = None
        if service not in self._context.configuration.current.services:
            refusal = Refusal(ResultCode.UNKNOWN_SERVICE, is_not_run=True)
        elif account.services and service not in account.services:
            refusal = Refusal(ResultCode.SERVICE_NOT_ALLOWED, is_not_run=True)
        if refusal is not None:
            await send_refusal(responder, refusal)
            return
        key = self._issuer.issue(account.name, self._context.clock.monotonic())
        lifetime_s = self._context.settings.key_lifetime_s
        await send_json(responder, 201, {"key": key, "lifetime_s": lifetime_s})

    async def _serve(
        self, request: HttpRequest, responder: Responder, account: ClientAccount
    ) -> None:
        context = self._context
        parsed = parse_order(
            request,
            account,
            context.configuration.current,
            context.settings,
            context.clock.monotonic(),
        )
        if isinstance(parsed, Failure):
            await send_refusal(responder, parsed.failure())
            return
        order = parsed.unwrap()
        if not order.key:
            key = self._issuer.issue(account.name, context.clock.monotonic())
            order = attrs.evolve(order, key=key)
        found = self._find_or_start(order)
        if isinstance(found, Refusal):
            await send_refusal(responder, found)
            return
        after = _read_last_number(request) if order.is_stream else 0
        await AnswerWriter(context, found, responder).write(order.is_stream, after)

    def _find_or_start(self, order: CallerOrder) -> RequestRecord | Refusal:
        context = self._context
        record = context.records.find(order.account, order.key)
        if record is not None and record.digest not in (b"", order.digest):
            code = ResultCode.KEY_REUSED_WITH_OTHER_BODY
            return Refusal(code, is_not_run=False)
        if record is not None and not may_run_again(record):
            return record
        earlier = record.ending if record is not None else None
        life = RequestLife(is_repeatable=order.is_repeatable)
        life.previous_refusal = earlier if isinstance(earlier, Refusal) else None
        record = RequestRecord(
            account=order.account,
            key=order.key,
            digest=order.digest,
            service=order.service.name,
            life=life,
            detached_at=context.clock.monotonic(),
        )
        context.records.add(record)
        run = RequestRun(
            context, self._gate, self._lookup, self._quarantine, order, record
        )
        record.task = asyncio.create_task(run.run())
        return record

    def _start_forwarded(self, order: CallerOrder) -> RequestRecord | Refusal:
        record = self._context.records.find(order.account, order.key)
        if self._is_draining and record is None:
            return Refusal(ResultCode.DRAINING, is_not_run=self._is_unused(order))
        return self._find_or_start(order)

    def _is_unused(self, order: CallerOrder) -> bool:
        secret = self._context.settings.fleet_secret
        issued = parse_key(secret, order.account, order.key)
        now = self._context.clock.monotonic()
        if issued is None:
            return False
        return self._issuer.is_unused(order.account, issued, now)

    async def _resume(
        self, request: HttpRequest, responder: Responder, account: ClientAccount
    ) -> None:
        key = read_key(request.path.removeprefix(REQUESTS_PREFIX))
        if isinstance(key, Failure) or request.method != "GET":
            refusal = Refusal(ResultCode.BAD_REQUEST_KEY, is_not_run=False)
            await send_refusal(responder, refusal)
            return
        record = await self._find_record(account.name, key.unwrap())
        if record is None:
            is_draining = self._is_draining
            code = ResultCode.DRAINING if is_draining else ResultCode.UNKNOWN_KEY
            retry_after_s = DRAIN_RETRY_AFTER_S if is_draining else 0.0
            refusal = Refusal(code, False, retry_after_s=retry_after_s)
            await send_refusal(responder, refusal)
            return
        after = _read_last_number(request)
        await AnswerWriter(self._context, record, responder).write(True, after)

    async def _find_record(self, account: str, key: str) -> RequestRecord | None:
        context = self._context
        record = context.records.find(account, key)
        if record is not None and not may_run_again(record):
            return record
        # Another router may have run the request after this one refused it.
        if self._is_draining:
            return None
        found = await self._lookup.find_request(account, key)
        record = context.records.find(account, key)
        if record is not None and record.ending is None:
            return record
        if found.holder is None and found.dispatch is None:
            return None
        record = RequestRecord(
            account=account,
            key=key,
            digest=b"",
            service=found.dispatch.service if found.dispatch else "",
            life=RequestLife(is_repeatable=True),
            is_mirror=True,
            detached_at=context.clock.monotonic(),
        )
        context.records.add(record)
        mirror = Mirror(context, self._lookup, record)
        run = MirrorRun(context, mirror, record).run(found.holder, found.dispatch)
        record.task = asyncio.create_task(run)
        return record

    async def _tick_forever(self) -> None:
        while True:
            await asyncio.sleep(TICK_S)
            now = self._context.clock.monotonic()
            self._context.records.expire(now)
            await self._quarantine.load()
            for record in self._context.records.list_running():
                self._cancel_abandoned(record, now)

    def _cancel_abandoned(self, record: RequestRecord, now: float) -> None:
        if record.n_attached or record.task is None or not record.life.is_repeatable:
            return
        if now - record.detached_at < self._context.settings.disconnect_grace_s:
            return
        record.stop(ResultCode.CANCELLED)

    def _stop_closed_accounts(self, configuration: Configuration) -> None:
        """Stop requests of closed accounts that have not been dispatched yet."""
        for record in self._context.records.list_running():
            account = configuration.accounts.get(record.account)
            is_open = account is not None and not account.is_closed
            if is_open or record.life.n_dispatches:
                continue
            record.stop(ResultCode.ACCOUNT_CLOSED)


def _read_last_number(request: HttpRequest) -> int:
    text = request.find_header("last-event-id")
    is_number = text.isascii() and text.isdigit() and len(text) < 10
    return int(text) if is_number else 0
