"""Explains where this router would send a request now, without sending it.

The question is a query string, and the answer JSON. The same code decides as for
requests: `AdmissionQueue`, `Placement` and `Directory`. Nothing is reserved, no permit
is taken, and no state changes that later requests depend on.
"""

from __future__ import annotations

import math
import re
from typing import TYPE_CHECKING, Any
from urllib.parse import parse_qsl

import attrs
import msgspec

from ..errors import ResultCode, describe_code
from .eligibility import combine_regions
from .exchange import MAX_WAIT_SHARE
from .placement import Work

if TYPE_CHECKING:
    from ..model import ClientAccount, Configuration, Route
    from .admission_queue import Verdict
    from .services import Services

__all__ = ["Question", "QuestionError", "answer_question", "read_question"]

REPEATABLE_NAMES = {"part", "exclude"}
SINGLE_NAMES = {"host", "path", "account", "tokens", "version"}
MAX_TOKEN_DIGITS = 9
# A part of a prompt: its id and its number of tokens.
PART_PATTERN = re.compile(r"(.+):([0-9]{1,9})", re.ASCII)
MAX_VALUE_ECHO = 60  # Characters of a wrong value that an error repeats.


class QuestionError(ValueError):
    """Raised for a question that cannot be answered; the text is for the operator."""


@attrs.frozen(kw_only=True)
class Question:
    """A request, as far as the choice of its server depends on it."""

    host: str
    path: str
    account: str | None = None
    work: Work = Work()
    excluded: tuple[str, ...] = ()
    version: str | None = None


def read_question(query: str) -> Question:
    """Return the question in a query string.

    >>> read_question("host=api.example&path=/chat/1&part=a:100&part=b:50").work.tokens
    150

    Raises
    ------
    QuestionError
        If a parameter is unknown, missing, repeated or malformed.
    """
    try:
        pairs = parse_qsl(
            query, keep_blank_values=True, strict_parsing=bool(query), errors="strict"
        )
    except ValueError as error:
        raise QuestionError(f"the query string is malformed: {error}") from error
    values: dict[str, list[str]] = {}
    for name, value in pairs:
        if name not in REPEATABLE_NAMES | SINGLE_NAMES:
            raise QuestionError(f"unknown parameter {_shorten(name)}")
        if not value:
            raise QuestionError(f"parameter {name} is empty")
        values.setdefault(name, []).append(value)
    for name in ("host", "path"):
        if name not in values:
            raise QuestionError(f"parameter {name} is missing")
    for name in sorted(SINGLE_NAMES & values.keys()):
        if len(values[name]) > 1:
            raise QuestionError(f"parameter {name} may occur once only")
    if not values["path"][0].startswith("/"):
        raise QuestionError("parameter path must begin with a slash")
    return Question(
        host=values["host"][0].lower(),
        path=values["path"][0].partition("?")[0],
        account=values.get("account", [None])[0],
        work=_read_work(values),
        excluded=tuple(values.get("exclude", ())),
        version=values.get("version", [None])[0],
    )


def _read_work(values: dict[str, list[str]]) -> Work:
    """Return the prompt; without a count of its own it has the tokens of its parts."""
    parts = []
    for value in values.get("part", ()):
        match = PART_PATTERN.fullmatch(value)
        if match is None:
            raise QuestionError(
                f"parameter part must be ID:TOKENS, not {_shorten(value)}"
            )
        parts.append((match[1], int(match[2])))
    tokens = sum(count for _, count in parts)
    for value in values.get("tokens", ()):
        if not (
            value.isascii() and value.isdecimal() and len(value) <= MAX_TOKEN_DIGITS
        ):
            raise QuestionError(
                f"parameter tokens must be a number of at most {MAX_TOKEN_DIGITS}"
                f" digits, not {_shorten(value)}"
            )
        if int(value) < tokens:
            raise QuestionError(f"parameter tokens is below the {tokens} of the parts")
        tokens = int(value)
    return Work(parts=parts, tokens=tokens)


def answer_question(services: Services, query: str) -> tuple[int, bytes]:
    """Return status and body of the answer to a question in a query string."""
    try:
        answer = _explain(services, read_question(query))
    except QuestionError as error:
        return 400, msgspec.json.encode({"error": str(error)})
    return 200, msgspec.json.encode(answer)


