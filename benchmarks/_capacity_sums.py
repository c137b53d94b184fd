"""Sums for a fleet of a given size, from the measured slopes."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import attrs

from bronzesail.budget import BudgetSettings
from bronzesail.schema import ConfigurationSettings, FleetSettings, RoutingSettings

if TYPE_CHECKING:
    from benchmarks._capacity_slopes import Slopes

__all__ = ["LETTER", "TODAY", "FleetSize", "compute_sums"]

US_PER_S = 1e6
MS_PER_S = 1000.0
DAY_S = 86_400.0
KIB = 1024
MIB = KIB * KIB
TABLE_WRITES_PER_S = 300.0
SCAN_PAGE_ROWS = 1000
RECLAIM_TRANSACTIONS = 2
RACK_NODES = 20
SUBSET_SERVERS = 24
BUCKET_BUDGETS = 1000
BUSIEST_SHARE = 0.1


@attrs.frozen
class FleetSize:
    """Size and load of a fleet.

    Attributes
    ----------
    n_nodes, n_servers, n_budgets, n_regions, n_data_centres : int
        Numbers of routers, backend servers, budgets, regions and data centres.
    requests_per_s, tokens_per_s : float
        Load at the peak.
    changes_per_day, failures_per_day, replacements_per_day : int
        Events of an ordinary day.
    """

    n_nodes: int
    n_servers: int
    n_budgets: int
    n_regions: int
    n_data_centres: int
    requests_per_s: float
    tokens_per_s: float
    changes_per_day: int
    failures_per_day: int
    replacements_per_day: int


LETTER = FleetSize(340, 1600, 810_000, 4, 9, 2200.0, 850_000.0, 4200, 30, 150)
TODAY = FleetSize(8, 12, 10, 2, 3, 20.0, 2000.0, 10, 0, 1)

Sums = dict[str, float]


def compute_sums(slopes: Slopes, size: FleetSize) -> Sums:
    """Return the sums for a fleet, with their units in the keys.

    Parameters
    ----------
    slopes : dict of str to float
        Measured slopes.
    size : FleetSize
        The fleet.

    Returns
    -------
    dict of str to float
        The sums.
    """
    sums: Sums = {}
    sums |= _sum_traffic(slopes, size)
    sums |= _sum_control_bytes(slopes, size, sums["requests_per_s_node"])
    sums |= _sum_control_core(slopes, size, sums)
    sums |= _sum_memory(slopes, size)
    sums |= _sum_table(slopes, size)
    sums |= _sum_failures(size)
    return {name: float(f"{value:.4g}") for name, value in sums.items()}


def _sum_traffic(slopes: Slopes, size: FleetSize) -> Sums:
    requests = size.requests_per_s / size.n_nodes
    tokens = size.tokens_per_s / size.n_nodes
    relay_us = tokens * slopes["http_stream_chunk_both_ends_us"]
    http_us = requests * 2 * slopes["http_cycle_both_ends_us"]
    return {
        "requests_per_s_node": requests,
        "tokens_per_s_node": tokens,
        "relay_core_percent_node": relay_us / US_PER_S * 100,
        "request_core_percent_node": http_us / US_PER_S * 100,
    }


def _count_polls(size: FleetSize) -> float:
    settings = RoutingSettings()
    wanted = size.n_servers / (settings.poll_period_ms / MS_PER_S)
    return 2 * min(wanted, float(settings.polls_per_s))


def _count_entries(size: FleetSize) -> float:
    """Return the budgets in whose rows one router keeps an entry."""
    registered = BudgetSettings().registered_routers * size.n_regions
    return size.n_budgets * min(registered, size.n_nodes) / size.n_nodes


def _count_probes(size: FleetSize) -> float:
    settings = FleetSettings("", "", "", b"")
    per_s = MS_PER_S / settings.probe_interval_ms
    return min(settings.n_neighbours, size.n_nodes - 1) * per_s


def _sum_control_bytes(slopes: Slopes, size: FleetSize, requests: float) -> Sums:
    changes = size.changes_per_day / DAY_S
    version = slopes["configuration_version_bytes"] + slopes["journal_reply_wire_bytes"]
    settings = FleetSettings("", "", "", b"")
    list_bytes = (size.n_servers + size.n_nodes) * slopes["host_entry_bytes"]
    poller_s = settings.list_poll_interval_ms / MS_PER_S
    idle_s = settings.list_idle_poll_interval_ms / MS_PER_S
    sums = {
        "journal_bytes_per_s_node": requests * slopes["journal_wire_bytes_per_request"],
        "probe_bytes_per_s_node": _count_probes(size)
        * slopes["probe_and_reply_wire_bytes"],
        "poll_bytes_per_s_node": _count_polls(size) * slopes["poll_wire_bytes"],
        "configuration_bytes_per_s_node": changes * version,
    }
    sums["control_bytes_per_s_node"] = sum(sums.values())
    sums["host_list_bytes_per_s_poller"] = list_bytes / poller_s
    sums["host_list_bytes_per_s_other"] = list_bytes / idle_s
    return sums


def _sum_control_core(slopes: Slopes, size: FleetSize, sums: Sums) -> Sums:
    requests = sums["requests_per_s_node"]
    entries = _count_entries(size)
    rows = size.n_budgets / BudgetSettings().scan_interval_s
    shares = {
        "journal_core_percent_node": requests * slopes["budget_request_fleet_us"],
        "poll_core_percent_node": _count_polls(size)
        * slopes["http_cycle_both_ends_us"],
        "budget_entries_core_percent_node": entries
        * slopes["budget_entry_idle_us_per_s"],
        "scan_core_percent_node": rows * slopes["codec_decode_row_us"],
        "choice_core_percent_node": requests * _choose_slope(slopes, size.n_servers),
        "choice_subset_core_percent_node": requests
        * slopes["routing_choice_24_servers_us"],
    }
    return {name: us / US_PER_S * 100 for name, us in shares.items()}


def _choose_slope(slopes: Slopes, n_servers: int) -> float:
    if n_servers > SUBSET_SERVERS:
        return slopes["routing_choice_1600_servers_us"]
    return slopes["routing_choice_24_servers_us"]


def _sum_memory(slopes: Slopes, size: FleetSize) -> Sums:
    settings = RoutingSettings()
    blocks = min(size.n_servers * settings.prefix_blocks, settings.prefix_blocks_total)
    entries = _count_entries(size)
    sums = {
        "imported_mib_node": slopes["rss_imported_mib"],
        "prefix_index_mib_node": blocks * slopes["prefix_index_block_bytes"] / MIB,
        "budget_entries_mib_node": entries * slopes["budget_entry_bytes"] / MIB,
    }
    sums["memory_mib_node"] = sum(sums.values())
    charge_digest_bytes = 8
    sums["ledger_digests_mib_per_day"] = (
        size.requests_per_s * DAY_S * charge_digest_bytes / MIB
    )
    return sums


def _sum_table(slopes: Slopes, size: FleetSize) -> Sums:
    settings = ConfigurationSettings()
    pollers = size.n_data_centres * settings.n_pollers
    others = max(0, size.n_nodes - pollers)
    reads = pollers / (settings.poll_interval_ms / MS_PER_S)
    reads += others / (settings.idle_poll_interval_ms / MS_PER_S)
    budget = BudgetSettings()
    pages = math.ceil(size.n_budgets / SCAN_PAGE_ROWS)
    holders = min(budget.registered_routers * size.n_regions, size.n_nodes)
    busiest = size.requests_per_s * BUSIEST_SHARE / holders
    settle_s = min(budget.settle_interval_s, budget.settle_records / busiest)
    buckets = math.ceil(size.n_budgets / BUCKET_BUDGETS)
    return {
        "table_transactions_per_s_all_busy": size.requests_per_s
        * slopes["busy_transactions_per_request"],
        "table_transactions_per_s_all_cold": size.requests_per_s
        * slopes["cold_transactions_per_request"],
        "table_transactions_per_s_in_buckets": buckets
        * size.n_regions
        / budget.settle_interval_s,
        "table_reads_per_s_configuration": reads,
        "table_reads_per_s_scans": pages * size.n_nodes / budget.scan_interval_s,
        "table_reads_per_s_scans_by_owner": pages / budget.scan_interval_s,
        "busiest_budget_holders": holders,
        "busiest_budget_row_bytes": holders * slopes["grant_entry_bytes"],
        "busiest_budget_transactions_per_s": holders / settle_s,
    }


def _sum_failures(size: FleetSize) -> Sums:
    entries = _count_entries(size)
    reclaim = entries * RECLAIM_TRANSACTIONS
    centre = size.n_nodes / size.n_data_centres
    return {
        "budget_entries_node": entries,
        "reclaim_transactions_per_s_day": size.failures_per_day * reclaim / DAY_S,
        "return_transactions_per_s_day": size.replacements_per_day * entries / DAY_S,
        "reclaim_one_node_s": reclaim / TABLE_WRITES_PER_S,
        "reclaim_rack_s": RACK_NODES * reclaim / TABLE_WRITES_PER_S,
        "reclaim_data_centre_s": centre * reclaim / TABLE_WRITES_PER_S,
    }
