"""Mix of calls that a Summit-shaped deployment gets."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING

import attrs

from ._callers import Call

if TYPE_CHECKING:
    import random

__all__ = ["CallKind", "Workload", "list_max_tokens"]


@attrs.frozen
class CallKind:
    """One kind of call.

    Attributes
    ----------
    name : str
        Class of a model request, or ``booking`` or ``check``.
    weight : float
        Share of all calls.
    prompt_bytes : int
        Size of the prompt, in bytes.
    max_tokens : int
        Output limit, in tokens; 0 for a plain call.
    """

    name: str
    weight: float
    prompt_bytes: int = 0
    max_tokens: int = 0


KINDS = (
    CallKind("review", 0.08, 6000, 200),
    CallKind("answer", 0.42, 600, 48),
    CallKind("tag", 0.20, 200, 8),
    CallKind("booking", 0.15),
    CallKind("check", 0.15),
)


def list_max_tokens() -> dict[str, int]:
    """Return the output limit of each class, in tokens."""
    return {kind.name: kind.max_tokens for kind in KINDS if kind.max_tokens}


class Workload:
    """Draws calls.

    Parameters
    ----------
    model_service, plain_service : str
        Names of the services.
    accounts : tuple of str
        Client accounts; the first ones call more often.
    generator : random.Random
        Source of random numbers.
    """

    def __init__(
        self,
        model_service: str,
        plain_service: str,
        accounts: tuple[str, ...],
        generator: random.Random,
    ) -> None:
        self._model_service = model_service
        self._plain_service = plain_service
        self._accounts = accounts
        self._weights = [1.0 / (rank + 1) for rank in range(len(accounts))]
        self._random = generator
        self._n_calls = 0

    def draw(self) -> Call:
        """Return the next call.

        Returns
        -------
        Call
            The call, under a key of its own.
        """
        weights = [kind.weight for kind in KINDS]
        kind = self._random.choices(KINDS, weights)[0]
        account = self._random.choices(self._accounts, self._weights)[0]
        self._n_calls += 1
        key = f"call-{self._n_calls:06d}"
        if kind.max_tokens:
            return self._draw_model_call(kind, account, key)
        return self._draw_plain_call(kind, account, key)

    def _draw_model_call(self, kind: CallKind, account: str, key: str) -> Call:
        opening = f"{kind.name} for {account}: ".ljust(kind.prompt_bytes // 2, ".")
        ending = f" question {key}".ljust(kind.prompt_bytes // 2, "?")
        content = {
            "prompt": opening + ending,
            "max_tokens": kind.max_tokens,
            "class": kind.name,
            "stream": True,
        }
        target = f"/v1/{self._model_service}/completions"
        body = json.dumps(content).encode()
        return Call(account, key, kind.name, "POST", target, body)

    def _draw_plain_call(self, kind: CallKind, account: str, key: str) -> Call:
        base = f"/v1/{self._plain_service}/call"
        if kind.name == "check":
            return Call(account, key, "", "GET", f"{base}/passes/{key}", b"")
        body = json.dumps({"pass": key}).encode()
        return Call(account, key, "", "POST", f"{base}/passes", body)
