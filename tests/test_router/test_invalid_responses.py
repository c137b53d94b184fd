"""Responses that are broken off while their request is being sent, or have no status.

A part of a response must never be taken for the whole one.
"""

from __future__ import annotations

import asyncio
import contextlib
import socket
import struct

import pytest
import uvloop

from bronzesail.model import RowKey, RowWrite
from bronzesail.platform import decode_settings
from bronzesail.router.client import Call, ClientPool
from bronzesail.router.forwarding import Target
from bronzesail.router.store import StoreClient, StoreError
from bronzesail.router.store_era import StoreEra
from tests.endless_server import find_request_id
from tests.platform_standin import (
    WAIT_TIMEOUT_S,
    Deployment,
    RouterAddresses,
    make_configuration,
    wait_until,
)
from tests.router_fakes import RecordingLog

SEAL = b"X-Server-Seal: s\r\nX-Attempt-Id: %b\r\n\r\n"
PART = b'{"version": 7}'
HEADS = {
    "1.1": b"HTTP/1.1 200 OK\r\n",
    "1.0": b"HTTP/1.0 200 OK\r\n",
    "1.0 keep-alive": b"HTTP/1.0 200 OK\r\nConnection: keep-alive\r\n",
    "after 100": b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\n",
    "after 103": b"HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\nHTTP/1.1 200 OK\r\n",
}
UPLOAD = b"x" * 12_000_000  # More than both kernels' buffers take.


class BreakingServer:
    """Answers before it has read the body, and then breaks the connection off.

    Parameters
    ----------
    head : bytes
        Status line and headers before those of `SEAL`.
    ending : str
        "reset"; "half-close" for an end of the response before the reset; "close" for
        an end of the connection with unread data; "half-close, read" to go on reading.
    """

    def __init__(self, head, ending):
        self._head = head
        self._ending = ending

    async def start(self, listener=None):
        """Listen on a free port of the loopback address, and return the address."""
        listener = listener or socket.create_server(("127.0.0.1", 0))
        self._server = await asyncio.start_server(self._serve, sock=listener)
        return listener.getsockname()

    def close(self):
        """Stop listening."""
        self._server.close()

    async def _serve(self, reader, writer):
        head = await reader.readuntil(b"\r\n\r\n")
        writer.transport.pause_reading()
        await asyncio.sleep(0.1)  # The upload fills the kernels' buffers.
        writer.write(self._head + SEAL % find_request_id(head) + PART)
        await writer.drain()
        sock = writer.get_extra_info("socket")
        if self._ending.startswith("half-close"):
            writer.write_eof()
        await asyncio.sleep(0.1)  # What was sent arrives before the reset.
        if self._ending == "half-close, read":
            with contextlib.suppress(ConnectionError):
                writer.transport.resume_reading()
                await reader.read()
        if self._ending in ("reset", "half-close"):
            linger = struct.pack("ii", 1, 0)
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
        writer.transport.abort()


async def upload(head, ending, body=UPLOAD, receive_buffer=None, send_buffer=None):
    """Return the response of a `BreakingServer`, None if it is not complete."""
    server = BreakingServer(head, ending)
    listener = socket.create_server(("127.0.0.1", 0))
    if receive_buffer is not None:
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer)
    loop = asyncio.get_running_loop()
    connection = await ClientPool(loop).open(await server.start(listener))
    if send_buffer is not None:
        sock = connection.transport.get_extra_info("socket")
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, send_buffer)
    call = Call(loop)
    head = b"POST / HTTP/1.1\r\nContent-Length: %d\r\n\r\n" % len(body)
    connection.start(head + body, call)
    try:
        head, body = await call.wait(WAIT_TIMEOUT_S)
    except OSError:
        return None
    finally:
        connection.close()
        server.close()
    return head.status, body


# A server may answer early and read the rest of the request all the same.
@pytest.mark.parametrize("run_loop", [asyncio.run, uvloop.run])
@pytest.mark.parametrize("ending", ["reset", "half-close", "close", "half-close, read"])
@pytest.mark.parametrize("head", HEADS.values(), ids=list(HEADS))
def test_a_response_broken_off_during_its_upload_is_not_whole(head, ending, run_loop):
    expected = (200, PART) if ending == "half-close, read" else None
    assert run_loop(upload(head, ending)) == expected


