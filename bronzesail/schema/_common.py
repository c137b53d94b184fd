"""Types that several parts share. Generated from common.json; do not edit."""

from __future__ import annotations

from typing import ClassVar

import attrs

__all__ = ["Acknowledgement", "ErrorReply", "RouterId"]


@attrs.frozen
class RouterId:
    """Identity of one router process.

    Attributes
    ----------
    host : str
        Name of the entry host.
    incarnation : int
        Number drawn once at each start of the process.
    """

    host: str
    incarnation: int


@attrs.frozen
class Acknowledgement:
    """Reply without content."""

    CODE: ClassVar[int] = 1


@attrs.frozen
class ErrorReply:
    """Reply that carries a numbered result code.

    Attributes
    ----------
    code : int
        Result code, as tabled in the reference.
    detail : str
        One short sentence.
    """

    CODE: ClassVar[int] = 2

    code: int
    detail: str = ""
