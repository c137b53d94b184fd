"""Replicates the version log to one router and applies operators' changes.

A router learns of new versions by polling the head row of the table and from hints
that peers send with gossip; it then fetches missing entries from the table or from the
peer.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any

from returns.result import Failure, Result, Success

from ..errors import Refusal, ResultCode
from ..explain import Decision, PartLogger
from ..fleet import PeerRefusedError, PeerUnreachableError, choose_owners
from ..schema import (
    ApplyReport,
    ConfigurationDelta,
    ConfigurationHint,
    ConfigurationPull,
    ConfigurationVersion,
    MissingRouter,
    RouterId,
    VersionAwait,
    VersionReached,
)
from ..storage import PlatformError
from ._difference import describe_changes, describe_entry, find_violation
from ._fold import SCHEMA_LEVEL
from ._store import (
    AppendOutcome,
    append_entry,
    read_entries,
    read_head,
    read_snapshot,
    write_snapshot,
)
from ._version_log import VersionLog

if TYPE_CHECKING:
    import random
    from collections.abc import Callable, Coroutine

    from ..explain import DecisionLog
    from ..fleet import Membership, PeerNetwork, RouterInfo
    from ..schema import ConfigurationChange, ConfigurationSettings
    from ..storage import Table
    from ..util.clock import Clock
    from ._state import Configuration
    from ._store import AppendResult

__all__ = ["ConfigurationService"]

# A snapshot is written to the table each time the version is a multiple of this. A
# router that is more versions behind reads the snapshot before the entries.
SNAPSHOT_INTERVAL_VERSIONS = 256

# Size of the random id by which the writer of an entry recognises its own append.
APPLY_ID_BITS = 64

# Width of the random range of the poll interval, as a share of the interval: between
# 0.9 and 1.1 intervals, so that routers do not poll the table in step.
JITTER_SHARE = 0.2

# Entries listed in the refusal of changes that are based on an old version.
MAX_CONFLICT_ENTRIES = 5


class ConfigurationService:
    """Keeps the configuration of one router up to date and appends new versions.

    Parameters
    ----------
    table : Table
        Table that stores the version log.
    network : PeerNetwork
        Connections to other routers.
    membership : Membership
        List of the routers of the fleet.
    clock : Clock
        Monotonic and wall clock.
    random : random.Random
        Random numbers for poll jitter and apply ids.
    decisions : DecisionLog
        Log in which each change of version is recorded with its cause.
    settings : ConfigurationSettings
        Poll intervals and timeouts.
    schema_level : int
        Highest schema level that this program supports.
    """

    def __init__(
        self,
        table: Table,
        network: PeerNetwork,
        membership: Membership,
        clock: Clock,
        random: random.Random,
        decisions: DecisionLog,
        settings: ConfigurationSettings,
        schema_level: int = SCHEMA_LEVEL,
    ) -> None:
        self._table = table
        self._network = network
        self._membership = membership
        self._clock = clock
        self._random = random
        self._decisions = decisions
        self._settings = settings
        self._log = VersionLog(schema_level)
        self._listeners: list[Callable[[Configuration], None]] = []
        self._version_changed = asyncio.Condition()
        self._logger = PartLogger("configuration")
        self._tasks: set[asyncio.Task[None]] = set()
        self._pulled_peers: set[RouterId] = set()
        self._last_blocked_reason = ""
        self.store_reads = 0  # Reads and scans of the table since the start.

    @property
    def current(self) -> Configuration:
        """Configuration in force; its version never decreases."""
        return self._log.configuration

    @property
    def blocked_reason(self) -> str:
        """Why the next version cannot be applied; empty if it is not blocked."""
        return self._log.blocked_reason

    def subscribe(self, listener: Callable[[Configuration], None]) -> None:
        """Register a listener for new versions; see `ConfigurationView`."""
        self._listeners.append(listener)

    async def start(self) -> None:
        """Register message handlers, read the log and start polling the table.

        If the table is unreachable, the log arrives from peers by gossip.
        """
        self._network.add_gossip(self._make_hint)
        self._network.register(ConfigurationHint, self._handle_hint)
        self._network.register(ConfigurationPull, self._handle_pull)
        self._network.register(VersionAwait, self._handle_await)
        await self._read_store()
        self._spawn(self._poll_store())

    async def stop(self) -> None:
        """Cancel all background tasks and wait until they have ended."""
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def apply(
        self,
        operator: str,
        base_version: int,
        changes: tuple[ConfigurationChange, ...],
    ) -> Result[ApplyReport, Refusal]:
        """Append changes to the log and wait until all routers have applied them.

        Routers that have not done so when the timeout expires are reported as missing.

        Parameters
        ----------
        operator : str
            Name of the operator.
        base_version : int
            Version on which the changes are based.
        changes : tuple of ConfigurationChange
            Changes to apply.

        Returns
        -------
        Result of ApplyReport or Refusal
            The report lists the routers that have not acknowledged the version. A
            refusal states whether the changes are certain to have had no effect.
        """
        started_at = self._clock.monotonic()
        await self._read_store()
        if base_version != self._log.version:
            return Failure(self._refuse_conflict(base_version))
        violation = find_violation(self.current, changes)
        if violation:
            return Failure(Refusal(ResultCode.CONFIGURATION_INVALID, True, violation))
        apply_id = f"{self._random.getrandbits(APPLY_ID_BITS):016x}"
        entry = ConfigurationVersion(
            base_version + 1, operator, SCHEMA_LEVEL, changes, apply_id
        )
        timeout_s = self._settings.apply_timeout_ms / 1000
        result = await append_entry(self._table, entry, timeout_s)
        if result.outcome is not AppendOutcome.APPENDED:
            return Failure(await self._refuse_append(base_version, result))
        self._adopt((entry,), f"applied at this router by {operator}")
        await self._write_snapshot()
        remaining_s = timeout_s - (self._clock.monotonic() - started_at)
        return Success(
            await self._collect_acknowledgements(entry.version, max(remaining_s, 1.0))
        )

    def describe(self, changes: tuple[ConfigurationChange, ...]) -> tuple[str, ...]:
        """Describe the effect of changes, one line per altered field.

        Parameters
        ----------
        changes : tuple of ConfigurationChange
            Changes to compare with the configuration in force.

        Returns
        -------
        tuple of str
            Lines of text; see `describe_changes`.
        """
        return describe_changes(self.current, changes)

    def _refuse_conflict(self, base_version: int) -> Refusal:
        """Return a refusal that lists the entries after the base version."""
        entries = self._log.make_delta(base_version, MAX_CONFLICT_ENTRIES).entries
        summary = "; ".join(describe_entry(entry) for entry in entries)
        detail = (
            f"the changes are based on version {base_version}, "
            f"version {self._log.version} is in force: "
            f"{summary or 'no such version yet'}"
        )
        return Refusal(ResultCode.CONFIGURATION_CONFLICT, True, detail)

    async def _refuse_append(self, base_version: int, result: AppendResult) -> Refusal:
        """Return the refusal for an append that was not confirmed."""
        if result.outcome is AppendOutcome.CONFLICT:
            await self._read_store()
            return self._refuse_conflict(base_version)
        if result.outcome is AppendOutcome.NOT_APPENDED:
            code = ResultCode.PLATFORM_UNREACHABLE
            return Refusal(code, True, result.detail, retry_after_s=1.0)
        detail = f"whether it was appended is unknown: {result.detail}"
        return Refusal(ResultCode.OUTCOME_UNKNOWN, False, detail)

    async def _collect_acknowledgements(
        self, version: int, timeout_s: float
    ) -> ApplyReport:
        """Ask every other router, unreachable ones included, for the version."""
        members = self._membership
        routers = (*members.list_routers(), *members.list_unreachable())
        acknowledgements = [
            self._await_acknowledgement(router, version, timeout_s)
            for router in routers
        ]
        reasons = await asyncio.gather(*acknowledgements)
        acknowledged = [self._membership.own.router_id]
        missing: list[MissingRouter] = []
        for router, reason in zip(routers, reasons, strict=True):
            if reason:
                missing.append(MissingRouter(router.router_id, reason))
                continue
            acknowledged.append(router.router_id)
        return ApplyReport(version, tuple(acknowledged), tuple(missing))

    async def _await_acknowledgement(
        self, router: RouterInfo, version: int, timeout_s: float
    ) -> str:
        """Wait until a router has a version; return the reason if it fails."""
        message = VersionAwait(version, int(timeout_s * 1000))
        try:
            reply = await self._network.request(router.router_id, message, timeout_s)
        except (PeerUnreachableError, PeerRefusedError) as error:
            return str(error)
        if reply.version >= version:
            return ""
        return str(reply.detail) or f"has version {reply.version}"

    async def _handle_await(self, peer: RouterId, message: VersionAwait) -> object:
        """Pull the version, then wait until it is applied, is blocked or times out."""
        if message.version > self._log.version:
            await self._pull(peer, message.version)
        try:
            async with asyncio.timeout(message.wait_ms / 1000), self._version_changed:
                await self._version_changed.wait_for(
                    lambda: self._log.version >= message.version or self.blocked_reason
                )
        except TimeoutError:
            pass
        return VersionReached(self._log.version, self.blocked_reason)

    async def _handle_pull(self, peer: RouterId, message: ConfigurationPull) -> object:
        return self._log.make_delta(message.after, message.limit)

    async def _handle_hint(self, peer: RouterId, message: ConfigurationHint) -> object:
        """Pull from a peer with a higher version; send a hint to one with a lower."""
        if message.version > self._log.version:
            await self._pull(peer, message.version)
        elif message.version < self._log.version:
            self._network.send(peer, self._make_hint())
        return None

    async def _pull(self, peer: RouterId, version: int) -> None:
        """Pull entries from a peer up to a version, unless one from it is running."""
        if peer in self._pulled_peers:
            return
        self._pulled_peers.add(peer)
        try:
            while self._log.version < version:
                if not await self._pull_once(peer):
                    return
        finally:
            self._pulled_peers.discard(peer)

    async def _pull_once(self, peer: RouterId) -> bool:
        """Pull one batch of entries; return whether the version rose."""
        timeout_s = self._settings.pull_timeout_ms / 1000
        message = ConfigurationPull(self._log.version)
        try:
            delta = await self._network.request(peer, message, timeout_s)
        except (PeerUnreachableError, PeerRefusedError) as error:
            self._logger.write("pull failed", host=peer.host, reason=str(error))
            return False
        if not isinstance(delta, ConfigurationDelta):
            return False
        previous = self._log.version
        n_adopted = self._log.adopt_delta(delta)
        self._publish(previous, n_adopted, f"pulled from {peer.host}")
        return n_adopted > 0

    def _adopt(self, entries: tuple[ConfigurationVersion, ...], cause: str) -> int:
        previous = self._log.version
        n_adopted = self._log.adopt(entries)
        self._publish(previous, n_adopted, cause)
        return n_adopted

    def _publish(self, previous: int, n_adopted: int, cause: str) -> None:
        """Record a change of version, call listeners, hint peers and wake waiters.

        A newly blocked version is logged once and also wakes waiters, so that they can
        report the reason.
        """
        is_newly_blocked = self.blocked_reason not in ("", self._last_blocked_reason)
        if is_newly_blocked:
            self._logger.write(
                "later version cannot be applied", reason=self.blocked_reason
            )
            self._record_decision(
                f"kept version {self._log.version}: {self.blocked_reason}"
            )
        self._last_blocked_reason = self.blocked_reason
        if n_adopted:
            self._record_decision(f"version {previous} to {self._log.version}, {cause}")
            for listener in self._listeners:
                listener(self.current)
            self._send_hints()
        if n_adopted or is_newly_blocked:
            self._spawn(self._wake_waiters())

    def _record_decision(self, text: str) -> None:
        decision = Decision(self._clock.wall(), "configuration", text)
        self._decisions.add("configuration", decision)

    async def _wake_waiters(self) -> None:
        async with self._version_changed:
            self._version_changed.notify_all()

    def _make_hint(self) -> ConfigurationHint:
        return ConfigurationHint(self._log.version)

    def _send_hints(self) -> None:
        for peer in self._membership.list_neighbours():
            self._network.send(peer, self._make_hint())

    async def _poll_store(self) -> None:
        while True:
            interval_s = self._find_poll_interval_s()
            jitter = 1 + JITTER_SHARE * (self._random.random() - 0.5)
            await asyncio.sleep(interval_s * jitter)
            await self._read_store()

    def _find_poll_interval_s(self) -> float:
        """Return the short interval if this router is a poller of its data centre.

        Pollers are chosen by hash among the live routers of the data centre; the
        others poll seldom, which limits the load on the table.
        """
        own = self._membership.own
        routers = [own]
        for router in self._membership.list_routers():
            if router.data_centre == own.data_centre:
                routers.append(router)
        name = f"configuration/{own.data_centre}"
        pollers = choose_owners(name, routers, self._settings.n_pollers)
        if own in pollers:
            return self._settings.poll_interval_ms / 1000
        return self._settings.idle_poll_interval_ms / 1000

    async def _read_store(self) -> None:
        """Read the log up to the head; a failure of the table is only logged."""
        try:
            self.store_reads += 1
            head = await read_head(self._table)
            if head - self._log.version > SNAPSHOT_INTERVAL_VERSIONS:
                await self._adopt_stored_snapshot()
            while self._log.version < head:
                self.store_reads += 1
                entries = await read_entries(self._table, self._log.version)
                if not self._adopt(entries, "read from the table"):
                    return
        except PlatformError as error:
            reason = f"{type(error).__name__}: {error}"
            self._logger.write("table unreachable", reason=reason)

    async def _adopt_stored_snapshot(self) -> None:
        self.store_reads += 1
        snapshot = await read_snapshot(self._table)
        if snapshot is None:
            return
        previous = self._log.version
        n_adopted = self._log.adopt_snapshot((snapshot,))
        self._publish(previous, n_adopted, "read from the table's snapshot")

    async def _write_snapshot(self) -> None:
        """Write a snapshot to the table if one is due at this version."""
        if self._log.version % SNAPSHOT_INTERVAL_VERSIONS:
            return
        try:
            await write_snapshot(self._table, self._log.make_snapshot())
        except PlatformError as error:
            reason = f"{type(error).__name__}: {error}"
            self._logger.write("snapshot not written", reason=reason)

    def _spawn(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