def _explain(services: Services, question: Question) -> dict[str, Any]:
    """Return what this router would do with a request now."""
    configuration = services.configuration.current
    if configuration is None:
        raise QuestionError("this router has no configuration yet")
    route = configuration.find_route(question.host, question.path)
    if route is None:
        route = configuration.find_route(question.host.partition(":")[0], question.path)
    if route is None:
        raise QuestionError(
            f"no route for host {_shorten(question.host)} and path"
            f" {_shorten(question.path)}"
        )
    account = _find_account(configuration, question.account)
    priority = route.priority
    if account is not None and account.priority is not None:
        priority = account.priority
    return {
        "host": services.settings.host,
        "zone": services.settings.zone,
        "configuration_version": configuration.version,
        "route": route.name,
        "account": question.account,
        "priority": priority,
        "services": [
            _explain_service(
                services, configuration, question, route, account, priority, entry
            )
            for entry in route.services
        ],
    }


def _find_account(
    configuration: Configuration, name: str | None
) -> ClientAccount | None:
    """Return the account that a question names, if it names one."""
    if name is None:
        return None
    account = configuration.accounts.get(name)
    if account is None:
        raise QuestionError(f"unknown account {_shorten(name)}")
    return account


def _explain_service(
    services: Services,
    configuration: Configuration,
    question: Question,
    route: Route,
    account: ClientAccount | None,
    priority: int,
    entry: tuple[str, float],
) -> dict[str, Any]:
    """Return what this router would do, if it has drawn one service of the route."""
    name, weight = entry
    service = configuration.services.get(name)
    engine = None if service is None else service.engine
    regions = combine_regions(
        route.regions, None if account is None else account.regions
    )
    verdicts = services.admission_queue.list_verdicts(
        name, question.work, engine, question.excluded, question.version, regions
    )
    decision, reason = _decide(
        services, question, route, priority, name, verdicts, regions
    )
    now = services.loop.time()
    placement = services.placement
    return {
        "service": name,
        "weight": weight,
        "decision": decision,
        "reason": reason,
        "queued": services.admission_queue.count_waiting(name),
        "servers": [
            {
                "server": verdict.server.id,
                "zone": verdict.server.zone,
                "version": verdict.server.version,
                "slots": verdict.server.slots,
                "requests": round(
                    placement.estimate_requests(verdict.server.id, now), 1
                ),
                "cost_s": round(verdict.cost_s, 6),
                "is_chosen": verdict.is_chosen and decision == "send",
                "reason": verdict.reason,
            }
            for verdict in sorted(
                verdicts, key=lambda v: (v.reason is not None, v.cost_s, v.server.id)
            )
        ],
    }


def _decide(
    services: Services,
    question: Question,
    route: Route,
    priority: int,
    service: str,
    verdicts: list[Verdict],
    regions: frozenset[str] | None,
) -> tuple[str, str]:
    """Return "send", "wait", "refuse" or "forward", with the reason.

    The order of the checks is that of `Exchange`.
    """
    parts = [part for part, _ in question.work.parts[:-1]]
    part = services.crashing_parts.find_quarantined(parts)
    is_cut_off = services.links.is_cut_off(service, question.version, regions)
    if is_cut_off and services.forwarder.has_target(service, regions):
        return "forward", "no server is reached from here, and other routers are"
    if part is not None:
        return "refuse", _describe(ResultCode.QUARANTINED)
    usable = services.directory.list_usable(service, question.version, regions)
    if not usable:
        return "refuse", _describe(ResultCode.NO_BACKEND)
    now = services.loop.time()
    queue = services.admission_queue
    resume_at = queue.find_resume_time(
        service, rank=priority, version=question.version, regions=regions
    )
    is_pausing = resume_at is not None and (
        resume_at > now + route.timeout_s * MAX_WAIT_SHARE
    )
    if is_pausing or all(server.id in question.excluded for server in usable):
        return "refuse", _describe(ResultCode.OVERLOADED)
    if queue.has_waiting(service, question.version):
        return "wait", "queued requests go first"
    chosen = next((v.server.id for v in verdicts if v.is_chosen), None)
    if chosen is not None:
        return "send", f"{chosen} has the least cost"
    if resume_at is not None and not math.isinf(resume_at):
        return "wait", f"a server accepts requests again in {resume_at - now:.3f} s"
    return "wait", "no server has room"


def _describe(code: ResultCode) -> str:
    """Return a result code with its meaning."""
    return f"BZ{int(code)}: {describe_code(code).meaning}"


def _shorten(value: str) -> str:
    """Return a wrong value for an error, quoted and cut."""
    return repr(value[:MAX_VALUE_ECHO])
