"""The recent purges, with the Unix times that the change log gives them.

Cached copies carry the Unix time at which the origin served them. Comparing the two times does not involve
the router's own clock, so it is correct even if that clock is wrong.
"""

from __future__ import annotations

import math
from typing import NamedTuple

ANY_OBJECT = 0
ANY_GROUP = -1


class _Purge(NamedTuple):
    """One purge: when it was received (router's clock) and when it happened (Unix time), both in ms."""

    received_at: float
    unix_time: float


class PurgeHistory:
    """Purges of objects and of groups, retained while caches may still return copies older than them."""

    def __init__(self, retention: float) -> None:
        """Starts without purges; each is retained for `retention` milliseconds after it was received."""
        self._retention = retention
        self._purges: dict[tuple[int, int], list[_Purge]] = {}  # by object key and purge group
        self._next_sweep = -math.inf

    def record(self, now: float, key: int, group: int, unix_time: float) -> None:
        """Records a purge received now, of an object or, if `key` is 0, of a group."""
        target = (key, ANY_GROUP) if key else (ANY_OBJECT, group)
        self._purges.setdefault(target, []).append(_Purge(now, unix_time))
        if now >= self._next_sweep:
            self._next_sweep = now + self._retention
            self._purges = {
                target: recent
                for target, purges in self._purges.items()
                if (recent := [purge for purge in purges if purge.received_at + self._retention > now])
            }

    def newest_purge_time(self, key: int, group: int, received_until: float) -> float:
        """Returns the Unix time (ms) of the object's newest purge; -inf if there is none.

        Purges of the object itself and of its purge group count, if they were received at `received_until`
        (ms on the router's clock) or before.
        """
        purges = self._purges.get((key, ANY_GROUP), []) + self._purges.get((ANY_OBJECT, group), [])
        return max(
            (purge.unix_time for purge in purges if purge.received_at <= received_until), default=-math.inf
        )
