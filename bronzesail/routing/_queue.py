"""Queues of requests that wait for a backend server, with priority ageing."""

from __future__ import annotations

import itertools
from collections import OrderedDict
from typing import TYPE_CHECKING

import attrs

from ._interfaces import RouteRequest

if TYPE_CHECKING:
    from collections.abc import Iterator


__all__ = ["QueueKey", "QueuedRequest", "WaitingQueue"]

MS_PER_S = 1000.0


@attrs.frozen
class QueuedRequest:
    """A queued request.

    Attributes
    ----------
    number : int
        Number that identifies the queued request within this router.
    request : RouteRequest
        The request.
    block_hashes : tuple of bytes
        Chained hashes of the blocks of its prompt.
    queued_at : float
        Monotonic time of its arrival, in seconds.
    """

    number: int
    request: RouteRequest
    block_hashes: tuple[bytes, ...]
    queued_at: float

    def compute_rank(self, now: float, bonus_ms: float = 0.0) -> float:
        """Return the rank for dispatch; the smallest is dispatched first.

        The rank is the priority less the time in the queue divided by the class's
        ageing time.

        Parameters
        ----------
        now : float
            Monotonic time, in seconds.
        bonus_ms : float
            Time that is added to the time in the queue, in milliseconds.

        Returns
        -------
        float
            The rank.
        """
        waited_ms = (now - self.queued_at) * MS_PER_S + bonus_ms
        return self.request.priority - waited_ms / max(self.request.ageing_ms, 1)


@attrs.frozen
class QueueKey:
    """Key of a queue: requests of one class with the same eligible backend servers.

    Attributes
    ----------
    service : str
        Name of the service.
    class_name : str
        Name of the class.
    excluded : frozenset of str
        Backend servers that must not be chosen.
    is_suspect : bool
        Whether the requests are suspects, which run alone on a backend server.
    """

    service: str
    class_name: str
    excluded: frozenset[str]
    is_suspect: bool


class WaitingQueue:
    """First-in, first-out queues, one for each `QueueKey`."""

    def __init__(self) -> None:
        self._queues: dict[QueueKey, OrderedDict[int, QueuedRequest]] = {}
        self._keys: dict[int, QueueKey] = {}

    def __len__(self) -> int:
        return len(self._keys)

    def add(self, queued: QueuedRequest) -> None:
        """Add a request at the end of its queue.

        Parameters
        ----------
        queued : QueuedRequest
            The request.
        """
        request = queued.request
        key = QueueKey(
            request.service, request.class_name, request.excluded, request.is_suspect
        )
        self._queues.setdefault(key, OrderedDict())[queued.number] = queued
        self._keys[queued.number] = key

    def remove(self, number: int) -> bool:
        """Remove a request.

        Parameters
        ----------
        number : int
            Number of the queued request.

        Returns
        -------
        bool
            Whether it was queued.
        """
        key = self._keys.pop(number, None)
        if key is None:
            return False
        queue = self._queues[key]
        del queue[number]
        if not queue:
            del self._queues[key]
        return True

    def list_first(self, max_per_queue: int) -> list[QueuedRequest]:
        """Return the first requests of each queue.

        Parameters
        ----------
        max_per_queue : int
            Greatest number of requests from one queue.

        Returns
        -------
        list of QueuedRequest
            The requests; those of one queue are in order, the queues are not.
        """
        heads: list[QueuedRequest] = []
        for queue in self._queues.values():
            heads += itertools.islice(queue.values(), max_per_queue)
        return heads

    def iterate(self) -> Iterator[QueuedRequest]:
        """Yield every queued request; it may be removed during the iteration.

        Yields
        ------
        QueuedRequest
            A queued request.
        """
        for queue in list(self._queues.values()):
            yield from list(queue.values())

    def has_suspect(self, service: str) -> bool:
        """Return whether a suspect request of a service is queued.

        Parameters
        ----------
        service : str
            Name of the service.

        Returns
        -------
        bool
            Whether one is queued.
        """
        return any(key.service == service and key.is_suspect for key in self._queues)

    def count_class(self, service: str, class_name: str) -> int:
        """Return the number of queued requests of a class.

        Parameters
        ----------
        service : str
            Name of the service.
        class_name : str
            Name of the class.

        Returns
        -------
        int
            The number.
        """
        total = 0
        for key, queue in self._queues.items():
            if key.service == service and key.class_name == class_name:
                total += len(queue)
        return total

    def count_ahead(self, service: str, priority: int) -> int:
        """Return how many queued requests are served before a new one.

        Parameters
        ----------
        service : str
            Name of the service.
        priority : int
            Priority of the new request.

        Returns
        -------
        int
            The number of requests with the same or a more urgent priority; the ageing
            of less urgent ones is ignored.
        """
        total = 0
        for key, queue in self._queues.items():
            if key.service != service:
                continue
            head = next(iter(queue.values()))
            if head.request.priority <= priority:
                total += len(queue)
        return total
