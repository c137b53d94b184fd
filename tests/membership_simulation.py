"""Membership cores over a simulated network with a simulated clock."""

from __future__ import annotations

import heapq
import itertools
from collections.abc import Callable
from typing import TYPE_CHECKING

import attrs

from bronzesail.fleet._effects import (
    Dial,
    PullMembers,
    RecordDecision,
    SendCheckRequest,
    SendProbe,
    SendRumours,
)
from bronzesail.fleet._members import MemberState, identify
from bronzesail.fleet._membership import MembershipCore
from bronzesail.schema import (
    FleetSettings,
    HostEntry,
    HostList,
    MemberEntry,
)
from bronzesail.schema.codec import encode

if TYPE_CHECKING:
    from bronzesail.schema import RouterId

TICK_S = 0.1  # Interval between the ticks of a core.
TIMEOUT_S = 1.0  # Time after which an unanswered message or dial fails.
MESSAGE_HEADER_BYTES = 58  # Counted for each message on top of its encoded body.


@attrs.define(eq=False)
class Node:
    """A simulated router process with its membership core."""

    core: MembershipCore
    address: str
    is_running: bool = True
    is_paused: bool = False
    polls_list: bool = True
    decisions: list[str] = attrs.field(factory=list)
    sent_bytes: int = 0
    backlog: list[Callable[[], None]] = attrs.field(factory=list)

    @property
    def id(self) -> RouterId:
        return identify(self.core.own_entry)

    @property
    def host(self) -> str:
        return self.core.own_entry.host

    @property
    def region(self) -> str:
        return self.core.own_entry.region

    def list_hosts(self) -> list[str]:
        return sorted(info.router_id.host for info in self.core.live)

    def count_deaths(self) -> int:
        return sum("is declared dead" in text for text in self.decisions)


