"""Claims on non-repeatable requests, stored as table rows, and their transfer."""

from __future__ import annotations

import asyncio
import enum
from typing import TYPE_CHECKING

import attrs

from ..schema import ClaimRow, RouterId, RowWrite
from ..schema.codec import CodecError, decode_as, encode
from ..storage import OutcomeUnknownError, PlatformError
from ._ids import derive_request_id

if TYPE_CHECKING:
    from ..schema import Row
    from ._context import RequestContext
    from ._orders import CallerOrder

__all__ = ["Claim", "ClaimOutcome", "ClaimStore"]

# A nonce is written as 24 hexadecimal digits.
NONCE_BITS = 96
# Bounds the memory for unused claims. An evicted claim can neither be reused nor
# released to another router, so its key is refused from then on.
MAX_UNUSED_CLAIMS = 10_000


class ClaimOutcome(enum.Enum):
    """Outcome of an attempt to claim a request key.

    Attributes
    ----------
    OWN
        This router holds the claim.
    OTHER
        The claim row holds a different claim, of another router or an earlier one.
    OTHER_BODY
        The claim row names the digest of a different request.
    UNAVAILABLE
        The table did not confirm the claim before the deadline.
    """

    OWN = "own"
    OTHER = "other"
    OTHER_BODY = "other-body"
    UNAVAILABLE = "unavailable"


@attrs.frozen
class Claim:
    """Result of an attempt to claim a request key.

    Attributes
    ----------
    outcome : ClaimOutcome
        Which router holds the claim, or why that is unknown.
    holder : RouterId or None
        Router that holds the claim; None if the table did not confirm it.
    version : int
        Version of the claim row if another claim was found; else 0.
    nonce : str
        Nonce in the claim row if another claim was found; else empty.
    """

    outcome: ClaimOutcome
    holder: RouterId | None = None
    version: int = 0
    nonce: str = ""


class ClaimStore:
    """Inserts one claim row per request key; only its holder may dispatch.

    Rows are never deleted: a deletion whose reply was lost could take effect late and
    remove a newer claim. An unused claim is transferred by overwriting its row.

    Parameters
    ----------
    context : RequestContext
        Shared services and state of the request path.
    """

    def __init__(self, context: RequestContext) -> None:
        self._context = context
        self._own = context.membership.own.router_id
        self._active_nonces: dict[str, str] = {}
        self._unused_nonces: dict[str, str] = {}

    async def claim(self, order: CallerOrder) -> Claim:
        """Claim the only dispatch of a request, retrying until its deadline.

        Parameters
        ----------
        order : CallerOrder
            The request.

        Returns
        -------
        Claim
            Whether this router may dispatch the request.
        """
        return await self._write(order, 0)

    async def take_over(self, order: CallerOrder, version: int) -> Claim:
        """Claim a dispatch whose claim another router has just released.

        Parameters
        ----------
        order : CallerOrder
            The request.
        version : int
            Version of the claim row that names the other router.

        Returns
        -------
        Claim
            Whether this router may dispatch the request.
        """
        return await self._write(order, version)

    def finish(self, order: CallerOrder, is_dispatched: bool) -> None:
        """Record that a request under a claim has ended.

        Parameters
        ----------
        order : CallerOrder
            The request.
        is_dispatched : bool
            Whether a byte of it may have reached a backend server.
        """
        key = self._make_row_key(order.account, order.key)
        nonce = self._active_nonces.pop(key, None)
        if nonce is None or is_dispatched:
            return
        self._unused_nonces[key] = nonce
        if len(self._unused_nonces) > MAX_UNUSED_CLAIMS:
            del self._unused_nonces[next(iter(self._unused_nonces))]

    def release(self, account: str, key: str, nonce: str) -> bool:
        """Release an unused claim so that another router can take it over.

        Parameters
        ----------
        account : str
            Client account.
        key : str
            Request key.
        nonce : str
            Nonce in the claim row; a stale nonce releases nothing, because an
            earlier claim may have been used.

        Returns
        -------
        bool
            Whether this router will never dispatch under the claim.
        """
        row_key = self._make_row_key(account, key)
        if self._unused_nonces.get(row_key) != nonce:
            return False
        del self._unused_nonces[row_key]
        return True

    def _make_row_key(self, account: str, key: str) -> str:
        secret = self._context.settings.fleet_secret
        return "claim/" + derive_request_id(secret, account, key)

    async def _write(self, order: CallerOrder, version: int) -> Claim:
        key = self._make_row_key(order.account, order.key)
        new_nonce = f"{self._context.random.getrandbits(NONCE_BITS):024x}"
        nonce = self._unused_nonces.pop(key, new_nonce)
        self._active_nonces[key] = nonce
        content = ClaimRow(order.digest, self._own, nonce)
        write = RowWrite(key, version, encode(content))
        n_failures = 0
        while True:
            try:
                return await self._insert(write, content)
            except (PlatformError, CodecError):
                n_failures += 1
            source = self._context.random
            delay_s = self._context.retries.draw_delay_s(n_failures, source)
            if self._context.clock.monotonic() + delay_s >= order.deadline:
                return Claim(ClaimOutcome.UNAVAILABLE)
            await asyncio.sleep(delay_s)

    async def _insert(self, write: RowWrite, content: ClaimRow) -> Claim:
        try:
            reply = await self._context.table.transact((write,))
            if reply.is_committed:
                return Claim(ClaimOutcome.OWN, self._own)
            rows = reply.conflicts
        except OutcomeUnknownError:
            rows = await self._context.table.read((write.key,))
        return _classify_row(rows[0], write, content)


def _classify_row(row: Row, write: RowWrite, content: ClaimRow) -> Claim:
    if row.version <= write.expected_version:
        # The write whose reply was lost may still take effect. The retry expects the
        # same row version, so only one of the two writes can commit.
        raise OutcomeUnknownError("claim row has not been written yet")
    found = decode_as(row.value, ClaimRow)
    if found == content:
        return Claim(ClaimOutcome.OWN, found.router)
    if found.digest != content.digest:
        return Claim(ClaimOutcome.OTHER_BODY, found.router)
    return Claim(ClaimOutcome.OTHER, found.router, row.version, found.nonce)
