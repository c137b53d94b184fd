"""Samples candidate backend servers for a request and chooses the best of them."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from ..schema import RoutingSettings
from ._interfaces import Candidate
from ._link import LinkRateLimiter, LinkUse
from ._scores import Scorer
from ._servers import ServerState

if TYPE_CHECKING:
    import random

    from ._pool import Pool
    from ._queue import QueuedRequest

__all__ = ["Choice", "ServerChooser", "count_link_bytes"]


@attrs.frozen
class Choice:
    """The chosen backend server and the scores of all candidates.

    Attributes
    ----------
    server : ServerState
        Candidate with the smallest score.
    candidates : tuple of Candidate
        All candidates that were scored.
    """

    server: ServerState
    candidates: tuple[Candidate, ...]


@attrs.frozen
class ServerChooser:
    """Chooses a backend server among those with free capacity.

    Candidates are a random sample, as in the power of two choices, which keeps routers
    with equally stale load reports from all choosing the same server, and the servers
    that hold the longest cached prefix of the prompt.

    Attributes
    ----------
    settings : RoutingSettings
        Settings, such as the sample size.
    region : str
        Region of this router.
    scorer : Scorer
        Computes the scores of candidates.
    link : LinkRateLimiter
        Rate limiter of the inter-region link.
    """

    settings: RoutingSettings
    region: str
    scorer: Scorer
    link: LinkRateLimiter

    def choose(
        self, pool: Pool, queued: QueuedRequest, now: float, rng: random.Random
    ) -> Choice | None:
        """Choose a backend server for a request.

        Parameters
        ----------
        pool : Pool
            The service's backend servers.
        queued : QueuedRequest
            The request.
        now : float
            Monotonic time, in seconds.
        rng : random.Random
            Random generator for the sample.

        Returns
        -------
        Choice or None
            The choice; None if no backend server can accept the request now.
        """
        servers = pool.list_open(queued.request, now)
        local = [s for s in servers if s.entry.region == self.region]
        remote = [s for s in servers if s.entry.region != self.region]
        sampled = self._sample(local, queued, rng)
        if remote and self._allows_remote(queued, now):
            sampled += self._sample(remote, queued, rng)
        if not sampled:
            return None
        mean_load = pool.compute_mean_load(now)
        scored = [
            self.scorer.score(pool, server, queued, mean_load, now)
            for server in sampled
        ]
        best = min(range(len(scored)), key=lambda index: scored[index].score_s)
        return Choice(sampled[best], tuple(scored))

    def is_remote(self, server: ServerState) -> bool:
        """Return whether a backend server is in another region.

        Parameters
        ----------
        server : ServerState
            The backend server.

        Returns
        -------
        bool
            Whether its region differs from this router's.
        """
        return server.entry.region != self.region

    def _allows_remote(self, queued: QueuedRequest, now: float) -> bool:
        """Return whether the link may carry the prompt and the longest answer now."""
        n_bytes = count_link_bytes(queued, queued.request.output_tokens, self.settings)
        return self.link.can_spend(LinkUse.DATA, n_bytes, now)

    def _sample(
        self, servers: list[ServerState], queued: QueuedRequest, rng: random.Random
    ) -> list[ServerState]:
        """Return a random sample of servers, and the best holders of the prefix."""
        size = min(self.settings.sample_size, len(servers))
        sampled = rng.sample(servers, size)
        for server in self._find_prefix_holders(servers, queued):
            if server not in sampled:
                sampled.append(server)
        return sampled

    def _find_prefix_holders(
        self, servers: list[ServerState], queued: QueuedRequest
    ) -> list[ServerState]:
        """Return the servers with the longest cached prefix, the least busy first."""
        ranked = []
        for server in servers:
            n_cached = self.scorer.count_cached_tokens(server, queued)
            if n_cached == 0:
                continue
            ranked.append((-n_cached, server.in_flight, server.entry.host, server))
        ranked.sort(key=lambda item: item[:3])
        return [item[3] for item in ranked[: self.settings.prefix_holders]]


def count_link_bytes(
    queued: QueuedRequest, output_tokens: int, settings: RoutingSettings
) -> int:
    """Return the number of bytes that a request sends over the inter-region link.

    Parameters
    ----------
    queued : QueuedRequest
        The request.
    output_tokens : int
        Number of tokens of the answer.
    settings : RoutingSettings
        Settings, of which the bytes per streamed token are used.

    Returns
    -------
    int
        Number of bytes of the prompt and the answer.
    """
    answer_bytes = output_tokens * settings.answer_bytes_per_token
    return len(queued.request.prompt) + answer_bytes
