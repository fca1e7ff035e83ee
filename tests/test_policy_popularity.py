"""The popularity of objects, which decides whether an object is cached and at which rank."""

from __future__ import annotations

from conftest import make_settings

from edge_router.decision.messages import RequestReceived
from edge_router.decision.policy import RoutingPolicy
from edge_router.decision.popularity import (
    COUNT_HALF_LIFE_FACTOR,
    MAX_COUNTED_OBJECTS,
    MIN_RANKED_REQUESTS,
    Popularity,
)


def record_mixed_requests(popularity: Popularity, requests: int = 3000, once: int = 7) -> None:
    """Records requests for objects of decreasing popularity; every `once`-th is for a one-time object."""
    for n in range(requests):
        if n % once == 0:
            popularity.record_request(n * 10.0, 100_000 + n, 100.0, 0)
        else:
            popularity.record_request(n * 10.0, (n * n) % (n % 97 + 1), 100.0, 0)


def test_popular_objects_are_cached_and_the_rest_are_not() -> None:
    popularity = Popularity(40_000.0)
    record_mixed_requests(popularity)
    assert popularity.cache_rank(0) > 0
    assert popularity.cache_rank(100_000) == 0
    assert popularity.cache_rank(123_456_789) == 0


def test_all_objects_have_the_lowest_rank_until_enough_requests_are_recorded() -> None:
    popularity = Popularity(40_000.0)
    record_mixed_requests(popularity, MIN_RANKED_REQUESTS - 1)
    assert popularity.cache_rank(0) == popularity.cache_rank(123_456_789) == 1


def test_objects_with_more_requests_per_kb_rank_higher() -> None:
    popularity = Popularity(1e9)
    for n in range(3000):
        popularity.record_request(
            float(n), n % 30, 10.0 if n % 30 < 10 else 100.0 if n % 30 < 20 else 1000.0, 0
        )
    assert [popularity.cache_rank(key) for key in (5, 15, 25)] == [3, 2, 1]


def test_request_counts_decay_with_time() -> None:
    popularity = Popularity(1000.0)
    for n in range(400):
        popularity.record_request(float(n), 1, 100.0, 0)
    for n in range(400):
        popularity.record_request(40_000.0 + n, 2 + n % 10, 100.0, 0)
    assert popularity.cache_rank(1) == 0
    assert popularity.cache_rank(11) > 0


def test_table_is_bounded_and_evicted_requests_still_count() -> None:
    popularity = Popularity(1e9)
    for n in range(MAX_COUNTED_OBJECTS + 5000):
        popularity.record_request(0.0, n, 1.0, 0)
    assert len(popularity._counts) <= MAX_COUNTED_OBJECTS
    assert popularity._total_count == MAX_COUNTED_OBJECTS + 5000


def test_ranks_do_not_depend_on_the_order_of_requests() -> None:
    ranks = []
    for order in (range(300), reversed(range(300))):
        popularity = Popularity(1e12)
        for key in order:
            popularity.record_request(0.0, key, 100.0, 0)
        ranks.append([popularity.cache_rank(key) for key in range(300)])
    assert ranks[0] == ranks[1]


def test_half_life_is_a_multiple_of_the_slow_start_duration() -> None:
    routing_policy = RoutingPolicy(make_settings(slow_start_duration=20_000.0), 1)
    assert routing_policy.popularity._half_life == COUNT_HALF_LIFE_FACTOR * 20_000.0
    assert RequestReceived(1, 0, 1, 1.0, 1.0, 0, 0).segment == 0
