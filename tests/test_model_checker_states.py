"""The states of the model checker: their fingerprints, how they are restored, and the set of visited ones."""

from __future__ import annotations

import pytest
from model_checker_helpers import small

from edge_router.model_checker import scope
from edge_router.model_checker.copying import DeepCopy, Pickle, Replay, StateCopier, run
from edge_router.model_checker.fingerprint import all_parts, check_fields
from edge_router.model_checker.model.router_model import RouterModel
from edge_router.model_checker.trace import model_factory
from edge_router.model_checker.visited import FingerprintSet, PlainSet


def test_the_fingerprint_knows_every_field() -> None:
    one = scope.named(scope.SMALL, "links")
    model = run(model_factory(one), ("ask 0", "decide", "up c1.0", "wait", "fire"))
    assert isinstance(model, RouterModel)
    assert check_fields(all_parts(model.state)) == []
    vars(model.state.harness.router)["_new"] = 1
    assert check_fields(all_parts(model.state)) == [
        "RequestRouter._new is not in the ledger of the fingerprint"
    ]


def test_states_are_told_apart_by_what_matters_alone() -> None:
    start = model_factory(small("clients"))
    one = run(start, ("ask 0", "ask 1", "decide", "up c1.0", "up c1.1")).encode()
    assert run(start, ("ask 0", "ask 1", "decide", "up c1.1", "up c1.0")).encode() == one
    assert run(start, ("ask 0", "ask 1", "decide", "up c1.0")).encode() != one
    assert run(start, ("ask 0", "ask 1", "decide", "up c1.0", "up c1.1", "wait")).encode() != one


@pytest.mark.parametrize("way", [Replay(model_factory(small("links"))), DeepCopy(), Pickle()])
def test_each_way_back_leads_to_the_same_state(way: StateCopier) -> None:
    start, steps = model_factory(small("links")), ("ask 0", "decide", "up c1.0", "wait", "fire", "up c1.1")
    world = run(start, steps)
    way.capture(world, steps)
    for further in (("hit c1.0 0",), ("reset c1.1", "end c1.1")):
        there = way.restore()
        for step in further:
            there.do(step)
        assert there.encode() == run(start, (*steps, *further)).encode()
    assert way.restore().encode() == world.encode()


def test_the_set_of_states_agrees_with_a_plain_one() -> None:
    np = pytest.importorskip("numpy")
    chooser, ours, plain = np.random.default_rng(7), FingerprintSet(), PlainSet()
    for size in (1, 5, 700, 3, 900, 40, 2000):
        batch = chooser.integers(0, 3000, size, dtype=np.uint64)
        assert ours.add(batch).tolist() == plain.add(batch).tolist()
        assert len(ours) == len(plain)
    assert ours.nbytes() == 8 * len(plain) < plain.nbytes()
