"""The states of the model checker: fingerprints, copies that restore a state, and the set of visited ones."""

from __future__ import annotations

import pytest
from model_checker_helpers import small_scope

from edge_router.model_checker import scope
from edge_router.model_checker.copying import DeepCopy, Pickle, Replay, StateCopier, run
from edge_router.model_checker.fingerprint import all_parts, check_fields
from edge_router.model_checker.model.router_model import RouterModel
from edge_router.model_checker.trace import model_factory
from edge_router.model_checker.visited import FingerprintSet, PlainSet


def test_the_ledger_lists_every_field() -> None:
    links = scope.named(scope.SMALL, "links")
    model = run(model_factory(links), ("ask 0", "decide", "up c1.0", "wait", "fire"))
    assert isinstance(model, RouterModel)
    assert check_fields(all_parts(model.state)) == []
    vars(model.state.harness.router)["_new"] = 1
    assert check_fields(all_parts(model.state)) == [
        "RequestRouter._new is not in the ledger of the fingerprint"
    ]


def test_encoding_ignores_the_order_of_independent_steps_but_no_difference_in_state() -> None:
    start = model_factory(small_scope("clients"))
    reference = run(start, ("ask 0", "ask 1", "decide", "up c1.0", "up c1.1")).encode()
    assert run(start, ("ask 0", "ask 1", "decide", "up c1.1", "up c1.0")).encode() == reference
    assert run(start, ("ask 0", "ask 1", "decide", "up c1.0")).encode() != reference
    assert run(start, ("ask 0", "ask 1", "decide", "up c1.0", "up c1.1", "wait")).encode() != reference


@pytest.mark.parametrize("copier", [Replay(model_factory(small_scope("links"))), DeepCopy(), Pickle()])
def test_each_copier_restores_the_same_state(copier: StateCopier) -> None:
    start, steps = (
        model_factory(small_scope("links")),
        ("ask 0", "decide", "up c1.0", "wait", "fire", "up c1.1"),
    )
    model = run(start, steps)
    copier.capture(model, steps)
    for further in (("hit c1.0 0",), ("reset c1.1", "end c1.1")):
        restored = copier.restore()
        for step in further:
            restored.do(step)
        assert restored.encode() == run(start, (*steps, *further)).encode()
    assert copier.restore().encode() == model.encode()


def test_the_fingerprint_set_agrees_with_a_plain_set() -> None:
    np = pytest.importorskip("numpy")
    random, fingerprints, plain = np.random.default_rng(7), FingerprintSet(), PlainSet()
    for size in (1, 5, 700, 3, 900, 40, 2000):
        batch = random.integers(0, 3000, size, dtype=np.uint64)
        assert fingerprints.add(batch).tolist() == plain.add(batch).tolist()
        assert len(fingerprints) == len(plain)
    assert fingerprints.nbytes() == 8 * len(plain) < plain.nbytes()
