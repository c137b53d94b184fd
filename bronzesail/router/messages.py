"""Datagrams that routers send to each other.

A hello fits into one packet whatever the size of the fleet, since links drop the
fragments of larger datagrams first. It contains recent changes and digests; a router
whose own state has another digest reads the whole state from the sender (`PeerSync`).
"""

from __future__ import annotations

import hashlib
from typing import TYPE_CHECKING, TypeVar

import msgspec

from ..model import StoreVersion
from .brittle_servers import BrittleReport  # noqa: TC001  Decoded at run time.
from .crashing_parts import PartReport
from .eligibility import EvacuationReport  # noqa: TC001  Decoded at run time.
from .poison import CrashCount  # noqa: TC001  Decoded at run time.
from .server_limits import LimitReport  # noqa: TC001  Decoded at run time.
from .stream_versions import (  # noqa: TC001  Decoded at run time.
    StreamBeginning,
    VersionView,
)

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

__all__ = [
    "MAX_HELLO_CRASHES",
    "PACKET_BYTES",
    "CrashReport",
    "EvacuationReports",
    "Hello",
    "LimitReports",
    "ServerFull",
    "StreamBeginnings",
    "StreamMessage",
    "StreamQuery",
    "StreamReply",
    "TokenRequest",
    "TokenTransfer",
    "TransferConfirmation",
    "compute_hosts_digest",
    "parse_address",
    "select_brittle",
    "select_crashes",
    "select_cut_off",
    "select_free",
    "select_leaving",
    "select_limits",
    "select_part_report",
]

PACKET_BYTES = 1472  # Payload of a UDP datagram on Ethernet, unfragmented.
# Shares of a packet for the lists of a hello; its other fields take up to 400 bytes.
MAX_CRASH_BYTES = 220
MAX_FREE_BYTES = 250
MAX_LEAVING_BYTES = 150
MAX_CUT_OFF_BYTES = 70
MAX_BRITTLE_BYTES = 70
MAX_PART_CRASH_BYTES = 180
MAX_BEGUN_BYTES = 70
MAX_HELLO_CRASHES = 10
MAX_LIMIT_BYTES = 1400  # Reports of limits have a packet of their own.

T = TypeVar("T")


class Hello(msgspec.Struct, tag="hello"):
    """Periodic message in which a router announces itself and its state."""

    host: str
    incarnation: str
    address: str
    config_version: int
    # Free tokens of the accounts with most of them.
    free: dict[str, int]
    crashes: list[CrashCount] = []  # Those that rose last.
    parts: PartReport = PartReport()  # Crashes and answers noted last.
    crash_digest: int = 0  # Of all crashes; see `PeerSync.crash_digest`.
    zone: str = ""
    link_mbps: float = 0.0
    is_leaving: bool = False
    is_in_step: bool = False
    has_lost_store: bool = False
    store_latency_s: float | None = None  # None if not known yet.
    # Versions of the store up to which configuration and directory are complete.
    config_store_version: StoreVersion = StoreVersion()
    directory_store_version: StoreVersion = StoreVersion()
    store_era: int = 0  # Newest that the sender knows.
    directory: str = ""  # Identifies the directory's state; differs after a change.
    # Start of the ending life, in milliseconds by id, of backend servers that leave;
    # those learned of last.
    leaving: dict[str, int] = {}
    callers: str = ""  # Where the sender receives callers' requests.
    cut_off: list[str] = []  # Services that the sender reaches no server of.
    brittle: list[BrittleReport] = []  # Services with brittle servers.
    # Digests of the live routers by data centre, sent by leaders only.
    host_lists: dict[str, int] = {}
    link_use: int = 0  # Of the sender's link, in percent of its capacity.
    is_aside: bool = False  # Whether the sender reports not ready to the platform.
    surge: int = 0  # Bytes a second that it turns away, 0 if its link is not saturated.


class LimitReports(msgspec.Struct, tag="limits"):
    """Announcements of backend servers that have changed; see `ServerLimits`."""

    reports: list[LimitReport]


class EvacuationReports(msgspec.Struct, tag="evacuations"):
    """Data centres that are evacuated, or were until lately; see `Evacuations`."""

    reports: list[EvacuationReport]


class ServerFull(msgspec.Struct, tag="full"):
    """A brittle server has rejected a request for want of room."""

    server_id: str
    born_ms: int


class StreamBeginnings(msgspec.Struct, tag="begun"):
    """Streams that have begun."""

    beginnings: list[StreamBeginning]


class StreamQuery(msgspec.Struct, tag="who-began"):
    """Question which version began a stream of a service."""

    id: str
    request_id: str
    service: str


