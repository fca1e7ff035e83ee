"""Functions that the tests of the model checker share."""

from __future__ import annotations

import subprocess
import sys

from edge_router.model_checker import explorations, mutations, scope
from edge_router.model_checker.expander import WorkerPool
from edge_router.model_checker.results import Result
from edge_router.model_checker.search import Options


def run_command(*arguments: str, limit: float = 3000.0) -> subprocess.CompletedProcess[str]:
    """Runs `python -m edge_router` with these arguments, for at most `limit` seconds."""
    return subprocess.run(
        [sys.executable, "-m", "edge_router", *arguments],
        capture_output=True,
        text=True,
        timeout=limit,
        check=False,
    )


def small_scope(name: str, **bounds: object) -> scope.Scope:
    """Returns one of the small scopes, with other bounds."""
    return scope.named(scope.SMALL, name).with_bounds(**bounds)


def explore_scope(bounds: scope.Scope, processes: int = 4, mutation: str = "", **options: object) -> Result:
    """Explores a scope, with a mutation applied if one is named."""
    with WorkerPool(processes) as workers:
        result = explorations.explore(bounds, workers, Options(**options), mutation)  # type: ignore[arg-type]
    mutations.plant("")
    return result


def violations_of(result: Result) -> list[tuple[tuple[str, ...], str]]:
    """Returns the steps and the property of each violation."""
    return [(found.steps, found.violation.property_name) for found in result.found]
