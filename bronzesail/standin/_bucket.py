"""Token bucket that limits the rate of a stand-in."""

from __future__ import annotations

import attrs

__all__ = ["TokenBucket"]


@attrs.define
class TokenBucket:
    """Token bucket that holds one second's worth of units.

    Attributes
    ----------
    level : float
        Units that may be taken now.
    updated_at : float
        Monotonic time of the last refill, in seconds.
    """

    level: float = 0.0
    updated_at: float = -1e9

    def take(self, units: float, per_s: float, now: float) -> bool:
        """Take units if there are enough.

        Parameters
        ----------
        units : float
            Units wanted.
        per_s : float
            Refill in units a second; 0 for no limit.
        now : float
            Monotonic time, in seconds.

        Returns
        -------
        bool
            Whether they were taken.
        """
        if per_s <= 0:
            return True
        refill = (now - self.updated_at) * per_s
        self.level = min(per_s, self.level + refill)
        self.updated_at = now
        if self.level < units:
            return False
        self.level -= units
        return True