class StreamReply(msgspec.Struct, tag="began"):
    """Reply to a query: who began the stream, if known, and the service's versions."""

    id: str
    beginning: StreamBeginning | None
    view: VersionView


StreamMessage = StreamBeginnings | StreamQuery | StreamReply


class CrashReport(msgspec.Struct):
    """All crashes that a router knows of, by request and by prompt part."""

    requests: list[CrashCount]
    parts: PartReport


class TokenRequest(msgspec.Struct, tag="ask"):
    """Request for at least `least` and at most `want` tokens of an account."""

    id: str
    account: str
    want: int
    least: int = 1
    # Sent to the account's banker, which may refill from the store before replying.
    is_banked: bool = False


class TokenTransfer(msgspec.Struct, tag="gift"):
    """Transfer of tokens: the reply to the request with id `ask`.

    If `ask` is empty, nothing was requested and the receiver confirms the transfer.
    """

    id: str
    ask: str
    account: str
    tokens: int
    is_leftover: bool = False  # Requested before and returned unused.
    lack: int = 0  # Result code why as many tokens cannot be had now, 0 if they may be.
    kept: int = 0  # Tokens that the sender still has unspent.
    # Id of a request that is forwarded next and for which the tokens are reserved.
    request: str = ""


class TransferConfirmation(msgspec.Struct, tag="taken"):
    """Confirms the receipt of a transfer that was not requested."""

    id: str


def parse_address(text: str) -> tuple[str, int]:
    """Parse ``IP:PORT`` into IP address and port.

    >>> parse_address("10.0.0.1:80")
    ('10.0.0.1', 80)
    """
    ip, _, port = text.rpartition(":")
    return ip, int(port)


def compute_hosts_digest(hosts: dict[str, tuple[str, int]]) -> int:
    """Return a digest of hosts with their addresses, in any order."""
    digest = hashlib.blake2b(digest_size=8)
    for host, (ip, port) in sorted(hosts.items()):
        digest.update(f"{host}\0{ip}:{port}\0".encode())
    return int.from_bytes(digest.digest(), "big")


def select_free(tokens_by_account: dict[str, int]) -> dict[str, int]:
    """Return the accounts with most tokens, as many as a hello has room for."""
    most_first = sorted(
        ((account, tokens) for account, tokens in tokens_by_account.items() if tokens),
        key=lambda item: -item[1],
    )
    return dict(_take_within(most_first, MAX_FREE_BYTES, lambda item: len(item[0]) + 7))


def select_crashes(newest_first: Iterable[CrashCount]) -> list[CrashCount]:
    """Return the newest crash counts, as many as a hello has room for."""
    return _take_within(
        newest_first,
        MAX_CRASH_BYTES,
        lambda count: len(count.origin) + len(count.fingerprint) + 17,
    )


def select_part_report(report: PartReport) -> PartReport:
    """Return the newest crashes and answers, as many as a hello has room for."""
    crashes = _take_within(
        report.crashes,
        MAX_PART_CRASH_BYTES,
        lambda crash: (
            sum(len(p) + 2 for p in [crash.origin, crash.server, *crash.parts]) + 15
        ),
    )
    begun = _take_within(
        report.begun.items(), MAX_BEGUN_BYTES, lambda item: len(item[0]) + 11
    )
    return PartReport(crashes, dict(begun))


def select_leaving(latest_first: dict[str, int]) -> dict[str, int]:
    """Return the servers learned of last, as many as a hello has room for."""
    return dict(
        _take_within(
            latest_first.items(), MAX_LEAVING_BYTES, lambda item: len(item[0]) + 11
        )
    )


def select_cut_off(services: Iterable[str]) -> list[str]:
    """Return the first services, as many as a hello has room for."""
    return _take_within(services, MAX_CUT_OFF_BYTES, lambda name: len(name) + 2)


def select_brittle(reports: Iterable[BrittleReport]) -> list[BrittleReport]:
    """Return the first brittle services, as many as a hello has room for."""
    return _take_within(
        reports, MAX_BRITTLE_BYTES, lambda report: len(report.service) + 21
    )


def select_limits(reports: Iterable[LimitReport]) -> list[LimitReport]:
    """Return the first reports of limits, as many as one packet has room for."""
    return _take_within(
        reports, MAX_LIMIT_BYTES, lambda report: len(report.server_id) + 30
    )


def _take_within(
    items: Iterable[T], max_bytes: int, measure: Callable[[T], int]
) -> list[T]:
    """Return the first items whose encoded sizes add up to at most `max_bytes`.

    An item that is larger than that by itself is left out.
    """
    taken = []
    left_bytes = max_bytes
    for item in items:
        size = measure(item)
        if size > max_bytes:
            continue
        left_bytes -= size
        if left_bytes < 0:
            break
        taken.append(item)
    return taken
