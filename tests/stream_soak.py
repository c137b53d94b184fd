"""Router processes under faults, with long streams of which every event is checked.

The server soak with events of up to 40 kB that name version, stream and run, servers
that stop midway in an event, and callers that break off and come back at other routers.
The seed chooses one of four sets of faults.

``python -m tests.stream_soak --first 0 --seeds 12`` plays twelve seeds, one after the
other, and ends with 1 if one of them breaks a promise. With ``--silent`` the reports of
the servers do not tell their start.
"""

from __future__ import annotations

import asyncio
import collections
import random
import re
import signal
import sys
import time

import attrs
import h11

from tests.platform_standin import echo_body
from tests.router_soak import Sent
from tests.router_soak import main as run_soak
from tests.server_soak import (
    EVENT_GAP_S,
    N_EVENTS,
    Server,
    ServerSoak,
    Stream,
)

STREAM_PATHS = ("/chat/", "/talk/")
RESUMABLE = "/talk/"
MAX_PADDING_BYTES = 40_000  # Of an event.
STOP_SHARE = 1 / 6  # Of the answers, which the server stops midway in an event.
LEAVE_SHARE = 1 / 4  # Of the tries, which the caller breaks off.
LEAVE_AFTER_S = (0.2, 2.0)
READ_TIMEOUT_S = 6.0
MAX_RETURNS = 4  # Of a caller to its stream.
MAX_PAUSE_S = 1.5  # Before a return.
MAX_DOWN_S = 0.4  # Of a server that starts again at once.
KILL_INTERVAL_S = 4.0  # Between kills of all routers.
MIN_TAKE_UPS = 12  # From which on their share that goes on is compared.
EVENT = re.compile(rb"id: (\d+)\ndata: (\S+) (\S+) (\S+) (\d+) (x*)")


