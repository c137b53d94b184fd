"""Rate limiter for a router's traffic on the link between regions."""

from __future__ import annotations

import enum

import attrs

__all__ = ["LinkRateLimiter", "LinkUse"]

# Share of the bucket that only control messages may use, so that bulk data cannot delay
# them.
CONTROL_SHARE = 0.2

# Capacity of the bucket, as seconds of the rate.
BURST_S = 0.5

# Bound of the debt, as seconds of the rate. It limits the time for which one very large
# answer blocks the link.
MAX_DEBT_S = 4.0


class LinkUse(enum.Enum):
    """Traffic class of bytes on the link."""

    CONTROL = "control"
    DATA = "data"


@attrs.define
class _ByteTotals:
    """Bytes counted since the start, by traffic class."""

    control: int = 0
    data: int = 0


class LinkRateLimiter:
    """Token bucket in bytes, with a share reserved for control messages.

    Data may not draw the bucket below the reserved share. Bytes that become known only
    after they were sent, such as those of an answer, are recorded unconditionally and
    may make the level negative, so that the mean rate still holds.

    Parameters
    ----------
    bytes_per_s : float
        Rate in bytes per second that this process may use of the link, both directions
        together.
    now : float
        Monotonic time, in seconds.
    control_share : float
        Share of the bucket that is reserved for control messages, between 0 and 1.
    burst_s : float
        Capacity of the bucket, as seconds of the rate.

    Examples
    --------
    >>> limiter = LinkRateLimiter(1000.0, now=0.0)
    >>> limiter.spend(LinkUse.DATA, 400, now=0.0)
    True
    >>> limiter.spend(LinkUse.DATA, 1, now=0.0)
    False
    >>> limiter.spend(LinkUse.CONTROL, 100, now=0.0)
    True
    """

    def __init__(
        self,
        bytes_per_s: float,
        now: float,
        control_share: float = CONTROL_SHARE,
        burst_s: float = BURST_S,
    ) -> None:
        self._bytes_per_s = bytes_per_s
        self._control_share = control_share
        self._burst_s = burst_s
        self._level = bytes_per_s * burst_s
        self._updated_at = now
        self._totals = _ByteTotals()

    @property
    def bytes_per_s(self) -> float:
        """Rate of the limiter, in bytes per second."""
        return self._bytes_per_s

    def change_rate(self, bytes_per_s: float, now: float) -> None:
        """Set the rate, for example when the number of routers on the link changes.

        Parameters
        ----------
        bytes_per_s : float
            New rate, in bytes per second.
        now : float
            Monotonic time, in seconds.
        """
        self._refill(now)
        self._bytes_per_s = bytes_per_s
        self._level = min(self._level, self._compute_capacity())

    def can_spend(self, use: LinkUse, n_bytes: int, now: float) -> bool:
        """Return whether bytes may be sent now.

        Parameters
        ----------
        use : LinkUse
            Traffic class of the bytes.
        n_bytes : int
            Number of bytes.
        now : float
            Monotonic time, in seconds.

        Returns
        -------
        bool
            Whether the bucket holds enough. Bytes in excess of its usable capacity are
            allowed when it is full; otherwise a large message could never be sent.
        """
        self._refill(now)
        reserve = 0.0
        if use is LinkUse.DATA:
            reserve = self._compute_capacity() * self._control_share
        usable = self._compute_capacity() - reserve
        return self._level - reserve >= min(n_bytes, usable)

    def spend(self, use: LinkUse, n_bytes: int, now: float) -> bool:
        """Consume bytes from the bucket if they may be sent now.

        Parameters
        ----------
        use : LinkUse
            Traffic class of the bytes.
        n_bytes : int
            Number of bytes.
        now : float
            Monotonic time, in seconds.

        Returns
        -------
        bool
            Whether they were consumed and may be sent.
        """
        if not self.can_spend(use, n_bytes, now):
            return False
        self.record(use, n_bytes, now)
        return True

    def record(self, use: LinkUse, n_bytes: int, now: float) -> None:
        """Consume bytes without a check, because they are sent in any case.

        Parameters
        ----------
        use : LinkUse
            Traffic class of the bytes.
        n_bytes : int
            Number of bytes.
        now : float
            Monotonic time, in seconds.
        """
        self._refill(now)
        self._level -= n_bytes
        self._level = max(self._level, -self._bytes_per_s * MAX_DEBT_S)
        if use is LinkUse.CONTROL:
            self._totals.control += n_bytes
        else:
            self._totals.data += n_bytes

    def compute_delay(self, use: LinkUse, n_bytes: int, now: float) -> float:
        """Return the time until bytes may be sent.

        Parameters
        ----------
        use : LinkUse
            Traffic class of the bytes.
        n_bytes : int
            Number of bytes.
        now : float
            Monotonic time, in seconds.

        Returns
        -------
        float
            Time, in seconds; 0 if they may be sent now, infinite at a rate of 0.
        """
        if self.can_spend(use, n_bytes, now):
            return 0.0
        reserve = 0.0
        if use is LinkUse.DATA:
            reserve = self._compute_capacity() * self._control_share
        required_level = reserve + min(n_bytes, self._compute_capacity() - reserve)
        if self._bytes_per_s <= 0.0:
            return float("inf")
        return (required_level - self._level) / self._bytes_per_s

    def count_bytes(self, use: LinkUse) -> int:
        """Return the bytes counted since the start.

        Parameters
        ----------
        use : LinkUse
            Traffic class of the bytes.

        Returns
        -------
        int
            Number of bytes.
        """
        if use is LinkUse.CONTROL:
            return self._totals.control
        return self._totals.data

    def _compute_capacity(self) -> float:
        """Return the capacity of the bucket, in bytes."""
        return self._bytes_per_s * self._burst_s

    def _refill(self, now: float) -> None:
        """Add the bytes that accrued since the last refill."""
        if now <= self._updated_at:
            return
        refill = (now - self._updated_at) * self._bytes_per_s
        self._updated_at = now
        self._level = min(self._compute_capacity(), self._level + refill)
