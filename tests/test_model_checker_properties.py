"""The model checker finds every mutation, its hard cases hold, and saved traces need their mutation."""

from __future__ import annotations

import os
from pathlib import Path

import pytest

from edge_router.model_checker import explorations, mutations, scope
from edge_router.model_checker.properties import PROPERTIES
from edge_router.model_checker.reach import HARD_CASES, HARD_STEPS
from edge_router.model_checker.trace import Trace, model_factory

TRACES = sorted((Path(__file__).parent / "traces").glob("*.json"))


def test_every_mutation_is_found_and_every_property_is_violated_by_one() -> None:
    found = explorations.search_mutations(
        [mutation.name for mutation in mutations.MUTATIONS], min(8, os.cpu_count() or 1)
    )
    wrong = [
        (result.name, result.crash or result.found)
        for result in found
        if result.found is None or result.found.violation.property_name != result.breaks
    ]
    assert not wrong
    assert len(mutations.MUTATIONS) >= 20
    assert {result.breaks for result in found} == set(PROPERTIES)


@pytest.mark.parametrize("case", HARD_CASES)
def test_hard_cases_are_reachable_and_hold_in_their_scope(case: str) -> None:
    bounds = scope.named(scope.SMALL, HARD_CASES[case])
    model = model_factory(bounds)()
    for step in HARD_STEPS[case]:
        assert step in model.enabled()
        model.do(step)
    assert len(HARD_STEPS[case]) <= bounds.depth
    model.settle()
    assert model.violations == []


@pytest.mark.parametrize("path", TRACES, ids=lambda path: path.stem)
def test_saved_trace_violates_its_property_only_with_its_mutation(path: Path) -> None:
    trace = Trace.read(path)
    assert trace.mutation, "a saved trace has to name its mutation"
    try:
        _, violations = trace.replay()
        assert trace.property_name in {violation.property_name for violation in violations}
        without_mutation = Trace(trace.scope, trace.steps, trace.property_name, trace.detail)
        assert without_mutation.replay()[1] == []
        assert "no property is violated" in without_mutation.report()
    finally:
        mutations.plant("")
