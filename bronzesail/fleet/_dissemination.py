"""Dissemination of membership updates: each is sent once to every neighbour."""

from __future__ import annotations

from typing import TYPE_CHECKING, TypeVar

import attrs

from ..schema import RouterId, Rumours
from ._effects import SendRumours

if TYPE_CHECKING:
    from collections.abc import Iterable

    from ..schema import BackendMark
    from ._members import MemberTable

__all__ = ["DisseminationQueue"]

K = TypeVar("K")

# Time for which an update is kept for neighbours that appear later.
UPDATE_LIFETIME_S = 5.0


@attrs.define
class PendingUpdate:
    """An update and the routers that already have it.

    Attributes
    ----------
    added_at : float
        Monotonic time at which the update was queued, in seconds.
    informed : set of RouterId
        Routers that sent the update or were sent it.
    """

    added_at: float
    informed: set[RouterId] = attrs.field(factory=set)

    def add_recipient(self, peer: RouterId) -> bool:
        """Record a recipient; return False if it already has the update."""
        if peer in self.informed:
            return False
        self.informed.add(peer)
        return True


class DisseminationQueue:
    """Queue of changed members and leaving marks, kept for `UPDATE_LIFETIME_S` seconds.

    A router that becomes a neighbour within that time is sent them too.
    """

    def __init__(self) -> None:
        self._members: dict[str, PendingUpdate] = {}
        self._marks: dict[BackendMark, PendingUpdate] = {}
        self._has_new = False
        self._last_peers: frozenset[RouterId] = frozenset()

    def add_member(self, host: str, source: RouterId | None, now: float) -> None:
        """Queue a member's entry for every neighbour except the router that sent it.

        Parameters
        ----------
        host : str
            Host of the member.
        source : RouterId or None
            Router that sent the entry; None if it originates here.
        now : float
            Monotonic time, in seconds.
        """
        item = PendingUpdate(now)
        if source is not None:
            item.informed.add(source)
        self._members.pop(host, None)
        self._members[host] = item
        self._has_new = True

    def add_marks(self, marks: Iterable[BackendMark], now: float) -> None:
        """Queue leaving marks."""
        for mark in marks:
            self._marks[mark] = PendingUpdate(now)
            self._has_new = True

    def flush(
        self, peers: tuple[RouterId, ...], members: MemberTable, now: float
    ) -> list[SendRumours]:
        """Return the messages that are due to the neighbours.

        Parameters
        ----------
        peers : tuple of RouterId
            Current neighbours.
        members : MemberTable
            Member table from which the current entries are read.
        now : float
            Monotonic time, in seconds.

        Returns
        -------
        list of SendRumours
            One effect for each neighbour with pending updates.
        """
        if not self._members and not self._marks:
            return []
        self._members = _drop_old(self._members, now)
        self._marks = _drop_old(self._marks, now)
        receivers = frozenset(peers)
        if not self._has_new and receivers == self._last_peers:
            return []
        self._has_new = False
        self._last_peers = receivers
        effects = []
        for peer in peers:
            rumours = self._collect(peer, members)
            if rumours.members or rumours.marks:
                effects.append(SendRumours(peer, rumours))
        return effects

    def _collect(self, peer: RouterId, members: MemberTable) -> Rumours:
        entries = []
        for host, item in self._members.items():
            entry = members.find(host)
            if entry is not None and item.add_recipient(peer):
                entries.append(entry)
        marks = [mark for mark, item in self._marks.items() if item.add_recipient(peer)]
        return Rumours(tuple(entries), tuple(marks))


def _drop_old(items: dict[K, PendingUpdate], now: float) -> dict[K, PendingUpdate]:
    return {
        key: item
        for key, item in items.items()
        if now - item.added_at < UPDATE_LIFETIME_S
    }
