"""Decodes callers' headers and encodes the head of forwarded requests."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING
from urllib.parse import quote, unquote

from ..model import RequestHead
from ._fields import MalformedError

if TYPE_CHECKING:
    from collections.abc import Sequence

__all__ = [
    "encode_forwarded_head",
    "encode_peer_request_head",
    "read_request_head",
]

# Hop-by-hop headers and body framing, which apply to one connection only.
CONNECTION_HEADERS = {
    b"connection", b"keep-alive", b"proxy-authenticate", b"proxy-authorization",
    b"te", b"trailer", b"transfer-encoding", b"upgrade", b"proxy-connection",
    b"content-length", b"expect",
}  # fmt: skip
# Headers that only the router may set; those of callers are removed.
ROUTER_HEADERS = {
    b"authorization", b"x-tenant", b"x-expect-instance", b"x-deadline-ms",
    b"x-request-priority", b"x-expect-version", b"x-pin-ms", b"x-kv-retention",
    b"x-kv-replica", b"kv-from", b"kv-fetch", b"last-event-id", b"x-router-sends",
    b"x-router-regions",
}  # fmt: skip
# Headers that a router replaces when it forwards a request to another router.
REPLACED_HEADERS = {b"x-deadline-ms", b"x-router-sends", b"x-router-regions"}
MAX_TOKENS = 1_000_000_000  # Of one request; far beyond the memory of any engine.
MAX_PART_DIGITS = 9
MAX_SENDS = 99  # Of one request, to servers.
MAX_ID_BYTES = 200  # The limit of a key in the store.


def read_request_head(headers: Sequence[tuple[bytes, bytes]]) -> RequestHead:
    """Decode the headers of one request.

    Raises
    ------
    ValueError
        If a header that the router needs is missing, duplicated or malformed.
    """
    found: dict[bytes, bytes] = {}
    listed: set[bytes] = set()
    for name, value in headers:
        lower = name.lower()
        if lower == b"connection":
            listed |= _read_listed(value)
            continue
        if lower in found and lower in (b"x-attempt-id", b"authorization"):
            raise MalformedError("a header is duplicated")
        found[lower] = value
    request_id = found.get(b"x-attempt-id", b"").decode("latin-1")
    if not request_id or len(request_id) > MAX_ID_BYTES:
        raise MalformedError("the request id is missing or too long")
    prompt, output = _read_token_counts(found.get(b"x-token-counts"))
    last_event_id = found.get(b"last-event-id")
    resumes = found.get(b"resumes")
    return RequestHead(
        request_id=request_id,
        deadline_s=_read_deadline_s(found.get(b"x-deadline-ms")),
        key=_read_key(found.get(b"authorization")),
        prompt_tokens=prompt,
        max_output_tokens=output,
        prefix=_read_prefix(found.get(b"x-prefix-hash")),
        last_event_id=None
        if last_event_id is None
        else last_event_id.decode("latin-1"),
        resumes=None if resumes is None else resumes.decode("latin-1")[:MAX_ID_BYTES],
        earlier_sends=_read_sends(found.get(b"x-router-sends")),
        regions=_read_regions(found.get(b"x-router-regions")),
        forwarded=_copy_headers(headers, listed, ROUTER_HEADERS),
    )


def encode_forwarded_head(
    method: bytes,
    target: bytes,
    head: RequestHead,
    *,
    body_bytes: int | None,
    server_id: str,
    account: str | None,
    remaining_s: float | None,
    priority: int | None,
    last_event_id: str | None,
) -> bytes:
    """Return the head of a request that is forwarded to a backend server.

    Arguments that are None add no header.
    """
    lines = [method, b" ", target, b" HTTP/1.1\r\n", head.forwarded]
    lines.append(b"X-Expect-Instance: %b\r\n" % server_id.encode("latin-1"))
    if remaining_s is not None:
        lines.append(b"X-Deadline-Ms: %d\r\n" % max(1, int(remaining_s * 1000)))
    if account is not None:
        lines.append(b"X-Tenant: %b\r\n" % account.encode("latin-1"))
    if priority is not None:
        lines.append(b"X-Request-Priority: %d\r\n" % priority)
    if last_event_id is not None:
        lines.append(b"Last-Event-Id: %b\r\n" % last_event_id.encode("latin-1"))
    if body_bytes is not None:
        lines.append(b"Content-Length: %d\r\n" % body_bytes)
    lines.append(b"\r\n")
    return b"".join(lines)


def encode_peer_request_head(
    method: bytes,
    target: bytes,
    headers: Sequence[tuple[bytes, bytes]],
    *,
    body_bytes: int | None,
    remaining_s: float,
    sends: int,
    last_event_id: str | None,
    resumes: str | None,
    regions: frozenset[str] | None = None,
) -> bytes:
    """Return the head of a request that is forwarded to another router.

    It has the caller's own headers, the key included. `sends` is how often the request
    was sent to a server; with `last_event_id` and `resumes` it goes on with a stream.
    `regions` are its home regions, None without a restriction.
    """
    listed: set[bytes] = set()
    for name, value in headers:
        if name.lower() == b"connection":
            listed |= _read_listed(value)
    replaced = set(REPLACED_HEADERS)
    lines = [method, b" ", target, b" HTTP/1.1\r\n"]
    if last_event_id is not None:
        replaced |= {b"last-event-id", b"resumes"}
        lines.append(b"Last-Event-Id: %b\r\n" % last_event_id.encode("latin-1"))
        if resumes is not None:
            lines.append(b"Resumes: %b\r\n" % resumes.encode("latin-1"))
    lines.append(_copy_headers(headers, listed, replaced))
    lines.append(b"X-Deadline-Ms: %d\r\n" % max(1, int(remaining_s * 1000)))
    lines.append(b"X-Router-Sends: %d\r\n" % sends)
    if regions is not None:
        quoted = ",".join(quote(region, safe="") for region in sorted(regions))
        lines.append(b"X-Router-Regions: %b\r\n" % quoted.encode("ascii"))
    if body_bytes is not None:
        lines.append(b"Content-Length: %d\r\n" % body_bytes)
    lines.append(b"\r\n")
    return b"".join(lines)


def _read_listed(value: bytes) -> set[bytes]:
    """Return the names that a Connection header declares as hop-by-hop."""
    return {part.strip().lower() for part in value.split(b",")}


def _read_sends(value: bytes | None) -> int | None:
    """Return how often another router has sent the request, None from a caller."""
    if value is None or not value.isdigit() or len(value) > len(str(MAX_SENDS)):
        return None
    return int(value)


def _read_regions(value: bytes | None) -> frozenset[str] | None:
    """Return the home regions that another router states, None if it states none.

    Any other value names regions that may not exist, so that it lifts no restriction.
    """
    if value is None:
        return None
    return frozenset(unquote(part) for part in value.decode("latin-1").split(","))


def _copy_headers(
    headers: Sequence[tuple[bytes, bytes]], listed: set[bytes], replaced: set[bytes]
) -> bytes:
    """Return the lines of end-to-end headers that are not replaced.

    `listed` are the names that the Connection header declares as hop-by-hop.
    """
    lines = []
    for name, value in headers:
        lower = name.lower()
        if lower in CONNECTION_HEADERS or lower in replaced or lower in listed:
            continue
        lines.append(b"%b: %b\r\n" % (name, value))
    return b"".join(lines)


def _read_deadline_s(value: bytes | None) -> float | None:
    if value is None:
        return None
    try:
        deadline_s = float(value) / 1000
    except ValueError as error:
        raise MalformedError("the deadline is not a number") from error
    if not math.isfinite(deadline_s):
        raise MalformedError("the deadline is not finite")
    return max(0.0, deadline_s)


def _read_key(value: bytes | None) -> str | None:
    """Return the API key of a Bearer authorization, None for other schemes."""
    if value is None:
        return None
    scheme, _, key = value.decode("latin-1").strip().partition(" ")
    return key.strip() if scheme.lower() == "bearer" else None


def _read_token_counts(value: bytes | None) -> tuple[int, int]:
    """Return the number of prompt tokens and the limit of output tokens."""
    if value is None:
        return 0, 0
    prompt, _, output = value.partition(b",")
    try:
        counts = int(prompt), int(output)
    except ValueError as error:
        raise MalformedError("the token counts are not numbers") from error
    if not 0 <= min(counts) <= max(counts) <= MAX_TOKENS:
        raise MalformedError("the token counts are out of range")
    return counts


def _read_prefix(value: bytes | None) -> tuple[tuple[str, int], ...]:
    """Return the id and number of tokens of each part of the prompt's prefix.

    Malformed entries are skipped, since they only affect cache locality.
    """
    parts = []
    for entry in (value or b"").decode("latin-1").split(","):
        part_id, separator, tokens = entry.strip().partition(":")
        if not separator or not tokens.isdecimal() or len(tokens) > MAX_PART_DIGITS:
            continue
        parts.append((part_id, int(tokens)))
    return tuple(parts)
