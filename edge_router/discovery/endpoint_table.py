"""The table of listed endpoints: their states, addresses and start times."""

from __future__ import annotations

from collections.abc import Iterable
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
        self._ids_by_address: dict[tuple[str, int], set[EndpointId]] = {}
        self._starts: dict[EndpointId, _StartTime] = {}

    def __len__(self) -> int:
        return len(self._endpoints)

    def apply(self, change: EndpointsChanged) -> None:
        """Replaces the table by a complete list, or updates the endpoints that have changed."""
        if change.complete:
            self._endpoints = {}
            self._ids_by_address = {}
        for listed in change.endpoints:
            endpoint_id = listed.endpoint.endpoint_id
            self._remove(endpoint_id)
            if listed.endpoint.state is EndpointState.GONE:
                self._starts.pop(endpoint_id, None)
            else:
                self._endpoints[endpoint_id] = listed
                self._ids_by_address.setdefault((listed.host, listed.port), set()).add(endpoint_id)

        if change.complete:
            self._starts = {
                endpoint_id: start
                for endpoint_id, start in self._starts.items()
                if endpoint_id in self._endpoints
            }

    def _remove(self, endpoint_id: EndpointId) -> None:
        """Removes an endpoint, if it is listed."""
        listed = self._endpoints.pop(endpoint_id, None)
        if listed is None:
            return
        address = listed.host, listed.port
        self._ids_by_address[address].discard(endpoint_id)
        if not self._ids_by_address[address]:
            del self._ids_by_address[address]

    def remove_superseded(self, changed: Iterable[ListedEndpoint]) -> list[ListedEndpoint]:
        """Removes the endpoints whose address now belongs to another one that has started later.

        Only one process listens at an address, so the earlier ones have gone, though the list does not say so
        yet. Looks at the addresses of `changed`; returns what was removed.
        """
        removed: list[ListedEndpoint] = []
        for address in {(listed.host, listed.port) for listed in changed}:
            sharing = [self._endpoints[endpoint_id] for endpoint_id in self._ids_by_address.get(address, ())]
            latest_start = max((listed.endpoint.started_at for listed in sharing), default=0.0)
            removed += [listed for listed in sharing if listed.endpoint.started_at < latest_start]
        for listed in removed:
            self._remove(listed.endpoint.endpoint_id)
        return removed

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

    def started_at(self, endpoint_id: EndpointId) -> float:
        """Returns when the endpoint's process started (ms); 0 if that is unknown or it is not listed."""
        listed = self._endpoints.get(endpoint_id)
        return listed.endpoint.started_at if listed is not None else 0.0

    def is_ready(self, endpoint_id: EndpointId) -> bool:
        """Whether the endpoint may take new requests, or be the source of a fill."""
        listed = self._endpoints.get(endpoint_id)
        return listed is not None and listed.endpoint.state is EndpointState.READY

    def address(self, endpoint_id: EndpointId) -> tuple[str, int]:
        """Returns the endpoint's host and port; raises KeyError if it is not listed."""
        listed = self._endpoints[endpoint_id]
        return listed.host, listed.port
