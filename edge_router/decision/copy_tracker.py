"""Tracks which caches probably hold a copy of an object, by their recent responses.

Times are milliseconds.
"""

from __future__ import annotations

from edge_router.decision.messages import Endpoint, EndpointId, RequestReceived
from edge_router.decision.purges import RecentPurges

COPY_LIFETIME_FACTOR = 1.0  # multiple of the slow-start duration; a copy used within it counts as cached
MAX_TRACKED_COPIES = 20_000  # unless memory is short


class CopyTracker:
    """The times at which copies were last used, in ascending order."""

    def __init__(self, slow_start_duration: float, purges: RecentPurges) -> None:
        """`purges` has the recent purges, which make older copies unusable; it is only read."""
        self._lifetime = COPY_LIFETIME_FACTOR * slow_start_duration
        self._purges = purges
        self.max_copies = MAX_TRACKED_COPIES
        self.last_used: dict[tuple[int, int, EndpointId], float] = {}  # by object, segment and cache

    def record(self, now: float, request: RequestReceived, cache_id: EndpointId) -> None:
        """Records that the cache sent or cached the object.

        Drops up to two of the least recently used copies if their lifetime is over or the table is full.
        """
        copy = (request.object_key, request.segment, cache_id)
        self.last_used.pop(copy, None)
        self.last_used[copy] = now
        for _ in range(2):
            oldest = next(iter(self.last_used))
            if len(self.last_used) < self.max_copies and now - self.last_used[oldest] <= self._lifetime:
                break
            del self.last_used[oldest]

    def has_copy(self, now: float, request: RequestReceived, cache: Endpoint) -> bool:
        """Whether the cache probably holds a copy.

        So it does if it has used one within the lifetime, since the cache's start and since the last purge.
        """
        used_at = self.last_used.get((request.object_key, request.segment, cache.endpoint_id))
        if used_at is None:
            return False
        max_age = self._purges.max_copy_age(now, request.object_key, request.purge_group)
        return now - used_at <= min(self._lifetime, max_age) and used_at >= cache.started_at
