"""Share crashes, trials and quarantines with the fleet and the table."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any

from ..fleet import PeerRefusedError, PeerUnreachableError, choose_owners
from ..schema import (
    Acknowledgement,
    PoisonRow,
    RouterId,
    RowWrite,
    SuspectNotice,
    TrialEnd,
    TrialReply,
    TrialRequest,
)
from ..schema.codec import CodecError, decode_as, encode
from ..storage import PlatformError
from ._poison import PoisonWatch, TrialBook

if TYPE_CHECKING:
    from collections.abc import Coroutine

    from ._context import RequestContext

__all__ = ["Quarantine"]

ROW_PREFIX = "poison/"
MAX_ROW_ATTEMPTS = 8
ROW_RETRY_S = 0.5
TRIAL_OWNER = "trials"


class Quarantine:
    """Keeps a body that crashes backend servers from reaching a third one.

    Parameters
    ----------
    context : RequestContext
        Collaborators.
    """

    def __init__(self, context: RequestContext) -> None:
        self._context = context
        self._own = context.membership.own
        self._watch = PoisonWatch()
        self._trials = TrialBook(context.settings.trial_lifetime_s)
        self._is_loaded = False
        self._tasks: set[asyncio.Task[None]] = set()
        self._telling: dict[bytes, asyncio.Task[None]] = {}

    def register(self) -> None:
        """Take the messages from now on."""
        network = self._context.network
        network.register(SuspectNotice, self.take_notice)
        network.register(TrialRequest, self.take_trial)
        network.register(TrialEnd, self.take_trial_end)

    async def load(self) -> None:
        """Read the rows of suspects once; called again after an outage."""
        if self._is_loaded:
            return
        after = ""
        try:
            while True:
                rows = await self._context.table.scan(ROW_PREFIX, after)
                for row in rows:
                    self._take_row(row.key, row.value)
                if not rows:
                    break
                after = rows[-1].key
        except PlatformError:
            return
        self._is_loaded = True

    def is_suspect(self, fingerprint: bytes) -> bool:
        """Tell whether a body must run on trial."""
        return self._watch.is_suspect(fingerprint)

    def is_quarantined(self, fingerprint: bytes) -> bool:
        """Tell whether copies of a body are refused."""
        return self._watch.is_quarantined(fingerprint)

    def list_quarantined(self) -> tuple[str, ...]:
        """Return the fingerprints of refused bodies in hexadecimal."""
        return tuple(name.hex() for name in self._watch.list_quarantined())

    async def begin_trial(self, fingerprint: bytes, backend_server: str) -> bool:
        """Ask the trials' owner for the only trial of a body and on a backend server.

        Parameters
        ----------
        fingerprint : bytes
            Hash of the body.
        backend_server : str
            Name of the backend server.

        Returns
        -------
        bool
            Whether the trial may begin.
        """
        message = TrialRequest(fingerprint, backend_server)
        reply = await self._ask_owner(message)
        if not isinstance(reply, TrialReply):
            return False
        return reply.is_granted and not self._watch.is_quarantined(fingerprint)

    def end_trial(self, fingerprint: bytes, backend_server: str) -> None:
        """Tell the trials' owner that a trial is over, behind the news of its crash.

        Parameters
        ----------
        fingerprint : bytes
            Hash of the body.
        backend_server : str
            Name of the backend server.
        """
        self._spawn(self._end_trial(fingerprint, backend_server))

    async def _end_trial(self, fingerprint: bytes, backend_server: str) -> None:
        await self.wait_until_told(fingerprint)
        await self._ask_owner(TrialEnd(fingerprint, backend_server))

    def note_crash(
        self, fingerprint: bytes, backend_server: str, dispatched_at: float
    ) -> None:
        """Learn of a crash, and begin to tell every router.

        Parameters
        ----------
        fingerprint : bytes
            Hash of the body.
        backend_server : str
            Backend server that crashed.
        dispatched_at : float
            Monotonic time of the dispatch, in seconds.
        """
        now = self._context.clock.monotonic()
        if not self._watch.note_crash(fingerprint, backend_server, dispatched_at, now):
            return
        backends = self._watch.list_backends(fingerprint)
        if self._watch.is_quarantined(fingerprint):
            text = "request quarantined after its second crash"
            self._context.log.write(text, fingerprint=fingerprint.hex())
        self._spawn(self._write_row(fingerprint))
        notice = SuspectNotice(fingerprint, backends, False)
        self._telling[fingerprint] = self._spawn(self._broadcast(notice))

    async def wait_until_told(self, fingerprint: bytes) -> None:
        """Return once every router that answers knows of a body's last crash.

        Parameters
        ----------
        fingerprint : bytes
            Hash of the body.
        """
        task = self._telling.get(fingerprint)
        if task is None:
            return
        await asyncio.shield(task)
        if self._telling.get(fingerprint) is task:
            del self._telling[fingerprint]

    def clear(self, fingerprint: bytes) -> None:
        """Learn that a body is harmless, and begin to tell every router.

        Parameters
        ----------
        fingerprint : bytes
            Hash of the body.
        """
        if not self._watch.clear(fingerprint):
            return
        self._spawn(self._write_row(fingerprint))
        self._spawn(self._broadcast(SuspectNotice(fingerprint, (), True)))

    async def take_notice(
        self, sender: RouterId, message: SuspectNotice
    ) -> Acknowledgement:
        """Learn of a crash or an acquittal at another router."""
        if message.is_cleared:
            self._watch.clear(message.fingerprint)
        else:
            now = self._context.clock.monotonic()
            self._watch.merge(message.fingerprint, message.backend_servers, now)
        return Acknowledgement()

    async def take_trial(self, sender: RouterId, message: TrialRequest) -> TrialReply:
        """Grant or deny a trial."""
        if self._watch.is_quarantined(message.fingerprint):
            return TrialReply(is_granted=False, is_quarantined=True)
        now = self._context.clock.monotonic()
        is_granted = self._trials.grant(
            message.fingerprint, message.backend_server, sender, now
        )
        return TrialReply(is_granted, is_quarantined=False)

    async def take_trial_end(
        self, sender: RouterId, message: TrialEnd
    ) -> Acknowledgement:
        """Learn that a trial is over."""
        self._trials.end(message.fingerprint, message.backend_server, sender)
        return Acknowledgement()

    async def _ask_owner(self, message: TrialRequest | TrialEnd) -> Any:
        routers = [self._own, *self._context.membership.list_routers()]
        owner = choose_owners(TRIAL_OWNER, routers, 1)[0]
        if owner == self._own and isinstance(message, TrialRequest):
            return await self.take_trial(self._own.router_id, message)
        if owner == self._own and isinstance(message, TrialEnd):
            return await self.take_trial_end(self._own.router_id, message)
        return await self._ask(owner.router_id, message)

    async def _ask(self, peer: RouterId, message: Any) -> Any:
        timeout_s = self._context.settings.peer_timeout_s
        try:
            return await self._context.network.request(peer, message, timeout_s)
        except (PeerUnreachableError, PeerRefusedError):
            return None

    async def _broadcast(self, notice: SuspectNotice) -> None:
        peers = self._context.membership.list_routers()
        await asyncio.gather(*(self._ask(peer.router_id, notice) for peer in peers))

    def _spawn(self, work: Coroutine[Any, Any, None]) -> asyncio.Task[None]:
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    async def _write_row(self, fingerprint: bytes) -> None:
        key = ROW_PREFIX + fingerprint.hex()
        for _ in range(MAX_ROW_ATTEMPTS):
            try:
                if await self._try_write_row(key, fingerprint):
                    return
            except (PlatformError, CodecError):
                await asyncio.sleep(ROW_RETRY_S)
        self._context.log.write("suspect not recorded", fingerprint=fingerprint.hex())

    async def _try_write_row(self, key: str, fingerprint: bytes) -> bool:
        rows = await self._context.table.read((key,))
        backends = self._watch.list_backends(fingerprint)
        if rows[0].version and backends:
            known = decode_as(rows[0].value, PoisonRow).backend_servers
            now = self._context.clock.monotonic()
            self._watch.merge(fingerprint, known, now)
            backends = self._watch.list_backends(fingerprint)
        is_quarantined = self._watch.is_quarantined(fingerprint)
        value = encode(PoisonRow(backends, is_quarantined))
        write = RowWrite(key, rows[0].version, value)
        reply = await self._context.table.transact((write,))
        return reply.is_committed

    def _take_row(self, key: str, value: bytes) -> None:
        try:
            fingerprint = bytes.fromhex(key.removeprefix(ROW_PREFIX))
            row = decode_as(value, PoisonRow)
        except (ValueError, CodecError) as error:
            self._context.log.write("suspect row not understood", error=str(error))
            return
        if row.backend_servers:
            now = self._context.clock.monotonic()
            self._watch.merge(fingerprint, row.backend_servers, now)
