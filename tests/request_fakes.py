"""Fakes of the collaborators of the request path."""

from __future__ import annotations

import asyncio
import json
import random
import unittest.mock
from collections.abc import Callable
from typing import TYPE_CHECKING, Any

import attrs
from returns.result import Failure, Result, Success

from bronzesail.budget import DispatchRecord, Reservation, ReserveOrder
from bronzesail.configuration import Configuration
from bronzesail.errors import Refusal, ResultCode
from bronzesail.explain import DecisionLog
from bronzesail.fleet import PeerUnreachableError, RouterInfo
from bronzesail.http import HttpClient, HttpRequest, HttpServer, Responder, send_json
from bronzesail.request import RequestOutcome, RequestService, RequestSettings
from bronzesail.routing import Route, RouteRequest
from bronzesail.schema import (
    ClientAccount,
    HostEntry,
    PriorityClass,
    RouterId,
    Row,
    RowCheck,
    RowWrite,
    ServiceEntry,
    TransactReply,
)
from bronzesail.storage import OutcomeUnknownError, UnreachableError
from bronzesail.util.clock import Clock, SystemClock
from bronzesail.util.keys import hash_key

if TYPE_CHECKING:
    from collections.abc import Awaitable

SALT = b"0123456789abcdef"
SECRET = b"fleet secret of the tests"


class FakeBudgets:
    """Unlimited budgets that record reservations, dispatches and charges.

    A dispatch record is copied to one reachable peer, as the journal does.
    """

    def __init__(self, own: RouterId, fleet: FakeFleet) -> None:
        self._own = own
        self._fleet = fleet
        self.reserved: list[Reservation] = []
        self.opened: list[tuple[str, str]] = []
        self.closed: dict[int, int] = {}
        self.kept_open: list[Reservation] = []
        self.copies: dict[tuple[str, str], DispatchRecord] = {}
        self.refusal: Refusal | None = None
        self.is_waiting = False

    async def reserve(self, order: ReserveOrder) -> Result[Reservation, Refusal]:
        if self.is_waiting:
            await asyncio.Event().wait()
        if self.refusal is not None:
            return Failure(self.refusal)
        reservation = Reservation(order, "grant", 1, len(self.reserved) + 1)
        self.copies.pop((order.account, order.request_key), None)
        self.reserved.append(reservation)
        return Success(reservation)

    async def open(self, reservation: Reservation, backend_server: str) -> Any:
        order = reservation.order
        self.opened.append((order.request_key, backend_server))
        record = DispatchRecord(
            order.account,
            order.request_key,
            order.service,
            backend_server,
            order.amount_tokens,
        )
        self.copies[order.account, order.request_key] = record
        for router_id, peer in self._fleet.nodes.items():
            if router_id != self._own and not peer.is_cut:
                peer.budgets.copies[order.account, order.request_key] = record
                break
        return Success(None)

    def close(self, reservation: Reservation, used_tokens: int) -> None:
        assert reservation.sequence not in self.closed, "closed twice"
        assert 0 <= used_tokens <= reservation.order.amount_tokens
        name = (reservation.order.account, reservation.order.request_key)
        if name in self.copies:
            self.copies[name] = attrs.evolve(self.copies[name], used_tokens=used_tokens)
        self.closed[reservation.sequence] = used_tokens

    def keep_open(self, reservation: Reservation, reason: str) -> None:
        assert reservation.sequence not in self.closed
        self.kept_open.append(reservation)

    def find_dispatch(self, account: str, request_key: str) -> DispatchRecord | None:
        return self.copies.get((account, request_key))

    def list_status(self) -> tuple[Any, ...]:
        return ()

    async def drain(self) -> None:
        return None


