"""Router processes under faults from outside: a few seeds of the soaks."""

from __future__ import annotations

import asyncio

import pytest

from tests.router_soak import play_seed
from tests.server_soak import CalmServerSoak, ServerSoak
from tests.stream_soak import StreamSoak


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_no_promise_is_broken_under_faults(tmp_path, seed):
    broken, figures = asyncio.run(play_seed(seed, tmp_path))
    assert not broken, figures


# 220: servers that started again under their ids as another version took up streams of
# the version before (ORDER), as their entries were late.
# 412: a server started again with a clock that was behind, and its entry was ignored,
# so that requests reached it after it had said that it leaves (DRAIN).
@pytest.mark.parametrize(
    ("seed", "soak_type"), [(220, ServerSoak), (412, CalmServerSoak)]
)
def test_no_promise_is_broken_while_servers_come_and_go(tmp_path, seed, soak_type):
    broken, figures = asyncio.run(play_seed(seed, tmp_path, soak_type=soak_type))
    assert not broken, figures


# 0: routers counted the streams of lives whose start they had not seen as of the
# version before, so that others joined them to streams of that version (ORDER).
# 17: routers that had just started ignored the entries of lives with a clock that had
# been set back, and counted their streams as of the life before (ORDER).
@pytest.mark.parametrize("seed", [0, 17])
def test_no_stream_is_joined_while_servers_start_again(tmp_path, seed):
    broken, figures = asyncio.run(play_seed(seed, tmp_path, soak_type=StreamSoak))
    assert not broken, figures
