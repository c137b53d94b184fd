"""Shares the request rates that backend servers announce, without performing I/O.

An overloaded server announces how many requests a second it accepts from all routers
together. A few routers share that rate. The others send it nothing, since each router
that sends to it may add one request to any short period. Each router determines the
sharers on its own, from the routers that it knows to be live.

Routers pass on what servers announce, with its age, and the latest announcement holds.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import attrs
import msgspec

from .pacing import PermitBucket

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Sequence

    from ..model import BackendServer

__all__ = ["LimitReport", "ServerLimits"]

# Routers that share a limit: a fixed number, and more for each request per second. In
# 4 s they send at most their number beyond the rate; a half more than the rate and
# five requests are tolerated.
MIN_SHARERS = 2
SHARERS_PER_RATE_S = 1.5
BURST_S = 1.0  # Requests that a router may save up, as a time at its rate.
# A server that accepts nothing still gets a request now and then; its answer tells
# whether the limit holds.
MIN_RATE_PER_S = 0.25
NOTICE_S = 2.0  # For which a report is passed on; five hello intervals.
REFRESH_S = 5.0  # Between reports of an announcement that stays the same.
# Without any answer of a server for this long, its sharers may have no callers; then
# all routers share the limit.
UNCONFIRMED_S = 30.0


class LimitReport(msgspec.Struct, frozen=True, array_like=True):
    """What a server has announced, as routers report it.

    Attributes
    ----------
    server_id : str
        Id of the server.
    born_ms : int
        Start of the server's life, in milliseconds.
    rate_per_s : float or None
        Requests a second that it accepts; None if it has no limit any more.
    age_s : float
        Time since the announcement.
    """

    server_id: str
    born_ms: int
    rate_per_s: float | None
    age_s: float


@attrs.define(kw_only=True)
class _Announcement:
    """The latest announcement of a server, and this router's share of its limit.

    Attributes
    ----------
    born_ms, rate_per_s
        See `LimitReport`.
    heard_at : float
        When a router received the announcement from the server.
    noted_at : float
        When the limit last changed here, or an answer last gave cause to report it
        again.
    bucket : PermitBucket
        This router's permits.
    """

    born_ms: int
    rate_per_s: float | None
    heard_at: float
    noted_at: float
    bucket: PermitBucket = attrs.field(factory=PermitBucket)


class ServerLimits:
    """The limits of all servers, and the requests that this router may send to them.

    Parameters
    ----------
    now : callable
        Returns the seconds of a monotonic clock that includes suspended time.
    host : str
        This router's host.
    list_sharers : callable
        Returns up to a number of live routers of the fleet, the same ones at each
        router, from a server's id, its data centre and the number.
    """

    def __init__(
        self,
        now: Callable[[], float],
        host: str,
        list_sharers: Callable[[str, str, float], Sequence[str]],
    ) -> None:
        self._now = now
        self._host = host
        self._list_sharers = list_sharers
        self._announcements: dict[str, _Announcement] = {}

    def note_answer(self, server: BackendServer, rate_per_s: float | None) -> bool:
        """Record what an answer says of its server's limit.

        Returns whether this changes the limit. `rate_per_s` is None if the answer names
        no limit.
        """
        if rate_per_s is None and server.id not in self._announcements:
            return False
        if self._note(LimitReport(server.id, server.born_ms, rate_per_s, 0.0)):
            return True
        known = self._announcements[server.id]
        if self._now() - known.noted_at > REFRESH_S:
            known.noted_at = self._now()
        return False

    def merge(self, reports: Iterable[LimitReport]) -> list[LimitReport]:
        """Record the reports of another router; return those that changed a limit."""
        return [report for report in reports if self._note(report)]

    def _note(self, report: LimitReport) -> bool:
        """Record an announcement unless it is older than what is known."""
        now = self._now()
        heard_at = now - max(0.0, report.age_s)
        known = self._announcements.get(report.server_id)
        if known is None or (
            report.born_ms != known.born_ms and heard_at > known.heard_at
        ):
            # A later life may have an earlier start, if a clock was set back.
            self._announcements[report.server_id] = _Announcement(
                born_ms=report.born_ms,
                rate_per_s=report.rate_per_s,
                heard_at=heard_at,
                noted_at=now,
            )
            return True
        if report.born_ms != known.born_ms or heard_at <= known.heard_at:
            return False
        known.heard_at = heard_at
        if report.rate_per_s == known.rate_per_s:
            return False
        if known.rate_per_s is None:
            known.bucket.share_per_s = 0.0
        known.rate_per_s = report.rate_per_s
        known.noted_at = now
        known.bucket.computed_at = -math.inf
        return True

    def list_reports(self, *, include_all: bool = False) -> list[LimitReport]:
        """Return what is to be passed on to other routers.

        These are announcements that have changed or are due for a refresh, and with
        `include_all` all limits that hold.
        """
        now = self._now()
        reports = []
        for key, known in self._announcements.items():
            is_due = now - known.noted_at < NOTICE_S
            if is_due or (include_all and known.rate_per_s is not None):
                age_s = now - known.heard_at
                reports.append(LimitReport(key, known.born_ms, known.rate_per_s, age_s))
        return reports

    def retain_only(self, known_ids: Iterable[str]) -> None:
        """Forget the limits of servers whose ids are not in `known_ids`."""
        kept = set(known_ids)
        for key in [key for key in self._announcements if key not in kept]:
            del self._announcements[key]

    def find_rate(self, server: BackendServer) -> float | None:
        """Return the requests a second that a server accepts, None without a limit."""
        known = self._announcements.get(server.id)
        if known is None or known.born_ms != server.born_ms:
            return None
        return known.rate_per_s

    def count_limited(self) -> int:
        """Return the number of servers with a limit."""
        limits = [known.rate_per_s for known in self._announcements.values()]
        return sum(rate_per_s is not None for rate_per_s in limits)

    def find_share(self, server: BackendServer) -> float | None:
        """Return the requests a second that this router may send, None if unlimited."""
        if self.find_rate(server) is None:
            return None
        known = self._announcements[server.id]
        known.bucket.update(
            self._now(), lambda: self._compute_share(server, known), BURST_S
        )
        return known.bucket.share_per_s

    def find_wait_s(self, server: BackendServer) -> float:
        """Return the time until this router may send the next request to a server.

        This is 0 if it may send one now, and infinite if it has no share of the
        server's limit.
        """
        if self.find_share(server) is None:
            return 0.0
        return self._announcements[server.id].bucket.find_wait_s()

    def take_permit(self, server: BackendServer) -> None:
        """Record that a request is about to be sent to a server."""
        if self.find_share(server) is not None:
            self._announcements[server.id].bucket.take()

    def _compute_share(self, server: BackendServer, known: _Announcement) -> float:
        """Return the requests a second that this router may send to a server."""
        assert known.rate_per_s is not None
        rate_per_s = max(MIN_RATE_PER_S, known.rate_per_s)
        if self._now() - known.heard_at > UNCONFIRMED_S:
            n_most: float = math.inf
        else:
            n_most = MIN_SHARERS + SHARERS_PER_RATE_S * rate_per_s
        sharers = self._list_sharers(server.id, server.zone, n_most)
        return rate_per_s / len(sharers) if self._host in sharers else 0.0
