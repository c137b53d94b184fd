"""Encodes calls to the platform's store and decodes its answers."""

from __future__ import annotations

import base64
from typing import TYPE_CHECKING, Any
from urllib.parse import urlencode

import msgspec

from ..model import Row, RowsAnswer
from ._fields import MalformedError, read_entries, read_int, read_text

if TYPE_CHECKING:
    from collections.abc import Sequence

    from ..model import RowCheck, RowKey, RowWrite

__all__ = ["CONFIGURATION_ROW", "SERVER_TABLE", "StoreWire"]

CONFIGURATION_ROW = ("op", "config")
SERVER_TABLE = "servers"
JSON = b"Content-Type: application/json\r\n"


class StoreWire:
    """The store's calls: each returns method, target, header lines and body."""

    def encode_transaction(
        self,
        checks: Sequence[RowCheck],
        writes: Sequence[RowWrite],
        removals: Sequence[RowKey],
    ) -> tuple[bytes, bytes, bytes, bytes]:
        """Encode one transaction."""
        body = {
            # "expectedRev" holds rows, each with the version that it must have.
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
        return b"POST", b"/rows-tx", JSON, msgspec.json.encode(body)

    def encode_read(
        self, table: str, part: str, start: str, limit: int
    ) -> tuple[bytes, bytes, bytes, bytes]:
        """Encode the read of a table's rows from `start` on."""
        query = {"table": table, "part": part, "limit": str(limit)}
        if start:
            query["source"] = start
        return b"GET", b"/rows-get?" + urlencode(query).encode("ascii"), b"", b""

    def encode_watch(
        self, table: str, version: int, wait_s: float
    ) -> tuple[bytes, bytes, bytes, bytes]:
        """Encode the wait for changes of a table after `version`."""
        query = {
            "table": table,
            "sinceRev": str(version),
            "waitMs": str(int(wait_s * 1000)),
        }
        return b"GET", b"/rows-feed?" + urlencode(query).encode("ascii"), b"", b""

    def decode_rows(self, body: bytes) -> RowsAnswer:
        """Decode an answer about rows.

        Raises
        ------
        ValueError
            If it is malformed.
        """
        try:
            fields = msgspec.json.decode(body)
        except msgspec.DecodeError as error:
            raise MalformedError(str(error)) from error
        if not isinstance(fields, dict):
            raise MalformedError("the answer is not a map")
        return RowsAnswer(
            rows=[_decode_row(entry) for entry in read_entries(fields, "rows")],
            has_more=fields.get("hasMore") is True,
            version=read_int(fields, "rowVersion", 0),
            # "nowMs" is the store's own steady clock, not the time of day.
            clock_s=read_int(fields, "nowMs", 0) / 1000,
        )


def _encode_key(key: RowKey) -> dict[str, str]:
    return {"table": key.table, "part": key.part, "key": key.key}


def _decode_row(fields: dict[str, Any]) -> Row:
    try:
        value = base64.b64decode(fields.get("value") or "", validate=True)
    except (TypeError, ValueError):
        value = b""  # A row that cannot be read is malformed for whoever decodes it.
    return Row(
        table=read_text(fields, "table"),
        part=str(fields.get("part") or ""),
        key=read_text(fields, "key"),
        value=value,
        version=read_int(fields, "rowVersion", 0),
        is_removed=fields.get("deleted") is True,
    )
