"""The caches and sources that may serve a request, in the order in which they are tried.

The home cache and home parent are described on the operators' page `DESIGN-robinbeam.md`. Hot objects are
spread over several caches, and congested links are passed over, as in consistent hashing with bounded loads
(Mirrokni, Thorup and Zadimoghaddam).
"""

from __future__ import annotations

from collections.abc import Iterator

from edge_router.decision.endpoint_directory import EndpointDirectory
from edge_router.decision.link_loads import LinkLoads
from edge_router.decision.messages import EndpointId
from edge_router.decision.pending_request import PendingRequest
from edge_router.decision.placement import segment_key
from edge_router.decision.popularity import Popularity

# A cache's fair share is 1 / caches of the requested bytes. A segment of an object uses one more cache for
# each full half of a fair share that it receives.
HOT_FAIR_SHARE = 0.5


class CandidateSelector:
    """Ranks caches and sources for one request."""

    def __init__(self, directory: EndpointDirectory, loads: LinkLoads, popularity: Popularity) -> None:
        """Reads the three parts of the policy's state, and changes none."""
        self._directory = directory
        self._loads = loads
        self._popularity = popularity

    def caches(self, now: float, pending: PendingRequest) -> Iterator[EndpointId]:
        """The available caches in hash order, the home cache first, without those whose link is congested.

        Available are the caches that the request has not tried and that accept its key; those that share a
        hot object are ordered by load instead. If all of them are congested, there is no candidate. If no
        cache is available, all are candidates, also congested ones; those already tried come last.
        """
        key, directory = segment_key(pending.request), self._directory
        ranked = directory.caches.ranked(key)
        available = [
            cache_id
            for cache_id in ranked
            if cache_id not in pending.tried_endpoints and directory.cache_accepts(now, key, cache_id)
        ]
        spread = self._spread(pending.request.object_key, len(ranked))
        if spread > 1 and len(available) > 1:
            available[:spread] = self._by_load(available[:spread])
        yield from (each for each in available if not self._loads.is_congested(now, pending, each))
        if not available:
            yield from sorted(ranked, key=lambda cache_id: cache_id in pending.tried_endpoints)

    def _by_load(self, cache_ids: list[EndpointId]) -> list[EndpointId]:
        loads = {cache_id: self._loads.for_endpoint(cache_id) for cache_id in cache_ids}

        def relative_load(cache_id: EndpointId) -> tuple[float, float]:
            load = loads[cache_id]
            return load.in_flight_work / load.capacity, load.in_flight_work

        return sorted(loads, key=relative_load)

    def _spread(self, object_key: int, caches: int) -> int:
        """The number of caches that share each segment of an object.

        It is more than 1 for a hot object: one in the top set whose segments receive, on average, at least
        `HOT_FAIR_SHARE` of a cache's fair share.
        """
        if self._popularity.is_warming_up() or not self._popularity.in_top_set(object_key):
            return 1
        return 1 + int(self._popularity.byte_share(object_key) * caches / HOT_FAIR_SHARE)

    def sources(self, now: float, pending: PendingRequest, cache_id: EndpointId) -> Iterator[EndpointId]:
        """The available parents in hash order, then the origins, with those that are congested moved back.

        After them come the parents that are not available, and last the cache itself, which must not fill.
        An uncacheable request skips the parents.
        """
        key, directory = pending.request.object_key, self._directory
        ranked = () if pending.settings.uncacheable else directory.parents.ranked(key)
        available = [
            parent_id
            for parent_id in ranked
            if parent_id not in pending.failed_sources and directory.parent_accepts(now, key, parent_id)
        ]
        yield from sorted(
            available + directory.origins,
            key=lambda source_id: self._loads.is_congested(now, pending, source_id),
        )
        yield from (parent_id for parent_id in ranked if parent_id not in available)
        yield cache_id
