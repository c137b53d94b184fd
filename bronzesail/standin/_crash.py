"""Crash and restart of a stand-in's server on the same address."""

from __future__ import annotations

import asyncio
import socket
from contextlib import contextmanager
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterator

    from ..http import HttpServer

__all__ = ["hold_port", "restart_after"]


@contextmanager
def hold_port(host: str, port: int) -> Iterator[None]:
    """Keep a port without listening, so that no other process is given it.

    Parameters
    ----------
    host : str
        IP address.
    port : int
        Port; connections to it are refused.

    Yields
    ------
    None
        While the port is kept.
    """
    with socket.socket(socket.AF_INET, socket.SOCK_STREAM) as holder:
        holder.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        holder.bind((host, port))
        yield


async def restart_after(server: HttpServer, away_s: float) -> None:
    """Close every connection at once and listen again on the same port later.

    Parameters
    ----------
    server : HttpServer
        The server.
    away_s : float
        Time without a listener, in seconds.
    """
    host, _, port = server.address.rpartition(":")
    await server.close()
    with hold_port(host, int(port)):
        await asyncio.sleep(away_s)
    await server.start(host, int(port))
