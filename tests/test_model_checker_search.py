"""The search of the model checker: reductions, processes and saved frontiers change no result."""

from __future__ import annotations

import hashlib
import pickle
from pathlib import Path

import pytest
from model_checker_helpers import explored, small, violations_of

from edge_router.model_checker import mutation_run, search
from edge_router.model_checker.expander import Entry
from edge_router.model_checker.frontier import Frontier, SavedFrontierError
from edge_router.model_checker.machine import Violation
from edge_router.model_checker.results import Found, Result
from edge_router.model_checker.trace import model_factory


@pytest.mark.parametrize(("name", "depth"), [("links", 6), ("confirm", 6), ("drain", 4), ("limits", 4)])
def test_reduction_leaves_out_no_state_and_no_verdict(name: str, depth: int) -> None:
    whole = explored(small(name, depth=depth), reduce=False, plain_set=True)
    reduced = explored(small(name, depth=depth), reduce=True)
    assert (reduced.states, reduced.depth, violations_of(reduced)) == (
        whole.states,
        whole.depth,
        violations_of(whole),
    )
    assert reduced.transitions <= whole.transitions


def test_reduction_takes_fewer_transitions_where_connections_come_up_together() -> None:
    assert (
        explored(small("clients", depth=6)).transitions
        < explored(small("clients", depth=6), reduce=False).transitions
    )


def test_breadth_depth_and_processes_agree() -> None:
    one = small("confirm", depth=6)
    alone, many = explored(one, processes=1), explored(one, processes=4)
    assert (alone.states, alone.transitions, violations_of(alone)) == (
        many.states,
        many.transitions,
        violations_of(many),
    )
    deep = search.depth_first(model_factory(one), one.depth)
    assert deep.states == alone.states
    assert not deep.found


def test_a_planted_fault_is_found_alike_by_one_process_and_by_four() -> None:
    one = small("confirm", depth=6)
    alone = explored(one, processes=1, seed="reset-told-as-never-run")
    many = explored(one, processes=4, seed="reset-told-as-never-run")
    assert violations_of(alone)
    assert violations_of(alone)[0] == violations_of(many)[0]
    assert {prop for _, prop in violations_of(alone)} == {prop for _, prop in violations_of(many)}


def test_a_frontier_is_read_wherever_its_classes_were_when_it_was_saved(tmp_path: Path) -> None:
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
def test_a_frontier_of_another_form_is_refused(tmp_path: Path, state: object) -> None:
    body = pickle.dumps(state)
    path = tmp_path / "front"
    path.write_bytes(hashlib.blake2b(body, digest_size=16).digest() + body)
    with pytest.raises(SavedFrontierError, match=r"by another version: [^\n]+$"):
        Frontier.load(path, "key")


def test_walks_hold_and_are_the_same_each_time() -> None:
    one, other = mutation_run.random_walks(5, 2, 900), mutation_run.random_walks(5, 2, 900)
    assert not one.found
    assert one.steps > 1000
    assert one.words == other.words
