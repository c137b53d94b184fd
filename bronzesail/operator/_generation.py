"""Convert the questionnaire's output into the file for ``bronzesail apply``."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..schema import GeneratedConfiguration

if TYPE_CHECKING:
    from ..configuration.questionnaire import GeneratedChanges

__all__ = ["make_generated_configuration"]


def make_generated_configuration(
    generated: GeneratedChanges, operator: str
) -> GeneratedConfiguration:
    """Return the message that ``bronzesail apply`` sends to a router.

    Parameters
    ----------
    generated : GeneratedChanges
        Configuration changes and top-ups derived from the answers.
    operator : str
        Name of the operator, stored with the configuration version.

    Returns
    -------
    GeneratedConfiguration
        The message; it contains no bearer key in plain text.
    """
    return GeneratedConfiguration(
        generated.base_version, generated.changes, generated.top_ups, operator
    )
