"""Quarantines prompt parts that crash the backend servers that answer them.

When a server crashes, each request that it had not begun to answer is suspected, and so
is each part of its prompt but the last, which no other request has. A part under which
servers crash again and again, while no request with it is answered, is quarantined. A
part of a sound request is cleared by the next answer to a request with it.

Parts that occur together crash together, and a crash ends sound requests, too. The part
that is most suspect is held responsible for all crashes of servers that had a request
with it, which then do not count against the others.
"""

from __future__ import annotations

import hashlib
import itertools
import math
from typing import TYPE_CHECKING

import attrs
import msgspec

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

__all__ = ["CrashingParts", "PartCrash", "PartReport"]

# Crashes from which on a part is quarantined that was never answered. The fleet
# tolerates five, and more while the other routers learn of them.
MIN_CRASHES = 3
# The same for a part that was answered before. While all servers crash, the most
# frequent parts have no answers between the crashes either.
MIN_CRASHES_ANSWERED = 6
# Crashes closer together than this count once: many servers may crash at one moment for
# another reason, and the routers' times of one crash differ by the delay of reports.
CRASH_INTERVAL_S = 0.3
# So many servers that crashed count as one crash, however close together: a part that
# all servers were given at once leaves none to crash later.
SERVERS_PER_CRASH = 2
# Within this time, crashes of one server are the same; its restart takes longer.
SERVER_CRASH_S = 1.0
# A part that was answered so shortly before a crash is not suspected, so that the most
# frequent parts cause no reports.
TRUST_S = 2.0
# How long a crash, or the answer that clears a part, is remembered.
TTL_S = 60.0
# Crashes kept; above it the oldest are dropped. A server has some 20 requests that it
# has not begun to answer.
MAX_CRASHES = 2000
MAX_BEGUN = 8000  # Parts whose last answer is remembered.


class PartCrash(msgspec.Struct, frozen=True, array_like=True):
    """A crash under one request, as routers report it.

    Attributes
    ----------
    origin : str
        Id of the router process that sent the request.
    number : int
        Number of the crash at that process.
    server : str
        Id of the server.
    parts : list of str
        Ids of the prompt's suspected parts, in their order.
    age_s : float
        Time since the crash, in seconds.
    """

    origin: str
    number: int
    server: str
    parts: list[str]
    age_s: float


class PartReport(msgspec.Struct, frozen=True, array_like=True):
    """What a router knows of suspected parts.

    Attributes
    ----------
    crashes : list of PartCrash
        Crashes under parts that have not been answered since, newest first.
    begun : dict
        Time in seconds since the last known answer, by part that was suspected.
    """

    crashes: list[PartCrash] = []
    begun: dict[str, float] = {}


@attrs.define
class _Crash:
    """A crash under one request, with the parts that are still suspected."""

    server: str
    parts: list[str]
    at: float

    def is_same_as(self, other: _Crash) -> bool:
        """Whether both requests were ended by one crash of a server."""
        is_close = abs(self.at - other.at) < SERVER_CRASH_S
        return self.server == other.server and is_close


_Key = tuple[str, int]  # Origin and number of a crash.


