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
    set_state("services_cut_off", len(application.links.list_cut_off()))
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
    set_state("background_failures", application.supervisor.n_failures)
