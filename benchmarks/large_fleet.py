"""Measure the processor time of a router at rest in data centres of several sizes.

A router without sockets gets the hellos that the others send it within some seconds,
sends its own, and takes its periodic decisions. ``python -m benchmarks.large_fleet
--profile`` also shows the functions that take most of the time at the largest size.
"""

from __future__ import annotations

import argparse
import asyncio
import cProfile
import os
import pstats
import tempfile
import time
from pathlib import Path

import msgspec

from bronzesail.router.application import Application
from bronzesail.router.clocks import read_clock
from bronzesail.router.messages import Hello
from bronzesail.router.peers import HELLO_INTERVAL_S
from bronzesail.router.watches import STANDBY_POLL_S

SIZES = (10, 33, 100, 195)  # Routers of one data centre.
N_ACCOUNTS = 40
SECONDS = 4  # Measured, after a second in which the router hears of the others.
SETTINGS = """
nodeName = "edge-0"
ip = "127.0.0.1"
zone = "z1"
internalPorts = [7340, 7340]
[zones]
z1 = "r1"
z2 = "r2"
[listen]
frontend = "127.0.0.1:8227"
ready = "127.0.0.1:8220"
[limits]
linkMbps = 10
[platform]
address = "127.0.0.1:8223"
"""


class RestingRouter:
    """One router that is connected to nothing, on a clock that is set by hand."""

    def __init__(self, folder: Path, size: int, loop: asyncio.AbstractEventLoop):
        path = folder / f"{size}.toml"
        path.write_text(SETTINGS)
        self.app = Application(loop, str(path), read_clock(), os.open(os.devnull, 1))
        self.sent = 0
        self.app.peers._send = self._count
        self.hosts = [f"edge-{number}" for number in range(1, size)]
        for number, host in enumerate(self.hosts):
            address = (f"10.0.{number // 250}.{number % 250}", 7340)
            self.app.neighbourhood.note_row(host, "z1", address, 100.0 + number)
        for number in range(12):
            self.app.neighbourhood.note_row(f"far-{number}", "z2", ("10.1.0.1", 1), 1)

    def _count(self, data: bytes, address: tuple[str, int]) -> None:
        self.sent += 1

    def make_hello(self, host: str) -> bytes:
        """Return a hello of another router."""
        number = self.hosts.index(host)
        return msgspec.msgpack.encode(
            Hello(
                host=host,
                incarnation=f"{number:012x}",
                address=f"10.0.{number // 250}.{number % 250}:7340",
                config_version=0,
                holder_key=f"{host}.{number:012x}",
                free={f"account-{n}": 1000 + n for n in range(0, N_ACCOUNTS, 8)},
                zone="z1",
                link_mbps=100.0 + number,
                store_latency_s=0.004,
            )
        )

    def rest(self, seconds: int) -> int:
        """Take what arrives in some seconds; return the number of hellos."""
        n_received = 0
        hellos = [self.make_hello(host) for host in self.hosts]
        for _ in range(round(seconds / HELLO_INTERVAL_S)):
            for hello in hellos:
                self.app.peers.datagram_received(hello, ("10.0.0.1", 7340))
                n_received += 1
            self.app.peers.send_hello()
        for _ in range(round(seconds / STANDBY_POLL_S)):
            self.app._may_follow_store()
            self.app._may_follow_store()
        return n_received


async def measure(folder: Path, size: int) -> None:
    """Print the figures of one size."""
    router = RestingRouter(folder, size, asyncio.get_running_loop())
    router.rest(1)
    router.sent = 0
    begin = time.process_time()
    n_received = router.rest(SECONDS)
    used_s = time.process_time() - begin
    print(
        f"{size:4} routers: {1000 * used_s / SECONDS:7.2f} ms a second,"
        f" {n_received / SECONDS:6.1f} hellos in, {router.sent / SECONDS:6.1f} out"
    )


def main() -> None:
    """Measure all sizes."""
    parser = argparse.ArgumentParser(description=__doc__.partition("\n")[0])
    parser.add_argument("--profile", action="store_true")
    is_profiled = parser.parse_args().profile
    with tempfile.TemporaryDirectory() as name:
        for size in SIZES:
            profile = cProfile.Profile()
            if is_profiled and size == SIZES[-1]:
                profile.enable()
            asyncio.run(measure(Path(name), size))
            profile.disable()
    if is_profiled:
        pstats.Stats(profile).sort_stats("tottime").print_stats(15)


if __name__ == "__main__":
    main()
