"""Questions for the start of a server, and answers of all kinds."""

from __future__ import annotations

import asyncio

import pytest

from bronzesail.router.client import ClientPool, ConnectError
from bronzesail.router.directory import Directory
from bronzesail.router.server_lives import ServerLives
from tests.platform_standin import Deployment, make_configuration, wait_until
from tests.router_fakes import RecordingLog, make_server

BOUNDS = "retryBudgetRatio = 9.0"  # The retry budget ends no stream here.
START = 7
REPORT = b'HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\n{"born":7}'
OF_ANOTHER_REQUEST = (
    b"HTTP/1.1 200 OK\r\nX-Attempt-Id: r7\r\nX-Server-Seal: s\r\n"
    b"Content-Length: 2\r\n\r\nok"
)
CLOSING_REPORT = REPORT.replace(b"OK\r\n", b"OK\r\nConnection: close\r\n")


class Question:
    """One question to a server that answers with given bytes."""

    def __init__(self, answer):
        self._answer = answer
        self.heads = []

    async def _serve(self, reader, writer):
        try:
            await reader.readuntil(b"\r\n\r\n")
            writer.write(self._answer)
            await asyncio.sleep(60)
        finally:
            writer.close()

    async def ask(self, on_data=lambda: None):
        """Ask; return whether the connection can still be used."""
        loop = asyncio.get_running_loop()
        server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        ip, port = server.sockets[0].getsockname()
        pool = ClientPool(loop)
        self.lives = ServerLives(loop, RecordingLog(), pool, Directory(loop.time))
        self.entry = make_server("a", ip=ip, port=port, born_ms=START)
        self.connection = await pool.open((ip, port))
        note_data = pool.spans.note_data

        def note(connection, now):
            note_data(connection, now)
            loop.call_soon(on_data)

        pool.spans.note_data = note
        try:
            return await self.lives.ask(self.entry, self.connection, self.heads.append)
        finally:
            server.close()

    @property
    def is_answered(self):
        return self.lives.is_identified(self.connection)

    @property
    def is_service_silent(self):
        other = make_server("b", born_ms=1)
        return self.lives._is_silent(other)


def ask(answer):
    """Ask a server that answers with bytes; return the question."""
    question = Question(answer)

    async def run():
        question.is_usable = await question.ask()

    asyncio.run(run())
    assert question.is_usable or question.connection.is_closing
    return question


def test_a_server_tells_its_start():
    question = ask(REPORT)
    assert question.is_usable and question.is_answered
    assert [head.status for head in question.heads] == [200]


def test_an_answer_that_closes_its_connection_leaves_none_open():
    question = ask(CLOSING_REPORT)
    assert not question.is_usable and question.is_answered


# The report itself was read as the answer to the next request.
def test_an_extra_answer_is_not_taken_for_the_report():
    question = ask(OF_ANOTHER_REQUEST + REPORT)
    assert not question.is_usable
    assert not question.is_service_silent


@pytest.mark.parametrize(
    "answer",
    [
        REPORT.replace(b"200", b"429"),
        REPORT.replace(b"200", b"500"),
        REPORT.replace(b"born", b"bern"),
        REPORT.replace(b"{", b"["),
    ],
)
def test_a_single_answer_of_another_kind_does_not_silence_the_service(answer):
    question = ask(answer)
    assert not question.is_usable and not question.is_answered
    assert not question.is_service_silent


def test_a_service_without_such_reports_is_not_asked_again():
    question = ask(REPORT.replace(b"200 OK", b"404 Not Found"))
    assert question.is_usable and question.is_service_silent


def test_a_server_that_takes_the_question_for_a_request_is_not_asked_again():
    question = ask(REPORT.replace(b"OK\r\n", b"OK\r\nX-Server-Seal: s\r\n"))
    assert not question.is_usable and question.is_service_silent


def test_a_server_that_does_not_answer_is_reported():
    question = Question(b"")
    with pytest.raises(ConnectError):
        asyncio.run(question.ask())
    assert question.connection.is_closing


# The connection was neither closed nor kept if the caller left in that very moment.
def test_a_caller_that_leaves_as_the_answer_arrives_leaves_no_connection_open():
    question = Question(REPORT)

    async def run():
        task = asyncio.create_task(question.ask(on_data=lambda: task.cancel()))
        await asyncio.wait([task])

    asyncio.run(run())
    assert question.connection.is_closing or question.is_answered


async def finish_stream(request, responder, headers):
    await asyncio.sleep(0.05)
    await responder.start(200, (*headers, ("Content-Type", "text/event-stream")))
    await responder.write(b"id: 1\ndata: x\n\n")
    await responder.finish()


# Questions that hang were not counted as failures, so that the server was asked again
# by each request.
def test_a_server_that_does_not_answer_questions_is_avoided(tmp_path):
    async def run():
        async with Deployment(tmp_path) as deployment:
            deployment.store.put("op", "config", make_configuration())
            sound = await deployment.start_backend("a", "llm", finish_stream)
            asked = []

            async def hang(reader, writer):
                asked.append(writer)
                try:
                    await asyncio.sleep(60)
                finally:
                    writer.close()

            frozen = await asyncio.start_server(hang, "127.0.0.1", 0)
            address = "{}:{}".format(*frozen.sockets[0].getsockname())
            entry = sound.make_entry() | {"address": address}
            deployment.store.put("servers", "b", entry)
            router = await deployment.start_router("h1", bounds=BOUNDS)
            await wait_until(
                lambda: router.app.is_ready() and len(router.app.directory) == 2
            )
            for number in range(10):
                answers = await asyncio.gather(
                    *(deployment.send(router, f"/talk/{number}") for _ in range(4))
                )
                assert [status for status, _, _ in answers] == [200] * 4
            assert router.app.placement.get_load("b").failure_share > 0
            assert len(asked) < 10
            frozen.close()

    asyncio.run(run())