class FakeSelector:
    """Selects backend servers in round-robin order and records the orders."""

    def __init__(self, membership: FakeMembership) -> None:
        self._membership = membership
        self.orders: list[RouteRequest] = []
        self.released: list[tuple[str, bool]] = []
        self._n_acquired = 0

    async def acquire(self, order: RouteRequest) -> Result[Route, Refusal]:
        self.orders.append(order)
        backends = [
            entry
            for entry in self._membership.list_backends(order.service)
            if entry.host not in order.excluded and not entry.is_leaving
        ]
        if not backends:
            return Failure(Refusal(ResultCode.NO_BACKEND, True, retry_after_s=1.0))
        self._n_acquired += 1
        return Success(Route(order, backends[self._n_acquired % len(backends)], ()))

    def note_first_token(self, route: Route) -> None:
        return None

    def release(self, route: Route, output_tokens: int, is_failed: bool) -> None:
        self.released.append((route.backend.host, is_failed))


class FakeMembership:
    """Membership backed by the lists of a `FakeFleet`."""

    def __init__(self, own: RouterInfo, fleet: FakeFleet) -> None:
        self.own = own
        self._fleet = fleet

    def list_routers(self) -> tuple[RouterInfo, ...]:
        infos = (node.info for node in self._fleet.nodes.values())
        return tuple(info for info in infos if info != self.own)

    def list_backends(self, service: str) -> tuple[HostEntry, ...]:
        return tuple(e for e in self._fleet.backends if e.role == service)

    def is_listed(self, router_id: RouterId) -> bool:
        return router_id in self._fleet.nodes

    def subscribe(self, listener: Callable[[], None]) -> None:
        return None


class FakeNetwork:
    """In-process peer network; routers with ``is_cut`` set are unreachable."""

    def __init__(self, own: RouterId, fleet: FakeFleet) -> None:
        self._own = own
        self._fleet = fleet
        self.handlers: dict[type[Any], Callable[..., Awaitable[Any]]] = {}
        self.n_requests = 0
        self._tasks: set[asyncio.Task[Any]] = set()

    def register(self, message_type: type[Any], handler: Any) -> None:
        self.handlers[message_type] = handler

    async def request(self, peer: RouterId, message: Any, timeout_s: float) -> Any:
        self.n_requests += 1
        node = self._fleet.nodes.get(peer)
        own = self._fleet.nodes.get(self._own)
        if node is None or own is None or node.is_cut or own.is_cut:
            raise PeerUnreachableError(peer.host)
        handler = node.network.handlers[type(message)]
        try:
            return await asyncio.wait_for(handler(self._own, message), timeout_s)
        except TimeoutError as error:
            raise PeerUnreachableError(peer.host) from error

    def send(self, peer: RouterId, message: Any) -> None:
        node = self._fleet.nodes.get(peer)
        if node is None or node.is_cut:
            return
        task = asyncio.ensure_future(
            node.network.handlers[type(message)](self._own, message)
        )
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)


class FakeTable:
    """In-memory table that can be unavailable or lose answers of committed writes."""

    def __init__(self) -> None:
        self.rows: dict[str, Row] = {}
        self.is_out = False
        self.n_lost_answers = 0
        self.n_writes = 0

    async def read(self, keys: tuple[str, ...]) -> tuple[Row, ...]:
        if self.is_out:
            raise UnreachableError("outage")
        return tuple(self.rows.get(key, Row(key, 0, b"")) for key in keys)

    async def scan(self, prefix: str, after: str = "", limit: int = 1000) -> Any:
        if self.is_out:
            raise UnreachableError("outage")
        keys = sorted(k for k in self.rows if k.startswith(prefix) and k > after)
        return tuple(self.rows[key] for key in keys[:limit])

    async def transact(
        self, writes: tuple[RowWrite, ...], checks: tuple[RowCheck, ...] = ()
    ) -> TransactReply:
        if self.is_out:
            raise UnreachableError("outage")
        self.n_writes += 1
        conflicts = []
        for write in writes:
            row = self.rows.get(write.key, Row(write.key, 0, b""))
            if row.version != write.expected_version:
                conflicts.append(row)
        if conflicts:
            return TransactReply(False, tuple(conflicts))
        for write in writes:
            version = write.expected_version + 1
            self.rows[write.key] = Row(write.key, version, write.value)
        if self.n_lost_answers:
            self.n_lost_answers -= 1
            raise OutcomeUnknownError("answer lost")
        return TransactReply(True)


