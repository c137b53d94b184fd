"""Applies the decisions of `EntryControl` and `LinkAdmission` to a router process."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from .admission import (
    BYTES_PER_S_PER_MBPS,
    LONG_WINDOW_S,
    SHORT_WINDOW_S,
    EntryControl,
    EntryState,
    LinkAdmission,
    LinkRequest,
    LinkSample,
    LinkUsage,
    ZoneHost,
)
from .peers import LIVE_TIMEOUT_S

if TYPE_CHECKING:
    import random
    from collections.abc import Callable, Collection, Hashable, Sequence

    from .caller import CallerConnection
    from .client import ClientPool, Connection
    from .log import Log
    from .neighbourhood import Neighbourhood
    from .peers import Peer, Peers

__all__ = ["LinkProtection"]

TICK_S = 0.1
IDLE_TICK_S = 0.25  # A processor that many routers share is spared.
SAMPLED_USE = 0.5  # Write buffers are sampled while the link is used more than this.
CLOSED_SHARE = 0.05  # Of the connections that are closed in one tick.
MIN_CLOSED = 2
COUNT_INTERVAL_S = 1.0  # Over which the bytes of a connection are compared.
FORGET_RESPONSES_S = 60.0
# On a full link hellos are late or lost. Hosts that are silent for less than this do
# not count as out of rotation then; a host that steps aside would return too early.
MAX_SILENCE_S = 5.0
# After saturation; longer than the usual timeout of a first response.
CONGESTION_MEMORY_S = 1.0
MAX_PERCENT = 1000
# Retry-After of a refused request where the host keeps its callers, multiplied by the
# demand. Bodies of requests that return too early fill the link on their own.
RETRY_AFTER_S = 1.0
MAX_RETRY_AFTER_S = 3.0
# Retry-After where the balancer already sends callers to other hosts.
ELSEWHERE_RETRY_AFTER_S = 0.05
PROBE_MARGIN_S = 0.5  # By which the balancer may be late with its probes.
RETRY_SPREAD_S = 0.2  # Random part, so that callers do not return at the same moment.


class LinkProtection:
    """Samples a host's link, and relieves it while it is saturated.

    Parameters
    ----------
    loop : asyncio.AbstractEventLoop
        The loop to run on.
    log : Log
        Log for changes of the state.
    host : str
        This host.
    link_mbps : float
        Capacity of its link in Mbit/s; 0 switches all of this off.
    neighbourhood : Neighbourhood
        The hosts of the data centre, by hellos and rows of the store.
    callers : collection of CallerConnection
        The open connections of callers.
    random : random.Random
        Spreads the callers that are told to return.

    Attributes
    ----------
    usage : LinkUsage
        Counts the bytes of all connections.
    control : EntryControl
        Decides whether the host steps aside.
    n_refused, n_closed : int
        Requests refused and connections closed so far.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        log: Log,
        host: str,
        link_mbps: float,
        neighbourhood: Neighbourhood,
        callers: Collection[CallerConnection],
        random: random.Random,
    ) -> None:
        self._loop = loop
        self._log = log
        self._neighbourhood = neighbourhood
        self._callers = callers
        self._random = random
        self.usage = LinkUsage(link_mbps, loop.time)
        self.control = EntryControl(host, loop.time)
        self.n_refused = 0
        self.n_closed = 0
        self._admission = LinkAdmission(
            self.usage.bytes_per_s, loop.time, self.usage.count_queued
        )
        self._counted_at = -1e9
        self._counts: dict[CallerConnection, int] = {}
        self._earlier_counts: dict[CallerConnection, int] = {}

    @property
    def is_active(self) -> bool:
        """Whether the capacity of the link is known."""
        return self.usage.bytes_per_s > 0

    def is_congested(self) -> bool:
        """Whether timeouts say nothing about servers.

        That is so while the link is saturated, and until what has waited meanwhile has
        passed.
        """
        saturated_at = self.control.saturated_at
        return self._loop.time() - saturated_at < CONGESTION_MEMORY_S

    def compute_use_percent(self) -> int:
        """Return the use of the link over the last second, in percent."""
        return min(MAX_PERCENT, round(100 * self.usage.compute_use(LONG_WINDOW_S)))

    async def run(
        self, pool: ClientPool, peers: Peers, on_change: Callable[[], None]
    ) -> None:
        """Sample the link until cancelled.

        Parameters
        ----------
        pool : ClientPool
            Connections to servers and other routers.
        peers : Peers
            The routers known by their hellos.
        on_change : callable
            Called when the host has begun or ceased to step aside.
        """
        while True:
            interval_s = self._find_interval_s()
            due_at = self._loop.time() + interval_s
            await asyncio.sleep(interval_s)
            self.usage.loop_lag_s = max(0.0, self._loop.time() - due_at)
            if not self.is_active:
                continue
            self._sample_unsent(pool)
            was_aside = self.control.is_aside
            self.update(self._list_zone(peers))
            if self.control.is_aside is not was_aside:
                on_change()
            self.usage.response_times.forget_before(
                self._loop.time() - FORGET_RESPONSES_S
            )

    def update(self, zone: Sequence[ZoneHost]) -> None:
        """Decide by a new sample of the link and by the hosts of the data centre."""
        if self.control.update(self._make_sample(), zone):
            self._log_state()
        self._close_some()

    def _find_interval_s(self) -> float:
        """Return the time until the next sample, which is longer on an idle link."""
        if self.control.state is not EntryState.NORMAL:
            return TICK_S
        use = self.usage.compute_use(SHORT_WINDOW_S)
        return TICK_S if use >= SAMPLED_USE else IDLE_TICK_S

    # Requests.

    def admit(
        self, key: Hashable, caller: CallerConnection, request: LinkRequest
    ) -> float | None:
        """Admit a request, or return the time after which its caller should retry.

        The connection of a refused caller is closed once the balancer sends new ones
        to other hosts.
        """
        if self._admission.admit(
            key,
            request,
            is_shedding=self.control.is_saturated,
            is_aside=self.control.is_aside,
        ):
            return None
        self.n_refused += 1
        spread_s = self._random.uniform(0.0, RETRY_SPREAD_S)
        time_left_s = self.control.find_time_in_rotation()
        if self.control.is_out_of_rotation:
            caller.request_close()
        if not self.control.is_aside or self._has_come_anyway(caller, time_left_s):
            retry_after_s = RETRY_AFTER_S * max(1.0, self._make_sample().demand)
            return min(MAX_RETRY_AFTER_S, retry_after_s) + spread_s
        return max(ELSEWHERE_RETRY_AFTER_S, time_left_s) + spread_s

    def _has_come_anyway(self, caller: CallerConnection, time_left_s: float) -> bool:
        """Whether the balancer has sent a caller although the host is out of rotation.

        It does so if it uses all hosts of the data centre, and the caller would come
        back here.
        """
        out_since = self._loop.time() + time_left_s
        return caller.opened_at > out_since + PROBE_MARGIN_S

    def note_ended(self, key: Hashable, answer_bytes: int) -> None:
        """Record the end of a request, and the size of its answer."""
        self._admission.note_ended(key, answer_bytes)

    # Samples.

    def _make_sample(self) -> LinkSample:
        """Return the current state of the link."""
        refused = self._admission.compute_refused_bytes_per_s()
        return LinkSample(
            bytes_per_s=self.usage.bytes_per_s,
            short_use=self.usage.compute_use(SHORT_WINDOW_S),
            long_use=self.usage.compute_use(LONG_WINDOW_S),
            refused_use=refused / self.usage.bytes_per_s,
            caller_share=self.usage.compute_caller_share(),
            unsent_bytes=self.usage.unsent_bytes,
            loop_lag_s=self.usage.loop_lag_s,
            is_slow=self.usage.response_times.are_growing(),
        )

    def _sample_unsent(self, pool: ClientPool) -> None:
        """Read the sizes of the write buffers while they may be filled."""
        unsent: dict[int, int] = {}
        if self.usage.compute_use(LONG_WINDOW_S) >= SAMPLED_USE:
            connections: list[CallerConnection | Connection] = list(self._callers)
            connections += pool.list_open()
            for connection in connections:
                n_bytes = connection.count_unsent()
                if n_bytes:
                    unsent[id(connection)] = n_bytes
        self.usage.note_unsent(unsent)

    def _list_zone(self, peers: Peers) -> list[ZoneHost]:
        """Return the other hosts of the data centre."""
        silence_s = MAX_SILENCE_S if self.is_congested() else LIVE_TIMEOUT_S
        live = {peer.hello.host: peer for peer in peers.list_heard(silence_s)}
        return [
            _make_zone_host(host, link_mbps, live.get(host))
            for host, link_mbps in self._neighbourhood.list_zone_links().items()
        ]

    def _log_state(self) -> None:
        """Log a changed state with what has led to it."""
        sample = self._make_sample()
        self._log.write(
            "link: state changed",
            state=self.control.state.value,
            reason=self.control.reason,
            use=round(sample.long_use, 3),
            short_use=round(sample.short_use, 3),
            demand=round(sample.demand, 3),
            unsent=sample.unsent_bytes,
            oldest_unsent_s=round(self.usage.oldest_unsent_s, 3),
            loop_lag_s=round(sample.loop_lag_s, 3),
            is_slow=sample.is_slow,
            out=self.control.count_out(),
            hosts=self.control.count_hosts(),
            surge=self.control.surge_bytes_per_s,
            aside_s=round(self.control.compute_aside_s(), 2),
        )

    # Connections.

    def _close_some(self) -> None:
        """Close a few connections, busiest first, once callers are sent elsewhere."""
        if not self.control.is_aside:
            self._keep_connections()
            return
        self._count_bytes()
        if not self.control.is_overloaded:
            return
        candidates = [caller for caller in self._callers if not caller.is_close_due]
        candidates.sort(key=self._find_recent_bytes, reverse=True)
        n_closed = max(MIN_CLOSED, int(CLOSED_SHARE * len(self._callers)))
        closed = candidates[:n_closed]
        for caller in closed:
            caller.request_close()
            if caller.is_idle and not self._find_recent_bytes(caller):
                caller.close()
        self.n_closed += len(closed)
        if closed:
            self._log.write(
                "link: connections closed",
                closed=len(closed),
                open=len(self._callers),
            )

    def _keep_connections(self) -> None:
        """Keep the connections that are not closed yet, once the host has returned.

        Their callers would come back over new connections.
        """
        if not self._counts:
            return
        for caller in self._callers:
            caller.is_close_due = False
        self._counts.clear()
        self._earlier_counts.clear()

    def _count_bytes(self) -> None:
        """Note once a second how many bytes each connection has carried."""
        now = self._loop.time()
        if now - self._counted_at < COUNT_INTERVAL_S:
            return
        self._counted_at = now
        self._earlier_counts = self._counts
        self._counts = {caller: caller.n_bytes for caller in self._callers}

    def _find_recent_bytes(self, caller: CallerConnection) -> int:
        """Return the bytes of a connection in the last one to two seconds."""
        return caller.n_bytes - self._earlier_counts.get(caller, 0)


def _make_zone_host(host: str, link_mbps: float, peer: Peer | None) -> ZoneHost:
    """Return what is known of a host; without a recent hello only its link is."""
    bytes_per_s = max(0.0, link_mbps) * BYTES_PER_S_PER_MBPS
    if peer is None:
        return ZoneHost(host=host, bytes_per_s=bytes_per_s, is_heard=False)
    hello = peer.hello
    return ZoneHost(
        host=host,
        bytes_per_s=bytes_per_s,
        is_ready=hello.config_version > 0 and not hello.is_leaving,
        is_aside=hello.is_aside,
        use=max(0, hello.link_use) / 100,
        surge_bytes_per_s=max(0, hello.surge),
    )
