"""Outlier detection: caches and sources that fail, restart, stall or are merely slow."""

from __future__ import annotations

import pytest
from conftest import PolicyHarness, started_attempts

from edge_router.decision.messages import Due, Listed, ListKind, Note, Outcome


def test_failed_cache_is_ejected_and_tried_again_sparingly(policy: PolicyHarness) -> None:
    attempt = started_attempts(policy.request())[0]
    again = started_attempts(policy.end_attempt(attempt, Outcome.CONNECT_FAILED))[0]
    assert again.node != attempt.node
    policy.end_attempt(again, attempt_index=1)
    assert started_attempts(policy.request())[0].node != attempt.node
    tried = started_attempts(policy.request(wait=3000.0))[0]
    assert tried.node == attempt.node
    assert started_attempts(policy.request())[0].node != attempt.node
    policy.end_attempt(tried)
    assert started_attempts(policy.request())[0].node == attempt.node


@pytest.mark.parametrize("form", [ListKind.DELTA, ListKind.FULL])
def test_restarted_cache_is_not_ejected_for_earlier_failures(policy: PolicyHarness, form: ListKind) -> None:
    (attempt,) = started_attempts(policy.request())
    policy.end_attempt(attempt, Outcome.CONNECT_FAILED)
    assert not policy.routing_policy._cache_health[attempt.node].usable(policy.now)
    nodes = [n._replace(started=policy.now) if n.node == attempt.node else n for n in policy.endpoints]
    policy.handle(Listed(form, tuple(nodes)))
    assert policy.routing_policy._cache_health[attempt.node].usable(policy.now)


def test_unresponsive_cache_is_ejected_after_a_few_attempts(policy: PolicyHarness) -> None:
    silent = started_attempts(policy.request())[0]
    asked = [silent, *(started_attempts(policy.request())[0] for _ in range(2))]
    policy.now += 1500.0
    moved = [attempt for ask in asked for attempt in started_attempts(policy.handle(Due(ask.req)))]
    assert moved[0].node == moved[0].source == silent.node  # just the answer may have been lost
    assert moved[-1].node != silent.node
    assert started_attempts(policy.request())[0].node != silent.node


def test_slow_cache_that_responds_is_not_ejected(policy: PolicyHarness) -> None:
    big = started_attempts(policy.request(size=2000.0))[0]
    small = [started_attempts(policy.request())[0] for _ in range(3)]
    policy.end_attempt(small[0], wait=1000.0, note=Note.FILLED)
    for attempt in (big, *small[1:]):
        assert not started_attempts(policy.handle(Due(attempt.req), 10.0))
    assert started_attempts(policy.request(size=1.0))[0].node == big.node


def test_unresponsive_source_is_distinguished_from_its_caches(policy: PolicyHarness) -> None:
    first = started_attempts(policy.request(key=0))[0]
    stuck = [first]
    answering = []
    for key in range(1, 200):
        attempt = started_attempts(policy.request(key=key, size=10.0))[0]
        if attempt.source == first.source and len(stuck) < 4:
            stuck.append(attempt)
        else:
            answering.append(attempt)
    for attempt in answering:
        policy.end_attempt(attempt, note=Note.FILLED if attempt.source != first.source else Note.HIT)
    moved = [attempt for ask in stuck for attempt in started_attempts(policy.handle(Due(ask.req), 600.0))]
    assert moved and all(attempt.source != first.source for attempt in moved)
    assert all(
        started_attempts(policy.request(key=key, size=10.0))[0].source != first.source
        for key in range(300, 320)
    )
    assert first.node in {
        started_attempts(policy.request(key=key, size=10.0))[0].node for key in range(300, 320)
    }
