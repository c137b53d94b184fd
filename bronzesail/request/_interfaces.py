"""Settings of the request path, and the interface of its metrics observer."""

from __future__ import annotations

from typing import Protocol

import attrs

__all__ = ["RequestObserver", "RequestOutcome", "RequestSettings"]


@attrs.frozen
class RequestSettings:
    """Settings of the request path.

    Attributes
    ----------
    fleet_secret : bytes
        Secret that all routers share; request ids and issued keys derive from it.
    default_budget : str
        Prepaid budget that is charged if a request names none.
    prompt_margin : float
        Factor applied to the estimated prompt tokens when tokens are reserved.
    max_prompt_bytes : int
        Greatest size of a prompt, in bytes.
    min_deadline_ms, max_deadline_ms : int
        Accepted range of a caller's deadline, in milliseconds.
    answer_keep_s : float
        Retention time of a finished request's answer, in seconds.
    answer_keep_bytes : int
        Greatest total size of the retained answers, in bytes.
    disconnect_grace_s : float
        Time a disconnected caller has to reconnect before its repeatable request is
        cancelled, in seconds.
    probe_timeout_s : float
        Timeout of a probe of a backend server, in seconds.
    max_probes : int
        Consecutive unanswered probes after which a backend server counts as failed.
    backoff_s, max_backoff_s : float
        Initial and greatest mean delay before a retry, in seconds.
    retry_ratio : float
        Retries earned by each first attempt, per client account and backend server.
    retry_burst : float
        Capacity of a retry budget, in retries.
    peer_timeout_s : float
        Timeout of a message to another router, in seconds.
    key_lifetime_s : float
        Time after which an unused issued key expires, in seconds.
    key_memory_s : float
        Time a tracker keeps which router runs a request key, in seconds.
    trial_lifetime_s : float
        Time after which a trial of a suspect body that was not reported as ended
        expires, in seconds.
    """

    fleet_secret: bytes
    default_budget: str = "main"
    prompt_margin: float = 1.25
    max_prompt_bytes: int = 2 * 1024 * 1024
    min_deadline_ms: int = 1
    max_deadline_ms: int = 3_600_000
    answer_keep_s: float = 600.0
    answer_keep_bytes: int = 32 * 1024 * 1024
    disconnect_grace_s: float = 3.0
    probe_timeout_s: float = 1.0
    max_probes: int = 3
    backoff_s: float = 0.05
    max_backoff_s: float = 2.0
    retry_ratio: float = 0.1
    retry_burst: float = 10.0
    peer_timeout_s: float = 1.0
    key_lifetime_s: float = 86_400.0
    key_memory_s: float = 14_400.0
    trial_lifetime_s: float = 30.0


@attrs.frozen
class RequestOutcome:
    """How a request ended, for metrics.

    Attributes
    ----------
    account : str
        Client account.
    class_name : str
        Priority class of the request.
    service : str
        Name of the service.
    outcome : str
        ``whole`` for a complete answer, or the label of the refusal's code.
    is_not_run : bool
        Whether the refusal states that the request did not run.
    duration_s : float
        Time from the request's arrival to its end, in seconds.
    charged_tokens : int
        Tokens charged.
    """

    account: str
    class_name: str
    service: str
    outcome: str
    is_not_run: bool
    duration_s: float
    charged_tokens: int


class RequestObserver(Protocol):
    """Receives request events, for metrics."""

    def note_first_token(
        self, account: str, class_name: str, service: str, delay_s: float
    ) -> None:
        """Record that the first part of an answer was received.

        Parameters
        ----------
        account : str
            Client account.
        class_name : str
            Priority class of the request.
        service : str
            Name of the service.
        delay_s : float
            Time since the request's arrival, in seconds.
        """

    def note_tokens(
        self, account: str, class_name: str, service: str, n_tokens: int
    ) -> None:
        """Record that tokens of an answer were received.

        Parameters
        ----------
        account : str
            Client account.
        class_name : str
            Priority class of the request.
        service : str
            Name of the service.
        n_tokens : int
            Number of tokens.
        """

    def note_outcome(self, outcome: RequestOutcome) -> None:
        """Record how a request ended; called once per request.

        Parameters
        ----------
        outcome : RequestOutcome
            Result and duration of the request.
        """

    def note_retry(self, account: str, service: str, cause: str) -> None:
        """Record that a request is retried.

        Parameters
        ----------
        account : str
            Client account.
        service : str
            Name of the service.
        cause : str
            Reason: unsent, broken, silent, crashed or refused.
        """
