"""Bytes without end, from a server, the store or another router, are not read on."""

from __future__ import annotations

import asyncio
import contextlib
import zlib

import pytest

from bronzesail.platform import decode_settings
from bronzesail.router import client
from bronzesail.router.client import MAX_CALL_BYTES, ClientPool
from bronzesail.router.internal_http import MAX_REQUEST_BYTES, start_internal_server
from bronzesail.router.log import Log
from bronzesail.router.news import MAX_CONFIGURATION_BYTES, News
from bronzesail.router.peers import Hello, Peer
from bronzesail.router.relay import MAX_COLLECTED_BYTES, MAX_EVENT_BYTES
from bronzesail.router.store import StoreClient, StoreError
from tests.endless_server import CAP_BYTES, EndlessServer
from tests.platform_standin import (
    WAIT_TIMEOUT_S,
    Deployment,
    RouterAddresses,
    echo_body,
    make_configuration,
    wait_until,
)

PIECE = b"x" * 65_536
SOCKET_BYTES = 8_388_608  # Of both ends' buffers, which the sender fills unread.
SEAL = b"X-Server-Seal: s\r\nX-Attempt-Id: %b\r\n"
OK = b"HTTP/1.1 200 OK\r\n"
CHUNKED = b"Transfer-Encoding: chunked\r\n\r\n"

HEADS = {
    "head of many lines": (OK, b"X-Filler: x\r\n" * 5000),
    "head of one line": (OK + b"X-Filler: ", PIECE),
    "interim heads": (b"", b"HTTP/1.1 100 Continue\r\n\r\n" * 3000),
}
FRAMES = {
    "chunk extension": (OK + SEAL + CHUNKED + b"1;x=", PIECE),
    "trailers": (OK + SEAL + CHUNKED + b"1\r\nx\r\n0\r\n", b"X-Filler: x\r\n" * 5000),
    "one trailer": (OK + SEAL + CHUNKED + b"1\r\nx\r\n0\r\nX-Filler: ", PIECE),
}
BODIES = {
    "body of chunks": (OK + SEAL + CHUNKED, b"10000\r\n" + PIECE + b"\r\n"),
    "body until the end": (OK + SEAL + b"\r\n", PIECE),
    "body of a length": (OK + SEAL + b"Content-Length: 999999999999\r\n\r\n", PIECE),
}
ALL = HEADS | FRAMES | BODIES


@pytest.fixture(params=ALL.values(), ids=list(ALL))
def endless(request):
    return EndlessServer(*request.param)


async def start_settled_router(deployment):
    """Return a ready router whose store, log and budgets are in step."""
    deployment.store.put("op", "config", make_configuration())
    router = await deployment.start_router("h1")
    await wait_until(lambda: router.app.configuration.current is not None)
    return router


@pytest.mark.parametrize("path", ["/look/1", "/book/1", "/chat/1", "/talk/1"])
def test_an_endless_answer_of_a_server_is_broken_off(tmp_path, endless, path):
    async def run():
        async with Deployment(tmp_path) as deployment:
            router = await start_settled_router(deployment)
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
            await wait_until(lambda: not endless.open)
            endless.close()

    asyncio.run(run())
    limit = max(MAX_COLLECTED_BYTES, MAX_EVENT_BYTES)
    assert endless.sent_bytes <= limit + SOCKET_BYTES


@pytest.mark.parametrize("call", ["read_table", "watch", "transact"])
def test_an_endless_answer_of_the_store_is_broken_off(tmp_path, endless, call):
    async def run():
        host, port = await endless.start()
        deployment = Deployment(tmp_path)
        path = deployment.write_settings(
            "h1", RouterAddresses.choose(), store=f"{host}:{port}"
        )
        store = StoreClient(
            asyncio.get_running_loop(), decode_settings(path.read_text())
        )
        arguments = {"read_table": ("op",), "watch": ("op", 1, 0.1)}
        with pytest.raises(StoreError):
            await getattr(store, call)(*arguments.get(call, ([], [])))
        await wait_until(lambda: not endless.open)
        endless.close()

    asyncio.run(run())
    assert endless.sent_bytes <= MAX_CALL_BYTES + SOCKET_BYTES


def test_an_answer_that_comes_in_drops_for_ever_is_broken_off(tmp_path, monkeypatch):
    monkeypatch.setattr(client, "MAX_TRANSFER_S", 0.2)
    is_closed = asyncio.Event()

    async def drip(reader, writer):
        writer.write(OK + b"\r\n")
        while not reader.at_eof():
            writer.write(b"x")
            with contextlib.suppress(TimeoutError, ConnectionError):
                async with asyncio.timeout(0.05):
                    await reader.read(65_536)
        is_closed.set()
        writer.close()

    async def run():
        server = await asyncio.start_server(drip, "127.0.0.1", 0)
        address = server.sockets[0].getsockname()[:2]
        news, fakes = make_news(tmp_path)
        await news._fetch_configuration(make_peer(address))
        assert not fakes.offered
        async with asyncio.timeout(WAIT_TIMEOUT_S):
            await is_closed.wait()
        server.close()

    asyncio.run(run())


class NewsFakes:
    """What `News` needs of a router that lacks everything."""

    version = 0
    store_version = 0
    offered = ()

    def apply_if_newer(self, encoded, source):
        self.offered = (encoded,)


