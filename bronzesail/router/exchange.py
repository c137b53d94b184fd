"""The way of one request: route, key, tokens, server, answer, settlement."""

from __future__ import annotations

import asyncio
import itertools
from typing import TYPE_CHECKING

from ..errors import Refusal, ResultCode
from ..model import RequestKind
from ..platform import encode_forwarded_head, encode_refusal_head, read_request_head
from .client import ConnectError
from .placement import Work
from .poison import make_fingerprint
from .relay import Ending, Outcome, Relay, StreamState

if TYPE_CHECKING:
    from ..model import (
        AnswerHead,
        BackendServer,
        ClientAccount,
        Configuration,
        Engine,
        RequestHead,
        Route,
    )
    from .caller import CallerConnection, CallerRequest
    from .client import Connection
    from .services import Services

__all__ = ["Exchange"]

TIMEOUT_MARGIN_S = 0.02  # The server's own answer at the limit goes first.
MAX_CONNECTS = 4  # Servers tried for a connection; nothing is sent to those that fail.
MIN_LEFT_S = 0.05  # With less left no server can answer.
QUEUE_WAIT_SHARE = 0.25  # Of the time left, the most that a request waits for a place.
HEAD_WAIT_OBJECTIVES = 2.0  # After this, work that may be repeated goes elsewhere.
MIN_HEAD_WAIT_S = 0.6  # Twice the slowest one in a hundred of plain answers.
STREAM_SILENCE_S = 2.5  # A stream that may be resumed goes on elsewhere after this.
NO_SERVER_RETRY_S = 1.0  # Servers come back after some seconds.
OVERLOAD_RETRY_S = 1.0  # Spread by half of it.
MAX_AGE_S = 1e6  # Of a load that was never told.
LEAVING_RETRY_S = 0.05  # Another host takes the request at once.
PRIORITY_LOWEST = 9

_tickets = itertools.count(1)


class _RefusedError(Exception):
    """Ends the way of a request with a refusal."""

    def __init__(self, refusal: Refusal) -> None:
        super().__init__(refusal.label)
        self.refusal = refusal


