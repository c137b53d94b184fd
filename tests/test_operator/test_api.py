"""Tests of the operator API of a running router."""

from __future__ import annotations

import asyncio
import json
from typing import Any

import pytest

from bronzesail.demo import Deployment, DeploymentPlan, DeploymentSite, configure
from bronzesail.demo._deployment import OPERATOR_KEY
from bronzesail.operator import OperatorClient, OperatorError
from bronzesail.schema import BudgetRow, HoldEntry, RowWrite, TransactRequest
from bronzesail.schema.codec import encode

SITES = (
    DeploymentSite("a", "region", 1, 0, 0),
    DeploymentSite("b", "region", 1, 0, 0),
)
ANSWERS = """
[deployment]
name = small
preference = tighter-spend
[class answer]
priority = 1
[account acme]
[budget acme/main]
top_up_tokens = 1000
top_up_id = first
"""
GRANT_TIMEOUT_S = 10.0
HOLD = HoldEntry("lost-grant", 3, 40, request_key="k", reason="usage is unknown")


def count_unspent_tokens(shown: dict[str, Any]) -> int:
    """Return the tokens that are neither settled nor held, granted ones included."""
    return int(shown["free_tokens"] + shown["granted_tokens"])


async def wait_for_standby_grant(
    deployment: Deployment, client: OperatorClient, target: str
) -> None:
    """Scan the budgets at each router, and wait until one has been granted tokens."""
    for router in deployment.routers:
        router.budgets._scanner.wake()
    async with asyncio.timeout(GRANT_TIMEOUT_S):
        while True:
            if (await client.get(target))["granted_tokens"]:
                return
            await asyncio.sleep(0.01)


# A router may be granted standby tokens at any time, which are then not free.
def test_operator_sees_and_releases_a_hold() -> None:
    async def run() -> None:
        deployment = Deployment(DeploymentPlan(SITES, "desk", "pass"))
        await deployment.start()
        await configure(deployment, ANSWERS)
        address = deployment.routers[0].operator_address
        client = OperatorClient(address, OPERATOR_KEY)
        row = BudgetRow("acme", "held", 100, 10, held_tokens=40, holds=(HOLD,))
        write = RowWrite("budget/acme/held", 0, encode(row))
        assert deployment.table.transact(TransactRequest("t", 1, (write,))).is_committed
        shown = await client.get("/budgets/acme/held")
        assert count_unspent_tokens(shown) == 50
        assert shown["holds"][0]["reason"] == "usage is unknown"
        await wait_for_standby_grant(deployment, client, "/budgets/acme/held")
        release = {"grant_id": "lost-grant", "sequence": 3}
        body = json.dumps(release).encode()
        for _ in range(2):
            shown = await client.post("/budgets/acme/held/releases", body)
            assert count_unspent_tokens(shown) == 90
            assert shown["holds"] == []
        assert shown["settled_tokens"] == 10
        await deployment.stop()

    asyncio.run(run())


def test_every_call_but_health_needs_the_operator_key() -> None:
    async def run() -> None:
        deployment = Deployment(DeploymentPlan(SITES[:1], "desk", "pass"))
        await deployment.start()
        unauthorized = OperatorClient(deployment.routers[0].operator_address, "guess")
        await unauthorized.get("/healthz")
        for target in ("/status", "/metrics", "/accounts", "/explain/budget/a/b"):
            with pytest.raises(OperatorError) as caught:
                await unauthorized.get(target)
            assert caught.value.code == "BZ1104"
        await deployment.stop()

    asyncio.run(run())
