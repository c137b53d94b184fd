"""Messages of routing, and its settings. Generated from routing.json; do not edit."""

from __future__ import annotations

import attrs

__all__ = ["CacheEvent", "CacheEventsReply", "LoadReport", "RoutingSettings"]


@attrs.frozen
class LoadReport:
    """Load that a backend server reports, with a lag.

    Attributes
    ----------
    running : int
        Requests that are running.
    queued : int
        Requests that wait for a slot.
    slots : int
        Requests that may run at the same time.
    tokens_per_s : float
        Tokens generated a second.
    age_ms : float
        Age of the report when it was sent, in milliseconds.
    """

    running: int
    queued: int
    slots: int
    tokens_per_s: float = 0.0
    age_ms: float = 0.0


@attrs.frozen
class CacheEvent:
    """Change of one block in a backend server's prefix cache.

    Attributes
    ----------
    seq : int
        Number of the event, from 1; a missing number is a lost event.
    kind : str
        Either stored or evicted.
    block : str
        Chained hash of the prompt up to the block's end, in hexadecimal.
    """

    seq: int
    kind: str
    block: str


@attrs.frozen
class CacheEventsReply:
    """Events of a prefix cache after a sequence number.

    Attributes
    ----------
    events : tuple[CacheEvent, ...]
        The events, in order.
    incarnation : int
        Number of the backend server's start; another one begins with an empty cache.
    """

    events: tuple[CacheEvent, ...]
    incarnation: int = 0


@attrs.frozen
class RoutingSettings:
    """Settings of routing.

    Attributes
    ----------
    poll_period_ms : int
        Time between two load reports of one backend server, in milliseconds.
    idle_poll_period_ms : int
        The same for a service that gets no requests, in milliseconds.
    busy_ms : int
        Time since its last request for which a service counts as busy, in milliseconds.
    polls_per_s : int
        Backend servers that are polled a second at most, each for its load and its
        cache events.
    poll_timeout_ms : int
        Time for one poll, in milliseconds.
    report_decay_ms : int
        Age at which a load report counts for 1/e, in milliseconds.
    sample_size : int
        Candidates that are drawn at random.
    prefix_holders : int
        Candidates that are added for their cached prefix.
    affinity_load_percent : int
        Load above the mean up to which a cached prefix counts, in percent of the mean.
    overcommit_percent : int
        Requests sent to a backend server, in percent of its slots.
    default_slots : int
        Slots of a backend server that has not reported.
    prefill_tokens_per_s : int
        Prompt tokens that a backend server reads a second.
    slow_start_ms : int
        Time over which a new or recovered backend server gets its full share, in
        milliseconds.
    ejection_failures : int
        Failures in a row that eject a backend server.
    ejection_ms : int
        Time of the first ejection, in milliseconds; doubled with each further one.
    ejection_limit_ms : int
        Greatest time of an ejection, in milliseconds.
    max_ejected_percent : int
        Greatest share of a service's backend servers that are ejected, in percent.
    queue_limit : int
        Requests that may wait in one class of a service.
    prefix_blocks : int
        Blocks kept in the prefix index for one backend server.
    remote_penalty_ms : int
        Wait that a backend server in another region must save, in milliseconds.
    answer_bytes_per_token : int
        Bytes across the link for one streamed token.
    queue_window : int
        Requests of one queue that are compared for their cached prefix.
    affinity_wait_ms : int
        Waiting time for which a wholly cached prompt counts, in milliseconds.
    prefix_blocks_total : int
        Blocks kept in the prefix index for all backend servers.
    """

    poll_period_ms: int = 4000
    idle_poll_period_ms: int = 10000
    busy_ms: int = 10000
    polls_per_s: int = 4
    poll_timeout_ms: int = 1000
    report_decay_ms: int = 4000
    sample_size: int = 2
    prefix_holders: int = 2
    affinity_load_percent: int = 125
    overcommit_percent: int = 125
    default_slots: int = 32
    prefill_tokens_per_s: int = 8000
    slow_start_ms: int = 10000
    ejection_failures: int = 3
    ejection_ms: int = 5000
    ejection_limit_ms: int = 60000
    max_ejected_percent: int = 50
    queue_limit: int = 512
    prefix_blocks: int = 20000
    remote_penalty_ms: int = 100
    answer_bytes_per_token: int = 96
    queue_window: int = 8
    affinity_wait_ms: int = 3000
    prefix_blocks_total: int = 400000