class EventServer(Server):
    """A backend server that streams events of many sizes, and stops within some."""

    def __init__(self, server_id, service, on_request, seed):
        super().__init__(server_id, service, on_request)
        self._random = random.Random(f"{seed} {server_id}")
        self._n_runs = 0

    async def _serve(self, request, responder, headers):
        self._on_request(self, request)
        if self.service == "llm":
            await self._stream(request, responder, headers)
        else:
            await echo_body(request, responder, headers)

    async def _stream(self, request, responder, headers):
        """Stream the events after Last-Event-Id, or a part of them."""
        self._n_runs += 1
        run = f"{self.id}/{self.born_ms}/{self._n_runs}"
        stream = request.find_header("x-attempt-id").partition(".")[0]
        first = int(request.find_header("last-event-id", "0")) + 1
        numbers = range(first, N_EVENTS + 1)
        stops = numbers and self._random.random() < STOP_SHARE
        stop_at = self._random.choice(numbers) if stops else None
        await responder.start(200, (*headers, ("Content-Type", "text/event-stream")))
        for number in numbers:
            size = int(MAX_PADDING_BYTES ** self._random.random())
            text = f"id: {number}\ndata: {self.version} {stream} {run} {size} "
            event = text.encode() + b"x" * size + b"\n\n"
            if number == stop_at:
                await responder.write(event[: len(event) // 2])
                if self._random.random() < 0.5:
                    responder._writer.close()  # Else the connection is reset.
                raise ConnectionResetError("the server stops midway in an event")
            await responder.write(event)
            await asyncio.sleep(EVENT_GAP_S)
        await responder.finish()


@attrs.define
class Try:
    """One request for a stream, or for the rest of it.

    `is_compared` tells whether it shows which share of the streams goes on.
    """

    id: str
    router: str
    at: float  # Unix time.
    after: int  # Last event that the caller had.
    is_compared: bool
    status: int = 0
    code: str = ""
    runs: dict = attrs.field(factory=dict)  # Number of events by version and run.
    is_ended: bool = False


@attrs.define
class EventStream(Stream):
    """What a caller got of one stream, and what is wrong with it."""

    path: str = RESUMABLE
    attempts: list = attrs.field(factory=list, repr=False)
    errors: list = attrs.field(factory=list, repr=False)

    def add(self, attempt, body):
        """Check the whole events of a try, and add them."""
        for event in bytes(body).split(b"\n\n")[:-1]:
            match = EVENT.fullmatch(event)
            if match is None or len(match[6]) != int(match[5]):
                self.errors.append(f"{attempt.id}: an event is {event[:80]!r}")
                return
            number, version, stream, run = (
                int(match[1]),
                *map(bytes.decode, match.group(2, 3, 4)),
            )
            if number != self.last_event_id + 1 or stream != self.id:
                self.errors.append(
                    f"{attempt.id}: event {number} of {stream} follows"
                    f" {self.last_event_id}"
                )
            self.last_event_id = number
            self.versions.append(version)
            key = f"{version} {run}"
            attempt.runs[key] = attempt.runs.get(key, 0) + 1
        if self.path != RESUMABLE and len(attempt.runs) > 1:
            self.errors.append(f"{attempt.id}: events of several runs")
        if self.is_complete and self.last_event_id != N_EVENTS:
            self.errors.append(f"{attempt.id}: complete at {self.last_event_id}")


class StreamSoak(ServerSoak):
    """One seed: callers that take up streams, and one of four sets of faults."""

    tells_start = True

    def __init__(self, folder, seed, n_routers):
        super().__init__(folder, seed, n_routers)
        self._folder = folder
        self._seed = seed
        self._max_down_s = MAX_DOWN_S
        self._kill_interval_s = None
        if seed % 4 == 0:
            self._faults = [self._restart_server] * 6 + [self._kill]
        elif seed % 4 == 1:
            self._faults = [self._drain_server, self._leave_silently]
            self._faults += [self._crash_server] * 3
            self._kill_interval_s = KILL_INTERVAL_S
        elif seed % 4 == 2:
            self._faults = [self._restart_server] * 4 + [self._stop] * 2
            self._max_down_s = 0.0
            self._kill_interval_s = 2 * KILL_INTERVAL_S

    def _make_server(self, name, service):
        server = EventServer(name, service, self._note_request, self._seed)
        server.tells_start = self.tells_start
        return server

    # Callers.

    async def _exchange(self, reader, writer, router, path):
        if path not in STREAM_PATHS:
            return await super()._exchange(reader, writer, router, path)
        stream = EventStream(f"t{next(self._ids)}", path=path)
        self.streams.append(stream)
        keeps = await self._read_stream(reader, writer, router, stream)
        for _ in range(MAX_RETURNS):
            if path != RESUMABLE or stream.is_complete or not stream.versions:
                break
            if self.random.random() < 0.5:
                await asyncio.sleep(self.random.uniform(0.0, MAX_PAUSE_S))
            others = [r for r in self.routers if r is not router]
            if self.random.random() < 0.8:
                router = self.random.choice(others)
            await self._take_up(router, stream)
        return keeps and stream.is_complete

    async def _read_stream(self, reader, writer, router, stream):
        self._send_request(writer, router, stream, stream.path)
        started_at = self._now()
        attempt = Try(
            stream.tries[-1],
            router.name,
            time.time(),
            stream.last_event_id,
            not stream.versions or self._count_servers(stream.versions[-1]) >= 2,
        )
        stream.attempts.append(attempt)
        sent = Sent(attempt.id, stream.path, attempt.router, started_at)
        self.sent.append(sent)
        leaves = self.random.random() < LEAVE_SHARE
        timeout_s = self.random.uniform(*LEAVE_AFTER_S) if leaves else READ_TIMEOUT_S
        body = bytearray()
        try:
            async with asyncio.timeout(timeout_s):
                return await self._receive(reader, attempt, body)
        except TimeoutError:
            # Nothing shows whether the answer of a caller that left would have begun.
            attempt.is_compared &= bool(attempt.status) or not leaves
            return False
        except (OSError, h11.RemoteProtocolError):
            return False
        finally:
            disruption = self.router_disruptions[router.name]
            calm_since = disruption.find_calm_since(self._now())
            attempt.is_compared &= calm_since < started_at
            sent.status = attempt.status
            stream.is_complete = attempt.is_ended and attempt.status == 200
            stream.add(attempt, body)

    @staticmethod
    async def _receive(reader, attempt, body):
        """Read an answer; return whether the connection goes on."""
        parser = h11.Connection(h11.CLIENT)
        parser.send(h11.Request(method="GET", target="/", headers=[("Host", "x")]))
        parser.send(h11.EndOfMessage())
        while True:
            event = parser.next_event()
            if event is h11.NEED_DATA:
                parser.receive_data(await reader.read(65536))
            elif isinstance(event, h11.Response):
                attempt.status = event.status_code
                attempt.code = dict(event.headers).get(b"x-result-code", b"").decode()
            elif isinstance(event, h11.Data):
                body += event.data if attempt.status == 200 else b""
            elif isinstance(event, h11.EndOfMessage):
                attempt.is_ended = True
                return parser.their_state is h11.DONE
            else:
                return False

    def _count_servers(self, version):
        """Return how many servers of a version serve, as their entries say."""
        return sum(
            server.service == "llm"
            and server.version == version
            and server.is_renewing
            and server.state == "ready"
            and server.leaving_since is None
            for server in self.deployment.backends
        )

    # Faults.

    async def _inject_faults(self):
        kills = asyncio.create_task(self._kill_all_at_times())
        await super()._inject_faults()
        await kills

    async def _kill_all_at_times(self):
        until = self._now() + self.faults_s
        while self._kill_interval_s is not None and self._now() < until:
            await asyncio.sleep(self._kill_interval_s * self.random.uniform(0.75, 1.25))
            await asyncio.gather(*(self._kill_router(r) for r in self.routers))

    async def _kill_router(self, router):
        async with self._disrupt(self.router_disruptions[router.name]):
            if router.restarting.locked():
                router.signal(signal.SIGKILL)
            else:
                await router.restart(signal.SIGKILL)

    async def _restart_server(self):
        """Let a server of streams start again at once, with an entry that is late."""
        calm = [
            server
            for server in self.deployment.backends
            if server.service == "llm" and not server.is_busy
        ]
        if len(calm) < 2:
            return
        server = self.random.choice(calm)
        server.is_busy = True
        address = server.address
        await server.close()
        await asyncio.sleep(self.random.uniform(0.0, self._max_down_s))
        await self._come_back(server, address, may_wait=False)

    # Checks.

    def describe(self):
        """Return a line of figures."""
        attempts = [attempt for s in self.streams for attempt in s.attempts]
        taken_up = [s for s in self.streams if any(a.after for a in s.attempts)]
        n_finished = sum(s.is_complete for s in taken_up)
        refused = collections.Counter(a.code for a in attempts if a.after and a.code)
        began, went_on = self._list_compared()
        return (
            f"{super().describe()}, {len(taken_up)} streams taken up, {n_finished} of"
            f" those finished, take-ups refused {dict(refused)}, at calm routers"
            f" {sum(went_on)} of {len(went_on)} take-ups and {sum(began)} of"
            f" {len(began)} new streams began"
        )

    def _list_compared(self):
        """Return whether each new stream began, and whether each one taken up did."""
        began, went_on = [], []
        for attempt in (a for s in self.streams for a in s.attempts if a.is_compared):
            (went_on if attempt.after else began).append(attempt.status == 200)
        return began, went_on

    def _check(self):
        broken = super()._check()
        began, went_on = self._list_compared()
        if len(went_on) >= MIN_TAKE_UPS and began:
            if sum(went_on) / len(went_on) < sum(began) / len(began) / 2:
                broken.append(
                    f"LOST: {sum(went_on)} of {len(went_on)} take-ups went on,"
                    f" {sum(began)} of {len(began)} new streams began"
                )
        broken += [f"ORDER: {error}" for s in self.streams for error in s.errors]
        self._write_streams()
        return broken

    def _write_streams(self):
        """Write the tries of the streams that are joined or wrong beside the logs."""
        with (self._folder / "streams.txt").open("w") as file:
            for stream in self.streams:
                if len(set(stream.versions)) > 1 or stream.errors:
                    print(
                        stream.id,
                        *stream.errors,
                        *stream.attempts,
                        sep="\n  ",
                        file=file,
                    )


class SilentStreamSoak(StreamSoak):
    """The same with servers whose reports do not tell their start."""

    tells_start = False


def main():
    """Play seeds one after the other, with silent servers if ``--silent`` is given."""
    is_silent = "--silent" in sys.argv
    sys.argv = [argument for argument in sys.argv if argument != "--silent"]
    run_soak(SilentStreamSoak if is_silent else StreamSoak, __doc__)


if __name__ == "__main__":
    main()
