"""HTTP polls of a backend server's load report and cache events."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING, TypeVar

import cattrs

from ..http import HttpCall, HttpError
from ..schema import CacheEventsReply, LoadReport

if TYPE_CHECKING:
    from ..http import HttpClient
    from ..schema import HostEntry

__all__ = ["PollError", "fetch_events", "fetch_load"]

T = TypeVar("T")

HTTP_OK = 200


class PollError(Exception):
    """Raised when a poll fails or its reply is malformed."""


async def fetch_load(
    client: HttpClient, entry: HostEntry, timeout_s: float
) -> LoadReport:
    """Fetch the load report of a backend server.

    Parameters
    ----------
    client : HttpClient
        HTTP client.
    entry : HostEntry
        The backend server.
    timeout_s : float
        Timeout of the reply, in seconds.

    Returns
    -------
    LoadReport
        The report.

    Raises
    ------
    PollError
        If the server is unreachable or its reply is not a valid load report.
    """
    return await _fetch(client, entry, "/v1/load", timeout_s, LoadReport)


async def fetch_events(
    client: HttpClient, entry: HostEntry, after: int, timeout_s: float
) -> CacheEventsReply:
    """Fetch the prefix cache events of a backend server.

    Parameters
    ----------
    client : HttpClient
        HTTP client.
    entry : HostEntry
        The backend server.
    after : int
        Sequence number of the last event seen; later events are returned.
    timeout_s : float
        Timeout of the reply, in seconds.

    Returns
    -------
    CacheEventsReply
        The events, and the incarnation of the server.

    Raises
    ------
    PollError
        If the server is unreachable or its reply is malformed.
    """
    target = f"/v1/cache-events?after={after}"
    return await _fetch(client, entry, target, timeout_s, CacheEventsReply)


async def _fetch(
    client: HttpClient,
    entry: HostEntry,
    target: str,
    timeout_s: float,
    reply_type: type[T],
) -> T:
    """Send a GET request and decode its JSON reply; raise `PollError` on failure."""
    call = HttpCall(entry.address, "GET", target, timeout_s=timeout_s)
    try:
        status, body = await client.fetch(call)
    except HttpError as error:
        raise PollError(f"poll of {entry.host} failed: {error}") from error
    if status != HTTP_OK:
        raise PollError(f"poll of {entry.host} returned status {status}")
    try:
        return cattrs.structure(json.loads(body), reply_type)
    except (ValueError, cattrs.BaseValidationError) as error:
        raise PollError(f"poll of {entry.host} returned a malformed reply") from error
