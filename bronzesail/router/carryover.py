"""Computes what earlier eras of the store leave spent, without performing I/O.

Each era has rows of its own, so that a transaction of an earlier era, however late it
takes effect, can change no row of the current one. Where the store comes back from an
older copy, the rows of an earlier era lack its last transactions. Each surviving
process reports what the store has granted to it in total, which replaces what the copy
has of it. A process that does not report may have taken as much as a process may take
within the longest time that a copy is behind, and all of that counts as spent.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from collections.abc import Mapping, Sequence

__all__ = ["Carryover", "EraCopy", "compute_carryover", "list_unreported"]

Tokens = dict[str, int]  # By client account.


@attrs.frozen(kw_only=True)
class EraCopy:
    """Rows of one earlier era, all as of the same moment.

    Attributes
    ----------
    granted : dict
        Tokens granted in the era, less those returned, by account.
    by_process : dict
        The same for each process with a row, by its key and by account.
    reports : dict
        What the store had granted to each process before the era, by its key and by
        account. Only processes that lived before the era have reported.
    """

    granted: Tokens
    by_process: dict[str, Tokens]
    reports: dict[str, Tokens]


@attrs.frozen(kw_only=True)
class Carryover:
    """Tokens that earlier eras have granted, less those returned, by account.

    Attributes
    ----------
    most : dict
        The most that they may have granted.
    known : dict
        The same without the allowances of processes that have not reported.
    """

    most: Tokens = attrs.field(factory=dict)
    known: Tokens = attrs.field(factory=dict)


def compute_carryover(
    copies: Sequence[EraCopy],
    reports: Mapping[str, Tokens],
    allowances: Mapping[str, int],
) -> Carryover:
    """Return what earlier eras have granted.

    Parameters
    ----------
    copies : sequence of EraCopy
        The earlier eras, the first one first.
    reports : mapping
        The reports in the current era; see `EraCopy.reports`.
    allowances : mapping
        Tokens that one process may take while a copy is behind, by account.
    """
    total: Tokens = {}
    n_unreported = 0
    for copy in copies:
        _add(total, copy.granted)
    for key in _list_processes(copies) | reports.keys():
        for copy in copies:
            _add(total, copy.by_process.get(key, {}), factor=-1)
        if key in reports:
            _add(total, reports[key])
            continue
        _add(total, _find_known_grants(copies, key))
        if _may_have_taken_more(copies, key):
            n_unreported += 1
    most = dict(total)
    _add(most, allowances, factor=n_unreported)
    return Carryover(most=most, known=total)


def list_unreported(
    copies: Sequence[EraCopy], reports: Mapping[str, Tokens]
) -> set[str]:
    """Return the keys of the processes whose grants are not known exactly."""
    return {
        key
        for key in _list_processes(copies) - reports.keys()
        if _may_have_taken_more(copies, key)
    }


def _list_processes(copies: Sequence[EraCopy]) -> set[str]:
    keys: set[str] = set()
    for copy in copies:
        keys |= copy.by_process.keys() | copy.reports.keys()
    return keys


def _find_last_report(copies: Sequence[EraCopy], key: str) -> int | None:
    """Return the index of the last era in which a process has reported."""
    for index in range(len(copies) - 1, -1, -1):
        if key in copies[index].reports:
            return index
    return None


def _find_known_grants(copies: Sequence[EraCopy], key: str) -> Tokens:
    """Return what the copies have of a process: its last report, and what followed."""
    total: Tokens = {}
    reported_in = _find_last_report(copies, key)
    if reported_in is not None:
        _add(total, copies[reported_in].reports[key])
    for copy in copies[reported_in or 0 :]:
        _add(total, copy.by_process.get(key, {}))
    return total


def _may_have_taken_more(copies: Sequence[EraCopy], key: str) -> bool:
    """Whether a process may have taken tokens that the copies do not show.

    One whose row was removed in the era of its last report had ended by then.
    """
    reported_in = _find_last_report(copies, key)
    return any(key in copy.by_process for copy in copies[reported_in or 0 :])


def _add(total: Tokens, tokens: Mapping[str, int], factor: int = 1) -> None:
    for account, count in tokens.items():
        total[account] = total.get(account, 0) + factor * count
