"""Discovery events about endpoints and purges, and the interface of their receiver."""

from __future__ import annotations

from typing import NamedTuple, Protocol

from edge_router.decision.messages import Endpoint


class ListedEndpoint(NamedTuple):
    """An endpoint of the list, with the address at which this router reaches it."""

    endpoint: Endpoint
    host: str
    port: int


class EndpointsChanged(NamedTuple):
    """The complete list of endpoints, or only those that have changed."""

    complete: bool
    endpoints: tuple[ListedEndpoint, ...]


class ObjectsPurged(NamedTuple):
    """A purge at that Unix time (ms), of an object or, if `object_key` is 0, of a purge group."""

    unix_time: float
    purge_group: int
    object_key: int


DiscoveryEvent = EndpointsChanged | ObjectsPurged


class DiscoveryListener(Protocol):
    """Receives discovery events."""

    def on_discovery_event(self, event: DiscoveryEvent) -> None:
        """Called with each event, in order.

        Each is passed once, unless all events are requested again after a gap.
        """
