"""Host list of the platform as last read, merged with leaving marks from peers.

A leaving mark states that a backend server is leaving as of a revision of the list.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from ..schema import BackendMark, HostList

if TYPE_CHECKING:
    from collections.abc import Iterable

    from ..schema import HostEntry

__all__ = ["ROUTER_ROLE", "HostTable"]

ROUTER_ROLE = "router"

# If more than this fraction of the hosts vanishes in one revision, the list is assumed
# to be wrong and the vanished hosts are retained.
MAX_VANISHED_FRACTION = 0.5

# In a shorter list the loss of half of the hosts is an ordinary change.
MIN_ENTRIES_TO_RETAIN = 4

# Time for which vanished hosts are retained.
VANISHED_RETENTION_S = 60.0


class HostTable:
    """Listed hosts; tolerates a host list that is unavailable, stale or mostly empty.

    If more than half of the hosts vanish at once without having been marked as leaving,
    they are retained for `VANISHED_RETENTION_S` seconds: such a list is more likely
    wrong.

    Attributes
    ----------
    read_at : float or None
        Monotonic time at which a list was read last, in seconds.
    n_changes : int
        Number of changes of the entries.
    """

    def __init__(self) -> None:
        self._list = HostList((), 0)
        self._entries: dict[str, HostEntry] = {}
        self._retained: dict[str, HostEntry] = {}
        self._retained_until = 0.0
        self._marks: dict[str, BackendMark] = {}
        self._by_service: dict[str, tuple[HostEntry, ...]] | None = None
        self.read_at: float | None = None
        self.n_changes = 0

    @property
    def revision(self) -> int:
        """Revision of the list in use."""
        return self._list.revision

    def find(self, host: str) -> HostEntry | None:
        """Return the entry of a host, or None."""
        return self._entries.get(host)

    def list_routers(self) -> tuple[HostEntry, ...]:
        """Return the listed routers."""
        entries = self._entries.values()
        return tuple(entry for entry in entries if entry.role == ROUTER_ROLE)

    def list_backends(self, service: str) -> tuple[HostEntry, ...]:
        """Return the backend servers of a service; leaving ones are marked."""
        if self._by_service is None:
            self._by_service = self._group_by_service()
        return self._by_service.get(service, ())

    def take_list(self, hosts: HostList, now: float) -> tuple[BackendMark, ...]:
        """Replace the list, unless the new one has no higher revision.

        Parameters
        ----------
        hosts : HostList
            List that was read.
        now : float
            Monotonic time, in seconds.

        Returns
        -------
        tuple of BackendMark
            Backend servers that the list newly shows as leaving, to be disseminated.
        """
        self.read_at = now
        if now > self._retained_until and self._retained:
            self._retained = {}
            self._rebuild()
        if hosts.revision <= self._list.revision:
            return ()
        before = self._entries
        self._retain_vanished(hosts, now)
        self._list = hosts
        self._rebuild()
        return self._find_new_marks(before)

    def take_marks(self, marks: Iterable[BackendMark]) -> tuple[BackendMark, ...]:
        """Merge leaving marks from a peer that has read a newer list.

        Parameters
        ----------
        marks : iterable of BackendMark
            Marks that were received.

        Returns
        -------
        tuple of BackendMark
            Marks that were not yet known.
        """
        new_marks = []
        for mark in marks:
            known = self._marks.get(mark.host)
            if mark.revision <= self.revision or known == mark:
                continue
            if known is not None and known.revision > mark.revision:
                continue
            self._marks[mark.host] = mark
            new_marks.append(mark)
        if new_marks:
            self._rebuild()
        return tuple(new_marks)

    def _retain_vanished(self, hosts: HostList, now: float) -> None:
        listed = {entry.host for entry in hosts.entries}
        staying = [entry for entry in self._list.entries if not entry.is_leaving]
        vanished = [entry for entry in staying if entry.host not in listed]
        self._retained = {
            host: entry for host, entry in self._retained.items() if host not in listed
        }
        if len(staying) < MIN_ENTRIES_TO_RETAIN:
            return
        if len(vanished) <= MAX_VANISHED_FRACTION * len(staying):
            return
        self._retained.update({entry.host: entry for entry in vanished})
        self._retained_until = now + VANISHED_RETENTION_S

    def _rebuild(self) -> None:
        self.n_changes += 1
        entries = dict(self._retained)
        entries.update({entry.host: entry for entry in self._list.entries})
        for mark in list(self._marks.values()):
            if mark.revision <= self.revision:
                del self._marks[mark.host]
                continue
            if mark.host in entries:
                entry = entries[mark.host]
                entries[mark.host] = attrs.evolve(entry, is_leaving=True)
        self._entries = entries
        self._by_service = None

    def _find_new_marks(self, before: dict[str, HostEntry]) -> tuple[BackendMark, ...]:
        marks = []
        for host, entry in before.items():
            if entry.role == ROUTER_ROLE or entry.is_leaving:
                continue
            after = self._entries.get(host)
            if after is None or after.is_leaving:
                marks.append(BackendMark(host, self.revision))
        return tuple(marks)

    def _group_by_service(self) -> dict[str, tuple[HostEntry, ...]]:
        groups: dict[str, list[HostEntry]] = {}
        for entry in self._entries.values():
            if entry.role != ROUTER_ROLE:
                groups.setdefault(entry.role, []).append(entry)
        return {service: tuple(entries) for service, entries in groups.items()}
