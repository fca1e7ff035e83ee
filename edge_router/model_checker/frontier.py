"""The frontier of a breadth-first search, and the file from which a later run continues."""

from __future__ import annotations

import hashlib
import io
import os
import pickle
from pathlib import Path
from typing import Any

import numpy as np

from edge_router.model_checker.expander import Entry, Expansion, Successor
from edge_router.model_checker.machine import Violation
from edge_router.model_checker.results import Found, Result, Steps
from edge_router.model_checker.visited import FingerprintSet, Visited

DIGEST_SIZE = 16  # bytes of the check sum at the start of a file
SAVED_CLASSES: dict[str, type] = {cls.__name__: cls for cls in (Entry, Found, Result, Violation, frozenset)}


class SavedFrontierError(Exception):
    """A saved frontier from which the search can't continue."""


class _FrontierUnpickler(pickle.Unpickler):
    """Reads a saved frontier, and nothing but its own classes and numpy's.

    Classes are found by their names alone, so that a file stays readable when modules move.
    """

    def find_class(self, module: str, name: str) -> Any:
        if name in SAVED_CLASSES:
            return SAVED_CLASSES[name]
        if module.partition(".")[0] == "numpy":
            return super().find_class(module, name)
        raise pickle.UnpicklingError(f"{module}.{name} is unknown")


def _digest(body: bytes) -> bytes:
    return hashlib.blake2b(body, digest_size=DIGEST_SIZE).digest()


class Frontier:
    """The state of a search between two levels; all that a later run needs to continue."""

    def __init__(self, visited: Visited) -> None:
        self.visited = visited
        self.sleeping: dict[int, frozenset[str]] = {}  # by fingerprint: the steps that were not taken there
        self.entries: list[Entry] = []
        self.result = Result()

    def merge(self, level: list[Entry], expansions: list[Expansion], depth: int) -> None:
        """Takes in the expansions of a level, in the order of its entries.

        States of the last depth are not expanded further. Such a state may have been settled by several
        processes; the first that reaches it in this order always has, so the violation that is found first
        does not depend on the number of processes.
        """
        arrivals: list[tuple[Entry, Successor]] = []
        for entry, expansion in zip(level, expansions, strict=True):
            self.result.transitions += expansion.transitions
            self.result.settled += expansion.settled
            self.result.found += [Found(*violation) for violation in expansion.violations]
            arrivals += [(entry, successor) for successor in expansion.successors]
        self.entries = []
        if arrivals:
            self._merge_arrivals(arrivals, depth)

    def _merge_arrivals(self, arrivals: list[tuple[Entry, Successor]], depth: int) -> None:
        fresh = self.visited.add(
            np.fromiter((successor.fingerprint for _, successor in arrivals), np.uint64, len(arrivals))
        )
        new: dict[int, tuple[Steps, frozenset[str]]] = {}
        again: dict[int, tuple[Steps, frozenset[str]]] = {}
        for (entry, successor), is_new in zip(arrivals, fresh.tolist(), strict=True):
            state, steps = successor.fingerprint, (*entry.steps, successor.step)
            if is_new:
                new[state] = steps, successor.sleep
            elif state in new:
                new[state] = new[state][0], new[state][1] & successor.sleep
            elif (slept := self.sleeping.get(state)) and not slept <= successor.sleep:
                before = again.get(state, (steps, slept))
                again[state] = before[0], before[1] & successor.sleep
        self.result.states = len(self.visited)
        if new and len(next(iter(new.values()))[0]) >= depth:
            self.result.depth = depth
            return
        for state, (steps, sleep) in new.items():
            if sleep:
                self.sleeping[state] = sleep
            self.entries.append(Entry(steps, None, sleep))
        for state, (steps, sleep) in again.items():
            slept = self.sleeping[state]
            self.entries.append(Entry(steps, tuple(sorted(slept - sleep)), sleep))
            self.sleeping[state] = sleep

    def save(self, path: Path, key: str) -> None:
        """Writes the frontier; a crash at any moment leaves the old file or the new one."""
        runs = self.visited.runs() if isinstance(self.visited, FingerprintSet) else []
        body = pickle.dumps((key, runs, self.sleeping, self.entries, self.result))
        part = path.with_suffix(path.suffix + ".part")
        with open(part, "wb") as file:
            file.write(_digest(body) + body)
            file.flush()
            os.fsync(file.fileno())
        os.replace(part, path)

    @classmethod
    def load(cls, path: Path, key: str) -> Frontier:
        """Reads a frontier; raises SavedFrontierError if it is torn, unreadable or of another search."""
        data = path.read_bytes()
        body = data[DIGEST_SIZE:]
        if _digest(body) != data[:DIGEST_SIZE]:
            raise SavedFrontierError(f"{path} is torn: its check sum does not hold")
        try:
            found, runs, sleeping, entries, result = _FrontierUnpickler(io.BytesIO(body)).load()
        except (pickle.UnpicklingError, ImportError, AttributeError, TypeError, ValueError) as error:
            raise SavedFrontierError(f"{path} is of another version: {error}") from error
        if found != key:
            raise SavedFrontierError(f"{path} is of another exploration: {found}, not {key}")
        frontier = cls(FingerprintSet.of(runs))
        frontier.sleeping, frontier.entries, frontier.result = sleeping, entries, result
        return frontier
