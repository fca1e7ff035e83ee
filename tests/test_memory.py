"""Memory is released by reference counting alone.

The router's garbage collector runs rarely and takes no account of buffer sizes, so that a reference cycle
would hold the buffer of a connection for a long time.
"""

from __future__ import annotations

import gc
import weakref
from collections.abc import Iterator

import pytest
from conftest import CACHES, PolicyHarness, make_incoming_request
from router_harness import SETTINGS

from edge_router.config.settings_reader import settings_from_json
from edge_router.decision.messages import Endpoint, EndpointState, UpdateKind
from edge_router.discovery.events import EndpointsChanged, ListedEndpoint
from edge_router.proxy.messages import FinalResponse, ResponseStatus
from edge_router.proxy.request_router import RequestRouter
from edge_router.runtime.clock import Clock
from edge_router.runtime.memory_budget import MemoryBudget
from edge_router.runtime.timers import Timers
from edge_router.transport.upstream_channel import ChannelOwner, UpstreamChannel


@pytest.fixture(autouse=True)
def without_garbage_collector() -> Iterator[None]:
    gc.disable()
    yield
    gc.enable()


class Client:
    """The client of a request; collects the responses."""

    def __init__(self) -> None:
        self.responses: list[FinalResponse] = []

    def receive(self, response: FinalResponse) -> None:
        """Collects a response."""
        self.responses.append(response)


class RequestRouterHarness:
    """A request router with two caches and an origin, whose connections are never established."""

    def __init__(self) -> None:
        clock, budget = Clock(lambda: 1000.0, lambda: 1000.0), MemoryBudget()
        budget.limit = 1e9
        self.channels: list[UpstreamChannel] = []
        self.router = RequestRouter(
            settings_from_json(SETTINGS), 7, clock, Timers(clock, lambda: 0.0), budget, 0.0, self._connect
        )
        self.clock = clock
        self.router.dispatcher.pool.max_connections = 8
        endpoints = ((0x10, 0, 1), (0x11, 0, 1), (0x30, 2, 0))  # id, role and zone
        self.router.on_discovery_event(
            EndpointsChanged(
                True,
                tuple(
                    ListedEndpoint(
                        Endpoint(endpoint_id, role, 0.0, EndpointState.READY, 0, zone, 9000.0), "127.0.0.1", 1
                    )
                    for endpoint_id, role, zone in endpoints
                ),
            )
        )

    def _connect(
        self, owner: ChannelOwner, address: tuple[str, int], connect_timeout: float
    ) -> UpstreamChannel:
        self.channels.append(UpstreamChannel(owner, self.clock.now))
        return self.channels[-1]

    def request(self, client: Client) -> None:
        """Passes a request of the client to the router, and has it decided."""
        request = self.router.on_request(make_incoming_request(client.receive))
        assert request is not None
        assert not self.router.run_decisions()


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
