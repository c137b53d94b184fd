"""Router processes while backend servers leave, crash and change their versions.

Servers leave with a word or without one, fall over, and come back under their ids,
often with another software version and an entry that is late. Checked from outside are
the requests that reach servers which leave, and the versions that streams hold.

``python -m tests.server_soak --first 1 --seeds 50`` runs fifty seeds, one after the
other, and ends with 1 if one of them breaks a promise.
"""

from __future__ import annotations

import asyncio
import collections
import contextlib
import random
import signal
import sys
import time

import attrs
import h11

from tests.platform_standin import KEY, BackendStandin, echo_body
from tests.router_soak import HOST_NAME, PROMPT_TOKENS, Soak
from tests.router_soak import main as run_soak

DRAIN_S = 3.0  # After which no request may reach a server that leaves.
CONTACT_S = 4.0  # After a disruption a router or the store counts as calm again.
MAX_ENTRY_DELAY_S = 0.8  # From the start of a server until its entry is in the store.
HEARTBEAT_S = 1.2  # Between the renewals of an entry.
HEARTBEATS_S = 3 * HEARTBEAT_S  # Of silence, after which an entry is removed.
MAX_JOINED_STREAMS = 2
MAX_CLOCK_ERROR_S = 5.0  # Of a server's life; clocks may be set back meanwhile.
N_EVENTS = 25  # Of a stream; each stands for 5 tokens.
EVENT_GAP_S = 0.1
OUTPUT_TOKENS = 5 * N_EVENTS
N_SERVERS = 4  # Of each service.
# Not before the routers grant tokens, which they do 8 s after their start.
FAULTS_S = 24.0


async def stream_version(server, request, responder, headers):
    """Stream events that name the version, from the one after Last-Event-Id on."""
    await responder.start(200, (*headers, ("Content-Type", "text/event-stream")))
    first = int(request.find_header("last-event-id", "0")) + 1
    for number in range(first, N_EVENTS + 1):
        await responder.write(
            b"id: %d\ndata: %b\n\n" % (number, server.version.encode())
        )
        await asyncio.sleep(EVENT_GAP_S)
    await responder.finish()


class Server(BackendStandin):
    """A backend server that has several lives under one id."""

    def __init__(self, server_id, service, on_request):
        super().__init__(server_id, service, self._serve)
        self.clock_error_s = 0.0
        self.state = None  # Of its entry; None while it has none.
        self.leaving_since = None  # When the store has accepted that it leaves.
        self.is_busy = False  # Something is happening to it already.
        self.is_renewing = True  # Its entry, which is that of its current life.
        self.sequence = 0
        self._on_request = on_request

    def make_entry(self, state="ready"):
        self.sequence += 1
        return super().make_entry(state) | {"sequence": self.sequence}

    async def close(self):
        self.is_renewing = False
        await super().close()

    async def start_again(self, address, version):
        """Begin a new life at an address, whose entry is not written yet."""
        ip, port = address
        self.sequence = 0
        self.version = version
        self.born_ms = int((time.time() + self.clock_error_s) * 1000)
        self.leaving_since = None
        self.more_headers = ()
        await self._server.start(ip, port)

    async def _serve(self, request, responder, headers):
        self._on_request(self, request)
        if self.service == "llm":
            await stream_version(self, request, responder, headers)
        else:
            await echo_body(request, responder, headers)


@attrs.define
class Disruption:
    """When something was last disrupted; still is, while `n_present` is above 0."""

    n_present: int = 0
    ended_at: float = -1e9

    def begin(self):
        self.n_present += 1

    def end(self, now):
        self.n_present -= 1
        self.ended_at = now

    def find_calm_since(self, now):
        """Return from when on it counts as calm."""
        return now if self.n_present else self.ended_at + CONTACT_S


@attrs.frozen
class LateRequest:
    """A request that reached a server long after its leaving was accepted."""

    request_id: str
    calm_routers: list  # Those that had been calm for long enough.
    text: str


@attrs.define
class Stream:
    """What a caller got of one stream over its tries."""

    id: str
    versions: list = attrs.field(factory=list)
    tries: list = attrs.field(factory=list)
    last_event_id: int = 0
    is_complete: bool = False


