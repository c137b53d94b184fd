"""Reads from other routers what their hellos announce and this router does not have.

Configurations come from any peer that has a newer one, often before the store delivers
them. The directory comes from the router of the data centre that follows the store,
if this router does not follow it. Crash counts come from any peer that has others, and
the routers of other data centres from a leader.
"""

from __future__ import annotations

import functools
import math
import zlib
from typing import TYPE_CHECKING

import msgspec

from .client import Call, ConnectError
from .decoding import decode_json
from .directory import Listing
from .internal_http import (
    CONFIGURATION_PATH,
    CRASHES_PATH,
    DIRECTORY_PATH,
    HOSTS_PATH,
    PACKED_CONFIGURATION_PATH,
)
from .messages import CrashReport, parse_address

if TYPE_CHECKING:
    import asyncio
    from collections.abc import Callable, Coroutine

    from .client import ClientPool
    from .crashing_parts import CrashingParts
    from .directory import Directory
    from .log import Log
    from .neighbourhood import Neighbourhood
    from .peers import Peer
    from .poison import PoisonList
    from .watches import ConfigurationKeeper

__all__ = ["MAX_CONFIGURATION_BYTES", "PeerSync"]

# Time until an answer begins: 60 ms across regions, on a link that may be full.
PEER_TIMEOUT_S = 1.0
# Size of an uncompressed configuration; that of a fleet of 79 hosts is thirty times
# smaller.
MAX_CONFIGURATION_BYTES = 8_388_608
# Between two reads of crash counts, and of the same list of hosts. While a change
# spreads, most routers have other digests for a moment.
READ_INTERVAL_S = 1.0
# Compresses similar routes to a sixteenth; 300 KB take 1.4 ms.
COMPRESSION_LEVEL = 1


