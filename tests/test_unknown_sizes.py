"""Slow start where clients do not state the sizes of objects."""

from __future__ import annotations

import math
from typing import Any

import pytest
from conftest import PARENTS, PolicyHarness, make_class, make_endpoints, make_settings, started_attempts

from edge_router.decision.class_work import ClassWork
from edge_router.decision.messages import AttemptEnded, FillResult, Outcome, StartAttempt

TRANSFERS = 4.0  # that each endpoint sustains at once
SENDING_TIME = 100.0  # ms of each response
OFFERED_INTERVAL = 2.0  # ms between two requests


def make_policy(**settings: Any) -> PolicyHarness:
    """Returns a policy of the only router, with endpoints that all sustain `TRANSFERS`."""
    alone = make_settings(
        endpoints_weighted=True, fleet_size=1, routers_by_zone=(0, 1, 0), coalesces_fills=False, **settings
    )
    return PolicyHarness(alone, [each._replace(weight=TRANSFERS) for each in make_endpoints()])


def end(policy: PolicyHarness, attempt: StartAttempt, duration: float, **changes: Any) -> None:
    number, cache_id = attempt.request_number, attempt.endpoint_id
    ended = AttemptEnded(number, 0, cache_id, Outcome.OK, duration, True, FillResult.FILLED, 0.0, ())
    policy.handle(ended._replace(**changes))


def answer_requests(
    policy: PolicyHarness, count: int, size_kb: float = 0.0, duration: float = SENDING_TIME, **changes: Any
) -> None:
    """Has requests answered one after the other."""
    for key in range(count):
        attempt = started_attempts(policy.request(key=key, size_kb=size_kb))[0]
        policy.now += duration
        end(policy, attempt, duration, **changes)


def allowed(settings_factor: float, initial_capacity: float, window: float) -> float:
    """Returns how many requests a cold endpoint bears in one window, as STANDING.md states it."""
    mean_requests = settings_factor * initial_capacity * TRANSFERS * window / SENDING_TIME
    factor = 3.0 if mean_requests < 30 else 2.0
    return mean_requests + factor * math.sqrt(mean_requests) + factor


def requests_in_one_window(policy: PolicyHarness, cold: frozenset[int], size_kb: float) -> int:
    """Returns how many attempts reach a cold cache or fill from a cold parent within one window.

    The requests are many more than that; each is answered after `SENDING_TIME`.
    """
    count, window = 0, policy.routing_policy._settings.overload_window
    open_attempts: list[tuple[float, StartAttempt]] = []
    for key in range(round(window / OFFERED_INTERVAL)):
        for attempt in started_attempts(
            policy.request(key=10_000 + key, size_kb=size_kb, wait=OFFERED_INTERVAL)
        ):
            count += bool(cold & {attempt.endpoint_id, attempt.source_id})
            open_attempts.append((policy.now + SENDING_TIME, attempt))
        while open_attempts and open_attempts[0][0] <= policy.now:
            end(policy, open_attempts.pop(0)[1], SENDING_TIME)
    return count


def restart(policy: PolicyHarness, endpoint_ids: tuple[int, ...]) -> frozenset[int]:
    """Restarts these endpoints, which are cold then."""
    for endpoint_id in endpoint_ids:
        policy.update_endpoint(endpoint_id, started_at=policy.now)
    return frozenset(endpoint_ids)


# Guards against a cold cache that gets all requests and falls, as unknown sizes count as no work.
@pytest.mark.parametrize("answered_before", [0, 1, 200])
@pytest.mark.parametrize("bandwidth", [1000.0, 0.0])
def test_cold_cache_gets_no_more_than_it_bears_without_stated_sizes(
    answered_before: int, bandwidth: float
) -> None:
    policy = make_policy(client_bandwidth=bandwidth)
    answer_requests(policy, answered_before)
    settings = policy.routing_policy._settings
    cold = restart(policy, tuple(policy.routing_policy.directory.caches.endpoints))
    # All caches are cold, and each may take as much.
    bound = allowed(settings.overload_factor, settings.slow_start_initial_capacity, settings.overload_window)
    count = requests_in_one_window(policy, cold, 0.0)
    assert 0 < count <= len(cold) * bound


# Guards against a cold parent that gets all fills and falls, as unknown sizes count as no work.
def test_cold_parent_gets_no_more_fills_than_it_bears_without_stated_sizes() -> None:
    policy = make_policy()
    answer_requests(policy, 200)
    settings, cold = policy.routing_policy._settings, restart(policy, PARENTS)
    bound = allowed(
        settings.parent_overload_factor, settings.parent_slow_start_initial_capacity, settings.overload_window
    )
    assert 0 < requests_in_one_window(policy, cold, 0.0) <= len(cold) * bound


# Guards against requests without a stated size that count as no work in the mean of their class.
def test_mean_work_of_a_class_is_not_lowered_by_requests_of_unknown_size() -> None:
    work = ClassWork(700.0)
    for _ in range(50):
        work.record_request(SENDING_TIME)
    assert work.mean() == SENDING_TIME  # as before, where all sizes are stated
    for _ in range(500):
        work.record_request(0.0)
        work.record_transfer(SENDING_TIME)
    assert SENDING_TIME <= work.mean() < 1.1 * SENDING_TIME


# Guards against a mean work near 0 where most responses only confirm the copy of the client.
def test_confirmed_copies_do_not_lower_the_mean_work() -> None:
    policy = make_policy()
    answer_requests(policy, 50)
    before = policy.routing_policy.class_work[0].mean()
    answer_requests(policy, 50, duration=1.0, body_received=False)
    assert policy.routing_policy.class_work[0].mean() == before


# Guards against requests of stated size that are rejected, as transfers of unknown work make links look slow.
def test_transfers_of_unknown_size_do_not_make_a_link_look_slow() -> None:
    policy = make_policy()
    answer_requests(policy, 50, fill_result=FillResult.HIT)
    loads = policy.routing_policy.loads
    assert all(load.slowdown(policy.now) == 1.0 for load in loads.by_endpoint.values())


# Guards against a class whose requests are all rejected before the first response shows its work.
def test_warm_caches_take_requests_of_unknown_size_from_the_start() -> None:
    policy = make_policy(classes=(make_class(latency_objective=100_000.0),))
    assert all(started_attempts(policy.request(key=key, size_kb=0.0)) for key in range(50))
