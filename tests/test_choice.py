"""The design's ordinary path, health, crowds and bad input."""

from __future__ import annotations

import math
import subprocess
import sys
from collections import Counter
from collections.abc import Collection

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

from stonecove.choice import FRESH_FOR, HALF_LIFE, TABLE_MOST, Director, Load, Popularity, Ring
from stonecove.interface import (
    Due,
    Ended,
    Get,
    How,
    Listed,
    ListKind,
    Node,
    NodeState,
    Note,
    Outcome,
    Refuse,
    Request,
)


def busy_day(popularity: Popularity, requests: int = 3000, once: int = 7) -> None:
    """Objects asked for ever less often, and every so often one that is asked for just once."""
    for n in range(requests):
        if n % once == 0:
            popularity.note(n * 10.0, 100_000 + n, 100.0, 0)
        else:
            popularity.note(n * 10.0, (n * n) % (n % 97 + 1), 100.0, 0)


# -- popularity --


def test_the_top_set_is_kept_and_the_rest_passes() -> None:
    popularity = Popularity(40_000.0)
    busy_day(popularity)
    assert popularity.rank(0) > 0
    assert popularity.rank(100_000) == 0
    assert popularity.rank(123_456_789) == 0


def test_a_fresh_director_keeps_everything_at_the_lowest_rank() -> None:
    popularity = Popularity(40_000.0)
    busy_day(popularity, FRESH_FOR - 1)
    assert popularity.rank(0) == popularity.rank(123_456_789) == 1


def test_dense_objects_rank_higher() -> None:
    popularity = Popularity(1e9)
    for n in range(3000):
        popularity.note(float(n), n % 30, 10.0 if n % 30 < 10 else 100.0 if n % 30 < 20 else 1000.0, 0)
    assert [popularity.rank(key) for key in (5, 15, 25)] == [3, 2, 1]


def test_counts_age_with_time() -> None:
    popularity = Popularity(1000.0)
    for n in range(400):
        popularity.note(float(n), 1, 100.0, 0)
    for n in range(400):
        popularity.note(40_000.0 + n, 2 + n % 10, 100.0, 0)
    assert popularity.rank(1) == 0 and popularity.rank(11) > 0


def test_the_table_is_bounded_and_evicted_requests_still_count() -> None:
    popularity = Popularity(1e9)
    for n in range(TABLE_MOST + 5000):
        popularity.note(0.0, n, 1.0, 0)
    assert len(popularity._table) <= TABLE_MOST
    assert popularity._total == TABLE_MOST + 5000


def test_ties_are_settled_the_same_way_everywhere() -> None:
    ranks = []
    for order in (range(300), reversed(range(300))):
        popularity = Popularity(1e12)
        for key in order:
            popularity.note(0.0, key, 100.0, 0)
        ranks.append([popularity.rank(key) for key in range(300)])
    assert ranks[0] == ranks[1]


# -- hashing --


def nodes(count: int, weight: float = 1.0) -> list[Node]:
    return [Node(n + 1, 0, 0.0, NodeState.READY, 0, 1, weight) for n in range(count)]


def test_shares_follow_the_weights() -> None:
    listed = [*nodes(3), Node(9, 0, 0.0, NodeState.READY, 0, 1, 3.0)]
    homes = Counter(Ring(listed, True).order(key)[0] for key in range(6000))
    assert abs(homes[9] / 6000 - 0.5) < 0.03
    flat = Counter(Ring(listed, False).order(key)[0] for key in range(6000))
    assert abs(flat[9] / 6000 - 0.25) < 0.03


def test_a_node_that_goes_moves_only_its_own_objects() -> None:
    before, after = Ring(nodes(8), True), Ring(nodes(7), True)
    for key in range(500):
        home = before.order(key)[0]
        assert home == 8 or after.order(key)[0] == home


