"""HTTP calls of operators: health, metrics, status, explain, apply and budgets."""

from __future__ import annotations

import hmac
import json
from typing import TYPE_CHECKING, Any

from attrs import fields
from returns.pipeline import is_successful
from returns.result import Result, Success

from ..budget import create_budget, read_budget, release_hold, top_up
from ..configuration import list_changes
from ..errors import Refusal, ResultCode
from ..explain import PartLogger
from ..http import send_json, send_refusal
from ..orders import place_in_table, read_order
from ..schema import (
    ApplyReport,
    ConfigurationInForce,
    EngineSetup,
    GeneratedConfiguration,
)
from ..schema.codec import CodecError, decode_as, encode
from ..storage import PlatformError
from ._status import (
    describe_account,
    describe_budget_row,
    describe_explanation,
    describe_order,
    describe_router,
)

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from ..http import HttpRequest, Responder
    from ..schema import TopUpEntry
    from ._parts import OperatorParts

__all__ = ["OperatorApi"]

BEARER_PREFIX = "Bearer "
OPEN_PATHS = ("/healthz", "/readyz")


class OperatorApi:
    """Handler of the operators' listener.

    Parameters
    ----------
    parts : OperatorParts
        Parts of the router.
    operator_key : str
        Bearer key of the operators.
    """

    def __init__(self, parts: OperatorParts, operator_key: str) -> None:
        self._parts = parts
        self._operator_key = operator_key
        self._log = PartLogger("operator")
        self._routes: dict[
            tuple[str, str],
            Callable[[HttpRequest, Responder, list[str]], Awaitable[None]],
        ] = {
            ("GET", "healthz"): self._get_health,
            ("GET", "readyz"): self._get_readiness,
            ("GET", "metrics"): self._get_metrics,
            ("GET", "histograms"): self._get_histograms,
            ("GET", "status"): self._get_status,
            ("GET", "explain"): self._get_explanation,
            ("POST", "apply"): self._post_apply,
            ("GET", "configuration"): self._get_configuration,
            ("GET", "accounts"): self._get_accounts,
            ("GET", "budgets"): self._get_budget,
            ("POST", "budgets"): self._post_budget,
            ("GET", "orders"): self._get_order,
            ("POST", "orders"): self._post_order,
            ("POST", "drain"): self._post_drain,
        }

    async def handle(self, request: HttpRequest, responder: Responder) -> None:
        """Answer one call.

        Parameters
        ----------
        request : HttpRequest
            The call.
        responder : Responder
            Its response side.
        """
        segments = [part for part in request.path.split("/") if part]
        name = segments[0] if segments else ""
        route = self._routes.get((request.method, name))
        if route is None:
            await send_refusal(responder, Refusal(ResultCode.UNKNOWN_PATH, True))
            return
        if request.path not in OPEN_PATHS and not self._is_authorized(request):
            refusal = Refusal(ResultCode.OPERATOR_KEY_REQUIRED, True)
            await send_refusal(responder, refusal)
            return
        try:
            await route(request, responder, segments[1:])
        except PlatformError as error:
            refusal = Refusal(ResultCode.PLATFORM_UNREACHABLE, False, str(error), 5.0)
            await send_refusal(responder, refusal)
        except (ValueError, KeyError, TypeError) as error:
            refusal = Refusal(ResultCode.MALFORMED_REQUEST, True, str(error))
            await send_refusal(responder, refusal)

    def _is_authorized(self, request: HttpRequest) -> bool:
        expected = BEARER_PREFIX + self._operator_key
        given = request.find_header("authorization")
        return hmac.compare_digest(given.encode(), expected.encode())

    async def _get_health(
        self, request: HttpRequest, responder: Responder, rest: list[str]
    ) -> None:
        await send_json(responder, 200, {"is_healthy": True})

    async def _get_readiness(
        self, request: HttpRequest, responder: Responder, rest: list[str]
    ) -> None:
        is_ready = self._parts.is_ready()
        await send_json(responder, 200 if is_ready else 503, {"is_ready": is_ready})

    async def _get_metrics(
        self, request: HttpRequest, responder: Responder, rest: list[str]
    ) -> None:
        self._refresh_gauges()
        accept = request.find_header("accept", "text/plain")
        body, content_type = self._parts.metrics.render(accept)
        headers = (("content-type", content_type), ("content-length", str(len(body))))
        await responder.start(200, headers)
        await responder.write(body)
        await responder.finish()

    def _refresh_gauges(self) -> None:
        parts = self._parts
        grants = parts.budgets.list_status()
        own_tokens = sum(status.own_grant_tokens for status in grants)
        reserved_tokens = sum(status.own_reserved_tokens for status in grants)
        values = {
            "is_ready": float(parts.is_ready()),
            "configuration_version": parts.configuration.current.version,
            "live_peers": len(parts.membership.list_routers()),
            "budgets": len(grants),
            "own_grant_tokens": own_tokens,
            "reserved_tokens": reserved_tokens,
        }
        for name, value in values.items():
            parts.metrics.set_gauge(name, value)

    async def _get_histograms(
        self, request: HttpRequest, responder: Responder, rest: list[str]
    ) -> None:
        histograms = self._parts.metrics.list_histograms()
        await send_json(responder, 200, {"histograms": histograms})

    async def _get_status(
        self, request: HttpRequest, responder: Responder, rest: list[str]
    ) -> None:
        await send_json(responder, 200, describe_router(self._parts))

    async def _get_explanation(
        self, request: HttpRequest, responder: Responder, rest: list[str]
    ) -> None:
        explanation = await self._parts.explanations.explain("/".join(rest))
        await send_json(responder, 200, describe_explanation(explanation))

    async def _post_apply(
        self, request: HttpRequest, responder: Responder, rest: list[str]
    ) -> None:
        try:
            generated = decode_as(request.body, GeneratedConfiguration)
        except CodecError as error:
            refusal = Refusal(ResultCode.CONFIGURATION_INVALID, True, str(error))
            await send_refusal(responder, refusal)
            return
        result = await self._apply_changes(generated)
        if not is_successful(result):
            await send_refusal(responder, result.failure())
            return
        report = result.unwrap()
        refused = await self._add_top_ups(generated.top_ups)
        self._log.write("configuration applied", version=report.version)
        content = {
            "version": report.version,
            "acknowledged": [router.host for router in report.acknowledged],
            "missing": [entry.router.host for entry in report.missing],
            "top_ups_refused": refused,
        }
        await send_json(responder, 202 if report.missing else 200, content)

    async def _apply_changes(
        self, generated: GeneratedConfiguration
    ) -> Result[ApplyReport, Refusal]:
        configuration = self._parts.configuration
        if not generated.changes:
            return Success(ApplyReport(configuration.current.version))
        return await configuration.apply(
            generated.operator, generated.base_version, generated.changes
        )

    async def _add_top_ups(self, top_ups: tuple[TopUpEntry, ...]) -> list[str]:
        table = self._parts.table
        refused: list[str] = []
        for entry in top_ups:
            await create_budget(table, entry.account, entry.budget, 0)
            result = await top_up(
                table,
                entry.account,
                entry.budget,
                entry.top_up_id,
                entry.amount_tokens,
            )
            if not is_successful(result):
                detail = result.failure().detail
                refused.append(f"{entry.account}/{entry.budget}: {detail}")
        return refused

    async def _get_configuration(
        self, request: HttpRequest, responder: Responder, rest: list[str]
    ) -> None:
        current = self._parts.configuration.current
        body = encode(ConfigurationInForce(current.version, list_changes(current)))
        await responder.start(200, (("content-length", str(len(body))),))
        await responder.write(body)
        await responder.finish()

    async def _get_accounts(
        self, request: HttpRequest, responder: Responder, rest: list[str]
    ) -> None:
        accounts = self._parts.configuration.current.accounts.values()
        described = [describe_account(account) for account in accounts]
        await send_json(responder, 200, {"accounts": described})

    async def _get_budget(
        self, request: HttpRequest, responder: Responder, rest: list[str]
    ) -> None:
        account, budget = rest
        row = await read_budget(self._parts.table, account, budget)
        if row is None:
            await send_refusal(responder, Refusal(ResultCode.UNKNOWN_BUDGET, True))
            return
        await send_json(responder, 200, describe_budget_row(row))

    async def _post_budget(
        self, request: HttpRequest, responder: Responder, rest: list[str]
    ) -> None:
        content: dict[str, Any] = json.loads(request.body)
        if len(rest) == 3 and rest[2] == "releases":
            result = await release_hold(
                self._parts.table,
                rest[0],
                rest[1],
                str(content["grant_id"]),
                _read_amount(content["sequence"]),
            )
        elif len(rest) == 3 and rest[2] == "top-ups":
            result = await top_up(
                self._parts.table,
                rest[0],
                rest[1],
                str(content["top_up_id"]),
                _read_amount(content["amount_tokens"]),
            )
        else:
            account, budget = rest
            result = await create_budget(
                self._parts.table,
                account,
                budget,
                _read_amount(content["prepaid_tokens"]),
            )
        if not is_successful(result):
            await send_refusal(responder, result.failure())
            return
        await send_json(responder, 200, describe_budget_row(result.unwrap()))

    async def _get_order(
        self, request: HttpRequest, responder: Responder, rest: list[str]
    ) -> None:
        (backend,) = rest
        row = await read_order(self._parts.table, backend)
        await send_json(responder, 200, describe_order(row))

    async def _post_order(
        self, request: HttpRequest, responder: Responder, rest: list[str]
    ) -> None:
        (backend,) = rest
        if not self._is_listed(backend):
            detail = f"no backend server {backend} is listed"
            await send_refusal(
                responder, Refusal(ResultCode.UNKNOWN_PATH, True, detail)
            )
            return
        content: dict[str, Any] = json.loads(request.body)
        seen_number = content.get("seen_number")
        wanted = EngineSetup(
            *(_read_name(content.get(field.name, "")) for field in fields(EngineSetup))
        )
        result = await place_in_table(
            self._parts.table,
            backend,
            wanted,
            _read_name(content["operator"]),
            None if seen_number is None else _read_amount(seen_number),
        )
        if not is_successful(result):
            await send_refusal(responder, result.failure())
            return
        row = result.unwrap()
        self._log.write("order placed", backend=backend, number=row.number)
        await send_json(responder, 202, describe_order(row))

    def _is_listed(self, backend: str) -> bool:
        for service in self._parts.configuration.current.services:
            for entry in self._parts.membership.list_backends(service):
                if entry.host == backend:
                    return True
        return False

    async def _post_drain(
        self, request: HttpRequest, responder: Responder, rest: list[str]
    ) -> None:
        await send_json(responder, 202, {"is_draining": True})
        self._parts.request_drain()


def _read_name(value: Any) -> str:
    if not isinstance(value, str):
        raise ValueError("a name must be text")
    return value


def _read_amount(value: Any) -> int:
    if type(value) is not int or value < 0:
        raise ValueError("a number must be whole, 0 or more")
    return value
