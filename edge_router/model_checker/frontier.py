"""The frontier of a breadth-first search, and the file that a later run continues from."""

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

DIGEST_SIZE = 16  # bytes of the checksum at the start of a file
SAVED_CLASSES: dict[str, type] = {cls.__name__: cls for cls in (Entry, Found, Result, Violation, frozenset)}


class SavedFrontierError(Exception):
    """A saved frontier that the search can't continue from."""


class _FrontierUnpickler(pickle.Unpickler):
    """Unpickles a saved frontier; accepts only the classes in `SAVED_CLASSES` and any name in numpy.

    Each name in `SAVED_CLASSES` is looked up without its module, so that a file stays readable when a class
    moves to another module.
    """

    def find_class(self, module: str, name: str) -> Any:
        if name in SAVED_CLASSES:
            return SAVED_CLASSES[name]
        if module.partition(".")[0] == "numpy":
            return super().find_class(module, name)
        raise pickle.UnpicklingError(f"{module}.{name} is not allowed in a saved frontier")


def _digest(body: bytes) -> bytes:
    return hashlib.blake2b(body, digest_size=DIGEST_SIZE).digest()


class Frontier:
    """The state of a search between two levels: all that a later run needs to continue it."""

    def __init__(self, visited: Visited) -> None:
        self.visited = visited
        self.sleep_sets: dict[int, frozenset[str]] = {}  # by fingerprint: the steps not taken from that state
        self.entries: list[Entry] = []
        self.result = Result()

    def merge(self, level: list[Entry], expansions: list[Expansion], depth: int) -> None:
        """Merges the expansions of a level, in the order of its entries.

        States of the last depth are not expanded further if any of them is new. Several processes may have
        settled the same state, but the one that reaches it first in this order has always settled it. The
        violation that is found first therefore does not depend on the number of processes.
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
        is_new_state = self.visited.add(
            np.fromiter((successor.fingerprint for _, successor in arrivals), np.uint64, len(arrivals))
        )
        new: dict[int, tuple[Steps, frozenset[str]]] = {}
        revisited: dict[int, tuple[Steps, frozenset[str]]] = {}
        for (entry, successor), is_new in zip(arrivals, is_new_state.tolist(), strict=True):
            state, steps = successor.fingerprint, (*entry.steps, successor.step)
            if is_new:
                new[state] = steps, successor.sleep
            elif state in new:
                new[state] = new[state][0], new[state][1] & successor.sleep
            elif (stored_sleep := self.sleep_sets.get(state)) and not stored_sleep <= successor.sleep:
                before = revisited.get(state, (steps, stored_sleep))
                revisited[state] = before[0], before[1] & successor.sleep
        self.result.states = len(self.visited)
        if new and len(next(iter(new.values()))[0]) >= depth:
            self.result.depth = depth
            return
        for state, (steps, sleep) in new.items():
            if sleep:
                self.sleep_sets[state] = sleep
            self.entries.append(Entry(steps, None, sleep))
        for state, (steps, sleep) in revisited.items():
            stored_sleep = self.sleep_sets[state]
            self.entries.append(Entry(steps, tuple(sorted(stored_sleep - sleep)), sleep))
            self.sleep_sets[state] = sleep

    def save(self, path: Path, key: str) -> None:
        """Writes the frontier; after a crash at any time, the file has either the old or the new content."""
        # Only a FingerprintSet is saved; of a PlainSet, the visited states are lost.
        runs = self.visited.runs() if isinstance(self.visited, FingerprintSet) else []
        body = pickle.dumps((key, runs, self.sleep_sets, self.entries, self.result))
        partial = path.with_suffix(path.suffix + ".part")
        with open(partial, "wb") as file:
            file.write(_digest(body) + body)
            file.flush()
            os.fsync(file.fileno())
        os.replace(partial, path)

    @classmethod
    def load(cls, path: Path, key: str) -> Frontier:
        """Reads a frontier; raises SavedFrontierError if it is damaged, unreadable or of another search."""
        data = path.read_bytes()
        body = data[DIGEST_SIZE:]
        if _digest(body) != data[:DIGEST_SIZE]:
            raise SavedFrontierError(f"{path} is damaged: its checksum does not match")
        try:
            found_key, runs, sleep_sets, entries, result = _FrontierUnpickler(io.BytesIO(body)).load()
        except (pickle.UnpicklingError, ImportError, AttributeError, TypeError, ValueError) as error:
            raise SavedFrontierError(f"{path} was saved by another version: {error}") from error
        if found_key != key:
            raise SavedFrontierError(f"{path} is of another exploration: {found_key}, not {key}")
        frontier = cls(FingerprintSet.of(runs))
        frontier.sleep_sets, frontier.entries, frontier.result = sleep_sets, entries, result
        return frontier