def test_all_directors_share_home_and_parent() -> None:
    one, two = PolicyHarness(), PolicyHarness(make_settings(zone=2))
    two.handle(Listed(ListKind.FULL, tuple(n._replace(zone=2) if n.kind == 0 else n for n in two.endpoints)))
    for key in range(50):
        for part in (0, 3):
            first, other = (started_attempts(policy.request(key=key, part=part))[0] for policy in (one, two))
            assert (first.node, first.source) == (other.node, other.source)
            assert first.source in PARENTS


def test_the_parts_of_one_object_spread_over_the_caches_but_share_the_parent(policy: PolicyHarness) -> None:
    used = [started_attempts(policy.request(key=77, part=part, size=1.0))[0] for part in range(24)]
    assert {attempt.node for attempt in used} == set(CACHES)
    assert len({attempt.source for attempt in used}) == 1


def test_without_parents_fills_come_from_the_origin() -> None:
    policy = PolicyHarness(nodes=[n for n in make_endpoints() if n.kind != 1])
    assert started_attempts(policy.request())[0].source == ORIGIN


def test_a_hot_object_is_spread_and_a_rare_one_is_not(policy: PolicyHarness) -> None:
    used: dict[int, set[int]] = {1: set(), 2: set()}
    for n in range(600):
        key = 2 if n % 50 == 0 else 1 if n % 2 else 1000 + n % 90
        attempt = started_attempts(policy.request(key=key, size=10.0))[0]
        used.get(key, set()).add(attempt.node)
        if n % 4 == 3:
            policy.end_attempt(attempt)
    assert len(used[1]) > 1 and len(used[2]) == 1


# -- health --


def test_a_dead_cache_is_left_alone_and_tried_again_sparingly(policy: PolicyHarness) -> None:
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
def test_a_cache_that_started_anew_is_not_blamed_for_what_ran_before(
    policy: PolicyHarness, form: ListKind
) -> None:
    (attempt,) = started_attempts(policy.request())
    policy.end_attempt(attempt, Outcome.CONNECT_FAILED)
    assert not policy.routing_policy._cache_health[attempt.node].usable(policy.now)
    nodes = [n._replace(started=policy.now) if n.node == attempt.node else n for n in policy.endpoints]
    policy.handle(Listed(form, tuple(nodes)))
    assert policy.routing_policy._cache_health[attempt.node].usable(policy.now)


def test_a_silent_cache_is_noticed_within_a_few_attempts(policy: PolicyHarness) -> None:
    silent = started_attempts(policy.request())[0]
    asked = [silent, *(started_attempts(policy.request())[0] for _ in range(2))]
    policy.now += 1500.0
    moved = [attempt for ask in asked for attempt in started_attempts(policy.handle(Due(ask.req)))]
    assert moved[0].node == moved[0].source == silent.node  # just the answer may have been lost
    assert moved[-1].node != silent.node
    assert started_attempts(policy.request())[0].node != silent.node


def test_a_lost_answer_is_looked_for_where_it_was_sent(policy: PolicyHarness) -> None:
    lost, other = started_attempts(policy.request(key=1))[0], started_attempts(policy.request(key=1))[0]
    policy.end_attempt(other, note=Note.HIT, wait=100.0)
    again = started_attempts(policy.handle(Due(lost.req), 500.0))
    assert [attempt.node for attempt in again] == [lost.node] and again[0].source == lost.node
    assert policy.end_attempt(again[0], Outcome.MISS, attempt_index=1) == []  # the first may still come


def test_a_crowd_gets_no_second_copies(policy: PolicyHarness) -> None:
    stuck = started_attempts(policy.request(key=1))[0]
    for _ in range(8):
        policy.end_attempt(started_attempts(policy.request(key=1))[0], note=Note.HIT, wait=300.0)
    assert started_attempts(policy.handle(Due(stuck.req))) == []


def test_a_slow_cache_that_answers_is_not_taken_for_a_silent_one(policy: PolicyHarness) -> None:
    big = started_attempts(policy.request(size=2000.0))[0]
    small = [started_attempts(policy.request())[0] for _ in range(3)]
    policy.end_attempt(small[0], wait=1000.0, note=Note.FILLED)
    for attempt in (big, *small[1:]):
        assert not started_attempts(policy.handle(Due(attempt.req), 10.0))
    assert started_attempts(policy.request(size=1.0))[0].node == big.node


