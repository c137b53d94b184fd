"""HTTP interface for callers, request keys, retries, resumption and quarantine."""

from __future__ import annotations

from ._ids import derive_request_id
from ._interfaces import RequestObserver, RequestOutcome, RequestSettings
from ._service import RequestService
from ._usage import UsageClient

__all__ = [
    "RequestObserver",
    "RequestOutcome",
    "RequestService",
    "RequestSettings",
    "UsageClient",
    "derive_request_id",
]
