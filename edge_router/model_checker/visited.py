"""The set of visited states, by their fingerprints.

`FingerprintSet` stores 64-bit fingerprints in sorted runs, each at least twice as long as the next, and adds
them by batches: 8 bytes a state, where a `set` of integers takes ten times as much. `PlainSet` is the
baseline that it is measured against.
"""

from __future__ import annotations

from typing import Protocol

import numpy as np
import numpy.typing as npt

Fingerprints = npt.NDArray[np.uint64]


class Visited(Protocol):
    """A set of fingerprints that is queried by batches."""

    def add(self, prints: Fingerprints) -> npt.NDArray[np.bool_]:
        """Adds a batch; marks each fingerprint that was not there before, also not within the batch."""

    def __len__(self) -> int:
        """How many there are."""

    def nbytes(self) -> int:
        """The memory of the set in bytes."""


class FingerprintSet:
    """Sorted runs; adding n to m states costs about n log m comparisons, and a merge from time to time."""

    def __init__(self) -> None:
        self._runs: list[Fingerprints] = []

    def add(self, prints: Fingerprints) -> npt.NDArray[np.bool_]:
        """Adds a batch; marks the new fingerprints."""
        unique, first = np.unique(prints, return_index=True)
        fresh = np.ones(len(unique), dtype=np.bool_)
        for run in self._runs:
            at = np.searchsorted(run, unique)
            at[at == len(run)] = 0
            fresh &= run[at] != unique
        found = np.zeros(len(prints), dtype=np.bool_)
        found[first[fresh]] = True
        if fresh.any():
            self._runs.append(unique[fresh])
        while len(self._runs) > 1 and 2 * len(self._runs[-1]) > len(self._runs[-2]):
            last = self._runs.pop()
            merged = np.concatenate((self._runs.pop(), last))
            merged.sort(kind="stable")
            self._runs.append(merged)
        return found

    def __len__(self) -> int:
        return sum(map(len, self._runs))

    def nbytes(self) -> int:
        """The memory of all runs in bytes."""
        return sum(run.nbytes for run in self._runs)

    def runs(self) -> list[Fingerprints]:
        """The sorted runs, to be saved."""
        return self._runs

    @classmethod
    def of(cls, runs: list[Fingerprints]) -> FingerprintSet:
        """The set with these sorted runs."""
        visited = cls()
        visited._runs = list(runs)
        return visited


class PlainSet:
    """A `set` of integers."""

    def __init__(self) -> None:
        self._set: set[int] = set()

    def add(self, prints: Fingerprints) -> npt.NDArray[np.bool_]:
        """Adds a batch one by one; marks the new fingerprints."""
        found = np.zeros(len(prints), dtype=np.bool_)
        known = self._set
        for place, value in enumerate(prints.tolist()):
            if value not in known:
                known.add(value)
                found[place] = True
        return found

    def __len__(self) -> int:
        return len(self._set)

    def nbytes(self) -> int:
        """The memory of the table and of its integers in bytes."""
        return self._set.__sizeof__() + sum(value.__sizeof__() for value in self._set)
