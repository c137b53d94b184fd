"""Asyncio shell of the configuration in force at one router."""

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
from ._difference import describe_changes, describe_entry, find_fault
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

SNAPSHOT_INTERVAL_VERSIONS = 256
APPLY_ID_BITS = 64
JITTER_SHARE = 0.2
MAX_CONFLICT_ENTRIES = 5


class ConfigurationService:
    """Follows the version log and applies operators' changes.

    Parameters
    ----------
    table : Table
        The platform's table.
    network : PeerNetwork
        Messages to other routers.
    membership : Membership
        Live routers.
    clock : Clock
        Source of the time.
    random : random.Random
        Source of jitter and of ids.
    decisions : DecisionLog
        Takes each change with its cause.
    settings : ConfigurationSettings
        Intervals and time limits.
    schema_level : int
        Highest schema level that the program understands.
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
        self._changed = asyncio.Condition()
        self._logger = PartLogger("configuration")
        self._tasks: set[asyncio.Task[None]] = set()
        self._pulling: set[RouterId] = set()
        self._last_blocked_by = ""
        self.store_reads = 0

    @property
    def current(self) -> Configuration:
        """The configuration in force; its version never falls."""
        return self._log.configuration

    @property
    def blocked_by(self) -> str:
        """Why a later version is not in force; empty if none is known."""
        return self._log.blocked_by

    def subscribe(self, listener: Callable[[Configuration], None]) -> None:
        """Call a listener after each new version; see `ConfigurationView`."""
        self._listeners.append(listener)

    async def start(self) -> None:
        """Read the log, from the table or from peers, and begin to follow it."""
        self._network.add_gossip(self._make_hint)
        self._network.register(ConfigurationHint, self._take_hint)
        self._network.register(ConfigurationPull, self._answer_pull)
        self._network.register(VersionAwait, self._answer_await)
        await self._read_store()
        self._spawn(self._follow_store())

    async def stop(self) -> None:
        """Stop following the log."""
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def apply(
        self,
        operator: str,
        base_version: int,
        changes: tuple[ConfigurationChange, ...],
    ) -> Result[ApplyReport, Refusal]:
        """Append changes to the log and wait until every live router has them.

        Parameters
        ----------
        operator : str
            Name of the operator.
        base_version : int
            Version on which the operator made the changes.
        changes : tuple of ConfigurationChange
            The changes.

        Returns
        -------
        Result of ApplyReport or Refusal
            The report names the routers that have not acknowledged. A refusal says
            whether the changes certainly took no effect.
        """
        started_at = self._clock.monotonic()
        await self._read_store()
        if base_version != self._log.version:
            return Failure(self._refuse_conflict(base_version))
        fault = find_fault(self.current, changes)
        if fault:
            return Failure(Refusal(ResultCode.CONFIGURATION_INVALID, True, fault))
        apply_id = f"{self._random.getrandbits(APPLY_ID_BITS):016x}"
        entry = ConfigurationVersion(
            base_version + 1, operator, SCHEMA_LEVEL, changes, apply_id
        )
        timeout_s = self._settings.apply_timeout_ms / 1000
        result = await append_entry(self._table, entry, timeout_s)
        if result.outcome is not AppendOutcome.APPENDED:
            return Failure(await self._refuse_append(base_version, result))
        self._adopt((entry,), f"applied here by {operator}")
        await self._keep_snapshot()
        left_s = timeout_s - (self._clock.monotonic() - started_at)
        return Success(await self._collect(entry.version, max(left_s, 1.0)))

    def describe(self, changes: tuple[ConfigurationChange, ...]) -> tuple[str, ...]:
        """Return one line for each field that changes would alter.

        Parameters
        ----------
        changes : tuple of ConfigurationChange
            The changes.

        Returns
        -------
        tuple of str
            The lines.
        """
        return describe_changes(self.current, changes)

    def _refuse_conflict(self, base_version: int) -> Refusal:
        entries = self._log.make_delta(base_version, MAX_CONFLICT_ENTRIES).entries
        since = "; ".join(describe_entry(entry) for entry in entries)
        detail = (
            f"the changes were made on version {base_version}, "
            f"version {self._log.version} is in force: {since or 'no such version yet'}"
        )
        return Refusal(ResultCode.CONFIGURATION_CONFLICT, True, detail)

    async def _refuse_append(self, base_version: int, result: AppendResult) -> Refusal:
        if result.outcome is AppendOutcome.CONFLICT:
            await self._read_store()
            return self._refuse_conflict(base_version)
        if result.outcome is AppendOutcome.NOT_APPENDED:
            code = ResultCode.PLATFORM_UNREACHABLE
            return Refusal(code, True, result.detail, retry_after_s=1.0)
        detail = f"whether it was appended is unknown: {result.detail}"
        return Refusal(ResultCode.OUTCOME_UNKNOWN, False, detail)

    async def _collect(self, version: int, timeout_s: float) -> ApplyReport:
        members = self._membership
        routers = (*members.list_routers(), *members.list_unreachable())
        waits = [self._await_router(router, version, timeout_s) for router in routers]
        reasons = await asyncio.gather(*waits)
        acknowledged = [self._membership.own.router_id]
        missing: list[MissingRouter] = []
        for router, reason in zip(routers, reasons, strict=True):
            if reason:
                missing.append(MissingRouter(router.router_id, reason))
                continue
            acknowledged.append(router.router_id)
        return ApplyReport(version, tuple(acknowledged), tuple(missing))

    async def _await_router(
        self, router: RouterInfo, version: int, timeout_s: float
    ) -> str:
        question = VersionAwait(version, int(timeout_s * 1000))
        try:
            reply = await self._network.request(router.router_id, question, timeout_s)
        except (PeerUnreachableError, PeerRefusedError) as error:
            return str(error)
        if reply.version >= version:
            return ""
        return str(reply.detail) or f"has version {reply.version}"

    async def _answer_await(self, peer: RouterId, message: VersionAwait) -> object:
        if message.version > self._log.version:
            await self._pull(peer, message.version)
        try:
            async with asyncio.timeout(message.wait_ms / 1000), self._changed:
                await self._changed.wait_for(
                    lambda: self._log.version >= message.version or self.blocked_by
                )
        except TimeoutError:
            pass
        return VersionReached(self._log.version, self.blocked_by)

    async def _answer_pull(self, peer: RouterId, message: ConfigurationPull) -> object:
        return self._log.make_delta(message.after, message.limit)

    async def _take_hint(self, peer: RouterId, message: ConfigurationHint) -> object:
        if message.version > self._log.version:
            await self._pull(peer, message.version)
        elif message.version < self._log.version:
            self._network.send(peer, self._make_hint())
        return None

    async def _pull(self, peer: RouterId, version: int) -> None:
        if peer in self._pulling:
            return
        self._pulling.add(peer)
        try:
            while self._log.version < version:
                if not await self._pull_once(peer):
                    return
        finally:
            self._pulling.discard(peer)

    async def _pull_once(self, peer: RouterId) -> bool:
        timeout_s = self._settings.pull_timeout_ms / 1000
        question = ConfigurationPull(self._log.version)
        try:
            delta = await self._network.request(peer, question, timeout_s)
        except (PeerUnreachableError, PeerRefusedError) as error:
            self._logger.write("pull failed", host=peer.host, reason=str(error))
            return False
        if not isinstance(delta, ConfigurationDelta):
            return False
        before = self._log.version
        n_adopted = self._log.adopt_delta(delta)
        self._note(before, n_adopted, f"pulled from {peer.host}")
        return n_adopted > 0

    def _adopt(self, entries: tuple[ConfigurationVersion, ...], cause: str) -> int:
        before = self._log.version
        n_adopted = self._log.adopt(entries)
        self._note(before, n_adopted, cause)
        return n_adopted

    def _note(self, before: int, n_adopted: int, cause: str) -> None:
        is_newly_blocked = self.blocked_by not in ("", self._last_blocked_by)
        if is_newly_blocked:
            self._logger.write("later version not in force", reason=self.blocked_by)
            self._explain(f"kept version {self._log.version}: {self.blocked_by}")
        self._last_blocked_by = self.blocked_by
        if n_adopted:
            self._explain(f"version {before} to {self._log.version}, {cause}")
            for listener in self._listeners:
                listener(self.current)
            self._send_hints()
        if n_adopted or is_newly_blocked:
            self._spawn(self._notify())

    def _explain(self, text: str) -> None:
        decision = Decision(self._clock.wall(), "configuration", text)
        self._decisions.add("configuration", decision)

    async def _notify(self) -> None:
        async with self._changed:
            self._changed.notify_all()

    def _make_hint(self) -> ConfigurationHint:
        return ConfigurationHint(self._log.version)

    def _send_hints(self) -> None:
        for peer in self._membership.list_neighbours():
            self._network.send(peer, self._make_hint())

    async def _follow_store(self) -> None:
        while True:
            interval_s = self._find_poll_interval_s()
            jitter = 1 + JITTER_SHARE * (self._random.random() - 0.5)
            await asyncio.sleep(interval_s * jitter)
            await self._read_store()

    def _find_poll_interval_s(self) -> float:
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
        try:
            self.store_reads += 1
            head = await read_head(self._table)
            if head - self._log.version > SNAPSHOT_INTERVAL_VERSIONS:
                await self._read_snapshot()
            while self._log.version < head:
                self.store_reads += 1
                entries = await read_entries(self._table, self._log.version)
                if not self._adopt(entries, "read from the table"):
                    return
        except PlatformError as error:
            reason = f"{type(error).__name__}: {error}"
            self._logger.write("table unreachable", reason=reason)

    async def _read_snapshot(self) -> None:
        self.store_reads += 1
        snapshot = await read_snapshot(self._table)
        if snapshot is None:
            return
        before = self._log.version
        n_adopted = self._log.adopt_snapshot((snapshot,))
        self._note(before, n_adopted, "read from the table's snapshot")

    async def _keep_snapshot(self) -> None:
        if self._log.version % SNAPSHOT_INTERVAL_VERSIONS:
            return
        try:
            await write_snapshot(self._table, self._log.make_snapshot())
        except PlatformError as error:
            reason = f"{type(error).__name__}: {error}"
            self._logger.write("snapshot not kept", reason=reason)

    def _spawn(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
