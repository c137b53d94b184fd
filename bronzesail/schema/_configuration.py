"""Configuration entries, which the questionnaire generates. Generated from configuration.json; do not edit."""

from __future__ import annotations

from typing import ClassVar

import attrs

from ._common import RouterId

__all__ = [
    "ApplyReport",
    "ApplyRequest",
    "ClientAccount",
    "ConfigurationChange",
    "ConfigurationDelta",
    "ConfigurationHead",
    "ConfigurationHint",
    "ConfigurationPull",
    "ConfigurationSettings",
    "ConfigurationVersion",
    "Deployment",
    "MissingRouter",
    "PriorityClass",
    "Region",
    "ServiceEntry",
    "VersionAwait",
    "VersionReached",
]


@attrs.frozen
class ServiceEntry:
    """A service that callers may use.

    Attributes
    ----------
    name : str
        Name of the service, as in the caller's path.
    kind : str
        Either model or plain.
    is_repeatable : bool
        Whether a POST may run more than once; a GET always may.
    max_output_tokens : int
        Greatest output limit of one request, in tokens.
    call_cost_tokens : int
        Charge for one call of a plain service, in tokens.
    silence_limit_ms : int
        Time without a byte after which a stream is probed, in milliseconds.
    checks_fencing : bool
        Whether its backend servers refuse an order with an old fencing number.
    """

    CODE: ClassVar[int] = 200

    name: str
    kind: str
    is_repeatable: bool
    max_output_tokens: int = 4096
    call_cost_tokens: int = 1
    silence_limit_ms: int = 5000
    checks_fencing: bool = False


@attrs.frozen
class PriorityClass:
    """A class of requests with one priority.

    Attributes
    ----------
    name : str
        Name of the class, such as review, answer or tag.
    priority : int
        Priority; a smaller number is served earlier.
    deadline_ms : int
        Default deadline of a request, in milliseconds.
    ageing_ms : int
        Waiting time that raises the priority by one, in milliseconds.
    """

    CODE: ClassVar[int] = 201

    name: str
    priority: int
    deadline_ms: int = 30000
    ageing_ms: int = 5000


@attrs.frozen
class ClientAccount:
    """A client account that may call services.

    Attributes
    ----------
    name : str
        Name of the client account.
    key_salt : bytes
        Salt of the bearer key's hash.
    key_hash : bytes
        Salted hash of the bearer key.
    services : tuple[str, ...]
        Services the client account may use; empty for all.
    default_class : str
        Class of a request that names none.
    is_closed : bool
        Whether its requests are refused.
    """

    CODE: ClassVar[int] = 202

    name: str
    key_salt: bytes
    key_hash: bytes
    services: tuple[str, ...] = ()
    default_class: str = "answer"
    is_closed: bool = False


@attrs.frozen
class Deployment:
    """Settings that hold for the whole deployment.

    Attributes
    ----------
    name : str
        Name of the deployment.
    preference : str
        Either fewer-refusals or tighter-spend.
    link_bytes_per_s : int
        Bytes a second that the inter-region link may carry.
    """

    CODE: ClassVar[int] = 203

    name: str
    preference: str = "fewer-refusals"
    link_bytes_per_s: int = 1875000


@attrs.frozen
class Region:
    """A region and its data centres.

    Attributes
    ----------
    name : str
        Name of the region.
    data_centres : tuple[str, ...]
        Names of its data centres.
    """

    CODE: ClassVar[int] = 213

    name: str
    data_centres: tuple[str, ...]


@attrs.frozen
class ConfigurationChange:
    """One entity set or removed by a configuration version.

    Attributes
    ----------
    kind : str
        One of deployment, region, service, class and account.
    name : str
        Name of the entity.
    value : bytes
        Encoded entity; empty for a removal.
    """

    kind: str
    name: str
    value: bytes = b""


