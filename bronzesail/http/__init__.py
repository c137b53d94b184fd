"""HTTP/1.1 server and client on asyncio streams, with h11 on both sides."""

from __future__ import annotations

from ._client import HttpClient
from ._messages import (
    ClientLimits,
    ExchangeBrokenError,
    HttpCall,
    HttpError,
    HttpRequest,
    NotSentError,
    ServerLimits,
)
from ._responder import Responder, send_json, send_refusal
from ._server import HttpServer

__all__ = [
    "ClientLimits",
    "ExchangeBrokenError",
    "HttpCall",
    "HttpClient",
    "HttpError",
    "HttpRequest",
    "HttpServer",
    "NotSentError",
    "Responder",
    "ServerLimits",
    "send_json",
    "send_refusal",
]