class Simulation:
    """Simulated nodes, a polled host list and network faults."""

    def __init__(self, delay_s: float = 0.001, **settings: int) -> None:
        self.delay_s = delay_s
        self.now = 100.0
        self.nodes: list[Node] = []
        self.entries: dict[str, HostEntry] = {}
        self.revision = 0
        self.is_list_down = False
        self.cut_regions: set[str] = set()
        self.silent_links: set[frozenset[int]] = set()
        self._settings = settings
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._numbers = itertools.count(1)
        self._incarnations = itertools.count(1000)

    # Hosts ---------------------------------------------------------------

    def add(
        self, host: str, region: str = "r", address: str = "", is_listed: bool = True
    ) -> Node:
        address = address or host
        settings = FleetSettings(host, f"{region}-a", region, b"", **self._settings)
        entry = MemberEntry(
            host=host,
            incarnation=next(self._incarnations),
            counter=1,
            state=0,
            is_leaving=False,
            peer_address=address,
            data_centre=f"{region}-a",
            region=region,
        )
        node = Node(MembershipCore(entry, settings, self.now), address)
        self.nodes.append(node)
        if is_listed:
            self.list_host(host, "router", region, address)
        self._poll(node)
        self._tick(node)
        return node

    def list_host(
        self, host: str, role: str, region: str, address: str, leaving: bool = False
    ) -> None:
        entry = HostEntry(host, role, "", f"{region}-a", region, leaving, address)
        self.entries[host] = entry
        self.revision += 1

    def unlist_host(self, host: str) -> None:
        del self.entries[host]
        self.revision += 1

    @property
    def running(self) -> list[Node]:
        return [node for node in self.nodes if node.is_running]

    # Time ----------------------------------------------------------------

    def run(self, duration_s: float) -> None:
        end = self.now + duration_s
        while self._events and self._events[0][0] <= end:
            self.now, _, action = heapq.heappop(self._events)
            action()
        self.now = end

    def _call_later(self, delay_s: float, action: Callable[[], None]) -> None:
        event = (self.now + delay_s, next(self._numbers), action)
        heapq.heappush(self._events, event)

    def _tick(self, node: Node) -> None:
        if not node.is_running:
            return
        if not node.is_paused:
            node.core.tick(self.now)
            self._run_effects(node)
            backlog, node.backlog = node.backlog, []
            for action in backlog:
                self._run_action(node, action)
        self._call_later(TICK_S, lambda: self._tick(node))

    def _poll(self, node: Node) -> None:
        if not node.is_running:
            return
        if not self.is_list_down and not node.is_paused and node.polls_list:
            hosts = HostList(tuple(self.entries.values()), self.revision)
            node.core.take_list(hosts, self.now)
            self._run_effects(node)
        self._call_later(1.0, lambda: self._poll(node))

    # Network -------------------------------------------------------------

    def reaches(self, node: Node, other: Node) -> bool:
        if not other.is_running or not node.is_running:
            return False
        if node.region == other.region:
            return True
        return not self.cut_regions & {node.region, other.region}

    def answers(self, node: Node, other: Node) -> bool:
        return self.reaches(node, other) and not other.is_paused

    def _pair(self, node: Node, other: Node) -> frozenset[int]:
        return frozenset({id(node), id(other)})

    def _find(self, peer: RouterId) -> Node | None:
        for node in self.nodes:
            if node.id == peer and node.is_running:
                return node
        return None

    def _find_at(self, address: str) -> Node | None:
        for node in self.running:
            if node.address == address:
                return node
        return None

    def _send(
        self,
        node: Node,
        peer: RouterId,
        deliver: Callable[[Node], None],
        fail: Callable[[], None],
        n_bytes: int,
    ) -> None:
        node.sent_bytes += n_bytes + MESSAGE_HEADER_BYTES
        other = self._find(peer)
        if other is None:
            self._call_later(self.delay_s, lambda: self._run_action(node, fail))
            return
        if (
            not self.reaches(node, other)
            or self._pair(node, other) in self.silent_links
        ):
            self._call_later(TIMEOUT_S, lambda: self._run_action(node, fail))
            return
        self._call_later(
            self.delay_s, lambda: self._run_action(other, lambda: deliver(other))
        )
        if other.is_paused:
            self._call_later(TIMEOUT_S, lambda: self._run_action(node, fail))

    def _run_action(self, node: Node, action: Callable[[], None]) -> None:
        if not node.is_running:
            return
        if node.is_paused:
            node.backlog.append(action)
            return
        action()
        self._run_effects(node)

    def _run_effects(self, node: Node) -> None:
        for effect in node.core.take_effects():
            if isinstance(effect, RecordDecision):
                node.decisions.append(effect.text)
            elif isinstance(effect, SendProbe):
                self._probe(node, effect)
            elif isinstance(effect, Dial):
                self._dial(node, effect)
            elif isinstance(effect, SendCheckRequest):
                self._check(node, effect)
            elif isinstance(effect, SendRumours):
                self._rumour(node, effect)
            elif isinstance(effect, PullMembers):
                self._pull(node, effect.peer)

    def _probe(self, node: Node, effect: SendProbe) -> None:
        peer = effect.peer

        def deliver(other: Node) -> None:
            reply = other.core.answer_probe(node.id, effect.probe, self.now)
            other.sent_bytes += len(encode(reply)) + MESSAGE_HEADER_BYTES
            action = lambda: node.core.take_reply(peer, reply, self.now)  # noqa: E731
            self._call_later(self.delay_s, lambda: self._run_action(node, action))

        def fail() -> None:
            node.core.take_probe_failure(peer, self.now)

        self._send(node, peer, deliver, fail, len(encode(effect.probe)))

    def _dial(self, node: Node, effect: Dial) -> None:
        other = self._find_at(effect.peer_address)
        host = effect.host
        if other is None:
            fail = lambda: node.core.take_dial_failure(host, True, self.now)  # noqa: E731
            self._call_later(self.delay_s, lambda: self._run_action(node, fail))
            return
        if not self.answers(node, other):
            fail = lambda: node.core.take_dial_failure(host, False, self.now)  # noqa: E731
            self._call_later(TIMEOUT_S, lambda: self._run_action(node, fail))
            return
        self.silent_links.discard(self._pair(node, other))
        other.core.take_hello(node.core.own_entry, self.now)
        self._run_effects(other)
        entry = other.core.own_entry
        welcome = lambda: node.core.take_welcome(host, entry, self.now)  # noqa: E731
        self._call_later(self.delay_s, lambda: self._run_action(node, welcome))

    def _check(self, node: Node, effect: SendCheckRequest) -> None:
        host = effect.host

        def answer(incarnation: int | None) -> None:
            action = lambda: node.core.take_check(host, incarnation, self.now)  # noqa: E731
            self._call_later(self.delay_s, lambda: self._run_action(node, action))

        def deliver(intermediary: Node) -> None:
            other = self._find_at(effect.peer_address)
            if other is None or not self.answers(intermediary, other):
                answer(0)
                return
            answer(other.id.incarnation)

        self._send(node, effect.intermediary, deliver, lambda: answer(None), 40)

    def _rumour(self, node: Node, effect: SendRumours) -> None:
        rumours = effect.rumours

        def deliver(other: Node) -> None:
            other.core.take_rumours(node.id, rumours, self.now)

        self._send(node, effect.peer, deliver, lambda: None, len(encode(rumours)))

    def _pull(self, node: Node, peer: RouterId) -> None:
        def deliver(other: Node) -> None:
            entries = other.core.entries
            action = lambda: node.core.take_members(peer, entries, self.now)  # noqa: E731
            self._call_later(self.delay_s, lambda: self._run_action(node, action))

        self._send(node, peer, deliver, node.core.take_pull_failure, 10)

    # Checks --------------------------------------------------------------

    def find_disagreements(self) -> list[str]:
        """Return how each node's live members differ from the running nodes."""
        problems = []
        expected = {node.host: node.id for node in self.running}
        for node in self.running:
            known = {info.router_id.host: info.router_id for info in node.core.live}
            expected_peers = {
                host: id for host, id in expected.items() if host != node.host
            }
            if known != expected_peers:
                missing = sorted(set(expected_peers) - set(known))
                extra = sorted(set(known) - set(expected_peers))
                problems.append(f"{node.host}: missing {missing}, extra {extra}")
        return problems

    def is_dead(self, node: Node, host: str) -> bool:
        entry = node.core.find_entry(host)
        return entry is not None and entry.state >= MemberState.DEAD
