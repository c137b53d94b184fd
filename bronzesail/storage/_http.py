"""HTTP clients of the platform's table service, object store and host list."""

from __future__ import annotations

import itertools
from typing import TYPE_CHECKING, TypeVar
from urllib.parse import quote

import attrs

from ..http import ExchangeBrokenError, HttpCall, NotSentError
from ..schema import (
    HostList,
    ReadRequest,
    RowsReply,
    ScanRequest,
    TransactReply,
    TransactRequest,
)
from ..schema.codec import CodecError, decode_as, encode
from ._interfaces import (
    OutcomeUnknownError,
    PlatformError,
    ThrottledError,
    UnreachableError,
)

if TYPE_CHECKING:
    from typing import Any

    from ..http import HttpClient
    from ..schema import Row, RowCheck, RowWrite

__all__ = ["HttpHostDirectory", "HttpObjectStore", "HttpTable"]

M = TypeVar("M")

TRANSACT_TIMEOUT_S = 5.0
PROBE_TIMEOUT_S = 2.0
STATUS_OK = 200
STATUS_NOT_FOUND = 404
STATUS_THROTTLED = 429
STATUS_SERVER_ERROR = 500


class _NotFoundError(PlatformError):
    """Raised when the service knows no such path or object."""


class HttpTable:
    """Client of the transactional table service.

    A transaction is sent once. The service keeps no record of the writer's sequence
    numbers, so after a lost answer the caller reads the rows back. A read that shows
    no effect is not the last word: a transaction that was delayed on its way may
    still take effect, until a row it names has another version than it expects.

    Parameters
    ----------
    address : str
        IP address and port of the service.
    client : HttpClient
        Client with the connections.
    writer : str
        Identity of this process in the service's log.
    transact_timeout_s : float
        Time for the answer to a transaction, in seconds.
    """

    def __init__(
        self,
        address: str,
        client: HttpClient,
        writer: str,
        transact_timeout_s: float = TRANSACT_TIMEOUT_S,
    ) -> None:
        self._address = address
        self._client = client
        self._writer = writer
        self._transact_timeout_s = transact_timeout_s
        self._sequence = itertools.count(1)

    async def read(self, keys: tuple[str, ...]) -> tuple[Row, ...]:
        """Return the rows of the keys, in order; an absent row has version 0."""
        rows = await self._fetch_rows("/table/read", ReadRequest(keys))
        if len(rows) != len(keys):
            raise OutcomeUnknownError("table service answered with too few rows")
        return rows

    async def scan(
        self, prefix: str, after: str = "", limit: int = 1000
    ) -> tuple[Row, ...]:
        """Return rows under a prefix in key order."""
        return await self._fetch_rows("/table/scan", ScanRequest(prefix, after, limit))

    async def transact(
        self, writes: tuple[RowWrite, ...], checks: tuple[RowCheck, ...] = ()
    ) -> TransactReply:
        """Write rows if every condition holds, else nothing."""
        sequence = next(self._sequence)
        request = TransactRequest(self._writer, sequence, writes, checks)
        timeout_s = self._transact_timeout_s
        call = self._make_call("/table/transact", request, timeout_s=timeout_s)
        return _decode_reply(await _fetch_ok(self._client, call), TransactReply)

    async def _fetch_rows(self, target: str, request: Any) -> tuple[Row, ...]:
        call = self._make_call(target, request)
        body = await _fetch_twice(self._client, call)
        return _decode_reply(body, RowsReply).rows

    def _make_call(self, target: str, request: Any, timeout_s: float = 0) -> HttpCall:
        body = encode(request)
        return HttpCall(self._address, "POST", target, body=body, timeout_s=timeout_s)


class HttpObjectStore:
    """Client of the object store.

    Parameters
    ----------
    address : str
        IP address and port of the service.
    client : HttpClient
        Client with the connections.
    """

    def __init__(self, address: str, client: HttpClient) -> None:
        self._address = address
        self._client = client

    async def put(self, name: str, data: bytes) -> None:
        """Store an object; the same name and data may be stored again."""
        call = HttpCall(self._address, "PUT", _name_object(name), body=data)
        await _fetch_twice(self._client, call)

    async def get(self, name: str) -> bytes | None:
        """Return an object's content, or None if there is none."""
        call = HttpCall(self._address, "GET", _name_object(name))
        try:
            return await _fetch_twice(self._client, call)
        except _NotFoundError:
            return None


class HttpHostDirectory:
    """Client of the platform's lagging host list.

    Parameters
    ----------
    address : str
        IP address and port of the service.
    client : HttpClient
        Client with the connections.
    region : str
        Region of the asking host; the addresses are those seen from there.
    """

    def __init__(self, address: str, client: HttpClient, region: str) -> None:
        self._address = address
        self._client = client
        self._region = region

    async def fetch(self, known_revision: int = 0) -> HostList:
        """Return the list; without entries if its revision is the known one."""
        region = quote(self._region, safe="")
        target = f"/hosts?region={region}&known_revision={known_revision}"
        call = HttpCall(self._address, "GET", target)
        return _decode_reply(await _fetch_twice(self._client, call), HostList)


def _name_object(name: str) -> str:
    return f"/objects/{quote(name, safe='')}"


async def _fetch_twice(client: HttpClient, call: HttpCall) -> bytes:
    """Send an idempotent call, and once more over a new connection if need be.

    A pooled connection may have gone silent, so it gets less time.
    """
    try:
        return await _fetch_ok(client, attrs.evolve(call, timeout_s=PROBE_TIMEOUT_S))
    except OutcomeUnknownError:
        return await _fetch_ok(client, attrs.evolve(call, is_fresh=True))


async def _fetch_ok(client: HttpClient, call: HttpCall) -> bytes:
    try:
        status, body = await client.fetch(call)
    except NotSentError as error:
        raise UnreachableError(str(error)) from error
    except ExchangeBrokenError as error:
        raise OutcomeUnknownError(str(error)) from error
    if status == STATUS_OK:
        return body
    if status == STATUS_NOT_FOUND:
        raise _NotFoundError(f"{call.target} is unknown")
    if status == STATUS_THROTTLED:
        raise ThrottledError(f"{call.target} was refused for the rate limit")
    if status >= STATUS_SERVER_ERROR:
        raise OutcomeUnknownError(f"{call.target} answered with status {status}")
    raise PlatformError(f"{call.target} was refused with status {status}")


def _decode_reply(body: bytes, reply_type: type[M]) -> M:
    try:
        return decode_as(body, reply_type)
    except CodecError as error:
        raise OutcomeUnknownError(f"unreadable answer: {error}") from error
