"""Recent purges, and the age beyond which a cached copy may be older than a purge. Times are milliseconds.

Sources: the operators' pages `PROTOCOL-robinbeam.md`, section "The change log" (purge events), and
`WIRE-robinbeam.md`, sections "Settings" (`heed_within`, `purge_settles`) and "Invariants" (rule 5: no copy
older than a purge).
"""

from __future__ import annotations

import math
from typing import NamedTuple

from edge_router.decision.messages import PurgeReceived
from edge_router.decision.settings import Settings

# Multiple of the settle time. Old copies should be gone after one settle time; half of one is margin.
PURGE_RETENTION_FACTOR = 1.5
MIN_COPY_AGE = 0.001  # milliseconds; an attempt's maximum age of 0 would mean no limit
NO_PURGE_GROUP = -1  # takes the place of the purge group in the key of a purge of a single object


def purge_retention(settings: Settings) -> float:
    """The time in milliseconds for which a purge is remembered; later no copy older than it is left."""
    return settings.purge_settle_time * PURGE_RETENTION_FACTOR + settings.purge_notice_time


class PurgeRecord(NamedTuple):
    """The last purge of an object or purge group."""

    purged_at: float
    received_at: float


NO_PURGE = PurgeRecord(-math.inf, -math.inf)


class RecentPurges:
    """The purges that were received within the retention time; older ones have no effect any more."""

    def __init__(self, retention: float) -> None:
        """Remembers purges for `retention` milliseconds."""
        self._retention = retention
        self._purges: dict[tuple[int, int], PurgeRecord] = {}  # by object and purge group
        self._next_cleanup_at = -math.inf

    def record(self, now: float, event: PurgeReceived) -> None:
        """Records the purge of an object or, if `object_key` is 0, of a purge group.

        An age beyond the retention time means that a clock is wrong, and counts as 0.
        """
        key = (event.object_key, NO_PURGE_GROUP) if event.object_key else (0, event.purge_group)
        age = event.age if event.age <= self._retention else 0.0
        purged_at = max(now - age, self._purges.get(key, NO_PURGE).purged_at)
        self._purges[key] = PurgeRecord(purged_at, now)
        if now >= self._next_cleanup_at:
            self._next_cleanup_at = now + self._retention
            self._purges = {
                key: purge for key, purge in self._purges.items() if purge.received_at + self._retention > now
            }

    def max_copy_age(self, now: float, object_key: int, purge_group: int) -> float:
        """The maximum age of a copy newer than the last purge; infinite without a recent purge."""
        purges = (
            self._purges.get((object_key, NO_PURGE_GROUP), NO_PURGE),
            self._purges.get((0, purge_group), NO_PURGE),
        )
        purged_at = max(
            (purge.purged_at for purge in purges if now - purge.received_at < self._retention),
            default=-math.inf,
        )
        return max(now - purged_at - MIN_COPY_AGE, MIN_COPY_AGE)