# The rest of the upload is only in the kernel's buffer, where a reset is not reported.
@pytest.mark.parametrize("run_loop", [asyncio.run, uvloop.run])
def test_an_upload_in_the_kernels_buffer_counts_as_being_sent(run_loop):
    body = b"x" * 200_000
    call = upload(HEADS["1.1"], "half-close", body, 4096, 400_000)
    assert run_loop(call) is None


async def send_to(tmp_path, head, ending, path="/book/1", body=UPLOAD, is_peer=False):
    """Return status and body that a caller gets if a server answers with `head`.

    With `is_peer`, another router answers, which the request is forwarded to.
    """
    async with Deployment(tmp_path) as deployment:
        limits = {"maxBodyBytes": 20_000_000, "headerTimeoutMs": 3000}
        deployment.store.put("op", "config", make_configuration(limits=limits))
        router = await deployment.start_router("h1")
        server = BreakingServer(head, ending)
        address = await server.start()
        entry = {
            "service": "app" if path == "/book/1" else "llm", "zone": "z1",
            "address": f"{address[0]}:{address[1]}", "version": "v1", "slots": 8,
            "state": "ready", "coldLeftMs": 0, "sequence": 1,
        }  # fmt: skip
        deployment.store.put("servers", "e1", entry)
        await wait_until(router.app.is_ready)

        async def connect(service, excluded):
            return Target("h2", address, address), await router.app.pool.open(address)

        if is_peer:
            router.app.services.forwarder.connect = connect
            router.app.links.is_cut_off = lambda *_: True
        status, _, received = await deployment.send(router, path, body)
        server.close()
        return status, received


@pytest.mark.parametrize("ending", ["reset", "half-close"])
@pytest.mark.parametrize("path", ["/book/1", "/chat/1"])
@pytest.mark.parametrize("is_peer", [False, True], ids=["server", "router"])
def test_a_caller_does_not_get_a_part_as_the_whole(tmp_path, path, ending, is_peer):
    call = send_to(tmp_path, HEADS["1.1"], ending, path, is_peer=is_peer)
    status, received = asyncio.run(call)
    assert received is None or (status == 502 and PART not in received)


# RFC 9110 allows 100 to 599. A status below 200 was also skipped like an interim one,
# so that what followed it counted as the response.
@pytest.mark.parametrize("status", ["000", "0", "099", "99", "600", "999", "1000"])
@pytest.mark.parametrize("follow", [b"", b"\r\nHTTP/1.1 200 OK\r\n"])
def test_a_status_out_of_range_is_a_malformed_response(tmp_path, status, follow):
    head = b"HTTP/1.1 %b X\r\n" % status.encode() + follow + b"Content-Length: 14\r\n"
    found, received = asyncio.run(send_to(tmp_path, head, "close", body=b"a"))
    assert found == 502
    assert PART not in received


@pytest.mark.parametrize(
    ("head", "ending", "reason"),
    [(b"HTTP/1.1 %b X\r\n" % s, "close", "malformed") for s in (b"099", b"600")]
    + [(HEADS["1.1"], ending, "connection") for ending in ("reset", "half-close")],
)
def test_a_transaction_with_an_invalid_answer_has_an_unknown_outcome(
    tmp_path, head, ending, reason
):
    async def run():
        server = BreakingServer(head, ending)
        host, port = await server.start()
        path = Deployment(tmp_path).write_settings(
            "h1", RouterAddresses.choose(), store=f"{host}:{port}"
        )
        log = RecordingLog()
        settings = decode_settings(path.read_text())
        store = StoreClient(asyncio.get_running_loop(), settings, StoreEra(log), log)
        with pytest.raises(StoreError, match=reason) as raised:
            await store.transact([], [RowWrite(RowKey("op", "", "k"), UPLOAD)])
        server.close()
        assert raised.value.is_unknown

    asyncio.run(run())
