"""Write the answer in a request record to a caller as it arrives.

The record's `life` is the state of the request with the parts received so far. Its
`ending` is the result: None while the request is in progress, then an answer or a
refusal. The HTTP status of an answer is 0 if it came from a model service, as text in
parts, and nonzero if it came from a plain service, as one body.
"""

from __future__ import annotations

import asyncio
import json
from typing import TYPE_CHECKING

from ..errors import Refusal
from ..http import Responder, send_json, send_refusal

if TYPE_CHECKING:
    from ._context import RequestContext
    from ._life import Chunk, WholeAnswer
    from ._records import RequestRecord

__all__ = ["KEY_HEADER", "AnswerWriter", "wait_for_change"]

KEY_HEADER = "bronzesail-request-key"
# Interval of the check for a disconnected caller, in seconds.
DISCONNECT_CHECK_S = 0.25
STREAM_HEADERS = (
    ("content-type", "text/event-stream"),
    ("cache-control", "no-store"),
)


async def wait_for_change(
    record: RequestRecord, n_known: int, timeout_s: float
) -> None:
    """Wait until a record has more chunks or has ended, or until a timeout.

    Parameters
    ----------
    record : RequestRecord
        Record to watch.
    n_known : int
        Number of chunks that the waiter already has.
    timeout_s : float
        Maximum time to wait, in seconds.
    """
    changed = asyncio.Event()
    stop = record.listen(changed.set)
    try:
        if record.ending is not None or len(record.life.chunks) > n_known:
            return
        await asyncio.wait_for(changed.wait(), timeout_s)
    except TimeoutError:
        return
    finally:
        stop()


class AnswerWriter:
    """Writes the answer in one record to one caller.

    Parameters
    ----------
    context : RequestContext
        Services shared by the request path.
    record : RequestRecord
        Record of the request.
    responder : Responder
        Writes the HTTP response to the caller.
    """

    def __init__(
        self, context: RequestContext, record: RequestRecord, responder: Responder
    ) -> None:
        self._context = context
        self._record = record
        self._responder = responder

    async def write(self, is_stream: bool, after: int) -> None:
        """Write the answer; return early if the caller disconnects.

        The caller counts as attached meanwhile: a repeatable request to which nobody
        has been attached for some time is cancelled.

        Parameters
        ----------
        is_stream : bool
            Whether to write server-sent events rather than one response body.
        after : int
            Number of the last chunk that the caller already has; only later chunks
            are streamed.
        """
        record = self._record
        record.n_attached += 1
        try:
            if is_stream:
                await self._write_stream(after)
            else:
                await self._write_whole()
        except ConnectionError:
            self._context.explain(record, "caller disconnected")
        finally:
            record.n_attached -= 1
            record.detached_at = self._context.clock.monotonic()

    async def _write_whole(self) -> None:
        """Wait for the result and write it as one response."""
        record = self._record
        while record.ending is None:
            await self._wait(len(record.life.chunks))
        if isinstance(record.ending, Refusal):
            await send_refusal(self._responder, record.ending)
            return
        if record.ending.status:
            await self._write_plain(record.ending)
            return
        chunks = record.list_chunks(0)
        content = {
            "text": "".join(chunk.text for chunk in chunks),
            **_describe_answer(record.ending),
        }
        headers = ((KEY_HEADER, record.key),)
        await send_json(self._responder, 200, content, headers)
        record.life.note_delivered(len(chunks))

    async def _write_plain(self, answer: WholeAnswer) -> None:
        """Write a plain service's answer with its own status and body."""
        headers = (
            ("content-type", answer.content_type or "application/octet-stream"),
            ("content-length", str(len(answer.body))),
            ("bronzesail-charged-tokens", str(answer.charged_tokens)),
            (KEY_HEADER, self._record.key),
        )
        await self._responder.start(answer.status, headers)
        if answer.body:
            await self._responder.write(answer.body)
        await self._responder.finish()

    async def _write_stream(self, after: int) -> None:
        """Write the parts after a number as they arrive, then the result."""
        record = self._record
        number = after
        while True:
            for chunk in record.list_chunks(number):
                await self._write_chunk(chunk)
                number = chunk.number
                record.life.note_delivered(number)
            if record.ending is not None and len(record.life.chunks) <= number:
                break
            await self._wait(number)
        if isinstance(record.ending, Refusal):
            await self._write_stream_refusal(record.ending)
            return
        await self._write_done(record.ending, number)

    async def _wait(self, n_known: int) -> None:
        """Wait for a change of the record; raise if the caller has disconnected."""
        await wait_for_change(self._record, n_known, DISCONNECT_CHECK_S)
        if self._responder.is_disconnected:
            raise ConnectionResetError("caller disconnected")

    async def _write_chunk(self, chunk: Chunk) -> None:
        """Write one part as a server-sent event."""
        await self._start_stream()
        content = json.dumps({"text": chunk.text, "tokens": chunk.tokens})
        await self._responder.write(f"id: {chunk.number}\ndata: {content}\n\n".encode())

    async def _start_stream(self) -> None:
        """Write the headers of the event stream, unless that is done already."""
        if self._responder.is_started:
            return
        headers = (*STREAM_HEADERS, (KEY_HEADER, self._record.key))
        await self._responder.start(200, headers)

    async def _write_done(self, answer: WholeAnswer, number: int) -> None:
        """Write the last event, or the whole response of a plain service."""
        if answer.status:
            await self._write_plain(answer)
            return
        await self._start_stream()
        content = json.dumps(_describe_answer(answer))
        text = f"event: done\nid: {number}\ndata: {content}\n\n"
        await self._responder.write(text.encode())
        await self._responder.finish()

    async def _write_stream_refusal(self, refusal: Refusal) -> None:
        """Write a refusal, as an event if the stream has been started."""
        if not self._responder.is_started:
            await send_refusal(self._responder, refusal)
            return
        content = {
            "code": refusal.label,
            "detail": refusal.detail,
            "not_run": refusal.is_not_run,
            "retry_after_s": refusal.retry_after_s,
        }
        text = f"event: error\ndata: {json.dumps(content)}\n\n"
        # The body is not finished, so that a caller detects a truncated answer.
        await self._responder.write(text.encode())


def _describe_answer(answer: WholeAnswer) -> dict[str, object]:
    """Return the token usage and the tokens charged, as JSON content."""
    return {
        "usage": {
            "prompt_tokens": answer.prompt_tokens,
            "output_tokens": answer.output_tokens,
        },
        "charged_tokens": answer.charged_tokens,
    }
