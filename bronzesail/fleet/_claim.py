"""A router's own member entry: refutation of false deaths and host name conflicts.

A claim is the member entry that a process publishes for itself. Its counter grows with
each change, as the incarnation number does in SWIM; `incarnation` identifies the
process.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from ..util.invariants import check_invariant
from ._members import MemberState, rank_entry

if TYPE_CHECKING:
    from ..schema import MemberEntry

__all__ = ["OwnClaim"]

# A live process with the same host name counts as a conflict for this long after it was
# last reported.
CONFLICT_TIMEOUT_S = 60.0

# Refutations during a conflict before this process gives up the host name: two
# processes that refute each other's deaths would otherwise never stop.
MAX_REFUTATIONS = 3


class OwnClaim:
    """Own member entry; refutes reports that the process is suspected or dead.

    A process that starts replaces any earlier entry of its host. Once it has joined, a
    higher-ranked live entry of another process with its host name supersedes it; it
    claims the name again only when that process has died or left.

    Parameters
    ----------
    entry : MemberEntry
        Initial entry.
    """

    def __init__(self, entry: MemberEntry) -> None:
        self.entry = entry
        self.is_superseded = False
        self.has_joined = False
        self._has_left = False
        self._conflict_seen_at: float | None = None
        self._n_refutations = 0

    def note_joined(self) -> None:
        """Record that the member list was fetched from a peer."""
        self.has_joined = True

    def mark_leaving(self) -> None:
        """Mark the own entry as draining, with a higher counter."""
        self._raise_counter(self.entry.counter + 1, is_leaving=True)

    def leave(self) -> None:
        """Mark the own entry as left; later reports are not refuted."""
        self._has_left = True
        self._raise_counter(self.entry.counter + 1, state=int(MemberState.LEFT))

    def handle_report(self, reported: MemberEntry, now: float) -> bool:
        """Compare a peer's entry of the own host with the own one; refute if needed.

        Parameters
        ----------
        reported : MemberEntry
            Entry of the own host that a peer sent.
        now : float
            Monotonic time, in seconds.

        Returns
        -------
        bool
            Whether the own counter was raised and the entry must be disseminated.
        """
        if reported.incarnation != self.entry.incarnation:
            return self._handle_conflict(reported, now)
        if self._has_left or rank_entry(reported) <= rank_entry(self.entry):
            return False
        return self._refute(reported, now)

    def _refute(self, reported: MemberEntry, now: float) -> bool:
        if self._has_live_conflict(now):
            self._n_refutations += 1
            if self._n_refutations > MAX_REFUTATIONS:
                self.is_superseded = True
        if self.is_superseded:
            return False
        self._raise_counter(reported.counter + 1)
        return True

    def _handle_conflict(self, reported: MemberEntry, now: float) -> bool:
        is_other_alive = MemberState.ALIVE == reported.state
        if is_other_alive and self.has_joined:
            self._conflict_seen_at = now
        if rank_entry(reported) < rank_entry(self.entry) or self._has_left:
            return False
        if is_other_alive and self.has_joined:
            self.is_superseded = True
            return False
        self.is_superseded = False
        self._conflict_seen_at = None
        self._n_refutations = 0
        self._raise_counter(reported.counter + 1)
        return True

    def _has_live_conflict(self, now: float) -> bool:
        if self._conflict_seen_at is None:
            return False
        return now - self._conflict_seen_at < CONFLICT_TIMEOUT_S

    def _raise_counter(
        self, counter: int, state: int | None = None, is_leaving: bool | None = None
    ) -> None:
        check_invariant(
            counter > self.entry.counter, "the counter of the own entry must grow"
        )
        self.entry = attrs.evolve(
            self.entry,
            counter=counter,
            state=self.entry.state if state is None else state,
            is_leaving=self.entry.is_leaving if is_leaving is None else is_leaving,
        )
