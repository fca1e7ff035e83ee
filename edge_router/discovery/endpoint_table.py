"""The table of nodes: what the list says of each, and where it listens."""

from __future__ import annotations

from edge_router.decision.messages import EndpointId, EndpointState
from edge_router.discovery.events import EndpointAddress, EndpointsChanged


class EndpointTable:
    """Nodes by their id of the list. Addresses differ for each router and are used again; ids are not."""

    def __init__(self) -> None:
        self._endpoints: dict[EndpointId, EndpointAddress] = {}
        self._starts: dict[EndpointId, tuple[float, float]] = {}  # told Unix ms, and the same by our clock

    def __len__(self) -> int:
        return len(self._endpoints)

    def apply(self, change: EndpointsChanged) -> None:
        """Takes in a list, or what has changed in it."""
        if change.complete:
            self._endpoints = {}
        for member in change.endpoints:
            if member.endpoint.state is EndpointState.GONE:
                self._endpoints.pop(member.endpoint.endpoint_id, None)
                self._starts.pop(member.endpoint.endpoint_id, None)
            else:
                self._endpoints[member.endpoint.endpoint_id] = member

        if change.complete:
            self._starts = {node: start for node, start in self._starts.items() if node in self._endpoints}

    def local_start_time(self, node: EndpointId, unix: float) -> float | None:
        """The moment (ms of our clock) noted for that start of the node; None if there is none."""
        told, local = self._starts.get(node, (0.0, 0.0))
        return local if told == unix else None

    def record_start(self, node: EndpointId, unix: float, local: float) -> None:
        """The node started at that Unix time, which is that moment of our clock (both in ms)."""
        self._starts[node] = unix, local

    def contains(self, node: EndpointId) -> bool:
        """Whether the list names the node, in whatever state."""
        return node in self._endpoints

    def is_ready(self, node: EndpointId) -> bool:
        """Whether new work may go there, or be filled from there."""
        member = self._endpoints.get(node)
        return member is not None and member.endpoint.state is EndpointState.READY

    def address(self, node: EndpointId) -> tuple[str, int]:
        """Where the node listens."""
        member = self._endpoints[node]
        return member.host, member.port
