"""Independent audit: the table's rows against the backend servers' own counts."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING, TypeVar

import attrs

from ..request import derive_request_id
from ..schema import BudgetRow, LedgerPage, Row
from ..schema.codec import decode_as
from ..standin import make_answer_text

if TYPE_CHECKING:
    from collections.abc import Iterable

    from ._callers import Answer
    from ._deployment import Deployment

__all__ = ["AuditReport", "audit_deployment"]

T = TypeVar("T")

BUDGET_PREFIX = "budget/"
LEDGER_PREFIX = "ledger/"


@attrs.frozen
class AuditReport:
    """What the audit found.

    Attributes
    ----------
    overspend_tokens : int
        Tokens by which settled, held and granted totals exceed the prepaid ones.
    n_charges : int
        Charges in the ledger.
    n_doubled_charges : int
        Charges beyond the first of a request key.
    n_uncharged : int
        Whole answers without a charge.
    n_wrong_charges : int
        Whole answers whose stated charge is not what the backend server counted.
    unbalanced_tokens : int
        Difference between the ledger's sum and the settled totals, in tokens.
    held_tokens, granted_tokens : int
        Tokens still held or granted.
    n_doubled_runs : int
        Runs beyond the first of a key that may not be repeated.
    n_cut_answers : int
        Answers presented as whole whose text is not.
    n_false_not_run : int
        Requests refused as "not run" that ran.
    """

    overspend_tokens: int
    n_charges: int
    n_doubled_charges: int
    n_uncharged: int
    n_wrong_charges: int
    unbalanced_tokens: int
    held_tokens: int
    granted_tokens: int
    n_doubled_runs: int
    n_cut_answers: int
    n_false_not_run: int

    @property
    def is_clean(self) -> bool:
        """Whether no promise was broken."""
        return not any(
            (
                self.overspend_tokens,
                self.n_doubled_charges,
                self.n_uncharged,
                self.n_wrong_charges,
                self.unbalanced_tokens,
                self.n_doubled_runs,
                self.n_cut_answers,
                self.n_false_not_run,
            )
        )


def audit_deployment(
    deployment: Deployment, answers: Iterable[Answer], max_tokens: dict[str, int]
) -> AuditReport:
    """Return the audit of a deployment whose routers have drained.

    Parameters
    ----------
    deployment : Deployment
        The deployment; its stand-ins may have stopped.
    answers : iterable of Answer
        How every call ended.
    max_tokens : dict of str to int
        Output limit of each class, in tokens.

    Returns
    -------
    AuditReport
        What it found.
    """
    rows = deployment.table.dump()
    budgets = _decode_rows(rows, BUDGET_PREFIX, BudgetRow)
    pages = _decode_rows(rows, LEDGER_PREFIX, LedgerPage)
    lines = Counter(line.digest for page in pages for line in page.lines)
    charged = sum(line.tokens for page in pages for line in page.lines)
    settled = sum(row.settled_tokens for row in budgets)
    granted = sum(grant.amount_tokens for row in budgets for grant in row.grants)
    check = _AnswerCheck(deployment, max_tokens)
    for answer in answers:
        check.add(answer)
    return AuditReport(
        overspend_tokens=sum(_measure_overspend(row) for row in budgets),
        n_charges=lines.total(),
        n_doubled_charges=lines.total() - len(lines),
        n_uncharged=max(0, check.n_whole - lines.total()),
        n_wrong_charges=check.n_wrong_charges,
        unbalanced_tokens=abs(charged - settled),
        held_tokens=sum(row.held_tokens for row in budgets),
        granted_tokens=granted,
        n_doubled_runs=check.count_doubled_runs(),
        n_cut_answers=check.n_cut_answers,
        n_false_not_run=check.n_false_not_run,
    )


def _decode_rows(rows: dict[str, Row], prefix: str, row_type: type[T]) -> list[T]:
    return [
        decode_as(row.value, row_type)
        for key, row in rows.items()
        if key.startswith(prefix)
    ]


def _measure_overspend(row: BudgetRow) -> int:
    granted = sum(grant.amount_tokens for grant in row.grants)
    spent = row.settled_tokens + row.held_tokens + granted
    return max(0, spent - row.prepaid_tokens)


class _AnswerCheck:
    """Compares answers with what the backend servers ran."""

    def __init__(self, deployment: Deployment, max_tokens: dict[str, int]) -> None:
        self._max_tokens = max_tokens
        self._secret = deployment.routers[0].derive_secret("keys")
        self._usage: dict[str, int] = {}
        for engine in deployment.engines:
            for request_id, usage in engine.usage.items():
                n_tokens = usage.prompt_tokens + usage.output_tokens
                self._usage[request_id] = n_tokens
        self._plain_runs: Counter[str] = Counter()
        for service in deployment.services:
            self._plain_runs.update(service.runs)
        self.n_whole = 0
        self.n_wrong_charges = 0
        self.n_cut_answers = 0
        self.n_false_not_run = 0

    def add(self, answer: Answer) -> None:
        """Check one answer."""
        call = answer.call
        request_id = derive_request_id(self._secret, call.account, call.key)
        if answer.is_not_run:
            has_run = request_id in self._usage or request_id in self._plain_runs
            self.n_false_not_run += has_run
        if not answer.is_whole:
            return
        self.n_whole += 1
        if not call.class_name:
            return
        expected = make_answer_text(request_id, self._max_tokens[call.class_name])
        self.n_cut_answers += answer.text != expected
        self.n_wrong_charges += answer.charged_tokens != self._usage[request_id]

    def count_doubled_runs(self) -> int:
        """Return the runs beyond the first of plain calls."""
        return sum(n_runs - 1 for n_runs in self._plain_runs.values() if n_runs > 1)
