"""The loads of all links that responses and fills use: of each endpoint, into the zone, and to the origin.

Times are milliseconds; the work of a request is the time of sending its response at the clients' full
bandwidth.
"""

from __future__ import annotations

import math

from edge_router.decision.endpoint_directory import EndpointDirectory
from edge_router.decision.link_load import LinkLoad
from edge_router.decision.messages import AttemptEnded, Endpoint, EndpointId
from edge_router.decision.pending_request import AttemptRecord, PendingRequest
from edge_router.decision.settings import Settings

# Parts of a request's latency objective: a link is congested if sending the response would take longer, on
# the zone link together with the expected wait for a fill. The first limit is approached with many routers in
# the zone, the second holds for a single one.
CONGESTED_SHARED, CONGESTED_ALONE = 0.65, 0.8
MAX_FILL_SLOWDOWN = 3.0  # a single fill is recorded with no greater slowdown
FILL_WAIT_LEARNING_RATE = 0.1  # weight of one observation of the wait for the first byte of a fill
MIN_LATENCY_OBJECTIVE = 0.001  # milliseconds


class LinkLoads:
    """The load of each link, and whether it is congested: whether a response over it would come too late."""

    def __init__(self, settings: Settings, directory: EndpointDirectory) -> None:
        """Raises ValueError if the settings lack classes."""
        if not settings.classes:
            raise ValueError("settings lack 'classes'")
        self._settings = settings
        self._directory = directory
        self._client_bandwidth = settings.client_bandwidth if settings.client_bandwidth > 0 else math.inf
        shortest = min(each.latency_objective for each in settings.classes)
        self._shortest_objective = max(MIN_LATENCY_OBJECTIVE, shortest)
        zone, bandwidths, routers = settings.zone, settings.zone_link_bandwidth, settings.routers_by_zone
        zone_routers = routers[zone] if 0 <= zone < len(routers) else settings.fleet_size
        self._zone_share = 1.0 / max(1, zone_routers)
        # The more routers share the zone, the lower: the load that they add during a response is unknown.
        self._congestion_threshold = (
            CONGESTED_SHARED + (CONGESTED_ALONE - CONGESTED_SHARED) * self._zone_share
        )
        bandwidth = bandwidths[zone] if 0 <= zone < len(bandwidths) else 0.0
        self._zone_link_transfers = bandwidth / self._client_bandwidth  # concurrent transfers; 0 if unknown
        self.by_endpoint: dict[EndpointId, LinkLoad] = {}
        self.zone_link = LinkLoad.from_share(
            self._zone_link_transfers, self._zone_share, self._shortest_objective
        )
        # The slowdown of the origin is the number of fetches requested for each that is answered.
        self.origin = LinkLoad.from_share(1.0, 1.0, self._shortest_objective)
        self.fill_wait = 0.0  # moving average of the wait for the first byte of a fill, in milliseconds

    def work_of(self, size_kb: float) -> float:
        """The time in milliseconds of sending `size_kb` at full bandwidth; 0 if one of them is unknown."""
        return size_kb / self._client_bandwidth * 1000.0

    def transfers_and_share(self, endpoint: Endpoint) -> tuple[float, float]:
        """The concurrent transfers that the endpoint sustains, and this router's share of them (0 to 1).

        The transfers are the endpoint's weight. Where weights are not used or it is not positive, they are a
        parent's equal part of all zone links, or a cache's equal part of the own zone's link, among the ready
        endpoints; an origin counts as a cache. They are 0 if the bandwidths are unknown.
        """
        settings = self._settings
        if endpoint.role == settings.parent_role:
            share = 1.0 / max(1, settings.fleet_size)
            all_links = sum(settings.zone_link_bandwidth) / self._client_bandwidth
            transfers = all_links / max(1, len(self._directory.parents.endpoints))
        else:
            share = self._zone_share
            transfers = self._zone_link_transfers / max(1, len(self._directory.caches.endpoints))
        return endpoint.weight if settings.endpoints_weighted and endpoint.weight > 0 else transfers, share

    def for_endpoint(self, endpoint_id: EndpointId) -> LinkLoad:
        """The load of the endpoint's link, created when it is first asked for."""
        load = self.by_endpoint.get(endpoint_id)
        if load is None:
            endpoint = self._directory.endpoints.get(endpoint_id)
            transfers, share = self.transfers_and_share(endpoint) if endpoint else (1.0, 1.0)
            load = LinkLoad.from_share(transfers, share, self._shortest_objective)
            self.by_endpoint[endpoint_id] = load
        return load

    def forget_unlisted(self) -> None:
        """Drops the loads of endpoints that are no longer listed."""
        for endpoint_id in [each for each in self.by_endpoint if each not in self._directory.endpoints]:
            del self.by_endpoint[endpoint_id]

    def is_congested(self, now: float, pending: PendingRequest, endpoint_id: EndpointId) -> bool:
        """Whether a response from the endpoint would come too late even if it holds a copy."""
        duration = pending.work * self.for_endpoint(endpoint_id).expected_slowdown(now)
        return duration > self._congestion_threshold * pending.latency_objective

    def check_zone_link_congestion(self, now: float, pending: PendingRequest) -> bool:
        """Whether the response would come too late if the object had to be filled.

        If so, reduces the expected wait a little, so that later requests try a fill again.
        """
        duration = self.fill_wait + pending.work * self.zone_link.expected_slowdown(now)
        congested = duration > self._congestion_threshold * pending.latency_objective
        if congested:
            self.fill_wait *= 1 - FILL_WAIT_LEARNING_RATE
        return congested

    def start_attempt(self, pending: PendingRequest, attempt: AttemptRecord) -> None:
        """Adds an attempt to the load of its cache and, if it expects a fill, of the zone link and source."""
        attempt.cache_load.in_flight += 1
        attempt.cache_load.in_flight_work += pending.work
        if attempt.fill_expected:
            self.zone_link.in_flight += 1
            attempt.source_load.in_flight += 1
        attempt.concurrent_attempts = attempt.cache_load.in_flight
        attempt.concurrent_fills = self.zone_link.in_flight

    def end_attempt(self, pending: PendingRequest, attempt: AttemptRecord) -> None:
        """Removes the load that `start_attempt` added."""
        if attempt.fill_expected:
            self.zone_link.in_flight -= 1
            attempt.source_load.in_flight -= 1
        attempt.cache_load.in_flight -= 1
        attempt.cache_load.in_flight_work -= pending.work

    def record_origin_fetch(self, now: float, answered: bool) -> None:
        """Records whether the origin answered a fetch."""
        self.origin.record_transfer(now, self._shortest_objective, self._shortest_objective * answered)

    def record_failed_fill(self, pending: PendingRequest) -> None:
        """Records a failed fill, as one that waited for the whole latency objective."""
        self.fill_wait += FILL_WAIT_LEARNING_RATE * (pending.latency_objective - self.fill_wait)

    def record_hit(self, now: float, attempt: AttemptRecord, work: float, duration: float) -> None:
        """Records the transfer of a cached copy; without weights, learns the cache's capacity.

        A transfer of unknown work shows nothing about the pace.
        """
        if work <= 0:
            return
        attempt.cache_load.record_transfer(now, duration, work)
        if not self._settings.endpoints_weighted:
            attempt.cache_load.update_capacity(attempt.concurrent_attempts, duration / work)

    def record_fill(self, now: float, attempt: AttemptRecord, work: float, event: AttemptEnded) -> None:
        """Records a fill; each link on its path gets the slowdown that the other links don't explain.

        Learns the capacity of the zone link if its bandwidth is unknown. A transfer of unknown work shows
        nothing about the pace of the links.
        """
        self.fill_wait += FILL_WAIT_LEARNING_RATE * (event.fill_wait - self.fill_wait)
        if work <= 0:
            return
        duration = min(max(work, event.duration - event.fill_wait), MAX_FILL_SLOWDOWN * work)
        if self._zone_link_transfers <= 0:
            self.zone_link.update_capacity(attempt.concurrent_fills, duration / work)
        links = [attempt.cache_load, self.zone_link, attempt.source_load]
        slowdowns = [load.slowdown(now) for load in links]
        for index, load in enumerate(links):
            others = max(slowdowns[:index] + slowdowns[index + 1 :])
            load.record_transfer(now, duration, max(work, min(duration, work * others)))
