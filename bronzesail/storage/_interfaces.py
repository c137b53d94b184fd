"""Protocol types and errors of the platform's services."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from ..schema import HostList, Row, RowCheck, RowWrite, TransactReply

__all__ = [
    "HostDirectory",
    "ObjectStore",
    "OutcomeUnknownError",
    "PlatformError",
    "Table",
    "ThrottledError",
    "UnreachableError",
]


class PlatformError(Exception):
    """Base of the platform's errors."""


class UnreachableError(PlatformError):
    """Raised when the call certainly took no effect: no byte was sent."""


class ThrottledError(PlatformError):
    """Raised when the service refused for its rate limit; nothing took effect."""


class OutcomeUnknownError(PlatformError):
    """Raised when the answer was lost; a write may have taken effect."""


class Table(Protocol):
    """Transactional table service."""

    async def read(self, keys: tuple[str, ...]) -> tuple[Row, ...]:
        """Return the rows of the keys, in order; an absent row has version 0.

        Parameters
        ----------
        keys : tuple of str
            Row keys.

        Returns
        -------
        tuple of Row
            The rows.

        Raises
        ------
        PlatformError
            If the service did not answer.
        """

    async def scan(
        self, prefix: str, after: str = "", limit: int = 1000
    ) -> tuple[Row, ...]:
        """Return rows under a prefix in key order.

        Parameters
        ----------
        prefix : str
            Prefix of the row keys.
        after : str
            Key after which the scan starts.
        limit : int
            Greatest number of rows.

        Returns
        -------
        tuple of Row
            The rows.

        Raises
        ------
        PlatformError
            If the service did not answer.
        """

    async def transact(
        self, writes: tuple[RowWrite, ...], checks: tuple[RowCheck, ...] = ()
    ) -> TransactReply:
        """Write rows if every condition holds, else nothing.

        Parameters
        ----------
        writes : tuple of RowWrite
            Rows to write, each with the version it must have.
        checks : tuple of RowCheck
            Rows that are only compared.

        Returns
        -------
        TransactReply
            Whether it was committed, and the conflicting rows if not.

        Raises
        ------
        UnreachableError, ThrottledError
            If nothing took effect.
        OutcomeUnknownError
            If the answer was lost; the caller reads back to learn the outcome.
        """


class ObjectStore(Protocol):
    """Object store for large values that are written once."""

    async def put(self, name: str, data: bytes) -> None:
        """Store an object; the same name and data may be stored again.

        Parameters
        ----------
        name : str
            Name of the object.
        data : bytes
            Its content.

        Raises
        ------
        PlatformError
            If the service did not answer.
        """

    async def get(self, name: str) -> bytes | None:
        """Return an object's content, or None if there is none.

        Parameters
        ----------
        name : str
            Name of the object.

        Returns
        -------
        bytes or None
            The content.

        Raises
        ------
        PlatformError
            If the service did not answer.
        """


class HostDirectory(Protocol):
    """The platform's lagging list of live and leaving hosts."""

    async def fetch(self, known_revision: int = 0) -> HostList:
        """Return the list.

        Parameters
        ----------
        known_revision : int
            Revision that the caller has.

        Returns
        -------
        HostList
            Routers and backend servers; no entry if the revision is the known one.

        Raises
        ------
        PlatformError
            If the service did not answer.
        """
