"""Placement of objects on endpoints by weighted rendezvous hashing.

All routers must compute the same rankings, so nothing here depends on the process.

Sources: Thaler and Ravishankar, "Using name-based mappings to increase hit rates" (highest random weight), in
the logarithmic form for weights by Schindelhauer and Schomaker. `mix64` is the finaliser of SplitMix64
(Steele, Lea and Flood).
"""

from __future__ import annotations

import math
from collections.abc import Sequence
from functools import lru_cache, partial

from edge_router.decision.messages import Endpoint, EndpointId, RequestReceived

MAX_CACHED_RANKINGS = 20_000  # unless memory is short; least recently used ones are dropped
MASK_64_BITS = (1 << 64) - 1


def mix64(value: int) -> int:
    """A 64-bit hash of an integer, the same at all routers."""
    value = (value + 0x9E3779B97F4A7C15) & MASK_64_BITS
    value = ((value ^ (value >> 30)) * 0xBF58476D1CE4E5B9) & MASK_64_BITS
    value = ((value ^ (value >> 27)) * 0x94D049BB133111EB) & MASK_64_BITS
    return value ^ (value >> 31)


def hash_unit(key: int, endpoint_id: EndpointId) -> float:
    """The hash of a key and an endpoint, as a number within (0, 1)."""
    return ((mix64(key ^ mix64(endpoint_id)) >> 11) + 0.5) / (1 << 53)


def slow_start_threshold(key: int, endpoint_id: EndpointId) -> float:
    """The available capacity, within (0, 1), above which an endpoint in slow start takes the key."""
    return hash_unit(~key & MASK_64_BITS, endpoint_id)


def segment_key(request: RequestReceived) -> int:
    """The key by which the request is placed; it spreads the segments of a large object over the caches."""
    return mix64(request.object_key + mix64(request.segment)) if request.segment else request.object_key


def ranked_endpoints(weights: Sequence[tuple[EndpointId, float]], key: int) -> tuple[EndpointId, ...]:
    """The endpoints by descending score for the key; the first is the home of the key."""
    scores = [
        (math.log(hash_unit(key, endpoint_id)) / weight, endpoint_id) for endpoint_id, weight in weights
    ]
    return tuple(endpoint_id for _, endpoint_id in sorted(scores, reverse=True))


class RendezvousHash:
    """Weighted rendezvous hashing over a fixed set of endpoints; rankings are cached.

    `endpoints` maps ids to endpoints. `ranked(key)` returns the ids, the home of the key first.
    """

    def __init__(
        self, endpoints: Sequence[Endpoint], weighted: bool, max_rankings: int = MAX_CACHED_RANKINGS
    ) -> None:
        """If not `weighted`, or if the weight of an endpoint is not positive, its weight counts as 1.

        At most `max_rankings` are cached.
        """
        self.endpoints = {endpoint.endpoint_id: endpoint for endpoint in endpoints}
        weights = [
            (endpoint.endpoint_id, endpoint.weight if weighted and endpoint.weight > 0 else 1.0)
            for endpoint in endpoints
        ]
        # A cached method would refer to this object; the reference cycle would keep it after a list update.
        self.ranked = lru_cache(max_rankings)(partial(ranked_endpoints, weights))
