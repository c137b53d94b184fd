"""What is inferred of a stream that this router does not know."""

from __future__ import annotations

import asyncio

import attrs
import pytest

from bronzesail.router.messages import StreamBeginnings, StreamQuery, StreamReply
from bronzesail.router.store import StoreError
from bronzesail.router.stream_lookup import N_TOLD, StreamLookup
from bronzesail.router.stream_versions import (
    MAX_STREAM_AGE_S,
    UNDETERMINED,
    StreamBeginning,
    StreamVersions,
    VersionView,
)
from tests.router_fakes import ManualClock, RecordingLog

SERVICE = "llm"
ADDRESSES = [("10.0.0.1", port) for port in range(1, N_TOLD + 3)]
OBSERVED = VersionView(["v1"], is_complete=True, is_observed=True)
STARTED = VersionView(["v1"], is_complete=True, is_observed=False)


def begun(version):
    return StreamBeginning("r1", SERVICE, version)


@attrs.define
class FakeRows:
    """The store's row of the stream; an error if it does not answer."""

    row: object = None
    written: list = attrs.field(factory=list)

    def write(self, beginnings):
        self.written += beginnings

    async def find(self, request_id):
        if isinstance(self.row, Exception):
            raise self.row
        return self.row


class Fleet:
    """A router's lookup, and the replies of the other routers by address."""

    def __init__(self, replies, row=None):
        self.clock = ManualClock()
        self.streams = StreamVersions(self.clock)
        self.streams.note_servers({SERVICE: {"v1"}})
        self.clock.now += MAX_STREAM_AGE_S + 1.0
        self.rows = FakeRows(row)
        self.told = []
        self._replies = dict(zip(ADDRESSES, replies, strict=False))
        self.lookup = StreamLookup(
            self.streams, self.rows, self, self._send, RecordingLog(), "incarnation"
        )

    def rank_fleet(self, subject):
        return list(self._replies)

    def _send(self, message, address):
        if isinstance(message, StreamBeginnings):
            self.told += [(address, b.version) for b in message.beginnings]
        if isinstance(message, StreamQuery) and self._replies[address] is not None:
            beginning, view = self._replies[address]
            reply = StreamReply(message.id, beginning, view)
            asyncio.get_running_loop().call_soon(self.lookup.handle, reply, address)

    def find(self):
        """Return the version that a lookup tells, None if nobody knows."""
        found = asyncio.run(self.lookup.find("r1", SERVICE))
        return None if found is None else found.version


def test_the_only_version_is_inferred_if_nobody_has_noted_the_stream():
    assert Fleet([(None, OBSERVED)] * N_TOLD).find() == "v1"


# A stream of an unknown life was joined once all that had been told were killed.
@pytest.mark.parametrize(
    "replies", [[], [(None, STARTED)], [(None, OBSERVED)] * N_TOLD]
)
def test_the_row_of_a_stream_goes_before_what_could_be_inferred(replies):
    assert Fleet(replies, row=begun(UNDETERMINED)).find() == UNDETERMINED
    assert Fleet(replies, row=begun("v2")).find() == "v2"


@pytest.mark.parametrize(
    "replies",
    [[], [(None, STARTED)] * N_TOLD, [None, *[(None, OBSERVED)] * N_TOLD]],
    ids=["nobody", "just started", "one is silent"],
)
def test_nothing_is_inferred_without_the_store_and_all_that_were_told(replies):
    assert Fleet(replies, row=StoreError("away")).find() is None


def test_those_that_were_told_are_enough_while_the_store_is_away():
    assert Fleet([(None, OBSERVED)] * N_TOLD, row=StoreError("away")).find() == "v1"


def test_a_router_that_was_told_is_waited_for():
    replies = [(None, OBSERVED)] * (N_TOLD - 1) + [(begun("v2"), OBSERVED)]
    assert Fleet(replies).find() == "v2"


def test_an_undetermined_stream_is_not_inferred():
    replies = [(begun(UNDETERMINED), OBSERVED), (None, OBSERVED)]
    assert Fleet(replies).find() == UNDETERMINED


def test_a_version_goes_before_undetermined_at_another_router():
    replies = [(begun(UNDETERMINED), OBSERVED), (begun("v2"), OBSERVED)]
    assert Fleet(replies).find() == "v2"


# The router that began such a stream was killed before the entry arrived.
def test_others_are_told_of_an_undetermined_stream_at_once_and_of_its_version():
    fleet = Fleet([(None, OBSERVED)] * (N_TOLD + 1))
    fleet.lookup.note_undetermined("r1", SERVICE)
    told = [(address, UNDETERMINED) for address in ADDRESSES[:N_TOLD]]
    assert fleet.told == told
    fleet.lookup.note_begun("r1", SERVICE, "v1")
    assert fleet.told == told + [(address, "v1") for address in ADDRESSES[:N_TOLD]]
    assert [b.version for b in fleet.rows.written] == [UNDETERMINED, "v1"]
    assert fleet.find() == "v1"


def test_others_are_told_of_a_version_that_they_cannot_infer():
    fleet = Fleet([(None, OBSERVED)] * N_TOLD)
    fleet.lookup.note_begun("r1", SERVICE, "v1")
    assert fleet.told == []
    fleet.lookup.note_begun("r2", SERVICE, "v2")
    assert {version for _, version in fleet.told} == {"v2"}


# One stream that had been told counted as all of its service, so that the others were
# not told once a second version appeared.
def test_others_are_told_of_all_streams_once_a_second_version_appears():
    fleet = Fleet([(None, OBSERVED)] * N_TOLD)
    fleet.lookup.note_begun("r1", SERVICE, "v1")
    fleet.lookup.note_undetermined("r2", SERVICE)
    fleet.lookup.note_begun("r2", SERVICE, "v1")
    fleet.rows.written.clear()
    fleet.streams.note_servers({SERVICE: {"v1", "v2"}})
    fleet.lookup.tell_unknown()
    assert {b.request_id for b in fleet.rows.written} == {"r1", "r2"}
