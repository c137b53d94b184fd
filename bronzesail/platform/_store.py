"""Encodes calls to the platform's store and decodes its responses."""

from __future__ import annotations

import base64
from typing import TYPE_CHECKING, Any
from urllib.parse import urlencode

import msgspec

from ..model import Row, RowsAnswer, StoreVersion
from ._fields import decode_object, read_entries, read_int, read_text, read_texts

if TYPE_CHECKING:
    from collections.abc import Sequence

    from ..model import RowCheck, RowKey, RowWrite

__all__ = [
    "CONFIGURATION_ROW",
    "SERVER_TABLE",
    "StoreWire",
    "decode_evacuation_key",
]

CONFIGURATION_ROW = ("op", "config")
# A row of the configuration's table with this prefix and a data centre evacuates it,
# whatever its value is.
EVACUATION_PREFIX = "evacuate/"
SERVER_TABLE = "servers"
JSON_HEADER = b"Content-Type: application/json\r\n"


class StoreWire:
    """Encodes and decodes the messages of the store's HTTP interface.

    Each `encode` method returns method, target, header lines and body.
    """

    def encode_transaction(
        self,
        checks: Sequence[RowCheck],
        writes: Sequence[RowWrite],
        removals: Sequence[RowKey],
    ) -> tuple[bytes, bytes, bytes, bytes]:
        """Encode a transaction that writes and removes rows if all checks hold."""
        body = {
            # "expectedRev" is not a version but a list of rows with the
            # version that each must have.
            "expectedRev": [
                {**_encode_key(check.key), "rowVersion": check.version}
                for check in checks
            ],
            "write": [
                {
                    **_encode_key(write.key),
                    "value": base64.b64encode(write.value).decode("ascii"),
                }
                for write in writes
            ],
            "remove": [_encode_key(key) for key in removals],
        }
        return b"POST", b"/rows-tx", JSON_HEADER, msgspec.json.encode(body)

    def encode_read(
        self, table: str, part: str, start: str, limit: int
    ) -> tuple[bytes, bytes, bytes, bytes]:
        """Encode a read of up to `limit` rows from the key `start` on."""
        query = {"table": table, "part": part, "limit": str(limit)}
        if start:
            # "source" is the first key of the page.
            query["source"] = start
        return b"GET", b"/rows-get?" + urlencode(query).encode("ascii"), b"", b""

    def encode_watch(
        self, table: str, version: int, wait_s: float
    ) -> tuple[bytes, bytes, bytes, bytes]:
        """Encode a long poll for changes of a table after `version`."""
        query = {
            "table": table,
            "sinceRev": str(version),
            "waitMs": str(int(wait_s * 1000)),
        }
        return b"GET", b"/rows-feed?" + urlencode(query).encode("ascii"), b"", b""

    def encode_list_parts(
        self, table: str, after: str
    ) -> tuple[bytes, bytes, bytes, bytes]:
        """Encode a read of the names of a table's parts that follow `after`."""
        query = {"table": table}
        if after:
            # "sinceRev" is not a version here but the last name of the page before.
            query["sinceRev"] = after
        return b"GET", b"/rows-parts?" + urlencode(query).encode("ascii"), b"", b""

    def decode_parts(self, body: bytes) -> tuple[tuple[str, ...], bool]:
        """Return the names of a response's parts, and whether there are more.

        Raises
        ------
        ValueError
            If the response is malformed.
        """
        fields = decode_object(body)
        return read_texts(fields, "parts"), fields.get("hasMore") is True

    def decode_rows(self, body: bytes, era: int) -> RowsAnswer:
        """Decode a response that holds rows, which the store sent in an era.

        Raises
        ------
        ValueError
            If the response is malformed.
        """
        fields = decode_object(body)
        return RowsAnswer(
            rows=[_decode_row(entry) for entry in read_entries(fields, "rows")],
            has_more=fields.get("hasMore") is True,
            version=StoreVersion(era, read_int(fields, "rowVersion", 0)),
            # "nowMs" is the store's monotonic clock, not the time of day.
            clock_s=read_int(fields, "nowMs", 0) / 1000,
        )


def decode_evacuation_key(key: str) -> str | None:
    """Return the data centre that a row evacuates, None if it is another row."""
    if not key.startswith(EVACUATION_PREFIX):
        return None
    return key.removeprefix(EVACUATION_PREFIX)


def _encode_key(key: RowKey) -> dict[str, str]:
    return {"table": key.table, "part": key.part, "key": key.key}


def _decode_row(fields: dict[str, Any]) -> Row:
    try:
        value = base64.b64decode(fields.get("value") or "", validate=True)
    except (TypeError, ValueError):
        value = b""  # The decoder of the row's value rejects it as malformed.
    return Row(
        table=read_text(fields, "table"),
        part=str(fields.get("part") or ""),
        key=read_text(fields, "key"),
        value=value,
        version=read_int(fields, "rowVersion", 0),
        is_removed=fields.get("deleted") is True,
    )