def test_a_failed_source_is_not_used_again_for_the_request(policy: PolicyHarness) -> None:
    attempt = started_attempts(policy.request())[0]
    again = started_attempts(policy.end_attempt(attempt, Outcome.ERROR, note=Note.SOURCE_BROKE))[0]
    assert again.source != attempt.source
    last = started_attempts(
        policy.end_attempt(again, Outcome.ERROR, note=Note.SOURCE_BROKE, attempt_index=1)
    )[0]
    assert last.source == ORIGIN


def test_retries_are_bounded(policy: PolicyHarness) -> None:
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
                    attempt_index=len(policy.routing_policy._held[attempt[0].req].attempts) - 1,
                )
            )
    assert sent < 300 * 1.25


# -- crowds --


def test_a_crowded_cache_is_passed_over_in_hash_order(policy: PolicyHarness) -> None:
    order = policy.routing_policy._caches.order(1)
    asked = [started_attempts(policy.request(key=1, size=600.0)) for _ in range(12)]
    used = [attempt[0].node for attempt in asked if attempt]
    assert used[0] == order[0] and used[-1] != order[0]


def test_a_hot_film_is_spread_by_its_parts_and_no_part_twice(policy: PolicyHarness) -> None:
    used: dict[int, set[int]] = {}
    out = started_attempts(policy.request(key=7, size=10.0))[0]
    for n in range(900):
        key, part = (7, n % 12) if n % 3 else (1000 + n, 0)
        attempt = started_attempts(policy.request(key=key, part=part, size=10.0))[0]
        if key == 7:
            used.setdefault(part, set()).add(attempt.node)
        policy.end_attempt(out, note=Note.HIT, wait=10.0)
        out = attempt
    assert all(len(caches) == 1 for caches in used.values())


def test_what_would_come_too_late_everywhere_is_refused_at_once(policy: PolicyHarness) -> None:
    answers = [policy.request(key=n, size=600.0)[0] for n in range(200)]
    assert isinstance(answers[-1], Refuse)
    assert started_attempts(policy.request(key=900, size=1.0))


def test_with_a_crowded_link_the_home_is_only_looked_at() -> None:
    policy = PolicyHarness(make_settings(weighted=True), [n._replace(weight=100.0) for n in make_endpoints()])
    asked = [started_attempts(policy.request(key=n, size=400.0))[0] for n in range(150)]
    assert asked[0].source in PARENTS
    looks = [attempt for attempt in asked if attempt.source == attempt.node]
    assert looks and asked[-1] in looks
    missed = policy.end_attempt(asked[-1], Outcome.MISS)
    assert isinstance(missed[-1], Refuse) and not started_attempts(missed)


def test_a_link_whose_size_is_not_told_is_crowded_only_once_it_feels_slow() -> None:
    """Its location may fill as many objects at once as come fast enough."""
    settings = make_settings(weighted=True, zone_link=(0.0, 0.0, 0.0))
    policy = PolicyHarness(settings, [n._replace(weight=500.0) for n in make_endpoints()])
    out = [started_attempts(policy.request(key=key, size=400.0))[0] for key in range(12)]
    assert all(attempt.source in PARENTS for attempt in out)
    policy.routing_policy._link.felt(policy.now, 4000.0, 400.0)
    look = started_attempts(policy.request(key=99, size=400.0))[0]
    assert look.source == look.node


def test_slow_answers_from_one_cache_send_large_objects_on(policy: PolicyHarness) -> None:
    """Others crowd the cache: this director has hardly any work there itself."""
    order = policy.routing_policy._caches.order(1)
    for _ in range(4):
        attempt = started_attempts(policy.request(key=1))[0]
        assert attempt.node == order[0]
        policy.end_attempt(attempt, wait=500.0, note=Note.HIT)
    assert started_attempts(policy.request(key=1, size=600.0))[0].node == order[1]
    assert started_attempts(policy.request(key=1, size=1.0))[0].node == order[0]
    assert started_attempts(policy.request(key=1, size=600.0, wait=5000.0))[0].node == order[0]


