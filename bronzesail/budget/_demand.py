"""Smoothed demand for a budget's tokens and the grant size derived from it."""

from __future__ import annotations

import math

import attrs

__all__ = ["Demand", "GrantSizing", "choose_grant_tokens"]


class Demand:
    """Exponentially smoothed rate of the tokens that requests ask for.

    Parameters
    ----------
    window_s : float
        Time constant of the smoothing, in seconds.

    Attributes
    ----------
    largest_tokens : int
        Largest request so far, in tokens.
    last_request_at : float
        Monotonic time of the last request, in seconds; minus infinity before the
        first.
    """

    def __init__(self, window_s: float) -> None:
        self._window_s = window_s
        self._rate = 0.0
        self._updated_at = 0.0
        self.largest_tokens = 0
        self.last_request_at = -math.inf

    def note(self, amount_tokens: int, now: float) -> None:
        """Add a request to the smoothed rate.

        Parameters
        ----------
        amount_tokens : int
            Tokens that the request asks for.
        now : float
            Monotonic time, in seconds.
        """
        self._rate = self.read_rate(now) + amount_tokens / self._window_s
        self._updated_at = now
        self.last_request_at = now
        self.largest_tokens = max(self.largest_tokens, amount_tokens)

    def read_rate(self, now: float) -> float:
        """Return the smoothed rate, in tokens per second."""
        age_s = max(0.0, now - self._updated_at)
        return self._rate * math.exp(-age_s / self._window_s)


@attrs.frozen
class GrantSizing:
    """Inputs of `choose_grant_tokens`.

    Attributes
    ----------
    rate_tokens_per_s : float
        Smoothed demand at this router.
    horizon_s : float
        Period whose demand the grant should cover, in seconds.
    standby_tokens : int
        Tokens to keep granted even without demand.
    waiting_tokens : int
        Tokens that waiting requests ask for.
    largest_tokens : int
        Largest request so far, in tokens.
    left_tokens : int
        Tokens of the budget that are neither settled nor held.
    available_tokens : int
        Tokens of this router's grant that can be reserved now.
    free_tokens : int
        Tokens of the budget that are neither settled, held nor granted.
    n_sharers : int
        Routers with a non-empty grant of the budget, this one included.
    """

    rate_tokens_per_s: float
    horizon_s: float
    standby_tokens: int
    waiting_tokens: int
    largest_tokens: int
    left_tokens: int
    available_tokens: int
    free_tokens: int
    n_sharers: int


def choose_grant_tokens(sizing: GrantSizing) -> int:
    """Return the number of tokens that a grant should have available.

    The target covers the demand over the horizon, or the standby tokens if they are
    more, up to an equal share of the tokens left. The tokens left are divided by the
    number of sharers plus one, so that one share stays free for another router.

    Parameters
    ----------
    sizing : GrantSizing
        Demand at this router and supply of the budget.

    Returns
    -------
    int
        Target number of available tokens; at most those available plus those free.
        A target too small for the largest request is replaced by what the waiting
        requests ask for: a nearly exhausted budget would otherwise be split into
        grants too small to serve it.
    """
    limit_tokens = sizing.available_tokens + sizing.free_tokens
    forecast_tokens = math.ceil(sizing.rate_tokens_per_s * sizing.horizon_s)
    share_tokens = sizing.left_tokens // (sizing.n_sharers + 1)
    target_tokens = min(max(forecast_tokens, sizing.standby_tokens), share_tokens)
    if target_tokens < sizing.largest_tokens:
        target_tokens = 0
    return min(max(target_tokens, sizing.waiting_tokens), limit_tokens)
