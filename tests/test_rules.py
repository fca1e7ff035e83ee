"""The five invariants of the policy: each test fails if the policy doesn't enforce its rule.

The invariants are rules 1 to 5 on the operators' page `WIRE-robinbeam.md`, section "Invariants".
"""

from __future__ import annotations

import math

import pytest
from conftest import (
    CACHES,
    ORIGIN,
    PARENTS,
    PolicyHarness,
    make_class,
    make_endpoints,
    make_settings,
    started_attempts,
)

from edge_router.config.settings_reader import settings_from_json
from edge_router.decision.messages import (
    ClientDisconnected,
    EndpointListUpdate,
    EndpointState,
    Fail,
    FillResult,
    Outcome,
    PurgeReceived,
    Reject,
    TimerFired,
    UpdateKind,
)
from edge_router.decision.settings import DeduplicationScope, Idempotency

FINAL = (Reject, Fail)


# Rule 1: every request gets exactly one final answer in time.


def test_timeout_at_the_deadline_gives_one_final_response(policy: PolicyHarness) -> None:
    attempt = started_attempts(policy.request())[0]
    actions = policy.end_attempt(attempt, Outcome.TIMEOUT, 4000.0)
    assert [type(a) for a in actions if isinstance(a, FINAL)] == [Reject]
    assert not started_attempts(actions)
    assert policy.handle(ClientDisconnected(attempt.request_number)) == []


def test_no_attempt_starts_after_the_final_response(policy: PolicyHarness) -> None:
    attempt = started_attempts(policy.request())[0]
    policy.handle(ClientDisconnected(attempt.request_number))
    assert policy.handle(TimerFired(attempt.request_number), 2000.0) == []
    assert policy.end_attempt(attempt, Outcome.CANCELLED, closed=True) == []


def test_no_hedged_request_starts_at_the_deadline(policy: PolicyHarness) -> None:
    asked = [started_attempts(policy.request(key=1))[0] for _ in range(3)]
    policy.now += 4500.0
    assert not any(started_attempts(policy.handle(TimerFired(attempt.request_number))) for attempt in asked)


def test_response_cancels_the_hedged_request(policy: PolicyHarness) -> None:
    first = started_attempts(policy.request(key=1))[0]
    other = started_attempts(policy.request(key=1))[0]
    assert first.endpoint_id == other.endpoint_id
    policy.handle(TimerFired(first.request_number), 1500.0)
    second = started_attempts(policy.handle(TimerFired(other.request_number)))[0]
    assert second.endpoint_id != other.endpoint_id
    actions = policy.end_attempt(second, attempt_index=1)
    assert [(a.request_number, a.attempt_index) for a in actions] == [(other.request_number, 0)]  # type: ignore[union-attr]


def test_attempts_do_not_exceed_the_limit() -> None:
    policy = PolicyHarness(make_settings(max_attempts=2))
    first = started_attempts(policy.request())[0]
    second = started_attempts(policy.end_attempt(first, Outcome.CONNECT_FAILED))[0]
    final = policy.end_attempt(second, Outcome.CONNECT_FAILED, attempt_index=1)
    assert isinstance(final[-1], Reject)
    assert not started_attempts(final)


def test_retry_after_is_set_where_it_is_allowed() -> None:
    for allowed, shortest, longest in ((True, 400.0, 900.0), (False, 0.0, 0.0)):
        policy = PolicyHarness(make_settings(retry_after_allowed=allowed), endpoints=[])
        delays = [
            action.retry_after for _ in range(20) for action in policy.request() if isinstance(action, Reject)
        ]
        assert len(delays) == 20
        assert shortest <= min(delays)
        assert max(delays) <= longest


# Rule 2: no effect runs twice.


def policy_with_idempotency_key(**changes: object) -> PolicyHarness:
    cls = make_class(idempotency=Idempotency.WITH_KEY, uncacheable=True, **changes)
    return PolicyHarness(make_settings(cls))


def test_non_idempotent_request_is_retried_only_if_it_has_certainly_not_run() -> None:
    for outcome, again in ((Outcome.OVERLOADED, True), (Outcome.RESET, False), (Outcome.ERROR, False)):
        policy = PolicyHarness(make_settings(make_class(idempotency=Idempotency.NONE)))
        actions = policy.end_attempt(started_attempts(policy.request())[0], outcome)
        assert bool(started_attempts(actions)) is again
        assert again or isinstance(actions[-1], Fail)


def test_request_with_key_is_not_retried_after_its_deduplication_window() -> None:
    for wait, again in ((1500.0, True), (2500.0, False)):
        policy = policy_with_idempotency_key()
        actions = policy.end_attempt(started_attempts(policy.request())[0], Outcome.RESET, wait)
        assert bool(started_attempts(actions)) is again


