"""Connects a request to backend servers and finds out which life it has reached."""

from __future__ import annotations

import itertools
from typing import TYPE_CHECKING

from .client import ConnectError
from .placement import Work

if TYPE_CHECKING:
    from ..model import AnswerHead, BackendServer
    from .client import Connection
    from .services import Services

__all__ = ["Connector", "send_ids"]

MAX_QUESTIONS = 2  # For the start of a server, as an answer may end its connection.

# Numbers that identify single sends in the load statistics.
send_ids = itertools.count(1)


class Connector:
    """The connections of one request to backend servers.

    Parameters
    ----------
    services : Services
        Components that all requests of the router share.
    tried_server_ids : list of str
        Ids of the servers that the request is not sent to again; servers that cannot
        be reached are added.
    """

    def __init__(self, services: Services, tried_server_ids: list[str]) -> None:
        self._services = services
        self._tried_server_ids = tried_server_ids
        self._asked_server_ids: list[str] = []  # For their starts.

    async def connect(
        self, server: BackendServer, *, is_resumable: bool, may_ask: bool
    ) -> Connection | None:
        """Return a connection to a server, or None if it cannot be reached.

        Parameters
        ----------
        server : BackendServer
            The server.
        is_resumable : bool
            Whether the request is a stream that may go on at another server, so that
            the version that begins it must be known.
        may_ask : bool
            Whether the server can be asked for its start.
        """
        services = self._services
        try:
            connection = services.pool.acquire_idle(server.address)
            if connection is None:
                connection = await services.pool.open(server.address)
                services.links.note_reachable(server)
        except ConnectError as error:
            self._tried_server_ids.append(server.id)
            services.links.note_unreachable(server, str(error))
            return None
        if not is_resumable or not self._needs_start(server, connection):
            return connection
        if await self._ask_start(server, connection, may_ask=may_ask):
            return connection
        return None

    def may_continue_at(
        self,
        server: BackendServer,
        connection: Connection,
        version: str | None,
        request_id: str | None,
    ) -> bool:
        """Whether a server runs the version that a stream goes on at, if it does."""
        if version is None:
            return True
        lives = self._services.lives
        found = lives.find_version(server, connection, is_idle=True)
        if found == version:
            return True
        self._services.log.write(
            "stream: not continued at a server of another life",
            request=request_id,
            server=server.id,
            version=found,
            wanted=version,
        )
        if not lives.is_doubted(server):
            # Of an earlier life of the server than its entry.
            connection.close()
        return False

    def _needs_start(self, server: BackendServer, connection: Connection) -> bool:
        """Whether the server is to be asked for its start before a stream is sent."""
        lives = self._services.lives
        return (
            not lives.is_identified(connection)
            and lives.find_version(server, connection, is_idle=True) is None
        )

    async def _ask_start(
        self, server: BackendServer, connection: Connection, *, may_ask: bool
    ) -> bool:
        """Ask for the start of a server; return whether the connection can be used.

        A server that does not answer is not tried again.
        """
        services = self._services
        if not may_ask or self._asked_server_ids.count(server.id) >= MAX_QUESTIONS:
            services.lives.note_silent(connection)
            return True
        self._asked_server_ids.append(server.id)
        services.cold.take_permit(server)  # The question is a request, too.

        def on_head(head: AnswerHead) -> None:
            if head.slowness is not None and None not in (head.running, head.waiting):
                services.placement.note_load_report(
                    server.id, head.running or 0, head.waiting or 0, head.slowness
                )
            services.note_answer_head(server, head)

        # A question that hangs shows, like a request, that the server is out of reach.
        send_id = next(send_ids)
        unread_tokens = services.placement.note_sent(server.id, Work(), send_id)
        try:
            return await services.lives.ask(server, connection, on_head)
        except ConnectError:
            self._tried_server_ids.append(server.id)
            services.note_failure(server, "no response in time")
            return False
        finally:
            services.placement.note_response_started(server.id, unread_tokens, send_id)
            services.placement.note_request_ended(server.id, send_id)
