"""Stand-in of the platform's lagging host list."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import attrs

from ..http import HttpServer
from ..schema import HostEntry, HostList
from ..schema.codec import encode

if TYPE_CHECKING:
    from ..http import HttpRequest, Responder

__all__ = ["HostListFaults", "HostListStandin"]


@attrs.define
class HostListFaults:
    """Switches of the host list stand-in.

    Attributes
    ----------
    is_down : bool
        Whether connections are closed without an answer.
    lag_s : float
        Age of the list that is answered, in seconds.
    """

    is_down: bool = False
    lag_s: float = 0.0


@attrs.frozen
class _Snapshot:
    """List as it stood from one moment on."""

    time: float
    revision: int
    entries: dict[str, HostEntry]


@attrs.frozen
class _Relay:
    """Addresses at which one region's hosts see a host of another region."""

    address: str
    peer_address: str


class HostListStandin:
    """Live and leaving hosts, answered as they were some time ago."""

    def __init__(self) -> None:
        self.faults = HostListFaults()
        self._history: list[_Snapshot] = []
        self._entries: dict[str, HostEntry] = {}
        self._relays: dict[tuple[str, str], _Relay] = {}
        self._server = HttpServer(self._handle)

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
        await self._server.close()

    def set_host(self, entry: HostEntry) -> None:
        """Add a host or change its entry.

        Parameters
        ----------
        entry : HostEntry
            The entry.
        """
        self._entries[entry.host] = entry
        self._record()

    def remove_host(self, host: str) -> None:
        """Remove a host from the list.

        Parameters
        ----------
        host : str
            Name of the host.
        """
        self._entries.pop(host, None)
        self._record()

    def set_relay(
        self, region_of_asker: str, host: str, address: str, peer_address: str = ""
    ) -> None:
        """Give the addresses at which a region's hosts see a host.

        Parameters
        ----------
        region_of_asker : str
            Region of the hosts that ask.
        host : str
            Name of the host that they see.
        address : str
            IP address and port of the relay to its HTTP listener.
        peer_address : str
            IP address and port of the relay to its peer listener.
        """
        self._relays[(region_of_asker, host)] = _Relay(address, peer_address)
        self._record()

    def _record(self) -> None:
        now = asyncio.get_running_loop().time()
        snapshot = _Snapshot(now, len(self._history) + 1, dict(self._entries))
        self._history.append(snapshot)

    def _find_snapshot(self) -> _Snapshot:
        moment = asyncio.get_running_loop().time() - self.faults.lag_s
        for snapshot in reversed(self._history):
            if snapshot.time <= moment:
                return snapshot
        return _Snapshot(0.0, 0, {})

    def _see_from(self, region: str, entry: HostEntry) -> HostEntry:
        relay = self._relays.get((region, entry.host))
        if relay is None:
            return entry
        return attrs.evolve(
            entry,
            address=relay.address or entry.address,
            peer_address=relay.peer_address or entry.peer_address,
        )

    async def _handle(self, request: HttpRequest, responder: Responder) -> None:
        if self.faults.is_down:
            return
        region = request.find_query("region")
        snapshot = self._find_snapshot()
        entries = [self._see_from(region, entry) for entry in snapshot.entries.values()]
        if request.find_query("known_revision") == str(snapshot.revision):
            entries = []
        body = encode(HostList(tuple(entries), snapshot.revision))
        await responder.start(200, (("content-length", str(len(body))),))
        await responder.write(body)
        await responder.finish()
