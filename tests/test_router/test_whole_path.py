"""End-to-end tests: requests through a complete router process.

The store, the callers and the backend servers are simulated.
"""

from __future__ import annotations

import asyncio
import json

import pytest

from tests.platform_standin import (
    HOST_NAME,
    KEY,
    Deployment,
    echo_body,
    exchange_raw,
    make_configuration,
    stream_events,
    wait_until,
)

# Each request adds ten retries to the retry budget, more than any test needs.
LARGE_RETRY_BUDGET = "retryBudgetRatio = 10"
TOKEN_HEADERS = {"X_Token_Counts": "100,50", "X_Prefix_Hash": "aa:60,bb:40"}


def run_deployed(scenario):
    """Return a test that runs a scenario with one router, engine and plain server."""

    def test(tmp_path):
        async def run():
            async with Deployment(tmp_path) as deployment:
                deployment.store.put("op", "config", make_configuration())
                deployment.engine = await deployment.start_backend(
                    "e1", "llm", stream_events(10)
                )
                deployment.plain = await deployment.start_backend(
                    "p1", "app", echo_body
                )
                router = await deployment.start_router("h1", LARGE_RETRY_BUDGET)
                app = router.app
                await wait_until(lambda: app.is_ready() and app.keeper.is_in_step)
                await scenario(deployment, router)

        asyncio.run(run())

    test.__name__ = scenario.__name__
    return test


async def start_chat(router, counts):
    """Send a streaming request on a connection of its own and leave it open."""
    reader, writer = await asyncio.open_connection(router.ip, router.port)
    writer.write(
        f"POST /chat/1 HTTP/1.1\r\nHost: {HOST_NAME}\r\nX-Attempt-Id: r\r\n"
        f"Authorization: Bearer {KEY}\r\nX-Token-Counts: {counts}\r\n"
        "Content-Length: 0\r\n\r\n".encode()
    )
    return reader, writer


@run_deployed
async def test_response_of_the_server_is_relayed_unchanged(deployment, router):
    status, headers, body = await deployment.send(router, "/book/1", b"a ticket")
    assert (status, body) == (200, b"a ticket")
    assert headers["x-server-seal"] == "seal-of-p1"
    (request,) = deployment.plain.requests
    assert request.target == "/book/1"
    assert request.find_header("x-tenant") == "acme"
    assert not request.find_header("authorization")
    assert 0 < int(request.find_header("x-deadline-ms")) <= 5000


@run_deployed
async def test_stream_is_relayed_completely_and_settled(deployment, router):
    status, _, body = await deployment.send(
        router, "/chat/1", b"prompt", **TOKEN_HEADERS
    )
    assert status == 200
    assert body.count(b"id: ") == 10
    holding = router.app.book.get_holding("acme")
    await wait_until(lambda: holding.reserved == 0)
    assert holding.settled == 100 + 10 * 5


@run_deployed
async def test_headers_that_the_router_sets_are_not_accepted_from_callers(
    deployment, router
):
    forged = {
        "X_Tenant": "other",
        "X_Expect_Instance": "other",
        "X_Pin_Ms": "4000",
        "X_Kv_Retention": "r1",
        "X_Kv_Replica": "10.0.0.1:80",
        "Kv_From": "10.0.0.1:80/h",
        "X_Request_Priority": "0",
    }
    status, _, _ = await deployment.send(router, "/book/1", b"x", **forged)
    assert status == 200
    (request,) = deployment.plain.requests
    assert request.find_header("x-tenant") == "acme"
    for name in ("X-Pin-Ms", "X-Kv-Retention", "X-Kv-Replica", "Kv-From"):
        assert not request.find_header(name.lower())


@run_deployed
async def test_unknown_path_and_unknown_key_are_refused(deployment, router):
    assert (await deployment.send(router, "/nowhere/"))[0] == 404
    assert (await deployment.send(router, "/book/1", key="wrong"))[0] == 401
    assert not deployment.plain.requests


@run_deployed
async def test_a_removed_key_is_refused_at_once(deployment, router):
    body = make_configuration(version=2)
    body["tenants"][0]["apiKeys"] = ["new-key"]
    deployment.store.put("op", "config", body)
    await wait_until(lambda: router.app.configuration.version == 2)
    assert (await deployment.send(router, "/book/1"))[0] == 401
    assert (await deployment.send(router, "/book/1", key="new-key"))[0] == 200


