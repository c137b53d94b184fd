"""Translates between the platform's wire formats and the router's types."""

from __future__ import annotations

from ._answers import AnswerHeadReader, encode_refusal_head
from ._configuration import decode_configuration
from ._requests import (
    encode_forwarded_head,
    encode_peer_request_head,
    read_request_head,
)
from ._servers import decode_server, decode_server_start, encode_report_request
from ._settings import SETTINGS_PATH_VARIABLE, decode_settings
from ._store import (
    CONFIGURATION_ROW,
    SERVER_TABLE,
    StoreWire,
    decode_evacuation_key,
)

__all__ = [
    "CONFIGURATION_ROW",
    "SERVER_TABLE",
    "SETTINGS_PATH_VARIABLE",
    "AnswerHeadReader",
    "StoreWire",
    "decode_configuration",
    "decode_evacuation_key",
    "decode_server",
    "decode_server_start",
    "decode_settings",
    "encode_forwarded_head",
    "encode_peer_request_head",
    "encode_refusal_head",
    "encode_report_request",
    "read_request_head",
]
