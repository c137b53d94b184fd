"""Authenticate a caller's HTTP request and parse it into a `CallerOrder`."""

from __future__ import annotations

import hashlib
import json
from typing import TYPE_CHECKING, Any
from urllib.parse import urlsplit

import attrs
from returns.result import Failure, Result, Success

from ..errors import Refusal, ResultCode
from ..schema import ClientAccount, PriorityClass, ServiceEntry
from ..util.keys import check_key, split_key

if TYPE_CHECKING:
    from ..configuration import Configuration
    from ..http import HttpRequest
    from ._interfaces import RequestSettings

__all__ = ["CallerOrder", "authenticate", "estimate_tokens", "parse_order", "read_key"]

BEARER = "Bearer "
# Prompt bytes that are estimated to make one token.
BYTES_PER_TOKEN = 4
# Limit of an idempotency key, in characters.
MAX_KEY_LENGTH = 200
FINGERPRINT_BYTES = 16
# Request headers that are forwarded to a plain service.
PLAIN_HEADERS = ("content-type", "accept")
# Stands for the default class of an account if that class is not configured.
FALLBACK_CLASS = PriorityClass(name="answer", priority=5)


@attrs.frozen
class CallerOrder:
    """Parsed and validated request of a caller.

    Attributes
    ----------
    account : str
        Client account.
    service : ServiceEntry
        Service that is called.
    priority_class : PriorityClass
        Priority class of the request.
    budget : str
        Name of the budget that is charged.
    key : str
        Request key, by which repeated requests are recognised.
    is_key_chosen : bool
        Whether the caller sent an idempotency key.
    method : str
        HTTP method of a plain call.
    target : str
        Path and query of a plain call on the backend server.
    headers : tuple of (str, str)
        Headers forwarded with a plain call.
    body : bytes
        Body for a plain service, or the prompt for a model engine.
    max_tokens : int
        Output limit, in tokens.
    amount_tokens : int
        Maximum number of tokens the request may use; this many are reserved.
    is_stream : bool
        Whether the caller wants server-sent events.
    deadline : float
        Monotonic time at which the request is stopped, in seconds.
    digest : bytes
        Hash of the request including its budget and token limit; detects a key that
        is reused for a different request.
    fingerprint : bytes
        Hash of the service, method, target and body, independent of the account;
        identifies bodies that crash backend servers.
    """

    account: str
    service: ServiceEntry
    priority_class: PriorityClass
    budget: str
    key: str
    is_key_chosen: bool
    method: str
    target: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    max_tokens: int
    amount_tokens: int
    is_stream: bool
    deadline: float
    digest: bytes
    fingerprint: bytes

    @property
    def is_model(self) -> bool:
        """Whether the service is a model engine."""
        return self.service.kind == "model"

    @property
    def is_repeatable(self) -> bool:
        """Whether the request may run more than once."""
        return self.service.is_repeatable or self.method == "GET"


def refuse(code: ResultCode, detail: str = "") -> Failure[Refusal]:
    """Return a failure whose refusal is marked as not run."""
    return Failure(Refusal(code, is_not_run=True, detail=detail))


def authenticate(
    request: HttpRequest, configuration: Configuration
) -> Result[ClientAccount, Refusal]:
    """Return the client account to which a request's bearer key belongs.

    Parameters
    ----------
    request : HttpRequest
        HTTP request of the caller.
    configuration : Configuration
        Configuration in force.

    Returns
    -------
    Result of ClientAccount or Refusal
        The account. An unknown account and a wrong key get the same refusal, so that
        account names cannot be probed.
    """
    header = request.find_header("authorization")
    if not header.startswith(BEARER):
        return refuse(ResultCode.UNAUTHENTICATED)
    name, secret = split_key(header.removeprefix(BEARER).strip())
    account = configuration.accounts.get(name)
    salt = account.key_salt if account else b"\0"
    expected = account.key_hash if account else b""
    if not check_key(secret, salt, expected) or account is None:
        return refuse(ResultCode.UNAUTHENTICATED)
    if account.is_closed:
        return refuse(ResultCode.ACCOUNT_CLOSED)
    return Success(account)


