"""The table of nodes: what the list says of each, and where it listens."""

from __future__ import annotations

from edge_router.decision.messages import EndpointId, EndpointState
from edge_router.discovery.events import EndpointAddress, EndpointsChanged


class NodeTable:
    """Nodes by their id of the list. Addresses differ for each router and are used again; ids are not."""

    def __init__(self) -> None:
        self._members: dict[EndpointId, EndpointAddress] = {}
        self._starts: dict[EndpointId, tuple[float, float]] = {}  # told Unix ms, and the same by our clock

    def __len__(self) -> int:
        return len(self._members)

    def apply(self, told: EndpointsChanged) -> None:
        """Takes in a list, or what has changed in it."""
        if told.complete:
            self._members = {}
        for member in told.endpoints:
            if member.endpoint.state is EndpointState.GONE:
                self._members.pop(member.endpoint.endpoint_id, None)
                self._starts.pop(member.endpoint.endpoint_id, None)
            else:
                self._members[member.endpoint.endpoint_id] = member

        if told.complete:
            self._starts = {node: start for node, start in self._starts.items() if node in self._members}

    def local_start(self, node: EndpointId, unix: float) -> float | None:
        """The moment (ms of our clock) noted for that start of the node; None if there is none."""
        told, local = self._starts.get(node, (0.0, 0.0))
        return local if told == unix else None

    def note_start(self, node: EndpointId, unix: float, local: float) -> None:
        """The node started at that Unix time, which is that moment of our clock (both in ms)."""
        self._starts[node] = unix, local

    def lists(self, node: EndpointId) -> bool:
        """Whether the list names the node, in whatever state."""
        return node in self._members

    def ready(self, node: EndpointId) -> bool:
        """Whether new work may go there, or be filled from there."""
        member = self._members.get(node)
        return member is not None and member.endpoint.state is EndpointState.READY

    def address(self, node: EndpointId) -> tuple[str, int]:
        """Where the node listens."""
        member = self._members[node]
        return member.host, member.port
