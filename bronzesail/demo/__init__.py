"""A whole deployment in one process, with callers and an independent audit."""

from __future__ import annotations

from ._audit import AuditReport, audit_deployment
from ._callers import Answer, Call, Caller, CallerPlan
from ._demo import DemoReport, configure, run_demo
from ._deployment import Deployment, DeploymentPlan, DeploymentSite
from ._load import LoadPlan, send_calls, wait_until_ready

__all__ = [
    "Answer",
    "AuditReport",
    "Call",
    "Caller",
    "CallerPlan",
    "DemoReport",
    "Deployment",
    "DeploymentPlan",
    "DeploymentSite",
    "LoadPlan",
    "audit_deployment",
    "configure",
    "run_demo",
    "send_calls",
    "wait_until_ready",
]
