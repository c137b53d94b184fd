"""Decides whether a host with a saturated link steps aside, without performing I/O.

The platform's load balancer assigns a caller to a host by a hash, so that one host may
get a surge that its link cannot carry. While the host reports not ready, the balancer
sends new connections to others. It uses all hosts of a data centre again if fewer than
half of them are in rotation, so that only a minority may step aside at once.

A host steps aside for one of two reasons. Its own link is saturated, or another host
of the data centre turns a surge away that this host's link could not carry either,
while a wider link could. A host of the second kind returns to make room for one of the
first, so that a surge is handed on from host to host until a link carries it.
"""

from __future__ import annotations

import enum
from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

__all__ = ["EntryControl", "EntryState", "LinkSample", "ZoneHost"]

# Use of the link over one second above which it counts as saturated: round trips grow
# from here on. With a quarter of a second while another host announces a surge, hosts
# that got only a part of it stepped aside, and a replay served 0.64 instead of 0.95.
SATURATED_USE = 0.85
# The same over a quarter of a second, if unsent bytes grow at the same time.
SATURATED_SHORT_USE = 0.95
# The same over one second, if all response times grow together.
SATURATED_USE_IF_SLOW = 0.6
# Unsent bytes matter once the link needs this long for them.
MIN_UNSENT_S = 0.1
# A late event loop delays all responses as well, and is no sign of a saturated link.
MAX_LOOP_LAG_S = 0.1
# Transfers between routers and the store also use the link. They end on their own, and
# sending callers elsewhere does not end them sooner.
MIN_CALLER_SHARE = 0.25
CALM_USE = 0.7  # Demand below which the link no longer counts as saturated.
CALM_S = 0.5  # For how long it must stay below.
LOW_USE = 0.5  # Demand below which a host returns to rotation.
# The balancer probes once a second and takes a host out after two failed probes.
OUT_OF_ROTATION_AFTER_S = 2.3
MIN_ASIDE_S = 3.0
MAX_ASIDE_S = 8.0  # For a host whose own link was saturated.
HELP_S = 3.0  # For a host that only keeps a surge away.
HELP_PAUSE_S = 20.0  # Before it does so again.
STEP_PAUSE_S = 4.0  # After a return, before a saturated host steps aside again.
# Hosts of a data centre return one after the other: callers that return at once with
# all hosts would meet on one host again.
RETURN_GAP_S = 0.4
# The hosts of a fleet together must be ready for more than seven eighths of the time.
# Less than half of a data centre steps aside at once, so that each host may do so for
# this share of it. With an eighth for each host, a surge came back to hosts that had
# used up their time, and these refused 140 requests a second.
MAX_ASIDE_SHARE = 0.27
# Allowed in any case, as a surge needs this long to move away. Replays with 6 s and
# more oscillate between hosts with equal links.
MIN_ALLOWANCE_S = 4.8
ALLOWANCE_WINDOW_S = 600.0
# A link is wide if it has this many times the surge to spare. What a saturated host
# announces is capped by its own link, and the surge is larger.
WIDE_FACTOR = 3.0
# Share of the surge that another host must be able to take over. Connections that stay
# open keep a part of it here.
MIN_TAKEN_SHARE = 0.5
# Live hosts without any hello that allow a host to step aside alone.
MIN_HOSTS_ALONE = 3


class EntryState(enum.Enum):
    """What a host does about the callers that the balancer sends to it."""

    NORMAL = "normal"
    SHEDDING = "shedding"
    STEPPING_ASIDE = "stepping aside"


@attrs.frozen(kw_only=True)
class LinkSample:
    """The state of a host's link at one moment.

    Attributes
    ----------
    bytes_per_s : float
        Capacity of the link in each direction.
    short_use, long_use : float
        Used share of the link over a quarter of a second and over a second.
    refused_use : float
        Share of the link that the requests refused in the last second would have used.
    caller_share : float
        Share of callers' connections in the bytes.
    unsent_bytes : int
        Bytes in write buffers.
    loop_lag_s : float
        By how much the event loop was late.
    is_slow : bool
        Whether all response times have grown together.
    """

    bytes_per_s: float
    short_use: float
    long_use: float
    refused_use: float = 0.0
    caller_share: float = 1.0
    unsent_bytes: int = 0
    loop_lag_s: float = 0.0
    is_slow: bool = False

    @property
    def demand(self) -> float:
        """Share of the link that all requests together would use."""
        return self.long_use + self.refused_use


