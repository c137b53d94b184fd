"""Waits for the head of a response, as long as that is better than a retry."""

from __future__ import annotations

import asyncio
import functools
from typing import TYPE_CHECKING

from .estimates import RECHECK_S, HeadWait

if TYPE_CHECKING:
    from ..model import BackendServer, Engine
    from .placement import Work
    from .relay import Relay
    from .services import Services

__all__ = ["WithdrawnError", "note_expected", "wait_for_head"]


class WithdrawnError(Exception):
    """Ends the wait at a server that has become slow, though it has not failed."""


def note_expected(
    services: Services,
    server: BackendServer,
    work: Work,
    engine: Engine | None,
    send_id: int,
) -> float | None:
    """Record a send, and return the expected time to the first event.

    It is None if the servers of the service do not report their speed.
    """
    placement = services.placement
    if not placement.speed.has_reports:
        return None
    if not placement.speed.is_reported(services.directory.list_usable(server.service)):
        return None
    expected_s = placement.estimate_time_s(
        server, work, engine, asyncio.get_running_loop().time()
    )
    placement.speed.note_sent(server, send_id, expected_s)
    return expected_s


async def wait_for_head(
    services: Services,
    server: BackendServer,
    relay: Relay,
    work: Work,
    engine: Engine | None,
    *,
    others: list[BackendServer],
    expected_s: float,
    usual_s: float,
    deadline_at: float,
) -> None:
    """Wait for the head of a response.

    Parameters
    ----------
    services : Services
        Components that all requests of the router share.
    server : BackendServer
        The server that the request was sent to.
    relay : Relay
        Receives the response.
    work : Work
        The request's prompt.
    engine : Engine or None
        The service's model engine; None for a plain service.
    others : list of BackendServer
        Servers that the request may be sent to next.
    expected_s : float
        What `note_expected` has returned.
    usual_s : float
        How long a request waits at a server that does not report its speed.
    deadline_at : float
        When the wait ends in any case.

    Raises
    ------
    TimeoutError
        If the server counts as failed, or the deadline has passed.
    WithdrawnError
        If another server is expected to respond sooner.
    """
    loop = asyncio.get_running_loop()
    placement = services.placement

    def estimate_here_s() -> float:
        return placement.estimate_time_s(server, work, engine, loop.time())

    wait = HeadWait(
        sent_at=loop.time(),
        usual_s=usual_s,
        expected_s=expected_s,
        deadline_at=deadline_at,
        estimate_here_s=estimate_here_s,
        estimate_elsewhere_s=functools.partial(
            placement.estimate_least_time_s, others, work, engine
        ),
    )
    fails_at = min(wait.fails_at, deadline_at)
    check_at = wait.find_first_check()
    while True:
        try:
            async with asyncio.timeout_at(min(check_at, fails_at)):
                await asyncio.shield(relay.head_done)
                return
        except TimeoutError:
            now = loop.time()
            if check_at >= fails_at:
                raise
        if wait.is_worth_withdrawing(now) and services.has_retry(server.service):
            placement.speed.n_withdrawn += 1
            services.log.write(
                "speed: request withdrawn from a slow server",
                server=server.id,
                slowness=round(placement.speed.find_slowness(server.id), 2),
                expected_s=round(expected_s, 3),
                waited_s=round(now - wait.sent_at, 3),
            )
            raise WithdrawnError
        check_at = now + RECHECK_S
