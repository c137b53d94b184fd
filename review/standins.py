"""Stand-ins for the review: the platform's store, runners, clients, and routers.

The store, the runners and the clients run in the process of the case. The routers are
processes of their own, started with the command of deploy/system.toml. Only loopback
addresses and free ports are used. Nothing but Python's standard library is needed.
"""

from __future__ import annotations

import asyncio
import base64
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import tempfile
import time
import tomllib
from pathlib import Path
from urllib.parse import parse_qs, urlsplit

ROOT = Path(__file__).resolve().parent.parent
HOST_NAME = "ficu95.example"
KEY = "n2ctnfzs989anu6wsjnb"
TENANT = "hule930"
HEARTBEAT_S = 1.2
DRAIN_S = 3.0


def is_troubled():
    """Whether the disruption is to be made; not with TROUBLE=0."""
    return os.environ.get("TROUBLE", "1") != "0"


class Record:
    """Writes record.txt: one line for each thing that was sent, answered or run."""

    def __init__(self, path):
        self._file = open(path, "w", encoding="utf-8")
        self._started_at = time.monotonic()

    def now(self):
        """Return the seconds since the case began."""
        return time.monotonic() - self._started_at

    def write(self, what, **fields):
        """Write one line."""
        line = " ".join(f"{key}={value}" for key, value in fields.items())
        self._file.write(f"{self.now():8.3f} {what} {line}\n")
        self._file.flush()

    def close(self):
        """Close the file."""
        self._file.close()


