"""Tests of membership and peer connections over real sockets."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import cbor2
import pytest
import websockets.asyncio.client

from bronzesail.fleet import PeerRefusedError, PeerUnreachableError
from bronzesail.schema import (
    Acknowledgement,
    HostEntry,
    MemberEntry,
    PeerHello,
    PeerProof,
    PeerWelcome,
    RouterId,
    Row,
)
from bronzesail.schema.codec import decode_as, encode
from bronzesail.standin import LinkPath, LinkStandin
from tests.fleet_fakes import FakeFleet
from tests.request_fakes import wait_until

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from tests.fleet_fakes import FakeRouter


def run_with_fleet(
    n_routers: int, check: Callable[[FakeFleet], Awaitable[None]]
) -> None:
    async def run() -> None:
        fleet = FakeFleet()
        try:
            for index in range(n_routers):
                await fleet.add(f"router-{index}")
            await wait_until(lambda: is_complete(fleet))
            await check(fleet)
        finally:
            await fleet.stop()

    asyncio.run(run())


def is_complete(fleet: FakeFleet) -> bool:
    hosts = set(fleet.routers)
    for host, router in fleet.routers.items():
        if set(router.list_hosts()) != hosts - {host}:
            return False
    return True


def join_decision_texts(router: FakeRouter) -> str:
    return "\n".join(item.text for item in router.decisions.find("fleet"))


def test_killed_router_is_dropped_and_its_restart_is_another_peer() -> None:
    async def check(fleet: FakeFleet) -> None:
        killed = fleet.routers.pop("router-2")
        old = killed.fleet.own.router_id
        await killed.abort()
        await wait_until(lambda: is_complete(fleet))
        survivor = fleet.routers["router-0"]
        await wait_until(lambda: not survivor.fleet.is_listed(old))
        port = int(killed.fleet.peer_address.rpartition(":")[2])
        await fleet.add("router-2", bind_port=port)
        await wait_until(lambda: is_complete(fleet))
        with pytest.raises(PeerUnreachableError):
            await survivor.fleet.request(old, Acknowledgement(), 1.0)
        assert not survivor.fleet.is_listed(old)

    run_with_fleet(4, check)


def test_planned_stop_is_reported_without_suspicion() -> None:
    async def check(fleet: FakeFleet) -> None:
        leaver = fleet.routers.pop("router-1")
        leaver.fleet.mark_leaving()
        survivor = fleet.routers["router-0"]
        await wait_until(
            lambda: any(r.is_leaving for r in survivor.fleet.list_routers())
        )
        await leaver.stop()
        await wait_until(
            lambda: not survivor.fleet.is_listed(leaver.fleet.own.router_id)
        )
        assert "router-1" in join_decision_texts(survivor)
        assert "suspect" not in join_decision_texts(survivor)

    run_with_fleet(3, check)


def test_silent_connection_is_replaced_and_a_request_is_handled_once() -> None:
    async def check(fleet: FakeFleet) -> None:
        first, second = fleet.routers.values()
        relays = []
        for host, router in fleet.routers.items():
            path = LinkPath(delay_s=0.001, bytes_per_s=0)
            relay = LinkStandin(router.fleet.peer_address, path, path)
            await relay.start()
            relays.append(relay)
            fleet.list_router(router, host, "a", "r", relay.address)
        for router, relay in zip((first, second), reversed(relays), strict=True):
            await wait_until(lambda r=router, x=relay: is_relayed(r, x))
            for peer in router.fleet.network.list_linked():
                router.fleet.network.forget(peer)
        handled = []

        async def answer(peer: RouterId, message: Row) -> Row:
            handled.append(message.version)
            if len(handled) == 1:
                for relay in relays:
                    relay.silence_connections()
            return message

        second.fleet.register(Row, answer)
        peer = second.fleet.own.router_id
        await wait_until(lambda: first.fleet.network.find_connection(peer))
        before = first.fleet.network.find_connection(peer)
        reply = await first.fleet.request(peer, Row("k", 7, b""), 5.0)
        assert reply.version == 7 and handled == [7]
        assert first.fleet.network.find_connection(peer) is not before
        assert "suspect" not in join_decision_texts(first) + join_decision_texts(second)
        assert is_complete(fleet)
        for relay in relays:
            await relay.stop()

    run_with_fleet(2, check)


def is_relayed(router: FakeRouter, relay: LinkStandin) -> bool:
    (peer,) = router.fleet.list_routers()
    return peer.peer_address == relay.address


def test_peer_without_the_secret_is_disconnected() -> None:
    async def check(fleet: FakeFleet) -> None:
        first = fleet.routers["router-0"]
        entry = MemberEntry("stranger", 5, 1, 0, False, "127.0.0.1:1", "a", "r")
        hello = PeerHello(entry, b"nonce", "router-0", 0)
        url = f"ws://{first.fleet.peer_address}"
        async with websockets.asyncio.client.connect(url, proxy=None) as websocket:
            await websocket.send(encode(hello))
            welcome = decode_as(bytes(await websocket.recv()), PeerWelcome)
            await websocket.send(encode(PeerProof(welcome.proof)))
            with pytest.raises(websockets.exceptions.ConnectionClosed):
                await websocket.recv()
        assert first.list_hosts() == ["router-1"]

    run_with_fleet(2, check)


def test_message_is_not_delivered_to_another_incarnation() -> None:
    async def check(fleet: FakeFleet) -> None:
        first = fleet.routers["router-0"]
        wrong = RouterId("router-1", 5)
        with pytest.raises(PeerUnreachableError):
            await first.fleet.request(wrong, Acknowledgement(), 1.0)

    run_with_fleet(2, check)


def test_unknown_message_and_failing_handler_are_refused_with_a_code() -> None:
    async def check(fleet: FakeFleet) -> None:
        first, second = fleet.routers.values()
        peer = second.fleet.own.router_id
        with pytest.raises(PeerRefusedError) as caught:
            await first.fleet.request(peer, Acknowledgement(), 2.0)
        assert caught.value.code == 1603

        async def fail(peer: RouterId, message: Row) -> Row:
            raise KeyError("fault raised by the handler")

        second.fleet.register(Row, fail)
        with pytest.raises(PeerRefusedError) as caught:
            await first.fleet.request(peer, Row("k", 1, b""), 2.0)
        assert caught.value.code == 1901

    run_with_fleet(2, check)


def test_router_with_wrong_secret_does_not_join() -> None:
    async def check(fleet: FakeFleet) -> None:
        stranger = await fleet.add("stranger", shared_secret=b"another secret")
        await asyncio.sleep(0.5)
        assert stranger.list_hosts() == []
        assert "stranger" not in fleet.routers["router-0"].list_hosts()

    run_with_fleet(2, check)


@pytest.mark.parametrize(
    "data",
    [b"", b"\xff\xff", cbor2.dumps([500]), cbor2.dumps({"a": 1}), b"\x9f" * 2000],
)
def test_malformed_cbor_before_authentication_closes_the_connection(
    data: bytes,
) -> None:
    async def check(fleet: FakeFleet) -> None:
        first = fleet.routers["router-0"]
        url = f"ws://{first.fleet.peer_address}"
        async with websockets.asyncio.client.connect(url, proxy=None) as websocket:
            await websocket.send(data)
            with pytest.raises(websockets.exceptions.ConnectionClosed):
                await websocket.recv()
        assert is_complete(fleet)

    run_with_fleet(2, check)


def test_malformed_cbor_from_a_peer_closes_only_its_connection() -> None:
    async def check(fleet: FakeFleet) -> None:
        first, second = fleet.routers.values()
        peer = second.fleet.own.router_id
        await wait_until(lambda: first.fleet.network.find_connection(peer))
        connection = first.fleet.network.find_connection(peer)
        await connection._websocket.send(b"\xff\xff")
        await wait_until(lambda: connection.is_closed)

        async def answer(peer: RouterId, message: Row) -> Row:
            return message

        second.fleet.register(Row, answer)
        assert await first.fleet.request(peer, Row("k", 1, b""), 2.0)
        assert is_complete(fleet)

    run_with_fleet(2, check)


def test_leaving_backend_is_gossiped_to_routers_without_the_host_list() -> None:
    async def check(fleet: FakeFleet) -> None:
        entry = HostEntry("engine", "desk", "127.0.0.1:1", "a", "r")
        fleet.directory.set_host(entry)
        routers = list(fleet.routers.values())
        await wait_until(lambda: all(r.fleet.list_backends("desk") for r in routers))
        for router in routers[1:]:
            router.fleet._directory = UnreachableDirectory()
        fleet.directory.set_host(HostEntry("engine", "desk", "", "a", "r", True))
        await wait_until(
            lambda: all(r.fleet.list_backends("desk")[0].is_leaving for r in routers)
        )

    run_with_fleet(4, check)


class UnreachableDirectory:
    async def fetch(self, known_revision: int = 0) -> object:
        raise TimeoutError
