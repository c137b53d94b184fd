"""Defines the sections of the questionnaire and the help text of each key."""

from __future__ import annotations

from typing import Any

import attrs

from ...schema import (
    AccountAnswers,
    BudgetAnswers,
    ClassAnswers,
    DeploymentAnswers,
    RegionAnswers,
    ServiceAnswers,
)

__all__ = ["EFFECTS", "SECTIONS", "SectionKind", "find_section_kind"]


@attrs.frozen
class SectionKind:
    """Type of the answers in one kind of section.

    Attributes
    ----------
    prefix : str
        First word of the section title.
    answers_type : type
        Class of the answers, generated from the schema.
    plural : str
        Noun used when asking for the names of the sections; empty for a kind with a
        single section without a name.
    """

    prefix: str
    answers_type: type[Any]
    plural: str = ""


SECTIONS: tuple[SectionKind, ...] = (
    SectionKind("deployment", DeploymentAnswers),
    SectionKind("region", RegionAnswers, "regions"),
    SectionKind("service", ServiceAnswers, "services"),
    SectionKind("class", ClassAnswers, "priority classes"),
    SectionKind("account", AccountAnswers, "client accounts"),
    SectionKind("budget", BudgetAnswers, "budgets to top up, as ACCOUNT/NAME"),
)

# Effect of each answer by section prefix and key, shown at the terminal and on the
# reference page.
EFFECTS: dict[tuple[str, str], str] = {
    ("deployment", "name"): "Shown in status and metrics; has no other effect.",
    ("deployment", "preference"): (
        "fewer-refusals gives routers larger grants and lets requests wait longer for "
        "tokens; tighter-spend keeps grants small and returns idle tokens sooner. "
        "Neither ever spends past the budget."
    ),
    ("deployment", "link_bytes_per_s"): (
        "Bytes per second that the link between regions may carry each way. Requests "
        "are sent to the other region only while the link has spare capacity; a share "
        "is reserved for control messages."
    ),
    ("deployment", "base_version"): (
        "If another version is in force when the answers are applied, nothing is "
        "applied and the difference is shown. Prevents an outdated file from being "
        "applied."
    ),
    ("deployment", "removes_unlisted"): (
        "With yes, regions, services, classes and accounts without a section are "
        "removed; with no they stay as they are."
    ),
    ("region", "data_centres"): (
        "Routers and backend servers are grouped by these names. Requests stay in "
        "their region whenever possible, and journal copies stay in the region."
    ),
    ("service", "kind"): (
        "A model service streams tokens, is charged by tokens used and can be resumed; "
        "a plain service is passed through and charged per call."
    ),
    ("service", "is_repeatable"): (
        "With no, a POST is claimed before it is sent, runs at most once, and is never "
        "retried: if its outcome is lost, the reply reports it as unknown."
    ),
    ("service", "max_output_tokens"): (
        "A request reserves its prompt tokens and at most this many output tokens; a "
        "request with a higher limit is refused."
    ),
    ("service", "call_cost_tokens"): "Tokens charged for each call of a plain service.",
    ("service", "silence_limit_ms"): (
        "A stream without a byte for this long is probed over a new connection and "
        "resumed there. A shorter limit detects a lost connection sooner; one that is "
        "too short probes engines that are only slow."
    ),
    ("service", "checks_fencing"): (
        "With no, a router that takes over a backend server waits until the old "
        "lease has expired and reads the server's state before it sends orders."
    ),
    ("class", "priority"): "Queued requests with a smaller number are served first.",
    ("class", "deadline_ms"): (
        "A request without a deadline of its own is refused as not run if it has not "
        "started after this time."
    ),
    ("class", "ageing_ms"): (
        "A queued request rises by one priority each time it has waited this long, so "
        "that low classes are not starved."
    ),
    ("account", "services"): "Requests for any other service are refused.",
    ("account", "default_class"): "Class of the account's requests that specify none.",
    ("account", "is_closed"): (
        "With yes, every request of the account is refused, queued ones included, "
        "within seconds; its budget rows stay."
    ),
    ("account", "replaces_key"): (
        "With yes, a new bearer key is shown once and the old one stops working within "
        "seconds."
    ),
    (
        "budget",
        "top_up_tokens",
    ): "Added to the balance of the budget, which is created if it does not exist.",
    ("budget", "top_up_id"): (
        "A top-up with an id that was used before adds nothing, so it can be repeated "
        "safely."
    ),
}


def find_section_kind(prefix: str) -> SectionKind | None:
    """Return the section kind with a title prefix, or None if there is none."""
    for kind in SECTIONS:
        if kind.prefix == prefix:
            return kind
    return None
