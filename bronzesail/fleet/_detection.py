"""SWIM failure detector: probes the neighbours and declares unresponsive ones dead."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from ..schema import MemberEntry, Probe, RegionAge, RouterId
from ..util.invariants import check_invariant
from ._effects import Dial, Effect, RecordDecision, SendCheckRequest, SendProbe
from ._members import MemberState, identify
from ._neighbours import choose_contact, choose_ring_neighbours, rank_names
from ._schedule import Phase, ProbeSchedule, ProbeTarget

if TYPE_CHECKING:
    from collections.abc import Callable

    from ..schema import FleetSettings
    from ._hosts import HostTable
    from ._members import MemberTable

__all__ = ["FailureDetector"]

# Routers that are asked for an indirect probe of a host that cannot be dialled.
N_INTERMEDIARIES = 2

# Failed dials after which a listed host that never answered is entered as dead.
N_DIALS_BEFORE_UNANSWERED = 2


@attrs.define
class Suspicion:
    """A suspected router, declared dead at the deadline unless it refutes.

    Attributes
    ----------
    incarnation : int
        Incarnation of the suspected process.
    deadline : float
        Monotonic time at which it is declared dead, in seconds.
    """

    incarnation: int
    deadline: float


class FailureDetector:
    """Checks the neighbours, suspects those that fail and declares them dead.

    A probe without a reply is followed by a dial over a new connection, then by
    indirect probes through other routers of the region, then by a suspicion that the
    router can refute.

    Parameters
    ----------
    host : str
        Own host.
    region : str
        Own region.
    settings : FleetSettings
        Intervals and time limits.
    members : MemberTable
        Member table, read only.
    hosts : HostTable
        Host list, read only.
    declare : callable
        Called with each entry that the detector declares suspect or dead, and the time.
    emit : callable
        Called with each effect.
    """

    def __init__(
        self,
        host: str,
        region: str,
        settings: FleetSettings,
        members: MemberTable,
        hosts: HostTable,
        declare: Callable[[MemberEntry, float], None],
        emit: Callable[[Effect], None],
    ) -> None:
        self._host = host
        self._region = region
        self._settings = settings
        self._members = members
        self._hosts = hosts
        self._declare = declare
        self._emit = emit
        self._schedule = ProbeSchedule(settings.probe_interval_ms / 1000)
        self._suspicions: dict[str, Suspicion] = {}
        self._contact_failures: dict[str, int] = {}
        self._intermediaries: tuple[RouterId, ...] = ()
        self._are_neighbours_stale = True

    @property
    def hosts(self) -> tuple[str, ...]:
        """Hosts that are probed."""
        return self._schedule.hosts

    def note_change(self) -> None:
        """Record that members or listed hosts changed; neighbours are chosen anew."""
        self._are_neighbours_stale = True

    def note_pause(self, pause_s: float) -> None:
        """Extend the suspicions by a pause of this router, which delays refutations."""
        for suspicion in self._suspicions.values():
            suspicion.deadline += pause_s

    def tick(
        self,
        intermediaries: tuple[RouterId, ...],
        ages: tuple[RegionAge, ...],
        now: float,
    ) -> None:
        """Send the probes that are due and declare routers whose suspicion has expired.

        Parameters
        ----------
        intermediaries : tuple of RouterId
            Live routers of the own region, for indirect probes.
        ages : tuple of RegionAge
            Region ages to send with the probes.
        now : float
            Monotonic time, in seconds.
        """
        self._intermediaries = intermediaries
        if self._are_neighbours_stale:
            self._are_neighbours_stale = False
            self._choose_neighbours(now)
        for target in self._schedule.take_due(now):
            self._probe(target, ages, now)
        self._end_suspicions(now)

    def take_reply(self, peer: RouterId, now: float) -> None:
        """Handle the reply to a probe."""
        target = self._schedule.find(peer.host)
        if target is not None:
            self._schedule.succeed(target, now)
        self._clear_suspicion(peer)

    def take_probe_failure(self, peer: RouterId, now: float) -> None:
        """Handle a probe without a reply: dial the host over a new connection."""
        target = self._find_target(peer.host, Phase.PROBING)
        if target is None:
            return
        target.phase = Phase.DIALLING
        target.is_dial_after_probe = True
        self._dial(target, now)

    def take_dial(self, host: str, peer: RouterId, now: float) -> None:
        """Handle a dial that was answered.

        Parameters
        ----------
        host : str
            Host whose address was dialled.
        peer : RouterId
            Process that answered; its host differs if the address is wrong.
        now : float
            Monotonic time, in seconds.
        """
        if peer.host != host:
            self._explain(f"{peer.host} answers at the address of {host}")
            self.take_dial_failure(host, True, now)
            return
        target = self._find_target(host, Phase.DIALLING)
        if target is None:
            return
        if target.is_dial_after_probe:
            self._explain(f"connection to {host} was silent and is replaced")
        self._clear_suspicion(peer)
        self._schedule.succeed(target, now)

    def take_dial_failure(self, host: str, was_refused: bool, now: float) -> None:
        """Handle a dial that failed.

        Parameters
        ----------
        host : str
            Name of the host.
        was_refused : bool
            Whether the machine refused the connection, so that nothing listens there.
        now : float
            Monotonic time, in seconds.
        """
        target = self._find_target(host, Phase.DIALLING)
        if target is None:
            return
        target.n_failures += 1
        entry = self._members.find(host)
        region = self._find_region(host)
        if region != self._region:
            failures = self._contact_failures.get(region, 0)
            self._contact_failures[region] = failures + 1
            self._are_neighbours_stale = True
            self._schedule.finish(target, now)
        elif entry is None:
            self._note_unanswered(target, now)
        elif entry.state >= MemberState.DEAD:
            delay_s = self._settings.revival_interval_ms / 1000
            self._schedule.finish(target, now, delay_s)
        else:
            self._request_checks(target, was_refused, now)

    def take_check(self, host: str, incarnation: int | None, now: float) -> None:
        """Handle the result of an indirect probe.

        Parameters
        ----------
        host : str
            Name of the host.
        incarnation : int or None
            Process that answered; 0 if none did; None if the intermediary did
            not reply.
        now : float
            Monotonic time, in seconds.
        """
        target = self._find_target(host, Phase.CHECKING)
        if target is None:
            return
        entry = self._members.find(host)
        if incarnation and entry is not None and incarnation == entry.incarnation:
            self._explain(f"{host} is reachable by other routers but not from this one")
            self._clear_suspicion(identify(entry))
            self._schedule.finish(target, now)
            return
        target.n_checks -= 1
        target.n_failed_checks += 0 if incarnation is None else 1
        if target.n_checks == 0:
            self._suspect(target, target.n_failed_checks > 0, now)

    def _find_target(self, host: str, phase: Phase) -> ProbeTarget | None:
        target = self._schedule.find(host)
        if target is None or target.phase is not phase:
            return None
        return target

    def _find_region(self, host: str) -> str:
        entry = self._members.find(host)
        if entry is not None:
            return entry.region
        listed = self._hosts.find(host)
        return listed.region if listed is not None else self._region

    def _choose_neighbours(self, now: float) -> None:
        by_region: dict[str, set[str]] = {self._region: set()}
        dead: list[str] = []
        for listed in self._hosts.list_routers():
            entry = self._members.find(listed.host)
            if entry is None:
                by_region.setdefault(listed.region, set()).add(listed.host)
            elif entry.state >= MemberState.DEAD:
                dead.append(listed.host)
        for entry in self._members.list_active():
            by_region.setdefault(entry.region, set()).add(entry.host)
        own_hosts = by_region.pop(self._region) | {self._host}
        n_neighbours = self._settings.n_neighbours
        ring = choose_ring_neighbours(self._host, own_hosts, n_neighbours)
        chosen = [*ring, *self._choose_contacts(own_hosts, by_region)]
        for host in dead:
            if rank_names(host, own_hosts)[0] == self._host:
                chosen.append(host)
        hosts = [host for host in dict.fromkeys(chosen) if host != self._host]
        self._schedule.set_hosts(hosts, now)

    def _choose_contacts(
        self, own_hosts: set[str], by_region: dict[str, set[str]]
    ) -> list[str]:
        contacts = []
        for region, hosts in by_region.items():
            failures = self._contact_failures.get(region, 0)
            contact = choose_contact(
                self._host, self._region, own_hosts, region, hosts, failures
            )
            if contact is not None:
                contacts.append(contact)
        return contacts

    def _probe(
        self, target: ProbeTarget, ages: tuple[RegionAge, ...], now: float
    ) -> None:
        entry = self._members.find(target.host)
        if entry is None or entry.state >= MemberState.DEAD:
            self._schedule.begin(target, Phase.DIALLING, now)
            self._dial(target, now)
            return
        self._schedule.begin(target, Phase.PROBING, now)
        probe = Probe(self._members.digest, ages)
        self._emit(SendProbe(identify(entry), probe))

    def _dial(self, target: ProbeTarget, now: float) -> None:
        address = self._find_address(target.host)
        if not address:
            self._schedule.finish(target, now)
            return
        self._emit(Dial(target.host, address))

    def _find_address(self, host: str) -> str:
        listed = self._hosts.find(host)
        if listed is not None and listed.peer_address:
            return listed.peer_address
        entry = self._members.find(host)
        return entry.peer_address if entry is not None else ""

    def _note_unanswered(self, target: ProbeTarget, now: float) -> None:
        self._schedule.finish(target, now)
        listed = self._hosts.find(target.host)
        if listed is None or target.n_failures < N_DIALS_BEFORE_UNANSWERED:
            return
        entry = MemberEntry(
            host=target.host,
            incarnation=0,
            counter=0,
            state=int(MemberState.DEAD),
            is_leaving=False,
            peer_address=listed.peer_address,
            data_centre=listed.data_centre,
            region=listed.region,
        )
        self._declare(entry, now)

    def _request_checks(
        self, target: ProbeTarget, was_refused: bool, now: float
    ) -> None:
        by_host = {
            intermediary.host: intermediary for intermediary in self._intermediaries
        }
        by_host.pop(target.host, None)
        subject = f"{target.host}\0{target.n_failures}"
        hosts = rank_names(subject, by_host)[:N_INTERMEDIARIES]
        if not hosts:
            self._suspect(target, was_refused, now)
            return
        target.phase = Phase.CHECKING
        target.n_checks = len(hosts)
        address = self._find_address(target.host)
        for host in hosts:
            self._emit(SendCheckRequest(by_host[host], target.host, address))

    def _suspect(self, target: ProbeTarget, is_confirmed: bool, now: float) -> None:
        self._schedule.finish(target, now)
        entry = self._members.find(target.host)
        if entry is None or entry.state >= MemberState.DEAD:
            return
        limit_ms = self._settings.suspicion_ms
        if not is_confirmed:
            limit_ms = self._settings.isolated_death_ms
        deadline = now + limit_ms / 1000
        known = self._suspicions.get(target.host)
        if known is not None and known.incarnation == entry.incarnation:
            known.deadline = min(known.deadline, deadline)
            return
        self._suspicions[target.host] = Suspicion(entry.incarnation, deadline)
        self._explain(f"{target.host} does not answer and is suspected")
        suspected = attrs.evolve(entry, state=int(MemberState.SUSPECT))
        self._declare(suspected, now)

    def _clear_suspicion(self, peer: RouterId) -> None:
        suspicion = self._suspicions.get(peer.host)
        if suspicion is not None and suspicion.incarnation == peer.incarnation:
            del self._suspicions[peer.host]

    def _end_suspicions(self, now: float) -> None:
        for host, suspicion in list(self._suspicions.items()):
            entry = self._members.find(host)
            if (
                entry is None
                or entry.incarnation != suspicion.incarnation
                or entry.state != MemberState.SUSPECT
            ):
                del self._suspicions[host]
                continue
            if now < suspicion.deadline:
                continue
            del self._suspicions[host]
            check_invariant(
                entry.region == self._region,
                "only routers of the same region declare a death",
            )
            self._explain(f"{host} is declared dead")
            dead = attrs.evolve(entry, state=int(MemberState.DEAD))
            self._declare(dead, now)

    def _explain(self, text: str) -> None:
        self._emit(RecordDecision(text))
