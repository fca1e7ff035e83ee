"""Expands states: takes each enabled step of a state once, in this process or in a pool of workers."""

from __future__ import annotations

import gc
import multiprocessing
from collections.abc import Callable, Iterator
from typing import Any, NamedTuple

from edge_router.model_checker.copying import DeepCopy, Pickle, Replay, StateCopier
from edge_router.model_checker.fingerprint import fingerprint
from edge_router.model_checker.machine import Machine, Violation, independent
from edge_router.model_checker.results import SETTLE, MachineFactory, Steps, replay

CHUNK_SIZE = 24  # frontier entries that a worker receives at a time
GC_THRESHOLDS = (20_000, 20, 50)  # of the garbage collector, in each process that expands entries
NO_STEPS: frozenset[str] = frozenset()


class Entry(NamedTuple):
    """A state to be expanded: the steps that lead to it, and which steps to take from it."""

    steps: Steps
    todo: Steps | None = None  # steps to take; None: all that are enabled
    sleep: frozenset[str] = NO_STEPS  # the sleep set: steps that another order of steps covers


class Successor(NamedTuple):
    """The state that a step leads to."""

    step: str
    fingerprint: int
    sleep: frozenset[str]


class Expansion(NamedTuple):
    """The successors of an entry, and the violations found by its steps."""

    successors: list[Successor]
    violations: list[tuple[Steps, Violation]]
    transitions: int
    settled: int


def _copier(kind: str, factory: MachineFactory) -> StateCopier:
    if kind == "replay":
        return Replay(factory)
    return DeepCopy() if kind == "deepcopy" else Pickle()


class Expander:
    """Expands entries of one search; each process has one."""

    def __init__(self, factory: MachineFactory, depth: int, reduce: bool, copying: str) -> None:
        self._factory, self._depth, self._reduce = factory, depth, reduce
        self._copier = _copier(copying, factory)
        self._settled: set[int] = set()  # states of the last depth that this process has settled

    def expand(self, entry: Entry) -> Expansion:
        """Takes the steps that the entry lists; at the last depth, settles the states that they lead to.

        A state without enabled steps is settled itself.
        """
        machine = replay(self._factory, entry.steps)
        enabled = machine.enabled()
        if not enabled:
            machine.settle()
            return Expansion([], _first_violation(machine, (*entry.steps, SETTLE)), 0, 1)
        todo = [
            step for step in enabled if step not in entry.sleep and (entry.todo is None or step in entry.todo)
        ]
        touches = {step: machine.touches(step) for step in enabled} if self._reduce else {}
        self._copier.capture(machine, entry.steps)
        successors: list[Successor] = []
        violations: list[tuple[Steps, Violation]] = []
        done, settled = set(entry.sleep), 0
        for index, step in enumerate(todo):
            after = self._copier.restore() if index < len(todo) - 1 else machine
            after.do(step)
            steps = (*entry.steps, step)
            if after.violations:
                violations.append((steps, after.violations[0]))
            else:
                sleep = frozenset(
                    other for other in done if independent(touches.get(other), touches.get(step))
                )
                successors.append(Successor(step, fingerprint(after.encode()), sleep))
                if self._must_settle(steps, successors[-1].fingerprint):
                    settled += 1
                    after.settle()
                    violations += _first_violation(after, (*steps, SETTLE))
            done.add(step)
        return Expansion(successors, violations, len(todo), settled)

    def _must_settle(self, steps: Steps, state: int) -> bool:
        """Whether a state is of the last depth and has not been settled by this process."""
        if len(steps) < self._depth or state in self._settled:
            return False
        self._settled.add(state)
        return True


def _first_violation(machine: Machine, steps: Steps) -> list[tuple[Steps, Violation]]:
    return [(steps, violation) for violation in machine.violations[:1]]


class Setup(NamedTuple):
    """What a worker needs to know of a search; `make_factory(*args)` returns the factory of the machine."""

    make_factory: Callable[..., MachineFactory]
    args: tuple[Any, ...]
    depth: int  # maximum number of steps
    reduce: bool = True  # leave out transitions by sleep sets
    copying: str = "pickle"  # how states are restored: pickle, deepcopy or replay


_current: tuple[Setup, Expander] | None = None  # the search that this process works on


def _expand_all(job: tuple[Setup, list[Entry]]) -> list[Expansion]:
    """Expands some entries, with the expander of the previous call if the setup is equal.

    That expander remembers the states that it has settled, also from an earlier search.
    """
    global _current
    setup, entries = job
    if _current is None or _current[0] != setup:
        gc.set_threshold(*GC_THRESHOLDS)
        _current = setup, Expander(setup.make_factory(*setup.args), setup.depth, setup.reduce, setup.copying)
    return [_current[1].expand(entry) for entry in entries]


class WorkerPool:
    """The processes that expand entries, which end on exit; a pool of one process is the current process."""

    def __init__(self, processes: int = 1) -> None:
        self.processes = processes
        self._pool = multiprocessing.get_context("spawn").Pool(processes) if processes > 1 else None

    def expand(self, setup: Setup, entries: list[Entry]) -> Iterator[list[Expansion]]:
        """Yields the expansions of the entries in their order, chunk by chunk."""
        jobs = ((setup, chunk) for chunk in _chunks(entries))
        return self._pool.imap(_expand_all, jobs) if self._pool else map(_expand_all, jobs)

    def __enter__(self) -> WorkerPool:
        return self

    def __exit__(self, *error: object) -> None:
        if self._pool:
            self._pool.terminate()
            self._pool.join()


def _chunks(entries: list[Entry]) -> Iterator[list[Entry]]:
    for start in range(0, len(entries), CHUNK_SIZE):
        yield entries[start : start + CHUNK_SIZE]
