"""Property test of request parsing.

Any input must parse into an order or be refused as not run; parsing must not raise.
"""

from __future__ import annotations

import json

from hypothesis import given
from hypothesis import strategies as st
from returns.result import Failure, Success

from bronzesail.http import HttpRequest
from bronzesail.request import RequestSettings
from bronzesail.request._orders import authenticate, parse_order
from tests.request_fakes import SECRET, make_configuration

CONFIGURATION = make_configuration()
SETTINGS = RequestSettings(SECRET)
JSON = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(),
    lambda inner: st.lists(inner) | st.dictionaries(st.text(), inner),
    max_leaves=5,
)
CONTENT = st.fixed_dictionaries(
    {}, optional={name: JSON for name in ("prompt", "max_tokens", "stream", "class")}
)
NAMES = st.sampled_from(
    ["authorization", "idempotency-key", "bronzesail-deadline-ms", "bronzesail-class"]
)
HEADERS = st.lists(st.tuples(NAMES, st.text(max_size=30)), max_size=4)
TARGETS = st.sampled_from(
    ["/v1/desk/completions", "/v1/pass/call/", "/v1/pass/call/a?b=c", "/v1/x/y"]
)


@given(
    TARGETS,
    HEADERS,
    st.binary(max_size=50) | CONTENT.map(lambda content: json.dumps(content).encode()),
    st.sampled_from(["GET", "POST", "PUT"]),
)
def test_any_input_is_an_order_or_a_true_refusal(
    target: str, headers: list[tuple[str, str]], body: bytes, method: str
) -> None:
    request = HttpRequest(method, target, tuple(headers), body)
    account = CONFIGURATION.accounts["ski"]
    results = (
        authenticate(request, CONFIGURATION),
        parse_order(request, account, CONFIGURATION, SETTINGS, 5.0),
    )
    for result in results:
        if isinstance(result, Failure):
            assert result.failure().is_not_run
    if isinstance(results[1], Success):
        order = results[1].unwrap()
        assert order.deadline > 5.0
        assert order.amount_tokens >= order.max_tokens >= 0
