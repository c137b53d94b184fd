"""Answers of the questionnaire. Generated from questionnaire.json; do not edit."""

from __future__ import annotations

import attrs

__all__ = [
    "AccountAnswers",
    "BudgetAnswers",
    "ClassAnswers",
    "DeploymentAnswers",
    "RegionAnswers",
    "ServiceAnswers",
]


@attrs.frozen
class DeploymentAnswers:
    """Section deployment.

    Attributes
    ----------
    name : str
        Name of the deployment.
    preference : str
        What to favour when tokens run short.
    link_bytes_per_s : int
        Bytes a second the inter-region link may carry each way.
    base_version : int
        Version the answers were made on; -1 for the one in force.
    removes_unlisted : bool
        Whether entities without a section are removed.
    """

    name: str = attrs.field(validator=[attrs.validators.min_len(1)])
    preference: str = attrs.field(
        default="fewer-refusals",
        validator=[attrs.validators.in_(["fewer-refusals", "tighter-spend"])],
    )
    link_bytes_per_s: int = attrs.field(
        default=1875000, validator=[attrs.validators.ge(1)]
    )
    base_version: int = attrs.field(default=-1, validator=[attrs.validators.ge(-1)])
    removes_unlisted: bool = False


@attrs.frozen
class RegionAnswers:
    """Section region NAME.

    Attributes
    ----------
    data_centres : tuple[str, ...]
        Names of its data centres, separated by commas.
    """

    data_centres: tuple[str, ...] = attrs.field(validator=[attrs.validators.min_len(1)])


@attrs.frozen
class ServiceAnswers:
    """Section service NAME.

    Attributes
    ----------
    kind : str
        Model engine or plain service.
    is_repeatable : bool
        Whether a POST may run more than once.
    max_output_tokens : int
        Greatest output limit of one request, in tokens.
    call_cost_tokens : int
        Charge for one call of a plain service, in tokens.
    silence_limit_ms : int
        Time without a byte after which a stream is probed, in milliseconds.
    checks_fencing : bool
        Whether its backend servers refuse an order with an old fencing number.
    """

    kind: str = attrs.field(validator=[attrs.validators.in_(["model", "plain"])])
    is_repeatable: bool
    max_output_tokens: int = attrs.field(
        default=4096, validator=[attrs.validators.ge(1), attrs.validators.le(1000000)]
    )
    call_cost_tokens: int = attrs.field(
        default=1, validator=[attrs.validators.ge(0), attrs.validators.le(1000000)]
    )
    silence_limit_ms: int = attrs.field(
        default=5000, validator=[attrs.validators.ge(100), attrs.validators.le(600000)]
    )
    checks_fencing: bool = False


@attrs.frozen
class ClassAnswers:
    """Section class NAME.

    Attributes
    ----------
    priority : int
        Priority; a smaller number is served earlier.
    deadline_ms : int
        Default deadline of a request, in milliseconds.
    ageing_ms : int
        Waiting time that raises the priority by one, in milliseconds.
    """

    priority: int = attrs.field(
        validator=[attrs.validators.ge(0), attrs.validators.le(1000)]
    )
    deadline_ms: int = attrs.field(
        default=30000,
        validator=[attrs.validators.ge(100), attrs.validators.le(86400000)],
    )
    ageing_ms: int = attrs.field(
        default=5000, validator=[attrs.validators.ge(1), attrs.validators.le(86400000)]
    )


@attrs.frozen
class AccountAnswers:
    """Section account NAME.

    Attributes
    ----------
    services : tuple[str, ...]
        Services it may use, separated by commas; empty for all.
    default_class : str
        Class of a request that names none.
    is_closed : bool
        Whether its requests are refused.
    replaces_key : bool
        Whether a new bearer key replaces the one in force.
    """

    services: tuple[str, ...] = ()
    default_class: str = attrs.field(
        default="answer", validator=[attrs.validators.min_len(1)]
    )
    is_closed: bool = False
    replaces_key: bool = False


@attrs.frozen
class BudgetAnswers:
    """Section budget ACCOUNT/NAME.

    Attributes
    ----------
    top_up_tokens : int
        Tokens that the client account has paid for.
    top_up_id : str
        Id of the payment.
    """

    top_up_tokens: int = attrs.field(
        validator=[attrs.validators.ge(1), attrs.validators.le(1000000000000000)]
    )
    top_up_id: str = attrs.field(
        validator=[attrs.validators.min_len(1), attrs.validators.max_len(128)]
    )
