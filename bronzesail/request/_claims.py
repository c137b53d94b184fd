"""Claims of once-only work as rows of the table, and their transfer."""

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

NONCE_BITS = 96
MAX_UNUSED = 10_000


class ClaimOutcome(enum.Enum):
    """What became of a claim."""

    OWN = "own"
    OTHER = "other"
    OTHER_BODY = "other-body"
    UNAVAILABLE = "unavailable"


@attrs.frozen
class Claim:
    """Outcome of a claim.

    Attributes
    ----------
    outcome : ClaimOutcome
        What became of it.
    holder : RouterId or None
        Router that has the claim; None if the table did not tell.
    version : int
        Version of the claim's row.
    nonce : str
        Value in the claim's row.
    """

    outcome: ClaimOutcome
    holder: RouterId | None = None
    version: int = 0
    nonce: str = ""


class ClaimStore:
    """Inserts a row a request key; only who inserted it may dispatch.

    Rows are never deleted: a deletion whose answer was lost could arrive late and
    remove a newer claim. A claim that was not used is handed on instead.

    Parameters
    ----------
    context : RequestContext
        Collaborators.
    """

    def __init__(self, context: RequestContext) -> None:
        self._context = context
        self._own = context.membership.own.router_id
        self._active: dict[str, str] = {}
        self._unused: dict[str, str] = {}

    async def claim(self, order: CallerOrder) -> Claim:
        """Claim the one dispatch of a request, until its deadline.

        Parameters
        ----------
        order : CallerOrder
            The request.

        Returns
        -------
        Claim
            Whether this router may dispatch it.
        """
        return await self._write(order, 0)

    async def take_over(self, order: CallerOrder, version: int) -> Claim:
        """Claim a dispatch that another router has just given up.

        Parameters
        ----------
        order : CallerOrder
            The request.
        version : int
            Version of the row that names the other router.

        Returns
        -------
        Claim
            Whether this router may dispatch it.
        """
        return await self._write(order, version)

    def finish(self, order: CallerOrder, is_dispatched: bool) -> None:
        """Learn that a request under a claim has ended.

        Parameters
        ----------
        order : CallerOrder
            The request.
        is_dispatched : bool
            Whether a byte of it may have reached a backend server.
        """
        key = self._make_row_key(order.account, order.key)
        nonce = self._active.pop(key, None)
        if nonce is None or is_dispatched:
            return
        self._unused[key] = nonce
        if len(self._unused) > MAX_UNUSED:
            del self._unused[next(iter(self._unused))]

    def release(self, account: str, key: str, nonce: str) -> bool:
        """Give up a claim that was never used, for another router.

        Parameters
        ----------
        account : str
            Client account.
        key : str
            Request key.
        nonce : str
            Value in the claim's row; an earlier claim may have been used.

        Returns
        -------
        bool
            Whether this router will never dispatch under the claim.
        """
        row_key = self._make_row_key(account, key)
        if self._unused.get(row_key) != nonce:
            return False
        del self._unused[row_key]
        return True

    def _make_row_key(self, account: str, key: str) -> str:
        secret = self._context.settings.fleet_secret
        return "claim/" + derive_request_id(secret, account, key)

    async def _write(self, order: CallerOrder, version: int) -> Claim:
        key = self._make_row_key(order.account, order.key)
        fresh = f"{self._context.random.getrandbits(NONCE_BITS):024x}"
        nonce = self._unused.pop(key, fresh)
        self._active[key] = nonce
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
        return _judge(rows[0], write, content)


def _judge(row: Row, write: RowWrite, content: ClaimRow) -> Claim:
    if row.version <= write.expected_version:
        # The lost write may still arrive; the next one settles which of them wins.
        raise OutcomeUnknownError("claim row not written yet")
    found = decode_as(row.value, ClaimRow)
    if found == content:
        return Claim(ClaimOutcome.OWN, found.router)
    if found.digest != content.digest:
        return Claim(ClaimOutcome.OTHER_BODY, found.router)
    return Claim(ClaimOutcome.OTHER, found.router, row.version, found.nonce)
