"""Memory is released by reference counting alone.

The router's garbage collector runs rarely and takes no account of buffer sizes, so that a reference cycle
would hold the buffer of a connection for a long time.
"""

from __future__ import annotations

import gc
import weakref
from collections.abc import Iterator

import pytest
from conftest import CACHES, PolicyHarness
from request_router_harness import Client, RequestRouterHarness

from edge_router.decision.messages import UpdateKind
from edge_router.proxy.messages import ResponseStatus


@pytest.fixture(autouse=True)
def without_garbage_collector() -> Iterator[None]:
    gc.disable()
    yield
    gc.enable()


def test_closed_connection_is_freed_with_its_buffer() -> None:
    harness = RequestRouterHarness()
    harness.request(Client())
    assert len(harness.channels) == 1
    buffer = weakref.ref(harness.channels[0].buffer)
    harness.channels.pop(0).on_closed("refused")
    assert buffer() is None


def test_completed_request_is_freed_with_its_attempts() -> None:
    harness, client = RequestRouterHarness(), Client()
    client_reference = weakref.ref(client)
    harness.request(client)
    while harness.channels:
        harness.channels.pop(0).on_closed("refused")
    assert [response.status for response in client.responses] == [ResponseStatus.REJECTED]
    del client
    assert client_reference() is None


def test_hash_rings_of_a_replaced_endpoint_list_are_freed(policy: PolicyHarness) -> None:
    policy.request(key=1)
    rings = [
        weakref.ref(policy.routing_policy.directory.caches),
        weakref.ref(policy.routing_policy.directory.parents),
    ]
    policy.update_endpoint(CACHES[0], UpdateKind.DELTA, weight=3.0)
    assert [ring() for ring in rings] == [None, None]
