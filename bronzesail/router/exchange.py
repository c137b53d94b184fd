"""Serves one request, from its routing to the settlement of its tokens.

The steps are: find the route, authenticate the client account, reserve tokens, choose
a backend server, forward the request, relay the response, and settle what was used.
"""

from __future__ import annotations

import asyncio
import functools
import math
from typing import TYPE_CHECKING

from ..errors import Refusal, ResultCode
from ..model import RequestKind
from ..platform import (
    encode_forwarded_head,
    encode_peer_request_head,
    encode_refusal_head,
    read_request_head,
)
from .admission import LinkRequest
from .connecting import Connector, send_ids
from .eligibility import HomeRegions
from .estimates import Claim
from .forwarding import MAX_FORWARDS
from .head_waiting import WithdrawnError, note_expected, wait_for_head
from .placement import Work
from .poison import make_fingerprint
from .relay import Ending, Outcome, Relay, StreamState
from .request_charge import RequestCharge
from .stream_resumption import look_up_beginning
from .stream_versions import UNDETERMINED

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
    from .forwarding import Target
    from .services import Services

__all__ = ["MAX_WAIT_SHARE", "Exchange"]

# Added to the deadline, so that a server's own response at the deadline is relayed
# rather than replaced by the router's refusal.
TIMEOUT_MARGIN_S = 0.02
# Servers that may fail to accept a connection, beside the route's attempts. Nothing is
# sent to these servers.
MAX_FAILED_CONNECTS = 4
# A server cannot respond within less than this before the deadline.
MIN_REMAINING_S = 0.05
# Share of the time before the deadline that a request waits for tokens or for a place
# at a server, at most.
MAX_WAIT_SHARE = 0.25
# A repeatable request is sent to another server if no response begins within this
# multiple of the route's latency objective.
HEAD_TIMEOUT_OBJECTIVES = 2.0
# Lower bound of that timeout: twice the 99th percentile of plain services' latency.
MIN_HEAD_TIMEOUT_S = 0.6
# Outcome of a send whose request was withdrawn, as another server will be sooner.
WITHDRAWN = "withdrawn from a slow server"
# A resumable stream is continued at another server after this long without an event.
STREAM_IDLE_TIMEOUT_S = 2.5
# Retry-After where a service has no usable server; servers return within seconds.
NO_BACKEND_RETRY_AFTER_S = 1.0
# Retry-After where all servers are full. It is multiplied by a random factor from a
# range of width one half, so that callers do not retry at the same moment.
OVERLOADED_RETRY_AFTER_S = 1.0
# Retry-After of a stream that began at a server whose entry has not arrived.
UNDETERMINED_RETRY_AFTER_S = 1.0
# A higher age means that the server has never reported its load.
MAX_LOAD_AGE_S = 1e6
# Retry-After of a request with a part that crashes servers.
QUARANTINE_RETRY_AFTER_S = 10.0
# Retry-After while this router drains: another host accepts the request at once.
DRAINING_RETRY_AFTER_S = 0.05
LOWEST_PRIORITY = 9  # Larger priority numbers are sent to engines as this one.


class _RefusedError(Exception):
    """Ends the processing of a request with a refusal."""

    def __init__(self, refusal: Refusal) -> None:
        super().__init__(refusal.label)
        self.refusal = refusal


