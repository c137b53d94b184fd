"""Stand-in of a model engine, over HTTP with server-sent events."""

from __future__ import annotations

import asyncio
import json
from typing import TYPE_CHECKING, Any, TypeVar
from urllib.parse import unquote

import attrs

from ..http import HttpServer, ServerLimits, send_json
from ..util.prefix import count_tokens
from ._crash import restart_after
from ._engine_orders import ACTIONS, EngineOrder, OrderBook
from ._engine_runs import (
    EngineRun,
    EngineUsage,
    RunState,
    draw_output_tokens,
    make_event_text,
)
from ._engine_scheduler import EngineFaults, EngineScheduler, EngineSpeed

if TYPE_CHECKING:
    from collections.abc import Coroutine

    from ..http import HttpRequest, Responder

__all__ = ["EngineStandin"]

T = TypeVar("T")

COMPLETIONS = "completions"
BODY_BYTES = 16 * 1024 * 1024
SSE_HEADERS = (("content-type", "text/event-stream"), ("cache-control", "no-store"))


class EngineStandin:
    """Model engine that batches, caches prefixes, streams, resumes and cancels.

    It generates an answer that depends on the request id alone. What a crash makes
    it forget is kept in the counts for an audit: `runs` and `usage`.

    Parameters
    ----------
    name : str
        Name of the host.
    speed : EngineSpeed or None
        Capacity.
    checks_fencing : bool
        Whether it refuses an order with an old fencing number.
    """

    def __init__(
        self,
        name: str = "engine",
        speed: EngineSpeed | None = None,
        checks_fencing: bool = True,
    ) -> None:
        self.name = name
        self.faults = EngineFaults()
        self.orders = OrderBook(checks_fencing)
        self.incarnation = 1
        self.n_crashes = 0
        self._scheduler = EngineScheduler(
            speed or EngineSpeed(), self.faults, self.crash
        )
        self._fenced_ids: set[str] = set()
        self._silent_up_to = 0
        self._tasks: set[asyncio.Task[Any]] = set()
        self._server = HttpServer(self._handle, ServerLimits(body_bytes=BODY_BYTES))

    @property
    def address(self) -> str:
        """IP address and port."""
        return self._server.address

    @property
    def runs(self) -> dict[str, int]:
        """How often each request id was started, crashes included."""
        return self._scheduler.n_starts

    @property
    def usage(self) -> dict[str, EngineUsage]:
        """Tokens of the last run of each request id, crashes included."""
        return self._scheduler.usage

    async def start(self, host: str = "127.0.0.1", port: int = 0) -> None:
        """Listen on an address.

        Parameters
        ----------
        host : str
            IP address.
        port : int
            Port; 0 for a free one.
        """
        await self._server.start(host, port)

    async def stop(self) -> None:
        """Close every connection and end every run."""
        self._scheduler.clear()
        for task in self._tasks:
            task.cancel()
        await self._server.close()

    def crash(self) -> None:
        """Lose every run and connection, and restart after a while."""
        self.n_crashes += 1
        self.incarnation += 1
        self._scheduler.clear()
        self._spawn(restart_after(self._server, self.faults.restart_s))

    def silence_connections(self) -> None:
        """Send nothing more on the connections open now; later ones work."""
        self._silent_up_to = self._server.n_accepted

    def _spawn(self, work: Coroutine[Any, Any, T]) -> asyncio.Task[T]:
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    async def _handle(self, request: HttpRequest, responder: Responder) -> None:
        await self._stand_still(responder)
        segments = request.path.strip("/").split("/")
        if segments[:2] == ["v1", COMPLETIONS]:
            await self._serve_completion(request, responder, segments[2:])
            return
        route = (request.method, request.path)
        if route == ("GET", "/v1/load"):
            await self._send_load(responder)
        elif route == ("GET", "/v1/cache-events"):
            await self._send_cache_events(request, responder)
        elif route == ("GET", "/v1/orders"):
            await self._send_setup(responder, 200)
        elif route == ("POST", "/v1/orders"):
            await self._take_order(request, responder)
        else:
            await _send_error(responder, 404, "unknown path")

    async def _stand_still(self, responder: Responder) -> None:
        await self.faults.wait_while_paused()
        if responder.connection_number <= self._silent_up_to:
            await asyncio.Event().wait()

    async def _serve_completion(
        self, request: HttpRequest, responder: Responder, segments: list[str]
    ) -> None:
        if not segments and request.method == "POST":
            await self._start_run(request, responder)
            return
        request_id = unquote(segments[0]) if segments else ""
        run = self._scheduler.runs.get(request_id)
        route = (request.method, *segments[1:])
        if route == ("GET", "status"):
            await _send_status(responder, run)
        elif route == ("POST", "fence"):
            await self._fence(responder, request_id, run)
        elif route == ("DELETE",):
            if run is not None:
                self._scheduler.cancel(run)
            await _send_status(responder, run)
        elif route == ("GET",) and run is not None:
            await self._stream(responder, run, _parse_int(request, "after"))
        else:
            await _send_error(responder, 404, "unknown request id")

    async def _start_run(self, request: HttpRequest, responder: Responder) -> None:
        run = _parse_run(request.body)
        if run is None:
            await _send_error(responder, 400, "malformed completion request")
            return
        known = self._scheduler.runs.get(run.request_id)
        if known is not None:
            await self._stream(responder, known, 0)
            return
        if run.request_id in self._fenced_ids:
            await _send_error(responder, 409, "fenced")
            return
        self._scheduler.submit(run)
        await self._stream(responder, run, 0)

    async def _fence(
        self, responder: Responder, request_id: str, run: EngineRun | None
    ) -> None:
        self._fenced_ids.add(request_id)
        if run is not None and run.state is RunState.QUEUED:
            self._scheduler.cancel(run)
        await _send_status(responder, run)

    async def _stream(self, responder: Responder, run: EngineRun, after: int) -> None:
        await responder.start(200, SSE_HEADERS)
        sent = after
        while True:
            await self._stand_still(responder)
            changed = run.changed
            is_over = run.is_over
            parts = []
            while sent < run.n_events:
                sent += 1
                parts.append(_render_event(run.request_id, sent))
            if is_over:
                parts.append(_render_end(run))
            if parts:
                await responder.write("".join(parts).encode())
            if is_over:
                await responder.finish()
                return
            await changed.wait()

    async def _send_load(self, responder: Responder) -> None:
        report = self._scheduler.report_load()
        speed = self._scheduler.speed
        content = {
            "running": report.running,
            "queued": report.queued,
            "slots": speed.slots,
            "tokens_per_s": speed.tokens_per_s,
            "age_ms": round(self.faults.load_lag_s * 1000),
        }
        await send_json(responder, 200, content)

    async def _send_cache_events(
        self, request: HttpRequest, responder: Responder
    ) -> None:
        now = asyncio.get_running_loop().time()
        cache = self._scheduler.cache
        events = [
            {"seq": event.seq, "kind": event.kind, "block": event.block.hex()}
            for event in cache.list_events(_parse_int(request, "after"), now)
        ]
        content = {
            "incarnation": self.incarnation,
            "last_seq": cache.find_last_seq(now),
            "events": events,
        }
        await send_json(responder, 200, content)

    async def _send_setup(self, responder: Responder, status: int) -> None:
        content = attrs.asdict(self.orders.setup)
        content["fence"] = self.orders.highest_fence
        content["in_flight"] = self.orders.n_in_flight
        await send_json(responder, status, content)

    async def _take_order(self, request: HttpRequest, responder: Responder) -> None:
        order = _parse_order(request.body)
        if order is None:
            await _send_error(responder, 400, "malformed order")
            return
        if not self.orders.accept(order):
            await self._send_setup(responder, 409)
            return
        # The order goes on when its connection breaks, as loading weights would.
        is_applied = await asyncio.shield(self._spawn(self._carry_out(order)))
        if self.faults.loses_next_orders > 0:
            self.faults.loses_next_orders -= 1
            return
        await self._send_setup(responder, 200 if is_applied else 409)

    async def _carry_out(self, order: EngineOrder) -> bool:
        await asyncio.sleep(self.faults.order_s)
        await self.faults.wait_while_paused()
        return self.orders.apply(order)


