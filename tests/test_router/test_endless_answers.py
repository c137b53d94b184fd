"""Endless input must be cut off within a limit, and not fill the router's memory.

It may come from a backend server, the store, another router or a caller.
"""

from __future__ import annotations

import asyncio
import contextlib
import zlib

import pytest

from bronzesail.model import StoreVersion
from bronzesail.platform import decode_settings
from bronzesail.router import client
from bronzesail.router.client import MAX_CALL_BYTES, ClientPool
from bronzesail.router.crashing_parts import CrashingParts
from bronzesail.router.internal_http import MAX_REQUEST_BYTES, start_internal_server
from bronzesail.router.log import Log
from bronzesail.router.messages import Hello
from bronzesail.router.peer_sync import MAX_CONFIGURATION_BYTES, PeerSync
from bronzesail.router.peers import Peer
from bronzesail.router.poison import PoisonList
from bronzesail.router.relay import MAX_COLLECTED_BYTES, MAX_EVENT_BYTES
from bronzesail.router.store import StoreClient, StoreError
from bronzesail.router.store_era import StoreEra
from tests.endless_server import CAP_BYTES, EndlessServer
from tests.platform_standin import (
    WAIT_TIMEOUT_S,
    Deployment,
    RouterAddresses,
    echo_body,
    make_configuration,
    wait_until,
)
from tests.router_fakes import RecordingLog

CHUNK = b"x" * 65_536
# Allowance for the socket buffers of both ends: bytes that the sender has written, but
# the receiver has not read.
SOCKET_BYTES = 8_388_608
SEAL_HEADERS = b"X-Server-Seal: s\r\nX-Attempt-Id: %b\r\n"
STATUS_LINE = b"HTTP/1.1 200 OK\r\n"
CHUNKED_HEADER = b"Transfer-Encoding: chunked\r\n\r\n"

ENDLESS_HEADS = {
    "head of many lines": (STATUS_LINE, b"X-Filler: x\r\n" * 5000),
    "head of one line": (STATUS_LINE + b"X-Filler: ", CHUNK),
    "interim heads": (b"", b"HTTP/1.1 100 Continue\r\n\r\n" * 3000),
}
ENDLESS_FRAMING = {
    "chunk extension": (STATUS_LINE + SEAL_HEADERS + CHUNKED_HEADER + b"1;x=", CHUNK),
    "trailers": (
        STATUS_LINE + SEAL_HEADERS + CHUNKED_HEADER + b"1\r\nx\r\n0\r\n",
        b"X-Filler: x\r\n" * 5000,
    ),
    "one trailer": (
        STATUS_LINE + SEAL_HEADERS + CHUNKED_HEADER + b"1\r\nx\r\n0\r\nX-Filler: ",
        CHUNK,
    ),
}
ENDLESS_BODIES = {
    "body of chunks": (
        STATUS_LINE + SEAL_HEADERS + CHUNKED_HEADER,
        b"10000\r\n" + CHUNK + b"\r\n",
    ),
    "body until the end": (STATUS_LINE + SEAL_HEADERS + b"\r\n", CHUNK),
    "body of a length": (
        STATUS_LINE + SEAL_HEADERS + b"Content-Length: 999999999999\r\n\r\n",
        CHUNK,
    ),
}
ENDLESS_RESPONSES = ENDLESS_HEADS | ENDLESS_FRAMING | ENDLESS_BODIES


@pytest.fixture(params=ENDLESS_RESPONSES.values(), ids=list(ENDLESS_RESPONSES))
def endless(request):
    """Return a server with one kind of endless response."""
    return EndlessServer(*request.param)


async def start_configured_router(deployment):
    """Return a router that has received its configuration."""
    deployment.store.put("op", "config", make_configuration())
    router = await deployment.start_router("h1")
    await wait_until(lambda: router.app.configuration.current is not None)
    return router


@pytest.mark.parametrize("path", ["/look/1", "/book/1", "/chat/1", "/talk/1"])
def test_an_endless_response_of_a_server_is_cut_off(tmp_path, endless, path):
    async def run():
        async with Deployment(tmp_path) as deployment:
            router = await start_configured_router(deployment)
            host, port = await endless.start()
            service = "app" if path in ("/look/1", "/book/1") else "llm"
            entry = {
                "service": service, "address": f"{host}:{port}", "zone": "z1",
                "version": "v1", "slots": 8, "state": "ready", "coldLeftMs": 0,
                "sequence": 1,
            }  # fmt: skip
            deployment.store.put("servers", "e1", entry)
            await wait_until(router.app.is_ready)
            method = "GET" if path == "/look/1" else "POST"
            status, _, body = await deployment.send(router, path, method=method)
            assert status in (0, 502, 504) or body is None
            await wait_until(lambda: not endless.open_connections)
            endless.close()

    asyncio.run(run())
    limit = max(MAX_COLLECTED_BYTES, MAX_EVENT_BYTES)
    assert endless.sent_bytes <= limit + SOCKET_BYTES


