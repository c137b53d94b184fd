"""Records which software version began each stream, without performing I/O.

What two software versions of a service write does not fit together, and backend servers
do not check it. A stream that breaks off may therefore go on only at the version that
began it. The router that relayed the first event knows that version and tells some
other routers, so that the caller can take the stream up anywhere. While a service has
had one version only for longer than a stream can last, nothing needs to be told.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs
import msgspec

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Mapping

__all__ = [
    "MAX_STREAM_AGE_S",
    "UNDETERMINED",
    "StreamBeginning",
    "StreamVersions",
    "VersionView",
]

# A stream that began longer ago is not taken up any more: callers' deadlines are half
# as long.
MAX_STREAM_AGE_S = 30.0
# Stands for the version of a stream while its server's is not certain. No server has
# it, so that routers of earlier builds refuse the stream as well.
UNDETERMINED = ""
MAX_BEGINNINGS = 20_000  # Above it the oldest are forgotten; 200 bytes each.


class StreamBeginning(msgspec.Struct, frozen=True, array_like=True):
    """Who began a stream.

    Attributes
    ----------
    request_id : str
        Id of the request that brought the first event.
    service : str
        Name of the service.
    version : str
        Software version of the server that sent the event, or `UNDETERMINED`.
    age_s : float
        Time since the event.
    """

    request_id: str
    service: str
    version: str
    age_s: float = 0.0


class VersionView(msgspec.Struct, frozen=True, array_like=True):
    """The versions of a service that may have begun streams which can be taken up.

    Attributes
    ----------
    versions : list of str
        The versions that a router has seen within `MAX_STREAM_AGE_S`.
    is_complete : bool
        Whether no other version has begun a stream in that time.
    """

    versions: list[str]
    is_complete: bool
    # Whether the router itself has seen the service for `MAX_STREAM_AGE_S`, so that it
    # knows of all streams whose beginning it was told.
    is_observed: bool = False


@attrs.define
class _History:
    """The versions of one service, as this router has seen them."""

    observed_since: float
    listed: frozenset[str] = frozenset()
    left_at: dict[str, float] = attrs.field(factory=dict)
    # The only version up to the first observation, if the store says so.
    earlier_version: str | None = None


class StreamVersions:
    """The versions of the services, and the beginnings of recent streams.

    Parameters
    ----------
    now : callable
        Returns the seconds of a monotonic clock that includes suspended time.
    """

    def __init__(self, now: Callable[[], float]) -> None:
        self._now = now
        self._histories: dict[str, _History] = {}
        # By request id, with the time of the first event; the oldest note first.
        self._beginnings: dict[str, tuple[StreamBeginning, float]] = {}
        self._own_ids: dict[str, None] = {}  # Of streams that began here, in order.

    def note_servers(self, versions_by_service: Mapping[str, Iterable[str]]) -> bool:
        """Record the versions of all servers in the directory.

        Returns whether a service has gained or lost a version.
        """
        now = self._now()
        has_changed = False
        for service in versions_by_service.keys() | self._histories.keys():
            history = self._histories.get(service)
            if history is None:
                history = self._histories[service] = _History(now)
            listed = frozenset(versions_by_service.get(service, ()))
            history.left_at.update(dict.fromkeys(history.listed - listed, now))
            has_changed = has_changed or listed != history.listed
            history.listed = listed
        return has_changed

    def note_earlier_version(self, service: str, version: str) -> None:
        """Record that one version has begun all streams up to now."""
        history = self._histories.get(service)
        if history is None:
            history = self._histories[service] = _History(self._now())
        history.earlier_version = version

    def list_services(self) -> list[str]:
        """Return the services that have been seen."""
        return list(self._histories)

    def make_view(self, service: str) -> VersionView:
        """Return the versions that may have begun streams which can be taken up."""
        history = self._histories.get(service)
        if history is None:
            return VersionView([], is_complete=False)
        since = self._now() - MAX_STREAM_AGE_S
        recent = {v for v, left_at in history.left_at.items() if left_at > since}
        recent |= history.listed
        is_complete = is_observed = history.observed_since <= since
        if not is_complete and history.earlier_version is not None:
            recent.add(history.earlier_version)
            is_complete = True
        return VersionView(sorted(recent), is_complete, is_observed)

    def find_only_version(self, service: str) -> str | None:
        """Return the version that began all streams which can be taken up, or None."""
        return combine_views([self.make_view(service)])

    def note_begun(self, request_id: str, service: str, version: str) -> None:
        """Record the first event of a stream that this router relays."""
        self._own_ids[request_id] = None
        self.merge([StreamBeginning(request_id, service, version)])

    def merge(self, beginnings: Iterable[StreamBeginning]) -> None:
        """Record the beginnings of streams, as other routers report them.

        A version takes the place of `UNDETERMINED`, never the other way round.
        """
        now = self._now()
        for beginning in beginnings:
            known = self._beginnings.get(beginning.request_id)
            if known is not None and known[0].version != UNDETERMINED:
                continue
            begun_at = now - max(0.0, beginning.age_s)
            self._beginnings[beginning.request_id] = (beginning, begun_at)
        self._forget_old()

    def find(self, request_id: str) -> StreamBeginning | None:
        """Return who began a stream, None if this router does not know."""
        known = self._beginnings.get(request_id)
        if known is None:
            return None
        beginning, begun_at = known
        return msgspec.structs.replace(beginning, age_s=self._now() - begun_at)

    def list_own(self, service: str) -> list[StreamBeginning]:
        """Return the recent streams of a service that began at this router."""
        found = [self.find(request_id) for request_id in self._own_ids]
        return [b for b in found if b is not None and b.service == service]

    def count(self) -> int:
        """Return the number of streams whose beginning is known."""
        return len(self._beginnings)

    def _forget_old(self) -> None:
        """Forget streams that cannot be taken up any more."""
        since = self._now() - MAX_STREAM_AGE_S
        while self._beginnings:
            request_id, (_, begun_at) = next(iter(self._beginnings.items()))
            if begun_at > since and len(self._beginnings) <= MAX_BEGINNINGS:
                return
            del self._beginnings[request_id]
            self._own_ids.pop(request_id, None)


def combine_views(views: Iterable[VersionView]) -> str | None:
    """Return the only version that any of the views of several routers has, or None.

    One of the views must be complete.
    """
    views = list(views)
    versions = {version for view in views for version in view.versions}
    if len(versions) != 1 or not any(view.is_complete for view in views):
        return None
    return versions.pop()