async def read_head(reader):
    """Return the first line and the headers of a message; None at the end."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    first, *lines = head.decode("latin-1").split("\r\n")[:-2]
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    return first, headers


class HttpServer:
    """A small HTTP/1.1 server; `handle` writes the answer to each request."""

    def __init__(self, handle):
        self._handle = handle
        self._server = None
        self._writers = set()
        self._tasks = set()
        self.address = None

    async def start(self, address=("127.0.0.1", 0)):
        """Start it."""
        self._server = await asyncio.start_server(
            self._serve, address[0], address[1], limit=4_000_000
        )
        self.address = self._server.sockets[0].getsockname()[:2]

    def refuse(self):
        """Refuse new connections; those that are open live on."""
        if self._server is not None:
            self._server.close()
            self._server = None

    async def accept(self):
        """Accept new connections again, at the same address."""
        if self._server is None:
            await self.start(self.address)

    async def stop(self):
        """Stop as a killed process does: all connections end at once."""
        self.refuse()
        for task in list(self._tasks):
            task.cancel()
        for writer in list(self._writers):
            writer.transport.abort()
        await asyncio.sleep(0)

    async def _serve(self, reader, writer):
        task = asyncio.current_task()
        self._tasks.add(task)
        self._writers.add(writer)
        try:
            while True:
                head = await read_head(reader)
                if head is None:
                    break
                first, headers = head
                method, target, _ = first.split(" ")
                body = b""
                if "content-length" in headers:
                    body = await reader.readexactly(int(headers["content-length"]))
                await self._handle(method, target, headers, body, writer)
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self._tasks.discard(task)
            self._writers.discard(writer)
            writer.transport.abort()


def encode_answer(status, headers, body):
    """Return an answer with a length."""
    lines = [f"HTTP/1.1 {status} X"]
    lines += [f"{name}: {value}" for name, value in headers]
    lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" + body


class Store:
    """The platform's metadata store, as PROTOCOL.md describes it."""

    def __init__(self):
        self.rows = {}  # (table, part, key): (value, version)
        self._log = []  # (version, name, value or None)
        self.version = 0
        self.era = 0  # Told in all answers once it has risen.
        self._is_away = False
        self._changed = asyncio.Event()
        self._servers = []

    async def open(self):
        """Open an address for one more router and return it.

        A row `servers/ID` that a router reads names the runner's address for that
        router, so that the paths of single routers to runners can be cut.
        """
        number = len(self._servers)
        server = HttpServer(lambda *request: self._answer(number, *request))
        await server.start()
        self._servers.append(server)
        return "{}:{}".format(*server.address)

    async def stop(self):
        """Stop it."""
        for server in self._servers:
            await server.stop()

    def copy(self):
        """Return a copy from which the store can come back."""
        return dict(self.rows), list(self._log), self.version

    async def restore(self, copy, away_s):
        """Be away for a while, and come back from a copy, as in a drill."""
        self._is_away = True
        await asyncio.sleep(away_s)
        rows, log, self.version = copy
        self.rows, self._log = dict(rows), list(log)
        self.era += 1
        for server in self._servers:
            await server.stop()
            await server.accept()
        self._is_away = False

    def put(self, table, key, value, part=""):
        """Write a row as operators, runners and other writers do.

        A list holds the value for each router.
        """
        if isinstance(value, list):
            value = [json.dumps(one).encode() for one in value]
        elif not isinstance(value, bytes):
            value = json.dumps(value).encode()
        self.version += 1
        self._set((table, part, key), value)

    def remove(self, table, key, part=""):
        """Remove a row."""
        if (table, part, key) in self.rows:
            self.version += 1
            self._set((table, part, key), None)

    def _set(self, name, value):
        if value is None:
            self.rows.pop(name, None)
        else:
            self.rows[name] = (value, self.version)
        self._log.append((self.version, name, value))
        self._changed.set()
        self._changed = asyncio.Event()

    @staticmethod
    def _encode(name, value, version, reader=0):
        table, part, key = name
        row = {"table": table, "part": part, "key": key, "rowVersion": version}
        if value is None:
            return row | {"deleted": True}
        if isinstance(value, list):
            value = value[reader]
        return row | {"value": base64.b64encode(value).decode()}

    async def _answer(self, reader, method, target, headers, body, writer):
        url = urlsplit(target)
        query = {key: values[0] for key, values in parse_qs(url.query).items()}
        await asyncio.sleep(0.004)
        if self._is_away:
            await asyncio.sleep(3600)
        status, fields = 404, {}
        if url.path == "/rows-tx":
            status, fields = self._transact(json.loads(body))
        elif url.path == "/rows-get":
            status, fields = 200, self._get(query, reader)
        elif url.path == "/rows-parts":
            names = {n[1] for n in self.rows if n[0] == query["table"]}
            status, fields = 200, {"parts": sorted(names), "hasMore": False}
        elif url.path == "/rows-feed":
            status = 410 if int(query["sinceRev"]) > self.version else 200
            rows = await self._feed(query, reader) if status == 200 else []
            fields = {"rows": rows}
        if self._is_away:
            await asyncio.sleep(3600)
        fields |= {
            "rowVersion": self.version,
            "nowMs": int(time.monotonic() * 1000),
        }
        encoded = json.dumps(fields).encode()
        kind = [("Content-Type", "application/json")]
        if self.era:
            kind.append(("Store-Era", str(self.era)))
        writer.write(encode_answer(status, kind, encoded))

    def _transact(self, call):
        if len(call["expectedRev"]) + len(call["write"]) + len(call["remove"]) > 100:
            return 400, {}
        names = [(c["table"], c["part"], c["key"]) for c in call["expectedRev"]]
        for name, check in zip(names, call["expectedRev"], strict=True):
            if self.rows.get(name, (b"", 0))[1] != check["rowVersion"]:
                rows = [self._encode(n, *self.rows[n]) for n in names if n in self.rows]
                return 412, {"rows": rows}
        self.version += 1
        for write in call["write"]:
            name = (write["table"], write["part"], write["key"])
            if name[0] in ("op", "servers"):
                return 403, {}
            self._set(name, base64.b64decode(write["value"]))
        for row in call["remove"]:
            self._set((row["table"], row["part"], row["key"]), None)
        return 200, {}

    def _get(self, query, reader):
        chosen = sorted(
            (name[2].encode(), name)
            for name in self.rows
            if name[:2] == (query["table"], query.get("part", ""))
            and name[2] >= query.get("source", "")
            and ("to" not in query or name[2] < query["to"])
        )
        limit = int(query.get("limit", "500"))
        rows = [self._encode(n, *self.rows[n], reader) for _, n in chosen[:limit]]
        return {"rows": rows, "hasMore": len(chosen) > limit}

    async def _feed(self, query, reader):
        table, since = query["table"], int(query["sinceRev"])
        until = time.monotonic() + int(query.get("waitMs", "0")) / 1000
        while True:
            rows = [
                self._encode(name, value, version, reader)
                for version, name, value in self._log
                if version > since and name[0] == table
            ]
            left_s = until - time.monotonic()
            if rows or left_s <= 0:
                return rows
            try:
                await asyncio.wait_for(self._changed.wait(), left_s)
            except TimeoutError:
                pass


