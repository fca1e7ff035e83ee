"""The recent purges, by the Unix times that the change log gave them.

Cached copies carry the Unix time at which the origin served them. Comparing the two does not involve the
router's own clock, so it holds however wrong that clock is.
"""

from __future__ import annotations

import math
from typing import NamedTuple

ANY_OBJECT = 0
ANY_GROUP = -1


class _Purge(NamedTuple):
    """One purge, in ms: when it was received by the router's clock, and its Unix time."""

    received_at: float
    unix_time: float


class PurgeHistory:
    """Purges of objects and of groups, retained for as long as an older copy may still be served."""

    def __init__(self, retention: float) -> None:
        """`retention`: milliseconds for which a purge is retained after it was received."""
        self._retention = retention
        self._purges: dict[tuple[int, int], list[_Purge]] = {}  # by object key and purge group
        self._next_sweep = -math.inf

    def record(self, now: float, key: int, group: int, unix_time: float) -> None:
        """A purge of an object, or with key 0 of a group, was received now."""
        target = (key, ANY_GROUP) if key else (ANY_OBJECT, group)
        self._purges.setdefault(target, []).append(_Purge(now, unix_time))
        if now >= self._next_sweep:
            self._next_sweep = now + self._retention
            self._purges = {
                target: recent
                for target, purges in self._purges.items()
                if (recent := [purge for purge in purges if purge.received_at + self._retention > now])
            }

    def newest_purge_time(self, key: int, group: int, received_by: float) -> float:
        """The Unix time (ms) of the newest purge of the object received by then; -inf without one."""
        purges = self._purges.get((key, ANY_GROUP), []) + self._purges.get((ANY_OBJECT, group), [])
        return max(
            (purge.unix_time for purge in purges if purge.received_at <= received_by), default=-math.inf
        )