def make_news(folder):
    """Return news of a router, and what it offers of configurations."""
    loop = asyncio.get_running_loop()
    fakes = NewsFakes()
    with open(folder / "news.log", "wb") as file:
        log = Log("h1", file.fileno())
        news = News(
            loop, log, ClientPool(loop), fakes, fakes, fakes, lambda: False, lambda: 0
        )
    return news, fakes


def make_peer(address):
    """Return a peer that claims to know a newer configuration."""
    hello = Hello("h2", "i", f"{address[0]}:{address[1]}", 9, "k", {}, {})
    return Peer(hello=hello, address=address, last_hello_at=0.0)


@pytest.mark.parametrize("fetch", ["_fetch_configuration", "_fetch_directory"])
def test_an_endless_answer_of_another_router_is_broken_off(tmp_path, endless, fetch):
    async def run():
        address = await endless.start()
        news, fakes = make_news(tmp_path)
        await getattr(news, fetch)(make_peer(address[:2]))
        assert not fakes.offered
        await wait_until(lambda: not endless.open)
        endless.close()

    asyncio.run(run())
    assert endless.sent_bytes <= MAX_CALL_BYTES + SOCKET_BYTES


# A megabyte of a peer's answer may stand for a gigabyte.
def test_a_packed_configuration_without_end_is_not_unpacked(tmp_path):
    packed = zlib.compress(b"x" * (MAX_CONFIGURATION_BYTES + 1))

    async def run():
        server = await start_internal_server(
            asyncio.get_running_loop(), ("127.0.0.1", 0), lambda path: (200, packed)
        )
        news, fakes = make_news(tmp_path)
        await news._fetch_configuration(make_peer(server.sockets[0].getsockname()[:2]))
        assert not fakes.offered
        server.close()

    asyncio.run(run())


@pytest.mark.parametrize(
    ("prefix", "piece"),
    [
        (b"GET /", PIECE),
        (b"GET / HTTP/1.1\r\nX-Filler: ", PIECE),
        (b"GET / HTTP/1.1\r\n", b"X-Filler: x\r\n" * 5000),
        (b"POST / HTTP/1.1\r\nContent-Length: 99999999999\r\n\r\n", PIECE),
    ],
    ids=["path", "one line", "many lines", "body"],
)
def test_an_endless_question_of_another_router_is_broken_off(prefix, piece):
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
                writer.write(piece)
                await writer.drain()
                sent_bytes += len(piece)
        except ConnectionError:
            pass
        writer.close()
        server.close()
        assert sent_bytes <= MAX_REQUEST_BYTES + SOCKET_BYTES

    asyncio.run(run())


# Sixteen megabytes were allowed for each answer, and for each of hundreds at once.
def test_many_large_answers_at_once_stay_within_the_memory_of_the_process(tmp_path):
    n_endless, n_plain = 12, 6

    async def run():
        async with Deployment(tmp_path) as deployment:
            router = await start_settled_router(deployment)
            memory = router.app.services.answer_memory
            endless = EndlessServer(OK + SEAL + b"\r\n", PIECE)
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
            answers = await asyncio.gather(*large)
            assert {status for status, _, _ in answers} <= {502, 504}
            assert memory.most_bytes <= memory.limit_bytes
            assert memory.held_bytes == 0
            endless.close()

    asyncio.run(run())


def test_an_event_in_many_pieces_is_handed_on_whole(tmp_path):
    async def answer(request, responder, headers):
        await responder.start(200, headers)
        for _ in range(2000):
            await responder.write(b"data: 1\n")
        await responder.write(b"\n")
        await responder.finish()

    async def run():
        async with Deployment(tmp_path) as deployment:
            router = await start_settled_router(deployment)
            await deployment.start_backend("e1", "llm", answer)
            await wait_until(router.app.is_ready)
            status, _, body = await deployment.send(router, "/chat/1")
            assert (status, body) == (200, b"data: 1\n" * 2000 + b"\n")

    asyncio.run(run())


# A caller's header line was counted when it was complete, and this one never is.
@pytest.mark.parametrize(
    "prefix",
    [
        b"GET /look/1 HTTP/1.1\r\nHost: x\r\nX-Filler: ",
        b"POST /book/1 HTTP/1.1\r\nHost: x\r\n" + CHUNKED + b"1;x=",
        b"POST /book/1 HTTP/1.1\r\nHost: x\r\n"
        + CHUNKED
        + b"1\r\nx\r\n0\r\nX-Filler: ",
    ],
    ids=["header", "chunk extension", "trailer"],
)
def test_an_endless_line_of_a_caller_is_refused(tmp_path, prefix):
    async def run():
        async with Deployment(tmp_path) as deployment:
            router = await start_settled_router(deployment)
            sent_bytes = 0
            reader, writer = await asyncio.open_connection(router.ip, router.port)
            writer.write(prefix)
            try:
                while sent_bytes < CAP_BYTES:
                    writer.write(PIECE)
                    await writer.drain()
                    sent_bytes += len(PIECE)
            except ConnectionError:
                pass
            writer.close()
            assert sent_bytes <= SOCKET_BYTES

    asyncio.run(run())
