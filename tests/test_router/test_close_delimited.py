"""Responses that have neither a length nor chunks and end with their connection."""

from __future__ import annotations

import asyncio
import socket
import struct

import pytest

from tests.endless_server import find_request_id
from tests.platform_standin import Deployment, make_configuration, wait_until

HEAD = (
    b"HTTP/1.1 200 OK\r\nX-Attempt-Id: %b\r\nX-Server-Seal: s\r\n"
    b"Content-Type: text/event-stream\r\n\r\n"
)
EVENTS = b"id: 1\ndata: a\n\nid: 2\ndata: b\n\n"


class DelimitingServer:
    """Sends a body without framing, and then ends or resets the connection."""

    def __init__(self, body, is_reset):
        self._body = body
        self._is_reset = is_reset

    async def start(self):
        """Listen on a free port of the loopback address, and return the address."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        return self._server.sockets[0].getsockname()

    def close(self):
        """Stop listening."""
        self._server.close()

    async def _serve(self, reader, writer):
        head = await reader.readuntil(b"\r\n\r\n")
        writer.write(HEAD % find_request_id(head) + self._body)
        await writer.drain()
        if self._is_reset:
            await asyncio.sleep(0.1)  # What was sent arrives before the reset.
            sock = writer.get_extra_info("socket")
            linger = struct.pack("ii", 1, 0)
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
            writer.transport.abort()
        writer.close()


def send_once(tmp_path, path, body, is_reset=False):
    """Return status and body of a response that a router relays, None if it is cut."""

    async def run():
        async with Deployment(tmp_path) as deployment:
            deployment.store.put("op", "config", make_configuration())
            router = await deployment.start_router("h1")
            server = DelimitingServer(body, is_reset)
            host, port = await server.start()
            entry = {
                "service": "llm" if path == "/chat/1" else "app",
                "address": f"{host}:{port}", "zone": "z1", "version": "v1",
                "slots": 8, "state": "ready", "coldLeftMs": 0, "sequence": 1,
            }  # fmt: skip
            deployment.store.put("servers", "e1", entry)
            await wait_until(router.app.is_ready)
            await wait_until(lambda: len(router.app.directory) == 1)
            status, _, received = await deployment.send(router, path)
            server.close()
            return status, received

    return asyncio.run(run())


@pytest.mark.parametrize(("path", "body"), [("/chat/1", EVENTS), ("/book/1", b"x y")])
def test_a_response_that_ends_with_its_connection_is_whole(tmp_path, path, body):
    assert send_once(tmp_path, path, body) == (200, body)


def test_a_stream_that_ends_inside_an_event_has_been_broken_off(tmp_path):
    assert send_once(tmp_path, "/chat/1", EVENTS + b"id: 3\nda") == (200, None)


# A server that crashed after the head seemed to have answered with an empty stream.
def test_a_stream_that_ends_before_its_first_event_has_been_broken_off(tmp_path):
    status, _ = send_once(tmp_path, "/chat/1", b"")
    assert status == 502


@pytest.mark.parametrize(("path", "body"), [("/chat/1", EVENTS), ("/book/1", b"x y")])
def test_a_response_that_is_reset_is_not_whole(tmp_path, path, body):
    status, received = send_once(tmp_path, path, body, is_reset=True)
    assert received is None or status == 502
