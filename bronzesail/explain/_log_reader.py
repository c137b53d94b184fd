"""Finds one request in the routers' log lines and names the cause of its end."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING, Any

import attrs

if TYPE_CHECKING:
    from collections.abc import Iterable

__all__ = ["RequestStory", "name_cause", "read_log_lines", "tell_story"]

# Lines of these parts explain a request that ended shortly after them.
CONTEXT_PARTS = ("store", "config", "server", "peers", "router", "directory", "budget")
CONTEXT_BEFORE_S = 3.0  # A lost store is noticed within two time limits of a call.
MAX_CONTEXT = 30

CAUSES = {
    "ok": "The request was answered.",
    "caller gone": "The caller closed its connection before the answer's end.",
    "broken": "The server's stream broke off and could not go on elsewhere.",
    "broken at limit": "The stream was still going on at the request's time limit.",
    "BZ1001": "The request was malformed.",
    "BZ1006": "No route of the configuration in force matches host and path.",
    "BZ1101": "The configuration in force has no such key.",
    "BZ1302": "The account's tokens were used up or held where nobody could pass them.",
    "BZ1303": "Tokens may have been left, but neither the store nor a peer gave any.",
    "BZ1403": "Equal requests had crashed servers; it was not sent again.",
    "BZ1404": "The time limit was reached before an answer.",
    "BZ1406": "The service's retries were used up.",
    "BZ1501": "No server of the service could be reached.",
    "BZ1502": "Every server of the service was full.",
    "BZ1503": "The server failed, and the request could not be sent again.",
    "BZ1601": "The router was about to stop.",
}


@attrs.frozen
class RequestStory:
    """One request's lines, what happened around them, and the cause of its end."""

    lines: list[dict[str, Any]]
    context: list[dict[str, Any]]
    cause: str


def read_log_lines(text: Iterable[str]) -> list[dict[str, Any]]:
    """Return the structured lines in `text`, in the order of their time.

    Whatever stands before the first brace of a line is skipped; lines that hold no
    object with a message are left out.
    """
    lines = []
    for raw in text:
        at = raw.find("{")
        if at < 0:
            continue
        try:
            line = json.loads(raw[at:])
        except json.JSONDecodeError:
            continue
        if isinstance(line, dict) and "message" in line:
            lines.append(line)
    lines.sort(key=lambda line: line.get("time", 0.0))
    return lines


def tell_story(lines: list[dict[str, Any]], request_id: str) -> RequestStory | None:
    """Return the story of a request, or None if no line names it."""
    own = [line for line in lines if line.get("request") == request_id]
    if not own:
        return None
    hosts = {line.get("host") for line in own}
    start = own[0].get("time", 0.0) - CONTEXT_BEFORE_S
    end = own[-1].get("time", 0.0)
    servers = {line["server"] for line in own if line.get("server")}
    accounts = {line["account"] for line in own if line.get("account")}
    context = []
    for line in lines:
        if line.get("host") not in hosts or line.get("request"):
            continue
        if not start <= line.get("time", 0.0) <= end:
            continue
        if _explains(line, servers, accounts):
            context.append(line)
    return RequestStory(own, context[-MAX_CONTEXT:], name_cause(own))


def name_cause(own: list[dict[str, Any]]) -> str:
    """Return one sentence on why a request ended as it did.

    >>> name_cause([{"message": "request: ended", "outcome": "BZ1502"}])
    'Every server of the service was full.'
    """
    ended = [line for line in own if line["message"] == "request: ended"]
    if not ended:
        return "The request was still in progress, or its router died."
    outcome = str(ended[-1].get("outcome"))
    if outcome.startswith("server "):
        return f"The server answered with status {outcome.removeprefix('server ')}."
    cause = CAUSES.get(outcome, f"The outcome was {outcome}.")
    reasons = [line["reason"] for line in own if line.get("reason")]
    return f"{cause} Last reason: {reasons[-1]}." if reasons else cause


def _explains(line: dict[str, Any], servers: set[str], accounts: set[str]) -> bool:
    part = line["message"].partition(":")[0]
    if part not in CONTEXT_PARTS or line["message"] == "budget: holdings":
        return False
    if part in ("server", "directory"):
        return line.get("server") in servers
    if part == "budget" and "account" in line:
        return line["account"] in accounts
    return True
