"""The purges that were told, by the Unix times that the change log gave them.

Copies carry the Unix time at which the origin gave them out. Comparing the two needs no clock of ours, so it
holds whatever our clock is taken for.
"""

from __future__ import annotations

import math

ANY_OBJECT = 0
ANY_GROUP = -1


class PurgeHistory:
    """Purges of objects and of groups, kept for as long as an older copy may still be served."""

    def __init__(self, kept_for: float) -> None:
        """`kept_for`: milliseconds from when a purge was told."""
        self._retention = kept_for
        self._purges: dict[tuple[int, int], list[tuple[float, float]]] = {}  # told at (our clock), Unix time
        self._next_sweep = -math.inf

    def record(self, now: float, key: int, group: int, unix: float) -> None:
        """A purge of an object, or with key 0 of a group, was told now."""
        name = (key, ANY_GROUP) if key else (ANY_OBJECT, group)
        self._purges.setdefault(name, []).append((now, unix))
        if now >= self._next_sweep:
            self._next_sweep = now + self._retention
            self._purges = {
                name: recent
                for name, purges in self._purges.items()
                if (recent := [purge for purge in purges if purge[0] + self._retention > now])
            }

    def newest_purge_time(self, key: int, group: int, told_by: float) -> float:
        """The Unix time (ms) of the newest purge of the object that was told by then; -inf without one."""
        purges = self._purges.get((key, ANY_GROUP), []) + self._purges.get((ANY_OBJECT, group), [])
        return max((unix for told, unix in purges if told <= told_by), default=-math.inf)
