"""Router processes under faults from outside, with the promises checked from outside.

Every third seed plays routers of a large fleet, where they work for each other.

``python -m tests.router_soak --first 1 --seeds 50`` runs fifty seeds, one after the
other, and ends with 1 if one of them breaks a promise.
"""

from __future__ import annotations

import argparse
import asyncio
import collections
import itertools
import os
import random
import signal
import sys
import tempfile
from pathlib import Path

import attrs
import h11

from bronzesail.router.budget_rows import make_part
from bronzesail.router.neighbourhood import SMALL_FLEET
from tests.endless_server import EndlessServer
from tests.platform_standin import (
    HOST_NAME,
    KEY,
    BackendStandin,
    Deployment,
    RouterAddresses,
    echo_body,
    make_configuration,
    stream_events,
    wait_until,
)
from tests.retry_rule import find_excess

N_ROUTERS = 4
N_CALLERS = 12
N_EVENTS = 6  # Of a stream; each stands for 5 tokens.
PROMPT_TOKENS, OUTPUT_TOKENS = 40, 30
PREPAID = 15_000  # Most seeds use it up.
FIRST_ERA = 1  # Of the store.
RATIO, SLACK, WINDOW_S = 0.02, 4, 10.0
FAULTS_S = 8.0
RESTORE_DEPTH_S = 2.0  # Of the routers; the store comes back from younger copies.
PATHS_BY_SERVICE = {"app": ("/book/", "/look/"), "llm": ("/chat/", "/talk/")}
PATHS = ("/book/", "/look/", "/chat/", "/talk/")
ONCE = ("/book/", "/chat/")
SEAL = b"X-Server-Seal: s\r\nX-Attempt-Id: %b\r\n\r\n"
ENDLESS = (("app", SEAL), ("llm", SEAL), ("app", b"X-Filler: "), ("llm", b"X-Filler: "))
NOT_RUN = (408, 421, 429, 503)
ROOT = Path(__file__).resolve().parent.parent


@attrs.define
class Sent:
    """A request as its caller saw it; `status` is 0 where no answer came."""

    id: str
    path: str
    router: str
    at: float
    status: int = 0
    body: bytes | None = None


@attrs.define
class RouterProcess:
    """A router on one host, over its restarts."""

    name: str
    addresses: RouterAddresses
    settings: Path
    store_link: object
    process: asyncio.subprocess.Process | None = None
    starts: int = 0
    root: Path = ROOT  # Of the build that it runs from its next start on.
    restarting: asyncio.Lock = attrs.field(factory=asyncio.Lock)

    async def start(self):
        environment = {
            "PATH": os.environ["PATH"],
            "BRONZESAIL_NODE_FILE": str(self.settings),
        }
        path = self.settings.with_suffix(".log")
        log = os.open(path, os.O_CREAT | os.O_WRONLY | os.O_APPEND)
        self.process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "bronzesail.router",
            "--restore-depth-s",
            str(RESTORE_DEPTH_S),
            cwd=self.root,
            env=environment,
            stdout=log,
            stderr=log,
        )
        os.close(log)
        self.starts += 1

    def signal(self, number):
        if self.process.returncode is None:
            self.process.send_signal(number)

    async def restart(self, number):
        """End the process by a signal, and start it again once it is gone."""
        async with self.restarting:
            self.signal(number)
            self.signal(signal.SIGCONT)
            await self.process.wait()
            await self.start()


