"""Composes the hello by which a router announces its state to the others."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from .messages import (
    MAX_HELLO_CRASHES,
    Hello,
    select_brittle,
    select_crashes,
    select_cut_off,
    select_free,
    select_leaving,
    select_part_report,
)

if TYPE_CHECKING:
    from .application import Application

__all__ = ["make_hello"]


def make_hello(application: Application) -> Hello:
    """Return the state of a router that its peers need."""
    spendable = {
        account: max(0, application.book.count_spendable(account))
        for account in application.book.holdings
    }
    return Hello(
        host=application.settings.host,
        incarnation=application.incarnation,
        address=f"{application.internal_address[0]}:{application.internal_address[1]}",
        config_version=application.configuration.version,
        free=select_free(spendable),
        crashes=select_crashes(application.poison.export(MAX_HELLO_CRASHES)),
        parts=select_part_report(application.crashing_parts.export()),
        crash_digest=application.news.crash_digest,
        zone=application.settings.zone,
        link_mbps=application.settings.link_mbps,
        is_leaving=application.is_draining,
        is_in_step=application.is_following_store,
        has_lost_store=application.has_lost_store,
        store_latency_s=_round_latency(application.store.latency_s),
        config_store_version=application.configuration.store_version,
        directory_store_version=application.directory.store_version,
        store_era=application.era.current,
        leaving=select_leaving(application.directory.withdrawals.list_new_leaving()),
        directory=f"{application.incarnation}.{application.directory.generation}",
        callers="{}:{}".format(*application.settings.caller_address),
        cut_off=select_cut_off(application.links.list_cut_off()),
        brittle=select_brittle(application.brittle.list_reports()),
        link_use=application.entry.compute_use_percent(),
        is_aside=application.entry.control.is_aside,
        surge=application.entry.control.surge_bytes_per_s,
    )


def _round_latency(latency_s: float) -> float | None:
    """Return the measured latency of the store, or None if it is not known."""
    return None if math.isinf(latency_s) else round(latency_s, 4)
