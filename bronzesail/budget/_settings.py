"""Settings of grants, the dispatch journal, settlement and waiting requests."""

from __future__ import annotations

import attrs

__all__ = [
    "FEWER_REFUSALS",
    "TIGHTER_SPEND",
    "BudgetSettings",
    "PreferenceSettings",
    "choose_preference",
]


@attrs.frozen
class PreferenceSettings:
    """Settings that follow from a deployment's preference.

    They trade availability against the tokens bound in grants, and don't affect the
    invariants of the budget.

    Attributes
    ----------
    outage_horizon_s : float
        Period whose demand a grant covers, in seconds. A router can serve for about as
        long while the table service is unavailable.
    standby_share : float
        Share of the tokens left that the first-ranked router of a region keeps granted
        without demand.
    idle_return_s : float
        Time without a request after which a surplus is returned to the budget, in
        seconds.
    max_wait_s : float
        Longest time for which a request waits for tokens before it is refused, in
        seconds.
    """

    outage_horizon_s: float
    standby_share: float
    idle_return_s: float
    max_wait_s: float


FEWER_REFUSALS = PreferenceSettings(
    outage_horizon_s=1500.0, standby_share=0.3, idle_return_s=1200.0, max_wait_s=10.0
)
TIGHTER_SPEND = PreferenceSettings(
    outage_horizon_s=700.0, standby_share=0.25, idle_return_s=300.0, max_wait_s=2.0
)


def choose_preference(name: str) -> PreferenceSettings:
    """Return the settings of a deployment's preference.

    Parameters
    ----------
    name : str
        Either ``fewer-refusals`` or ``tighter-spend``.

    Returns
    -------
    PreferenceSettings
        Settings of `TIGHTER_SPEND`, or of `FEWER_REFUSALS` for any other name.

    Examples
    --------
    >>> choose_preference("tighter-spend").max_wait_s
    2.0
    """
    return TIGHTER_SPEND if name == "tighter-spend" else FEWER_REFUSALS


@attrs.frozen
class BudgetSettings:
    """Settings of a router that apply to all of its budgets.

    Attributes
    ----------
    requires_journal : bool
        Whether a dispatch needs a journal peer's acknowledgement. Without it a single
        router can serve, but a crash loses the charges that are not settled.
    n_journal_peers : int
        Number of journal peers that a grant names.
    journal_timeout_s : float
        Timeout of a journal peer's acknowledgement, in seconds.
    journal_flush_s : float
        Longest time for which a record is batched when no request waits for its
        acknowledgement, in seconds.
    settle_interval_s : float
        Age at which a finished record is settled, in seconds.
    settle_records : int
        Number of finished records that are settled at once, whatever their age.
    poll_interval_s : float
        Interval of the periodic work on each budget, in seconds.
    store_retry_s : float
        Delay before the next call after a failed call of the table service, in
        seconds. It doubles with each further failure.
    store_longest_retry_s : float
        Upper limit of that delay, in seconds.
    demand_window_s : float
        Time constant of the smoothed demand, in seconds.
    low_water_share : float
        Low-water mark below which a grant is refilled, as a share of its target.
    refill_jitter_share : float
        Largest random reduction of the low-water mark, as a share of it.
    scan_interval_s : float
        Interval of the scan for grants of routers that left the fleet, in seconds.
    hold_retry_s : float
        Interval at which the outcome of held records is queried, in seconds.
    transfer_timeout_s : float
        Timeout of a request for tokens to another router, in seconds.
    ask_interval_s : float
        Shortest time between two rounds of such requests, in seconds.
    reclaim_stagger_s : float
        Delay added for each rank of the reclaim order, in seconds: a router reclaims
        a grant only if those that rank before it have not done so.
    drain_journal_s : float
        Longest time for which a draining router keeps its journal copies, so that
        other holders can name another peer, in seconds.
    registered_routers : int
        Number of routers of a region that keep an entry in each budget's row without
        demand.
    row_fresh_s : float
        Age of the row above which it is read again before a transaction, in seconds.
        A transaction on an older row would likely conflict.
    page_lines : int
        Number of charges on a full page of the ledger.
    """

    requires_journal: bool = True
    n_journal_peers: int = 2
    journal_timeout_s: float = 2.0
    journal_flush_s: float = 0.25
    settle_interval_s: float = 300.0
    settle_records: int = 128
    poll_interval_s: float = 5.0
    store_retry_s: float = 0.5
    store_longest_retry_s: float = 4.0
    demand_window_s: float = 60.0
    low_water_share: float = 0.5
    refill_jitter_share: float = 0.2
    scan_interval_s: float = 60.0
    hold_retry_s: float = 5.0
    transfer_timeout_s: float = 1.0
    ask_interval_s: float = 0.25
    reclaim_stagger_s: float = 3.0
    drain_journal_s: float = 5.0
    registered_routers: int = 8
    row_fresh_s: float = 1.0
    page_lines: int = 256
