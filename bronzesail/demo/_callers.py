"""Callers that send requests and check each answer they get."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Callable, Sequence
from typing import TYPE_CHECKING, Any

import attrs

from ..http import HttpCall, HttpClient, HttpError

if TYPE_CHECKING:
    import random

__all__ = ["Answer", "Call", "Caller", "CallerPlan"]

RETRY_STATUSES = (429, 503)
ANSWER_TIMEOUT_S = 60.0
DEFAULT_RETRY_DELAY_S = 0.5


@attrs.frozen
class Call:
    """One request of a caller.

    Attributes
    ----------
    account : str
        Client account.
    key : str
        Idempotency key.
    class_name : str
        Class of a model request; empty for a plain call.
    method : str
        HTTP method.
    target : str
        Request target.
    body : bytes
        Body.
    """

    account: str
    key: str
    class_name: str
    method: str
    target: str
    body: bytes


@attrs.frozen
class Answer:
    """How a call ended for its caller.

    Attributes
    ----------
    call : Call
        The call.
    status : int
        HTTP status; 0 if the connection broke.
    code : str
        Label of the refusal's code; empty for an answer.
    is_whole : bool
        Whether the whole answer came.
    is_not_run : bool
        Whether the refusal said "not run".
    first_part_s, duration_s : float
        Time to the first part and to the end, in seconds.
    text : str
        Text of a model answer.
    charged_tokens : int
        Charge that the answer states; -1 for none.
    n_attempts : int
        How often the caller sent it.
    """

    call: Call
    status: int
    code: str
    is_whole: bool
    is_not_run: bool
    first_part_s: float
    duration_s: float
    text: str
    charged_tokens: int
    n_attempts: int


@attrs.frozen
class CallerPlan:
    """How a caller behaves.

    Attributes
    ----------
    list_addresses : callable
        Returns the callers' listeners of the routers that are up.
    bearer_key : str
        Bearer key of its client account.
    max_attempts : int
        How often it sends one call.
    deadline_ms : int
        Deadline it asks for, in milliseconds.
    """

    list_addresses: Callable[[], Sequence[str]]
    bearer_key: str
    max_attempts: int = 3
    deadline_ms: int = 20_000


class Caller:
    """Sends calls for one client account.

    Parameters
    ----------
    plan : CallerPlan
        How it behaves.
    client : HttpClient
        HTTP client.
    generator : random.Random
        Source of the choice of routers.
    """

    def __init__(
        self, plan: CallerPlan, client: HttpClient, generator: random.Random
    ) -> None:
        self._plan = plan
        self._client = client
        self._random = generator

    async def send(self, call: Call) -> Answer:
        """Send a call, again under the same key if a refusal advises it.

        Parameters
        ----------
        call : Call
            The call.

        Returns
        -------
        Answer
            How it ended.
        """
        n_attempts = 0
        while True:
            n_attempts += 1
            answer = await self._send_once(call, n_attempts)
            if n_attempts >= self._plan.max_attempts:
                return answer
            if answer.status not in RETRY_STATUSES or not answer.is_not_run:
                return answer
            await asyncio.sleep(DEFAULT_RETRY_DELAY_S)

    async def _send_once(self, call: Call, n_attempts: int) -> Answer:
        loop = asyncio.get_running_loop()
        started = loop.time()
        headers = (
            ("authorization", f"Bearer {self._plan.bearer_key}"),
            ("idempotency-key", call.key),
            ("bronzesail-deadline-ms", str(self._plan.deadline_ms)),
            ("content-type", "application/json"),
        )
        address = self._random.choice(self._plan.list_addresses())
        request = HttpCall(
            address,
            call.method,
            call.target,
            headers,
            call.body,
            timeout_s=ANSWER_TIMEOUT_S,
        )
        reader = _AnswerReader()
        first_part_s = 0.0
        status = 0
        try:
            exchange = await self._client.send(request)
            status = exchange.status
            async for part in exchange.iterate_body(ANSWER_TIMEOUT_S):
                if not first_part_s:
                    first_part_s = loop.time() - started
                reader.feed(part)
            exchange.close()
            reader.finish(status, bool(call.class_name))
        except (HttpError, TimeoutError):
            reader.is_whole = False
        return Answer(
            call,
            status,
            reader.code,
            reader.is_whole,
            reader.is_not_run,
            first_part_s,
            loop.time() - started,
            reader.text,
            reader.charged_tokens,
            n_attempts,
        )


class _AnswerReader:
    """Collects one answer and tells whether it is whole."""

    def __init__(self) -> None:
        self.is_whole = False
        self.is_not_run = False
        self.code = ""
        self.text = ""
        self.charged_tokens = -1
        self._data = bytearray()

    def feed(self, part: bytes) -> None:
        """Take a part of the body."""
        self._data += part

    def finish(self, status: int, is_model: bool) -> None:
        """Take the end of the body."""
        if status != 200:
            self._read_refusal()
            return
        if is_model:
            self._read_events()
            return
        self.is_whole = True

    def _read_refusal(self) -> None:
        content: dict[str, Any] = json.loads(self._data)
        self.code = str(content.get("code", ""))
        self.is_not_run = bool(content.get("not_run"))

    def _read_events(self) -> None:
        for block in self._data.decode().split("\n\n"):
            fields = dict(
                line.split(": ", 1) for line in block.splitlines() if ": " in line
            )
            if "data" not in fields:
                continue
            content: dict[str, Any] = json.loads(fields["data"])
            if fields.get("event") == "done":
                self.is_whole = True
                self.charged_tokens = int(content.get("charged_tokens", -1))
                continue
            if fields.get("event") == "error":
                self.code = str(content.get("code", ""))
                continue
            self.text += str(content.get("text", ""))
