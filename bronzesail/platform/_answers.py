"""Decodes the heads of backend servers' answers and encodes the router's own."""

from __future__ import annotations

from ..errors import Refusal, ResultCode
from ..model import AnswerHead

__all__ = ["AnswerHeadReader", "encode_refusal_head"]

# Headers that concern one connection, and those that the router sets anew.
DROPPED = {
    b"connection", b"keep-alive", b"transfer-encoding", b"content-length",
    b"trailer", b"upgrade", b"proxy-connection",
}  # fmt: skip


# These promise callers that the request has not run and never will.
NOT_RUN_STATUSES = {408, 421, 429, 503}
# A 4xx of the router's own is kept for requests that are wrong in themselves.
STATUSES = {ResultCode.QUARANTINED: 503}


class AnswerHeadReader:
    """Collects the header lines of one answer."""

    def __init__(self) -> None:
        self._lines: list[bytes] = []
        self._found: dict[bytes, bytes] = {}

    def add(self, name: bytes, value: bytes) -> None:
        """Take one header line."""
        lower = name.lower()
        self._found[lower] = value
        if lower not in DROPPED:
            self._lines.append(b"%b: %b\r\n" % (name, value))

    def finish(self, status: int) -> AnswerHead:
        """Return what the lines say."""
        request_id = self._found.get(b"x-attempt-id")
        running, waiting = _read_load(self._found.get(b"x-server-load"))
        return AnswerHead(
            status=status,
            request_id=None if request_id is None else request_id.decode("latin-1"),
            # 421 says the same as the header: this server did not run the request.
            is_not_run=b"x-not-executed" in self._found or status == 421,
            is_sealed=b"x-server-seal" in self._found,
            is_encoded=b"content-encoding" in self._found,
            running=running,
            waiting=waiting,
            passed_on=b"".join(self._lines),
        )

    @property
    def has_length(self) -> bool:
        """Whether the answer says where it ends."""
        return (
            b"content-length" in self._found
            or b"chunked" in self._found.get(b"transfer-encoding", b"").lower()
        )

    @property
    def idle_timeout_s(self) -> float | None:
        """How long the server keeps the connection open when idle."""
        for part in self._found.get(b"keep-alive", b"").split(b","):
            name, _, value = part.strip().partition(b"=")
            if name.lower() == b"timeout" and value.isdigit():
                return float(value)
        return None


def encode_refusal_head(request_id: str | None, refusal: Refusal) -> tuple[int, bytes]:
    """Return the status and the header lines of a refusal.

    A status that promises that nothing ran goes only with a refusal that says so.
    """
    status = STATUSES.get(refusal.code, refusal.http_status)
    if status in NOT_RUN_STATUSES and not refusal.is_not_run:
        status = 502
    lines = [b"X-Result-Code: %b\r\n" % refusal.label.encode("latin-1")]
    if request_id is not None:
        lines.append(b"X-Attempt-Id: %b\r\n" % request_id.encode("latin-1"))
    if refusal.retry_after_s:
        lines.append(b"Retry-After: %.3f\r\n" % refusal.retry_after_s)
    return status, b"".join(lines)


def _read_load(value: bytes | None) -> tuple[int | None, int | None]:
    """Read the running and waiting requests that a server tells."""
    if value is None:
        return None, None
    parts = value.split(b",")
    if len(parts) < 2 or not all(part.strip().isdigit() for part in parts[:2]):
        return None, None
    return int(parts[0]), int(parts[1])
