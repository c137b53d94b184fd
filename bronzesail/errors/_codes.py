"""Result codes; `docs/reference/result-codes.md` is made from this table."""

from __future__ import annotations

import enum

import attrs

__all__ = ["ResultCode", "describe_code"]


@attrs.frozen
class CodeText:
    """What a result code means to its reader.

    Attributes
    ----------
    http_status : int
        Status of an HTTP answer that carries the code.
    meaning : str
        One sentence.
    advice : str
        What the reader may do.
    """

    http_status: int
    meaning: str
    advice: str


class ResultCode(enum.IntEnum):
    """Numbered outcome of a request or a command."""

    OK = 0
    MALFORMED_REQUEST = 1001
    BODY_TOO_LARGE = 1002
    BODY_TRUNCATED = 1003
    SENDER_TOO_SLOW = 1004
    BAD_TOKEN_LIMIT = 1005
    UNKNOWN_PATH = 1006
    HEADERS_TOO_LARGE = 1007
    BAD_REQUEST_KEY = 1008
    KEY_REUSED_WITH_OTHER_BODY = 1009
    UNAUTHENTICATED = 1101
    ACCOUNT_CLOSED = 1102
    SERVICE_NOT_ALLOWED = 1103
    OPERATOR_KEY_REQUIRED = 1104
    UNKNOWN_SERVICE = 1201
    UNKNOWN_CLASS = 1202
    UNKNOWN_BUDGET = 1301
    BUDGET_EXHAUSTED = 1302
    BUDGET_UNREACHABLE = 1303
    JOURNAL_UNREACHABLE = 1304
    GRANT_FENCED = 1305
    OUTCOME_UNKNOWN = 1401
    ALREADY_RUN = 1402
    QUARANTINED = 1403
    DEADLINE_PASSED = 1404
    CLAIM_UNAVAILABLE = 1405
    RETRY_BUDGET_SPENT = 1406
    UNKNOWN_KEY = 1407
    ANSWER_LOST = 1408
    REQUEST_IN_PROGRESS = 1409
    CANCELLED = 1410
    STREAM_UNKNOWN = 1411
    NO_BACKEND = 1501
    OVERLOADED = 1502
    BACKEND_FAILED = 1503
    LINK_SATURATED = 1504
    DRAINING = 1601
    PEER_UNREACHABLE = 1602
    PEER_REFUSED = 1603
    CONFIGURATION_CONFLICT = 1701
    CONFIGURATION_INVALID = 1702
    CONFIGURATION_NOT_EVERYWHERE = 1703
    CONFIGURATION_TOO_NEW = 1704
    ORDER_FENCED = 1705
    SETTINGS_INVALID = 1706
    PLATFORM_UNREACHABLE = 1801
    PLATFORM_THROTTLED = 1802
    PLATFORM_CONFLICT = 1803
    INTERNAL = 1901


