"""Which cache and which source a request goes to: rendezvous hashing, spreading and freshness."""

from __future__ import annotations

from collections import Counter

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

from edge_router.decision.messages import (
    Endpoint,
    EndpointListUpdate,
    EndpointState,
    FillResult,
    Outcome,
    UpdateKind,
)
from edge_router.decision.placement import RendezvousHash


def make_caches(count: int, weight: float = 1.0) -> list[Endpoint]:
    return [Endpoint(n + 1, 0, 0.0, EndpointState.READY, 0, 1, weight) for n in range(count)]


def test_shares_follow_the_endpoint_weights() -> None:
    listed = [*make_caches(3), Endpoint(9, 0, 0.0, EndpointState.READY, 0, 1, 3.0)]
    homes = Counter(RendezvousHash(listed, True).ranked(key)[0] for key in range(6000))
    assert abs(homes[9] / 6000 - 0.5) < 0.03
    unweighted = Counter(RendezvousHash(listed, False).ranked(key)[0] for key in range(6000))
    assert abs(unweighted[9] / 6000 - 0.25) < 0.03


def test_removed_endpoint_moves_only_its_own_objects() -> None:
    before, after = RendezvousHash(make_caches(8), True), RendezvousHash(make_caches(7), True)
    for key in range(500):
        home = before.ranked(key)[0]
        assert home == 8 or after.ranked(key)[0] == home


def test_all_routers_choose_the_same_home_and_parent() -> None:
    one, two = PolicyHarness(), PolicyHarness(make_settings(zone=2))
    two.handle(
        EndpointListUpdate(
            UpdateKind.FULL, tuple(n._replace(zone=2) if n.role == 0 else n for n in two.endpoints)
        )
    )
    for key in range(50):
        for segment in (0, 3):
            first, other = (
                started_attempts(policy.request(key=key, segment=segment))[0] for policy in (one, two)
            )
            assert (first.endpoint_id, first.source_id) == (other.endpoint_id, other.source_id)
            assert first.source_id in PARENTS


def test_segments_of_one_object_are_spread_over_the_caches_but_share_the_parent(
    policy: PolicyHarness,
) -> None:
    used = [
        started_attempts(policy.request(key=77, segment=segment, size_kb=1.0))[0] for segment in range(24)
    ]
    assert {attempt.endpoint_id for attempt in used} == set(CACHES)
    assert len({attempt.source_id for attempt in used}) == 1


def test_without_parents_fills_come_from_the_origin() -> None:
    policy = PolicyHarness(endpoints=[n for n in make_endpoints() if n.role != 1])
    assert started_attempts(policy.request())[0].source_id == ORIGIN


def test_hot_object_is_spread_and_rare_one_is_not(policy: PolicyHarness) -> None:
    used: dict[int, set[int]] = {1: set(), 2: set()}
    for n in range(600):
        key = 2 if n % 50 == 0 else 1 if n % 2 else 1000 + n % 90
        attempt = started_attempts(policy.request(key=key, size_kb=10.0))[0]
        used.get(key, set()).add(attempt.endpoint_id)
        if n % 4 == 3:
            policy.end_attempt(attempt)
    assert len(used[1]) > 1
    assert len(used[2]) == 1


def test_each_segment_of_a_hot_object_stays_at_one_cache(policy: PolicyHarness) -> None:
    used: dict[int, set[int]] = {}
    previous = started_attempts(policy.request(key=7, size_kb=10.0))[0]
    for n in range(900):
        key, segment = (7, n % 12) if n % 3 else (1000 + n, 0)
        attempt = started_attempts(policy.request(key=key, segment=segment, size_kb=10.0))[0]
        if key == 7:
            used.setdefault(segment, set()).add(attempt.endpoint_id)
        policy.end_attempt(previous, fill_result=FillResult.HIT, wait=10.0)
        previous = attempt
    assert all(len(caches) == 1 for caches in used.values())


def test_copies_are_revalidated_in_the_background_and_stale_ones_serve_only_retries() -> None:
    policy = PolicyHarness(make_settings(make_class(freshness_lifetime=1000.0, stale_lifetime=3000.0)))
    attempt = started_attempts(policy.request())[0]
    assert attempt.max_age == 1000.0
    assert attempt.fill_mode & 8  # FillMode.BACKGROUND_REFRESH
    assert started_attempts(policy.end_attempt(attempt, Outcome.RESET))[0].max_age == 4000.0
