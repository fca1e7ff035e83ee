"""The table of listed endpoints: their states, addresses and start times."""

from __future__ import annotations

from typing import NamedTuple

from edge_router.decision.messages import Endpoint, EndpointId, EndpointState
from edge_router.discovery.events import EndpointsChanged, ListedEndpoint


class _StartTime(NamedTuple):
    """One start of an endpoint in ms: the Unix time in the list, and the moment on the router's clock."""

    unix: float
    local: float


class EndpointTable:
    """Endpoints by id. Ids are not reused; addresses are, and they differ between routers."""

    def __init__(self) -> None:
        self._endpoints: dict[EndpointId, ListedEndpoint] = {}
        self._starts: dict[EndpointId, _StartTime] = {}

    def __len__(self) -> int:
        return len(self._endpoints)

    def apply(self, change: EndpointsChanged) -> None:
        """Replaces the table by a complete list, or updates the endpoints that have changed."""
        if change.complete:
            self._endpoints = {}
        for listed in change.endpoints:
            endpoint_id = listed.endpoint.endpoint_id
            if listed.endpoint.state is EndpointState.GONE:
                self._endpoints.pop(endpoint_id, None)
                self._starts.pop(endpoint_id, None)
            else:
                self._endpoints[endpoint_id] = listed

        if change.complete:
            self._starts = {
                endpoint_id: start
                for endpoint_id, start in self._starts.items()
                if endpoint_id in self._endpoints
            }

    def local_start_time(self, endpoint_id: EndpointId, unix: float) -> float | None:
        """Returns the moment on the router's clock recorded for a start at that Unix time (ms), if any."""
        start = self._starts.get(endpoint_id)
        return start.local if start is not None and start.unix == unix else None

    def record_start(self, endpoint_id: EndpointId, unix: float, local: float) -> None:
        """Records a start of the endpoint: its Unix time and its moment on the router's clock (in ms)."""
        self._starts[endpoint_id] = _StartTime(unix, local)

    def get(self, endpoint_id: EndpointId) -> Endpoint | None:
        """Returns the endpoint as listed; None if it is not listed."""
        listed = self._endpoints.get(endpoint_id)
        return listed.endpoint if listed is not None else None

    def contains(self, endpoint_id: EndpointId) -> bool:
        """Whether the endpoint is listed, in any state."""
        return endpoint_id in self._endpoints

    def is_ready(self, endpoint_id: EndpointId) -> bool:
        """Whether the endpoint may take new requests, or be the source of a fill."""
        listed = self._endpoints.get(endpoint_id)
        return listed is not None and listed.endpoint.state is EndpointState.READY

    def address(self, endpoint_id: EndpointId) -> tuple[str, int]:
        """Returns the endpoint's host and port; raises KeyError if it is not listed."""
        listed = self._endpoints[endpoint_id]
        return listed.host, listed.port