class Exchange:
    """One request in progress; a task serves it as soon as it is created.

    Parameters
    ----------
    services : Services
        Components that all requests of the router share.
    caller : CallerConnection
        Connection that the response is written to.
    request : CallerRequest
        The request as the caller sent it.
    is_accepted : bool
        False if the request must be refused, because the process will end before the
        request could.
    """

    def __init__(
        self,
        services: Services,
        caller: CallerConnection,
        request: CallerRequest,
        *,
        is_accepted: bool = True,
    ) -> None:
        self._services = services
        self._loop = services.loop
        self._caller = caller
        self._request = request
        self._is_accepted = is_accepted
        self._sent_before = caller.n_sent
        self._connection: Connection | None = None
        self._head: RequestHead | None = None
        self._route: Route | None = None
        self._account: ClientAccount | None = None
        self._service = ""
        self._engine: Engine | None = None
        self._work = Work()
        # Replaced by the route's timeout and the caller's deadline.
        self._deadline_at = request.arrived_at + 15.0
        self._sends = 0
        self._misdirected_sends = 0
        self._may_have_run = False
        self._homes = HomeRegions(services.configuration, self._find_origin)
        self._fingerprint = ""
        self._charge: RequestCharge | None = None  # Once its account is known.
        self._stream: StreamState | None = None
        # Software version of the server that began the stream, once it has begun.
        self._version: str | None = None
        self._tried_server_ids: list[str] = []
        self._connector = Connector(services, self._tried_server_ids)
        self._asked_hosts: list[str] = []  # Routers that it was forwarded to.
        self._outcome_label = "aborted"
        self._place_wait_s = 0.0
        self._task = self._loop.create_task(self._run())

    def cancel(self) -> None:
        """Abort the request, because its caller closed the connection."""
        self._outcome_label = "caller gone"
        self._task.cancel()

    def pause(self) -> None:
        """Stop reading from the server, because the caller reads slowly."""
        if self._connection is not None:
            self._connection.pause()

    def resume(self) -> None:
        """Continue to read from the server."""
        if self._connection is not None:
            self._connection.resume()

    @property
    def task(self) -> asyncio.Task[None]:
        """The task that serves the request."""
        return self._task

    async def _run(self) -> None:
        """Serve the request; settle its tokens and log its end, however it ends."""
        try:
            await self._serve()
        except _RefusedError as error:
            self._send_refusal(error.refusal)
        except asyncio.CancelledError:
            pass
        except Exception as error:  # An error in one request must not end the process.
            self._services.log.write(
                "request: internal error", request=self._request_id, error=repr(error)
            )
            self._caller.abort_response()
        finally:
            self._close_connection()
            self._settle()
            answer_bytes = self._caller.n_sent - self._sent_before
            self._services.entry.note_ended(self, answer_bytes)
            self._log_end()

    async def _serve(self) -> None:
        """Check the request, reserve its tokens and send it until it is answered."""
        self._head = self._read_head()
        self._homes.set_limit(self._head.regions)
        if self._head.earlier_sends:
            self._sends = self._head.earlier_sends
            self._may_have_run = True
        if not self._is_accepted:
            raise self._make_refusal_error(
                ResultCode.DRAINING, retry_after_s=DRAINING_RETRY_AFTER_S
            )
        configuration = self._services.configuration.current
        if configuration is None or not self._services.evacuations.is_known:
            raise self._make_refusal_error(
                ResultCode.NO_BACKEND, retry_after_s=NO_BACKEND_RETRY_AFTER_S
            )
        self._route = self._find_route(configuration)
        self._account = self._find_account(configuration)
        if self._account is not None:
            self._charge = RequestCharge(self._services, self._account, self._head)
        self._choose_service(configuration)
        self._check_link()
        if await self._forward_if_cut_off():
            return
        await self._find_version(configuration)
        self._services.retry_budget(self._service).note_request()
        self._services.metrics.count_service_request(self._service)
        self._refuse_if_quarantined()
        await self._reserve()
        while True:
            if await self._try_one_server():
                return

    def _read_head(self) -> RequestHead:
        """Parse the headers, or refuse the request as malformed."""
        try:
            return read_request_head(self._request.headers)
        except ValueError as error:
            raise self._make_refusal_error(
                ResultCode.MALFORMED_REQUEST, str(error)
            ) from error

    def _find_route(self, configuration: Configuration) -> Route:
        """Return the route of the request's host and path, or refuse the request."""
        hosts = [v for name, v in self._request.headers if name.lower() == b"host"]
        if len(hosts) != 1:
            raise self._make_refusal_error(
                ResultCode.MALFORMED_REQUEST, "exactly one Host header is required"
            )
        host = hosts[0].decode("latin-1").strip().lower()
        path = self._request.target.decode("latin-1").partition("?")[0]
        route = configuration.find_route(host, path)
        if route is None:
            # The Host header may contain a port that the route's host does not.
            route = configuration.find_route(host.partition(":")[0], path)
        if route is None:
            raise self._make_refusal_error(ResultCode.UNKNOWN_PATH)
        return route

    def _find_account(self, configuration: Configuration) -> ClientAccount | None:
        """Return the account of the request's key, or refuse an unknown key.

        Public routes, and all routes while no accounts are configured, need no key.
        """
        assert self._route is not None and self._head is not None
        if not configuration.accounts or self._route.is_public:
            return None
        account = configuration.account_by_key.get(self._head.key or "")
        if account is None:
            raise self._make_refusal_error(ResultCode.UNAUTHENTICATED)
        return account

    def _find_origin(
        self, configuration: Configuration
    ) -> tuple[Route, ClientAccount | None] | None:
        """Return the route and account in a configuration, None if it has none."""
        try:
            return self._find_route(configuration), self._find_account(configuration)
        except _RefusedError:
            return None

    def _choose_service(self, configuration: Configuration) -> None:
        """Draw a service by the route's weights and set what depends on the route."""
        assert self._route is not None and self._head is not None
        weighted_services = self._route.services
        names = [name for name, _ in weighted_services]
        weights = [weight for _, weight in weighted_services]
        service = self._services.random.choices(names, weights)[0]
        self._set_service(service, configuration)
        timeout_s = self._route.timeout_s
        if self._head.deadline_s is not None:
            timeout_s = min(timeout_s, self._head.deadline_s)
        self._deadline_at = self._request.arrived_at + timeout_s
        self._work = Work(
            parts=self._head.prefix,
            tokens=self._head.prompt_tokens,
            objective_s=self._route.objective_s,
        )
        if self._route.kind is RequestKind.STREAM:
            self._stream = StreamState(last_event_id=self._head.last_event_id)
        self._fingerprint = make_fingerprint(
            self._request.target,
            self._account.name if self._account else "",
            self._request.body,
        )

    def _set_service(self, name: str, configuration: Configuration) -> None:
        """Set the service that the request is sent to."""
        self._service = name
        service = configuration.services.get(name)
        self._engine = None if service is None else service.engine

    def _check_link(self) -> None:
        """Refuse a request that this host's link does not carry in time.

        One that may have run was admitted by the router that has forwarded it.
        """
        assert self._head is not None and self._route is not None
        if self._may_have_run:
            return
        retry_after_s = self._services.entry.admit(
            self,
            self._caller,
            LinkRequest(
                route=self._route.name,
                account=self._account.name if self._account else "",
                rank=self._priority,
                request_bytes=len(self._request.body) + len(self._head.forwarded),
                remaining_s=self._deadline_at - self._loop.time(),
                objective_s=self._route.objective_s,
            ),
        )
        if retry_after_s is not None:
            raise self._make_refusal_error(
                ResultCode.LINK_SATURATED, retry_after_s=retry_after_s
            )

    async def _find_version(self, configuration: Configuration) -> None:
        """Find out where a stream that the caller takes up may go on, or refuse it."""
        assert self._route is not None and self._head is not None
        if self._stream is None or self._head.last_event_id is None:
            return
        max_wait_s = (self._deadline_at - self._loop.time()) * MAX_WAIT_SHARE
        beginning = await look_up_beginning(
            self._services.stream_lookup,
            self._head.resumes or "",
            self._service,
            max_wait_s,
        )
        if beginning is None:
            raise self._make_refusal_error(ResultCode.STREAM_UNKNOWN)
        if beginning.version == UNDETERMINED:
            raise self._make_refusal_error(
                ResultCode.STREAM_UNKNOWN,
                "the version that began the stream is not known yet",
                retry_after_s=UNDETERMINED_RETRY_AFTER_S,
            )
        if beginning.service not in [name for name, _ in self._route.services]:
            raise self._make_refusal_error(
                ResultCode.NO_BACKEND, "the service that began the stream is not in use"
            )
        self._set_service(beginning.service, configuration)
        self._version = beginning.version

    async def _reserve(self) -> None:
        """Reserve the most tokens that the request can cost, if its account prepays."""
        if self._charge is None:
            return
        max_wait_s = (self._deadline_at - self._loop.time()) * MAX_WAIT_SHARE
        refusal = await self._charge.reserve(max_wait_s)
        if refusal is not None:
            raise _RefusedError(refusal)

    async def _try_one_server(self) -> bool:
        """Try one server; return whether the caller has received the final response."""
        self._refuse_if_quarantined()
        if await self._forward_if_cut_off():
            return True
        await self._reserve()  # Again, if the tokens were transferred.
        server = await self._choose_server()
        try:
            self._refuse_if_quarantined()
            self._check_still_allowed()
            connection = await self._connect(server)
        finally:
            self._services.admission_queue.end_assignment(server)
        if connection is None:
            return False
        if not self._services.is_available(
            server, self._homes.find()
        ) or not self._connector.may_continue_at(
            server, connection, self._version, self._request_id
        ):
            # It has withdrawn, started again before its entry says so, or the home
            # regions have changed.
            self._services.pool.release(connection)
            return False
        if self._sends and not self._spend_retry():
            self._services.pool.release(connection)
            raise self._make_refusal_error(
                ResultCode.RETRY_BUDGET_SPENT, retry_after_s=1.0
            )
        outcome = await self._exchange(server, connection)
        return await self._process_outcome(server, outcome)

    async def _forward_if_cut_off(self) -> bool:
        """Let another router serve the request if no server is reached from here.

        Returns whether the caller has received the final response.
        """
        while self._may_forward():
            try:
                async with asyncio.timeout_at(self._deadline_at):
                    found = await self._services.forwarder.connect(
                        self._service, self._asked_hosts, self._homes.find
                    )
            except TimeoutError as error:
                raise self._make_refusal_error(ResultCode.DEADLINE_PASSED) from error
            if found is None:
                return False
            target, connection = found
            self._asked_hosts.append(target.host)
            self._connection = connection
            if self._charge is not None:
                await self._charge.transfer(target, self._compute_charge())
            if not self._services.forwarder.is_in_regions(target, self._homes.find()):
                self._close_connection()
                continue
            outcome = await self._exchange_with_peer(target, connection)
            if self._process_peer_outcome(outcome):
                return True
        return False

    def _may_forward(self) -> bool:
        """Whether the request may be forwarded to another router now."""
        assert self._head is not None and self._route is not None
        return (
            self._head.earlier_sends is None
            and len(self._asked_hosts) < MAX_FORWARDS
            and (not self._may_have_run or self._may_retry())
            and self._services.links.is_cut_off(
                self._service, self._version, self._homes.find()
            )
        )

    async def _exchange_with_peer(
        self, target: Target, connection: Connection
    ) -> Outcome:
        """Forward the request to another router and relay the response."""
        assert self._head is not None
        relay = Relay(
            self._loop,
            self._caller,
            self._head.request_id,
            self._stream,
            lambda _: None,
            lambda: None,
            self._services.answer_memory,
        )
        events_before = self._stream.events if self._stream else 0
        self._connection = connection
        self._services.metrics.count_send(self._service, "forwarded")
        sent_at = self._loop.time()
        connection.start(self._encode_for_peer(), relay)
        try:
            outcome = await self._wait_for_response(None, relay)
        finally:
            relay.release()
            if self._stream is not None and self._charge is not None:
                self._charge.forwarded_events += self._stream.events - events_before
        self._release_connection(connection, outcome)
        self._services.log.write(
            "request: forwarded",
            request=self._request_id,
            peer=target.host,
            service=self._service,
            sends=self._sends,
            ending=outcome.ending.value,
            reason=outcome.reason,
            status=outcome.head.status if outcome.head else None,
            took_s=round(self._loop.time() - sent_at, 4),
        )
        return outcome

    def _encode_for_peer(self) -> bytes:
        """Return the request as it is forwarded to another router."""
        assert self._head is not None
        last_event_id = resumes = None
        if self._stream is not None and self._stream.events:
            last_event_id = self._stream.last_event_id
            resumes = self._head.resumes or self._head.request_id
        head = encode_peer_request_head(
            self._request.method,
            self._request.target,
            self._request.headers,
            body_bytes=len(self._request.body) if self._request.has_body else None,
            remaining_s=max(0.001, self._deadline_at - self._loop.time()),
            sends=self._sends,
            last_event_id=last_event_id,
            resumes=resumes,
            regions=self._homes.find(),
        )
        return head + self._request.body

    def _process_peer_outcome(self, outcome: Outcome) -> bool:
        """Process the end of a forwarded request; return False to go on elsewhere."""
        if outcome.ending is Ending.STREAMED:
            self._caller.end_stream()
            self._outcome_label = "forwarded"
            return True
        if outcome.ending is Ending.BROKEN:
            self._may_have_run = True
            self._sends += 1  # By the other router, as far as is known.
            if outcome.reason == "time limit":
                return self._end_at_deadline()
            return self._retry_or_fail(ResultCode.BACKEND_FAILED)
        assert outcome.head is not None
        status = outcome.head.status
        if status == 503 and len(self._asked_hosts) < MAX_FORWARDS:
            return False  # Not executed there.
        if self._stream is not None and self._stream.is_started:
            self._caller.abort_response()
        else:
            self._caller.send_response(status, outcome.head.passed_on, outcome.body)
        self._outcome_label = f"forwarded {status}"
        return True

    def _refuse_if_quarantined(self) -> None:
        """Refuse a request that is known to crash servers, or has a part that does."""
        if self._services.poison.is_poison(self._fingerprint):
            raise self._make_refusal_error(ResultCode.QUARANTINED)
        part = self._services.crashing_parts.find_quarantined(self._shared_parts)
        if part is not None:
            self._services.log.write(
                "request: refused for a part of its prompt",
                request=self._request_id,
                part=part,
            )
            raise self._make_refusal_error(
                ResultCode.QUARANTINED,
                f"servers crashed under part {part} of the prompt",
                retry_after_s=QUARANTINE_RETRY_AFTER_S,
            )

    @property
    def _shared_parts(self) -> list[str]:
        """Ids of the prompt's parts that other requests may have too."""
        assert self._head is not None
        return [part for part, _ in self._head.prefix[:-1]]

    async def _choose_server(self) -> BackendServer:
        """Wait for a place at a server not tried yet, or refuse the request."""
        assert self._route is not None
        if len(self._tried_server_ids) > MAX_FAILED_CONNECTS + self._route.max_attempts:
            raise self._make_refusal_error(
                ResultCode.NO_BACKEND, retry_after_s=NO_BACKEND_RETRY_AFTER_S
            )
        wait_s = (self._deadline_at - self._loop.time()) * MAX_WAIT_SHARE
        wait_until = self._loop.time() + wait_s
        asked_at = self._loop.time()
        self._refuse_if_hopeless(wait_until)
        claim = Claim(
            deadline_at=self._deadline_at,
            arrived_at=self._request.arrived_at,
            key=self._fingerprint,
        )
        server = await self._services.admission_queue.find_server(
            self._service,
            self._work,
            self._engine,
            self._tried_server_ids,
            self._priority,
            wait_until,
            self._version,
            self._homes.find,
            claim,
        )
        self._place_wait_s += self._loop.time() - asked_at
        if server is not None:
            return server
        if claim.capacity_at is not None:
            self._services.log.write(
                "request: refused as it would start too late",
                request=self._request_id,
                service=self._service,
                remaining_s=round(self._deadline_at - self._loop.time(), 3),
                capacity_in_s=round(claim.capacity_at - self._loop.time(), 3),
            )
            raise self._make_overloaded_error(
                claim.capacity_at, "no server is expected to respond in time"
            )
        self._refuse_if_hopeless(wait_until)
        if self._list_usable():
            raise self._make_overloaded_error()
        raise self._make_refusal_error(
            ResultCode.NO_BACKEND, retry_after_s=NO_BACKEND_RETRY_AFTER_S
        )

    def _refuse_if_hopeless(self, wait_until: float) -> None:
        """Refuse the request at once if no server can be expected to accept it in time.

        That is so if all servers have been tried, or accept no request of this router
        for longer than the request may wait.
        """
        usable = self._list_usable()
        if not usable:
            reason = self._services.directory.explain_ineligible(
                self._service, self._homes.find()
            )
            if reason:
                raise self._make_refusal_error(
                    ResultCode.NO_BACKEND,
                    reason,
                    retry_after_s=NO_BACKEND_RETRY_AFTER_S,
                )
            if self._version is not None:
                raise self._make_refusal_error(
                    ResultCode.NO_BACKEND,
                    f"no server of version {self._version} is left",
                )
            return
        resume_at = self._services.admission_queue.find_resume_time(
            self._service,
            rank=self._priority,
            version=self._version,
            regions=self._homes.find(),
        )
        is_pausing = resume_at is not None and resume_at > wait_until
        if is_pausing or all(s.id in self._tried_server_ids for s in usable):
            raise self._make_overloaded_error(resume_at)

    def _list_usable(self) -> list[BackendServer]:
        """Return the servers that this request may be sent to."""
        return self._services.directory.list_usable(
            self._service, self._version, self._homes.find()
        )

    def _make_overloaded_error(
        self,
        resume_at: float | None = None,
        detail: str = "all servers pause or limit their requests",
    ) -> _RefusedError:
        """Return the refusal of a request that finds no place at a server.

        `resume_at` is when the first server accepts requests of this router again,
        None if one does now; see `AdmissionQueue.find_resume_time`.
        """
        if resume_at is None or math.isinf(resume_at):
            retry_s = OVERLOADED_RETRY_AFTER_S * self._services.random.uniform(
                0.75, 1.25
            )
            return self._make_refusal_error(
                ResultCode.OVERLOADED, retry_after_s=retry_s
            )
        pause_s = resume_at - self._loop.time()
        return self._make_refusal_error(
            ResultCode.OVERLOADED,
            detail,
            retry_after_s=pause_s * self._services.random.uniform(1.0, 1.25),
        )

    @property
    def _priority(self) -> int:
        """The account's priority, or else the route's; lower numbers go first."""
        assert self._route is not None
        if self._account is not None and self._account.priority is not None:
            return self._account.priority
        return self._route.priority

    def _check_still_allowed(self) -> None:
        """Refuse a request that the current configuration no longer allows.

        The configuration may have changed while the request waited for tokens or for
        a place.
        """
        configuration = self._services.configuration.current
        assert configuration is not None and self._route is not None
        route = self._find_route(configuration)
        self._find_account(configuration)
        if self._attempts == 0 and route is not self._route:
            self._route = route
            if self._service not in [name for name, _ in route.services]:
                raise self._make_refusal_error(ResultCode.NO_BACKEND, retry_after_s=0.1)
        if self._deadline_at - self._loop.time() < MIN_REMAINING_S:
            raise self._make_refusal_error(ResultCode.DEADLINE_PASSED)

    async def _connect(self, server: BackendServer) -> Connection | None:
        """Return a connection to a server, or None if it cannot be reached.

        The attempt ends with the request's deadline.
        """
        may_ask = self._engine is not None and server.born_ms > 0
        try:
            async with asyncio.timeout_at(self._deadline_at):
                return await self._connector.connect(
                    server,
                    is_resumable=self._stream is not None and self._is_repeatable(),
                    may_ask=may_ask,
                )
        except TimeoutError as error:
            raise self._make_refusal_error(ResultCode.DEADLINE_PASSED) from error

    def _spend_retry(self) -> bool:
        """Spend one retry of the service's budget; return whether one was left."""
        bounds = self._services.settings.bounds
        budget = self._services.retry_budget(self._service)
        hosts = self._services.count_hosts()
        if budget.try_acquire(bounds.retry_ratio, bounds.retry_slack, hosts):
            return True
        requests, repeats = budget.count()
        self._services.metrics.count_send(self._service, "withheld")
        self._services.log.write(
            "request: retry denied by the retry budget",
            request=self._request_id,
            service=self._service,
            requests=requests,
            repeats=repeats,
            hosts=hosts,
        )
        return False

    async def _exchange(self, server: BackendServer, connection: Connection) -> Outcome:
        """Send the request over a connection and relay the response."""
        assert self._head is not None and self._route is not None
        placement = self._services.placement
        ticket = next(send_ids)
        expected_s = note_expected(
            self._services, server, self._work, self._engine, ticket
        )
        unread_tokens = placement.note_sent(server.id, self._work, ticket)
        is_waiting_for_head = True

        def on_head(head: AnswerHead) -> None:
            nonlocal is_waiting_for_head
            if is_waiting_for_head:
                is_waiting_for_head = False
                placement.note_response_started(server.id, unread_tokens, ticket)
            if head.running is not None and head.waiting is not None:
                placement.note_load_report(
                    server.id, head.running, head.waiting, head.slowness
                )
            self._services.note_answer_head(server, head)

        def on_begun() -> None:
            latency_s = self._loop.time() - sent_at
            self._services.pace.note_answer(server, latency_s, unread_tokens)
            self._note_begun(server, connection, ticket)

        relay = Relay(
            self._loop,
            self._caller,
            self._head.request_id,
            self._stream,
            on_head,
            on_begun,
            self._services.answer_memory,
        )
        self._connection = connection
        self._tried_server_ids.append(server.id)
        self._sends += 1
        kind = "first" if self._sends == 1 else "repeat"
        self._services.metrics.count_send(self._service, kind)
        sent_at = self._loop.time()
        load = placement.get_load(server.id)
        present = placement.estimate_requests(server.id, sent_at)
        load_age_s = sent_at - load.reported_at
        connection.start(self._encode_request(server), relay)
        try:
            outcome = await self._wait_for_response(server, relay, expected_s)
        finally:
            relay.release()
            if is_waiting_for_head:
                placement.note_response_started(server.id, unread_tokens, ticket)
            placement.note_request_ended(server.id, ticket)
            # Once the outcome is recorded: a rejection leaves no place to the next one.
            self._loop.call_soon(self._services.admission_queue.dispatch, self._service)
        self._release_connection(connection, outcome)
        self._services.log.write(
            "request: sent",
            request=self._request_id,
            send=self._sends,
            server=server.id,
            version=server.version,
            born_ms=server.born_ms,
            connection_age_s=round(sent_at - connection.opened_at, 2),
            ending=outcome.ending.value,
            reason=outcome.reason,
            status=outcome.head.status if outcome.head else None,
            took_s=round(self._loop.time() - sent_at, 4),
            present=round(present, 1),
            expected_s=None if expected_s is None else round(expected_s, 3),
            load_age_s=round(load_age_s, 2) if load_age_s < MAX_LOAD_AGE_S else None,
            unread_tokens=int(unread_tokens),
            failure_share=round(load.failure_share, 2),
        )
        return outcome

    def _note_begun(
        self, server: BackendServer, connection: Connection, ticket: int
    ) -> None:
        """Record that a server has begun to write its answer."""
        assert self._head is not None
        self._services.placement.speed.note_begun(server.id, ticket)
        self._services.crashing_parts.note_begun(self._shared_parts)
        if self._stream is None or self._version is not None:
            return
        lives = self._services.lives
        version = lives.find_version(server, connection)
        if version is not None:
            self._note_version(version)
        elif self._is_repeatable():
            self._services.log.write(
                "stream: begun at a server whose version is not known",
                request=self._request_id,
                server=server.id,
            )
            self._services.stream_lookup.note_undetermined(
                self._head.request_id, self._service
            )
            lives.add_watcher(server, connection, self._note_version)

    def _note_version(self, version: str) -> None:
        """Record the software version that has begun the stream."""
        assert self._head is not None
        self._version = version
        self._services.stream_lookup.note_begun(
            self._head.request_id, self._service, version
        )

    def _encode_request(self, server: BackendServer) -> bytes:
        """Return the request as it is sent to a server, with the router's headers."""
        assert self._head is not None and self._route is not None
        remaining_s = None
        if self._head.deadline_s is not None:
            remaining_s = max(0.001, self._deadline_at - self._loop.time())
        last_event_id = self._stream.last_event_id if self._stream else None
        head = encode_forwarded_head(
            self._request.method,
            self._request.target,
            self._head,
            body_bytes=len(self._request.body) if self._request.has_body else None,
            server_id=server.id,
            account=self._account.name if self._account else None,
            remaining_s=remaining_s,
            priority=None
            if self._engine is None
            else min(LOWEST_PRIORITY, self._priority),
            last_event_id=last_event_id,
        )
        return head + self._request.body

    async def _wait_for_response(
        self,
        server: BackendServer | None,
        relay: Relay,
        expected_s: float | None = None,
    ) -> Outcome:
        """Return the outcome, or a broken one where a timeout passes first.

        `server` is None if the request was forwarded to another router. `expected_s` is
        the expected time to the first event, None if the server reports no speed.
        A request that may still be sent to another server has a shorter timeout, until
        the head arrives.
        """
        assert self._route is not None
        timeout_at = self._deadline_at + TIMEOUT_MARGIN_S
        can_retry = self._is_repeatable() and self._attempts < self._route.max_attempts
        give_up = functools.partial(self._take_back, relay)
        if can_retry and server is not None:
            self._services.links.add_watcher(self._service, give_up)
        try:
            if can_retry:
                await self._wait_for_head(server, relay, expected_s)
            async with asyncio.timeout_at(timeout_at):
                return await self._watch_stream(relay, can_retry)
        except WithdrawnError:
            return Outcome(ending=Ending.BROKEN, reason=WITHDRAWN)
        except TimeoutError:
            is_past_deadline = self._loop.time() >= self._deadline_at
            if not is_past_deadline and server is not None:
                self._services.note_failure(server, "no response in time")
            reason = "time limit" if is_past_deadline else "no response in time"
            return Outcome(ending=Ending.BROKEN, reason=reason)
        finally:
            self._services.links.remove_watcher(self._service, give_up)

    async def _wait_for_head(
        self, server: BackendServer | None, relay: Relay, expected_s: float | None
    ) -> None:
        """Wait for the head of a response that another server may give instead.

        Raises
        ------
        TimeoutError
            If it does not begin in time, unless the link is congested: a second send
            would only add load.
        """
        assert self._route is not None
        timeout_at = self._deadline_at + TIMEOUT_MARGIN_S
        wait_s = max(
            MIN_HEAD_TIMEOUT_S, HEAD_TIMEOUT_OBJECTIVES * self._route.objective_s
        )
        if server is None or expected_s is None or self._services.entry.is_congested():
            await self._wait_for_usual_time(relay, timeout_at, wait_s)
            return
        tried = self._tried_server_ids
        await wait_for_head(
            self._services,
            server,
            relay,
            self._work,
            self._engine,
            others=[s for s in self._list_usable() if s.id not in tried],
            expected_s=expected_s,
            usual_s=wait_s,
            deadline_at=timeout_at,
        )

    async def _wait_for_usual_time(
        self, relay: Relay, timeout_at: float, wait_s: float
    ) -> None:
        """Wait for a head for as long as other servers are usually not tried."""
        try:
            async with asyncio.timeout_at(min(timeout_at, self._loop.time() + wait_s)):
                await asyncio.shield(relay.head_done)
        except TimeoutError:
            if not self._services.entry.is_congested():
                raise

    def _take_back(self, relay: Relay) -> None:
        """End the wait for a server out of reach, if another router may reach one."""
        if self._services.forwarder.has_target(self._service, self._homes.find()):
            relay.response_failed("no server is reached")

    async def _watch_stream(self, relay: Relay, can_retry: bool) -> Outcome:
        """Wait for the end of the response.

        Raises
        ------
        TimeoutError
            If a stream that another server can continue sends no event for
            `STREAM_IDLE_TIMEOUT_S`.
        """
        if not can_retry or self._stream is None:
            return await relay.done
        last_event_at = self._loop.time()
        while True:
            try:
                async with asyncio.timeout(STREAM_IDLE_TIMEOUT_S):
                    return await asyncio.shield(relay.done)
            except TimeoutError:
                is_idle = self._stream.last_event_at <= last_event_at
                if is_idle and not self._services.entry.is_congested():
                    raise
                last_event_at = self._stream.last_event_at

    async def _process_outcome(self, server: BackendServer, outcome: Outcome) -> bool:
        """Process the end of one attempt.

        Returns True once the caller has the final response, False if the request is to
        be sent to another server.
        """
        assert self._route is not None
        if outcome.ending is Ending.STREAMED:
            self._note_success(server)
            self._caller.end_stream()
            self._outcome_label = "ok"
            return True
        if outcome.ending is Ending.COMPLETE:
            return self._process_response(server, outcome)
        if outcome.ending is Ending.NOT_RUN:
            self._note_not_run(server, outcome)
            return self._retry_or_fail(ResultCode.OVERLOADED)
        self._may_have_run = True
        if outcome.reason == "time limit":
            return self._end_at_deadline()
        if outcome.reason == WITHDRAWN:
            return self._retry_or_fail(ResultCode.BACKEND_FAILED)
        self._services.note_failure(server, outcome.reason)
        is_link_to_blame = self._services.is_link_to_blame(outcome.reason)
        if self._is_crash(outcome) and not is_link_to_blame:
            await self._check_crash(server, outcome)
        return self._retry_or_fail(ResultCode.BACKEND_FAILED)

    async def _check_crash(self, server: BackendServer, outcome: Outcome) -> None:
        """Hold the request responsible for a server's crash, before most retries.

        The parts of its prompt are suspected if the server had not begun to answer.
        """
        parts = [] if outcome.has_begun else self._shared_parts
        checking = self._services.note_crash(
            server, self._request_id, self._fingerprint, parts
        )
        if self._may_retry() and not outcome.has_begun:
            await asyncio.shield(checking)

    def _process_response(self, server: BackendServer, outcome: Outcome) -> bool:
        """Send a collected response to the caller; return False to retry instead.

        A server error is retried where the request may be repeated.
        """
        assert outcome.head is not None and self._route is not None
        self._may_have_run = True
        status = outcome.head.status
        if status >= 500:
            self._services.note_failure(server, f"status {status}")
            if self._may_retry():
                return False
        else:
            self._note_success(server)
        if status in (408, 421, 429, 503):
            # From a router these statuses mean that the request did not run. The server
            # sent no such statement, so they cannot be passed on.
            raise self._make_refusal_error(ResultCode.BACKEND_FAILED)
        if self._stream is not None and self._stream.is_started:
            self._caller.abort_response()
            return True
        self._caller.send_response(status, outcome.head.passed_on, outcome.body)
        self._outcome_label = "ok" if status < 400 else f"server {status}"
        return True

    def _end_at_deadline(self) -> bool:
        """Abort a stream that has begun, or refuse the request, at the deadline."""
        if self._stream is not None and self._stream.is_started:
            self._outcome_label = "broken at limit"
            self._caller.abort_response()
            return True
        raise self._make_refusal_error(ResultCode.DEADLINE_PASSED)

    def _retry_or_fail(self, code: ResultCode) -> bool:
        """Return False to try another server, or else end the request with `code`."""
        if self._may_retry():
            return False
        if self._stream is not None and self._stream.is_started:
            self._outcome_label = "broken"
            self._caller.abort_response()
            return True
        if code is ResultCode.OVERLOADED and not self._may_have_run:
            retry_s = OVERLOADED_RETRY_AFTER_S * self._services.random.uniform(0.5, 1.0)
            raise self._make_refusal_error(ResultCode.OVERLOADED, retry_after_s=retry_s)
        raise self._make_refusal_error(ResultCode.BACKEND_FAILED)

    def _is_repeatable(self) -> bool:
        """Whether the route allows sending a request again that may have run."""
        assert self._route is not None
        return self._route.may_repeat

    def _may_retry(self) -> bool:
        """Whether the request may be sent to another server now."""
        assert self._route is not None
        if self._may_have_run and not self._is_repeatable():
            return False
        if self._attempts >= self._route.max_attempts:
            return False
        if self._stream is not None and self._stream.events and self._version is None:
            return False  # Another router knows which version began the stream.
        return self._deadline_at - self._loop.time() > MIN_REMAINING_S

    def _note_success(self, server: BackendServer) -> None:
        """Record that the server ran the request without a failure."""
        self._may_have_run = True
        self._services.placement.note_success(server.id)
        self._services.poison.clear(self._fingerprint)

    def _note_not_run(self, server: BackendServer, outcome: Outcome) -> None:
        """Record that the server did not run the request.

        Status 421 means that another server has replaced it at its address. After any
        other status its slots count as full, with as many requests waiting, unless it
        has said when it is available again.
        """
        assert outcome.head is not None
        if outcome.head.status == 421:
            self._misdirected_sends += 1
            self._services.note_replaced(server)
            return
        self._services.note_rejected(server)
        if outcome.head.pause_s is None:
            self._services.placement.note_load_report(
                server.id, server.slots, server.slots
            )

    @staticmethod
    def _is_crash(outcome: Outcome) -> bool:
        """Whether the connection ended, as it does when the server crashes."""
        return outcome.reason.startswith("connection")

    def _make_refusal_error(
        self, code: ResultCode, detail: str = "", retry_after_s: float = 0.0
    ) -> _RefusedError:
        """Return the exception that refuses the request with a result code."""
        refusal = Refusal(
            code,
            is_not_run=not self._may_have_run,
            detail=detail,
            retry_after_s=retry_after_s,
        )
        return _RefusedError(refusal)

    def _send_refusal(self, refusal: Refusal) -> None:
        """Send a refusal to the caller, or abort a stream that has begun."""
        if self._stream is not None and self._stream.is_started:
            self._outcome_label = refusal.label
            self._caller.abort_response()
            return
        self._outcome_label = refusal.label
        request_id = self._head.request_id if self._head else None
        status, lines = encode_refusal_head(request_id, refusal)
        self._caller.send_response(status, lines, refusal.label.encode("ascii"))

    def _release_connection(self, connection: Connection, outcome: Outcome) -> None:
        """Return a connection to the pool; close it if its response is broken."""
        if outcome.ending is Ending.BROKEN:
            self._close_connection()
            return
        self._connection = None
        self._services.pool.release(connection)

    def _close_connection(self) -> None:
        """Close the connection to the server, which ends the work for the request."""
        connection, self._connection = self._connection, None
        if connection is not None:
            connection.close()

    def _settle(self) -> None:
        """Charge the tokens used and release the rest of the reservation."""
        if self._charge is None:
            return
        self._charge.claim()  # If the request was refused before it reserved any.
        self._charge.settle(self._compute_charge())

    def _compute_charge(self) -> int:
        """Return the tokens that the account is charged."""
        assert self._charge is not None
        return self._charge.compute(
            events=self._stream.events if self._stream else 0,
            tokens_per_event=self._engine.tokens_per_event if self._engine else 0,
            is_answered=self._outcome_label == "ok",
            was_abandoned=self._attempts > 0 and self._outcome_label == "caller gone",
        )

    @property
    def _attempts(self) -> int:
        """Number of sends, without those that reached a replaced server."""
        return self._sends - self._misdirected_sends

    @property
    def _request_id(self) -> str | None:
        """The request's id, or None before its head was parsed."""
        return self._head.request_id if self._head else None

    def _log_end(self) -> None:
        """Log how the request ended and count it in the metrics."""
        now = self._loop.time()
        self._services.log.write(
            "request: ended",
            request=self._request_id,
            outcome=self._outcome_label,
            route=self._route.name if self._route else None,
            account=self._account.name if self._account else None,
            config=self._services.configuration.version,
            tokens=self._head.max_tokens if self._head else None,
            charged=self._charge.charged_tokens if self._charge else 0,
            token_wait_s=round(self._charge.wait_s, 4) if self._charge else 0.0,
            place_wait_s=round(self._place_wait_s, 4),
            sends=self._sends,
            misdirected=self._misdirected_sends,
            took_s=round(now - self._request.arrived_at, 4),
            events=self._stream.events if self._stream else None,
            resumes=self._head.resumes if self._head else None,
            last_event_id=self._head.last_event_id if self._head else None,
        )
        self._services.note_ended(
            self, self._route, self._account, self._outcome_label, now
        )
