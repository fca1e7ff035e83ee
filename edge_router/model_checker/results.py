"""The results of a search: violations with the steps that lead to them, and counts."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import NamedTuple

from edge_router.model_checker.machine import Machine, Violation

Steps = tuple[str, ...]
MachineFactory = Callable[[], Machine]
SETTLE = "settle"  # the last step of a trace whose violation appears only when the machine has settled


class Found(NamedTuple):
    """A violation, and the steps that lead to it."""

    steps: Steps
    violation: Violation


@dataclass
class Result:
    """The counts and violations of one or more searches."""

    states: int = 0
    transitions: int = 0
    depth: int = 0  # the largest number of steps to a state; a depth-first search counts only expanded states
    settled: int = 0  # states that were settled: those of the last depth, once per process, and dead ends
    seconds: float = 0.0
    bytes_visited: int = 0  # memory of the set of visited states
    complete: bool = True  # false if the search ran out of time
    found: list[Found] = field(default_factory=list)

    def add(self, other: Result) -> None:
        """Adds the result of another search."""
        self.states += other.states
        self.transitions += other.transitions
        self.settled += other.settled
        self.seconds += other.seconds
        self.depth = max(self.depth, other.depth)
        self.bytes_visited += other.bytes_visited
        self.complete &= other.complete
        self.found += other.found


def replay(factory: MachineFactory, steps: Steps) -> Machine:
    """A new machine after these steps, of which the last may be `SETTLE`."""
    machine = factory()
    for step in steps:
        if step == SETTLE:
            machine.settle()
        else:
            machine.do(step)
    return machine
