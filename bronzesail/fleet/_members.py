"""Member table: the highest-ranked entry of each host, independent of merge order."""

from __future__ import annotations

import enum
import hashlib
from typing import TYPE_CHECKING

import attrs

from ..schema import RouterId
from ..util.invariants import check_invariant

if TYPE_CHECKING:
    from ..schema import MemberEntry

__all__ = ["MemberState", "MemberTable", "identify", "rank_entry"]

DIGEST_BYTES = 4

# Processes remembered as gone, to bound memory; the oldest is dropped first.
MAX_GONE_PROCESSES = 10_000

# Incarnation in the entry of a listed host that never answered.
UNKNOWN_INCARNATION = 0


class MemberState(enum.IntEnum):
    """State of a member; with equal counter and incarnation the higher state wins."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2
    LEFT = 3


@attrs.frozen(order=True)
class EntryRank:
    """Order of the entries of one host; the greatest wins.

    Attributes
    ----------
    counter : int
        Counter of the entry, raised by its own process with each change.
    incarnation : int
        Incarnation of the process.
    state : int
        Value of `MemberState`.
    """

    counter: int
    incarnation: int
    state: int


def rank_entry(entry: MemberEntry) -> EntryRank:
    """Return the rank of an entry among those of its host.

    Parameters
    ----------
    entry : MemberEntry
        Entry to rank.

    Returns
    -------
    EntryRank
        Rank; the order is total, so routers converge whatever order entries arrive in.
    """
    return EntryRank(entry.counter, entry.incarnation, entry.state)


def identify(entry: MemberEntry) -> RouterId:
    """Return the host and incarnation of a member."""
    return RouterId(entry.host, entry.incarnation)


def _hash_entry(entry: MemberEntry) -> int:
    if entry.state >= MemberState.DEAD:
        return 0
    text = f"{entry.host}\0{entry.incarnation}\0{entry.counter}\0{entry.state}"
    digest = hashlib.blake2b(text.encode(), digest_size=DIGEST_BYTES).digest()
    return int.from_bytes(digest, "big")


class MemberTable:
    """Highest-ranked entry of each host, and the processes known to be gone.

    Attributes
    ----------
    digest : int
        XOR of the hashes of the entries that are not dead or left. Routers compare it
        to detect that their tables differ.
    """

    def __init__(self) -> None:
        self._entries: dict[str, MemberEntry] = {}
        self._changed_at: dict[str, float] = {}
        self._gone: dict[RouterId, None] = {}
        self.digest = 0

    def find(self, host: str) -> MemberEntry | None:
        """Return the entry of a host, or None."""
        return self._entries.get(host)

    def list_entries(self) -> tuple[MemberEntry, ...]:
        """Return every entry."""
        return tuple(self._entries.values())

    def list_active(self) -> tuple[MemberEntry, ...]:
        """Return the entries that are alive or suspect."""
        entries = self._entries.values()
        return tuple(entry for entry in entries if entry.state < MemberState.DEAD)

    def find_change_time(self, host: str) -> float:
        """Return when a host's process was first seen, died or revived, in seconds."""
        return self._changed_at[host]

    def is_gone(self, router_id: RouterId) -> bool:
        """Return whether a process was replaced, died or left."""
        return router_id in self._gone

    def merge(self, entry: MemberEntry, now: float) -> bool:
        """Store an entry if it ranks above the known one.

        Parameters
        ----------
        entry : MemberEntry
            Entry to merge.
        now : float
            Monotonic time, in seconds.

        Returns
        -------
        bool
            Whether the entry was stored.
        """
        known = self._entries.get(entry.host)
        if known is not None and rank_entry(entry) <= rank_entry(known):
            return False
        if known is None or _changes_liveness(known, entry):
            self._changed_at[entry.host] = now
        if known is not None and known.incarnation != entry.incarnation:
            self.note_gone(identify(known))
        if known is not None:
            self.digest ^= _hash_entry(known)
        self.digest ^= _hash_entry(entry)
        self._entries[entry.host] = entry
        if entry.state >= MemberState.DEAD:
            self.note_gone(identify(entry))
        else:
            self._gone.pop(identify(entry), None)
        return True

    def forget(self, host: str) -> None:
        """Drop the entry of a host that is gone.

        Parameters
        ----------
        host : str
            Name of the host.
        """
        entry = self._entries.pop(host)
        del self._changed_at[host]
        check_invariant(
            entry.state >= MemberState.DEAD, "only a dead or left member may be dropped"
        )

    def note_gone(self, router_id: RouterId) -> None:
        """Record that a process is gone."""
        if router_id.incarnation == UNKNOWN_INCARNATION:
            return
        self._gone[router_id] = None
        if len(self._gone) > MAX_GONE_PROCESSES:
            del self._gone[next(iter(self._gone))]


def _changes_liveness(known: MemberEntry, entry: MemberEntry) -> bool:
    if known.incarnation != entry.incarnation:
        return True
    return (known.state >= MemberState.DEAD) != (entry.state >= MemberState.DEAD)