@attrs.frozen(kw_only=True)
class ZoneHost:
    """Another host of the data centre, by its row in the store or its last hello.

    Attributes
    ----------
    host : str
        Its name.
    bytes_per_s : float
        Capacity of its link in each direction.
    is_heard : bool
        Whether a recent hello tells its state; the rest is unknown otherwise.
    is_ready : bool
        Whether it would report ready if it did not step aside.
    is_aside : bool
        Whether it steps aside.
    use : float
        Used share of its link.
    surge_bytes_per_s : int
        The surge that it turns away, 0 if its own link is not saturated.
    """

    host: str
    bytes_per_s: float
    is_heard: bool = True
    is_ready: bool = True
    is_aside: bool = False
    use: float = 0.0
    surge_bytes_per_s: int = 0

    @property
    def is_in_rotation(self) -> bool:
        """Whether the balancer sends callers there, as far as is known."""
        return self.is_heard and self.is_ready and not self.is_aside

    @property
    def is_helping(self) -> bool:
        """Whether it steps aside for another host's surge."""
        return self.is_aside and not self.surge_bytes_per_s

    @property
    def spare_bytes_per_s(self) -> float:
        """What its link can take over."""
        return max(0.0, SATURATED_USE - self.use) * self.bytes_per_s


class EntryControl:
    """Derives the state of one host from samples of its link and from other hosts.

    Parameters
    ----------
    host : str
        This host.
    now : callable
        Returns the seconds of a monotonic clock.

    Attributes
    ----------
    is_saturated : bool
        Whether the link is saturated.
    saturated_at : float
        When the link was last saturated.
    surge_bytes_per_s : int
        The surge that this host turns away, 0 if it does not.
    reason : str
        Why the state was last changed, for the log.
    """

    def __init__(self, host: str, now: Callable[[], float]) -> None:
        self.is_saturated = False
        self.saturated_at = -1e9
        self.surge_bytes_per_s = 0
        self.reason = ""
        self._host = host
        self._now = now
        self._started_at = now()
        self._sample = LinkSample(bytes_per_s=0.0, short_use=0.0, long_use=0.0)
        self._zone: Sequence[ZoneHost] = ()
        self._calm_since: float | None = None
        self._aside_since: float | None = None
        self._is_helping = False
        self._helped_at = -1e9
        self._returned_at = -1e9
        self._other_returned_at = -1e9
        self._aside_spans: list[tuple[float, float]] = []  # Past ones.

    @property
    def state(self) -> EntryState:
        """What the host does now."""
        if self._aside_since is not None:
            return EntryState.STEPPING_ASIDE
        return EntryState.SHEDDING if self.is_saturated else EntryState.NORMAL

    @property
    def is_aside(self) -> bool:
        """Whether the host reports not ready."""
        return self._aside_since is not None

    @property
    def is_out_of_rotation(self) -> bool:
        """Whether the balancer sends new connections elsewhere by now."""
        return self.is_aside and self.find_time_in_rotation() <= 0

    @property
    def is_overloaded(self) -> bool:
        """Whether the host is out of rotation and still gets more than is low."""
        return self.is_out_of_rotation and self._sample.demand >= LOW_USE

    def find_time_in_rotation(self) -> float:
        """Return for how long a host that steps aside still gets new connections."""
        if self._aside_since is None:
            return 0.0
        return self._aside_since + OUT_OF_ROTATION_AFTER_S - self._now()

    def count_out(self) -> int:
        """Return how many hosts of the data centre are out of rotation, this one too.

        A host without a hello may be stopped and counts as out.
        """
        n_out = sum(not other.is_in_rotation for other in self._zone)
        return n_out + self.is_aside

    def count_hosts(self) -> int:
        """Return how many hosts of the data centre are known, this one included."""
        return len(self._zone) + 1

    def compute_aside_s(self) -> float:
        """Return for how long the host has stepped aside within the window."""
        now = self._now()
        since = now - ALLOWANCE_WINDOW_S
        self._aside_spans = [span for span in self._aside_spans if span[1] > since]
        past_s = sum(end - max(start, since) for start, end in self._aside_spans)
        return past_s + (0.0 if self._aside_since is None else now - self._aside_since)

    def update(self, sample: LinkSample, zone: Sequence[ZoneHost]) -> bool:
        """Derive the state from a new sample; return whether it has changed.

        Parameters
        ----------
        sample : LinkSample
            This host's link.
        zone : sequence of ZoneHost
            The other hosts of the data centre.
        """
        before = self.state
        self._note_returns(zone)
        self._zone = zone
        self._update_saturation(sample)
        if self.is_saturated:
            self.saturated_at = self._now()
        self._sample = sample
        if self._aside_since is None:
            self._step_aside_if_due()
        else:
            self._return_if_due()
        return self.state is not before

    def _note_returns(self, zone: Sequence[ZoneHost]) -> None:
        """Note when another host has returned to rotation."""
        aside = {other.host for other in self._zone if other.is_aside}
        if any(other.host in aside and other.is_in_rotation for other in zone):
            self._other_returned_at = self._now()

    def _update_saturation(self, sample: LinkSample) -> None:
        """Note whether the link is saturated; a short calm does not end that."""
        now = self._now()
        if self._is_near_capacity(sample):
            self._calm_since = None
            if not self.is_saturated:
                self.reason = "link is saturated"
            self.is_saturated = True
            return
        if sample.demand >= CALM_USE:
            self._calm_since = None
            return
        if self._calm_since is None:
            self._calm_since = now
        if self.is_saturated and now - self._calm_since >= CALM_S:
            self.is_saturated = False
            self.reason = "link is calm"

    def _is_near_capacity(self, sample: LinkSample) -> bool:
        """Whether a sample shows that callers use nearly all of the link."""
        if sample.bytes_per_s <= 0 or sample.caller_share < MIN_CALLER_SHARE:
            return False
        if sample.long_use >= SATURATED_USE:
            return True
        unsent_s = sample.unsent_bytes / sample.bytes_per_s
        is_growing = sample.unsent_bytes > self._sample.unsent_bytes
        if (
            sample.short_use >= SATURATED_SHORT_USE
            and is_growing
            and unsent_s >= MIN_UNSENT_S
        ):
            return True
        return (
            sample.is_slow
            and sample.loop_lag_s < MAX_LOOP_LAG_S
            and sample.long_use >= SATURATED_USE_IF_SLOW
        )

    # Stepping aside.

    def _step_aside_if_due(self) -> None:
        """Step aside if the data centre can spare this host and it is of use."""
        now = self._now()
        if self._compute_allowance_s() < MIN_ASIDE_S:
            return
        if self.is_saturated and now - self._returned_at >= STEP_PAUSE_S:
            surge = self._compute_surge()
            if self._has_room(n_reserved=0) and self._is_relief(surge):
                self.surge_bytes_per_s = surge
                self._step_aside(is_helping=False, reason="link is saturated")
        elif now - self._helped_at >= HELP_PAUSE_S and self._is_help_due():
            self._step_aside(is_helping=True, reason="a wider link carries the surge")

    def _step_aside(self, *, is_helping: bool, reason: str) -> None:
        self._aside_since = self._now()
        self._is_helping = is_helping
        self.reason = reason

    def _compute_surge(self) -> int:
        """Return the bytes a second that all requests of this host would use."""
        return max(1, int(self._sample.demand * self._sample.bytes_per_s))

    def _has_room(self, n_reserved: int) -> bool:
        """Whether one more host may be out of rotation.

        Hosts that only help return for a saturated one.
        """
        heard = [other for other in self._zone if other.is_heard]
        if not heard:
            return len(self._zone) >= MIN_HOSTS_ALONE
        n_out = sum(not other.is_in_rotation for other in self._zone)
        if not n_reserved:
            n_out -= sum(other.is_helping for other in heard)
        return n_out + 1 + n_reserved <= self._find_most_out()

    def _find_most_out(self) -> int:
        """Return how many hosts may be out of rotation: strictly less than half."""
        return (self.count_hosts() - 1) // 2

    def _is_relief(self, surge: int) -> bool:
        """Whether other hosts are likely to carry the surge.

        Either a wide link may get it at last, or most hosts carry what leaves here.
        Without hellos nothing is known of the others.
        """
        others = [other for other in self._zone if other.is_in_rotation]
        if not others:
            return True
        if self._find_wide(surge):
            return True
        n_able = sum(o.spare_bytes_per_s >= surge * MIN_TAKEN_SHARE for o in others)
        return 2 * n_able >= len(others)

    def _find_wide(self, surge: int) -> list[ZoneHost]:
        """Return the other hosts in rotation that carry a whole surge."""
        return [
            other
            for other in self._zone
            if other.is_in_rotation and other.spare_bytes_per_s >= WIDE_FACTOR * surge
        ]

    def _is_help_due(self) -> bool:
        """Whether this host is among those that keep an announced surge away.

        One place is kept for the host that gets the surge next. The narrowest links
        go first; the name decides among equals, the same at each host.
        """
        surge = max(
            (other.surge_bytes_per_s for other in self._list_aside()), default=0
        )
        if not surge or not self._find_wide(surge) or self._sample.bytes_per_s <= 0:
            return False
        spare = (SATURATED_USE - self._sample.long_use) * self._sample.bytes_per_s
        if spare >= WIDE_FACTOR * surge or not self._has_room(n_reserved=1):
            return False
        n_out = sum(not other.is_in_rotation for other in self._zone)
        n_places = self._find_most_out() - 1 - n_out
        own_rank = self._sample.bytes_per_s, self._host
        n_before = sum(
            other.is_in_rotation and (other.bytes_per_s, other.host) < own_rank
            for other in self._zone
        )
        return n_before < n_places

    def _list_aside(self) -> list[ZoneHost]:
        """Return the other hosts that step aside, by recent hellos."""
        return [other for other in self._zone if other.is_heard and other.is_aside]

    # Returning to rotation.

    def _return_if_due(self) -> None:
        """Return to rotation once the surge has gone, or when others need the place."""
        assert self._aside_since is not None
        now = self._now()
        aside_s = now - self._aside_since
        if self._is_helping and self.is_saturated:
            self._is_helping = False
            self.surge_bytes_per_s = self._compute_surge()
        if self._is_displaced():
            self._return("too many hosts are out of rotation")
        elif self._compute_allowance_s() <= 0:
            self._return("out of rotation for long enough")
        elif aside_s < (HELP_S if self._is_helping else MIN_ASIDE_S):
            return
        elif aside_s < MAX_ASIDE_S and now - self._other_returned_at < RETURN_GAP_S:
            return
        elif self._is_helping:
            self._return("surge was kept away for long enough")
        elif self._sample.demand < LOW_USE and not self._is_surge_elsewhere():
            self._return("use of the link is low")
        elif aside_s >= MAX_ASIDE_S:
            self._return("out of rotation for long enough")

    def _is_surge_elsewhere(self) -> bool:
        """Whether another host has the surge now, which would come back from there."""
        return any(
            other.is_heard and (other.surge_bytes_per_s or other.use >= SATURATED_USE)
            for other in self._zone
        )

    def _return(self, reason: str) -> None:
        now = self._now()
        assert self._aside_since is not None
        self._aside_spans.append((self._aside_since, now))
        self._aside_since = None
        if self._is_helping:
            self._helped_at = now
        self._returned_at = now
        self.surge_bytes_per_s = 0
        self.reason = reason

    def _is_displaced(self) -> bool:
        """Whether this host must return, as more are out of rotation than may be.

        Helping hosts go first, then those with the smallest surge.
        """
        n_excess = self.count_out() - self._find_most_out()
        if n_excess <= 0 or not any(other.is_heard for other in self._zone):
            return False
        own_rank = self.surge_bytes_per_s, self._host
        n_before = sum(
            (other.surge_bytes_per_s, other.host) < own_rank
            for other in self._list_aside()
        )
        return n_before < n_excess

    def _compute_allowance_s(self) -> float:
        """Return for how long the host may still be out of rotation."""
        window_s = min(ALLOWANCE_WINDOW_S, self._now() - self._started_at)
        allowed_s = max(MIN_ALLOWANCE_S, window_s * MAX_ASIDE_SHARE)
        return allowed_s - self.compute_aside_s()
