"""Run a Summit-shaped deployment on loopback and audit it."""

from __future__ import annotations

import asyncio
import importlib.resources
from typing import TYPE_CHECKING

import attrs

from ..configuration import Configuration
from ..configuration.questionnaire import generate_changes, read_answers_text
from ..operator import OperatorClient, make_generated_configuration
from ..schema.codec import encode
from ..standin import EngineSpeed
from ._audit import AuditReport, audit_deployment
from ._callers import Answer
from ._deployment import OPERATOR_KEY, Deployment, DeploymentPlan, DeploymentSite
from ._latency import LatencySamples, measure_added_latency
from ._load import LoadPlan, send_calls, wait_until_ready

if TYPE_CHECKING:
    from collections.abc import Callable


__all__ = ["DemoReport", "configure", "run_demo"]

SITES = (
    DeploymentSite("amman-a", "amman", 2, 4, 1),
    DeploymentSite("amman-b", "amman", 2, 3, 1),
    DeploymentSite("aqaba-a", "aqaba", 2, 2, 1),
)
MODEL_SERVICE = "desk-model"
PLAIN_SERVICE = "pass-desk"
ANSWERS_FILE = importlib.resources.files(__package__) / "summit.ini"
SPEED = EngineSpeed(slots=8, tokens_per_s=100.0)


@attrs.frozen
class DemoReport:
    """What a demo measured.

    Attributes
    ----------
    answers : tuple of Answer
        How each call ended.
    audit : AuditReport
        What the audit found.
    latency : LatencySamples
        Calls made directly and through a router, after the load.
    """

    answers: tuple[Answer, ...]
    audit: AuditReport
    latency: LatencySamples

    @property
    def n_whole(self) -> int:
        """Number of whole answers."""
        return sum(answer.is_whole for answer in self.answers)

    @property
    def n_false_refusals(self) -> int:
        """Refused calls; no budget of the demo ever runs short."""
        return sum(not answer.is_whole for answer in self.answers)

    @property
    def is_clean(self) -> bool:
        """Whether every invariant held and each whole answer has one charge."""
        return self.audit.is_clean and self.audit.n_charges >= self.n_whole

    def to_json(self) -> dict[str, object]:
        """Return the report for programs."""
        return {
            "requests": len(self.answers),
            "whole_answers": self.n_whole,
            "false_refusals": self.n_false_refusals,
            "refusals_by_code": self._count_codes(),
            "first_part_ms": self._list_percentiles(),
            "added_latency_ms": {
                f"p{p}": self.latency.find_added_ms(p) for p in (50, 95, 99)
            },
            "audit": attrs.asdict(self.audit),
            "is_clean": self.is_clean,
        }

    def to_table(self) -> str:
        """Return the report for people."""
        rows: list[tuple[str, object]] = [
            ("requests", len(self.answers)),
            ("whole answers", self.n_whole),
            ("charges", self.audit.n_charges),
            ("overspend, tokens", self.audit.overspend_tokens),
            ("false refusals", self.n_false_refusals),
            ("doubled charges", self.audit.n_doubled_charges),
            ("doubled runs", self.audit.n_doubled_runs),
            ("cut answers shown as whole", self.audit.n_cut_answers),
            ('false "not run"', self.audit.n_false_not_run),
            ("tokens still held or granted", self._count_outstanding()),
        ]
        for name, value_ms in self._list_percentiles().items():
            rows.append((f"first part {name}, ms", f"{value_ms:.1f}"))
        for percent in (50, 95, 99):
            added_ms = self.latency.find_added_ms(percent)
            rows.append((f"added latency p{percent}, ms", f"{added_ms:.1f}"))
        for code, count in self._count_codes().items():
            rows.append((f"refused with {code}", count))
        rows.append(("invariants", "held" if self.is_clean else "FAILED"))
        return "\n".join(f"{name:32}{value!s:>12}" for name, value in rows)

    def _count_outstanding(self) -> int:
        return self.audit.held_tokens + self.audit.granted_tokens

    def _count_codes(self) -> dict[str, int]:
        counts: dict[str, int] = {}
        for answer in self.answers:
            if answer.is_whole:
                continue
            label = answer.code or "no answer"
            counts[label] = counts.get(label, 0) + 1
        return counts

    def _list_percentiles(self) -> dict[str, float]:
        times = sorted(
            answer.first_part_s * 1000.0 for answer in self.answers if answer.is_whole
        )
        if not times:
            return {}
        last = len(times) - 1
        return {f"p{p}": times[round(last * p / 100)] for p in (50, 95, 99)}


async def run_demo(plan: LoadPlan, show_progress: Callable[[str], None]) -> DemoReport:
    """Run a deployment under load, drain it and audit it.

    Parameters
    ----------
    plan : LoadPlan
        Length and load.
    show_progress : callable
        Gets a line now and then.

    Returns
    -------
    DemoReport
        What was measured.
    """
    deployment = Deployment(
        DeploymentPlan(SITES, MODEL_SERVICE, PLAIN_SERVICE, SPEED, plan.seed)
    )
    show_progress("starting 6 routers, 9 model engines, 3 plain service hosts")
    await deployment.start()
    answers_text = ANSWERS_FILE.read_text(encoding="utf-8")
    keys = await configure(deployment, answers_text)
    await wait_until_ready(deployment)
    answers = await send_calls(deployment, plan, keys, show_progress)
    show_progress("measuring the added latency")
    account, bearer_key = next(iter(keys.items()))
    latency = await measure_added_latency(deployment, account, bearer_key)
    answers += latency.answers
    show_progress("draining the routers")
    await asyncio.gather(*(router.drain() for router in deployment.routers))
    audit = audit_deployment(deployment, answers, plan.max_tokens)
    await deployment.stop()
    return DemoReport(answers, audit, latency)


async def configure(deployment: Deployment, answers_text: str) -> dict[str, str]:
    """Put the questionnaire's answers in force and return the bearer keys.

    Parameters
    ----------
    deployment : Deployment
        A started deployment without a configuration.
    answers_text : str
        Answers as INI text.

    Returns
    -------
    dict of str to str
        Bearer key of each client account.
    """
    empty = Configuration()
    answers = read_answers_text(answers_text, "answers", empty)
    generated = generate_changes(answers, empty)
    client = OperatorClient(deployment.routers[0].operator_address, OPERATOR_KEY)
    message = make_generated_configuration(generated, "demo")
    await client.post("/apply", encode(message))
    return {issued.account: issued.key for issued in generated.issued_keys}
