"""Decodes the TOML settings file that the platform writes for each process."""

from __future__ import annotations

import tomllib
from typing import Any

from ..model import Bounds, HostSettings, StoreSettings
from ._fields import (
    MalformedError,
    read_address,
    read_amount,
    read_int,
    read_map,
    read_text,
)

__all__ = ["SETTINGS_PATH_VARIABLE", "decode_settings"]

SETTINGS_PATH_VARIABLE = "BRONZESAIL_NODE_FILE"


def decode_settings(text: str) -> HostSettings:
    """Decode the contents of a settings file.

    Raises
    ------
    ValueError
        If `text` is not valid TOML, or a required field is missing or malformed.
    """
    fields = tomllib.loads(text)
    listen = read_map(fields, "listen")
    control = listen.get("controlPlane")
    ports = fields.get("internalPorts")
    if not isinstance(ports, list) or len(ports) != 2:
        raise MalformedError("internalPorts is not a list of two ports")
    limits = fields.get("limits", {})
    # The parts of the platform's contract that are in force.
    contract = fields.get("invariants")
    return HostSettings(
        host=read_text(fields, "nodeName"),
        ip=read_text(fields, "ip"),
        zone=read_text(fields, "zone"),
        region_by_zone={str(k): str(v) for k, v in read_map(fields, "zones").items()},
        caller_address=read_address(listen.get("frontend")),
        ready_address=read_address(listen.get("ready")),
        control_address=None if control is None else read_address(control),
        internal_ports=(int(ports[0]), int(ports[1])),
        seeds=tuple(read_address(seed) for seed in fields.get("seeds", ())),
        bounds=_decode_bounds(fields.get("bounds", {})),
        store=_decode_store(read_map(fields, "platform")),
        memory_bytes=read_int(limits, "memoryMb", 300) * 1_000_000,
        link_mbps=float(read_int(limits, "linkMbps", 1000)),
        heartbeat_s=read_int(fields, "heartbeatMs", 1200) / 1000,
        is_capacity_scarce=isinstance(contract, list) and "pressure" in contract,
    )


def _decode_bounds(fields: dict[str, Any]) -> Bounds:
    malformed: list[str] = []
    return Bounds(
        drain_s=float(fields.get("drainMs", 3000)) / 1000,
        grace_s=float(fields.get("graceS", 8)),
        retry_ratio=float(fields.get("retryBudgetRatio", 0.2)),
        retry_slack=float(fields.get("budgetSlack", 50)),
        retry_window_s=float(fields.get("budgetWindowS", 10)),
        # Without these a cold server gets no more than its service's cold rate.
        cold_overshoot=read_amount(fields, "coldOvershoot", 1.0, malformed),
        cold_tolerance=read_amount(fields, "coldTolerance", 0.0, malformed),
        malformed=tuple(malformed),
        evacuate_s=float(fields.get("evacuateMs", 5000)) / 1000,
    )


def _decode_store(fields: dict[str, Any]) -> StoreSettings:
    ip, port = read_address(fields.get("address"))
    return StoreSettings(
        ip=ip, port=port, row_bytes=read_int(fields, "rowBytes", 65536)
    )
