"""Quarantines poison requests, which crash the backend servers that run them."""

from __future__ import annotations

import hashlib
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

__all__ = ["PoisonList", "make_fingerprint"]

# Number of known crashes from which on a request is quarantined. The fleet tolerates
# three; the limit is one lower because one more crash can happen at a router that has
# not received the counts yet.
MAX_CRASHES = 2
# Time after its last change, in seconds, for which an entry is valid. Callers repeat a
# request that crashed servers within seconds.
ENTRY_TTL_S = 60.0


def make_fingerprint(target: bytes, account: str, body: bytes) -> str:
    """Return a digest that identifies equal requests of one client account."""
    digest = hashlib.blake2b(digest_size=12)
    for part in (target, account.encode("utf-8"), body):
        digest.update(len(part).to_bytes(8, "big"))
        digest.update(part)
    return digest.hexdigest()


class PoisonList:
    """Counts crashes by request fingerprint, at this router and at the others.

    A router is identified by the name of its host. An entry expires `ENTRY_TTL_S` after
    its last change.

    Parameters
    ----------
    now : callable
        Returns the seconds of a monotonic clock.
    """

    def __init__(self, now: Callable[[], float]) -> None:
        self._now = now
        self._own: dict[str, tuple[int, float]] = {}
        self._others: dict[str, dict[str, tuple[int, float]]] = {}
        self._cleared: dict[str, tuple[int, float]] = {}

    def note_crash(self, fingerprint: str) -> int:
        """Record a crash and return the number of known crashes of the request."""
        count, _ = self._own.get(fingerprint, (0, 0.0))
        self._own[fingerprint] = (count + 1, self._now())
        return self.count(fingerprint)

    def clear(self, fingerprint: str) -> None:
        """Lift the quarantine of a request that a server has run to its end.

        This router then ignores all crashes of the request, later ones included, until
        the clearance expires. Other routers keep the counts that they have.
        """
        if self.count(fingerprint):
            self._cleared[fingerprint] = (0, self._now())
            self._own.pop(fingerprint, None)

    def count(self, fingerprint: str) -> int:
        """Return the number of known crashes of a request, over all routers."""
        if fingerprint in self._cleared:
            return 0
        total = self._own.get(fingerprint, (0, 0.0))[0]
        for counts in self._others.values():
            total += counts.get(fingerprint, (0, 0.0))[0]
        return total

    def is_poison(self, fingerprint: str) -> bool:
        """Whether a request is quarantined and must not be sent again."""
        return self.count(fingerprint) >= MAX_CRASHES

    def export(self, host: str) -> dict[str, dict[str, int]]:
        """Return the counts by the router's host and the request's fingerprint.

        `host` is the host of this router, whose own counts are returned under it.
        Expired entries are removed first.
        """
        self._expire(self._cleared)
        counts = {**self._others, host: self._own}
        for entries in counts.values():
            self._expire(entries)
        return {
            name: {key: count for key, (count, _) in entries.items()}
            for name, entries in counts.items()
            if entries
        }

    def merge_counts(self, host: str, counts: dict[str, int]) -> None:
        """Merge the counts of another router.

        A count replaces only a lower one, so that an older message has no effect. The
        counts of a router that has left stay until they expire.
        """
        if not counts and host not in self._others:
            return
        known_counts = self._others.setdefault(host, {})
        now = self._now()
        for fingerprint, count in counts.items():
            known_count = known_counts.get(fingerprint, (0, 0.0))[0]
            if count > known_count:
                known_counts[fingerprint] = (count, now)
        self._expire(known_counts)

    def _expire(self, counts: dict[str, tuple[int, float]]) -> None:
        """Remove the entries that have not changed for `ENTRY_TTL_S`."""
        now = self._now()
        for key in [
            key
            for key, (_, changed_at) in counts.items()
            if now - changed_at > ENTRY_TTL_S
        ]:
            del counts[key]