@run_deployed
async def test_an_older_configuration_is_ignored(deployment, router):
    deployment.store.put("op", "config", make_configuration(version=5))
    await wait_until(lambda: router.app.configuration.version == 5)
    router.app.configuration.apply_if_newer(
        json.dumps(make_configuration(version=4)).encode(), "peer"
    )
    assert router.app.configuration.version == 5


@run_deployed
async def test_a_request_beyond_the_budget_gets_402_and_does_not_run(
    deployment, router
):
    big = {"X_Token_Counts": "90000,20000"}
    assert (await deployment.send(router, "/chat/1", b"x", **big))[0] == 402
    assert not deployment.engine.requests


@run_deployed
async def test_a_request_that_is_not_repeatable_is_sent_once(deployment, router):
    async def reset_connection(request, responder, headers):
        raise ConnectionResetError

    deployment.plain._behave = reset_connection
    status, _, _ = await deployment.send(router, "/book/1", b"x")
    assert status == 502
    assert len(deployment.plain.requests) == 1


@run_deployed
async def test_a_repeatable_request_is_retried_at_another_server(deployment, router):
    async def respond_with_error(request, responder, headers):
        await responder.start(500, (*headers, ("Content-Length", "0")))
        await responder.finish()

    deployment.plain._behave = respond_with_error
    good = await deployment.start_backend("p2", "app", echo_body)
    await wait_until(lambda: router.app.directory.get("p2"))
    for _ in range(4):
        assert (await deployment.send(router, "/look/1", method="GET"))[0] == 200
    assert len(good.requests) == 4


@run_deployed
async def test_a_not_executed_response_is_reported_as_not_run(deployment, router):
    async def respond_not_executed(request, responder, headers):
        not_run = ("X-Not-Executed", "1")
        await responder.start(503, (not_run, ("Content-Length", "0")))
        await responder.finish()

    deployment.plain._behave = respond_not_executed
    status, headers, _ = await deployment.send(router, "/book/1", b"x")
    assert status == 429
    assert float(headers["retry-after"]) > 0


@run_deployed
async def test_a_503_that_may_have_run_is_reported_as_502(deployment, router):
    async def respond_with_error(request, responder, headers):
        await responder.start(503, (*headers, ("Content-Length", "0")))
        await responder.finish()

    deployment.plain._behave = respond_with_error
    assert (await deployment.send(router, "/book/1", b"x"))[0] == 502


@run_deployed
async def test_success_without_the_seal_is_not_relayed(deployment, router):
    async def respond_without_seal(request, responder, headers):
        await responder.start(200, (headers[0], ("Content-Length", "2")))
        await responder.write(b"ok")
        await responder.finish()

    deployment.plain._behave = respond_without_seal
    assert (await deployment.send(router, "/book/1", b"x"))[0] == 502


@run_deployed
async def test_a_response_to_another_request_is_not_relayed(deployment, router):
    async def respond_to_another_request(request, responder, headers):
        lines = (("X-Attempt-Id", "other"), headers[1], ("Content-Length", "2"))
        await responder.start(200, lines)
        await responder.write(b"ok")
        await responder.finish()

    deployment.plain._behave = respond_to_another_request
    assert (await deployment.send(router, "/book/1", b"x"))[0] == 502


@run_deployed
async def test_a_broken_stream_does_not_look_complete(deployment, router):
    async def reset_connection(request, responder, headers):
        await responder.start(200, headers)
        await responder.write(b"id: 1\ndata: x\n\nid: 2\nda")
        raise ConnectionResetError

    deployment.engine._behave = reset_connection
    status, _, body = await deployment.send(router, "/chat/1", b"x", **TOKEN_HEADERS)
    assert status == 200
    assert body is None
    holding = router.app.book.get_holding("acme")
    await wait_until(lambda: holding.reserved == 0)
    assert holding.settled == 100 + 5


@run_deployed
async def test_a_request_without_a_response_is_not_charged(deployment, router):
    async def reset_connection(request, responder, headers):
        raise ConnectionResetError

    deployment.engine._behave = reset_connection
    assert (await deployment.send(router, "/chat/1", b"x", **TOKEN_HEADERS))[0] == 502
    holding = router.app.book.get_holding("acme")
    await wait_until(lambda: holding.reserved == 0)
    assert holding.settled == 0


@run_deployed
async def test_a_caller_that_closes_before_the_response_is_charged_for_the_prompt(
    deployment, router
):
    async def hang(request, responder, headers):
        await asyncio.sleep(3600)

    deployment.engine._behave = hang
    _, writer = await start_chat(router, "10,9")
    await wait_until(lambda: deployment.engine.requests)
    writer.close()
    holding = router.app.book.get_holding("acme")
    await wait_until(lambda: holding.reserved == 0)
    assert holding.settled == 10


