"""Outlier detection: caches and sources that fail, restart, stall or are merely slow."""

from __future__ import annotations

import pytest
from conftest import PolicyHarness, started_attempts

from edge_router.decision.messages import EndpointListUpdate, FillResult, Outcome, TimerFired, UpdateKind


def test_failed_cache_is_ejected_and_tried_again_sparingly(policy: PolicyHarness) -> None:
    attempt = started_attempts(policy.request())[0]
    again = started_attempts(policy.end_attempt(attempt, Outcome.CONNECT_FAILED))[0]
    assert again.endpoint_id != attempt.endpoint_id
    policy.end_attempt(again, attempt_index=1)
    assert started_attempts(policy.request())[0].endpoint_id != attempt.endpoint_id
    tried = started_attempts(policy.request(wait=3000.0))[0]
    assert tried.endpoint_id == attempt.endpoint_id
    assert started_attempts(policy.request())[0].endpoint_id != attempt.endpoint_id
    policy.end_attempt(tried)
    assert started_attempts(policy.request())[0].endpoint_id == attempt.endpoint_id


@pytest.mark.parametrize("form", [UpdateKind.DELTA, UpdateKind.FULL])
def test_restarted_cache_is_not_ejected_for_earlier_failures(policy: PolicyHarness, form: UpdateKind) -> None:
    (attempt,) = started_attempts(policy.request())
    policy.end_attempt(attempt, Outcome.CONNECT_FAILED)
    assert not policy.routing_policy.directory.cache_outliers[attempt.endpoint_id].is_available(policy.now)
    nodes = [
        n._replace(started_at=policy.now) if n.endpoint_id == attempt.endpoint_id else n
        for n in policy.endpoints
    ]
    policy.handle(EndpointListUpdate(form, tuple(nodes)))
    assert policy.routing_policy.directory.cache_outliers[attempt.endpoint_id].is_available(policy.now)


def test_unresponsive_cache_is_ejected_after_a_few_attempts(policy: PolicyHarness) -> None:
    silent = started_attempts(policy.request())[0]
    asked = [silent, *(started_attempts(policy.request())[0] for _ in range(2))]
    policy.now += 1500.0
    moved = [
        attempt
        for ask in asked
        for attempt in started_attempts(policy.handle(TimerFired(ask.request_number)))
    ]
    # Just the answer may have been lost.
    assert moved[0].endpoint_id == moved[0].source_id == silent.endpoint_id
    assert moved[-1].endpoint_id != silent.endpoint_id
    assert started_attempts(policy.request())[0].endpoint_id != silent.endpoint_id


def test_slow_cache_that_responds_is_not_ejected(policy: PolicyHarness) -> None:
    big = started_attempts(policy.request(size_kb=2000.0))[0]
    small = [started_attempts(policy.request())[0] for _ in range(3)]
    policy.end_attempt(small[0], wait=1000.0, fill_result=FillResult.FILLED)
    for attempt in (big, *small[1:]):
        assert not started_attempts(policy.handle(TimerFired(attempt.request_number), 10.0))
    assert started_attempts(policy.request(size_kb=1.0))[0].endpoint_id == big.endpoint_id


def test_unresponsive_source_is_distinguished_from_its_caches(policy: PolicyHarness) -> None:
    first = started_attempts(policy.request(key=0))[0]
    stuck = [first]
    answering = []
    for key in range(1, 200):
        attempt = started_attempts(policy.request(key=key, size_kb=10.0))[0]
        if attempt.source_id == first.source_id and len(stuck) < 4:
            stuck.append(attempt)
        else:
            answering.append(attempt)
    for attempt in answering:
        policy.end_attempt(
            attempt, fill_result=FillResult.FILLED if attempt.source_id != first.source_id else FillResult.HIT
        )
    moved = [
        attempt
        for ask in stuck
        for attempt in started_attempts(policy.handle(TimerFired(ask.request_number), 600.0))
    ]
    assert moved
    assert all(attempt.source_id != first.source_id for attempt in moved)
    assert all(
        started_attempts(policy.request(key=key, size_kb=10.0))[0].source_id != first.source_id
        for key in range(300, 320)
    )
    assert first.endpoint_id in {
        started_attempts(policy.request(key=key, size_kb=10.0))[0].endpoint_id for key in range(300, 320)
    }
