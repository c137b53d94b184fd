"""Decodes the directory entries in which backend servers announce themselves."""

from __future__ import annotations

from typing import Any

from ..model import BackendServer
from ._fields import (
    MAX_COLD_S,
    MalformedError,
    decode_object,
    read_address,
    read_int,
    read_text,
)

__all__ = ["decode_server"]

MALFORMED_TIME_S = -1.0


def decode_server(server_id: str, value: bytes) -> BackendServer:
    """Decode the entry of a backend server.

    Raises
    ------
    ValueError
        If the entry is malformed or does not describe a usable server.
    """
    if not (server_id.isascii() and server_id.isprintable()):
        raise MalformedError("the id cannot stand in a header")
    fields = decode_object(value)
    state = read_text(fields, "state")
    if state not in ("ready", "draining"):
        raise MalformedError(f"the state {state!r} is unknown")
    ip, port = read_address(fields.get("address"))
    slots = read_int(fields, "slots")
    if slots < 1:
        raise MalformedError("slots is less than 1")
    return BackendServer(
        id=server_id,
        service=read_text(fields, "service"),
        version=read_text(fields, "version"),
        ip=ip,
        port=port,
        zone=read_text(fields, "zone"),
        slots=slots,
        is_draining=state == "draining",
        cold_left_s=_read_cold_left_s(fields),
        # "born" is the time of the server's start in milliseconds.
        born_ms=read_int(fields, "born", 0),
    )


def _read_cold_left_s(fields: dict[str, Any]) -> float:
    """Return the remaining time in which a server is cold, negative if malformed."""
    value = fields.get("coldLeftMs", 0)
    if isinstance(value, bool) or not isinstance(value, (int, float)):
        return MALFORMED_TIME_S
    cold_left_s = read_int(fields, "coldLeftMs", 0) / 1000
    return cold_left_s if 0 <= cold_left_s <= MAX_COLD_S else MALFORMED_TIME_S


def encode_report_request(server: BackendServer) -> bytes:
    """Return the request by which a model engine is asked for its state.

    It takes no slot of the engine.
    """
    return b"GET /report HTTP/1.1\r\nHost: %b:%d\r\n\r\n" % (
        server.ip.encode("ascii"),
        server.port,
    )


def decode_server_start(report: bytes) -> int:
    """Return the start of a server from its state, in Unix milliseconds.

    Raises
    ------
    ValueError
        If the state is malformed or does not hold the start.
    """
    return read_int(decode_object(report), "born")
