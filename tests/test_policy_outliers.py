"""Outlier detection: which caches and sources are ejected when they fail, restart, are silent or are slow."""

from __future__ import annotations

import pytest
from conftest import PolicyHarness, started_attempts

from edge_router.decision.messages import EndpointListUpdate, FillResult, Outcome, TimerFired, UpdateKind


def test_failed_cache_is_ejected_and_then_tried_with_a_single_attempt(policy: PolicyHarness) -> None:
    attempt = started_attempts(policy.request())[0]
    retry = started_attempts(policy.end_attempt(attempt, Outcome.CONNECT_FAILED))[0]
    assert retry.endpoint_id != attempt.endpoint_id
    policy.end_attempt(retry, attempt_index=1)
    assert started_attempts(policy.request())[0].endpoint_id != attempt.endpoint_id
    trial = started_attempts(policy.request(wait=3000.0))[0]
    assert trial.endpoint_id == attempt.endpoint_id
    assert started_attempts(policy.request())[0].endpoint_id != attempt.endpoint_id
    policy.end_attempt(trial)
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
    overdue = [silent, *(started_attempts(policy.request())[0] for _ in range(2))]
    policy.now += 1500.0
    hedged = [
        attempt
        for unanswered in overdue
        for attempt in started_attempts(policy.handle(TimerFired(unanswered.request_number)))
    ]
    # After one silent attempt only the answer may have been lost, so the same cache is asked for its copy.
    assert hedged[0].endpoint_id == hedged[0].source_id == silent.endpoint_id
    assert hedged[-1].endpoint_id != silent.endpoint_id
    assert started_attempts(policy.request())[0].endpoint_id != silent.endpoint_id


def test_slow_cache_that_responds_is_not_ejected(policy: PolicyHarness) -> None:
    big = started_attempts(policy.request(size_kb=2000.0))[0]
    small = [started_attempts(policy.request())[0] for _ in range(3)]
    policy.end_attempt(small[0], wait=1000.0, fill_result=FillResult.FILLED)
    for attempt in (big, *small[1:]):
        assert not started_attempts(policy.handle(TimerFired(attempt.request_number), 10.0))
    assert started_attempts(policy.request(size_kb=1.0))[0].endpoint_id == big.endpoint_id


def test_unresponsive_source_is_ejected_and_its_caches_are_not(policy: PolicyHarness) -> None:
    first = started_attempts(policy.request(key=0))[0]
    silent = [first]
    answered = []
    for key in range(1, 200):
        attempt = started_attempts(policy.request(key=key, size_kb=10.0))[0]
        if attempt.source_id == first.source_id and len(silent) < 4:
            silent.append(attempt)
        else:
            answered.append(attempt)
    for attempt in answered:
        policy.end_attempt(
            attempt, fill_result=FillResult.FILLED if attempt.source_id != first.source_id else FillResult.HIT
        )
    hedged = [
        attempt
        for unanswered in silent
        for attempt in started_attempts(policy.handle(TimerFired(unanswered.request_number), 600.0))
    ]
    assert hedged
    assert all(attempt.source_id != first.source_id for attempt in hedged)
    assert all(
        started_attempts(policy.request(key=key, size_kb=10.0))[0].source_id != first.source_id
        for key in range(300, 320)
    )
    assert first.endpoint_id in {
        started_attempts(policy.request(key=key, size_kb=10.0))[0].endpoint_id for key in range(300, 320)
    }