class FakeView:
    """Configuration view whose configuration a test can change."""

    def __init__(self, current: Configuration) -> None:
        self.current = current
        self._listeners: list[Callable[[Configuration], None]] = []

    def subscribe(self, listener: Callable[[Configuration], None]) -> None:
        self._listeners.append(listener)

    def change(self, current: Configuration) -> None:
        """Replace the configuration and notify the listeners."""
        self.current = current
        for listener in self._listeners:
            listener(current)


class FakeObserver:
    """Records the outcomes of requests and counts their tokens."""

    def __init__(self) -> None:
        self.outcomes: list[RequestOutcome] = []
        self.n_first_tokens = 0
        self.n_tokens = 0

    def note_first_token(self, account: str, c: str, service: str, d: float) -> None:
        self.n_first_tokens += 1

    def note_tokens(self, account: str, c: str, service: str, n_tokens: int) -> None:
        self.n_tokens += n_tokens

    def note_outcome(self, outcome: RequestOutcome) -> None:
        self.outcomes.append(outcome)

    def note_retry(self, account: str, service: str, cause: str) -> None:
        return None


def make_configuration() -> Configuration:
    services = (
        ServiceEntry("desk", "model", True, 256, 1, 300),
        ServiceEntry("pass", "plain", False, 256, 5, 300),
        ServiceEntry("status", "plain", True, 256, 2, 300),
    )
    accounts = tuple(
        ClientAccount(name, SALT, hash_key("s3cret", SALT)) for name in ("ski", "snow")
    )
    classes = (PriorityClass("answer", 5, 5000), PriorityClass("review", 7, 60_000))
    return Configuration(
        version=1,
        services={entry.name: entry for entry in services},
        classes={entry.name: entry for entry in classes},
        accounts={entry.name: entry for entry in accounts},
    )


@attrs.define
class FakeNode:
    """Request path of one router, served on a socket."""

    info: RouterInfo
    network: FakeNetwork
    budgets: FakeBudgets
    selector: FakeSelector
    observer: FakeObserver
    service: RequestService
    server: HttpServer
    is_cut: bool = False


@attrs.define
class FakeFleet:
    """Routers that share a table and a list of backend servers."""

    table: FakeTable = attrs.field(factory=FakeTable)
    backends: list[HostEntry] = attrs.field(factory=list)
    nodes: dict[RouterId, FakeNode] = attrs.field(factory=dict)
    client: HttpClient = attrs.field(factory=HttpClient)
    clock: Clock = attrs.field(factory=SystemClock)
    make_client: Callable[[], HttpClient] = HttpClient
    has_sockets: bool = True

    async def add_node(
        self, name: str, region: str = "region", **changes: Any
    ) -> FakeNode:
        router_id = RouterId(name, 1)
        info = RouterInfo(router_id, "", f"dc-{name}", region)
        membership = FakeMembership(info, self)
        network = FakeNetwork(router_id, self)
        budgets = FakeBudgets(router_id, self)
        selector = FakeSelector(membership)
        observer = FakeObserver()
        values = {"disconnect_grace_s": 0.5, "probe_timeout_s": 0.3, **changes}
        service = RequestService(
            budgets=budgets,
            selector=selector,
            network=network,
            membership=membership,
            configuration=FakeView(make_configuration()),
            table=self.table,
            client=self.make_client(),
            clock=self.clock,
            random=random.Random(name),
            decisions=DecisionLog(),
            observer=observer,
            settings=RequestSettings(SECRET, **values),
        )
        server = HttpServer(service.handle)
        node = FakeNode(info, network, budgets, selector, observer, service, server)
        self.nodes[router_id] = node
        await service.start()
        if self.has_sockets:
            await server.start("127.0.0.1", 0)
        return node

    async def kill(self, node: FakeNode) -> None:
        """Stop a router abruptly, as a host failure does.

        Cancelled requests must not reach their engine, so cancellation is patched out.
        """
        del self.nodes[node.info.router_id]
        context = node.service._context
        await node.server.close()
        context.client.close()
        tasks = [record.task for record in context.records.list_running()]
        with unittest.mock.patch.object(type(context.engine), "cancel", do_nothing):
            for task in tasks:
                assert task is not None
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)  # type: ignore[arg-type]

    def list_backend(self, name: str, service: str, address: str) -> None:
        """Add a backend server to the host list."""
        self.backends.append(HostEntry(name, service, address, "dc", "region"))

    async def add_engine(self, name: str, service: str = "desk") -> FakeEngine:
        engine = FakeEngine()
        await engine.server.start("127.0.0.1", 0)
        self.list_backend(name, service, engine.server.address)
        return engine

    async def close(self) -> None:
        for node in self.nodes.values():
            await node.server.close()


