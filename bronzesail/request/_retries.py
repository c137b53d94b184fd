"""Retry budgets and backoff delays."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    import random

    from ._interfaces import RequestSettings

__all__ = ["RetryBudget", "RetryPolicy"]

# Greatest number of retry budgets per kind; the oldest one is dropped, and starts
# full again when it is next needed.
MAX_BUDGETS_PER_KIND = 10_000


@attrs.define
class RetryBudget:
    """Token bucket to which first attempts add and from which retries draw.

    Attributes
    ----------
    ratio : float
        Retries earned by each first attempt.
    burst : float
        Capacity, in retries.
    available : float
        Retries available now.

    Notes
    -----
    Follows the retry budget in Google's "Site Reliability Engineering", chapter 21,
    2016.
    """

    ratio: float
    burst: float
    available: float

    def earn(self) -> None:
        """Add the share of a retry that a first attempt earns."""
        self.available = min(self.burst, self.available + self.ratio)

    def spend(self) -> bool:
        """Draw one retry; return False if less than one is available."""
        if self.available < 1.0:
            return False
        self.available -= 1.0
        return True


class RetryPolicy:
    """Retry budgets per client account and per backend server, and backoff delays.

    Parameters
    ----------
    settings : RequestSettings
        Ratio and capacity of the budgets, and bounds of the delays.
    """

    def __init__(self, settings: RequestSettings) -> None:
        self._settings = settings
        self._accounts: dict[str, RetryBudget] = {}
        self._backends: dict[str, RetryBudget] = {}

    def note_first_attempt(self, account: str, backend_server: str) -> None:
        """Record the first dispatch of a request.

        Parameters
        ----------
        account : str
            Client account.
        backend_server : str
            Name of the backend server.
        """
        self._find(self._accounts, account).earn()
        self._find(self._backends, backend_server).earn()

    def allow_retry(self, account: str, backend_server: str) -> bool:
        """Draw a retry from both budgets, or from neither.

        Parameters
        ----------
        account : str
            Client account.
        backend_server : str
            Backend server that failed.

        Returns
        -------
        bool
            Whether the retry is allowed.
        """
        by_account = self._find(self._accounts, account)
        by_backend = self._find(self._backends, backend_server)
        if by_account.available < 1.0 or by_backend.available < 1.0:
            return False
        return by_account.spend() and by_backend.spend()

    def draw_delay_s(self, n_failures: int, source: random.Random) -> float:
        """Return the random delay before a retry (exponential backoff, full jitter).

        Parameters
        ----------
        n_failures : int
            Failed attempts so far, from 1.
        source : random.Random
            Source of the jitter.

        Returns
        -------
        float
            Seconds, uniform between 0 and a bound that doubles with each failure up to
            twice `max_backoff_s`, so the mean is at most `max_backoff_s`.
        """
        settings = self._settings
        bound_s = settings.backoff_s * 2 ** min(n_failures, 16)
        return source.uniform(0.0, min(bound_s, 2 * settings.max_backoff_s))

    def _find(self, budgets: dict[str, RetryBudget], name: str) -> RetryBudget:
        if name not in budgets:
            if len(budgets) >= MAX_BUDGETS_PER_KIND:
                budgets.pop(next(iter(budgets)))
            burst = self._settings.retry_burst
            budgets[name] = RetryBudget(self._settings.retry_ratio, burst, burst)
        return budgets[name]
