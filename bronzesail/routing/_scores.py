"""Scores backend servers for a request, in seconds.

The score is the estimated wait, less the prefill time that a cached prefix saves, plus
a penalty for a server in another region.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from ..schema import RoutingSettings
from ..util.prefix import BLOCK_BYTES
from ._interfaces import Candidate
from ._prefixes import PrefixIndex
from ._servers import MS_PER_S, PERCENT

if TYPE_CHECKING:
    from ._pool import Pool
    from ._queue import QueuedRequest
    from ._servers import ServerState

__all__ = ["Scorer"]

# Cost in seconds of a server whose slots are all occupied. It spreads requests over the
# servers below that load, where no request waits for a slot.
LOAD_COST_S = 0.05


@attrs.frozen
class Scorer:
    """Computes the scores of backend servers.

    Attributes
    ----------
    settings : RoutingSettings
        Settings, such as the prefill rate.
    region : str
        Region of this router.
    prefixes : PrefixIndex
        Index of cached prefixes.
    """

    settings: RoutingSettings
    region: str
    prefixes: PrefixIndex

    def count_cached_tokens(self, server: ServerState, queued: QueuedRequest) -> int:
        """Return the estimated number of prompt tokens in a server's prefix cache.

        Parameters
        ----------
        server : ServerState
            The backend server.
        queued : QueuedRequest
            The request.

        Returns
        -------
        int
            Number of tokens, in proportion to the cached share of the prompt's bytes.
        """
        n_blocks = self.prefixes.count_cached(server.entry.host, queued.block_hashes)
        n_bytes = len(queued.request.prompt)
        if n_blocks == 0 or n_bytes == 0:
            return 0
        share = min(1.0, n_blocks * BLOCK_BYTES / n_bytes)
        return int(queued.request.prompt_tokens * share)

    def score(
        self,
        pool: Pool,
        server: ServerState,
        queued: QueuedRequest,
        mean_load: float,
        now: float,
    ) -> Candidate:
        """Score a backend server for a request.

        The wait is the sum of the time until a slot is free, the prefill of pending
        prompts and of this one, and the load cost, divided by the server's slow-start
        share. The cached prefix counts only while the server's load is near the mean or
        below half of its slots, so that a popular prefix does not overload its holder.

        Parameters
        ----------
        pool : Pool
            The service's backend servers.
        server : ServerState
            The backend server.
        queued : QueuedRequest
            The request.
        mean_load : float
            Mean number of requests over the service's backend servers.
        now : float
            Monotonic time, in seconds.

        Returns
        -------
        Candidate
            The score, with the wait and the cached tokens behind it.
        """
        load = pool.estimate_load(server, now)
        prefill_rate = self.settings.prefill_tokens_per_s
        n_excess = max(0.0, load + 1 - server.slots)
        wait_s = n_excess * pool.service_time.mean_s / server.slots
        wait_s += (server.pending_tokens + queued.request.prompt_tokens) / prefill_rate
        wait_s += LOAD_COST_S * load / server.slots
        wait_s /= max(server.health.compute_slow_start_share(now), 0.1)
        n_cached = self.count_cached_tokens(server, queued)
        load_bound = mean_load * self.settings.affinity_load_percent / PERCENT + 1
        allows_affinity = load <= max(load_bound, server.slots / 2)
        affinity_gain_s = n_cached / prefill_rate if allows_affinity else 0.0
        penalty_s = 0.0
        if server.entry.region != self.region:
            penalty_s = self.settings.remote_penalty_ms / MS_PER_S
        score_s = wait_s - affinity_gain_s + penalty_s
        return Candidate(server.entry.host, wait_s, n_cached, score_s)
