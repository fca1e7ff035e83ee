"""Overload of caches, links, parents and the origin, and the learning of their capacity."""

from __future__ import annotations

import math

import pytest
from conftest import ORIGIN, PARENTS, PolicyHarness, make_endpoints, make_settings, started_attempts

from edge_router.decision.link_load import LinkLoad
from edge_router.decision.messages import AttemptEnded, FillMode, FillResult, Outcome, Reject, StartAttempt


def test_overloaded_cache_is_skipped_in_hash_order(policy: PolicyHarness) -> None:
    order = policy.routing_policy.directory.caches.ranked(1)
    started = [started_attempts(policy.request(key=1, size_kb=600.0)) for _ in range(12)]
    used = [attempt[0].endpoint_id for attempt in started if attempt]
    assert used[0] == order[0]
    assert used[-1] != order[0]


def test_request_that_would_miss_its_deadline_everywhere_is_rejected_at_once(policy: PolicyHarness) -> None:
    answers = [policy.request(key=n, size_kb=600.0)[0] for n in range(200)]
    assert isinstance(answers[-1], Reject)
    assert started_attempts(policy.request(key=900, size_kb=1.0))


def test_congested_zone_link_restricts_the_home_to_its_cached_copy() -> None:
    policy = PolicyHarness(
        make_settings(endpoints_weighted=True), [n._replace(weight=100.0) for n in make_endpoints()]
    )
    attempts = [started_attempts(policy.request(key=n, size_kb=400.0))[0] for n in range(150)]
    assert attempts[0].source_id in PARENTS
    without_fill = [attempt for attempt in attempts if attempt.source_id == attempt.endpoint_id]
    assert without_fill
    assert attempts[-1] in without_fill
    missed = policy.end_attempt(attempts[-1], Outcome.MISS)
    assert isinstance(missed[-1], Reject)
    assert not started_attempts(missed)


def test_link_of_unknown_capacity_is_overloaded_only_once_transfers_are_slow() -> None:
    """While its transfers run at full speed, the zone may fill any number of objects at once."""
    settings = make_settings(endpoints_weighted=True, zone_link_bandwidth=(0.0, 0.0, 0.0))
    policy = PolicyHarness(settings, [n._replace(weight=500.0) for n in make_endpoints()])
    attempts = [started_attempts(policy.request(key=key, size_kb=400.0))[0] for key in range(12)]
    assert all(attempt.source_id in PARENTS for attempt in attempts)
    policy.routing_policy.loads.zone_link.record_transfer(policy.now, 4000.0, 400.0)
    without_fill = started_attempts(policy.request(key=99, size_kb=400.0))[0]
    assert without_fill.source_id == without_fill.endpoint_id


def test_slow_responses_from_one_cache_move_large_objects_to_the_next(policy: PolicyHarness) -> None:
    """Other routers overload the cache; this router has hardly any requests there itself."""
    order = policy.routing_policy.directory.caches.ranked(1)
    for _ in range(4):
        attempt = started_attempts(policy.request(key=1))[0]
        assert attempt.endpoint_id == order[0]
        policy.end_attempt(attempt, wait=500.0, fill_result=FillResult.HIT)
    assert started_attempts(policy.request(key=1, size_kb=600.0))[0].endpoint_id == order[1]
    assert started_attempts(policy.request(key=1, size_kb=1.0))[0].endpoint_id == order[0]
    assert started_attempts(policy.request(key=1, size_kb=600.0, wait=5000.0))[0].endpoint_id == order[0]


def test_small_share_of_a_link_may_be_exceeded_until_transfers_are_slow() -> None:
    """Transfers of one router coincide by chance, which does not show that the link is congested.

    A router that uses the link alone has no headroom beyond the link's capacity.
    """
    alone, one_of_many = LinkLoad.from_share(20.0, 1.0, 100.0), LinkLoad.from_share(20.0, 0.05, 100.0)
    assert alone.headroom == 0.0
    assert alone.capacity == 20.0
    one_of_many.in_flight = 1
    assert one_of_many.expected_slowdown(0.0) == 1.0
    one_of_many.record_transfer(0.0, 3000.0, 1000.0)
    assert one_of_many.expected_slowdown(0.0) >= 2.5
    assert one_of_many.expected_slowdown(9000.0) < 1.01


def test_overloaded_origin_is_avoided_and_used_again_later(policy: PolicyHarness) -> None:
    for key in range(12):
        attempt: StartAttempt | None = started_attempts(policy.request(key=key, size_kb=1.0))[0]
        while attempt:
            attempt_index = len(policy.routing_policy.pending[attempt.request_number].attempts) - 1
            retries = started_attempts(
                policy.end_attempt(
                    attempt,
                    Outcome.OVERLOADED,
                    fill_result=FillResult.ORIGIN_FAILED,
                    attempt_index=attempt_index,
                )
            )
            attempt = retries[0] if retries else None
    attempts = [started_attempts(policy.request(key=key, size_kb=1.0))[0] for key in range(100, 160)]
    avoiding = [attempt for attempt in attempts if attempt.fill_mode & FillMode.CACHED_ONLY]
    assert len(avoiding) > 40
    ended = policy.end_attempt(avoiding[-1], Outcome.MISS, fill_result=FillResult.SOURCE_MISS)
    assert isinstance(ended[-1], Reject)
    assert not started_attempts(ended)
    later = [
        started_attempts(policy.request(key=key, size_kb=1.0, wait=2000.0))[0] for key in range(200, 220)
    ]
    assert not any(attempt.fill_mode & FillMode.CACHED_ONLY for attempt in later[8:])