def test_a_share_of_a_link_has_room_for_chance_until_it_is_felt() -> None:
    alone, one_of_many = Load.of(20.0, 1.0, 100.0), Load.of(20.0, 0.05, 100.0)
    assert alone.room == 0.0 and alone.carries == 20.0
    one_of_many.out = 1
    assert one_of_many.pace(0.0) == 1.0
    one_of_many.felt(0.0, 3000.0, 1000.0)
    assert one_of_many.pace(0.0) >= 2.5
    assert one_of_many.pace(9000.0) < 1.01


def test_a_pressed_origin_is_spared_for_some_and_asked_again_later(policy: PolicyHarness) -> None:
    for key in range(12):
        attempt: Get | None = started_attempts(policy.request(key=key, size=1.0))[0]
        while attempt:
            number = len(policy.routing_policy._held[attempt.req].attempts) - 1
            more = started_attempts(
                policy.end_attempt(attempt, Outcome.FULL, note=Note.ORIGIN_FAILED, attempt_index=number)
            )
            attempt = more[0] if more else None
    asked = [started_attempts(policy.request(key=key, size=1.0))[0] for key in range(100, 160)]
    spared = [attempt for attempt in asked if attempt.how & How.HELD_ONLY]
    assert len(spared) > 40
    ended = policy.end_attempt(spared[-1], Outcome.MISS, note=Note.SOURCE_LACKS)
    assert isinstance(ended[-1], Refuse) and not started_attempts(ended)
    later = [started_attempts(policy.request(key=key, size=1.0, wait=2000.0))[0] for key in range(200, 220)]
    assert not any(attempt.how & How.HELD_ONLY for attempt in later[8:])


def test_slow_fills_at_one_cache_are_blamed_on_it_and_not_on_the_link() -> None:
    policy = PolicyHarness(make_settings(weighted=True), [n._replace(weight=100.0) for n in make_endpoints()])
    slow = policy.routing_policy._caches.order(1)[0]
    for key in range(60):
        attempt = started_attempts(policy.request(key=key, size=100.0))[0]
        policy.end_attempt(attempt, wait=1500.0 if attempt.node == slow else 100.0, note=Note.FILLED)
    assert policy.routing_policy._link.slowed(policy.now) < 2.0
    assert started_attempts(policy.request(key=1, size=600.0))[0].source in PARENTS


def test_the_crowd_mark_is_lower_beside_many_directors() -> None:
    """What others add while an answer is under way is not seen."""
    alone = PolicyHarness(make_settings(zone_directors=(0, 1, 1)))
    beside = PolicyHarness(make_settings(zone_directors=(0, 40, 1), fleet=41))
    kept = []
    for policy in (alone, beside):
        for _ in range(2):
            attempt = started_attempts(policy.request(key=1, size=100.0))[0]
            policy.end_attempt(attempt, wait=215.0, note=Note.HIT)
        kept.append(started_attempts(policy.request(key=1, size=1500.0))[0].node == attempt.node)
    assert kept == [True, False]


# -- fresh time --


def test_an_ageing_copy_is_renewed_behind_and_an_old_one_serves_only_a_repeat() -> None:
    policy = PolicyHarness(make_settings(make_class(fresh=1000.0, stale=3000.0)))
    attempt = started_attempts(policy.request())[0]
    assert attempt.age == 1000.0 and attempt.how & 8
    assert started_attempts(policy.end_attempt(attempt, Outcome.RESET))[0].age == 4000.0


# -- bad input --


def test_odd_requests_are_answered(policy: PolicyHarness) -> None:
    assert policy.request(kind=9) == [Refuse(1, 0.0, "class")]
    assert len(policy.request(grace=0.0)) == 1
    assert started_attempts(policy.request(size=0.0)) and started_attempts(policy.request(part=-1, group=-4))


