"""Expands states: takes each step of a state once, in this process or in a pool of workers."""

from __future__ import annotations

import gc
import multiprocessing
from collections.abc import Callable, Iterator
from typing import Any, NamedTuple

from edge_router.model_checker.copying import DeepCopy, Pickle, Replay, StateCopier
from edge_router.model_checker.fingerprint import fingerprint
from edge_router.model_checker.machine import Machine, Violation, independent
from edge_router.model_checker.results import SETTLE, MachineFactory, Steps, replay

CHUNK = 24  # frontier entries that a worker is given at a time
GC_THRESHOLDS = (20_000, 20, 50)
NO_STEPS: frozenset[str] = frozenset()


class Entry(NamedTuple):
    """A state to be expanded: the steps that lead to it, and which of its own steps to take."""

    steps: Steps
    todo: Steps | None = None  # None: all that are enabled
    sleep: frozenset[str] = NO_STEPS  # steps that need not be taken, since another order covers them


class Successor(NamedTuple):
    """The state that a step led to."""

    step: str
    fingerprint: int
    sleep: frozenset[str]


class Expansion(NamedTuple):
    """The successors of an entry, and the violations found on the way."""

    successors: list[Successor]
    violations: list[tuple[Steps, Violation]]
    transitions: int
    settled: int


def _copier(kind: str, factory: MachineFactory) -> StateCopier:
    if kind == "replay":
        return Replay(factory)
    return DeepCopy() if kind == "deepcopy" else Pickle()


class Expander:
    """Expands entries; each process has one."""

    def __init__(self, factory: MachineFactory, depth: int, reduce: bool, copying: str) -> None:
        self._factory, self._depth, self._reduce = factory, depth, reduce
        self._copier = _copier(copying, factory)
        self._settled: set[int] = set()  # states of the last depth that this process has settled

    def expand(self, entry: Entry) -> Expansion:
        """Takes the steps that the entry asks for; at the last depth, settles what they lead to."""
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
        for place, step in enumerate(todo):
            after = self._copier.restore() if place < len(todo) - 1 else machine
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
        """Whether a state is of the last depth, and was not settled by this process before."""
        if len(steps) < self._depth or state in self._settled:
            return False
        self._settled.add(state)
        return True


def _first_violation(machine: Machine, steps: Steps) -> list[tuple[Steps, Violation]]:
    return [(steps, violation) for violation in machine.violations[:1]]


class Setup(NamedTuple):
    """What a worker has to know of a search. `make(*args)` gives the factory of the machine."""

    make: Callable[..., MachineFactory]
    args: tuple[Any, ...]
    depth: int
    reduce: bool = True
    copying: str = "pickle"


_current: tuple[Setup, Expander] | None = None  # the search that this process works on


def _expand_all(job: tuple[Setup, list[Entry]]) -> list[Expansion]:
    """Expands some entries; the expander is kept for as long as the search is the same."""
    global _current
    setup, entries = job
    if _current is None or _current[0] != setup:
        gc.set_threshold(*GC_THRESHOLDS)
        _current = setup, Expander(setup.make(*setup.args), setup.depth, setup.reduce, setup.copying)
    return [_current[1].expand(entry) for entry in entries]


class WorkerPool:
    """The processes that expand entries; one process means this one. Ends the processes on exit."""

    def __init__(self, processes: int = 1) -> None:
        self.processes = processes
        self._pool = multiprocessing.get_context("spawn").Pool(processes) if processes > 1 else None

    def expand(self, setup: Setup, entries: list[Entry]) -> Iterator[list[Expansion]]:
        """The expansions of the entries, in their order, by chunks."""
        jobs = ((setup, chunk) for chunk in _chunks(entries))
        return self._pool.imap(_expand_all, jobs) if self._pool else map(_expand_all, jobs)

    def __enter__(self) -> WorkerPool:
        return self

    def __exit__(self, *error: object) -> None:
        if self._pool:
            self._pool.terminate()
            self._pool.join()


def _chunks(entries: list[Entry]) -> Iterator[list[Entry]]:
    for start in range(0, len(entries), CHUNK):
        yield entries[start : start + CHUNK]
