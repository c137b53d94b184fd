"""Shares crash reports, trials and quarantines with the other routers and the table."""

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
# Attempts to write the row of a suspect before this is given up and logged.
MAX_ROW_ATTEMPTS = 8
# Delay after a failed attempt, in seconds.
ROW_RETRY_S = 0.5
# Name from which all routers derive the one router that grants trials.
TRIAL_OWNER = "trials"


class Quarantine:
    """Limits the crashes that one request body can cause in the fleet.

    After the first crash a body is a suspect and runs only on trial, one at a time in
    the fleet; after the second one all routers refuse it. Copies that were dispatched
    before the first crash became known are outside this limit.

    Parameters
    ----------
    context : RequestContext
        Shared services and state of the request path.
    """

    def __init__(self, context: RequestContext) -> None:
        self._context = context
        self._own = context.membership.own
        self._watch = PoisonWatch()
        self._trials = TrialBook(context.settings.trial_lifetime_s)
        self._is_loaded = False
        self._tasks: set[asyncio.Task[None]] = set()
        self._broadcasts: dict[bytes, asyncio.Task[None]] = {}

    def register(self) -> None:
        """Register the handlers of messages from other routers."""
        network = self._context.network
        network.register(SuspectNotice, self.handle_notice)
        network.register(TrialRequest, self.handle_trial_request)
        network.register(TrialEnd, self.handle_trial_end)

    async def load(self) -> None:
        """Read the rows of suspects; does nothing after the first complete read."""
        if self._is_loaded:
            return
        after = ""
        try:
            while True:
                rows = await self._context.table.scan(ROW_PREFIX, after)
                for row in rows:
                    self._merge_row(row.key, row.value)
                if not rows:
                    break
                after = rows[-1].key
        except PlatformError:
            return
        self._is_loaded = True

    def is_suspect(self, fingerprint: bytes) -> bool:
        """Return whether a body may run only on trial."""
        return self._watch.is_suspect(fingerprint)

    def is_quarantined(self, fingerprint: bytes) -> bool:
        """Return whether copies of a body are refused."""
        return self._watch.is_quarantined(fingerprint)

    def list_quarantined(self) -> tuple[str, ...]:
        """Return the fingerprints of quarantined bodies in hexadecimal."""
        return tuple(name.hex() for name in self._watch.list_quarantined())

    async def begin_trial(self, fingerprint: bytes, backend_server: str) -> bool:
        """Ask the router that grants trials to run a body on a backend server.

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
        reply = await self._send_to_owner(message)
        if not isinstance(reply, TrialReply):
            return False
        return reply.is_granted and not self._watch.is_quarantined(fingerprint)

    def end_trial(self, fingerprint: bytes, backend_server: str) -> None:
        """Report the end of a trial, in the background.

        A crash in the trial is broadcast first, so that no router starts another trial
        of the body before it knows of the crash.

        Parameters
        ----------
        fingerprint : bytes
            Hash of the body.
        backend_server : str
            Name of the backend server.
        """
        self._spawn(self._end_trial(fingerprint, backend_server))

    async def _end_trial(self, fingerprint: bytes, backend_server: str) -> None:
        await self.wait_until_broadcast(fingerprint)
        await self._send_to_owner(TrialEnd(fingerprint, backend_server))

    def note_crash(
        self, fingerprint: bytes, backend_server: str, dispatched_at: float
    ) -> None:
        """Record a crash, and report it to the table and all routers.

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
        self._broadcasts[fingerprint] = self._spawn(self._broadcast(notice))

    async def wait_until_broadcast(self, fingerprint: bytes) -> None:
        """Wait until the broadcast of a body's last crash has finished.

        Each router has then acknowledged the crash, or its request failed or timed out.

        Parameters
        ----------
        fingerprint : bytes
            Hash of the body.
        """
        task = self._broadcasts.get(fingerprint)
        if task is None:
            return
        await asyncio.shield(task)
        if self._broadcasts.get(fingerprint) is task:
            del self._broadcasts[fingerprint]

    def clear(self, fingerprint: bytes) -> None:
        """Remove a body from the suspects, and report it to the table and all routers.

        Parameters
        ----------
        fingerprint : bytes
            Hash of the body.
        """
        if not self._watch.clear(fingerprint):
            return
        self._spawn(self._write_row(fingerprint))
        self._spawn(self._broadcast(SuspectNotice(fingerprint, (), True)))

    async def handle_notice(
        self, sender: RouterId, message: SuspectNotice
    ) -> Acknowledgement:
        """Handle another router's report of a crash or of a cleared suspect."""
        if message.is_cleared:
            self._watch.clear(message.fingerprint)
        else:
            now = self._context.clock.monotonic()
            self._watch.merge(message.fingerprint, message.backend_servers, now)
        return Acknowledgement()

    async def handle_trial_request(
        self, sender: RouterId, message: TrialRequest
    ) -> TrialReply:
        """Handle a request for a trial: grant or deny it."""
        if self._watch.is_quarantined(message.fingerprint):
            return TrialReply(is_granted=False, is_quarantined=True)
        now = self._context.clock.monotonic()
        is_granted = self._trials.grant(
            message.fingerprint, message.backend_server, sender, now
        )
        return TrialReply(is_granted, is_quarantined=False)

    async def handle_trial_end(
        self, sender: RouterId, message: TrialEnd
    ) -> Acknowledgement:
        """Handle the report that a trial has ended."""
        self._trials.end(message.fingerprint, message.backend_server, sender)
        return Acknowledgement()

    async def _send_to_owner(self, message: TrialRequest | TrialEnd) -> Any:
        routers = [self._own, *self._context.membership.list_routers()]
        owner = choose_owners(TRIAL_OWNER, routers, 1)[0]
        if owner == self._own and isinstance(message, TrialRequest):
            return await self.handle_trial_request(self._own.router_id, message)
        if owner == self._own and isinstance(message, TrialEnd):
            return await self.handle_trial_end(self._own.router_id, message)
        return await self._send(owner.router_id, message)

    async def _send(self, peer: RouterId, message: Any) -> Any:
        timeout_s = self._context.settings.peer_timeout_s
        try:
            return await self._context.network.request(peer, message, timeout_s)
        except (PeerUnreachableError, PeerRefusedError):
            return None

    async def _broadcast(self, notice: SuspectNotice) -> None:
        peers = self._context.membership.list_routers()
        await asyncio.gather(*(self._send(peer.router_id, notice) for peer in peers))

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
        self._context.log.write(
            "suspect request could not be written to the table",
            fingerprint=fingerprint.hex(),
        )

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

    def _merge_row(self, key: str, value: bytes) -> None:
        try:
            fingerprint = bytes.fromhex(key.removeprefix(ROW_PREFIX))
            row = decode_as(value, PoisonRow)
        except (ValueError, CodecError) as error:
            self._context.log.write("suspect row cannot be decoded", error=str(error))
            return
        if row.backend_servers:
            now = self._context.clock.monotonic()
            self._watch.merge(fingerprint, row.backend_servers, now)
