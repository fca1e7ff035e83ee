"""Request counts that decay exponentially, and the cache ranks derived from them.

The most popular objects that together receive HIT_SHARE_THRESHOLD of the requests form the top set. Only they
are admitted to the caches, as content delivery networks admit objects by popularity. The density of an object
(requests per KB) decides which ones a full cache evicts first.
"""

from __future__ import annotations

import math
from dataclasses import dataclass

HIT_SHARE_THRESHOLD = 0.9  # least part of all requests that the top set receives
COUNT_HALF_LIFE_FACTOR = 4.0  # multiple of the longer one of slow-start duration and purge settle time
MAX_COUNTED_OBJECTS = 20_000  # unless memory is short; the less popular half is dropped when it is exceeded
MIN_RANKED_REQUESTS = 50  # requests counted before the ranking is used
RANKING_INTERVAL = 50  # requests between two rankings at least; more with many objects
MAX_WEIGHT_DOUBLINGS = 30  # all counts are rescaled before the weight exceeds this power of two
# In the mean size of an object's segments, a new size has the weight 1 / (known segments + 1), at least 1/16.
SIZE_AVERAGE_SAMPLES = 16


@dataclass(slots=True)
class ObjectCount:
    """The decayed request count of one object."""

    size_kb: float  # mean size of its segments
    count: float = 0.0  # a sum of the weights that `Popularity._request_weight` returned
    segments: int = 1


class Popularity:
    """A bounded table of decaying request counts; gives the top set and the cache ranks of objects."""

    def __init__(self, half_life: float) -> None:
        """Counts halve every `half_life` milliseconds."""
        self._half_life = max(half_life, 1.0)
        self.max_objects = MAX_COUNTED_OBJECTS
        self._counts: dict[int, ObjectCount] = {}
        self._total_count = 0.0
        self._total_kb = 0.0
        self._weight_origin = 0.0
        self._request_count = 0
        self._next_ranking_at = RANKING_INTERVAL
        self._top_set_min_count = 0.0
        self._rank_cutoffs = (math.inf, math.inf)

    def _request_weight(self, now: float) -> float:
        """The weight of a request at `now`; it grows with time, which avoids reducing all counts instead.

        At the first request, and again after MAX_WEIGHT_DOUBLINGS half-lives, the weight is 1; the earlier
        counts are rescaled to match.
        """
        doublings = (now - self._weight_origin) / self._half_life
        if doublings > MAX_WEIGHT_DOUBLINGS or not self._request_count:
            self._rescale(2.0**-doublings if self._request_count else 1.0)
            self._weight_origin, doublings = now, 0.0
        return float(2.0**doublings)

    def _rescale(self, factor: float) -> None:
        """Multiplies the counts, their totals and the top set's least count by `factor`.

        The rank cutoffs keep the old scale until the next ranking.
        """
        for item in self._counts.values():
            item.count *= factor
        self._total_count *= factor
        self._total_kb *= factor
        self._top_set_min_count *= factor

    def record_request(self, now: float, object_key: int, size_kb: float, segment: int) -> None:
        """Counts a request for one segment, of `size_kb`, of an object."""
        weight = self._request_weight(now)
        item = self._counts.get(object_key)
        if item is None:
            if len(self._counts) >= self.max_objects:
                self._drop_less_popular_half()
            item = self._counts[object_key] = ObjectCount(size_kb)
        item.count += weight
        if size_kb:
            item.size_kb += (size_kb - item.size_kb) / min(SIZE_AVERAGE_SAMPLES, item.segments + 1)
        item.segments = max(item.segments, segment + 1)
        self._total_count += weight
        self._total_kb += weight * size_kb
        self._request_count += 1
        if self._request_count >= self._next_ranking_at:
            self._next_ranking_at = self._request_count + max(RANKING_INTERVAL, len(self._counts) // 8)
            self._rank_objects()

    def _drop_less_popular_half(self) -> None:
        """Drops the less popular half of the objects.

        Their requests stay in the total, since the shares of the other objects would be overstated otherwise.
        """
        by_count = sorted(self._counts, key=lambda key: (-self._counts[key].count, key))
        self._counts = {key: self._counts[key] for key in by_count[: self.max_objects // 2]}

    @staticmethod
    def _density(item: ObjectCount) -> float:
        return item.count / (item.segments * max(item.size_kb, 1.0))

    def _rank_objects(self) -> None:
        """Computes the lowest count in the top set, and the densities that separate the ranks."""
        items = sorted(self._counts.items(), key=lambda pair: (-pair[1].count, pair[0]))
        summed_count = 0.0
        densities = []
        for _, item in items:
            densities.append(self._density(item))
            summed_count += item.count
            self._top_set_min_count = item.count
            if summed_count >= HIT_SHARE_THRESHOLD * self._total_count:
                break
        densities.sort(reverse=True)
        self._rank_cutoffs = (densities[len(densities) // 3], densities[2 * len(densities) // 3])

    def is_warming_up(self) -> bool:
        """Whether too few requests have been counted to use the ranking."""
        return self._request_count < MIN_RANKED_REQUESTS

    def in_top_set(self, object_key: int) -> bool:
        """Whether the object is popular enough to be cached."""
        item = self._counts.get(object_key)
        return item is not None and item.count >= self._top_set_min_count

    def cache_rank(self, object_key: int) -> int:
        """The rank at which a copy is cached, 1 to 3 (evicted last); with 0 the object is not cached."""
        if self.is_warming_up():
            return 1
        if not self.in_top_set(object_key):
            return 0
        density = self._density(self._counts[object_key])
        if density > self._rank_cutoffs[0]:
            return 3
        return 2 if density > self._rank_cutoffs[1] else 1

    def byte_share(self, object_key: int) -> float:
        """The part of all requested bytes that goes to one segment of the object, on average."""
        item = self._counts.get(object_key)
        if item is None or self._total_kb <= 0:
            return 0.0
        return item.count * item.size_kb / item.segments / self._total_kb