class Exchange:
    """One request in progress.

    Parameters
    ----------
    services : Services
        What all requests share.
    caller : CallerConnection
        Where the answer goes.
    request : CallerRequest
        The request.
    is_taken : bool
        False where the process will end before the request could.
    """

    def __init__(
        self,
        services: Services,
        caller: CallerConnection,
        request: CallerRequest,
        *,
        is_taken: bool = True,
    ) -> None:
        self._services = services
        self._loop = services.loop
        self._caller = caller
        self._request = request
        self._is_taken = is_taken
        self._connection: Connection | None = None
        self._head: RequestHead | None = None
        self._route: Route | None = None
        self._account: ClientAccount | None = None
        self._service = ""
        self._engine: Engine | None = None
        self._work = Work()
        self._limit_at = request.arrived_at + 15.0
        self._sends = 0
        self._misdirected = 0
        self._has_run = False
        self._fingerprint = ""
        self._reserved = 0
        self._charged = 0
        self._stream: StreamState | None = None
        self._tried: list[str] = []
        self._code = "aborted"
        self._token_wait_s = 0.0
        self._place_wait_s = 0.0
        self._task = self._loop.create_task(self._run())

    def cancel(self) -> None:
        """End the request: its caller has gone."""
        self._code = "caller gone"
        self._task.cancel()

    def pause(self) -> None:
        """Hold back the server."""
        if self._connection is not None:
            self._connection.pause()

    def resume(self) -> None:
        """Let the server go on."""
        if self._connection is not None:
            self._connection.resume()

    @property
    def task(self) -> asyncio.Task[None]:
        """The task that answers the request."""
        return self._task

    async def _run(self) -> None:
        try:
            await self._serve()
        except _RefusedError as error:
            self._refuse(error.refusal)
        except asyncio.CancelledError:
            pass
        except Exception as error:  # One request's fault must not end the process.
            self._services.log.write(
                "request: internal error", request=self._id, error=repr(error)
            )
            self._caller.break_off()
        finally:
            self._drop_connection()
            self._settle()
            self._log_end()

    async def _serve(self) -> None:
        self._head = self._read_head()
        if not self._is_taken:
            raise self._fail(ResultCode.DRAINING, retry_after_s=LEAVING_RETRY_S)
        configuration = self._services.configuration.current
        if configuration is None:
            raise self._fail(ResultCode.NO_BACKEND, retry_after_s=NO_SERVER_RETRY_S)
        self._route = self._find_route(configuration)
        self._account = self._find_account(configuration)
        self._choose_service(configuration)
        self._services.retry_budget(self._service).note_request()
        self._services.metrics.count_service_request(self._service)
        await self._reserve()
        while True:
            if await self._send_once():
                return

    def _read_head(self) -> RequestHead:
        try:
            return read_request_head(self._request.headers)
        except ValueError as error:
            raise self._fail(ResultCode.MALFORMED_REQUEST, str(error)) from error

    def _find_route(self, configuration: Configuration) -> Route:
        hosts = [v for name, v in self._request.headers if name.lower() == b"host"]
        if len(hosts) != 1:
            raise self._fail(ResultCode.MALFORMED_REQUEST, "not one host")
        host = hosts[0].decode("latin-1").strip().lower()
        path = self._request.target.decode("latin-1").partition("?")[0]
        route = configuration.find_route(host, path)
        if route is None:
            # Hosts may be named with their port.
            route = configuration.find_route(host.partition(":")[0], path)
        if route is None:
            raise self._fail(ResultCode.UNKNOWN_PATH)
        return route

    def _find_account(self, configuration: Configuration) -> ClientAccount | None:
        assert self._route is not None and self._head is not None
        if not configuration.accounts or self._route.is_public:
            return None
        account = configuration.account_by_key.get(self._head.key or "")
        if account is None:
            raise self._fail(ResultCode.UNAUTHENTICATED)
        return account

    def _choose_service(self, configuration: Configuration) -> None:
        assert self._route is not None and self._head is not None
        parts = self._route.services
        names = [name for name, _ in parts]
        weights = [weight for _, weight in parts]
        self._service = self._services.random.choices(names, weights)[0]
        service = configuration.services.get(self._service)
        self._engine = None if service is None else service.engine
        left_s = self._route.timeout_s
        if self._head.deadline_s is not None:
            left_s = min(left_s, self._head.deadline_s)
        self._limit_at = self._request.arrived_at + left_s
        self._work = Work(parts=self._head.prefix, tokens=self._head.prompt_tokens)
        if self._route.kind is RequestKind.STREAM:
            self._stream = StreamState(last_event_id=self._head.last_event_id)
        self._fingerprint = make_fingerprint(
            self._request.target,
            self._account.name if self._account else "",
            self._request.body,
        )

    async def _reserve(self) -> None:
        assert self._head is not None
        account = self._account
        if account is None or account.prepaid_tokens is None:
            return
        tokens = self._head.max_tokens
        if tokens == 0:
            return
        max_wait_s = (self._limit_at - self._loop.time()) * QUEUE_WAIT_SHARE
        asked_at = self._loop.time()
        refusal = await self._services.desk.reserve(
            account.name, tokens, max_wait_s, self._head.request_id
        )
        self._token_wait_s = self._loop.time() - asked_at
        if refusal is not None:
            raise _RefusedError(refusal)
        self._reserved = tokens

    async def _send_once(self) -> bool:
        """Send the request to one server; tell whether it has its final answer."""
        if self._services.poison.is_poison(self._fingerprint):
            raise self._fail(ResultCode.QUARANTINED)
        server = await self._choose_server()
        self._check_still_allowed()
        connection = await self._connect(server)
        if connection is None:
            return False
        if self._sends and not self._take_repeat():
            self._services.pool.release(connection)
            raise self._fail(ResultCode.RETRY_BUDGET_SPENT, retry_after_s=1.0)
        outcome = await self._exchange(server, connection)
        return self._judge(server, outcome)

    async def _choose_server(self) -> BackendServer:
        assert self._route is not None
        if len(self._tried) > MAX_CONNECTS + self._route.max_attempts:
            raise self._fail(ResultCode.NO_BACKEND, retry_after_s=NO_SERVER_RETRY_S)
        wait_s = (self._limit_at - self._loop.time()) * QUEUE_WAIT_SHARE
        until = self._loop.time() + wait_s
        asked_at = self._loop.time()
        server = await self._services.line.find_place(
            self._service, self._work, self._engine, self._tried, self._rank, until
        )
        self._place_wait_s += self._loop.time() - asked_at
        if server is not None:
            return server
        if self._services.directory.list_usable(self._service):
            retry_s = OVERLOAD_RETRY_S * self._services.random.uniform(0.75, 1.25)
            raise self._fail(ResultCode.OVERLOADED, retry_after_s=retry_s)
        raise self._fail(ResultCode.NO_BACKEND, retry_after_s=NO_SERVER_RETRY_S)

    @property
    def _rank(self) -> int:
        assert self._route is not None
        if self._account is not None and self._account.priority is not None:
            return self._account.priority
        return self._route.priority

    def _check_still_allowed(self) -> None:
        """Refuse what the configuration in force no longer allows."""
        configuration = self._services.configuration.current
        assert configuration is not None and self._route is not None
        route = self._find_route(configuration)
        self._find_account(configuration)
        if self._attempts == 0 and route is not self._route:
            self._route = route
            if self._service not in [name for name, _ in route.services]:
                raise self._fail(ResultCode.NO_BACKEND, retry_after_s=0.1)
        if self._limit_at - self._loop.time() < MIN_LEFT_S:
            raise self._fail(ResultCode.DEADLINE_PASSED)

    async def _connect(self, server: BackendServer) -> Connection | None:
        connection = self._services.pool.acquire_idle(server.address)
        if connection is not None:
            return connection
        try:
            return await self._services.pool.open(server.address)
        except ConnectError as error:
            self._tried.append(server.id)
            self._services.note_unreachable(server, str(error))
            return None

    def _take_repeat(self) -> bool:
        bounds = self._services.settings.bounds
        budget = self._services.retry_budget(self._service)
        hosts = self._services.count_hosts()
        if budget.take(bounds.retry_ratio, bounds.retry_slack, hosts):
            return True
        requests, repeats = budget.count()
        self._services.metrics.count_send(self._service, "withheld")
        self._services.log.write(
            "request: repeat withheld",
            request=self._id,
            service=self._service,
            requests=requests,
            repeats=repeats,
            hosts=hosts,
        )
        return False

    async def _exchange(self, server: BackendServer, connection: Connection) -> Outcome:
        assert self._head is not None and self._route is not None
        placement = self._services.placement
        ticket = next(_tickets)
        unread = placement.note_sent(server.id, self._work, ticket)
        is_first = True

        def take_head(head: AnswerHead) -> None:
            nonlocal is_first
            if is_first:
                is_first = False
                placement.note_first(server.id, unread, ticket)
            if head.running is not None and head.waiting is not None:
                placement.note_told(server.id, head.running, head.waiting)

        relay = Relay(
            self._loop,
            self._caller,
            self._head.request_id,
            self._stream,
            take_head,
            self._services.answer_memory,
        )
        self._connection = connection
        self._tried.append(server.id)
        self._sends += 1
        kind = "first" if self._sends == 1 else "repeat"
        self._services.metrics.count_send(self._service, kind)
        sent_at = self._loop.time()
        load = placement.get_load(server.id)
        present = placement.estimate_present(server.id, sent_at)
        load_age_s = sent_at - load.told_at
        connection.start(self._encode(server), relay)
        try:
            outcome = await self._wait_for_answer(server, relay)
        finally:
            relay.release()
            if is_first:
                placement.note_first(server.id, unread, ticket)
            placement.note_end(server.id, ticket)
            self._services.line.note_room(self._service)
        if outcome.ending is Ending.BROKEN:
            self._drop_connection()
        else:
            self._connection = None
            self._services.pool.release(connection)
        self._services.log.write(
            "request: sent",
            request=self._id,
            send=self._sends,
            server=server.id,
            ending=outcome.ending.value,
            reason=outcome.reason,
            status=outcome.head.status if outcome.head else None,
            took_s=round(self._loop.time() - sent_at, 4),
            present=round(present, 1),
            load_age_s=round(load_age_s, 2) if load_age_s < MAX_AGE_S else None,
            unread_tokens=int(unread),
            failure_share=round(load.failure_share, 2),
        )
        return outcome

    def _encode(self, server: BackendServer) -> bytes:
        assert self._head is not None and self._route is not None
        left_s = None
        if self._head.deadline_s is not None:
            left_s = max(0.001, self._limit_at - self._loop.time())
        last_event_id = self._stream.last_event_id if self._stream else None
        head = encode_forwarded_head(
            self._request.method,
            self._request.target,
            self._head,
            body_bytes=len(self._request.body) if self._request.has_body else None,
            server_id=server.id,
            account=self._account.name if self._account else None,
            remaining_s=left_s,
            priority=None if self._engine is None else min(PRIORITY_LOWEST, self._rank),
            last_event_id=last_event_id,
        )
        return head + self._request.body

    async def _wait_for_answer(self, server: BackendServer, relay: Relay) -> Outcome:
        assert self._route is not None
        limit_at = self._limit_at + TIMEOUT_MARGIN_S
        may_go_on = self._may_repeat() and self._attempts < self._route.max_attempts
        try:
            if may_go_on:
                wait_s = max(
                    MIN_HEAD_WAIT_S, HEAD_WAIT_OBJECTIVES * self._route.objective_s
                )
                async with asyncio.timeout_at(
                    min(limit_at, self._loop.time() + wait_s)
                ):
                    await asyncio.shield(relay.first)
            async with asyncio.timeout_at(limit_at):
                return await self._watch_stream(relay, may_go_on)
        except TimeoutError:
            is_over = self._loop.time() >= self._limit_at
            if not is_over:
                self._services.note_failure(server, "no answer in time")
            reason = "time limit" if is_over else "no answer in time"
            return Outcome(ending=Ending.BROKEN, reason=reason)

    async def _watch_stream(self, relay: Relay, may_go_on: bool) -> Outcome:
        """Wait for the end; give a silent stream up where it can go on elsewhere."""
        if not may_go_on or self._stream is None:
            return await relay.done
        last = self._loop.time()
        while True:
            try:
                async with asyncio.timeout(STREAM_SILENCE_S):
                    return await asyncio.shield(relay.done)
            except TimeoutError:
                if self._stream.last_event_at <= last:
                    raise
                last = self._stream.last_event_at

    def _judge(self, server: BackendServer, outcome: Outcome) -> bool:
        """Answer the caller, or tell that the request goes to another server."""
        assert self._route is not None
        if outcome.ending is Ending.STREAMED:
            self._note_success(server)
            self._caller.end_stream()
            self._code = "ok"
            return True
        if outcome.ending is Ending.COMPLETE:
            return self._judge_answer(server, outcome)
        if outcome.ending is Ending.NOT_RUN:
            self._note_not_run(server, outcome)
            return self._go_on_or(ResultCode.OVERLOADED)
        self._has_run = True
        if outcome.reason == "time limit":
            return self._end_at_limit()
        self._services.note_failure(server, outcome.reason)
        if self._is_crash(outcome):
            self._services.poison.note_crash(self._fingerprint)
        return self._go_on_or(ResultCode.BACKEND_FAILED)

    def _judge_answer(self, server: BackendServer, outcome: Outcome) -> bool:
        assert outcome.head is not None and self._route is not None
        self._has_run = True
        status = outcome.head.status
        if status >= 500:
            self._services.note_failure(server, f"status {status}")
            if self._may_go_on():
                return False
        else:
            self._note_success(server)
        if status in (408, 421, 429, 503):
            # These promise that nothing ran, which the server does not say.
            raise self._fail(ResultCode.BACKEND_FAILED)
        if self._stream is not None and self._stream.is_started:
            self._caller.break_off()
            return True
        self._caller.send_answer(status, outcome.head.passed_on, outcome.body)
        self._code = "ok" if status < 400 else f"server {status}"
        return True

    def _end_at_limit(self) -> bool:
        if self._stream is not None and self._stream.is_started:
            self._code = "broken at limit"
            self._caller.break_off()
            return True
        raise self._fail(ResultCode.DEADLINE_PASSED)

    def _go_on_or(self, code: ResultCode) -> bool:
        """Tell that another server is tried, or end the request with `code`."""
        if self._may_go_on():
            return False
        if self._stream is not None and self._stream.is_started:
            self._code = "broken"
            self._caller.break_off()
            return True
        if code is ResultCode.OVERLOADED and not self._has_run:
            retry_s = OVERLOAD_RETRY_S * self._services.random.uniform(0.5, 1.0)
            raise self._fail(ResultCode.OVERLOADED, retry_after_s=retry_s)
        raise self._fail(ResultCode.BACKEND_FAILED)

    def _may_repeat(self) -> bool:
        assert self._route is not None
        return self._route.may_repeat

    def _may_go_on(self) -> bool:
        """Whether the request may be sent to another server now."""
        assert self._route is not None
        if self._has_run and not self._may_repeat():
            return False
        if self._attempts >= self._route.max_attempts:
            return False
        return self._limit_at - self._loop.time() > MIN_LEFT_S

    def _note_success(self, server: BackendServer) -> None:
        self._has_run = True
        self._services.placement.note_success(server.id)
        self._services.poison.clear(self._fingerprint)

    def _note_not_run(self, server: BackendServer, outcome: Outcome) -> None:
        assert outcome.head is not None
        if outcome.head.status == 421:
            self._misdirected += 1
            self._services.note_replaced(server)
            return
        self._services.placement.note_told(server.id, server.slots, server.slots)

    @staticmethod
    def _is_crash(outcome: Outcome) -> bool:
        return outcome.reason.startswith("connection")

    def _fail(
        self, code: ResultCode, detail: str = "", retry_after_s: float = 0.0
    ) -> _RefusedError:
        refusal = Refusal(
            code,
            is_not_run=not self._has_run,
            detail=detail,
            retry_after_s=retry_after_s,
        )
        return _RefusedError(refusal)

    def _refuse(self, refusal: Refusal) -> None:
        if self._stream is not None and self._stream.is_started:
            self._code = refusal.label
            self._caller.break_off()
            return
        self._code = refusal.label
        request_id = self._head.request_id if self._head else None
        status, lines = encode_refusal_head(request_id, refusal)
        self._caller.send_answer(status, lines, refusal.label.encode("ascii"))

    def _drop_connection(self) -> None:
        connection, self._connection = self._connection, None
        if connection is not None:
            connection.close()

    def _settle(self) -> None:
        if not self._reserved or self._account is None or self._head is None:
            return
        self._charged = self._count_used()
        self._services.book.settle(self._account.name, self._reserved, self._charged)
        self._reserved = 0
        self._services.desk.serve_waiters()

    def _count_used(self) -> int:
        """Return the tokens that the account is charged.

        These are the prompt's and those of the events handed on. A request of which
        the caller got nothing is free, unless the caller left while it was sent.
        """
        assert self._head is not None
        events = self._stream.events if self._stream else 0
        has_left = self._attempts > 0 and self._code == "caller gone"
        if not events and self._code != "ok" and not has_left:
            return 0
        per_event = self._engine.tokens_per_event if self._engine else 0
        return self._head.prompt_tokens + min(
            self._head.max_output_tokens, events * per_event
        )

    @property
    def _attempts(self) -> int:
        """Servers that the request was sent to and that were the ones meant."""
        return self._sends - self._misdirected

    @property
    def _id(self) -> str | None:
        return self._head.request_id if self._head else None

    def _log_end(self) -> None:
        now = self._loop.time()
        self._services.log.write(
            "request: ended",
            request=self._id,
            outcome=self._code,
            route=self._route.name if self._route else None,
            account=self._account.name if self._account else None,
            config=self._services.configuration.version,
            tokens=self._head.max_tokens if self._head else None,
            charged=self._charged,
            token_wait_s=round(self._token_wait_s, 4),
            place_wait_s=round(self._place_wait_s, 4),
            sends=self._sends,
            misdirected=self._misdirected,
            took_s=round(now - self._request.arrived_at, 4),
            events=self._stream.events if self._stream else None,
        )
        self._services.note_ended(self, self._route, self._account, self._code, now)
