"""Charges of a client account: digests, ledger pages and an index of full pages."""

from __future__ import annotations

import hashlib
from array import array
from bisect import bisect_left
from typing import TYPE_CHECKING

import attrs

from ..schema import ChargeLine, LedgerPage, Row, RowWrite
from ..schema.codec import decode_as, encode
from ..util.invariants import check_invariant

if TYPE_CHECKING:
    from collections.abc import Iterable

__all__ = [
    "Charge",
    "Ledger",
    "make_digest",
    "make_ledger_prefix",
    "make_page_key",
]

DIGEST_BYTES = 16
# Bytes of a digest that the index of full pages keeps; one array item of type "Q".
PREFIX_BYTES = 8


def make_digest(account: str, request_key: str) -> bytes:
    """Return the digest that identifies a request's charge in the ledger.

    The length of the account name is part of the input, so that no two pairs of
    account and key have the same text.

    Parameters
    ----------
    account : str
        Client account.
    request_key : str
        Key of the request.

    Returns
    -------
    bytes
        16 bytes.
    """
    text = f"{len(account)}:{account}{request_key}"
    return hashlib.blake2b(text.encode(), digest_size=DIGEST_BYTES).digest()


def make_ledger_prefix(account: str) -> str:
    """Return the row key prefix of a client account's ledger pages."""
    return f"ledger/{account}/"


def make_page_key(account: str, number: int) -> str:
    """Return the row key of a ledger page; keys sort by page number."""
    return f"{make_ledger_prefix(account)}{number:010d}"


@attrs.frozen
class Charge:
    """Tokens to charge for one request.

    Attributes
    ----------
    digest : bytes
        Digest of the request key.
    tokens : int
        Tokens used.
    """

    digest: bytes
    tokens: int


class _PrefixSet:
    """Approximate set of digests that stores 8 bytes for each.

    Prefixes are kept in sorted runs; adding a run merges the earlier ones that are no
    longer than it, so that their number grows with the logarithm of the size. Digests
    with a common prefix give false positives.
    """

    def __init__(self) -> None:
        self._runs: list[array[int]] = []

    def add(self, digests: Iterable[bytes]) -> None:
        """Add the digests of one full page."""
        sorted_run = array("Q", sorted(_read_prefix(digest) for digest in digests))
        while self._runs and len(self._runs[-1]) <= len(sorted_run):
            sorted_run = array("Q", sorted((*self._runs.pop(), *sorted_run)))
        self._runs.append(sorted_run)

    def has_prefix_of(self, digest: bytes) -> bool:
        """Tell whether a digest with the same prefix was added."""
        prefix = _read_prefix(digest)
        for sorted_run in self._runs:
            index = bisect_left(sorted_run, prefix)
            if index < len(sorted_run) and sorted_run[index] == prefix:
                return True
        return False


def _read_prefix(digest: bytes) -> int:
    """Return the first 8 bytes of a digest as a number."""
    return int.from_bytes(digest[:PREFIX_BYTES], "big")


class Ledger:
    """Local copy of a client account's ledger of charges.

    Charges are appended to the page with the highest number. A full (sealed) page is
    immutable, so its cached digests stay valid. Every settlement is conditional on the
    version of the last page; if another router has appended a charge meanwhile, the
    settlement conflicts.

    Parameters
    ----------
    account : str
        Client account.
    page_lines : int
        Number of charges on a full page.
    """

    def __init__(self, account: str, page_lines: int) -> None:
        self.account = account
        self.is_loaded = False
        self._page_lines = page_lines
        self._sealed = _PrefixSet()
        self._page_number = 1
        self._page_version = 0
        self._lines: tuple[ChargeLine, ...] = ()
        self._digests: frozenset[bytes] = frozenset()

    @property
    def last_page_key(self) -> str:
        """Row key of the last page, which takes new charges."""
        return make_page_key(self.account, self._page_number)

    def observe(self, row: Row) -> bool:
        """Update the copy from a page that was read or written.

        Parameters
        ----------
        row : Row
            A version of the last page. Other pages, and versions older than the one
            known here, are ignored.

        Returns
        -------
        bool
            Whether the page is full, so that the next page must be read.
        """
        if row.key != self.last_page_key or row.version < self._page_version:
            return False
        self._page_version = row.version
        self._lines = decode_as(row.value, LedgerPage).lines if row.version else ()
        self._digests = frozenset(line.digest for line in self._lines)
        if len(self._lines) < self._page_lines:
            return False
        self._sealed.add(self._digests)
        self._page_number += 1
        self._page_version = 0
        self._lines = ()
        self._digests = frozenset()
        return True

    def may_contain(self, digest: bytes) -> bool:
        """Tell whether a digest may be charged; True may be a false positive."""
        return digest in self._digests or self._sealed.has_prefix_of(digest)

    def is_on_last_page(self, digest: bytes) -> bool:
        """Tell whether the last page has a charge with this digest."""
        return digest in self._digests

    def count_free_lines(self) -> int:
        """Return the number of charges that still fit on the last page."""
        return self._page_lines - len(self._lines)

    def plan_append(
        self, charges: tuple[Charge, ...], budget: str, at_s: int
    ) -> RowWrite:
        """Return the write that appends charges to the last page.

        Parameters
        ----------
        charges : tuple of Charge
            New charges; at most `count_free_lines` of them.
        budget : str
            Name of the budget.
        at_s : int
            Wall time, in seconds since the epoch.

        Returns
        -------
        RowWrite
            Write that is conditional on the page's version.

        Raises
        ------
        InvariantError
            If two charges have one digest, if the last page has a charge for one of
            them (I3, at most one charge per request key) or lacks space for all.
        """
        check_invariant(
            len(charges) <= self.count_free_lines(),
            "the last page has space for the charges",
        )
        digests = {charge.digest for charge in charges}
        check_invariant(len(digests) == len(charges), "I3: one charge per request key")
        check_invariant(not digests & self._digests, "I3: one charge per request key")
        lines = [
            ChargeLine(charge.digest, charge.tokens, budget, at_s) for charge in charges
        ]
        page = LedgerPage((*self._lines, *lines))
        return RowWrite(self.last_page_key, self._page_version, encode(page))
