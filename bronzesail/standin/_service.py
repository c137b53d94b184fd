"""Stand-in of a plain service whose calls may not be repeatable."""

from __future__ import annotations

import asyncio
import random
from typing import TYPE_CHECKING

import attrs

from ..http import HttpServer, send_json
from ._crash import restart_after
from ._pause import PauseSwitch

if TYPE_CHECKING:
    from ..http import HttpRequest, Responder

__all__ = ["PlainServiceFaults", "PlainServiceStandin"]


@attrs.define
class PlainServiceFaults(PauseSwitch):
    """Switches of the plain service stand-in, with `is_paused`.

    Attributes
    ----------
    delay_s : float
        Time a call takes, in seconds.
    poison_marker : bytes
        Text of a body or path that crashes the service; empty for none.
    restart_s : float
        Time a crashed service stays away, in seconds.
    loses_next_answers : int
        Number of next calls whose answer is lost after they ran.
    answer_loss : float
        Probability that an answer is lost after the call ran.
    """

    delay_s: float = 0.0
    poison_marker: bytes = b""
    restart_s: float = 1.0
    loses_next_answers: int = 0
    answer_loss: float = 0.0


class PlainServiceStandin:
    """Service that runs every POST it gets and counts the runs of each key.

    It does not recognise a repeated key: a second POST runs a second time.

    Parameters
    ----------
    name : str
        Name of the host.
    seed : int
        Seed of the random losses.
    """

    def __init__(self, name: str = "service", seed: int = 1) -> None:
        self.name = name
        self.faults = PlainServiceFaults()
        self.runs: dict[str, int] = {}
        self.n_reads = 0
        self.n_crashes = 0
        self._random = random.Random(seed)
        self._server = HttpServer(self._handle)
        self._tasks: set[asyncio.Task[None]] = set()

    @property
    def address(self) -> str:
        """IP address and port."""
        return self._server.address

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
        """Close every connection."""
        for task in self._tasks:
            task.cancel()
        await self._server.close()

    async def _handle(self, request: HttpRequest, responder: Responder) -> None:
        await self.faults.wait_while_paused()
        if self._is_poison(request):
            self._crash()
            return
        key = request.find_header("idempotency-key")
        n_runs = self._count_run(request, key)
        if self.faults.delay_s:
            await asyncio.sleep(self.faults.delay_s)
        await self.faults.wait_while_paused()
        if self._loses_answer():
            return
        content = {"host": self.name, "path": request.path, "key": key, "run": n_runs}
        await send_json(responder, 200, content)

    def _is_poison(self, request: HttpRequest) -> bool:
        marker = self.faults.poison_marker
        if not marker:
            return False
        return marker in request.body or marker in request.target.encode()

    def _count_run(self, request: HttpRequest, key: str) -> int:
        if request.method == "GET":
            self.n_reads += 1
            return 0
        self.runs[key] = self.runs.get(key, 0) + 1
        return self.runs[key]

    def _loses_answer(self) -> bool:
        if self.faults.loses_next_answers > 0:
            self.faults.loses_next_answers -= 1
            return True
        return self._random.random() < self.faults.answer_loss

    def _crash(self) -> None:
        self.n_crashes += 1
        task = asyncio.create_task(restart_after(self._server, self.faults.restart_s))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