class Runner:
    """A runner of a service. Its entry in the store is renewed by heartbeats."""

    def __init__(self, record, store, runner_id, service, behave, **options):
        self.record = record
        self.store = store
        self.id = runner_id
        self.service = service
        self.version = options.get("version", "v1")
        self.slots = options.get("slots", 6)
        self.zone = options.get("zone", "amman-a")
        self.is_draining = False
        self.born_ms = 0
        self._behave = behave
        self._sequence = 0
        self._beat = None
        # One address for each router, which stands for the path between them.
        self.paths = [HttpServer(self._answer) for _ in range(options["n_routers"])]
        self.runs = []

    async def start(self, entry_delay_s=0.0):
        """Start a new life; its entry is written `entry_delay_s` later."""
        self.born_ms = int(time.time() * 1000)
        self.is_draining = False
        self._sequence = 0
        for path in self.paths:
            await path.start(path.address or ("127.0.0.1", 0))
        self.record.write("runner-starts", id=self.id, version=self.version)
        self._beat = asyncio.create_task(self._send_beats(entry_delay_s))

    async def crash(self):
        """End without a word; all connections are reset."""
        self.record.write("runner-crashes", id=self.id, version=self.version)
        await self.stop()

    async def stop(self):
        """Stop it."""
        if self._beat is not None:
            self._beat.cancel()
        for path in self.paths:
            await path.stop()

    async def leave(self, linger_s=2.0):
        """Report draining, go on serving for a while, then exit."""
        self.is_draining = True
        self._put_entry()
        self.record.write("runner-drains", id=self.id)
        await asyncio.sleep(DRAIN_S + linger_s)
        await self.crash()
        self.store.remove("servers", self.id)
        self.record.write("runner-gone", id=self.id)

    def _put_entry(self):
        self._sequence += 1
        entry = {
            "service": self.service,
            "zone": self.zone,
            "version": self.version,
            "slots": self.slots,
            "state": "draining" if self.is_draining else "ready",
            "coldLeftMs": 0,
            "phase": "dual",
            "models": [],
            "sequence": self._sequence,
            "born": self.born_ms,
        }
        addresses = ["{}:{}".format(*path.address) for path in self.paths]
        self.store.put("servers", self.id, [entry | {"address": a} for a in addresses])
        if self._sequence == 1:
            self.record.write("entry-written", id=self.id, version=self.version)

    async def _send_beats(self, delay_s):
        await asyncio.sleep(delay_s)
        while True:
            self._put_entry()
            await asyncio.sleep(HEARTBEAT_S)

    async def _answer(self, method, target, headers, body, writer):
        attempt = headers.get("x-attempt-id", "")
        common = [("X-Attempt-Id", attempt), ("X-Server-Load", f"0,0,{self.slots}")]
        if self.is_draining:
            common.append(("Server-Leaving", "1"))
        if headers.get("x-expect-instance", self.id) != self.id:
            writer.write(encode_answer(421, [*common, ("X-Not-Executed", "1")], b""))
            return
        self.runs.append((time.monotonic(), attempt))
        self.record.write(
            "run",
            id=self.id,
            version=self.version,
            attempt=attempt,
            last_event=headers.get("last-event-id", "-"),
        )
        common.append(("X-Server-Seal", f"seal.{self.id}.{self.version}"))
        await self._behave(self, headers, body, common, writer)