@attrs.frozen
class ConfigurationVersion:
    """One accepted entry of the configuration log.

    Attributes
    ----------
    version : int
        Version number, from 1.
    operator : str
        Name of the operator who applied it.
    schema_level : int
        Lowest schema level of the program that understands it.
    changes : tuple[ConfigurationChange, ...]
        The changes, in order.
    apply_id : str
        Number drawn by the router that appended the entry.
    """

    CODE: ClassVar[int] = 204

    version: int
    operator: str
    schema_level: int
    changes: tuple[ConfigurationChange, ...]
    apply_id: str = ""


@attrs.frozen
class ConfigurationHead:
    """Row that names the last version of the log.

    Attributes
    ----------
    version : int
        Version of the last entry.
    """

    CODE: ClassVar[int] = 205

    version: int


@attrs.frozen
class ConfigurationHint:
    """Word to a neighbour that a version exists.

    Attributes
    ----------
    version : int
        Version in force at the sender.
    """

    CODE: ClassVar[int] = 206

    version: int


@attrs.frozen
class ConfigurationPull:
    """Request for the entries after a version.

    Attributes
    ----------
    after : int
        Last version that the sender has.
    limit : int
        Greatest number of entries.
    """

    CODE: ClassVar[int] = 207

    after: int
    limit: int = 200


@attrs.frozen
class ConfigurationDelta:
    """Entries of the log, in order and without a gap.

    Attributes
    ----------
    head : int
        Version in force at the sender.
    entries : tuple[ConfigurationVersion, ...]
        The entries; a snapshot is one entry that sets every entity.
    is_snapshot : bool
        Whether the entry stands for all up to its version.
    """

    CODE: ClassVar[int] = 208

    head: int
    entries: tuple[ConfigurationVersion, ...] = ()
    is_snapshot: bool = False


@attrs.frozen
class ApplyRequest:
    """Operator's call that applies changes.

    Attributes
    ----------
    operator : str
        Name of the operator.
    base_version : int
        Version on which the changes were made.
    changes : tuple[ConfigurationChange, ...]
        The changes, in order.
    """

    CODE: ClassVar[int] = 211

    operator: str
    base_version: int
    changes: tuple[ConfigurationChange, ...]


@attrs.frozen
class ApplyReport:
    """Outcome of an accepted change.

    Attributes
    ----------
    version : int
        Version that the change became.
    acknowledged : tuple[RouterId, ...]
        Routers where it is in force.
    missing : tuple[MissingRouter, ...]
        Routers that have not acknowledged it.
    """

    CODE: ClassVar[int] = 212

    version: int
    acknowledged: tuple[RouterId, ...] = ()
    missing: tuple[MissingRouter, ...] = ()


@attrs.frozen
class MissingRouter:
    """Router that has not acknowledged a version.

    Attributes
    ----------
    router : RouterId
        The router.
    reason : str
        Why, as far as is known.
    """

    router: RouterId
    reason: str


@attrs.frozen
class VersionAwait:
    """Request to answer once a version is in force.

    Attributes
    ----------
    version : int
        The version.
    wait_ms : int
        Greatest time to wait, in milliseconds.
    """

    CODE: ClassVar[int] = 209

    version: int
    wait_ms: int


@attrs.frozen
class VersionReached:
    """Version in force at the sender.

    Attributes
    ----------
    version : int
        Version in force.
    detail : str
        Why a higher version is not in force; empty if it is.
    """

    CODE: ClassVar[int] = 210

    version: int
    detail: str = ""


@attrs.frozen
class ConfigurationSettings:
    """Settings of the propagation of the configuration.

    Attributes
    ----------
    poll_interval_ms : int
        Time between reads of the head row by a poller, in milliseconds.
    idle_poll_interval_ms : int
        Time between reads of the head row by other routers, in milliseconds.
    n_pollers : int
        Routers of a data centre that read the head row often.
    pull_timeout_ms : int
        Time for the reply to a pull, in milliseconds.
    apply_timeout_ms : int
        Time that apply waits for acknowledgements, in milliseconds.
    """

    poll_interval_ms: int = 1000
    idle_poll_interval_ms: int = 30000
    n_pollers: int = 2
    pull_timeout_ms: int = 2000
    apply_timeout_ms: int = 9000
