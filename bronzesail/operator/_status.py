"""JSON representations of operator API responses."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import attrs

from .. import __version__

if TYPE_CHECKING:
    from ..fleet import RouterInfo
    from ..schema import BudgetRow, ClientAccount, OrderRow
    from ._explanations import Explanation
    from ._parts import OperatorParts

__all__ = [
    "describe_account",
    "describe_budget_row",
    "describe_explanation",
    "describe_order",
    "describe_router",
]


def describe_router(parts: OperatorParts) -> dict[str, Any]:
    """Return the status response of a router.

    Parameters
    ----------
    parts : OperatorParts
        Components of the router.

    Returns
    -------
    dict
        JSON-serializable state of the router, its peers, services and grants.
    """
    configuration = parts.configuration.current
    services = [
        {
            "service": name,
            "backend_servers": [
                {"host": entry.host, "is_leaving": entry.is_leaving}
                for entry in parts.membership.list_backends(name)
            ],
        }
        for name in sorted(configuration.services)
    ]
    return {
        "program_version": __version__,
        "is_ready": parts.is_ready(),
        "router": _describe_member(parts.membership.own),
        "peers": [_describe_member(peer) for peer in parts.membership.list_routers()],
        "requests_in_progress": parts.count_running(),
        "configuration_version": configuration.version,
        "preference": configuration.deployment.preference,
        "client_accounts": len(configuration.accounts),
        "services": services,
        "grants": [attrs.asdict(status) for status in parts.budgets.list_status()],
    }


def _describe_member(router: RouterInfo) -> dict[str, Any]:
    return {
        "host": router.router_id.host,
        "incarnation": router.router_id.incarnation,
        "data_centre": router.data_centre,
        "region": router.region,
        "is_leaving": router.is_leaving,
    }


def describe_account(account: ClientAccount) -> dict[str, Any]:
    """Return the representation of a client account, without its key.

    Parameters
    ----------
    account : ClientAccount
        The account.

    Returns
    -------
    dict
        Its name, services, default class and whether it is closed.
    """
    return {
        "name": account.name,
        "services": list(account.services),
        "default_class": account.default_class,
        "is_closed": account.is_closed,
    }


def describe_order(row: OrderRow) -> dict[str, Any]:
    """Return the representation of an order row.

    Parameters
    ----------
    row : OrderRow
        The row.

    Returns
    -------
    dict
        Requested engine setup, whether the engine confirmed it, and the router that
        holds the order's lease.
    """
    return {
        "backend": row.backend,
        "number": row.number,
        "operator": row.operator,
        "is_confirmed": row.confirmed_number == row.number,
        **attrs.asdict(row.wanted),
        "holder": row.holder,
        "fence": row.fence,
    }


def describe_budget_row(row: BudgetRow) -> dict[str, Any]:
    """Return the representation of a budget row.

    Parameters
    ----------
    row : BudgetRow
        The row.

    Returns
    -------
    dict
        Totals in tokens, and each outstanding grant and hold.
    """
    granted_tokens = sum(grant.amount_tokens for grant in row.grants)
    allocated_tokens = row.settled_tokens + row.held_tokens + granted_tokens
    return {
        "account": row.account,
        "budget": row.budget,
        "prepaid_tokens": row.prepaid_tokens,
        "settled_tokens": row.settled_tokens,
        "held_tokens": row.held_tokens,
        "granted_tokens": granted_tokens,
        "free_tokens": row.prepaid_tokens - allocated_tokens,
        "grants": [
            {
                "grant_id": grant.grant_id,
                "holder": grant.holder.host,
                "amount_tokens": grant.amount_tokens,
                "epoch": grant.epoch,
                "journal_peers": [peer.host for peer in grant.journal_peers],
            }
            for grant in row.grants
        ],
        "holds": [
            {
                "grant_id": hold.grant_id,
                "sequence": hold.sequence,
                "amount_tokens": hold.amount_tokens,
                "request_key": hold.request_key,
                "backend_server": hold.backend_server,
                "reason": hold.reason,
                "missing_peers": [peer.host for peer in hold.missing_peers],
            }
            for hold in row.holds
        ],
    }


def describe_explanation(explanation: Explanation) -> dict[str, Any]:
    """Return the representation of an explanation.

    Parameters
    ----------
    explanation : Explanation
        Decisions from the routers that responded.

    Returns
    -------
    dict
        The decisions in chronological order, and the hosts without a response.
    """
    return {
        "subject": explanation.subject,
        "decisions": [attrs.asdict(entry) for entry in explanation.decisions],
        "missing": list(explanation.missing),
    }
