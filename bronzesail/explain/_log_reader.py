"""Traces a request through routers' log lines and describes why it ended."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING, Any

import attrs

if TYPE_CHECKING:
    from collections.abc import Iterable

__all__ = ["RequestTrace", "describe_cause", "read_log_lines", "trace_request"]

# Components whose log lines can explain a request that ended shortly afterwards.
CONTEXT_COMPONENTS = (
    "store",
    "config",
    "server",
    "peers",
    "router",
    "directory",
    "budget",
)
CONTEXT_BEFORE_S = 3.0  # A store outage is detected within two call timeouts.
MAX_CONTEXT_LINES = 30

CAUSES = {
    "ok": "The request was answered.",
    "caller gone": "The caller closed its connection before the response was complete.",
    "broken": "The server's stream broke and could not be resumed on another server.",
    "broken at limit": "The stream was not complete at the request's time limit.",
    "BZ1001": "The request was malformed.",
    "BZ1006": "No route of the configuration in force matches host and path.",
    "BZ1101": "The key is not in the configuration in force.",
    "BZ1302": "The account's tokens were spent, or held and not transferable.",
    "BZ1303": "Tokens may have been left, but neither store nor peers granted any.",
    "BZ1403": "Identical requests, or some with a part of its prompt, crashed servers.",
    "BZ1404": "The time limit expired before the response.",
    "BZ1406": "The service's retry limit was exhausted.",
    "BZ1501": "No server of the service could be reached.",
    "BZ1502": "Every server of the service was at capacity.",
    "BZ1503": "The server failed, and the request could not be retried.",
    "BZ1504": "The link of the host was saturated; see `link: state changed`.",
    "BZ1601": "The router was shutting down.",
}


@attrs.frozen
class RequestTrace:
    """Log lines of a request, related lines of its routers, and why it ended."""

    lines: list[dict[str, Any]]
    context: list[dict[str, Any]]
    cause: str


def read_log_lines(text: Iterable[str]) -> list[dict[str, Any]]:
    """Return the JSON objects in the log lines `text`, sorted by time.

    Text before the first brace of a line is skipped; lines without a JSON object
    that has a message are ignored.
    """
    lines = []
    for raw in text:
        brace_index = raw.find("{")
        if brace_index < 0:
            continue
        try:
            line = json.loads(raw[brace_index:])
        except json.JSONDecodeError:
            continue
        if isinstance(line, dict) and "message" in line:
            lines.append(line)
    lines.sort(key=lambda line: line.get("time", 0.0))
    return lines


def trace_request(lines: list[dict[str, Any]], request_id: str) -> RequestTrace | None:
    """Return the trace of a request, or None if no line has its id.

    The context is limited to lines of the same routers that can explain the end of
    the request.
    """
    request_lines = [line for line in lines if line.get("request") == request_id]
    if not request_lines:
        return None
    hosts = {line.get("host") for line in request_lines}
    start = request_lines[0].get("time", 0.0) - CONTEXT_BEFORE_S
    end = request_lines[-1].get("time", 0.0)
    servers = {line["server"] for line in request_lines if line.get("server")}
    accounts = {line["account"] for line in request_lines if line.get("account")}
    context = []
    for line in lines:
        if line.get("host") not in hosts or line.get("request"):
            continue
        if not start <= line.get("time", 0.0) <= end:
            continue
        if _is_relevant(line, servers, accounts):
            context.append(line)
    return RequestTrace(
        request_lines, context[-MAX_CONTEXT_LINES:], describe_cause(request_lines)
    )


def describe_cause(request_lines: list[dict[str, Any]]) -> str:
    """Return one sentence that says why a request ended, from its log lines.

    >>> describe_cause([{"message": "request: ended", "outcome": "BZ1502"}])
    'Every server of the service was at capacity.'
    """
    ended = [line for line in request_lines if line["message"] == "request: ended"]
    if not ended:
        return "The request was still in progress, or its router crashed."
    outcome = str(ended[-1].get("outcome"))
    if outcome.startswith("server "):
        return f"The server answered with status {outcome.removeprefix('server ')}."
    cause = CAUSES.get(outcome, f"The outcome was {outcome}.")
    if any(_is_held_back(line) for line in request_lines):
        cause += (
            " The store had been restored from an older copy, and processes that had"
            " not written their rows again may have acquired the rest."
        )
    reasons = [line["reason"] for line in request_lines if line.get("reason")]
    return f"{cause} Last reason: {reasons[-1]}." if reasons else cause


def _is_held_back(line: dict[str, Any]) -> bool:
    """Whether tokens that the store's copy shows as left were withheld."""
    left, possibly_left = line.get("left_in_store"), line.get("possibly_left")
    if left is None or possibly_left is None:
        return False
    return bool(left < line.get("tokens", 0) <= possibly_left)


def _is_relevant(line: dict[str, Any], servers: set[str], accounts: set[str]) -> bool:
    component = line["message"].partition(":")[0]
    if component not in CONTEXT_COMPONENTS or line["message"] == "budget: holdings":
        return False
    if component in ("server", "directory"):
        return line.get("server") in servers
    if component == "budget" and "account" in line:
        return line["account"] in accounts
    return True