def test_deduplication_window_starts_with_the_first_attempt_that_may_have_run() -> None:
    policy = policy_with_idempotency_key()
    asked = [started_attempts(policy.request(key=1))[0] for _ in range(2)]
    policy.handle(TimerFired(asked[0].request_number), 1200.0)
    second = started_attempts(policy.handle(TimerFired(asked[1].request_number)))[0]
    assert not started_attempts(policy.end_attempt(second, Outcome.RESET, 100.0, attempt_index=1))
    actions = policy.end_attempt(asked[1], Outcome.RESET, 900.0)
    assert not started_attempts(actions)
    assert isinstance(actions[-1], Reject)


@pytest.mark.parametrize(
    ("effect", "group", "expected"),
    [
        (None, None, (Idempotency.NONE, DeduplicationScope.CELL)),
        ("who-knows", "continent", (Idempotency.NONE, DeduplicationScope.CELL)),
        ("token", None, (Idempotency.WITH_KEY, DeduplicationScope.CELL)),
        ("pure", "all", (Idempotency.IDEMPOTENT, DeduplicationScope.ALL)),
    ],
)
def test_unknown_idempotency_and_scope_count_as_the_strictest(
    effect: str | None, group: str | None, expected: tuple[Idempotency, DeduplicationScope]
) -> None:
    entry = {"deadline": 900.0, "effect": effect, "group": group}
    given = {name: value for name, value in entry.items() if value is not None}
    (cls,) = settings_from_json({"zone": 0, "classes": [given]}).classes
    assert (cls.idempotency, cls.deduplication_scope) == expected


def test_retry_with_key_must_start_within_the_deduplication_window() -> None:
    policy = PolicyHarness(
        make_settings(make_class(idempotency=Idempotency.WITH_KEY, deduplication_window=300.0))
    )
    (first,) = started_attempts(policy.request())
    assert first.start_before == math.inf
    (second,) = started_attempts(policy.end_attempt(first, Outcome.ERROR, wait=100.0))
    assert second.start_before == policy.now - 100.0 + 300.0


def test_request_with_key_is_retried_only_within_its_cell() -> None:
    policy = policy_with_idempotency_key(deduplication_scope=DeduplicationScope.CELL)
    attempt = started_attempts(policy.request())[0]
    again = started_attempts(policy.end_attempt(attempt, Outcome.RESET))
    assert again
    assert again[0].endpoint_id % 2 == attempt.endpoint_id % 2
    final = policy.end_attempt(again[0], Outcome.RESET, 2500.0, attempt_index=1)
    assert isinstance(final[-1], Fail)


def test_no_hedged_request_where_hedging_is_not_allowed() -> None:
    policy = PolicyHarness(make_settings(hedging_allowed=False))
    asked = [started_attempts(policy.request(key=1))[0] for _ in range(3)]
    policy.handle(TimerFired(asked[0].request_number), 1500.0)
    assert not any(started_attempts(policy.handle(TimerFired(attempt.request_number))) for attempt in asked)


# Rule 3: nothing is sent to draining or removed endpoints.


@pytest.mark.parametrize("state", [EndpointState.DRAINING, EndpointState.GONE])
def test_no_new_attempt_at_a_draining_or_removed_endpoint(state: EndpointState) -> None:
    policy = PolicyHarness()
    attempt = started_attempts(policy.request())[0]
    policy.update_endpoint(attempt.endpoint_id, state=state)
    policy.update_endpoint(attempt.source_id, state=state)
    for key in range(20):
        for sent in started_attempts(policy.request(key=key, size_kb=1.0)):
            assert sent.endpoint_id != attempt.endpoint_id
            assert sent.source_id != attempt.source_id
    again = started_attempts(policy.end_attempt(attempt, Outcome.RESET))
    assert again
    assert again[0].endpoint_id != attempt.endpoint_id
    assert again[0].source_id != attempt.source_id


def test_endpoint_missing_from_a_full_list_is_removed(policy: PolicyHarness) -> None:
    policy.handle(
        EndpointListUpdate(UpdateKind.FULL, tuple(n for n in policy.endpoints if n.endpoint_id != CACHES[0]))
    )
    assert all(started_attempts(policy.request(key=key))[0].endpoint_id != CACHES[0] for key in range(100))


def test_failed_list_update_changes_nothing(policy: PolicyHarness) -> None:
    policy.handle(EndpointListUpdate(UpdateKind.FAILED, ()))
    assert started_attempts(policy.request())


# Rule 4: a recovering endpoint is not overloaded.


def test_cache_in_slow_start_stays_within_its_budget() -> None:
    settings = make_settings()
    policy = PolicyHarness(settings)
    for node in CACHES[1:]:
        policy.update_endpoint(node, state=EndpointState.GONE)
    policy.update_endpoint(CACHES[0], started_at=policy.now)
    work = sum(
        100.0
        for n in range(400)
        for attempt in started_attempts(policy.request(key=n, wait=1.0))
        if attempt.endpoint_id == CACHES[0]
    )
    capacity = settings.zone_link_bandwidth[1] / settings.client_bandwidth
    assert (
        0
        < work
        <= settings.overload_factor
        * settings.slow_start_initial_capacity
        * settings.overload_window
        * capacity
    )