class ServerSoak(Soak):
    """One seed: a fleet, callers that take up streams, and servers that come and go."""

    faults_s = FAULTS_S
    n_disruptions = 2  # Kinds of them that a seed plays.
    n_callers = 36
    prepaid = 10_000_000  # Never used up.

    def __init__(self, folder, seed, n_routers):
        super().__init__(folder, seed, n_routers)
        self.streams = []
        self.late_requests = []
        # Of its own, so that the plays of earlier seeds stay as they were.
        self._clock_random = random.Random(seed)
        self.n_leavings = 0
        self.router_disruptions = collections.defaultdict(Disruption)
        self.store_disruption = Disruption()
        self._router_by_request = {}
        disruptions = [
            self._pause, self._kill, self._stop, self._cut_store, self._fail_store,
            self._change_configuration, self._restore_store, self._slow_store,
        ]  # fmt: skip
        self._faults = self.random.sample(disruptions, self.n_disruptions) + [
            self._drain_server, self._leave_silently, self._crash_server,
            self._drain_server, self._leave_silently, self._crash_server,
        ]  # fmt: skip

    async def run(self):
        heartbeats = asyncio.create_task(self._write_heartbeats())
        try:
            return await super().run()
        finally:
            heartbeats.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await heartbeats

    def _list_faults(self):
        return self._faults

    def _make_server(self, name, service):
        return Server(name, service, self._note_request)

    async def _start_servers(self):
        for service, letter in (("llm", "e"), ("app", "p")):
            for number in range(N_SERVERS):
                server = self._make_server(f"{letter}{number}", service)
                await server.start()
                self.deployment.backends.append(server)
                self._write_entry(server, "ready")

    def _write_entry(self, server, state):
        """Write the entry of a server, or remove it if the state is None."""
        server.state = state
        if state is None:
            self.deployment.store.remove("servers", server.id)
        else:
            entry = server.make_entry(state)
            self.deployment.store.put("servers", server.id, entry)

    async def _write_heartbeats(self):
        """Let the servers renew their entries in turn."""
        while True:
            servers = list(self.deployment.backends)
            for server in servers:
                await asyncio.sleep(HEARTBEAT_S / len(servers))
                if server.is_renewing and server.state is not None:
                    self._write_entry(server, server.state)
            if not servers:
                await asyncio.sleep(HEARTBEAT_S)

    # Callers.

    async def _exchange(self, reader, writer, router, path):
        if path != "/talk/":
            return await super()._exchange(reader, writer, router, path)
        stream = Stream(f"t{next(self._ids)}")
        self.streams.append(stream)
        keeps = await self._read_stream(reader, writer, router, stream)
        for _ in range(2):
            if stream.is_complete or not stream.versions:
                break
            await asyncio.sleep(self.random.uniform(0.0, 0.5))
            await self._take_up(self.random.choice(self.routers), stream)
        return keeps and stream.is_complete

    async def _take_up(self, router, stream):
        try:
            async with asyncio.timeout(1.0):
                reader, writer = await asyncio.open_connection(
                    router.addresses.ip, router.addresses.caller_port
                )
            try:
                await self._read_stream(reader, writer, router, stream)
            finally:
                writer.close()
        except (OSError, TimeoutError, h11.RemoteProtocolError):
            return

    def _send_request(self, writer, router, stream, path="/talk/"):
        """Request a stream, or the rest of it."""
        name = f"{stream.id}.{len(stream.tries)}"
        self._router_by_request[name] = router
        resumes = ""
        if stream.versions:
            begun_by = stream.tries[0]
            resumes = (
                f"Last-Event-Id: {stream.last_event_id}\r\nResumes: {begun_by}\r\n"
            )
        else:
            stream.tries.clear()
        stream.tries.append(name)
        writer.write(
            f"POST {path}{name} HTTP/1.1\r\nHost: {HOST_NAME}\r\n"
            f"X-Attempt-Id: {name}\r\nX-Deadline-Ms: 5000\r\n"
            f"X-Token-Counts: {PROMPT_TOKENS},{OUTPUT_TOKENS}\r\n{resumes}"
            f"Authorization: Bearer {KEY}\r\nContent-Length: 0\r\n\r\n".encode()
        )

    async def _read_stream(self, reader, writer, router, stream):
        """Request the rest of a stream; return whether the connection goes on."""
        self._send_request(writer, router, stream)
        parser = h11.Connection(h11.CLIENT)
        parser.send(h11.Request(method="GET", target="/", headers=[("Host", "x")]))
        parser.send(h11.EndOfMessage())
        received, status = b"", 0
        try:
            async with asyncio.timeout(6.0):
                while True:
                    event = parser.next_event()
                    if event is h11.NEED_DATA:
                        parser.receive_data(await reader.read(65536))
                    elif isinstance(event, h11.Response):
                        status = event.status_code
                    elif isinstance(event, h11.Data):
                        received += event.data if status == 200 else b""
                    elif isinstance(event, h11.EndOfMessage):
                        stream.is_complete = status == 200
                        return parser.their_state is h11.DONE
                    else:
                        return False
        finally:
            self._note_events(stream, received)

    @staticmethod
    def _note_events(stream, received):
        """Record the whole events of a part of a stream."""
        for event in received.split(b"\n\n")[:-1]:
            first, _, data = event.decode().partition("\n")
            stream.last_event_id = int(first.removeprefix("id: "))
            stream.versions.append(data.removeprefix("data: "))

    def _note_sent(self, request_id, router):
        self._router_by_request[request_id] = router

    # Servers.

    def _note_request(self, server, request):
        """Check a request that reaches a server against its leaving."""
        name = request.find_header("x-attempt-id")
        router = self._router_by_request.get(name)
        if server.leaving_since is None or router is None:
            return
        now = self._now()
        since = max(server.leaving_since, self.store_disruption.find_calm_since(now))
        late_at = [
            other.name
            for other in self.routers
            if now - self.router_disruptions[other.name].find_calm_since(now) > DRAIN_S
        ]
        if now - since > DRAIN_S and router.name in late_at:
            late_ms = int((now - server.leaving_since) * 1000)
            text = f"{server.id} got {name} of {router.name} {late_ms} ms late"
            self.late_requests.append(LateRequest(name, late_at, text))

    def _choose_server(self):
        """Return a server that nothing happens to, if enough others are left."""
        calm = [b for b in self.deployment.backends if not b.is_busy]
        chosen = self.random.choice(calm) if calm else None
        if chosen is None or sum(b.service == chosen.service for b in calm) < 2:
            return None
        chosen.is_busy = True
        return chosen

    async def _drain_server(self):
        """Let a server leave with a word."""
        server = self._choose_server()
        if server is None:
            return
        self._write_entry(server, "draining")
        if self.random.random() < 0.5:
            server.more_headers = (("Server-Leaving", "1"),)
        await self._leave(server)

    async def _leave_silently(self):
        """Let a server leave whose entry is removed without a word."""
        server = self._choose_server()
        if server is None:
            return
        self._write_entry(server, None)
        await self._leave(server)

    async def _leave(self, server):
        server.leaving_since = self._now()
        self.n_leavings += 1
        await asyncio.sleep(DRAIN_S + self.random.uniform(0.2, 3.0))
        address = server.address
        await server.close()
        self._write_entry(server, None)
        await self._come_back(server, address)

    async def _crash_server(self):
        server = self._choose_server()
        if server is None:
            return
        address = server.address
        await server.close()
        down_s = self.random.uniform(0.3, 6.0)
        await asyncio.sleep(min(down_s, HEARTBEATS_S))
        if down_s > HEARTBEATS_S:
            self._write_entry(server, None)
            await asyncio.sleep(down_s - HEARTBEATS_S)
        await self._come_back(server, address, may_wait=False)

    async def _come_back(self, server, address, *, may_wait=True):
        """Begin the next life of a server, often of another version."""
        if may_wait:
            await asyncio.sleep(self.random.uniform(0.2, 2.0))
        version = self.random.choice([server.version, "v1", "v2", "v3"])
        server.clock_error_s = self._clock_random.uniform(
            -MAX_CLOCK_ERROR_S, MAX_CLOCK_ERROR_S
        )
        await server.start_again(address, version)
        await asyncio.sleep(self.random.uniform(0.0, MAX_ENTRY_DELAY_S))
        self._write_entry(server, "ready")
        server.is_renewing = True
        server.is_busy = False

    # Disruptions of routers and of the store.

    async def _pause(self):
        router = self.random.choice(self.routers)
        async with self._disrupt(self.router_disruptions[router.name]):
            router.signal(signal.SIGSTOP)
            await asyncio.sleep(self.random.uniform(0.2, 4.0))
            router.signal(signal.SIGCONT)

    async def _kill(self):
        await self._restart(signal.SIGKILL)

    async def _stop(self):
        await self._restart(signal.SIGTERM)

    async def _restart(self, number):
        router = self.random.choice(self.routers)
        async with self._disrupt(self.router_disruptions[router.name]):
            await router.restart(number)

    async def _cut_store(self):
        router = self.random.choice(self.routers)
        async with self._disrupt(self.router_disruptions[router.name]):
            router.store_link.is_cut = True
            await asyncio.sleep(self.random.uniform(0.5, 4.0))
            router.store_link.is_cut = False

    async def _fail_store(self):
        async with self._disrupt(self.store_disruption):
            await super()._fail_store()

    async def _slow_store(self):
        async with self._disrupt(self.store_disruption):
            self.deployment.store.delay_s = self.random.uniform(0.1, 0.8)
            await asyncio.sleep(self.random.uniform(0.5, 3.0))
            self.deployment.store.delay_s = 0.0

    async def _restore_store(self):
        async with self._disrupt(self.store_disruption):
            await super()._restore_store()

    def _write_again(self, entries):
        """Let the servers write what they say now, after a restore of the store."""
        for server in self.deployment.backends:
            self._write_entry(server, server.state)

    @contextlib.asynccontextmanager
    async def _disrupt(self, disruption):
        disruption.begin()
        yield
        disruption.end(self._now())

    # Checks.

    def _find_sender(self, late):
        """Return the router that has sent a request to a server, by the logs."""
        for router in self.routers:
            for line in router.settings.with_suffix(".log").read_text().splitlines():
                if f'"{late.request_id}"' in line and '"request: sent"' in line:
                    return router.name
        return self._router_by_request[late.request_id].name

    def _is_whole(self, body, expected):
        if expected is not None:
            return body == expected
        ids = [event.partition(b"\n")[0] for event in body.split(b"\n\n")[:-1]]
        return ids == [b"id: %d" % number for number in range(1, N_EVENTS + 1)]

    def describe(self):
        """Return a line of figures."""
        n_joined = sum(len(set(stream.versions)) > 1 for stream in self.streams)
        n_complete = sum(stream.is_complete for stream in self.streams)
        return (
            f"{super().describe()}, {n_complete} of {len(self.streams)} streams"
            f" complete, {n_joined} joined, {self.n_leavings} leavings"
        )

    def _check(self):
        broken = super()._check()
        for late in self.late_requests:
            # A request that was forwarded is sent by another router.
            if self._find_sender(late) in late.calm_routers:
                broken.append(f"DRAIN: {late.text}")
        joined = [s for s in self.streams if len(set(s.versions)) > 1]
        if len(joined) > MAX_JOINED_STREAMS:
            broken.append(
                f"ORDER: {len(joined)} of {len(self.streams)} streams hold several"
                f" versions, as {joined[0]}"
            )
        return broken


class CalmServerSoak(ServerSoak):
    """The same with servers that come and go only, so that routers stay in touch."""

    n_disruptions = 0


def main():
    """Play seeds one after the other, of the calm soak if ``--calm`` is given."""
    is_calm = "--calm" in sys.argv
    sys.argv = [argument for argument in sys.argv if argument != "--calm"]
    run_soak(CalmServerSoak if is_calm else ServerSoak, __doc__)


if __name__ == "__main__":
    main()