def test_slow_fills_at_one_cache_are_attributed_to_it_and_not_to_the_zone_link() -> None:
    policy = PolicyHarness(
        make_settings(endpoints_weighted=True), [n._replace(weight=100.0) for n in make_endpoints()]
    )
    slow = policy.routing_policy.directory.caches.ranked(1)[0]
    for key in range(60):
        attempt = started_attempts(policy.request(key=key, size_kb=100.0))[0]
        policy.end_attempt(
            attempt, wait=1500.0 if attempt.endpoint_id == slow else 100.0, fill_result=FillResult.FILLED
        )
    assert policy.routing_policy.loads.zone_link.slowdown(policy.now) < 2.0
    assert started_attempts(policy.request(key=1, size_kb=600.0))[0].source_id in PARENTS


def test_congestion_threshold_is_lower_with_many_routers_in_the_zone() -> None:
    """A router can't see the load that other routers add during a response."""
    alone = PolicyHarness(make_settings(routers_by_zone=(0, 1, 1)))
    among_many = PolicyHarness(make_settings(routers_by_zone=(0, 40, 1), fleet_size=41))
    same_cache = []
    for policy in (alone, among_many):
        for _ in range(2):
            attempt = started_attempts(policy.request(key=1, size_kb=100.0))[0]
            policy.end_attempt(attempt, wait=215.0, fill_result=FillResult.HIT)
        same_cache.append(
            started_attempts(policy.request(key=1, size_kb=1500.0))[0].endpoint_id == attempt.endpoint_id
        )
    assert same_cache == [True, False]


def test_capacity_of_a_link_is_learned_from_slow_fills() -> None:
    """The learned capacity still limits the fills after a time without slow transfers."""
    link = LinkLoad.from_share(0.0, 1.0, 100.0)
    link.update_capacity(1, 3.0)
    assert link.capacity == math.inf  # a single transfer is no evidence of the link's capacity
    link.update_capacity(30, 1.0)
    assert link.capacity == math.inf
    for _ in range(40):
        link.update_capacity(30, 3.0)
    assert link.capacity == pytest.approx(10.0)
    settings = make_settings(endpoints_weighted=True, zone_link_bandwidth=(0.0, 0.0, 0.0))
    policy = PolicyHarness(settings, [n._replace(weight=500.0) for n in make_endpoints()])
    for key in range(1, 41):
        policy.request(key=key, size_kb=400.0)
    for key in range(1, 41):
        cache_id, duration = policy.routing_policy.pending[key].attempts[0].endpoint_id, 1200.0
        policy.handle(AttemptEnded(key, 0, cache_id, Outcome.OK, duration, True, FillResult.FILLED, 0.0, ()))
    policy.now += 60_000.0
    assert policy.routing_policy.loads.zone_link.slowdown(policy.now) < 1.1
    attempts = [started_attempts(policy.request(key=key, size_kb=400.0))[0] for key in range(100, 160)]
    assert attempts[0].source_id in PARENTS
    assert attempts[-1].source_id == attempts[-1].endpoint_id


def test_caches_of_unknown_capacity_do_not_count_as_overloaded_at_startup() -> None:
    policy = PolicyHarness(make_settings(zone_link_bandwidth=(0.0, 0.0, 0.0)))
    attempts = [started_attempts(policy.request(key=key, size_kb=400.0)) for key in range(30)]
    assert all(attempts)
    for started in attempts:
        policy.handle(
            AttemptEnded(
                started[0].request_number,
                0,
                started[0].endpoint_id,
                Outcome.OK,
                900.0,
                True,
                FillResult.HIT,
                0.0,
                (),
            )
        )
    capacity = policy.routing_policy.loads.for_endpoint(attempts[-1][0].endpoint_id).capacity
    assert 1.0 <= capacity < math.inf


def test_parent_of_unknown_capacity_stays_the_source_until_transfers_are_slow() -> None:
    """The caches share the parent's copies, whatever the number of fills in flight."""
    nodes = [n._replace(weight=0.0 if n.role == 1 else 500.0) for n in make_endpoints()]
    policy = PolicyHarness(make_settings(endpoints_weighted=True, zone_link_bandwidth=(0.0, 0.0, 0.0)), nodes)
    for key in range(40):
        attempt = started_attempts(policy.request(key=key, size_kb=400.0))[0]
        assert attempt.source_id == policy.routing_policy.directory.parents.ranked(key)[0]
    policy.routing_policy.loads.for_endpoint(attempt.source_id).record_transfer(policy.now, 90_000.0, 1000.0)
    assert started_attempts(policy.request(key=39, size_kb=400.0))[0].source_id != attempt.source_id


def test_fills_from_an_overloaded_parent_move_to_the_next_source() -> None:
    nodes = [n._replace(weight=4.0 if n.role == 1 else 200.0) for n in make_endpoints()]
    policy = PolicyHarness(
        make_settings(endpoints_weighted=True, zone_link_bandwidth=(0.0, 900_000.0, 0.0)), nodes
    )
    sources = [
        attempt.source_id
        for n in range(60)
        for attempt in started_attempts(policy.request(key=n, size_kb=500.0))
    ]
    assert set(sources[:4]) <= set(PARENTS)
    assert set(sources[-20:]) == {ORIGIN}
