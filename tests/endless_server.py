"""A server with endless responses, in place of a backend server, store or router."""

from __future__ import annotations

import asyncio

# Sent bytes after which a response ends nevertheless. A test fails if so many are read,
# and the limit keeps it from running without end.
CAP_BYTES = 67_108_864


class EndlessServer:
    """Responds to each request with a prefix and then one chunk of data, repeated.

    Parameters
    ----------
    prefix : bytes
        Start of the response; ``%b`` in it is replaced by the request's id.
    chunk : bytes
        Data that is repeated.

    Attributes
    ----------
    sent_bytes : int
        Bytes of repeated data that were sent, over all connections.
    open_connections : int
        Connections that are open now.
    """

    def __init__(self, prefix, chunk):
        self.sent_bytes = 0
        self.open_connections = 0
        self._prefix = prefix
        self._chunk = chunk

    async def start(self):
        """Listen on a free port of the loopback address, and return the address."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        return self._server.sockets[0].getsockname()

    def close(self):
        """Stop listening."""
        self._server.close()

    async def _serve(self, reader, writer):
        self.open_connections += 1
        try:
            head = await reader.readuntil(b"\r\n\r\n")
            prefix = self._prefix
            if b"%b" in prefix:
                prefix %= find_request_id(head)
            writer.write(prefix)
            for _ in range(CAP_BYTES // len(self._chunk)):
                writer.write(self._chunk)
                await writer.drain()
                self.sent_bytes += len(self._chunk)
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            self.open_connections -= 1
            writer.close()


def find_request_id(head):
    """Return the request id in the head of a request, ``none`` if there is none."""
    for line in head.split(b"\r\n"):
        name, _, value = line.partition(b": ")
        if name.lower() == b"x-attempt-id":
            return value
    return b"none"
