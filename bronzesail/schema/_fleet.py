"""Messages of membership. Generated from fleet.json; do not edit."""

from __future__ import annotations

from typing import ClassVar

import attrs

__all__ = [
    "BackendMark",
    "CheckReply",
    "CheckRequest",
    "FleetSettings",
    "Frame",
    "FrameBatch",
    "MemberEntry",
    "MembersPull",
    "MembersReply",
    "PeerHello",
    "PeerProof",
    "PeerWelcome",
    "Probe",
    "ProbeReply",
    "RegionAge",
    "Rumours",
]


@attrs.frozen
class FleetSettings:
    """Settings of membership and of the connections between routers.

    Attributes
    ----------
    host : str
        Name of the entry host.
    data_centre : str
        Name of its data centre.
    region : str
        Name of its region.
    shared_secret : bytes
        Secret by which routers authenticate each other.
    bind_address : str
        IP address of the peer listener.
    bind_port : int
        Port of the peer listener; 0 for any free one.
    advertised_address : str
        IP address and port for peers, if not the bound ones.
    list_poll_interval_ms : int
        Time between reads of the host list by a poller, in milliseconds.
    list_idle_poll_interval_ms : int
        Time between reads of the host list by other routers, in milliseconds.
    n_list_pollers : int
        Routers of a data centre that read the host list often.
    probe_interval_ms : int
        Time between probes of one neighbour, in milliseconds.
    probe_timeout_ms : int
        Time for the reply to a probe, in milliseconds.
    connect_timeout_ms : int
        Time for a new connection, in milliseconds.
    tick_interval_ms : int
        Time between steps of the membership, in milliseconds.
    isolated_death_ms : int
        Time a suspected router has if no other router could confirm, in milliseconds.
    revival_interval_ms : int
        Time between attempts to reach a dead router that is listed, in milliseconds.
    settle_ms : int
        Time after which a router that is unknown counts as gone, in milliseconds.
    suspicion_ms : int
        Time a suspected router has to refute its death, in milliseconds.
    region_cut_ms : int
        Time without word from a region after which it counts as cut off, in
        milliseconds.
    region_lost_ms : int
        Time after which a region that is cut off and not listed counts as lost, in
        milliseconds.
    heartbeat_interval_ms : int
        Time without sending after which a connection carries a heartbeat, in
        milliseconds.
    silence_limit_ms : int
        Time without receiving after which a connection is replaced, in milliseconds.
    idle_limit_ms : int
        Time without a message after which a connection is closed, in milliseconds.
    n_neighbours : int
        Routers that each router probes.
    """

    host: str
    data_centre: str
    region: str
    shared_secret: bytes
    bind_address: str = "127.0.0.1"
    bind_port: int = 0
    advertised_address: str = ""
    list_poll_interval_ms: int = 1000
    list_idle_poll_interval_ms: int = 10000
    n_list_pollers: int = 2
    probe_interval_ms: int = 1000
    probe_timeout_ms: int = 1000
    connect_timeout_ms: int = 1000
    tick_interval_ms: int = 100
    isolated_death_ms: int = 30000
    revival_interval_ms: int = 5000
    settle_ms: int = 60000
    suspicion_ms: int = 2000
    region_cut_ms: int = 6000
    region_lost_ms: int = 86400000
    heartbeat_interval_ms: int = 2000
    silence_limit_ms: int = 5000
    idle_limit_ms: int = 30000
    n_neighbours: int = 3


@attrs.frozen
class MemberEntry:
    """What is said of one router; a later claim of its host replaces it.

    Attributes
    ----------
    host : str
        Name of the entry host.
    incarnation : int
        Number of the process; 0 if nothing answers at the host.
    counter : int
        Number of the claim, raised by the host's own process only.
    state : int
        0 alive, 1 suspected, 2 dead, 3 left.
    is_leaving : bool
        Whether it drains.
    peer_address : str
        IP address and port of its peer listener, as it knows them.
    data_centre : str
        Name of its data centre.
    region : str
        Name of its region.
    """

    host: str
    incarnation: int
    counter: int
    state: int
    is_leaving: bool
    peer_address: str
    data_centre: str
    region: str