def test_odd_events_are_passed_over(policy: PolicyHarness) -> None:
    assert policy.handle(Ended(99, 0, 1, Outcome.OK, 1.0, True, 0, 0.0, ())) == []
    attempt = started_attempts(policy.request())[0]
    assert policy.end_attempt(attempt, attempt_index=7) == []
    assert policy.end_attempt(attempt, note=77) == []
    assert policy.end_attempt(attempt) == []
    assert policy.handle(Due(12345)) == []


def test_odd_lists_are_borne() -> None:
    policy = PolicyHarness(nodes=[])
    assert isinstance(policy.request()[0], Refuse)
    entries = make_endpoints()
    strange = [Node(77, 9, -5.0, NodeState.READY, 9, 9, 0.0), Node(78, 1, 0.0, NodeState.READY, 0, 0, 0.0)]
    policy.handle(Listed(ListKind.FULL, (*entries, *entries, *strange)))
    assert started_attempts(policy.request())[0].node in CACHES


def test_a_fleet_of_one_with_no_figures_still_works() -> None:
    settings = make_settings(
        fleet=0,
        zone_directors=(),
        zone_link=(),
        client_pace=0.0,
        warm_up=0.0,
        fall_window=0.0,
        connect_timeout=0.0,
    )
    policy = PolicyHarness(settings)
    assert started_attempts(policy.request())


def test_missing_classes_are_named() -> None:
    with pytest.raises(ValueError, match="classes"):
        Director(
            make_settings().__class__(
                **{**{f: getattr(make_settings(), f) for f in make_settings().__slots__}, "classes": ()}
            ),
            1,
        )


# -- the same everywhere --

SCRIPT = """
import sys
sys.path.insert(0, "tests")
from conftest import PolicyHarness, started_attempts, make_settings
from stonecove.interface import Due, Outcome, Purged
def play(policies):
    lines = [[] for _ in policies]
    for n in range(500):
        for place, policy in enumerate(policies):
            acts = policy.request(key=n * n % 61, wait=float(n % 7), size=float(n % 400))
            if n % 3 == 0 and started_attempts(acts):
                outcome = Outcome.RESET if n % 9 == 0 else Outcome.OK
                acts += policy.end_attempt(started_attempts(acts)[0], outcome)
            if n % 50 == 0:
                acts += policy.handle(Purged(5.0, n % 4, 0))
            acts += policy.handle(Due(max(1, policy.last_request_id - 20)), 3.0)
            lines[place].append(repr(acts))
    return lines
print(play([PolicyHarness()])[0] == play([PolicyHarness(), PolicyHarness(make_settings(joins=False))])[0])
print(play([PolicyHarness()])[0])
"""


def test_the_same_events_give_the_same_actions() -> None:
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
    assert len(outputs) == 1 and outputs.pop().startswith("True")


def test_half_life_is_a_multiple_of_the_warm_up() -> None:
    routing_policy = Director(make_settings(warm_up=20_000.0), 1)
    assert routing_policy._popularity._half_life == HALF_LIFE * 20_000.0
    assert Request(1, 0, 1, 1.0, 1.0, 0, 0).part == 0


def test_a_silent_source_is_told_from_its_caches(policy: PolicyHarness) -> None:
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


def test_what_a_link_of_untold_size_carries_is_learned_from_slow_fills() -> None:
    """It bears as many fills as came at full pace, also when nothing was felt for a while."""
    link = Load.of(0.0, 1.0, 100.0)
    link.learn(1, 3.0)
    assert link.carries == math.inf  # one alone tells of no crowd
    link.learn(30, 1.0)
    assert link.carries == math.inf
    for _ in range(40):
        link.learn(30, 3.0)
    assert link.carries == pytest.approx(10.0)
    settings = make_settings(weighted=True, zone_link=(0.0, 0.0, 0.0))
    policy = PolicyHarness(settings, [n._replace(weight=500.0) for n in make_endpoints()])
    for key in range(1, 41):
        policy.request(key=key, size=400.0)
    for key in range(1, 41):
        node, took = policy.routing_policy._held[key].attempts[0].node, 1200.0
        policy.handle(Ended(key, 0, node, Outcome.OK, took, True, Note.FILLED, 0.0, ()))
    policy.now += 60_000.0
    assert policy.routing_policy._link.slowed(policy.now) < 1.1
    out = [started_attempts(policy.request(key=key, size=400.0))[0] for key in range(100, 160)]
    assert out[0].source in PARENTS and out[-1].source == out[-1].node


