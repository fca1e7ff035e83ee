"""Applies the events of discovery (endpoints and purges), then checks the unsent attempts again."""

from __future__ import annotations

import math
from collections.abc import Callable

from edge_router.decision.messages import (
    Endpoint,
    EndpointListUpdate,
    EndpointState,
    Event,
    PurgeReceived,
    UpdateKind,
)
from edge_router.discovery.endpoint_table import EndpointTable
from edge_router.discovery.events import DiscoveryEvent, EndpointsChanged, ListedEndpoint, ObjectsPurged
from edge_router.discovery.purge_history import PurgeHistory
from edge_router.proxy.dispatcher import AttemptDispatcher
from edge_router.proxy.request_table import RequestTable
from edge_router.runtime.clock import Clock
from edge_router.runtime.event_log import log
from edge_router.runtime.peer_clock import PeerClock


class DiscoveryUpdates:
    """Applies the events of discovery to the tables, the connections and the routing policy."""

    def __init__(
        self,
        clock: Clock,
        peer_clock: PeerClock,
        endpoints: EndpointTable,
        purges: PurgeHistory,
        requests: RequestTable,
        dispatcher: AttemptDispatcher,
        post: Callable[[Event], None],
    ) -> None:
        self._clock, self._peer_clock = clock, peer_clock
        self._endpoints, self._purges, self._requests = endpoints, purges, requests
        self._dispatcher, self._post = dispatcher, post

    def apply(self, event: DiscoveryEvent) -> None:
        """Apply a change of the endpoints or a purge.

        The unsent attempts are checked again after the routing policy has handled the event.
        """
        unsent = self._requests.unsent_attempts()
        if isinstance(event, ObjectsPurged):
            self._record_purge(event)
            for attempt in unsent:
                incoming = attempt.request.incoming
                attempt.purged |= (
                    incoming.object_key == event.object_key
                    if event.object_key
                    else incoming.purge_group == event.purge_group
                )
        else:
            self._update_endpoints(event)
        for attempt in unsent:
            self._dispatcher.end_unless_sendable(attempt)

    def _record_purge(self, event: ObjectsPurged) -> None:
        self._peer_clock.observe_event(event.unix_time)
        now = self._clock.now()
        self._purges.record(now, event.object_key, event.purge_group, event.unix_time)
        age = max(0.0, now - self._peer_clock.to_local(event.unix_time))
        self._post(PurgeReceived(age, event.purge_group, event.object_key))

    def _update_endpoints(self, event: EndpointsChanged) -> None:
        addresses = tuple(
            address._replace(endpoint=self._with_local_start(address.endpoint)) for address in event.endpoints
        )
        self._endpoints.apply(EndpointsChanged(event.complete, addresses))
        superseded = self._endpoints.remove_superseded(addresses)
        kind = UpdateKind.FULL if event.complete else UpdateKind.DELTA
        listed = [address.endpoint for address in addresses]
        removed = [address.endpoint._replace(state=EndpointState.GONE) for address in superseded]
        self._post(EndpointListUpdate(kind, (*listed, *removed)))
        for address in addresses:
            self._close_outdated_connections(address.endpoint)
            self._log_endpoint("endpoint", address)
        for address in superseded:
            self._log_endpoint("endpoint-superseded", address)
        self._dispatcher.pool.close_removed_endpoints()

    def _close_outdated_connections(self, endpoint: Endpoint) -> None:
        """Close the connections to earlier processes of a listed endpoint.

        The event that tells of its removal may also list it again.
        """
        if endpoint.state is EndpointState.GONE:
            if self._endpoints.contains(endpoint.endpoint_id):
                self._dispatcher.pool.close_opened_before(endpoint.endpoint_id, math.inf)
        elif endpoint.started_at > 0:
            self._dispatcher.pool.close_opened_before(endpoint.endpoint_id, endpoint.started_at)

    @staticmethod
    def _log_endpoint(event: str, address: ListedEndpoint) -> None:
        endpoint = address.endpoint
        log(
            event,
            id=f"s-{endpoint.endpoint_id:08x}",
            state=endpoint.state.name.lower(),
            role=endpoint.role,
            zone=endpoint.zone,
            started_at=f"{endpoint.started_at:.0f}",
            address=f"{address.host}:{address.port}",
        )

    def _with_local_start(self, endpoint: Endpoint) -> Endpoint:
        """Return the endpoint with its start time converted from Unix ms to ms of the router's clock.

        Each start is converted only once, so that the result stays the same while the estimate of the clock
        offset, which is common to all peers, changes. The result is never in the future. A start time of 0 or
        less means unknown and is returned unchanged.
        """
        if endpoint.started_at <= 0:
            return endpoint
        started_at = self._endpoints.local_start_time(endpoint.endpoint_id, endpoint.started_at)
        if started_at is None:
            self._peer_clock.observe_event(endpoint.started_at)
            started_at = max(1.0, min(self._peer_clock.to_local(endpoint.started_at), self._clock.now()))
            self._endpoints.record_start(endpoint.endpoint_id, endpoint.started_at, started_at)
        return endpoint._replace(started_at=started_at)
