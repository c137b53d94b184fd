"""Latency that a router adds: the same engines called directly and through it."""

from __future__ import annotations

import asyncio
import json
import random
from typing import TYPE_CHECKING

import attrs

from ..http import HttpCall, HttpClient
from ._callers import Answer, Call, Caller, CallerPlan

if TYPE_CHECKING:
    from ._deployment import Deployment

__all__ = ["LatencySamples", "measure_added_latency"]

N_CALLS = 60
MAX_TOKENS = 8
CLASS_NAME = "tag"
PROMPT = "which pass was it"
ANSWER_TIMEOUT_S = 10.0


@attrs.frozen
class LatencySamples:
    """Calls made in turn, directly and through a router of the same region.

    Attributes
    ----------
    direct_s : tuple of float
        Times to the first part of direct calls, in seconds.
    answers : tuple of Answer
        How the calls through the router ended, each made right after the direct call
        at the same place.
    """

    direct_s: tuple[float, ...]
    answers: tuple[Answer, ...]

    def find_added_ms(self, percent: float) -> float:
        """Return a percentile of the latency that the router adds, in milliseconds.

        It is that of the differences between each call through the router and the
        direct call before it. A difference of two percentiles could fall as the
        percentile rises.

        Parameters
        ----------
        percent : float
            The percentile, from 0 to 100.

        Returns
        -------
        float
            Milliseconds that the router adds; 0 if no call has a whole answer.
        """
        added_s = [
            answer.first_part_s - direct_s
            for direct_s, answer in zip(self.direct_s, self.answers, strict=True)
            if answer.is_whole
        ]
        return _find_percentile(added_s, percent) * 1000.0


async def measure_added_latency(
    deployment: Deployment, account: str, bearer_key: str
) -> LatencySamples:
    """Call engines of the first region in turn, directly and through a router.

    Parameters
    ----------
    deployment : Deployment
        A deployment without other load.
    account : str
        Client account that pays.
    bearer_key : str
        Its bearer key.

    Returns
    -------
    LatencySamples
        The times.
    """
    client = HttpClient()
    router = deployment.routers[0]
    plan = CallerPlan(lambda: [router.caller_address], bearer_key)
    caller = Caller(plan, client, random.Random(deployment.plan.seed))
    direct_s: list[float] = []
    answers: list[Answer] = []
    for number in range(N_CALLS):
        direct_s.append(await _time_direct_call(deployment, client, number))
        answers.append(await caller.send(_make_call(deployment, account, number)))
    client.close()
    return LatencySamples(tuple(direct_s), tuple(answers))


def _make_call(deployment: Deployment, account: str, number: int) -> Call:
    content = {"prompt": PROMPT, "max_tokens": MAX_TOKENS, "class": CLASS_NAME}
    target = f"/v1/{deployment.plan.model_service}/completions"
    body = json.dumps(content).encode()
    return Call(account, f"latency-{number:04d}", CLASS_NAME, "POST", target, body)


async def _time_direct_call(
    deployment: Deployment, client: HttpClient, number: int
) -> float:
    content = {
        "request_id": f"direct-{number}",
        "prompt": PROMPT,
        "max_tokens": MAX_TOKENS,
        "priority": 1,
        "stream": True,
    }
    address = deployment.engines[0].address
    body = json.dumps(content).encode()
    loop = asyncio.get_running_loop()
    started = loop.time()
    exchange = await client.send(HttpCall(address, "POST", "/v1/completions", (), body))
    first_part_s = 0.0
    async for _ in exchange.iterate_body(ANSWER_TIMEOUT_S):
        first_part_s = first_part_s or loop.time() - started
    exchange.close()
    return first_part_s


def _find_percentile(values: list[float], percent: float) -> float:
    if not values:
        return 0.0
    return sorted(values)[round((len(values) - 1) * percent / 100.0)]
