"""Seeded random walks, beyond the bounds of what can be explored exhaustively."""

from __future__ import annotations

import random
from dataclasses import dataclass, field

from edge_router.model_checker.results import SETTLE, Found, MachineFactory
from edge_router.model_checker.scope import ALL_FAULTS, NORMAL_ANSWERS

# How likely a step is to be taken, by its first word; faults are rare, so that much happens between them.
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
ANSWER_WEIGHT = 0.8  # of answers that are faults
NORMAL_WEIGHT = 1.0


@dataclass
class Walks:
    """The counts and violations of several walks."""

    walks: int = 0
    steps: int = 0
    words: dict[str, int] = field(default_factory=dict)  # by the first word of a step: how often it was taken
    found: list[Found] = field(default_factory=list)

    def add(self, other: Walks) -> None:
        """Adds other walks."""
        self.walks += other.walks
        self.steps += other.steps
        self.found += other.found
        for word, times in other.words.items():
            self.words[word] = self.words.get(word, 0) + times


def weight(step: str) -> float:
    """How likely a step is, relative to the others."""
    word = step.partition(" ")[0]
    if word in WEIGHTS:
        return WEIGHTS[word]
    if word.rstrip("0123456789") in ALL_FAULTS:
        return FAULT_WEIGHT
    return NORMAL_WEIGHT if word in NORMAL_ANSWERS else ANSWER_WEIGHT


def walk(factory: MachineFactory, seed: int, most_steps: int, walks: Walks) -> None:
    """Adds one walk of at most so many steps, after which the machine settles."""
    chooser = random.Random(seed)
    machine = factory()
    taken: list[str] = []
    walks.walks += 1
    while len(taken) < most_steps and not machine.violations:
        enabled = machine.enabled()
        if not enabled:
            break
        step = chooser.choices(enabled, list(map(weight, enabled)))[0]
        taken.append(step)
        machine.do(step)
        word = step.partition(" ")[0]
        walks.words[word] = walks.words.get(word, 0) + 1
    if not machine.violations:
        taken.append(SETTLE)
        machine.settle()
    walks.steps += len(taken)
    if machine.violations:
        walks.found.append(Found(tuple(taken), machine.violations[0]))
