"""Sleep sets, the number of processes and saved frontiers do not change the results of a search."""

from __future__ import annotations

import hashlib
import pickle
from pathlib import Path

import pytest
from model_checker_helpers import explore_scope, small_scope, violations_of

from edge_router.model_checker import explorations, search
from edge_router.model_checker.expander import Entry
from edge_router.model_checker.frontier import Frontier, SavedFrontierError
from edge_router.model_checker.machine import Violation
from edge_router.model_checker.results import Found, Result
from edge_router.model_checker.trace import model_factory


@pytest.mark.parametrize(("name", "depth"), [("links", 6), ("confirm", 6), ("drain", 4), ("limits", 4)])
def test_sleep_sets_leave_out_no_state_and_no_violation(name: str, depth: int) -> None:
    unreduced = explore_scope(small_scope(name, depth=depth), reduce=False, plain_set=True)
    reduced = explore_scope(small_scope(name, depth=depth), reduce=True)
    assert (reduced.states, reduced.depth, violations_of(reduced)) == (
        unreduced.states,
        unreduced.depth,
        violations_of(unreduced),
    )
    assert reduced.transitions <= unreduced.transitions


def test_sleep_sets_save_transitions_where_connections_are_established_together() -> None:
    assert (
        explore_scope(small_scope("clients", depth=6)).transitions
        < explore_scope(small_scope("clients", depth=6), reduce=False).transitions
    )


def test_search_order_and_number_of_processes_do_not_change_the_states() -> None:
    bounds = small_scope("confirm", depth=6)
    single, parallel = explore_scope(bounds, processes=1), explore_scope(bounds, processes=4)
    assert (single.states, single.transitions, violations_of(single)) == (
        parallel.states,
        parallel.transitions,
        violations_of(parallel),
    )
    deep = search.depth_first(model_factory(bounds), bounds.depth)
    assert deep.states == single.states
    assert not deep.found


def test_mutation_gives_the_same_violations_with_one_process_and_with_four() -> None:
    bounds = small_scope("confirm", depth=6)
    single = explore_scope(bounds, processes=1, mutation="reset-told-as-never-run")
    parallel = explore_scope(bounds, processes=4, mutation="reset-told-as-never-run")
    assert violations_of(single)
    assert violations_of(single)[0] == violations_of(parallel)[0]
    assert {prop for _, prop in violations_of(single)} == {prop for _, prop in violations_of(parallel)}


def test_frontier_saved_before_its_classes_moved_is_read(tmp_path: Path) -> None:
    entry, result = Entry(("ask 0",), ("decide",), frozenset({"wait"})), Result(states=2)
    violation = Found(("ask 0",), Violation("one-answer", "two"))
    result.found.append(violation)
    body = pickle.dumps(("key", [], {7: frozenset({"wait"})}, [entry], result), protocol=2)
    for cls in (Entry, Result, Violation):
        assert cls.__module__.encode() in body
        body = body.replace(cls.__module__.encode(), b"an.older.place")
    path = tmp_path / "front"
    path.write_bytes(hashlib.blake2b(body, digest_size=16).digest() + body)
    read = Frontier.load(path, "key")
    assert (read.entries, read.sleep_sets, read.result) == ([entry], {7: frozenset({"wait"})}, result)
    with pytest.raises(SavedFrontierError, match="of another exploration: key, not other"):
        Frontier.load(path, "other")


@pytest.mark.parametrize("state", [("key", [], {}, [Path("x")], None), ("key", []), 3])
def test_frontier_of_another_form_is_rejected(tmp_path: Path, state: object) -> None:
    body = pickle.dumps(state)
    path = tmp_path / "front"
    path.write_bytes(hashlib.blake2b(body, digest_size=16).digest() + body)
    with pytest.raises(SavedFrontierError, match=r"by another version: [^\n]+$"):
        Frontier.load(path, "key")


def test_random_walks_find_no_violation_and_are_reproducible() -> None:
    first, second = explorations.random_walks(5, 2, 900), explorations.random_walks(5, 2, 900)
    assert not first.found
    assert first.steps > 1000
    assert first.step_counts == second.step_counts
