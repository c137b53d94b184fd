"""Copies the state of a router's components into its gauges."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

    from .application import Application

__all__ = ["set_gauges"]


def set_gauges(
    application: Application, set_state: Callable[[str, float], None]
) -> None:
    """Set the gauges of a router process.

    Parameters
    ----------
    application : Application
        The process and its components.
    set_state : callable
        Sets one gauge, by its name.
    """
    set_state("config_version", application.configuration.version)
    set_state("servers", len(application.directory))
    withdrawals = application.directory.withdrawals
    set_state("servers_leaving", len(withdrawals.list_leaving()))
    set_state("servers_asked_for_pause", withdrawals.n_pauses)
    set_state("servers_limited", application.limits.count_limited())
    cold = application.cold.count_cold(application.directory.list_all())
    set_state("servers_cold", cold)
    set_state("servers_paced", application.pace.count_recovering())
    set_state("pace_decreases", application.pace.n_decreases)
    set_state("services_cut_off", len(application.links.list_cut_off()))
    set_state("zones_evacuated", len(application.evacuations.list_evacuated()))
    set_state("servers_evacuated", application.directory.count_evacuated())
    set_state("streams_known", application.streams.count())
    set_state("server_starts_asked", application.lives.n_asked)
    set_state("services_brittle", application.brittle.count_brittle())
    set_state("store_era", application.era.current)
    set_state("store_restores", application.era.n_restores)
    set_state(
        "prompt_parts_quarantined", len(application.crashing_parts.list_quarantined())
    )
    set_state("routers_counted", application.services.count_hosts() or 0)
    set_state("store_calls", application.store.calls)
    set_state("store_failures_in_a_row", application.store.failures_in_a_row)
    set_state("connections_opened", application.pool.n_opened)
    set_state("exchanges", application.count_exchanges())
    set_state("most_answer_bytes", application.services.answer_memory.peak_bytes)
    memory = application.caller_memory
    set_state("most_held_bytes", memory.peak_bytes)
    set_state("slow_connections_aborted", memory.n_aborted)
    set_state("bodies_refused_for_memory", memory.n_refused)
    set_state("rows_written_again", application.keeper.rows_written_again)
    set_state("tokens_reclaimed", application.keeper.reclaimed_tokens)
    set_state("log_lines_dropped", application.log.dropped)
    entry = application.entry
    set_state("link_use_percent", entry.compute_use_percent())
    set_state("link_unsent_bytes", entry.usage.unsent_bytes)
    set_state("link_oldest_unsent_seconds", entry.usage.oldest_unsent_s)
    set_state("event_loop_lag_seconds", entry.usage.loop_lag_s)
    set_state("link_saturated", entry.control.is_saturated)
    set_state("link_aside", entry.control.is_aside)
    set_state("link_aside_seconds", entry.control.compute_aside_s())
    set_state("link_requests_refused", entry.n_refused)
    set_state("link_connections_closed", entry.n_closed)
    speed = application.placement.speed
    set_state("servers_reporting_speed", speed.count_reporting())
    set_state("server_slowness_highest", speed.find_highest())
    set_state("requests_withdrawn", speed.n_withdrawn)
    start_times = application.start_times
    if start_times is not None:
        set_state("requests_refused_as_late", start_times.n_refused)
        set_state("requests_returned_after_refusal", start_times.n_returned)
    set_state("background_failures", application.supervisor.n_failures)
