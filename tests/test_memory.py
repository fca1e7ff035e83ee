"""Memory is released by reference counting: the garbage collector runs seldom and ignores buffer sizes."""

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
def no_collector() -> Iterator[None]:
    gc.disable()
    yield
    gc.enable()


class Client:
    """The client of a request; collects the responses."""

    def __init__(self) -> None:
        self.answers: list[FinalResponse] = []

    def reply(self, answer: FinalResponse) -> None:
        """Collects a response."""
        self.answers.append(answer)


class Bench:
    """A request router with two caches, whose connections are never established."""

    def __init__(self) -> None:
        clock, budget = Clock(lambda: 1000.0, lambda: 1000.0), MemoryBudget()
        budget.limit = 1e9
        self.channels: list[UpstreamChannel] = []
        self.route = RequestRouter(
            settings_from_json(SETTINGS), 7, clock, Timers(clock, lambda: 0.0), budget, 0.0, self._connect
        )
        self.clock = clock
        self.route.dispatcher.pool.max_connections = 8
        kinds = ((0x10, 0, 1), (0x11, 0, 1), (0x30, 2, 0))
        self.route.on_discovery_event(
            EndpointsChanged(
                True,
                tuple(
                    ListedEndpoint(
                        Endpoint(node, kind, 0.0, EndpointState.READY, 0, zone, 9000.0), "127.0.0.1", 1
                    )
                    for node, kind, zone in kinds
                ),
            )
        )

    def _connect(
        self, owner: ChannelOwner, address: tuple[str, int], connect_timeout: float
    ) -> UpstreamChannel:
        self.channels.append(UpstreamChannel(owner, self.clock.now))
        return self.channels[-1]

    def request(self, client: Client) -> None:
        """Has the router take a request of the client."""
        request = self.route.on_request(make_incoming_request(client.reply))
        assert request is not None
        assert not self.route.run_decisions()


def test_closed_connection_is_freed_with_its_buffer() -> None:
    bench = Bench()
    bench.request(Client())
    assert len(bench.channels) == 1
    held = weakref.ref(bench.channels[0].buffer)
    bench.channels.pop(0).on_closed("refused")
    assert held() is None


def test_completed_request_is_freed_with_its_attempts() -> None:
    bench, client = Bench(), Client()
    held = weakref.ref(client)
    bench.request(client)
    while bench.channels:
        bench.channels.pop(0).on_closed("refused")
    assert [answer.status for answer in client.answers] == [ResponseStatus.REJECTED]
    del client
    assert held() is None


def test_hash_rings_of_a_replaced_endpoint_list_are_freed(policy: PolicyHarness) -> None:
    policy.request(key=1)
    held = [
        weakref.ref(policy.routing_policy.directory.caches),
        weakref.ref(policy.routing_policy.directory.parents),
    ]
    policy.update_endpoint(CACHES[0], UpdateKind.DELTA, weight=3.0)
    assert [ring() for ring in held] == [None, None]
