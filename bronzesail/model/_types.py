"""Types that every part of the router shares; all times are in seconds."""

from __future__ import annotations

import enum

import attrs

__all__ = [
    "AnswerHead",
    "BackendServer",
    "Bounds",
    "ClientAccount",
    "Configuration",
    "Engine",
    "Feature",
    "HostSettings",
    "Limits",
    "RequestHead",
    "RequestKind",
    "Route",
    "Service",
    "StoreSettings",
]


class RequestKind(enum.Enum):
    """What may be repeated of a request."""

    IDEMPOTENT = "idempotent"
    ONCE = "once"
    STREAM = "stream"


class Feature(enum.Enum):
    """Parts of the router that can be switched off for a comparison."""

    LINK_PROTECTION = "link-protection"
    SERVER_PACE = "server-pace"
    SERVER_SPEED = "server-speed"
    START_ESTIMATES = "start-estimates"
    CALLER_MEMORY = "caller-memory"


@attrs.frozen(kw_only=True)
class Engine:
    """What a service of model engines offers, each engine alike."""

    slots: int
    cache_tokens: int
    tokens_per_event: int


@attrs.frozen(kw_only=True)
class Service:
    """A set of backend servers that serve the same routes.

    A server is cold for `cold_start_s` after its start. While it is cold it accepts
    about `cold_rate_per_s` requests a second from all routers together; 0 means that
    there is no limit. `malformed` names ignored fields.
    """

    name: str
    health_path: str
    max_connections: int
    engine: Engine | None = None
    cold_start_s: float = 0.0
    cold_rate_per_s: float = 0.0
    malformed: tuple[str, ...] = ()


@attrs.frozen(kw_only=True)
class Route:
    """Requests of one host name and path prefix, and how they are served."""

    name: str
    host: str
    prefix: str
    kind: RequestKind
    timeout_s: float
    objective_s: float
    max_attempts: int
    priority: int
    is_public: bool
    is_resumable: bool
    services: tuple[tuple[str, float], ...]
    regions: frozenset[str] | None = None  # Home regions, None for all.

    @property
    def may_repeat(self) -> bool:
        """Whether a request that may have run can be sent again."""
        return self.kind is RequestKind.IDEMPOTENT or self.is_resumable


@attrs.frozen(kw_only=True)
class ClientAccount:
    """A client account: its keys and the tokens that it has prepaid."""

    name: str
    keys: tuple[str, ...]
    priority: int | None
    prepaid_tokens: int | None
    regions: frozenset[str] | None = None  # Home regions, None for all.


@attrs.frozen(kw_only=True)
class Limits:
    """What a caller may send and how long it may take."""

    header_bytes: int = 16_384
    body_bytes: int = 4_194_304
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


@attrs.frozen(kw_only=True)
class Configuration:
    """One accepted version of the configuration, in full."""

    version: int
    routes: dict[str, tuple[Route, ...]]
    services: dict[str, Service]
    accounts: dict[str, ClientAccount]
    limits: Limits
    account_by_key: dict[str, ClientAccount]
    encoded: bytes

    def find_route(self, host: str, path: str) -> Route | None:
        """Return the route of `host` with the longest prefix that begins `path`."""
        for route in self.routes.get(host, ()):
            if path.startswith(route.prefix):
                return route
        return None


@attrs.frozen(kw_only=True)
class BackendServer:
    """One start of a backend server, as the directory lists it.

    `version` is that of its software; streams of two versions do not fit together. It
    is empty in the list of a router whose build does not know versions. `cold_left_s`
    is negative if the entry's value is malformed.
    """

    id: str
    service: str
    version: str = ""
    ip: str
    port: int
    zone: str
    slots: int
    is_draining: bool
    cold_left_s: float
    born_ms: int

    @property
    def address(self) -> tuple[str, int]:
        """IP address and port."""
        return self.ip, self.port


@attrs.frozen(kw_only=True)
class RequestHead:
    """What a caller's headers say, beside what is passed on unchanged.

    `last_event_id` is set if the caller takes up a stream that broke off. `resumes` is
    the id of the request that brought the stream's first event, None if not stated.
    `earlier_sends` is how often another router, which forwards the request, has sent it
    to servers; None if it comes from a caller. `regions` are the home regions that the
    other router knows, None without a restriction.
    """

    request_id: str
    deadline_s: float | None
    key: str | None
    prompt_tokens: int
    max_output_tokens: int
    prefix: tuple[tuple[str, int], ...]
    last_event_id: str | None
    resumes: str | None
    earlier_sends: int | None
    forwarded: bytes
    regions: frozenset[str] | None = None

    @property
    def max_tokens(self) -> int:
        """The most tokens that the request can cost."""
        return self.prompt_tokens + self.max_output_tokens


@attrs.frozen(kw_only=True)
class AnswerHead:
    """What a backend server's headers say of its answer and of the server.

    `has_length` is unset if the body ends with the connection only.
    `is_leaving` is set if the server will stop, `pause_s` if it wants no request from
    this router for that many seconds. `max_rate_per_s` is the requests a second that it
    accepts from all routers together, None without a limit. `max_rejected_per_s` is the
    requests a second that it can reject without falling over, None if it is not
    brittle. `cold_left_s` is how long the server stays cold, None if it is not stated.
    `store_era` is sent by the
    store only, and rises whenever it comes back from an older copy. `malformed` names
    ignored headers. `slots` and `slowness` come with the load; `slowness` is how long
    work takes at the server, 1.0 as usual, None if the server does not report it.
    """

    status: int
    request_id: str | None
    is_not_run: bool
    is_sealed: bool
    is_encoded: bool
    running: int | None
    waiting: int | None
    passed_on: bytes
    has_length: bool = True
    is_leaving: bool = False
    pause_s: float | None = None
    max_rate_per_s: float | None = None
    max_rejected_per_s: float | None = None
    cold_left_s: float | None = None
    malformed: tuple[str, ...] = ()
    store_era: int | None = None
    slots: int | None = None
    slowness: float | None = None


@attrs.frozen(kw_only=True)
class Bounds:
    """Limits that the operators set for the whole fleet.

    A cold server of a service gets at most the service's cold rate times
    `cold_overshoot`, plus `cold_tolerance`, requests in any second. `malformed` names
    ignored fields.
    """

    drain_s: float
    grace_s: float
    retry_ratio: float
    retry_slack: float
    retry_window_s: float
    cold_overshoot: float = 1.0
    cold_tolerance: float = 0.0
    malformed: tuple[str, ...] = ()
    # From the evacuation of a data centre until no request reaches a server there.
    evacuate_s: float = 5.0


@attrs.frozen(kw_only=True)
class StoreSettings:
    """Where the store is and what it takes."""

    ip: str
    port: int
    row_bytes: int


@attrs.frozen(kw_only=True)
class HostSettings:
    """What a router process is told when it starts."""

    host: str
    ip: str
    zone: str
    region_by_zone: dict[str, str]
    caller_address: tuple[str, int]
    ready_address: tuple[str, int]
    control_address: tuple[str, int] | None
    internal_ports: tuple[int, int]
    seeds: tuple[tuple[str, int], ...]
    bounds: Bounds
    store: StoreSettings
    memory_bytes: int
    link_mbps: float
    heartbeat_s: float  # Between two renewals of a backend server's entry.
    # Whether callers compete for too little capacity, according to the operators.
    is_capacity_scarce: bool = False

    @property
    def region(self) -> str:
        """The region that the host stands in."""
        return self.region_by_zone.get(self.zone, "")