TEXTS: dict[ResultCode, CodeText] = {
    ResultCode.OK: CodeText(200, "The request succeeded.", "Nothing."),
    ResultCode.MALFORMED_REQUEST: CodeText(
        400, "The request is not valid HTTP or JSON.", "Correct the request."
    ),
    ResultCode.BODY_TOO_LARGE: CodeText(
        413, "The body is larger than the limit.", "Send a smaller body."
    ),
    ResultCode.BODY_TRUNCATED: CodeText(
        400, "The body ended before its stated length.", "Send the whole body."
    ),
    ResultCode.SENDER_TOO_SLOW: CodeText(
        408, "The request did not arrive in time.", "Send it again, faster."
    ),
    ResultCode.BAD_TOKEN_LIMIT: CodeText(
        400, "The output limit is out of range.", "Choose a limit in the range."
    ),
    ResultCode.UNKNOWN_PATH: CodeText(
        404, "The path names nothing.", "Correct the path."
    ),
    ResultCode.HEADERS_TOO_LARGE: CodeText(
        431, "The headers are larger than the limit.", "Send fewer headers."
    ),
    ResultCode.BAD_REQUEST_KEY: CodeText(
        400, "The idempotency key is empty, too long or unprintable.", "Correct it."
    ),
    ResultCode.KEY_REUSED_WITH_OTHER_BODY: CodeText(
        422, "The idempotency key stands for another request.", "Choose a new key."
    ),
    ResultCode.UNAUTHENTICATED: CodeText(
        401, "The bearer key is missing or wrong.", "Send the account's key."
    ),
    ResultCode.ACCOUNT_CLOSED: CodeText(
        403, "The client account is closed.", "Ask the operator."
    ),
    ResultCode.SERVICE_NOT_ALLOWED: CodeText(
        403, "The client account may not use the service.", "Ask the operator."
    ),
    ResultCode.OPERATOR_KEY_REQUIRED: CodeText(
        401, "The call needs the operator key.", "Send the operator key."
    ),
    ResultCode.UNKNOWN_SERVICE: CodeText(
        404, "No service has this name.", "Correct the service name."
    ),
    ResultCode.UNKNOWN_CLASS: CodeText(
        400, "No class has this name.", "Correct the class name."
    ),
    ResultCode.UNKNOWN_BUDGET: CodeText(
        404, "The client account has no such budget.", "Correct the budget name."
    ),
    ResultCode.BUDGET_EXHAUSTED: CodeText(
        402, "The budget holds too few tokens.", "Top up, or ask for fewer tokens."
    ),
    ResultCode.BUDGET_UNREACHABLE: CodeText(
        503, "No tokens could be granted before the deadline.", "Send it again later."
    ),
    ResultCode.JOURNAL_UNREACHABLE: CodeText(
        503, "No journal peer answered.", "Send it again later."
    ),
    ResultCode.GRANT_FENCED: CodeText(
        503, "Another router reclaimed the grant.", "Send it again."
    ),
    ResultCode.OUTCOME_UNKNOWN: CodeText(
        504, "Whether the request ran is unknown.", "Check with the service's owner."
    ),
    ResultCode.ALREADY_RUN: CodeText(
        409, "The request has run already.", "Read its result from the service."
    ),
    ResultCode.QUARANTINED: CodeText(
        422, "The request crashed backend servers.", "Do not send it again."
    ),
    ResultCode.DEADLINE_PASSED: CodeText(
        504, "The deadline passed before the request ran.", "Send it again later."
    ),
    ResultCode.CLAIM_UNAVAILABLE: CodeText(
        503, "The claim could not be recorded.", "Send it again later."
    ),
    ResultCode.RETRY_BUDGET_SPENT: CodeText(
        503, "Too many retries are under way.", "Send it again later."
    ),
    ResultCode.UNKNOWN_KEY: CodeText(
        404, "No router knows the request key.", "Correct the key."
    ),
    ResultCode.ANSWER_LOST: CodeText(
        502, "The rest of the answer is lost.", "Ask the service's owner."
    ),
    ResultCode.REQUEST_IN_PROGRESS: CodeText(
        409, "The request is running.", "Resume it by its key."
    ),
    ResultCode.CANCELLED: CodeText(499, "The caller cancelled.", "Nothing."),
    ResultCode.STREAM_UNKNOWN: CodeText(
        503, "Nobody knows which version began the stream.", "Send it from the start."
    ),
    ResultCode.NO_BACKEND: CodeText(
        503, "No backend server offers the service now.", "Send it again later."
    ),
    ResultCode.OVERLOADED: CodeText(
        429, "The class's queue is full.", "Send it again after the stated time."
    ),
    ResultCode.BACKEND_FAILED: CodeText(
        502, "The backend server failed.", "Send it again if it is idempotent."
    ),
    ResultCode.LINK_SATURATED: CodeText(
        503,
        "The link of the router's host carries no more requests in time.",
        "Send it again after the stated time, over a new connection.",
    ),
    ResultCode.DRAINING: CodeText(
        503, "The router is shutting down.", "Send it to another router."
    ),
    ResultCode.PEER_UNREACHABLE: CodeText(
        503, "Another router did not answer.", "Send it again later."
    ),
    ResultCode.PEER_REFUSED: CodeText(
        502, "Another router refused the message.", "See the router's log."
    ),
    ResultCode.CONFIGURATION_CONFLICT: CodeText(
        409, "Another operator applied a change first.", "Read it, then apply again."
    ),
    ResultCode.CONFIGURATION_INVALID: CodeText(
        422, "The configuration breaks a rule.", "Correct the named answer."
    ),
    ResultCode.CONFIGURATION_NOT_EVERYWHERE: CodeText(
        202, "Some routers have not acknowledged the version.", "See the list."
    ),
    ResultCode.CONFIGURATION_TOO_NEW: CodeText(
        409, "The version needs a newer program.", "Upgrade the router."
    ),
    ResultCode.ORDER_FENCED: CodeText(
        409, "A newer order was given to the backend server.", "Read its state."
    ),
    ResultCode.SETTINGS_INVALID: CodeText(
        422, "A setting breaks a rule.", "Correct the named setting."
    ),
    ResultCode.PLATFORM_UNREACHABLE: CodeText(
        503, "The platform's service did not answer.", "Try again later."
    ),
    ResultCode.PLATFORM_THROTTLED: CodeText(
        503, "The platform's service refused for its rate limit.", "Try again later."
    ),
    ResultCode.PLATFORM_CONFLICT: CodeText(
        409, "The row changed meanwhile.", "Read it and try again."
    ),
    ResultCode.INTERNAL: CodeText(
        500, "The router met a fault of its own.", "Report the log lines."
    ),
}


def describe_code(code: ResultCode) -> CodeText:
    """Return the text of a result code.

    Parameters
    ----------
    code : ResultCode
        The code.

    Returns
    -------
    CodeText
        Its HTTP status, meaning and advice.

    Examples
    --------
    >>> describe_code(ResultCode.DRAINING).http_status
    503
    """
    return TEXTS[code]
