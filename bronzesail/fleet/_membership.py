"""Membership core: a deterministic state machine without I/O, clock or randomness.

Each method handles an event at a monotonic time; `take_effects` returns the effects
that the caller executes. Failure detection follows SWIM (A. Das, I. Gupta, A. Motivala,
2002) with these changes: neighbours are fixed by a hash ring instead of drawn at
random, so that connections persist; an unanswered probe is repeated over a new
connection first; only routers of the same region declare a death; and a router whose
own process was paused extends the timeouts of its suspicions, so that it causes no
false deaths (after Lifeguard, A. Dadgar, J. Phillips, J. Currey, 2018).
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from ..schema import MemberEntry, Probe, ProbeReply, RouterId, Rumours
from ..util.invariants import check_invariant
from ._claim import OwnClaim
from ._detection import FailureDetector
from ._dissemination import DisseminationQueue
from ._effects import Effect, NotifyChange, PullMembers, RecordDecision, SendRumours
from ._hosts import HostTable
from ._interfaces import RouterInfo
from ._members import MemberState, MemberTable, identify, rank_entry
from ._regions import RegionContacts

if TYPE_CHECKING:
    from collections.abc import Iterable

    from ..schema import FleetSettings, HostList, RegionAge

__all__ = ["MembershipCore"]

# A gap between ticks of more than this many tick intervals counts as a pause.
PAUSE_TICKS = 5

# Minimum time between full member list pulls caused by digest mismatches.
PULL_INTERVAL_S = 10.0

# Consecutive digest mismatches with a peer before its member list is pulled.
N_MISMATCHES_BEFORE_PULL = 3

# Probe intervals without a probe after which an incoming neighbour is dropped.
IN_NEIGHBOUR_TIMEOUT_PROBES = 5

# Time for which dead members of unlisted hosts are kept.
DEAD_RETENTION_S = 3600.0

# Time between searches for dead members to drop.
EXPIRY_INTERVAL_S = 10.0

NEVER = float("-inf")


class MembershipCore:
    """Membership view of one router.

    Parameters
    ----------
    own : MemberEntry
        Initial entry of the router itself.
    settings : FleetSettings
        Intervals and time limits.
    now : float
        Monotonic time, in seconds.
    """

    def __init__(self, own: MemberEntry, settings: FleetSettings, now: float) -> None:
        self._settings = settings
        self._claim = OwnClaim(own)
        self._now = now
        self._started_at = now
        self._ticked_at = now
        self._expired_at = now
        self._effects: list[Effect] = []
        self.hosts = HostTable()
        self._members = MemberTable()
        self._members.merge(own, now)
        cut_after_s = settings.region_cut_ms / 1000
        self._regions = RegionContacts(own.region, cut_after_s)
        self._detector = FailureDetector(
            own.host,
            own.region,
            settings,
            self._members,
            self.hosts,
            self._merge_declared,
            self._effects.append,
        )
        self._updates = DisseminationQueue()
        self._in_neighbours: dict[RouterId, float] = {}
        self._mismatches: dict[RouterId, int] = {}
        self._pulled_at = NEVER
        self._is_changed = False
        self.cut_regions: tuple[str, ...] = ()
        self._intermediaries: tuple[RouterId, ...] = ()
        self.live: tuple[RouterInfo, ...] = ()
        self.unreachable: tuple[RouterInfo, ...] = ()

    @property
    def own_entry(self) -> MemberEntry:
        """Member entry of the router itself."""
        return self._claim.entry

    @property
    def is_superseded(self) -> bool:
        """Whether another process has taken over the host name."""
        return self._claim.is_superseded

    @property
    def entries(self) -> tuple[MemberEntry, ...]:
        """Every member entry, including the own one."""
        return self._members.list_entries()

    def take_effects(self) -> list[Effect]:
        """Return and clear the effects that accrued since the last call."""
        if self._is_changed:
            self._is_changed = False
            self._refresh()
            self._effects.append(NotifyChange())
        effects = list(self._effects)
        self._effects.clear()
        return effects

    def list_neighbours(self) -> tuple[RouterId, ...]:
        """Return the probed routers that are not dead and those that probe this one."""
        peers: dict[RouterId, None] = {}
        for host in self._detector.hosts:
            entry = self._members.find(host)
            if entry is not None and entry.state < MemberState.DEAD:
                peers[identify(entry)] = None
        for peer in self._in_neighbours:
            peers[peer] = None
        peers.pop(identify(self.own_entry), None)
        return tuple(peers)

    def find_entry(self, host: str) -> MemberEntry | None:
        """Return the member entry of a host, or None."""
        return self._members.find(host)

    def find_address(self, host: str) -> str | None:
        """Return the peer address of a host; the host list takes precedence."""
        listed = self.hosts.find(host)
        if listed is not None and listed.peer_address:
            return listed.peer_address
        entry = self._members.find(host)
        return entry.peer_address if entry is not None else None

    def is_listed(self, router_id: RouterId) -> bool:
        """Return whether a process is not known to be gone.

        Parameters
        ----------
        router_id : RouterId
            The process.

        Returns
        -------
        bool
            False once it died, left or was replaced; after the settling time, if its
            host answers as another process or is neither known nor listed; and if its
            region has been cut off for very long and the host is not listed.
        """
        entry = self._members.find(router_id.host)
        if entry is not None and entry.incarnation == router_id.incarnation:
            return entry.state < MemberState.DEAD and not self._is_lost(entry)
        if self._members.is_gone(router_id):
            return False
        settle_s = self._settings.settle_ms / 1000
        if self._now - self._started_at < settle_s:
            return True
        if entry is None:
            is_in_list = self.hosts.find(router_id.host) is not None
            return is_in_list or not self._is_list_fresh()
        if entry.region in self.cut_regions:
            return True
        known_at = self._members.find_change_time(router_id.host)
        return self._now - known_at < settle_s

    def tick(self, now: float) -> None:
        """Send due probes and updates; expire suspicions and old entries.

        Parameters
        ----------
        now : float
            Monotonic time, in seconds; must not decrease.
        """
        check_invariant(now >= self._now, "the monotonic time must not decrease")
        pause_s = now - self._ticked_at
        if pause_s * 1000 > PAUSE_TICKS * self._settings.tick_interval_ms:
            self._detector.note_pause(pause_s)
            self._regions.shift(pause_s)
        self._ticked_at = now
        self._now = now
        intermediaries = tuple(
            info.router_id for info in self.live if info.region == self.own_entry.region
        )
        self._detector.tick(intermediaries, self._regions.list_ages(now), now)
        self._compare_cut_regions(now)
        self._expire(now)
        self._flush_updates(now)

    def take_list(self, hosts: HostList, now: float) -> None:
        """Handle a host list that was read."""
        before = self.hosts.n_changes
        marks = self.hosts.take_list(hosts, now)
        if self.hosts.n_changes == before:
            return
        self._updates.add_marks(marks, now)
        for mark in marks:
            self._explain(
                f"backend server {mark.host} is leaving, according to the host list"
            )
        for entry in self.hosts.list_routers():
            self._regions.note_region(entry.region, now)
        self._note_change()

    def take_hello(self, entry: MemberEntry, now: float) -> None:
        """Handle the entry of a router that opened a connection to this one."""
        known = self._members.find(entry.host)
        self._take_claim(entry, now)
        if known is None or known.incarnation == entry.incarnation:
            return
        if rank_entry(known) > rank_entry(entry):
            self._effects.append(SendRumours(identify(entry), Rumours((known,))))

    def take_welcome(self, host: str, entry: MemberEntry, now: float) -> None:
        """Handle the entry of the router that answered a dial.

        Parameters
        ----------
        host : str
            Host whose address was dialled.
        entry : MemberEntry
            Entry of the process that answered.
        now : float
            Monotonic time, in seconds.
        """
        known = self._members.find(host)
        if known is not None and known.incarnation != entry.incarnation:
            self._note_replaced(known, now)
        self._take_claim(entry, now)
        self._detector.take_dial(host, identify(entry), now)
        self._correct_peer(identify(entry))

    def take_dial_failure(self, host: str, was_refused: bool, now: float) -> None:
        """Handle a dial that failed; see `FailureDetector.take_dial_failure`."""
        self._detector.take_dial_failure(host, was_refused, now)

    def answer_probe(self, peer: RouterId, probe: Probe, now: float) -> ProbeReply:
        """Handle a peer's probe and return the reply."""
        self._in_neighbours[peer] = now
        self._take_ages(peer.host, probe.ages, now)
        self._compare_digest(peer, probe.digest, now)
        return ProbeReply(self._members.digest, self._regions.list_ages(now))

    def take_reply(self, peer: RouterId, reply: ProbeReply, now: float) -> None:
        """Handle the reply to a probe."""
        self._detector.take_reply(peer, now)
        self._correct_peer(peer)
        self._take_ages(peer.host, reply.ages, now)
        self._compare_digest(peer, reply.digest, now)

    def take_probe_failure(self, peer: RouterId, now: float) -> None:
        """Handle a probe without a reply."""
        self._detector.take_probe_failure(peer, now)

    def take_check(self, host: str, incarnation: int | None, now: float) -> None:
        """Handle the result of an indirect probe; see `FailureDetector.take_check`."""
        self._detector.take_check(host, incarnation, now)

    def take_rumours(self, peer: RouterId, rumours: Rumours, now: float) -> None:
        """Merge a peer's updates and disseminate those that were not known."""
        for entry in rumours.members:
            self._merge(entry, peer, now)
        marks = self.hosts.take_marks(rumours.marks)
        for mark in marks:
            self._explain(
                f"backend server {mark.host} is leaving, reported by {peer.host}"
            )
            self._note_change()
        self._updates.add_marks(marks, now)

    def take_members(
        self, peer: RouterId, entries: Iterable[MemberEntry], now: float
    ) -> None:
        """Merge the full member list of a peer."""
        is_disseminated = self._claim.has_joined
        for entry in entries:
            self._merge(entry, peer, now, is_disseminated)
        self._claim.note_joined()

    def take_pull_failure(self) -> None:
        """Handle a failed member list pull; the next contact may retry."""
        self._pulled_at = NEVER

    def mark_leaving(self, now: float) -> None:
        """Announce that the router is draining."""
        self._claim.mark_leaving()
        self._publish_own(now)

    def leave(self, now: float) -> None:
        """Announce that the router has left."""
        self._claim.leave()
        self._publish_own(now)
        self._flush_updates(now)

    def _note_change(self) -> None:
        self._is_changed = True
        self._detector.note_change()

    def _is_lost(self, entry: MemberEntry) -> bool:
        if entry.region not in self.cut_regions:
            return False
        age_s = self._regions.find_age_s(entry.region, self._now)
        if age_s * 1000 < self._settings.region_lost_ms:
            return False
        return self._is_list_fresh() and self.hosts.find(entry.host) is None

    def _is_list_fresh(self) -> bool:
        read_at = self.hosts.read_at
        if read_at is None:
            return False
        return (self._now - read_at) * 1000 < self._settings.settle_ms

    def _take_claim(self, entry: MemberEntry, now: float) -> None:
        self._merge(entry, identify(entry), now)
        self._regions.note_region(entry.region, now)
        self._regions.note_contact(entry.region, now)
        if self._pulled_at == NEVER:
            self._pull(identify(entry), now)

    def _correct_peer(self, peer: RouterId) -> None:
        entry = self._members.find(peer.host)
        if entry is None or entry.host == self.own_entry.host:
            return
        if identify(entry) != peer or entry.state != MemberState.ALIVE:
            self._effects.append(SendRumours(peer, Rumours((entry,))))

    def _note_replaced(self, known: MemberEntry, now: float) -> None:
        is_own = known.host == self.own_entry.host
        if is_own or known.state >= MemberState.DEAD:
            return
        self._explain(f"{known.host} answers as another process")
        self._merge(attrs.evolve(known, state=int(MemberState.DEAD)), None, now)

    def _merge_declared(self, entry: MemberEntry, now: float) -> None:
        self._merge(entry, None, now)

    def _merge(
        self,
        entry: MemberEntry,
        source: RouterId | None,
        now: float,
        is_disseminated: bool = True,
    ) -> None:
        if entry.host == self.own_entry.host:
            self._merge_own_host(entry, source, now)
            return
        known = self._members.find(entry.host)
        if not self._members.merge(entry, now):
            return
        self._regions.note_region(entry.region, now)
        if is_disseminated:
            self._updates.add_member(entry.host, source, now)
        self._note_change()
        if known is not None and identify(known) == identify(entry):
            if known.state == entry.state:
                return
        self._explain_entry(entry, source)

    def _merge_own_host(
        self, entry: MemberEntry, source: RouterId | None, now: float
    ) -> None:
        was_superseded = self._claim.is_superseded
        if self._claim.handle_report(entry, now):
            if entry.incarnation != self.own_entry.incarnation:
                self._members.note_gone(identify(entry))
            self._publish_own(now)
            return
        if self._claim.is_superseded and not was_superseded:
            self._explain("another process has claimed this host's name")
            self._note_change()
        if entry.incarnation != self.own_entry.incarnation:
            if self._members.merge(entry, now):
                self._updates.add_member(entry.host, source, now)

    def _publish_own(self, now: float) -> None:
        if self._members.merge(self.own_entry, now):
            self._updates.add_member(self.own_entry.host, None, now)
        self._note_change()

    def _take_ages(self, host: str, ages: Iterable[RegionAge], now: float) -> None:
        entry = self._members.find(host)
        if entry is None:
            return
        self._regions.note_contact(entry.region, now)
        if entry.region == self.own_entry.region:
            self._regions.merge(ages, now)

    def _compare_digest(self, peer: RouterId, digest: int, now: float) -> None:
        if digest == self._members.digest:
            self._mismatches.pop(peer, None)
            return
        count = self._mismatches.get(peer, 0) + 1
        self._mismatches[peer] = count
        is_early = now - self._pulled_at < PULL_INTERVAL_S
        if count >= N_MISMATCHES_BEFORE_PULL and not is_early:
            self._pull(peer, now)

    def _pull(self, peer: RouterId, now: float) -> None:
        self._pulled_at = now
        self._mismatches.pop(peer, None)
        self._effects.append(PullMembers(peer))

    def _compare_cut_regions(self, now: float) -> None:
        cut = self._regions.list_cut(now)
        if cut == self.cut_regions:
            return
        for region in set(cut) - set(self.cut_regions):
            self._explain(f"region {region} is cut off; its routers remain listed")
        for region in set(self.cut_regions) - set(cut):
            self._explain(f"region {region} is reachable again")
        self.cut_regions = cut
        self._is_changed = True

    def _expire(self, now: float) -> None:
        life_s = IN_NEIGHBOUR_TIMEOUT_PROBES * self._settings.probe_interval_ms / 1000
        for peer, seen_at in list(self._in_neighbours.items()):
            if now - seen_at > life_s:
                del self._in_neighbours[peer]
                self._mismatches.pop(peer, None)
        if now - self._expired_at < EXPIRY_INTERVAL_S:
            return
        self._expired_at = now
        for entry in self._members.list_entries():
            if entry.state < MemberState.DEAD or self.hosts.find(entry.host):
                continue
            if now - self._members.find_change_time(entry.host) > DEAD_RETENTION_S:
                self._members.forget(entry.host)

    def _flush_updates(self, now: float) -> None:
        peers = self.list_neighbours()
        self._effects.extend(self._updates.flush(peers, self._members, now))

    def _refresh(self) -> None:
        live: list[RouterInfo] = []
        unreachable: list[RouterInfo] = []
        for entry in self._members.list_active():
            if entry.host == self.own_entry.host:
                continue
            is_reached = entry.state == MemberState.ALIVE
            if is_reached and entry.region not in self.cut_regions:
                live.append(self._describe(entry))
                continue
            unreachable.append(self._describe(entry))
        self.live = tuple(live)
        own_region = self.own_entry.region
        self._intermediaries = tuple(
            info.router_id for info in live if info.region == own_region
        )
        self.unreachable = tuple(unreachable)

    def _describe(self, entry: MemberEntry) -> RouterInfo:
        listed = self.hosts.find(entry.host)
        is_leaving = entry.is_leaving or (listed is not None and listed.is_leaving)
        return RouterInfo(
            identify(entry),
            self.find_address(entry.host) or entry.peer_address,
            entry.data_centre,
            entry.region,
            is_leaving,
        )

    def _explain_entry(self, entry: MemberEntry, source: RouterId | None) -> None:
        state_name = MemberState(entry.state).name.lower()
        reported_by = f", reported by {source.host}" if source is not None else ""
        self._explain(
            f"{entry.host} incarnation {entry.incarnation} is {state_name}{reported_by}"
        )

    def _explain(self, text: str) -> None:
        self._effects.append(RecordDecision(text))