class Soak:
    """One seed: a fleet, callers, faults, and the checks at the end."""

    faults_s = FAULTS_S
    n_callers = N_CALLERS
    root = ROOT  # Of the build that routers run at first.
    prepaid = PREPAID

    def __init__(self, folder, seed, n_routers=N_ROUTERS):
        self.random = random.Random(seed)
        self.n_routers = n_routers
        self.n_others = SMALL_FLEET if seed % 3 == 0 else 0
        self.deployment = Deployment(folder)
        self.routers = []
        self.sent = []
        self.probes = collections.defaultdict(list)
        self.probed_at = []
        self.version = 1
        self.replaced = 0
        self._is_restoring = False
        self.deployment.store.era = FIRST_ERA
        self._ids = itertools.count(1)
        self._is_over = False

    async def run(self):
        """Play the seed and return the promises that were broken."""
        async with self.deployment:
            await self._start()
            callers = [asyncio.create_task(self._call()) for _ in range(self.n_callers)]
            callers += [asyncio.create_task(self._probe(r)) for r in self.routers]
            try:
                await self._inject_faults()
                await self._heal()
                self._is_over = True
                await asyncio.gather(*callers)
            finally:
                for task in callers:
                    task.cancel()
                for router in self.routers:
                    router.signal(signal.SIGKILL)
                    await router.process.wait()
        return self._check()

    async def _start(self):
        deployment = self.deployment
        deployment.add_rows_of_other_hosts(self.n_others)
        deployment.store.put("op", "config", self._make_configuration())
        await self._start_servers()
        bounds = f"retryBudgetRatio = {RATIO}\nbudgetSlack = {SLACK}"
        for number in range(self.n_routers):
            name, addresses = f"h{number}", RouterAddresses.choose()
            link = await deployment.open_store_link()
            path = deployment.write_settings(
                name, addresses, bounds, store=link.address
            )
            router = RouterProcess(name, addresses, path, link, root=self.root)
            self.routers.append(router)
        await asyncio.gather(*(router.start() for router in self.routers))
        n_rows = self.n_routers + self.n_others
        await wait_until(
            lambda: (
                len(deployment.store.find("holders", make_part(FIRST_ERA))) == n_rows
            )
        )

    async def _start_servers(self):
        for number in range(4):
            await self._start_server(f"e{number}", "llm", stream_events(N_EVENTS, 0.02))
        for number in range(4):
            await self._start_server(f"p{number}", "app", echo_body)

    async def _start_server(self, name, service, behave):
        server = BackendStandin(name, service, behave)
        server.born_ms = None  # A life that is draining is not ready again.
        await server.start()
        self.deployment.backends.append(server)
        self.deployment.store.put("servers", name, server.make_entry())

    def _make_configuration(self):
        configuration = make_configuration(version=self.version, prepaid=self.prepaid)
        route = configuration["routes"][-1]
        prefix = f"/v{self.version}/"
        probe = {**route, "name": "probe", "prefix": prefix, "public": True}
        configuration["routes"].append(probe)
        return configuration

    # Callers.

    async def _call(self):
        while not self._is_over:
            router = self.random.choice(self.routers)
            try:
                await self._use_connection(router, self.random.randrange(1, 30))
            except (OSError, TimeoutError, h11.RemoteProtocolError):
                await asyncio.sleep(0.02)

    async def _use_connection(self, router, count):
        """Send requests on one connection until it ends."""
        async with asyncio.timeout(1.0):
            reader, writer = await asyncio.open_connection(
                router.addresses.ip, router.addresses.caller_port
            )
        try:
            for _ in range(count):
                path = self.random.choice(PATHS)
                if self._is_over or not await self._exchange(
                    reader, writer, router, path
                ):
                    return
                await asyncio.sleep(self.random.uniform(0.0, 0.05))
        finally:
            writer.close()

    async def _exchange(self, reader, writer, router, path):
        """Send one request and take its answer; tell whether to go on."""
        name = f"r{next(self._ids)}"
        sent = Sent(name, path, f"{router.name}.{router.starts}", self._now())
        self.sent.append(sent)
        self._note_sent(name, router)
        counts = ""
        if path in ("/chat/", "/talk/"):
            counts = f"X-Token-Counts: {PROMPT_TOKENS},{OUTPUT_TOKENS}\r\n"
        writer.write(
            f"POST {path}{name} HTTP/1.1\r\nHost: {HOST_NAME}\r\n"
            f"X-Attempt-Id: {name}\r\nX-Deadline-Ms: 4000\r\n{counts}"
            f"Authorization: Bearer {KEY}\r\n"
            f"Content-Length: {len(name)}\r\n\r\n{name}".encode()
        )
        async with asyncio.timeout(5.0):
            sent.status, sent.body, keeps = await _read_answer(reader)
        return keeps

    def _note_sent(self, request_id, router):
        """Record the router that a request is sent to."""

    async def _probe(self, router):
        """Ask for the newest and for older configurations' routes, in turn."""
        while not self._is_over:
            version = self.random.randrange(1, self.version + 1)
            start = router.starts
            path = f"/v{version}/"
            self.probed_at.append(self._now())
            try:
                async with asyncio.timeout(2.0):
                    reader, writer = await asyncio.open_connection(
                        router.addresses.ip, router.addresses.caller_port
                    )
                    writer.write(
                        f"GET {path} HTTP/1.1\r\nHost: {HOST_NAME}\r\n"
                        f"X-Attempt-Id: q{next(self._ids)}\r\n"
                        "Connection: close\r\n\r\n".encode()
                    )
                    status, _, _ = await _read_answer(reader)
                    writer.close()
                if status == 200 and start == router.starts:
                    self.probes[f"{router.name}.{start}"].append(version)
            except (OSError, TimeoutError, h11.RemoteProtocolError):
                pass
            await asyncio.sleep(0.05)

    # Faults.

    def _list_faults(self):
        return (
            self._pause,
            self._kill,
            self._stop,
            self._cut_store,
            self._fail_store,
            self._restore_store,
            self._replace_server,
            self._drain_server,
            self._change_configuration,
            self._send_without_end,
        )

    async def _inject_faults(self):
        faults = self._list_faults()
        until = self._now() + self.faults_s
        running = []
        while self._now() < until:
            fault = self.random.choice(faults)
            running.append(asyncio.create_task(fault()))
            await asyncio.sleep(self.random.uniform(0.1, 0.8))
        await asyncio.gather(*running)

    async def _pause(self):
        router = self.random.choice(self.routers)
        router.signal(signal.SIGSTOP)
        await asyncio.sleep(self.random.uniform(0.2, 4.0))
        router.signal(signal.SIGCONT)

    async def _kill(self):
        await self.random.choice(self.routers).restart(signal.SIGKILL)

    async def _stop(self):
        await self.random.choice(self.routers).restart(signal.SIGTERM)

    async def _cut_store(self):
        link = self.random.choice(self.routers).store_link
        link.is_cut = True
        await asyncio.sleep(self.random.uniform(0.5, 4.0))
        link.is_cut = False

    async def _fail_store(self):
        self.deployment.store.failure = self.random.choice(["silent", "busy", "lost"])
        await asyncio.sleep(self.random.uniform(0.5, 3.0))
        self.deployment.store.failure = None

    async def _restore_store(self):
        """Let the store come back from a copy; its writers write again after a while.

        Routers acquire no tokens for a while after it, so that it happens once.
        """
        store = self.deployment.store
        if store.era > FIRST_ERA or self._is_restoring:
            return
        self._is_restoring = True
        copy = store.copy()
        await asyncio.sleep(self.random.uniform(0.1, RESTORE_DEPTH_S - 0.5))
        store.failure = self.random.choice(["silent", "busy"])
        await asyncio.sleep(self.random.uniform(0.05, 0.3))
        store.failure = None
        entries = store.find("servers")
        store.restore(copy)
        await asyncio.sleep(self.random.uniform(0.05, 0.5))
        self._write_again(entries)
        store.put("op", "config", self._make_configuration())

    def _write_again(self, entries):
        """Write the entries of servers as they were before a restore."""
        store = self.deployment.store
        for name in set(store.find("servers")) - set(entries):
            store.remove("servers", name)
        for name, entry in entries.items():
            store.put("servers", name, entry)

    async def _replace_server(self):
        """Let a server go on under a new id, which its entry tells late."""
        backend = self.random.choice(self.deployment.backends)
        self.replaced += 1
        old, backend.id = backend.id, f"{backend.id.partition('-')[0]}-{self.replaced}"
        await asyncio.sleep(self.random.uniform(0.2, 2.0))
        self.deployment.store.remove("servers", old)
        self.deployment.store.put("servers", backend.id, backend.make_entry())

    async def _drain_server(self):
        backend = self.random.choice(self.deployment.backends)
        name = backend.id
        self.deployment.store.put("servers", name, backend.make_entry("draining"))
        await asyncio.sleep(self.random.uniform(0.5, 2.0))
        if backend.id == name:
            self.deployment.store.put("servers", name, backend.make_entry())

    async def _send_without_end(self):
        """Let a server that answers without end take requests for a while."""
        service, body = self.random.choice(ENDLESS)
        server = EndlessServer(b"HTTP/1.1 200 OK\r\n" + body, b"x" * 65_536)
        host, port = await server.start()
        entry = self.deployment.backends[0].make_entry()
        entry |= {"service": service, "address": f"{host}:{port}"}
        name = f"endless-{port}"
        self.deployment.store.put("servers", name, entry)
        await asyncio.sleep(self.random.uniform(0.5, 2.0))
        self.deployment.store.remove("servers", name)
        server.close()

    async def _change_configuration(self):
        self.version += 1
        self.deployment.store.put("op", "config", self._make_configuration())

    async def _heal(self):
        """Wait until each router serves by the newest configuration."""
        self.deployment.store.failure = None
        for router in self.routers:
            router.store_link.is_cut = False
            router.signal(signal.SIGCONT)
            key = f"{router.name}.{router.starts}"
            await wait_until(lambda key=key: self.version in self.probes[key][-5:])

    # Checks.

    def describe(self):
        """Return a line of figures."""
        statuses = collections.Counter(sent.status for sent in self.sent)
        starts = sum(router.starts for router in self.routers)
        return f"{len(self.sent)} requests, {starts} starts, {dict(statuses)}"

    def _check(self):
        runs = collections.Counter()
        for backend in self.deployment.backends:
            runs.update(r.find_header("x-attempt-id") for r in backend.requests)
        broken = []
        for sent in self.sent:
            broken += self._check_request(sent, runs[sent.id])
        for key, versions in self.probes.items():
            if versions != sorted(versions):
                broken.append(f"{key} went back to an older configuration")
        for service, paths in PATHS_BY_SERVICE.items():
            excess = self._find_excess_repeats(service, paths)
            if excess > 0:
                broken.append(f"{service} got {excess} repeats more than allowed")
        spent = sum(self._count_spent(sent) for sent in self.sent)
        if spent > self.prepaid:
            broken.append(f"{spent} tokens spent of {self.prepaid}")
        return broken

    def _find_excess_repeats(self, service, paths):
        requests = [sent.at for sent in self.sent if sent.path in paths]
        if service == "app":
            requests = sorted(requests + self.probed_at)
        arrivals = sorted(
            arrival
            for backend in self.deployment.backends
            if backend.service == service
            for arrival in backend.arrived_at
        )
        seen, repeats = set(), []
        for at, name in arrivals:
            if name in seen:
                repeats.append(at)
            seen.add(name)
        return find_excess(requests, repeats, RATIO, SLACK, WINDOW_S)

    def _check_request(self, sent, n_runs):
        if sent.path in ONCE and n_runs > 1:
            yield f"{sent.id} ran {n_runs} times"
        if sent.path in ONCE and sent.status in NOT_RUN and n_runs:
            yield f"{sent.id} was answered {sent.status} and ran"
        if sent.status != 200 or sent.body is None:
            return
        expected = sent.id.encode()
        if sent.path in ("/chat/", "/talk/"):
            expected = None
        if not self._is_whole(sent.body, expected):
            yield f"{sent.id} got {sent.body!r}"

    def _is_whole(self, body, expected):
        """Whether a body is as expected, or a whole stream if that is None."""
        if expected is None:
            events = range(1, N_EVENTS + 1)
            expected = b"".join(b"id: %d\ndata: x\n\n" % number for number in events)
        return body == expected

    @staticmethod
    def _count_spent(sent):
        if sent.status != 200 or sent.path not in ("/chat/", "/talk/"):
            return 0
        return PROMPT_TOKENS + 5 * (sent.body or b"").count(b"\n\n")

    @staticmethod
    def _now():
        return asyncio.get_running_loop().time()


