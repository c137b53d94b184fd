"""Quarantines poison requests, which crash the backend servers that run them."""

from __future__ import annotations

import hashlib
import heapq
from typing import TYPE_CHECKING

import attrs
import msgspec

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

__all__ = ["CrashCount", "PoisonList", "make_fingerprint"]

# Number of known crashes from which on a request is quarantined. The fleet tolerates
# three; the limit is one lower because one more crash can happen at a router that has
# not received the counts yet.
MAX_CRASHES = 2
# Time after its last change, in seconds, for which an entry is valid. Callers repeat a
# request that crashed servers within seconds.
ENTRY_TTL_S = 60.0
# Entries kept; above it the oldest are dropped. A crash of all engines of a fleet of
# 340 hosts ends some 2,500 requests.
MAX_ENTRIES = 4000


class CrashCount(msgspec.Struct, frozen=True, array_like=True):
    """Crashes caused by one request at one router, as routers report them.

    Attributes
    ----------
    origin : str
        Id of the router process that counted.
    fingerprint : str
        Identifies the request.
    count : int
        Number of crashes.
    age_s : float
        Time since the count last rose, in seconds.
    """

    origin: str
    fingerprint: str
    count: int
    age_s: float


@attrs.define
class _Entry:
    """Count of one origin and when it last rose."""

    count: int
    changed_at: float


def make_fingerprint(target: bytes, account: str, body: bytes) -> str:
    """Return a digest that identifies equal requests of one client account."""
    digest = hashlib.blake2b(digest_size=12)
    for part in (target, account.encode("utf-8"), body):
        digest.update(len(part).to_bytes(8, "big"))
        digest.update(part)
    return digest.hexdigest()


class PoisonList:
    """Counts crashes by request fingerprint, at this router and at the others.

    An entry expires `ENTRY_TTL_S` after its count last rose at its origin.

    Parameters
    ----------
    now : callable
        Returns the seconds of a monotonic clock.
    origin : str
        Id of this router process.

    Attributes
    ----------
    digest : int
        Identifies the set of counts, those of other routers included; 0 if there are
        none. It does not depend on the order in which they arrived.
    """

    def __init__(self, now: Callable[[], float], origin: str = "") -> None:
        self._now = now
        self._origin = origin
        self._entries: dict[tuple[str, str], _Entry] = {}  # By fingerprint and origin.
        self._totals: dict[str, int] = {}  # By fingerprint, over all origins.
        self._cleared: dict[str, float] = {}
        self._expires_at = 0.0  # No entry expires earlier.
        self.digest = 0

    def note_crash(self, fingerprint: str) -> int:
        """Record a crash and return the number of known crashes of the request."""
        known = self._entries.get((fingerprint, self._origin))
        count = 1 if known is None else known.count + 1
        self._set(fingerprint, self._origin, count, self._now())
        return self.count(fingerprint)

    def clear(self, fingerprint: str) -> None:
        """Lift the quarantine of a request that a server has run to its end.

        This router then ignores all crashes of the request, later ones included, until
        the clearance expires. Other routers keep the counts that they have.
        """
        if self.count(fingerprint):
            self._cleared[fingerprint] = self._now()

    def count(self, fingerprint: str) -> int:
        """Return the number of known crashes of a request, over all routers."""
        self._expire()
        if fingerprint in self._cleared:
            return 0
        return self._totals.get(fingerprint, 0)

    def is_poison(self, fingerprint: str) -> bool:
        """Whether a request is quarantined and must not be sent again."""
        return self.count(fingerprint) >= MAX_CRASHES

    def export(self, most: int = MAX_ENTRIES) -> list[CrashCount]:
        """Return the counts that rose last, at most `most` of them, newest first."""
        self._expire()
        now = self._now()
        newest = heapq.nlargest(
            most, self._entries.items(), key=lambda item: item[1].changed_at
        )
        return [
            CrashCount(origin, fingerprint, entry.count, now - entry.changed_at)
            for (fingerprint, origin), entry in newest
        ]

    def merge(self, counts: Iterable[CrashCount]) -> None:
        """Merge counts of other routers.

        A count replaces only a lower one, so that an older message has no effect, and
        keeps its age, so that an expired one is not brought back.
        """
        now = self._now()
        for new in counts:
            changed_at = now - max(0.0, new.age_s)
            known = self._entries.get((new.fingerprint, new.origin))
            known_count = 0 if known is None else known.count
            if new.origin == self._origin or new.count <= known_count:
                continue
            if now - changed_at < ENTRY_TTL_S:
                self._set(new.fingerprint, new.origin, new.count, changed_at)

    def _set(
        self, fingerprint: str, origin: str, count: int, changed_at: float
    ) -> None:
        self._remove(fingerprint, origin)
        if len(self._entries) >= MAX_ENTRIES:
            oldest = min(self._entries, key=lambda key: self._entries[key].changed_at)
            self._remove(*oldest)
        if not self._entries:
            self._expires_at = changed_at + ENTRY_TTL_S
        self._entries[fingerprint, origin] = _Entry(count, changed_at)
        self._totals[fingerprint] = self._totals.get(fingerprint, 0) + count
        self._expires_at = min(self._expires_at, changed_at + ENTRY_TTL_S)
        self.digest ^= _hash_count(fingerprint, origin, count)

    def _remove(self, fingerprint: str, origin: str) -> None:
        entry = self._entries.pop((fingerprint, origin), None)
        if entry is None:
            return
        self.digest ^= _hash_count(fingerprint, origin, entry.count)
        self._totals[fingerprint] -= entry.count
        if not self._totals[fingerprint]:
            del self._totals[fingerprint]

    def _expire(self) -> None:
        """Remove the entries whose count has not risen for `ENTRY_TTL_S`."""
        now = self._now()
        if not self._entries or now < self._expires_at:
            return
        for key, entry in list(self._entries.items()):
            if now - entry.changed_at >= ENTRY_TTL_S:
                self._remove(*key)
        for fingerprint, cleared_at in list(self._cleared.items()):
            if now - cleared_at >= ENTRY_TTL_S:
                del self._cleared[fingerprint]
        oldest = min((e.changed_at for e in self._entries.values()), default=now)
        self._expires_at = oldest + ENTRY_TTL_S


def _hash_count(fingerprint: str, origin: str, count: int) -> int:
    text = f"{fingerprint}\0{origin}\0{count}".encode()
    return int.from_bytes(hashlib.blake2b(text, digest_size=8).digest(), "big")