@pytest.mark.parametrize("call", ["read_table", "watch", "transact"])
def test_an_endless_response_of_the_store_is_cut_off(tmp_path, endless, call):
    async def run():
        host, port = await endless.start()
        deployment = Deployment(tmp_path)
        path = deployment.write_settings(
            "h1", RouterAddresses.choose(), store=f"{host}:{port}"
        )
        log = RecordingLog()
        store = StoreClient(
            asyncio.get_running_loop(),
            decode_settings(path.read_text()),
            StoreEra(log),
            log,
        )
        since = StoreVersion(0, 1)
        arguments = {"read_table": ("op",), "watch": ("op", since, 0.1)}
        with pytest.raises(StoreError):
            await getattr(store, call)(*arguments.get(call, ([], [])))
        await wait_until(lambda: not endless.open_connections)
        endless.close()

    asyncio.run(run())
    assert endless.sent_bytes <= MAX_CALL_BYTES + SOCKET_BYTES


def test_a_response_that_trickles_without_end_is_cut_off(tmp_path, monkeypatch):
    monkeypatch.setattr(client, "MAX_TRANSFER_S", 0.2)
    is_closed = asyncio.Event()

    async def send_slowly(reader, writer):
        writer.write(STATUS_LINE + b"\r\n")
        while not reader.at_eof():
            writer.write(b"x")
            with contextlib.suppress(TimeoutError, ConnectionError):
                async with asyncio.timeout(0.05):
                    await reader.read(65_536)
        is_closed.set()
        writer.close()

    async def run():
        server = await asyncio.start_server(send_slowly, "127.0.0.1", 0)
        address = server.sockets[0].getsockname()[:2]
        news, fakes = make_news(tmp_path)
        await news._fetch_configuration(make_peer(address))
        assert not fakes.offered
        async with asyncio.timeout(WAIT_TIMEOUT_S):
            await is_closed.wait()
        server.close()

    asyncio.run(run())


class NewsFakes:
    """Configuration, directory and neighbourhood of a router that has received none.

    `offered` holds the configuration that was offered last.
    """

    version = 0
    store_version = StoreVersion()
    offered = ()

    def apply_if_newer(self, encoded, source):
        self.offered = (encoded,)


def make_news(folder):
    """Return a `News` object and the fakes that record what it offers."""
    loop = asyncio.get_running_loop()
    fakes = NewsFakes()
    with open(folder / "news.log", "wb") as file:
        log = Log("h1", file.fileno())
        news = PeerSync(
            loop,
            log,
            ClientPool(loop),
            fakes,
            fakes,
            fakes,
            lambda: False,
            lambda: 0,
            PoisonList(loop.time),
            CrashingParts(loop.time),
        )
    return news, fakes


def make_peer(address):
    """Return a peer whose hello announces a newer configuration."""
    hello = Hello("h2", "i", f"{address[0]}:{address[1]}", 9, {})
    return Peer(hello=hello, address=address, last_hello_at=0.0)


@pytest.mark.parametrize("fetch", ["_fetch_configuration", "_fetch_directory"])
def test_an_endless_response_of_another_router_is_cut_off(tmp_path, endless, fetch):
    async def run():
        address = await endless.start()
        news, fakes = make_news(tmp_path)
        await getattr(news, fetch)(make_peer(address[:2]))
        assert not fakes.offered
        await wait_until(lambda: not endless.open_connections)
        endless.close()

    asyncio.run(run())
    assert endless.sent_bytes <= MAX_CALL_BYTES + SOCKET_BYTES


# A compressed response within the limit of a call may expand to a thousand times its
# size: 1 MB to 1 GB.
def test_a_compressed_configuration_above_the_limit_is_not_decompressed(tmp_path):
    compressed = zlib.compress(b"x" * (MAX_CONFIGURATION_BYTES + 1))

    async def run():
        server = await start_internal_server(
            asyncio.get_running_loop(), ("127.0.0.1", 0), lambda path: (200, compressed)
        )
        news, fakes = make_news(tmp_path)
        await news._fetch_configuration(make_peer(server.sockets[0].getsockname()[:2]))
        assert not fakes.offered
        server.close()

    asyncio.run(run())


