"""Recent purges, and the age beyond which a cached copy may be from before one.

Source: PROTOCOL, the purge events of the change log, and the settings `heed_within` and `purge_settles`.
Times are milliseconds.
"""

from __future__ import annotations

import math
from typing import NamedTuple

from edge_router.decision.messages import PurgeReceived
from edge_router.decision.settings import Settings

PURGE_RETENTION_FACTOR = 1.5  # purges are remembered for this multiple of the time that old copies may last
MIN_COPY_AGE = 0.001  # the least age in an order; 0 would mean the default
WHOLE_OBJECT = -1  # in place of a group, in the key of an object's purge


def purge_retention(settings: Settings) -> float:
    """Milliseconds for which a purge is remembered, after which no copy from before it is left."""
    return settings.purge_settle_time * PURGE_RETENTION_FACTOR + settings.purge_notice_time


class PurgeRecord(NamedTuple):
    """The last purge of an object or group."""

    purged_at: float
    received_at: float


NO_PURGE = PurgeRecord(-math.inf, -math.inf)


class RecentPurges:
    """The purges that are younger than the retention time, after which all old copies have gone."""

    def __init__(self, retention: float) -> None:
        """`retention` in milliseconds."""
        self._retention = retention
        self._purges: dict[tuple[int, int], PurgeRecord] = {}  # by object and group
        self._next_cleanup_at = -math.inf

    def record(self, now: float, event: PurgeReceived) -> None:
        """Records a purge of an object or, with no object, of a group.

        An age beyond the retention time comes from a clock that is wrong, and counts as 0.
        """
        key = (event.object_key, WHOLE_OBJECT) if event.object_key else (0, event.purge_group)
        age = event.age if event.age <= self._retention else 0.0
        purged_at = max(now - age, self._purges.get(key, NO_PURGE).purged_at)
        self._purges[key] = PurgeRecord(purged_at, now)
        if now >= self._next_cleanup_at:
            self._next_cleanup_at = now + self._retention
            self._purges = {
                key: purge for key, purge in self._purges.items() if purge.received_at + self._retention > now
            }

    def max_copy_age(self, now: float, object_key: int, purge_group: int) -> float:
        """The greatest age of a copy from after the last purge; infinite where nothing was purged lately."""
        purges = (
            self._purges.get((object_key, WHOLE_OBJECT), NO_PURGE),
            self._purges.get((0, purge_group), NO_PURGE),
        )
        purged_at = max(
            (purge.purged_at for purge in purges if now - purge.received_at < self._retention),
            default=-math.inf,
        )
        return max(now - purged_at - MIN_COPY_AGE, MIN_COPY_AGE)