@attrs.frozen
class PeerHello:
    """First message of a connection, from the router that opened it.

    Attributes
    ----------
    member : MemberEntry
        Claim of the router that opened the connection.
    nonce : bytes
        Random bytes, never used again.
    target_host : str
        Host that is meant.
    target_incarnation : int
        Incarnation that is meant; 0 for any.
    """

    CODE: ClassVar[int] = 500

    member: MemberEntry
    nonce: bytes
    target_host: str
    target_incarnation: int


@attrs.frozen
class PeerWelcome:
    """Answer to a hello, with the proof that the sender knows the secret.

    Attributes
    ----------
    member : MemberEntry
        Claim of the router that accepted the connection.
    nonce : bytes
        Random bytes, never used again.
    proof : bytes
        Keyed hash over both nonces and identities.
    """

    CODE: ClassVar[int] = 501

    member: MemberEntry
    nonce: bytes
    proof: bytes


@attrs.frozen
class PeerProof:
    """Proof that the router that opened the connection knows the secret.

    Attributes
    ----------
    proof : bytes
        Keyed hash over both nonces and identities.
    """

    CODE: ClassVar[int] = 502

    proof: bytes


@attrs.frozen
class RegionAge:
    """Time since a region was heard from.

    Attributes
    ----------
    region : str
        Name of the region.
    age_ms : int
        Time since any router of the sender's region heard from it, in milliseconds.
    count : int
        Number of the contact; a later contact has a higher one.
    """

    region: str
    age_ms: int
    count: int


@attrs.frozen
class Probe:
    """Question whether a router is alive.

    Attributes
    ----------
    digest : int
        Hash of the sender's live members.
    ages : tuple[RegionAge, ...]
        Ages of the other regions.
    """

    CODE: ClassVar[int] = 504

    digest: int
    ages: tuple[RegionAge, ...] = ()


@attrs.frozen
class ProbeReply:
    """Answer to a probe.

    Attributes
    ----------
    digest : int
        Hash of the sender's live members.
    ages : tuple[RegionAge, ...]
        Ages of the other regions.
    """

    CODE: ClassVar[int] = 505

    digest: int
    ages: tuple[RegionAge, ...] = ()


@attrs.frozen
class BackendMark:
    """Word that a backend server is leaving.

    Attributes
    ----------
    host : str
        Name of the backend server.
    revision : int
        Revision of the host list that says so.
    """

    host: str
    revision: int


@attrs.frozen
class Rumours:
    """News that each router passes on once to its neighbours.

    Attributes
    ----------
    members : tuple[MemberEntry, ...]
        Changed members.
    marks : tuple[BackendMark, ...]
        Leaving backend servers.
    """

    CODE: ClassVar[int] = 506

    members: tuple[MemberEntry, ...] = ()
    marks: tuple[BackendMark, ...] = ()


@attrs.frozen
class MembersPull:
    """Request for all members."""

    CODE: ClassVar[int] = 507


@attrs.frozen
class MembersReply:
    """All members that the sender knows.

    Attributes
    ----------
    members : tuple[MemberEntry, ...]
        The members.
    """

    CODE: ClassVar[int] = 508

    members: tuple[MemberEntry, ...]


@attrs.frozen
class CheckRequest:
    """Request to try a router over a new connection.

    Attributes
    ----------
    host : str
        Name of the router's host.
    peer_address : str
        IP address and port of its peer listener.
    """

    CODE: ClassVar[int] = 509

    host: str
    peer_address: str


@attrs.frozen
class CheckReply:
    """What answered there.

    Attributes
    ----------
    incarnation : int
        Incarnation that answered; 0 if none did.
    """

    CODE: ClassVar[int] = 510

    incarnation: int


@attrs.frozen
class Frame:
    """One message on a connection.

    Attributes
    ----------
    kind : int
        0 for one-way, 1 for a request, 2 for a reply.
    number : int
        Number of the request; 0 for one-way.
    body : bytes
        Encoded message.
    """

    kind: int
    number: int
    body: bytes


@attrs.frozen
class FrameBatch:
    """Messages that travel together; empty as a heartbeat.

    Attributes
    ----------
    frames : tuple[Frame, ...]
        The messages, in order.
    """

    CODE: ClassVar[int] = 503

    frames: tuple[Frame, ...] = ()
