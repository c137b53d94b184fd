"""Requests that crash the backend servers that run them."""

from __future__ import annotations

import hashlib
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

__all__ = ["PoisonList", "make_fingerprint"]

MAX_CRASHES = 2  # Three crashes are allowed; the third may be another router's.
KEEP_S = 60.0  # A request that crashes servers comes again within seconds.


def make_fingerprint(target: bytes, account: str, body: bytes) -> str:
    """Return a digest that equal requests of one caller share."""
    digest = hashlib.blake2b(digest_size=12)
    for part in (target, account.encode("utf-8"), body):
        digest.update(len(part).to_bytes(8, "big"))
        digest.update(part)
    return digest.hexdigest()


class PoisonList:
    """Crashes counted by fingerprint, here and at the other routers.

    Parameters
    ----------
    now : callable
        Seconds on a steady clock.
    """

    def __init__(self, now: Callable[[], float]) -> None:
        self._now = now
        self._own: dict[str, tuple[int, float]] = {}
        self._others: dict[str, dict[str, tuple[int, float]]] = {}
        self._sound: dict[str, tuple[int, float]] = {}

    def note_crash(self, fingerprint: str) -> int:
        """Count a crash and return how many are known."""
        count, _ = self._own.get(fingerprint, (0, 0.0))
        self._own[fingerprint] = (count + 1, self._now())
        return self.count(fingerprint)

    def clear(self, fingerprint: str) -> None:
        """Take it that a server ran a request to its end: it crashes nobody."""
        if self.count(fingerprint):
            self._sound[fingerprint] = (0, self._now())
            self._own.pop(fingerprint, None)

    def count(self, fingerprint: str) -> int:
        """Return the crashes known of a request."""
        if fingerprint in self._sound:
            return 0
        total = self._own.get(fingerprint, (0, 0.0))[0]
        for counts in self._others.values():
            total += counts.get(fingerprint, (0, 0.0))[0]
        return total

    def is_poison(self, fingerprint: str) -> bool:
        """Whether a request has crashed servers too often to be sent again."""
        return self.count(fingerprint) >= MAX_CRASHES

    def export(self, host: str) -> dict[str, dict[str, int]]:
        """Return all counts by the host that made them, this one's as `host`."""
        self._expire(self._sound)
        counts = {**self._others, host: self._own}
        for entries in counts.values():
            self._expire(entries)
        return {
            name: {key: count for key, (count, _) in entries.items()}
            for name, entries in counts.items()
            if entries
        }

    def take_others(self, host: str, counts: dict[str, int]) -> None:
        """Take another router's counts; one that is gone keeps what it told."""
        if not counts and host not in self._others:
            return
        known = self._others.setdefault(host, {})
        now = self._now()
        for fingerprint, count in counts.items():
            before = known.get(fingerprint, (0, 0.0))[0]
            if count > before:
                known[fingerprint] = (count, now)
        self._expire(known)

    def _expire(self, counts: dict[str, tuple[int, float]]) -> None:
        now = self._now()
        for key in [key for key, (_, at) in counts.items() if now - at > KEEP_S]:
            del counts[key]
