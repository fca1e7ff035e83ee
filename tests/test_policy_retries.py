"""Retries and hedged requests of the routing policy."""

from __future__ import annotations

from conftest import ORIGIN, PolicyHarness, started_attempts

from edge_router.decision.messages import FillResult, Outcome, TimerFired


def test_lost_response_is_requested_again_at_the_same_cache(policy: PolicyHarness) -> None:
    lost, other = started_attempts(policy.request(key=1))[0], started_attempts(policy.request(key=1))[0]
    policy.end_attempt(other, fill_result=FillResult.HIT, wait=100.0)
    hedged = started_attempts(policy.handle(TimerFired(lost.request_number), 500.0))
    assert [attempt.endpoint_id for attempt in hedged] == [lost.endpoint_id]
    assert hedged[0].source_id == lost.endpoint_id
    # The first attempt may still be answered.
    assert policy.end_attempt(hedged[0], Outcome.MISS, attempt_index=1) == []


def test_overload_suppresses_hedged_requests(policy: PolicyHarness) -> None:
    silent = started_attempts(policy.request(key=1))[0]
    for _ in range(8):
        policy.end_attempt(started_attempts(policy.request(key=1))[0], fill_result=FillResult.HIT, wait=300.0)
    assert started_attempts(policy.handle(TimerFired(silent.request_number))) == []


def test_failed_source_is_not_used_again_for_the_request(policy: PolicyHarness) -> None:
    attempt = started_attempts(policy.request())[0]
    again = started_attempts(
        policy.end_attempt(attempt, Outcome.ERROR, fill_result=FillResult.SOURCE_FAILED)
    )[0]
    assert again.source_id != attempt.source_id
    last = started_attempts(
        policy.end_attempt(again, Outcome.ERROR, fill_result=FillResult.SOURCE_FAILED, attempt_index=1)
    )[0]
    assert last.source_id == ORIGIN


def test_retry_budget_bounds_the_attempts(policy: PolicyHarness) -> None:
    sent = 0
    for n in range(300):
        attempt = started_attempts(policy.request(key=n))
        while attempt:
            sent += 1
            attempt = started_attempts(
                policy.end_attempt(
                    attempt[0],
                    Outcome.ERROR,
                    wait=0.1,
                    attempt_index=len(policy.routing_policy.pending[attempt[0].request_number].attempts) - 1,
                )
            )
    assert sent < 300 * 1.25
