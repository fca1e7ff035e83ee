"""Seeded random walks, which go beyond the bounds that can be explored exhaustively."""

from __future__ import annotations

import random
from dataclasses import dataclass, field

from edge_router.model_checker.results import SETTLE, Found, MachineFactory
from edge_router.model_checker.scope import ALL_FAULTS, NORMAL_ANSWERS

# Relative probabilities of steps, by their first word. Faults are rare, so that many other steps are taken
# between them.
WEIGHTS = {
    "ask": 6.0,
    "up": 8.0,
    "hit": 6.0,
    "filled": 6.0,
    "flush": 3.0,
    "rest": 3.0,
    "unstall": 2.0,
    "mend": 2.0,
    "relief": 2.0,
    "wait": 2.0,
    "fire": 6.0,
    "decide": 8.0,
    "end": 8.0,
    "notup": 8.0,
}
FAULT_WEIGHT = 0.12
FAULT_ANSWER_WEIGHT = 0.8  # of faulty answers and all other steps
NORMAL_WEIGHT = 1.0


@dataclass
class Walks:
    """The counts and violations of several walks."""

    walks: int = 0
    steps: int = 0
    step_counts: dict[str, int] = field(default_factory=dict)  # by the first word of the steps
    found: list[Found] = field(default_factory=list)

    def add(self, other: Walks) -> None:
        """Adds the counts and violations of other walks."""
        self.walks += other.walks
        self.steps += other.steps
        self.found += other.found
        for word, count in other.step_counts.items():
            self.step_counts[word] = self.step_counts.get(word, 0) + count


def weight(step: str) -> float:
    """Returns the relative probability of a step."""
    word = step.partition(" ")[0]
    if word in WEIGHTS:
        return WEIGHTS[word]
    if word.rstrip("0123456789") in ALL_FAULTS:
        return FAULT_WEIGHT
    return NORMAL_WEIGHT if word in NORMAL_ANSWERS else FAULT_ANSWER_WEIGHT


def walk(factory: MachineFactory, seed: int, max_steps: int, walks: Walks) -> None:
    """Walks at most `max_steps` steps, settles the machine, and adds the walk to `walks`."""
    generator = random.Random(seed)
    machine = factory()
    taken: list[str] = []
    walks.walks += 1
    while len(taken) < max_steps and not machine.violations:
        enabled = machine.enabled()
        if not enabled:
            break
        step = generator.choices(enabled, list(map(weight, enabled)))[0]
        taken.append(step)
        machine.do(step)
        word = step.partition(" ")[0]
        walks.step_counts[word] = walks.step_counts.get(word, 0) + 1
    if not machine.violations:
        taken.append(SETTLE)
        machine.settle()
    walks.steps += len(taken)
    if machine.violations:
        walks.found.append(Found(tuple(taken), machine.violations[0]))