def test_caches_of_untold_size_are_not_thought_crowded_by_a_router_that_starts() -> None:
    policy = PolicyHarness(make_settings(zone_link=(0.0, 0.0, 0.0)))
    out = [started_attempts(policy.request(key=key, size=400.0)) for key in range(30)]
    assert all(out)
    for gotten in out:
        policy.handle(Ended(gotten[0].req, 0, gotten[0].node, Outcome.OK, 900.0, True, Note.HIT, 0.0, ()))
    learned = policy.routing_policy._load(out[-1][0].node).carries
    assert 1.0 <= learned < math.inf


def test_a_parent_whose_size_is_not_told_stays_the_source_until_it_feels_slow() -> None:
    """Its objects meet there, whatever number of them is out at once."""
    nodes = [n._replace(weight=0.0 if n.kind == 1 else 500.0) for n in make_endpoints()]
    policy = PolicyHarness(make_settings(weighted=True, zone_link=(0.0, 0.0, 0.0)), nodes)
    for key in range(40):
        attempt = started_attempts(policy.request(key=key, size=400.0))[0]
        assert attempt.source == policy.routing_policy._parents.order(key)[0]
    policy.routing_policy._load(attempt.source).felt(policy.now, 90_000.0, 1000.0)
    assert started_attempts(policy.request(key=39, size=400.0))[0].source != attempt.source


def test_fills_from_a_crowded_parent_go_on_to_the_next_source() -> None:
    nodes = [n._replace(weight=4.0 if n.kind == 1 else 200.0) for n in make_endpoints()]
    policy = PolicyHarness(make_settings(weighted=True, zone_link=(0.0, 900_000.0, 0.0)), nodes)
    sources = [
        attempt.source for n in range(60) for attempt in started_attempts(policy.request(key=n, size=500.0))
    ]
    assert set(sources[:4]) <= set(PARENTS)
    assert set(sources[-20:]) == {ORIGIN}


# -- a long day --


def test_nothing_is_kept_of_nodes_that_left(policy: PolicyHarness) -> None:
    """Guards against memory that grows with every cache that ever was, and counts that end on a wrong one."""
    routing_policy = policy.routing_policy
    for node in range(1000, 1100):
        fresh = Node(node, 0, 0.0, NodeState.READY, 0, 1, 1.0)
        policy.handle(Listed(ListKind.DELTA, (fresh,)))
        mine = [
            attempt
            for key in range(40)
            for attempt in started_attempts(policy.request(key=key + 100 * node))
            if attempt.node == node
        ]
        assert mine
        policy.end_attempt(mine[0], Outcome.CONNECT_FAILED)
        policy.handle(Listed(ListKind.DELTA, (fresh._replace(state=NodeState.GONE),)))
        for attempt in mine[1:]:
            policy.end_attempt(attempt, Outcome.RESET)
    policy.update_endpoint(CACHES[0])  # late ends may leave a trace, until the next news
    tables: list[Collection[int]] = [
        routing_policy._loads,
        routing_policy._cache_health,
        routing_policy._source_health,
        routing_policy._cold_caches.sent,
    ]
    assert all(set(table) <= {*CACHES, *PARENTS, ORIGIN} for table in tables)
    assert min(load.out for load in routing_policy._loads.values()) >= 0


def test_copies_that_are_too_old_are_forgotten(policy: PolicyHarness) -> None:
    for key in range(2000):
        policy.end_attempt(started_attempts(policy.request(key=key, size=1.0, wait=20.0))[0])
    kept = len(policy.routing_policy._copies)
    assert 0 < kept <= policy.routing_policy._set.warm_up / 20.0 + 1