@run_deployed
async def test_a_resumable_stream_continues_at_another_server(deployment, router):
    async def reset_connection(request, responder, headers):
        await responder.start(200, headers)
        await responder.write(b"id: 1\ndata: x\n\nid: 2\nda")
        raise ConnectionResetError

    other = await deployment.start_backend("e2", "llm", stream_events(4))
    await wait_until(lambda: router.app.directory.get("e2"))
    for backend in (deployment.engine, other):
        if backend is not other:
            backend._behave = reset_connection
    router.app.placement.get_load("e2").unread_tokens = 1e6
    status, headers, body = await deployment.send(
        router, "/talk/1", b"x", **TOKEN_HEADERS
    )
    assert status == 200
    assert headers["x-server-seal"] == "seal-of-e1"
    ids = [line for line in body.split(b"\n") if line.startswith(b"id: ")]
    assert ids == [b"id: 1", b"id: 2", b"id: 3", b"id: 4"]


@run_deployed
async def test_the_route_timeout_ends_a_request_with_504(deployment, router):
    body = make_configuration(version=2)
    for route in body["routes"]:
        route["timeoutMs"] = 200
    deployment.store.put("op", "config", body)
    await wait_until(lambda: router.app.configuration.version == 2)

    async def hang(request, responder, headers):
        await asyncio.sleep(3600)

    deployment.plain._behave = hang
    assert (await deployment.send(router, "/book/1", b"x"))[0] == 504


# The attempts of requests to connect to overloaded hosts went on past the deadline.
@run_deployed
async def test_the_route_timeout_ends_an_attempt_to_connect(deployment, router):
    async def never_open(address):
        await asyncio.Event().wait()

    router.app.pool.open = never_open
    configuration = make_configuration(version=2)
    for route in configuration["routes"]:
        route["timeoutMs"] = 500
    deployment.store.put("op", "config", configuration)
    await wait_until(lambda: router.app.configuration.version == 2)
    status, _, _ = await deployment.send(router, "/book/1", b"x")
    assert status == 504
    assert not deployment.plain.requests


@run_deployed
async def test_a_caller_that_closes_ends_the_work_of_the_server(deployment, router):
    ended = asyncio.Event()

    async def stream(request, responder, headers):
        await responder.start(200, headers)
        try:
            for number in range(1, 10_000):
                await responder.write(b"id: %d\ndata: x\n\n" % number)
                await asyncio.sleep(0.01)
        except Exception:
            ended.set()
            raise

    deployment.engine._behave = stream
    reader, writer = await start_chat(router, "10,9")
    await reader.readuntil(b"id: 3")
    writer.close()
    async with asyncio.timeout(30):
        await ended.wait()
    holding = router.app.book.get_holding("acme")
    await wait_until(lambda: holding.reserved == 0)
    assert holding.settled > 0


@run_deployed
async def test_a_draining_server_receives_no_new_requests(deployment, router):
    other = await deployment.start_backend("p2", "app", echo_body)
    await wait_until(lambda: router.app.directory.get("p2"))
    deployment.store.put("servers", "p1", deployment.plain.make_entry("draining"))
    await wait_until(lambda: router.app.directory.get("p1").is_draining)
    for _ in range(5):
        assert (await deployment.send(router, "/book/1", b"x"))[0] == 200
    assert not deployment.plain.requests
    assert len(other.requests) == 5


@run_deployed
async def test_requests_are_served_while_the_store_does_not_respond(deployment, router):
    deployment.store.failure = "silent"
    await wait_until(router.app.book.is_past_lease)
    for path in ("/chat/1", "/book/1"):
        status, _, _ = await deployment.send(router, path, b"x", **TOKEN_HEADERS)
        assert status == 200


@run_deployed
async def test_changes_missed_by_the_feed_are_read(deployment, router):
    store = deployment.store
    store.version += 1
    body = json.dumps(make_configuration(version=3)).encode()
    store.rows[("op", "", "config")] = (body, store.version)
    store.drop_history()
    await wait_until(lambda: router.app.configuration.version == 3)


