"""Fakes of the interfaces that routing uses, and factories of its objects."""

from __future__ import annotations

import random

from bronzesail.configuration import Configuration
from bronzesail.explain import DecisionLog
from bronzesail.fleet import RouterInfo
from bronzesail.http import HttpClient
from bronzesail.routing import RouteRequest, RoutingService
from bronzesail.schema import HostEntry, RouterId, RoutingSettings, ServiceEntry
from bronzesail.util.clock import SystemClock


class FixedMembership:
    """Membership whose backend servers a test sets; `listeners` are the subscribers."""

    def __init__(self, entries):
        self.entries = entries
        self.listeners = []
        self.own = RouterInfo(RouterId("r1", 1), "127.0.0.1:1", "dc-a", "region-a")

    def list_routers(self):
        return ()

    def list_backends(self, service):
        return tuple(e for e in self.entries if e.role == service)

    def is_listed(self, router_id):
        return True

    def subscribe(self, listener):
        self.listeners.append(listener)


class FixedConfiguration:
    """Configuration of one repeatable model service, which never changes."""

    def __init__(self):
        service = ServiceEntry(name="desk", kind="model", is_repeatable=True)
        self.current = Configuration(version=1, services={"desk": service})

    def subscribe(self, listener):
        pass


def make_request(key="k", deadline_s=5.0, **changes):
    values = {
        "service": "desk",
        "request_key": key,
        "prompt": b"p" * 256,
        "prompt_tokens": 64,
        "output_tokens": 16,
        "class_name": "answer",
        "priority": 1,
        "ageing_ms": 1000,
        "deadline": SystemClock().monotonic() + deadline_s,
    }
    return RouteRequest(**(values | changes))


def make_service(entries, **settings):
    """Return a fake membership and a service that polls without a practical limit."""
    membership = FixedMembership(entries)
    service = RoutingService(
        membership,
        FixedConfiguration(),
        HttpClient(),
        SystemClock(),
        random.Random(1),
        DecisionLog(),
        RoutingSettings(**({"polls_per_s": 1000} | settings)),
    )
    return membership, service


def make_entry(host, address="127.0.0.1:9", **changes):
    return HostEntry(
        host=host,
        role="desk",
        address=address,
        data_centre="dc-a",
        region="region-a",
        **changes,
    )