async def serve_plain(runner, headers, body, common, writer):
    """Work for 22 ms, then answer 800 bytes."""
    await asyncio.sleep(0.022)
    writer.write(encode_answer(200, common, b"x" * 800))


class Router:
    """One machine of the system: a router process with a settings file."""

    def __init__(self, record, folder, name, ip, ports, store_address):
        self.record = record
        self.name = name
        self.ip = ip
        self.ports = ports
        self._folder = folder
        self._path = folder / f"{name}.toml"
        self._path.write_text(make_settings(name, ip, ports, store_address))
        self._process = None

    @property
    def address(self):
        """Where callers reach it."""
        return self.ip, self.ports[0]

    @property
    def log_path(self):
        """The file of the router's log."""
        return self._folder / f"{self.name}.log"

    def start(self):
        """Start it."""
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        with open(self.log_path, "ab") as log:
            self._process = subprocess.Popen(
                deploy["roles"]["router"]["run"].split(),
                cwd=ROOT,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                env={
                    **{
                        name: os.environ[name]
                        for name in ("PATH", "HOME", "LANG")
                        if name in os.environ
                    },
                    "PYTHONPATH": str(ROOT / "target" / "deps"),
                    "PYTHONDONTWRITEBYTECODE": "1",
                    "BRONZESAIL_NODE_FILE": str(self._path),
                },
            )
        self.record.write("router-starts", name=self.name)

    def kill(self):
        """Kill it, and wait until it has ended."""
        if self._process is not None:
            self._process.send_signal(signal.SIGKILL)
            self._process.wait()
            self._process = None
            self.record.write("router-killed", name=self.name)

    async def is_ready(self):
        """Return whether the platform's readiness probe would succeed."""
        answer = await send(
            (self.ip, self.ports[1]), "GET", "/readyz", {"Host": "x"}, b"", 0.5
        )
        return answer.status == 200


def make_settings(name, ip, ports, store_address):
    """Return the text of a settings file, as DEPLOY.md shows it."""
    return f"""nodeName = "{name}"
role = "router"
machineClass = "edge"
serves = ["edge"]
ip = "{ip}"
zone = "amman-a"
region = "amman"
internalPorts = [{ports[2]},{ports[2] + 15}]
seeds = []
bootstrap = true
faultCounted = false
discovery = "platform"
entry = "vip"
heartbeatMs = 1200
invariants = ["base","drain","config","retry","recover","stream","tenants","platform"]
[zones]
amman-a = "amman"
[listen]
frontend = "{ip}:{ports[0]}"
ready = "{ip}:{ports[1]}"
[limits]
cpuQuota = 0.537
cores = 2
memoryMb = 300
maxFds = 4200
linkMbps = 1000.0
diskMb = 0
[faultTolerance]
machines = 2
zones = 0
regions = 0
[bounds]
seedLagS = 3
reuseAfterS = 2
contactMs = 4000
ackMs = 5000
catchUpS = 4
drainMs = 3000
graceS = 8
lossSlackMs = 200
configMs = 3000
rollbackSlackMs = 250
outerMs = 6000
failClosed = false
revokeMs = 5000
retryBudgetRatio = 0.2
budgetWindowS = 10
budgetSlack = 52
recoveryS = 12
eventDelayMs = 400
reuseWindowS = 10
settle_ms = 1500
[platform]
address = "{store_address}"
form = "table"
writesPerS = 600
readsPerS = 2000
txMs = 5.0
partWritesS = 200
rowBytes = 65536
crossShard = false
historyS = 20
blobBytes = 8388608
blobMs = 25.0
blobMbS = 80.0
"""


def choose_addresses(count):
    """Return loopback addresses, and ports that are free at all of them."""
    first = random.randrange(1, 250)
    ips = [f"127.38.{first}.{number}" for number in range(1, count + 1)]
    for _ in range(200):
        base = random.randrange(20_000, 30_000)
        ports = (base, base + 1, base + 2)
        if all(_is_free(ip, port) for ip in ips for port in ports):
            return ips, ports
    raise OSError("no free ports")


def _is_free(ip, port):
    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
        with socket.socket(socket.AF_INET, kind) as sock:
            try:
                sock.bind((ip, port))
            except OSError:
                return False
    return True


