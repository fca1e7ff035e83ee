"""The request router without sockets: its connections to caches are never established by themselves."""

from __future__ import annotations

import math
from typing import Any

from conftest import make_incoming_request
from router_harness import SETTINGS

from edge_router.config.settings_reader import settings_from_json
from edge_router.decision.messages import Endpoint, EndpointState
from edge_router.discovery.events import EndpointsChanged, ListedEndpoint
from edge_router.proxy.messages import FinalResponse
from edge_router.proxy.request_router import RequestRouter
from edge_router.runtime.clock import Clock
from edge_router.runtime.memory_budget import MemoryBudget
from edge_router.runtime.timers import Timers
from edge_router.transport.upstream_channel import ChannelOwner, UpstreamChannel


class Client:
    """The client of a request; collects the responses."""

    def __init__(self) -> None:
        self.responses: list[FinalResponse] = []

    def receive(self, response: FinalResponse) -> None:
        """Collects a response."""
        self.responses.append(response)


class WritableSocket:
    """The socket of an established connection to a cache; keeps what was written."""

    def __init__(self, writable_bytes: float = math.inf) -> None:
        self.writable_bytes = writable_bytes
        self.written = b""
        self.writes = 0

    def send(self, data: bytes | memoryview, /) -> int:
        """Takes up to `writable_bytes` of the data."""
        count = int(min(self.writable_bytes, len(data)))
        if not count:
            raise BlockingIOError
        self.writable_bytes -= count
        self.written += bytes(data[:count])
        self.writes += 1
        return count

    def recv(self, count: int, flags: int, /) -> bytes:
        """Has no input."""
        raise BlockingIOError


class RequestRouterHarness:
    """A request router with two caches and an origin, whose connections are never established."""

    def __init__(self, **settings: Any) -> None:
        """`settings` replace entries of the configuration's settings."""
        self._monotonic = 1000.0  # seconds
        self.clock = Clock(lambda: self._monotonic, lambda: 1000.0)
        self.timers = Timers(self.clock, lambda: self._monotonic)
        self.budget = MemoryBudget()
        self.budget.limit = 1e9
        self.channels: list[UpstreamChannel] = []
        typed = settings_from_json({**SETTINGS, **settings})
        self.router = RequestRouter(typed, 7, self.clock, self.timers, self.budget, 0.0, self._connect)
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

    def advance(self, milliseconds: float) -> None:
        """Lets time pass, and runs the timers that are due then."""
        self._monotonic += milliseconds / 1000.0
        self.timers.run_due()

    def request(self, client: Client) -> None:
        """Passes a request of the client to the router, and has it decided."""
        request = self.router.on_request(make_incoming_request(client.receive))
        assert request is not None
        assert not self.router.run_decisions()
