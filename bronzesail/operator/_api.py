"""Operator HTTP API: health, metrics, status, explain, apply, budgets and orders."""

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
UNAUTHENTICATED_PATHS = ("/healthz", "/readyz")


class OperatorApi:
    """Request handler of the operator listener.

    Every path except ``/healthz`` and ``/readyz`` requires the operator key.

    Parameters
    ----------
    parts : OperatorParts
        Components of the router that the endpoints read and control.
    operator_key : str
        Bearer key that authorizes operators.
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
        """Dispatch a request to its endpoint and send the response.

        Parameters
        ----------
        request : HttpRequest
            The request.
        responder : Responder
            Sends the response to the request.
        """
        segments = [segment for segment in request.path.split("/") if segment]
        name = segments[0] if segments else ""
        route = self._routes.get((request.method, name))
        if route is None:
            await send_refusal(responder, Refusal(ResultCode.UNKNOWN_PATH, True))
            return
        if request.path not in UNAUTHENTICATED_PATHS and not self._is_authorized(
            request
        ):
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
        authorization = request.find_header("authorization")
        return hmac.compare_digest(authorization.encode(), expected.encode())

    async def _get_health(
        self, request: HttpRequest, responder: Responder, path_arguments: list[str]
    ) -> None:
        await send_json(responder, 200, {"is_healthy": True})

    async def _get_readiness(
        self, request: HttpRequest, responder: Responder, path_arguments: list[str]
    ) -> None:
        is_ready = self._parts.is_ready()
        await send_json(responder, 200 if is_ready else 503, {"is_ready": is_ready})

    async def _get_metrics(
        self, request: HttpRequest, responder: Responder, path_arguments: list[str]
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
        self, request: HttpRequest, responder: Responder, path_arguments: list[str]
    ) -> None:
        histograms = self._parts.metrics.list_histograms()
        await send_json(responder, 200, {"histograms": histograms})

    async def _get_status(
        self, request: HttpRequest, responder: Responder, path_arguments: list[str]
    ) -> None:
        await send_json(responder, 200, describe_router(self._parts))

    async def _get_explanation(
        self, request: HttpRequest, responder: Responder, path_arguments: list[str]
    ) -> None:
        explanation = await self._parts.explanations.explain("/".join(path_arguments))
        await send_json(responder, 200, describe_explanation(explanation))

    async def _post_apply(
        self, request: HttpRequest, responder: Responder, path_arguments: list[str]
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
        refused_top_ups = await self._add_top_ups(generated.top_ups)
        self._log.write("configuration applied", version=report.version)
        content = {
            "version": report.version,
            "acknowledged": [router.host for router in report.acknowledged],
            "missing": [entry.router.host for entry in report.missing],
            "top_ups_refused": refused_top_ups,
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
        self, request: HttpRequest, responder: Responder, path_arguments: list[str]
    ) -> None:
        current = self._parts.configuration.current
        body = encode(ConfigurationInForce(current.version, list_changes(current)))
        await responder.start(200, (("content-length", str(len(body))),))
        await responder.write(body)
        await responder.finish()

    async def _get_accounts(
        self, request: HttpRequest, responder: Responder, path_arguments: list[str]
    ) -> None:
        accounts = self._parts.configuration.current.accounts.values()
        described = [describe_account(account) for account in accounts]
        await send_json(responder, 200, {"accounts": described})

    async def _get_budget(
        self, request: HttpRequest, responder: Responder, path_arguments: list[str]
    ) -> None:
        account, budget = path_arguments
        row = await read_budget(self._parts.table, account, budget)
        if row is None:
            await send_refusal(responder, Refusal(ResultCode.UNKNOWN_BUDGET, True))
            return
        await send_json(responder, 200, describe_budget_row(row))

    async def _post_budget(
        self, request: HttpRequest, responder: Responder, path_arguments: list[str]
    ) -> None:
        content: dict[str, Any] = json.loads(request.body)
        if len(path_arguments) == 3 and path_arguments[2] == "releases":
            result = await release_hold(
                self._parts.table,
                path_arguments[0],
                path_arguments[1],
                str(content["grant_id"]),
                _parse_non_negative_integer(content["sequence"]),
            )
        elif len(path_arguments) == 3 and path_arguments[2] == "top-ups":
            result = await top_up(
                self._parts.table,
                path_arguments[0],
                path_arguments[1],
                str(content["top_up_id"]),
                _parse_non_negative_integer(content["amount_tokens"]),
            )
        else:
            account, budget = path_arguments
            result = await create_budget(
                self._parts.table,
                account,
                budget,
                _parse_non_negative_integer(content["prepaid_tokens"]),
            )
        if not is_successful(result):
            await send_refusal(responder, result.failure())
            return
        await send_json(responder, 200, describe_budget_row(result.unwrap()))

    async def _get_order(
        self, request: HttpRequest, responder: Responder, path_arguments: list[str]
    ) -> None:
        (backend,) = path_arguments
        row = await read_order(self._parts.table, backend)
        await send_json(responder, 200, describe_order(row))

    async def _post_order(
        self, request: HttpRequest, responder: Responder, path_arguments: list[str]
    ) -> None:
        (backend,) = path_arguments
        if not self._is_listed(backend):
            detail = (
                f"backend server {backend} is not listed for any configured service"
            )
            await send_refusal(
                responder, Refusal(ResultCode.UNKNOWN_PATH, True, detail)
            )
            return
        content: dict[str, Any] = json.loads(request.body)
        seen_number = content.get("seen_number")
        wanted = EngineSetup(
            *(
                _parse_string(content.get(field.name, ""))
                for field in fields(EngineSetup)
            )
        )
        result = await place_in_table(
            self._parts.table,
            backend,
            wanted,
            _parse_string(content["operator"]),
            None if seen_number is None else _parse_non_negative_integer(seen_number),
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
        self, request: HttpRequest, responder: Responder, path_arguments: list[str]
    ) -> None:
        await send_json(responder, 202, {"is_draining": True})
        self._parts.request_drain()


def _parse_string(value: Any) -> str:
    if not isinstance(value, str):
        raise ValueError("value must be a string")
    return value


def _parse_non_negative_integer(value: Any) -> int:
    if type(value) is not int or value < 0:
        raise ValueError("value must be an integer of 0 or more")
    return value
