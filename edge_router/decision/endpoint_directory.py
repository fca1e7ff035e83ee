"""The endpoint list by role, with the outlier detectors and slow-start budgets of its endpoints.

Source: the operators' page `PROTOCOL-robinbeam.md`, section "The change log"; the settings name the roles.
"""

from __future__ import annotations

from collections import defaultdict

from edge_router.decision.messages import (
    Endpoint,
    EndpointId,
    EndpointListUpdate,
    EndpointState,
    UpdateKind,
)
from edge_router.decision.outlier_detection import EJECTION_TIME_FACTOR, OutlierDetector, OutlierDetectors
from edge_router.decision.placement import MAX_CACHED_RANKINGS, RendezvousHash, slow_start_threshold
from edge_router.decision.settings import Settings
from edge_router.decision.slow_start import SlowStartBudget


class EndpointDirectory:
    """The listed endpoints. `caches`, `parents` and `origins` (a list of ids) hold only ready ones.

    `caches` holds only those of the router's own zone.
    """

    def __init__(self, settings: Settings) -> None:
        """Starts with an empty list."""
        self._settings = settings
        self._ejection_time = EJECTION_TIME_FACTOR * max(settings.connect_timeout, 1.0)
        self.max_rankings = MAX_CACHED_RANKINGS  # that each hash caches, from the next list on
        self.endpoints: dict[EndpointId, Endpoint] = {}
        self._selectable: dict[EndpointId, Endpoint] = {}  # those that may be in one of the three lists below
        self.cache_outliers: OutlierDetectors = defaultdict(OutlierDetector)
        self.source_outliers: OutlierDetectors = defaultdict(OutlierDetector)
        self.cache_budget = SlowStartBudget(
            settings.slow_start_initial_capacity,
            settings.slow_start_duration,
            settings.overload_factor,
            settings.overload_window,
        )
        self.parent_budget = SlowStartBudget(
            settings.parent_slow_start_initial_capacity,
            settings.parent_slow_start_duration,
            settings.parent_overload_factor,
            settings.overload_window,
        )
        self._sort_by_role()

    def update(self, event: EndpointListUpdate) -> None:
        """Applies a full list or a change.

        Drops the outlier detectors of removed and restarted endpoints, and the charges of removed ones.
        """
        before = self.endpoints
        lists_change = event.kind is not UpdateKind.DELTA
        if lists_change:
            self.endpoints = {}
            self._selectable = {}
        for endpoint in event.endpoints:
            endpoint_id = endpoint.endpoint_id
            known = before.get(endpoint_id)
            if known is not None and endpoint.started_at != known.started_at:
                self.cache_outliers.pop(endpoint_id, None)
                self.source_outliers.pop(endpoint_id, None)
            if endpoint.state is EndpointState.GONE:
                self.endpoints.pop(endpoint_id, None)
            else:
                self.endpoints[endpoint_id] = endpoint
            lists_change |= self._update_selectable(endpoint)
        for outliers in (self.cache_outliers, self.source_outliers):
            for endpoint_id in [each for each in outliers if each not in self.endpoints]:
                del outliers[endpoint_id]
        self.cache_budget.forget_unlisted(self.endpoints)
        self.parent_budget.forget_unlisted(self.endpoints)
        if lists_change:
            self._sort_by_role()

    def _update_selectable(self, endpoint: Endpoint) -> bool:
        """Adds, replaces or removes an endpoint; returns whether it is or was one that may be selected.

        In a large fleet most changes are for caches of other zones, and must cost next to nothing.
        """
        settings = self._settings
        was_selectable = self._selectable.pop(endpoint.endpoint_id, None) is not None
        selectable = endpoint.state is EndpointState.READY and (
            endpoint.role in (settings.parent_role, settings.origin_role) or endpoint.zone == settings.zone
        )
        if selectable:
            self._selectable[endpoint.endpoint_id] = endpoint
        return was_selectable or selectable

    def _sort_by_role(self) -> None:
        settings, weighted = self._settings, self._settings.endpoints_weighted
        parents, caches = [], []
        self.origins: list[EndpointId] = []
        for endpoint in sorted(self._selectable.values()):
            if endpoint.role == settings.origin_role:
                self.origins.append(endpoint.endpoint_id)
            if endpoint.role == settings.parent_role:
                parents.append(endpoint)
            elif endpoint.role != settings.origin_role:
                caches.append(endpoint)
        self.parents = RendezvousHash(parents, weighted, self.max_rankings)
        self.caches = RendezvousHash(caches, weighted, self.max_rankings)

    def cache_accepts(self, now: float, key: int, cache_id: EndpointId) -> bool:
        """Whether the cache is not ejected and, in slow start, already takes this key."""
        return _accepts(now, key, self.caches.endpoints[cache_id], self.cache_outliers, self.cache_budget)

    def parent_accepts(self, now: float, key: int, parent_id: EndpointId) -> bool:
        """Whether the parent is not ejected and, in slow start, already takes this key."""
        return _accepts(now, key, self.parents.endpoints[parent_id], self.source_outliers, self.parent_budget)

    def is_available(self, now: float, cache_id: EndpointId, source_id: EndpointId) -> bool:
        """Whether neither the cache nor the source is ejected."""
        cache, source = self.cache_outliers[cache_id], self.source_outliers[source_id]
        return cache.is_available(now) and source.is_available(now)

    def start_trials(self, now: float, cache_id: EndpointId, source_id: EndpointId) -> None:
        """Records that an attempt is sent; it is the only trial of an endpoint whose ejection has ended."""
        self.cache_outliers[cache_id].start_trial(now, self._ejection_time)
        self.source_outliers[source_id].start_trial(now, self._ejection_time)

    def cache_failed(self, now: float, cache_id: EndpointId, started_at: float, score: float = 1) -> bool:
        """Records a failed attempt at a cache; True if its failures reach `EJECTION_SCORE` with this one."""
        return self.cache_outliers[cache_id].record_failure(now, started_at, self._ejection_time, score)

    def source_failed(self, now: float, source_id: EndpointId, started_at: float) -> bool:
        """Records a failed fill from a source; True if its failures reach `EJECTION_SCORE` with this one."""
        return self.source_outliers[source_id].record_failure(now, started_at, self._ejection_time, 1)


def _accepts(
    now: float, key: int, endpoint: Endpoint, outliers: OutlierDetectors, budget: SlowStartBudget
) -> bool:
    """Whether the endpoint is not ejected in its role and, in slow start, already takes this key."""
    if not outliers[endpoint.endpoint_id].is_available(now):
        return False
    available = budget.available_capacity(now, endpoint.started_at)
    return available >= 1.0 or slow_start_threshold(key, endpoint.endpoint_id) < available
