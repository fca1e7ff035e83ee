"""The table of listed endpoints: their state, where they listen, and when they started."""

from __future__ import annotations

from typing import NamedTuple

from edge_router.decision.messages import EndpointId, EndpointState
from edge_router.discovery.events import EndpointAddress, EndpointsChanged


class _StartTime(NamedTuple):
    """One start of an endpoint, in ms: as the list gives it, and on the router's own clock."""

    unix: float
    local: float


class EndpointTable:
    """Endpoints by their id in the list. Addresses differ between routers and are reused; ids are not."""

    def __init__(self) -> None:
        self._endpoints: dict[EndpointId, EndpointAddress] = {}
        self._starts: dict[EndpointId, _StartTime] = {}

    def __len__(self) -> int:
        return len(self._endpoints)

    def apply(self, change: EndpointsChanged) -> None:
        """Replaces the list by a complete one, or updates it by its changes."""
        if change.complete:
            self._endpoints = {}
        for address in change.endpoints:
            endpoint_id = address.endpoint.endpoint_id
            if address.endpoint.state is EndpointState.GONE:
                self._endpoints.pop(endpoint_id, None)
                self._starts.pop(endpoint_id, None)
            else:
                self._endpoints[endpoint_id] = address

        if change.complete:
            self._starts = {
                endpoint_id: start
                for endpoint_id, start in self._starts.items()
                if endpoint_id in self._endpoints
            }

    def local_start_time(self, endpoint_id: EndpointId, unix: float) -> float | None:
        """The moment (ms of the router's clock) recorded for that start; None if there is none."""
        start = self._starts.get(endpoint_id)
        return start.local if start is not None and start.unix == unix else None

    def record_start(self, endpoint_id: EndpointId, unix: float, local: float) -> None:
        """The endpoint started at that Unix time, which is that moment of the router's clock (both in ms)."""
        self._starts[endpoint_id] = _StartTime(unix, local)

    def contains(self, endpoint_id: EndpointId) -> bool:
        """Whether the endpoint is listed, in whatever state."""
        return endpoint_id in self._endpoints

    def is_ready(self, endpoint_id: EndpointId) -> bool:
        """Whether the endpoint may take new requests, or be the source of a fill."""
        address = self._endpoints.get(endpoint_id)
        return address is not None and address.endpoint.state is EndpointState.READY

    def address(self, endpoint_id: EndpointId) -> tuple[str, int]:
        """The host and port at which the endpoint listens; raises KeyError if it is not listed."""
        address = self._endpoints[endpoint_id]
        return address.host, address.port
