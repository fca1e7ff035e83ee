"""The events on endpoints and purges, and the roles of those who send and receive them."""

from __future__ import annotations

from typing import NamedTuple, Protocol

from edge_router.decision.messages import Endpoint


class EndpointAddress(NamedTuple):
    """An endpoint as listed, and where it listens for this router."""

    endpoint: Endpoint
    host: str
    port: int


class EndpointsChanged(NamedTuple):
    """The complete list of endpoints, or what has changed in it."""

    complete: bool
    endpoints: tuple[EndpointAddress, ...]


class ObjectPurged(NamedTuple):
    """An object, or with key 0 a purge group, was purged at that Unix time in ms."""

    unix_time: float
    purge_group: int
    object_key: int


DiscoveryEvent = EndpointsChanged | ObjectPurged


class DiscoveryListener(Protocol):
    """Receives the events, in order."""

    def on_discovery_event(self, event: DiscoveryEvent) -> None:
        """Called with each event, once."""
