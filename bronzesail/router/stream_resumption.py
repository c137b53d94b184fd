"""Finds out which software version began a stream that its caller takes up again."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from .server_lives import ENTRY_DELAY_S
from .stream_versions import UNDETERMINED

if TYPE_CHECKING:
    from .stream_lookup import StreamLookup
    from .stream_versions import StreamBeginning

__all__ = ["look_up_beginning"]

# Longest wait for the version of a stream that began at a server whose entry has not
# arrived, and the time between two looks.
MAX_VERSION_WAIT_S = 1.5
VERSION_RECHECK_S = 0.25


async def look_up_beginning(
    lookup: StreamLookup, request_id: str, service: str, max_wait_s: float
) -> StreamBeginning | None:
    """Return who began a stream, None if nobody knows.

    The entry of a server that has just started is waited for, within limits.

    Parameters
    ----------
    lookup : StreamLookup
        Asks the other routers.
    request_id : str
        Id of the request that brought the stream's first event.
    service : str
        Service of the route that the stream is taken up on.
    max_wait_s : float
        Longest wait for an entry, in seconds.
    """
    loop = asyncio.get_running_loop()
    wait_until = loop.time() + min(MAX_VERSION_WAIT_S, max_wait_s)
    beginning = await lookup.find(request_id, service)
    while (
        beginning is not None
        and beginning.version == UNDETERMINED
        and beginning.age_s < ENTRY_DELAY_S
        and loop.time() < wait_until
    ):
        await asyncio.sleep(VERSION_RECHECK_S)
        beginning = await lookup.find(request_id, service)
    return beginning
