"""Tests of the HTTP server and client against each other."""

from __future__ import annotations

import asyncio
import json
import socket

import pytest

from bronzesail.http import (
    HttpCall,
    HttpClient,
    HttpRequest,
    HttpServer,
    NotSentError,
    Responder,
    ServerLimits,
    send_json,
)


async def echo_length(request: HttpRequest, responder: Responder) -> None:
    await send_json(responder, 200, {"length": len(request.body)})


async def fetch_once(
    limits: ServerLimits, body: bytes
) -> tuple[int, dict[str, object]]:
    server = HttpServer(echo_length, limits)
    await server.start("127.0.0.1", 0)
    client = HttpClient()
    status, answer = await client.fetch(
        HttpCall(server.address, "POST", "/", body=body)
    )
    client.close()
    await server.close()
    return status, json.loads(answer)


def test_whole_body_arrives() -> None:
    status, answer = asyncio.run(fetch_once(ServerLimits(), b"abc"))
    assert (status, answer) == (200, {"length": 3})


def test_large_body_is_refused_as_not_run() -> None:
    status, answer = asyncio.run(fetch_once(ServerLimits(body_bytes=10), b"a" * 11))
    assert status == 413
    assert answer["code"] == "BZ1002"
    assert answer["not_run"] is True


def test_closed_port_is_not_sent() -> None:
    async def call() -> None:
        server = HttpServer(echo_length)
        await server.start("127.0.0.1", 0)
        address = server.address
        await server.close()
        await HttpClient().send(HttpCall(address, "GET", "/"))

    with pytest.raises(NotSentError):
        asyncio.run(call())


# A connection whose task had not begun when the server closed was served by its next
# start.
@pytest.mark.parametrize("n_turns", range(8))
def test_closing_ends_connections_that_were_just_accepted(n_turns: int) -> None:
    async def call() -> bytes:
        server = HttpServer(echo_length)
        await server.start("127.0.0.1", 0)
        ip, _, port = server.address.rpartition(":")
        with socket.create_connection((ip, int(port))) as sock:
            for _ in range(n_turns):
                await asyncio.sleep(0)
            await server.close()
            await server.start(ip, int(port))
            sock.setblocking(False)
            loop = asyncio.get_running_loop()
            try:
                await loop.sock_sendall(sock, b"GET / HTTP/1.1\r\nHost: x\r\n\r\n")
                async with asyncio.timeout(0.5):
                    return await loop.sock_recv(sock, 100)
            except (ConnectionError, TimeoutError):
                return b""
            finally:
                await server.close()

    assert asyncio.run(call()) == b""
