"""Malformed input, determinism and bounded memory of the routing policy."""

from __future__ import annotations

import subprocess
import sys
from collections.abc import Collection

import pytest
from conftest import CACHES, ORIGIN, PARENTS, PolicyHarness, make_endpoints, make_settings, started_attempts

from edge_router.decision.messages import (
    AttemptEnded,
    Endpoint,
    EndpointListUpdate,
    EndpointState,
    Outcome,
    Reject,
    TimerFired,
    UpdateKind,
)
from edge_router.decision.policy import RoutingPolicy


def test_malformed_requests_are_answered(policy: PolicyHarness) -> None:
    assert policy.request(class_index=9) == [Reject(1, 0.0, "class")]
    assert len(policy.request(time_remaining=0.0)) == 1
    assert started_attempts(policy.request(size_kb=0.0))
    assert started_attempts(policy.request(segment=-1, purge_group=-4))


def test_unexpected_events_are_ignored(policy: PolicyHarness) -> None:
    assert policy.handle(AttemptEnded(99, 0, 1, Outcome.OK, 1.0, True, 0, 0.0, ())) == []
    attempt = started_attempts(policy.request())[0]
    assert policy.end_attempt(attempt, attempt_index=7) == []
    assert policy.end_attempt(attempt, fill_result=77) == []
    assert policy.end_attempt(attempt) == []
    assert policy.handle(TimerFired(12345)) == []


def test_empty_and_inconsistent_endpoint_lists_are_tolerated() -> None:
    policy = PolicyHarness(endpoints=[])
    assert isinstance(policy.request()[0], Reject)
    entries = make_endpoints()
    unusual = [
        Endpoint(77, 9, -5.0, EndpointState.READY, 9, 9, 0.0),
        Endpoint(78, 1, 0.0, EndpointState.READY, 0, 0, 0.0),
    ]
    policy.handle(EndpointListUpdate(UpdateKind.FULL, (*entries, *entries, *unusual)))
    assert started_attempts(policy.request())[0].endpoint_id in CACHES


def test_attempt_starts_without_settings_of_fleet_size_and_capacities() -> None:
    settings = make_settings(
        fleet_size=0,
        routers_by_zone=(),
        zone_link_bandwidth=(),
        client_bandwidth=0.0,
        slow_start_duration=0.0,
        overload_window=0.0,
        connect_timeout=0.0,
    )
    policy = PolicyHarness(settings)
    assert started_attempts(policy.request())


def test_missing_classes_are_named_in_the_error() -> None:
    with pytest.raises(ValueError, match="classes"):
        RoutingPolicy(
            make_settings().__class__(
                **{**{f: getattr(make_settings(), f) for f in make_settings().__slots__}, "classes": ()}
            ),
            1,
        )


SCRIPT = """
import sys
sys.path.insert(0, "tests")
from conftest import PolicyHarness, started_attempts, make_settings
from edge_router.decision.messages import Outcome, PurgeReceived, TimerFired
def run_events(policies):
    lines = [[] for _ in policies]
    for n in range(500):
        for index, policy in enumerate(policies):
            actions = policy.request(key=n * n % 61, wait=float(n % 7), size_kb=float(n % 400))
            if n % 3 == 0 and started_attempts(actions):
                outcome = Outcome.RESET if n % 9 == 0 else Outcome.OK
                actions += policy.end_attempt(started_attempts(actions)[0], outcome)
            if n % 50 == 0:
                actions += policy.handle(PurgeReceived(5.0, n % 4, 0))
            actions += policy.handle(TimerFired(max(1, policy.last_request_id - 20)), 3.0)
            lines[index].append(repr(actions))
    return lines
other = PolicyHarness(make_settings(coalesces_fills=False))
print(run_events([PolicyHarness()])[0] == run_events([PolicyHarness(), other])[0])
print(run_events([PolicyHarness()])[0])
"""


def test_same_events_give_the_same_actions() -> None:
    outputs = set()
    for seed in ("0", "1", "77"):
        done = subprocess.run(
            [sys.executable, "-c", SCRIPT],
            capture_output=True,
            text=True,
            check=True,
            env={"PYTHONHASHSEED": seed, "PYTHONPATH": "."},
        )
        outputs.add(done.stdout)
    assert len(outputs) == 1
    assert outputs.pop().startswith("True")


def test_state_of_removed_endpoints_is_dropped(policy: PolicyHarness) -> None:
    """The memory for removed endpoints is freed, and late events don't bring their state back."""
    routing_policy = policy.routing_policy
    for endpoint_id in range(1000, 1100):
        endpoint = Endpoint(endpoint_id, 0, 0.0, EndpointState.READY, 0, 1, 1.0)
        policy.handle(EndpointListUpdate(UpdateKind.DELTA, (endpoint,)))
        attempts = [
            attempt
            for key in range(40)
            for attempt in started_attempts(policy.request(key=key + 100 * endpoint_id))
            if attempt.endpoint_id == endpoint_id
        ]
        assert attempts
        policy.end_attempt(attempts[0], Outcome.CONNECT_FAILED)
        policy.handle(EndpointListUpdate(UpdateKind.DELTA, (endpoint._replace(state=EndpointState.GONE),)))
        for attempt in attempts[1:]:
            policy.end_attempt(attempt, Outcome.RESET)
    policy.update_endpoint(CACHES[0])  # late attempt ends may leave an entry until the next list update
    tables: list[Collection[int]] = [
        routing_policy.loads.by_endpoint,
        routing_policy.directory.cache_outliers,
        routing_policy.directory.source_outliers,
        routing_policy.directory.cache_budget.charges,
    ]
    assert all(set(table) <= {*CACHES, *PARENTS, ORIGIN} for table in tables)
    assert min(load.in_flight for load in routing_policy.loads.by_endpoint.values()) >= 0


def test_records_of_old_copies_are_dropped(policy: PolicyHarness) -> None:
    for key in range(2000):
        policy.end_attempt(started_attempts(policy.request(key=key, size_kb=1.0, wait=20.0))[0])
    kept = len(policy.routing_policy.copies.last_used)
    assert 0 < kept <= policy.routing_policy._settings.slow_start_duration / 20.0 + 1
