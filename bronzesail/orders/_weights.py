"""Fleet-wide rate limit of loads from the weight store, kept in one table row."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..schema import RowWrite, WeightStoreRow
from ..schema.codec import decode_as, encode
from ..storage import OutcomeUnknownError

if TYPE_CHECKING:
    from ..storage import Table
    from ..util.clock import Clock

__all__ = ["WEIGHT_STORE_KEY", "WeightStoreLimit"]

WEIGHT_STORE_KEY = "limits/weight-store"
# Bounds the delay caused by a start time that a host with a wrong clock has written.
MAX_START_DELAY_S = 3600.0
MS_PER_S = 1000


class WeightStoreLimit:
    """Reserves start times of loads, one per interval in the whole fleet.

    The row holds the next free start time by the wall clock. A host whose clock is
    wrong can delay the loads, by an hour at most. The safety of orders does not depend
    on the wall clock.

    Parameters
    ----------
    table : Table
        Table service.
    clock : Clock
        Clock of this host.
    interval_s : float
        Time between the starts of two loads, in seconds.
    """

    def __init__(self, table: Table, clock: Clock, interval_s: float) -> None:
        self._table = table
        self._clock = clock
        self._interval_ms = round(interval_s * MS_PER_S)

    async def reserve(self) -> float:
        """Reserve the next free start time.

        If the answer to a write is lost, another start time is reserved and the one
        that may have been reserved stays unused.

        Returns
        -------
        float
            Monotonic time from which a load may start, in seconds.

        Raises
        ------
        PlatformError
            If the table service did not answer.
        """
        while True:
            start_ms = await self._try_reserve()
            if start_ms is None:
                continue
            wait_s = max(0.0, start_ms / MS_PER_S - self._clock.wall())
            return self._clock.monotonic() + wait_s

    async def _try_reserve(self) -> int | None:
        (row,) = await self._table.read((WEIGHT_STORE_KEY,))
        now_ms = round(self._clock.wall() * MS_PER_S)
        start_ms = now_ms
        if row.version:
            next_ms = decode_as(row.value, WeightStoreRow).next_ms
            latest_ms = now_ms + round(MAX_START_DELAY_S * MS_PER_S)
            start_ms = min(max(now_ms, next_ms), latest_ms)
        value = encode(WeightStoreRow(start_ms + self._interval_ms))
        write = RowWrite(WEIGHT_STORE_KEY, row.version, value)
        try:
            reply = await self._table.transact((write,))
        except OutcomeUnknownError:
            return None
        return start_ms if reply.is_committed else None
