"""Reads what the kernel knows of a TCP connection and asyncio does not report."""

from __future__ import annotations

import fcntl
import socket
import struct
import termios
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import asyncio

__all__ = ["count_unacknowledged", "is_reset"]

TCP_CLOSE = 7  # State of a connection that has ended, in Linux's tcp_info.


def count_unacknowledged(transport: asyncio.Transport) -> int:
    """Return the bytes in the kernel's send buffer that were not acknowledged.

    This is 0 for a connection that has ended. Without it, the progress of a slow reader
    would only show each time that the kernel asks for more, megabytes apart.
    """
    sock = transport.get_extra_info("socket")
    if sock is None or transport.is_closing():
        return 0
    try:
        answer = fcntl.ioctl(sock.fileno(), termios.TIOCOUTQ, bytes(4))
    except (OSError, ValueError):
        return 0
    return int(struct.unpack("i", answer)[0])


def is_reset(transport: asyncio.Transport) -> bool:
    """Whether a connection was reset, which is not reported while nothing is written.

    Its unacknowledged bytes are then dropped, so that they no longer count.
    """
    sock = transport.get_extra_info("socket")
    if sock is None or transport.is_closing():
        return True
    try:
        info = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 1)
    except OSError:
        return True
    return bool(info[0] == TCP_CLOSE)
