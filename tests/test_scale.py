"""Large fleets, small shares and inconsistent endpoint lists: every request still gets a final answer."""

from __future__ import annotations

import math

import pytest
from conftest import CACHES, ORIGIN, PolicyHarness, make_endpoints, make_settings, started_attempts

from edge_router.decision.messages import (
    AttemptEnded,
    Endpoint,
    EndpointListUpdate,
    EndpointState,
    Fail,
    FillResult,
    HealthCheckResult,
    Outcome,
    Reject,
    StartAttempt,
    UpdateKind,
)

READY = EndpointState.READY


def request_and_answer_each(policy: PolicyHarness, requests: int) -> list[StartAttempt]:
    """Sends requests and answers each attempt at once; each starts an attempt, is rejected or fails."""
    sent = []
    for key in range(requests):
        actions = policy.request(key=key)
        sent += started_attempts(actions)
        assert started_attempts(actions) or isinstance(actions[-1], (Reject, Fail))
        for attempt in started_attempts(actions):
            policy.end_attempt(attempt, fill_result=FillResult.HIT)
    return sent


def test_router_in_a_large_fleet_uses_only_caches_of_its_zone_and_many_sources() -> None:
    nodes = [Endpoint(n + 1, 0, 0.0, READY, n, n % 40, 1.0) for n in range(400)]
    nodes += [Endpoint(1000 + n, 1, 0.0, READY, 0, 0, 1.0) for n in range(100)]
    settings = make_settings(
        fleet_size=600, routers_by_zone=(0, *[15] * 40), zone_link_bandwidth=(0.0, *[9000.0] * 40)
    )
    sent = request_and_answer_each(
        PolicyHarness(settings, [*nodes, Endpoint(ORIGIN + 5000, 2, 0.0, READY, 0, 0, 1.0)]), 300
    )
    assert len({attempt.source_id for attempt in sent}) > 50
    # There are 40 zones; cache ids start at 1 in zone 0, so those in the router's zone 1 are 2, 42, 82, ...
    assert {attempt.endpoint_id % 40 for attempt in sent} == {2}


@pytest.mark.parametrize(
    "changes",
    [
        {"fleet_size": 10**9, "routers_by_zone": (0, 10**9, 0)},
        {"routers_by_zone": (0, 0, 0), "fleet_size": 0},
        {"zone": 77},
        {"zone": -1},
    ],
)
def test_implausible_fleet_sizes_and_zones_are_tolerated(changes: dict[str, int]) -> None:
    policy = PolicyHarness(
        make_settings(**changes), [n._replace(zone=changes.get("zone", 1)) for n in make_endpoints()]
    )
    assert request_and_answer_each(policy, 60)


def test_only_cache_of_a_zone_gets_all_attempts() -> None:
    sent = request_and_answer_each(
        PolicyHarness(endpoints=[n for n in make_endpoints() if n.endpoint_id not in CACHES[1:]]), 40
    )
    assert {attempt.endpoint_id for attempt in sent} == {CACHES[0]}


def test_all_caches_replaced_while_hundreds_of_requests_are_in_flight() -> None:
    policy = PolicyHarness(
        make_settings(max_attempts=6), [n._replace(weight=500.0) for n in make_endpoints()]
    )
    attempts = [started_attempts(policy.request(key=n, size_kb=1.0))[0] for n in range(300)]
    replacements = [Endpoint(100 + n, 0, policy.now, READY, 0, 1, 1.0) for n in range(4)]
    policy.handle(
        EndpointListUpdate(
            UpdateKind.FULL, (*replacements, *[n for n in policy.endpoints if n.endpoint_id not in CACHES])
        )
    )
    for attempt in attempts:
        actions = policy.handle(
            AttemptEnded(
                attempt.request_number, 0, attempt.endpoint_id, Outcome.RESET, 5.0, False, 0, 0.0, ()
            )
        )
        assert all(again.endpoint_id >= 100 for again in started_attempts(actions))
        assert started_attempts(actions) or isinstance(actions[-1], Reject)


def test_changing_and_implausible_weights_are_tolerated() -> None:
    policy = PolicyHarness(make_settings(endpoints_weighted=True))
    for turn, weight in enumerate((0.0, 1e-9, 4.0, 1e9, -3.0) * 4):
        policy.update_endpoint(CACHES[turn % 4], weight=weight)
        for attempt in started_attempts(policy.request(key=turn)):
            policy.end_attempt(attempt, fill_result=FillResult.HIT)


@pytest.mark.parametrize("load", [(), (0.0,), (math.nan, math.inf, -1.0, 1e30, 7.0)])
def test_load_reports_of_any_form_do_not_change_the_placement(load: tuple[float, ...]) -> None:
    policy = PolicyHarness(make_settings(load_report_fields=("busy_reqs", "x1")))
    home = started_attempts(policy.request(key=1))[0]
    policy.handle(
        AttemptEnded(
            home.request_number, 0, home.endpoint_id, Outcome.OK, 1.0, True, FillResult.HIT, 0.0, load
        )
    )
    for node in (home.endpoint_id, 999):
        assert policy.handle(HealthCheckResult(node, True, 1.0, load)) == []
    assert started_attempts(policy.request(key=1))[0].endpoint_id == home.endpoint_id
