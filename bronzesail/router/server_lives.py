"""Tells which life of a server a connection leads to, and so its software version.

A server may start again under its id with another software version, which its entry
tells some hundred milliseconds late. An entry is believed for a connection only once
something that is younger than the connection has confirmed it: the server's own word
on that connection, an entry that was written again later, or enough time in which the
directory would have learned of a new life.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import TYPE_CHECKING

import attrs

from ..model import BackendServer
from ..platform import decode_server_start, encode_report_request
from .client import Call, ConnectError, Connection
from .stream_versions import MAX_STREAM_AGE_S

if TYPE_CHECKING:
    from ..model import AnswerHead
    from .client import ClientPool
    from .connection_spans import Span
    from .directory import Directory
    from .log import Log

__all__ = ["ENTRY_DELAY_S", "ServerLives"]

# Longest time from the start of a life until its entry arrives: an interval of
# heartbeats and the delay of an entry.
ENTRY_DELAY_S = 3.0
# An entry that arrives sooner after a connection was opened may have been written
# before it.
RENEWAL_DELAY_S = 1.0
# A round trip across regions takes 60 ms.
REPORT_TIMEOUT_S = 0.5
# Statuses of servers that have no such report.
UNKNOWN_PATH_STATUSES = (400, 404, 405, 421, 501)
# How long a server that does not tell its start is not asked again.
SILENT_S = 60.0


@attrs.frozen
class _Watcher:
    """Who is told the version of a server once it is known."""

    server: BackendServer
    connection: Connection
    on_version: Callable[[str], None]
    expires_at: float


class ServerLives:
    """Knows the lives of servers, and tells their versions once they are certain.

    Parameters
    ----------
    loop : asyncio.AbstractEventLoop
        The loop to run on.
    log : Log
        Log for servers that do not tell their start.
    pool : ClientPool
        The connections to the servers.
    directory : Directory
        The entries.

    Attributes
    ----------
    n_asked : int
        How often a server was asked for its start.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        log: Log,
        pool: ClientPool,
        directory: Directory,
    ) -> None:
        self._loop = loop
        self._log = log
        self._pool = pool
        self._directory = directory
        self._watchers: list[_Watcher] = []
        self._silent_until: dict[str, float] = {}  # By service.
        self.n_asked = 0

    def find_version(
        self, server: BackendServer, connection: Connection, *, is_idle: bool = False
    ) -> str | None:
        """Return the version of the life that a connection leads to, None if unknown.

        Parameters
        ----------
        server : BackendServer
            The entry by which the server was chosen.
        connection : Connection
            A connection to its address.
        is_idle : bool, optional
            Whether it is open and carries no request, so that what it leads to answers
            the next one, if anything does.
        """
        if connection.span is None:
            return None
        span = connection.span.resolve()
        current = self._directory.get(server.id)
        if span.born_ms is not None and (current is None or current.born_ms):
            return self._directory.find_version(server.id, span.born_ms)
        if current is None:
            return None
        alive_at = self._loop.time() if is_idle else span.heard_at
        if not self._is_confirmed(current, span, alive_at):
            return None
        return current.version

    def _is_confirmed(self, server: BackendServer, span: Span, alive_at: float) -> bool:
        """Whether an entry is of the life of a span that has not told its start.

        The life is known to have gone on until `alive_at`.
        """
        followed_since = max(span.since, self._directory.find_followed_since())
        started_at = self._directory.get_started_at(server.id)
        renewed_at = self._directory.get_renewed_at(server.id)
        was_known = started_at < span.since
        if renewed_at >= followed_since + RENEWAL_DELAY_S and (
            was_known or renewed_at <= alive_at
        ):
            return True
        if was_known and renewed_at < started_at + RENEWAL_DELAY_S:
            # Entries are not renewed; a new life would have replaced this one.
            alive_at = self._loop.time()
        return alive_at - followed_since >= ENTRY_DELAY_S

    def is_doubted(self, server: BackendServer) -> bool:
        """Whether the newest life that was reached may not be that of the entry.

        A server that was not reached yet is not doubted: it is asked once it is.
        """
        span = self._pool.spans.find_newest(server.address)
        if span is None:
            return False
        if span.born_ms is not None and server.born_ms:
            is_later_entry = self._directory.get_started_at(server.id) > span.heard_at
            return span.born_ms != server.born_ms and not is_later_entry
        if not span.is_silent:
            return False
        return not self._is_confirmed(server, span, self._loop.time())

    async def ask(
        self,
        server: BackendServer,
        connection: Connection,
        on_head: Callable[[AnswerHead], None],
    ) -> bool:
        """Ask a server for its start on a connection that carries no request.

        Returns whether the connection can still be used; it is closed otherwise.

        Parameters
        ----------
        server : BackendServer
            The entry by which the server was chosen.
        connection : Connection
            A connection to its address.
        on_head : callable
            Called with the head of the server's answer.

        Raises
        ------
        ConnectError
            If the server has not answered.
        """
        assert connection.span is not None
        if self._is_silent(server):
            self.note_silent(connection)
            return True
        self.n_asked += 1
        call = Call(self._loop)
        is_usable = False
        try:
            connection.start(encode_report_request(server), call)
            async with asyncio.timeout(REPORT_TIMEOUT_S):
                head, body = await call.wait(REPORT_TIMEOUT_S)
            on_head(head)
            is_usable = self._read_report(server, connection, head, body)
        except OSError as error:  # TimeoutError included.
            if call.has_begun:
                self._note_in_vain(server, connection, server.id, repr(error))
                return False
            raise ConnectError(f"no answer: {error!r}") from error
        finally:
            if not is_usable:
                connection.close()
        return is_usable

    def note_silent(self, connection: Connection) -> None:
        """Record that what a connection leads to cannot be asked for its start."""
        assert connection.span is not None
        connection.span.resolve().is_silent = True

    def is_identified(self, connection: Connection) -> bool:
        """Whether the life that a connection leads to has told its start."""
        span = connection.span
        return span is not None and span.resolve().born_ms is not None

    def _is_silent(self, server: BackendServer) -> bool:
        """Whether a server, or all of its service, has lately been asked in vain."""
        now = self._loop.time()
        return any(
            now < self._silent_until.get(key, 0.0)
            for key in (server.id, server.service)
        )

    def _read_report(
        self,
        server: BackendServer,
        connection: Connection,
        head: AnswerHead,
        body: bytes,
    ) -> bool:
        """Record what a server says of its start; return whether to go on there."""
        if head.request_id:
            return False  # An answer to an earlier request; this one is still due.
        if head.is_sealed or head.status in UNKNOWN_PATH_STATUSES:
            # Servers of this service do not answer such questions.
            self._note_in_vain(
                server, connection, server.service, f"status {head.status}"
            )
            return connection.is_usable and not head.is_sealed
        try:
            if head.status != 200:
                raise ValueError(f"status {head.status}")
            born_ms = decode_server_start(body)
        except ValueError as error:
            self._note_in_vain(server, connection, None, str(error))
            return False
        self._pool.spans.note_start(connection, born_ms)
        if born_ms != server.born_ms:
            self._log.write(
                "server: entry is of another life",
                server=server.id,
                born_ms=born_ms,
                entry_born_ms=server.born_ms,
            )
        return connection.is_usable

    def _note_in_vain(
        self,
        server: BackendServer,
        connection: Connection,
        key: str | None,
        reason: str,
    ) -> None:
        """Record that a server did not tell its start.

        `key` is the server or the service that is not asked again for a while, if any.
        """
        self.note_silent(connection)
        if key is not None:
            self._silent_until[key] = self._loop.time() + SILENT_S
        self._log.write(
            "server: does not tell its start", server=server.id, reason=reason
        )

    def add_watcher(
        self,
        server: BackendServer,
        connection: Connection,
        on_version: Callable[[str], None],
    ) -> None:
        """Call `on_version` with the version of a connection's life once it is known.

        Nothing is called once the stream cannot be taken up any more.
        """
        expires_at = self._loop.time() + MAX_STREAM_AGE_S
        self._watchers.append(_Watcher(server, connection, on_version, expires_at))

    def check(self) -> None:
        """Call the watchers whose servers' versions are known now."""
        now = self._loop.time()
        for key in [key for key, until in self._silent_until.items() if until < now]:
            del self._silent_until[key]
        watchers, self._watchers = self._watchers, []
        for watcher in watchers:
            version = self.find_version(watcher.server, watcher.connection)
            if version is not None:
                watcher.on_version(version)
            elif now < watcher.expires_at:
                self._watchers.append(watcher)
