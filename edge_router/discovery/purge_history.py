"""The purges that were told, by the Unix times that the change log gave them.

Copies carry the Unix time at which the origin gave them out. Comparing the two needs no clock of ours, so it
holds whatever our clock is taken for.
"""

from __future__ import annotations

import math

ANY_OBJECT = 0
ANY_GROUP = -1


class ToldPurges:
    """Purges of objects and of groups, kept for as long as an older copy may still be served."""

    def __init__(self, kept_for: float) -> None:
        """`kept_for`: milliseconds from when a purge was told."""
        self._kept_for = kept_for
        self._told: dict[tuple[int, int], list[tuple[float, float]]] = {}  # told at (our clock), Unix time
        self._next_sweep = -math.inf

    def add(self, now: float, key: int, group: int, unix: float) -> None:
        """A purge of an object, or with key 0 of a group, was told now."""
        name = (key, ANY_GROUP) if key else (ANY_OBJECT, group)
        self._told.setdefault(name, []).append((now, unix))
        if now >= self._next_sweep:
            self._next_sweep = now + self._kept_for
            self._told = {
                name: recent
                for name, purges in self._told.items()
                if (recent := [purge for purge in purges if purge[0] + self._kept_for > now])
            }

    def newest(self, key: int, group: int, told_by: float) -> float:
        """The Unix time (ms) of the newest purge of the object that was told by then; -inf without one."""
        purges = self._told.get((key, ANY_GROUP), []) + self._told.get((ANY_OBJECT, group), [])
        return max((unix for told, unix in purges if told <= told_by), default=-math.inf)
