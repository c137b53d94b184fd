"""HTTP client that reads the setup of engines and sends them orders."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING, Any

import attrs

from ..http import ExchangeBrokenError, HttpCall, HttpError, NotSentError
from ..schema import EngineSetup
from ._actions import OrderOutcome
from ._ports import OrderReport, SetupUnknownError

if TYPE_CHECKING:
    from ..http import HttpClient
    from ._actions import EngineOrder

__all__ = ["HttpEnginePort"]

ORDERS_PATH = "/v1/orders"
# Timeout for reading the setup of an engine.
READ_TIMEOUT_S = 5.0
STATUS_OK = 200
STATUS_CONFLICT = 409
STATUS_SERVER_ERROR = 500


class HttpEnginePort:
    """Calls engines over HTTP, with a new connection for each call.

    A pooled connection may have broken unnoticed while it was idle, which would make
    the outcome of an order unknown.

    Parameters
    ----------
    client : HttpClient
        HTTP client.
    """

    def __init__(self, client: HttpClient) -> None:
        self._client = client

    async def read_setup(self, address: str) -> EngineSetup:
        """Return the current setup of an engine.

        Raises `SetupUnknownError` if the call fails or the answer is invalid.
        """
        call = HttpCall(
            address, "GET", ORDERS_PATH, is_fresh=True, timeout_s=READ_TIMEOUT_S
        )
        try:
            status, body = await self._client.fetch(call)
        except HttpError as error:
            raise SetupUnknownError(str(error)) from error
        content = _parse_object(body)
        if status != STATUS_OK or content is None:
            raise SetupUnknownError(
                f"{address} returned no valid setup (status {status})"
            )
        fields = [
            str(content.get(field.name, "")) for field in attrs.fields(EngineSetup)
        ]
        return EngineSetup(*fields)

    async def send_order(
        self, address: str, order: EngineOrder, timeout_s: float
    ) -> OrderReport:
        """Send an order once, without a retry, and wait until it has taken effect.

        An answer other than 200 or 409 leaves the outcome unknown.
        """
        body = json.dumps(attrs.asdict(order)).encode()
        call = HttpCall(
            address, "POST", ORDERS_PATH, (), body, is_fresh=True, timeout_s=timeout_s
        )
        try:
            status, answer = await self._client.fetch(call)
        except NotSentError:
            return OrderReport(OrderOutcome.NOT_SENT)
        except ExchangeBrokenError:
            return OrderReport(OrderOutcome.UNKNOWN)
        if status == STATUS_CONFLICT:
            return OrderReport(OrderOutcome.REFUSED, _parse_fence(answer))
        if status == STATUS_OK:
            return OrderReport(OrderOutcome.DONE)
        return OrderReport(OrderOutcome.UNKNOWN)


def _parse_object(body: bytes) -> dict[str, Any] | None:
    try:
        content = json.loads(body)
    except ValueError:
        return None
    return content if isinstance(content, dict) else None


def _parse_fence(body: bytes) -> int:
    content = _parse_object(body) or {}
    fence = content.get("fence", 0)
    return fence if isinstance(fence, int) else 0
