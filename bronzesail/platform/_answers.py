"""Decodes response heads of backend servers and encodes heads of refusals."""

from __future__ import annotations

import datetime
import email.utils
import re

from ..errors import Refusal, ResultCode
from ..model import AnswerHead
from ._fields import MAX_COLD_S

__all__ = ["AnswerHeadReader", "encode_refusal_head"]

# Hop-by-hop headers, and headers that the router sets itself.
DROPPED_HEADERS = {
    b"connection", b"keep-alive", b"transfer-encoding", b"content-length",
    b"trailer", b"upgrade", b"proxy-connection",
}  # fmt: skip


# What servers and the store say of themselves; each may occur more than once.
REPORT_HEADERS = {
    b"server-leaving", b"server-limit", b"server-brittle", b"retry-after", b"store-era",
    b"x-cold-ms",
}  # fmt: skip
DECIMAL_NUMBER = re.compile(rb"[0-9]{1,9}(\.[0-9]{0,9})?")
MAX_LOAD_DIGITS = 6  # Of a reported number of requests; servers have some dozens.
MAX_SLOWNESS_PERCENTAGE = 100_000  # A slower server serves nothing in time.
MAX_ERA = 1_000_000_000  # The store's era rises by one with each restore.
# Statuses that guarantee callers that the request was not and will not be executed.
NOT_EXECUTED_STATUSES = {408, 421, 429, 503}
# Overrides of the status of a refusal. The router sends a 4xx status only for requests
# that are invalid in themselves.
STATUS_BY_CODE = {ResultCode.QUARANTINED: 503}


class AnswerHeadReader:
    """Collects the header lines of one response."""

    def __init__(self) -> None:
        self._lines: list[bytes] = []
        self._value_by_name: dict[bytes, bytes] = {}
        self._values_by_name: dict[bytes, list[bytes]] = {}

    def add(self, name: bytes, value: bytes) -> None:
        """Add one header line."""
        lower = name.lower()
        self._value_by_name[lower] = value
        if lower in REPORT_HEADERS:
            self._values_by_name.setdefault(lower, []).append(value.strip())
        if lower not in DROPPED_HEADERS:
            self._lines.append(b"%b: %b\r\n" % (name, value))

    def finish(self, status: int) -> AnswerHead:
        """Return the response's head, decoded from the collected lines."""
        request_id = self._value_by_name.get(b"x-attempt-id")
        malformed: list[str] = []
        running, waiting, slots, slowness = self._read_load(malformed)
        return AnswerHead(
            status=status,
            request_id=None if request_id is None else request_id.decode("latin-1"),
            # 421 (Misdirected Request) means the same as the header: this server did
            # not execute the request.
            is_not_run=b"x-not-executed" in self._value_by_name or status == 421,
            is_sealed=b"x-server-seal" in self._value_by_name,
            is_encoded=b"content-encoding" in self._value_by_name,
            running=running,
            waiting=waiting,
            passed_on=b"".join(self._lines),
            has_length=self.has_length,
            is_leaving=self._read_leaving(malformed),
            pause_s=self._read_pause_s(malformed) if status == 503 else None,
            max_rate_per_s=self._read_lowest("Server-Limit", malformed),
            max_rejected_per_s=self._read_lowest("Server-Brittle", malformed),
            cold_left_s=self._read_cold_left_s(malformed),
            store_era=self._read_store_era(malformed),
            malformed=tuple(malformed),
            slots=slots,
            slowness=slowness,
        )

    def _read_load(
        self, malformed: list[str]
    ) -> tuple[int | None, int | None, int | None, float | None]:
        """Return running and waiting requests, slots and slowness.

        What is missing or malformed is None. A malformed slowness leaves the other
        figures valid. More requests running than the server has slots make the whole
        report malformed, but only if it has a slowness: servers that report none are
        read as by earlier builds.
        """
        value = self._value_by_name.get(b"x-server-load")
        if value is None:
            return None, None, None, None
        parts = [part.strip() for part in value.split(b",", 4)[:4]]
        running, waiting, slots = (
            _read_load_number(part) for part in (parts + [b""] * 3)[:3]
        )
        if running is None or waiting is None:
            malformed.append("X-Server-Load")
            return None, None, None, None
        if len(parts) < 4:
            return running, waiting, slots, None
        slowness = _read_slowness(parts[3])
        if slots is not None and running > slots:
            malformed.append("X-Server-Load")
            return None, None, None, None
        if slots is None or slowness is None:
            malformed.append("X-Server-Load")
        return running, waiting, slots, slowness

    def _read_leaving(self, malformed: list[str]) -> bool:
        """Whether the server announces that it will stop."""
        values = self._values_by_name.get(b"server-leaving", [])
        if not set(values) <= {b"0", b"1"}:
            malformed.append("Server-Leaving")
        return b"1" in values

    def _read_lowest(self, name: str, malformed: list[str]) -> float | None:
        """Return the lowest number in a header, None if there is no valid one."""
        lowest: float | None = None
        for value in self._values_by_name.get(name.lower().encode(), []):
            if DECIMAL_NUMBER.fullmatch(value) is None:
                malformed.append(name)
                continue
            number = float(value)
            lowest = number if lowest is None else min(lowest, number)
        return lowest

    def _read_cold_left_s(self, malformed: list[str]) -> float | None:
        """Return the longest time in X-Cold-Ms, None if there is no valid one."""
        longest_ms: float | None = None
        for value in self._values_by_name.get(b"x-cold-ms", []):
            if (
                DECIMAL_NUMBER.fullmatch(value) is None
                or float(value) / 1000 > MAX_COLD_S
            ):
                malformed.append("X-Cold-Ms")
                continue
            longest_ms = max(longest_ms or 0.0, float(value))
        return None if longest_ms is None else longest_ms / 1000

    def _read_store_era(self, malformed: list[str]) -> int | None:
        """Return the era of the store, None if it is missing or not certain."""
        values = set(self._values_by_name.get(b"store-era", []))
        if not values:
            return None
        value = values.pop()
        # A number of more digits than any era has would take long to convert.
        is_number = value.isdigit() and len(value) <= len(str(MAX_ERA))
        if values or not is_number or int(value) > MAX_ERA:
            malformed.append("Store-Era")
            return None
        return int(value)

    def _read_pause_s(self, malformed: list[str]) -> float | None:
        """Return the longest time in Retry-After, None if there is no valid one."""
        longest_s = None
        for value in self._values_by_name.get(b"retry-after", []):
            pause_s = _read_retry_after_s(value.decode("latin-1"))
            if pause_s is None:
                malformed.append("Retry-After")
            elif longest_s is None or pause_s > longest_s:
                longest_s = pause_s
        return longest_s

    @property
    def has_length(self) -> bool:
        """Whether the body is delimited by its length or by chunks."""
        return (
            b"content-length" in self._value_by_name
            or b"chunked" in self._value_by_name.get(b"transfer-encoding", b"").lower()
        )

    @property
    def idle_timeout_s(self) -> float | None:
        """Idle timeout that the server announces, None if it announces none."""
        for part in self._value_by_name.get(b"keep-alive", b"").split(b","):
            name, _, value = part.strip().partition(b"=")
            if name.lower() == b"timeout" and value.isdigit():
                return float(value)
        return None