def _render_event(request_id: str, number: int) -> str:
    content = {"text": make_event_text(request_id, number), "tokens": 1}
    return f"id: {number}\ndata: {json.dumps(content)}\n\n"


def _render_end(run: EngineRun) -> str:
    content = {"done": True, "usage": attrs.asdict(run.usage)}
    if run.state is RunState.CANCELLED:
        content["cancelled"] = True
    return f"data: {json.dumps(content)}\n\n"


def _parse_run(body: bytes) -> EngineRun | None:
    try:
        content = json.loads(body)
        request_id = str(content["request_id"])
        prompt = str(content["prompt"]).encode()
        max_tokens = int(content["max_tokens"])
        priority = int(content.get("priority", 0))
    except (ValueError, TypeError, KeyError, AttributeError):
        return None
    if max_tokens < 1 or not request_id:
        return None
    output_tokens = draw_output_tokens(request_id, max_tokens)
    return EngineRun(request_id, prompt, count_tokens(prompt), output_tokens, priority)


def _parse_order(body: bytes) -> EngineOrder | None:
    try:
        content = json.loads(body)
        fence = int(content["fence"])
        order = EngineOrder(fence, str(content["action"]), str(content["argument"]))
    except (ValueError, TypeError, KeyError):
        return None
    return order if order.action in ACTIONS else None


def _parse_int(request: HttpRequest, name: str) -> int:
    try:
        return max(0, int(request.find_query(name, "0")))
    except ValueError:
        return 0


async def _send_status(responder: Responder, run: EngineRun | None) -> None:
    state = run.state if run is not None else RunState.UNKNOWN
    usage = run.usage if run is not None else EngineUsage()
    content = {"state": state.value, **attrs.asdict(usage)}
    await send_json(responder, 200, content)


async def _send_error(responder: Responder, status: int, detail: str) -> None:
    await send_json(responder, status, {"error": detail})
