"""Drops one guard of the budgets at a time; the soak run must notice each.

``python -m benchmarks.budget_mutants`` ends 0 only if every mutant is caught within
`MAX_SEEDS` seeds and the unchanged program passes the same seeds.
"""

from __future__ import annotations

import contextlib
import sys
from collections.abc import Callable, Iterator
from typing import Any
from unittest import mock

import attrs

from benchmarks.soak import make_plan, run_plan
from bronzesail.budget import (
    _grant,
    _holder,
    _journal,
    _peer,
    _recovery,
    _settlement,
    _store,
)
from bronzesail.schema import FenceReply, JournalReply

__all__ = ["MUTANTS", "Mutant", "find_killer"]

MAX_SEEDS = 40


@attrs.frozen
class Mutant:
    """One guard that is dropped.

    Attributes
    ----------
    name : str
        What is dropped.
    owner : type
        Class whose method is replaced.
    method : str
        Name of the method.
    replacement : callable
        The method without the guard.
    """

    name: str
    owner: type[Any]
    method: str
    replacement: Callable[..., Any]

    @contextlib.contextmanager
    def apply(self) -> Iterator[None]:
        """Replace the method for a while."""
        with mock.patch.object(self.owner, self.method, self.replacement):
            yield


async def _write_without_waiting(
    self: Any, holder: Any, grant: Any, record: Any
) -> bool:
    self.write_later(holder, grant, record)
    return True


def _append_without_epoch_check(self: Any, holder: Any, message: Any) -> JournalReply:
    for entry in message.entries:
        self._store_entry(holder, entry)
    return JournalReply()


def _fence_without_memory(self: Any, message: Any) -> FenceReply:
    grant = self._grants.get(message.grant_id)
    return FenceReply(tuple(grant.records.values()) if grant else ())


_fence_all = _recovery.Recovery._fence


async def _fence_without_missing(self: Any, *arguments: Any) -> Any:
    union = await _fence_all(self, *arguments)
    union.missing_peers = ()
    return union


def _mark_without_withholding(self: Any) -> None:
    if self.grant is None:
        return
    sent = {sequence for plan in self._sent for sequence in plan.finished}
    for record in self.grant.records.values():
        record.is_settling = record.sequence in sent


def _charge_without_looking(self: Any, ledger: Any, digest: bytes) -> bool:
    return False


def _is_covered_always(self: Any, tokens: int) -> bool:
    return True


def _close_as_open(self: Any, sequence: int, used_tokens: int, now: float) -> Any:
    record = self.records.get(sequence)
    if record is None:
        return None
    self.drop(sequence)
    return None


MUTANTS = (
    Mutant(
        "dispatch without the journal's acknowledgement",
        _journal.JournalSender,
        "write",
        _write_without_waiting,
    ),
    Mutant(
        "journal peer skips the epoch check",
        _peer.JournalPeer,
        "append",
        _append_without_epoch_check,
    ),
    Mutant(
        "journal peer forgets its fence",
        _peer.JournalPeer,
        "fence",
        _fence_without_memory,
    ),
    Mutant(
        "refund although a peer did not answer",
        _recovery.Recovery,
        "_fence",
        _fence_without_missing,
    ),
    Mutant(
        "returned tokens spent while the answer is lost",
        _holder.Holder,
        "_mark_sent",
        _mark_without_withholding,
    ),
    Mutant(
        "charge without a look into the ledger",
        _store.BudgetStore,
        "is_charged",
        _charge_without_looking,
    ),
    Mutant(
        "settlement from tokens promised to another router",
        _settlement.Settlement,
        "_is_covered",
        _is_covered_always,
    ),
    Mutant("use forgotten at the end", _grant.Grant, "close", _close_as_open),
)


def find_killer(mutant: Mutant, max_seeds: int = MAX_SEEDS) -> int:
    """Return the first soak seed that notices a mutant; 0 if none does."""
    with mutant.apply():
        for seed in range(1, max_seeds + 1):
            if run_plan(make_plan(seed)).faults:
                return seed
    return 0


def main() -> int:
    """Look for a killing seed of each mutant."""
    survivors = 0
    for mutant in MUTANTS:
        seed = find_killer(mutant)
        survivors += seed == 0
        verdict = f"caught by seed {seed}" if seed else "SURVIVED"
        print(f"{mutant.name}: {verdict}", flush=True)
    return 1 if survivors else 0


if __name__ == "__main__":
    sys.exit(main())