MALFORMED_REQUESTS = (
    b"POST /book/1 HTTP/1.1\r\nHost: api.example\r\nX-Attempt-Id: r\r\n"
    b"Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
    b"POST /book/1 HTTP/1.1\r\nHost: api.example\r\nX-Attempt-Id: r\r\n"
    b"Content-Length: 4\r\nContent-Length: 5\r\n\r\nabcde",
    b"POST /book/1 HTTP/1.1\r\nHost: api.example\r\nX-Attempt-Id : r\r\n\r\n",
    b"POST /book/1 HTTP/1.1\r\nHost: api.example\r\nContent-Length: -1\r\n\r\n",
    b"POST /book/1 HTTP/1.1\r\nHost: a\r\nHost: api.example\r\nX-Attempt-Id: r\r\n"
    b"Content-Length: 0\r\n\r\n",
    b"POST /book/1 HTTP/1.1\r\nHost: api.example\r\n"
    b"Transfer-Encoding: chunked\r\n\r\nzz\r\n",
    b"GET /book/1 HTTP/1.1\r\nHost: api.example\r\nX: " + b"a" * 9000 + b"\r\n\r\n",
    b"POST /book/1 HTTP/1.1\r\nHost: api.example\r\nContent-Length: 99999\r\n\r\n",
    b"\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03",
)


@pytest.mark.parametrize(
    "request_bytes", MALFORMED_REQUESTS, ids=range(len(MALFORMED_REQUESTS))
)
def test_a_malformed_request_is_refused_and_not_forwarded(request_bytes, tmp_path):
    @run_deployed
    async def scenario(deployment, router):
        status, _, _ = await exchange_raw(router, request_bytes)
        assert status in (400, 413, 431)
        assert not deployment.plain.requests

    scenario(tmp_path)


@run_deployed
async def test_a_graceful_stop_finishes_requests_and_returns_tokens(deployment, router):
    deployment.engine._behave = stream_events(20, gap_s=0.1)
    sending = asyncio.create_task(
        deployment.send(router, "/chat/1", b"x", **TOKEN_HEADERS)
    )
    await wait_until(lambda: deployment.engine.requests)
    await router.stop()
    status, _, body = await sending
    assert (status, body.count(b"id: ")) == (200, 20)
    (row,) = deployment.store.find("holders", "budget").values()
    # Nothing can be reclaimed from the row that a stopped process leaves.
    assert row["has_ended"]
    held, limit, overrun_per_s, _ = row["held"]["acme"]
    assert (held - limit, overrun_per_s) == (0, 0)
    out = deployment.store.find("accounts", "budget")["acme"]["out"]
    assert out == 100 + 50


@run_deployed
async def test_tokens_of_a_killed_router_are_reclaimed_by_its_successor(
    deployment, router
):
    status, _, _ = await deployment.send(router, "/chat/1", b"x", **TOKEN_HEADERS)
    assert status == 200
    await wait_until(lambda: deployment.store.find("accounts", "budget"))
    (before,) = deployment.store.find("holders", "budget")
    router.app.abort()
    router.task.cancel()
    successor = await deployment.start_router("h1")
    app = successor.app
    await wait_until(lambda: app.is_ready() and app.keeper.is_in_step)
    await wait_until(lambda: before not in deployment.store.find("holders", "budget"))
    assert app.keeper.reclaimed_tokens > 0


@run_deployed
async def test_routers_transfer_tokens_while_the_store_does_not_respond(
    deployment, router
):
    other = await deployment.start_router("h2")
    await wait_until(lambda: other.app.is_ready() and other.app.keeper.is_in_step)
    await wait_until(lambda: other.app.peers.by_host and router.app.peers.by_host)
    deployment.store.failure = "silent"
    await wait_until(router.app.book.is_past_lease)
    await wait_until(other.app.book.is_past_lease)
    with_fewer_tokens, with_more_tokens = sorted(
        (router, other), key=lambda r: r.app.book.get_holding("acme").free
    )
    need = with_fewer_tokens.app.book.get_holding("acme").free + 1_000
    await wait_until(lambda: with_fewer_tokens.app.peers.count_free("acme") >= need)
    tokens = {"X_Token_Counts": f"{need - 10},10"}
    assert (await deployment.send(with_fewer_tokens, "/chat/1", b"x", **tokens))[
        0
    ] == 200
    assert with_more_tokens.app.book.get_holding("acme").transferred >= 1_000


@run_deployed
async def test_a_configuration_is_fetched_from_a_peer_while_the_store_does_not_respond(
    deployment, router
):
    other = await deployment.start_router("h2")
    await wait_until(lambda: other.app.is_ready() and other.app.peers.by_host)
    deployment.store.failure = "silent"
    body = json.dumps(make_configuration(version=9)).encode()
    router.app.configuration.apply_if_newer(body, "test")
    await wait_until(lambda: other.app.configuration.version == 9)