@pytest.mark.parametrize(
    ("prefix", "chunk"),
    [
        (b"GET /", CHUNK),
        (b"GET / HTTP/1.1\r\nX-Filler: ", CHUNK),
        (b"GET / HTTP/1.1\r\n", b"X-Filler: x\r\n" * 5000),
        (b"POST / HTTP/1.1\r\nContent-Length: 99999999999\r\n\r\n", CHUNK),
    ],
    ids=["path", "one line", "many lines", "body"],
)
def test_an_endless_request_of_another_router_is_cut_off(prefix, chunk):
    async def run():
        server = await start_internal_server(
            asyncio.get_running_loop(), ("127.0.0.1", 0), lambda path: (200, b"")
        )
        reader, writer = await asyncio.open_connection(
            *server.sockets[0].getsockname()[:2]
        )
        sent_bytes = 0
        writer.write(prefix)
        try:
            while sent_bytes < CAP_BYTES:
                writer.write(chunk)
                await writer.drain()
                sent_bytes += len(chunk)
        except ConnectionError:
            pass
        writer.close()
        server.close()
        assert sent_bytes <= MAX_REQUEST_BYTES + SOCKET_BYTES

    asyncio.run(run())


# The limit of 16 MB for each response does not suffice: hundreds of responses may be
# collected at once. They share a limit of the process.
def test_many_large_responses_at_once_stay_within_the_memory_limit(tmp_path):
    n_endless, n_plain = 12, 6

    async def run():
        async with Deployment(tmp_path) as deployment:
            router = await start_configured_router(deployment)
            memory = router.app.services.answer_memory
            endless = EndlessServer(STATUS_LINE + SEAL_HEADERS + b"\r\n", CHUNK)
            host, port = await endless.start()
            backend = await deployment.start_backend("p1", "app", echo_body)
            entry = backend.make_entry() | {
                "service": "llm", "address": f"{host}:{port}", "slots": 64,
            }  # fmt: skip
            deployment.store.put("servers", "e1", entry)
            await wait_until(lambda: len(router.app.directory) == 2)
            configuration = make_configuration(2)
            configuration["routes"][0] |= {"routeKind": "non_idempotent"}
            deployment.store.put("op", "config", configuration)
            await wait_until(lambda: router.app.configuration.version == 2)
            large = [
                asyncio.create_task(deployment.send(router, "/chat/1"))
                for _ in range(n_endless)
            ]
            await wait_until(lambda: memory.held_bytes > 0)
            plain = await asyncio.gather(
                *(deployment.send(router, "/book/1", b"a") for _ in range(n_plain))
            )
            assert [(status, body) for status, _, body in plain] == [
                (200, b"a")
            ] * n_plain
            responses = await asyncio.gather(*large)
            assert {status for status, _, _ in responses} <= {502, 504}
            assert memory.peak_bytes <= memory.limit_bytes
            assert memory.held_bytes == 0
            endless.close()

    asyncio.run(run())


def test_an_event_in_many_chunks_is_relayed_whole(tmp_path):
    async def answer(request, responder, headers):
        await responder.start(200, headers)
        for _ in range(2000):
            await responder.write(b"data: 1\n")
        await responder.write(b"\n")
        await responder.finish()

    async def run():
        async with Deployment(tmp_path) as deployment:
            router = await start_configured_router(deployment)
            await deployment.start_backend("e1", "llm", answer)
            await wait_until(router.app.is_ready)
            status, _, body = await deployment.send(router, "/chat/1")
            assert (status, body) == (200, b"data: 1\n" * 2000 + b"\n")

    asyncio.run(run())


# The parser reports only complete lines, so the size of a line that never ends must be
# checked separately.
@pytest.mark.parametrize(
    "prefix",
    [
        b"GET /look/1 HTTP/1.1\r\nHost: x\r\nX-Filler: ",
        b"POST /book/1 HTTP/1.1\r\nHost: x\r\n" + CHUNKED_HEADER + b"1;x=",
        b"POST /book/1 HTTP/1.1\r\nHost: x\r\n"
        + CHUNKED_HEADER
        + b"1\r\nx\r\n0\r\nX-Filler: ",
    ],
    ids=["header", "chunk extension", "trailer"],
)
def test_an_endless_line_of_a_caller_is_cut_off(tmp_path, prefix):
    async def run():
        async with Deployment(tmp_path) as deployment:
            router = await start_configured_router(deployment)
            sent_bytes = 0
            reader, writer = await asyncio.open_connection(router.ip, router.port)
            writer.write(prefix)
            try:
                while sent_bytes < CAP_BYTES:
                    writer.write(CHUNK)
                    await writer.drain()
                    sent_bytes += len(CHUNK)
            except ConnectionError:
                pass
            writer.close()
            assert sent_bytes <= SOCKET_BYTES

    asyncio.run(run())
