"""Settings of the programs. Generated from settings.json; do not edit."""

from __future__ import annotations

import attrs

__all__ = ["LogSection", "PlatformSection", "RouterSection", "SecuritySection"]


@attrs.frozen
class RouterSection:
    """Section router: what a router is and where it listens.

    Attributes
    ----------
    host : str
        Name of the entry host.
    data_centre : str
        Name of the data centre.
    region : str
        Name of the region.
    bind_address : str
        IP address of all listeners.
    caller_port : int
        Port for callers; 0 for a free one.
    operator_port : int
        Port for operators, metrics and health; 0 for a free one.
    peer_port : int
        Port for other routers; 0 for a free one.
    drain_timeout_s : float
        Time requests in progress may take after a planned stop, in seconds; 0 for no
        limit.
    drain_notice_s : float
        Time a router that stops as planned goes on taking requests while it says that
        it is not ready, in seconds.
    """

    host: str = attrs.field(validator=[attrs.validators.min_len(1)])
    data_centre: str = attrs.field(validator=[attrs.validators.min_len(1)])
    region: str = attrs.field(validator=[attrs.validators.min_len(1)])
    bind_address: str = "127.0.0.1"
    caller_port: int = attrs.field(
        default=8080, validator=[attrs.validators.ge(0), attrs.validators.le(65535)]
    )
    operator_port: int = attrs.field(
        default=8081, validator=[attrs.validators.ge(0), attrs.validators.le(65535)]
    )
    peer_port: int = attrs.field(
        default=8082, validator=[attrs.validators.ge(0), attrs.validators.le(65535)]
    )
    drain_timeout_s: float = attrs.field(
        default=0.0, validator=[attrs.validators.ge(0)]
    )
    drain_notice_s: float = attrs.field(default=3.0, validator=[attrs.validators.ge(0)])


@attrs.frozen
class PlatformSection:
    """Section platform: addresses of the platform's services.

    Attributes
    ----------
    table_address : str
        IP address and port of the table service.
    object_address : str
        IP address and port of the object store.
    hosts_address : str
        IP address and port of the host list.
    """

    table_address: str = attrs.field(
        validator=[attrs.validators.matches_re(".+:[0-9]+")]
    )
    object_address: str = attrs.field(
        validator=[attrs.validators.matches_re(".+:[0-9]+")]
    )
    hosts_address: str = attrs.field(
        validator=[attrs.validators.matches_re(".+:[0-9]+")]
    )


@attrs.frozen
class SecuritySection:
    """Section security: secrets; a value env:NAME is read from the environment.

    Attributes
    ----------
    peer_secret : str
        Secret that all routers share.
    operator_key : str
        Bearer key of the operators.
    """

    peer_secret: str = attrs.field(validator=[attrs.validators.min_len(16)])
    operator_key: str = attrs.field(validator=[attrs.validators.min_len(16)])


@attrs.frozen
class LogSection:
    """Section log: where log lines go.

    Attributes
    ----------
    path : str
        File of the eliot log; a minus sign for standard error.
    """

    path: str = "-"
