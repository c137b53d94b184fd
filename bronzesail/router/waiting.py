"""Lets requests wait for a place at a backend server, the most urgent first."""

from __future__ import annotations

import asyncio
import heapq
import itertools
from collections.abc import Sequence
from typing import TYPE_CHECKING

import attrs

from ..model import BackendServer, Engine
from .placement import Work

if TYPE_CHECKING:
    from .directory import Directory
    from .placement import Placement

__all__ = ["WaitingLine"]

ENGINE_FILL = 1.1  # Of an engine's slots, before requests wait here instead.
PLAIN_FILL = 4.0  # Plain work takes a tenth of its objective; four rounds fit.
LOOK_AGAIN_S = 0.05  # Other routers' requests end unseen.


@attrs.define(order=False)
class _Waiter:
    work: Work
    engine: Engine | None
    excluded: Sequence[str]
    future: asyncio.Future[BackendServer | None]


class WaitingLine:
    """Requests of each service that wait for a place.

    Parameters
    ----------
    directory : Directory
        The servers.
    placement : Placement
        Their loads, and the choice among them.
    """

    def __init__(self, directory: Directory, placement: Placement) -> None:
        self._directory = directory
        self._placement = placement
        self._waiters: dict[str, list[tuple[int, int, _Waiter]]] = {}
        self._sequence = itertools.count()

    async def find_place(
        self,
        service: str,
        work: Work,
        engine: Engine | None,
        excluded: Sequence[str],
        rank: int,
        until: float,
    ) -> BackendServer | None:
        """Return a server with room, or None if none has any before `until`."""
        if not self._waiters.get(service):
            server = self._choose(service, work, engine, excluded)
            if server is not None:
                return server
        loop = asyncio.get_running_loop()
        waiter = _Waiter(work, engine, excluded, loop.create_future())
        waiters = self._waiters.setdefault(service, [])
        heapq.heappush(waiters, (rank, next(self._sequence), waiter))
        timer = loop.call_later(LOOK_AGAIN_S, self._look_again, service)
        try:
            async with asyncio.timeout_at(until):
                return await waiter.future
        except TimeoutError:
            return None
        finally:
            timer.cancel()
            waiter.future.cancel()

    def count_waiting(self, service: str) -> int:
        """Return how many requests wait for a place."""
        return sum(not w.future.done() for _, _, w in self._waiters.get(service, ()))

    def note_room(self, service: str) -> None:
        """Give the places that there are to those that wait."""
        waiters = self._waiters.get(service)
        while waiters:
            _, _, waiter = waiters[0]
            if waiter.future.done():
                heapq.heappop(waiters)
                continue
            server = self._choose(service, waiter.work, waiter.engine, waiter.excluded)
            if server is None:
                return
            heapq.heappop(waiters)
            waiter.future.set_result(server)
            # The request counts at the server once it is sent, a moment later.
            asyncio.get_running_loop().call_soon(self.note_room, service)
            return

    def _look_again(self, service: str) -> None:
        self.note_room(service)
        if self.count_waiting(service):
            loop = asyncio.get_running_loop()
            loop.call_later(LOOK_AGAIN_S, self.note_room, service)

    def _choose(
        self,
        service: str,
        work: Work,
        engine: Engine | None,
        excluded: Sequence[str],
    ) -> BackendServer | None:
        servers = self._directory.list_usable(service)
        now = asyncio.get_running_loop().time()
        fill = PLAIN_FILL if engine is None else ENGINE_FILL
        with_room = [
            server
            for server in servers
            if self._placement.estimate_present(server.id, now) < server.slots * fill
        ]
        return self._placement.choose(with_room, work, engine, excluded)