class PeerSync:
    """Exchange of the configuration and the directory with other routers.

    Parameters
    ----------
    loop : asyncio.AbstractEventLoop
        The loop to run on.
    log : Log
        The router's log.
    pool : ClientPool
        Connections to the other routers.
    configuration : ConfigurationKeeper
        The configuration in force.
    directory : Directory
        The backend servers.
    neighbourhood : Neighbourhood
        Determines the router that follows the store for this one.
    is_following_store : callable
        Returns whether this router itself receives the store's changes.
    on_servers : callable
        Called after the directory was replaced by that of a peer.
    poison : PoisonList
        The crash counts of requests.
    crashing_parts : CrashingParts
        The crashes by prompt part.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        log: Log,
        pool: ClientPool,
        configuration: ConfigurationKeeper,
        directory: Directory,
        neighbourhood: Neighbourhood,
        is_following_store: Callable[[], bool],
        on_servers: Callable[[], None],
        poison: PoisonList,
        crashing_parts: CrashingParts,
    ) -> None:
        self._loop = loop
        self._log = log
        self._pool = pool
        self._configuration = configuration
        self._directory = directory
        self._neighbourhood = neighbourhood
        self._is_following_store = is_following_store
        self._on_servers = on_servers
        self._fetching: dict[str, asyncio.Task[None]] = {}
        self._compressed: tuple[int, bytes] = (0, b"")
        self._directory_state = ""  # `Hello.directory` at the last fetch.
        self._poison = poison
        self._crashing_parts = crashing_parts
        self._read_at: dict[str, float] = {}  # By path.
        self._crash_digests: dict[str, int] = {}  # At the last read, by peer.

    @property
    def crash_digest(self) -> int:
        """Identifies all crashes that this router knows of; 0 if there are none."""
        return self._poison.digest ^ self._crashing_parts.digest

    def answer(self, path: str) -> tuple[int, bytes]:
        """Return status and body of the response to another router's request."""
        current = self._configuration.current
        if path == CONFIGURATION_PATH and current is not None:
            return 200, current.encoded
        if path == PACKED_CONFIGURATION_PATH and current is not None:
            if self._compressed[0] != current.version:
                compressed = zlib.compress(current.encoded, COMPRESSION_LEVEL)
                self._compressed = (current.version, compressed)
            return 200, self._compressed[1]
        if path == DIRECTORY_PATH:
            return 200, msgspec.json.encode(self._directory.make_listing())
        if path == CRASHES_PATH:
            return 200, msgspec.json.encode(
                CrashReport(self._poison.export(), self._crashing_parts.export())
            )
        if path.startswith(HOSTS_PATH):
            hosts = self._neighbourhood.list_hosts(path[len(HOSTS_PATH) :])
            return 200, msgspec.json.encode(
                {host: f"{ip}:{port}" for host, (ip, port) in hosts.items()}
            )
        return 404, b""

    def fetch_newer(self, peer: Peer) -> None:
        """Fetch what is newer at a peer, according to its hello message."""
        self._update_configuration(peer)
        self._update_directory(peer)
        self._update_crashes(peer)
        self._update_host_lists(peer)

    def _update_configuration(self, peer: Peer) -> None:
        """Fetch a peer's configuration if it is newer."""
        hello = peer.hello
        if hello.config_version == self._configuration.version:
            self._configuration.note_version(hello.config_store_version)
        if hello.config_version > self._configuration.version:
            # Compressed, it often arrives before the store's own copy, even on a link
            # that is full.
            self._start_fetch(
                PACKED_CONFIGURATION_PATH, self._fetch_configuration, peer
            )

    def _update_directory(self, peer: Peer) -> None:
        """Fetch the directory of the router that this one follows, if it changed."""
        hello = peer.hello
        if self._is_following_store():
            self._directory_state = ""
            return
        source = self._neighbourhood.find_store_follower()
        if source is None or source.host != hello.host:
            return
        if hello.directory == self._directory_state:
            self._directory.note_version(hello.directory_store_version)
        elif hello.directory_store_version >= self._directory.store_version:
            self._start_fetch(DIRECTORY_PATH, self._fetch_directory, peer)

    def _update_crashes(self, peer: Peer) -> None:
        """Merge a peer's latest crashes; read all if it has others as well."""
        hello = peer.hello
        self._poison.merge(hello.crashes)
        self._crashing_parts.merge(hello.parts)
        if hello.crash_digest in (0, self.crash_digest):
            return
        if self._crash_digests.get(hello.host) == hello.crash_digest:
            return  # Only counts that this router has in addition differ.
        if self._is_read_due(CRASHES_PATH):
            self._start_fetch(CRASHES_PATH, self._fetch_crashes, peer)

    def _update_host_lists(self, peer: Peer) -> None:
        """Read the lists of routers of other data centres that have changed."""
        for zone, digest in peer.hello.host_lists.items():
            if self._neighbourhood.confirm_zone_hosts(zone, digest):
                continue
            path = HOSTS_PATH + zone
            if self._is_read_due(path):
                self._start_fetch(
                    path, functools.partial(self._fetch_hosts, zone), peer
                )

    def _is_read_due(self, path: str) -> bool:
        """Whether `READ_INTERVAL_S` has passed since the last read of a path."""
        now = self._loop.time()
        if now - self._read_at.get(path, -math.inf) < READ_INTERVAL_S:
            return False
        self._read_at[path] = now
        return True

    def _start_fetch(
        self,
        path: str,
        fetch: Callable[[Peer], Coroutine[None, None, None]],
        peer: Peer,
    ) -> None:
        """Fetch from a peer, unless a fetch of the same kind is in progress."""
        running = self._fetching.get(path)
        if running is None or running.done():
            self._fetching[path] = self._loop.create_task(fetch(peer))

    async def _fetch_configuration(self, peer: Peer) -> None:
        """Fetch a newer configuration from a peer."""
        body = await self._fetch(peer, PACKED_CONFIGURATION_PATH)
        if body is None:
            return
        decompressor = zlib.decompressobj()
        try:
            encoded = decompressor.decompress(body, MAX_CONFIGURATION_BYTES)
        except zlib.error as error:
            self._log.write("peers: answer unreadable", error=str(error))
            return
        if not decompressor.eof:
            self._log.write("peers: answer unreadable", error="truncated or too large")
            return
        self._configuration.apply_if_newer(encoded, peer.hello.host)

    async def _fetch_directory(self, peer: Peer) -> None:
        """Fetch the directory of the router that follows the store for this one."""
        state = peer.hello.directory
        body = await self._fetch(peer, DIRECTORY_PATH)
        if body is None:
            return
        try:
            listing = decode_json(body, Listing)
        except ValueError as error:
            self._log.write("peers: answer unreadable", error=str(error))
            return
        removed = self._directory.adopt(listing)
        if removed is None:
            self._log.write(
                "directory: list of a peer is older",
                peer=peer.hello.host,
                its=listing.store_version,
                own=self._directory.store_version,
            )
            return
        self._directory_state = state
        for server_id in removed:
            self._log.write("directory: server gone", server=server_id)
        self._on_servers()

    async def _fetch_crashes(self, peer: Peer) -> None:
        """Read all crashes that a peer knows of."""
        digest = peer.hello.crash_digest
        body = await self._fetch(peer, CRASHES_PATH)
        if body is None:
            return
        try:
            report = decode_json(body, CrashReport)
        except ValueError as error:
            self._log.write("peers: answer unreadable", error=str(error))
            return
        self._poison.merge(report.requests)
        self._crashing_parts.merge(report.parts)
        self._crash_digests[peer.hello.host] = digest

    async def _fetch_hosts(self, zone: str, peer: Peer) -> None:
        """Read the live routers of a data centre from a leader."""
        body = await self._fetch(peer, HOSTS_PATH + zone)
        if body is None:
            return
        try:
            texts = decode_json(body, dict[str, str])
            hosts = {host: parse_address(text) for host, text in texts.items()}
        except ValueError as error:
            self._log.write("peers: answer unreadable", error=str(error))
            return
        self._neighbourhood.note_zone_hosts(zone, hosts)

    async def _fetch(self, peer: Peer, path: str) -> bytes | None:
        """Return the body of a peer's response, None if it fails."""
        request = b"GET %b HTTP/1.1\r\nHost: router\r\n\r\n" % path.encode()
        started_at = self._loop.time()
        try:
            connection = self._pool.acquire_idle(peer.address)
            connection = connection or await self._pool.open(peer.address)
        except ConnectError as error:
            self._log.write(
                "peers: unreachable", peer=peer.hello.host, error=str(error)
            )
            return None
        call = Call(self._loop)
        connection.start(request, call)
        try:
            head, body = await call.wait(PEER_TIMEOUT_S)
        except OSError as error:
            connection.close()
            self._log.write(
                "peers: no answer",
                peer=peer.hello.host,
                path=path,
                error=repr(error),
                took_s=round(self._loop.time() - started_at, 3),
            )
            return None
        self._pool.release(connection)
        self._log.write(
            "peers: fetched",
            peer=peer.hello.host,
            path=path,
            bytes=len(body),
            took_s=round(self._loop.time() - started_at, 3),
        )
        return body if head.status == 200 else None
