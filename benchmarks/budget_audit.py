"""Independent audit: folds the table's rows against the backend servers' counts."""

from __future__ import annotations

import hashlib
from typing import TYPE_CHECKING

import attrs

from bronzesail.schema import BudgetRow, LedgerPage, TopUpRow
from bronzesail.schema.codec import decode

if TYPE_CHECKING:
    from benchmarks.budget_fleet import FakeBackends, FakeTable

__all__ = ["AuditReport", "audit_table", "count_spent"]


@attrs.define
class AuditReport:
    """What an audit found.

    Attributes
    ----------
    faults : list of str
        One sentence for each broken rule; empty if all hold.
    charged_tokens, held_tokens, granted_tokens, overspend_tokens : int
        Sums over every budget.
    n_charges : int
        Charges in the ledger.
    """

    faults: list[str] = attrs.field(factory=list)
    charged_tokens: int = 0
    held_tokens: int = 0
    granted_tokens: int = 0
    overspend_tokens: int = 0
    n_charges: int = 0


def _digest(account: str, key: str) -> bytes:
    text = f"{len(account)}:{account}{key}"
    return hashlib.blake2b(text.encode(), digest_size=16).digest()


def count_spent(
    backends: FakeBackends, budgets: dict[tuple[str, str], str], name: tuple[str, str]
) -> int:
    """Return the tokens that a budget's requests used, each key counted once."""
    return sum(
        max(runs)
        for (account, key), runs in backends.used.items()
        if (account, budgets.get((account, key))) == name
    )


def audit_table(
    table: FakeTable,
    backends: FakeBackends,
    budgets: dict[tuple[str, str], str],
    created: dict[tuple[str, str], int],
) -> AuditReport:
    """Check every rule that the rows must satisfy.

    Parameters
    ----------
    table : FakeTable
        The table.
    backends : FakeBackends
        Backend servers with their own counts.
    budgets : dict of (str, str) to str
        Budget of each request, by client account and request key.
    created : dict of (str, str) to int
        Tokens with which each budget was created.

    Returns
    -------
    AuditReport
        The findings.
    """
    report = AuditReport()
    rows: dict[tuple[str, str], BudgetRow] = {}
    lines: dict[tuple[str, str], int] = {}
    digests: dict[tuple[str, bytes], int] = {}
    bought = dict(created)
    for key in sorted(table.rows):
        content = decode(table.rows[key].value)
        kind, account, *rest = key.split("/")
        if kind == "budget":
            rows[(account, rest[0])] = content
        if kind == "topup" and isinstance(content, TopUpRow):
            bought[(account, rest[0])] += content.amount_tokens
        if kind != "ledger" or not isinstance(content, LedgerPage):
            continue
        for line in content.lines:
            report.n_charges += 1
            name = (account, line.budget)
            lines[name] = lines.get(name, 0) + line.tokens
            if (account, line.digest) in digests:
                report.faults.append(f"a request of {account} is charged twice")
            digests[(account, line.digest)] = line.tokens
    for name, row in rows.items():
        _audit_row(report, name, row, bought[name], lines.get(name, 0))
        spent = count_spent(backends, budgets, name)
        report.overspend_tokens += max(0, spent - row.prepaid_tokens)
        if spent > row.prepaid_tokens:
            report.faults.append(f"{name} spent {spent} of {row.prepaid_tokens}")
    _audit_runs(report, backends, budgets, digests, rows)
    return report


def _audit_row(
    report: AuditReport,
    name: tuple[str, str],
    row: BudgetRow,
    bought: int,
    charged: int,
) -> None:
    granted = sum(grant.amount_tokens for grant in row.grants)
    report.charged_tokens += charged
    report.held_tokens += row.held_tokens
    report.granted_tokens += granted
    if row.settled_tokens != charged:
        report.faults.append(f"{name}: settled {row.settled_tokens}, lines {charged}")
    if row.prepaid_tokens != bought:
        report.faults.append(f"{name}: prepaid {row.prepaid_tokens}, bought {bought}")
    if row.settled_tokens + row.held_tokens + granted > row.prepaid_tokens:
        report.faults.append(f"{name}: I1 is broken")


def _audit_runs(
    report: AuditReport,
    backends: FakeBackends,
    budgets: dict[tuple[str, str], str],
    digests: dict[tuple[str, bytes], int],
    rows: dict[tuple[str, str], BudgetRow],
) -> None:
    uncharged: dict[tuple[str, str], int] = {}
    n_matched = 0
    for (account, key), runs in backends.used.items():
        tokens = digests.get((account, _digest(account, key)))
        if tokens is None:
            if max(runs) == 0:
                continue
            name = (account, budgets[(account, key)])
            uncharged[name] = uncharged.get(name, 0) + max(runs)
            continue
        n_matched += 1
        if tokens != max(runs):
            report.faults.append(f"{key} used {max(runs)} and is charged {tokens}")
    if n_matched != len(digests):
        report.faults.append(f"{len(digests) - n_matched} charges without a run")
    for name, tokens in uncharged.items():
        if tokens > rows[name].held_tokens:
            report.faults.append(
                f"{name}: {tokens} tokens ran uncharged, {rows[name].held_tokens} held"
            )