class Answer:
    """What a client got: status 0 without one; `is_complete` if it is whole."""

    def __init__(self):
        self.status = 0
        self.headers = {}
        self.body = b""
        self.is_complete = False


async def send(address, method, target, headers, body, timeout_s):
    """Send a request on a new connection and return the answer."""
    answer = Answer()
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(*address)
            lines = [f"{method} {target} HTTP/1.1"]
            lines += [f"{name}: {value}" for name, value in headers.items()]
            if body:
                lines.append(f"Content-Length: {len(body)}")
            writer.write("\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" + body)
            head = await read_head(reader)
            if head is None:
                return answer
            answer.status = int(head[0].split(" ")[1])
            answer.headers = head[1]
            if "content-length" in head[1]:
                length = int(head[1]["content-length"])
                answer.body = await reader.readexactly(length)
            else:
                while size := int(await reader.readuntil(b"\r\n"), 16):
                    answer.body += await reader.readexactly(size)
                    await reader.readexactly(2)
                await reader.readexactly(2)
            answer.is_complete = True
    except (OSError, TimeoutError, asyncio.IncompleteReadError):
        pass
    finally:
        if writer is not None:
            writer.transport.abort()
    return answer


class Deployment:
    """A small deployment: store, runners and three routers."""

    def __init__(self, case_path, n_routers=3, record="record.txt"):
        self.record = Record(Path(case_path).resolve().parent / record)
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self.store = Store()
        self.runners = []
        self.routers = []
        self._n_routers = n_routers

    async def __aenter__(self):
        return self

    async def __aexit__(self, *_):
        for router in self.routers:
            router.kill()
        for runner in self.runners:
            await runner.stop()
        await self.store.stop()
        self.record.close()
        if os.environ.get("KEEP") != "1":
            shutil.rmtree(self.folder, ignore_errors=True)

    def add_runner(self, runner_id, service, behave, **options):
        """Add a runner that is not started yet."""
        options["n_routers"] = self._n_routers
        runner = Runner(self.record, self.store, runner_id, service, behave, **options)
        self.runners.append(runner)
        return runner

    async def start_routers(self):
        """Start all routers and wait until they are ready; raise if they are not."""
        ips, ports = choose_addresses(self._n_routers)
        for number, ip in enumerate(ips, 1):
            router = Router(
                self.record,
                self.folder,
                f"edge-amman-a-{number}",
                ip,
                ports,
                await self.store.open(),
            )
            self.routers.append(router)
            router.start()
        await self.wait_ready(15.0)

    async def wait_ready(self, timeout_s):
        """Wait until all routers are ready; raise if they are not in time."""
        until = time.monotonic() + timeout_s
        while time.monotonic() < until:
            ready = [await router.is_ready() for router in self.routers]
            if all(ready):
                self.record.write("routers-ready")
                return
            await asyncio.sleep(0.1)
        raise OSError("the routers are not ready")


def make_route(prefix, kind, service, **more):
    """Return a route as the configuration holds it."""
    return {
        "name": f"r-{prefix.strip('/')}",
        "host": HOST_NAME,
        "prefix": prefix,
        "routeKind": kind,
        "timeoutMs": 3000,
        "goalMs": 225,
        "priority": 1,
        "service": service,
        "maxAttempts": 1,
        "public": False,
        "sticky": False,
        "resumable": False,
        **more,
    }


def make_configuration(version, routes, services):
    """Return a configuration with one tenant."""
    return {
        "version": version,
        "routes": routes,
        "services": services,
        "limits": {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": 4194304,
            "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15000,
        },
        "tenants": [
            {
                "name": TENANT,
                "apiKeys": [KEY],
                "priority": 1,
                "reserved": 100_000_000,
            }
        ],
    }


def run_case(main):
    """Run a case; exit with what it returns, or with 2 if it could not run."""
    try:
        code = asyncio.run(asyncio.wait_for(main(), 115.0))
    except Exception as error:
        print(f"the case could not run: {error!r}")
        code = 2
    raise SystemExit(code)