class CrashingParts:
    """Counts crashes by part, at this router and at the others.

    Parameters
    ----------
    now : callable
        Returns the seconds of a monotonic clock.
    origin : str
        Id of this router process.

    Attributes
    ----------
    digest : int
        Identifies the known crashes and cleared parts, in any order; 0 for none.
    """

    def __init__(self, now: Callable[[], float], origin: str = "") -> None:
        self._now = now
        self._origin = origin
        self._numbers = itertools.count(1)
        self._crashes: dict[_Key, _Crash] = {}
        self._keys_by_part: dict[str, set[_Key]] = {}
        # Last answer at this router, by part, least recent first.
        self._begun_at: dict[str, float] = {}
        self._cleared_at: dict[str, float] = {}  # Last answer, by suspected part.
        self._quarantined: set[str] | None = set()  # None after a change.
        self._expires_at = math.inf  # No crash or answer expires earlier.
        self.digest = 0

    def note_begun(self, parts: Iterable[str]) -> None:
        """Record that a server has begun to answer a request with these parts."""
        now = self._now()
        for part in parts:
            self._begun_at.pop(part, None)
            self._begun_at[part] = now
            if part in self._keys_by_part or part in self._cleared_at:
                self._clear(part, now)
        while len(self._begun_at) > MAX_BEGUN:
            del self._begun_at[next(iter(self._begun_at))]

    def note_crash(self, server: str, parts: Iterable[str], at: float) -> list[str]:
        """Record a crash of a server under a request that was not answered yet.

        Returns
        -------
        list of str
            The parts that are suspected.
        """
        suspected = [
            part
            for part in dict.fromkeys(parts)
            if at - self._find_begun_at(part) >= TRUST_S
        ]
        if suspected:
            key = self._origin, next(self._numbers)
            self._add(key, _Crash(server, suspected, at))
        return suspected

    def find_quarantined(self, parts: Iterable[str]) -> str | None:
        """Return the first of the parts that is quarantined, None if none is."""
        quarantined = self.list_quarantined()
        return next((part for part in parts if part in quarantined), None)

    def list_quarantined(self) -> set[str]:
        """Return the parts that are quarantined."""
        self._expire()
        if self._quarantined is None:
            self._quarantined = self._select_quarantined()
        return self._quarantined

    def count(self, part: str) -> int:
        """Return the crashes under a part since it was last answered.

        Those within `CRASH_INTERVAL_S` of each other count once, or as one for
        `SERVERS_PER_CRASH` servers.
        """
        return self._count(self._keys_by_part.get(part, ()))

    def export(self) -> PartReport:
        """Return what is known of suspected parts, newest first."""
        self._expire()
        now = self._now()
        crashes = [
            PartCrash(origin, number, crash.server, crash.parts, now - crash.at)
            for (origin, number), crash in self._crashes.items()
        ]
        crashes.sort(key=lambda crash: crash.age_s)
        latest = sorted(self._cleared_at.items(), key=lambda item: -item[1])
        return PartReport(crashes, {part: now - at for part, at in latest})

    def merge(self, report: PartReport) -> None:
        """Merge what another router knows of suspected parts."""
        now = self._now()
        for part, age_s in report.begun.items():
            if 0 <= age_s < TTL_S:
                self._clear(part, now - age_s)
        for crash in report.crashes:
            key = crash.origin, crash.number
            if key in self._crashes or not 0 <= crash.age_s < TTL_S:
                continue
            at = now - crash.age_s
            suspected = []
            for part in crash.parts:
                begun_at = self._find_begun_at(part)
                if at > begun_at:
                    suspected.append(part)
                elif part not in self._cleared_at:
                    self._clear(part, begun_at)
            if suspected:
                self._add(key, _Crash(crash.server, suspected, at))

    def _select_quarantined(self) -> set[str]:
        """Return the parts that are responsible for enough crashes."""
        unexplained = {
            part: set(keys)
            for part, keys in self._keys_by_part.items()
            if len(keys) >= MIN_CRASHES
        }
        responsible: set[str] = set()
        while unexplained:
            part = max(unexplained, key=lambda p: self._rank(p, unexplained[p]))
            keys = unexplained.pop(part)
            if self._count(keys) < self._find_threshold(part):
                continue
            responsible.add(part)
            crashes = [self._crashes[key] for key in keys]
            for others in unexplained.values():
                others -= {key for key in others if self._is_among(key, crashes)}
        return responsible

    def _is_among(self, key: _Key, crashes: list[_Crash]) -> bool:
        """Whether a crash is the same as one of several."""
        return any(self._crashes[key].is_same_as(crash) for crash in crashes)

    def _is_new(self, part: str) -> bool:
        """Whether no request with a part was ever answered, as far as known."""
        return self._find_begun_at(part) == -math.inf

    def _find_threshold(self, part: str) -> int:
        """Return the number of crashes from which on a part is quarantined."""
        return MIN_CRASHES if self._is_new(part) else MIN_CRASHES_ANSWERED

    def _rank(self, part: str, keys: set[_Key]) -> tuple[bool, int, int]:
        """Rank a part by how suspect it is.

        Parts that were never answered go first, then those with more crashes, then
        those that come later in the prompt, which fewer requests have.
        """
        depth = max((self._crashes[key].parts.index(part) for key in keys), default=0)
        return self._is_new(part), self._count(keys), depth

    def _count(self, keys: Iterable[_Key]) -> int:
        crashes = [self._crashes[key] for key in keys]
        n_crashes, counted_at = 0, -math.inf
        for at in sorted(crash.at for crash in crashes):
            if at - counted_at >= CRASH_INTERVAL_S:
                n_crashes += 1
                counted_at = at
        n_servers = len({crash.server for crash in crashes})
        return max(n_crashes, n_servers // SERVERS_PER_CRASH)

    def _find_begun_at(self, part: str) -> float:
        """Return when a request with a part was last answered, as far as known."""
        return max(
            self._begun_at.get(part, -math.inf), self._cleared_at.get(part, -math.inf)
        )

    def _clear(self, part: str, at: float) -> None:
        """Suspect a part no longer for the crashes up to an answer."""
        if part not in self._cleared_at:
            self.digest ^= _hash(part)
        self._cleared_at[part] = max(at, self._cleared_at.get(part, at))
        self._expires_at = min(self._expires_at, at + TTL_S)
        for key in list(self._keys_by_part.get(part, ())):
            if self._crashes[key].at <= at:
                self._acquit(part, key)

    def _add(self, key: _Key, crash: _Crash) -> None:
        if len(self._crashes) >= MAX_CRASHES:
            self._remove(next(iter(self._crashes)))
        self._crashes[key] = crash
        for part in crash.parts:
            self._keys_by_part.setdefault(part, set()).add(key)
        self._expires_at = min(self._expires_at, crash.at + TTL_S)
        self._quarantined = None
        self.digest ^= _hash(*key)

    def _remove(self, key: _Key) -> None:
        for part in list(self._crashes[key].parts):
            self._acquit(part, key)

    def _acquit(self, part: str, key: _Key) -> None:
        """Suspect a part no longer for one crash; forget a crash without suspects."""
        self._quarantined = None
        keys = self._keys_by_part[part]
        keys.remove(key)
        if not keys:
            del self._keys_by_part[part]
        crash = self._crashes[key]
        crash.parts = [other for other in crash.parts if other != part]
        if not crash.parts:
            del self._crashes[key]
            self.digest ^= _hash(*key)

    def _expire(self) -> None:
        """Remove the crashes and answers that are `TTL_S` old."""
        now = self._now()
        if now < self._expires_at:
            return
        since = now - TTL_S
        for key, crash in list(self._crashes.items()):
            if crash.at <= since:
                self._remove(key)
        for part, at in list(self._cleared_at.items()):
            if at <= since:
                del self._cleared_at[part]
                self.digest ^= _hash(part)
        oldest = [crash.at for crash in self._crashes.values()]
        oldest.extend(self._cleared_at.values())
        self._expires_at = min(oldest, default=math.inf) + TTL_S


def _hash(*fields: object) -> int:
    text = "\0".join(str(field) for field in fields).encode()
    return int.from_bytes(hashlib.blake2b(text, digest_size=8).digest(), "big")