class FakeEngine:
    """Model engine and plain service whose answers and faults a test configures.

    `cut_after` and `silent_after` are the chunk numbers after which the stream is cut
    or pauses once; `poison` is the text in a prompt that crashes the engine.
    """

    def __init__(self) -> None:
        self.server = HttpServer(self.handle)
        self.runs: dict[str, dict[str, Any]] = {}
        self.calls: dict[str, int] = {}
        self.n_words = 5
        self.extra_tokens = 0
        self.delay_s = 0.0
        self.cut_after = 0
        self.silent_after = 0
        self.poison = ""
        self.is_answer_lost = False
        self.cancelled: list[str] = []
        self.is_crashed = False

    async def crash(self) -> None:
        self.is_crashed = True
        self.runs.clear()
        await self.server.close()

    async def handle(self, request: HttpRequest, responder: Responder) -> None:
        parts = request.path.split("/")
        if parts[:3] != ["", "v1", "completions"]:
            await self._call(request, responder)
        elif len(parts) == 3:
            await self._start(request, responder)
        elif request.method == "DELETE":
            self.cancelled.append(parts[3])
            usage = {"prompt_tokens": 3, "output_tokens": 1}
            await send_json(responder, 200, {"state": "cancelled", "usage": usage})
        elif parts[3] not in self.runs:
            await send_json(responder, 404, {"state": "unknown"})
        elif parts[-1] == "status":
            await send_json(responder, 200, {"state": "running"})
        else:
            await self._stream(responder, parts[3], int(request.find_query("after")))

    async def _call(self, request: HttpRequest, responder: Responder) -> None:
        key = request.find_header("idempotency-key")
        self.calls[key] = self.calls.get(key, 0) + 1
        if self.is_answer_lost:
            return
        await asyncio.sleep(self.delay_s)
        await send_json(responder, 200, {"n": self.calls[key]})

    async def _start(self, request: HttpRequest, responder: Responder) -> None:
        content = json.loads(request.body)
        if self.poison and self.poison in content["prompt"]:
            await asyncio.sleep(0.02)
            task = asyncio.create_task(self.crash())
            await asyncio.shield(task)
            return
        key = content["request_id"]
        run = self.runs.setdefault(key, {"prompt": content["prompt"], "n": 0})
        run["n"] += 1
        await self._stream(responder, key, 0)

    async def _stream(self, responder: Responder, key: str, after: int) -> None:
        await responder.start(200, (("content-type", "text/event-stream"),))
        prompt = self.runs[key]["prompt"]
        for number in range(after + 1, self.n_words + 1):
            await asyncio.sleep(self.delay_s)
            data = json.dumps({"text": f"{prompt}-{number} ", "tokens": 1})
            await responder.write(f"id: {number}\ndata: {data}\n\n".encode())
            if number == self.silent_after:
                self.silent_after = 0
                await asyncio.sleep(30)
            if number == self.cut_after:
                self.cut_after = 0
                return
        usage = {"prompt_tokens": 3, "output_tokens": self.n_words + self.extra_tokens}
        data = json.dumps({"done": True, "usage": usage})
        await responder.write(f"data: {data}\n\n".encode())
        await responder.finish()


async def do_nothing(*arguments: object) -> None:
    """Replace a call that a killed router cannot make."""


async def wait_until(condition: Callable[[], object]) -> None:
    """Wait until a condition is true, polling it for about eight seconds at most."""
    for _ in range(400):
        if condition():
            return
        await asyncio.sleep(0.02)
    raise AssertionError("condition did not become true in time")
