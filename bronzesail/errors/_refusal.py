"""Refusal of a request, with a code and whether anything ran."""

from __future__ import annotations

import attrs

from ._codes import ResultCode, describe_code

__all__ = ["Refusal"]


@attrs.frozen
class Refusal:
    """Final answer to a request that got no whole answer.

    Attributes
    ----------
    code : ResultCode
        Numbered reason.
    is_not_run : bool
        True only if no byte of the request reached a backend server or can reach one.
    detail : str
        One sentence for the caller; names nothing of another client account.
    retry_after_s : float
        Seconds after which sending again may succeed; 0 if it will not help.
    """

    code: ResultCode
    is_not_run: bool
    detail: str = ""
    retry_after_s: float = 0.0

    @property
    def label(self) -> str:
        """Code as callers and operators see it, such as ``BZ1302``."""
        return f"BZ{int(self.code)}"

    @property
    def http_status(self) -> int:
        """HTTP status of the refusal."""
        return describe_code(self.code).http_status
