"""Report received chunks of an answer to the metrics and the selector."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from ..routing import Route
    from ._context import RequestContext
    from ._orders import CallerOrder
    from ._records import RequestRecord

__all__ = ["ProgressReporter"]


class ProgressReporter:
    """Reports the first chunk and the received tokens of one dispatch.

    Parameters
    ----------
    context : RequestContext
        Services shared by the request path.
    order : CallerOrder
        Parsed request.
    record : RequestRecord
        Record to which the chunks are added.
    route : Route
        Route of the dispatch.
    started_at : float
        Monotonic time of the request's arrival, in seconds.
    """

    def __init__(
        self,
        context: RequestContext,
        order: CallerOrder,
        record: RequestRecord,
        route: Route,
        started_at: float,
    ) -> None:
        self._context = context
        self._order = order
        self._record = record
        self._route = route
        self._started_at = started_at
        self._n_reported = len(record.life.chunks)
        self._awaits_first_chunk = True
        self.n_tokens = 0
        self._stop = record.listen(self._report_chunks)

    def stop(self) -> None:
        """Stop reporting."""
        self._stop()

    def _report_chunks(self) -> None:
        chunks = self._record.life.chunks
        if len(chunks) <= self._n_reported:
            return
        n_tokens = sum(chunk.tokens for chunk in chunks[self._n_reported :])
        is_answer_start = self._n_reported == 0
        self._n_reported = len(chunks)
        self.n_tokens += n_tokens
        if self._awaits_first_chunk:
            self._awaits_first_chunk = False
            self._context.selector.note_first_token(self._route)
        account = self._order.account
        class_name = self._order.priority_class.name
        service = self._order.service.name
        observer = self._context.observer
        if is_answer_start:
            delay_s = self._context.clock.monotonic() - self._started_at
            observer.note_first_token(account, class_name, service, delay_s)
        observer.note_tokens(account, class_name, service, n_tokens)
