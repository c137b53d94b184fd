"""Client of the engine protocol: start, resume, probe, fence and cancel completions."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING, Any

import attrs

from ..http import ExchangeBrokenError, HttpCall, HttpError
from ._life import Chunk

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from ..http import HttpClient
    from ..http._client import HttpExchange

__all__ = ["EngineClient", "EngineState", "EngineUsage", "EventReader"]

# Limit of one unfinished server-sent event, which bounds the buffer of a reader.
MAX_EVENT_BYTES = 4 * 1024 * 1024


@attrs.frozen
class EngineUsage:
    """Token usage that an engine reports for a completion.

    Attributes
    ----------
    prompt_tokens, output_tokens : int
        Tokens of the prompt and of the answer.
    is_cancelled : bool
        Whether the completion was cancelled before its end.
    """

    prompt_tokens: int
    output_tokens: int
    is_cancelled: bool = False

    @property
    def total_tokens(self) -> int:
        """Sum of the prompt and output tokens."""
        return self.prompt_tokens + self.output_tokens


@attrs.frozen
class EngineState:
    """State of a completion as its engine reports it.

    Attributes
    ----------
    state : str
        ``queued``, ``running``, ``done``, ``cancelled``, ``fenced`` or ``unknown``;
        empty if the engine did not report one.
    usage : EngineUsage
        Token usage so far.
    """

    state: str
    usage: EngineUsage


class EventReader:
    """Incremental parser of the server-sent events in a response body."""

    def __init__(self) -> None:
        self._buffer = b""

    def feed(self, data: bytes) -> list[Chunk | EngineUsage]:
        """Add data and return the events that it completes.

        Parameters
        ----------
        data : bytes
            Next bytes of the body.

        Returns
        -------
        list of Chunk or EngineUsage
            Completed events, in order.

        Raises
        ------
        ExchangeBrokenError
            If an event is malformed or too long.
        """
        self._buffer += data
        if len(self._buffer) > MAX_EVENT_BYTES:
            raise ExchangeBrokenError(f"event exceeds {MAX_EVENT_BYTES} bytes")
        *blocks, self._buffer = self._buffer.split(b"\n\n")
        events: list[Chunk | EngineUsage] = []
        for block in blocks:
            event = _parse_event(block)
            if event is not None:
                events.append(event)
        return events


def _parse_event(block: bytes) -> Chunk | EngineUsage | None:
    number = 0
    content: dict[str, Any] | None = None
    try:
        for line in block.splitlines():
            if line.startswith(b"id:"):
                number = int(line[3:])
            if line.startswith(b"data:"):
                content = json.loads(line[5:])
        if content is None:
            return None
        if content.get("done"):
            usage = _read_usage(content["usage"])
            return attrs.evolve(usage, is_cancelled=bool(content.get("cancelled")))
        return Chunk(number, str(content["text"]), int(content["tokens"]))
    except (ValueError, KeyError, TypeError, AttributeError) as error:
        raise ExchangeBrokenError(f"malformed event: {error}") from error


def _read_usage(content: dict[str, Any]) -> EngineUsage:
    prompt_tokens = int(content.get("prompt_tokens", 0))
    output_tokens = int(content.get("output_tokens", 0))
    return EngineUsage(max(0, prompt_tokens), max(0, output_tokens))


class EngineClient:
    """Client of the engine protocol.

    Parameters
    ----------
    client : HttpClient
        HTTP client for calls to engines.
    probe_timeout_s : float
        Timeout of a probe, fence or cancel call, in seconds.
    """

    def __init__(self, client: HttpClient, probe_timeout_s: float) -> None:
        self._client = client
        self._probe_timeout_s = probe_timeout_s

    async def start(
        self,
        address: str,
        request_id: str,
        prompt: bytes,
        max_tokens: int,
        priority: int,
        silence_s: float,
        is_fresh: bool,
    ) -> HttpExchange:
        """Send a completion request and wait for the response's headers.

        Parameters
        ----------
        address : str
            IP address and port of the engine.
        request_id : str
            Id of the completion; the engine runs each id at most once.
        prompt : bytes
            Prompt in UTF-8.
        max_tokens : int
            Output limit, in tokens.
        priority : int
            Priority; smaller numbers are served first.
        silence_s : float
            Timeout for the response headers, in seconds.
        is_fresh : bool
            Whether to open a new connection instead of reusing a pooled one.

        Returns
        -------
        HttpExchange
            Response in progress.

        Raises
        ------
        NotSentError
            If no byte of the request was sent.
        ExchangeBrokenError
            If the exchange failed after bytes may have been sent.
        """
        content = {
            "request_id": request_id,
            "prompt": prompt.decode(),
            "max_tokens": max_tokens,
            "priority": priority,
            "stream": True,
        }
        call = HttpCall(
            address=address,
            method="POST",
            target="/v1/completions",
            headers=(("content-type", "application/json"),),
            body=json.dumps(content).encode(),
            is_fresh=is_fresh,
            timeout_s=silence_s,
        )
        return await self._client.send(call)

    async def resume(
        self, address: str, request_id: str, after: int, silence_s: float
    ) -> HttpExchange:
        """Request the rest of an answer over a new connection.

        Parameters
        ----------
        address : str
            IP address and port of the engine.
        request_id : str
            Id of the completion.
        after : int
            Number of the last chunk that was received.
        silence_s : float
            Timeout for the response headers, in seconds.

        Returns
        -------
        HttpExchange
            Response in progress.

        Raises
        ------
        HttpError
            If the engine did not answer.
        """
        target = f"/v1/completions/{request_id}?after={after}"
        call = HttpCall(address, "GET", target, is_fresh=True, timeout_s=silence_s)
        return await self._client.send(call)

    async def iterate_events(
        self, exchange: HttpExchange, silence_s: float
    ) -> AsyncIterator[Chunk | EngineUsage]:
        """Yield the chunks of a response and the usage at its end.

        Parameters
        ----------
        exchange : HttpExchange
            Response to `start` or `resume`.
        silence_s : float
            Maximum time between two reads, in seconds.

        Yields
        ------
        Chunk or EngineUsage
            Events in the order of the stream.

        Raises
        ------
        ExchangeBrokenError
            If the connection was lost or an event is invalid.
        TimeoutError
            If no data arrived for `silence_s`.
        """
        reader = EventReader()
        async for data in exchange.iterate_body(silence_s):
            for event in reader.feed(data):
                yield event

    async def probe(self, address: str, request_id: str) -> EngineState | None:
        """Request the state of a completion over a new connection.

        Parameters
        ----------
        address : str
            IP address and port of the engine.
        request_id : str
            Id of the completion.

        Returns
        -------
        EngineState or None
            State of the completion; None if the reply cannot be parsed or is an
            error.

        Raises
        ------
        HttpError
            If the engine did not answer; `NotSentError` if no connection could be
            opened.
        """
        return await self._fetch_state(
            address, "GET", f"/v1/completions/{request_id}/status"
        )

    async def fence(self, address: str, request_id: str) -> EngineState | None:
        """Fence a completion: the engine must refuse to start it from then on.

        Parameters
        ----------
        address : str
            IP address and port of the engine.
        request_id : str
            Id of the completion.

        Returns
        -------
        EngineState or None
            State of the completion; None if the engine did not confirm the fence.

        Raises
        ------
        HttpError
            If the engine did not answer.
        """
        return await self._fetch_state(
            address, "POST", f"/v1/completions/{request_id}/fence"
        )

    async def cancel(self, address: str, request_id: str) -> EngineUsage | None:
        """Cancel a completion.

        Parameters
        ----------
        address : str
            IP address and port of the engine.
        request_id : str
            Id of the completion.

        Returns
        -------
        EngineUsage or None
            Usage up to the cancellation; None if the engine did not report it.
        """
        try:
            state = await self._fetch_state(
                address, "DELETE", f"/v1/completions/{request_id}"
            )
        except HttpError:
            return None
        return state.usage if state else None

    async def _fetch_state(
        self, address: str, method: str, target: str
    ) -> EngineState | None:
        call = HttpCall(
            address, method, target, is_fresh=True, timeout_s=self._probe_timeout_s
        )
        status, body = await self._client.fetch(call)
        try:
            content = json.loads(body) if body else {}
            if status == 404:
                return EngineState("unknown", EngineUsage(0, 0))
            if status >= 300:
                return None
            usage = _read_usage(content.get("usage") or content)
            return EngineState(str(content.get("state", "")), usage)
        except (ValueError, TypeError, AttributeError):
            return None
