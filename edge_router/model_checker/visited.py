"""The set of visited states, by their fingerprints.

`FingerprintSet` stores 64-bit fingerprints in sorted runs, each at least twice as long as the next, and adds
them in batches. It needs 8 bytes per state, a tenth of what a `set` of integers needs. `PlainSet` is such a
`set`, with which tests and benchmarks compare it.
"""

from __future__ import annotations

from typing import Protocol

import numpy as np
import numpy.typing as npt

Fingerprints = npt.NDArray[np.uint64]


class Visited(Protocol):
    """A set of fingerprints that is extended in batches."""

    def add(self, fingerprints: Fingerprints) -> npt.NDArray[np.bool_]:
        """Adds a batch; marks the first occurrence of each fingerprint that the set did not contain."""

    def __len__(self) -> int:
        """The number of fingerprints."""

    def nbytes(self) -> int:
        """The memory of the set in bytes."""


class FingerprintSet:
    """Sorted runs of fingerprints; adding n to m takes about n log m comparisons, and sometimes a merge."""

    def __init__(self) -> None:
        self._runs: list[Fingerprints] = []

    def add(self, fingerprints: Fingerprints) -> npt.NDArray[np.bool_]:
        """Adds a batch; marks the new fingerprints."""
        unique, first = np.unique(fingerprints, return_index=True)
        is_absent = np.ones(len(unique), dtype=np.bool_)
        for run in self._runs:
            positions = np.searchsorted(run, unique)
            positions[positions == len(run)] = 0
            is_absent &= run[positions] != unique
        is_new = np.zeros(len(fingerprints), dtype=np.bool_)
        is_new[first[is_absent]] = True
        if is_absent.any():
            self._runs.append(unique[is_absent])
        while len(self._runs) > 1 and 2 * len(self._runs[-1]) > len(self._runs[-2]):
            last = self._runs.pop()
            merged = np.concatenate((self._runs.pop(), last))
            merged.sort(kind="stable")
            self._runs.append(merged)
        return is_new

    def __len__(self) -> int:
        return sum(map(len, self._runs))

    def nbytes(self) -> int:
        """The memory of all runs in bytes."""
        return sum(run.nbytes for run in self._runs)

    def runs(self) -> list[Fingerprints]:
        """The sorted runs, which can be saved."""
        return self._runs

    @classmethod
    def of(cls, runs: list[Fingerprints]) -> FingerprintSet:
        """Returns a set that consists of these sorted runs."""
        visited = cls()
        visited._runs = list(runs)
        return visited


class PlainSet:
    """The same set as a Python `set` of integers, the baseline of the comparison."""

    def __init__(self) -> None:
        self._set: set[int] = set()

    def add(self, fingerprints: Fingerprints) -> npt.NDArray[np.bool_]:
        """Adds the fingerprints of a batch one by one; marks the new ones."""
        is_new = np.zeros(len(fingerprints), dtype=np.bool_)
        known = self._set
        for index, value in enumerate(fingerprints.tolist()):
            if value not in known:
                known.add(value)
                is_new[index] = True
        return is_new

    def __len__(self) -> int:
        return len(self._set)

    def nbytes(self) -> int:
        """The memory of the table and of its integers in bytes."""
        return self._set.__sizeof__() + sum(value.__sizeof__() for value in self._set)