def encode_refusal_head(request_id: str | None, refusal: Refusal) -> tuple[int, bytes]:
    """Return the status and the header lines of a refusal.

    A status that guarantees that the request was not executed is replaced by 502 if
    the request may have been executed.
    """
    status = STATUS_BY_CODE.get(refusal.code, refusal.http_status)
    if status in NOT_EXECUTED_STATUSES and not refusal.is_not_run:
        status = 502
    lines = [b"X-Result-Code: %b\r\n" % refusal.label.encode("latin-1")]
    if request_id is not None:
        lines.append(b"X-Attempt-Id: %b\r\n" % request_id.encode("latin-1"))
    if refusal.retry_after_s:
        lines.append(b"Retry-After: %.3f\r\n" % refusal.retry_after_s)
    return status, b"".join(lines)


def _read_load_number(text: bytes) -> int | None:
    """Return a number of requests, None if it is malformed."""
    if not text.isdigit() or len(text) > MAX_LOAD_DIGITS:
        return None
    return int(text)


def _read_slowness(text: bytes) -> float | None:
    """Return the slowness that a percentage of the usual time says.

    >>> _read_slowness(b"150"), _read_slowness(b"0"), _read_slowness(b"9" * 1000)
    (1.5, None, None)
    """
    if DECIMAL_NUMBER.fullmatch(text) is None:
        return None
    percentage = float(text)
    if not 0 < percentage <= MAX_SLOWNESS_PERCENTAGE:
        return None
    return percentage / 100


def _read_retry_after_s(text: str) -> float | None:
    """Return a time in seconds, given as a number or as a date; None if malformed."""
    try:
        seconds = float(text)
    except ValueError:
        try:
            date = email.utils.parsedate_to_datetime(text)
        except (TypeError, ValueError, OverflowError):
            return None
        if date.tzinfo is None:
            date = date.replace(tzinfo=datetime.UTC)
        return max(0.0, (date - datetime.datetime.now(datetime.UTC)).total_seconds())
    return seconds if seconds >= 0 else None  # Also None for a NaN.
