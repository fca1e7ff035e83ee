"""The order in which states are explored: breadth first with one or more processes, or depth first with one.

The breadth-first search splits each level into chunks and merges their expansions in the order in which one
process would have found them, so that states, transitions and traces are the same for any number of
processes. An entry of the frontier has the steps that lead to a state, the steps to take from it, and its
sleep set. A worker replays the steps once, and copies the state for each further step.

Sleep sets (Godefroid, "Partial-Order Methods", 1996, chapter 5) avoid taking independent steps in several
orders where each order leads to the same state. They leave out no state; the tests check this by searching
with and without them.
"""

from __future__ import annotations

import time
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path

import numpy as np

from edge_router.model_checker.expander import Entry, Expander, Expansion, Setup, WorkerPool
from edge_router.model_checker.fingerprint import fingerprint
from edge_router.model_checker.frontier import Frontier
from edge_router.model_checker.results import Found, MachineFactory, Result
from edge_router.model_checker.visited import FingerprintSet, PlainSet

Progress = Callable[[Result, int], None]  # called after each level with the number of entries of the next


@dataclass(frozen=True)
class Options:
    """The options of a breadth-first search."""

    reduce: bool = True  # leave out transitions by sleep sets
    copying: str = "pickle"  # how states are restored: pickle, deepcopy or replay
    plain_set: bool = False  # store the visited states in a Python set
    stop_at_first: bool = False  # end after the first level with a violation
    max_seconds: float = float("inf")
    save: Path | None = None  # the file to save the frontier in, and to continue from
    save_every: float = 20.0  # seconds between two saved frontiers


class _BreadthFirst:
    """A breadth-first search in progress."""

    def __init__(self, workers: WorkerPool, setup: Setup, options: Options, key: str) -> None:
        self._workers, self._setup, self._options, self._key = workers, setup, options, key
        self._began = self._saved_at = time.monotonic()
        self._frontier = self._first_frontier()
        self._seconds_before = self._frontier.result.seconds  # of the runs that this one continues

    def _first_frontier(self) -> Frontier:
        save = self._options.save
        if save is not None and save.exists():
            return Frontier.load(save, self._key)
        factory = self._setup.make_factory(*self._setup.args)
        frontier = Frontier(PlainSet() if self._options.plain_set else FingerprintSet())
        frontier.visited.add(np.array([fingerprint(factory().encode())], np.uint64))
        frontier.entries = [Entry(())]
        frontier.result.states = 1
        return frontier

    def run(self, progress: Progress | None) -> Result:
        """Explores level by level, until no entry is left or the options end the search."""
        frontier, result = self._frontier, self._frontier.result
        while frontier.entries:
            level = frontier.entries
            expansions = self._expand(level)
            self._count_seconds()
            if len(expansions) < len(level):
                result.complete = False
                frontier.merge(level[: len(expansions)], expansions, self._setup.depth)
                break
            result.depth = max(result.depth, max(len(entry.steps) for entry in level))
            frontier.merge(level, expansions, self._setup.depth)
            result.bytes_visited = frontier.visited.nbytes()
            if progress:
                progress(result, len(frontier.entries))
            if time.monotonic() - self._saved_at >= self._options.save_every:
                self._save()
            if self._options.stop_at_first and result.found:
                break
        self._count_seconds()
        if result.complete:  # the saved frontier is empty unless `stop_at_first` ended the search
            self._save()
        return result

    def _expand(self, level: list[Entry]) -> list[Expansion]:
        """The expansions of a level; fewer than its entries if the time limit is reached."""
        expansions: list[Expansion] = []
        for chunk in self._workers.expand(self._setup, level):
            expansions += chunk
            if time.monotonic() - self._began > self._options.max_seconds:
                break
        return expansions

    def _count_seconds(self) -> None:
        self._frontier.result.seconds = self._seconds_before + time.monotonic() - self._began

    def _save(self) -> None:
        if self._options.save is not None:
            self._frontier.save(self._options.save, self._key)
            self._saved_at = time.monotonic()


def breadth_first(
    workers: WorkerPool, setup: Setup, options: Options, key: str = "", progress: Progress | None = None
) -> Result:
    """Explores all states within the depth of the setup.

    `setup.make_factory` is called in each process, so that a mutation that it plants in the loaded code takes
    effect there, too. `key` identifies the search in a saved frontier. Raises SavedFrontierError if the saved
    frontier can't be continued.
    """
    return _BreadthFirst(workers, setup, options, key).run(progress)


def depth_first(
    factory: MachineFactory, depth: int, copying: str = "pickle", stop_at_first: bool = False
) -> Result:
    """Explores the same states depth first; a state that is reached by fewer steps is expanded again."""
    began = time.monotonic()
    result = Result()
    expander = Expander(factory, depth, False, copying)
    shortest = {fingerprint(factory().encode()): 0}  # by state: the fewest steps found to lead to it
    stack = [Entry(())]
    while stack and not (stop_at_first and result.found):
        entry = stack.pop()
        expansion = expander.expand(entry)
        result.transitions += expansion.transitions
        result.settled += expansion.settled
        result.found += [Found(*violation) for violation in expansion.violations]
        result.depth = max(result.depth, len(entry.steps))
        length = len(entry.steps) + 1
        for successor in reversed(expansion.successors):
            if shortest.get(successor.fingerprint, depth + 1) > length:
                shortest[successor.fingerprint] = length
                if length < depth:
                    stack.append(Entry((*entry.steps, successor.step)))
    result.states = len(shortest)
    result.seconds = time.monotonic() - began
    return result
