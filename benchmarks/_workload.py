"""Requests of a franchise's desk: reviews, answers and tags with shared prefixes."""

from __future__ import annotations

import random

import attrs

from bronzesail.util.prefix import hash_blocks

__all__ = [
    "CLASSES",
    "MANY_PREFIXES",
    "SHORT_TRAFFIC",
    "ClassMix",
    "WorkItem",
    "make_items",
]

BYTES_PER_TOKEN = 4


@attrs.frozen
class ClassMix:
    """One class of requests.

    Attributes
    ----------
    name : str
        Name of the class.
    share : float
        Share of all requests.
    prompt_tokens, output_tokens : int
        Mean sizes, in tokens.
    prefix_share : float
        Share of the prompt that it has in common with others.
    n_prefixes : int
        Number of distinct prefixes.
    priority, ageing_ms : int
        Priority and ageing of the class.
    deadline_s : float
        Time it may wait, in seconds.
    """

    name: str
    share: float
    prompt_tokens: int
    output_tokens: int
    prefix_share: float
    n_prefixes: int
    priority: int
    ageing_ms: int
    deadline_s: float


CLASSES = (
    ClassMix("answer", 0.62, 800, 120, 0.75, 60, 0, 5000, 30.0),
    ClassMix("tag", 0.30, 400, 12, 0.75, 40, 1, 5000, 30.0),
    ClassMix("review", 0.08, 6000, 400, 0.80, 40, 2, 20_000, 120.0),
)

MANY_PREFIXES = (
    ClassMix("answer", 0.66, 1200, 80, 0.85, 120, 0, 5000, 30.0),
    ClassMix("tag", 0.30, 600, 12, 0.85, 80, 1, 5000, 30.0),
    ClassMix("review", 0.04, 6000, 400, 0.85, 40, 2, 20_000, 120.0),
)

SHORT_TRAFFIC = (
    ClassMix("answer", 0.64, 800, 120, 0.75, 60, 0, 5000, 30.0),
    ClassMix("tag", 0.34, 400, 12, 0.75, 40, 1, 5000, 30.0),
    ClassMix("review", 0.02, 6000, 400, 0.80, 40, 2, 20_000, 120.0),
)


@attrs.frozen
class WorkItem:
    """One request of the workload.

    Attributes
    ----------
    number : int
        Number of the request.
    at : float
        Arrival, in seconds.
    mix : ClassMix
        Its class.
    prompt : bytes
        The prompt.
    hashes : tuple of bytes
        Chained hashes of its blocks.
    output_tokens : int
        Tokens that it generates.
    place : float
        Number between 0 and 1 that gives its region and router.
    """

    number: int
    at: float
    mix: ClassMix
    prompt: bytes
    hashes: tuple[bytes, ...]
    output_tokens: int
    place: float

    @property
    def prompt_tokens(self) -> int:
        """Tokens of the prompt."""
        return len(self.prompt) // BYTES_PER_TOKEN


def make_items(
    rate_per_s: float,
    duration_s: float,
    seed: int,
    classes: tuple[ClassMix, ...] = CLASSES,
) -> list[WorkItem]:
    """Return requests with exponential gaps.

    Parameters
    ----------
    rate_per_s : float
        Requests a second.
    duration_s : float
        Length, in seconds.
    seed : int
        Seed of the sizes and times.
    classes : tuple of ClassMix
        Classes and their shares.

    Returns
    -------
    list of WorkItem
        The requests in order of arrival.
    """
    rng = random.Random(seed)
    common = rng.randbytes(64 * BYTES_PER_TOKEN)
    prefixes = {mix.name: _make_prefixes(mix, common, rng) for mix in classes}
    weights = [mix.share for mix in classes]
    items: list[WorkItem] = []
    at = rng.expovariate(rate_per_s)
    while at < duration_s:
        mix = rng.choices(classes, weights)[0]
        # A few prefixes are much used: the rank is drawn from a Pareto distribution.
        rank = min(int(rng.paretovariate(0.6)) - 1, mix.n_prefixes - 1)
        if rank == mix.n_prefixes - 1:
            rank = rng.randrange(mix.n_prefixes)
        prefix = prefixes[mix.name][rank]
        n_suffix = mix.prompt_tokens * (1.0 - mix.prefix_share) * rng.uniform(0.5, 1.5)
        prompt = prefix + rng.randbytes(int(n_suffix) * BYTES_PER_TOKEN)
        output = max(1, int(mix.output_tokens * rng.uniform(0.5, 1.5)))
        items.append(
            WorkItem(
                len(items), at, mix, prompt, hash_blocks(prompt), output, rng.random()
            )
        )
        at += rng.expovariate(rate_per_s)
    return items


def _make_prefixes(mix: ClassMix, common: bytes, rng: random.Random) -> list[bytes]:
    n_bytes = int(mix.prompt_tokens * mix.prefix_share) * BYTES_PER_TOKEN
    return [
        common + rng.randbytes(max(0, n_bytes - len(common)))
        for _ in range(mix.n_prefixes)
    ]