@pytest.mark.parametrize("fleet", [3, 30, 200])
def test_all_routers_together_stay_within_a_slow_start_budget(fleet: int) -> None:
    """Each router stays within its share, even if some get ten times the traffic of others."""
    cold = CACHES[0]
    nodes = [n._replace(started_at=100_000.0) if n.endpoint_id == cold else n for n in make_endpoints()]
    # Without the other caches, every request may go to the cold one.
    nodes = [n for n in nodes if n.endpoint_id == cold or n.endpoint_id not in CACHES]
    settings = make_settings(fleet_size=fleet, routers_by_zone=(0, fleet, 0))
    sent, size = 0, 100.0
    for place in range(fleet):
        policy = PolicyHarness(settings, nodes)
        for number in range(40 if place % 4 else 400):
            wait = settings.overload_window / (40 if place % 4 else 400)
            sent += len(started_attempts(policy.request(key=number + 1, wait=wait, size_kb=size)))
    # The only cache gets the whole link.
    transfers = settings.zone_link_bandwidth[1] / settings.client_bandwidth
    budget = (
        settings.overload_factor
        * settings.slow_start_initial_capacity
        * settings.overload_window
        * transfers
        / (size / settings.client_bandwidth * 1000.0)
    )
    assert sent <= budget
    assert sent > 0 or fleet > 3


def test_parent_in_slow_start_stays_within_its_budget() -> None:
    settings = make_settings()
    policy = PolicyHarness(settings)
    policy.update_endpoint(PARENTS[0], started_at=policy.now)
    sources = []
    for n in range(300):
        for attempt in started_attempts(policy.request(key=n, wait=1.0, size_kb=500.0)):
            sources.append(attempt.source_id)
            policy.end_attempt(attempt, fill_result=FillResult.FILLED)
    capacity = sum(settings.zone_link_bandwidth) / settings.client_bandwidth / len(PARENTS)
    allowed = (
        settings.parent_overload_factor
        * settings.parent_slow_start_initial_capacity
        * settings.overload_window
        * capacity
    )
    assert sources.count(PARENTS[0]) * 500.0 <= allowed / settings.fleet_size
    assert sources.count(PARENTS[1]) > sources.count(PARENTS[0])


def test_endpoint_started_long_ago_is_not_in_slow_start(policy: PolicyHarness) -> None:
    policy.update_endpoint(PARENTS[0], started_at=policy.now - 60_000.0)
    sources = {started_attempts(policy.request(key=n))[0].source_id for n in range(60)}
    assert sources == set(PARENTS)


# Rule 5: no copy older than a purge.


def test_no_copy_older_than_a_purge_is_accepted(policy: PolicyHarness) -> None:
    assert started_attempts(policy.request(key=9))[0].max_age == 0.0  # no limit
    held = started_attempts(policy.request(key=9))[0]
    policy.handle(PurgeReceived(200.0, 0, 9), 1.0)  # object 9 was purged 200 ms before
    sent = started_attempts(policy.request(key=9, wait=50.0))[0]
    assert 0 < sent.max_age < 250.0
    assert not sent.fill_mode & 1  # FillMode.COALESCE
    again = started_attempts(policy.end_attempt(held, Outcome.RESET))[0]
    assert 0 < again.max_age < 252.0


def test_purge_of_a_group_covers_its_objects(policy: PolicyHarness) -> None:
    policy.handle(PurgeReceived(0.0, 3, 0))  # group 3, the default of the requests
    assert 0 < started_attempts(policy.request(key=4, wait=0.0))[0].max_age < 1.0
    assert started_attempts(policy.request(key=4, purge_group=2))[0].max_age == 0.0  # no limit


def test_latest_purge_counts_and_expires(policy: PolicyHarness) -> None:
    policy.handle(PurgeReceived(0.0, 0, 9))
    policy.handle(PurgeReceived(300.0, 0, 9), 100.0)
    assert started_attempts(policy.request(key=9, wait=0.0))[0].max_age < 100.1
    assert started_attempts(policy.request(key=9, wait=5000.0))[0].max_age > 0.0
    assert started_attempts(policy.request(key=9, wait=10_000.0))[0].max_age == 0.0  # no limit


def test_class_freshness_still_limits_the_age_after_a_purge() -> None:
    policy = PolicyHarness(make_settings(make_class(freshness_lifetime=1000.0, stale_lifetime=3000.0)))
    policy.handle(PurgeReceived(0.0, 0, 9))
    assert started_attempts(policy.request(key=9, wait=3000.0))[0].max_age == 1000.0


def test_purge_history_is_bounded(policy: PolicyHarness) -> None:
    for n in range(20_000):
        policy.handle(PurgeReceived(0.0, 0, n + 1), 10.0)
    assert len(policy.routing_policy.purges._purges) < 3000


def test_uncacheable_request_is_filled_from_origin_and_not_cached() -> None:
    policy = policy_with_idempotency_key()
    attempt = started_attempts(policy.request())[0]
    assert attempt.source_id == ORIGIN
    assert attempt.cache_rank == 0


def test_endpoint_list_of_only_origins_rejects_requests() -> None:
    policy = PolicyHarness(endpoints=make_endpoints()[-1:])
    assert isinstance(policy.request()[0], Reject)