def estimate_tokens(prompt: bytes, margin: float) -> int:
    """Estimate the number of tokens of a prompt, rounded up.

    Parameters
    ----------
    prompt : bytes
        Prompt in UTF-8.
    margin : float
        Factor by which the estimate is multiplied.

    Returns
    -------
    int
        Estimated tokens.

    Examples
    --------
    >>> estimate_tokens(b"12345", 1.0)
    2
    """
    tokens = -(-len(prompt) // BYTES_PER_TOKEN)
    return -int(-tokens * margin // 1)


def read_key(text: str) -> Result[str, Refusal]:
    """Validate an idempotency key: printable ASCII without spaces, limited in length.

    Parameters
    ----------
    text : str
        Value of the header or path segment.

    Returns
    -------
    Result of str or Refusal
        The key, unchanged, or a refusal.
    """
    if not 0 < len(text) <= MAX_KEY_LENGTH:
        return refuse(ResultCode.BAD_REQUEST_KEY)
    if not all("!" <= character <= "~" for character in text):
        return refuse(ResultCode.BAD_REQUEST_KEY)
    return Success(text)


@attrs.frozen
class _ServiceFields:
    """Fields of a `CallerOrder` whose parsing depends on the kind of service."""

    method: str
    target: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    max_tokens: int
    amount_tokens: int
    is_stream: bool
    class_name: str
    budget: str


class _BadRequestError(Exception):
    """Raised by the parsing functions of this module to refuse a request."""

    def __init__(self, code: ResultCode, detail: str) -> None:
        super().__init__(detail)
        self.refusal = Refusal(code, is_not_run=True, detail=detail)


def parse_order(
    request: HttpRequest,
    account: ClientAccount,
    configuration: Configuration,
    settings: RequestSettings,
    now: float,
) -> Result[CallerOrder, Refusal]:
    """Parse and validate the request of an authenticated caller.

    Parameters
    ----------
    request : HttpRequest
        HTTP request to a path under ``/v1/SERVICE/``.
    account : ClientAccount
        The authenticated client account.
    configuration : Configuration
        Configuration in force.
    settings : RequestSettings
        Settings of the request path.
    now : float
        Monotonic time, in seconds.

    Returns
    -------
    Result of CallerOrder or Refusal
        The order, whose key is empty if the caller sent none, or a refusal.
    """
    try:
        return Success(_parse(request, account, configuration, settings, now))
    except _BadRequestError as error:
        return Failure(error.refusal)


def _parse(
    request: HttpRequest,
    account: ClientAccount,
    configuration: Configuration,
    settings: RequestSettings,
    now: float,
) -> CallerOrder:
    _, _, service_name, action = request.path.split("/", 3)
    service = _find_service(service_name, account, configuration)
    if service.kind == "model":
        parsed = _parse_completion(request, action, service, settings)
    else:
        parsed = _parse_call(request, action, service)
    class_name = parsed.class_name or account.default_class
    priority_class = configuration.classes.get(class_name)
    if priority_class is None:
        if parsed.class_name:
            raise _BadRequestError(ResultCode.UNKNOWN_CLASS, "")
        priority_class = attrs.evolve(FALLBACK_CLASS, name=class_name)
    key = _read_chosen_key(request)
    fields = (service.name, parsed.method, parsed.target, parsed.body)
    digest_fields = (*fields, parsed.max_tokens, parsed.budget)
    return CallerOrder(
        account=account.name,
        service=service,
        priority_class=priority_class,
        budget=parsed.budget or settings.default_budget,
        key=key,
        is_key_chosen=bool(key),
        method=parsed.method,
        target=parsed.target,
        headers=parsed.headers,
        body=parsed.body,
        max_tokens=parsed.max_tokens,
        amount_tokens=parsed.amount_tokens,
        is_stream=parsed.is_stream,
        deadline=now + _read_deadline_s(request, priority_class, settings),
        digest=_hash(digest_fields, settings.fleet_secret),
        fingerprint=_hash(fields, settings.fleet_secret),
    )


def _find_service(
    name: str, account: ClientAccount, configuration: Configuration
) -> ServiceEntry:
    service = configuration.services.get(name)
    if service is None:
        raise _BadRequestError(ResultCode.UNKNOWN_SERVICE, "")
    if account.services and name not in account.services:
        raise _BadRequestError(ResultCode.SERVICE_NOT_ALLOWED, "")
    return service


def _parse_completion(
    request: HttpRequest,
    action: str,
    service: ServiceEntry,
    settings: RequestSettings,
) -> _ServiceFields:
    if action != "completions" or request.method != "POST":
        raise _BadRequestError(ResultCode.UNKNOWN_PATH, "POST /v1/SERVICE/completions")
    content = _read_json(request.body)
    prompt = _read_prompt(content, settings)
    max_tokens = content.get("max_tokens")
    if type(max_tokens) is not int or not 0 < max_tokens <= service.max_output_tokens:
        detail = f"max_tokens must be an integer from 1 to {service.max_output_tokens}"
        raise _BadRequestError(ResultCode.BAD_TOKEN_LIMIT, detail)
    is_stream = content.get("stream", True)
    if type(is_stream) is not bool:
        raise _BadRequestError(ResultCode.MALFORMED_REQUEST, "stream must be a boolean")
    return _ServiceFields(
        method="POST",
        target="/v1/completions",
        headers=(),
        body=prompt,
        max_tokens=max_tokens,
        amount_tokens=estimate_tokens(prompt, settings.prompt_margin) + max_tokens,
        is_stream=is_stream,
        class_name=_read_string(content, "class"),
        budget=_read_string(content, "budget"),
    )


def _parse_call(
    request: HttpRequest, action: str, service: ServiceEntry
) -> _ServiceFields:
    if not action.startswith("call/") or request.method not in ("GET", "POST"):
        raise _BadRequestError(ResultCode.UNKNOWN_PATH, "/v1/SERVICE/call/PATH")
    target = "/" + action.removeprefix("call/")
    query = urlsplit(request.target).query
    if query:
        target += "?" + query
    headers = tuple(pair for pair in request.headers if pair[0] in PLAIN_HEADERS)
    return _ServiceFields(
        method=request.method,
        target=target,
        headers=headers,
        body=request.body,
        max_tokens=0,
        amount_tokens=max(0, service.call_cost_tokens),
        is_stream=False,
        class_name=request.find_header("bronzesail-class"),
        budget=request.find_header("bronzesail-budget"),
    )


def _read_json(body: bytes) -> dict[str, Any]:
    try:
        content = json.loads(body)
    except (ValueError, RecursionError) as error:
        raise _BadRequestError(
            ResultCode.MALFORMED_REQUEST, "body is not JSON"
        ) from error
    if not isinstance(content, dict):
        raise _BadRequestError(
            ResultCode.MALFORMED_REQUEST, "body is not a JSON object"
        )
    return content


def _read_prompt(content: dict[str, Any], settings: RequestSettings) -> bytes:
    prompt = content.get("prompt")
    if not isinstance(prompt, str) or not prompt:
        raise _BadRequestError(
            ResultCode.MALFORMED_REQUEST, "prompt must be a non-empty string"
        )
    try:
        data = prompt.encode()
    except UnicodeEncodeError as error:
        detail = "prompt cannot be encoded as UTF-8"
        raise _BadRequestError(ResultCode.MALFORMED_REQUEST, detail) from error
    if len(data) > settings.max_prompt_bytes:
        raise _BadRequestError(ResultCode.BODY_TOO_LARGE, "prompt is too long")
    return data


def _read_string(content: dict[str, Any], name: str) -> str:
    value = content.get(name, "")
    if not isinstance(value, str):
        raise _BadRequestError(ResultCode.MALFORMED_REQUEST, f"{name} must be a string")
    return value


def _read_chosen_key(request: HttpRequest) -> str:
    names = [name for name, _ in request.headers]
    if "idempotency-key" not in names:
        return ""
    result = read_key(request.find_header("idempotency-key"))
    if isinstance(result, Failure):
        raise _BadRequestError(ResultCode.BAD_REQUEST_KEY, "")
    return result.unwrap()


def _read_deadline_s(
    request: HttpRequest, priority_class: PriorityClass, settings: RequestSettings
) -> float:
    text = request.find_header("bronzesail-deadline-ms")
    if not text:
        return priority_class.deadline_ms / 1000
    is_number = text.isascii() and text.isdigit() and len(text) < 12
    deadline_ms = int(text) if is_number else -1
    if not settings.min_deadline_ms <= deadline_ms <= settings.max_deadline_ms:
        detail = "bronzesail-deadline-ms is not an integer within its range"
        raise _BadRequestError(ResultCode.MALFORMED_REQUEST, detail)
    return deadline_ms / 1000


def _hash(fields: tuple[object, ...], secret: bytes) -> bytes:
    key = hashlib.blake2b(secret, digest_size=32).digest()
    state = hashlib.blake2b(digest_size=FINGERPRINT_BYTES, key=key)
    for field in fields:
        data = field if isinstance(field, bytes) else str(field).encode()
        state.update(len(data).to_bytes(8, "big"))
        state.update(data)
    return state.digest()
