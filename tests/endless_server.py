"""A server, a store or a router whose answers never end."""

from __future__ import annotations

import asyncio

CAP_BYTES = 67_108_864  # Of one answer; a test that gets here has failed.


class EndlessServer:
    """Answers each request with a prefix and then with one piece for ever.

    Parameters
    ----------
    prefix : bytes
        What comes first; ``%b`` in it stands for the request's id.
    piece : bytes
        What is repeated.
    """

    def __init__(self, prefix, piece):
        self.sent_bytes = 0
        self.open = 0
        self._prefix = prefix
        self._piece = piece

    async def start(self):
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        return self._server.sockets[0].getsockname()

    def close(self):
        self._server.close()

    async def _serve(self, reader, writer):
        self.open += 1
        try:
            head = await reader.readuntil(b"\r\n\r\n")
            prefix = self._prefix
            if b"%b" in prefix:
                prefix %= find_request_id(head)
            writer.write(prefix)
            for _ in range(CAP_BYTES // len(self._piece)):
                writer.write(self._piece)
                await writer.drain()
                self.sent_bytes += len(self._piece)
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            self.open -= 1
            writer.close()


def find_request_id(head):
    """Return the id of the request that `head` begins."""
    for line in head.split(b"\r\n"):
        name, _, value = line.partition(b": ")
        if name.lower() == b"x-attempt-id":
            return value
    return b"none"