async def _read_answer(reader):
    """Return status, body (None if cut short) and whether the connection goes on."""
    parser = h11.Connection(h11.CLIENT)
    parser.send(h11.Request(method="GET", target="/", headers=[("Host", "x")]))
    parser.send(h11.EndOfMessage())
    status, body = 0, b""
    while True:
        event = parser.next_event()
        if event is h11.NEED_DATA:
            data = await reader.read(65536)
            if not data and not status:
                raise ConnectionResetError
            parser.receive_data(data)
        elif isinstance(event, h11.Response):
            status = event.status_code
        elif isinstance(event, h11.Data):
            body += event.data
        elif isinstance(event, h11.EndOfMessage):
            return status, body, parser.their_state is h11.DONE
        else:
            return status, None, False


async def play_seed(seed, folder, n_routers=N_ROUTERS, soak_type=Soak):
    """Play one seed; return what it broke and a line of figures."""
    soak = soak_type(Path(folder), seed, n_routers)
    broken = await soak.run()
    return broken, soak.describe()


def main(soak_type=Soak, description=__doc__):
    """Play seeds one after the other."""
    parser = argparse.ArgumentParser(description=description)
    parser.add_argument("--first", type=int, default=1)
    parser.add_argument("--seeds", type=int, default=50)
    parser.add_argument("--routers", type=int, default=N_ROUTERS)
    parser.add_argument("--keep", help="folder for settings and logs of each seed")
    arguments = parser.parse_args()
    n_failed = 0
    for seed in range(arguments.first, arguments.first + arguments.seeds):
        with tempfile.TemporaryDirectory() as folder:
            if arguments.keep:
                folder = Path(arguments.keep) / str(seed)
                folder.mkdir(parents=True)
            broken, figures = asyncio.run(
                play_seed(seed, folder, arguments.routers, soak_type)
            )
        n_failed += bool(broken)
        print(f"seed {seed}: {figures}", *broken[:5], sep="\n  ", flush=True)
    print(f"{arguments.seeds} seeds, {n_failed} with a promise broken")
    sys.exit(n_failed > 0)


if __name__ == "__main__":
    main()
