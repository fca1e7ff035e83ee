"""The properties hold in the small scope, every seeded fault violates one, and kept traces stay fixed."""

from __future__ import annotations

import os
from pathlib import Path

import pytest

from edge_router.model_checker import explorations, mutations, scope
from edge_router.model_checker.properties import PROPERTIES
from edge_router.model_checker.reach import HARD_CASES, HARD_STEPS
from edge_router.model_checker.trace import Trace, model_factory

TRACES = sorted((Path(__file__).parent / "traces").glob("*.json"))


def test_every_seeded_fault_is_found_and_every_property_broken_by_one() -> None:
    found = explorations.search_mutations(
        [mutation.name for mutation in mutations.MUTATIONS], min(8, os.cpu_count() or 1)
    )
    wrong = [
        (one.name, one.crash or one.found)
        for one in found
        if one.found is None or one.found.violation.property_name != one.breaks
    ]
    assert not wrong
    assert len(mutations.MUTATIONS) >= 20
    assert {one.breaks for one in found} == set(PROPERTIES)


@pytest.mark.parametrize("case", HARD_CASES)
def test_hard_cases_are_in_their_scope(case: str) -> None:
    one = scope.named(scope.SMALL, HARD_CASES[case])
    world = model_factory(one)()
    for step in HARD_STEPS[case]:
        assert step in world.enabled()
        world.do(step)
    assert len(HARD_STEPS[case]) <= one.depth
    world.settle()
    assert world.violations == []


@pytest.mark.parametrize("path", TRACES, ids=lambda path: path.stem)
def test_what_was_found_once_stays_mended(path: Path) -> None:
    trace = Trace.read(path)
    assert trace.mutation, "a kept trace names the fault that its mend took out"
    try:
        _, broken = trace.replay()
        assert trace.property_name in {violation.property_name for violation in broken}
        mended = Trace(trace.scope, trace.steps, trace.property_name, trace.detail)
        assert mended.replay()[1] == []
        assert "nothing is broken" in mended.report()
    finally:
        mutations.plant("")
