"""Measures the model checker's techniques, each against its simpler alternative in the same run.

    python -m benchmarks.explore [--short]

Compared are three ways to restore a state, two sets of visited states, searches with and without sleep sets,
and numbers of worker processes. A full run also measures the time to find each mutation.
"""

from __future__ import annotations

import os
import sys
import time
from statistics import median

import numpy as np

from edge_router.model_checker import explorations, mutations, search
from edge_router.model_checker.copying import DeepCopy, Pickle, Replay, StateCopier, run
from edge_router.model_checker.expander import WorkerPool
from edge_router.model_checker.results import Result
from edge_router.model_checker.scope import SMALL, named
from edge_router.model_checker.search import Options
from edge_router.model_checker.trace import model_factory
from edge_router.model_checker.visited import FingerprintSet, PlainSet, Visited

# By scope: the depth of a short and of a full run, in steps.
DEPTHS = {"links": (6, 8), "clients": (6, 7), "drain": (5, 7), "confirm": (7, 9)}


def _explore(name: str, depth: int, processes: int = 1, **options: object) -> Result:
    with WorkerPool(processes) as workers:
        # Starts the worker processes, so that their start is not measured.
        explorations.explore(named(SMALL, name).with_bounds(depth=2), workers, Options())
        return explorations.explore(named(SMALL, name).with_bounds(depth=depth), workers, Options(**options))  # type: ignore[arg-type]


def _rates(result: Result) -> str:
    return (
        f"{result.states:7} states {result.transitions:7} transitions {result.seconds:6.2f} s "
        f"{result.states / result.seconds:6.0f} states/s "
        f"{result.transitions / result.seconds:6.0f} transitions/s"
    )


def measure_restoring() -> dict[str, float]:
    """Returns the microseconds to restore a state, by technique and number of steps."""
    figures = {}
    start = model_factory(named(SMALL, "links"))
    for steps in (("ask 0",), ("ask 0", "decide", "up c1.0", "wait", "fire", "up c1.1")):
        copiers: dict[str, StateCopier] = {
            "replay": Replay(start),
            "deepcopy": DeepCopy(),
            "pickle": Pickle(),
        }
        for name, copier in copiers.items():
            copier.capture(run(start, steps), steps)
            times = []
            for _ in range(60):
                started_at = time.perf_counter()
                copier.restore()
                times.append(time.perf_counter() - started_at)
            figures[f"{name}_{len(steps)}_us"] = median(times) * 1e6
            print(
                f"  restored by {name:8} after {len(steps)} steps: "
                f"{figures[f'{name}_{len(steps)}_us']:7.0f} us"
            )
    return figures


def measure_visited_sets(count: int) -> dict[str, float]:
    """Returns bytes and microseconds per state of both sets of visited states, for `count` states.

    States are added in batches. After each, half of the batch before is added again, since a search also
    reaches states that it has visited.
    """
    figures = {}
    generator = np.random.default_rng(7)
    fingerprints = generator.integers(0, 1 << 63, count, dtype=np.uint64)
    # The label "runs" stands for the sorted runs of fingerprints in a `FingerprintSet`.
    for name, empty_set in (("runs", FingerprintSet()), ("set", PlainSet())):
        visited: Visited = empty_set
        started_at = time.perf_counter()
        for start in range(0, count, 20_000):
            visited.add(fingerprints[start : start + 20_000])
            visited.add(fingerprints[max(0, start - 10_000) : start])
        seconds = time.perf_counter() - started_at
        figures[f"{name}_bytes"] = visited.nbytes() / len(visited)
        figures[f"{name}_us"] = seconds / count * 1e6
        print(
            f"  {name:5} {visited.nbytes() / len(visited):6.1f} bytes per state, "
            f"{seconds / count * 1e6:5.2f} us per state"
        )
    return figures


def main() -> None:
    """Runs all measurements, and prints one line of figures at the end."""
    short = "--short" in sys.argv[1:]
    depth_index = 0 if short else 1
    print("Restoring a state:")
    figures = measure_restoring()
    print("Sets of visited states:")
    figures |= measure_visited_sets(100_000 if short else 1_000_000)
    print("Sleep sets off and on; for links also a plain set, replay, depth-first search; in one process:")
    savings = []
    for name in ("clients", "links") if short else DEPTHS:
        depth = DEPTHS[name][depth_index]
        off, on = _explore(name, depth, reduce=False), _explore(name, depth, reduce=True)
        savings.append(1 - on.transitions / off.transitions)
        print(
            f"  {name:8} off    {_rates(off)}\n  {name:8} on     {_rates(on)}  "
            f"{savings[-1] * 100:.1f} % fewer transitions, the same states: {off.states == on.states}"
        )
        if name == "links":
            print(f"  {name:8} set    {_rates(_explore(name, depth, plain_set=True))}")
            replayed = _explore(name, depth, copying="replay")
            print(f"  {name:8} replay {_rates(replayed)}")
            figures["pickle_over_replay"] = replayed.seconds / on.seconds
            figures["states_per_s"] = on.states / on.seconds
            depth_first = search.depth_first(model_factory(named(SMALL, name)), depth)
            print(f"  {name:8} depth  {_rates(depth_first)}")
    figures["sleep_saved_percent"] = 100 * sum(savings) / len(savings)
    print("Worker processes:")
    one_process_seconds = 0.0
    for processes in (1, 8) if short else (1, 2, 4, 8):
        if processes > (os.cpu_count() or 1):
            break
        result = _explore("drain", DEPTHS["drain"][depth_index], processes)
        one_process_seconds = one_process_seconds or result.seconds
        figures[f"speedup_{processes}"] = one_process_seconds / result.seconds
        print(
            f"  {processes} processes {_rates(result)}  "
            f"{one_process_seconds / result.seconds:.2f} times as fast"
        )
    if not short:
        print("Time to find each mutation, in one process each:")
        for mutation_result in explorations.search_mutations(
            [mutation.name for mutation in mutations.MUTATIONS], min(8, os.cpu_count() or 1)
        ):
            print(
                f"  {mutation_result.name:32} {mutation_result.seconds:6.2f} s "
                f"{mutation_result.states:6} states "
                f"{len(mutation_result.found.steps) if mutation_result.found else 0:3} steps"
            )
    print(" ".join(f"{name}={value:.4g}" for name, value in figures.items()))


if __name__ == "__main__":
    main()
