"""Router processes under faults from outside: a few seeds of the soak."""

from __future__ import annotations

import asyncio

import pytest

from tests.router_soak import play_seed


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_no_promise_is_broken_under_faults(tmp_path, seed):
    broken, figures = asyncio.run(play_seed(seed, tmp_path))
    assert not broken, figures
