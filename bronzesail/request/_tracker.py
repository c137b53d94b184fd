"""Table of a tracker, without I/O: which router runs which request key."""

from __future__ import annotations

from collections import OrderedDict

import attrs

from ..schema import RouterId

__all__ = ["KeyTracker"]

# Bounds the memory; the oldest entries are dropped.
MAX_KEYS = 100_000


@attrs.frozen
class _Entry:
    """Router that runs a request, and the expiry time of the entry."""

    holder: RouterId
    expires_at: float


class KeyTracker:
    """Records for a limited time which router was first to run a request key.

    The entries are only advisory: a tracker that has just started or dropped an entry
    lets a second router run repeatable work again. Non-repeatable work is protected by
    claims instead.

    Parameters
    ----------
    keep_s : float
        Lifetime of an entry, in seconds.
    """

    def __init__(self, keep_s: float) -> None:
        self._keep_s = keep_s
        self._entries: OrderedDict[tuple[str, str], _Entry] = OrderedDict()

    def find(self, account: str, key: str, now: float) -> RouterId | None:
        """Return the router that runs a request.

        Parameters
        ----------
        account : str
            Client account.
        key : str
            Request key.
        now : float
            Monotonic time, in seconds.

        Returns
        -------
        RouterId or None
            The router; None if there is no entry or it has expired.
        """
        entry = self._entries.get((account, key))
        if entry is None or entry.expires_at <= now:
            return None
        return entry.holder

    def note(self, account: str, key: str, holder: RouterId, now: float) -> RouterId:
        """Record the router that runs a request, unless an entry exists.

        Parameters
        ----------
        account : str
            Client account.
        key : str
            Request key.
        holder : RouterId
            Router that is about to run it.
        now : float
            Monotonic time, in seconds.

        Returns
        -------
        RouterId
            Router in the entry: the given one or an earlier one.
        """
        known = self.find(account, key, now)
        if known is not None:
            return known
        self._entries.pop((account, key), None)
        self._entries[account, key] = _Entry(holder, now + self._keep_s)
        self._drop_expired(now)
        return holder

    def take_over(self, account: str, key: str, holder: RouterId, now: float) -> None:
        """Replace the router that runs a request.

        Parameters
        ----------
        account : str
            Client account.
        key : str
            Request key.
        holder : RouterId
            Router that runs it now.
        now : float
            Monotonic time, in seconds.
        """
        self._entries.pop((account, key), None)
        self.note(account, key, holder, now)

    def _drop_expired(self, now: float) -> None:
        while self._entries:
            name = next(iter(self._entries))
            is_old = self._entries[name].expires_at <= now
            if not is_old and len(self._entries) <= MAX_KEYS:
                return
            del self._entries[name]
