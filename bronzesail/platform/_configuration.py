"""Decodes the fleet configuration that operators write in the platform's JSON."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from ..model import (
    ClientAccount,
    Configuration,
    Engine,
    Limits,
    RequestKind,
    Route,
    Service,
)
from ._fields import (
    MAX_COLD_S,
    MalformedError,
    decode_object,
    read_amount,
    read_entries,
    read_int,
    read_map,
    read_text,
    read_texts,
)

if TYPE_CHECKING:
    from collections.abc import Iterable

__all__ = ["decode_configuration"]

KINDS = {
    "idempotent": RequestKind.IDEMPOTENT,
    "non_idempotent": RequestKind.ONCE,
    "streaming": RequestKind.STREAM,
}


def decode_configuration(body: bytes) -> Configuration:
    """Return the configuration that `body` holds.

    Raises
    ------
    ValueError
        If it is not valid JSON, or a field is missing or has a wrong type.
    """
    fields = decode_object(body)
    accounts = [_decode_account(entry) for entry in read_entries(fields, "tenants")]
    services = [_decode_service(entry) for entry in read_entries(fields, "services")]
    return Configuration(
        version=read_int(fields, "version"),
        routes=_index_routes(
            _decode_route(entry) for entry in read_entries(fields, "routes")
        ),
        services={service.name: service for service in services},
        accounts={account.name: account for account in accounts},
        limits=_decode_limits(
            read_map(fields, "limits") if fields.get("limits") else {}
        ),
        account_by_key={key: a for a in accounts for key in a.keys},
        encoded=body,
    )


def _index_routes(routes: Iterable[Route]) -> dict[str, tuple[Route, ...]]:
    """Return the routes by host name, those with the longest prefix first."""
    by_host: dict[str, list[Route]] = {}
    for route in routes:
        by_host.setdefault(route.host, []).append(route)
    return {
        host: tuple(sorted(found, key=lambda route: -len(route.prefix)))
        for host, found in by_host.items()
    }


def _decode_route(fields: dict[str, Any]) -> Route:
    kind = KINDS.get(read_text(fields, "routeKind"))
    if kind is None:
        raise MalformedError("the routeKind of a route is unknown")
    # A route names one service in "service", or several with weights in "split".
    split = read_entries(fields, "split")
    split = split or [{"service": fields.get("service"), "weight": 1}]
    timeout_s = read_int(fields, "timeoutMs", 15_000) / 1000
    return Route(
        name=read_text(fields, "name"),
        host=read_text(fields, "host").lower(),
        prefix=read_text(fields, "prefix"),
        kind=kind,
        timeout_s=timeout_s,
        objective_s=read_int(fields, "goalMs", int(timeout_s * 1000)) / 1000,
        max_attempts=max(1, read_int(fields, "maxAttempts", 1)),
        priority=read_int(fields, "priority", 5),
        is_public=fields.get("public") is True,
        is_resumable=fields.get("resumable") is True,
        services=tuple(
            (read_text(part, "service"), float(read_int(part, "weight", 1)))
            for part in split
        ),
        regions=_read_regions(fields),
    )


def _decode_service(fields: dict[str, Any]) -> Service:
    engine = fields.get("engine")
    malformed: list[str] = []
    return Service(
        name=read_text(fields, "name"),
        health_path=str(fields.get("healthPath") or "/"),
        max_connections=read_int(fields, "maxConns", 100),
        engine=_decode_engine(read_map(fields, "engine")) if engine else None,
        cold_start_s=read_amount(fields, "coldStartS", 0.0, malformed, MAX_COLD_S),
        cold_rate_per_s=read_amount(fields, "coldPerS", 0.0, malformed),
        malformed=tuple(malformed),
    )


def _decode_engine(fields: dict[str, Any]) -> Engine:
    return Engine(
        slots=read_int(fields, "slots", 1),
        cache_tokens=read_int(fields, "kvCapacity", 0),
        # "stride" is the largest number of tokens in one event of a stream.
        tokens_per_event=max(1, read_int(fields, "stride", 1)),
    )


def _decode_account(fields: dict[str, Any]) -> ClientAccount:
    has_prepaid = fields.get("reserved") is not None
    has_priority = fields.get("priority") is not None
    return ClientAccount(
        name=read_text(fields, "name"),
        keys=read_texts(fields, "apiKeys"),
        priority=read_int(fields, "priority") if has_priority else None,
        # "reserved" is the number of prepaid tokens of a day, not a reservation.
        prepaid_tokens=read_int(fields, "reserved") if has_prepaid else None,
        regions=_read_regions(fields),
    )


def _read_regions(fields: dict[str, Any]) -> frozenset[str] | None:
    """Return the home regions of a route or an account, None without a restriction."""
    return frozenset(read_texts(fields, "allowedRegions")) or None


def _decode_limits(fields: dict[str, Any]) -> Limits:
    default = Limits()
    header_ms = read_int(fields, "headerTimeoutMs", 3000)
    idle_ms = read_int(fields, "idleTimeoutMs", 15_000)
    return Limits(
        header_bytes=read_int(fields, "maxHeaderBytes", default.header_bytes),
        body_bytes=read_int(fields, "maxBodyBytes", default.body_bytes),
        header_timeout_s=header_ms / 1000,
        idle_timeout_s=idle_ms / 1000,
    )
